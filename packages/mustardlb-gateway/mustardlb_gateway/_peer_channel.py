"""Connections between nodes, with one-way messages and requests."""

from collections import abc
import itertools

import structlog
import trio

from mustardlb import frames
from mustardlb_gateway import _centres
from mustardlb_gateway import _message_codec
from mustardlb_gateway import _messages
from mustardlb_gateway import _silence
from mustardlb_gateway import _sockets

log = structlog.get_logger()

CONNECT_TIMEOUT_SECONDS = 0.5
SEND_TIMEOUT_SECONDS = 1.0

RECONNECT_DELAY_SECONDS = 0.3

# Applies to connections that were opened for a request. In a large fleet, a
# node asks each of the others only now and then.
IDLE_TIMEOUT_SECONDS = 120.0

# A request that every release answers at once and that has no effect.
PROBE = _messages.TellOrigins({})

# No other request has this id, so that nothing waits for the response.
PROBE_REQUEST_ID = 0

CONNECTION_ERRORS = (
    OSError,
    ValueError,
    frames.BadFrame,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    trio.TooSlowError,
)

# Handles a one-way message; called in the order of arrival.
MessageHandler = abc.Callable[['Channel', _messages.Message], None]
# Handles a request and returns the response, None to send none.
RequestHandler = abc.Callable[
    [_messages.Message], abc.Awaitable[_messages.Body | None]
]

Encoder = abc.Callable[[_messages.Body, int], bytes]


class Channel:
    """One connection to a node, whichever side opened it.

    :ivar vm: name of the remote node, '' until its first message
    :ivar subscriptions: subscription messages received; the last one is valid
    :ivar feed: feed that this node has subscribed to here
    :ivar is_open: whether messages can be sent
    """

    def __init__(
        self, stream: trio.SocketStream, encode: Encoder, vm: str = ''
    ) -> None:
        self._stream = stream
        self._received = _silence.CountingStream(stream)
        self._silence = _silence.Silence()
        self._encode = encode
        self._got_unknown = False
        self.vm = vm
        self.subscriptions = 0
        self.feed: object | None = None
        self.is_open = True
        self._lock = trio.Lock()
        self._request_ids = itertools.count(1)
        self._pending_by_id: dict[
            int, trio.MemorySendChannel[_messages.Body]
        ] = {}
        # Closes a connection that was opened for requests only.
        self.idle_scope = trio.CancelScope(
            deadline=trio.current_time() + IDLE_TIMEOUT_SECONDS
        )

    async def send(self, data: bytes) -> None:
        """Send an encoded message; raises one of CONNECTION_ERRORS."""
        async with self._lock:
            try:
                # A partial message would corrupt all that follow, so
                # cancellation must not interrupt it.
                with trio.fail_after(SEND_TIMEOUT_SECONDS) as scope:
                    scope.shield = True
                    await frames.send(self._stream, data)
            except CONNECTION_ERRORS:
                self.is_open = False
                await trio.aclose_forcefully(self._stream)
                raise

    async def request(
        self, body: _messages.Body, timeout: float
    ) -> _messages.Body | None:
        """Send a request; return None if there is no response in time."""
        self.idle_scope.deadline = trio.current_time() + IDLE_TIMEOUT_SECONDS
        request_id = next(self._request_ids)
        send, receive = trio.open_memory_channel[_messages.Body](1)
        self._pending_by_id[request_id] = send
        try:
            with trio.move_on_after(timeout):
                await self.send(self._encode(body, request_id))
                return await receive.receive()
            self._silence.suspect()
        except trio.EndOfChannel:
            return None
        except CONNECTION_ERRORS as error:
            log.info('MLB-6305', peer=self.vm, problem=repr(error))
        finally:
            self._pending_by_id.pop(request_id, None)
        return None

    @property
    def has_received(self) -> bool:
        """Whether the other node has sent anything."""
        return self._received.byte_count > 0

    def check(self, checks_until_due: int | None) -> _silence.Action:
        """Return what to do if a message is due and nothing was received.

        The response to a request is due at the first check.
        """
        byte_count = self._received.byte_count
        action = self._silence.check(
            byte_count, 1 if self._pending_by_id else checks_until_due
        )
        if action is _silence.Action.CLOSE:
            log.info(
                'MLB-6310',
                peer=self.vm,
                requests=len(self._pending_by_id),
                received_bytes=byte_count,
            )
        return action

    async def ask(self) -> None:
        """Ask for a response; raises one of CONNECTION_ERRORS."""
        await self.send(self._encode(PROBE, PROBE_REQUEST_ID))

    async def close(self) -> None:
        """Close the connection, which ends `run` and all requests."""
        self.is_open = False
        await trio.aclose_forcefully(self._stream)

    async def run(
        self, handle_message: MessageHandler, handle_request: RequestHandler
    ) -> _messages.Message | None:
        """Receive messages until the connection is closed or fails.

        Returns a request to relay the connection, which then stays open.
        """
        relay: _messages.Message | None = None
        try:
            async with trio.open_nursery() as nursery:
                while (
                    data := await frames.receive(self._received)
                ) is not None:
                    message = self._decode(data)
                    if message is None:
                        continue
                    if isinstance(message.body, _messages.Relay):
                        relay = message
                        break
                    if isinstance(message.body, _messages.RESPONSES):
                        self._deliver_response(message)
                    elif message.body == PROBE:
                        nursery.start_soon(self._answer_probe, message.request)
                    elif isinstance(message.body, _messages.REQUESTS):
                        nursery.start_soon(
                            self._respond, handle_request, message
                        )
                    else:
                        handle_message(self, message)
                nursery.cancel_scope.cancel()
        finally:
            self.is_open = False
            for pending in self._pending_by_id.values():
                pending.close()
            if relay is None:
                await trio.aclose_forcefully(self._stream)
        return relay

    async def _answer_probe(self, request: int) -> None:
        await self.send(self._encode(_messages.ToldOrigins(), request))

    def _decode(self, data: bytes) -> _messages.Message | None:
        """Return a message, None if only a newer release knows its kind."""
        try:
            return _message_codec.decode(data)
        except _message_codec.UnknownMessage as error:
            if not self._got_unknown:
                self._got_unknown = True
                log.info('MLB-6311', peer=self.vm, problem=str(error))
            return None

    def _deliver_response(self, message: _messages.Message) -> None:
        pending = self._pending_by_id.pop(message.request, None)
        if pending is not None:
            pending.send_nowait(message.body)

    async def _respond(
        self, handle_request: RequestHandler, message: _messages.Message
    ) -> None:
        body = await handle_request(message)
        if body is not None:
            await self.send(self._encode(body, message.request))


async def open_channel(vm: _centres.Vm, encode: Encoder) -> Channel:
    """Connect to a node; raises OSError."""
    stream = await _sockets.connect(vm.host, vm.port, CONNECT_TIMEOUT_SECONDS)
    return Channel(stream, encode, vm.vm)
