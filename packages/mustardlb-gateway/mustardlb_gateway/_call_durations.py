"""How long the calls of each route took lately."""

from collections import abc

# The longest call is forgotten after one to two windows.
WINDOW_SECONDS = 30.0

# A call may take longer than all recent ones by this ratio.
MARGIN_RATIO = 1.5


class CallDurations:
    """The longest recent call of each route that a target received."""

    def __init__(self, clock: abc.Callable[[], float]) -> None:
        self._clock = clock
        self._window_began_at = clock()
        self._longest_by_route: dict[str, float] = {}
        self._previous_by_route: dict[str, float] = {}

    def record(self, route: str, seconds: float) -> None:
        """Record how long a call took."""
        self._begin_window_if_due()
        self._longest_by_route[route] = max(
            seconds, self._longest_by_route.get(route, 0.0)
        )

    def estimate(self, route: str) -> float | None:
        """Return the seconds that a call takes at most, None if unknown."""
        self._begin_window_if_due()
        recent = [
            longest_by_route[route]
            for longest_by_route in (
                self._longest_by_route,
                self._previous_by_route,
            )
            if route in longest_by_route
        ]
        return MARGIN_RATIO * max(recent) if recent else None

    def _begin_window_if_due(self) -> None:
        now = self._clock()
        elapsed = now - self._window_began_at
        if elapsed < WINDOW_SECONDS:
            return
        self._previous_by_route = (
            self._longest_by_route if elapsed < 2 * WINDOW_SECONDS else {}
        )
        self._longest_by_route = {}
        self._window_began_at = now
