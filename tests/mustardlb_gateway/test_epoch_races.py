"""Copies whose epoch changes while a response is on its way."""

from mustardlb_gateway import _mirror
from mustardlb_gateway import _peer_sync
from mustardlb_gateway import _store_watch
from mustardlb_gateway import ports

KIND = 'targets'
OLD = ports.StoredObject('a', 40, 'before the restore')
RESTORED = ports.StoredObject('a', 15, 'restored')
NEW = [ports.StoredObject('a', 30, 'new'), ports.StoredObject('b', 55, 'b')]


def copy_of_first_epoch():
    mirror = _mirror.Mirror(KIND)
    mirror.replace_all([OLD], 50, 1)
    return mirror


async def test_changes_after_a_revision_of_an_earlier_epoch_are_not_applied():
    """A copy missed for good what changed up to the earlier revision."""
    mirror = copy_of_first_epoch()

    class Store:
        async def watch(self, kind, revision, timeout):
            assert revision == 50
            mirror.replace_all([RESTORED], 21, 2, 'a peer')
            return ports.Changes((ports.Change('b', 55, 'b'),), 55, 2)

        async def list_objects(self, kind):
            return ports.Listing(tuple(NEW), 55, 2)

    assert await _store_watch.confirm(mirror, Store(), lambda: 0.0, 1.0)
    assert mirror.objects_by_name == {each.name: each for each in NEW}


async def test_snapshot_since_a_revision_of_an_earlier_epoch_is_not_merged():
    """Objects that the peer had left out stayed as restored for good."""
    mirror = copy_of_first_epoch()
    sync = _peer_sync.PeerSync([mirror], lambda: 0.0)
    source = _mirror.Mirror(KIND)
    source.replace_all(NEW, 55, 2)
    peer = _peer_sync.PeerSync([source], lambda: 0.0)

    class Peers:
        async def request(self, vm, body):
            snapshot = peer.snapshot(body.kind, body.since)
            mirror.replace_all([RESTORED], 21, 2)
            return snapshot

    assert sync.stale_kinds({KIND: 51}, is_watching=False, epoch=1) == [KIND]
    await sync.fetch(Peers(), 'a peer', KIND)
    assert mirror.revision == 21
    assert sync.stale_kinds({KIND: 55}, is_watching=True, epoch=2) == []
