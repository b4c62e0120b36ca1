"""Shared state of a node: configuration, freshness, members and owners.

The composition root creates one SharedState, passes its methods to the other
components, serves its PeerServer and runs it.
"""

import collections
import dataclasses

import trio

from mustardlb import clock
from mustardlb import configuration
from mustardlb import errors
from mustardlb import object_api
from mustardlb import steps
from mustardlb import vm_list
from mustardlbd import _acceptance
from mustardlbd import _api_source
from mustardlbd import _attestations
from mustardlbd import _components
from mustardlbd import _documents
from mustardlbd import _fetching
from mustardlbd import _freshness
from mustardlbd import _membership
from mustardlbd import _notifier
from mustardlbd import _owner_table
from mustardlbd import _owners
from mustardlbd import _peer_server
from mustardlbd import _peers
from mustardlbd import _releases
from mustardlbd import _replication
from mustardlbd import _replication_server
from mustardlbd import _tree

# Number of head versions whose configuration revision is kept.
MAX_REVISION_HISTORY = 64

# The lowest version that a stored owner table can have.
FIRST_OWNERS_VERSION = 1

# wait_revision rechecks at this interval, besides at each notification.
RECHECK_INTERVAL_SECONDS = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Platform:
    """External services and functions that the shared state depends on.

    :ivar open_stream: opens a stream to a peer; _peers.open_tcp in
        production
    """

    api: object_api.ObjectApi
    vms: vm_list.VmList
    open_stream: _peers.OpenStream
    now: clock.Clock


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """Status of a node's shared state, as shown to operators.

    :ivar revision: revision of the active configuration
    :ivar accepted_revision: newest revision known to be accepted: stored,
        and held by a majority of the VMs
    :ivar age: staleness of the confirmed state in seconds; None before
        the first confirmation
    :ivar evidence: source of the latest confirmation
    :ivar current: whether the confirmed state is recent enough to admit
        requests
    :ivar watcher: whether this node watches and probes the object API
    :ivar parents: VMs that this node polls, the primary parent first
    :ivar invalid: objects whose newest value is invalid
    :ivar versions: held versions of the tracked objects, by name
    :ivar accepted_versions: newest versions known to be accepted, by name
    """

    vm_id: str
    incarnation: int
    revision: int
    accepted_revision: int
    age: float | None
    evidence: str
    current: bool
    watcher: bool
    parents: tuple[str, ...]
    invalid: tuple[configuration.InvalidObject, ...]
    versions: dict[str, int]
    accepted_versions: dict[str, int]
    members: tuple[str, ...]
    leaving: tuple[str, ...]
    unreachable: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RevisionState:
    """Rollout state of a revision, as known to one node.

    :ivar in_force: active at this node
    :ivar accepted: stored, and held by a majority of the VMs. Within
        PROPAGATION_SECONDS every node either has activated it or rejects
        requests.
    """

    revision: int
    in_force: bool
    accepted: bool


class SharedState:
    """Builds and runs the components of a node's shared state."""

    def __init__(
        self,
        identity: _peers.Identity,
        platform: Platform,
        server: _peer_server.PeerServer,
        validate: _documents.Validate,
    ) -> None:
        now = platform.now
        changed = _notifier.Notifier()
        object_count = len(_documents.TRACKED)
        membership = _membership.Membership(platform.vms, now)
        self._components = _components.Components(
            identity=identity,
            now=now,
            documents=_documents.Documents(
                validate, _owners.validate, changed
            ),
            freshness=_freshness.Freshness(now, object_count, changed),
            membership=membership,
            attestations=_attestations.Attestations(now),
            acceptance=_acceptance.Acceptance(now, object_count, changed),
            peers=_peers.Peers(
                identity,
                platform.open_stream,
                membership.find_vm,
                membership.set_reachable,
            ),
            changed=changed,
            tree=_tree.Tree(identity.vm_id, membership.members),
        )
        from_api = _api_source.api_fetcher(platform.api)
        from_parents = _fetching.peer_fetcher(
            self._components.peers, self._components.tree.parents
        )
        source = _api_source.ApiSource(
            platform.api,
            self._components.documents,
            self._components.freshness,
            now,
            _fetching.fallback_fetcher(from_api, from_parents),
        )
        self._replicator = _replication.Replicator(
            self._components, source, from_api
        )
        _replication_server.ReplicationServer(self._components).register(
            server
        )
        self._owner_assigner = _owner_table.OwnerAssigner(
            self._components, platform.api, source
        )
        self._releases = _releases.Releases(self._components.peers)
        self._releases.register(server)
        self._owners = _owners.Owners()
        self._revisions: collections.deque[tuple[int, int]] = (
            collections.deque(maxlen=MAX_REVISION_HISTORY)
        )

    async def run(self) -> None:
        """Maintain the shared state until cancelled."""
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._components.membership.run)
                nursery.start_soon(self._track_changes)
                await self._components.membership.ready.wait()
                nursery.start_soon(self._replicator.run)
                nursery.start_soon(self._owner_assigner.run)
        finally:
            with trio.CancelScope(shield=True):
                await self._components.peers.close_all()

    async def call(
        self, vm_id: str, service: str, payload: bytes, timeout: float
    ) -> bytes:
        """Send one request to a peer; see Peers.call."""
        return await self._components.peers.call(
            vm_id, service, payload, timeout
        )

    def now(self) -> float:
        """Return seconds on a clock that includes suspended time."""
        return self._components.now()

    def snapshot(self) -> configuration.Snapshot:
        """Return the active configuration."""
        return self._components.documents.snapshot()

    def staleness(self) -> float:
        """Return the seconds since the state was last confirmed."""
        return self._components.freshness.staleness()

    def check_fresh(self, step: steps.Step) -> None:
        """Raise NODE_NOT_CURRENT if the confirmed state is too old."""
        self._components.freshness.check_fresh(step)

    def members(self) -> _membership.Members:
        """Return the VMs of the fleet."""
        return self._components.membership.members()

    def owners(self) -> _owners.Owners:
        """Return the active owner table."""
        return self._owners

    def has_propagated(self, version: int) -> bool:
        """Return whether a version of the owner table has propagated.

        Then every VM that acts as an owner has it or a later version.
        """
        return self._components.acceptance.has_propagated(
            _documents.OWNERS_INDEX, version
        )

    def may_act(self, kind: str, number: int) -> bool:
        """Return whether this node may act as the owner of a slice now.

        No other node may act at the same time: the previous owner stops
        once it has the new table or its confirmed state is too old.

        :param kind: task of slice owners, see _releases.Releases
        :param number: number of the slice
        """
        owners = self._owners
        owner = owners.slices[number]
        if owner.vm_id != self._components.identity.vm_id:
            return False
        if self.staleness() > _freshness.MAX_AGE_SECONDS:
            return False
        if self._owner_assigner.is_inherited(number, owner.epoch):
            return False
        return self.has_propagated(
            owners.since[number]
        ) or self._releases.is_released(kind, number, owner.epoch)

    async def release(self, kind: str, numbers: list[int]) -> None:
        """Notify new owners that this node has stopped acting for slices."""
        await self._releases.release(kind, numbers, self._owners)

    def check_ready(self) -> None:
        """Raise NODE_NOT_CURRENT unless this node can serve requests.

        Besides a recently confirmed state, that requires acting owners:
        before the first owner table of a site has propagated, there are
        no rate limit shares and no commands to targets.
        """
        self.check_fresh(steps.Step.START)
        if not self.has_propagated(FIRST_OWNERS_VERSION):
            raise errors.Error(
                errors.Code.NODE_NOT_CURRENT,
                'no owner table has propagated yet',
                steps.Step.START,
                not_run=True,
                retry_after=1.0,
            )

    async def wait_changed(self) -> None:
        """Wait until an object is adopted or accepted, or state confirmed."""
        await self._components.changed.wait()

    async def wait_revision(
        self, revision: int, timeout: float
    ) -> RevisionState:
        """Wait until a revision is active here and accepted.

        Returns its state after at most `timeout` seconds.
        """
        with trio.move_on_after(timeout):
            while not self._is_done(self.revision_state(revision)):
                with trio.move_on_after(RECHECK_INTERVAL_SECONDS):
                    await self._components.changed.wait()
        return self.revision_state(revision)

    def revision_state(self, revision: int) -> RevisionState:
        """Return the rollout state of a revision."""
        return RevisionState(
            revision,
            self.snapshot().revision >= revision,
            self._accepted_revision() >= revision,
        )

    def status(self) -> Status:
        """Return the status that operators are shown."""
        members = self.members()
        age = self.staleness()
        return Status(
            vm_id=self._components.identity.vm_id,
            incarnation=self._components.identity.incarnation,
            revision=self.snapshot().revision,
            accepted_revision=self._accepted_revision(),
            age=None if age == float('inf') else age,
            evidence=str(self._components.freshness.evidence),
            current=age <= _freshness.MAX_AGE_SECONDS,
            watcher=self._components.tree.is_watcher(),
            parents=tuple(self._components.tree.parents()),
            invalid=self.snapshot().invalid,
            versions=_by_name(self._components.documents.versions()),
            accepted_versions=_by_name(self._components.acceptance.accepted()),
            members=tuple(sorted(members.vms_by_id)),
            leaving=tuple(sorted(members.vms_by_id.keys() - members.live)),
            unreachable=tuple(sorted(members.unreachable)),
        )

    @staticmethod
    def _is_done(state: RevisionState) -> bool:
        return state.in_force and state.accepted

    def _accepted_revision(self) -> int:
        accepted = self._components.acceptance.accepted()[
            _documents.HEAD_INDEX
        ]
        return max(
            (
                revision
                for version, revision in self._revisions
                if version <= accepted
            ),
            default=0,
        )

    async def _track_changes(self) -> None:
        while True:
            self._record_adopted()
            await self._components.changed.wait()

    def _record_adopted(self) -> None:
        documents = self._components.documents
        head = documents.tracked(_documents.HEAD_INDEX).version
        self._revisions.append((head, self.snapshot().revision))
        table = documents.owners()
        if table.version != self._owners.version:
            self._owners = _owners.next_owners(
                self._owners, table.version, table.value
            )


def _by_name(versions: tuple[int, ...]) -> dict[str, int]:
    return dict(zip(_documents.TRACKED, versions, strict=True))
