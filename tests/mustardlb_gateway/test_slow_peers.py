"""Slow but steady streams are served, and stalled ones end.

An operator reported that slow but healthy streams were cut, and that stalled
ones that sent a byte now and then never ended.
"""

import contextlib

import builders
import gateway_harness
import pytest
import scripted
import trio

from mustardlb_gateway import domain
from mustardlb_gateway import http_server

# Clients of this route give up after max(2, 4 * 0.1, 8 * 0.1) = 2 s.
STREAM = builders.make_route(
    kind=domain.RouteKind.STREAM,
    latency_objective=0.1,
    gap_objective=0.1,
    timeout=3.0,
    max_attempts=1,
)
RESUMABLE = builders.make_route(
    kind=domain.RouteKind.STREAM,
    is_resumable=True,
    latency_objective=0.1,
    timeout=8.0,
)
WAIT = b'x-wait: 8\r\n'


def make_paused_stream(pause, count):
    async def script(connection, head, body):
        await connection.send(scripted.stream_head(scripted.request_id(head)))
        for number in range(count):
            await connection.send(scripted.event(number))
            await trio.sleep(pause)
        await connection.send(scripted.LAST_CHUNK)

    return script


async def trickle(connection, head, body):
    """Send a byte now and then after one event, without a further event."""
    await connection.send(scripted.stream_head(scripted.request_id(head)))
    await connection.send(scripted.event(0))
    while True:
        await connection.send(scripted.chunk(b'x'))
        await trio.sleep(0.1)


async def trickle_head(connection, head, body):
    await connection.send(b'HTTP/1.1 200 OK\r\nx-a: ')
    while True:
        await connection.send(b'x')
        await trio.sleep(0.1)


async def resume(connection, head, body):
    last = dict(head.headers).get(b'last-event-id', b'-1')
    await connection.send(scripted.stream_head(scripted.request_id(head)))
    for number in range(int(last) + 1, 3):
        await connection.send(scripted.event(number))
    await connection.send(scripted.LAST_CHUNK)


# Its pauses are within what clients bear, and longer than the objective.
@pytest.mark.parametrize(('pause', 'count'), [(0.4, 6), (1.2, 2)])
async def test_slow_stream_is_not_cut_before_the_timeout(pause, count):
    script = make_paused_stream(pause, count)
    async with gateway_harness.Harness(STREAM).running(script) as harness:
        response = await harness.send_request(WAIT)
    assert response.is_complete
    assert response.events == list(range(count))


# The timeout of a route is the longest time that its operator allows for the
# whole request, however steady the stream is.
@pytest.mark.parametrize('gap_objective', [None, 0.3])
async def test_timeout_ends_a_stream(gap_objective):
    route = builders.make_route(
        kind=domain.RouteKind.STREAM, timeout=1.0, gap_objective=gap_objective
    )
    script = make_paused_stream(0.2, 20)
    async with gateway_harness.Harness(route).running(script) as harness:
        started_at = trio.current_time()
        response = await harness.send_request(WAIT)
        assert trio.current_time() - started_at < 1.5
    assert not response.is_complete


@pytest.mark.parametrize('script', [trickle, trickle_head])
async def test_trickling_stream_ends_when_its_client_has_given_up(script):
    async with gateway_harness.Harness(STREAM).running(script) as harness:
        started_at = trio.current_time()
        response = await harness.send_request(WAIT)
        assert trio.current_time() - started_at < 2.5
        assert not response.is_complete or response.status in (502, 504)
        assert not harness.server.requests_in_flight


# The response timeout of a resumable stream is 2.5 s; bytes that complete no
# event do not prolong it.
async def test_trickling_stream_is_resumed_at_another_target():
    harness = gateway_harness.Harness(RESUMABLE)
    async with harness.running(trickle, trickle) as harness:
        for server in harness.scripted:
            server.script = lambda connection, head, body: (
                resume(connection, head, body)
                if b'last-event-id' in dict(head.headers)
                else trickle(connection, head, body)
            )
        started_at = trio.current_time()
        response = await harness.send_request(WAIT)
        assert trio.current_time() - started_at < 4.0
    assert response.is_complete
    assert response.events == [0, 1, 2]


class SlowClients:
    """A server with a large response, and clients that read it slowly."""

    def __init__(self, monkeypatch, body_bytes):
        monkeypatch.setattr(http_server, 'WRITE_TIMEOUT_SECONDS', 0.6)
        self.body = b'a' * body_bytes
        self.is_written = False
        limits = domain.RequestLimits(header_timeout=0.5, idle_timeout=5.0)
        self.server = http_server.Server(self.handle, lambda: limits, 50)

    async def handle(self, request, reply):
        await reply.send_response(200, [], self.body)
        self.is_written = True

    @contextlib.asynccontextmanager
    async def connected(self):
        async with trio.open_nursery() as nursery:
            port = await nursery.start(self.server.serve, '127.0.0.1', 0)
            sock = trio.socket.socket()
            # A small buffer makes the client's pace visible to the server.
            sock.setsockopt(
                trio.socket.SOL_SOCKET, trio.socket.SO_RCVBUF, 4096
            )
            await sock.connect(('127.0.0.1', port))
            yield trio.SocketStream(sock)
            nursery.cancel_scope.cancel()


async def test_slow_but_steady_reader_gets_the_whole_response(monkeypatch):
    clients = SlowClients(monkeypatch, 4_000_000)
    async with clients.connected() as stream:
        await stream.send_all(b'GET / HTTP/1.1\r\nhost: h\r\n\r\n')
        received = 0
        with contextlib.suppress(trio.BrokenResourceError):
            while received < len(clients.body):
                data = await stream.receive_some(65_536)
                if not data:
                    break
                received += len(data)
                await trio.sleep(0.004)
        assert received >= len(clients.body)


async def test_reader_of_a_byte_now_and_then_is_disconnected(monkeypatch):
    clients = SlowClients(monkeypatch, 12_000_000)
    async with clients.connected() as stream:
        await stream.send_all(b'GET / HTTP/1.1\r\nhost: h\r\n\r\n')
        started_at = trio.current_time()
        await trio.sleep(0.1)
        with trio.fail_after(3):
            while clients.server.requests_in_flight:
                await stream.receive_some(1)
                await trio.sleep(0.1)
        assert trio.current_time() - started_at < 2.0
        assert not clients.is_written


# The time-out is long against the delays of a busy machine, on which a process
# may stand still for half a second.
async def test_slow_but_steady_sender_of_a_body_is_served(monkeypatch):
    monkeypatch.setattr(http_server, 'BODY_TIMEOUT_SECONDS', 2.0)
    clients = SlowClients(monkeypatch, 2)
    async with clients.connected() as stream:
        await stream.send_all(
            b'POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 60000\r\n\r\n'
        )
        for _ in range(6):
            await stream.send_all(b'a' * 10000)
            await trio.sleep(0.4)
        assert b'200' in await stream.receive_some()


async def test_sender_of_a_byte_now_and_then_is_disconnected(monkeypatch):
    monkeypatch.setattr(http_server, 'BODY_TIMEOUT_SECONDS', 0.4)
    clients = SlowClients(monkeypatch, 2)
    async with clients.connected() as stream:
        await stream.send_all(
            b'POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 60000\r\n\r\n'
        )
        with (
            trio.move_on_after(0.8),
            contextlib.suppress(trio.BrokenResourceError),
        ):
            while True:
                await stream.send_all(b'a')
                await trio.sleep(0.05)
        assert b'408' in await stream.receive_some()
