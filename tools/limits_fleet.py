"""A simulated fleet of share holders and coordinators, in virtual time.

The holders, coordinators and deputies are those of mustardlbd. Their
surroundings are simulated: a network that loses, delays and duplicates
messages, an owner table that reaches nodes late, and the confirmation of the
shared state. All random values come from one seeded generator.
"""

from collections import abc
import dataclasses
import itertools
import math
import random

import trio

from mustardlb import errors
from mustardlb import freshness
from mustardlb import steps
from mustardlbd import _owners
from mustardlbd import _share_context
from mustardlbd import _share_coordinator
from mustardlbd import _share_deputy
from mustardlbd import _share_holder
from mustardlbd import _share_messages
from mustardlbd import _token_bucket

ACCOUNT = 'canopy'

# Time from acceptance until every node follows a version of the owner table.
PROPAGATION_SECONDS = freshness.PROPAGATION_SECONDS

# The interval at which a connected node confirms its state.
CONFIRMATION_INTERVAL_SECONDS = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Sender:
    """The sender of a request."""

    vm_id: str
    incarnation: int


@dataclasses.dataclass(slots=True)
class Network:
    """Faults and latency of the simulated network.

    :ivar drop_probability: of losing a request or a reply
    :ivar duplicate_probability: of delivering a request twice
    :ivar late_probability: of a latency up to MAX_LATENCY_SECONDS
    :ivar usual_latency_seconds: maximum for messages that are not late
    :ivar blocked_pairs: (source, destination) without any delivery
    """

    drop_probability: float = 0.0
    duplicate_probability: float = 0.0
    late_probability: float = 0.0
    usual_latency_seconds: float = 0.002
    blocked_pairs: set[tuple[str, str]] = dataclasses.field(
        default_factory=set
    )


# Bounds of the time that a message takes.
MIN_LATENCY_SECONDS = 0.0005
MAX_LATENCY_SECONDS = 4.0


@dataclasses.dataclass(slots=True)
class TableVersion:
    """One stored version of the owner table."""

    owners: _owners.Owners
    accepted_at: float = math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Tokens granted at a time, negative for a refund."""

    at: float
    tokens: float


class Node:
    """One node: a holder, a coordinator, a deputy and their state.

    :ivar running: not set while the process is paused
    :ivar known_version: the owner table version that the node follows
    :ivar confirmed_at: time at which its state was last confirmed
    :ivar confirmed_at_by_version: when it saw a version as accepted
    """

    def __init__(
        self, fleet: 'Fleet', vm_id: str, is_first_process: bool
    ) -> None:
        self.fleet = fleet
        self.vm_id = vm_id
        self.incarnation = next(fleet.incarnations)
        self.is_first_process = is_first_process
        self.alive = True
        self.connected = True
        self.running = trio.Event()
        self.running.set()
        self.known_version = 0
        self.confirmed_at = -math.inf
        self.confirmed_at_by_version: dict[int, float] = {}
        self.limit = fleet.limit
        self.scope = trio.CancelScope()
        self.context = _share_context.NodeContext(
            vm_id=vm_id,
            incarnation=self.incarnation,
            now=trio.current_time,
            staleness=lambda: trio.current_time() - self.confirmed_at,
            check_fresh=self.check_fresh,
            available_vms=lambda: list(fleet.nodes_by_id),
            owners=self.owners,
            has_propagated=self.has_propagated,
            call=self.call,
            limit_of=lambda account: fleet.limit_at(self, account),
            is_first_process=lambda: self.is_first_process,
        )
        self.coordinator = _share_coordinator.ShareCoordinator(self.context)
        self.deputy = _share_deputy.ShareDeputy(self.context)
        self.holder = _share_holder.ShareHolder(self.context, self.coordinator)

    def owners(self) -> _owners.Owners:
        """Return the owner table that this node follows."""
        return self.fleet.table_versions[self.known_version].owners

    def check_fresh(self, step: steps.Step) -> None:
        """Raise NODE_NOT_CURRENT if the confirmed state is too old."""
        if (
            trio.current_time() - self.confirmed_at
            > _share_context.MAX_AGE_SECONDS
        ):
            raise errors.Error(
                errors.Code.NODE_NOT_CURRENT, 'old', step, not_run=True
            )

    def has_propagated(self, version: int) -> bool:
        """Whether this node can conclude that all nodes follow a version."""
        limit = trio.current_time() - PROPAGATION_SECONDS
        return self.known_version >= version and any(
            accepted >= version and confirmed <= limit
            for accepted, confirmed in self.confirmed_at_by_version.items()
        )

    async def call(
        self, vm_id: str, service: str, payload: bytes, timeout: float
    ) -> bytes:
        """Send one request over the simulated network."""
        await self.running.wait()
        response: bytes | str | None = None
        with trio.move_on_after(timeout):
            sender = Sender(self.vm_id, self.incarnation)
            response = await self.fleet.send(sender, vm_id, service, payload)
        # A node may be paused after it received the response.
        await self.running.wait()
        if isinstance(response, bytes):
            return response
        code = errors.Code.PEER_REFUSED
        if response is None:
            code = errors.Code.PEER_UNAVAILABLE
        problem = response or 'no response'
        raise errors.Error(code, problem, steps.Step.LIMIT, peer=vm_id)

    async def run(self) -> None:
        """Hold and coordinate shares until the node is killed."""
        with self.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._confirm_until_cancelled)
                nursery.start_soon(self.holder.run)

    def learn_version(self, version: int) -> None:
        """Follow a version of the owner table."""
        if self.alive and self.running.is_set():
            self.known_version = max(self.known_version, version)

    async def _confirm_until_cancelled(self) -> None:
        rng = self.fleet.rng
        while True:
            requested_at = trio.current_time() - rng.uniform(0.0, 0.3)
            if self.connected and self.running.is_set():
                self._confirm(requested_at)
            await trio.sleep(CONFIRMATION_INTERVAL_SECONDS)

    def _confirm(self, requested_at: float) -> None:
        for version, stored in enumerate(self.fleet.table_versions):
            if stored.accepted_at <= requested_at:
                self.learn_version(version)
            if stored.accepted_at <= trio.current_time():
                self.confirmed_at_by_version.setdefault(
                    version, trio.current_time()
                )
        self.confirmed_at = max(self.confirmed_at, requested_at)


class Fleet:
    """Nodes, the network between them and the tokens that they granted.

    :ivar events: grants, each reduced by its refund
    :ivar gross_events: full grants, with refunds as separate events
    :ivar limit_history: largest limits in force, with the time
    """

    def __init__(self, seed: int, limit: _token_bucket.Limit) -> None:
        self.rng = random.Random(seed)
        self.limit = limit
        self.network = Network()
        self.table_versions = [TableVersion(_owners.Owners(), -math.inf)]
        self.nodes_by_id: dict[str, Node] = {}
        self.incarnations = itertools.count(1)
        self.events: list[Grant] = []
        self.gross_events: list[Grant] = []
        self.limit_history: list[tuple[float, _token_bucket.Limit]] = []
        self.nursery: trio.Nursery | None = None
        self._vm_numbers = itertools.count()

    def add_node(self, vm_id: str = '', is_first_process: bool = True) -> Node:
        """Start a node; it is a restart if the vm_id was used before."""
        vm_id = vm_id or f'vm{next(self._vm_numbers)}'
        node = Node(self, vm_id, is_first_process)
        self.nodes_by_id[vm_id] = node
        assert self.nursery is not None
        self.nursery.start_soon(node.run)
        return node

    def kill(self, node: Node) -> None:
        """Stop a node immediately."""
        node.alive = False
        node.scope.cancel()
        self.nodes_by_id.pop(node.vm_id, None)

    def live_nodes(self) -> list[Node]:
        """Return the nodes that were not killed."""
        return list(self.nodes_by_id.values())

    def store_owner(
        self, vm_id: str, accept_after: float, spread: float = 1.0
    ) -> None:
        """Store a new owner table; a change of the owner starts an epoch."""
        now = trio.current_time()
        before = self.table_versions[-1].owners
        old = before.slices[0]
        version = len(self.table_versions)
        epoch = old.epoch if old.vm_id == vm_id else version
        slices = (_owners.Slice(vm_id, epoch),) * _owners.SLICES
        owners = _owners.Owners(version, slices)
        self.table_versions.append(TableVersion(owners, now + accept_after))
        for node in self.live_nodes():
            if node.connected:
                delay = self.rng.uniform(0.0, spread)
                self._schedule(delay, node.learn_version, version)

    def change_contract(
        self, limit: _token_bucket.Limit, spread: float
    ) -> None:
        """Change the contract at each node, within `spread` seconds."""
        self.limit = limit
        for node in self.live_nodes():
            delay = self.rng.uniform(0.0, spread)
            self._schedule(delay, self._change_limit, node, limit)

    def limit_at(self, node: Node, account: str) -> _token_bucket.Limit:
        """Return the limit in force at a node."""
        return node.limit if account == ACCOUNT else _token_bucket.Limit(0, 0)

    async def grant(
        self, node: Node, tokens: int, used: int, wait: float, hold: float
    ) -> errors.Code | None:
        """Run one call at a node; return its error code or None.

        The grant is recorded at the time of its reservation: in `events`
        with the tokens that were charged in the end, in `gross_events`
        in full, and its refund at the time of settlement.
        """
        try:
            await node.running.wait()
            reservation = await node.holder.reserve(ACCOUNT, tokens, wait)
        except errors.Error as error:
            return error.code
        at = trio.current_time()
        index = len(self.events)
        self.events.append(Grant(at, tokens))
        self.gross_events.append(Grant(at, tokens))
        await trio.sleep(hold)
        if used < tokens and node.alive and node.running.is_set():
            reservation.settle(used)
            credit = tokens - reservation.charged
            self.events[index] = Grant(at, reservation.charged)
            self.gross_events.append(Grant(trio.current_time(), -credit))
        return None

    async def send(
        self, sender: Sender, vm_id: str, service: str, payload: bytes
    ) -> bytes | str:
        """Deliver a request and return its response, or sleep forever."""
        has_response = trio.Event()
        responses: list[bytes | str] = []

        async def deliver() -> None:
            await self._delay(sender.vm_id, vm_id)
            response = await self._handle(sender, vm_id, service, payload)
            await self._delay(vm_id, sender.vm_id)
            responses.append(response)
            has_response.set()

        assert self.nursery is not None
        self.nursery.start_soon(deliver)
        if self.rng.random() < self.network.duplicate_probability:
            self.nursery.start_soon(deliver)
        await has_response.wait()
        return responses[0]

    async def _handle(
        self, sender: Sender, vm_id: str, service: str, payload: bytes
    ) -> bytes | str:
        node = self.nodes_by_id.get(vm_id)
        if node is None:
            await trio.sleep_forever()
            raise AssertionError
        await node.running.wait()
        handlers = {
            _share_messages.REPORT_SERVICE: node.coordinator.handle_report,
            _share_messages.HANDOVER_SERVICE: node.coordinator.handle_handover,
            _share_messages.DEPUTY_SERVICE: node.deputy.handle_request,
        }
        try:
            return await handlers[service](sender, payload)
        except errors.Error as error:
            return str(error)

    async def _delay(self, source: str, destination: str) -> None:
        lost = self.rng.random() < self.network.drop_probability
        if lost or (source, destination) in self.network.blocked_pairs:
            await trio.sleep_forever()
        late = self.rng.random() < self.network.late_probability
        longest = (
            MAX_LATENCY_SECONDS if late else self.network.usual_latency_seconds
        )
        await trio.sleep(self.rng.uniform(MIN_LATENCY_SECONDS, longest))

    def _schedule(
        self, delay: float, callback: abc.Callable[..., None], *args: object
    ) -> None:
        async def later() -> None:
            await trio.sleep(delay)
            callback(*args)

        assert self.nursery is not None
        self.nursery.start_soon(later)

    def _change_limit(self, node: Node, limit: _token_bucket.Limit) -> None:
        self.record_limits()
        node.limit = limit
        self.record_limits()

    def record_limits(self) -> None:
        """Record the largest rate and burst in force at any node."""
        limits = [node.limit for node in self.live_nodes()] or [self.limit]
        largest = _token_bucket.Limit(
            max(limit.rate for limit in limits),
            max(limit.burst for limit in limits),
        )
        self.limit_history.append((trio.current_time(), largest))


def max_excess(
    events: list[Grant], limits: list[tuple[float, _token_bucket.Limit]]
) -> float:
    """Return the most tokens granted above burst + rate x t in any window.

    All windows between two events are covered: `running` is the largest
    excess of a window that ends at the current event. If the contract
    changed, the bound uses the largest rate in force at any node at each
    time, and the largest burst at the start of the window. The result is
    negative if every window stayed below its bound.
    """
    # A window starts at a grant or immediately before a contract change.
    moments = sorted(
        [(at, 0, 0.0, limit) for at, limit in limits]
        + [(event.at, 1, event.tokens, None) for event in events],
        key=lambda moment: moment[0],
    )
    limit = limits[0][1]
    last = moments[0][0]
    running = -math.inf
    largest_excess = -math.inf
    for at, _, tokens, new_limit in moments:
        running = max(running - limit.rate * (at - last), -limit.burst)
        last = at
        if new_limit is not None:
            limit = new_limit
            running = max(running, -limit.burst)
            continue
        running += tokens
        largest_excess = max(largest_excess, running)
    return largest_excess
