"""Delays before an engine is asked again to load an adapter."""

import math

from mustardlb import clock
from mustardlbd import _engine_commands
from mustardlbd import _target_messages as messages

INITIAL_BACKOFF_SECONDS = 1.0

MAX_BACKOFF_SECONDS = 30.0


class LoadBackoff:
    """Backoff after failed loads, quarantine after unanswered evictions."""

    def __init__(self, now: clock.Clock, checks_fencing: bool) -> None:
        self._now = now
        self._checks_fencing = checks_fencing
        self._failures_by_model: dict[str, tuple[int, float]] = {}
        self._quarantined_until_by_model: dict[str, float] = {}

    def record_outcome(self, model: str, outcome: messages.Outcome) -> None:
        """Start or extend the backoff of a failed load; success resets it."""
        if outcome is messages.Outcome.GRANTED:
            self._failures_by_model.pop(model, None)
        if outcome is not messages.Outcome.FAILED:
            return
        self._forget_old_failures()
        count, _ = self._failures_by_model.get(model, (0, 0.0))
        delay = min(INITIAL_BACKOFF_SECONDS * 2.0**count, MAX_BACKOFF_SECONDS)
        self._failures_by_model[model] = (count + 1, self._now() + delay)

    def _forget_old_failures(self) -> None:
        """Drop models whose backoff ended long ago."""
        since = self._now() - MAX_BACKOFF_SECONDS
        self._failures_by_model = {
            model: (count, until)
            for model, (count, until) in self._failures_by_model.items()
            if until > since
        }

    def record_unanswered_eviction(self, model: str) -> None:
        """Block an adapter while its eviction may still reach the engine."""
        now = self._now()
        self._quarantined_until_by_model = {
            blocked: until
            for blocked, until in self._quarantined_until_by_model.items()
            if until > now
        }
        self._quarantined_until_by_model[model] = (
            self._now() + _engine_commands.LATE_COMMAND_SECONDS
        )

    def clear_quarantine(self) -> None:
        """End all quarantines: a restart closes the evictions' connections."""
        self._quarantined_until_by_model.clear()

    def is_blocked(self, model: str) -> bool:
        """Return whether a model must not be loaded on this engine yet."""
        _, until = self._failures_by_model.get(model, (0, 0.0))
        now = self._now()
        if now < until:
            return True
        if self._checks_fencing:
            return False
        return now < self._quarantined_until_by_model.get(model, -math.inf)
