"""Which VMs are known to hold which versions, and since when."""

from collections import abc
import dataclasses
import math

from mustardlb import clock
from mustardlbd import _tree_layout

# Attestations older than this are dropped, seconds.
ATTESTATION_LIFE = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Attestation:
    """A VM held (at least) these versions at some moment after `made`.

    :ivar member: weight of the vm_id
    :ivar incarnation: its process; a restart loses what was held
    :ivar made: lower bound of the moment, on the clock of this node
    """

    member: int
    incarnation: int
    versions: tuple[int, ...]
    made: float


def has_quorum(
    members: abc.Set[int], voter_sets: abc.Iterable[frozenset[str]]
) -> bool:
    """Whether the members are a majority of each voter_set.

    >>> weights = {_tree_layout.vm_hash('a'), _tree_layout.vm_hash('b')}
    >>> has_quorum(weights, [frozenset('abc'), frozenset('abcd')])
    False
    """
    return all(
        2 * sum(_tree_layout.vm_hash(vm_id) in members for vm_id in voter_set)
        > len(voter_set)
        for voter_set in voter_sets
    )


class Attestations:
    """The newest attestation of each VM that reached this node."""

    def __init__(self, now: clock.Clock) -> None:
        self._now = now
        self._by_member: dict[int, Attestation] = {}
        self._relayed: set[int] = set()

    def add(self, attestation: Attestation, relayed: bool = False) -> None:
        """Note an attestation unless a newer one is known.

        :param relayed: it came from a watcher that told this one
        """
        before = self._by_member.get(attestation.member)
        if before is not None and before.made >= attestation.made:
            return
        if attestation.made > self._now():
            return
        self._by_member[attestation.member] = attestation
        if relayed:
            self._relayed.add(attestation.member)
        else:
            self._relayed.discard(attestation.member)

    def recent(self) -> list[Attestation]:
        """Every attestation that is not too old to be of use."""
        horizon = self._now() - ATTESTATION_LIFE
        self._by_member = {
            member: one
            for member, one in self._by_member.items()
            if one.made >= horizon
        }
        return list(self._by_member.values())

    def recent_below(self) -> list[Attestation]:
        """Return those that came from VMs below this one."""
        return [
            one for one in self.recent() if one.member not in self._relayed
        ]

    def last_attested(self, vm_id: str) -> float:
        """When a VM attested last, minus infinity where it did not."""
        found = self._by_member.get(_tree_layout.vm_hash(vm_id))
        return found.made if found is not None else -math.inf


def quorum_confirmed_at(
    attestations: list[Attestation],
    versions: tuple[int, ...],
    voter_sets: tuple[frozenset[str], ...],
) -> float:
    """Return the moment as of which majorities prove `versions` newest.

    What was accepted before that moment was held by a majority; it shares a
    VM with the one counted here, which attested nothing above `versions`.
    Minus infinity where there is no such majority.
    """
    made_by_member = {
        one.member: one.made
        for one in attestations
        if not any(
            held > ours
            for held, ours in zip(one.versions, versions, strict=False)
        )
    }
    as_of = math.inf
    for voter_set in voter_sets:
        made = sorted(
            made_by_member.get(_tree_layout.vm_hash(vm_id), -math.inf)
            for vm_id in voter_set
        )
        # The greatest moment that more than half were made after.
        as_of = min(as_of, made[(len(made) - 1) // 2])
    return as_of if voter_sets else -math.inf
