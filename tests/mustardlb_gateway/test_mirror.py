import simulated_store
import trio
import trio.testing

from mustardlb_gateway import _mirror
from mustardlb_gateway import _peer_sync
from mustardlb_gateway import ports

KIND = 'targets'


async def following(store, mirror, check):
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            _mirror.sync_mirror, mirror, store, trio.current_time
        )
        await check()
        nursery.cancel_scope.cancel()


def names(mirror):
    return set(mirror.objects_by_name)


async def test_changes_are_seen_within_the_pause(autojump_clock):
    store = simulated_store.SimulatedStore()
    store.put(KIND, 'a', {})
    mirror = _mirror.Mirror(KIND)

    async def check():
        await trio.sleep(1)
        assert names(mirror) == {'a'}
        store.put(KIND, 'b', {})
        store.remove(KIND, 'a')
        await trio.sleep(2 * _mirror.WATCH_PAUSE)
        assert names(mirror) == {'b'}

    await following(store, mirror, check)


async def test_history_that_is_gone_is_made_up_by_a_list(autojump_clock):
    store = simulated_store.SimulatedStore()
    store.put(KIND, 'a', {})
    mirror = _mirror.Mirror(KIND)

    async def check():
        await trio.sleep(1)
        store.is_down = True
        store.put('other', 'x', {})
        await trio.sleep(2)
        store.remove(KIND, 'a')
        store.put(KIND, 'b', {})
        store.compact()
        store.is_down = False
        await trio.sleep(2)
        assert names(mirror) == {'b'}

    await following(store, mirror, check)


async def test_outage_keeps_what_is_known(autojump_clock):
    store = simulated_store.SimulatedStore()
    store.put(KIND, 'a', {})
    mirror = _mirror.Mirror(KIND)

    async def check():
        await trio.sleep(1)
        store.is_down = True
        await trio.sleep(10)
        assert names(mirror) == {'a'}
        assert not mirror.is_connected
        before = store.calls
        await trio.sleep(10)
        # A store that refuses is not flooded.
        assert store.calls - before < 40
        store.is_down = False
        await trio.sleep(1)
        assert mirror.is_connected

    await following(store, mirror, check)


def test_older_copies_and_changes_are_passed_over():
    mirror = _mirror.Mirror(KIND)
    new = ports.StoredObject('a', 9, 'new')
    old = ports.StoredObject('a', 3, 'old')
    assert mirror.replace_all([new], 10)
    assert not mirror.replace_all([old], 5)
    mirror.apply(ports.Changes((ports.Change('a', 3, 'old'),), 11))
    assert mirror.objects_by_name['a'] == new
    mirror.apply(ports.Changes((ports.Change('a', 9, None),), 8))
    assert names(mirror) == {'a'}


class PeersStub:
    def __init__(self, snapshots):
        self.snapshots = snapshots
        self.asked = 0

    async def request(self, vm, body):
        self.asked += 1
        return self.snapshots.snapshot(body.kind, body.since)


async def test_node_that_the_store_refuses_learns_from_a_peer():
    clock = [0.0]
    theirs = _mirror.Mirror(KIND)
    theirs.replace_all([ports.StoredObject('a', 7, {})], 7)
    mine = _mirror.Mirror(KIND)
    snapshots = _peer_sync.PeerSync([mine], lambda: clock[0])
    peer = PeersStub(_peer_sync.PeerSync([theirs], lambda: clock[0]))
    assert snapshots.stale_kinds({KIND: 7}) == []
    clock[0] = _peer_sync.BEHIND_FOR
    assert snapshots.stale_kinds({KIND: 7}) == [KIND]
    await snapshots.fetch(peer, 'vm2', KIND)
    assert names(mine) == {'a'}
    assert snapshots.stale_kinds({KIND: 7}) == []


async def test_only_what_changed_comes_from_a_peer():
    theirs = _mirror.Mirror(KIND)
    objects = [ports.StoredObject(name, 2, {}) for name in 'abc']
    theirs.replace_all(objects, 2)
    mine = _mirror.Mirror(KIND)
    mine.replace_all(objects, 2)
    theirs.apply(
        ports.Changes(
            (ports.Change('a', 5, 'new'), ports.Change('b', 6, None)), 6
        )
    )
    giver = _peer_sync.PeerSync([theirs], lambda: 0.0)
    taker = _peer_sync.PeerSync([mine], lambda: 0.0)
    given = giver.snapshot(KIND, 2)
    assert [each.name for each in given.objects] == ['a']
    assert taker.stale_kinds({KIND: 6}, watches=False) == [KIND]
    await taker.fetch(PeersStub(giver), 'vm2', KIND)
    assert mine.objects_by_name == theirs.objects_by_name
    assert mine.revision == 6


async def test_node_that_need_not_watch_asks_nothing(autojump_clock):
    store = simulated_store.SimulatedStore()
    store.put(KIND, 'a', {})
    mirror = _mirror.Mirror(KIND)
    others_watch = True
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            _mirror.sync_mirror,
            mirror,
            store,
            trio.current_time,
            lambda: not others_watch,
        )
        await trio.sleep(20)
        assert store.calls == 1
        assert mirror.is_connected
        others_watch = False
        store.put(KIND, 'b', {})
        await trio.sleep(2)
        assert names(mirror) == {'a', 'b'}
        nursery.cancel_scope.cancel()


def test_peers_that_are_behind_as_well_do_not_hide_one_that_is_ahead():
    mine = _mirror.Mirror(KIND)
    mine.replace_all([], 5)
    clock = [0.0]
    snapshots = _peer_sync.PeerSync([mine], lambda: clock[0])
    found = []
    for _ in range(20):
        clock[0] += 0.05
        found += snapshots.stale_kinds({KIND: 9})
        for _ in range(3):
            assert snapshots.stale_kinds({KIND: 5}) == []
    assert found
    mine.replace_all([], 9)
    assert snapshots.stale_kinds({KIND: 9}) == []
