"""Work that ran and whose response was lost.

An operator reported that such work was run again, or that its client was told
that it had not run.
"""

import builders
import gateway_harness
import pytest
import scripted
import trio

from mustardlb_gateway import domain

# These statuses guarantee that the request has not run.
REJECTIONS = (408, 421, 429, 503)

NON_IDEMPOTENT = builders.make_route(
    kind=domain.RouteKind.NON_IDEMPOTENT, max_attempts=3
)
IDEMPOTENT = builders.make_route(max_attempts=2)
STREAM = builders.make_route(
    kind=domain.RouteKind.STREAM, is_resumable=True, max_attempts=2
)


def make_losing(sent_bytes, how, status=200):
    """Return a script that runs the request and loses its response."""

    async def lose(connection, head, body):
        whole = scripted.response(
            scripted.request_id(head), b'ran' * 10, status
        )
        await connection.send(whole[:sent_bytes])
        await trio.sleep(0.02)
        if how == 'reset':
            await connection.reset()
        elif how == 'end':
            await connection.stream.aclose()
        else:
            await trio.sleep_forever()

    return lose


def make_answering(status, extra=b''):
    async def answer(connection, head, body):
        await connection.send(
            scripted.response(scripted.request_id(head), b'', status, extra)
        )

    return answer


async def respond_ok(connection, head, body):
    await connection.send(scripted.response(scripted.request_id(head)))


def use_in_turn(harness, scripts):
    """Let the targets run the scripts in the order of the requests."""
    left = list(scripts)

    async def script(connection, head, body):
        await left.pop(0)(connection, head, body)

    for server in harness.scripted:
        server.script = script


LOSSES = [
    (sent_bytes, how)
    for sent_bytes in (0, 10, 40, 90)
    for how in ('reset', 'end', 'hang')
]


@pytest.mark.parametrize(('sent_bytes', 'how'), LOSSES)
async def test_work_is_not_run_again(sent_bytes, how):
    lose = make_losing(sent_bytes, how)
    harness = gateway_harness.Harness(NON_IDEMPOTENT)
    async with harness.running(respond_ok, respond_ok):
        use_in_turn(harness, (lose, respond_ok, respond_ok))
        response = await harness.send_request(b'x-wait: 0.6\r\n')
        assert response.status in (502, 504)
        assert harness.request_count == 1


# A rejection by the second target says nothing about the first.
@pytest.mark.parametrize(
    ('status', 'extra'),
    [(503, b'x-not-run: 1'), (429, b'x-not-run: 1'), (421, b'')]
    + [(status, b'') for status in (408, 429, 503)],
)
@pytest.mark.parametrize('route', [IDEMPOTENT, STREAM])
async def test_rejection_of_the_retry_is_no_guarantee(route, status, extra):
    scripts = (make_losing(40, 'reset'), make_answering(status, extra))
    harness = gateway_harness.Harness(route)
    async with harness.running(respond_ok, respond_ok):
        use_in_turn(harness, scripts)
        response = await harness.send_request()
        assert harness.request_count == 2
        assert response.status not in REJECTIONS
        assert response.status >= 500


@pytest.mark.parametrize('status', REJECTIONS)
@pytest.mark.parametrize('loss', ['reset', 'hang'])
async def test_response_is_lost_after_a_rejection(status, loss):
    scripts = (make_answering(status), make_losing(40, loss))
    harness = gateway_harness.Harness(IDEMPOTENT)
    async with harness.running(respond_ok, respond_ok):
        use_in_turn(harness, scripts)
        response = await harness.send_request(b'x-wait: 0.9\r\n')
        if harness.request_count == 2:
            assert response.status not in REJECTIONS


# The work has run at the first target, which failed on it.
async def test_rejection_after_an_error_is_no_guarantee():
    scripts = (make_answering(500), make_answering(429))
    harness = gateway_harness.Harness(IDEMPOTENT)
    async with harness.running(respond_ok, respond_ok):
        use_in_turn(harness, scripts)
        response = await harness.send_request()
        assert harness.request_count == 2
        assert response.status not in REJECTIONS


async def test_exhausted_retry_budget_is_no_guarantee():
    harness = gateway_harness.Harness(IDEMPOTENT, retries_left=0)
    async with harness.running(make_losing(0, 'reset')):
        response = await harness.send_request()
        assert response.status == 502


# A target's own response is forwarded unchanged.
@pytest.mark.parametrize('status', (408, 429, 503))
async def test_only_response_is_forwarded_unchanged(status):
    harness = gateway_harness.Harness(NON_IDEMPOTENT)
    async with harness.running(make_answering(status)):
        assert (await harness.send_request()).status == status


# An incomplete rejection is none: the rest of it may say otherwise.
@pytest.mark.parametrize('how', ['reset', 'end'])
async def test_incomplete_rejection_is_no_guarantee(how):
    async def lose(connection, head, body):
        whole = scripted.response(
            scripted.request_id(head), b'rejected', 503, b'x-not-run: 1'
        )
        await connection.send(whole[:-3])
        await trio.sleep(0.02)
        if how == 'reset':
            await connection.reset()
        else:
            await connection.stream.aclose()

    harness = gateway_harness.Harness(NON_IDEMPOTENT)
    async with harness.running(lose, lose):
        assert (await harness.send_request()).status == 502
        assert harness.request_count == 1
