"""Shared state of a node: configuration, freshness, members and owners.

The composition root makes one State, takes its plain functions, serves its
PeerServer and runs it.
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

# Head versions remembered with the revision that each brought.
REVISION_HISTORY = 64

# The lowest version that a table of owners can have.
FIRST_TABLE = 1

# How often a waiting operator's condition is looked at, seconds.
WAIT_INTERVAL = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Platform:
    """What a node needs of the platform and of the network.

    :ivar open_stream: opens a stream to a peer; _peers.open_tcp in
        production
    """

    api: object_api.ObjectApi
    vms: vm_list.VmList
    open_stream: _peers.OpenStream
    now: clock.Clock


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """What operators are told of the shared state of a node.

    :ivar revision: revision of the configuration in force
    :ivar accepted_revision: newest revision known to be accepted: stored,
        and held by a majority of the VMs
    :ivar age: seconds since the moment the knowledge is as of; None before
        the first evidence
    :ivar evidence: kind of evidence that came last
    :ivar current: whether the node admits, as far as freshness goes
    :ivar versions: versions held of the tracked objects, by name
    :ivar accepted_versions: the newest ones known to be accepted
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
    """How far a revision has come, as one node knows it.

    :ivar in_force: in force at this node
    :ivar accepted: stored, and held by a majority of the VMs: it is in
        force or the node refuses, everywhere, within SETTLE_TIME
    """

    revision: int
    in_force: bool
    accepted: bool


class SharedState:
    """The shared state of one node."""

    def __init__(
        self,
        identity: _peers.Identity,
        platform: Platform,
        server: _peer_server.PeerServer,
        validate: _documents.Validate,
    ) -> None:
        now = platform.now
        news = _notifier.Notifier()
        tracked = len(_documents.TRACKED)
        membership = _membership.Membership(platform.vms, now)
        self._components = _components.Components(
            identity=identity,
            now=now,
            documents=_documents.Documents(validate, _owners.validate, news),
            freshness=_freshness.Freshness(now, tracked, news),
            membership=membership,
            attestations=_attestations.Attestations(now),
            acceptance=_acceptance.Acceptance(now, tracked, news),
            peers=_peers.Peers(
                identity,
                platform.open_stream,
                membership.find_vm,
                membership.set_reachable,
            ),
            changed=news,
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
        self._spread = _replication.Replicator(
            self._components, source, from_api
        )
        _replication_server.ReplicationServer(self._components).register(
            server
        )
        self._table = _owner_table.OwnerAssigner(
            self._components, platform.api, source
        )
        self._releases = _releases.Releases(self._components.peers)
        self._releases.register(server)
        self._owners = _owners.Owners()
        self._revisions: collections.deque[tuple[int, int]] = (
            collections.deque(maxlen=REVISION_HISTORY)
        )

    async def run(self) -> None:
        """Keep the state for ever."""
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._components.membership.run)
                nursery.start_soon(self._follow)
                await self._components.membership.ready.wait()
                nursery.start_soon(self._spread.run)
                nursery.start_soon(self._table.run)
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
        """Seconds on the clock that counts suspended time."""
        return self._components.now()

    def snapshot(self) -> configuration.Snapshot:
        """Return the configuration in force."""
        return self._components.documents.snapshot()

    def staleness(self) -> float:
        """Seconds since the moment that the knowledge is as of."""
        return self._components.freshness.staleness()

    def check_fresh(self, step: steps.Step) -> None:
        """Raise NODE_NOT_CURRENT unless knowledge is recent enough."""
        self._components.freshness.check_fresh(step)

    def members(self) -> _membership.Members:
        """Return the VMs of the fleet."""
        return self._components.membership.members()

    def owners(self) -> _owners.Owners:
        """Return the table of owners in force."""
        return self._owners

    def has_propagated(self, version: int) -> bool:
        """Whether that version of the table of owners binds everyone.

        Then every VM that acts knows it or a later one.
        """
        return self._components.acceptance.has_propagated(
            _documents.OWNERS_INDEX, version
        )

    def may_act(self, kind: str, number: int) -> bool:
        """Whether this node acts as the owner of a slice now.

        Nobody else does at the same time: an old owner stops when it knows
        of the new one, or for want of fresh knowledge.
        """
        owners = self._owners
        owner = owners.slices[number]
        if owner.vm_id != self._components.identity.vm_id:
            return False
        if self.staleness() > _freshness.MAX_AGE_SECONDS:
            return False
        if self._table.is_inherited(number, owner.epoch):
            return False
        return self.has_propagated(
            owners.since[number]
        ) or self._releases.is_released(kind, number, owner.epoch)

    async def release(self, kind: str, numbers: list[int]) -> None:
        """Tell new owners that this node no longer acts for their slices."""
        await self._releases.release(kind, numbers, self._owners)

    def check_ready(self) -> None:
        """Raise NODE_NOT_CURRENT unless requests can be served here.

        Besides recent knowledge that takes owners that act: before the
        first table of a site is settled there are neither shares nor
        orders to targets.
        """
        self.check_fresh(steps.Step.START)
        if not self.has_propagated(FIRST_TABLE):
            raise errors.Error(
                errors.Code.NODE_NOT_CURRENT,
                'no table of owners is settled yet',
                steps.Step.START,
                not_run=True,
                retry_after=1.0,
            )

    async def wait_changed(self) -> None:
        """Wait until an object is adopted or known to be accepted."""
        await self._components.changed.wait()

    async def wait_revision(
        self, revision: int, timeout: float
    ) -> RevisionState:
        """Wait until a revision is in force here and accepted."""
        with trio.move_on_after(timeout):
            while not self._is_done(self.revision_state(revision)):
                with trio.move_on_after(WAIT_INTERVAL):
                    await self._components.changed.wait()
        return self.revision_state(revision)

    def revision_state(self, revision: int) -> RevisionState:
        """How far a revision has come."""
        return RevisionState(
            revision,
            self.snapshot().revision >= revision,
            self._accepted_revision() >= revision,
        )

    def status(self) -> Status:
        """Tell what operators are told."""
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

    async def _follow(self) -> None:
        while True:
            self._note_adopted()
            await self._components.changed.wait()

    def _note_adopted(self) -> None:
        documents = self._components.documents
        head = documents.tracked(_documents.HEAD_INDEX).version
        self._revisions.append((head, self.snapshot().revision))
        table = documents.owners()
        if table.version != self._owners.version:
            self._owners = _owners.follow(
                self._owners, table.version, table.value
            )


def _by_name(versions: tuple[int, ...]) -> dict[str, int]:
    return dict(zip(_documents.TRACKED, versions, strict=True))
