"""Connections to targets that one node relays for another.

The node that asks sends a frame with the target on a connection of its own
and gets one with the outcome. From then on the relaying node copies bytes to
the target as they are. Bytes from the target are sent in frames, of which an
empty one marks the end, so that the end of the relaying node does not look
like the end of a response.
"""

import collections
from collections import abc

import structlog
import trio

from mustardlb import frames
from mustardlb_gateway import _buffers
from mustardlb_gateway import _centres
from mustardlb_gateway import _message_codec
from mustardlb_gateway import _messages
from mustardlb_gateway import _peer_channel
from mustardlb_gateway import _reachability
from mustardlb_gateway import _sockets
from mustardlb_gateway import _target_links
from mustardlb_gateway import domain
from mustardlb_gateway import http_client

log = structlog.get_logger()

# Time to connect to a target for another node.
CONNECT_TIMEOUT_SECONDS = 0.2

# Time to wait for the outcome. The relaying node may have to try others of
# its targets to tell whether its own links work.
RESPONSE_TIMEOUT_SECONDS = 0.6

# Each takes two file descriptors, out of those that are not available for
# connections of clients.
MAX_CONNECTIONS = 400

MAX_READ_BYTES = 65_536

# After the end of a response, the other node has this time to read it and to
# close the connection.
LINGER_SECONDS = 1.0

_LOST = (trio.BrokenResourceError, trio.ClosedResourceError)


class RelayedStream:
    """The stream to a target that another node relays."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self._unread = b''
        self._is_ended = False

    @property
    def socket(self) -> trio.socket.SocketType:
        """Return the socket to the relaying node."""
        return self._stream.socket

    async def send_all(self, data: bytes) -> None:
        """Send bytes to the target."""
        await self._stream.send_all(data)

    async def receive_some(self, max_bytes: int) -> bytes:
        """Return the next bytes of the target, b'' at its end.

        Raises BrokenResourceError if the relay ends before.
        """
        if not self._unread and not self._is_ended:
            try:
                frame = await frames.receive(self._stream)
            except frames.BadFrame as error:
                raise trio.BrokenResourceError from error
            if frame is None:
                raise trio.BrokenResourceError('the relay has ended')
            if len(frame) > MAX_READ_BYTES:
                # What is left of it would be no sign of late bytes to the
                # pool, which looks at the socket only.
                raise trio.BrokenResourceError('the frame is too large')
            self._is_ended = not frame
            self._unread = frame
        data, self._unread = (
            self._unread[:max_bytes],
            self._unread[max_bytes:],
        )
        return data


async def open_relay(
    vm: _centres.Vm, target: domain.Target, encode: _peer_channel.Encoder
) -> _target_links.Relayed:
    """Ask a node to connect to a target."""
    outcomes = _reachability.RelayOutcome
    request = _messages.Relay(target.target_id, target.incarnation)
    try:
        with trio.fail_after(RESPONSE_TIMEOUT_SECONDS):
            stream = await _sockets.connect(
                vm.host, vm.port, CONNECT_TIMEOUT_SECONDS
            )
            try:
                outcome = await _request_relay(stream, encode(request, 0))
            except BaseException:
                stream.socket.close()
                raise
    except _peer_channel.CONNECTION_ERRORS as error:
        log.info('MLB-6305', peer=vm.vm, problem=repr(error))
        return _target_links.Relayed(outcomes.NO_RESPONSE)
    if outcome == outcomes.CONNECTED:
        return _target_links.Relayed(outcome, RelayedStream(stream))
    stream.socket.close()
    return _target_links.Relayed(outcome)


async def _request_relay(
    stream: trio.SocketStream, request: bytes
) -> _reachability.RelayOutcome:
    """Return the outcome; raises one of CONNECTION_ERRORS."""
    await frames.send(stream, request)
    data = await frames.receive(stream)
    if not data:
        raise frames.BadFrame('the relay ended without a response')
    body = _message_codec.decode(data).body
    if not isinstance(body, _messages.RelayResult):
        raise ValueError('the response is not about a relay')
    return body.outcome


class RelayServer:
    """Relays connections for other nodes, unless this one is stopping.

    `is_evacuated` returns whether a target gets no new connections, and
    `is_overdue` whether it gets no further bytes on those that it has.
    `is_leaving` returns whether a target is known to leave, and
    `tell_leaving` tells that to a node.

    :ivar count: number of connections that are relayed now
    """

    def __init__(
        self,
        links: _target_links.TargetLinks,
        targets: abc.Callable[[], abc.Mapping[str, domain.Target]],
        encode: _peer_channel.Encoder,
        is_stopping: abc.Callable[[], bool],
        is_evacuated: abc.Callable[[domain.Target], bool] = lambda _: False,
        is_overdue: abc.Callable[[domain.Target], bool] = lambda _: False,
        buffers: _buffers.Buffers | None = None,
        is_leaving: abc.Callable[[domain.Target], bool] = lambda _: False,
        tell_leaving: abc.Callable[
            [str, str, int], None
        ] = lambda vm, target_id, incarnation: None,
    ) -> None:
        self._is_leaving = is_leaving
        self._tell_leaving = tell_leaving
        self._vms_by_target: dict[
            tuple[str, int], collections.Counter[str]
        ] = {}
        self._links = links
        self._targets = targets
        self._encode = encode
        self._is_stopping = is_stopping
        self._is_evacuated = is_evacuated
        self._is_overdue = is_overdue
        self._buffers = buffers or _buffers.Buffers(lambda: 0.0)
        self.count = 0

    async def serve(
        self, client: trio.SocketStream, vm: str, relay: _messages.Relay
    ) -> None:
        """Connect to a target and copy bytes until either side ends."""
        self.count += 1
        key = relay.target_id, relay.incarnation
        vms = self._vms_by_target.setdefault(key, collections.Counter())
        vms[vm] += 1
        server: http_client.Stream | None = None
        try:
            outcome, server = await self._connect(relay)
            log.info(
                'MLB-6308',
                peer=vm,
                target=relay.target_id,
                outcome=outcome.name.lower(),
            )
            await frames.send(
                client, self._encode(_messages.RelayResult(outcome), 0)
            )
            if server is not None:
                await _copy_both(
                    client,
                    server,
                    lambda: self._may_send(vm, relay),
                    self._buffers,
                )
        except _peer_channel.CONNECTION_ERRORS as error:
            log.info('MLB-6305', peer=vm, problem=repr(error))
        finally:
            self.count -= 1
            vms[vm] -= 1
            if not +vms:
                self._vms_by_target.pop(key, None)
            client.socket.close()
            if server is not None:
                server.socket.close()

    async def _connect(
        self, relay: _messages.Relay
    ) -> tuple[_reachability.RelayOutcome, http_client.Stream | None]:
        target = self._targets().get(relay.target_id)
        if target is None or target.incarnation != relay.incarnation:
            return _reachability.RelayOutcome.UNKNOWN, None
        if self._is_evacuated(target):
            return _reachability.RelayOutcome.RESTING, None
        if (
            self.count > MAX_CONNECTIONS
            or self._is_stopping()
            or self._buffers.is_full
        ):
            return _reachability.RelayOutcome.BUSY, None
        return await self._links.connect_for_other(
            target, CONNECT_TIMEOUT_SECONDS
        )

    def _may_send(self, vm: str, relay: _messages.Relay) -> bool:
        """Return whether bytes of requests may still reach a target.

        Requests to a target that leaves are not cut off, since they may run.
        Their node is told again, as the first notice may be lost.
        """
        target = self._targets().get(relay.target_id)
        if target is None:
            return True
        is_same = target.incarnation == relay.incarnation
        if is_same and self._is_leaving(target):
            self._tell_leaving(vm, relay.target_id, relay.incarnation)
        return not self._is_overdue(target)

    def notify_leaving(self, target_id: str, incarnation: int) -> None:
        """Tell the nodes that have relayed connections to a target."""
        for vm in self._vms_by_target.get((target_id, incarnation), ()):
            self._tell_leaving(vm, target_id, incarnation)


async def _copy_both(
    client: trio.SocketStream,
    server: http_client.Stream,
    may_send: abc.Callable[[], bool],
    buffers: _buffers.Buffers,
) -> None:
    """Copy bytes both ways until either side ends.

    A target may respond before it has read the whole request, so a failed
    write to it leaves its response to be read.
    """
    held, request_held = buffers.open(), buffers.open()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            _copy_request,
            client,
            server,
            nursery.cancel_scope,
            may_send,
            request_held,
        )
        try:
            while data := await server.receive_some(MAX_READ_BYTES):
                held.set(len(data))
                await frames.send(client, bytes(data))
                held.close()
            await frames.send(client, b'')
            await client.send_eof()
        except _LOST as error:
            log.info('MLB-6309', problem=repr(error))
            nursery.cancel_scope.cancel()
        finally:
            held.close()
            request_held.close()
        nursery.cancel_scope.deadline = min(
            nursery.cancel_scope.deadline,
            trio.current_time() + LINGER_SECONDS,
        )


async def _copy_request(
    client: trio.SocketStream,
    server: http_client.Stream,
    scope: trio.CancelScope,
    may_send: abc.Callable[[], bool],
    held: _buffers.BufferedData,
) -> None:
    """Copy a request until the node that sends it closes the connection.

    What a target no longer reads is dropped: closing the connection with
    unread bytes would reset it, and cut off the response.
    """
    is_writable = True
    try:
        while data := await client.receive_some(MAX_READ_BYTES):
            if not may_send():
                log.info('MLB-6309', problem='the target is evacuated')
                break
            if not is_writable:
                continue
            held.set(len(data))
            try:
                await server.send_all(data)
            except _LOST as error:
                log.info('MLB-6309', problem=repr(error))
                is_writable = False
            held.close()
    except _LOST as error:
        log.info('MLB-6309', problem=repr(error))
    scope.cancel()
