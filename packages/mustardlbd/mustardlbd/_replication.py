"""Keep what this node holds as new as its parents, and count majorities."""

import dataclasses
import math
import random

import structlog
import trio

from mustardlb import errors
from mustardlbd import _api_source
from mustardlbd import _attestations
from mustardlbd import _components
from mustardlbd import _documents
from mustardlbd import _fetching
from mustardlbd import _freshness
from mustardlbd import _poll_messages
from mustardlbd import _replication_server
from mustardlbd import _tree_layout

log = structlog.get_logger()

# How long a parent holds a poll at most, and by how much its knowledge must
# be newer for it to answer sooner, seconds: the first parent answers whenever
# its knowledge has moved on, so that age hardly grows down the tree.
FIRST_HOLD, FIRST_STEP = 1.1, 0.7
SECOND_HOLD, SECOND_STEP = 4.0, 2.0
WATCHER_HOLD, WATCHER_STEP = 1.5, 1.4

# How long each level waits for the attestations of the one below before it
# polls again, seconds; there are four levels at a thousand VMs.
LEVEL_PAUSE = 0.02
LEVELS = 4

# How often watchers tell the first one every attestation, seconds.
TABLE_INTERVAL = 2.0

# Age of the API's evidence past which majorities are waited for, seconds.
OUTAGE_AGE = 1.5

# A stamp older than this is of no use, seconds.
STAMP_LIFE = 60.0

# Objects that this node tracks; a newer one may track more.
TRACKED = len(_documents.TRACKED)

# Attestations carry the last bits of an incarnation.
INCARNATION_TAGS = 2**32

# How long a reply is waited for beyond the hold, seconds.
POLL_TIMEOUT = 0.5

# Pause of a slot without a parent or after a failure, seconds.
SLOT_PAUSE = 0.2

# How often one unreachable VM is tried again, seconds.
RETRY_INTERVAL = 0.5

# How often majorities are looked for, seconds.
COUNT_INTERVAL = 0.25

# Age past which a node that is no watcher asks the API itself, seconds.
DIRECT_AGE = _freshness.MAX_AGE_SECONDS / 2

# How often that is looked at, seconds.
DIRECT_INTERVAL = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class _Received:
    """A stamp and when it came."""

    stamp: _poll_messages.Stamp = _poll_messages.Stamp()
    time: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Waits:
    """How a poll is to be held.

    :ivar whole: whether it brings the attestations of the nodes below
    """

    hold: float
    step: float
    whole: bool = False


class Replicator:
    """Keeps this node's tracked objects as new as its parents'."""

    def __init__(
        self,
        parts: _components.Components,
        source: _api_source.ApiSource,
        from_api: _documents.FetchPart,
    ) -> None:
        self._components = parts
        self._source = source
        self._from_api = from_api
        self._received_by_vm: dict[str, _Received] = {}
        self._told_by_vm: dict[str, float] = {}

    async def run(self) -> None:
        """Poll, watch, probe and count for ever."""
        async with trio.open_nursery() as nursery:
            for slot in range(_tree_layout.PARENT_COUNT):
                nursery.start_soon(self._poll_for_ever, slot)
            for index in range(len(_documents.TRACKED)):
                nursery.start_soon(self._watch_for_ever, index)
                nursery.start_soon(self._probe_for_ever, index)
            nursery.start_soon(self._retry_for_ever)
            nursery.start_soon(self._count_for_ever)

    async def _poll_for_ever(self, slot: int) -> None:
        while True:
            parents = self._components.tree.parents()
            if slot >= len(parents):
                await trio.sleep(SLOT_PAUSE)
                continue
            if not await self._poll(parents[slot], self._waits(slot)):
                await self._poll_others()
                await trio.sleep(SLOT_PAUSE)
            elif slot == 0:
                below = LEVELS - 1 - self._components.tree.level()
                await trio.sleep(LEVEL_PAUSE * max(below, 0))

    async def _poll_others(self) -> None:
        """Learn at once which parents and watchers answer, and their news."""
        tree = self._components.tree
        others = {*tree.parents(), *tree.watchers()}
        async with trio.open_nursery() as nursery:
            for vm_id in others - {self._components.identity.vm_id}:
                nursery.start_soon(self._poll, vm_id, _Waits(0.0, 0.0))

    def _waits(self, slot: int) -> _Waits:
        if self._components.tree.is_watcher():
            return _Waits(WATCHER_HOLD, WATCHER_STEP, whole=True)
        if slot == 0:
            return _Waits(FIRST_HOLD, FIRST_STEP, whole=True)
        return _Waits(SECOND_HOLD, SECOND_STEP)

    async def _poll(self, parent: str, waits: _Waits) -> bool:
        asked = self._components.now()
        poll = _poll_messages.encode_poll(self._make_poll(parent, waits))
        try:
            payload = await self._components.peers.call(
                parent,
                _replication_server.POLL,
                poll,
                waits.hold + POLL_TIMEOUT,
            )
            reply = _poll_messages.decode_reply(payload)
            await self._adopt_newer(parent, reply)
        except (
            errors.Error,
            _poll_messages.BadMessage,
            _documents.FetchError,
        ) as error:
            log.info('MLB-2032', peer=parent, problem=str(error))
            return False
        # The peer got the poll after it was asked and answered `held`
        # seconds later; that its answer may be late changes nothing.
        as_of = asked + reply.held - reply.age
        ours = self._components.documents.versions()
        for index, theirs in enumerate(reply.versions[:TRACKED]):
            if ours[index] >= theirs:
                self._components.freshness.confirm(
                    index, as_of, _freshness.Evidence.PEER
                )
        return True

    def _make_poll(self, parent: str, waits: _Waits) -> _poll_messages.Poll:
        now = self._components.now()
        received = self._received_by_vm.get(parent, _Received())
        if now - received.time > STAMP_LIFE:
            received = _Received()
        attestations = []
        if received.stamp.incarnation:
            attestations = [
                dataclasses.replace(one, made=one.made - received.time)
                for one in self._attested_to(parent, waits)
            ]
        return _poll_messages.Poll(
            self._components.documents.versions(),
            self._components.acceptance.accepted(),
            received.stamp,
            now - received.time if received.stamp.incarnation else 0.0,
            waits.hold,
            now - self._components.freshness.confirmed_at(),
            waits.step,
            attestations,
        )

    def _attested_to(
        self, parent: str, waits: _Waits
    ) -> list[_attestations.Attestation]:
        if not waits.whole:
            return self._attested_here()
        tree = self._components.tree
        attestations = self._components.attestations
        if not tree.is_watcher():
            return self._attested(attestations.recent())
        # The first watcher has to know who is alive, for the owners.
        now = self._components.now()
        told = self._told_by_vm.get(parent, -math.inf)
        if parent == tree.watchers()[0] and now - told >= TABLE_INTERVAL:
            self._told_by_vm[parent] = now
            return self._attested(attestations.recent())
        if self._awaits_majority():
            return self._attested(attestations.recent_below())
        return self._attested_here()

    def _awaits_majority(self) -> bool:
        """Whether an acceptance or evidence hangs on a majority."""
        return (
            self._source.staleness() > OUTAGE_AGE
            or _poll_messages.has_newer(
                self._components.documents.versions(),
                self._components.acceptance.accepted(),
            )
        )

    def _attested(
        self, others: list[_attestations.Attestation]
    ) -> list[_attestations.Attestation]:
        """Return what this node attests, with what others attested."""
        own = _tree_layout.vm_hash(self._components.identity.vm_id)
        others = [one for one in others if one.member != own]
        return others + self._attested_here()

    def _attested_here(self) -> list[_attestations.Attestation]:
        """Return what this node attests.

        A node attests nothing before it was current: it may have held a
        version, and counted for its acceptance, before it restarted.
        """
        if not self._components.freshness.is_current():
            return []
        return [
            _attestations.Attestation(
                _tree_layout.vm_hash(self._components.identity.vm_id),
                self._components.identity.incarnation % INCARNATION_TAGS,
                self._components.documents.versions(),
                self._components.now(),
            )
        ]

    async def _adopt_newer(
        self, parent: str, reply: _poll_messages.PollReply
    ) -> None:
        self._received_by_vm[parent] = _Received(
            reply.stamp, self._components.now()
        )
        for index, theirs in enumerate(reply.versions[:TRACKED]):
            if self._components.documents.versions()[index] < theirs:
                found = await _fetching.fetch_object(
                    self._components.peers, parent, index
                )
                await self._components.documents.adopt(
                    index, found, self._part_fetcher(parent)
                )
        if self._components.documents.lacks_last_good():
            kept = await _fetching.fetch_kept(self._components.peers, parent)
            await self._components.documents.restore(
                kept, self._part_fetcher(parent)
            )
        for index, accepted in enumerate(reply.accepted[:TRACKED]):
            self._components.acceptance.mark_accepted(index, accepted)

    def _part_fetcher(self, parent: str) -> _documents.FetchPart:
        """Fetch parts from the parent that has the head, else elsewhere."""

        def sources() -> list[str]:
            others = [
                one for one in self._components.tree.parents() if one != parent
            ]
            return [parent, *others]

        from_peers = _fetching.peer_fetcher(self._components.peers, sources)
        return _fetching.fallback_fetcher(from_peers, self._from_api)

    async def _watch_for_ever(self, index: int) -> None:
        while True:
            if not self._components.tree.is_watcher():
                await trio.sleep(DIRECT_INTERVAL)
                continue
            await self._source.watch(index)

    async def _probe_for_ever(self, index: int) -> None:
        while True:
            if (
                self._components.tree.is_watcher()
                or self._components.freshness.staleness() > DIRECT_AGE
            ):
                await self._source.probe(index)
                await trio.sleep(_api_source.PROBE_INTERVAL_SECONDS)
            else:
                await trio.sleep(DIRECT_INTERVAL * (0.5 + random.random()))

    async def _retry_for_ever(self) -> None:
        while True:
            members = self._components.membership.members()
            lost = sorted(members.unreachable)
            if not lost:
                await trio.sleep(RETRY_INTERVAL)
            for vm_id in lost:
                await self._poll(vm_id, _Waits(0.0, 0.0))
                await trio.sleep(RETRY_INTERVAL)

    async def _count_for_ever(self) -> None:
        while True:
            await trio.sleep(COUNT_INTERVAL)
            self._count()

    def _count(self) -> None:
        for one in self._attested_here():
            self._components.attestations.add(one)
        voter_sets = self._components.membership.members().voter_sets
        if not voter_sets:
            return
        attestations = self._components.attestations.recent()
        if 2 * len(attestations) <= min(map(len, voter_sets)):
            return
        self._components.acceptance.count_votes(attestations, voter_sets)
        as_of = _attestations.quorum_confirmed_at(
            attestations, self._components.documents.versions(), voter_sets
        )
        if as_of > -math.inf:
            self._components.freshness.confirm_all(
                as_of, _freshness.Evidence.MAJORITY
            )
