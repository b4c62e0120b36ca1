"""The other nodes: who they are, what they tell, questions to them.

Every node opens a connection to each other one, sends its digest on it
several times a second and asks questions; answers come back on the same
connection.
"""

from collections import abc
import dataclasses

import structlog
import trio

from mustardlb import frames
from mustardlb_gateway import _messages
from mustardlb_gateway import _sockets

log = structlog.get_logger()

# Seconds between two digests in a small fleet: a quarter of the second
# within which a node that ended is to be noticed.
DIGEST_INTERVAL = 0.25

# Digests a second that a node sends in all; larger fleets get fewer each.
MOST_DIGESTS = 40.0

# Digests in a row that may be missing before a node counts as silent.
MISSED_DIGESTS = 4

# Seconds to connect, to send a message, to await an answer.
CONNECT_TIMEOUT = 0.5
SEND_TIMEOUT = 1.0
ANSWER_TIMEOUT = 1.5

# Seconds between two attempts to reach a node that does not answer.
RECONNECT_PAUSE = 0.5

# Nodes up to which messages between two digests are sent to all.
MOST_TOLD = 16

# A node that was never reached for so long is no longer dialled, seconds;
# it dials by itself when it is back.
FORGET_AFTER = 60.0

_BROKEN = (
    OSError,
    frames.BadFrame,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    trio.TooSlowError,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Vm:
    """A node of the fleet and where its peers reach it."""

    vm: str
    host: str
    port: int


@dataclasses.dataclass(slots=True)
class _Heard:
    incarnation: int
    digest: _messages.Digest
    at: float


Answer = abc.Callable[
    [_messages.Message], abc.Awaitable[_messages.Body | None]
]
Hear = abc.Callable[[str, int, _messages.Digest], None]
HearCounts = abc.Callable[[_messages.Message, _messages.Counts], None]


class Peers:
    """Links to all other nodes.

    :ivar heard_by_vm: the last digest of each node
    """

    def __init__(
        self,
        me: Vm,
        incarnation: int,
        clock: abc.Callable[[], float],
        make_digest: abc.Callable[[], _messages.Digest],
        hear: Hear,
        answer: Answer,
        hear_counts: HearCounts,
    ) -> None:
        self._hear_counts = hear_counts
        self.me = me
        self.incarnation = incarnation
        self._clock = clock
        self._make_digest = make_digest
        self._hear = hear
        self._answer = answer
        self._links_by_vm: dict[str, _Link] = {}
        self.heard_by_vm: dict[str, _Heard] = {}
        self._nursery: trio.Nursery | None = None
        self._encoded: tuple[float, bytes] = (float('-inf'), b'')

    @property
    def interval(self) -> float:
        """Seconds between two digests to the same node."""
        return max(DIGEST_INTERVAL, len(self._links_by_vm) / MOST_DIGESTS)

    def alive(self) -> set[str]:
        """Return the nodes whose digests came lately, without this one."""
        since = self._clock() - MISSED_DIGESTS * self.interval
        return {
            vm
            for vm, heard in self.heard_by_vm.items()
            if heard.at >= since and not heard.digest.is_leaving
        }

    def known(self) -> set[str]:
        """Return all other nodes that were met or listed and not given up."""
        return set(self._links_by_vm)

    def hears_majority(self) -> bool:
        """Whether more than half of all known nodes were heard lately."""
        nodes = len(self._links_by_vm) + 1
        return 2 * (len(self.alive()) + 1) > nodes

    def add(self, vm: Vm) -> None:
        """Open a link to a node, or move it to a new address."""
        if vm.vm == self.me.vm or self._nursery is None:
            return
        link = self._links_by_vm.get(vm.vm)
        if link is not None:
            link.vm = vm
            return
        link = _Link(self, vm, self._clock())
        self._links_by_vm[vm.vm] = link
        self._nursery.start_soon(link.run)
        log.info('MLB-6301', peer=vm.vm, host=vm.host)

    def remove(self, vm: str) -> None:
        """Forget a node that was never reached for long."""
        self._links_by_vm.pop(vm, None)
        self.heard_by_vm.pop(vm, None)
        log.info('MLB-6303', peer=vm)

    async def ask(
        self, vm: str, body: _messages.Body, timeout: float = ANSWER_TIMEOUT
    ) -> _messages.Body | None:
        """Ask a node; None where it does not answer in time."""
        link = self._links_by_vm.get(vm)
        if link is None:
            return None
        return await link.ask(body, timeout)

    async def tell(self, body: _messages.Body) -> None:
        """Send a message to every other node, where fleets are small."""
        if len(self._links_by_vm) > MOST_TOLD:
            return
        data = self.encode(body)
        for link in list(self._links_by_vm.values()):
            await link.tell(data)

    def digest(self) -> bytes:
        """Return this node's digest, made anew for each round."""
        now = self._clock()
        if now - self._encoded[0] > DIGEST_INTERVAL / 2:
            self._encoded = (now, self.encode(self._make_digest()))
        return self._encoded[1]

    def encode(self, body: _messages.Body, request: int = 0) -> bytes:
        """Return the bytes of a message from this node."""
        message = _messages.Message(
            self.me.vm, self.incarnation, request, body
        )
        return _messages.encode(message)

    async def run(self, nursery: trio.Nursery) -> None:
        """Accept the links of other nodes until cancelled."""
        self._nursery = nursery
        listeners = await trio.open_tcp_listeners(
            self.me.port, host=self.me.host
        )
        nursery.start_soon(trio.serve_listeners, self._serve, listeners)

    async def _serve(self, stream: trio.SocketStream) -> None:
        _sockets.tune(stream)
        lock = trio.Lock()
        try:
            async with trio.open_nursery() as nursery:
                while (data := await frames.receive(stream)) is not None:
                    message = _messages.decode(data)
                    if isinstance(message.body, _messages.Digest):
                        self._take_digest(message, message.body)
                        continue
                    if isinstance(message.body, _messages.Counts):
                        self._hear_counts(message, message.body)
                        continue
                    nursery.start_soon(self._reply, stream, lock, message)
                nursery.cancel_scope.cancel()
        except* (*_BROKEN, ValueError) as broken:
            log.info('MLB-6304', problem=repr(broken.exceptions[0]))
        await trio.aclose_forcefully(stream)

    def _take_digest(
        self, message: _messages.Message, digest: _messages.Digest
    ) -> None:
        before = self.heard_by_vm.get(message.vm)
        if before is None or before.incarnation != message.incarnation:
            log.info(
                'MLB-6302',
                peer=message.vm,
                incarnation=message.incarnation,
            )
        self.heard_by_vm[message.vm] = _Heard(
            message.incarnation, digest, self._clock()
        )
        self.add(Vm(message.vm, digest.host, digest.port))
        self._hear(message.vm, message.incarnation, digest)

    async def _reply(
        self,
        stream: trio.SocketStream,
        lock: trio.Lock,
        message: _messages.Message,
    ) -> None:
        body = await self._answer(message)
        if body is None:
            return
        async with lock:
            with trio.fail_after(SEND_TIMEOUT):
                await frames.send(stream, self.encode(body, message.request))

    def is_current(self, link: '_Link') -> bool:
        """Whether a link is still the one to its node."""
        return self._links_by_vm.get(link.vm.vm) is link


class _Link:
    """The connection to one other node."""

    def __init__(self, peers: Peers, vm: Vm, now: float) -> None:
        self._peers = peers
        self.vm = vm
        self._stream: trio.SocketStream | None = None
        self._send_lock = trio.Lock()
        self._last_request = 0
        self._reached_at = now
        self._waiting: dict[int, trio.MemorySendChannel[_messages.Body]] = {}

    async def run(self) -> None:
        while self._peers.is_current(self):
            try:
                self._stream = await _sockets.connect(
                    self.vm.host, self.vm.port, CONNECT_TIMEOUT
                )
            except OSError:
                # Reported once, as silence, by whoever needed the node.
                if self._is_given_up():
                    self._peers.remove(self.vm.vm)
                    return
                await trio.sleep(RECONNECT_PAUSE)
                continue
            try:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._send_digests)
                    await self._receive(self._stream)
                    nursery.cancel_scope.cancel()
            except* (*_BROKEN, ValueError) as broken:
                log.info(
                    'MLB-6305',
                    peer=self.vm.vm,
                    problem=repr(broken.exceptions[0]),
                )
            await trio.aclose_forcefully(self._stream)
            self._stream = None
            self._waiting.clear()
            await trio.sleep(RECONNECT_PAUSE / 5)

    def _is_given_up(self) -> bool:
        now = self._peers._clock()
        heard = self._peers.heard_by_vm.get(self.vm.vm)
        latest = max(self._reached_at, heard.at if heard else 0.0)
        return now - latest > FORGET_AFTER

    async def _send_digests(self) -> None:
        while True:
            await self._send(self._peers.digest())
            self._reached_at = self._peers._clock()
            await trio.sleep(self._peers.interval)

    async def _send(self, data: bytes) -> None:
        async with self._send_lock:
            if self._stream is None:
                raise BrokenPipeError('no link')
            # Shielded: half a message would spoil all that follow.
            with trio.fail_after(SEND_TIMEOUT) as scope:
                scope.shield = True
                await frames.send(self._stream, data)

    async def _receive(self, stream: trio.SocketStream) -> None:
        while (data := await frames.receive(stream)) is not None:
            message = _messages.decode(data)
            waiting = self._waiting.pop(message.request, None)
            if waiting is not None:
                waiting.send_nowait(message.body)

    async def tell(self, data: bytes) -> None:
        """Send a message if the link is up and free."""
        if self._stream is None or self._send_lock.locked():
            return
        try:
            await self._send(data)
        except _BROKEN as error:
            log.info('MLB-6305', peer=self.vm.vm, problem=repr(error))

    async def ask(
        self, body: _messages.Body, timeout: float
    ) -> _messages.Body | None:
        self._last_request += 1
        request = self._last_request
        send, receive = trio.open_memory_channel[_messages.Body](1)
        self._waiting[request] = send
        try:
            with trio.move_on_after(timeout):
                await self._send(self._peers.encode(body, request))
                return await receive.receive()
        except _BROKEN as error:
            log.info('MLB-6305', peer=self.vm.vm, problem=repr(error))
        finally:
            self._waiting.pop(request, None)
        return None
