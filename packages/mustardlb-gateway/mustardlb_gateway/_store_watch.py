"""Keeps the copies of the store's objects up to date, and confirmed.

A watch brings changes at once, but one that is silent cannot be told from one
without news. Each copy is therefore also confirmed several times within the
time in which a change has to be in force, by a call that returns at once.
"""

from collections import abc
import dataclasses
import enum
import math
import random

import structlog
import trio

from mustardlb_gateway import _mirror
from mustardlb_gateway import _timers
from mustardlb_gateway import ports

log = structlog.get_logger()

# Each call to the store is charged for, which favours a long watch.
WATCH_SECONDS = 5.5

# Part of the time allowed for a change after which a copy is confirmed. The
# rest is for a silent connection to be given up, and for a call on another.
CONFIRM_RATIO = 0.5
MIN_CONFIRM_SECONDS = 0.2
CONFIRM_TIMEOUT_SECONDS = 1.0

# A copy is confirmed up to this time after it is due, so that the process
# wakes up less often.
CONFIRM_STEP_SECONDS = 0.05

# Changes in quick succession cost one call because of this delay between a
# change and the next watch. It is below a third of the shortest time in which
# a change has to become active, which is two seconds.
WATCH_INTERVAL_SECONDS = 0.6

# A node that follows its peers looks at this interval whether it still does.
FOLLOW_INTERVAL_SECONDS = 0.25

# Backoff delays after a failure.
FIRST_RETRY_SECONDS = 0.15
MAX_RETRY_SECONDS = 0.8

# A node says that it watches the store while no copy is older by this time
# than the age at which it is confirmed.
TOLD_SLACK_SECONDS = 0.6


class _Confirmation(enum.Enum):
    """What became of a call that confirms a copy."""

    DONE = enum.auto()
    REFUSED = enum.auto()
    SILENT = enum.auto()


@dataclasses.dataclass(slots=True, eq=False)
class _Watch:
    """The watch of one copy; `scope` ends the one that waits now."""

    mirror: _mirror.Mirror
    scope: trio.CancelScope = dataclasses.field(
        default_factory=trio.CancelScope
    )


def confirm_seconds(freshness: float, spread: float) -> float:
    """Return the age at which a copy is confirmed, in seconds.

    :param freshness: time in which a change has to be in force
    :param spread: time that nodes which follow this one need for a change

    >>> [confirm_seconds(each, 0.1) for each in (0.5, 2.0, 4.0)]
    [0.2, 0.9, 1.9]
    """
    return max(MIN_CONFIRM_SECONDS, CONFIRM_RATIO * freshness - spread)


def told_age(freshness: float, spread: float) -> float:
    """Return how old the copy of a node that says it watches may be."""
    return confirm_seconds(freshness, spread) + TOLD_SLACK_SECONDS


def is_watching(mirror: _mirror.Mirror, spread: float, now: float) -> bool:
    """Whether a copy is followed closely enough for nodes that follow it."""
    age = now - mirror.confirmed_at
    return mirror.is_connected and age <= told_age(mirror.freshness(), spread)


async def sync_mirrors(
    mirrors: abc.Iterable[_mirror.Mirror],
    store: ports.Store,
    clock: abc.Callable[[], float],
    followed_at: abc.Callable[[str], float | None] = lambda kind: None,
    spread: abc.Callable[[], float] = lambda: 0.0,
) -> None:
    """Keep mirrors up to date from the store until cancelled.

    While peers send the changes of a kind, `followed_at` returns when they
    last said that they watch the store. `spread` returns the seconds that
    nodes which follow this one need for a change.
    """
    watches = [_Watch(mirror) for mirror in mirrors]
    async with trio.open_nursery() as nursery:
        for watch in watches:
            nursery.start_soon(
                _run_watch, watch, store, clock, followed_at, spread
            )
        nursery.start_soon(
            _confirm_copies, watches, store, clock, followed_at, spread
        )


async def _run_watch(
    watch: _Watch,
    store: ports.Store,
    clock: abc.Callable[[], float],
    followed_at: abc.Callable[[str], float | None],
    spread: abc.Callable[[], float],
) -> None:
    """Watch a kind, or follow peers that do, until cancelled."""
    mirror = watch.mirror
    retry_seconds = FIRST_RETRY_SECONDS
    must_list, is_following = True, False
    while True:
        heard_at = followed_at(mirror.kind) if mirror.revision else None
        if heard_at is not None:
            must_list, is_following = False, True
            mirror.is_connected = True
            current_at = heard_at - told_age(mirror.freshness(), spread())
            mirror.confirmed_at = max(mirror.confirmed_at, current_at)
            await _timers.sleep(FOLLOW_INTERVAL_SECONDS)
            continue
        # After an outage, or when peers are silent, the first call must return
        # at once.
        is_waiting = mirror.is_connected and not is_following
        before, sent_at = mirror.changed_revision, clock()
        try:
            with trio.CancelScope() as watch.scope:
                if must_list:
                    current_at = await _replace_from_list(mirror, store, clock)
                else:
                    current_at = await _apply_changes(
                        mirror, store, clock, WATCH_SECONDS * is_waiting
                    )
        except ports.RevisionCompacted:
            log.info('MLB-6101', kind=mirror.kind, revision=mirror.revision)
            must_list = True
            continue
        except ports.StoreUnavailable as error:
            _mark_disconnected(mirror, str(error), clock())
            await trio.sleep(retry_seconds * random.uniform(0.5, 1.0))
            retry_seconds = min(2 * retry_seconds, MAX_RETRY_SECONDS)
            continue
        if watch.scope.cancelled_caught:
            continue
        retry_seconds = FIRST_RETRY_SECONDS
        must_list, is_following = False, False
        _mark_connected(mirror, clock())
        mirror.confirmed_at = max(mirror.confirmed_at, current_at)
        # The store may answer a watch at once although nothing has changed.
        is_early = clock() - sent_at < WATCH_INTERVAL_SECONDS
        if is_early or mirror.changed_revision != before:
            await _timers.sleep(WATCH_INTERVAL_SECONDS)


async def _confirm_copies(
    watches: list[_Watch],
    store: ports.Store,
    clock: abc.Callable[[], float],
    followed_at: abc.Callable[[str], float | None],
    spread: abc.Callable[[], float],
) -> None:
    """Confirm each copy before it is too old, and replace silent watches."""

    def due_in(watch: _Watch) -> float:
        mirror = watch.mirror
        if not mirror.is_connected or followed_at(mirror.kind) is not None:
            return math.inf
        seconds = confirm_seconds(mirror.freshness(), spread())
        return mirror.confirmed_at + seconds - clock()

    retry_seconds = FIRST_RETRY_SECONDS
    while True:
        first = min(watches, key=due_in)
        seconds = due_in(first)
        if seconds > 0:
            await _timers.sleep(
                min(MIN_CONFIRM_SECONDS, max(CONFIRM_STEP_SECONDS, seconds))
            )
            continue
        if not await _confirm_watch(first, watches, store, clock):
            await trio.sleep(retry_seconds * random.uniform(0.5, 1.0))
            retry_seconds = min(2 * retry_seconds, MAX_RETRY_SECONDS)
            continue
        retry_seconds = FIRST_RETRY_SECONDS
        # Copies of other revisions are not confirmed by that; one after the
        # other they would wait for each other's responses.
        async with trio.open_nursery() as nursery:
            for watch in watches:
                if due_in(watch) <= 0:
                    nursery.start_soon(
                        _confirm_watch, watch, watches, store, clock
                    )


async def _confirm_watch(
    watch: _Watch,
    watches: list[_Watch],
    store: ports.Store,
    clock: abc.Callable[[], float],
) -> bool:
    """Confirm a copy, and others with it; return False if that was refused.

    A watch stays if only the call was refused, since it may not be renewed
    for as long as the store refuses calls.
    """
    mirror = watch.mirror
    before = mirror.changed_revision
    result = await _confirm(mirror, store, clock, CONFIRM_TIMEOUT_SECONDS)
    if result is _Confirmation.REFUSED:
        return False
    if result is _Confirmation.SILENT:
        _mark_disconnected(mirror, 'the copy is not confirmed', clock())
        watch.scope.cancel()
        return True
    if mirror.changed_revision != before:
        # The watch should have brought the change.
        log.info('MLB-6109', kind=mirror.kind, revision=mirror.revision)
        watch.scope.cancel()
    # The store has one counter of revisions for all kinds.
    for other in watches:
        if (other.mirror.epoch, other.mirror.revision) == (
            mirror.epoch,
            mirror.revision,
        ):
            other.mirror.confirmed_at = max(
                other.mirror.confirmed_at, mirror.confirmed_at
            )
    return True


async def _apply_changes(
    mirror: _mirror.Mirror,
    store: ports.Store,
    clock: abc.Callable[[], float],
    timeout: float,
) -> float:
    """Apply the changes that a watch returns; return as of when all are.

    Raises StoreUnavailable, or RevisionCompacted if a list is required.
    """
    sent_at, before = clock(), mirror.changed_revision
    epoch = mirror.epoch
    changes = await store.watch(mirror.kind, mirror.revision, timeout)
    if changes.epoch < mirror.epoch:
        raise ports.StoreUnavailable('the response is of an earlier epoch')
    # A peer may have sent a copy of another epoch meanwhile, and the changes
    # after an earlier epoch's revision are not all that it lacks.
    if mirror.epoch != epoch or not mirror.apply(changes):
        raise ports.RevisionCompacted
    if mirror.changed_revision != before:
        return sent_at
    # The response may have waited for this process since its timeout.
    return min(clock(), sent_at + timeout)


async def _replace_from_list(
    mirror: _mirror.Mirror,
    store: ports.Store,
    clock: abc.Callable[[], float],
) -> float:
    """Replace a copy by a list; return as of when it is.

    A peer may have sent a later copy while the store sent the list, but what
    the copy had before the call is in the list, unless revisions went back
    within an epoch. Raises StoreUnavailable in that case. If only a peer had
    told what the copy had, it is of a lost history and is replaced.
    """
    sent_at = clock()
    epoch, revision = mirror.epoch, mirror.revision
    listing = await store.list_objects(mirror.kind)
    if (
        mirror.is_from_peer
        and (mirror.epoch, mirror.revision) == (epoch, revision)
        and (listing.epoch, listing.revision) < (epoch, revision)
    ):
        mirror.drop_history()
    elif (listing.epoch, listing.revision) < (epoch, revision):
        raise ports.StoreUnavailable(
            f'the list is of revision {listing.revision}, epoch '
            f'{listing.epoch}, before that of the copy'
        )
    mirror.replace_all(listing.objects, listing.revision, listing.epoch)
    return sent_at


async def confirm(
    mirror: _mirror.Mirror,
    store: ports.Store,
    clock: abc.Callable[[], float],
    timeout: float,
) -> bool:
    """Bring a mirror up to date at once; return whether that succeeded."""
    result = await _confirm(mirror, store, clock, timeout)
    return result is _Confirmation.DONE


async def _confirm(
    mirror: _mirror.Mirror,
    store: ports.Store,
    clock: abc.Callable[[], float],
    timeout: float,
) -> _Confirmation:
    problem, result = 'no response in time', _Confirmation.SILENT
    with trio.move_on_after(timeout):
        try:
            current_at = await _catch_up(mirror, store, clock)
            mirror.confirmed_at = max(mirror.confirmed_at, current_at)
            return _Confirmation.DONE
        except ports.StoreUnavailable as error:
            problem = repr(error)
            if not error.is_outcome_unknown:
                result = _Confirmation.REFUSED
    log.info('MLB-6105', kind=mirror.kind, problem=problem)
    return result


async def _catch_up(
    mirror: _mirror.Mirror,
    store: ports.Store,
    clock: abc.Callable[[], float],
) -> float:
    """Apply what has changed by now; return as of when the copy is.

    Raises StoreUnavailable.
    """
    try:
        return await _apply_changes(mirror, store, clock, 0.0)
    except ports.RevisionCompacted:
        return await _replace_from_list(mirror, store, clock)


class Confirmer:
    """Brings a mirror up to date, once for all that ask at the same time."""

    def __init__(
        self,
        mirror: _mirror.Mirror,
        store: ports.Store,
        clock: abc.Callable[[], float],
        timeout: float,
    ) -> None:
        self._mirror = mirror
        self._store = store
        self._clock = clock
        self._timeout = timeout
        self._lock = trio.Lock()
        self._started_at = float('-inf')

    async def is_fresh(self) -> bool:
        """Whether all that must be in force is in the copy.

        Asks the store if that was not confirmed lately.
        """
        if not self._is_confirmed():
            await self.confirm()
        return self._is_confirmed()

    def _is_confirmed(self) -> bool:
        age = self._clock() - self._mirror.confirmed_at
        return age <= self._mirror.freshness()

    async def confirm(self) -> None:
        """Bring the mirror up to date unless the store is lost anyway."""
        if not self._mirror.is_connected:
            return
        asked_at = self._clock()
        async with self._lock:
            if self._started_at < asked_at:
                self._started_at = self._clock()
                await confirm(
                    self._mirror, self._store, self._clock, self._timeout
                )


def _mark_connected(mirror: _mirror.Mirror, now: float) -> None:
    if mirror.is_connected:
        return
    mirror.is_connected = True
    mirror.connected_at = now
    age = now - mirror.confirmed_at
    log.info(
        'MLB-6103',
        kind=mirror.kind,
        revision=mirror.revision,
        age=round(age, 3) if math.isfinite(age) else None,
    )


def _mark_disconnected(
    mirror: _mirror.Mirror, problem: str, now: float
) -> None:
    if mirror.is_connected:
        log.warning(
            'MLB-6102',
            kind=mirror.kind,
            revision=mirror.revision,
            age=round(now - mirror.confirmed_at, 3),
            problem=problem,
        )
    mirror.is_connected = False
