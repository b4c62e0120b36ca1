"""Refunds give back what was not used and never mint tokens."""

import hypothesis
from hypothesis import strategies as st
import pytest

from mustardlbd import _bucket

STEP = st.tuples(
    st.sampled_from(['take', 'take', 'settle', 'settle', 'resize', 'wait']),
    st.integers(0, 60),
    st.integers(0, 20),
)


class Replay:
    """A bucket that knew from the start what each call would use."""

    def __init__(self):
        self.history = []

    def level(self):
        level = rate = capacity = 0.0
        for kind, amount, more in self.history:
            if kind == 'wait':
                level = min(capacity, level + rate * amount)
            elif kind == 'resize':
                rate, capacity = amount, more
                level = min(level, capacity)
            else:
                level -= amount
        return level


@hypothesis.settings(
    max_examples=300, derandomize=True, database=None, deadline=None
)
@hypothesis.given(st.lists(STEP, min_size=10, max_size=60))
def test_level_is_as_though_only_the_used_had_been_taken(steps):
    now = 0.0
    bucket = _bucket.Bucket(now)
    replay = Replay()
    bucket.resize(now, 5.0, 100.0)
    replay.history.append(('resize', 5.0, 100.0))
    open_holds = []
    for kind, number, other in steps:
        if kind == 'wait':
            now += number / 4
            bucket.refill(now)
            replay.history.append(('wait', number / 4, 0))
        elif kind == 'resize':
            bucket.resize(now, other / 2, float(number + 40))
            replay.history.append(('resize', other / 2, float(number + 40)))
        elif kind == 'take':
            hold = bucket.take(now, number)
            if hold is not None:
                open_holds.append((hold, len(replay.history)))
                replay.history.append(('take', number, 0))
        elif open_holds:
            hold, place = open_holds.pop(other % len(open_holds))
            used = min(number, hold.tokens)
            bucket.settle(now, hold, used)
            replay.history[place] = ('take', used, 0)
        assert bucket.level == pytest.approx(replay.level(), abs=1e-6)
        assert -1e-9 <= bucket.level <= bucket.capacity + 1e-9


def test_settling_twice_gives_back_once():
    bucket = _bucket.Bucket(0.0)
    bucket.resize(0.0, 0.0, 100.0)
    bucket.add(100.0)
    hold = bucket.take(0.0, 60)
    assert bucket.settle(1.0, hold, 10) == 50.0
    assert bucket.settle(1.0, hold, 10) == 0.0
    assert bucket.level == 90.0
