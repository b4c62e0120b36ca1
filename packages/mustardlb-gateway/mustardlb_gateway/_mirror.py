"""Local copies of the store's objects, which never go back in revision."""

from collections import abc

import structlog

from mustardlb_gateway import ports

log = structlog.get_logger()

# Time within which a change has to be in force, if settings do not say.
DEFAULT_FRESHNESS_SECONDS = 2.0

# Sources of a change, for the log; a peer's snapshot has the peer's name.
LIST_SOURCE = 'list'
WATCH_SOURCE = 'watch'

ChangeCallback = abc.Callable[[], None]


class Mirror:
    """All objects of a kind as of a revision.

    While this node does not have to watch, the objects count as confirmed and
    the store as connected.

    :ivar freshness: returns the time, in seconds, within which a change has
        to be in force
    :ivar revision: revision of the store, 0 before the first list
    :ivar changed_revision: revision of the last change
    :ivar confirmed_at: time of the store's last successful response
    :ivar is_connected: whether the last call succeeded
    :ivar connected_at: time since which calls succeed
    """

    def __init__(
        self,
        kind: str,
        freshness: abc.Callable[[], float] = lambda: DEFAULT_FRESHNESS_SECONDS,
    ) -> None:
        self.kind = kind
        self.freshness = freshness
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
