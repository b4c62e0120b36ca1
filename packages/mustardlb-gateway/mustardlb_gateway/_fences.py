"""The highest fencing tokens that are known, by target.

They are remembered after the lease and the registration of a target are gone,
since a store that continues from a copy may have lost both.
"""

# Covers several replacements of all engines of the largest fleet.
MAX_TARGETS = 8192


class HighestFences:
    """The highest token of each target; those recorded last are kept."""

    def __init__(self, max_targets: int = MAX_TARGETS) -> None:
        self._max_targets = max_targets
        self._fence_by_target: dict[str, int] = {}

    def record(self, target_id: str, fence: int) -> None:
        """Record that a node has or had a token."""
        fences = self._fence_by_target
        fences[target_id] = max(fence, fences.pop(target_id, 0))
        if len(fences) > self._max_targets:
            del fences[next(iter(fences))]

    def get(self, target_id: str) -> int:
        """Return the highest token of a target, 0 for none."""
        return self._fence_by_target.get(target_id, 0)
