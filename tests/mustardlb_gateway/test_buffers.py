"""Slow readers and bounded memory.

Targets abort responses that stay unread for some seconds, and what a node
buffers counts toward the memory of its VM, 160 MB and more.
"""

import contextlib

import builders
import gateway_harness
import pytest
import scripted
import trio
import trio.testing

from mustardlb_gateway import _buffers
from mustardlb_gateway import _messages
from mustardlb_gateway import _reachability
from mustardlb_gateway import _relay
from mustardlb_gateway import domain
from mustardlb_gateway import http_server

STREAM = builders.make_route(kind=domain.RouteKind.STREAM, timeout=8.0)
PLAIN = builders.make_route(kind=domain.RouteKind.NON_IDEMPOTENT, timeout=8.0)

# With 10 MB the limit is 2 MB, and 65,536 bytes for one client of a stream.
MEMORY_MB = 10.0
LIMIT = 2_000_000

EVENT = scripted.chunk(b'data: ' + b'a' * 10_000 + b'\n\n')


async def connect(harness):
    sock = trio.socket.socket()
    # Small buffers make the pace of the client visible to the server.
    sock.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_RCVBUF, 4096)
    await sock.connect(('127.0.0.1', harness.port))
    return trio.SocketStream(sock)


def make_request(number, body_bytes=0):
    return (
        b'POST /x/ HTTP/1.1\r\nhost: h\r\nx-id: r%d\r\nx-wait: 8\r\n'
        b'content-length: %d\r\n\r\n' % (number, body_bytes)
    )


async def send_and_forget(harness, number):
    """Send a request and return the stream, from which nothing is read."""
    stream = await connect(harness)
    await stream.send_all(make_request(number))
    return stream


async def receive_all(stream, pause=0.0):
    data = b''
    with contextlib.suppress(trio.BrokenResourceError):
        while more := await stream.receive_some(65_536):
            data += more
            await trio.sleep(pause)
    return data


class Flood:
    """A target that streams events as fast as they are read.

    :ivar longest: longest time for which an event was not taken, seconds
    :ivar ended: ids of the requests whose connection was closed
    """

    def __init__(self, events):
        self.events = events
        self.longest = 0.0
        self.ended = []

    async def __call__(self, connection, head, body):
        request_id = scripted.request_id(head)
        await connection.send(scripted.stream_head(request_id))
        try:
            for _ in range(self.events):
                began = trio.current_time()
                await connection.send(EVENT)
                self.longest = max(self.longest, trio.current_time() - began)
        except trio.BrokenResourceError:
            self.ended.append(request_id)
            raise
        await connection.send(scripted.LAST_CHUNK)


# The client was waited for up to 10 s while nothing was read of the target.
async def test_target_is_read_while_its_client_does_not():
    flood = Flood(2000)
    harness = gateway_harness.Harness(STREAM, memory_mb=MEMORY_MB)
    async with harness.running(flood):
        stream = await send_and_forget(harness, 1)
        with trio.fail_after(3):
            while not flood.ended:
                await trio.sleep(0.02)
        assert flood.longest < 1.0
        assert harness.buffers.evictions == 1
        await trio.sleep(0.1)
        assert harness.buffers.held == 0
        assert not harness.server.requests_in_flight
        await stream.aclose()


async def test_client_that_keeps_up_gets_the_whole_stream():
    harness = gateway_harness.Harness(STREAM, memory_mb=MEMORY_MB)
    async with harness.running(Flood(20)):
        idle = [await send_and_forget(harness, number) for number in range(5)]
        stream = await connect(harness)
        await stream.send_all(make_request(10))
        data = b''
        with trio.move_on_after(3):
            while not data.endswith(scripted.LAST_CHUNK):
                data += await stream.receive_some(65_536)
        body = data.partition(b'\r\n\r\n')[2]
        assert body.count(b'data: ') == 20
        assert body.endswith(scripted.LAST_CHUNK)
        assert len(idle) == 5


# It reads an event each 50 ms, as many as the target sends.
async def test_slow_but_steady_client_gets_the_whole_stream():
    async def paced(connection, head, body):
        await connection.send(scripted.stream_head(scripted.request_id(head)))
        for number in range(40):
            await connection.send(scripted.event(number))
            await trio.sleep(0.05)
        await connection.send(scripted.LAST_CHUNK)

    harness = gateway_harness.Harness(STREAM, memory_mb=MEMORY_MB)
    async with harness.running(paced):
        stream = await connect(harness)
        await stream.send_all(make_request(1))
        data = b''
        with trio.fail_after(6):
            while not data.endswith(scripted.LAST_CHUNK):
                data += await stream.receive_some(40)
                await trio.sleep(0.02)
        assert data.count(b'data: ') == 40
        assert harness.buffers.evictions == 0


async def respond_large(connection, head, body):
    await connection.send(
        scripted.response(scripted.request_id(head), b'a' * 600_000)
    )


# Without a bound, 40 clients that do not read hold 24 MB.
async def test_all_buffered_data_is_within_the_limit():
    harness = gateway_harness.Harness(PLAIN, memory_mb=MEMORY_MB)
    peak = 0
    async with harness.running(respond_large):
        streams = []
        for number in range(40):
            streams.append(await send_and_forget(harness, number))
            for _ in range(5):
                await trio.sleep(0.01)
                peak = max(peak, harness.buffers.held)
        assert 0 < peak <= LIMIT + 65_536
        for stream in streams:
            await stream.aclose()
        await trio.sleep(0.2)
        assert harness.buffers.held == 0


async def test_slowest_client_is_disconnected_first():
    harness = gateway_harness.Harness(PLAIN, memory_mb=MEMORY_MB)
    async with harness.running(respond_large), trio.open_nursery() as nursery:
        responses = []

        async def read_steadily():
            stream = await connect(harness)
            await stream.send_all(make_request(99))
            with trio.move_on_after(6):
                while sum(map(len, responses)) < 600_000:
                    responses.append(await stream.receive_some(65_536))
                    await trio.sleep(0.005)

        nursery.start_soon(read_steadily)
        await trio.sleep(0.1)
        streams = []
        for number in range(12):
            streams.append(await send_and_forget(harness, number))
            await trio.sleep(0.05)
        while sum(map(len, responses)) < 600_000:
            await trio.sleep(0.05)
            assert responses[-1]
        assert harness.buffers.evictions > 0
        for stream in streams:
            await stream.aclose()


async def test_request_above_the_limit_is_rejected_as_not_run():
    harness = gateway_harness.Harness(PLAIN, memory_mb=MEMORY_MB)
    async with harness.running(respond_large):
        other = harness.buffers.open()
        other.add(LIMIT * 3 // 4)
        response = await harness.send_request()
        assert response.status == 503
        assert float(response.headers[b'retry-after']) > 0
        assert not harness.request_count
        other.close()
        assert (await harness.send_request()).status == 200


# Bodies that never become complete take memory too.
async def test_incomplete_request_bodies_are_counted():
    harness = gateway_harness.Harness(PLAIN, memory_mb=MEMORY_MB)
    statuses = []
    peak = 0

    async def send(number):
        stream = await connect(harness)
        await stream.send_all(make_request(number, 1_000_001))
        with contextlib.suppress(trio.BrokenResourceError):
            await stream.send_all(b'a' * 1_000_000)
        data = await receive_all(stream)
        statuses.append(data.split(b' ')[1] if data else b'')

    async with harness.running(respond_large), trio.open_nursery() as nursery:
        for number in range(8):
            nursery.start_soon(send, number)
        for _ in range(60):
            await trio.sleep(0.01)
            peak = max(peak, harness.buffers.held)
        assert LIMIT / 2 < peak <= LIMIT + 8 * http_server.MAX_READ_BYTES
        assert len(statuses) >= 5
        assert set(statuses) <= {b'503', b''}
        assert statuses.count(b'503') >= 1
        assert not harness.request_count
        nursery.cancel_scope.cancel()
    assert harness.buffers.held == 0


async def test_reader_that_stalls_is_disconnected(monkeypatch):
    monkeypatch.setattr(http_server, 'WRITE_TIMEOUT_SECONDS', 0.5)
    harness = gateway_harness.Harness(PLAIN, memory_mb=MEMORY_MB)
    async with harness.running(respond_large):
        stream = await send_and_forget(harness, 1)
        await trio.sleep(0.2)
        assert harness.buffers.held > 0
        for _ in range(10):
            await stream.receive_some(1)
            await trio.sleep(0.1)
        assert harness.buffers.held == 0
        assert harness.buffers.evictions == 1


# What a relaying node holds for a slow node counts, and it takes on no further
# relays when it is full.
async def test_relayed_data_is_counted():
    buffers = _buffers.Buffers(lambda: MEMORY_MB)
    server, target = trio.testing.memory_stream_pair()
    client, node = trio.testing.memory_stream_pair()
    # The pipe to the other node takes one frame only.
    client.send_stream.send_all_hook = trio.sleep_forever
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            _relay._copy_both, client, server, lambda: True, buffers
        )
        await target.send_all(b'a' * 10_000)
        await trio.testing.wait_all_tasks_blocked()
        assert buffers.held == 10_000
        nursery.cancel_scope.cancel()
    assert buffers.held == 0
    assert node is not None


async def test_full_node_relays_for_nobody():
    buffers = _buffers.Buffers(lambda: MEMORY_MB)
    buffers.open().add(LIMIT)
    target = builders.make_target()
    relays = _relay.RelayServer(
        None,
        lambda: {target.target_id: target},
        None,
        lambda: False,
        buffers=buffers,
    )
    relay = _messages.Relay(target.target_id, target.incarnation)
    outcome, stream = await relays._connect(relay)
    assert outcome == _reachability.RelayOutcome.BUSY
    assert stream is None


# Settings without a memory limit change nothing.
async def test_nothing_is_rejected_without_a_limit():
    harness = gateway_harness.Harness(PLAIN)
    async with harness.running(respond_large):
        harness.buffers.open().add(10**9)
        assert (await harness.send_request()).status == 200


@pytest.mark.parametrize('memory_mb', [160, 552])
async def test_limit_follows_from_the_memory(memory_mb):
    buffers = _buffers.Buffers(lambda: memory_mb)
    assert 30e6 < buffers.limit < memory_mb * 1e6 / 3
    assert 1e6 <= buffers.client_limit <= _buffers.MAX_CLIENT_BYTES


async def test_slowest_outputs_are_evicted_until_there_is_room():
    buffers = _buffers.Buffers(lambda: MEMORY_MB)
    disconnected = []
    outputs = []
    for number in range(4):
        output = buffers.open(
            lambda number=number: disconnected.append(number)
        )
        output.add(450_000)
        outputs.append(output)
    for number in (0, 2):
        outputs[number].remove(10_000 * (1 + number))
    buffers.open().add(700_000)
    assert sorted(disconnected) == [1, 3]
    assert buffers.held <= LIMIT


# Some large responses that did not end made the node reject all new requests.
async def test_largest_response_is_given_up_before_requests_are_rejected():
    async def endless(connection, head, body):
        if scripted.request_id(head) == b'small':
            await connection.send(scripted.response(b'small'))
            return
        await connection.send(
            b'HTTP/1.1 200 X\r\nx-signed: 1\r\nx-id: '
            + scripted.request_id(head)
            + b'\r\ncontent-length: 8000000\r\n\r\n'
        )
        while True:
            await connection.send(b'x' * 20_000)
            await trio.sleep(0.01)

    harness = gateway_harness.Harness(PLAIN, memory_mb=MEMORY_MB)
    async with harness.running(endless), trio.open_nursery() as nursery:
        responses = []

        async def request(number):
            responses.append(
                await harness.send_request(b'x-wait: 8\r\n', b'r%d' % number)
            )

        statuses = []
        nursery.start_soon(request, 1)
        await trio.sleep(0.3)
        nursery.start_soon(request, 2)
        for _ in range(40):
            response = await harness.send_request(request_id=b'small')
            statuses.append(response.status)
            await trio.sleep(0.04)
        assert set(statuses) == {200}
        assert harness.buffers.abandoned >= 1
        assert [each.status for each in responses] == [502] * len(responses)
        nursery.cancel_scope.cancel()
    assert harness.buffers.held == 0


# A whole response, of which the client reads the rest, was given up.
async def test_complete_response_is_not_given_up():
    buffers = _buffers.Buffers(lambda: MEMORY_MB)
    given_up = []
    whole = buffers.open(abandon=lambda: given_up.append('whole'))
    whole.add(1_100_000)
    whole.complete()
    other = buffers.open(abandon=lambda: given_up.append('other'))
    other.add(500_000)
    assert given_up == []
    assert other.try_add(300_000)
    assert not other.try_add(300_000)
    assert buffers.held <= LIMIT
