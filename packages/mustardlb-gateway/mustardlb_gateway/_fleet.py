"""What this node knows of the fleet, and what it tells to whom.

Every node tells the hubs of its data centre what it does (a digest). A hub
sums the digests up and tells the changes to whoever subscribed: the nodes of
its data centre, which take all centres from one hub, and the hubs of the
other centres, which take this one alone. Each reader's own part is left out
of what it is told. A hub that does not know of all nodes yet meets them
through the other hubs.
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

# Seconds without an update after which a feed is taken from another hub:
# three of the longest pauses between two updates of a fleet of today's size.
FEED_SILENCE = 1.2

# Pauses between two updates that make a feed silent in a larger fleet.
MISSED_UPDATES = 3

# Feed times after which the last state of a data centre no longer tells
# which nodes live: its hub is replaced by then.
CENTRE_SILENCE = 2


# Stands for all data centres but the reader's own: their loads, added up. A
# reader sums over all anyway, and is told a fraction of the entries.
ELSEWHERE = ''


@dataclasses.dataclass(slots=True)
class _Heard:
    """The last digest of a node."""

    incarnation: int
    sequence: int
    digest: _messages.Digest
    at: float


@dataclasses.dataclass(slots=True)
class Feed:
    """Where this node takes the state of one or all data centres from.

    :ivar incarnation: of the hub's process, 0 before its first update
    :ivar at: when it was chosen or last heard
    :ivar revisions: of the hub's copies of the store, by kind
    """

    vm: str
    at: float
    incarnation: int = 0
    centres: dict[str, _centres.CentreState] = dataclasses.field(
        default_factory=dict
    )
    revisions: dict[str, int] = dataclasses.field(default_factory=dict)


class Fleet:
    """Digests of nodes, feeds of hubs, and the sums of both.

    :ivar view: state of each data centre without this node
    """

    def __init__(
        self,
        membership: _membership.Membership,
        incarnation: int,
        make_digest: abc.Callable[[], _messages.Digest],
        clock: abc.Callable[[], float],
    ) -> None:
        self._membership = membership
        self._me = membership.local_vm
        self._incarnation = incarnation
        self._make_digest = make_digest
        self._clock = clock
        self._heard_by_vm: dict[str, _Heard] = {}
        self._feeds_by_centre: dict[str, Feed] = {}
        self._members_tally = _counter_totals.CounterTotals()
        self._tally_by_centre: dict[str, _counter_totals.CounterTotals] = {}
        self._told_by_centre: dict[
            str, tuple[_centres.CentreState, float]
        ] = {}
        self._aggregate: _aggregate.DigestAggregate | None = None
        self._sums_at = float('-inf')
        self._elsewhere = _centres.CentreState()
        self.view: dict[str, _centres.CentreState] = {}

    def receive_digest(
        self, message: _messages.Message, digest: _messages.Digest
    ) -> None:
        """Take the digest of a node, unless a later one is known."""
        self._membership.add(digest.vm(message.vm))
        known = self._heard_by_vm.get(message.vm)
        if known is None or known.incarnation != message.incarnation:
            log.info(
                'MLB-6302', peer=message.vm, incarnation=message.incarnation
            )
        elif known.sequence >= message.request:
            return
        self._heard_by_vm[message.vm] = _Heard(
            message.incarnation, message.request, digest, self._clock()
        )
        self._membership.record_heartbeat(message.vm, digest.is_leaving)
        self._membership.mark_reachable(message.vm)
        if digest.data_centre == self._me.data_centre:
            self._members_tally.hear(
                message.vm, message.incarnation, digest.admitted
            )

    def select_feeds(self) -> dict[str, Feed]:
        """Return the feeds to subscribe to, by the hub they come from.

        A node takes all centres from a hub of its own; a hub takes each
        other centre from a hub there, and learns from the other hub of its
        own which nodes there are.
        """
        centres = {self._me.data_centre}
        if self._membership.is_hub():
            centres = self._membership.data_centres()
        feeds = self._feeds_by_centre
        for centre in feeds.keys() - centres:
            del feeds[centre]
        for centre in centres:
            self._check_feed(centre)
        return {feed.vm: feed for feed in feeds.values()}

    def _feed_silence(self) -> float:
        return max(
            FEED_SILENCE, MISSED_UPDATES * self._membership.base_interval
        )

    def _check_feed(self, centre: str) -> None:
        """Take a feed from another hub where its own does not serve."""
        now = self._clock()
        feed = self._feeds_by_centre.get(centre)
        if feed is not None and now - feed.at > self._feed_silence():
            log.info(
                'MLB-6306',
                peer=feed.vm,
                data_centre=centre,
                age=round(now - feed.at, 3),
            )
            self._membership.mark_unreachable(feed.vm)
            # Asked for anew, also where there is no other hub.
            feed = self._feeds_by_centre[centre] = Feed(feed.vm, now)
        hubs = self._membership.hubs(centre)
        hubs = [vm for vm in hubs if vm != self._me.vm]
        if hubs and (feed is None or feed.vm not in hubs):
            vm = hubs[_membership.stable_hash(self._me.vm) % len(hubs)]
            self._feeds_by_centre[centre] = Feed(vm, now)

    def receive_update(
        self, message: _messages.Message, update: _messages.Update
    ) -> bool:
        """Take what a hub tells; False where it builds on what was missed."""
        for name, feed in self._feeds_by_centre.items():
            if feed.vm != message.vm:
                continue
            if update.is_full:
                feed.centres = {}
            elif feed.incarnation != message.incarnation:
                return False
            feed.incarnation = message.incarnation
            feed.at = self._clock()
            feed.revisions = update.revisions
            self._membership.mark_reachable(message.vm)
            for change in update.changes:
                before = feed.centres.get(change.data_centre)
                feed.centres[change.data_centre] = _centres.apply(
                    before or _centres.CentreState(), change
                )
            for centre, state in feed.centres.items():
                self._meet(state)
                if self._is_taken(name, centre):
                    self._take(centre, state, feed)
        return True

    def _is_taken(self, feed: str, data_centre: str) -> bool:
        """Whether a feed is the one that tells a data centre's state."""
        if not self._membership.is_hub():
            return True
        return feed == data_centre != self._me.data_centre

    def _meet(self, state: _centres.CentreState) -> None:
        for member in state.members.values():
            self._membership.add(member.vm)

    def _take(
        self, name: str, state: _centres.CentreState, feed: Feed
    ) -> None:
        self._told_by_centre[name] = (state, feed.at)
        tally = self._tally_by_centre.setdefault(
            name, _counter_totals.CounterTotals()
        )
        tally.hear(name, (feed.vm, feed.incarnation), state.admitted)
        for vm in state.members:
            self._membership.record_heartbeat(vm)

    def is_fresh(self, data_centre: str) -> bool:
        """Whether the state of a data centre was told lately."""
        if self.aggregates_locally(data_centre):
            return True
        told = self._told_by_centre.get(data_centre)
        return told is not None and (
            self._clock() - told[1] <= self._feed_silence()
        )

    def admitted(self, data_centre: str) -> dict[str, float]:
        """Return what the others of a data centre admitted, by account."""
        if self.aggregates_locally(data_centre):
            return self._members_tally.total
        tally = self._tally_by_centre.get(data_centre)
        return tally.total if tally is not None else {}

    def aggregates_locally(self, data_centre: str) -> bool:
        """Whether this node is a hub of a data centre."""
        return (
            data_centre == self._me.data_centre and self._membership.is_hub()
        )

    def refresh_view(self) -> None:
        """Bring the view up to date, and the set of live nodes with it."""
        now = self._clock()
        longest = CENTRE_SILENCE * self._feed_silence()
        self.view = {
            name: state if now - at <= longest else _silenced(state)
            for name, (state, at) in self._told_by_centre.items()
        }
        if self._membership.is_hub():
            self.view.pop(ELSEWHERE, None)
            self.view[self._me.data_centre] = self._own_centre(self._me.vm)
            self._elsewhere = self._sum_elsewhere()
        self._membership.set_live(
            vm for centre in self.view.values() for vm in centre.members
        )

    def _sum_elsewhere(self) -> _centres.CentreState:
        """Return the loads and uses of all other data centres."""
        total = _centres.CentreState()
        for name, state in self.view.items():
            if name != self._me.data_centre:
                loads = _centres.CentreState(
                    loads=state.loads, adapters_in_use=state.adapters_in_use
                )
                total = _centres.merge(total, loads)
        return total

    def must_watch(self) -> bool:
        """Whether this node has to watch the store itself.

        In a small fleet all do: a store that answers only some of them is
        noticed late by those whose watch has fallen silent.
        """
        if self._membership.is_hub() or self._membership.is_small:
            return True
        return not any(centre.is_watching for centre in self.view.values())

    def state_for(self, reader: str) -> dict[str, _centres.CentreState]:
        """Return what a subscriber is to know."""
        own = self._me.data_centre
        found = self._membership.vms_by_name.get(reader)
        is_near = found is None or found.data_centre == own
        if not self._membership.is_hub():
            return self._relayed(reader)
        kept = self._kept(reader, is_near)
        told = {own: self._own_centre(reader, kept)}
        if not is_near:
            return told
        for name, state in self.view.items():
            if name != own:
                told[name] = dataclasses.replace(
                    state,
                    admitted=dict(self.admitted(name)),
                    loads={},
                    adapters_in_use={},
                )
        told[ELSEWHERE] = dataclasses.replace(
            self._elsewhere,
            adapters_in_use=_chosen(self._elsewhere.adapters_in_use, kept),
        )
        return told

    def _kept(self, reader: str, is_near: bool) -> frozenset[str]:
        """Return the targets of a reader, or of its data centre."""
        if is_near:
            heard = self._heard_by_vm.get(reader)
            holdings = heard.digest.holdings if heard else ()
            return frozenset(each.target_id for each in holdings)
        centre = self._membership.vms_by_name[reader].data_centre
        state = self.view.get(centre, _centres.CentreState())
        return frozenset(target_id for _, target_id in state.holdings)

    def _relayed(self, reader: str) -> dict[str, _centres.CentreState]:
        """Return this node's own view, for a reader that lost its hubs."""
        name = self._me.data_centre
        digest = self._make_digest()
        me = _aggregate.DigestAggregate(
            {self._me.vm: (self._incarnation, digest)}, digest
        )
        told = {
            centre: dataclasses.replace(
                state, admitted=dict(self.admitted(centre))
            )
            for centre, state in self.view.items()
        }
        told[name] = _centres.merge(
            told.get(name, _centres.CentreState()),
            me.centre(reader, 0, dict(digest.admitted), None),
        )
        told[name].members.pop(reader, None)
        return told

    def _own_centre(
        self, reader: str, kept: frozenset[str] | None = None
    ) -> _centres.CentreState:
        """Return this data centre without its reader."""
        sums = self._current_sums()
        admitted = self._members_tally.without(reader)
        if reader != self._me.vm:
            for account, cost in sums.own.admitted.items():
                admitted[account] = admitted.get(account, 0.0) + cost
        lost_count = sum(
            vm not in sums.members and vm != reader
            for vm in self._membership.recently_lost(self._me.data_centre)
        )
        return sums.centre(reader, lost_count, admitted, kept)

    def _current_sums(self) -> _aggregate.DigestAggregate:
        now = self._clock()
        if (
            self._aggregate is not None
            and now - self._sums_at < self._membership.batch_delay / 10
        ):
            return self._aggregate
        since = now - self._membership.stale_after
        members = {
            vm: (heard.incarnation, heard.digest)
            for vm, heard in self._heard_by_vm.items()
            if heard.at >= since
            and heard.digest.data_centre == self._me.data_centre
            and not heard.digest.is_leaving
        }
        own = self._make_digest()
        members[self._me.vm] = (self._incarnation, own)
        self._aggregate, self._sums_at = (
            _aggregate.DigestAggregate(members, own),
            now,
        )
        return self._aggregate


def _chosen(
    adapters_in_use: dict[str, frozenset[domain.AdapterName]],
    kept: frozenset[str],
) -> dict[str, frozenset[domain.AdapterName]]:
    """Return the uses of some targets."""
    return {key: adapters_in_use[key] for key in adapters_in_use.keys() & kept}


def _silenced(centre: _centres.CentreState) -> _centres.CentreState:
    """Return a data centre of which nothing has been heard for long."""
    return _centres.CentreState(
        lost_count=centre.lost_count + len(centre.members),
        admitted=centre.admitted,
    )
