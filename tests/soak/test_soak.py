"""Short soak runs; `tools/soak.py` runs longer ones with any seed."""

import pytest
import soak

# A seed that has failed is added with a comment on the cause, and stays.
SEEDS = [
    1,  # A SIGHUP ended a process that was starting.
    2,  # A restored store gave a lease's fencing token out again.
    3,
    4,
]

SECONDS = 6.0


@pytest.mark.parametrize('seed', SEEDS)
async def test_promises_hold_under_faults(seed, tmp_path):
    run = soak.Soak(seed, tmp_path)
    assert await run.run(SECONDS) == []
