"""Assignment of slices to owners as VMs come and go."""

import structlog
import trio
import uhashring

from mustardlb import object_api
from mustardlbd import _api_source
from mustardlbd import _attestations
from mustardlbd import _components
from mustardlbd import _documents
from mustardlbd import _freshness
from mustardlbd import _owners
from mustardlbd import _tree_layout

log = structlog.get_logger()

# A VM without an attestation for this time cannot own slices.
ALIVE_SECONDS = 6.0

# Time for which the live VMs must stay the same before a reassignment.
STABLE_SECONDS = 3.0

CHECK_INTERVAL_SECONDS = 1.0

WRITE_TIMEOUT_SECONDS = 3.0

# Virtual nodes of each VM on the hash ring.
VIRTUAL_NODES = 40


def assign(
    slices: tuple[_owners.Slice, ...], vm_ids: frozenset[str], epoch: int
) -> tuple[_owners.Slice, ...]:
    """Assign slices by consistent hashing; moved slices get the epoch.

    >>> first = assign((_owners.Slice(),) * 256, frozenset('ab'), 1)
    >>> second = assign(first, frozenset('abc'), 2)
    >>> all(b == a or b.vm_id == 'c' for a, b in zip(first, second))
    True
    """
    ring = uhashring.HashRing(sorted(vm_ids), vnodes=VIRTUAL_NODES)
    assigned = []
    for number, before in enumerate(slices):
        vm_id = ring.get_node(f'slice/{number}')
        if vm_id == before.vm_id:
            assigned.append(before)
        else:
            assigned.append(_owners.Slice(vm_id, epoch))
    return tuple(assigned)


class OwnerAssigner:
    """Rewrites the owner table while this node is the first watcher.

    Nodes may disagree about which one is first. Conditional writes let only
    one of them succeed, and the others adopt its table.
    """

    def __init__(
        self,
        components: _components.Components,
        api: object_api.ObjectApi,
        source: _api_source.ApiSource,
    ) -> None:
        self._components = components
        self._api = api
        self._source = source
        self._attesting: frozenset[str] = frozenset()
        self._alive: frozenset[str] = frozenset()
        self._alive_since = components.now()
        self._assigned_for: tuple[frozenset[str], int] | None = None
        self._inherited: tuple[_owners.Slice, ...] | None = None

    def is_inherited(self, number: int, epoch: int) -> bool:
        """Return whether an earlier process of this VM may have had an epoch.

        The commitments of that process were kept in its memory only and
        are lost, so this process must not act in its epoch.
        """
        return (
            self._inherited is None or epoch <= self._inherited[number].epoch
        )

    async def run(self) -> None:
        """Check and rewrite the table until cancelled."""
        while True:
            await trio.sleep(CHECK_INTERVAL_SECONDS)
            self._update_alive()
            self._record_inherited()
            wanted = self._with_renewed_epochs()
            if wanted is None and self._may_write():
                wanted = self._with_assigned_owners()
            if wanted is not None:
                await self._rewrite(wanted)

    def _record_inherited(self) -> None:
        if self._inherited is not None:
            return
        if (
            self._components.freshness.staleness()
            <= _freshness.MAX_AGE_SECONDS
        ):
            self._inherited = self._current_slices()

    def _current_slices(self) -> tuple[_owners.Slice, ...]:
        table = self._components.documents.owners()
        if not table.version:
            return (_owners.Slice(),) * _owners.SLICES
        return _owners.decode(table.value)

    def _next_epoch(self) -> int:
        """Return an epoch for the next write of the table.

        It is at most the version that the write gets. It exceeds the held
        version, and so every earlier epoch, even if a table was lost.
        """
        return (
            self._components.documents.versions()[_documents.OWNERS_INDEX] + 1
        )

    def _with_renewed_epochs(self) -> tuple[_owners.Slice, ...] | None:
        """Return the table with new epochs for inherited slices, or None."""
        if self._components.freshness.staleness() > _freshness.MAX_AGE_SECONDS:
            return None
        own = self._components.identity.vm_id
        slices = self._current_slices()
        renewed = tuple(
            _owners.Slice(own, self._next_epoch())
            if one.vm_id == own and self.is_inherited(number, one.epoch)
            else one
            for number, one in enumerate(slices)
        )
        return None if renewed == slices else renewed

    def _with_assigned_owners(self) -> tuple[_owners.Slice, ...] | None:
        """Return the table for the live VMs, or None if it stays the same."""
        # Building a hash ring takes milliseconds, and little changes between
        # two checks.
        basis = (self._alive, self._components.documents.owners().version)
        if basis == self._assigned_for:
            return None
        slices = self._current_slices()
        wanted = assign(slices, self._alive, self._next_epoch())
        if wanted != slices:
            return wanted
        self._assigned_for = basis
        return None

    def _update_alive(self) -> None:
        members = self._components.membership.members()
        oldest = self._components.now() - ALIVE_SECONDS
        self._attesting = frozenset(
            vm_id
            for vm_id in members.vms_by_id
            if self._components.attestations.last_attested(vm_id) >= oldest
        )
        alive = self._attesting & members.live
        if alive != self._alive:
            self._alive = alive
            self._alive_since = self._components.now()

    def _may_write(self) -> bool:
        members = self._components.membership.members()
        if (
            self._components.tree.watchers()[0]
            != self._components.identity.vm_id
        ):
            return False
        if self._components.freshness.staleness() > _freshness.MAX_AGE_SECONDS:
            return False
        if self._components.now() - self._alive_since < STABLE_SECONDS:
            return False
        # A minority must not take slices for which the others still act.
        attesting = {_tree_layout.vm_hash(vm_id) for vm_id in self._attesting}
        return bool(
            self._alive and members.voter_sets
        ) and _attestations.has_quorum(attesting, members.voter_sets)

    async def _rewrite(self, wanted: tuple[_owners.Slice, ...]) -> None:
        held = self._components.documents.versions()[_documents.OWNERS_INDEX]
        try:
            with trio.fail_after(WRITE_TIMEOUT_SECONDS):
                await self._write(_owners.encode(wanted), held)
            log.info('MLB-2040', after=held, vms=sorted(self._alive))
        except (
            object_api.VersionConflict,
            object_api.ApiUnavailable,
            object_api.ApiRejected,
            trio.TooSlowError,
        ) as error:
            log.warning('MLB-2041', problem=repr(error))
        # The newest table shows the outcome of the write.
        await self._source.probe(_documents.OWNERS_INDEX)

    async def _write(self, value: bytes, held: int) -> None:
        try:
            await self._api.put(_documents.OWNERS, value, held)
        except object_api.VersionConflict as conflict:
            if conflict.current != object_api.ABSENT:
                raise
            # The table was deleted without the tools of this project.
            await self._api.put(_documents.OWNERS, value, object_api.ABSENT)
