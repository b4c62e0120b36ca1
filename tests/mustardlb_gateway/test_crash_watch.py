"""Whether targets have ended, and what is saved about it."""

import builders
import scripted
import simulated_store
import trio

from mustardlb_gateway import _crash_decision
from mustardlb_gateway import _crash_records
from mustardlb_gateway import _crash_watch
from mustardlb_gateway import _crashes
from mustardlb_gateway import _quarantine
from mustardlb_gateway import _saved_object

CALL = builders.make_call(parts=[('bad', 10), ('last', 10)])


def make_evidence(suspect='bad', at=100.0):
    reports = [
        _crashes.CrashReport(f't{n}', 1, at + n, {suspect: at + n - 0.1})
        for n in range(_crash_decision.CRASHES_TO_QUARANTINE)
    ]
    return _crashes.Evidence(
        {report.key: report for report in reports},
        {_crashes.ANY_REQUEST: at + 1},
    )


class Watch:
    """A crash watch with its quarantine and store."""

    def __init__(self, store=None):
        self.store = store or simulated_store.SimulatedStore()
        self.quarantine = _quarantine.Quarantine(
            trio.current_time, lambda: 0.0, trio.current_time
        )
        self.watch = _crash_watch.CrashWatch(
            self.quarantine,
            self.store,
            lambda target: False,
            trio.current_time,
        )

    @property
    def reported(self):
        return set(self.quarantine.evidence.report_by_key)


async def never_respond(connection, head, body):
    await trio.sleep_forever()


async def test_target_that_refuses_connections_is_reported(autojump_clock):
    watch = Watch()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(watch.watch.run)
        await trio.sleep(0.1)
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        port = listeners[0].socket.getsockname()[1]
        await listeners[0].aclose()
        target = builders.make_target('ended', port=port)
        watch.watch.record_failure(target, CALL, True, 0.1)
        await trio.sleep(1)
        assert watch.reported == {('ended', 1)}
        nursery.cancel_scope.cancel()


# A reset of connections, as by a middlebox, is not the end of their target.
async def test_target_that_accepts_connections_is_not_reported():
    watch = Watch()
    async with (
        scripted.ScriptedServer(never_respond).running() as server,
        trio.open_nursery() as nursery,
    ):
        nursery.start_soon(watch.watch.run)
        await trio.sleep(0.05)
        target = builders.make_target(port=server.port)
        watch.watch.record_failure(target, CALL, True, 0.1)
        await trio.sleep(0.5)
        assert server.opened == len(_crash_watch.CHECK_DELAYS_SECONDS)
        assert not watch.reported
        nursery.cancel_scope.cancel()


# A target that went silent, or has started again already.
async def test_target_that_is_removed_is_reported(autojump_clock):
    watch = Watch()
    target = builders.make_target()
    watch.watch.record_failure(target, CALL, False, 0.1)
    await trio.sleep(4)
    watch.watch.handle_removal(target)
    assert watch.reported == {('t1', 1)}


async def test_registration_that_lapsed_with_the_store_is_no_crash():
    watch = Watch()
    watch.watch = _crash_watch.CrashWatch(
        watch.quarantine, watch.store, lambda target: True
    )
    watch.watch.record_failure(builders.make_target(), CALL, False, 0.1)
    watch.watch.handle_removal(builders.make_target())
    assert not watch.reported


# After the end of all processes, each engine would be crashed anew.
async def test_quarantine_outlives_the_restart_of_all_nodes(autojump_clock):
    first = Watch()
    store = first.store
    store.is_down = True
    async with trio.open_nursery() as nursery:
        nursery.start_soon(first.watch.run)
        first.quarantine.record_output(builders.make_call(), 0.0)
        for number in range(3):
            target = builders.make_target(f't{number}')
            first.quarantine.record_failure(target, CALL, 0.1)
            first.quarantine.confirm_crash(target, 'test')
            await trio.sleep(0.3)
            first.quarantine.record_output(builders.make_call(), 0.0)
        await trio.sleep(3)
        assert first.quarantine.wait(CALL) > 0
        store.is_down = False
        await trio.sleep(2)
        nursery.cancel_scope.cancel()
    second = Watch(store)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(second.watch.run)
        await trio.sleep(0.1)
        assert second.quarantine.wait(CALL) > 0
        nursery.cancel_scope.cancel()


async def test_evidence_of_several_nodes_is_saved_together(autojump_clock):
    store = simulated_store.SimulatedStore()
    async with trio.open_nursery() as nursery:
        for number in range(4):
            evidence = make_evidence(f'bad{number}')
            nursery.start_soon(_crash_records.save, store, evidence, 110.0)
    saved = await _crash_records.load(store)
    assert saved.suspects == {f'bad{number}' for number in range(4)}


async def test_malformed_record_is_replaced():
    store = simulated_store.SimulatedStore()
    store.put(_crash_records.KIND, _saved_object.NAME, {'reports': [3]})
    assert not await _crash_records.load(store)
    await _crash_records.save(store, make_evidence(), 110.0)
    assert await _crash_records.load(store) == make_evidence()
