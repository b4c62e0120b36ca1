"""Copies of the store's objects over real connections to a simulated store."""

import contextlib

import pytest
import soak_proxy
import soak_store
import trio

from mustardlb_gateway import _mirror
from mustardlb_gateway import _store_watch
from mustardlb_platform import _store

KIND = 'config'

# Time within which an acknowledged change is in force.
IN_FORCE_SECONDS = 2.0


@contextlib.asynccontextmanager
async def running_copy():
    """Yield a store, the proxy before it, and a copy that follows it."""
    store = soak_store.HttpStore()
    store.put(KIND, 'main', 'first')
    async with contextlib.AsyncExitStack() as stack:
        await stack.enter_async_context(store.server.running())
        proxy = soak_proxy.Proxy(store.server.port)
        await stack.enter_async_context(proxy.running())
        mirror = _mirror.Mirror(KIND)
        client = _store.Store('127.0.0.1', proxy.port)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                _store_watch.sync_mirrors, [mirror], client, trio.current_time
            )
            await until_equal(mirror, 'first')
            yield store, proxy, mirror
            nursery.cancel_scope.cancel()


async def until_equal(mirror, spec, timeout=IN_FORCE_SECONDS):
    """Wait until the copy has an object; raises trio.TooSlowError."""
    with trio.fail_after(timeout):
        while True:
            stored = mirror.objects_by_name.get('main')
            if stored is not None and stored.spec == spec:
                return
            await trio.sleep(0.01)


@pytest.mark.parametrize('changed_before', [0.0, 0.3, 0.9])
async def test_change_is_in_force_though_kept_connections_are_silent(
    changed_before,
):
    """Guards against a silent watch that is taken for one without news."""
    async with running_copy() as (store, proxy, mirror):
        store.put(KIND, 'main', 'second')
        await until_equal(mirror, 'second')
        await trio.sleep(changed_before)
        proxy.silence()
        store.put(KIND, 'main', 'third')
        await until_equal(mirror, 'third')


@pytest.mark.parametrize('more_changes', [0, 3, 30])
async def test_change_is_in_force_after_the_store_continues_from_a_copy(
    more_changes,
):
    """Guards against dropping all of a store whose revisions went back."""
    async with running_copy() as (store, _, mirror):
        saved = store.copy()
        for number in range(20):
            store.put(KIND, 'main', number)
        await until_equal(mirror, 19)
        store.restore(saved)
        for number in range(more_changes):
            store.put('other', 'name', number)
        store.put(KIND, 'main', 'restored')
        await until_equal(mirror, 'restored')
        store.put(KIND, 'main', 'next')
        await until_equal(mirror, 'next')


async def test_change_is_in_force_though_its_revision_was_given_out_before():
    """Guards against a watch across two histories of the store."""
    async with running_copy() as (store, proxy, mirror):
        saved = store.copy()
        store.put(KIND, 'main', 'lost')
        await until_equal(mirror, 'lost')
        proxy.set_mode('reset')
        store.restore(saved)
        store.put(KIND, 'main', 'restored')
        proxy.set_mode('pass')
        await until_equal(mirror, 'restored')


async def epochs_of(*eras):
    """Return the epochs of lists whose responses state these eras."""
    store = soak_store.HttpStore()
    async with store.server.running():
        client = _store.Store('127.0.0.1', store.server.port)
        found = []
        for era in eras:
            store.era = era
            found.append((await client.list_objects(KIND)).epoch)
    return found


async def test_epoch_out_of_range_is_no_epoch():
    """Guards against fencing tokens that have no form in 64 bits."""
    assert await epochs_of(3, 10**17, 10**12) == [3, 3, 3]


async def test_late_response_does_not_lower_the_last_epoch():
    """Guards against responses without an epoch that count as earlier."""
    assert await epochs_of(4, 3, 10**17) == [4, 3, 4]
