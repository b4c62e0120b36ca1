"""The soak's checks report each request at a target that has left."""

import pytest
import soak_clients
import soak_configuration
import soak_leaving
import soak_nodes
import soak_targets


def make_node(*own_faults, stops=()):
    node = soak_nodes.Node('vm0', '', 0, 0, 0, None, None)
    node.own_faults = list(own_faults)
    node.faults = list(own_faults)
    node.stops = list(stops)
    return node


def make_outcome(sent_at, status=200, request_id='r', target_id='desk-0'):
    return soak_clients.Outcome(
        request_id,
        'post',
        'key-0',
        'vm0',
        sent_at,
        status,
        bool(status),
        sent_at + 0.1,
        target_id=target_id,
    )


@pytest.mark.parametrize(
    ('sent_at', 'faults', 'count'),
    [
        (11.9, [], 0),
        (12.1, [], 1),
        (15.1, [], 0),
        (12.5, [[11.0, 11.5]], 0),
        (12.5, [[12.2, 12.3]], 0),
    ],
)
def test_request_after_a_removal_is_reported(sent_at, faults, count):
    """Guards against a check that excuses a restored store."""
    removal = soak_configuration.Leaving('desk-0', 10.0, 15.0)
    violations = soak_leaving.find_arrivals_after_removal(
        [removal],
        [make_outcome(sent_at)],
        [soak_targets.Arrival('r', 'desk-0', sent_at)],
        {'vm0': make_node(*faults)},
    )
    assert len(violations) == count


@pytest.mark.parametrize(
    ('sent_at', 'born', 'status', 'faults', 'count'),
    [
        (12.0, 1, 200, [], 0),
        (12.2, 1, 200, [], 1),
        (12.2, 2, 200, [], 0),
        (12.2, 1, 502, [], 0),
        (12.2, 1, 200, [[11.0, 11.5]], 0),
    ],
)
def test_request_after_a_notice_is_reported(
    sent_at, born, status, faults, count
):
    """Guards against a check that misses a notice that was passed on."""
    violations = soak_leaving.find_arrivals_after_notice(
        [soak_targets.Notice('told', 'desk-0', 1)],
        [make_outcome(10.0, status, 'told'), make_outcome(sent_at)],
        [soak_targets.Arrival('r', 'desk-0', sent_at, born)],
        {'vm0': make_node(*faults)},
    )
    assert len(violations) == count


def test_notice_that_was_not_passed_on_binds_nobody():
    """Guards against reports of a node that tried another target."""
    violations = soak_leaving.find_arrivals_after_notice(
        [soak_targets.Notice('told', 'desk-0', 1)],
        [
            make_outcome(10.0, request_id='told', target_id='desk-1'),
            make_outcome(12.2),
        ],
        [soak_targets.Arrival('r', 'desk-0', 12.2, 1)],
        {'vm0': make_node()},
    )
    assert violations == []


@pytest.mark.parametrize(
    ('sent_at', 'status', 'has_arrived', 'count'),
    [
        (9.0, 0, True, 0),
        (10.5, 0, True, 1),
        (10.5, 504, True, 0),
        (10.5, 0, False, 0),
        (13.0, 0, True, 0),
    ],
)
def test_request_without_an_answer_in_a_stop_is_reported(
    sent_at, status, has_arrived, count
):
    """Guards against a check that misses what a planned stop cuts off."""
    arrivals = [soak_targets.Arrival('r', 'desk-0', sent_at)] * has_arrived
    violations = soak_leaving.find_cut_requests(
        [make_outcome(sent_at, status)],
        arrivals,
        {'vm0': make_node([10.0, 12.0], stops=[(10.0, 12.0)])},
    )
    assert len(violations) == count
