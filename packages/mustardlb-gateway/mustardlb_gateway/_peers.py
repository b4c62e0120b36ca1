"""What the nodes tell and ask each other."""

from collections import abc
import dataclasses
import itertools

import structlog
import trio

from mustardlb_gateway import _links
from mustardlb_gateway import _membership
from mustardlb_gateway import _messages
from mustardlb_gateway import _sockets

log = structlog.get_logger()

# Seconds to await an answer.
ANSWER_TIMEOUT = 1.5

# Seconds in which news are gathered before they are passed on in a small
# fleet; in a larger one, a part of the time between two digests.
RELAY_PAUSE = 0.05
RELAY_PART = 0.5

# In a larger fleet the second hub of a data centre repeats what the first
# has told only in every so many rounds.
SECOND_HUB_ROUNDS = 4

# Seconds between two looks at which links are needed.
LINK_PAUSE = 0.25

# Nodes up to which counts are told between two digests.
MOST_TOLD = 16

Answer = abc.Callable[
    [_messages.Message], abc.Awaitable[_messages.Body | None]
]
Hear = abc.Callable[[_messages.Message, _messages.Digest], None]
HearCounts = abc.Callable[[_messages.Message, _messages.Counts], None]


@dataclasses.dataclass(frozen=True, slots=True)
class _News:
    """The last digest, or the last counts, of a node."""

    incarnation: int
    sequence: int
    data: bytes


class Peers:
    """The other nodes of the fleet."""

    def __init__(
        self,
        membership: _membership.Membership,
        incarnation: int,
        make_digest: abc.Callable[[], _messages.Digest],
        hear: Hear,
        answer: Answer,
        hear_counts: HearCounts,
    ) -> None:
        self.membership = membership
        self.me = membership.me
        self.incarnation = incarnation
        self._make_digest = make_digest
        self._hear = hear
        self._answer = answer
        self._hear_counts = hear_counts
        self._sequence = itertools.count(1)
        self._news: dict[_links.NewsKey, _News] = {}
        self._has_news = trio.Event()
        self._channels_by_vm: dict[str, _links.Channel] = {}
        self._accepted: set[_links.Channel] = set()
        self._links: set[str] = set()
        self._nursery: trio.Nursery | None = None

    def alive(self) -> set[str]:
        """Return the nodes whose digests came lately, without this one."""
        return self.membership.alive()

    def hears_majority(self) -> bool:
        """Whether more than half of all known nodes were heard lately."""
        return self.membership.hears_majority()

    async def run(self, nursery: trio.Nursery) -> None:
        """Accept links and open those that are needed, until cancelled."""
        self._nursery = nursery
        listeners = await trio.open_tcp_listeners(
            self.me.port, host=self.me.host
        )
        nursery.start_soon(trio.serve_listeners, self._serve, listeners)
        nursery.start_soon(self._keep_links, nursery)
        nursery.start_soon(self._send_digests)
        nursery.start_soon(self._pass_on)

    def encode(self, body: _messages.Body, request: int = 0) -> bytes:
        """Return the bytes of a message from this node."""
        return _messages.encode(
            _messages.Message(self.me.vm, self.incarnation, request, body)
        )

    async def _keep_links(self, nursery: trio.Nursery) -> None:
        while True:
            self.membership.forget_lost()
            for vm in self.membership.neighbours() - self._links:
                self._links.add(vm)
                nursery.start_soon(self._link, vm)
            await trio.sleep(LINK_PAUSE)

    async def _link(self, name: str) -> None:
        """Keep a link to a neighbour while it is one."""
        while name in self.membership.neighbours():
            vm = self.membership.vms_by_name.get(name)
            if vm is None:
                break
            channel = await self._open(vm)
            if channel is None:
                self.membership.suspect(name)
                await trio.sleep(_links.RECONNECT_PAUSE)
                continue
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._introduce, channel)
                await self._run_channel(channel)
            await trio.sleep(_links.RECONNECT_PAUSE)
        self._links.discard(name)

    async def _introduce(self, channel: _links.Channel) -> None:
        """Say who dialled, so that the other end tells its news."""
        try:
            await channel.send(self.encode(self._make_digest()))
        except _links.BROKEN as error:
            log.info('MLB-6305', peer=channel.vm, problem=repr(error))

    async def _open(self, vm: _membership.Vm) -> _links.Channel | None:
        try:
            channel = await _links.open_channel(vm, self.encode)
        except OSError as error:
            log.info('MLB-6305', peer=vm.vm, problem=str(error))
            return None
        self._channels_by_vm[vm.vm] = channel
        self._has_news.set()
        return channel

    async def _run_channel(self, channel: _links.Channel) -> None:
        try:
            await channel.run(self._handle)
        except* _links.BROKEN as broken:
            log.info(
                'MLB-6305',
                peer=channel.vm,
                problem=repr(broken.exceptions[0]),
            )
        if self._channels_by_vm.get(channel.vm) is channel:
            del self._channels_by_vm[channel.vm]

    async def _serve(self, stream: trio.SocketStream) -> None:
        _sockets.tune(stream)
        channel = _links.Channel(stream, self.encode)
        self._accepted.add(channel)
        try:
            await channel.run(self._handle)
        except* _links.BROKEN as broken:
            log.info('MLB-6304', problem=repr(broken.exceptions[0]))
        finally:
            self._accepted.discard(channel)

    async def _handle(
        self, channel: _links.Channel, message: _messages.Message, data: bytes
    ) -> _messages.Body | None:
        match message.body:
            case _messages.Relayed():
                for each in message.body.messages:
                    self._take(_messages.decode(each), each)
                return None
            case _messages.Digest() | _messages.Counts():
                channel.vm = message.vm
                self._take(message, data)
                return None
        return await self._answer(message)

    def _take(self, message: _messages.Message, data: bytes) -> None:
        """Take a digest or counts, once, and keep it to be passed on."""
        key = (message.vm, type(message.body))
        known = self._news.get(key)
        if message.vm == self.me.vm or (
            known is not None
            and known.incarnation == message.incarnation
            and known.sequence >= message.request
        ):
            return
        if isinstance(message.body, _messages.Digest):
            self.membership.hear(message, message.body)
            self._hear(message, message.body)
        elif isinstance(message.body, _messages.Counts):
            self._hear_counts(message, message.body)
        self._add(key, _News(message.incarnation, message.request, data))

    def _add(self, key: _links.NewsKey, news: _News) -> None:
        self._news[key] = news
        self._has_news.set()

    async def _send_digests(self) -> None:
        while True:
            self._tell(self._make_digest())
            await trio.sleep(self.membership.interval)

    def tell_counts(self, counts: _messages.Counts) -> None:
        """Tell all nodes at once what was admitted, in a small fleet."""
        if len(self.membership.vms_by_name) <= MOST_TOLD:
            self._tell(counts)

    def _tell(self, body: _messages.Digest | _messages.Counts) -> None:
        sequence = next(self._sequence)
        data = self.encode(body, sequence)
        news = _News(self.incarnation, sequence, data)
        self._add((self.me.vm, type(body)), news)

    async def _pass_on(self) -> None:
        """Send news to the neighbours, and as a hub to those that dialled."""
        for number in itertools.count():
            await self._has_news.wait()
            self._has_news = trio.Event()
            async with trio.open_nursery() as nursery:
                for channel, keys in list(self._destinations(number)):
                    nursery.start_soon(self._send_news, channel, keys)
            pause = RELAY_PAUSE
            if len(self.membership.vms_by_name) > MOST_TOLD:
                pause = RELAY_PART * self.membership.interval
            await trio.sleep(pause)

    def _destinations(
        self, number: int
    ) -> abc.Iterator[tuple[_links.Channel, list[_links.NewsKey]]]:
        """Return each channel with the news that go that way."""
        is_hub = self.membership.is_hub()
        vms = self.membership.vms_by_name
        hubs = self.membership.hubs(self.me.data_centre)
        own = [key for key in self._news if key[0] == self.me.vm]
        if is_hub:
            own += [
                key
                for key in self._news
                if key[0] in vms
                and vms[key[0]].data_centre == self.me.data_centre
                and key[0] not in hubs
            ]
        for name, channel in self._channels_by_vm.items():
            if name not in self._links:
                continue
            is_led = is_hub and name in vms and name not in self._all_hubs()
            yield channel, list(self._news) if is_led else own
        if (
            len(vms) > MOST_TOLD
            and hubs[0] != self.me.vm
            and number % SECOND_HUB_ROUNDS
        ):
            return
        for channel in self._accepted:
            if channel.vm and channel.vm not in self._channels_by_vm:
                yield channel, list(self._news)

    def _all_hubs(self) -> set[str]:
        centres = {
            vm.data_centre for vm in self.membership.vms_by_name.values()
        }
        centres.add(self.me.data_centre)
        return {vm for each in centres for vm in self.membership.hubs(each)}

    async def _send_news(
        self, channel: _links.Channel, keys: list[_links.NewsKey]
    ) -> None:
        messages = []
        is_own = True
        for key in keys:
            news = self._news[key]
            place = (news.incarnation, news.sequence)
            if key[0] != channel.vm and channel.sent.get(key) != place:
                channel.sent[key] = place
                messages.append(news.data)
                is_own = is_own and key[0] == self.me.vm
        if not messages:
            return
        data = messages[0]
        if len(messages) > 1 or not is_own:
            data = self.encode(_messages.Relayed(tuple(messages)))
        try:
            await channel.send(data)
        except _links.BROKEN as error:
            log.info('MLB-6305', peer=channel.vm, problem=repr(error))

    async def ask(
        self, vm: str, body: _messages.Body, timeout: float = ANSWER_TIMEOUT
    ) -> _messages.Body | None:
        """Ask a node; None where it does not answer in time."""
        channel = self._channels_by_vm.get(vm)
        if channel is None:
            found = self.membership.vms_by_name.get(vm)
            if found is None or self._nursery is None:
                return None
            channel = await self._open(found)
            if channel is None:
                return None
            self._nursery.start_soon(self._run_while_used, channel)
        return await channel.ask(body, timeout)

    async def _run_while_used(self, channel: _links.Channel) -> None:
        """Keep a link that questions need until they end."""
        with channel.idle_scope:
            await self._run_channel(channel)
