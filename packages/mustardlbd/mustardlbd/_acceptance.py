"""Which versions are accepted: stored, and held by a majority at once."""

import collections
import dataclasses

from mustardlb import clock
from mustardlbd import _attestations
from mustardlbd import _freshness
from mustardlbd import _notifier

# A candidate without a second majority in this time is begun anew.
CANDIDATE_TIME = 2.0  # seconds

# Accepted versions remembered with the moment at which they were known.
HISTORY = 32


@dataclasses.dataclass(frozen=True, slots=True)
class _Candidate:
    """A version that a majority held, not yet known to be at one moment.

    :ivar since: when the majority was first seen
    :ivar incarnations_by_member: the processes that held it
    """

    version: int
    since: float
    incarnations_by_member: dict[int, int]


class Acceptance:
    """What this node knows to be accepted, for each tracked object."""

    def __init__(
        self, now: clock.Clock, tracked: int, news: _notifier.Notifier
    ) -> None:
        self._now = now
        self._news = news
        self._accepted = [0] * tracked
        self._candidates: list[_Candidate | None] = [None] * tracked
        self._known: list[collections.deque[tuple[int, float]]] = [
            collections.deque(maxlen=HISTORY) for _ in range(tracked)
        ]

    def accepted(self) -> tuple[int, ...]:
        """Return the newest version known to be accepted, for each object."""
        return tuple(self._accepted)

    def has_propagated(self, index: int, version: int) -> bool:
        """Whether every VM has the version by now, or has stopped."""
        limit = self._now() - _freshness.PROPAGATION_SECONDS
        return any(
            accepted >= version and known <= limit
            for accepted, known in self._known[index]
        )

    def mark_accepted(self, index: int, version: int) -> None:
        """Note that a version is accepted; that never becomes untrue."""
        if version <= self._accepted[index]:
            return
        self._accepted[index] = version
        self._known[index].append((version, self._now()))
        self._news.notify()

    def count_votes(
        self,
        attestations: list[_attestations.Attestation],
        voter_sets: tuple[frozenset[str], ...],
    ) -> None:
        """Look for majorities among the attestations.

        Two looks are needed: a VM may restart, and lose a version, between
        its attestation and the last one that makes up the majority. The
        same processes seen again, after the first look, held it at that
        moment all together.
        """
        for index in range(len(self._accepted)):
            self._count_one(index, attestations, voter_sets)

    def _count_one(
        self,
        index: int,
        attestations: list[_attestations.Attestation],
        voter_sets: tuple[frozenset[str], ...],
    ) -> None:
        candidate = self._candidates[index]
        if candidate is not None and _attestations.has_quorum(
            _still_holding(candidate, index, attestations), voter_sets
        ):
            self._candidates[index] = None
            self.mark_accepted(index, candidate.version)
        now = self._now()
        if candidate is not None and now - candidate.since < CANDIDATE_TIME:
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


def _still_holding(
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
