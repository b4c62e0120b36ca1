"""Attestations: which VM held which versions, and when."""

from collections import abc
import dataclasses
import math

from mustardlb import clock
from mustardlbd import _tree_layout

# Age at which attestations are dropped.
ATTESTATION_TTL_SECONDS = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Attestation:
    """A VM held these versions, or later ones, at some moment after `made`.

    :ivar member: hash of the vm_id, see _tree_layout.vm_hash
    :ivar incarnation: tag of its process; a restart loses held versions
    :ivar made: lower bound of that moment, on the clock of this node
    """

    member: int
    incarnation: int
    versions: tuple[int, ...]
    made: float


def has_quorum(
    members: abc.Set[int], voter_sets: abc.Iterable[frozenset[str]]
) -> bool:
    """Return whether the members are a majority of each voter set.

    >>> hashes = {_tree_layout.vm_hash('a'), _tree_layout.vm_hash('b')}
    >>> has_quorum(hashes, [frozenset('abc'), frozenset('abcd')])
    False
    """
    return all(
        2 * sum(_tree_layout.vm_hash(vm_id) in members for vm_id in voter_set)
        > len(voter_set)
        for voter_set in voter_sets
    )


class Attestations:
    """The newest attestation received from each VM."""

    def __init__(self, now: clock.Clock) -> None:
        self._now = now
        self._by_member: dict[int, Attestation] = {}
        self._relayed: set[int] = set()

    def add(self, attestation: Attestation, relayed: bool = False) -> None:
        """Store an attestation unless a newer one is known.

        :param relayed: another watcher forwarded it
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
        """Return the attestations that have not expired."""
        oldest = self._now() - ATTESTATION_TTL_SECONDS
        self._by_member = {
            member: one
            for member, one in self._by_member.items()
            if one.made >= oldest
        }
        return list(self._by_member.values())

    def recent_below(self) -> list[Attestation]:
        """Return those that came from VMs below this one in the tree."""
        return [
            one for one in self.recent() if one.member not in self._relayed
        ]

    def last_attested(self, vm_id: str) -> float:
        """Return when a VM attested last, minus infinity if it has not."""
        found = self._by_member.get(_tree_layout.vm_hash(vm_id))
        return found.made if found is not None else -math.inf


def quorum_confirmed_at(
    attestations: list[Attestation],
    versions: tuple[int, ...],
    voter_sets: tuple[frozenset[str], ...],
) -> float:
    """Return the moment up to which a quorum confirms `versions` as newest.

    A majority held each version that was accepted before that moment. Any
    two majorities share a VM, and none of the VMs counted here attested a
    version above `versions`. Returns minus infinity without a quorum.
    """
    made_by_member = {
        one.member: one.made
        for one in attestations
        if not any(
            held > ours
            for held, ours in zip(one.versions, versions, strict=False)
        )
    }
    confirmed_at = math.inf
    for voter_set in voter_sets:
        made = sorted(
            made_by_member.get(_tree_layout.vm_hash(vm_id), -math.inf)
            for vm_id in voter_set
        )
        # The latest moment after which more than half of the set attested.
        confirmed_at = min(confirmed_at, made[(len(made) - 1) // 2])
    return confirmed_at if voter_sets else -math.inf
