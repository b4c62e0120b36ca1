"""Local copies of the store's objects, which never go back in revision."""

from collections import abc
import math
import random

import structlog
import trio

from mustardlb_gateway import _timers
from mustardlb_gateway import ports

log = structlog.get_logger()

# A watch returns after this time without changes. Each call to the store is
# charged for, which favours a long time; a stalled connection is detected
# after this time at the latest, which favours a short one.
WATCH_TIMEOUT_SECONDS = 5.0

# Changes in quick succession cost one call because of this delay between two
# watches. It is below a third of the shortest time in which a change has to
# become active, which is two seconds.
WATCH_INTERVAL_SECONDS = 0.6

# Backoff delays after a failure.
FIRST_RETRY_SECONDS = 0.15
MAX_RETRY_SECONDS = 0.8

# Sources of a change, for the log; a peer's snapshot has the peer's name.
LIST_SOURCE = 'list'
WATCH_SOURCE = 'watch'

ChangeCallback = abc.Callable[[], None]


class Mirror:
    """All objects of a kind as of a revision.

    While this node does not have to watch, the objects count as confirmed and
    the store as connected.

    :ivar revision: revision of the store, 0 before the first list
    :ivar changed_revision: revision of the last change
    :ivar confirmed_at: time of the store's last successful response
    :ivar is_connected: whether the last call succeeded
    :ivar connected_at: time since which calls succeed
    """

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self.objects_by_name: dict[str, ports.StoredObject] = {}
        self.revision = 0
        self.changed_revision = 0
        self.confirmed_at = float('-inf')
        self.is_connected = False
        self.connected_at = float('-inf')
        self._callbacks: list[ChangeCallback] = []

    def on_change(self, callback: ChangeCallback) -> None:
        """Add a function to call after each change."""
        self._callbacks.append(callback)

    def replace_all(
        self,
        objects: abc.Iterable[ports.StoredObject],
        revision: int,
        source: str = LIST_SOURCE,
    ) -> bool:
        """Replace all objects; return False if they are not newer."""
        if revision <= self.revision:
            if revision < self.revision:
                log.info(
                    'MLB-6107',
                    kind=self.kind,
                    revision=revision,
                    current=self.revision,
                    source=source,
                )
            return False
        new = {each.name: each for each in objects}
        is_changed = new != self.objects_by_name or not self.changed_revision
        self.objects_by_name = new
        self.revision = revision
        if is_changed:
            self._notify_change(revision, source)
        return True

    def merge(
        self,
        objects: abc.Iterable[ports.StoredObject],
        names: abc.Iterable[str],
        revision: int,
        source: str,
    ) -> bool:
        """Merge changed objects and remove those not in `names`."""
        merged = self.objects_by_name | {each.name: each for each in objects}
        present = [merged[name] for name in names if name in merged]
        return self.replace_all(present, revision, source)

    def apply(self, changes: ports.Changes) -> None:
        """Apply changes, skipping those that are not newer."""
        if changes.revision <= self.revision:
            return
        is_changed = False
        for change in changes.changes:
            current = self.objects_by_name.get(change.name)
            if current is not None and current.revision > change.revision:
                continue
            if change.spec is None:
                is_changed |= current is not None
                self.objects_by_name.pop(change.name, None)
                continue
            is_changed = True
            self.objects_by_name[change.name] = ports.StoredObject(
                change.name, change.revision, change.spec
            )
        self.revision = changes.revision
        if is_changed:
            self._notify_change(changes.revision, WATCH_SOURCE)

    def _notify_change(self, revision: int, source: str) -> None:
        log.info(
            'MLB-6106',
            kind=self.kind,
            revision=revision,
            before=self.changed_revision,
            objects=len(self.objects_by_name),
            source=source,
        )
        self.changed_revision = max(self.changed_revision, revision)
        for callback in self._callbacks:
            callback()


async def sync_mirror(
    mirror: Mirror,
    store: ports.Store,
    clock: abc.Callable[[], float],
    must_watch: abc.Callable[[], bool] = lambda: True,
) -> None:
    """Keep a mirror up to date from the store until cancelled.

    While this node does not have to watch, its peers send the changes.
    """
    retry_seconds = FIRST_RETRY_SECONDS
    must_list = True
    while True:
        if mirror.revision and not must_watch():
            must_list = False
            mirror.is_connected = True
            mirror.confirmed_at = clock()
            await _timers.sleep(WATCH_INTERVAL_SECONDS)
            continue
        try:
            if must_list:
                objects, revision = await store.list_objects(mirror.kind)
                mirror.replace_all(objects, revision)
                must_list = False
            else:
                # After an outage, the first call must return at once.
                wait = WATCH_TIMEOUT_SECONDS if mirror.is_connected else 0.0
                mirror.apply(
                    await store.watch(mirror.kind, mirror.revision, wait)
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
        retry_seconds = FIRST_RETRY_SECONDS
        if not mirror.is_connected:
            mirror.is_connected = True
            mirror.connected_at = clock()
            age = clock() - mirror.confirmed_at
            log.info(
                'MLB-6103',
                kind=mirror.kind,
                revision=mirror.revision,
                age=round(age, 3) if math.isfinite(age) else None,
            )
        mirror.confirmed_at = clock()
        await _timers.sleep(WATCH_INTERVAL_SECONDS)


async def confirm(
    mirror: Mirror,
    store: ports.Store,
    clock: abc.Callable[[], float],
    timeout: float,
) -> bool:
    """Bring a mirror up to date at once; return whether that succeeded."""
    asked_at = clock()
    problem = 'no response in time'
    with trio.move_on_after(timeout):
        try:
            mirror.apply(await store.watch(mirror.kind, mirror.revision, 0.0))
            mirror.confirmed_at = max(mirror.confirmed_at, asked_at)
            return True
        except (ports.StoreUnavailable, ports.RevisionCompacted) as error:
            problem = repr(error)
    log.info('MLB-6105', kind=mirror.kind, problem=problem)
    return False


class Confirmer:
    """Brings a mirror up to date, once for all that ask at the same time."""

    def __init__(
        self,
        mirror: Mirror,
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


def _mark_disconnected(mirror: Mirror, problem: str, now: float) -> None:
    if mirror.is_connected:
        log.warning(
            'MLB-6102',
            kind=mirror.kind,
            revision=mirror.revision,
            age=round(now - mirror.confirmed_at, 3),
            problem=problem,
        )
    mirror.is_connected = False
