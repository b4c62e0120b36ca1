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


class Front:
    def __init__(self):
        self.requests = []
        self.cancelled = 0
        self.hold = 0.0
        self.server = http_server.Server(self.handle, lambda: LIMITS, 50)

    async def handle(self, request, reply):
        self.requests.append(request)
        try:
            await trio.sleep(self.hold)
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
        """Return all that comes back until the server closes."""
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


async def test_two_requests_at_once_are_answered_in_order():
    async with Front().running() as front:
        received = await front.send(
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
async def test_what_is_no_proper_request_is_refused(head, status):
    async with Front().running() as front:
        received = await front.send(
            b'POST / HTTP/1.1\r\nhost: h\r\n' + head + b'\r\nGET /smuggled'
        )
    assert received.startswith(b'HTTP/1.1 %d' % status)
    assert front.requests == []


async def test_body_beyond_the_limit_is_refused_when_it_comes():
    async with Front().running() as front:
        received = await front.send(
            b'POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n'
            b'\r\n7d0\r\n' + b'x' * 2000 + b'\r\n'
        )
    assert received.startswith(b'HTTP/1.1 413')


async def test_slow_headers_end_with_an_answer():
    async with Front().running() as front:
        received = await front.send(b'GET / HTTP/1.1\r\nhost')
    assert received.startswith(b'HTTP/1.1 408')


async def test_idle_connection_is_closed_without_an_answer():
    async with Front().running() as front:
        assert await front.send(b'') == b''


async def test_client_that_leaves_ends_its_request():
    front = Front()
    front.hold = 5.0
    async with front.running():
        stream = await trio.open_tcp_stream('127.0.0.1', front.port)
        await stream.send_all(b'GET / HTTP/1.1\r\nhost: h\r\n\r\n')
        await trio.sleep(0.1)
        assert front.server.requests_in_flight == 1
        await stream.aclose()
        await trio.sleep(0.1)
        assert front.cancelled == 1
        assert front.server.requests_in_flight == 0


async def test_answer_that_is_cut_does_not_look_complete():
    async with Front().running() as front:
        received = await front.send(b'GET /cut HTTP/1.1\r\nhost: h\r\n\r\n')
    assert b'begun' in received
    assert not received.endswith(b'0\r\n\r\n')


async def test_stopping_server_ends_connections_after_their_answers():
    async with Front().running() as front:
        front.server.is_stopping = True
        received = await front.send(b'GET / HTTP/1.1\r\nhost: h\r\n\r\n')
    assert b'connection: close' in received.lower()
    assert b'got ' in received


async def test_fault_in_one_request_is_told_and_spares_the_others():
    front = Front()

    async def fail(request, reply):
        raise RuntimeError

    front.server = http_server.Server(fail, lambda: LIMITS, 50)
    async with front.running():
        received = await front.send(b'GET / HTTP/1.1\r\nhost: h\r\n\r\n')
        assert received.startswith(b'HTTP/1.1 500')
        received = await front.send(b'GET / HTTP/1.1\r\nhost: h\r\n\r\n')
        assert received.startswith(b'HTTP/1.1 500')
