"""Random fault schedules never make the fleet grant above a contract."""

import hypothesis
from hypothesis import strategies as st

from tests.mustardlbd import limits_scenario as scenario

STEP = st.tuples(
    st.sampled_from(scenario.STEPS),
    st.integers(0, 999),
    st.floats(0.1, 2.0),
)


@hypothesis.settings(
    max_examples=40, derandomize=True, database=None, deadline=None
)
@hypothesis.given(st.integers(0, 999), st.lists(STEP, min_size=8, max_size=25))
def test_no_window_exceeds_the_contract(seed, steps):
    scenario.run(seed, steps)
