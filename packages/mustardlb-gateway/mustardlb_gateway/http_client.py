"""HTTP/1.1 towards targets and the store, one exchange at a time.

h11 does the protocol. A client library with a pool of its own would hide
what decides here: whether an answer belongs to the request, and whether
anything was sent.
"""

from collections import abc
import dataclasses
import re
import select
from typing import Any

import h11
import trio

from mustardlb_gateway import _sockets
from mustardlb_gateway import domain

# Largest read, bytes.
MAX_READ = 65_536

# Margin before the peer's own idle timeout, seconds: a request that is sent
# just before it would cross the close.
KEEPALIVE_MARGIN = 0.7

# How long a connection is kept idle where the peer does not say, seconds.
DEFAULT_KEEPALIVE = 4.0

# Bodies up to this size fit the socket's buffer, bytes; larger ones are sent
# while the answer is awaited, since it may come first.
SMALL_BODY = 8192

_TIMEOUT = re.compile(rb'timeout=(\d+)')


class ExchangeFailed(Exception):
    """An exchange got no whole answer.

    :ivar was_sent: the request may have reached the peer
    """

    def __init__(self, problem: str, was_sent: bool = True) -> None:
        super().__init__(problem)
        self.was_sent = was_sent


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """Status and headers of an answer; names are in lower case.

    :ivar has_length: its end can be told from a break of the connection
    """

    status: int
    headers: domain.Headers
    has_length: bool


# Tells whether an answer is the one that is awaited.
Accept = abc.Callable[[Head], bool]


class Connection:
    """A connection on which one request at a time is answered."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self._h11 = h11.Connection(h11.CLIENT)
        self._request: h11.Request | None = None
        self._unsent = b''
        self._idle_until = 0.0
        self.is_closed = False

    def close(self) -> None:
        """Close at once; a request in progress is abandoned."""
        if not self.is_closed:
            self.is_closed = True
            self._stream.socket.close()

    def is_usable(self, now: float) -> bool:
        """Whether another request may be sent on this idle connection."""
        if self.is_closed or now >= self._idle_until:
            return False
        # Bytes or an end that nobody asked for: no request may follow.
        poll = select.poll()
        poll.register(self._stream.socket.fileno(), select.POLLIN)
        return not poll.poll(0)

    async def send(
        self,
        method: bytes,
        path: bytes,
        headers: domain.Headers,
        body: bytes,
        nursery: trio.Nursery | None = None,
    ) -> None:
        """Send a request; a large body goes on in `nursery`."""
        sized = [*headers, (b'content-length', b'%d' % len(body))]
        if not body and method in (b'GET', b'HEAD', b'DELETE'):
            sized = headers
        self._request = h11.Request(method=method, target=path, headers=sized)
        payload = self._h11.send(self._request) or b''
        if body:
            payload += self._h11.send(h11.Data(data=body)) or b''
        payload += self._h11.send(h11.EndOfMessage()) or b''
        self._unsent = payload
        if nursery is not None and len(body) > SMALL_BODY:
            nursery.start_soon(self._send_rest)
            return
        await self._send_rest()

    async def _send_rest(self) -> None:
        try:
            await self._stream.send_all(self._unsent)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # The answer may lie there all the same; reading tells.
            return
        self._unsent = b''

    async def receive_head(self, accept: Accept | None = None) -> Head:
        """Receive the answer's head, passing over answers to others.

        Raises ExchangeFailed.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.InformationalResponse):
                continue
            if not isinstance(event, h11.Response):
                raise ExchangeFailed('no answer')
            names = {name for name, _ in event.headers}
            head = Head(
                event.status_code,
                list(event.headers),
                b'content-length' in names or b'transfer-encoding' in names,
            )
            self._note_keepalive(head)
            if accept is None or accept(head):
                return head
            await self._pass_over()

    async def _pass_over(self) -> None:
        """Read an answer to another request to its end and forget it."""
        while await self.receive_data() is not None:
            pass
        rest, _ = self._h11.trailing_data
        if self._h11.their_state is not h11.DONE or self._request is None:
            raise ExchangeFailed('the connection ended after a stray answer')
        self._h11 = h11.Connection(h11.CLIENT)
        self._h11.send(self._request)
        for name, value in self._request.headers:
            if name == b'content-length' and int(value):
                self._h11.send(h11.Data(data=bytes(int(value))))
        self._h11.send(h11.EndOfMessage())
        if rest:
            self._h11.receive_data(rest)

    def _note_keepalive(self, head: Head) -> None:
        seconds = DEFAULT_KEEPALIVE
        for name, value in head.headers:
            if name == b'keep-alive':
                found = _TIMEOUT.search(value)
                seconds = float(found[1]) if found else seconds
        self._idle_until = (
            trio.current_time() + max(0.3, seconds) - KEEPALIVE_MARGIN
        )

    async def receive_data(self) -> bytes | None:
        """Receive a piece of the body, None at its end.

        Raises ExchangeFailed where the answer breaks off.
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise ExchangeFailed('the answer broke off')

    async def receive_body(self, most: int) -> bytes:
        """Receive the rest of the body, at most so many bytes."""
        body = bytearray()
        while (data := await self.receive_data()) is not None:
            body += data
            if len(body) > most:
                raise ExchangeFailed('the answer is too large')
        return bytes(body)

    async def _next_event(self) -> Any:
        while True:
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as error:
                raise ExchangeFailed(f'not an answer: {error}') from error
            if event is not h11.NEED_DATA:
                return event
            try:
                data = await self._stream.receive_some(MAX_READ)
            except (trio.BrokenResourceError, trio.ClosedResourceError) as e:
                raise ExchangeFailed('the connection was reset') from e
            try:
                self._h11.receive_data(bytes(data))
            except h11.RemoteProtocolError as error:
                raise ExchangeFailed(f'not an answer: {error}') from error

    def finish(self) -> bool:
        """Make ready for another request; False where none may follow."""
        done = (
            not self.is_closed
            and not self._unsent
            and self._h11.our_state is h11.DONE
            and self._h11.their_state is h11.DONE
            and self._h11.trailing_data == (b'', False)
        )
        if not done:
            self.close()
            return False
        self._h11.start_next_cycle()
        return True


class Pool:
    """Idle connections by target; the one used last is taken first."""

    def __init__(self, connect_timeout: float) -> None:
        self._connect_timeout = connect_timeout
        self._idle_by_peer: dict[str, list[Connection]] = {}

    async def take(self, peer: str, host: str, port: int) -> Connection:
        """Return a connection to a peer; raises ExchangeFailed unsent."""
        idle = self._idle_by_peer.get(peer, [])
        now = trio.current_time()
        while idle:
            found = idle.pop()
            if found.is_usable(now):
                return found
            found.close()
        try:
            stream = await _sockets.connect(host, port, self._connect_timeout)
        except OSError as error:
            raise ExchangeFailed(f'no connection: {error}', False) from error
        return Connection(stream)

    def give_back(self, peer: str, connection: Connection) -> None:
        """Keep a connection whose exchange has ended, if it can be used."""
        if connection.finish():
            self._idle_by_peer.setdefault(peer, []).append(connection)

    def forget(self, peer: str) -> None:
        """Close the idle connections of a peer that is gone."""
        for connection in self._idle_by_peer.pop(peer, ()):
            connection.close()

    def close_expired(self) -> None:
        """Close connections that stayed idle for too long."""
        now = trio.current_time()
        for peer, idle in list(self._idle_by_peer.items()):
            kept = []
            for connection in idle:
                if connection.is_usable(now):
                    kept.append(connection)
                else:
                    connection.close()
            if kept:
                self._idle_by_peer[peer] = kept
            else:
                del self._idle_by_peer[peer]
