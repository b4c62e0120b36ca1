"""Replication: a node polls its parents for newer objects."""

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

# A parent holds a poll for at most HOLD_SECONDS. It replies sooner if it has a
# newer version, or if its confirmed state is newer than the poller's by
# STEP_SECONDS. The primary parent's small step keeps staleness from growing
# much with each level of the tree.
PRIMARY_HOLD_SECONDS, PRIMARY_STEP_SECONDS = 1.1, 0.7
SECONDARY_HOLD_SECONDS, SECONDARY_STEP_SECONDS = 4.0, 2.0
WATCHER_HOLD_SECONDS, WATCHER_STEP_SECONDS = 1.5, 1.4

# A node delays its next poll by this much for each level below it, so that the
# poll includes their attestations. A thousand VMs make four levels.
LEVEL_DELAY_SECONDS = 0.02
TREE_LEVELS = 4

# Watchers send all their attestations to the first watcher this often.
FULL_REPORT_INTERVAL_SECONDS = 2.0

# Without a confirmation from the object API for this long, a node relies on a
# quorum of attestations.
API_OUTAGE_SECONDS = 1.5

# Age at which a received stamp expires.
STAMP_TTL_SECONDS = 60.0

# Number of objects that this node tracks. A newer release may track more, so
# longer lists in replies are cut to this length.
TRACKED_COUNT = len(_documents.TRACKED)

# Attestations carry an incarnation modulo this number.
INCARNATION_MODULUS = 2**32

# Time beyond the hold after which a poll times out.
POLL_TIMEOUT_SECONDS = 0.5

# Delay before the next poll after a failure, or without a parent to poll.
POLL_RETRY_SECONDS = 0.2

# Interval at which unreachable VMs are probed, one at a time.
UNREACHABLE_PROBE_SECONDS = 0.5

# Interval at which the received attestations are checked for a quorum.
QUORUM_CHECK_INTERVAL_SECONDS = 0.25

# Staleness above which a node that is not a watcher probes the object API.
DIRECT_PROBE_AGE_SECONDS = _freshness.MAX_AGE_SECONDS / 2

# Interval at which a node checks whether it has to watch or probe the API.
ROLE_CHECK_SECONDS = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class _Received:
    """A stamp of a parent and the time of its receipt."""

    stamp: _poll_messages.Stamp = _poll_messages.Stamp()
    time: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class _PollOptions:
    """Parameters of one poll.

    :ivar hold: longest time that the parent holds the poll, seconds
    :ivar step: a state confirmed later by this much ends the hold, seconds
    :ivar with_subtree: whether the poll includes the attestations of the
        nodes below this one
    """

    hold: float
    step: float
    with_subtree: bool = False


class Replicator:
    """Keeps this node's tracked objects as new as those of its parents.

    It also counts attestations. It watches and probes the object API while
    this node is a watcher, and probes it on other nodes while their staleness
    exceeds DIRECT_PROBE_AGE_SECONDS.
    """

    def __init__(
        self,
        components: _components.Components,
        source: _api_source.ApiSource,
        from_api: _documents.FetchPart,
    ) -> None:
        self._components = components
        self._source = source
        self._from_api = from_api
        self._received_by_vm: dict[str, _Received] = {}
        self._full_report_times_by_vm: dict[str, float] = {}

    async def run(self) -> None:
        """Poll parents, watch and probe the API and count until cancelled."""
        async with trio.open_nursery() as nursery:
            for slot in range(_tree_layout.PARENT_COUNT):
                nursery.start_soon(self._poll_loop, slot)
            for index in range(len(_documents.TRACKED)):
                nursery.start_soon(self._watch_loop, index)
                nursery.start_soon(self._probe_loop, index)
            nursery.start_soon(self._unreachable_loop)
            nursery.start_soon(self._quorum_loop)

    async def _poll_loop(self, slot: int) -> None:
        while True:
            parents = self._components.tree.parents()
            if slot >= len(parents):
                await trio.sleep(POLL_RETRY_SECONDS)
                continue
            if not await self._poll(parents[slot], self._options(slot)):
                await self._poll_others()
                await trio.sleep(POLL_RETRY_SECONDS)
            elif slot == 0:
                levels_below = TREE_LEVELS - 1 - self._components.tree.level()
                await trio.sleep(LEVEL_DELAY_SECONDS * max(levels_below, 0))

    async def _poll_others(self) -> None:
        """Poll every parent and watcher without a hold.

        Their replies show at once which of them are reachable, and any
        newer versions.
        """
        tree = self._components.tree
        others = {*tree.parents(), *tree.watchers()}
        async with trio.open_nursery() as nursery:
            for vm_id in others - {self._components.identity.vm_id}:
                nursery.start_soon(self._poll, vm_id, _PollOptions(0.0, 0.0))

    def _options(self, slot: int) -> _PollOptions:
        if self._components.tree.is_watcher():
            return _PollOptions(
                WATCHER_HOLD_SECONDS, WATCHER_STEP_SECONDS, with_subtree=True
            )
        if slot == 0:
            return _PollOptions(
                PRIMARY_HOLD_SECONDS, PRIMARY_STEP_SECONDS, with_subtree=True
            )
        return _PollOptions(SECONDARY_HOLD_SECONDS, SECONDARY_STEP_SECONDS)

    async def _poll(self, parent: str, options: _PollOptions) -> bool:
        sent_at = self._components.now()
        poll = _poll_messages.encode_poll(self._make_poll(parent, options))
        try:
            payload = await self._components.peers.call(
                parent,
                _replication_server.POLL,
                poll,
                options.hold + POLL_TIMEOUT_SECONDS,
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
        # The peer received the poll after `sent_at` and replied `held`
        # seconds later, so a delayed reply can only understate this time.
        confirmed_at = sent_at + reply.held - reply.age
        ours = self._components.documents.versions()
        for index, theirs in enumerate(reply.versions[:TRACKED_COUNT]):
            if ours[index] >= theirs:
                self._components.freshness.confirm(
                    index, confirmed_at, _freshness.Evidence.PEER
                )
        return True

    def _make_poll(
        self, parent: str, options: _PollOptions
    ) -> _poll_messages.Poll:
        now = self._components.now()
        received = self._received_by_vm.get(parent, _Received())
        if now - received.time > STAMP_TTL_SECONDS:
            received = _Received()
        attestations = []
        if received.stamp.incarnation:
            attestations = [
                dataclasses.replace(one, made=one.made - received.time)
                for one in self._attestations_for(parent, options)
            ]
        return _poll_messages.Poll(
            self._components.documents.versions(),
            self._components.acceptance.accepted(),
            received.stamp,
            now - received.time if received.stamp.incarnation else 0.0,
            options.hold,
            now - self._components.freshness.confirmed_at(),
            options.step,
            attestations,
        )

    def _attestations_for(
        self, parent: str, options: _PollOptions
    ) -> list[_attestations.Attestation]:
        if not options.with_subtree:
            return self._own_attestations()
        tree = self._components.tree
        attestations = self._components.attestations
        if not tree.is_watcher():
            return self._with_own(attestations.recent())
        # The first watcher assigns slices to the VMs that attest.
        now = self._components.now()
        reported_at = self._full_report_times_by_vm.get(parent, -math.inf)
        if (
            parent == tree.watchers()[0]
            and now - reported_at >= FULL_REPORT_INTERVAL_SECONDS
        ):
            self._full_report_times_by_vm[parent] = now
            return self._with_own(attestations.recent())
        if self._needs_quorum():
            return self._with_own(attestations.recent_below())
        return self._own_attestations()

    def _needs_quorum(self) -> bool:
        """Return whether an acceptance or a confirmation needs a quorum."""
        return (
            self._source.staleness() > API_OUTAGE_SECONDS
            or _poll_messages.has_newer(
                self._components.documents.versions(),
                self._components.acceptance.accepted(),
            )
        )

    def _with_own(
        self, others: list[_attestations.Attestation]
    ) -> list[_attestations.Attestation]:
        """Return others' attestations together with those of this node."""
        own = _tree_layout.vm_hash(self._components.identity.vm_id)
        others = [one for one in others if one.member != own]
        return others + self._own_attestations()

    def _own_attestations(self) -> list[_attestations.Attestation]:
        """Return the attestation of this node, if it makes one.

        A node attests nothing until its state has been confirmed: an
        earlier process of this VM may have been counted for the acceptance
        of a version that this process does not hold yet.
        """
        if not self._components.freshness.was_confirmed():
            return []
        return [
            _attestations.Attestation(
                _tree_layout.vm_hash(self._components.identity.vm_id),
                self._components.identity.incarnation % INCARNATION_MODULUS,
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
        for index, theirs in enumerate(reply.versions[:TRACKED_COUNT]):
            if self._components.documents.versions()[index] < theirs:
                found = await _fetching.fetch_object(
                    self._components.peers, parent, index
                )
                await self._components.documents.adopt(
                    index, found, self._part_fetcher(parent)
                )
        if self._components.documents.lacks_last_good():
            entries = await _fetching.fetch_last_good_entries(
                self._components.peers, parent
            )
            await self._components.documents.restore_last_good(
                entries, self._part_fetcher(parent)
            )
        for index, accepted in enumerate(reply.accepted[:TRACKED_COUNT]):
            self._components.acceptance.mark_accepted(index, accepted)

    def _part_fetcher(self, parent: str) -> _documents.FetchPart:
        """Return a fetcher that tries this parent, other parents, the API."""

        def vm_ids() -> list[str]:
            others = [
                one for one in self._components.tree.parents() if one != parent
            ]
            return [parent, *others]

        from_peers = _fetching.peer_fetcher(self._components.peers, vm_ids)
        return _fetching.fallback_fetcher(from_peers, self._from_api)

    async def _watch_loop(self, index: int) -> None:
        while True:
            if not self._components.tree.is_watcher():
                await trio.sleep(ROLE_CHECK_SECONDS)
                continue
            await self._source.watch(index)

    async def _probe_loop(self, index: int) -> None:
        while True:
            if (
                self._components.tree.is_watcher()
                or self._components.freshness.staleness()
                > DIRECT_PROBE_AGE_SECONDS
            ):
                await self._source.probe(index)
                await trio.sleep(_api_source.PROBE_INTERVAL_SECONDS)
            else:
                await trio.sleep(ROLE_CHECK_SECONDS * (0.5 + random.random()))

    async def _unreachable_loop(self) -> None:
        while True:
            members = self._components.membership.members()
            unreachable = sorted(members.unreachable)
            if not unreachable:
                await trio.sleep(UNREACHABLE_PROBE_SECONDS)
            for vm_id in unreachable:
                await self._poll(vm_id, _PollOptions(0.0, 0.0))
                await trio.sleep(UNREACHABLE_PROBE_SECONDS)

    async def _quorum_loop(self) -> None:
        while True:
            await trio.sleep(QUORUM_CHECK_INTERVAL_SECONDS)
            self._count_attestations()

    def _count_attestations(self) -> None:
        for one in self._own_attestations():
            self._components.attestations.add(one)
        voter_sets = self._components.membership.members().voter_sets
        if not voter_sets:
            return
        attestations = self._components.attestations.recent()
        # So few attestations cannot be a majority of any voter set.
        if 2 * len(attestations) <= min(map(len, voter_sets)):
            return
        self._components.acceptance.count_votes(attestations, voter_sets)
        confirmed_at = _attestations.quorum_confirmed_at(
            attestations, self._components.documents.versions(), voter_sets
        )
        if confirmed_at > -math.inf:
            self._components.freshness.confirm_all(
                confirmed_at, _freshness.Evidence.MAJORITY
            )
