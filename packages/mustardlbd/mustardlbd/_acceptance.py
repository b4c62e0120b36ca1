"""Which versions are accepted.

A version is accepted when it is stored and a quorum of the VMs holds it at the
same moment.
"""

import collections
import dataclasses

from mustardlb import clock
from mustardlbd import _attestations
from mustardlbd import _freshness
from mustardlbd import _notifier

# A candidate without a second quorum in this time is replaced.
CANDIDATE_TTL_SECONDS = 2.0

# Number of accepted versions whose time of acceptance is kept.
MAX_HISTORY = 32


@dataclasses.dataclass(frozen=True, slots=True)
class _Candidate:
    """A version that a quorum attested, but at different moments.

    :ivar since: when the quorum was first counted
    :ivar incarnations_by_member: incarnations of the processes in it
    """

    version: int
    since: float
    incarnations_by_member: dict[int, int]


class Acceptance:
    """The newest accepted version known for each tracked object."""

    def __init__(
        self, now: clock.Clock, object_count: int, changed: _notifier.Notifier
    ) -> None:
        self._now = now
        self._changed = changed
        self._accepted = [0] * object_count
        self._candidates: list[_Candidate | None] = [None] * object_count
        self._history: list[collections.deque[tuple[int, float]]] = [
            collections.deque(maxlen=MAX_HISTORY) for _ in range(object_count)
        ]

    def accepted(self) -> tuple[int, ...]:
        """Return the newest accepted version known of each object."""
        return tuple(self._accepted)

    def has_propagated(self, index: int, version: int) -> bool:
        """Return whether every VM has the version by now or rejects work."""
        limit = self._now() - _freshness.PROPAGATION_SECONDS
        return any(
            accepted >= version and accepted_at <= limit
            for accepted, accepted_at in self._history[index]
        )

    def mark_accepted(self, index: int, version: int) -> None:
        """Record that a version is accepted, which is never undone."""
        if version <= self._accepted[index]:
            return
        self._accepted[index] = version
        self._history[index].append((version, self._now()))
        self._changed.notify()

    def count_votes(
        self,
        attestations: list[_attestations.Attestation],
        voter_sets: tuple[frozenset[str], ...],
    ) -> None:
        """Count attestations and accept the versions that a quorum holds.

        A version needs two counts: a VM may restart, and lose the version,
        between its own attestation and the last one that completes the
        quorum. Processes that attest again after the first count all held
        the version at the moment of that count.
        """
        for index in range(len(self._accepted)):
            self._count_object(index, attestations, voter_sets)

    def _count_object(
        self,
        index: int,
        attestations: list[_attestations.Attestation],
        voter_sets: tuple[frozenset[str], ...],
    ) -> None:
        candidate = self._candidates[index]
        if candidate is not None and _attestations.has_quorum(
            _members_still_holding(candidate, index, attestations), voter_sets
        ):
            self._candidates[index] = None
            self.mark_accepted(index, candidate.version)
        now = self._now()
        if (
            candidate is not None
            and now - candidate.since < CANDIDATE_TTL_SECONDS
        ):
            return
        self._candidates[index] = self._propose(
            index, attestations, voter_sets
        )

    def _propose(
        self,
        index: int,
        attestations: list[_attestations.Attestation],
        voter_sets: tuple[frozenset[str], ...],
    ) -> _Candidate | None:
        newer = {
            one.versions[index]
            for one in attestations
            if one.versions[index] > self._accepted[index]
        }
        for version in sorted(newer, reverse=True):
            incarnations_by_member = {
                one.member: one.incarnation
                for one in attestations
                if one.versions[index] >= version
            }
            if _attestations.has_quorum(
                incarnations_by_member.keys(), voter_sets
            ):
                return _Candidate(version, self._now(), incarnations_by_member)
        return None


def _members_still_holding(
    candidate: _Candidate,
    index: int,
    attestations: list[_attestations.Attestation],
) -> set[int]:
    return {
        one.member
        for one in attestations
        if one.versions[index] >= candidate.version
        and one.made >= candidate.since
        and candidate.incarnations_by_member.get(one.member) == one.incarnation
    }
