"""Which VMs there are, from the VM list and from contact with peers."""

from collections import abc
import dataclasses
import math
import types

import structlog
import trio

from mustardlb import clock
from mustardlb import vm_list

log = structlog.get_logger()

# How often the VM list is read, seconds.
LIST_INTERVAL_SECONDS = 2.0

# How long one reading may take, seconds.
LIST_TIMEOUT = 2.0

# How long a list that was read counts for majorities after the next one,
# and how long a process reads the list before it counts any, seconds. Longer
# than two working readers can be apart, so that they share a list.
VOTER_SET_TTL_SECONDS = 6.0


@dataclasses.dataclass(frozen=True, slots=True)
class Members:
    """The VMs at one moment. A VM that is replaced has a new vm_id.

    :ivar vms_by_id: every VM on the list
    :ivar unreachable: those that did not answer this node's last call
    :ivar voter_sets: the VM lists of the last seconds; a majority is one
        of each of them. Empty until the list was read for long enough.
    """

    vms_by_id: abc.Mapping[str, vm_list.Vm] = dataclasses.field(
        default_factory=lambda: types.MappingProxyType({})
    )
    unreachable: frozenset[str] = frozenset()
    voter_sets: tuple[frozenset[str], ...] = ()

    @property
    def live(self) -> frozenset[str]:
        """The VMs that stay; a leaving one gets no new work."""
        return frozenset(
            vm_id
            for vm_id, vm in self.vms_by_id.items()
            if vm.state is vm_list.VmState.LIVE
        )

    @property
    def reachable(self) -> frozenset[str]:
        """The VMs that stay and that answered, or were never called."""
        return self.live - self.unreachable


class Membership:
    """Keeps the members of the fleet as this node sees them."""

    def __init__(self, source: vm_list.VmList, now: clock.Clock) -> None:
        self._source = source
        self._now = now
        self._members = Members()
        self._started = math.inf
        self._seen_by_list: dict[frozenset[str], float] = {}
        self.ready = trio.Event()

    def members(self) -> Members:
        """Return the members as last seen."""
        return self._members

    def find_vm(self, vm_id: str) -> vm_list.Vm | None:
        """Return the VM of that identifier, None where the list has none."""
        return self._members.vms_by_id.get(vm_id)

    def set_reachable(self, vm_id: str, answered: bool) -> None:
        """Note whether a peer answered a call."""
        unreachable = self._members.unreachable
        if answered == (vm_id not in unreachable):
            return
        if answered:
            unreachable -= {vm_id}
        else:
            unreachable |= {vm_id}
        log.info('MLB-2010', peer=vm_id, reachable=answered)
        self._members = dataclasses.replace(
            self._members, unreachable=unreachable
        )

    async def run(self) -> None:
        """Read the VM list for ever."""
        while True:
            await self._read()
            await trio.sleep(LIST_INTERVAL_SECONDS)

    async def _read(self) -> None:
        try:
            with trio.fail_after(LIST_TIMEOUT):
                vms = await self._source.list_vms()
        except (vm_list.VmListUnavailable, trio.TooSlowError) as error:
            log.warning('MLB-2011', problem=repr(error))
            return
        if not vms:
            # An empty list would make every majority an empty one.
            log.warning('MLB-2011', problem='the VM list is empty')
            return
        self._adopt({vm.vm_id: vm for vm in vms})
        self.ready.set()

    def _adopt(self, vms_by_id: dict[str, vm_list.Vm]) -> None:
        now = self._now()
        before = self._members
        self._started = min(self._started, now)
        self._seen_by_list[frozenset(vms_by_id)] = now
        self._seen_by_list = {
            listed: seen
            for listed, seen in self._seen_by_list.items()
            if now - seen < VOTER_SET_TTL_SECONDS
        }
        old_enough = now - self._started >= VOTER_SET_TTL_SECONDS
        self._members = Members(
            types.MappingProxyType(vms_by_id),
            before.unreachable & vms_by_id.keys(),
            tuple(self._seen_by_list) if old_enough else (),
        )
        if before.vms_by_id.keys() != vms_by_id.keys():
            log.info('MLB-2012', vms=sorted(vms_by_id))
