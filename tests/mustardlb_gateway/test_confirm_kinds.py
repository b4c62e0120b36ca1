"""Copies of several kinds are confirmed in time beside a slow store."""

import simulated_store
import test_fleet_store_views
import trio

from mustardlb_gateway import _mirror
from mustardlb_gateway import _store_watch

KINDS = ['targets', 'config', 'versions', 'evacuations']
FRESHNESS_SECONDS = 2.0
RESPONSE_SECONDS = 0.25


class SlowStore(simulated_store.SimulatedStore):
    async def watch(self, kind, revision, wait):
        # A call that waits is already at the store when a change is written.
        await trio.sleep(0.0 if wait else RESPONSE_SECONDS)
        return await super().watch(kind, revision, wait)


async def test_changes_of_all_kinds_are_in_force_though_the_store_is_slow(
    autojump_clock,
):
    """The last kind was late, as each waited for the response of another."""
    store = SlowStore()
    mirrors = [
        _mirror.Mirror(each, lambda: FRESHNESS_SECONDS) for each in KINDS
    ]
    for kind in KINDS:
        store.put(kind, 'main', 'first')
    link = test_fleet_store_views.Link(store)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            _store_watch.sync_mirrors, mirrors, link, trio.current_time
        )
        await trio.sleep(4)
        before = [each.confirmed_at for each in mirrors]
        while before == [each.confirmed_at for each in mirrors]:
            await trio.sleep(0.01)
        link.silence()
        for kind in KINDS:
            store.put(kind, 'main', 'second')
        await trio.sleep(FRESHNESS_SECONDS)
        specs = [each.objects_by_name['main'].spec for each in mirrors]
        nursery.cancel_scope.cancel()
    assert specs == ['second'] * len(KINDS)
