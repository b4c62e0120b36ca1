"""Which nodes there are, which of them live, and which are hubs.

In each data centre the two nodes with the widest links are hubs. Every node
has links to the hubs of its data centre, every hub to all other hubs. Nobody
appoints a hub: whoever is dialled serves, and a hub that does not answer is
passed over for the next one.
"""

from collections import abc
import hashlib

import structlog

from mustardlb_gateway import _centres

log = structlog.get_logger()

# Hubs of a data centre: one more than may fail at once without a pause.
HUBS_PER_CENTRE = 2

# Seconds that the times below are counted in; more in a larger fleet, where
# each digest and update brings more news.
INTERVAL = 0.25
INTERVAL_PER_NODE = 1 / 400

# Seconds in which news are gathered before they are passed on: about what a
# long prompt takes to be read, so that few requests meet at one target
# unseen; more in a larger fleet, as above. A hub's work grows with the rate.
PAUSE = 0.2
PAUSE_PER_NODE = 1 / 400

# Nodes up to which it is less, and some news are told at once.
SMALL_FLEET = 16
SMALL_FLEET_PAUSE = 0.05

# Intervals after which a digest or an update is sent without any news. Three
# of these fit the silence after which an account's limit is shared out.
QUIET_INTERVALS = 1.5

# A node is silent after so many intervals without a digest, and at least
# so many seconds.
MISSED_DIGESTS = 4
LEAST_SILENCE = 1.0

# Seconds for which a node that cannot be reached is passed over as a hub: at
# first, a start that came a moment later, and at most.
FIRST_SUSPICION = 0.5
LONGEST_SUSPICION = 4.0

# Seconds after which a node that is neither heard nor reached is forgotten;
# it comes back by itself.
FORGET_AFTER = 60.0

# Seconds for which a node that fell silent may still serve requests: beyond
# most partitions.
LOST_FOR = 20.0


class Membership:
    """The nodes that this one knows.

    :ivar live: those that their hubs hear, without this one
    """

    def __init__(
        self, me: _centres.Vm, clock: abc.Callable[[], float]
    ) -> None:
        self.local_vm = me
        self._clock = clock
        self.vms_by_name: dict[str, _centres.Vm] = {}
        self.live: frozenset[str] = frozenset()
        self._met_at: dict[str, float] = {}
        self._heard_at: dict[str, float] = {}
        self._left: set[str] = set()
        self._suspected_until: dict[str, float] = {}
        self._suspicion: dict[str, float] = {}
        # By data centre, until a suspicion ends: hubs, and those that would
        # be hubs if they could be reached.
        self._hubs: dict[str, list[str]] = {}
        self._dialled: dict[str, list[str]] = {}
        self._hubs_until = float('inf')

    @property
    def is_small(self) -> bool:
        """Whether each node can afford what hubs do in a larger fleet."""
        return len(self.vms_by_name) < SMALL_FLEET

    @property
    def base_interval(self) -> float:
        """Seconds that silences and quiet times are counted in."""
        return max(INTERVAL, len(self.vms_by_name) * INTERVAL_PER_NODE)

    @property
    def batch_delay(self) -> float:
        """Seconds in which news are gathered before they are passed on."""
        if self.is_small:
            return SMALL_FLEET_PAUSE
        return max(PAUSE, len(self.vms_by_name) * PAUSE_PER_NODE)

    @property
    def stale_after(self) -> float:
        """Seconds without a digest after which a node counts as silent."""
        return max(LEAST_SILENCE, MISSED_DIGESTS * self.base_interval)

    def add(self, vm: _centres.Vm) -> None:
        """Note a node, or its new address."""
        if vm.vm == self.local_vm.vm or self.vms_by_name.get(vm.vm) == vm:
            return
        log.info('MLB-6301', peer=vm.vm, host=vm.host)
        self.vms_by_name[vm.vm] = vm
        self._met_at[vm.vm] = self._clock()
        self.mark_reachable(vm.vm)
        self._hubs.clear()

    def record_heartbeat(self, vm: str, is_leaving: bool = False) -> None:
        """Note that a node, or a hub of it, told that it lives."""
        self._heard_at[vm] = self._clock()
        if is_leaving:
            self._left.add(vm)
        else:
            self._left.discard(vm)

    def set_live(self, vms: abc.Iterable[str]) -> None:
        """Note which nodes live now."""
        live = frozenset(vms) - {self.local_vm.vm}
        if live != self.live:
            self.live = live
            self._hubs.clear()

    def has_quorum(self) -> bool:
        """Whether more nodes live than were lost or met lately unheard."""
        since = self._clock() - LOST_FOR
        unheard = sum(
            self._heard_at.get(vm, met_at) > since
            for vm, met_at in self._met_at.items()
            if vm not in self.live
        )
        return len(self.live) + 1 > unheard

    def recently_lost(self, data_centre: str) -> list[str]:
        """Return the nodes that were heard not long ago, now or before.

        Without those that said that they leave.
        """
        since = self._clock() - LOST_FOR
        return [
            vm.vm
            for vm in self.vms_by_name.values()
            if vm.data_centre == data_centre
            and self._heard_at.get(vm.vm, since) > since
            and vm.vm not in self._left
        ]

    def mark_unreachable(self, vm: str) -> None:
        """Note that a node cannot be reached, for longer each time."""
        seconds = self._suspicion.get(vm, FIRST_SUSPICION)
        self._suspicion[vm] = min(2 * seconds, LONGEST_SUSPICION)
        self._suspected_until[vm] = self._clock() + seconds
        self._hubs.clear()

    def mark_reachable(self, vm: str) -> None:
        """Note that a node was reached."""
        self._suspicion.pop(vm, None)
        if self._suspected_until.pop(vm, None) is not None:
            self._hubs.clear()

    def remove_lost(self) -> None:
        """Forget nodes that were not heard for long."""
        since = self._clock() - FORGET_AFTER
        for vm in list(self.vms_by_name):
            if self._heard_at.get(vm, self._met_at[vm]) < since:
                del self.vms_by_name[vm]
                del self._met_at[vm]
                self._heard_at.pop(vm, None)
                self._suspicion.pop(vm, None)
                self._left.discard(vm)
                self._hubs.clear()
                log.info('MLB-6303', peer=vm)

    def data_centres(self) -> set[str]:
        """Return the data centres of all known nodes."""
        centres = {vm.data_centre for vm in self.vms_by_name.values()}
        return centres | {self.local_vm.data_centre}

    def hubs(self, data_centre: str) -> list[str]:
        """Return the hubs of a data centre, as this node sees it."""
        if self._clock() >= self._hubs_until:
            self._hubs.clear()
        if not self._hubs:
            self._find_hubs()
        return self._hubs.get(data_centre, [])

    def _find_hubs(self) -> None:
        """Choose hubs among the nodes that can be reached.

        One that could not be reached and that nobody hears is none, though
        it is dialled again from time to time.
        """
        now = self._clock()
        self._suspected_until = {
            vm: until
            for vm, until in self._suspected_until.items()
            if until > now
        }
        self._hubs_until = min(
            self._suspected_until.values(), default=float('inf')
        )
        candidates = [
            vm
            for vm in (self.local_vm, *self.vms_by_name.values())
            if vm.vm not in self._suspected_until
        ]
        self._hubs = _widest(
            vm
            for vm in candidates
            if vm.vm in self.live or vm.vm not in self._suspicion
        )
        self._dialled = _widest(candidates)

    def is_hub(self) -> bool:
        """Whether this node is a hub of its data centre."""
        return self.local_vm.vm in self.hubs(self.local_vm.data_centre)

    def neighbours(self) -> set[str]:
        """Return the nodes to which this one keeps a link.

        A hub also dials those of its data centre that have not been heard:
        they may not know of any other node yet.
        """
        own = self.local_vm.data_centre
        found = {*self.hubs(own), *self._dialled.get(own, ())}
        if self.local_vm.vm in self.hubs(own):
            found.update(
                vm.vm
                for vm in self.vms_by_name.values()
                if vm.data_centre == own and vm.vm not in self._heard_at
            )
            for centre in self.data_centres() - {own}:
                found.update(self.hubs(centre))
                found.update(self._dialled.get(centre, ()))
        return found - {self.local_vm.vm}


def _widest(vms: abc.Iterable[_centres.Vm]) -> dict[str, list[str]]:
    """Return the nodes with the widest links of each data centre."""
    by_centre: dict[str, list[_centres.Vm]] = {}
    for vm in vms:
        by_centre.setdefault(vm.data_centre, []).append(vm)
    return {
        centre: [
            vm.vm
            for vm in sorted(
                found, key=lambda vm: (-vm.capacity, stable_hash(vm.vm))
            )[:HUBS_PER_CENTRE]
        ]
        for centre, found in by_centre.items()
    }


def stable_hash(vm: str) -> int:
    """Return a number that differs from node to node, the same everywhere."""
    return int.from_bytes(
        hashlib.blake2b(vm.encode(), digest_size=8).digest(), 'big'
    )
