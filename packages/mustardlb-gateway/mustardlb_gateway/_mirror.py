"""Local copies of the store's objects, ordered by epoch and revision."""

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
OverwriteCallback = abc.Callable[[ports.StoredObject], None]


class Mirror:
    """All objects of a kind as of a revision.

    While this node follows its peers, the store counts as connected.

    :ivar freshness: returns the time, in seconds, within which a change has
        to be in force
    :ivar revision: revision of the store, 0 before the first list
    :ivar epoch: epoch of the store that the revision belongs to
    :ivar is_in_first_epoch: whether no later epoch has begun since the start
    :ivar is_from_peer: whether only a peer has told that there is the revision
    :ivar changed_revision: revision of the last change
    :ivar confirmed_at: time as of which all changes are known
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
        self.epoch = 0
        self.is_in_first_epoch = True
        self.is_from_peer = False
        self.changed_revision = 0
        self.confirmed_at = float('-inf')
        self.is_connected = False
        self.connected_at = float('-inf')
        self._callbacks: list[ChangeCallback] = []
        self._overwrite_callbacks: list[OverwriteCallback] = []

    def on_change(self, callback: ChangeCallback) -> None:
        """Add a function to call after each change."""
        self._callbacks.append(callback)

    def on_overwritten(self, callback: OverwriteCallback) -> None:
        """Add a function to call with objects that no copy ever has.

        These are the ones that a later change of the same response replaces
        or removes.
        """
        self._overwrite_callbacks.append(callback)

    def replace_all(
        self,
        objects: abc.Iterable[ports.StoredObject],
        revision: int,
        epoch: int = 0,
        source: str = LIST_SOURCE,
    ) -> bool:
        """Replace all objects; return False if they are not newer.

        Of two revisions of different epochs, that of the later epoch is newer.
        """
        if (epoch, revision) <= (self.epoch, self.revision):
            if (epoch, revision) < (self.epoch, self.revision):
                log.info(
                    'MLB-6107',
                    kind=self.kind,
                    revision=revision,
                    epoch=epoch,
                    current=self.revision,
                    current_epoch=self.epoch,
                    source=source,
                )
            return False
        new = {each.name: each for each in objects}
        is_changed = new != self.objects_by_name or not self.changed_revision
        if epoch != self.epoch:
            self._begin_epoch(epoch, revision)
            is_changed = True
        self.objects_by_name = new
        self.revision = revision
        self.is_from_peer = source != LIST_SOURCE
        if is_changed:
            self._notify_change(revision, source)
        return True

    def drop_history(self) -> None:
        """Take any list for newer, and no peer's copy without an epoch."""
        log.warning(
            'MLB-6115',
            kind=self.kind,
            revision=self.revision,
            epoch=self.epoch,
        )
        self.revision = self.changed_revision = 0
        self.is_in_first_epoch = False

    def _begin_epoch(self, epoch: int, revision: int) -> None:
        if self.revision:
            self.is_in_first_epoch = False
            log.warning(
                'MLB-6108',
                kind=self.kind,
                revision=revision,
                epoch=epoch,
                before=self.revision,
                epoch_before=self.epoch,
            )
        self.epoch = epoch
        self.changed_revision = 0

    def merge(
        self,
        objects: abc.Iterable[ports.StoredObject],
        names: abc.Iterable[str],
        revision: int,
        epoch: int,
        source: str,
    ) -> bool:
        """Merge changed objects and remove those not in `names`.

        Returns False if they are not newer, or do not include all objects of
        another epoch.
        """
        merged = {each.name: each for each in objects}
        if epoch == self.epoch:
            merged = self.objects_by_name | merged
        elif not merged.keys() >= set(names):
            return False
        present = [merged[name] for name in names if name in merged]
        return self.replace_all(present, revision, epoch, source)

    def apply(self, changes: ports.Changes) -> bool:
        """Apply changes, skipping those that are not newer.

        Returns False if they are of another epoch, which begins with a list.
        """
        if changes.epoch != self.epoch:
            return False
        if changes.revision <= self.revision:
            self.is_from_peer &= changes.revision < self.revision
            return True
        is_changed = False
        self._notify_overwritten(changes.changes)
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
        self.is_from_peer = False
        if is_changed:
            self._notify_change(changes.revision, WATCH_SOURCE)
        return True

    def _notify_overwritten(self, changes: tuple[ports.Change, ...]) -> None:
        last_by_name = {change.name: change for change in changes}
        if len(last_by_name) == len(changes):
            return
        for change in changes:
            if change.spec is None or change is last_by_name[change.name]:
                continue
            stored = ports.StoredObject(
                change.name, change.revision, change.spec
            )
            for callback in self._overwrite_callbacks:
                callback(stored)

    def _notify_change(self, revision: int, source: str) -> None:
        log.info(
            'MLB-6106',
            kind=self.kind,
            revision=revision,
            epoch=self.epoch,
            before=self.changed_revision,
            objects=len(self.objects_by_name),
            source=source,
        )
        self.changed_revision = max(self.changed_revision, revision)
        for callback in self._callbacks:
            callback()
