"""Records that other nodes or other programs wrote into the store."""

import pytest
import simulated_store
import structlog
import trio

from mustardlb_gateway import _centres
from mustardlb_gateway import _crash_records
from mustardlb_gateway import _leases
from mustardlb_gateway import _membership
from mustardlb_gateway import _registration
from mustardlb_gateway import _software_history

HANDOVER_SECONDS = 3.0
HUGE = 10**400
NAN = float('nan')
INF = float('inf')

LEASE = {'holder': 'vm9', 'incarnation': 1, 'fence': 41, 'takenAt': 0.0}


def make_leases(store):
    return _leases.Leases(
        'vm1',
        1,
        store,
        trio.current_time,
        lambda: HANDOVER_SECONDS,
        lambda: True,
        lambda: 1e9 + trio.current_time(),
    )


@pytest.mark.parametrize(
    'spec',
    [
        None,
        {},
        'text',
        [41],
        *(
            LEASE | {'fence': fence}
            for fence in (
                None,
                '41',
                'x',
                [41],
                True,
                -1,
                1.5,
                NAN,
                INF,
                HUGE,
                2**63 - 1,
            )
        ),
    ],
)
async def test_lease_with_an_unreadable_fence_is_not_claimed(
    spec, autojump_clock
):
    """Guards against fencing tokens that start again from 1."""
    store = simulated_store.SimulatedStore()
    store.put(_leases.LEASE_KIND, 't1', spec)
    leases = make_leases(store)
    with structlog.testing.capture_logs() as logs:
        assert await leases.claim('t1') is None
    assert leases.by_target == {}
    assert [each['event'] for each in logs] == ['MLB-6113']
    assert (await store.get(_leases.LEASE_KIND, 't1')).spec == spec


@pytest.mark.parametrize('taken_at', ['x', NAN, INF, -INF, HUGE, [1]])
async def test_lease_taken_at_an_unreadable_time_waits_for_the_handover(
    taken_at, autojump_clock
):
    """Guards against commands that are sent beside the holder before."""
    store = simulated_store.SimulatedStore()
    spec = LEASE | {'holder': 'vm1', 'takenAt': taken_at}
    store.put(_leases.LEASE_KIND, 't1', spec)
    leases = make_leases(store)
    lease = await leases.claim('t1')
    assert lease.fence == 42
    assert not await leases.may_send_commands(lease, True)
    await trio.sleep(HANDOVER_SECONDS + _leases.HANDOVER_MARGIN_SECONDS + 0.01)
    assert await leases.may_send_commands(lease, True)


NODE = {'host': 'h', 'port': 7600, 'data_centre': 'a', 'capacity': 5.0}


@pytest.mark.parametrize(
    'spec',
    [
        None,
        'x',
        {},
        NODE | {'port': 99_999},
        NODE | {'port': 0},
        NODE | {'port': -1},
        NODE | {'port': True},
        NODE | {'port': HUGE},
        NODE | {'host': ''},
        NODE | {'host': None},
        NODE | {'capacity': HUGE},
        NODE | {'capacity': NAN},
        NODE | {'capacity': INF},
        NODE | {'capacity': 'x'},
        NODE | {'capacity': None},
        NODE | {'capacity': []},
        NODE | {'data_centre': 7},
    ],
)
async def test_node_with_an_odd_record_is_passed_over(spec, autojump_clock):
    """Guards against a record of a node that ends all that start after it."""
    store = simulated_store.SimulatedStore()
    store.put(_registration.KIND, 'odd', spec)
    store.put(_registration.KIND, 'vm2', NODE)
    local = _centres.Vm('vm1', 'h', 7600, 'a', 5.0)
    membership = _membership.Membership(local, trio.current_time)
    with structlog.testing.capture_logs() as logs:
        await _registration.register(store, membership)
    assert membership.vms_by_name.keys() - {'vm1'} == {'vm2'}
    assert [each['vm'] for each in logs if each['event'] == 'MLB-6114'] == [
        'odd'
    ]


@pytest.mark.parametrize(
    'record',
    [
        7,
        'x',
        [7],
        {'llm': 7},
        {'llm': {'v1': 'x'}},
        {'llm': {'v1': []}},
        {'llm': {'v1': HUGE}},
        {'llm': {'v1': NAN}},
        {'llm': {'v1': INF}},
    ],
)
def test_odd_record_of_software_is_no_knowledge(record):
    """Guards against an odd record that ends the process, or counts."""
    history = _software_history.SoftwareHistory(lambda: 0.0, lambda: 1e9)
    with structlog.testing.capture_logs() as logs:
        history.add_saved(record)
        assert history.merged(record) == {}
        history.record_saved(record)
    assert [each['event'] for each in logs] == ['MLB-6213'] * 3
    assert not history.knowledge(['llm']).is_complete


REPORT = {'target': 't1', 'incarnation': 9, 'at': 1.5, 'suspects': ['p1']}


@pytest.mark.parametrize(
    'changes',
    [
        {'incarnation': HUGE},
        {'incarnation': -1},
        {'incarnation': INF},
        {'incarnation': NAN},
        {'incarnation': 2**64},
        {'at': HUGE},
        {'at': NAN},
        {'sent_at': {'p1': HUGE}},
        {'sent_at': {'p1': NAN}},
        {'suspects': 7},
    ],
)
def test_odd_record_of_crashes_is_left_out(changes):
    """Guards against evidence that cannot be read or told to other nodes."""
    spec = {'reports': [REPORT | {'sent_at': {}}], 'outputs': {'p2': 1.0}}
    assert _crash_records.decode(spec).report_by_key.keys() == {('t1', 9)}
    with structlog.testing.capture_logs() as logs:
        found = _crash_records.decode(spec | {'reports': [REPORT | changes]})
    assert not found.report_by_key
    assert [each['event'] for each in logs] == ['MLB-6208']


@pytest.mark.parametrize('at', [HUGE, NAN, 'x', None])
def test_odd_output_in_a_record_of_crashes_is_left_out(at):
    """Guards against a time of an output that is none."""
    spec = {'reports': [], 'outputs': {'p2': at}}
    assert not _crash_records.decode(spec).output_at_by_suspect
