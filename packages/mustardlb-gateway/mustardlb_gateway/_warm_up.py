"""The requests that a target gets in flight after its start or a recovery.

The owner of a target decides on a window for all nodes together, from what
they observe of its responses. It is small at first, grows with each response
that is as fast as those of the other targets, and is halved when responses
are slow or fail, until it is no limit any more. Digests tell it to all nodes,
which divide it among themselves by rank.
"""

from collections import abc
import dataclasses
import math

import structlog

from mustardlb_gateway import _centres
from mustardlb_gateway import _messages
from mustardlb_gateway import _owners
from mustardlb_gateway import _slot_shares
from mustardlb_gateway import domain

log = structlog.get_logger()

# Part of its slots that a target gets at first, and the least window.
INITIAL_RATIO = 1 / 8
MIN_WINDOW = 2.0

# A window of this many times the slots is no limit any more.
OVER_RATIO = 2.0

# A response is slow if it takes this many times as long as those of the other
# targets, less what the target itself reports as its slowdown.
SLOW_RATIO = 2.0

# The window is halved at most once in this time. The responses that follow
# belong to requests that were sent before.
HALVING_INTERVAL_SECONDS = 0.5

# After it was halved, the window grows by this part of the slots for each
# window of fast responses; before, it doubles.
GROWTH_RATIO = 1 / 8

# A window of which less than half is in use, and with no bad responses, grows
# by this ratio a second. Where each of many nodes sends the target a request
# in some seconds, there are too few responses for it to double by them. The
# same holds without responses, and for a window of which the owner has told
# nothing, after the time below.
IDLE_GROWTH_PER_SECOND = 2.0
SILENT_SECONDS = 2.0

# A target that is slow for this time with the least window is slow by itself,
# not on account of its load. From then on only failures halve its window.
LEAST_SECONDS = 10.0

# After this time a window ends, unless it was halved a moment ago. Otherwise a
# target with some slow responses would keep its window for ever.
MAX_SECONDS = 60.0
RECOVERED_SECONDS = 5.0

# How long the owner tells that a window is over.
TELL_OVER_SECONDS = 3.0

# A target has failed if this many nodes have suspended it within the time.
SUSPENDING_NODES = 2
SUSPENSION_SECONDS = 5.0

# A node that is not heard of counts for the shares for this time, so that
# nodes that are cut off from each other do not take the shares of the others.
# It exceeds the duration of most partitions.
REMEMBERED_SECONDS = 20.0

# Targets that are gone and whose incarnation is remembered. One that returns
# with the same one, after an outage of the store, has not just started.
MAX_REMEMBERED_TARGETS = 5_000

# Target and its incarnation.
TargetKey = tuple[str, int]

UNLIMITED = _centres.UNLIMITED_WINDOW


@dataclasses.dataclass(slots=True)
class _Counts:
    """Responses since the last evaluation.

    :ivar failed: requests that the target rejected or that failed
    """

    fast: int = 0
    slow: int = 0
    failed: int = 0
    is_suspended: bool = False


@dataclasses.dataclass(slots=True)
class _Window:
    """The window of a target; times are clock seconds.

    :ivar size: requests in flight of all nodes together
    :ivar is_good: whether the last responses that the owner was told of were
    :ivar was_halved: whether it grows slowly
    :ivar began_at: when this node learned of it
    :ivar told_at: when the owner last told it, or a response was observed
    :ivar least_since: since when it is as small as possible
    :ivar over_at: when it was no limit any more
    """

    slots: int
    size: float
    began_at: float
    told_at: float
    is_good: bool = False
    was_halved: bool = False
    halved_at: float = float('-inf')
    least_since: float | None = None
    over_at: float | None = None


class WarmUp:
    """Windows of the targets that have just started or recovered.

    `owners` ranks the live nodes; `in_flight` returns the requests of this
    node at a target and `all_in_flight` those of all nodes; `told` returns
    the windows that digests tell, by target; `find` returns a registered
    target; `applies` tells whether targets of a service are warmed up; and
    `notify` sends a message to a node.
    """

    def __init__(
        self,
        vm: str,
        live: abc.Callable[[], frozenset[str]],
        in_flight: abc.Callable[[str], int],
        all_in_flight: abc.Callable[[str], int],
        told: abc.Callable[[], dict[str, _centres.Window]],
        find: abc.Callable[[str], domain.Target | None],
        applies: abc.Callable[[str], bool],
        notify: abc.Callable[[str, _messages.Observed], None],
        clock: abc.Callable[[], float],
    ) -> None:
        self._vm = vm
        self._live = live
        self._in_flight = in_flight
        self._all_in_flight = all_in_flight
        self._told = told
        self._find = find
        self._applies = applies
        self._notify = notify
        self._clock = clock
        self._owners = _owners.Owners(vm, live, clock)
        # The remembered nodes, among which the windows are divided.
        self._seen_at_by_vm: dict[str, float] = {}
        self._sharers = _owners.Owners(
            vm, lambda: frozenset(self._seen_at_by_vm), clock
        )
        self._window_by_key: dict[TargetKey, _Window] = {}
        self._counts_by_key: dict[TargetKey, _Counts] = {}
        self._suspended_by_key: dict[TargetKey, dict[str, float]] = {}
        self._incarnation_by_id: dict[str, int] = {}
        self._updated_at = clock()

    # What this node observes.

    def record_target(self, target: domain.Target, is_first: bool) -> None:
        """Record a registration; a new incarnation begins a window.

        :param is_first: this node has just learned of all targets, and cannot
            tell which have just started
        """
        known = self._incarnation_by_id.pop(target.target_id, None)
        self._incarnation_by_id[target.target_id] = target.incarnation
        while len(self._incarnation_by_id) > MAX_REMEMBERED_TARGETS:
            del self._incarnation_by_id[next(iter(self._incarnation_by_id))]
        if is_first or known == target.incarnation:
            return
        if self._applies(target.service):
            self._begin(target, 'started')

    def _begin(self, target: domain.Target, reason: str) -> None:
        size = max(MIN_WINDOW, INITIAL_RATIO * target.slots)
        key = target.target_id, target.incarnation
        now = self._clock()
        self._window_by_key[key] = _Window(target.slots, size, now, now)
        if self._is_owner(target.target_id):
            log.info(
                'MLB-6241',
                target=target.target_id,
                reason=reason,
                window=round(size, 1),
            )

    def record_response(
        self, target: domain.Target, ratio: float | None
    ) -> None:
        """Record the time of a response.

        :param ratio: of the time to that at other targets, None if unknown
        """
        counts = self._counts(target)
        if counts is None:
            return
        if ratio is not None and ratio > SLOW_RATIO:
            counts.slow += 1
        else:
            counts.fast += 1

    def record_rejection(self, target: domain.Target) -> None:
        """Record that a target rejected a request."""
        counts = self._counts(target)
        if counts is not None:
            counts.failed += 1

    def record_failure(self, target_id: str, is_suspended: bool) -> None:
        """Record a failed request, and whether it suspends the target."""
        target = self._find(target_id)
        if target is None or not self._applies(target.service):
            return
        counts = self._counts(target)
        if counts is None and is_suspended:
            key = target_id, target.incarnation
            counts = self._counts_by_key.setdefault(key, _Counts())
        if counts is not None:
            counts.failed += 1
            counts.is_suspended |= is_suspended

    def _counts(self, target: domain.Target) -> _Counts | None:
        key = target.target_id, target.incarnation
        if key not in self._window_by_key:
            return None
        return self._counts_by_key.setdefault(key, _Counts())

    # What this node may send.

    @property
    def has_windows(self) -> bool:
        """Return whether any target has a window."""
        return bool(self._window_by_key)

    @property
    def count(self) -> int:
        """Return the number of targets with a window that is a limit."""
        return sum(
            window.over_at is None for window in self._window_by_key.values()
        )

    def is_full(self, target: domain.Target) -> bool:
        """Return whether this node uses its share of a target's window."""
        window = self._window_by_key.get(
            (target.target_id, target.incarnation)
        )
        if window is None or window.over_at is not None:
            return False
        ranking = self._sharers.ranking(target.target_id)
        demand = _slot_shares.PEAK_DEMAND_RATIO * window.slots / len(ranking)
        share = _slot_shares.share(int(window.size), ranking, self._vm, demand)
        return self._in_flight(target.target_id) >= share

    # What the owners decide.

    def handle_observed(self, vm: str, observed: _messages.Observed) -> None:
        """Take in what another node has observed of a target."""
        target = self._find(observed.target_id)
        if target is None or target.incarnation != observed.incarnation:
            return
        self._take(
            vm,
            target,
            _Counts(
                observed.fast,
                observed.slow,
                observed.failed,
                observed.is_suspended,
            ),
        )

    def _take(self, vm: str, target: domain.Target, counts: _Counts) -> None:
        key = target.target_id, target.incarnation
        now = self._clock()
        window = self._window_by_key.get(key)
        if counts.is_suspended and (
            window is None or window.over_at is not None
        ):
            self._take_suspension(vm, target, now)
            return
        if window is None or window.over_at is not None:
            return
        window.told_at = now
        window.is_good = False
        fast, slow = counts.fast, counts.slow
        is_slow_itself = (
            window.least_since is not None
            and now - window.least_since > LEAST_SECONDS
        )
        if is_slow_itself:
            fast, slow = fast + slow, 0
        bad = slow + 2 * counts.failed
        if bad > fast:
            self._halve(target, window, counts, now)
        elif 4 * bad <= fast:
            window.is_good = True
            grown = float(fast)
            if window.was_halved:
                grown *= GROWTH_RATIO * window.slots / window.size
            window.size += min(grown, window.size)
            if window.size > 2 * MIN_WINDOW and not is_slow_itself:
                window.least_since = None

    def _halve(
        self,
        target: domain.Target,
        window: _Window,
        counts: _Counts,
        now: float,
    ) -> None:
        if now - window.halved_at < HALVING_INTERVAL_SECONDS:
            return
        window.halved_at = now
        window.was_halved = True
        window.size = max(MIN_WINDOW, window.size / 2)
        if window.size == MIN_WINDOW and window.least_since is None:
            window.least_since = now
        log.info(
            'MLB-6242',
            target=target.target_id,
            window=round(window.size, 1),
            slow=counts.slow,
            failed=counts.failed,
            fast=counts.fast,
        )

    def _take_suspension(
        self, vm: str, target: domain.Target, now: float
    ) -> None:
        """Begin a window if enough nodes have suspended a target."""
        key = target.target_id, target.incarnation
        suspended = {
            name: at
            for name, at in self._suspended_by_key.get(key, {}).items()
            if at > now - SUSPENSION_SECONDS
        }
        suspended[vm] = now
        self._suspended_by_key[key] = suspended
        needed = min(SUSPENDING_NODES, len(self._live()) + 1)
        if len(suspended) >= needed:
            del self._suspended_by_key[key]
            self._begin(target, 'failed')

    def to_tell(self) -> dict[str, _centres.Window]:
        """Return the windows to tell as their owner, by target."""
        return {
            target_id: _centres.Window(
                UNLIMITED
                if window.over_at is not None
                or window.size >= OVER_RATIO * window.slots
                else int(window.size),
                incarnation,
            )
            for (target_id, incarnation), window in self._window_by_key.items()
            if self._is_owner(target_id)
        }

    def _is_owner(self, target_id: str) -> bool:
        return self._owners.ranking(target_id)[0] == self._vm

    def update(self) -> None:
        """Send observations and update the windows; called at intervals."""
        now = self._clock()
        elapsed, self._updated_at = now - self._updated_at, now
        self._seen_at_by_vm |= dict.fromkeys(self._live(), now)
        self._seen_at_by_vm = {
            vm: at
            for vm, at in self._seen_at_by_vm.items()
            if at > now - REMEMBERED_SECONDS
        }
        self._take_told(now)
        self._send_counts()
        for key, window in list(self._window_by_key.items()):
            target = self._find(key[0])
            if target is None or target.incarnation != key[1]:
                del self._window_by_key[key]
                continue
            self._update_window(target, window, now, elapsed)
        self._suspended_by_key = {
            key: suspended
            for key, suspended in self._suspended_by_key.items()
            if max(suspended.values()) > now - SUSPENSION_SECONDS
        }

    def _take_told(self, now: float) -> None:
        """Take over the windows that their owners have told."""
        for target_id, told in self._told().items():
            if self._is_owner(target_id):
                # Continues from what the owner before it has told.
                key = target_id, told.incarnation
                if key in self._window_by_key:
                    continue
            target = self._find(target_id)
            if target is None or target.incarnation != told.incarnation:
                continue
            key = target_id, told.incarnation
            if told.size == UNLIMITED:
                self._window_by_key.pop(key, None)
                continue
            window = self._window_by_key.get(key)
            if window is None or window.over_at is not None:
                window = _Window(target.slots, 0.0, now, now)
                self._window_by_key[key] = window
            window.was_halved |= told.size < int(window.size)
            window.size = max(MIN_WINDOW, float(told.size))
            window.told_at = now

    def _send_counts(self) -> None:
        counts_by_key, self._counts_by_key = self._counts_by_key, {}
        for (target_id, incarnation), counts in counts_by_key.items():
            target = self._find(target_id)
            if target is None or target.incarnation != incarnation:
                continue
            owner = self._owners.ranking(target_id)[0]
            if owner == self._vm:
                self._take(self._vm, target, counts)
                continue
            self._notify(
                owner,
                _messages.Observed(
                    target_id,
                    incarnation,
                    counts.fast,
                    counts.slow,
                    counts.failed,
                    counts.is_suspended,
                ),
            )

    def _update_window(
        self,
        target: domain.Target,
        window: _Window,
        now: float,
        elapsed: float,
    ) -> None:
        key = target.target_id, target.incarnation
        if window.over_at is not None:
            if now - window.over_at > TELL_OVER_SECONDS:
                del self._window_by_key[key]
            return
        # A node that has lost most of the others does not know what they send.
        hears_most = 2 * len(self._live()) + 2 >= len(
            self._sharers.ranking(key[0])
        )
        is_silent = hears_most and now - window.told_at > SILENT_SECONDS
        is_good = window.is_good and self._is_owner(key[0])
        if (is_silent or is_good) and 2 * self._all_in_flight(
            key[0]
        ) < window.size:
            window.size *= math.pow(IDLE_GROWTH_PER_SECOND, elapsed)
        is_stuck = now - window.began_at > MAX_SECONDS
        if window.size >= OVER_RATIO * window.slots or (
            is_stuck and now - window.halved_at > RECOVERED_SECONDS
        ):
            window.over_at = now
            if self._is_owner(key[0]):
                log.info(
                    'MLB-6243',
                    target=target.target_id,
                    seconds=round(now - window.began_at, 1),
                )
