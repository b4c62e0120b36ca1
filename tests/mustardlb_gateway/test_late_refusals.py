"""Refusals that a target writes once more where the next answer is due.

Clients were told that requests had not run which a target had run, or such
requests ran at a second target.
"""

import builders
import gateway_harness
import pytest
import scripted
import trio

from mustardlb_gateway import domain
from mustardlb_gateway import http_client

# These statuses guarantee that the request has not run.
REFUSALS = (408, 421, 429, 503)

ROUTES = {
    kind: builders.make_route(kind=kind, max_attempts=3, is_resumable=False)
    for kind in (domain.RouteKind.NON_IDEMPOTENT, domain.RouteKind.STREAM)
}

INFORMATIONAL = {
    'nothing': b'',
    'continue': b'HTTP/1.1 100 Continue\r\n\r\n',
    'hints': b'HTTP/1.1 103 Early Hints\r\nx-id: r0\r\nx-not-run: 1\r\n\r\n',
}

BEFORE = {'nothing': b'', 'late response': scripted.response(b'r0', b'late')}


def refusal(status, request_id=None, is_marked=True, body=b''):
    """Return the bytes of a refusal, with the id of a request if given."""
    lines = [b'HTTP/1.1 %d X' % status, b'content-length: %d' % len(body)]
    if request_id is not None:
        lines.append(b'x-id: ' + request_id)
    if is_marked:
        lines.append(b'x-not-run: 1')
    return b'\r\n'.join([*lines, b'', body])


def make_refusing(late, runs, is_first=False):
    """Return a script that runs each request after the bytes `late`.

    On a new connection, `late` comes only if `is_first`; `runs` gets the ids
    of the requests.
    """

    async def script(connection, head, body):
        request_id = scripted.request_id(head)
        runs.append(request_id)
        if is_first or getattr(connection, 'is_used', False):
            await connection.send(late)
        connection.is_used = True
        if head.method == b'HEAD':
            await connection.send(scripted.response(request_id, b''))
            return
        await connection.send(scripted.response(request_id, b'ran'))

    return script


async def check_each_runs_once(kind, late, is_first, method=b'POST'):
    runs = []
    script = make_refusing(late, runs, is_first)
    harness = gateway_harness.Harness(ROUTES[kind])
    async with harness.running(script, script):
        for number in range(1, 5):
            response = await harness.send_request(
                request_id=b'r%d' % number, method=method
            )
            assert response.status not in REFUSALS
    assert runs == [b'r1', b'r2', b'r3', b'r4']


@pytest.mark.parametrize('status', REFUSALS)
@pytest.mark.parametrize('late_id', [None, b'r0'])
@pytest.mark.parametrize('before', sorted(INFORMATIONAL))
@pytest.mark.parametrize('kind', sorted(ROUTES))
async def test_late_refusal_on_a_kept_connection_is_not_the_own_one(
    status, late_id, before, kind
):
    """A target that ran a request had written an earlier refusal again."""
    late = INFORMATIONAL[before] + refusal(status, late_id, body=b'full')
    await check_each_runs_once(kind, late, False)


@pytest.mark.parametrize('status', REFUSALS)
@pytest.mark.parametrize('before', sorted(BEFORE))
@pytest.mark.parametrize('kind', sorted(ROUTES))
async def test_refusal_without_id_on_a_new_connection_is_not_the_own_one(
    status, before, kind
):
    """Without an id, nothing tells whose refusal the first response is."""
    await check_each_runs_once(kind, BEFORE[before] + refusal(status), True)


@pytest.mark.parametrize('late_id', [None, b'r0'])
@pytest.mark.parametrize('is_first', [True, False])
async def test_late_refusal_before_the_response_to_head(late_id, is_first):
    """A late refusal with a body was read as the response to HEAD."""
    late = refusal(503, late_id, body=b'HTTP/1.1 429 X\r\nx-id: r2\r\n\r\n')
    await check_each_runs_once(
        domain.RouteKind.NON_IDEMPOTENT, late, is_first, b'HEAD'
    )


@pytest.mark.parametrize('count', [1, 70])
async def test_refusal_of_the_own_request_is_taken_after_late_ones(count):
    """Late refusals must not hide a true one, with which the call goes on."""
    runs = []

    async def refuse(connection, head, body):
        request_id = scripted.request_id(head)
        late = b''.join(refusal(503, b'l%d' % n) for n in range(count))
        await connection.send(late + refusal(503, request_id))

    harness = gateway_harness.Harness(ROUTES[domain.RouteKind.NON_IDEMPOTENT])
    async with harness.running(refuse, make_refusing(b'', runs)):
        for number in range(8):
            response = await harness.send_request(request_id=b'r%d' % number)
            assert response.status in (200, 503)
        assert runs


@pytest.mark.parametrize('cut', range(1, len(refusal(503))))
async def test_part_of_a_refusal_is_no_part_of_the_own_head(cut):
    """A refusal's first bytes came after a late response, on a new link."""
    late = scripted.response(b'other', b'late') + refusal(503)[:cut]

    async def script(connection, head, body):
        await connection.send(late + scripted.response(b'r1', b''))
        await connection.stream.send_eof()

    async with scripted.ScriptedServer(script).running() as server:
        pool = http_client.Pool(1.0)
        connection = await pool.acquire('t', '127.0.0.1', server.port)
        await connection.send(b'GET', b'/', [(b'host', b'h')], b'')
        try:
            head = await connection.receive_head(
                lambda head: dict(head.headers).get(b'x-id') != b'other'
            )
        except http_client.ExchangeFailed as error:
            assert error.was_sent
        else:
            names = dict(head.headers)
            assert b'x-id' not in names or (
                head.status == 200 and b'x-not-run' not in names
            )
        connection.close()


async def test_late_refusal_within_a_chunked_stream_ends_it():
    """A refusal between two events was no part of the stream."""
    stream = ROUTES[domain.RouteKind.STREAM]

    async def script(connection, head, body):
        request_id = scripted.request_id(head)
        await connection.send(
            scripted.stream_head(request_id)
            + scripted.event(0)
            + refusal(503, b'r0')
            + scripted.event(1)
            + scripted.LAST_CHUNK
        )

    harness = gateway_harness.Harness(stream)
    async with harness.running(script):
        response = await harness.send_request()
        assert response.events in ([], [0])
        assert b'HTTP/' not in response.body
        assert not response.is_complete


async def test_early_refusal_of_a_large_body_is_the_own_one():
    """A target may refuse a request before it has read the body."""
    large = b'a' * 4_000_000
    opened = []

    async def refuse(stream):
        opened.append(stream)
        await stream.receive_some(1000)
        await stream.send_all(refusal(503, b'r1'))
        while await stream.receive_some(65_536):
            pass

    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(trio.serve_tcp, refuse, 0)
        port = listeners[0].socket.getsockname()[1]
        pool = http_client.Pool(1.0)
        connection = await pool.acquire('t', '127.0.0.1', port)
        await connection.send(b'POST', b'/', [(b'host', b'h')], large, nursery)
        head = await connection.receive_head()
        assert head.status == 503
        await connection.receive_body(100)
        pool.release('t', connection)
        nursery.cancel_scope.cancel()
    assert len(opened) == 1
