"""Notices of targets that leave, which registrations must not undo.

A node had passed on an answer with such a notice and sent requests to that
target later than is allowed.
"""

import builders
import gateway_harness
import pytest
import scripted
import target_table

from mustardlb_gateway import _departures
from mustardlb_gateway import domain

IDEMPOTENT = builders.make_route(max_attempts=3)
DRAINING = domain.TargetState.DRAINING


@pytest.fixture
def harness():
    return target_table.Harness()


def is_sent_to(harness, target):
    """Return whether new or waiting requests go to a target."""
    return target.target_id in harness.ready() or (
        harness.table.takes_requests(target)
    )


@pytest.mark.parametrize('is_connected', [True, False])
def test_notice_outlasts_a_registration_that_is_removed(harness, is_connected):
    """The removal dropped the notice; the target returned as ready."""
    target = builders.make_target('t1')
    harness.set_targets(target)
    harness.table.record_leaving(target)
    harness.mirror.is_connected = is_connected
    harness.set_targets()
    assert not is_sent_to(harness, target)
    harness.set_targets(target)
    assert not is_sent_to(harness, target)
    restarted = builders.make_target('t1', incarnation=2)
    harness.set_targets(restarted)
    assert is_sent_to(harness, restarted)


def test_notice_of_a_lapsed_target_ends_requests_that_wait_for_it(harness):
    """Calls chosen earlier were sent to a lapsed target that had left."""
    target = builders.make_target('t1')
    harness.set_targets(target)
    harness.mirror.is_connected = False
    harness.set_targets()
    assert is_sent_to(harness, target)
    harness.table.record_leaving(target)
    assert not is_sent_to(harness, target)


def test_notice_before_the_registration_holds(harness):
    """The copy of the registrations may be older than the notice."""
    target = builders.make_target('t1')
    harness.table.record_leaving(target)
    harness.set_targets(target)
    assert not is_sent_to(harness, target)


def test_draining_target_does_not_return_as_ready(harness):
    """The store went on from a copy in which the target was still ready."""
    target = builders.make_target('t1')
    harness.set_targets(target)
    harness.set_targets(builders.make_target('t1', state=DRAINING))
    harness.set_targets()
    harness.set_targets(target)
    assert not is_sent_to(harness, target)


@pytest.mark.parametrize('is_removed', [True, False])
def test_notice_that_is_overwritten_within_a_response_holds(
    harness, is_removed
):
    """Only the last registration of a watch response was read."""
    target, other = builders.make_target('t1'), builders.make_target('t2')
    draining = builders.make_target('t1', state=DRAINING)
    harness.set_targets(target, other)
    harness.apply(draining, *[None] * is_removed, target)
    assert harness.ready() == {'t2'}
    assert not is_sent_to(harness, target)
    restarted = builders.make_target('t1', incarnation=2)
    harness.set_targets(restarted, other)
    assert is_sent_to(harness, restarted)


def test_notice_of_an_earlier_incarnation_does_not_hold(harness):
    """A late notice must not take a target that has started again."""
    harness.set_targets(builders.make_target('t1', incarnation=2))
    harness.table.record_leaving(builders.make_target('t1', incarnation=1))
    assert harness.ready() == {'t1'}


@pytest.mark.parametrize('left', [0, 5])
def test_registration_without_incarnation_is_not_ready_at_once(harness, left):
    """A registration that lacked the start time undid the notice."""
    harness.set_targets(builders.make_target('t1', incarnation=left))
    harness.table.record_leaving(harness.table.by_id['t1'])
    harness.set_targets()
    unknown = builders.make_target('t1', incarnation=0)
    harness.set_targets(unknown)
    assert not is_sent_to(harness, unknown)
    harness.now += _departures.UNKNOWN_INCARNATION_SECONDS
    harness.set_targets(unknown, builders.make_target('t2'))
    assert is_sent_to(harness, unknown)


@pytest.mark.parametrize('is_same', [True, False])
def test_lapsed_target_takes_waiting_requests_for_a_limited_time(
    harness, is_same
):
    """Without another choice, a lapsed target stayed usable for ever."""
    target = builders.make_target('t1')
    harness.set_targets(target)
    harness.mirror.connected_at = harness.now
    harness.set_targets()
    chosen = target if is_same else builders.make_target('t1', incarnation=2)
    assert harness.table.takes_requests(chosen) == is_same
    harness.now += 3.0
    assert not harness.table.takes_requests(chosen)


def test_memory_of_departures_is_bounded():
    """Registered targets that drain are kept when the oldest are dropped."""
    departures = _departures.Departures(lambda: 0.0, max_count=4)
    kept = builders.make_target('kept')
    departures.record('kept', 1)
    for number in range(10):
        departures.record('kept', 1)
        departures.record(f't{number}', 1)
        assert departures.has_left(kept)
    assert departures.has_left(builders.make_target('t9'))
    assert not departures.has_left(builders.make_target('t1'))


@pytest.mark.parametrize('state', ['registered', 'lapsed', 'again'])
async def test_node_sends_nothing_after_it_passed_on_a_notice(state):
    """Requests went on to a target whose registration came and went."""

    async def leave(connection, head, body):
        await connection.send(
            scripted.response(scripted.request_id(head), extra=b'x-leaving: 1')
        )

    harness = gateway_harness.Harness(IDEMPOTENT)
    async with harness.running(leave):
        assert (await harness.send_request()).status == 200
        harness.mirror.is_connected = False
        if state != 'registered':
            harness.set_targets(excluded='t0')
        if state == 'again':
            harness.set_targets()
        for number in range(2, 5):
            response = await harness.send_request(
                b'x-wait: 0.2\r\n', b'r%d' % number
            )
            assert response.status == 503
        assert harness.request_count == 1
        harness.set_targets(incarnation=2)
        assert (await harness.send_request(request_id=b'r9')).status == 200


async def test_call_whose_connection_is_being_opened_is_not_sent():
    """A notice that arrives while a lapsed target's call is prepared."""

    async def respond(connection, head, body):
        await connection.send(scripted.response(scripted.request_id(head)))

    harness = gateway_harness.Harness(IDEMPOTENT)
    async with harness.running(respond):
        target = harness.targets.by_id['t0']
        harness.mirror.is_connected = False
        harness.set_targets(excluded='t0')
        harness.on_send = lambda: harness.targets.record_leaving(target)
        response = await harness.send_request(b'x-wait: 0.2\r\n')
        assert response.status == 503
        assert harness.request_count == 0
