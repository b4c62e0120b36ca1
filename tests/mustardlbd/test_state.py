"""Shared state of a small fleet in virtual time."""

import dataclasses
import itertools

import fleet as fleets
import trio

from mustardlb_standins import faults
from mustardlbd import _shared_state
from mustardlbd import _tree_layout


async def apply(fleet, name='contract/midland', value=b'one', change='a'):
    return await fleets.Operator(fleet.api).apply(change, {name: value})


async def wait_everywhere(nodes, revision, timeout=5):
    """Wait for a revision at each node; returns the seconds it took."""
    start = trio.current_time()
    for node in nodes:
        found = await node.state.wait_revision(revision, timeout)
        assert found.in_force, (node.vm_id, found)
        assert found.accepted, (node.vm_id, found)
    return trio.current_time() - start


def test_change_comes_into_force_everywhere():
    async def scenario(fleet):
        revision = await apply(fleet)
        nodes = fleet.nodes_by_id.values()
        assert await wait_everywhere(nodes, revision) < 2
        assert all(node.admits() for node in nodes)
        for node in nodes:
            assert node.state.snapshot().values == {'contract/midland': b'one'}

    fleets.run(scenario)


def test_api_outage_of_15_minutes_makes_nobody_stale():
    async def scenario(fleet):
        revision = await apply(fleet)
        await wait_everywhere(fleet.nodes_by_id.values(), revision)
        fleet.api.plan.add('*', faults.Kind.DROP, seconds=1, times=None)
        for _ in range(900):
            await trio.sleep(1)
            for node in fleet.nodes_by_id.values():
                assert node.admits(), (node.vm_id, node.state.status())

    fleets.run(scenario, size=4)


def test_newcomer_becomes_current_during_an_outage():
    async def scenario(fleet):
        revision = await apply(fleet)
        await wait_everywhere(fleet.nodes_by_id.values(), revision)
        fleet.api.plan.add('*', faults.Kind.DROP, seconds=1, times=None)
        await trio.sleep(10)
        newcomer = fleet.start('vm-new')
        assert not newcomer.admits()
        await trio.sleep(5)
        assert newcomer.admits()
        assert newcomer.state.snapshot().revision == revision

    fleets.run(scenario)


def test_watch_that_shows_old_states_keeps_nobody_busy():
    async def scenario(fleet):
        await apply(fleet)
        await trio.sleep(1)
        fleet.network.lagging.update(fleet.nodes_by_id)
        await apply(fleet, value=b'two')
        fleet.api.calls.clear()
        await trio.sleep(10)
        assert fleet.api.calls['watch'] < 10 * 6 * 6

    fleets.run(scenario)


def test_evidence_dates_from_the_question():
    async def scenario(fleet):
        fleet.api.plan.add('put:*', faults.Kind.DELAY, seconds=1.2, times=None)
        fleet.network.part(['vm-0'], ['vm-1', 'vm-2'])
        await trio.sleep(5)
        state = fleet.nodes_by_id['vm-0'].state
        for _ in range(100):
            await trio.sleep(0.1)
            assert state.status().evidence == 'api'
            assert state.staleness() >= 1.2

    fleets.run(scenario, size=3)


def test_change_spreads_past_two_silent_watchers():
    async def scenario(fleet):
        silent = _tree_layout.rank_vms(fleet.nodes_by_id)[:2]
        others = [vm for vm in fleet.nodes_by_id if vm not in silent]
        fleet.network.part(silent, [*others, fleets.API])
        revision = await apply(fleet)
        nodes = [fleet.nodes_by_id[vm_id] for vm_id in others]
        assert await wait_everywhere(nodes, revision) < 3

    fleets.run(scenario)


def test_cut_off_node_refuses():
    async def scenario(fleet):
        vms = list(fleet.nodes_by_id)
        for vm_id in vms:
            alone = fleet.nodes_by_id[vm_id]
            others = [one for one in vms if one != vm_id]
            fleet.network.part([vm_id], [*others, fleets.API])
            await trio.sleep(5)
            assert not alone.admits()
            assert all(fleet.nodes_by_id[one].admits() for one in others)
            fleet.network.mend()
            await trio.sleep(6)
            assert alone.admits()

    fleets.run(scenario)


def test_newcomer_takes_the_last_good_value_of_an_invalid_object():
    async def scenario(fleet):
        await apply(fleet, value=b'good')
        await trio.sleep(2)
        await apply(fleet, value=b'invalid')
        await trio.sleep(2)
        newcomer = fleet.start('vm-new')
        await trio.sleep(5)
        snapshot = newcomer.state.snapshot()
        assert snapshot.values == {'contract/midland': b'good'}
        assert [one.name for one in snapshot.invalid] == ['contract/midland']
        assert newcomer.admits()

    fleets.run(scenario)


def test_withdrawn_key_is_refused_in_three_seconds_with_a_node_dead():
    async def scenario(fleet):
        revision = await apply(fleet, 'keys/midland', b'key')
        await wait_everywhere(fleet.nodes_by_id.values(), revision)
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


def test_time_that_passes_while_a_poll_is_made_does_no_harm():
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
