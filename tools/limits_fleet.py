"""A small fleet of share holders and keepers in virtual time.

The holders and keepers are the product's own; fakes stand at its
interfaces: a network that loses, delays and doubles messages, a table of
owners that spreads late, and evidence of freshness. All chances come from
one seeded generator.
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
from mustardlbd import _bucket
from mustardlbd import _owners
from mustardlbd import _share_deputy
from mustardlbd import _share_holder
from mustardlbd import _share_keeper
from mustardlbd import _share_messages
from mustardlbd import _share_ports

ACCOUNT = 'canopy'

# From acceptance until a version of the table binds every node, seconds.
SETTLE_TIME = freshness.PROPAGATION_SECONDS

# How often a node that is in contact gathers evidence, seconds.
EVIDENCE_INTERVAL = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Sender:
    """Who sent a request."""

    vm_id: str
    incarnation: int


@dataclasses.dataclass(slots=True)
class Network:
    """What the network does to messages.

    :ivar drop: chance that a request or a reply is lost
    :ivar double: chance that a request arrives a second time, later
    :ivar late: chance that a message takes up to LATEST seconds
    :ivar usual: seconds that a message takes at most, if it is not late
    :ivar cut: ordered pairs (from, to) between which nothing passes
    """

    drop: float = 0.0
    double: float = 0.0
    late: float = 0.0
    usual: float = 0.002
    cut: set[tuple[str, str]] = dataclasses.field(default_factory=set)


# The least and latest time that a message takes, seconds.
FASTEST = 0.0005
LATEST = 4.0


@dataclasses.dataclass(slots=True)
class TableVersion:
    """One stored version of the table of owners."""

    owners: _owners.Owners
    accepted_at: float = math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """Tokens granted (or given back, negative) at a moment."""

    at: float
    tokens: float


class Node:
    """One node: a holder, a keeper and what they know."""

    def __init__(self, fleet: 'Fleet', vm_id: str, first: bool) -> None:
        self.fleet = fleet
        self.vm_id = vm_id
        self.incarnation = next(fleet.incarnations)
        self.first = first
        self.alive = True
        self.connected = True
        self.running = trio.Event()
        self.running.set()
        self.known = 0
        self.as_of = -math.inf
        self.evidence_by_version: dict[int, float] = {}
        self.limit = fleet.limit
        self.scope = trio.CancelScope()
        self.ports = _share_ports.Ports(
            vm_id=vm_id,
            incarnation=self.incarnation,
            now=trio.current_time,
            age=lambda: trio.current_time() - self.as_of,
            check_fresh=self.check_fresh,
            vms=lambda: list(fleet.nodes_by_id),
            owners=self.owners,
            settled=self.settled,
            call=self.call,
            contract=lambda account: fleet.contract_at(self, account),
            first_process=lambda: self.first,
        )
        self.keeper = _share_keeper.ShareKeeper(self.ports)
        self.deputy = _share_deputy.ShareDeputy(self.ports)
        self.holder = _share_holder.ShareHolder(self.ports, self.keeper)

    def owners(self) -> _owners.Owners:
        """Return the table as this node knows it."""
        return self.fleet.table[self.known].owners

    def check_fresh(self, step: steps.Step) -> None:
        """Refuse where knowledge is too old."""
        if trio.current_time() - self.as_of > _share_ports.MAX_AGE:
            raise errors.Error(
                errors.Code.NODE_NOT_CURRENT, 'old', step, not_run=True
            )

    def settled(self, version: int) -> bool:
        """Whether a version binds every node, as this one can tell."""
        limit = trio.current_time() - SETTLE_TIME
        return self.known >= version and any(
            accepted >= version and heard <= limit
            for accepted, heard in self.evidence_by_version.items()
        )

    async def call(
        self, vm_id: str, service: str, payload: bytes, timeout: float
    ) -> bytes:
        """Send one request over the fake network."""
        await self.running.wait()
        answer: bytes | str | None = None
        with trio.move_on_after(timeout):
            sender = Sender(self.vm_id, self.incarnation)
            answer = await self.fleet.carry(sender, vm_id, service, payload)
        # A node may be paused with the answer in hand.
        await self.running.wait()
        if isinstance(answer, bytes):
            return answer
        code = errors.Code.PEER_REFUSED
        if answer is None:
            code = errors.Code.PEER_UNAVAILABLE
        problem = answer or 'no answer'
        raise errors.Error(code, problem, steps.Step.LIMIT, peer=vm_id)

    async def run(self) -> None:
        """Hold and keep shares until the node dies."""
        with self.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._gather_evidence)
                nursery.start_soon(self.holder.run)

    def learn(self, version: int) -> None:
        """Come to know a version of the table."""
        if self.alive and self.running.is_set():
            self.known = max(self.known, version)

    async def _gather_evidence(self) -> None:
        chance = self.fleet.chance
        while True:
            asked_at = trio.current_time() - chance.uniform(0.0, 0.3)
            if self.connected and self.running.is_set():
                self._adopt_evidence(asked_at)
            await trio.sleep(EVIDENCE_INTERVAL)

    def _adopt_evidence(self, asked_at: float) -> None:
        for version, stored in enumerate(self.fleet.table):
            if stored.accepted_at <= asked_at:
                self.learn(version)
            if stored.accepted_at <= trio.current_time():
                self.evidence_by_version.setdefault(
                    version, trio.current_time()
                )
        self.as_of = max(self.as_of, asked_at)


class Fleet:
    """Nodes, the network between them and what they granted."""

    def __init__(self, seed: int, limit: _bucket.Limit) -> None:
        self.chance = random.Random(seed)
        self.limit = limit
        self.network = Network()
        self.table = [TableVersion(_owners.Owners(), -math.inf)]
        self.nodes_by_id: dict[str, Node] = {}
        self.incarnations = itertools.count(1)
        self.events: list[Event] = []
        self.gross_events: list[Event] = []
        self.limits_seen: list[tuple[float, _bucket.Limit]] = []
        self.nursery: trio.Nursery | None = None
        self._names = itertools.count()

    def add_node(self, vm_id: str = '', first: bool = True) -> Node:
        """Start a node; one with a known vm_id is a restart."""
        vm_id = vm_id or f'vm{next(self._names)}'
        node = Node(self, vm_id, first)
        self.nodes_by_id[vm_id] = node
        assert self.nursery is not None
        self.nursery.start_soon(node.run)
        return node

    def kill(self, node: Node) -> None:
        """End a node at once."""
        node.alive = False
        node.scope.cancel()
        self.nodes_by_id.pop(node.vm_id, None)

    def live(self) -> list[Node]:
        """List the nodes that run."""
        return list(self.nodes_by_id.values())

    def store_owner(
        self, vm_id: str, accept_after: float, spread: float = 1.0
    ) -> None:
        """Write a new table; an owner that is new gets a new epoch."""
        now = trio.current_time()
        before = self.table[-1].owners
        old = before.slices[0]
        version = len(self.table)
        epoch = old.epoch if old.vm_id == vm_id else version
        slices = (_owners.Slice(vm_id, epoch),) * _owners.SLICES
        owners = _owners.Owners(version, slices)
        self.table.append(TableVersion(owners, now + accept_after))
        for node in self.live():
            if node.connected:
                after = self.chance.uniform(0.0, spread)
                self._soon(after, node.learn, version)

    def change_contract(self, limit: _bucket.Limit, spread: float) -> None:
        """Let each node adopt a new contract, each at its own time."""
        self.limit = limit
        for node in self.live():
            after = self.chance.uniform(0.0, spread)
            self._soon(after, self._adopt_contract, node, limit)

    def contract_at(self, node: Node, account: str) -> _bucket.Limit:
        """Return the contract in force at a node."""
        return node.limit if account == ACCOUNT else _bucket.Limit(0, 0)

    async def grant(
        self, node: Node, tokens: int, used: int, wait: float, hold: float
    ) -> errors.Code | None:
        """Make one call at a node and settle it; the error's code or None.

        The grant counts at the moment of its reservation, once as what
        was charged in the end and once in full with the credit apart.
        """
        try:
            await node.running.wait()
            reservation = await node.holder.reserve(ACCOUNT, tokens, wait)
        except errors.Error as error:
            return error.code
        at = trio.current_time()
        place = len(self.events)
        self.events.append(Event(at, tokens))
        self.gross_events.append(Event(at, tokens))
        await trio.sleep(hold)
        if used < tokens and node.alive and node.running.is_set():
            reservation.settle(used)
            credit = tokens - reservation.charged
            self.events[place] = Event(at, reservation.charged)
            self.gross_events.append(Event(trio.current_time(), -credit))
        return None

    async def carry(
        self, sender: Sender, vm_id: str, service: str, payload: bytes
    ) -> bytes | str:
        """Bring a request to a node and its answer back, or sleep."""
        answered = trio.Event()
        answers: list[bytes | str] = []

        async def deliver() -> None:
            await self._travel(sender.vm_id, vm_id)
            answer = await self._answer(sender, vm_id, service, payload)
            await self._travel(vm_id, sender.vm_id)
            answers.append(answer)
            answered.set()

        assert self.nursery is not None
        self.nursery.start_soon(deliver)
        if self.chance.random() < self.network.double:
            self.nursery.start_soon(deliver)
        await answered.wait()
        return answers[0]

    async def _answer(
        self, sender: Sender, vm_id: str, service: str, payload: bytes
    ) -> bytes | str:
        node = self.nodes_by_id.get(vm_id)
        if node is None:
            await trio.sleep_forever()
            raise AssertionError
        await node.running.wait()
        handlers = {
            _share_messages.REPORT_SERVICE: node.keeper.handle_report,
            _share_messages.HANDOVER_SERVICE: node.keeper.handle_handover,
            _share_messages.DEPUTY_SERVICE: node.deputy.handle,
        }
        try:
            return await handlers[service](sender, payload)
        except errors.Error as error:
            return str(error)

    async def _travel(self, source: str, destination: str) -> None:
        lost = self.chance.random() < self.network.drop
        if lost or (source, destination) in self.network.cut:
            await trio.sleep_forever()
        late = self.chance.random() < self.network.late
        longest = LATEST if late else self.network.usual
        await trio.sleep(self.chance.uniform(FASTEST, longest))

    def _soon(
        self, after: float, act: abc.Callable[..., None], *args: object
    ) -> None:
        async def later() -> None:
            await trio.sleep(after)
            act(*args)

        assert self.nursery is not None
        self.nursery.start_soon(later)

    def _adopt_contract(self, node: Node, limit: _bucket.Limit) -> None:
        self.note_limits()
        node.limit = limit
        self.note_limits()

    def note_limits(self) -> None:
        """Note the largest rate and burst in force at any node."""
        limits = [node.limit for node in self.live()] or [self.limit]
        largest = _bucket.Limit(
            max(limit.rate for limit in limits),
            max(limit.burst for limit in limits),
        )
        self.limits_seen.append((trio.current_time(), largest))


def worst_excess(
    events: list[Event], limits: list[tuple[float, _bucket.Limit]]
) -> float:
    """Find the most tokens granted above burst + rate x t in any window.

    Over every pair of moments: the running value is the largest excess of
    a window that ends now. Where the contract changed, the rate of each
    moment and the burst at the window's start are the largest in force at
    any node. Negative where every window kept below its bound.
    """
    # A window starts at a grant or just before the contract changes.
    marks = sorted(
        [(at, 0, 0.0, limit) for at, limit in limits]
        + [(event.at, 1, event.tokens, None) for event in events],
        key=lambda mark: mark[0],
    )
    limit = limits[0][1]
    last = marks[0][0]
    running = -math.inf
    worst = -math.inf
    for at, _, tokens, change in marks:
        running = max(running - limit.rate * (at - last), -limit.burst)
        last = at
        if change is not None:
            limit = change
            running = max(running, -limit.burst)
            continue
        running += tokens
        worst = max(worst, running)
    return worst
