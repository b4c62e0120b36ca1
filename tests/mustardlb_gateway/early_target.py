"""A loopback target that answers a request before it has read the body."""

import contextlib
import dataclasses
import functools

import scripted
import trio

BODY = b'{"status": "booked"}'
EVENTS = b''.join(
    b'id: %d\ndata: e%d\n\n' % (number, number) for number in range(3)
)

# A request body that fills the buffers of both sockets many times.
UPLOAD_BYTES = 4_000_000
RECEIVE_BUFFER_BYTES = 65_536


@dataclasses.dataclass(frozen=True)
class Reply:
    """How a target answers.

    :ivar framing: 'none', 'length' or 'chunked'
    :ivar end: 'eof' (ends its side and reads on), 'eof then close' (leaves
        the rest of the request unread), 'reset', 'unread' (closes with a part
        of the request unread) or 'keep' (reads the rest of the request)
    :ivar sent: share of the body that is sent
    :ivar pause: seconds between the response and the end
    :ivar extra: further lines of the head
    """

    framing: str
    end: str
    sent: float = 1.0
    pause: float = 0.0
    body: bytes = BODY
    extra: tuple[bytes, ...] = ()

    def encode(self, request_id):
        """Return what is sent of the response."""
        lines = [b'HTTP/1.1 200 OK', b'x-signed: 1', b'x-id: ' + request_id]
        lines += self.extra
        framed = self.body
        if self.framing == 'length':
            lines.append(b'content-length: %d' % len(framed))
        if self.framing == 'chunked':
            lines.append(b'transfer-encoding: chunked')
            framed = scripted.chunk(framed) + scripted.LAST_CHUNK
        framed = framed[: int(len(framed) * self.sent)]
        return b'\r\n'.join([*lines, b'', framed])


class EarlyTarget:
    """Answers the requests of all connections with replies in turn.

    The last reply is repeated.

    :ivar request_count: number of requests whose head was received
    """

    def __init__(self, *replies):
        self.replies = list(replies)
        self.request_count = 0
        self.port = 0

    @contextlib.asynccontextmanager
    async def running(self):
        """Listen on a free loopback port."""
        async with trio.open_nursery() as nursery:
            listener = trio.socket.socket()
            # Set before the connections are accepted, which inherit it.
            listener.setsockopt(
                trio.socket.SOL_SOCKET,
                trio.socket.SO_RCVBUF,
                RECEIVE_BUFFER_BYTES,
            )
            await listener.bind(('127.0.0.1', 0))
            listener.listen(50)
            self.port = listener.getsockname()[1]
            nursery.start_soon(
                trio.serve_listeners,
                self._serve,
                [trio.SocketListener(listener)],
            )
            yield self
            nursery.cancel_scope.cancel()

    async def _serve(self, stream):
        with contextlib.suppress(trio.BrokenResourceError):
            while await self._serve_request(stream):
                pass

    async def _serve_request(self, stream):
        """Return whether another request may follow on the connection."""
        received = b''
        while b'\r\n\r\n' not in received:
            more = await stream.receive_some(256)
            if not more:
                return False
            received += more
        head, _, body = received.partition(b'\r\n\r\n')
        reply = self.replies[0]
        if len(self.replies) > 1:
            self.replies.pop(0)
        self.request_count += 1
        lines = head.lower().split(b'\r\n')
        request_id = next(
            (line[5:].strip() for line in lines if line.startswith(b'x-id:')),
            b'',
        )
        await stream.send_all(reply.encode(request_id))
        await trio.sleep(reply.pause)
        if reply.end != 'keep':
            await end(stream, reply.end)
            return False
        unread = UPLOAD_BYTES - len(body)
        while unread:
            data = await stream.receive_some(min(unread, 65536))
            if not data:
                return False
            unread -= len(data)
        return True


async def end(stream, how):
    """End a connection; see `Reply.end`."""
    if how == 'reset':
        await scripted.Connection(stream).reset()
        return
    if how in ('eof', 'eof then close'):
        await stream.send_eof()
    if how == 'eof':
        while await stream.receive_some(65536):
            pass
    stream.socket.close()


class SlowReads:
    """A stream whose reads wait first, so that a write meets an end before.

    All else is that of the inner stream.
    """

    def __init__(self, stream, delay):
        self._stream = stream
        self._delay = delay

    def __getattr__(self, name):
        return getattr(self._stream, name)

    async def receive_some(self, max_bytes):
        await trio.sleep(self._delay)
        return await self._stream.receive_some(max_bytes)


def slow_connect(connect, delay):
    """Return `connect` with streams whose reads wait first."""

    @functools.wraps(connect)
    async def slow(*arguments):
        return SlowReads(await connect(*arguments), delay)

    return slow
