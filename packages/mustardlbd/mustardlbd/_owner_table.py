"""Rewriting the table of owners when the VMs that can own have changed."""

import structlog
import trio
import uhashring

from mustardlb import object_api
from mustardlbd import _api_source
from mustardlbd import _attestations
from mustardlbd import _documents
from mustardlbd import _freshness
from mustardlbd import _owners
from mustardlbd import _parts
from mustardlbd import _ranks

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


class OwnerTable:
    """Rewrites the table while this node is the first of the watchers.

    Several nodes may take themselves for the first; the conditional write
    lets one win, and the others follow it.
    """

    def __init__(
        self,
        parts: _parts.Parts,
        api: object_api.ObjectApi,
        source: _api_source.ApiSource,
    ) -> None:
        self._parts = parts
        self._api = api
        self._source = source
        self._attesting: frozenset[str] = frozenset()
        self._alive: frozenset[str] = frozenset()
        self._alive_since = parts.now()

    async def run(self) -> None:
        """Look after the table for ever."""
        while True:
            await trio.sleep(LOOK_INTERVAL)
            self._note_alive()
            if self._may_write():
                await self._rewrite()

    def _note_alive(self) -> None:
        members = self._parts.membership.members()
        horizon = self._parts.now() - ALIVE_TIME
        self._attesting = frozenset(
            vm_id
            for vm_id in members.vms_by_id
            if self._parts.attestations.made(vm_id) >= horizon
        )
        alive = self._attesting & members.live
        if alive != self._alive:
            self._alive = alive
            self._alive_since = self._parts.now()

    def _may_write(self) -> bool:
        members = self._parts.membership.members()
        first = _ranks.watchers(members.reachable)[:1]
        if first != [self._parts.identity.vm_id]:
            return False
        if self._parts.freshness.age() > _freshness.MAX_AGE:
            return False
        if self._parts.now() - self._alive_since < STABLE_TIME:
            return False
        # A minority must not take the slices that the others go on with.
        attesting = {_ranks.weight(vm_id) for vm_id in self._attesting}
        return bool(
            self._alive and members.electorates
        ) and _attestations.has_majorities(attesting, members.electorates)

    async def _rewrite(self) -> None:
        held = self._parts.documents.versions()[_documents.OWNERS_INDEX]
        table = self._parts.documents.owners()
        slices = (_owners.Slice(),) * _owners.SLICES
        if table.version:
            slices = _owners.decode(table.value)
        # The version that this write gets is above the one held, and so the
        # epoch is above every earlier one, also where a table was lost.
        wanted = assign(slices, self._alive, held + 1)
        if wanted == slices:
            return
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
