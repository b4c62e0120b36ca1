"""The soak's checks report each breach of the rules on configuration."""

import pytest
import soak_clients
import soak_configuration
import soak_nodes
import soak_targets

KEY = 'key-0'
FIRST = {'get': 'desk', 'post': 'desk'}
NEXT = {'get': 'shop', 'added': 'shop'}


def make_configuration(version, services_by_route, at, keys=(KEY,)):
    routes_by_name = {
        name: soak_configuration.Route(name, service, timeout_ms=400)
        for name, service in services_by_route.items()
    }
    return soak_configuration.Configuration(
        version, routes_by_name, (), keys, at
    )


HISTORY = [
    make_configuration(1, FIRST, 0.0),
    make_configuration(5, NEXT, 10.0, ('key-1',)),
]


def make_outcome(route, sent_at, status=0, key=KEY, request_id='r'):
    return soak_clients.Outcome(
        request_id, route, key, 'vm0', sent_at, status, True, sent_at + 0.01
    )


def stale(outcome, target_id=None, in_touch=True):
    arrivals = []
    if target_id:
        arrivals = [soak_targets.Arrival('r', target_id, outcome.ended_at)]
    found = soak_configuration.evidence([outcome], arrivals)
    return soak_configuration.find_stale(HISTORY, found, lambda *_: in_touch)


@pytest.mark.parametrize(
    ('outcome', 'target_id'),
    [
        (make_outcome('get', 12.1, 200, 'key-1'), 'desk-0'),
        (make_outcome('post', 12.1, 200, 'key-1'), 'desk-0'),
        (make_outcome('get', 12.1, 200), 'shop-0'),
        (make_outcome('added', 12.1, 404, 'key-1'), None),
        (make_outcome('get', 12.1, 401, 'key-1'), None),
    ],
)
def test_results_of_an_older_configuration_are_reported(outcome, target_id):
    """Guards against a check that misses a moved or dropped route or key."""
    assert len(stale(outcome, target_id)) == 1
    assert stale(outcome, target_id, in_touch=False) == []


def test_either_configuration_may_be_in_force_for_two_seconds():
    """Guards against reports of what the rules allow."""
    assert stale(make_outcome('get', 11.9, 200), 'desk-0') == []
    assert stale(make_outcome('added', 11.9, 404)) == []
    assert stale(make_outcome('get', 10.1, 200, 'key-1'), 'shop-0') == []


def test_refusal_that_no_configuration_allows_counts_at_any_node():
    """Guards against excuses for a node without a configuration."""
    history = HISTORY[:1]
    found = soak_configuration.evidence([make_outcome('get', 0.1, 404)], [])
    violations = soak_configuration.find_stale(
        history, found, lambda *_: False
    )
    assert len(violations) == 1


@pytest.mark.parametrize(
    ('key', 'target_id'), [(KEY, 'llm-0'), ('key-unknown', 'desk-0')]
)
def test_run_that_no_configuration_allows_counts_at_any_node(key, target_id):
    """Guards against excuses for a wrong service or an unknown key."""
    outcome = make_outcome('get', 0.1, 200, key)
    assert len(stale(outcome, target_id, in_touch=False)) == 1


@pytest.mark.parametrize(
    ('later_at', 'incarnations', 'count'),
    [(11.2, 1, 0), (11.4, 1, 1), (11.4, 2, 0)],
)
def test_node_that_goes_back_is_reported(later_at, incarnations, count):
    """Guards against a check that misses a node that regresses."""
    first = make_outcome('post', 11.0, 404, 'key-1')
    later = make_outcome('get', later_at, 200, request_id='later')
    arrivals = [soak_targets.Arrival('later', 'desk-0', later_at)]
    found = soak_configuration.evidence([first, later], arrivals)
    violations = soak_configuration.find_regressions(
        HISTORY, found, lambda _, at: incarnations > 1 and at > 11.3
    )
    assert len(violations) == count


@pytest.mark.parametrize(
    ('sent_at', 'ends_at', 'count'),
    [(11.9, 20.0, 0), (12.1, 20.0, 1), (12.1, 12.0, 0)],
)
def test_requests_at_a_target_that_left_are_reported(sent_at, ends_at, count):
    """Guards against a check that misses a target that drains."""
    leaving = soak_configuration.Leaving('desk-0', 10.0, ends_at)
    arrivals = [soak_targets.Arrival('r', 'desk-0', sent_at)]
    violations = soak_configuration.find_late_arrivals(
        [leaving], [make_outcome('get', sent_at)], arrivals, lambda *_: True
    )
    assert len(violations) == count


@pytest.mark.parametrize(('ended_at', 'count'), [(5.85, 0), (5.95, 1)])
def test_missing_answer_after_the_timeout_is_reported(ended_at, count):
    """Guards against a check that misses a timeout that was lowered."""
    outcome = make_outcome('get', 5.0)
    outcome.ended_at = ended_at
    violations = soak_configuration.find_overdue(
        HISTORY, [outcome], 20.0, lambda *_: True
    )
    assert len(violations) == count


@pytest.mark.parametrize(('served', 'count'), [(20, 0), (2, 1)])
def test_added_routes_that_are_served_seldom_are_reported(served, count):
    """Guards against a check that misses routes that are not served."""
    outcomes = [
        make_outcome('added', 15.0, 200 if number < served else 503, 'key-1')
        for number in range(20)
    ]
    outcomes += [make_outcome('get', 15.0, 200, 'key-1') for _ in range(20)]
    violations = soak_configuration.find_unserved_routes(
        HISTORY, outcomes, ['get'], lambda *_: True
    )
    assert len(violations) == count


def test_node_is_in_touch_again_three_seconds_after_its_last_fault():
    """Guards against a node that is never judged after a fault."""
    node = soak_nodes.Node('vm0', '', 0, 0, 0, None, None)
    node.faults = [[1.0, 2.0], [1.5, 4.0]]
    assert node.is_in_touch(0.0, 0.9)
    assert not node.is_in_touch(6.9, 8.0)
    assert node.is_in_touch(7.1, 8.0)
