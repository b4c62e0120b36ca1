import dataclasses

import simulated_store
import trio
import trio.testing

from mustardlb_gateway import _mirror
from mustardlb_gateway import _peer_sync
from mustardlb_gateway import _store_watch
from mustardlb_gateway import ports

KIND = 'targets'


async def run_sync(store, mirror, check):
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            _store_watch.sync_mirrors, [mirror], store, trio.current_time
        )
        await check()
        nursery.cancel_scope.cancel()


def names(mirror):
    return set(mirror.objects_by_name)


async def test_changes_arrive_within_watch_interval(autojump_clock):
    store = simulated_store.SimulatedStore()
    store.put(KIND, 'a', {})
    mirror = _mirror.Mirror(KIND)

    async def check():
        await trio.sleep(1)
        assert names(mirror) == {'a'}
        store.put(KIND, 'b', {})
        store.remove(KIND, 'a')
        await trio.sleep(2 * _store_watch.WATCH_INTERVAL_SECONDS)
        assert names(mirror) == {'b'}

    await run_sync(store, mirror, check)


async def test_compacted_history_causes_new_list(autojump_clock):
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

    await run_sync(store, mirror, check)


async def test_outage_keeps_last_objects(autojump_clock):
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
        # Retries are limited while the store is not available.
        assert store.calls - before < 40
        store.is_down = False
        await trio.sleep(1)
        assert mirror.is_connected

    await run_sync(store, mirror, check)


def test_older_copies_and_changes_are_ignored():
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
    def __init__(self, sync):
        self.sync = sync
        self.requests = 0

    async def request(self, vm, body):
        self.requests += 1
        return self.sync.snapshot(body.kind, body.since)


async def test_stale_kind_is_fetched_from_peer():
    clock = [0.0]
    peer_mirror = _mirror.Mirror(KIND)
    peer_mirror.replace_all([ports.StoredObject('a', 7, {})], 7)
    local_mirror = _mirror.Mirror(KIND)
    sync = _peer_sync.PeerSync([local_mirror], lambda: clock[0])
    peer = PeersStub(_peer_sync.PeerSync([peer_mirror], lambda: clock[0]))
    assert sync.stale_kinds({KIND: 7}) == []
    clock[0] = _peer_sync.WATCH_GRACE_SECONDS
    assert sync.stale_kinds({KIND: 7}) == [KIND]
    await sync.fetch(peer, 'vm2', KIND)
    assert names(local_mirror) == {'a'}
    assert sync.stale_kinds({KIND: 7}) == []


async def test_peer_sends_only_changed_objects():
    peer_mirror = _mirror.Mirror(KIND)
    objects = [ports.StoredObject(name, 2, {}) for name in 'abc']
    peer_mirror.replace_all(objects, 2)
    local_mirror = _mirror.Mirror(KIND)
    local_mirror.replace_all(objects, 2)
    peer_mirror.apply(
        ports.Changes(
            (ports.Change('a', 5, 'new'), ports.Change('b', 6, None)), 6
        )
    )
    source = _peer_sync.PeerSync([peer_mirror], lambda: 0.0)
    receiver = _peer_sync.PeerSync([local_mirror], lambda: 0.0)
    snapshot = source.snapshot(KIND, 2)
    assert [each.name for each in snapshot.objects] == ['a']
    assert receiver.stale_kinds({KIND: 6}, is_watching=False) == [KIND]
    await receiver.fetch(PeersStub(source), 'vm2', KIND)
    assert local_mirror.objects_by_name == peer_mirror.objects_by_name
    assert local_mirror.revision == 6


async def test_node_without_watch_makes_no_calls(autojump_clock):
    store = simulated_store.SimulatedStore()
    store.put(KIND, 'a', {})
    mirror = _mirror.Mirror(KIND)
    peers_watch = True
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            _store_watch.sync_mirrors,
            [mirror],
            store,
            trio.current_time,
            lambda kind: trio.current_time() if peers_watch else None,
        )
        await trio.sleep(20)
        assert store.calls == 1
        assert mirror.is_connected
        peers_watch = False
        store.put(KIND, 'b', {})
        await trio.sleep(2)
        assert names(mirror) == {'a', 'b'}
        nursery.cancel_scope.cancel()


def test_stale_peers_do_not_reset_grace_period():
    local_mirror = _mirror.Mirror(KIND)
    local_mirror.replace_all([], 5)
    clock = [0.0]
    sync = _peer_sync.PeerSync([local_mirror], lambda: clock[0])
    found = []
    for _ in range(20):
        clock[0] += 0.05
        found += sync.stale_kinds({KIND: 9})
        for _ in range(3):
            assert sync.stale_kinds({KIND: 5}) == []
    assert found
    local_mirror.replace_all([], 9)
    assert sync.stale_kinds({KIND: 9}) == []


def make_peer(objects, revision, epoch):
    mirror = _mirror.Mirror(KIND)
    mirror.replace_all(objects, revision, epoch)
    return mirror, _peer_sync.PeerSync([mirror], lambda: 0.0)


async def test_peer_of_an_earlier_epoch_does_not_bring_its_objects_back():
    """Guards against the copy of a peer that missed the store's new epoch."""
    old = ports.StoredObject('a', 90, 'old')
    new = ports.StoredObject('a', 7, 'new')
    mirror, sync = make_peer([new], 7, 2)
    _, peer = make_peer([old], 90, 1)
    assert sync.stale_kinds({KIND: 90}, False, 1) == []
    await sync.fetch(PeersStub(peer), 'vm2', KIND)
    assert mirror.objects_by_name == {'a': new}


async def test_peer_of_a_later_epoch_brings_all_objects():
    """Guards against comparing revisions of two histories of the store."""
    kept = ports.StoredObject('kept', 3, 'kept')
    lost = ports.StoredObject('lost', 90, 'lost')
    new = ports.StoredObject('new', 7, 'new')
    mirror, sync = make_peer([kept, lost], 90, 1)
    _, peer = make_peer([kept, new], 7, 2)
    assert sync.stale_kinds({KIND: 7}, False, 2) == [KIND]
    await sync.fetch(PeersStub(peer), 'vm2', KIND)
    assert mirror.objects_by_name == {'kept': kept, 'new': new}
    assert (mirror.epoch, mirror.revision) == (2, 7)
    assert sync.revisions() == {KIND: 7}


async def test_peer_of_an_earlier_release_counts_until_the_epoch_changes():
    """Guards against a peer that does not tell its epoch."""
    old = ports.StoredObject('a', 90, 'old')
    new = ports.StoredObject('a', 7, 'new')
    mirror, sync = make_peer([], 5, 1)
    assert sync.stale_kinds({KIND: 90}, False) == [KIND]
    mirror.replace_all([new], 7, 2)
    _, peer = make_peer([old], 90, 0)
    await sync.fetch(PeersStub(peer), 'vm2', KIND)
    assert mirror.objects_by_name == {'a': new}


def test_watch_of_a_later_epoch_requires_a_list():
    """Guards against revisions that were given out before."""
    mirror = _mirror.Mirror(KIND)
    mirror.replace_all([ports.StoredObject('a', 9, 'old')], 10, 1)
    change = ports.Change('b', 12, 'new')
    assert not mirror.apply(ports.Changes((change,), 12, 2))
    assert mirror.revision == 10
    assert not mirror.apply(ports.Changes((change,), 12, 0))
    assert names(mirror) == {'a'}


async def test_copy_is_as_old_as_what_peers_last_said(autojump_clock):
    """Guards against a copy that counts as confirmed without any call."""
    store = simulated_store.SimulatedStore()
    store.put(KIND, 'a', {})
    mirror = _mirror.Mirror(KIND)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            _store_watch.sync_mirrors,
            [mirror],
            store,
            trio.current_time,
            lambda kind: 3.0,
        )
        await trio.sleep(20)
        # What the peers had was not newer than that when they said so.
        told_age = _store_watch.told_age(mirror.freshness(), 0.0)
        assert mirror.confirmed_at == 3.0 - told_age
        nursery.cancel_scope.cancel()


def test_copy_that_peers_do_not_send_is_overdue():
    """Guards against waiting for a peer that does not send its copy."""
    clock = [0.0]
    mirror = _mirror.Mirror(KIND)
    mirror.replace_all([], 5)
    sync = _peer_sync.PeerSync([mirror], lambda: clock[0])
    assert sync.stale_kinds({KIND: 9}, is_watching=False) == [KIND]
    assert not sync.is_overdue(KIND)
    clock[0] = 2 * _peer_sync.OVERDUE_SECONDS
    assert sync.is_overdue(KIND)
    mirror.replace_all([], 9)
    assert not sync.is_overdue(KIND)


async def test_watches_that_end_at_once_are_not_repeated_at_once(
    autojump_clock,
):
    """Guards against calls without end to a store that does not wait."""

    class HastyStore(simulated_store.SimulatedStore):
        async def watch(self, kind, revision, timeout):
            await trio.sleep(0.001)
            return await super().watch(kind, revision, 0.0)

    store = HastyStore()
    store.put(KIND, 'a', {})

    async def check():
        await trio.sleep(10)
        assert store.calls < 40

    await run_sync(store, _mirror.Mirror(KIND), check)


async def test_copy_of_a_peer_with_a_lost_history_is_replaced(autojump_clock):
    """Guards against a peer of an earlier release after a restore."""
    store = simulated_store.SimulatedStore()
    store.put(KIND, 'kept', {})
    mirror = _mirror.Mirror(KIND)
    real_watch, real_list = store.watch, store.list_objects

    async def watch(kind, revision, timeout):
        if revision > store.revision:
            raise ports.RevisionCompacted
        changes = await real_watch(kind, revision, timeout)
        return dataclasses.replace(changes, epoch=2)

    async def list_objects(kind):
        return dataclasses.replace(await real_list(kind), epoch=2)

    store.watch, store.list_objects = watch, list_objects
    lost = [ports.StoredObject('lost', 40, {})]

    async def check():
        await trio.sleep(1)
        mirror.merge(lost, ['lost'], 50, mirror.epoch, 'vm2')
        assert names(mirror) == {'lost'}
        await trio.sleep(2)
        assert names(mirror) == {'kept'}
        sync = _peer_sync.PeerSync([mirror], trio.current_time)
        assert sync.stale_kinds({KIND: 50}, False) == []

    await run_sync(store, mirror, check)


async def test_refused_confirmation_leaves_a_working_watch(autojump_clock):
    """Guards against a node that drops its watch while the store is busy."""
    store = simulated_store.SimulatedStore()
    store.put(KIND, 'a', {})
    mirror = _mirror.Mirror(KIND)
    real_watch = store.watch
    calls = []

    async def watch(kind, revision, timeout):
        if calls:
            calls.append(timeout)
            raise ports.StoreUnavailable('store returned status 429')
        return await real_watch(kind, revision, timeout)

    store.watch = watch

    async def check():
        await trio.sleep(1)
        calls.append('refuse')
        await trio.sleep(1.5)
        store.put(KIND, 'b', {})
        await trio.sleep(1)
        assert names(mirror) == {'a', 'b'}
        await trio.sleep(10)
        # Retries are limited while the store refuses calls.
        assert len(calls) < 40

    await run_sync(store, mirror, check)
