"""Loopback links between a node and a target, which a test cuts."""

import contextlib
import socket

import trio

# How open connections, and new ones, behave while a link is cut.
CUTS = {
    'hang': ('stall', 'ignore'),
    'reset': ('reset', 'refuse'),
    'new_refused': ('pass', 'refuse'),
    'new_ignored': ('pass', 'ignore'),
}


class Link:
    """Forwards connections to a port on the loopback address.

    :ivar opened: number of connections that were forwarded
    """

    def __init__(self, target_port):
        self._target_port = target_port
        self.port = 0
        self.opened = 0
        self._is_stalled = False
        self._streams = set()
        self._nursery = None
        self._accept_scope = None
        self._fillers = []

    @contextlib.asynccontextmanager
    async def running(self):
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await self._listen()
            yield self
            self._stop_ignoring()
            nursery.cancel_scope.cancel()

    async def _listen(self):
        self._accept_scope = await self._nursery.start(self._accept)

    async def _accept(self, task_status=trio.TASK_STATUS_IGNORED):
        listener = trio.socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        await listener.bind(('127.0.0.1', self.port))
        listener.listen(64)
        self.port = listener.getsockname()[1]
        with trio.CancelScope() as scope, listener:
            task_status.started(scope)
            while True:
                client, _ = await listener.accept()
                self._nursery.start_soon(
                    self._forward_both, trio.SocketStream(client)
                )

    async def cut(self, how):
        """Cut the link; `how` is a key of CUTS."""
        opened, new = CUTS[how]
        self._accept_scope.cancel()
        await trio.sleep(0.01)
        self._is_stalled = opened == 'stall'
        if opened == 'reset':
            for stream in list(self._streams):
                _reset(stream)
        if new == 'ignore':
            self._ignore_connections()

    async def heal(self):
        """Restore the link; stalled connections go on."""
        self._stop_ignoring()
        self._is_stalled = False
        await self._listen()

    def _ignore_connections(self):
        """Fill a listener's queue, so that the kernel drops more SYNs."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(('127.0.0.1', self.port))
        listener.listen(0)
        self._fillers = [listener]
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(('127.0.0.1', self.port))
            self._fillers.append(filler)

    def _stop_ignoring(self):
        for each in reversed(self._fillers):
            each.close()
        self._fillers = []

    async def _forward_both(self, client):
        try:
            server = await trio.open_tcp_stream('127.0.0.1', self._target_port)
        except OSError:
            _reset(client)
            return
        self.opened += 1
        self._streams |= {client, server}
        with contextlib.suppress(
            trio.BrokenResourceError, trio.ClosedResourceError
        ):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._forward, client, server, nursery)
                nursery.start_soon(self._forward, server, client, nursery)
        self._streams -= {client, server}
        client.socket.close()
        server.socket.close()

    async def _forward(self, source, sink, nursery):
        with contextlib.suppress(
            trio.BrokenResourceError, trio.ClosedResourceError
        ):
            while data := await source.receive_some(65536):
                while self._is_stalled:
                    await trio.sleep(0.02)
                await sink.send_all(data)
        nursery.cancel_scope.cancel()


def _reset(stream):
    with contextlib.suppress(OSError, trio.ClosedResourceError):
        stream.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, b'\x01\0\0\0\0\0\0\0'
        )
    stream.socket.close()
