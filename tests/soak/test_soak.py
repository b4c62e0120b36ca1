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


# Targets leave without a notice, or say so only in their responses.
LEAVING_SEEDS = [
    902,  # A restored store had a removed target again.
    907,
    1020,  # A check took a reset request for a notice that was passed on.
]

LEAVING_SECONDS = 14.0

ENDLESS_SECONDS = 10.0


@pytest.mark.parametrize('seed', SEEDS)
async def test_promises_hold_under_faults(seed, tmp_path):
    run = soak.Soak(seed, tmp_path)
    assert await run.run(SECONDS) == []


@pytest.mark.parametrize('seed', LEAVING_SEEDS)
async def test_no_request_reaches_targets_that_have_left(seed, tmp_path):
    run = soak.Soak(seed, tmp_path, leaving=True)
    assert await run.run(LEAVING_SECONDS) == []


# Responses that do not end kept nodes from all other work.
@pytest.mark.parametrize('seed', [4601, 4602, 4603])
async def test_promises_hold_beside_endless_responses(seed, tmp_path):
    run = soak.Soak(seed, tmp_path, endless=True)
    assert await run.run(ENDLESS_SECONDS) == []
