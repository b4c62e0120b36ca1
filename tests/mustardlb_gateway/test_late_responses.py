"""Second copies of responses that arrive late on reused connections.

An operator reported that the next client got such a copy as its response.
"""

import builders
import gateway_harness
import pytest
import scripted
import trio

from mustardlb import frames
from mustardlb_gateway import _relay
from mustardlb_gateway import domain
from mustardlb_gateway import http_client

NON_IDEMPOTENT = builders.make_route(kind=domain.RouteKind.NON_IDEMPOTENT)
STREAM = builders.make_route(kind=domain.RouteKind.STREAM, is_resumable=True)

# These statuses guarantee that the request has not run.
REJECTIONS = (408, 421, 429, 503)

NO_ID = b'HTTP/1.1 200 OK\r\nx-signed: 1\r\ncontent-length: 4\r\n\r\nlate'
NO_ID_421 = b'HTTP/1.1 421 X\r\ncontent-length: 0\r\n\r\n'
NO_ID_NOT_RUN = b'HTTP/1.1 503 X\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n'
LATE = {
    'same id': scripted.response(b'r1', b'late'),
    'other id': scripted.response(b'r0', b'late'),
    'no id': NO_ID,
    'no id, 421': NO_ID_421,
    'no id, not run': NO_ID_NOT_RUN,
    'half a head': scripted.response(b'r1', b'late')[:20],
    'half a body': scripted.response(b'r1', b'late')[:-2],
    'stream': scripted.stream_head(b'r1') + scripted.event(7),
}


def make_late_script(late, parts, is_idle, respond):
    """Return a script that sends `late` in parts around a second request.

    The first request, r1, gets its response at once. `late` follows it on the
    idle connection, or comes between the second request on that connection
    and its response.
    """
    step = -(-len(late) // parts)
    pieces = [late[at : at + step] for at in range(0, len(late), step)]

    async def send_late(connection):
        for piece in pieces:
            await trio.sleep(0.02)
            await connection.send(piece)

    async def script(connection, head, body):
        request_id = scripted.request_id(head)
        is_second = getattr(connection, 'was_used_by_r1', False)
        if is_second and not is_idle:
            await send_late(connection)
        await respond(connection, request_id)
        if request_id == b'r1':
            connection.was_used_by_r1 = True
        if not is_second and is_idle:
            await send_late(connection)

    return script


async def respond_own(connection, request_id):
    await connection.send(scripted.response(request_id, b'own ' + request_id))


async def respond_stream(connection, request_id):
    await connection.send(scripted.stream_head(request_id))
    for number in range(3):
        await connection.send(scripted.event(number))
    await connection.send(scripted.LAST_CHUNK)


@pytest.mark.parametrize('kind', sorted(LATE))
async def test_response_on_an_idle_connection_is_delivered_to_nobody(kind):
    script = make_late_script(LATE[kind], 1, True, respond_own)
    harness = gateway_harness.Harness(NON_IDEMPOTENT)
    async with harness.running(script):
        assert (await harness.send_request()).body == b'own r1'
        await trio.sleep(0.1)
        assert (await harness.send_request()).body == b'own r1'
        assert harness.scripted[0].opened == 2


# Bytes that are in transit while the connection is taken from the pool come
# after the next request was sent.
@pytest.mark.parametrize('parts', [1, 2, 3])
@pytest.mark.parametrize('kind', sorted(LATE))
async def test_response_before_the_own_one_is_delivered_to_nobody(kind, parts):
    script = make_late_script(LATE[kind], parts, False, respond_own)
    harness = gateway_harness.Harness(NON_IDEMPOTENT)
    async with harness.running(script):
        assert (await harness.send_request()).body == b'own r1'
        for request_id in (b'r2', b'r1'):
            response = await harness.send_request(request_id=request_id)
            assert b'late' not in response.body
            assert response.status not in REJECTIONS
            if response.status == 200:
                assert response.body == b'own ' + request_id
        ids = [scripted.request_id(head) for head, _ in harness.targets_got]
        assert ids == [b'r1', b'r2', b'r1']


@pytest.mark.parametrize('is_idle', [True, False])
@pytest.mark.parametrize('kind', sorted(LATE))
async def test_stream_has_events_of_its_own_response_only(kind, is_idle):
    script = make_late_script(LATE[kind], 2, is_idle, respond_stream)
    harness = gateway_harness.Harness(STREAM)
    async with harness.running(script):
        for request_id in (b'r1', b'r2', b'r1'):
            response = await harness.send_request(request_id=request_id)
            assert response.status not in REJECTIONS
            if response.status == 200:
                assert response.events == [0, 1, 2]
            await trio.sleep(0.1)


# Two requests with one id on one connection cannot be told apart by the ids
# of their responses.
async def test_request_id_is_not_used_twice_on_a_connection():
    async def script(connection, head, body):
        first = getattr(connection, 'first', None)
        if first is not None:
            await connection.send(first)
        else:
            number = harness.scripted[0].opened
            connection.first = scripted.response(b'r1', b'%d' % number)
        await connection.send(connection.first)

    harness = gateway_harness.Harness(NON_IDEMPOTENT)
    async with harness.running(script):
        assert (await harness.send_request()).body == b'1'
        assert (await harness.send_request()).body == b'2'


# A target repeats its rejection of a first attempt; the second attempt of the
# same call runs, and a third one must not follow.
async def test_late_rejection_does_not_count_for_the_second_attempt():
    rejected, runs = [], []

    async def script(connection, head, body):
        request_id = scripted.request_id(head)
        rejection = scripted.response(
            request_id, b'', 503, b'x-not-run: 1', False
        )
        if not rejected:
            rejected.append(connection)
            await connection.send(rejection)
            return
        runs.append(request_id)
        if connection in rejected:
            await connection.send(rejection)
        await connection.send(scripted.response(request_id, b'ran'))

    route = builders.make_route(
        kind=domain.RouteKind.NON_IDEMPOTENT, max_attempts=3
    )
    harness = gateway_harness.Harness(route)
    async with harness.running(script):
        response = await harness.send_request()
        assert response.body == b'ran'
        assert runs == [b'r1']


REJECTION = scripted.response(b'r0', b'', 503, b'x-not-run: 1', False)


# The rest of a late response may never arrive. Its first bytes must not become
# the status or a header of the response that follows.
@pytest.mark.parametrize('late', [REJECTION, LATE['other id']])
async def test_bytes_before_a_head_are_no_part_of_it(late):
    async def script(connection, head, body):
        cut = int(head.target[1:])
        own = scripted.response(scripted.request_id(head), b'own')
        await connection.send(late[:cut] + own)

    async def exchange(connection, request_id, cut):
        headers = [(b'host', b'h'), (b'x-id', request_id)]
        await connection.send(b'GET', b'/%d' % cut, headers, b'')
        head = await connection.receive_head(
            lambda head: dict(head.headers).get(b'x-id') == request_id
        )
        body = await connection.receive_body(100)
        names = [name for name, _ in head.headers]
        assert (head.status, body) == (200, b'own')
        assert b'x-not-run' not in names
        assert names.count(b'x-id') == 1

    async with scripted.ScriptedServer(script).running() as server:
        pool = http_client.Pool(1.0)
        for cut in range(1, len(late)):
            connection = await pool.acquire('t', '127.0.0.1', server.port)
            await exchange(connection, b'r1', 0)
            pool.release('t', connection)
            connection = await pool.acquire('t', '127.0.0.1', server.port)
            with trio.move_on_after(0.02):
                try:
                    await exchange(connection, b'r2', cut)
                except http_client.ExchangeFailed as error:
                    assert error.was_sent
            connection.close()


# A response to HEAD has no body: what follows the head of a late response to
# another method is not a response.
async def test_body_of_a_late_response_is_not_read_as_a_response_to_head():
    inner = b'HTTP/1.1 200 OK\r\nx-id: mine\r\nx-of: other\r\n\r\n'

    async def script(connection, head, body):
        await connection.send(scripted.response(b'other', inner))
        await connection.send(
            b'HTTP/1.1 200 OK\r\nx-id: mine\r\nx-of: me\r\n\r\n'
        )

    async with scripted.ScriptedServer(script).running() as server:
        pool = http_client.Pool(1.0)
        connection = await pool.acquire('t', '127.0.0.1', server.port)
        await connection.send(b'HEAD', b'/', HEADERS, b'')
        with pytest.raises(http_client.ExchangeFailed):
            await connection.receive_head(is_mine)


async def test_connection_that_carried_head_is_not_reused():
    async def script(connection, head, body):
        await connection.send(
            b'HTTP/1.1 200 OK\r\nx-id: mine\r\ncontent-length: 9\r\n\r\n'
        )

    async with scripted.ScriptedServer(script).running() as server:
        pool = http_client.Pool(1.0)
        connection = await pool.acquire('t', '127.0.0.1', server.port)
        await connection.send(b'HEAD', b'/', HEADERS, b'')
        await connection.receive_head(is_mine)
        assert await connection.receive_data() is None
        pool.release('t', connection)
        assert connection.is_closed


HEADERS = [(b'host', b'h'), (b'x-id', b'mine')]


def is_mine(head):
    return dict(head.headers).get(b'x-id') == b'mine'


# Bytes of a response's head if its body has five digits of length.
OWN_HEAD_BYTES = len(scripted.response(b'mine', b'a' * 10_000)) - 10_000


# A relaying node sends the target's bytes in frames. What a frame holds
# beyond a response, and what arrives while the connection is idle, belongs to
# no request.
@pytest.mark.parametrize(
    ('together', 'idle'),
    [
        ((scripted.response(b'mine', b'late'),), ()),
        ((), (scripted.response(b'mine', b'late'),)),
        ((), (scripted.response(b'mine', b'late')[:10],)),
        ((), (NO_ID,)),
        ((b'x-padding',), ()),
    ],
)
@pytest.mark.parametrize('body_bytes', [4, 65_536 - OWN_HEAD_BYTES, 70_000])
async def test_late_bytes_of_a_relayed_connection_are_dropped(
    together, idle, body_bytes
):
    own = scripted.response(b'mine', b'a' * body_bytes)
    assert body_bytes == 4 or len(own) >= 65_536

    async def serve(stream):
        await stream.receive_some(1000)
        await frames.send(stream, b''.join((own, *together)))
        for data in idle:
            await trio.sleep(0.02)
            await frames.send(stream, data)
        await trio.sleep_forever()

    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(trio.serve_tcp, serve, 0)
        port = listeners[0].socket.getsockname()[1]
        stream = await trio.open_tcp_stream('127.0.0.1', port)
        connection = http_client.Connection(
            _relay.RelayedStream(stream), 'helper'
        )
        pool = http_client.Pool(1.0)
        await connection.send(b'GET', b'/', HEADERS, b'')
        # A frame larger than any that a relaying node sends ends the relay.
        with trio.fail_after(1):
            try:
                await connection.receive_head(is_mine)
                body = await connection.receive_body(100_000)
                assert body == b'a' * body_bytes
                pool.release('t', connection)
            except http_client.ExchangeFailed:
                connection.close()
        await trio.sleep(0.06)
        assert pool.take_idle('t', is_relayed=True) is None
        nursery.cancel_scope.cancel()
