"""Shared state of a small simulated fleet in virtual time."""

import dataclasses
import itertools

import fleet as fleets
import trio

from mustardlb_standins import faults
from mustardlbd import _shared_state
from mustardlbd import _tree_layout


async def apply(fleet, name='contract/midland', value=b'one', change='a'):
    return await fleets.Operator(fleet.api).apply(change, {name: value})


async def wait_on_all(nodes, revision, timeout=5):
    """Wait until each node has a revision; return the seconds it took."""
    start = trio.current_time()
    for node in nodes:
        found = await node.state.wait_revision(revision, timeout)
        assert found.in_force, (node.vm_id, found)
        assert found.accepted, (node.vm_id, found)
    return trio.current_time() - start


def test_change_becomes_active_on_every_node():
    async def scenario(fleet):
        revision = await apply(fleet)
        nodes = fleet.nodes_by_id.values()
        assert await wait_on_all(nodes, revision) < 2
        assert all(node.admits() for node in nodes)
        for node in nodes:
            assert node.state.snapshot().values == {'contract/midland': b'one'}

    fleets.run(scenario)


def test_nodes_stay_current_in_a_15_minute_api_outage():
    async def scenario(fleet):
        revision = await apply(fleet)
        await wait_on_all(fleet.nodes_by_id.values(), revision)
        fleet.api.plan.add('*', faults.Kind.DROP, seconds=1, times=None)
        for _ in range(900):
            await trio.sleep(1)
            for node in fleet.nodes_by_id.values():
                assert node.admits(), (node.vm_id, node.state.status())

    fleets.run(scenario, size=4)


def test_new_node_becomes_current_during_an_outage():
    async def scenario(fleet):
        revision = await apply(fleet)
        await wait_on_all(fleet.nodes_by_id.values(), revision)
        fleet.api.plan.add('*', faults.Kind.DROP, seconds=1, times=None)
        await trio.sleep(10)
        new_node = fleet.start('vm-new')
        assert not new_node.admits()
        await trio.sleep(5)
        assert new_node.admits()
        assert new_node.state.snapshot().revision == revision

    fleets.run(scenario)


def test_stale_watch_results_cause_no_busy_loop():
    async def scenario(fleet):
        await apply(fleet)
        await trio.sleep(1)
        fleet.network.lagging.update(fleet.nodes_by_id)
        await apply(fleet, value=b'two')
        fleet.api.calls.clear()
        await trio.sleep(10)
        assert fleet.api.calls['watch'] < 10 * 6 * 6

    fleets.run(scenario)


def test_confirmation_is_dated_by_its_request():
    async def scenario(fleet):
        fleet.api.plan.add('put:*', faults.Kind.DELAY, seconds=1.2, times=None)
        fleet.network.partition(['vm-0'], ['vm-1', 'vm-2'])
        await trio.sleep(5)
        state = fleet.nodes_by_id['vm-0'].state
        for _ in range(100):
            await trio.sleep(0.1)
            assert state.status().evidence == 'api'
            assert state.staleness() >= 1.2

    fleets.run(scenario, size=3)


def test_change_propagates_past_two_unreachable_watchers():
    async def scenario(fleet):
        unreachable = _tree_layout.rank_vms(fleet.nodes_by_id)[:2]
        others = [vm for vm in fleet.nodes_by_id if vm not in unreachable]
        fleet.network.partition(unreachable, [*others, fleets.API])
        revision = await apply(fleet)
        nodes = [fleet.nodes_by_id[vm_id] for vm_id in others]
        assert await wait_on_all(nodes, revision) < 3

    fleets.run(scenario)


def test_isolated_node_rejects_requests():
    async def scenario(fleet):
        vms = list(fleet.nodes_by_id)
        for vm_id in vms:
            isolated = fleet.nodes_by_id[vm_id]
            others = [one for one in vms if one != vm_id]
            fleet.network.partition([vm_id], [*others, fleets.API])
            await trio.sleep(5)
            assert not isolated.admits()
            assert all(fleet.nodes_by_id[one].admits() for one in others)
            fleet.network.mend()
            await trio.sleep(6)
            assert isolated.admits()

    fleets.run(scenario)


def test_new_node_fetches_last_good_value_of_invalid_object():
    async def scenario(fleet):
        await apply(fleet, value=b'good')
        await trio.sleep(2)
        await apply(fleet, value=b'invalid')
        await trio.sleep(2)
        new_node = fleet.start('vm-new')
        await trio.sleep(5)
        snapshot = new_node.state.snapshot()
        assert snapshot.values == {'contract/midland': b'good'}
        assert [one.name for one in snapshot.invalid] == ['contract/midland']
        assert new_node.admits()

    fleets.run(scenario)


def test_withdrawn_key_propagates_in_three_seconds_with_a_dead_node():
    async def scenario(fleet):
        revision = await apply(fleet, 'keys/midland', b'key')
        await wait_on_all(fleet.nodes_by_id.values(), revision)
        for number in range(7):
            vm_id = f'vm-{number}'
            fleet.network.pause(vm_id)
            revision = await apply(fleet, 'keys/midland', b'none%d' % number)
            await trio.sleep(3)
            for node in fleet.nodes_by_id.values():
                if node.vm_id != vm_id:
                    assert node.state.snapshot().revision == revision
                    assert node.admits()
            await trio.sleep(2)
            fleet.network.resume(vm_id)
            node = fleet.nodes_by_id[vm_id]
            assert not node.admits() or (
                node.state.snapshot().revision == revision
            )
            await trio.sleep(6)

    fleets.run(scenario)


def test_clock_may_advance_while_a_poll_is_built():
    def make_state(identity, platform, server, validate):
        readings = itertools.count()

        def now():
            return trio.current_time() + next(readings) * 2e-3

        platform = dataclasses.replace(platform, now=now)
        return _shared_state.SharedState(identity, platform, server, validate)

    async def scenario(fleet):
        revision = await apply(fleet)
        await trio.sleep(5)
        for node in fleet.nodes_by_id.values():
            assert node.admits()
            assert node.state.snapshot().revision == revision

    fleets.run(scenario, make_state=make_state)
