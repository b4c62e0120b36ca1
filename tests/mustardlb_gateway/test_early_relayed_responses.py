"""Early responses that one node relays for another.

The relaying node writes the request to the target and reads its response, so
a reset that its write met must reach the other node as one, and a whole
response must not be cut off by the failed write.
"""

import contextlib

import builders
import early_target
import pytest
import scripted
import trio

from mustardlb import frames
from mustardlb_gateway import _centres
from mustardlb_gateway import _message_codec
from mustardlb_gateway import _messages
from mustardlb_gateway import _reachability
from mustardlb_gateway import _relay
from mustardlb_gateway import _sockets
from mustardlb_gateway import _target_network
from mustardlb_gateway import http_client

REQUEST_COUNT = 6


def encode(body, request):
    return _message_codec.encode(_messages.Message('vm1', 1, request, body))


class Links:
    """Connects to the target for other nodes."""

    def __init__(self):
        self._network = _target_network.TargetNetwork(None)

    async def connect_for_other(self, target, timeout):
        stream = await self._network.connect(target, timeout)
        return _reachability.RelayOutcome.CONNECTED, stream


@contextlib.asynccontextmanager
async def relaying(target):
    """Run a relaying node; yield a function that connects through it."""
    server = _relay.RelayServer(
        Links(), lambda: {target.target_id: target}, encode, lambda: False
    )

    async def serve(stream):
        message = _message_codec.decode(await frames.receive(stream))
        await server.serve(stream, message.vm, message.body)

    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(scripted.serve_loopback, serve)
        port = listeners[0].socket.getsockname()[1]
        vm = _centres.Vm('vm2', '127.0.0.1', port, 'a', 0.0)

        async def connect():
            relayed = await _relay.open_relay(vm, target, encode)
            return http_client.Connection(relayed.stream, 'vm2')

        yield connect
        # Relays end soon after the connections of their callers.
        with trio.fail_after(_relay.LINGER_SECONDS + 1.0):
            while server.count:
                await trio.sleep(0.01)
        nursery.cancel_scope.cancel()


async def exchange(connection):
    """Send a large request and return the body of the response."""
    async with trio.open_nursery() as nursery:
        await connection.send(
            b'POST',
            b'/',
            [(b'host', b'h'), (b'x-id', b'r1')],
            b'x' * early_target.UPLOAD_BYTES,
            nursery,
        )
        await connection.receive_head()
        body = await connection.receive_body(1_000_000)
        nursery.cancel_scope.cancel()
    return body


async def exchanges(reply):
    """Return the bodies of relayed responses, None for failed ones."""
    bodies = []
    early = early_target.EarlyTarget(reply)
    async with early.running():
        target = builders.make_target('t1', port=early.port)
        async with relaying(target) as connect:
            for _ in range(REQUEST_COUNT):
                connection = await connect()
                with trio.fail_after(5):
                    try:
                        bodies.append(await exchange(connection))
                    except* http_client.ExchangeFailed:
                        bodies.append(None)
                connection.close()
    return bodies


@pytest.fixture(params=[0.0, 0.05])
def read_delay(request, monkeypatch):
    """Let reads from the target meet an end later than writes, or not."""
    slow = early_target.slow_connect(_sockets.connect, request.param)
    monkeypatch.setattr(_sockets, 'connect', slow)


@pytest.mark.parametrize('end', ['reset', 'unread'])
@pytest.mark.parametrize('pause', [0.0, 0.05])
async def test_part_of_a_relayed_response_is_not_a_whole_one(
    end, pause, read_delay
):
    """The relaying node told the reset on as the end of the response."""
    reply = early_target.Reply('none', end, 0.5, pause)
    assert await exchanges(reply) == [None] * REQUEST_COUNT


@pytest.mark.parametrize(
    ('framing', 'end'),
    [
        ('none', 'eof'),
        ('none', 'eof then close'),
        ('length', 'reset'),
        ('length', 'unread'),
        ('chunked', 'reset'),
        ('chunked', 'keep'),
    ],
)
# A reset drops what the receiver's buffer has no room for.
@pytest.mark.parametrize('body', [early_target.BODY, b'x' * 60_000])
async def test_whole_relayed_response_is_forwarded(
    framing, end, body, read_delay
):
    """The failed write, or the end of the relay, cut the response off."""
    reply = early_target.Reply(framing, end, 1.0, 0.05, body)
    assert await exchanges(reply) == [body] * REQUEST_COUNT
