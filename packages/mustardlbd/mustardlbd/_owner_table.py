"""Rewriting the table of owners when the VMs that can own have changed."""

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

# A VM that attested nothing for this time can own nothing, seconds.
ALIVE_TIME = 6.0

# How long the VMs must be the same before the table follows, seconds.
STABLE_TIME = 3.0

# How often that is looked at, seconds.
LOOK_INTERVAL = 1.0

# How long the answer to a write is waited for, seconds.
WRITE_TIMEOUT = 3.0

# Points of each VM on the hash ring.
RING_POINTS = 40


def assign(
    slices: tuple[_owners.Slice, ...], vm_ids: frozenset[str], epoch: int
) -> tuple[_owners.Slice, ...]:
    """Give every slice an owner; only those that must move get the epoch.

    >>> first = assign((_owners.Slice(),) * 256, frozenset('ab'), 1)
    >>> second = assign(first, frozenset('abc'), 2)
    >>> all(b == a or b.vm_id == 'c' for a, b in zip(first, second))
    True
    """
    ring = uhashring.HashRing(sorted(vm_ids), vnodes=RING_POINTS)
    assigned = []
    for number, before in enumerate(slices):
        vm_id = ring.get_node(f'slice/{number}')
        if vm_id == before.vm_id:
            assigned.append(before)
        else:
            assigned.append(_owners.Slice(vm_id, epoch))
    return tuple(assigned)


class OwnerAssigner:
    """Rewrites the table while this node is the first of the watchers.

    Several nodes may take themselves for the first; the conditional write
    lets one win, and the others follow it.
    """

    def __init__(
        self,
        parts: _components.Components,
        api: object_api.ObjectApi,
        source: _api_source.ApiSource,
    ) -> None:
        self._components = parts
        self._api = api
        self._source = source
        self._attesting: frozenset[str] = frozenset()
        self._alive: frozenset[str] = frozenset()
        self._alive_since = parts.now()
        self._suitable_for: tuple[frozenset[str], int] | None = None
        self._inherited: tuple[_owners.Slice, ...] | None = None

    def is_inherited(self, number: int, epoch: int) -> bool:
        """Whether an earlier process of this VM may have had this epoch.

        What that process promised is lost with its memory, so this one must
        not act under its epoch.
        """
        return (
            self._inherited is None or epoch <= self._inherited[number].epoch
        )

    async def run(self) -> None:
        """Look after the table for ever."""
        while True:
            await trio.sleep(LOOK_INTERVAL)
            self._note_alive()
            self._note_inherited()
            wanted = self._renewed()
            if wanted is None and self._may_write():
                wanted = self._assigned()
            if wanted is not None:
                await self._rewrite(wanted)

    def _note_inherited(self) -> None:
        if self._inherited is not None:
            return
        if (
            self._components.freshness.staleness()
            <= _freshness.MAX_AGE_SECONDS
        ):
            self._inherited = self._current()

    def _current(self) -> tuple[_owners.Slice, ...]:
        table = self._components.documents.owners()
        if not table.version:
            return (_owners.Slice(),) * _owners.SLICES
        return _owners.decode(table.value)

    def _next_epoch(self) -> int:
        """Return the version that the next write gets or a lower one.

        It is above the version held, and so above every earlier epoch, also
        where a table was lost.
        """
        return (
            self._components.documents.versions()[_documents.OWNERS_INDEX] + 1
        )

    def _renewed(self) -> tuple[_owners.Slice, ...] | None:
        """Return the table with new epochs for what this VM inherited."""
        if self._components.freshness.staleness() > _freshness.MAX_AGE_SECONDS:
            return None
        own = self._components.identity.vm_id
        slices = self._current()
        renewed = tuple(
            _owners.Slice(own, self._next_epoch())
            if one.vm_id == own and self.is_inherited(number, one.epoch)
            else one
            for number, one in enumerate(slices)
        )
        return None if renewed == slices else renewed

    def _assigned(self) -> tuple[_owners.Slice, ...] | None:
        """Return the table for the VMs that can own now."""
        # A hash ring takes milliseconds, and little changes from look to
        # look.
        basis = (self._alive, self._components.documents.owners().version)
        if basis == self._suitable_for:
            return None
        slices = self._current()
        wanted = assign(slices, self._alive, self._next_epoch())
        if wanted != slices:
            return wanted
        self._suitable_for = basis
        return None

    def _note_alive(self) -> None:
        members = self._components.membership.members()
        horizon = self._components.now() - ALIVE_TIME
        self._attesting = frozenset(
            vm_id
            for vm_id in members.vms_by_id
            if self._components.attestations.last_attested(vm_id) >= horizon
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
        if self._components.now() - self._alive_since < STABLE_TIME:
            return False
        # A minority must not take the slices that the others go on with.
        attesting = {_tree_layout.vm_hash(vm_id) for vm_id in self._attesting}
        return bool(
            self._alive and members.voter_sets
        ) and _attestations.has_quorum(attesting, members.voter_sets)

    async def _rewrite(self, wanted: tuple[_owners.Slice, ...]) -> None:
        held = self._components.documents.versions()[_documents.OWNERS_INDEX]
        try:
            with trio.fail_after(WRITE_TIMEOUT):
                await self._write(_owners.encode(wanted), held)
            log.info('MLB-2040', after=held, vms=sorted(self._alive))
        except (
            object_api.VersionConflict,
            object_api.ApiUnavailable,
            object_api.ApiRejected,
            trio.TooSlowError,
        ) as error:
            log.warning('MLB-2041', problem=repr(error))
        # Whatever became of the write, the newest table tells.
        await self._source.probe(_documents.OWNERS_INDEX)

    async def _write(self, value: bytes, held: int) -> None:
        try:
            await self._api.put(_documents.OWNERS, value, held)
        except object_api.VersionConflict as conflict:
            if conflict.current != object_api.ABSENT:
                raise
            # The table was deleted past our tools.
            await self._api.put(_documents.OWNERS, value, object_api.ABSENT)
