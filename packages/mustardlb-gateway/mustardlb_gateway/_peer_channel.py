"""Connections between nodes, with questions and answers on them."""

from collections import abc
import itertools

import structlog
import trio

from mustardlb import frames
from mustardlb_gateway import _centres
from mustardlb_gateway import _messages
from mustardlb_gateway import _sockets

log = structlog.get_logger()

# Seconds to connect, and to send a message.
CONNECT_TIMEOUT = 0.5
SEND_TIMEOUT = 1.0

# Seconds between two attempts to reach a node.
RECONNECT_PAUSE = 0.3

# A link that was opened for a question is closed after so long without one,
# seconds.
IDLE_TIMEOUT = 10.0

BROKEN = (
    OSError,
    ValueError,
    frames.BadFrame,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    trio.TooSlowError,
)

# Takes a message that is told, in the order of the connection.
Hear = abc.Callable[['Channel', _messages.Message], None]
# Answers a question; what it returns is sent back.
Answer = abc.Callable[
    [_messages.Message], abc.Awaitable[_messages.Body | None]
]

Encode = abc.Callable[[_messages.Body, int], bytes]


class Channel:
    """One connection to a node, whichever side opened it.

    :ivar vm: who is at the other end, '' until it said so
    :ivar subscriptions: asked for by the other end so far; the last counts
    :ivar feed: what this node has asked for updates for
    :ivar is_open: messages can still pass
    """

    def __init__(
        self, stream: trio.SocketStream, encode: Encode, vm: str = ''
    ) -> None:
        self._stream = stream
        self._encode = encode
        self.vm = vm
        self.subscriptions = 0
        self.feed: object | None = None
        self.is_open = True
        self._lock = trio.Lock()
        self._numbers = itertools.count(1)
        self._waiting: dict[int, trio.MemorySendChannel[_messages.Body]] = {}
        # Bounds a link that was opened for questions only.
        self.idle_scope = trio.CancelScope(
            deadline=trio.current_time() + IDLE_TIMEOUT
        )

    async def send(self, data: bytes) -> None:
        """Send the bytes of a message; raises one of BROKEN."""
        async with self._lock:
            try:
                # Shielded: half a message would spoil all that follow.
                with trio.fail_after(SEND_TIMEOUT) as scope:
                    scope.shield = True
                    await frames.send(self._stream, data)
            except BROKEN:
                self.is_open = False
                await trio.aclose_forcefully(self._stream)
                raise

    async def request(
        self, body: _messages.Body, timeout: float
    ) -> _messages.Body | None:
        """Ask the other end; None where no answer comes in time."""
        self.idle_scope.deadline = trio.current_time() + IDLE_TIMEOUT
        number = next(self._numbers)
        send, receive = trio.open_memory_channel[_messages.Body](1)
        self._waiting[number] = send
        try:
            with trio.move_on_after(timeout):
                await self.send(self._encode(body, number))
                return await receive.receive()
        except BROKEN as error:
            log.info('MLB-6305', peer=self.vm, problem=repr(error))
        finally:
            self._waiting.pop(number, None)
        return None

    async def run(self, hear: Hear, answer: Answer) -> None:
        """Receive messages until the connection ends or breaks."""
        try:
            async with trio.open_nursery() as nursery:
                while (data := await frames.receive(self._stream)) is not None:
                    message = _messages.decode(data)
                    match message.body:
                        case _messages.Wanted() | _messages.Snapshot():
                            self._answered(message)
                        case _messages.Want() | _messages.SnapshotRequest():
                            nursery.start_soon(self._reply, answer, message)
                        case _:
                            hear(self, message)
                nursery.cancel_scope.cancel()
        finally:
            self.is_open = False
            await trio.aclose_forcefully(self._stream)

    def _answered(self, message: _messages.Message) -> None:
        waiting = self._waiting.pop(message.request, None)
        if waiting is not None:
            waiting.send_nowait(message.body)

    async def _reply(self, answer: Answer, message: _messages.Message) -> None:
        body = await answer(message)
        if body is not None:
            await self.send(self._encode(body, message.request))


async def open_channel(vm: _centres.Vm, encode: Encode) -> Channel:
    """Connect to a node; raises OSError."""
    stream = await _sockets.connect(vm.host, vm.port, CONNECT_TIMEOUT)
    return Channel(stream, encode, vm.vm)
