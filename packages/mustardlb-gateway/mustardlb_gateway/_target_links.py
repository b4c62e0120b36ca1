"""Opens connections to targets, by way of another node if needed."""

from collections import abc
import dataclasses
from typing import Protocol

import structlog
import trio

from mustardlb_gateway import _reachability
from mustardlb_gateway import domain
from mustardlb_gateway import http_client

log = structlog.get_logger()

# Time to connect if no other node can help. It allows a few round trips to a
# target, and is shorter than the retransmission timeout after a lost packet.
CONNECT_TIMEOUT_SECONDS = 0.4

# Another node is asked after this time without a connection.
RELAY_AFTER_SECONDS = 0.15

# Nodes that are asked, one after the other, to relay a connection.
MAX_HELPERS_ASKED = 3

# No further nodes are asked once so many with sound links do not reach a
# target either. More are asked before a crash is believed, since some may have
# lost just their links to this target.
MIN_UNREACHABLE = 2
MIN_CRASH_WITNESSES = 5

# Other targets to which a connection is tried to tell whether the links of
# this node work.
MAX_WITNESS_TARGETS = 2

CHECK_INTERVAL_SECONDS = 0.1

# A check of a link is not repeated in this time.
LINK_CHECK_TTL_SECONDS = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Relayed:
    """The response of a node that was asked to relay a connection.

    :ivar stream: to the target, None unless it is connected
    """

    outcome: _reachability.RelayOutcome
    stream: http_client.Stream | None = None


class Network(Protocol):
    """Opens streams to targets."""

    async def connect(
        self, target: domain.Target, timeout: float
    ) -> http_client.Stream:
        """Connect to a target; raises OSError."""

    async def relay(self, vm: str, target: domain.Target) -> Relayed:
        """Connect to a target by way of another node."""


class TargetLinks:
    """Connections to targets, with their links' state.

    `is_resting` returns whether a target wants no requests from this node, or
    leaves.
    `cut_off` returns the nodes that say that they reach no target.

    :ivar reachability: which targets this node reaches itself
    """

    def __init__(
        self,
        reachability: _reachability.Reachability,
        pool: http_client.Pool,
        network: Network,
        targets: abc.Callable[[], abc.Mapping[str, domain.Target]],
        live_vms: abc.Callable[[], abc.Collection[str]],
        data_centre_of: abc.Callable[[str], str],
        data_centre: str,
        is_resting: abc.Callable[[domain.Target], bool] = lambda target: False,
        cut_off: abc.Callable[[], frozenset[str]] = frozenset,
    ) -> None:
        self.reachability = reachability
        self._pool = pool
        self._network = network
        self._targets = targets
        self._live_vms = live_vms
        self._data_centre_of = data_centre_of
        self._data_centre = data_centre
        self._is_resting = is_resting
        self._cut_off = cut_off
        self._checks: dict[tuple[str, str], _LinkCheck] = {}

    async def acquire(
        self, target: domain.Target, request_id: str
    ) -> http_client.Connection:
        """Return a connection to a target, direct or relayed.

        Raises ExchangeFailed, with `was_sent` false. With `is_link_failure`,
        nothing is known about the target.
        """
        problem = 'the target is out of reach of this node'
        if not self.reachability.is_lost(target.target_id):
            idle = self._pool.take_idle(
                target.target_id, target.service, request_id=request_id
            )
            if idle is not None:
                return idle
            try:
                return await self._connect(target)
            except OSError as error:
                problem = f'connection failed: {error}'
        relayed = await self._acquire_relayed(target, problem, request_id)
        if relayed is not None:
            log.info(
                'MLB-6610',
                request=request_id,
                target=target.target_id,
                peer=relayed.helper,
                problem=problem,
            )
            return relayed
        if not self.reachability.is_down(
            target.target_id
        ) and not await self.reaches_others(target):
            self.reachability.record_unreached(target.target_id, problem)
        raise http_client.ExchangeFailed(
            problem,
            was_sent=False,
            is_link_failure=self.reachability.is_cut_off
            and not self.reachability.is_down(target.target_id),
        )

    async def _connect(self, target: domain.Target) -> http_client.Connection:
        """Open a connection of this node's own; raises OSError."""
        timeout = CONNECT_TIMEOUT_SECONDS
        if self.reachability.has_helper(self._live_vms(), self._cut_off()):
            timeout = RELAY_AFTER_SECONDS
        stream = await self._network.connect(target, timeout)
        self.reachability.record_reached(target.target_id)
        return self._pool.connection(target.target_id, stream)

    def _helpers(self) -> list[str]:
        centre_by_vm = {
            vm: self._data_centre_of(vm) for vm in self._live_vms()
        }
        return self.reachability.helpers(
            centre_by_vm, self._data_centre, self._cut_off()
        )

    async def _acquire_relayed(
        self, target: domain.Target, problem: str, request_id: str = ''
    ) -> http_client.Connection | None:
        """Return a relayed connection, None if no node reaches the target."""
        if self.reachability.is_lost(target.target_id):
            idle = self._take_relayed(target, request_id)
            if idle is not None:
                return idle
        if self.reachability.is_down(target.target_id):
            return None
        return await self._ask_helpers(
            target, problem, MAX_HELPERS_ASKED, MIN_UNREACHABLE
        )

    def _take_relayed(
        self, target: domain.Target, request_id: str
    ) -> http_client.Connection | None:
        """Return an idle connection by way of a live node, if any.

        A node that is stopping ends its relays, and the requests on them.
        """
        while True:
            idle = self._pool.take_idle(
                target.target_id,
                target.service,
                is_relayed=True,
                request_id=request_id,
            )
            if idle is None or idle.helper in self._live_vms():
                return idle
            idle.close()

    async def _ask_helpers(
        self,
        target: domain.Target,
        problem: str,
        max_asked: int,
        min_unreachable: int,
    ) -> http_client.Connection | None:
        """Ask nodes to relay a connection, one after the other.

        The target is down if sound nodes do not reach it, and none does.
        """
        unreachable = 0
        for vm in self._helpers()[:max_asked]:
            relayed = await self._ask(vm, target)
            if relayed.stream is not None:
                self._record_lost(target, problem, vm)
                return self._pool.connection(
                    target.target_id, relayed.stream, vm
                )
            if relayed.outcome == _reachability.RelayOutcome.UNREACHABLE:
                unreachable += 1
            if unreachable >= min_unreachable:
                break
        if unreachable:
            self.reachability.record_down(target.target_id)
        return None

    async def _ask(self, vm: str, target: domain.Target) -> Relayed:
        relayed = await self._network.relay(vm, target)
        self.reachability.record_helper(vm, relayed.outcome)
        if relayed.stream is None:
            log.info(
                'MLB-6216',
                target=target.target_id,
                peer=vm,
                outcome=relayed.outcome.name.lower(),
            )
        return relayed

    def _record_lost(
        self, target: domain.Target, problem: str, helper: str
    ) -> None:
        # Idle connections over a broken link hang, or are reset.
        self._pool.close_direct(target.target_id)
        self.reachability.record_lost(target.target_id, problem, helper)

    async def is_link_broken(self, target: domain.Target, helper: str) -> bool:
        """Return whether a target is reached, but not over this link.

        :param helper: node that relays the connection, '' for none

        The link of a call that gets no data is checked by opening another
        connection, which a target accepts also while it is silent.
        """
        key = target.target_id, helper
        check = self._checks.get(key)
        now = trio.current_time()
        if check is not None and now < check.ended_at + LINK_CHECK_TTL_SECONDS:
            await check.done.wait()
            return check.is_broken
        self._checks = {
            each: check
            for each, check in self._checks.items()
            if now < check.ended_at + LINK_CHECK_TTL_SECONDS
        }
        check = self._checks[key] = _LinkCheck()
        try:
            check.is_broken = await self._check_link(target, helper)
        finally:
            check.ended_at = trio.current_time()
            check.done.set()
        return check.is_broken

    async def _check_link(self, target: domain.Target, helper: str) -> bool:
        if helper:
            relayed = await self._ask(helper, target)
            if relayed.stream is not None:
                self._keep(
                    target,
                    self._pool.connection(
                        target.target_id, relayed.stream, helper
                    ),
                )
                return False
        else:
            try:
                self._keep(target, await self._connect(target))
            except OSError as error:
                problem = f'connection failed: {error}'
            else:
                return False
        other = await self._acquire_relayed(
            target, problem if not helper else f'{helper} does not reach it'
        )
        if other is None:
            return False
        self._keep(target, other)
        return True

    def _keep(
        self, target: domain.Target, connection: http_client.Connection
    ) -> None:
        """Keep a new connection for the next call."""
        self._pool.add_idle(target.target_id, connection)

    async def is_down(self, target: domain.Target) -> bool:
        """Return whether a target refuses connections of sound nodes."""
        try:
            self._keep(target, await self._connect(target))
        except OSError as error:
            relayed = await self._ask_helpers(
                target,
                str(error),
                2 * MIN_CRASH_WITNESSES,
                MIN_CRASH_WITNESSES,
            )
            if relayed is not None:
                self._keep(target, relayed)
                return False
            if self.reachability.is_down(target.target_id):
                return True
            return await self.reaches_others(target)
        return False

    async def reaches_others(self, target: domain.Target) -> bool:
        """Return whether this node reaches any target besides one."""
        if self.reachability.has_contact(target.target_id):
            return True
        if self.reachability.is_cut_off:
            return False
        others = [
            each
            for each in self._targets().values()
            if each.target_id != target.target_id
        ]
        others = self.reachability.sample(others, MAX_WITNESS_TARGETS)
        reached: list[str] = []
        async with trio.open_nursery() as nursery:
            for other in others:
                nursery.start_soon(self._check, other, reached)
        if reached:
            return True
        for other in others:
            self.reachability.record_unreached(
                other.target_id, 'no target is reached'
            )
        return False

    async def connect_for_other(
        self, target: domain.Target, timeout: float
    ) -> tuple[_reachability.RelayOutcome, http_client.Stream | None]:
        """Connect to a target for another node, without a further one."""
        outcomes = _reachability.RelayOutcome
        if self.reachability.is_cut_off:
            return outcomes.CUT_OFF, None
        if self._is_resting(target):
            return outcomes.RESTING, None
        try:
            stream = await self._network.connect(target, timeout)
        except OSError as error:
            log.info('MLB-6217', target=target.target_id, problem=str(error))
            if await self.reaches_others(target):
                return outcomes.UNREACHABLE, None
            return outcomes.CUT_OFF, None
        self.reachability.record_reached(target.target_id)
        return outcomes.CONNECTED, stream

    async def run(self) -> None:
        """Connect to targets out of reach until they are reached again."""
        while True:
            await trio.sleep(CHECK_INTERVAL_SECONDS)
            due = self.reachability.due_checks()
            if not due:
                continue
            reached: list[str] = []
            async with trio.open_nursery() as nursery:
                for target_id in due:
                    nursery.start_soon(self._check_lost, target_id, reached)
            self.reachability.record_checks(len(reached), len(due))

    async def _check_lost(self, target_id: str, reached: list[str]) -> None:
        target = self._targets().get(target_id)
        if target is None:
            self.reachability.forget(target_id)
            return
        await self._check(target, reached)

    async def _check(self, target: domain.Target, reached: list[str]) -> None:
        """Connect to a target; add it to `reached` if that succeeds."""
        try:
            connection = await self._connect(target)
        except OSError as error:
            log.info('MLB-6217', target=target.target_id, problem=str(error))
            return
        self._keep(target, connection)
        reached.append(target.target_id)


class _LinkCheck:
    """A check of a link, and its result once it is done."""

    def __init__(self) -> None:
        self.done = trio.Event()
        self.ended_at = float('inf')
        self.is_broken = False
