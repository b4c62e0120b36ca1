import contextlib

import pytest
import trio

from mustardlb_gateway import domain
from mustardlb_gateway import http_server

LIMITS = domain.RequestLimits(
    max_header_bytes=2000,
    max_body_bytes=1000,
    header_timeout=0.3,
    idle_timeout=0.2,
)


class ServerHarness:
    def __init__(self):
        self.requests = []
        self.cancelled = 0
        self.handler_delay = 0.0
        self.server = http_server.Server(self.handle, lambda: LIMITS, 50)

    async def handle(self, request, reply):
        self.requests.append(request)
        try:
            await trio.sleep(self.handler_delay)
        except trio.Cancelled:
            self.cancelled += 1
            raise
        if request.path == b'/cut':
            await reply.begin(200, [], b'begun')
            return
        await reply.send_response(200, [], b'got ' + request.body)

    @contextlib.asynccontextmanager
    async def running(self):
        async with trio.open_nursery() as nursery:
            port = await nursery.start(self.server.serve, '127.0.0.1', 0)
            self.port = port
            yield self
            nursery.cancel_scope.cancel()

    async def send(self, data, ends=True):
        """Return the bytes that are received until the server closes."""
        stream = await trio.open_tcp_stream('127.0.0.1', self.port)
        await stream.send_all(data)
        received = b''
        with trio.move_on_after(3):
            with contextlib.suppress(trio.BrokenResourceError):
                while more := await stream.receive_some():
                    received += more
        await stream.aclose()
        return received


CLOSE = b'connection: close\r\n'


async def test_pipelined_requests_are_answered_in_order():
    async with ServerHarness().running() as harness:
        received = await harness.send(
            b'POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 2\r\n\r\nab'
            b'POST /b HTTP/1.1\r\nhost: h\r\n'
            + CLOSE
            + b'transfer-encoding: chunked\r\n\r\n2\r\ncd\r\n0\r\n\r\n'
        )
    assert received.count(b'HTTP/1.1 200') == 2
    assert received.index(b'got ab') < received.index(b'got cd')


@pytest.mark.parametrize(
    ('head', 'status'),
    [
        (b'content-length: 2\r\ntransfer-encoding: chunked\r\n', 400),
        (b'content-length: 2\r\ncontent-length: 3\r\n', 400),
        (b'host: other\r\n', 400),
        (b'content-length: 5000\r\n', 413),
        (b'x: ' + b'y' * 3000 + b'\r\n', 431),
        (b'bad header\r\n', 400),
    ],
)
async def test_invalid_request_is_rejected(head, status):
    async with ServerHarness().running() as harness:
        received = await harness.send(
            b'POST / HTTP/1.1\r\nhost: h\r\n' + head + b'\r\nGET /smuggled'
        )
    assert received.startswith(b'HTTP/1.1 %d' % status)
    assert harness.requests == []


async def test_chunked_body_beyond_the_limit_is_rejected():
    async with ServerHarness().running() as harness:
        received = await harness.send(
            b'POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n'
            b'\r\n7d0\r\n' + b'x' * 2000 + b'\r\n'
        )
    assert received.startswith(b'HTTP/1.1 413')


async def test_header_timeout_is_answered():
    async with ServerHarness().running() as harness:
        received = await harness.send(b'GET / HTTP/1.1\r\nhost')
    assert received.startswith(b'HTTP/1.1 408')


async def test_idle_connection_is_closed_without_a_response():
    async with ServerHarness().running() as harness:
        assert await harness.send(b'') == b''


async def test_client_disconnect_cancels_its_request():
    harness = ServerHarness()
    harness.handler_delay = 5.0
    async with harness.running():
        stream = await trio.open_tcp_stream('127.0.0.1', harness.port)
        await stream.send_all(b'GET / HTTP/1.1\r\nhost: h\r\n\r\n')
        await trio.sleep(0.1)
        assert harness.server.requests_in_flight == 1
        await stream.aclose()
        await trio.sleep(0.1)
        assert harness.cancelled == 1
        assert harness.server.requests_in_flight == 0


async def test_truncated_response_does_not_look_complete():
    async with ServerHarness().running() as harness:
        received = await harness.send(b'GET /cut HTTP/1.1\r\nhost: h\r\n\r\n')
    assert b'begun' in received
    assert not received.endswith(b'0\r\n\r\n')


async def test_stopping_server_closes_connections_after_the_response():
    async with ServerHarness().running() as harness:
        harness.server.is_stopping = True
        received = await harness.send(b'GET / HTTP/1.1\r\nhost: h\r\n\r\n')
    assert b'connection: close' in received.lower()
    assert b'got ' in received


async def test_internal_error_ends_only_its_request():
    harness = ServerHarness()

    async def fail(request, reply):
        raise RuntimeError

    harness.server = http_server.Server(fail, lambda: LIMITS, 50)
    async with harness.running():
        received = await harness.send(b'GET / HTTP/1.1\r\nhost: h\r\n\r\n')
        assert received.startswith(b'HTTP/1.1 500')
        received = await harness.send(b'GET / HTTP/1.1\r\nhost: h\r\n\r\n')
        assert received.startswith(b'HTTP/1.1 500')
