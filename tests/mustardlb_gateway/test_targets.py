import builders
import pytest
import target_table

from mustardlb_gateway import _centres
from mustardlb_gateway import _targets
from mustardlb_gateway import domain
from mustardlb_gateway import ports

DRAINING = domain.TargetState.DRAINING


@pytest.fixture
def harness():
    return target_table.Harness()


def test_draining_targets_get_no_new_requests(harness):
    harness.set_targets(builders.make_target('t1'), builders.make_target('t2'))
    harness.set_targets(
        builders.make_target('t1', state=DRAINING),
        builders.make_target('t2'),
    )
    assert harness.ready() == {'t2'}
    assert harness.removed == []


def test_target_removed_while_the_store_is_reachable_is_discarded(harness):
    harness.set_targets(builders.make_target('t1'))
    harness.set_targets()
    assert harness.ready() == set()
    assert harness.removed == ['t1']


def test_targets_that_expired_in_an_outage_stay_ready_for_a_grace_time(
    harness,
):
    harness.set_targets(builders.make_target('t1'), builders.make_target('t2'))
    harness.mirror.connected_at = harness.now
    harness.set_targets()
    assert harness.ready() == {'t1', 't2'}
    harness.set_targets(builders.make_target('t1'))
    # Expired targets are not used once a target has registered again.
    assert harness.ready() == {'t1'}
    harness.set_targets()
    harness.now += _targets.REREGISTRATION_SECONDS + 0.1
    assert harness.ready() == set()


def test_expired_draining_target_is_not_ready(harness):
    harness.set_targets(builders.make_target('t1', state=DRAINING))
    harness.mirror.connected_at = harness.now
    harness.set_targets()
    assert harness.ready() == set()


def test_restart_with_the_same_id_is_detected(harness):
    harness.set_targets(builders.make_target('t1', incarnation=1))
    harness.set_targets(builders.make_target('t1', incarnation=2))
    assert harness.removed == ['t1']
    assert harness.ready() == {'t1'}


def test_malformed_registration_is_ignored(harness):
    harness.mirror.replace_all([ports.StoredObject('bad', 1, None)], 1)
    assert harness.ready() == set()


def test_failing_target_is_suspended_and_retried(harness):
    harness.set_targets(builders.make_target('t1'))
    for _ in range(_targets.FAILURES_TO_SUSPEND):
        assert not harness.table.is_suspended('t1')
        harness.table.record_failure('t1', 'reset')
    assert harness.table.is_suspended('t1')
    harness.now += _targets.INITIAL_SUSPENSION_SECONDS + 0.01
    assert not harness.table.is_suspended('t1')
    harness.table.record_failure('t1', 'reset')
    harness.now += _targets.INITIAL_SUSPENSION_SECONDS + 0.01
    assert harness.table.is_suspended('t1')
    harness.table.record_success('t1')
    assert (
        harness.table.health('t1').next_suspension
        == _targets.INITIAL_SUSPENSION_SECONDS
    )


def test_usage_includes_all_nodes(harness):
    adapter = builders.adapter('a1')
    harness.table.begin_request('t1', adapter, 500)
    harness.table.centres_by_name['a'] = _centres.CentreState(
        loads={'t1': _centres.Load(2, 300)},
        adapters_in_use={'t1': frozenset({builders.adapter('a2')})},
    )
    assert harness.table.in_flight('t1') == 3
    assert harness.table.pending_prefill_tokens('t1') == 800
    assert harness.table.is_in_use('t1', builders.adapter('a2'))
    harness.table.finish_prefill('t1', 500)
    harness.table.end_request('t1', adapter)
    assert harness.table.pending_prefill_tokens('t1') == 300
    assert not harness.table.is_in_use('t1', adapter)
    assert harness.table.usage_by_id == {}


def test_targets_that_a_restored_store_lacks_may_register_again(harness):
    """Calls got 503 though the target was about to write again."""
    harness.set_targets(builders.make_target('t1'))
    harness.mirror.replace_all([], 1, epoch=1)
    assert harness.ready() == {'t1'}
    harness.now += _targets.REREGISTRATION_SECONDS + 0.1
    assert harness.ready() == set()
