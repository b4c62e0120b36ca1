"""Connections to the other nodes: what they tell and ask each other."""

from collections import abc
import itertools

import structlog
import trio

from mustardlb_gateway import _centres
from mustardlb_gateway import _fleet
from mustardlb_gateway import _links
from mustardlb_gateway import _membership
from mustardlb_gateway import _messages
from mustardlb_gateway import _sockets

log = structlog.get_logger()

# Seconds to await an answer.
ANSWER_TIMEOUT = 1.5

# Seconds between two looks at which links and feeds are needed.
LINK_PAUSE = 0.25


class Peers:
    """The other nodes of the fleet.

    `looked` is called after each look at what they tell, `revised` when
    one tells how far its copies of the store are, and `levels` and
    `know_levels` give and take what is left in the accounts' buckets.
    """

    def __init__(
        self,
        membership: _membership.Membership,
        fleet: _fleet.Fleet,
        incarnation: int,
        make_digest: abc.Callable[[], _messages.Digest],
        answer: _links.Answer,
        looked: abc.Callable[[], None],
        revised: abc.Callable[[str, dict[str, int]], None],
        levels: abc.Callable[[], dict[str, float]],
        know_levels: abc.Callable[[dict[str, float]], None],
    ) -> None:
        self.membership = membership
        self.fleet = fleet
        self.me = membership.me
        self.incarnation = incarnation
        self._make_digest = make_digest
        self._answer = answer
        self._looked = looked
        self._revised = revised
        self._levels = levels
        self._know_levels = know_levels
        self._sequence = itertools.count(1)
        self._news = trio.Event()
        self._must_tell = trio.Event()
        self._channels_by_vm: dict[str, _links.Channel] = {}
        self._links: set[str] = set()
        self._nursery: trio.Nursery | None = None

    def alive(self) -> frozenset[str]:
        """Return the nodes that live, without this one."""
        return self.membership.live

    def hears_majority(self) -> bool:
        """Whether more than half of all known nodes live."""
        return self.membership.hears_majority()

    async def run(self, nursery: trio.Nursery) -> None:
        """Accept links and open those that are needed, until cancelled."""
        self._nursery = nursery
        listeners = await trio.open_tcp_listeners(
            self.me.port, host=self.me.host
        )
        nursery.start_soon(trio.serve_listeners, self._serve, listeners)
        nursery.start_soon(self._keep_links, nursery)
        nursery.start_soon(self._tell)
        nursery.start_soon(self._look)

    def encode(self, body: _messages.Body, request: int = 0) -> bytes:
        """Return the bytes of a message from this node."""
        return _messages.encode(
            _messages.Message(self.me.vm, self.incarnation, request, body)
        )

    async def _keep_links(self, nursery: trio.Nursery) -> None:
        while True:
            self.membership.forget_lost()
            wanted = self.fleet.wanted_feeds()
            for vm in self.membership.neighbours() - self._links:
                self._links.add(vm)
                nursery.start_soon(self._link, vm)
            for vm, channel in list(self._channels_by_vm.items()):
                if channel.feed is not wanted.get(vm):
                    nursery.start_soon(
                        self._subscribe, channel, wanted.get(vm)
                    )
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
            self.membership.trust(name)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._introduce, channel)
                await self._run_channel(channel)
            await trio.sleep(_links.RECONNECT_PAUSE)
        self._links.discard(name)

    async def _introduce(self, channel: _links.Channel) -> None:
        """Say who dialled, and ask for updates where they are wanted."""
        digest = self._make_digest()
        await self._send(channel, self.encode(digest, next(self._sequence)))
        feed = self.fleet.wanted_feeds().get(channel.vm)
        if feed is not None:
            await self._subscribe(channel, feed)

    async def _subscribe(
        self, channel: _links.Channel, feed: _fleet.Feed | None
    ) -> None:
        """Ask for a feed from its beginning, or for none any more."""
        channel.feed = feed
        message = _messages.Subscription(feed is not None)
        await self._send(channel, self.encode(message))

    async def _open(self, vm: _centres.Vm) -> _links.Channel | None:
        try:
            channel = await _links.open_channel(vm, self.encode)
        except OSError as error:
            log.info('MLB-6305', peer=vm.vm, problem=str(error))
            return None
        self._channels_by_vm[vm.vm] = channel
        return channel

    async def _run_channel(self, channel: _links.Channel) -> None:
        try:
            await channel.run(self._hear, self._answer)
        except* _links.BROKEN as broken:
            log.info(
                'MLB-6305',
                peer=channel.vm,
                problem=repr(broken.exceptions[0]),
            )
        if self._channels_by_vm.get(channel.vm) is channel:
            del self._channels_by_vm[channel.vm]

    async def _serve(self, stream: trio.SocketStream) -> None:
        _sockets.set_tcp_options(stream)
        channel = _links.Channel(stream, self.encode)
        try:
            await channel.run(self._hear, self._answer)
        except* _links.BROKEN as broken:
            log.info('MLB-6304', problem=repr(broken.exceptions[0]))

    async def _send(self, channel: _links.Channel, data: bytes) -> None:
        try:
            await channel.send(data)
        except _links.BROKEN as error:
            log.info('MLB-6305', peer=channel.vm, problem=repr(error))

    def _hear(
        self, channel: _links.Channel, message: _messages.Message
    ) -> None:
        match message.body:
            case _messages.Digest():
                channel.vm = message.vm
                self.fleet.hear_digest(message, message.body)
                self._revised(message.vm, message.body.revisions)
            case _messages.Subscription():
                channel.vm = message.vm
                channel.subscriptions += 1
                if message.body.is_wanted and self._nursery is not None:
                    self._nursery.start_soon(
                        self._serve_feed, channel, channel.subscriptions
                    )
                return
            case _messages.Update():
                self._hear_update(channel, message, message.body)
        self._note_news()

    def _hear_update(
        self,
        channel: _links.Channel,
        message: _messages.Message,
        update: _messages.Update,
    ) -> None:
        if not self.fleet.hear_update(message, update):
            # Asked for anew, from a full one on.
            channel.feed = None
            return
        if update.is_full:
            self._know_levels(update.levels)
        self._revised(message.vm, update.revisions)

    def _note_news(self) -> None:
        self._news.set()
        self._news = trio.Event()

    def tell_now(self) -> None:
        """Send a digest without awaiting its time, in a small fleet."""
        if self.membership.is_small:
            self._must_tell.set()

    async def _tell(self) -> None:
        """Send digests to the hubs: what changed, or that nothing did."""
        told: _messages.Digest | None = None
        told_at = float('-inf')
        while True:
            self._must_tell = trio.Event()
            digest = self._make_digest()
            now = trio.current_time()
            quiet = _membership.QUIET_INTERVALS * self.membership.interval
            if digest != told or now - told_at >= quiet:
                told, told_at = digest, now
                self._tell_hubs(digest)
                self._note_news()
            with trio.move_on_after(self.membership.pause):
                await self._must_tell.wait()

    def _tell_hubs(self, digest: _messages.Digest) -> None:
        hubs = self.membership.hubs(self.me.data_centre)
        channels = [
            channel
            for vm, channel in self._channels_by_vm.items()
            if vm in hubs
        ]
        if not channels or self._nursery is None:
            return
        data = self.encode(digest, next(self._sequence))
        for channel in channels:
            self._nursery.start_soon(self._send, channel, data)

    async def _serve_feed(self, channel: _links.Channel, number: int) -> None:
        """Tell a subscriber what changes, until it asks anew or is gone."""
        told: dict[str, _centres.Centre] = {}
        told_at = float('-inf')
        revisions: dict[str, int] = {}
        is_full = True
        while channel.is_open and channel.subscriptions == number:
            news = self._news
            fresh = self.fleet.told_to(channel.vm)
            update = _messages.Update(
                is_full,
                self._make_digest().revisions,
                self._changes(told, fresh),
                self._levels() if is_full else {},
            )
            now = trio.current_time()
            quiet = _membership.QUIET_INTERVALS * self.membership.interval
            if (
                update.changes
                or update.revisions != revisions
                or now - told_at >= quiet
            ):
                await self._send(channel, self.encode(update))
                told, told_at, is_full = fresh, now, False
                revisions = update.revisions
            await trio.sleep(self.membership.pause)
            with trio.move_on_after(self.membership.interval):
                await news.wait()

    @staticmethod
    def _changes(
        told: dict[str, _centres.Centre], fresh: dict[str, _centres.Centre]
    ) -> tuple[_centres.CentreChange, ...]:
        nothing = _centres.Centre()
        found = (
            _centres.difference(
                name, told.get(name, nothing), fresh.get(name, nothing)
            )
            for name in told | fresh
        )
        return tuple(change for change in found if change is not None)

    async def _look(self) -> None:
        """Take what the others tell, soon after each of their messages."""
        while True:
            news = self._news
            self.fleet.look()
            self._looked()
            await trio.sleep(self.membership.pause)
            with trio.move_on_after(self.membership.interval):
                await news.wait()

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
