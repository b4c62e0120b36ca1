"""Permits to send requests to cold targets.

All nodes together may send a cold target only so many requests in any second.
The two nodes that rank highest for a target among all nodes that are known,
live or not, hand out its permits, each within a fixed share of its own. The
shares of both stay within the bound whoever asks whom, so that it holds while
nodes differ on who is alive. A node that ranks highest hands out the
share of the next one if it does not hear from most nodes, as it may not know
of one that ranks higher. Nodes that hand out permits tell those that rank next
after them, which then know of them.
"""

from collections import abc
import dataclasses
import math
import random

import structlog

from mustardlb_gateway import _cold_targets
from mustardlb_gateway import _messages
from mustardlb_gateway import _owners
from mustardlb_gateway import domain

log = structlog.get_logger()

# Parts of the tolerated rate that the nodes of the first ranks hand out.
RANK_RATIOS = (1.0, 0.25)

# A permit may be used within this time after it was asked for. It allows for
# a round trip to its owner and for a new connection.
PERMIT_SECONDS = 0.3

# Largest difference between the times that two requests take to a target.
TRANSIT_SECONDS = 0.1

# Permits of this time may be used within one second.
WINDOW_SECONDS = 1.0 + PERMIT_SECONDS + TRANSIT_SECONDS

# A rate this much below a whole number of requests in a window allows for
# rounding.
ROUNDING_RATIO = 0.99

# Time for which a node has to hear from most others before it hands out the
# share of the first rank. Nodes learn of each other within it.
MAJORITY_SECONDS = 1.0

# A node that is no longer heard of keeps its rank for this time, which is
# longer than most partitions of the network.
KNOWN_SECONDS = 3600.0

# If none of the nodes that may be asked decides, the target is left out for
# this time.
UNDECIDED_SECONDS = 0.25

# Permits that the first node may keep beyond one, if the bound allows it.
MAX_EXTRA_BURST = 3

MIN_WAIT_SECONDS = 0.02

# Nodes that ask in vain wait longer the more of them there are, up to this
# time, so that their messages remain few.
MAX_WAIT_SECONDS = 1.0
ASKER_TTL_SECONDS = 1.0

MAX_OWNERS_ASKED = 2

# Nodes of the next ranks that are told, and how often.
TOLD_RANKS = 6
TELL_INTERVAL_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """What a node of some rank may hand out.

    :ivar rate: permits a second
    :ivar burst: most permits at once
    """

    rate: float
    burst: int


def shares(per_second: float, bound: float) -> list[Share]:
    """Return the shares of the nodes of the first ranks.

    :param bound: most requests of all nodes in any second

    A node hands out at most its burst and its rate times the window. The
    first one keeps unused permits as far as the bound has room for them.

    >>> shares(7.2, 7.2 * 1.5 + 5)
    [Share(rate=7.2, burst=2), Share(rate=1.8, burst=1)]
    >>> shares(0.5, 0.5)
    []
    """
    wanted = [ratio * per_second for ratio in RANK_RATIOS]
    counts = [math.floor(rate * WINDOW_SECONDS) + 1 for rate in wanted]
    while sum(counts) > bound:
        most = max(counts)
        if most == 1:
            counts.pop()
            if not counts:
                return []
            continue
        counts[counts.index(most)] -= 1
    extra = min(MAX_EXTRA_BURST, math.floor(bound) - sum(counts))
    return [
        Share(
            min(rate, ROUNDING_RATIO * count / WINDOW_SECONDS),
            1 if rank else 1 + extra,
        )
        for rank, (rate, count) in enumerate(zip(wanted, counts, strict=False))
    ]


class _Permits:
    """Permits that this node hands out for a target.

    There is none at first, since a node that takes over does not know what
    was handed out before.
    """

    def __init__(self, now: float) -> None:
        self._tokens = 0.0
        self._updated_at = now
        self._asked_at_by_vm: dict[str, float] = {}

    def take(self, share: Share, vm: str, now: float) -> float:
        """Take a permit for a node; return 0, or the seconds to wait."""
        elapsed = max(0.0, now - self._updated_at)
        self._tokens = min(
            float(share.burst), self._tokens + elapsed * share.rate
        )
        self._updated_at = now
        # The comparison allows for rounding.
        if self._tokens > 0.999999:
            self._tokens = max(0.0, self._tokens - 1.0)
            self._asked_at_by_vm.pop(vm, None)
            return 0.0
        self._asked_at_by_vm[vm] = now
        self._asked_at_by_vm = {
            each: at
            for each, at in self._asked_at_by_vm.items()
            if at > now - ASKER_TTL_SECONDS
        }
        wait = max(MIN_WAIT_SECONDS, (1.0 - self._tokens) / share.rate)
        askers = len(self._asked_at_by_vm)
        if askers > 1:
            spread = min(MAX_WAIT_SECONDS, askers / share.rate)
            wait = max(wait, random.uniform(0.5, 1.0) * spread)
        return wait


class ColdPermits:
    """Permits for this node, and for others as an owner.

    `request` sends a message to a node and returns its response, or None
    without one in time, and `notify` sends one without a response. `members`
    returns the names of the other nodes that are known, and `live` those that
    are live. `bound` returns the most requests in a second for the rate that
    a target tolerates.
    """

    def __init__(
        self,
        vm: str,
        cold: _cold_targets.ColdTargets,
        is_evacuated: abc.Callable[[domain.Target], bool],
        request: abc.Callable[
            [str, _messages.Body, float],
            abc.Awaitable[_messages.Body | None],
        ],
        notify: abc.Callable[[str, _messages.Body], None],
        members: abc.Callable[[], abc.Collection[str]],
        live: abc.Callable[[], frozenset[str]],
        bound: abc.Callable[[float], float],
        clock: abc.Callable[[], float],
    ) -> None:
        self._vm = vm
        self._cold = cold
        self._is_evacuated = is_evacuated
        self._request = request
        self._notify = notify
        self._members = members
        self._live = live
        self._bound = bound
        self._clock = clock
        self._owners = _owners.Owners(vm, lambda: self._known, clock)
        self._known: frozenset[str] = frozenset()
        self._member_at: dict[str, float] = {}
        self._majority_since = clock() + MAJORITY_SECONDS
        self._refreshed_at = clock()
        # Of all incarnations: until all nodes know of a restart, some still
        # send to the one before, at the same address.
        self._permits_by_id: dict[str, _Permits] = {}
        self._denied_until: dict[_cold_targets.TargetKey, float] = {}
        self._unresponsive_until: dict[str, float] = {}
        self._told_at_by_id: dict[str, float] = {}

    def is_cold(self, target: domain.Target) -> bool:
        """Return whether a request to a target needs a permit."""
        return self._cold.is_cold(target)

    def denied(self) -> dict[str, float]:
        """Return the seconds until targets may be asked for again, by id."""
        if not self._denied_until:
            return {}
        now = self._clock()
        self._denied_until = {
            key: until
            for key, until in self._denied_until.items()
            if until > now
            and (target := self._cold.registered(*key)) is not None
            and self.is_cold(target)
        }
        return {
            target_id: until - now
            for (target_id, _), until in self._denied_until.items()
        }

    def may_send(self, target: domain.Target, send_by: float | None) -> bool:
        """Return whether a request may be sent to a target at this moment.

        :param send_by: until when its permit is valid, None without one
        """
        if not self.is_cold(target):
            return True
        return send_by is not None and self._clock() <= send_by

    async def acquire(
        self, target: domain.Target, request_id: str
    ) -> float | None:
        """Return until when a request may be sent, None if it may not."""
        key = target.target_id, target.incarnation
        asked_at = self._clock()
        if self._denied_until.get(key, asked_at) > asked_at:
            return None
        wait = await self._ask(target, request_id)
        if wait <= 0:
            return asked_at + PERMIT_SECONDS
        self._denied_until[key] = self._clock() + wait
        log.info(
            'MLB-6233',
            request=request_id,
            target=target.target_id,
            seconds=round(wait, 3),
        )
        return None

    async def _ask(self, target: domain.Target, request_id: str) -> float:
        """Return the seconds to wait for a permit, 0 if it was granted."""
        for owner in self._owners_to_ask(target):
            if owner == self._vm:
                return self._take(target, self._vm)
            response = await self._request(
                owner,
                _messages.ColdPermit(
                    target.target_id,
                    target.incarnation,
                    self._cold.stated_remaining(target),
                    self._ranked_members(target),
                ),
                _owners.RESPONSE_TIMEOUT_SECONDS,
            )
            if isinstance(response, _messages.Permitted):
                return response.wait
            now = self._clock()
            self._unresponsive_until[owner] = now + _owners.BACKOFF_SECONDS
            log.info(
                'MLB-6234',
                request=request_id,
                target=target.target_id,
                peer=owner,
            )
        return UNDECIDED_SECONDS

    def _owners_to_ask(self, target: domain.Target) -> list[str]:
        self._refresh_known()
        now = self._clock()
        live = self._live()
        ranking = self._owners.ranking(target.target_id)
        return [
            vm
            for vm in ranking[: len(RANK_RATIOS)]
            if vm == self._vm
            or (vm in live and self._unresponsive_until.get(vm, now) <= now)
        ][:MAX_OWNERS_ASKED]

    def _ranked_members(self, target: domain.Target) -> tuple[str, ...]:
        """Return the highest ranked nodes to tell others of.

        Those that only others have told this node of are left out, so that
        nodes that are gone are forgotten.
        """
        members = self._members()
        ranking = self._owners.ranking(target.target_id)
        return tuple(
            vm for vm in ranking[: len(RANK_RATIOS) + 1] if vm in members
        )

    def _refresh_known(self) -> None:
        """Update the nodes that have a rank, and whether most are live."""
        now = self._clock()
        members = self._members()
        self._member_at.update(dict.fromkeys(members, now))
        self._member_at.pop(self._vm, None)
        if len(self._member_at) != len(members):
            self._member_at = {
                vm: at
                for vm, at in self._member_at.items()
                if at > now - KNOWN_SECONDS
            }
        if self._member_at.keys() != self._known:
            self._known = frozenset(self._member_at)
        live = len(self._live() & self._known) + 1
        # After a pause of this process, what it knows is out of date.
        was_paused = now > self._refreshed_at + MAJORITY_SECONDS
        if was_paused or 2 * live <= len(self._known) + 1:
            self._majority_since = now + MAJORITY_SECONDS
        self._refreshed_at = now

    def handle(self, vm: str, permit: _messages.ColdPermit) -> float:
        """Return the seconds that another node waits, 0 for a permit."""
        self.handle_notice(vm, permit)
        self._member_at.update(dict.fromkeys(permit.ranked, self._clock()))
        target = self._cold.registered(permit.target_id, permit.incarnation)
        if target is None or self._is_evacuated(target):
            return UNDECIDED_SECONDS
        return self._take(target, vm)

    def handle_notice(
        self, vm: str, notice: _messages.ColdPermit | _messages.ColdNotice
    ) -> None:
        """Record what another node says of a target, and that it exists."""
        self._member_at[vm] = self._clock()
        self._cold.record_told(
            notice.target_id, notice.incarnation, notice.seconds
        )

    def _tell_next(self, target: domain.Target, now: float) -> None:
        """Tell the nodes that rank next that this one hands out permits."""
        target_id = target.target_id
        told_at = self._told_at_by_id.get(target_id, -math.inf)
        if now < told_at + TELL_INTERVAL_SECONDS:
            return
        self._told_at_by_id[target_id] = now
        ranking = self._owners.ranking(target_id)
        first = ranking.index(self._vm) + 1
        notice = _messages.ColdNotice(
            target_id,
            target.incarnation,
            self._cold.stated_remaining(target),
        )
        for vm in ranking[first : first + TOLD_RANKS]:
            self._notify(vm, notice)

    def _take(self, target: domain.Target, vm: str) -> float:
        """Take a permit out of this node's share for a node."""
        self._refresh_known()
        now = self._clock()
        per_second = self._cold.per_second(target)
        if not per_second:
            return UNDECIDED_SECONDS
        by_rank = shares(per_second, self._bound(per_second))
        rank = self._owners.ranking(target.target_id).index(self._vm)
        if now < self._majority_since:
            rank = max(1, rank)
        if rank >= len(by_rank):
            return UNDECIDED_SECONDS
        self._tell_next(target, now)
        permits = self._permits_by_id.setdefault(
            target.target_id, _Permits(now)
        )
        return permits.take(by_rank[rank], vm, now)

    def remove_gone(self) -> None:
        """Forget the shares of targets that are gone."""
        self._refresh_known()
        now = self._clock()
        known = self._cold.known_ids() if self._permits_by_id else set()
        self._permits_by_id = {
            target_id: permits
            for target_id, permits in self._permits_by_id.items()
            if target_id in known
        }
        self._told_at_by_id = {
            target_id: at
            for target_id, at in self._told_at_by_id.items()
            if at > now - TELL_INTERVAL_SECONDS
        }
        self._unresponsive_until = {
            vm: until
            for vm, until in self._unresponsive_until.items()
            if until > now
        }
