"""HTTP/1.1 client for targets and the store, without pipelining.

h11 implements the protocol. Client libraries with a built-in pool don't
expose what the retry rules depend on: whether a response belongs to the
request and whether any byte of the request was sent.
"""

import collections
from collections import abc
import dataclasses
import re
from typing import Any
from typing import Protocol

import h11
import structlog
import trio

from mustardlb import response_heads
from mustardlb_gateway import _buffers
from mustardlb_gateway import _read_turns
from mustardlb_gateway import _reset_aware
from mustardlb_gateway import _sockets
from mustardlb_gateway import domain

log = structlog.get_logger()

MAX_READ_BYTES = 65_536

# An idle connection is no longer used this long before the peer's keep-alive
# timeout, because the peer might close it while a request is in transit.
KEEPALIVE_MARGIN_SECONDS = 0.7

# Used if the response has no Keep-Alive header with a timeout.
DEFAULT_KEEPALIVE_SECONDS = 4.0

# A new connection without a request is used for this time. Some peers close
# it early, since it may occupy one of their slots.
NEW_CONNECTION_SECONDS = 1.0

# Some peers drop an idle connection without closing it. The idle limit of
# the group then becomes this ratio of the idle time of that connection, with
# a minimum, and doubles at each interval without another drop.
IDLE_LIMIT_RATIO = 0.5
MIN_IDLE_LIMIT_SECONDS = 0.05
IDLE_LIMIT_DOUBLING_SECONDS = 10.0

# Time without another dropped connection after which the limit is lifted.
IDLE_LIMIT_TTL_SECONDS = 60.0

# Bodies up to this size fit into the socket buffer. Larger ones are sent
# while the response is read, since a peer may respond before it has read
# the whole body.
SMALL_BODY_BYTES = 8192

# Larger bodies that nobody needs, more responses to other requests, or more
# informational ones come from a peer that may go on sending until its caller
# closes the connection.
MAX_SKIPPED_BYTES = 1_048_576
MAX_SKIPPED_RESPONSES = 256
MAX_INFORMATIONAL_RESPONSES = 16

# A body, or what follows the last progress of a stream, may have this many
# parts, and another one for each of these bytes.
MAX_SMALL_PARTS = 4096
MIN_BYTES_PER_PART = 64

# Request ids that a connection remembers, the last ones.
MAX_REMEMBERED_IDS = 64

_TIMEOUT = re.compile(rb'timeout=(\d+)')

_STATUS_LINE = re.compile(rb'HTTP/1\.[01] \d{3}')


class Stream(Protocol):
    """A connection's stream of bytes, over one socket or a relay."""

    @property
    def socket(self) -> trio.socket.SocketType:
        """Return the socket, which is readable if data may be received."""

    async def send_all(self, data: bytes) -> None:
        """Send bytes; raises a resource error of trio."""

    async def receive_some(self, max_bytes: int) -> bytes | bytearray:
        """Return the next bytes, b'' at the end of the stream."""


class ExchangeFailed(Exception):
    """No complete response was received.

    :ivar was_sent: whether the request may have reached the peer
    :ivar is_link_failure: whether only this node's link to the peer failed
    """

    def __init__(
        self,
        problem: str,
        was_sent: bool = True,
        is_link_failure: bool = False,
    ) -> None:
        super().__init__(problem)
        self.was_sent = was_sent
        self.is_link_failure = is_link_failure


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """Status and headers of a response; header names are in lower case.

    :ivar has_length: whether the end of the body is marked by a length or
        by chunks, so that a truncated body can be detected
    """

    status: int
    headers: domain.Headers
    has_length: bool


# Returns whether a response belongs to the pending request.
HeadFilter = abc.Callable[[Head], bool]


class Connection:
    """A connection that carries one request at a time.

    :ivar idle_seconds: idle time before the current request
    :ivar has_response_data: whether any byte was received since the current
        request was sent
    :ivar is_ended_by_peer: whether the peer closed or reset the connection
    :ivar helper: node that relays the connection, '' for none
    :ivar data_at: when data was last received, trio time
    :ivar is_reused: whether another request was sent on it before
    :ivar part_count: parts of the response body since the last progress
    :ivar byte_count: bytes of the response body since the last progress
    """

    def __init__(
        self,
        stream: Stream,
        helper: str = '',
        peer: str = '',
        turns: _read_turns.ReadTurns | None = None,
        held: _buffers.BufferedData | None = None,
    ) -> None:
        self._stream = stream
        self.helper = helper
        self._pacer = _read_turns.Pacer(turns or _read_turns.ReadTurns(), peer)
        self._held = held
        # What follows the parts that were joined.
        self._read_ahead: Any = None
        self._received_bytes = 0
        self.part_count = 0
        self.byte_count = 0
        self.data_at = float('-inf')
        self._h11 = h11.Connection(h11.CLIENT)
        self._heads = response_heads.HeadScanner()
        self._request: h11.Request | None = None
        self._unsent = b''
        self._reusable_until = 0.0
        self._idle_since = float('inf')
        self.idle_seconds = 0.0
        self.has_response_data = False
        self.is_ended_by_peer = False
        self.is_closed = False
        self.is_reused = False
        self._id_hashes: collections.deque[int] = collections.deque(
            maxlen=MAX_REMEMBERED_IDS
        )

    def add_request_id(self, request_id: str) -> None:
        """Record the id of the request that is sent next."""
        self._id_hashes.append(hash(request_id))

    def has_carried(self, request_id: str) -> bool:
        """Return whether a late response may have this request id."""
        return hash(request_id) in self._id_hashes

    def close(self) -> None:
        """Close immediately, also with a request in progress."""
        if not self.is_closed:
            self.is_closed = True
            self._stream.socket.close()

    def is_expired(self, now: float) -> bool:
        """Return whether the peer may close this idle connection."""
        return self.is_closed or now >= self._reusable_until

    def is_usable(self, now: float) -> bool:
        """Return whether this idle connection can carry another request."""
        if self.is_expired(now):
            return False
        self.idle_seconds = now - self._idle_since
        # A readable idle connection was closed by the peer or holds bytes
        # that belong to no request.
        return not _sockets.is_readable(self._stream.socket)

    async def send(
        self,
        method: bytes,
        path: bytes,
        headers: domain.Headers,
        body: bytes,
        nursery: trio.Nursery | None = None,
    ) -> None:
        """Send a request; a large body is sent by a task of `nursery`."""
        sized = [*headers, (b'content-length', b'%d' % len(body))]
        if not body and method in (b'GET', b'HEAD', b'DELETE'):
            sized = headers
        self.mark_progress()
        self._heads.begin()
        self._request = h11.Request(method=method, target=path, headers=sized)
        payload = self._h11.send(self._request) or b''
        if body:
            payload += self._h11.send(h11.Data(data=body)) or b''
        payload += self._h11.send(h11.EndOfMessage()) or b''
        self._unsent = payload
        if nursery is not None and len(body) > SMALL_BODY_BYTES:
            nursery.start_soon(self._send_unsent)
            return
        await self._send_unsent()

    async def _send_unsent(self) -> None:
        try:
            await self._stream.send_all(self._unsent)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # The peer may have sent a response before it closed the
            # connection, so the failure is reported by the receiving side.
            return
        self._unsent = b''

    async def receive_head(self, accept: HeadFilter | None = None) -> Head:
        """Return the response head, skipping responses to other requests.

        Raises ExchangeFailed.
        """
        informational = skipped = 0
        may_be_late = self.is_reused
        while True:
            event = await self._next_event()
            if isinstance(event, h11.InformationalResponse):
                informational += 1
                if informational > MAX_INFORMATIONAL_RESPONSES:
                    raise ExchangeFailed('too many informational responses')
                continue
            if not isinstance(event, h11.Response):
                raise ExchangeFailed('no response was received')
            if may_be_late and _has_second_status_line(event):
                raise ExchangeFailed('a response began within a head')
            names = {name for name, _ in event.headers}
            head = Head(
                event.status_code,
                list(event.headers),
                b'content-length' in names or b'transfer-encoding' in names,
            )
            self._update_reusable_until(head)
            if accept is None or accept(head):
                return head
            skipped += 1
            if skipped > MAX_SKIPPED_RESPONSES:
                raise ExchangeFailed('too many responses to other requests')
            await self._skip_response()
            self.mark_progress()
            may_be_late = True

    async def _skip_response(self) -> None:
        """Read and discard the response to another request."""
        if self._request is not None and self._request.method == b'HEAD':
            # Whether the other response has a body is not known.
            raise ExchangeFailed('a response to another request came first')
        await self.discard_body()
        rest, _ = self._h11.trailing_data
        if self._h11.their_state is not h11.DONE or self._request is None:
            raise ExchangeFailed(
                'the connection ended after a response to another request'
            )
        # Move a new h11 state machine to the state after the request was
        # sent; the content of the body doesn't matter for that.
        self._h11 = h11.Connection(h11.CLIENT)
        self._h11.send(self._request)
        for name, value in self._request.headers:
            if name == b'content-length' and int(value):
                self._h11.send(h11.Data(data=bytes(int(value))))
        self._h11.send(h11.EndOfMessage())
        self._heads.begin()
        if rest:
            self._feed(rest)

    def _update_reusable_until(self, head: Head) -> None:
        seconds = DEFAULT_KEEPALIVE_SECONDS
        for name, value in head.headers:
            if name == b'keep-alive':
                found = _TIMEOUT.search(value)
                seconds = float(found[1]) if found else seconds
        self._reusable_until = (
            trio.current_time() + max(0.3, seconds) - KEEPALIVE_MARGIN_SECONDS
        )

    def mark_progress(self) -> None:
        """Count the parts and bytes of the body from here on."""
        self.part_count = self.byte_count = 0

    async def receive_data(self) -> bytes | None:
        """Return the next data of the body, or None at its end.

        Raises ExchangeFailed if the body is truncated, or comes in more small
        parts than a sound peer sends.
        """
        event = await self._next_event()
        if isinstance(event, h11.EndOfMessage):
            return None
        if not isinstance(event, h11.Data):
            raise ExchangeFailed('the response body is truncated')
        parts = [event.data, *self._received_parts()]
        data = b''.join(parts)
        self.part_count += len(parts)
        self.byte_count += len(data)
        permitted = MAX_SMALL_PARTS + self.byte_count / MIN_BYTES_PER_PART
        if self.part_count > permitted:
            raise ExchangeFailed('the body comes in too many small parts')
        return data

    def _received_parts(self) -> abc.Iterator[bytes]:
        """Yield the parts of the body that can be processed in this turn."""
        while not self._pacer.is_exhausted:
            try:
                event = self._parse()
            except ExchangeFailed as error:
                self._read_ahead = error
                return
            if not isinstance(event, h11.Data):
                self._read_ahead = event
                return
            yield event.data

    async def discard_body(self) -> None:
        """Read the rest of a body that nobody needs.

        Raises ExchangeFailed if the body is truncated or too large.
        """
        discarded = 0
        while (data := await self.receive_data()) is not None:
            discarded += len(data)
            if discarded > MAX_SKIPPED_BYTES:
                raise ExchangeFailed('the body that is discarded is too large')

    async def receive_body(
        self, max_bytes: int, hold: abc.Callable[[int], bool] | None = None
    ) -> bytes:
        """Return the rest of the body.

        `hold` is called with the size of each part that was received, and
        returns whether there is memory for it; by default, the connection
        counts the body until it is complete. Raises ExchangeFailed if the body
        is truncated, exceeds `max_bytes` or has no room.
        """
        body = bytearray()
        counted = 0
        try:
            while (data := await self.receive_data()) is not None:
                body += data
                if len(body) > max_bytes:
                    raise ExchangeFailed('the response body is too large')
                if not (hold or self._hold)(len(data)):
                    raise ExchangeFailed('no memory is left for the response')
                if hold is None:
                    counted += len(data)
        except BaseException:
            # The traceback keeps this frame for some time.
            body.clear()
            raise
        finally:
            self._hold(-counted)
        return bytes(body)

    def _hold(self, byte_count: int) -> bool:
        """Count buffered data; return whether there is room for it."""
        if self._held is None:
            return True
        if byte_count > 0:
            return self._held.try_add(byte_count)
        self._held.remove(-byte_count)
        return True

    async def _next_event(self) -> Any:
        event, self._read_ahead = self._read_ahead, None
        if isinstance(event, ExchangeFailed):
            raise event
        if event is h11.NEED_DATA:
            await self._receive()
        elif event is not None:
            return event
        while True:
            if self._pacer.is_exhausted:
                await self._renew_turn()
            event = self._parse()
            if event is not h11.NEED_DATA:
                return event
            await self._receive()

    async def _renew_turn(self) -> None:
        """Let other tasks run; the received data is buffered meanwhile."""
        if not self._hold(self._received_bytes):
            raise ExchangeFailed('no memory is left for the response')
        try:
            await self._pacer.renew()
        finally:
            self._hold(-self._received_bytes)

    def _parse(self) -> Any:
        """Return the next event; raises ExchangeFailed."""
        self._pacer.spend()
        try:
            return self._h11.next_event()
        except h11.RemoteProtocolError as error:
            raise ExchangeFailed(f'malformed response: {error}') from error

    async def _receive(self) -> None:
        try:
            data = await self._stream.receive_some(MAX_READ_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as e:
            self.is_ended_by_peer = not self.is_closed
            raise ExchangeFailed('the connection was reset') from e
        self.has_response_data |= bool(data)
        self.data_at = trio.current_time()
        self.is_ended_by_peer = not data
        self._received_bytes = len(data)
        self._feed(bytes(data))

    def _feed(self, data: bytes) -> None:
        """Pass received bytes to the parser; raises ExchangeFailed."""
        try:
            self._heads.feed(data)
            self._h11.receive_data(data)
        except (ValueError, h11.RemoteProtocolError) as error:
            raise ExchangeFailed(f'malformed response: {error}') from error

    def prepare_reuse(self) -> bool:
        """Prepare for the next request.

        Closes the connection and returns False if it cannot be reused.
        """
        done = (
            not self.is_closed
            and not self._unsent
            and self._request is not None
            # A late response to HEAD has a length but no body, so that the
            # next response would be read as its body.
            and self._request.method != b'HEAD'
            and self._h11.our_state is h11.DONE
            and self._h11.their_state is h11.DONE
            and self._h11.trailing_data == (b'', False)
        )
        if not done:
            self.close()
            return False
        self._h11.start_next_cycle()
        self._read_ahead = None
        self.is_reused = True
        self._idle_since = trio.current_time()
        self.has_response_data = False
        return True

    def mark_unused(self) -> None:
        """Let a new connection rest until its first request."""
        now = trio.current_time()
        self._idle_since = now
        self._reusable_until = now + NEW_CONNECTION_SECONDS

    @property
    def was_dropped_while_idle(self) -> bool:
        """Whether the peer probably dropped this connection while idle."""
        return self.idle_seconds > 0 and not self.has_response_data


def _has_second_status_line(head: h11.Response) -> bool:
    """Return whether a head consists of parts of two heads.

    The first bytes of a late response, of which the rest never arrived, come
    before the status line of the next one.
    """
    return any(
        _STATUS_LINE.search(each)
        for each in (head.reason, *(value for _, value in head.headers))
    )


class IdleLimit:
    """Longest idle time after which a connection is still used.

    The limit applies to a group of peers and follows the dropped connections
    that were recorded.

    >>> idle_limit = IdleLimit()
    >>> idle_limit.record_drop(0.4, 100.0)
    >>> [idle_limit.limit(now) for now in (100.0, 111.0, 200.0)]
    [0.2, 0.4, inf]
    """

    def __init__(self) -> None:
        self._limit = float('inf')
        self._since = float('-inf')

    def record_drop(self, idle_seconds: float, now: float) -> None:
        """Record that the peer dropped a connection that was idle."""
        limit = max(MIN_IDLE_LIMIT_SECONDS, idle_seconds * IDLE_LIMIT_RATIO)
        self._limit = min(self.limit(now), limit)
        self._since = now

    def limit(self, now: float) -> float:
        """Return the longest idle time of a usable connection, seconds."""
        if now >= self._since + IDLE_LIMIT_TTL_SECONDS:
            return float('inf')
        doublings = int((now - self._since) / IDLE_LIMIT_DOUBLING_SECONDS)
        return self._limit * 2.0**doublings


class Pool:
    """Idle connections by peer; the most recently used is reused first."""

    def __init__(
        self,
        connect_timeout: float,
        turns: _read_turns.ReadTurns | None = None,
        buffers: _buffers.Buffers | None = None,
    ) -> None:
        self._connect_timeout = connect_timeout
        self._turns = turns or _read_turns.ReadTurns()
        self._buffers = buffers or _buffers.Buffers(lambda: 0.0)
        self._idle_by_peer: dict[str, list[Connection]] = {}
        self._idle_limit_by_group: dict[str, IdleLimit] = {}

    async def acquire(
        self,
        peer: str,
        host: str,
        port: int,
        group: str = '',
        request_id: str = '',
    ) -> Connection:
        """Return an idle or a new connection to a peer.

        Peers of a group share one idle limit. Raises ExchangeFailed, with
        `was_sent` false, if no connection can be opened.
        """
        idle = self.take_idle(peer, group, request_id=request_id)
        if idle is not None:
            return idle
        try:
            stream = await _reset_aware.connect(
                host, port, self._connect_timeout
            )
        except OSError as error:
            raise ExchangeFailed(
                f'connection failed: {error}', False
            ) from error
        return self.connection(peer, stream)

    def connection(
        self, peer: str, stream: Stream, helper: str = ''
    ) -> Connection:
        """Return a connection on a stream; no request was sent on it yet."""
        return Connection(
            stream, helper, peer, self._turns, self._buffers.open()
        )

    def take_idle(
        self,
        peer: str,
        group: str = '',
        is_relayed: bool = False,
        request_id: str = '',
    ) -> Connection | None:
        """Return an idle connection to a peer, if any.

        A connection that carried a request with the same id is not used, as
        a late response to it could not be told from the next one.
        """
        idle = self._idle_by_peer.get(peer, [])
        now = trio.current_time()
        idle_limit = self._idle_limit_by_group.get(group)
        limit = idle_limit.limit(now) if idle_limit else float('inf')
        for found in reversed(idle):
            if bool(found.helper) != is_relayed:
                continue
            if request_id and found.has_carried(request_id):
                continue
            idle.remove(found)
            if found.is_usable(now) and found.idle_seconds <= limit:
                return found
            found.close()
        return None

    def add_idle(self, peer: str, connection: Connection) -> None:
        """Add a connection on which nothing was sent yet."""
        connection.mark_unused()
        self._idle_by_peer.setdefault(peer, []).append(connection)

    def record_broken(self, connection: Connection, group: str) -> None:
        """Update the idle limit after a connection without a response."""
        if not connection.was_dropped_while_idle:
            return
        idle_limit = self._idle_limit_by_group.setdefault(group, IdleLimit())
        now = trio.current_time()
        idle_limit.record_drop(connection.idle_seconds, now)
        log.info(
            'MLB-6605',
            group=group,
            rested=round(connection.idle_seconds, 3),
            limit=round(idle_limit.limit(now), 3),
        )

    def release(self, peer: str, connection: Connection) -> None:
        """Return a connection to the pool after a complete exchange.

        A connection that cannot be reused is closed.
        """
        if connection.prepare_reuse():
            self._idle_by_peer.setdefault(peer, []).append(connection)

    def remove_peer(self, peer: str) -> None:
        """Close the idle connections of a peer that was removed."""
        for connection in self._idle_by_peer.pop(peer, ()):
            connection.close()

    def close_idle(self) -> None:
        """Close all idle connections.

        How long they have rested is not known after a suspension, which
        trio's clock does not count.
        """
        for peer in list(self._idle_by_peer):
            self.remove_peer(peer)

    def close_direct(self, peer: str) -> None:
        """Close the idle connections to a peer that are not relayed."""
        idle = self._idle_by_peer.pop(peer, [])
        for connection in idle:
            if not connection.helper:
                connection.close()
        relayed = [each for each in idle if each.helper]
        if relayed:
            self._idle_by_peer[peer] = relayed

    def close_expired(self) -> None:
        """Close idle connections that have expired.

        The sockets are not polled, since a node of a large fleet has an idle
        connection to most targets.
        """
        now = trio.current_time()
        for peer, idle in list(self._idle_by_peer.items()):
            kept = []
            for connection in idle:
                if connection.is_expired(now):
                    connection.close()
                else:
                    kept.append(connection)
            if kept:
                self._idle_by_peer[peer] = kept
            else:
                del self._idle_by_peer[peer]
