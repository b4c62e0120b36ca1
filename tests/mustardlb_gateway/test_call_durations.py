"""The longest recent call of a route, for the admission in a stop."""

import pytest

from mustardlb_gateway import _call_durations

RATIO = _call_durations.MARGIN_RATIO
WINDOW_SECONDS = _call_durations.WINDOW_SECONDS


class Harness:
    def __init__(self):
        self.now = 50.0
        self.durations = _call_durations.CallDurations(lambda: self.now)


def test_longest_call_counts():
    """A later, shorter call must not hide a long one."""
    harness = Harness()
    for seconds in (0.1, 2.0, 0.2):
        harness.durations.record('slow', seconds)
    harness.durations.record('fast', 0.1)
    assert harness.durations.estimate('slow') == RATIO * 2.0
    assert harness.durations.estimate('fast') == pytest.approx(RATIO * 0.1)
    assert harness.durations.estimate('unknown') is None


@pytest.mark.parametrize('steps', [1, 4])
def test_old_calls_are_forgotten(steps):
    """One slow call would have had requests rejected for ever."""
    harness = Harness()
    harness.durations.record('r', 2.0)
    for _ in range(steps):
        harness.now += 2 * WINDOW_SECONDS / steps
        assert harness.durations.estimate('r') in (None, RATIO * 2.0)
    assert harness.durations.estimate('r') is None
