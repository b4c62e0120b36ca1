"""Records in the store as earlier releases write them."""

import pytest
import simulated_store
import test_leases
import trio

from mustardlb_gateway import _centres
from mustardlb_gateway import _leases
from mustardlb_gateway import _membership
from mustardlb_gateway import _registration
from mustardlb_gateway import _software_history

HANDOVER_SECONDS = test_leases.HANDOVER_SECONDS


# As f60e192 writes it, without the time at which the lease was taken.
@pytest.mark.parametrize('holder', ['vm1', 'vm2'])
async def test_lease_of_an_earlier_release_is_taken_with_a_handover(
    holder, autojump_clock
):
    """Guards against commands beside those of the holder before.

    An earlier release may have taken the lease over just before its node got
    the present one.
    """
    store = simulated_store.SimulatedStore()
    spec = {'holder': holder, 'incarnation': 7, 'fence': 4}
    await store.create(_leases.LEASE_KIND, 't1', spec)
    leases = test_leases.make_leases(store, 'vm1')
    lease = await leases.claim('t1')
    assert lease.fence == 5
    assert not await leases.may_send_commands(lease, True)
    await trio.sleep(HANDOVER_SECONDS + _leases.HANDOVER_MARGIN_SECONDS + 0.01)
    assert await leases.may_send_commands(lease, True)
    stored = await store.get(_leases.LEASE_KIND, 't1')
    # What f60e192 reads of it.
    assert {key: stored.spec[key] for key in spec} == {
        'holder': 'vm1',
        'incarnation': 1,
        'fence': 5,
    }


async def test_nodes_of_an_earlier_release_are_found(autojump_clock):
    """Guards against fleets that are divided by their releases."""
    store = simulated_store.SimulatedStore()
    spec = {
        'host': '10.0.0.2',
        'port': 7600,
        'data_centre': 'a',
        'capacity': 100.0,
    }
    await store.create(_registration.KIND, 'vm2', spec)
    vm = _centres.Vm('vm1', '10.0.0.1', 7600, 'a', 100.0)
    membership = _membership.Membership(vm, trio.current_time)
    await _registration.register(store, membership)
    expected = _centres.Vm('vm2', '10.0.0.2', 7600, 'a', 100.0)
    assert membership.vms_by_name == {'vm2': expected}
    stored = await store.get(_registration.KIND, 'vm1')
    assert stored.spec == spec | {'host': '10.0.0.1'}


def test_software_of_an_earlier_release_is_known():
    """Guards against streams that go on at software they did not begin at."""
    now = 1000.0
    history = _software_history.SoftwareHistory(lambda: now, lambda: 1e9)
    saved = {'llm': ['v1', 'v2']}
    history.add_saved(saved)
    assert history.knowledge(['llm']).possible == {'v1', 'v2'}
    # f60e192 reads the keys of what the present release writes.
    merged = history.merged(saved)
    assert {name: sorted(each) for name, each in merged.items()} == saved
