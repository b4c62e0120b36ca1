"""Synchronisation from peers while the store is not available."""

from collections import abc

import structlog

from mustardlb_gateway import _messages
from mustardlb_gateway import _mirror
from mustardlb_gateway import _peers

log = structlog.get_logger()

# A mirror may be behind a peer's for this time before it is fetched from that
# peer. The node's own watch costs less while it works, but may use only a
# tenth of the time in which a change has to become active.
WATCH_GRACE_SECONDS = 0.2

# Minimum time between two fetches of a kind, so that changes in quick
# succession are fetched together.
FETCH_INTERVAL_SECONDS = 0.15

# A node that follows a peer asks the store itself for what it could not fetch
# from that peer for this time.
OVERDUE_SECONDS = 0.5


class PeerSync:
    """The mirrors of this node, compared with those of its peers."""

    def __init__(
        self,
        mirrors: abc.Iterable[_mirror.Mirror],
        clock: abc.Callable[[], float],
    ) -> None:
        self._mirrors_by_kind = {mirror.kind: mirror for mirror in mirrors}
        self._clock = clock
        # By kind: the latest epoch and revision of any peer, and the time
        # since which this node is behind it.
        self._latest: dict[str, tuple[int, int]] = {}
        self._behind_since: dict[str, float] = {}
        self._fetched_at: dict[str, float] = {}

    @property
    def epoch(self) -> int:
        """Return the latest epoch of the store that any copy is of."""
        return max(each.epoch for each in self._mirrors_by_kind.values())

    def revisions(self) -> dict[str, int]:
        """Return the revision of the last change of each kind.

        Kinds of which the copy is of an earlier epoch are left out.
        """
        epoch = self.epoch
        return {
            kind: mirror.changed_revision
            for kind, mirror in self._mirrors_by_kind.items()
            if mirror.epoch == epoch
        }

    def stale_kinds(
        self,
        peer_revisions: dict[str, int],
        is_watching: bool = True,
        epoch: int = 0,
    ) -> list[str]:
        """Return the kinds to fetch from a peer now.

        If this node is watching the store, its watch has a grace period.
        """
        found = []
        now = self._clock()
        for kind, revision in peer_revisions.items():
            mirror = self._mirrors_by_kind.get(kind)
            if mirror is None:
                continue
            told = (_epoch_of(epoch, mirror), revision)
            current = (mirror.epoch, mirror.revision)
            if current >= self._latest.get(kind, (0, 0)):
                # A peer's older revision does not clear this, since that
                # peer may be behind as well.
                self._behind_since.pop(kind, None)
            if current >= told:
                continue
            self._latest[kind] = max(told, self._latest.get(kind, (0, 0)))
            since = self._behind_since.setdefault(kind, now)
            fetched_at = self._fetched_at.get(kind)
            if (
                fetched_at is not None
                and now - fetched_at < FETCH_INTERVAL_SECONDS
            ):
                continue
            if not is_watching or now - since >= WATCH_GRACE_SECONDS:
                found.append(kind)
                self._fetched_at[kind] = now
        return found

    def is_overdue(self, kind: str) -> bool:
        """Whether a peer's newer copy of a kind was not fetched for long."""
        mirror = self._mirrors_by_kind[kind]
        if (mirror.epoch, mirror.revision) >= self._latest.get(kind, (0, 0)):
            return False
        since = self._behind_since.get(kind, self._clock())
        return self._clock() - since > OVERDUE_SECONDS

    async def fetch(self, peers: _peers.Peers, vm: str, kind: str) -> None:
        """Fetch the changed objects of a kind from a peer."""
        mirror = self._mirrors_by_kind[kind]
        since, epoch_before = mirror.revision, mirror.epoch
        if self._latest.get(kind, (0, 0))[0] > mirror.epoch:
            since = 0
        response = await peers.request(
            vm, _messages.SnapshotRequest(kind, since)
        )
        if not isinstance(response, _messages.Snapshot):
            return
        if since and mirror.epoch != epoch_before:
            # Objects unchanged since a revision of another epoch are missing.
            return
        is_newer = mirror.merge(
            response.objects,
            response.names,
            response.revision,
            _epoch_of(response.epoch, mirror),
            vm,
        )
        log.debug(
            'MLB-6104',
            kind=kind,
            peer=vm,
            revision=response.revision,
            is_newer=is_newer,
        )

    def snapshot(self, kind: str, since: int) -> _messages.Snapshot | None:
        """Return a snapshot of a kind, None if there is no copy yet.

        Of objects unchanged since a revision only the names are included.
        """
        mirror = self._mirrors_by_kind.get(kind)
        if mirror is None or not mirror.revision:
            return None
        return _messages.Snapshot(
            kind,
            mirror.revision,
            tuple(
                each
                for each in mirror.objects_by_name.values()
                if each.revision > since
            ),
            tuple(mirror.objects_by_name),
            mirror.epoch,
        )


def _epoch_of(told: int, mirror: _mirror.Mirror) -> int:
    """Return the epoch of a peer's copy.

    Peers of an earlier release do not tell it. Theirs counts as earlier once
    another epoch has begun, since they keep the copy of the epoch before.
    """
    if told or not mirror.is_in_first_epoch:
        return told
    return mirror.epoch
