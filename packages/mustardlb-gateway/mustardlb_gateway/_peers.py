"""Exchange of digests, updates and requests with the other nodes."""

from collections import abc
import itertools
import math

import structlog
import trio

from mustardlb_gateway import _centres
from mustardlb_gateway import _crashes
from mustardlb_gateway import _fleet
from mustardlb_gateway import _membership
from mustardlb_gateway import _message_codec
from mustardlb_gateway import _messages
from mustardlb_gateway import _peer_channel
from mustardlb_gateway import _reachability
from mustardlb_gateway import _relay
from mustardlb_gateway import _silence
from mustardlb_gateway import _sockets
from mustardlb_gateway import _target_limits
from mustardlb_gateway import _target_links
from mustardlb_gateway import _timers
from mustardlb_gateway import domain

log = structlog.get_logger()

RESPONSE_TIMEOUT_SECONDS = 1.5

# Interval at which the needed connections and feeds are checked.
CONNECTION_CHECK_SECONDS = 0.25

# A connection to a neighbour on which nothing was received for this many base
# intervals is checked. They grow with the fleet, as does the number of nodes
# that check a hub.
QUIET_INTERVALS = 2


class Peers:
    """The other nodes of the fleet.

    `on_view_refresh` is called after each refresh of the fleet's view and
    `on_revisions` with the revisions of a node's copies of the store and
    their epoch.
    `get_levels` returns the levels of the accounts' buckets, and
    `on_levels` is called with those of another node. `get_evidence` and
    `get_limits` return what is known about crashes and limits of targets;
    `on_target_observations` is called with what another node knows, and
    `serve_relay` with a connection that another node asks to relay.
    """

    def __init__(
        self,
        membership: _membership.Membership,
        fleet: _fleet.Fleet,
        incarnation: int,
        make_digest: abc.Callable[[], _messages.Digest],
        handle_request: _peer_channel.RequestHandler,
        on_view_refresh: abc.Callable[[], None],
        on_revisions: abc.Callable[[str, dict[str, int], int], None],
        get_levels: abc.Callable[[], dict[str, float]],
        on_levels: abc.Callable[[dict[str, float]], None],
        get_evidence: abc.Callable[[], _crashes.Evidence],
        get_limits: abc.Callable[[], _target_limits.NoticesByKey],
        on_target_observations: abc.Callable[
            [_crashes.Evidence, _target_limits.NoticesByKey], None
        ],
        serve_relay: abc.Callable[
            [trio.SocketStream, str, _messages.Relay], abc.Awaitable[None]
        ],
    ) -> None:
        self.membership = membership
        self.fleet = fleet
        self.local_vm = membership.local_vm
        self.incarnation = incarnation
        self._make_digest = make_digest
        self._handle_request = handle_request
        self._on_view_refresh = on_view_refresh
        self._on_revisions = on_revisions
        self._get_levels = get_levels
        self._on_levels = on_levels
        self._get_evidence = get_evidence
        self._get_limits = get_limits
        self._on_target_observations = on_target_observations
        self._serve_relay = serve_relay
        self._sequence = itertools.count(1)
        self._changed = trio.Event()
        self._send_requested = trio.Event()
        # The connections that this node has opened, and the one to use to
        # each node.
        self._channels: set[_peer_channel.Channel] = set()
        self._channels_by_vm: dict[str, _peer_channel.Channel] = {}
        self._connected_vms: set[str] = set()
        # The connection with the last subscription of each node.
        self._subscribers_by_vm: dict[str, _peer_channel.Channel] = {}
        self._nursery: trio.Nursery | None = None

    def alive(self) -> frozenset[str]:
        """Return the live nodes without this one."""
        return self.membership.live

    def claimants(self) -> frozenset[str]:
        """Return the live nodes that can claim leases in the store."""
        return self.membership.claimants

    def others_reach_store(self) -> bool:
        """Whether another node has a working watch of the store."""
        return self.fleet.others_reach_store()

    def has_quorum(self) -> bool:
        """Whether this node reaches a majority of the nodes."""
        return self.membership.has_quorum()

    async def run(self, nursery: trio.Nursery) -> None:
        """Start tasks that accept connections and open the needed ones."""
        self._nursery = nursery
        listeners = await trio.open_tcp_listeners(
            self.local_vm.port, host=self.local_vm.host
        )
        nursery.start_soon(trio.serve_listeners, self._serve, listeners)
        nursery.start_soon(self._maintain_connections, nursery)
        nursery.start_soon(self._send_digests)
        nursery.start_soon(self._refresh_view)

    def encode(self, body: _messages.Body, request: int = 0) -> bytes:
        """Return the bytes of a message from this node.

        The receiver of a response knows whom it asked.
        """
        if isinstance(body, _messages.RESPONSES):
            return _message_codec.encode(
                _messages.Message('', 0, request, body)
            )
        return _message_codec.encode(
            _messages.Message(
                self.local_vm.vm, self.incarnation, request, body
            )
        )

    async def _maintain_connections(self, nursery: trio.Nursery) -> None:
        while True:
            self.membership.remove_lost()
            self._check_channels(nursery)
            feeds = self.fleet.select_feeds()
            for vm in self.membership.neighbours() - self._connected_vms:
                self._connected_vms.add(vm)
                nursery.start_soon(self._maintain_connection, vm)
            for vm, channel in list(self._channels_by_vm.items()):
                if channel.feed is not feeds.get(vm):
                    nursery.start_soon(self._subscribe, channel, feeds.get(vm))
            await _timers.sleep(CONNECTION_CHECK_SECONDS)

    def _check_channels(self, nursery: trio.Nursery) -> None:
        """Replace the connections that are silent though a message is due.

        Neighbours get digests, so that it has to be known whether these
        arrive. Other connections only carry requests. A hub whose connection
        has worked keeps its feed, since the counters of another one would
        add nothing at first.
        """
        asked: set[str] = set()
        quiet_seconds = QUIET_INTERVALS * self.membership.base_interval
        # The first check finds what was received since the last one.
        checks_until_due = max(
            1, math.ceil(quiet_seconds / CONNECTION_CHECK_SECONDS) - 1
        )
        neighbours = self.membership.neighbours()
        for channel in list(self._channels):
            action = channel.check(
                checks_until_due if channel.vm in neighbours else None
            )
            if action is _silence.Action.NONE:
                continue
            if channel.has_received:
                asked.add(channel.vm)
            if action is _silence.Action.ASK:
                nursery.start_soon(self._ask, channel)
            elif action is _silence.Action.CLOSE:
                self._remove_channel(channel)
                if channel.has_received:
                    self.fleet.extend_feed(channel.vm)
                nursery.start_soon(channel.close)
        self.fleet.asked_hubs = frozenset(asked)

    async def _ask(self, channel: _peer_channel.Channel) -> None:
        try:
            await channel.ask()
        except _peer_channel.CONNECTION_ERRORS as error:
            log.info('MLB-6305', peer=channel.vm, problem=repr(error))

    def _remove_channel(self, channel: _peer_channel.Channel) -> None:
        self._channels.discard(channel)
        if self._channels_by_vm.get(channel.vm) is channel:
            del self._channels_by_vm[channel.vm]

    async def _maintain_connection(self, name: str) -> None:
        """Keep a node connected as long as it is a neighbour."""
        while name in self.membership.neighbours():
            vm = self.membership.vms_by_name.get(name)
            if vm is None:
                break
            channel = await self._open_channel(vm)
            if channel is None:
                self.membership.mark_unreachable(name)
                await trio.sleep(_peer_channel.RECONNECT_DELAY_SECONDS)
                continue
            self._channels_by_vm[name] = channel
            self.membership.mark_reachable(name)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._identify, channel)
                is_silent = await self._run_channel(channel)
            if not is_silent:
                await trio.sleep(_peer_channel.RECONNECT_DELAY_SECONDS)
        self._connected_vms.discard(name)

    async def _identify(self, channel: _peer_channel.Channel) -> None:
        """Send a digest, which names this node, and subscribe if needed."""
        digest = self._make_digest()
        await self._send(channel, self.encode(digest, next(self._sequence)))
        feed = self.fleet.select_feeds().get(channel.vm)
        if feed is not None:
            await self._subscribe(channel, feed)

    async def _subscribe(
        self, channel: _peer_channel.Channel, feed: _fleet.Feed | None
    ) -> None:
        """Start a feed with a full update, or end the current one."""
        channel.feed = feed
        message = _messages.Subscription(feed is not None)
        await self._send(channel, self.encode(message))

    async def _open_channel(
        self, vm: _centres.Vm
    ) -> _peer_channel.Channel | None:
        try:
            channel = await _peer_channel.open_channel(vm, self.encode)
        except OSError as error:
            log.info('MLB-6305', peer=vm.vm, problem=str(error))
            return None
        self._channels.add(channel)
        return channel

    async def _run_channel(self, channel: _peer_channel.Channel) -> bool:
        """Run until the end; return whether it was closed as silent."""
        try:
            await channel.run(self._handle_message, self._handle_request)
        except* _peer_channel.CONNECTION_ERRORS as errors:
            log.info(
                'MLB-6305',
                peer=channel.vm,
                problem=repr(errors.exceptions[0]),
            )
        is_silent = channel not in self._channels
        self._remove_channel(channel)
        return is_silent

    async def _serve(self, stream: trio.SocketStream) -> None:
        _sockets.set_tcp_options(stream)
        channel = _peer_channel.Channel(stream, self.encode)
        relay: _messages.Message | None = None
        try:
            relay = await channel.run(
                self._handle_message, self._handle_request
            )
        except* _peer_channel.CONNECTION_ERRORS as errors:
            log.info('MLB-6304', problem=repr(errors.exceptions[0]))
        if self._subscribers_by_vm.get(channel.vm) is channel:
            del self._subscribers_by_vm[channel.vm]
        if relay is not None and isinstance(relay.body, _messages.Relay):
            await self._serve_relay(stream, relay.vm, relay.body)

    async def _send(self, channel: _peer_channel.Channel, data: bytes) -> None:
        try:
            await channel.send(data)
        except _peer_channel.CONNECTION_ERRORS as error:
            log.info('MLB-6305', peer=channel.vm, problem=repr(error))

    def _handle_message(
        self, channel: _peer_channel.Channel, message: _messages.Message
    ) -> None:
        match message.body:
            case _messages.Digest():
                channel.vm = message.vm
                self.fleet.receive_digest(message, message.body)
                self._on_revisions(
                    message.vm, message.body.revisions, message.body.epoch
                )
                self._on_target_observations(
                    message.body.crash_evidence, message.body.target_limits
                )
            case _messages.Subscription():
                channel.vm = message.vm
                channel.subscriptions += 1
                if message.body.is_wanted and self._nursery is not None:
                    self._replace_subscriber(channel)
                    self._nursery.start_soon(
                        self._serve_subscription,
                        channel,
                        channel.subscriptions,
                    )
                return
            case _messages.Update():
                self._handle_update(channel, message, message.body)
        self._notify_changed()

    def _replace_subscriber(self, channel: _peer_channel.Channel) -> None:
        """End the feed on a node's earlier connection, which may be silent."""
        previous = self._subscribers_by_vm.get(channel.vm)
        if previous is not None and previous is not channel:
            previous.subscriptions += 1
        self._subscribers_by_vm[channel.vm] = channel

    def _handle_update(
        self,
        channel: _peer_channel.Channel,
        message: _messages.Message,
        update: _messages.Update,
    ) -> None:
        self._on_target_observations(
            update.crash_evidence, update.target_limits
        )
        if not self.fleet.receive_update(message, update):
            # The next connection check then renews the subscription, which
            # starts with a full update.
            channel.feed = None
            return
        if update.is_full:
            self._on_levels(update.levels)
        self._on_revisions(message.vm, update.revisions, update.epoch)

    def _notify_changed(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    def send_digest_now(self) -> None:
        """Send a digest before the batch delay ends, in a small fleet."""
        if self.membership.is_small:
            self._send_requested.set()

    async def _send_digests(self) -> None:
        """Send a digest to the hubs on each change and as a heartbeat."""
        sent: _messages.Digest | None = None
        sent_at = float('-inf')
        while True:
            self._send_requested = trio.Event()
            digest = self._make_digest()
            now = trio.current_time()
            heartbeat_seconds = (
                _membership.HEARTBEAT_INTERVALS * self.membership.base_interval
            )
            if digest != sent or now - sent_at >= heartbeat_seconds:
                sent, sent_at = digest, now
                self._send_to_hubs(digest)
                self._notify_changed()
            deadline = _timers.deadline_after(
                self.membership.batch_delay, trio.current_time()
            )
            with trio.move_on_at(deadline):
                await self._send_requested.wait()

    def _send_to_hubs(self, digest: _messages.Digest) -> None:
        hubs = self.membership.hubs(self.local_vm.data_centre)
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

    async def _serve_subscription(
        self, channel: _peer_channel.Channel, subscription: int
    ) -> None:
        """Send changes until the subscription is replaced or ended."""
        sent: dict[str, _centres.CentreState] = {}
        sent_at = float('-inf')
        sent_revisions: tuple[dict[str, int], int] = {}, 0
        sent_evidence = _crashes.Evidence()
        sent_limits: _target_limits.NoticesByKey = {}
        is_full = True
        while channel.is_open and channel.subscriptions == subscription:
            changed = self._changed
            current = self.fleet.state_for(channel.vm)
            evidence, limits = self._get_evidence(), self._get_limits()
            digest = self._make_digest()
            revisions = digest.revisions, digest.epoch
            update = _messages.Update(
                is_full,
                digest.revisions,
                self._diff_states(sent, current),
                self._get_levels() if is_full else {},
                _crashes.unsent(sent_evidence, evidence),
                _target_limits.unsent(sent_limits, limits),
                digest.epoch,
            )
            now = trio.current_time()
            heartbeat_seconds = (
                _membership.HEARTBEAT_INTERVALS * self.membership.base_interval
            )
            if (
                update.changes
                or update.crash_evidence
                or update.target_limits
                or revisions != sent_revisions
                or now - sent_at >= heartbeat_seconds
            ):
                await self._send(channel, self.encode(update))
                sent, sent_at, is_full = current, now, False
                sent_revisions = revisions
                sent_evidence, sent_limits = evidence, limits
            await _timers.sleep(self.membership.batch_delay)
            with trio.move_on_after(self.membership.base_interval):
                await changed.wait()

    @staticmethod
    def _diff_states(
        sent: dict[str, _centres.CentreState],
        current: dict[str, _centres.CentreState],
    ) -> tuple[_centres.CentreDelta, ...]:
        empty = _centres.CentreState()
        deltas = (
            _centres.diff(
                name, sent.get(name, empty), current.get(name, empty)
            )
            for name in sent | current
        )
        return tuple(delta for delta in deltas if delta is not None)

    async def _refresh_view(self) -> None:
        """Refresh the fleet's view soon after each message."""
        while True:
            changed = self._changed
            self.fleet.refresh_view()
            self._on_view_refresh()
            await _timers.sleep(self.membership.batch_delay)
            with trio.move_on_after(self.membership.base_interval):
                await changed.wait()

    async def request(
        self,
        vm: str,
        body: _messages.Body,
        timeout: float = RESPONSE_TIMEOUT_SECONDS,
    ) -> _messages.Body | None:
        """Send a request; return None if there is no response in time."""
        with trio.move_on_after(timeout):
            channel = await self._request_channel(vm)
            if channel is not None:
                return await channel.request(body, timeout)
        return None

    def notify(self, vm: str, body: _messages.Body) -> None:
        """Send a message without a response; it is lost if that fails."""
        if self._nursery is not None:
            self._nursery.start_soon(self._send_notification, vm, body)

    async def _send_notification(self, vm: str, body: _messages.Body) -> None:
        channel = await self._request_channel(vm)
        if channel is not None:
            await self._send(channel, self.encode(body))

    async def _request_channel(self, vm: str) -> _peer_channel.Channel | None:
        """Return a channel to a node, opened if there is none."""
        channel = self._channels_by_vm.get(vm)
        if channel is not None and channel.is_open:
            return channel
        found = self.membership.vms_by_name.get(vm)
        if found is None or self._nursery is None:
            return None
        channel = await self._open_channel(found)
        if channel is not None:
            # A connection to a neighbour, which carries the digests as well,
            # may have been opened meanwhile. It is not replaced by this one,
            # which ends when idle.
            current = self._channels_by_vm.get(vm)
            if current is None or not current.is_open:
                self._channels_by_vm[vm] = channel
            self._nursery.start_soon(self._run_until_idle, channel)
        return channel

    async def relay(
        self, vm: str, target: domain.Target
    ) -> _target_links.Relayed:
        """Ask a node to connect to a target."""
        found = self.membership.vms_by_name.get(vm)
        if found is None:
            return _target_links.Relayed(
                _reachability.RelayOutcome.NO_RESPONSE
            )
        return await _relay.open_relay(found, target, self.encode)

    async def _run_until_idle(self, channel: _peer_channel.Channel) -> None:
        """Keep a connection that was opened for requests until idle."""
        with channel.idle_scope:
            await self._run_channel(channel)
