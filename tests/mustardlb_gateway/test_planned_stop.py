"""Requests that a node has accepted get a response while it stops.

An operator reported that requests which had just been accepted were cut off
without a response during a planned stop under load.
"""

import contextlib
import socket
import sys
import time

import gateway_harness
import pytest
import test_app
import test_unreachable_targets
import trio

from mustardlb_gateway import _planned_stop
from mustardlb_gateway import app
from mustardlb_gateway import domain
from mustardlb_gateway import http_server

LIMITS = domain.RequestLimits(idle_timeout=5.0, header_timeout=2.0)

REQUEST = b'POST /x/ HTTP/1.1\r\nhost: h\r\nx-id: r%d\r\ncontent-length: 4\r\n'
SIGNALS = frozenset({15})


def make_request(number, ends=True):
    return (
        REQUEST % number + b'x-wait: 3\r\n\r\n' + b'body'[: 4 if ends else 2]
    )


async def receive_all(stream):
    """Return what is received until the peer closes or resets."""
    data = b''
    with trio.move_on_after(8), contextlib.suppress(trio.BrokenResourceError):
        while more := await stream.receive_some():
            data += more
    return data


@contextlib.asynccontextmanager
async def running_server(handler):
    server = http_server.Server(handler, lambda: LIMITS, 50)
    async with trio.open_nursery() as nursery:
        port = await nursery.start(server.serve, '127.0.0.1', 0)
        yield server, port
        nursery.cancel_scope.cancel()


async def respond_ok(request, reply):
    await reply.send_response(200, [], request.body)


# The request is in the socket's buffer, but the server's task has not been
# woken yet.
async def test_unread_request_is_served_when_idle_connections_are_closed():
    async with running_server(respond_ok) as (server, port):
        stream = await trio.open_tcp_stream('127.0.0.1', port)
        await trio.sleep(0.5)
        raw = socket.socket(fileno=socket.dup(stream.socket.fileno()))
        raw.setblocking(False)
        raw.send(make_request(1))
        server.is_stopping = True
        server.close_idle()
        raw.close()
        assert (await receive_all(stream)).endswith(b'\r\n\r\nbody')


def send_after(seconds, sock, data):
    """Send data while the event loop does not run."""
    time.sleep(seconds)
    sock.send(data)


async def test_unread_request_is_served_at_the_idle_timeout():
    limits = domain.RequestLimits(idle_timeout=-0.8)
    served = []

    async def handle(request, reply):
        served.append(request)
        await respond_ok(request, reply)

    server = http_server.Server(handle, lambda: limits, 50)
    async with trio.open_nursery() as nursery:
        port = await nursery.start(server.serve, '127.0.0.1', 0)
        raw = socket.create_connection(('127.0.0.1', port))
        await trio.sleep(0.1)
        send_after(0.15, raw, make_request(1))
        raw.setblocking(False)
        stream = trio.SocketStream(trio.socket.from_stdlib_socket(raw))
        with trio.move_on_after(1):
            assert (await stream.receive_some()).endswith(b'\r\n\r\nbody')
        assert served
        nursery.cancel_scope.cancel()


async def test_new_connection_has_time_for_its_first_request():
    async with running_server(respond_ok) as (server, port):
        server.is_stopping = True
        stream = await trio.open_tcp_stream('127.0.0.1', port)
        await trio.sleep(0.1)
        server.close_idle()
        await trio.sleep(0.05)
        await stream.send_all(make_request(1))
        assert (await receive_all(stream)).endswith(b'\r\n\r\nbody')


@pytest.fixture
def short_drain(monkeypatch):
    monkeypatch.setattr(_planned_stop, 'DRAIN_DELAY_SECONDS', 0.4)


class StoppingNode:
    """A node that serves one target and is told to stop by signals.

    :ivar is_ended: whether `run_node` has returned
    """

    def __init__(self, script=test_app.respond_ok, **route):
        self.cluster = test_app.Cluster(script)
        self.cluster.put_configuration(**{'timeout': 3.0} | route)
        self.is_ended = False
        self._signals, self._received = trio.open_memory_channel(10)

    @contextlib.asynccontextmanager
    async def running(self):
        async with (
            self.cluster.running(nodes=0),
            trio.open_nursery() as nursery,
        ):
            settings = test_app.make_settings(stop_timeout=3.0)
            self.node = app.Node(
                settings, self.cluster.store, self.cluster.translation
            )
            self.port = settings.front_port
            nursery.start_soon(self._run)
            self.cluster.put_target()
            await test_app.wait_until(lambda: test_app.is_ready(self.node))
            yield self
            with trio.fail_after(5):
                while not self.is_ended:
                    await trio.sleep(0.05)
            nursery.cancel_scope.cancel()

    async def _run(self):
        await app.run_node(self.node, self._received, SIGNALS, lambda: None)
        self.is_ended = True

    def stop(self, signals=1):
        for _ in range(signals):
            self._signals.send_nowait(15)

    @property
    def unread_signals(self):
        return self._signals.statistics().current_buffer_used

    async def connect(self):
        return await trio.open_tcp_stream('127.0.0.1', self.port)


# No request was in flight, so that the node ended at once.
@pytest.mark.parametrize('unread', [b'ody', b'ost: h\r\n\r\n'])
async def test_partly_read_request_is_served(short_drain, unread):
    request = b'POST /x/ HTTP/1.1\r\nx-wait: 1\r\nx-id: r1\r\nhost: h\r\n\r\n'
    if unread == b'ody':
        request = make_request(1).replace(b'x-wait: 3', b'x-wait: 1')
    async with StoppingNode().running() as node:
        stream = await node.connect()
        await stream.send_all(request[: -len(unread)])
        node.stop()
        await trio.sleep(0.9)
        await stream.send_all(unread)
        response = gateway_harness.Response.parse(await receive_all(stream))
        assert response.status == 200


# What never becomes complete is told that it has not run.
async def test_request_that_stays_incomplete_is_rejected(short_drain):
    async with StoppingNode().running() as node:
        stream = await node.connect()
        await stream.send_all(make_request(1, ends=False))
        node.stop()
        response = gateway_harness.Response.parse(await receive_all(stream))
        assert response.status in (408, 503)
        assert not node.cluster.target.requests


@pytest.mark.parametrize(
    ('kind', 'wait', 'status'),
    [
        ('non_idempotent', 9, 503),
        ('non_idempotent', 1, 200),
        ('idempotent', 9, 200),
    ],
)
async def test_request_that_may_run_once_is_taken_if_it_can_end(
    kind, wait, status
):
    """It ran, and got an error of unknown outcome when the node ended."""
    route = {'kind': kind, 'timeout': 9.0}
    async with StoppingNode(**route).running() as node:
        node.stop()
        await trio.sleep(0.2)
        stream = await node.connect()
        await stream.send_all(
            make_request(1).replace(b'x-wait: 3', b'x-wait: %d' % wait)
        )
        response = gateway_harness.Response.parse(await receive_all(stream))
        assert response.status == status
        assert len(node.cluster.target.requests) == (status == 200)


async def test_request_to_a_slow_target_is_not_taken_late():
    """Its route allows more time than is left, and its targets need it."""

    async def slow(connection, head, body):
        await trio.sleep(1.2)
        await test_app.respond_ok(connection, head, body)

    route = {'kind': 'non_idempotent', 'timeout': 9.0}
    async with StoppingNode(slow, **route).running() as node:
        statuses = []
        for number, delay in enumerate((0.0, 0.1, 1.2)):
            if number == 1:
                node.stop()
            await trio.sleep(delay)
            stream = await node.connect()
            await stream.send_all(
                make_request(number).replace(b'x-wait: 3', b'x-wait: 9')
            )
            data = await receive_all(stream) if number != 1 else b''
            if data:
                statuses.append(gateway_harness.Response.parse(data).status)
        assert statuses == [200, 503]
        assert len(node.cluster.target.requests) == 2


# A call without a target waits until its deadline, which is after the end of
# the node.
async def test_waiting_request_is_rejected_as_not_run(short_drain):
    async with StoppingNode(timeout=9.0).running() as node:
        node.cluster.put_target('draining')
        while node.node.targets.ready('llm'):
            await trio.sleep(0.05)
        stream = await node.connect()
        await stream.send_all(
            make_request(1).replace(b'x-wait: 3', b'x-wait: 9')
        )
        await trio.sleep(0.1)
        node.stop()
        response = gateway_harness.Response.parse(await receive_all(stream))
        assert response.status == 503
        assert not node.cluster.target.requests


async def test_request_that_runs_at_the_end_gets_an_error(short_drain):
    async def never(connection, head, body):
        await trio.sleep_forever()

    async with StoppingNode(never, timeout=9.0).running() as node:
        stream = await node.connect()
        await stream.send_all(
            make_request(1).replace(b'x-wait: 3', b'x-wait: 9')
        )
        await trio.sleep(0.1)
        node.stop()
        response = gateway_harness.Response.parse(await receive_all(stream))
        # It may have run: no status that says that it has not.
        assert response.status in (502, 504)


async def test_second_signal_cuts_nothing(short_drain):
    respond = trio.Event()

    async def slow(connection, head, body):
        await respond.wait()
        await test_app.respond_ok(connection, head, body)

    async with StoppingNode(slow).running() as node:
        stream = await node.connect()
        await stream.send_all(make_request(1))
        await trio.sleep(0.1)
        node.stop(signals=2)
        await trio.sleep(0.9)
        node.stop()
        await trio.sleep(0.1)
        # A signal that nobody reads is delivered again when the receiver is
        # closed, and kills the process.
        assert node.unread_signals == 0
        respond.set()
        response = gateway_harness.Response.parse(await receive_all(stream))
        assert response.status == 200


PROCESS = """
import os
import signal

import trio

from mustardlb_gateway import app


class Node:
    is_stopping = False

    def __init__(self):
        self.ended = trio.Event()

    async def run(self):
        for _ in range(3):
            os.kill(os.getpid(), signal.SIGTERM)
            await trio.sleep(0.1)
        await self.ended.wait()

    async def stop(self):
        await trio.sleep(0.5)
        self.ended.set()


async def main():
    with trio.open_signal_receiver(signal.SIGTERM) as signals:
        await app.run_node(
            Node(), signals, frozenset({signal.SIGTERM}), lambda: None
        )


trio.run(main)
"""


# The exit status was that of a process killed by SIGTERM.
async def test_process_survives_further_signals():
    ended = await trio.run_process(
        [sys.executable, '-c', PROCESS], check=False
    )
    assert ended.returncode == 0


async def test_request_on_a_connection_that_was_kept_alive_is_served(
    short_drain,
):
    async with StoppingNode().running() as node:
        stream = await node.connect()
        await stream.send_all(make_request(1))
        assert b'200' in await stream.receive_some()
        node.stop()
        await trio.sleep(0.1)
        await stream.send_all(make_request(2))
        response = gateway_harness.Response.parse(await receive_all(stream))
        assert response.status == 200
        assert response.headers[b'connection'] == b'close'


# The node that stops relays the connection for another one.
async def test_relayed_request_is_finished(short_drain):
    async def slow(connection, head, body):
        await trio.sleep(1.2)
        await test_app.respond_ok(connection, head, body)

    site = test_unreachable_targets.Site(slow, kind='non_idempotent')
    async with site.running(nodes=2, targets=1):
        await site.cut(0, 'reset')
        statuses = []

        async def send():
            port = site.cluster.nodes[0].settings.front_port
            response = await test_app.send_request(port, request_id='r1')
            statuses.append(response.status)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            while not site.targets[0].requests:
                await trio.sleep(0.02)
            assert site.cluster.nodes[1]._target_parts.relay_server.count
            await site.cluster.nodes[1].stop()
        assert statuses == [200]


# Clients that know nothing of the stop connect and send until the node
# refuses connections.
async def test_each_accepted_request_gets_a_response(short_drain):
    outcomes = []

    async def client(number):
        try:
            stream = await node.connect()
        except OSError:
            return
        # A client that is slow to send its first request.
        await trio.sleep(0.1 * (number % 3 == 0))
        with contextlib.suppress(trio.BrokenResourceError):
            await stream.send_all(make_request(number))
        data = await receive_all(stream)
        outcomes.append(gateway_harness.Response.parse(data).status)

    async with (
        StoppingNode().running() as node,
        trio.open_nursery() as nursery,
    ):
        node.stop()
        for number in range(1000):
            nursery.start_soon(client, number)
            await trio.sleep(0.004)
            if node.is_ended:
                break
    assert len(outcomes) > 50
    assert set(outcomes) <= {200, 503}


async def test_stop_ends_in_time_with_clients_that_never_end(short_drain):
    async with StoppingNode().running() as node:
        for _ in range(5):
            stream = await node.connect()
            await stream.send_all(b'POST /x/ HTTP/1.1\r\nhost')
        started_at = trio.current_time()
        node.stop()
        while not node.is_ended:
            await trio.sleep(0.05)
        assert trio.current_time() - started_at < 3.0
