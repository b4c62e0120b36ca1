"""Which targets have left, by what they or the store said."""

from mustardlb_gateway import domain

# Covers several replacements of all targets of the largest fleet.
MAX_DEPARTURES = 4096


class Departures:
    """Incarnations of targets that leave or have left.

    An incarnation that leaves never takes requests again, whatever becomes of
    its registration. The longest unconfirmed departures are dropped first.
    """

    def __init__(self, max_count: int = MAX_DEPARTURES) -> None:
        self._max_count = max_count
        # A dictionary used as an ordered set of target ids with incarnations.
        self._keys: dict[tuple[str, int], None] = {}

    def record(self, target: domain.Target) -> bool:
        """Record that a target leaves; return whether that is new."""
        key = target.target_id, target.incarnation
        is_new = key not in self._keys
        self._keys.pop(key, None)
        self._keys[key] = None
        if len(self._keys) > self._max_count:
            del self._keys[next(iter(self._keys))]
        return is_new

    def has_left(self, target: domain.Target) -> bool:
        """Return whether this incarnation of a target leaves."""
        return (target.target_id, target.incarnation) in self._keys
