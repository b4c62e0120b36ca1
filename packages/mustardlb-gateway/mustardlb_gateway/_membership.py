"""The nodes of the fleet, their liveness, and the selection of hubs.

The two nodes of each data centre with the highest link capacity are its
hubs. Every node is connected to the hubs of its data centre, and every hub
to all other hubs. There is no election: each node selects hubs on its own,
any node serves those that connect to it, and the next node is selected in
place of a hub that cannot be reached.
"""

from collections import abc
import hashlib

import structlog

from mustardlb_gateway import _centres

log = structlog.get_logger()

# One hub may fail without an interruption.
HUBS_PER_CENTRE = 2

# Heartbeats and timeouts are multiples of the base interval. It grows with
# the fleet, since each digest and update then carries more changes.
BASE_INTERVAL_SECONDS = 0.25
BASE_INTERVAL_SECONDS_PER_NODE = 1 / 400

# Changes are collected for this time before they are sent. It is about the
# prefill time of a long prompt, so that few nodes send requests to the same
# target unaware of each other. It grows with the fleet as well, since a hub's
# work grows with the rate of updates.
BATCH_DELAY_SECONDS = 0.2
BATCH_DELAY_SECONDS_PER_NODE = 1 / 400

# Smaller fleets use a shorter delay and send some changes at once.
SMALL_FLEET_NODES = 16
SMALL_FLEET_BATCH_DELAY_SECONDS = 0.05

# Digests and updates are sent after this many base intervals even if nothing
# changed.
HEARTBEAT_INTERVALS = 1.5

# Counters of requests are stale after this many heartbeats, which is longer
# than a digest and the update with it take.
COUNTERS_STALE_HEARTBEATS = 3

# A node is stale after this many base intervals without a digest, but not
# before the minimum time.
STALE_INTERVALS = 4
MIN_STALE_SECONDS = 1.0

# A node that cannot be reached is not selected as a hub during a backoff that
# doubles with each failure. The first one covers a node that starts a moment
# later than this one.
FIRST_BACKOFF_SECONDS = 0.5
MAX_BACKOFF_SECONDS = 4.0

# A node without a heartbeat is removed after this time. It is added again by
# its next digest.
REMOVE_AFTER_SECONDS = 60.0

# A node without a heartbeat may serve requests for this time. It exceeds the
# duration of most network partitions.
RECENTLY_LOST_SECONDS = 20.0


class Membership:
    """The nodes of the fleet as the local node sees them.

    :ivar live: names of the live nodes, without the local one
    :ivar claimants: those of them that can claim leases in the store
    :ivar cut_off: those of them that say that they reach no target
    :ivar is_settled: returns whether this process was not paused just now, so
        that the heartbeats of the other nodes have been received
    """

    def __init__(
        self,
        local_vm: _centres.Vm,
        clock: abc.Callable[[], float],
        is_settled: abc.Callable[[], bool] = lambda: True,
    ) -> None:
        self.is_settled = is_settled
        self.local_vm = local_vm
        self._clock = clock
        self.vms_by_name: dict[str, _centres.Vm] = {}
        self.live: frozenset[str] = frozenset()
        self.claimants: frozenset[str] = frozenset()
        self.cut_off: frozenset[str] = frozenset()
        self._added_at: dict[str, float] = {}
        self._heartbeat_at: dict[str, float] = {}
        self._leaving: set[str] = set()
        self._unreachable_until: dict[str, float] = {}
        self._backoff_seconds: dict[str, float] = {}
        # By data centre, valid until the next backoff ends. The candidates
        # include unreachable nodes that are due for another attempt.
        self._hubs: dict[str, list[str]] = {}
        self._hub_candidates: dict[str, list[str]] = {}
        self._hubs_valid_until = float('inf')

    @property
    def is_small(self) -> bool:
        """Whether every node can do the work of a hub."""
        return len(self.vms_by_name) < SMALL_FLEET_NODES

    @property
    def base_interval(self) -> float:
        """Return the unit of heartbeats and timeouts, in seconds."""
        return max(
            BASE_INTERVAL_SECONDS,
            len(self.vms_by_name) * BASE_INTERVAL_SECONDS_PER_NODE,
        )

    @property
    def batch_delay(self) -> float:
        """Return the time to collect changes before sending, in seconds."""
        if self.is_small:
            return SMALL_FLEET_BATCH_DELAY_SECONDS
        return max(
            BATCH_DELAY_SECONDS,
            len(self.vms_by_name) * BATCH_DELAY_SECONDS_PER_NODE,
        )

    @property
    def update_timeout(self) -> float:
        """Return the seconds after which a hub's next update is overdue."""
        heartbeat_seconds = HEARTBEAT_INTERVALS * self.base_interval
        return heartbeat_seconds + self.base_interval + 2 * self.batch_delay

    @property
    def load_age(self) -> float:
        """Return how old the loads that nodes tell are, in seconds.

        They are delayed in the digest and in the update that includes it.
        """
        return 2 * self.batch_delay

    @property
    def stale_after(self) -> float:
        """Return the age at which a digest is stale, in seconds."""
        return max(MIN_STALE_SECONDS, STALE_INTERVALS * self.base_interval)

    @property
    def counters_stale_after(self) -> float:
        """Return the age at which counters are stale, in seconds."""
        return (
            COUNTERS_STALE_HEARTBEATS
            * HEARTBEAT_INTERVALS
            * self.base_interval
        )

    def data_centre_of(self, name: str) -> str:
        """Return the data centre of a node, '' if it is not known."""
        if name == self.local_vm.vm:
            return self.local_vm.data_centre
        vm = self.vms_by_name.get(name)
        return vm.data_centre if vm is not None else ''

    def add(self, vm: _centres.Vm) -> None:
        """Add a node, or update its address."""
        if vm.vm == self.local_vm.vm or self.vms_by_name.get(vm.vm) == vm:
            return
        log.info('MLB-6301', peer=vm.vm, host=vm.host)
        self.vms_by_name[vm.vm] = vm
        self._added_at[vm.vm] = self._clock()
        self.mark_reachable(vm.vm)
        self._hubs.clear()

    def record_heartbeat(self, vm: str, is_leaving: bool = False) -> None:
        """Record that a node was reported alive, by itself or by a hub."""
        self._heartbeat_at[vm] = self._clock()
        if is_leaving:
            self._leaving.add(vm)
        else:
            self._leaving.discard(vm)

    def record_heartbeats(self, vms: abc.Collection[str]) -> None:
        """Record that a hub reported nodes alive."""
        self._heartbeat_at.update(dict.fromkeys(vms, self._clock()))
        self._leaving.difference_update(vms)

    def set_live(self, vms: abc.Iterable[str]) -> None:
        """Replace the set of live nodes."""
        live = frozenset(vms) - {self.local_vm.vm}
        if live != self.live:
            self.live = live
            self._hubs.clear()

    def has_quorum(self) -> bool:
        """Whether more nodes are live than were lost recently.

        A recently added node that is not live counts as lost. After a pause
        of this process, another node may have taken over meanwhile.
        """
        if not self.is_settled():
            return False
        since = self._clock() - RECENTLY_LOST_SECONDS
        lost = sum(
            self._heartbeat_at.get(vm, added_at) > since
            for vm, added_at in self._added_at.items()
            if vm not in self.live
        )
        return len(self.live) + 1 > lost

    def recently_alive(self, data_centre: str) -> list[str]:
        """Return the nodes with a recent heartbeat, even if stale by now.

        Nodes that announced their shutdown are left out.
        """
        since = self._clock() - RECENTLY_LOST_SECONDS
        return [
            vm.vm
            for vm in self.vms_by_name.values()
            if vm.data_centre == data_centre
            and self._heartbeat_at.get(vm.vm, since) > since
            and vm.vm not in self._leaving
        ]

    def mark_unreachable(self, vm: str) -> None:
        """Start a backoff for a node, twice as long as its last one."""
        seconds = self._backoff_seconds.get(vm, FIRST_BACKOFF_SECONDS)
        self._backoff_seconds[vm] = min(2 * seconds, MAX_BACKOFF_SECONDS)
        self._unreachable_until[vm] = self._clock() + seconds
        self._hubs.clear()

    def mark_reachable(self, vm: str) -> None:
        """End the backoff of a node that was reached."""
        self._backoff_seconds.pop(vm, None)
        if self._unreachable_until.pop(vm, None) is not None:
            self._hubs.clear()

    def remove_lost(self) -> None:
        """Remove the nodes without a heartbeat for a long time."""
        since = self._clock() - REMOVE_AFTER_SECONDS
        for vm in list(self.vms_by_name):
            if self._heartbeat_at.get(vm, self._added_at[vm]) < since:
                del self.vms_by_name[vm]
                del self._added_at[vm]
                self._heartbeat_at.pop(vm, None)
                self._backoff_seconds.pop(vm, None)
                self._leaving.discard(vm)
                self._hubs.clear()
                log.info('MLB-6303', peer=vm)

    def data_centres(self) -> set[str]:
        """Return the data centres of all nodes."""
        centres = {vm.data_centre for vm in self.vms_by_name.values()}
        return centres | {self.local_vm.data_centre}

    def hubs(self, data_centre: str) -> list[str]:
        """Return the hubs of a data centre that this node selects."""
        if self._clock() >= self._hubs_valid_until:
            self._hubs.clear()
        if not self._hubs:
            self._select_hubs()
        return self._hubs.get(data_centre, [])

    def _select_hubs(self) -> None:
        """Select hubs among the nodes that can be reached.

        A node that failed and is not live is no hub, but remains a candidate
        to which a connection is attempted after each backoff.
        """
        now = self._clock()
        self._unreachable_until = {
            vm: until
            for vm, until in self._unreachable_until.items()
            if until > now
        }
        self._hubs_valid_until = min(
            self._unreachable_until.values(), default=float('inf')
        )
        candidates = [
            vm
            for vm in (self.local_vm, *self.vms_by_name.values())
            if vm.vm not in self._unreachable_until
        ]
        self._hubs = _highest_capacity(
            vm
            for vm in candidates
            if vm.vm in self.live or vm.vm not in self._backoff_seconds
        )
        self._hub_candidates = _highest_capacity(candidates)

    def is_hub(self) -> bool:
        """Whether this node is a hub of its data centre."""
        return self.local_vm.vm in self.hubs(self.local_vm.data_centre)

    def neighbours(self) -> set[str]:
        """Return the nodes to which this one keeps a connection.

        A hub also connects to nodes of its data centre that have not sent a
        digest yet, since they may not have discovered any other node.
        """
        own = self.local_vm.data_centre
        found = {*self.hubs(own), *self._hub_candidates.get(own, ())}
        if self.local_vm.vm in self.hubs(own):
            found.update(
                vm.vm
                for vm in self.vms_by_name.values()
                if vm.data_centre == own and vm.vm not in self._heartbeat_at
            )
            for centre in self.data_centres() - {own}:
                found.update(self.hubs(centre))
                found.update(self._hub_candidates.get(centre, ()))
        return found - {self.local_vm.vm}


def _highest_capacity(vms: abc.Iterable[_centres.Vm]) -> dict[str, list[str]]:
    """Return the nodes with the highest capacity, by data centre."""
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
    """Return a hash of a node's name that is the same in all processes."""
    return int.from_bytes(
        hashlib.blake2b(vm.encode(), digest_size=8).digest(), 'big'
    )
