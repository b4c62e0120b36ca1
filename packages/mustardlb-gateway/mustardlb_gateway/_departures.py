"""Which targets have left, by what they or the store said."""

from collections import abc

from mustardlb_gateway import domain

# Covers several replacements of all targets of the largest fleet.
MAX_DEPARTURES = 8192

# A registration that does not tell the incarnation is taken for one that has
# left for this time, longer than targets serve after their notice.
UNKNOWN_INCARNATION_SECONDS = 60.0

UNKNOWN_INCARNATION = 0


class Departures:
    """Incarnations of targets that leave or have left.

    An incarnation that leaves never takes requests again, whatever becomes of
    its registration. The longest unconfirmed departures are dropped first.
    """

    def __init__(
        self,
        clock: abc.Callable[[], float],
        max_count: int = MAX_DEPARTURES,
    ) -> None:
        self._clock = clock
        self._max_count = max_count
        # By target id and incarnation, the last recorded one at the end.
        self._recorded_at_by_key: dict[tuple[str, int], float] = {}

    def record(self, target_id: str, incarnation: int) -> bool:
        """Record that a target leaves; return whether that is new."""
        is_new = not self._holds(target_id, incarnation)
        for each in {incarnation, UNKNOWN_INCARNATION}:
            key = target_id, each
            self._recorded_at_by_key.pop(key, None)
            self._recorded_at_by_key[key] = self._clock()
        while len(self._recorded_at_by_key) > self._max_count:
            del self._recorded_at_by_key[next(iter(self._recorded_at_by_key))]
        return is_new

    def has_left(self, target: domain.Target) -> bool:
        """Return whether this incarnation of a target leaves."""
        return self._holds(target.target_id, target.incarnation)

    def _holds(self, target_id: str, incarnation: int) -> bool:
        recorded_at = self._recorded_at_by_key.get((target_id, incarnation))
        if recorded_at is None:
            return False
        if incarnation != UNKNOWN_INCARNATION:
            return True
        return self._clock() < recorded_at + UNKNOWN_INCARNATION_SECONDS
