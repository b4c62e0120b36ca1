"""The state of the fleet, exchanged through the hubs of each data centre.

Every node sends its digest (a heartbeat with its load) to the hubs of its
data centre. A hub aggregates the digests and sends the changes to its
subscribers. The nodes of its data centre receive the states of all data
centres from one hub; the hubs of other data centres receive only the state
of this one. A subscriber's own contribution is left out of its updates. A
hub learns about nodes that it has not seen yet from the other hubs.
"""

from collections import abc
import dataclasses

import structlog

from mustardlb_gateway import _aggregate
from mustardlb_gateway import _centres
from mustardlb_gateway import _counter_totals
from mustardlb_gateway import _membership
from mustardlb_gateway import _messages
from mustardlb_gateway import domain

log = structlog.get_logger()

# A feed moves to another hub after this time without an update. It spans
# three of the longest gaps between two updates at the present fleet size.
FEED_TIMEOUT_SECONDS = 1.2

# In a larger fleet, a feed times out after this many base intervals.
FEED_TIMEOUT_INTERVALS = 3

# A hub sends the first update on a new connection at once. It has at least
# this time for it, which includes opening the connection.
FIRST_UPDATE_SECONDS = 0.6

# The last state of a data centre expires after this many feed timeouts. Its
# hub has been replaced by then.
CENTRE_TTL_FEED_TIMEOUTS = 2

# Batch delays until a change that a hub has seen is known to its subscribers.
SPREAD_BATCH_DELAYS = 2.5

# Key of the summed loads of all data centres but the subscriber's own. A
# subscriber needs only the sum, and the sum has a fraction of the entries.
OTHER_CENTRES = ''


@dataclasses.dataclass(slots=True)
class _ReceivedDigest:
    """The last digest of a node."""

    incarnation: int
    sequence: int
    digest: _messages.Digest
    received_at: float


@dataclasses.dataclass(slots=True)
class Feed:
    """A subscription to a hub for the state of one or all data centres.

    :ivar incarnation: incarnation of the hub, 0 before its first update
    :ivar updated_at: when the hub was selected or last sent an update
    :ivar revisions: revision of the hub's copy of each kind of the store
    """

    hub: str
    updated_at: float
    incarnation: int = 0
    centres: dict[str, _centres.CentreState] = dataclasses.field(
        default_factory=dict
    )
    revisions: dict[str, int] = dataclasses.field(default_factory=dict)


class Fleet:
    """Aggregates the digests of nodes and the updates of hubs.

    :ivar view: state of each data centre without the local node
    :ivar asked_hubs: hubs of which it is being found out whether their
        connections are silent; their feeds are kept meanwhile
    """

    def __init__(
        self,
        membership: _membership.Membership,
        incarnation: int,
        make_digest: abc.Callable[[], _messages.Digest],
        clock: abc.Callable[[], float],
    ) -> None:
        self._membership = membership
        self._local_vm = membership.local_vm
        self._incarnation = incarnation
        self._make_digest = make_digest
        self._clock = clock
        self._digests_by_vm: dict[str, _ReceivedDigest] = {}
        self._feeds_by_centre: dict[str, Feed] = {}
        self._member_totals = _counter_totals.CounterTotals()
        self._totals_by_centre: dict[str, _counter_totals.CounterTotals] = {}
        self._received_by_centre: dict[
            str, tuple[_centres.CentreState, float]
        ] = {}
        self._aggregate: _aggregate.DigestAggregate | None = None
        self._aggregated_at = float('-inf')
        self._other_centres = _centres.CentreState()
        self.view: dict[str, _centres.CentreState] = {}
        self.asked_hubs: frozenset[str] = frozenset()

    def receive_digest(
        self, message: _messages.Message, digest: _messages.Digest
    ) -> None:
        """Store the digest of a node unless a later one has arrived."""
        self._membership.add(digest.vm(message.vm))
        previous = self._digests_by_vm.get(message.vm)
        if previous is None or previous.incarnation != message.incarnation:
            log.info(
                'MLB-6302', peer=message.vm, incarnation=message.incarnation
            )
        elif previous.sequence >= message.request:
            return
        self._digests_by_vm[message.vm] = _ReceivedDigest(
            message.incarnation, message.request, digest, self._clock()
        )
        self._membership.record_heartbeat(message.vm, digest.is_leaving)
        self._membership.mark_reachable(message.vm)
        if digest.data_centre == self._local_vm.data_centre:
            self._member_totals.update(
                message.vm, message.incarnation, digest.admitted
            )

    def select_feeds(self) -> dict[str, Feed]:
        """Return the feeds to subscribe to, by hub.

        A node subscribes to one hub of its data centre for all states. A
        hub subscribes to a hub of each other data centre, and to the other
        hub of its own for the list of nodes.
        """
        centres = {self._local_vm.data_centre}
        if self._membership.is_hub():
            centres = self._membership.data_centres()
        feeds = self._feeds_by_centre
        for centre in feeds.keys() - centres:
            del feeds[centre]
        for centre in centres:
            self._check_feed(centre)
        return {feed.hub: feed for feed in feeds.values()}

    def extend_feed(self, hub: str) -> None:
        """Give a hub time for an update on a new connection."""
        expected_by = self._clock() + FIRST_UPDATE_SECONDS
        for feed in self._feeds_by_centre.values():
            if feed.hub == hub:
                feed.updated_at = max(
                    feed.updated_at, expected_by - self._feed_timeout()
                )

    def _feed_timeout(self) -> float:
        return max(
            FEED_TIMEOUT_SECONDS,
            FEED_TIMEOUT_INTERVALS * self._membership.base_interval,
        )

    def _check_feed(self, centre: str) -> None:
        """Select a hub if the feed is new, timed out or lost its hub."""
        now = self._clock()
        feed = self._feeds_by_centre.get(centre)
        if (
            feed is not None
            and now - feed.updated_at > self._feed_timeout()
            and feed.hub not in self.asked_hubs
        ):
            log.info(
                'MLB-6306',
                peer=feed.hub,
                data_centre=centre,
                age=round(now - feed.updated_at, 3),
            )
            self._membership.mark_unreachable(feed.hub)
            # A new feed restarts the subscription even if no other hub
            # is available.
            feed = self._feeds_by_centre[centre] = Feed(feed.hub, now)
        hubs = self._membership.hubs(centre)
        hubs = [vm for vm in hubs if vm != self._local_vm.vm]
        if hubs and (feed is None or feed.hub not in hubs):
            vm = hubs[_membership.stable_hash(self._local_vm.vm) % len(hubs)]
            self._feeds_by_centre[centre] = Feed(vm, now)

    def receive_update(
        self, message: _messages.Message, update: _messages.Update
    ) -> bool:
        """Apply an update; return False if an earlier one was missed."""
        for feed_centre, feed in self._feeds_by_centre.items():
            if feed.hub != message.vm:
                continue
            if update.is_full:
                feed.centres = {}
            elif feed.incarnation != message.incarnation:
                return False
            feed.incarnation = message.incarnation
            feed.updated_at = self._clock()
            feed.revisions = update.revisions
            self._membership.mark_reachable(message.vm)
            for change in update.changes:
                before = feed.centres.get(change.data_centre)
                feed.centres[change.data_centre] = _centres.apply(
                    before or _centres.CentreState(), change
                )
            for centre, state in feed.centres.items():
                self._add_members(state)
                if self._is_authoritative(feed_centre, centre):
                    self._store_state(centre, state, feed)
        return True

    def _is_authoritative(self, feed_centre: str, data_centre: str) -> bool:
        """Whether a centre's state is taken from the feed of a centre.

        A hub takes the state of each other centre from that centre's feed,
        and aggregates the state of its own.
        """
        if not self._membership.is_hub():
            return True
        return feed_centre == data_centre != self._local_vm.data_centre

    def _add_members(self, state: _centres.CentreState) -> None:
        known = self._membership.vms_by_name
        for name, member in state.members.items():
            if known.get(name) != member.vm:
                self._membership.add(member.vm)

    def _store_state(
        self, name: str, state: _centres.CentreState, feed: Feed
    ) -> None:
        self._received_by_centre[name] = (state, feed.updated_at)
        totals = self._totals_by_centre.setdefault(
            name, _counter_totals.CounterTotals()
        )
        totals.update(name, (feed.hub, feed.incarnation), state.admitted)
        self._membership.record_heartbeats(state.members)

    def is_fresh(self, data_centre: str) -> bool:
        """Whether the state of a data centre is recent."""
        if self.aggregates_locally(data_centre):
            return True
        received = self._received_by_centre.get(data_centre)
        return received is not None and (
            self._clock() - received[1] <= self._feed_timeout()
        )

    def admitted(self, data_centre: str) -> dict[str, float]:
        """Return the cost admitted by a centre's other nodes, by account."""
        if self.aggregates_locally(data_centre):
            return self._member_totals.total_by_account
        totals = self._totals_by_centre.get(data_centre)
        return totals.total_by_account if totals is not None else {}

    def aggregates_locally(self, data_centre: str) -> bool:
        """Whether this node is a hub of that data centre."""
        return (
            data_centre == self._local_vm.data_centre
            and self._membership.is_hub()
        )

    def refresh_view(self) -> None:
        """Rebuild the view and the set of live nodes.

        The view of before a pause of this process is kept until the digests
        of the other nodes have arrived. Else this node would take itself for
        the only one, and the shares of all for its own.
        """
        if not self._membership.is_settled():
            return
        now = self._clock()
        ttl = CENTRE_TTL_FEED_TIMEOUTS * self._feed_timeout()
        self.view = {
            name: state if now - at <= ttl else _expired(state)
            for name, (state, at) in self._received_by_centre.items()
        }
        if self._membership.is_hub():
            self.view.pop(OTHER_CENTRES, None)
            self.view[self._local_vm.data_centre] = self._local_state(
                self._local_vm.vm
            )
            self._other_centres = self._sum_other_centres()
        members = {
            vm: member
            for centre in self.view.values()
            for vm, member in centre.members.items()
        }
        self._membership.set_live(members)
        self._membership.claimants = frozenset(
            vm for vm, member in members.items() if member.can_claim
        )
        self._membership.cut_off = frozenset(
            vm for vm, member in members.items() if member.is_cut_off
        )

    def _sum_other_centres(self) -> _centres.CentreState:
        """Return the loads and adapters in use of other data centres."""
        total = _centres.CentreState()
        for name, state in self.view.items():
            if name != self._local_vm.data_centre:
                loads = _centres.CentreState(
                    loads=state.loads, adapters_in_use=state.adapters_in_use
                )
                total = _centres.merge(total, loads)
        return total

    def incarnations(self) -> dict[str, int]:
        """Return the incarnation of each other live node."""
        return {
            name: member.incarnation
            for centre in self.view.values()
            for name, member in centre.members.items()
        }

    def others_reach_store(self) -> bool:
        """Whether another node has a working watch of the store."""
        return any(centre.is_watching for centre in self.view.values())

    def must_watch(self) -> bool:
        """Whether this node has to watch the store itself."""
        return self.followed_at() is None

    def followed_at(self) -> float | None:
        """Return when this node last heard of a node that watches the store.

        Returns None if it has to watch the store itself, since it is a hub or
        has heard of no such node for longer than updates may take. In a small
        fleet every node does, because a node whose watch has stalled notices
        late that the store responds only to other nodes.
        """
        if self._membership.is_hub() or self._membership.is_small:
            return None
        heard_at = max(
            (
                at
                for state, at in self._received_by_centre.values()
                if state.is_watching
            ),
            default=float('-inf'),
        )
        if self._clock() - heard_at > self._membership.update_timeout:
            return None
        return heard_at

    def spread_time(self) -> float:
        """Return the seconds until a change is known to all who follow.

        The hub tells of it in an update, and its subscriber fetches it.
        """
        if self._membership.is_small:
            return 0.0
        return SPREAD_BATCH_DELAYS * self._membership.batch_delay

    def state_for(self, subscriber: str) -> dict[str, _centres.CentreState]:
        """Return the states to send to a subscriber, by data centre."""
        own = self._local_vm.data_centre
        found = self._membership.vms_by_name.get(subscriber)
        is_same_centre = found is None or found.data_centre == own
        if not self._membership.is_hub():
            return self._relayed_state(subscriber)
        controlled = self._controlled_targets(subscriber, is_same_centre)
        states = {own: self._local_state(subscriber, controlled)}
        if not is_same_centre:
            return states
        for name, state in self.view.items():
            if name != own:
                states[name] = dataclasses.replace(
                    state,
                    admitted=dict(self.admitted(name)),
                    loads={},
                    adapters_in_use={},
                )
        states[OTHER_CENTRES] = dataclasses.replace(
            self._other_centres,
            adapters_in_use=_filter_targets(
                self._other_centres.adapters_in_use, controlled
            ),
        )
        return states

    def _controlled_targets(
        self, subscriber: str, is_same_centre: bool
    ) -> frozenset[str]:
        """Return the targets that a subscriber or its centre controls."""
        if is_same_centre:
            received = self._digests_by_vm.get(subscriber)
            holdings = received.digest.holdings if received else ()
            return frozenset(each.target_id for each in holdings)
        centre = self._membership.vms_by_name[subscriber].data_centre
        state = self.view.get(centre, _centres.CentreState())
        return frozenset(target_id for _, target_id in state.holdings)

    def _relayed_state(
        self, subscriber: str
    ) -> dict[str, _centres.CentreState]:
        """Return the view of this node, which is no hub itself.

        Nodes that cannot reach the hubs subscribe to it instead.
        """
        name = self._local_vm.data_centre
        digest = self._make_digest()
        local = _aggregate.DigestAggregate(
            {self._local_vm.vm: (self._incarnation, digest)}, digest
        )
        states = {
            centre: dataclasses.replace(
                state, admitted=dict(self.admitted(centre))
            )
            for centre, state in self.view.items()
        }
        states[name] = _centres.merge(
            states.get(name, _centres.CentreState()),
            local.centre_state(subscriber, 0, dict(digest.admitted), None),
        )
        states[name].members.pop(subscriber, None)
        return states

    def _local_state(
        self, subscriber: str, controlled: frozenset[str] | None = None
    ) -> _centres.CentreState:
        """Return the state of this data centre without a subscriber."""
        aggregate = self._current_aggregate()
        admitted = self._member_totals.total_without(subscriber)
        if subscriber != self._local_vm.vm:
            for account, cost in aggregate.own.admitted.items():
                admitted[account] = admitted.get(account, 0.0) + cost
        lost_count = sum(
            vm not in aggregate.members and vm != subscriber
            for vm in self._membership.recently_alive(
                self._local_vm.data_centre
            )
        )
        return aggregate.centre_state(
            subscriber, lost_count, admitted, controlled
        )

    def _current_aggregate(self) -> _aggregate.DigestAggregate:
        now = self._clock()
        if self._aggregate is not None and (
            now - self._aggregated_at < self._membership.batch_delay / 10
            or not self._membership.is_settled()
        ):
            return self._aggregate
        since = now - self._membership.stale_after
        members = {
            vm: (received.incarnation, received.digest)
            for vm, received in self._digests_by_vm.items()
            if received.received_at >= since
            and received.digest.data_centre == self._local_vm.data_centre
            and not received.digest.is_leaving
        }
        own = self._make_digest()
        members[self._local_vm.vm] = (self._incarnation, own)
        self._aggregate, self._aggregated_at = (
            _aggregate.DigestAggregate(members, own),
            now,
        )
        return self._aggregate


def _filter_targets(
    adapters_in_use: dict[str, frozenset[domain.AdapterName]],
    controlled: frozenset[str],
) -> dict[str, frozenset[domain.AdapterName]]:
    """Return the entries of the controlled targets."""
    return {
        key: adapters_in_use[key]
        for key in adapters_in_use.keys() & controlled
    }


def _expired(centre: _centres.CentreState) -> _centres.CentreState:
    """Return a state whose nodes count as lost, as it is out of date."""
    return _centres.CentreState(
        lost_count=centre.lost_count + len(centre.members),
        admitted=centre.admitted,
    )
