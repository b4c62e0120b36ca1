"""Membership of the fleet, from the VM list and from calls to peers."""

from collections import abc
import dataclasses
import math
import types

import structlog
import trio

from mustardlb import clock
from mustardlb import vm_list

log = structlog.get_logger()

LIST_INTERVAL_SECONDS = 2.0

LIST_TIMEOUT_SECONDS = 2.0

# Time for which a superseded VM list remains a voter set, and for which a new
# process reads the list before it counts a quorum. It exceeds the time between
# the reads of any two working nodes, so that they have a list in common.
VOTER_SET_TTL_SECONDS = 6.0


@dataclasses.dataclass(frozen=True, slots=True)
class Members:
    """The VMs at one moment. The replacement of a VM has a new vm_id.

    :ivar vms_by_id: every VM on the list
    :ivar unreachable: those that did not respond to this node's last call
    :ivar voter_sets: the VM lists of the last seconds; a quorum is a
        majority of each of them. Empty until the list has been read for
        VOTER_SET_TTL_SECONDS.
    """

    vms_by_id: abc.Mapping[str, vm_list.Vm] = dataclasses.field(
        default_factory=lambda: types.MappingProxyType({})
    )
    unreachable: frozenset[str] = frozenset()
    voter_sets: tuple[frozenset[str], ...] = ()

    @property
    def live(self) -> frozenset[str]:
        """The VMs that are not leaving; a leaving VM gets no new work."""
        return frozenset(
            vm_id
            for vm_id, vm in self.vms_by_id.items()
            if vm.state is vm_list.VmState.LIVE
        )

    @property
    def reachable(self) -> frozenset[str]:
        """The live VMs, except those that are unreachable."""
        return self.live - self.unreachable


class Membership:
    """The members of the fleet as seen by this node."""

    def __init__(self, source: vm_list.VmList, now: clock.Clock) -> None:
        self._source = source
        self._now = now
        self._members = Members()
        self._started_at = math.inf
        self._seen_at_by_list: dict[frozenset[str], float] = {}
        self.ready = trio.Event()

    def members(self) -> Members:
        """Return the current members."""
        return self._members

    def find_vm(self, vm_id: str) -> vm_list.Vm | None:
        """Return the VM with an identifier, or None if it is not listed."""
        return self._members.vms_by_id.get(vm_id)

    def set_reachable(self, vm_id: str, is_reachable: bool) -> None:
        """Record whether a peer responded to a call."""
        unreachable = self._members.unreachable
        if is_reachable == (vm_id not in unreachable):
            return
        if is_reachable:
            unreachable -= {vm_id}
        else:
            unreachable |= {vm_id}
        log.info('MLB-2010', peer=vm_id, reachable=is_reachable)
        self._members = dataclasses.replace(
            self._members, unreachable=unreachable
        )

    async def run(self) -> None:
        """Read the VM list periodically until cancelled."""
        while True:
            await self._read()
            await trio.sleep(LIST_INTERVAL_SECONDS)

    async def _read(self) -> None:
        try:
            with trio.fail_after(LIST_TIMEOUT_SECONDS):
                vms = await self._source.list_vms()
        except (vm_list.VmListUnavailable, trio.TooSlowError) as error:
            log.warning('MLB-2011', problem=repr(error))
            return
        if not vms:
            # With an empty voter set, no VM at all would be a quorum.
            log.warning('MLB-2011', problem='the VM list is empty')
            return
        self._adopt({vm.vm_id: vm for vm in vms})
        self.ready.set()

    def _adopt(self, vms_by_id: dict[str, vm_list.Vm]) -> None:
        now = self._now()
        before = self._members
        self._started_at = min(self._started_at, now)
        self._seen_at_by_list[frozenset(vms_by_id)] = now
        self._seen_at_by_list = {
            listed: seen_at
            for listed, seen_at in self._seen_at_by_list.items()
            if now - seen_at < VOTER_SET_TTL_SECONDS
        }
        is_warmed_up = now - self._started_at >= VOTER_SET_TTL_SECONDS
        self._members = Members(
            types.MappingProxyType(vms_by_id),
            before.unreachable & vms_by_id.keys(),
            tuple(self._seen_at_by_list) if is_warmed_up else (),
        )
        if before.vms_by_id.keys() != vms_by_id.keys():
            log.info('MLB-2012', vms=sorted(vms_by_id))
