"""The owner table: minimal moves, one owner a slice, write faults."""

import collections

import fleet as fleets
import hypothesis
from hypothesis import strategies as st
import pytest
import state_oracle
import trio

from mustardlb_standins import faults
from mustardlbd import _membership
from mustardlbd import _owner_table
from mustardlbd import _owners

EMPTY = (_owners.Slice(),) * _owners.SLICES

vm_sets = st.frozensets(
    st.integers(0, 400).map('vm-{}'.format), min_size=1, max_size=40
)


@hypothesis.settings(
    max_examples=25, derandomize=True, database=None, deadline=None
)
@hypothesis.given(st.lists(vm_sets, min_size=2, max_size=4))
def test_only_slices_of_vms_that_came_or_went_move(memberships):
    slices = EMPTY
    alive = frozenset()
    for epoch, vm_ids in enumerate(memberships, start=1):
        moved = _owner_table.assign(slices, vm_ids, epoch)
        came = vm_ids - alive
        for before, after in zip(slices, moved, strict=True):
            assert after.vm_id in vm_ids
            if before.vm_id in vm_ids and before != after:
                assert after.vm_id in came
            assert after == before or after.epoch == epoch
        slices, alive = moved, vm_ids


def test_slices_are_distributed_evenly():
    vm_ids = frozenset(f'vm-{number}' for number in range(7))
    slices = _owner_table.assign(EMPTY, vm_ids, 1)
    counts = collections.Counter(one.vm_id for one in slices)
    assert max(counts.values()) < 2.5 * _owners.SLICES / 7
    assert min(counts.values()) > _owners.SLICES / 7 / 2.5


def acting(fleet, number, kind='accounts'):
    return [
        node.vm_id
        for node in fleet.nodes_by_id.values()
        if node.state.may_act(kind, number)
    ]


async def warm_up(fleet):
    await trio.sleep(15)
    fleet.nursery.start_soon(state_oracle.Oracle(fleet).run)


@pytest.mark.parametrize(
    'kind',
    [
        faults.Kind.RESPONSE_LOST,
        faults.Kind.LATE,
        faults.Kind.DROP,
        faults.Kind.DELAY,
    ],
)
def test_slices_of_a_dead_vm_move_despite_write_faults(kind):
    async def scenario(fleet):
        await warm_up(fleet)
        table = fleet.nodes_by_id['vm-0'].state.owners()
        dead = table.slices[0].vm_id
        fleet.api.plan.add('put:fleet/owners', kind, seconds=2, times=8)
        fleet.kill(dead)
        await trio.sleep(40)
        (owner,) = acting(fleet, 0)
        after = fleet.nodes_by_id[owner].state.owners().slices[0]
        assert after.vm_id == owner
        assert after.epoch > table.slices[0].epoch
        for number in range(_owners.SLICES):
            assert len(acting(fleet, number)) == 1

    fleets.run(scenario)


def test_owners_keep_acting_in_an_api_outage():
    async def scenario(fleet):
        await warm_up(fleet)
        before = {number: acting(fleet, number) for number in range(256)}
        fleet.api.plan.add('*', faults.Kind.DROP, seconds=1, times=None)
        fleet.start('vm-new')
        await trio.sleep(30)
        after = {number: acting(fleet, number) for number in range(256)}
        assert after == before

    fleets.run(scenario)


def test_release_lets_the_new_owner_act_immediately():
    async def scenario(fleet):
        await warm_up(fleet)
        state = fleet.nodes_by_id['vm-0'].state
        old = fleet.nodes_by_id[state.owners().slices[0].vm_id]
        version = state.owners().version
        fleet.vms.leave(old.vm_id)
        with trio.fail_after(20):
            while old.state.owners().version == version:
                await old.state.wait_changed()
        assert acting(fleet, 0) == []
        await old.state.release('accounts', [0])
        owner = old.state.owners().slices[0].vm_id
        assert acting(fleet, 0) == [owner]
        assert acting(fleet, 0, 'targets') == []
        await trio.sleep(10)
        assert acting(fleet, 0, 'targets') == [owner]

    fleets.run(scenario)


async def test_members_follow_the_vm_list(autojump_clock):
    vms = fleets.FakeVmList()
    for vm_id in ('a', 'b', 'c'):
        vms.add(vm_id)
    membership = _membership.Membership(vms, trio.current_time)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(membership.run)
        await membership.ready.wait()
        assert membership.members().voter_sets == ()
        await trio.sleep(_membership.VOTER_SET_TTL_SECONDS + 0.1)
        assert membership.members().voter_sets == (frozenset('abc'),)
        membership.set_reachable('c', is_reachable=False)
        vms.leave('b')
        vms.remove('a')
        vms.add('a2')
        await trio.sleep(_membership.LIST_INTERVAL_SECONDS + 0.1)
        members = membership.members()
        assert members.vms_by_id['a2'].address == '127.0.0.1'
        assert membership.find_vm('a') is None
        assert members.live == {'a2', 'c'}
        assert members.reachable == {'a2'}
        lists = membership.members().voter_sets
        assert set(lists) == {frozenset('abc'), frozenset(['a2', 'b', 'c'])}
        await trio.sleep(_membership.VOTER_SET_TTL_SECONDS)
        lists = membership.members().voter_sets
        assert lists == (frozenset(['a2', 'b', 'c']),)
        vms.vms_by_id.clear()
        vms.down = True
        await trio.sleep(60)
        assert membership.members().live == {'a2', 'c'}
        nursery.cancel_scope.cancel()


def test_minority_that_reaches_the_api_takes_no_slices():
    async def scenario(fleet):
        await warm_up(fleet)
        minority = ['vm-0', 'vm-1', 'vm-2']
        others = [one for one in fleet.nodes_by_id if one not in minority]
        fleet.network.partition(minority, others)
        await trio.sleep(40)
        owners = fleet.nodes_by_id['vm-0'].state.owners()
        assert {one.vm_id for one in owners.slices} == set(others)
        version = owners.version
        await trio.sleep(40)
        for node in fleet.nodes_by_id.values():
            assert node.admits()
            assert node.state.owners().version == version

    fleets.run(scenario)
