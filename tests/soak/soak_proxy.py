"""A loopback TCP proxy that injects network faults."""

import contextlib

import scripted
import trio

DELAY_SECONDS = 0.25


class Proxy:
    """Forwards connections to a port on the loopback address.

    :ivar mode: 'pass', 'delay', 'reset', 'stall' (neither direction passes)
        or 'stall_responses' (only requests pass)
    """

    def __init__(self, port):
        self.mode = 'pass'
        self._server_port = port
        self.port = 0
        self._streams = set()
        self._silent = set()

    @contextlib.asynccontextmanager
    async def running(self):
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(
                scripted.serve_loopback, self._serve
            )
            self.port = listeners[0].socket.getsockname()[1]
            yield self
            nursery.cancel_scope.cancel()

    def set_mode(self, mode):
        """Set the mode; 'reset' also closes the open connections."""
        self.mode = mode
        if mode == 'reset':
            for stream in list(self._streams):
                stream.socket.close()

    def silence(self):
        """Let the open connections pass nothing more, without a reset.

        New connections work, as after a firewall has forgotten the old ones.
        """
        self._silent |= self._streams

    async def _serve(self, client):
        if self.mode == 'reset':
            client.socket.close()
            return
        try:
            server = await trio.open_tcp_stream('127.0.0.1', self._server_port)
        except OSError:
            client.socket.close()
            return
        self._streams |= {client, server}
        with contextlib.suppress(
            trio.BrokenResourceError, trio.ClosedResourceError
        ):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    self._forward, client, server, nursery, False
                )
                nursery.start_soon(
                    self._forward, server, client, nursery, True
                )
        self._streams -= {client, server}
        self._silent -= {client, server}
        client.socket.close()
        server.socket.close()

    async def _forward(self, source, sink, nursery, is_response):
        try:
            while data := await source.receive_some(65536):
                if self.mode == 'delay':
                    await trio.sleep(DELAY_SECONDS)
                while (
                    source in self._silent
                    or self.mode == 'stall'
                    or (self.mode == 'stall_responses' and is_response)
                ):
                    await trio.sleep(0.05)
                await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # When one side closes, _serve closes the other one, too.
            pass
        nursery.cancel_scope.cancel()
