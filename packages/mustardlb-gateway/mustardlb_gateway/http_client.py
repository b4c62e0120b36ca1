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
import structlog
import trio

from mustardlb_gateway import _sockets
from mustardlb_gateway import domain

log = structlog.get_logger()

# Largest read, bytes.
MAX_READ = 65_536

# Margin before the peer's own idle timeout, seconds: a request that is sent
# just before it would cross the close.
KEEPALIVE_MARGIN = 0.7

# How long a connection is kept idle where the peer does not say, seconds.
DEFAULT_KEEPALIVE = 4.0

# Where a peer forgot an idle connection without closing it, others are used
# up to this part of the time that it had rested, at least so many seconds,
# and twice as long again after each such time.
SAFE_IDLE_PART = 0.5
LEAST_SAFE_IDLE = 0.05
SAFE_IDLE_DOUBLES = 10.0

# Seconds after which all that is forgotten again.
MOST_SAFE_IDLE_TIME = 60.0

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
    """A connection on which one request at a time is answered.

    :ivar rested: seconds that it was idle before the present request
    :ivar has_answered: a byte of the present answer has come
    """

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self._h11 = h11.Connection(h11.CLIENT)
        self._request: h11.Request | None = None
        self._unsent = b''
        self._idle_until = 0.0
        self._rested_since = float('inf')
        self.rested = 0.0
        self.has_answered = False
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
        self.rested = now - self._rested_since
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
            self.has_answered |= bool(data)
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
        self._rested_since = trio.current_time()
        self.has_answered = False
        return True

    @property
    def was_forgotten(self) -> bool:
        """Whether the peer seems to have dropped it while it was idle."""
        return self.rested > 0 and not self.has_answered


class SafeIdle:
    """How long connections of a group of peers may rest, as was seen.

    >>> safe = SafeIdle()
    >>> safe.note_forgotten(0.4, 100.0)
    >>> safe.limit(100.0), safe.limit(111.0), safe.limit(200.0)
    (0.2, 0.4, inf)
    """

    def __init__(self) -> None:
        self._limit = float('inf')
        self._since = float('-inf')

    def note_forgotten(self, rested: float, now: float) -> None:
        """Note that a connection was gone after it had rested."""
        limit = max(LEAST_SAFE_IDLE, rested * SAFE_IDLE_PART)
        self._limit = min(self.limit(now), limit)
        self._since = now

    def limit(self, now: float) -> float:
        """Return the seconds that a connection may have rested."""
        if now >= self._since + MOST_SAFE_IDLE_TIME:
            return float('inf')
        doublings = int((now - self._since) / SAFE_IDLE_DOUBLES)
        return self._limit * 2.0**doublings


class Pool:
    """Idle connections by target; the one used last is taken first."""

    def __init__(self, connect_timeout: float) -> None:
        self._connect_timeout = connect_timeout
        self._idle_by_peer: dict[str, list[Connection]] = {}
        self._safe_idle_by_group: dict[str, SafeIdle] = {}

    async def acquire(
        self, peer: str, host: str, port: int, group: str = ''
    ) -> Connection:
        """Return a connection to a peer; raises ExchangeFailed unsent.

        Peers of a group are taken to keep idle connections alike.
        """
        idle = self._idle_by_peer.get(peer, [])
        now = trio.current_time()
        safe_idle = self._safe_idle_by_group.get(group)
        limit = safe_idle.limit(now) if safe_idle else float('inf')
        while idle:
            found = idle.pop()
            if found.is_usable(now) and found.rested <= limit:
                return found
            found.close()
        try:
            stream = await _sockets.connect(host, port, self._connect_timeout)
        except OSError as error:
            raise ExchangeFailed(f'no connection: {error}', False) from error
        return Connection(stream)

    def note_broken(self, connection: Connection, group: str) -> None:
        """Learn from a connection that ended without an answer."""
        if not connection.was_forgotten:
            return
        safe_idle = self._safe_idle_by_group.setdefault(group, SafeIdle())
        now = trio.current_time()
        safe_idle.note_forgotten(connection.rested, now)
        log.info(
            'MLB-6605',
            group=group,
            rested=round(connection.rested, 3),
            limit=round(safe_idle.limit(now), 3),
        )

    def release(self, peer: str, connection: Connection) -> None:
        """Keep a connection whose exchange has ended, if it can be used."""
        if connection.finish():
            self._idle_by_peer.setdefault(peer, []).append(connection)

    def remove_peer(self, peer: str) -> None:
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
