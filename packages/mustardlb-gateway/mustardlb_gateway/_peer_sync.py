"""Brings a node up to date from its peers while the store refuses it."""

from collections import abc

import structlog

from mustardlb_gateway import _messages
from mustardlb_gateway import _mirror
from mustardlb_gateway import _peers

log = structlog.get_logger()

# Seconds that a copy may be behind a peer's before it is fetched there: the
# node's own watch is the cheaper way while it works, but a tenth of the time
# in which a change is to be in force is all that can be waited for it.
BEHIND_FOR = 0.2

# Least time between two fetches of a kind, seconds: changes that come close
# together are fetched at once.
FETCH_PAUSE = 0.15


class PeerSync:
    """The mirrors of a node and how far those of its peers are."""

    def __init__(
        self,
        mirrors: abc.Iterable[_mirror.Mirror],
        clock: abc.Callable[[], float],
    ) -> None:
        self._mirrors_by_kind = {mirror.kind: mirror for mirror in mirrors}
        self._clock = clock
        # Latest revision that a peer told of, and since when this node is
        # behind it, by kind.
        self._latest: dict[str, int] = {}
        self._behind_since: dict[str, float] = {}
        self._fetched_at: dict[str, float] = {}

    def revisions(self) -> dict[str, int]:
        """Return the revision of the last change of each kind."""
        return {
            kind: mirror.changed_revision
            for kind, mirror in self._mirrors_by_kind.items()
        }

    def stale_kinds(
        self, theirs: dict[str, int], watches: bool = True
    ) -> list[str]:
        """Return the kinds that are to be fetched from a peer now.

        A node that `watches` the store itself gives its watch some time.
        """
        found = []
        now = self._clock()
        for kind, revision in theirs.items():
            mirror = self._mirrors_by_kind.get(kind)
            if mirror is None:
                continue
            if mirror.revision >= self._latest.get(kind, 0):
                # Only then: other peers may be as far behind as this node.
                self._behind_since.pop(kind, None)
            if mirror.revision >= revision:
                continue
            self._latest[kind] = max(revision, self._latest.get(kind, 0))
            since = self._behind_since.setdefault(kind, now)
            fetched_at = self._fetched_at.get(kind)
            if fetched_at is not None and now - fetched_at < FETCH_PAUSE:
                continue
            if not watches or now - since >= BEHIND_FOR:
                found.append(kind)
                self._fetched_at[kind] = now
        return found

    async def fetch(self, peers: _peers.Peers, vm: str, kind: str) -> None:
        """Take a peer's copy of a kind."""
        mirror = self._mirrors_by_kind[kind]
        answer = await peers.request(
            vm, _messages.SnapshotRequest(kind, mirror.revision)
        )
        if not isinstance(answer, _messages.Snapshot):
            return
        is_newer = mirror.merge(answer.objects, answer.names, answer.revision)
        log.debug(
            'MLB-6104',
            kind=kind,
            peer=vm,
            revision=answer.revision,
            is_newer=is_newer,
        )

    def snapshot(self, kind: str, since: int) -> _messages.Snapshot | None:
        """Return this node's copy of a kind, None before it has one.

        Objects that have not changed since a revision are only named.
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
