import simulated_store
import trio

from mustardlb_gateway import _leases

HANDOVER = 3.0


def make_leases(store, vm, fences_checked=True):
    return _leases.Leases(
        vm,
        1,
        store,
        trio.current_time,
        lambda: HANDOVER,
        lambda: fences_checked,
    )


async def test_each_keeper_has_a_higher_fence(autojump_clock):
    store = simulated_store.SimulatedStore()
    fences = []
    for vm in ('vm1', 'vm2', 'vm1'):
        lease = await make_leases(store, vm).claim('t1')
        fences.append(lease.fence)
    assert fences == [1, 2, 3]


async def test_next_keeper_waits_for_the_last_order_of_the_one_before(
    autojump_clock,
):
    store = simulated_store.SimulatedStore()
    first = make_leases(store, 'vm1')
    lease = await first.claim('t1')
    assert await first.may_order(lease, True)
    second = make_leases(store, 'vm2')
    later = await second.claim('t1')
    assert not await second.may_order(later, True)
    await trio.sleep(HANDOVER)
    assert not await second.may_order(later, True)
    await trio.sleep(_leases.HANDOVER_MARGIN + 0.01)
    assert await second.may_order(later, True)


async def test_keeper_that_hears_no_majority_asks_the_store(autojump_clock):
    store = simulated_store.SimulatedStore()
    first = make_leases(store, 'vm1')
    lease = await first.claim('t1')
    await trio.sleep(5)
    assert await first.may_order(lease, False)
    await make_leases(store, 'vm2').claim('t1')
    await trio.sleep(_leases.VERIFIED_FOR)
    assert not await first.may_order(lease, False)
    assert first.by_target == {}


async def test_without_store_and_majority_no_order_is_given(autojump_clock):
    store = simulated_store.SimulatedStore()
    leases = make_leases(store, 'vm1')
    lease = await leases.claim('t1')
    store.is_down = True
    await trio.sleep(_leases.VERIFIED_FOR + 0.1)
    assert not await leases.may_order(lease, False)
    assert await leases.may_order(lease, True)


async def test_engines_that_ignore_fences_need_a_verified_lease(
    autojump_clock,
):
    store = simulated_store.SimulatedStore()
    leases = make_leases(store, 'vm1', fences_checked=False)
    lease = await leases.claim('t1')
    await trio.sleep(2)
    await make_leases(store, 'vm2').claim('t1')
    assert not await leases.may_order(lease, True)


async def test_claim_whose_answer_was_lost_is_settled_by_the_next(
    autojump_clock,
):
    store = simulated_store.SimulatedStore()
    leases = make_leases(store, 'vm1')
    store.lose_responses = True
    assert await leases.claim('t1') is None
    store.lose_responses = False
    lease = await leases.claim('t1')
    assert lease.fence == 2
    assert await leases.may_order(lease, True)


async def test_late_claim_of_a_keeper_before_changes_nothing(autojump_clock):
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


def test_nodes_agree_on_who_keeps_what():
    vms = {'vm1', 'vm2', 'vm3'}
    chosen = {
        f't{number}': _leases.preferred(vms, f't{number}')
        for number in range(60)
    }
    assert set(chosen.values()) == vms
    for target_id, vm in chosen.items():
        rest = vms - {'vm3'} if vm != 'vm3' else vms
        assert _leases.preferred(rest, target_id) == vm
