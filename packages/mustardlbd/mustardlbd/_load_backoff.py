"""Adapters that one engine is not asked to load for now."""

import math

from mustardlb import clock
from mustardlbd import _engine_commands
from mustardlbd import _target_messages as messages

# A load that failed is tried here again after so long, seconds.
INITIAL_BACKOFF_SECONDS = 1.0

# The longest back-off, seconds.
MAX_BACKOFF_SECONDS = 30.0


class LoadBackoff:
    """Back-off after failed loads, and evictions without an answer."""

    def __init__(self, now: clock.Clock, checks_fencing: bool) -> None:
        self._now = now
        self._checks_fencing = checks_fencing
        self._failures_by_model: dict[str, tuple[int, float]] = {}
        self._quarantined_until_by_model: dict[str, float] = {}

    def record_outcome(self, model: str, outcome: messages.Outcome) -> None:
        """Back off after a failed load; a good one ends that."""
        if outcome is messages.Outcome.GRANTED:
            self._failures_by_model.pop(model, None)
        if outcome is not messages.Outcome.FAILED:
            return
        count, _ = self._failures_by_model.get(model, (0, 0.0))
        delay = min(INITIAL_BACKOFF_SECONDS * 2.0**count, MAX_BACKOFF_SECONDS)
        self._failures_by_model[model] = (count + 1, self._now() + delay)

    def record_unanswered_eviction(self, model: str) -> None:
        """Refuse an adapter while the order may yet reach the engine."""
        self._quarantined_until_by_model[model] = (
            self._now() + _engine_commands.LATE_COMMAND_SECONDS
        )

    def clear_quarantine(self) -> None:
        """Forget evictions: their connections ended with the engine."""
        self._quarantined_until_by_model.clear()

    def is_blocked(self, model: str) -> bool:
        """Whether a model may not be loaded here for now."""
        _, until = self._failures_by_model.get(model, (0, 0.0))
        now = self._now()
        if now < until:
            return True
        if self._checks_fencing:
            return False
        return now < self._quarantined_until_by_model.get(model, -math.inf)
