"""Short soak runs; `tools/soak.py` runs longer ones with any seed."""

import pytest
import soak
import soak_clients
import soak_targets

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

EARLY_SECONDS = 10.0


@pytest.mark.parametrize('seed', SEEDS)
async def test_promises_hold_under_faults(seed, tmp_path):
    run = soak.Soak(seed, tmp_path)
    assert await run.run(SECONDS) == []


@pytest.mark.parametrize('seed', LEAVING_SEEDS)
async def test_no_request_reaches_targets_that_have_left(seed, tmp_path):
    run = soak.Soak(seed, tmp_path, leaving=True)
    assert await run.run(LEAVING_SECONDS) == []


# Empty events of a target at the start of a stream were taken for a fault of
# the gateway.
@pytest.mark.parametrize(
    ('body', 'is_right'),
    [
        (b'\n\n\n\n', True),
        (b': keep\n\n\n\n:\n:\n\n', True),
        (b'%b\n\n: keep\n\n%b', True),
        (b'%b\ndata: x\n\n', False),
        (b'\n\n%b%b%b', False),
    ],
)
def test_check_ignores_empty_events_only(body, is_right):
    outcome = soak_clients.Outcome('r', 'stream', 'k', 'vm0', 0.0, 200)
    events = [soak_targets.stream_event('r', number) for number in (1, 2, 2)]
    body %= tuple(events[: body.count(b'%b')])
    stamp = f't.{soak_targets.sign("t", "r")}'.encode()
    headers = {'x-mustardlb-server-stamp': stamp}
    problem = soak_clients._find_problem(outcome, headers, body)
    assert (problem == '') == is_right


# Responses that do not end kept nodes from all other work.
@pytest.mark.parametrize('seed', [4601, 4602, 4603])
async def test_promises_hold_beside_endless_responses(seed, tmp_path):
    run = soak.Soak(seed, tmp_path, endless=True)
    assert await run.run(ENDLESS_SECONDS) == []


# Parts of responses to long uploads were passed on as whole ones.
@pytest.mark.parametrize('seed', [5200, 5202])
async def test_promises_hold_beside_early_responses(seed, tmp_path):
    run = soak.Soak(seed, tmp_path, early=True)
    assert await run.run(EARLY_SECONDS) == []
