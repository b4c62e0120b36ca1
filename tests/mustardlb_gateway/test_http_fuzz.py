"""Heads and bodies of targets and clients that are damaged or odd."""

import contextlib
import random

import pytest
import structlog
import trio

from mustardlb_gateway import domain
from mustardlb_gateway import http_client
from mustardlb_gateway import http_server

HEADERS = [(b'host', b'h'), (b'x-id', b'mine')]

ODD_NUMBERS = (
    b'7' * 400,
    b'7' * 5_000,
    b'9' * 20,
    b'-1',
    b'1e400',
    b'nan',
    b'\xb2',
    b'0x10',
    b'',
    b'1_0',
)

RESPONSES = (
    b'HTTP/1.1 200 OK\r\nx-id: mine\r\ncontent-length: 2\r\n'
    b'keep-alive: timeout=5\r\n\r\nok',
    b'HTTP/1.1 200 OK\r\nx-id: mine\r\ntransfer-encoding: chunked\r\n\r\n'
    b'2;x=y\r\nok\r\n0\r\nx-trailer: 1\r\n\r\n',
    b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 X\r\nx-id: other\r\n'
    b'content-length: 1\r\n\r\nyHTTP/1.0 200 OK\r\nx-id: mine\r\n\r\nok',
)

REQUESTS = (
    b'POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 2\r\n\r\nab',
    b'POST /b HTTP/1.1\r\nhost: h\r\nexpect: 100-continue\r\n'
    b'transfer-encoding: chunked\r\n\r\n2\r\ncd\r\n0\r\n\r\n',
    b'GET /c HTTP/1.0\r\nhost: h\r\nkeep-alive: timeout=5\r\n\r\n',
)


def damaged(rng, original):
    """Return bytes of which some are replaced, left out or repeated."""
    data = bytearray(original)
    for _ in range(rng.choice((1, 1, 2, 4))):
        at = rng.randrange(len(data))
        end = min(len(data), at + rng.choice((0, 1, 1, 2, 8)))
        data[at:end] = rng.choice(
            (
                b'',
                bytes(data[at:end]) * 2,
                rng.randbytes(2),
                b'\r\n',
                b'\0',
                rng.choice(ODD_NUMBERS),
            )
        )
    return bytes(data)


async def exchange(response):
    """Receive a response; return None if the exchange failed."""
    near, far = trio.socket.socketpair()
    connection = http_client.Connection(trio.SocketStream(near))
    await connection.send(b'GET', b'/', HEADERS, b'')
    peer = trio.SocketStream(far)
    await peer.send_all(response)
    await peer.send_eof()
    try:
        head = await connection.receive_head(
            lambda head: dict(head.headers).get(b'x-id') == b'mine'
        )
        body = await connection.receive_body(1_000)
    except http_client.ExchangeFailed:
        return None
    finally:
        await peer.aclose()
        if not connection.is_closed:
            connection.prepare_reuse()
            connection.close()
    return head.status, body


@pytest.mark.parametrize('original', RESPONSES)
async def test_damaged_response_raises_only_exchangefailed(original):
    """Guards against bytes of a target that end the process."""
    assert await exchange(original) == (200, b'ok')
    rng = random.Random(7)
    for _ in range(300):
        await exchange(damaged(rng, original))


@pytest.mark.parametrize('number', ODD_NUMBERS)
@pytest.mark.parametrize('original', RESPONSES[:2])
async def test_odd_number_in_a_response_raises_only_exchangefailed(
    original, number
):
    """Guards against a length or a time that no number can hold."""
    for before in (b'content-length: 2', b'timeout=5', b'\n2;x=y', b' 200'):
        await exchange(original.replace(before, before[:-1] + number))
        name = before.partition(b':')[0]
        await exchange(original.replace(before, name + b': ' + number))


@contextlib.asynccontextmanager
async def running_server():
    limits = domain.RequestLimits(
        max_header_bytes=2_000,
        max_body_bytes=1_000,
        header_timeout=0.3,
        idle_timeout=0.2,
    )

    async def handle(request, reply):
        await reply.send_response(200, [], b'got ' + request.body)

    server = http_server.Server(handle, lambda: limits, 50)
    async with trio.open_nursery() as nursery:
        port = await nursery.start(server.serve, '127.0.0.1', 0)
        yield port
        nursery.cancel_scope.cancel()


async def send(port, data):
    """Return the bytes that a server sends."""
    stream = await trio.open_tcp_stream('127.0.0.1', port)
    received = b''
    with trio.fail_after(5), contextlib.suppress(trio.BrokenResourceError):
        await stream.send_all(data)
        await stream.send_eof()
        while more := await stream.receive_some():
            received += more
    await stream.aclose()
    return received


@pytest.mark.parametrize('original', REQUESTS)
async def test_damaged_request_ends_at_most_its_connection(original):
    """Guards against bytes of a client that end the process."""
    rng = random.Random(9)
    with structlog.testing.capture_logs() as logs:
        async with running_server() as port:
            for _ in range(150):
                await send(port, damaged(rng, original))
            assert b'HTTP/1.1 200' in await send(port, original)
    assert 'MLB-6001' not in {each['event'] for each in logs}


@pytest.mark.parametrize('number', ODD_NUMBERS)
async def test_odd_length_of_a_request_is_rejected(number):
    """Guards against a length that no number can hold."""
    head = b'POST /a HTTP/1.1\r\nhost: h\r\n'
    chunked = b'transfer-encoding: chunked\r\n\r\n%s\r\nok\r\n'
    with structlog.testing.capture_logs() as logs:
        async with running_server() as port:
            for rest in (b'content-length: %s\r\n\r\nok', chunked):
                received = await send(port, head + rest % number)
                assert b' 200 ' not in received
    assert 'MLB-6001' not in {each['event'] for each in logs}
