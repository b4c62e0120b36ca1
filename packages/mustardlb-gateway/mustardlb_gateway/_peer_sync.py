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


class PeerSync:
    """The mirrors of this node, compared with those of its peers."""

    def __init__(
        self,
        mirrors: abc.Iterable[_mirror.Mirror],
        clock: abc.Callable[[], float],
    ) -> None:
        self._mirrors_by_kind = {mirror.kind: mirror for mirror in mirrors}
        self._clock = clock
        # By kind: the latest revision of any peer, and the time since which
        # this node is behind it.
        self._latest_revision: dict[str, int] = {}
        self._behind_since: dict[str, float] = {}
        self._fetched_at: dict[str, float] = {}

    def revisions(self) -> dict[str, int]:
        """Return the revision of the last change of each kind."""
        return {
            kind: mirror.changed_revision
            for kind, mirror in self._mirrors_by_kind.items()
        }

    def stale_kinds(
        self, peer_revisions: dict[str, int], is_watching: bool = True
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
            if mirror.revision >= self._latest_revision.get(kind, 0):
                # A peer's older revision does not clear this, since that
                # peer may be behind as well.
                self._behind_since.pop(kind, None)
            if mirror.revision >= revision:
                continue
            self._latest_revision[kind] = max(
                revision, self._latest_revision.get(kind, 0)
            )
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

    async def fetch(self, peers: _peers.Peers, vm: str, kind: str) -> None:
        """Fetch the changed objects of a kind from a peer."""
        mirror = self._mirrors_by_kind[kind]
        response = await peers.request(
            vm, _messages.SnapshotRequest(kind, mirror.revision)
        )
        if not isinstance(response, _messages.Snapshot):
            return
        is_newer = mirror.merge(
            response.objects, response.names, response.revision, vm
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
        )
