"""Which registrations of targets a copy of the store's data brings back.

When the store continues from a copy, a registration that was removed may be
there again although its target has not written it. The target may still serve
but leave, so that it gets no requests until the registration is known to have
been renewed since.
"""

from collections import abc
import dataclasses

import structlog

from mustardlb_gateway import domain

log = structlog.get_logger()

# Covers several replacements of all targets of the largest fleet.
MAX_REMOVALS = 8192

# Bounds the size of a message.
MAX_TOLD = 1024

# The store removes a registration that is not renewed for three heartbeat
# intervals; the fourth one is for the removal to be seen.
RENEWAL_INTERVALS = 4

# Target id and incarnation.
_Key = tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Removal:
    """A registration that was removed.

    :ivar epoch: epoch of the store at the removal
    :ivar revision: revision of the copy that does not have it any more
    """

    target_id: str
    incarnation: int
    epoch: int
    revision: int


class Removals:
    """Registrations that the store has removed, by target and incarnation.

    `heartbeat_interval` returns the seconds between two heartbeats of a
    target. The longest unconfirmed removals are dropped first.
    """

    def __init__(
        self,
        heartbeat_interval: abc.Callable[[], float],
        max_count: int = MAX_REMOVALS,
    ) -> None:
        self._heartbeat_interval = heartbeat_interval
        self._max_count = max_count
        self._removal_by_key: dict[_Key, Removal] = {}
        self._restored: frozenset[_Key] = frozenset()
        self._epoch = 0
        self._epoch_revision = 0
        self._epoch_began_at = float('-inf')

    def begin_epoch(self, epoch: int, revision: int, now: float) -> None:
        """Record the first revision of the store that is known of an epoch."""
        self._epoch = epoch
        self._epoch_revision = revision
        self._epoch_began_at = now

    def record(self, target: domain.Target, epoch: int, revision: int) -> None:
        """Record that the registration of a target was removed."""
        self.add(
            Removal(target.target_id, target.incarnation, epoch, revision)
        )

    def add(self, removal: Removal) -> None:
        """Add a removal; the last one of a registration counts."""
        key = removal.target_id, removal.incarnation
        self._removal_by_key.pop(key, None)
        self._removal_by_key[key] = removal
        while len(self._removal_by_key) > self._max_count:
            del self._removal_by_key[next(iter(self._removal_by_key))]

    def add_told(self, removals: abc.Iterable[Removal]) -> None:
        """Add the removals that another node tells of, if they are new."""
        for removal in removals:
            key = removal.target_id, removal.incarnation
            if key not in self._removal_by_key:
                self.add(removal)

    def latest(self) -> tuple[Removal, ...]:
        """Return what another node is told, the last ones at the end."""
        return tuple(self._removal_by_key.values())[-MAX_TOLD:]

    @property
    def has_restored(self) -> bool:
        """Return whether any registration may be one that was removed."""
        return bool(self._restored)

    def is_restored(self, target: domain.Target) -> bool:
        """Return whether a registration may be one that was removed."""
        return (target.target_id, target.incarnation) in self._restored

    def find_restored(
        self,
        registrations: abc.Iterable[tuple[domain.Target, int]],
        revision: int,
        confirmed_at: float,
    ) -> None:
        """Find the registrations that may have been removed.

        Forgets the removals of all other targets that are registered.

        :param registrations: each with the revision that wrote it
        :param revision: revision of the copy
        :param confirmed_at: time as of which they are known to be there, clock
            seconds
        """
        restored = set()
        for target, written in registrations:
            key = target.target_id, target.incarnation
            if not self._may_be_removed(key, written, confirmed_at):
                self._removal_by_key.pop(key, None)
                continue
            restored.add(key)
            if key not in self._restored:
                log.info(
                    'MLB-6221',
                    target=target.target_id,
                    incarnation=target.incarnation,
                    written=written,
                    revision=revision,
                    epoch=self._epoch,
                )
        self._restored = frozenset(restored)

    def _may_be_removed(
        self, key: _Key, written: int, confirmed_at: float
    ) -> bool:
        removal = self._removal_by_key.get(key)
        if removal is None or removal.epoch == self._epoch:
            return False
        if written > min(removal.revision, self._epoch_revision):
            return False
        lifetime = RENEWAL_INTERVALS * self._heartbeat_interval()
        return confirmed_at < self._epoch_began_at + lifetime
