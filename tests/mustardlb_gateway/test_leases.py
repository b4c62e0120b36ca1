import pytest
import simulated_store
import trio

from mustardlb_gateway import _centres
from mustardlb_gateway import _engine_holders
from mustardlb_gateway import _fences
from mustardlb_gateway import _leases

HANDOVER_SECONDS = 3.0


def make_leases(
    store,
    vm,
    fences_checked=True,
    incarnation=1,
    told_fence=lambda target_id: 0,
    epoch=lambda: 0,
):
    return _leases.Leases(
        vm,
        incarnation,
        store,
        trio.current_time,
        lambda: HANDOVER_SECONDS,
        lambda: fences_checked,
        lambda: 1e9 + trio.current_time(),
        told_fence,
        epoch,
    )


async def test_each_holder_gets_a_higher_fencing_token(autojump_clock):
    store = simulated_store.SimulatedStore()
    tokens = []
    for vm in ('vm1', 'vm2', 'vm1'):
        lease = await make_leases(store, vm).claim('t1')
        tokens.append(lease.fence)
    assert tokens == [1, 2, 3]


async def test_new_holder_sends_no_commands_during_the_handover_time(
    autojump_clock,
):
    store = simulated_store.SimulatedStore()
    first = make_leases(store, 'vm1')
    lease = await first.claim('t1')
    assert await first.may_send_commands(lease, True)
    second = make_leases(store, 'vm2')
    later = await second.claim('t1')
    assert not await second.may_send_commands(later, True)
    await trio.sleep(HANDOVER_SECONDS)
    assert not await second.may_send_commands(later, True)
    await trio.sleep(_leases.HANDOVER_MARGIN_SECONDS + 0.01)
    assert await second.may_send_commands(later, True)


async def test_holder_without_quorum_verifies_its_lease(autojump_clock):
    store = simulated_store.SimulatedStore()
    first = make_leases(store, 'vm1')
    lease = await first.claim('t1')
    await trio.sleep(5)
    assert await first.may_send_commands(lease, False)
    await make_leases(store, 'vm2').claim('t1')
    await trio.sleep(_leases.VERIFICATION_TTL_SECONDS)
    assert not await first.may_send_commands(lease, False)
    assert first.by_target == {}


async def test_no_command_is_sent_without_store_and_quorum(autojump_clock):
    store = simulated_store.SimulatedStore()
    leases = make_leases(store, 'vm1')
    lease = await leases.claim('t1')
    store.is_down = True
    await trio.sleep(_leases.VERIFICATION_TTL_SECONDS + 0.1)
    assert not await leases.may_send_commands(lease, False)
    assert await leases.may_send_commands(lease, True)


async def test_lease_is_verified_if_engines_ignore_fencing_tokens(
    autojump_clock,
):
    store = simulated_store.SimulatedStore()
    leases = make_leases(store, 'vm1', fences_checked=False)
    lease = await leases.claim('t1')
    await trio.sleep(2)
    await make_leases(store, 'vm2').claim('t1')
    assert not await leases.may_send_commands(lease, True)


async def test_claim_without_response_is_resolved_by_the_next(
    autojump_clock,
):
    store = simulated_store.SimulatedStore()
    leases = make_leases(store, 'vm1')
    store.lose_responses = True
    assert await leases.claim('t1') is None
    store.lose_responses = False
    lease = await leases.claim('t1')
    assert lease.fence == 2
    assert await leases.may_send_commands(lease, True)


async def test_delayed_claim_of_an_earlier_holder_is_rejected(autojump_clock):
    store = simulated_store.SimulatedStore()
    store.delay_writes = True
    assert await make_leases(store, 'vm1').claim('t1') is None
    store.delay_writes = False
    lease = await make_leases(store, 'vm2').claim('t1')
    for write in store.delayed_writes:
        try:
            store.apply_write(*write)
        except Exception as conflict:
            assert conflict.current.revision == lease.revision


def test_preferred_vm_is_balanced_and_stable():
    vms = {'vm1', 'vm2', 'vm3'}
    chosen = {
        f't{number}': _leases.preferred_vm(vms, f't{number}')
        for number in range(60)
    }
    assert set(chosen.values()) == vms
    for target_id, vm in chosen.items():
        rest = vms - {'vm3'} if vm != 'vm3' else vms
        assert _leases.preferred_vm(rest, target_id) == vm


# The lease that the node then read was its own, so that it did not wait for
# the holder before, and both sent commands.
@pytest.mark.parametrize('pause', [0.0, 1.0])
async def test_handover_time_counts_if_the_response_was_lost(
    pause, autojump_clock
):
    store = simulated_store.SimulatedStore()
    await make_leases(store, 'vm1').claim('t1')
    second = make_leases(store, 'vm2')
    store.lose_responses = True
    assert await second.claim('t1') is None
    store.lose_responses = False
    await trio.sleep(pause)
    lease = await second.claim('t1')
    assert lease.fence == 3
    assert not await second.may_send_commands(lease, True)
    await trio.sleep(HANDOVER_SECONDS - pause)
    assert not await second.may_send_commands(lease, True)
    await trio.sleep(pause + _leases.HANDOVER_MARGIN_SECONDS + 0.01)
    assert await second.may_send_commands(lease, True)


# A node that restarted within the handover time did not wait for the rest.
async def test_handover_time_counts_if_the_new_holder_restarts(
    autojump_clock,
):
    store = simulated_store.SimulatedStore()
    await make_leases(store, 'vm1').claim('t1')
    assert await make_leases(store, 'vm2').claim('t1')
    await trio.sleep(1)
    restarted = make_leases(store, 'vm2', incarnation=2)
    lease = await restarted.claim('t1')
    assert not await restarted.may_send_commands(lease, True)
    await trio.sleep(HANDOVER_SECONDS - 1)
    assert not await restarted.may_send_commands(lease, True)
    await trio.sleep(_leases.HANDOVER_MARGIN_SECONDS + 0.01)
    assert await restarted.may_send_commands(lease, True)
    # Later, no node can be unaware of the handover any more.
    again = make_leases(store, 'vm2', incarnation=3)
    lease = await again.claim('t1')
    assert await again.may_send_commands(lease, True)


# A response that waited in the socket of a paused process confirmed a lease
# that another node had taken meanwhile.
@pytest.mark.parametrize('seconds', [2.0, 10.0, 30.0])
async def test_late_confirmation_of_a_lease_does_not_count(
    seconds, autojump_clock
):
    store = simulated_store.SimulatedStore()
    leases = make_leases(store, 'vm1')
    lease = await leases.claim('t1')
    await trio.sleep(5)
    get = store.get

    async def get_late(kind, name):
        stored = await get(kind, name)
        await trio.sleep(seconds)
        return stored

    store.get = get_late
    assert not await leases.may_send_commands(lease, False)
    store.get = get
    assert await leases.may_send_commands(lease, False)


async def test_lease_of_another_node_with_the_same_revision_is_not_the_own(
    autojump_clock,
):
    """Guards against a store that gives out revisions again."""
    store = simulated_store.SimulatedStore()
    first = make_leases(store, 'vm1')
    lease = await first.claim('t1')
    # The store continues from a copy without the lease.
    store.objects_by_kind.clear()
    store.revision = lease.revision - 1
    other = await make_leases(store, 'vm2').claim('t1')
    assert other.revision == lease.revision
    await trio.sleep(_leases.VERIFICATION_TTL_SECONDS)
    assert not await first.may_send_commands(lease, False)


async def test_fencing_tokens_rise_though_the_store_has_lost_the_lease(
    autojump_clock,
):
    """Guards against two holders with one token after a restore."""
    store = simulated_store.SimulatedStore()
    first = make_leases(store, 'vm1')
    lease = await first.claim('t1')
    store.objects_by_kind.clear()
    second = make_leases(store, 'vm2', told_fence=lambda target_id: 1)
    assert (await second.claim('t1')).fence == lease.fence + 1
    store.objects_by_kind.clear()
    assert (await second.claim('t1')).fence == lease.fence + 2


async def test_fencing_tokens_rise_though_nobody_remembers_the_lease(
    autojump_clock,
):
    """Guards against a token given out again after a restore and restarts."""
    store = simulated_store.SimulatedStore()
    lease = await make_leases(store, 'vm1', epoch=lambda: 1).claim('t1')
    store.objects_by_kind.clear()
    later = await make_leases(store, 'vm2', epoch=lambda: 2).claim('t1')
    assert later.fence > lease.fence


def test_highest_fencing_token_outlives_its_holder():
    """Guards against forgetting the token of a node that has ended."""
    holders = _engine_holders.EngineHolders(frozenset)
    holding = _centres.Holding('t1', 7, 1, True, {}, 0)
    state = _centres.CentreState(holdings={('vm1', 't1'): holding})
    holders.apply_fleet_view({'a': state})
    holders.apply_fleet_view({})
    holders.discard('t1')
    assert holders.highest_fence('t1') == 7


def test_memory_of_fencing_tokens_is_bounded():
    """Guards against memory that grows with all targets there ever were."""
    fences = _fences.HighestFences(max_targets=2)
    for target_id in ('t1', 't2', 't1', 't3'):
        fences.record(target_id, 5)
    assert [fences.get(f't{number}') for number in (1, 2, 3)] == [5, 0, 5]
    fences.record('t1', 4)
    assert fences.get('t1') == 5
