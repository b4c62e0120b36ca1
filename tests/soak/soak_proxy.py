"""A loopback proxy that harms the connections between two sides."""

import contextlib

import trio

DELAY = 0.25


class Proxy:
    """Passes bytes to one address.

    :ivar mode: 'pass', 'delay', 'reset', 'silent', or 'deaf' (one way only)
    """

    def __init__(self, port):
        self.mode = 'pass'
        self._target_port = port
        self.port = 0
        self._streams = set()

    @contextlib.asynccontextmanager
    async def running(self):
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(trio.serve_tcp, self._serve, 0)
            self.port = listeners[0].socket.getsockname()[1]
            yield self
            nursery.cancel_scope.cancel()

    def set_mode(self, mode):
        """Harm, or heal, what passes from now on."""
        self.mode = mode
        if mode == 'reset':
            for stream in list(self._streams):
                stream.socket.close()

    async def _serve(self, near):
        if self.mode == 'reset':
            near.socket.close()
            return
        try:
            far = await trio.open_tcp_stream('127.0.0.1', self._target_port)
        except OSError:
            near.socket.close()
            return
        self._streams |= {near, far}
        with contextlib.suppress(
            trio.BrokenResourceError, trio.ClosedResourceError
        ):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._pump, near, far, nursery, False)
                nursery.start_soon(self._pump, far, near, nursery, True)
        self._streams -= {near, far}
        near.socket.close()
        far.socket.close()

    async def _pump(self, source, sink, nursery, is_answer):
        try:
            while data := await source.receive_some(65536):
                if self.mode == 'delay':
                    await trio.sleep(DELAY)
                while self.mode == 'silent' or (
                    self.mode == 'deaf' and is_answer
                ):
                    await trio.sleep(0.05)
                await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # One side has gone; the other one follows.
            pass
        nursery.cancel_scope.cancel()
