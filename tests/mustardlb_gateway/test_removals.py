"""Registrations that were removed and that a restored store has again.

Requests reached targets that had gone without a notice, seconds after all
nodes had acknowledged the removal of their registrations.
"""

import builders
import pytest
import target_table

from mustardlb_gateway import _removals
from mustardlb_gateway import _targets

LIFETIME_SECONDS = (
    _removals.RENEWAL_INTERVALS * _targets.DEFAULT_HEARTBEAT_SECONDS
)


@pytest.fixture
def harness():
    return target_table.Harness()


def is_sent_to(harness, target):
    """Return whether new or waiting requests go to a target."""
    return target.target_id in harness.ready() or (
        harness.table.takes_requests(target)
    )


@pytest.mark.parametrize('removals', [1, 2])
def test_removed_target_gets_no_request_after_a_restore(harness, removals):
    """The restored registration was taken for one that its target wrote."""
    target, other = builders.make_target('t1'), builders.make_target('t2')
    harness.set_targets(target, other)
    harness.mirror.connected_at = -100.0
    harness.set_targets(other)
    for _ in range(removals):
        harness.restore(1, (target, 1), (other, 1))
        assert harness.ready() == {'t2'}
        assert not is_sent_to(harness, target)


def test_earlier_incarnation_gets_no_request_after_a_restore(harness):
    """The process that the restored registration names had ended."""
    harness.set_targets(builders.make_target('t1', incarnation=1))
    harness.set_targets(builders.make_target('t1', incarnation=2))
    earlier = builders.make_target('t1', incarnation=1)
    harness.restore(1, (earlier, 1))
    assert not is_sent_to(harness, earlier)


def test_removed_target_that_registers_again_gets_requests(harness):
    """A target whose registration had lapsed stayed idle for ever."""
    target = builders.make_target('t1')
    harness.set_targets(target)
    harness.set_targets()
    harness.set_targets(target)
    assert is_sent_to(harness, target)


@pytest.mark.parametrize('written', [2, 3])
def test_registration_that_is_written_after_the_restore_counts(
    harness, written
):
    """A target that lives writes its registration again after a restore."""
    target = builders.make_target('t1')
    harness.set_targets(target)
    harness.set_targets()
    harness.restore(1, (target, 1))
    assert not is_sent_to(harness, target)
    harness.now += 1.0
    harness.mirror.replace_all(
        [harness.stored(target, written)], written, harness.mirror.epoch
    )
    assert is_sent_to(harness, target)


def test_restored_registration_that_is_renewed_counts_in_the_end(harness):
    """Its target renews it without a change, so that no revision shows it."""
    target = builders.make_target('t1')
    harness.set_targets(target)
    harness.set_targets()
    harness.restore(1, (target, 1))
    harness.now += LIFETIME_SECONDS - 0.1
    harness.confirm()
    assert not is_sent_to(harness, target)
    harness.now += 0.2
    harness.table.update()
    assert not is_sent_to(harness, target)
    harness.confirm()
    assert is_sent_to(harness, target)


def test_target_that_returned_before_the_restore_gets_requests(harness):
    """The removal was undone by the target itself."""
    target = builders.make_target('t1')
    harness.set_targets(target)
    harness.set_targets()
    harness.set_targets(target)
    harness.restore(1, (target, 1))
    assert is_sent_to(harness, target)


def test_memory_of_removals_is_bounded():
    """The last removals are kept when the oldest ones are dropped."""
    removals = _removals.Removals(lambda: 1.0, max_count=4)
    targets = [builders.make_target(f't{number}') for number in range(9)]
    for revision, target in enumerate(targets):
        removals.record(target, 0, 10 + revision)
    removals.begin_epoch(1, 5, 100.0)
    removals.find_restored([(target, 5) for target in targets], 5, 100.0)
    restored = [target for target in targets if removals.is_restored(target)]
    assert restored == targets[-4:]
