"""Connections between nodes of one process, in virtual time."""

import trio
import trio.testing

from mustardlb_gateway import _sockets


class Link:
    """One connection.

    :ivar is_silent: drops all that is sent, and does not tell the other end
        that one is closed
    :ivar dropped: number of messages that were dropped
    """

    def __init__(self, port):
        self.port = port
        self.is_silent = False
        self.dropped = 0


class Stream(trio.abc.Stream):
    """One end of a connection."""

    def __init__(self, inner, link):
        self._inner = inner
        self._link = link

    async def send_all(self, data):
        if self._link.is_silent:
            self._link.dropped += 1
            await trio.lowlevel.checkpoint()
            return
        await self._inner.send_all(data)

    async def wait_send_all_might_not_block(self):
        await self._inner.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes=None):
        return await self._inner.receive_some(max_bytes)

    async def aclose(self):
        self._inner.receive_stream.close()
        if not self._link.is_silent:
            self._inner.send_stream.close()
        await trio.lowlevel.checkpoint()


class Network:
    """Replaces the sockets of `Peers`; nodes are told apart by their port."""

    def __init__(self, monkeypatch):
        self._handlers_by_port = {}
        self.links = []
        self._nursery = None
        monkeypatch.setattr(trio, 'open_tcp_listeners', self._listen)
        monkeypatch.setattr(trio, 'serve_listeners', self._serve)
        monkeypatch.setattr(_sockets, 'connect', self._connect)
        monkeypatch.setattr(_sockets, 'set_tcp_options', lambda stream: None)

    def silence(self):
        """Let the open connections pass nothing more; new ones work."""
        for link in self.links:
            link.is_silent = True

    async def _listen(self, port, host):
        await trio.lowlevel.checkpoint()
        return [port]

    async def _serve(self, handler, listeners):
        async with trio.open_nursery() as nursery:
            self._handlers_by_port[listeners[0]] = handler, nursery
            await trio.sleep_forever()

    async def _connect(self, host, port, timeout):
        await trio.lowlevel.checkpoint()
        if port not in self._handlers_by_port:
            raise ConnectionRefusedError
        handler, nursery = self._handlers_by_port[port]
        link = Link(port)
        self.links.append(link)
        near, far = trio.testing.memory_stream_pair()
        nursery.start_soon(handler, Stream(far, link))
        return Stream(near, link)
