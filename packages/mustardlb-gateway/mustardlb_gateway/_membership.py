"""Which nodes there are, which of them live, and which are hubs.

In each data centre the two nodes with the widest links are hubs. Every node
has links to the hubs of its data centre, every hub to all other hubs; hubs
pass on what they hear. Nobody appoints a hub: whoever is dialled serves, and
a hub that does not answer is passed over for the next one.
"""

from collections import abc
import dataclasses
import hashlib

import structlog

from mustardlb_gateway import _messages

log = structlog.get_logger()

# Hubs of a data centre: one more than may fail at once without a pause.
HUBS_PER_CENTRE = 2

# Seconds between two digests of a node in a small fleet.
DIGEST_INTERVAL = 0.25

# Digests a second of all nodes together; larger fleets send each less often.
# A digest costs a node a quarter of a millisecond.
MOST_DIGESTS = 60.0

# A node is silent after so many intervals without a digest, and at least so
# many seconds, which cover the way over two hubs.
MISSED_DIGESTS = 4
LEAST_SILENCE = 1.0

# Seconds for which a node that cannot be reached is passed over as a hub.
SUSPECTED_FOR = 4.0

# Seconds after which a node that is neither heard nor reached is forgotten;
# it comes back by itself.
FORGET_AFTER = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class Vm:
    """A node of the fleet and where its peers reach it.

    :ivar capacity: of its network link, Mbit/s
    """

    vm: str
    host: str
    port: int
    data_centre: str
    capacity: float


@dataclasses.dataclass(slots=True)
class Heard:
    """The last digest of a node."""

    incarnation: int
    digest: _messages.Digest
    at: float


class Membership:
    """The nodes that this one knows."""

    def __init__(self, me: Vm, clock: abc.Callable[[], float]) -> None:
        self.me = me
        self._clock = clock
        self.vms_by_name: dict[str, Vm] = {}
        self.heard_by_vm: dict[str, Heard] = {}
        self._met_at: dict[str, float] = {}
        self._suspected_until: dict[str, float] = {}

    @property
    def interval(self) -> float:
        """Seconds between two digests of a node."""
        return max(DIGEST_INTERVAL, len(self.vms_by_name) / MOST_DIGESTS)

    def add(self, vm: Vm) -> None:
        """Note a node, or its new address."""
        if vm.vm == self.me.vm or self.vms_by_name.get(vm.vm) == vm:
            return
        log.info('MLB-6301', peer=vm.vm, host=vm.host)
        self.vms_by_name[vm.vm] = vm
        self._met_at[vm.vm] = self._clock()
        self._suspected_until.pop(vm.vm, None)

    def hear(
        self, message: _messages.Message, digest: _messages.Digest
    ) -> None:
        """Take the digest of a node."""
        before = self.heard_by_vm.get(message.vm)
        if before is None or before.incarnation != message.incarnation:
            log.info(
                'MLB-6302', peer=message.vm, incarnation=message.incarnation
            )
        self.heard_by_vm[message.vm] = Heard(
            message.incarnation, digest, self._clock()
        )
        self.add(
            Vm(
                message.vm,
                digest.host,
                digest.port,
                digest.data_centre,
                digest.capacity,
            )
        )

    def alive(self) -> set[str]:
        """Return the nodes whose digests came lately, without this one."""
        silence = max(LEAST_SILENCE, MISSED_DIGESTS * self.interval)
        since = self._clock() - silence
        return {
            vm
            for vm, heard in self.heard_by_vm.items()
            if heard.at >= since and not heard.digest.is_leaving
        }

    def hears_majority(self) -> bool:
        """Whether more than half of all known nodes were heard lately."""
        return 2 * (len(self.alive()) + 1) > len(self.vms_by_name) + 1

    def suspect(self, vm: str) -> None:
        """Note that a node cannot be reached."""
        self._suspected_until[vm] = self._clock() + SUSPECTED_FOR

    def forget_lost(self) -> None:
        """Forget nodes that were not heard for long."""
        since = self._clock() - FORGET_AFTER
        for vm in list(self.vms_by_name):
            heard = self.heard_by_vm.get(vm)
            latest = heard.at if heard else self._met_at[vm]
            if latest < since:
                del self.vms_by_name[vm]
                del self._met_at[vm]
                self.heard_by_vm.pop(vm, None)
                log.info('MLB-6303', peer=vm)

    def hubs(self, data_centre: str) -> list[str]:
        """Return the hubs of a data centre, as this node sees it."""
        now = self._clock()
        candidates = [
            vm
            for vm in (self.me, *self.vms_by_name.values())
            if vm.data_centre == data_centre
            and self._suspected_until.get(vm.vm, now) <= now
        ]
        candidates.sort(key=lambda vm: (-vm.capacity, _order(vm.vm)))
        return [vm.vm for vm in candidates[:HUBS_PER_CENTRE]]

    def is_hub(self) -> bool:
        """Whether this node is a hub of its data centre."""
        return self.me.vm in self.hubs(self.me.data_centre)

    def neighbours(self) -> set[str]:
        """Return the nodes to which this one keeps a link.

        A hub also dials those of its data centre that have not been heard:
        they may not know of any other node yet.
        """
        found = set(self.hubs(self.me.data_centre))
        if self.me.vm in found:
            found.update(
                vm.vm
                for vm in self.vms_by_name.values()
                if vm.data_centre == self.me.data_centre
                and vm.vm not in self.heard_by_vm
            )
            centres = {vm.data_centre for vm in self.vms_by_name.values()}
            for centre in centres - {self.me.data_centre}:
                found.update(self.hubs(centre))
        return found - {self.me.vm}

    def must_watch(self) -> bool:
        """Whether this node has to watch the store itself."""
        if self.is_hub():
            return True
        alive = self.alive()
        return not any(self.heard_by_vm[vm].digest.is_watching for vm in alive)


def _order(vm: str) -> bytes:
    return hashlib.blake2b(vm.encode(), digest_size=8).digest()
