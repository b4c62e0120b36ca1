"""Refunds return unused tokens and never create any."""

import hypothesis
from hypothesis import strategies as st
import pytest

from mustardlbd import _token_bucket

STEP = st.tuples(
    st.sampled_from(['take', 'take', 'settle', 'settle', 'resize', 'wait']),
    st.integers(0, 60),
    st.integers(0, 20),
)


class ReplayedBucket:
    """A bucket computed anew from calls that take only the used tokens."""

    def __init__(self):
        self.history = []

    def level(self):
        level = rate = capacity = 0.0
        for action, amount, new_capacity in self.history:
            if action == 'wait':
                level = min(capacity, level + rate * amount)
            elif action == 'resize':
                rate, capacity = amount, new_capacity
                level = min(level, capacity)
            else:
                level -= amount
        return level


@hypothesis.settings(
    max_examples=300, derandomize=True, database=None, deadline=None
)
@hypothesis.given(st.lists(STEP, min_size=10, max_size=60))
def test_level_matches_a_replay_that_takes_only_used_tokens(steps):
    now = 0.0
    bucket = _token_bucket.TokenBucket(now)
    replay = ReplayedBucket()
    bucket.resize(now, 5.0, 100.0)
    replay.history.append(('resize', 5.0, 100.0))
    open_holds = []
    for action, number, other in steps:
        if action == 'wait':
            now += number / 4
            bucket.refill(now)
            replay.history.append(('wait', number / 4, 0))
        elif action == 'resize':
            bucket.resize(now, other / 2, float(number + 40))
            replay.history.append(('resize', other / 2, float(number + 40)))
        elif action == 'take':
            hold = bucket.try_acquire(now, number)
            if hold is not None:
                open_holds.append((hold, len(replay.history)))
                replay.history.append(('take', number, 0))
        elif open_holds:
            hold, index = open_holds.pop(other % len(open_holds))
            used = min(number, hold.tokens)
            bucket.settle(now, hold, used)
            replay.history[index] = ('take', used, 0)
        assert bucket.level == pytest.approx(replay.level(), abs=1e-6)
        assert -1e-9 <= bucket.level <= bucket.capacity + 1e-9


def test_second_settle_refunds_nothing():
    bucket = _token_bucket.TokenBucket(0.0)
    bucket.resize(0.0, 0.0, 100.0)
    bucket.add(100.0)
    hold = bucket.try_acquire(0.0, 60)
    assert bucket.settle(1.0, hold, 10) == 50.0
    assert bucket.settle(1.0, hold, 10) == 0.0
    assert bucket.level == 90.0
