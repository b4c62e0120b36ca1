"""Selection of the node that decides on something for the whole fleet.

The owner is the live node that ranks highest for a name by rendezvous
hashing. If it does not respond, the node of the next rank decides.
"""

from collections import abc
import itertools

from mustardlb_gateway import _leases

# Time to wait for an owner. It allows a few round trips between data centres
# and is short against the latency objectives of requests.
RESPONSE_TIMEOUT_SECONDS = 0.12

# A node that did not respond is not asked for this time. The fleet notices
# by then if it has stopped.
BACKOFF_SECONDS = 2.0

MAX_OWNERS_ASKED = 2


class Owners:
    """The ranks of the live nodes, and which of them respond."""

    def __init__(
        self,
        vm: str,
        live: abc.Callable[[], frozenset[str]],
        clock: abc.Callable[[], float],
    ) -> None:
        self._vm = vm
        self._live = live
        self._clock = clock
        self._unresponsive_until: dict[str, float] = {}
        self._ranked_vms: frozenset[str] = frozenset()
        self._ranking_by_name: dict[str, list[str]] = {}

    def ranking(self, name: str) -> list[str]:
        """Return the live nodes by rank, this one included."""
        vms = self._live() | {self._vm}
        if vms != self._ranked_vms:
            self._ranked_vms = vms
            self._ranking_by_name.clear()
        ranking = self._ranking_by_name.get(name)
        if ranking is None:
            ranking = sorted(
                vms,
                key=lambda vm: _leases.rendezvous_weight(vm, name),
                reverse=True,
            )
            self._ranking_by_name[name] = ranking
        return ranking

    def to_ask(self, name: str) -> list[str]:
        """Return the nodes to ask, by rank."""
        now = self._clock()
        self._unresponsive_until = {
            vm: until
            for vm, until in self._unresponsive_until.items()
            if until > now
        }
        responsive = (
            vm
            for vm in self.ranking(name)
            if vm not in self._unresponsive_until
        )
        return list(itertools.islice(responsive, MAX_OWNERS_ASKED))

    def mark_unresponsive(self, vm: str) -> None:
        """Do not ask a node for a while."""
        self._unresponsive_until[vm] = self._clock() + BACKOFF_SECONDS
