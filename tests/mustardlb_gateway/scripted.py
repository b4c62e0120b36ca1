"""A loopback server whose responses are scripted by a test."""

import contextlib

import h11
import trio


async def serve_loopback(handler, task_status=trio.TASK_STATUS_IGNORED):
    """Serve on a free port of one address.

    A port of all addresses could be one that was drawn for a process that
    starts later.
    """
    await trio.serve_tcp(handler, 0, host='127.0.0.1', task_status=task_status)


class ScriptedServer:
    """Calls `script(connection, request, body)` for each request.

    `handle_head(connection, request)`, if any, is called before the body is
    read; it returns whether it has responded and ended the connection.

    :ivar requests: (head, body) of each complete request
    :ivar opened: number of accepted connections
    """

    def __init__(self, script, handle_head=None):
        self.script = script
        self.handle_head = handle_head
        self.requests = []
        self.opened = 0
        self.port = 0

    @contextlib.asynccontextmanager
    async def running(self):
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(serve_loopback, self._serve)
            self.port = listeners[0].socket.getsockname()[1]
            yield self
            nursery.cancel_scope.cancel()

    async def _serve(self, stream):
        self.opened += 1
        connection = Connection(stream, self.handle_head)
        # A connection closed within a request is treated like a reset.
        with contextlib.suppress(
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            h11.RemoteProtocolError,
        ):
            while True:
                request = await connection.read_request()
                if request is None:
                    break
                self.requests.append(request)
                await self.script(connection, *request)
        await trio.aclose_forcefully(stream)


class Connection:
    def __init__(self, stream, handle_head=None):
        self.stream = stream
        self._handle_head = handle_head
        self._h11 = h11.Connection(h11.SERVER)

    async def read_request(self):
        head, body = None, b''
        while True:
            event = self._h11.next_event()
            if event is h11.NEED_DATA:
                self._h11.receive_data(await self.stream.receive_some(65536))
            elif isinstance(event, h11.Request):
                head = event
                if self._handle_head and await self._handle_head(self, head):
                    return None
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                self._h11 = h11.Connection(h11.SERVER)
                return head, body
            else:
                return None

    async def send(self, data):
        await self.stream.send_all(data)

    async def reset(self):
        self.stream.setsockopt(
            trio.socket.SOL_SOCKET,
            trio.socket.SO_LINGER,
            b'\x01\0\0\0\0\0\0\0',
        )
        self.stream.socket.close()


def response(request_id, body=b'ok', status=200, extra=b'', signed=True):
    """Return the bytes of a target's response."""
    lines = [
        b'HTTP/1.1 %d X' % status,
        b'x-id: ' + request_id,
        b'content-length: %d' % len(body),
    ]
    if signed:
        lines.append(b'x-signed: 1')
    if extra:
        lines.append(extra)
    return b'\r\n'.join([*lines, b'', body])


def stream_head(request_id):
    return (
        b'HTTP/1.1 200 OK\r\nx-id: '
        + request_id
        + b'\r\nx-signed: 1\r\ntransfer-encoding: chunked\r\n\r\n'
    )


def event(number):
    data = b'id: %d\ndata: e%d\n\n' % (number, number)
    return chunk(data)


def chunk(data):
    return b'%x\r\n%b\r\n' % (len(data), data)


LAST_CHUNK = b'0\r\n\r\n'


def request_id(head):
    return dict(head.headers)[b'x-id']
