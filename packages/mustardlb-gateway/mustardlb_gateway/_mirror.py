"""Copies of the store's kinds, forwards only by the store's revision."""

from collections import abc
import random

import structlog
import trio

from mustardlb_gateway import ports

log = structlog.get_logger()

# Seconds a watch waits for changes. Each return is a call that is paid for;
# a connection that went silent is noticed after this time at the latest.
WATCH_WAIT = 5.0

# Pause between two watches, seconds: changes that come close together cost
# one call, and nothing is known later than a third of the shortest time in
# which a change is to be in force, two seconds.
WATCH_PAUSE = 0.6

# Pauses after a failure, seconds.
FIRST_PAUSE = 0.15
LONGEST_PAUSE = 0.8

Notify = abc.Callable[[], None]


class Mirror:
    """All objects of a kind as of a revision.

    :ivar revision: of the store, 0 before anything is known
    :ivar changed_revision: revision up to which changes were seen
    :ivar confirmed_at: time at which the store last answered
    :ivar is_connected: the last call was answered
    :ivar connected_at: time since which that is so
    """

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self.objects_by_name: dict[str, ports.StoredObject] = {}
        self.revision = 0
        self.changed_revision = 0
        self.confirmed_at = float('-inf')
        self.is_connected = False
        self.connected_at = float('-inf')
        self._notified: list[Notify] = []

    def on_change(self, notify: Notify) -> None:
        """Call a function after each change."""
        self._notified.append(notify)

    def replace_all(
        self, objects: abc.Iterable[ports.StoredObject], revision: int
    ) -> bool:
        """Take a complete copy, unless this one is as recent."""
        if revision <= self.revision:
            return False
        fresh = {each.name: each for each in objects}
        is_changed = fresh != self.objects_by_name or not self.changed_revision
        self.objects_by_name = fresh
        self.revision = revision
        if is_changed:
            self._changed(revision)
        return True

    def merge(
        self,
        objects: abc.Iterable[ports.StoredObject],
        names: abc.Iterable[str],
        revision: int,
    ) -> bool:
        """Take what changed since this copy, and which objects there are."""
        known = self.objects_by_name | {each.name: each for each in objects}
        present = [known[name] for name in names if name in known]
        return self.replace_all(present, revision)

    def apply(self, changes: ports.Changes) -> None:
        """Take changes, passing over those that are known."""
        if changes.revision <= self.revision:
            return
        is_changed = False
        for change in changes.changes:
            known = self.objects_by_name.get(change.name)
            if known is not None and known.revision > change.revision:
                continue
            if change.spec is None:
                is_changed |= known is not None
                self.objects_by_name.pop(change.name, None)
                continue
            is_changed = True
            self.objects_by_name[change.name] = ports.StoredObject(
                change.name, change.revision, change.spec
            )
        self.revision = changes.revision
        if is_changed:
            self._changed(changes.revision)

    def _changed(self, revision: int) -> None:
        self.changed_revision = max(self.changed_revision, revision)
        for notify in self._notified:
            notify()


async def sync_mirror(
    mirror: Mirror,
    store: ports.Store,
    clock: abc.Callable[[], float],
    must_watch: abc.Callable[[], bool] = lambda: True,
) -> None:
    """Keep a mirror up to date from the store until cancelled.

    While this node need not watch, its peers bring the changes.
    """
    pause = FIRST_PAUSE
    must_list = True
    while True:
        if mirror.revision and not must_watch():
            must_list = False
            mirror.is_connected = True
            mirror.confirmed_at = clock()
            await trio.sleep(WATCH_PAUSE)
            continue
        try:
            if must_list:
                objects, revision = await store.list_objects(mirror.kind)
                mirror.replace_all(objects, revision)
                must_list = False
            else:
                # The first answer after an outage is not waited for.
                wait = WATCH_WAIT if mirror.is_connected else 0.0
                mirror.apply(
                    await store.watch(mirror.kind, mirror.revision, wait)
                )
        except ports.RevisionCompacted:
            log.info('MLB-6101', kind=mirror.kind, revision=mirror.revision)
            must_list = True
            continue
        except ports.StoreUnavailable as error:
            _note_lost(mirror, str(error), clock())
            await trio.sleep(pause * random.uniform(0.5, 1.0))
            pause = min(2 * pause, LONGEST_PAUSE)
            continue
        pause = FIRST_PAUSE
        if not mirror.is_connected:
            mirror.is_connected = True
            mirror.connected_at = clock()
            log.info('MLB-6103', kind=mirror.kind, revision=mirror.revision)
        mirror.confirmed_at = clock()
        await trio.sleep(WATCH_PAUSE)


def _note_lost(mirror: Mirror, problem: str, now: float) -> None:
    if mirror.is_connected:
        log.warning(
            'MLB-6102',
            kind=mirror.kind,
            revision=mirror.revision,
            age=round(now - mirror.confirmed_at, 3),
            problem=problem,
        )
    mirror.is_connected = False
