"""Shared state of a small fleet in virtual time."""

import fleet as fleets
import trio

from mustardlb_standins import faults


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

    fleets.run(scenario)


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
