"""Configurations of the operator, and which of them responses prove."""

import collections
import dataclasses

import soak_targets

# The default bounds `config_ms` and `drain_ms`: an acknowledged change is in
# force at every node this long after its acknowledgement.
IN_FORCE_SECONDS = 2.0

# A node that has served by a version may still answer requests by an older
# one that were sent this long after.
ROLLBACK_SLACK_SECONDS = 0.25

REFUSAL_STATUSES = (401, 404)

# An account with a usage cap, in requests a second and as a burst.
CAPPED_KEY = 'key-capped'
CAP_PER_SECOND = 10.0
CAP_BURST = 10.0

# A request gets a final answer this long after its route's timeout.
OVERDUE_SECONDS = 0.5

# From this number of requests on, routes that were added later are served at
# least this part as often as the first ones.
MIN_ADDED_REQUESTS = 20
MIN_SERVED_RATIO = 0.25


@dataclasses.dataclass(frozen=True)
class Route:
    """A route for all paths that begin with its name."""

    name: str
    service: str
    kind: str = 'non_idempotent'
    timeout_ms: int = 2500

    def fields(self):
        """Return the route as the operator writes it."""
        return {
            'name': self.name,
            'host': 'h',
            'path_prefix': f'/{self.name}/',
            'route_type': self.kind,
            'service': self.service,
            'timeout_ms': self.timeout_ms,
            'target_latency_ms': 500,
            'max_attempts': 2,
            'resumable': self.kind == 'streaming',
        }


@dataclasses.dataclass(frozen=True)
class Configuration:
    """One version.

    :ivar acknowledged_at: when the store acknowledged it
    """

    version: int
    routes_by_name: dict[str, Route]
    services: tuple[dict, ...]
    keys: tuple[str, ...]
    acknowledged_at: float

    def fields(self):
        """Return the configuration as the operator writes it."""
        return {
            'version': self.version,
            'routes': [each.fields() for each in self.routes_by_name.values()],
            'services': list(self.services),
            'tenants': [
                {'name': 'acme', 'api_keys': list(self.keys)},
                {
                    'name': 'capped',
                    'api_keys': [CAPPED_KEY],
                    'rate_per_s': CAP_PER_SECOND,
                    'burst': CAP_BURST,
                },
            ],
        }

    def results(self, route, key):
        """Return the service that it allows, or the refusals."""
        found = self.routes_by_name.get(route)
        refusals = set()
        if found is None:
            refusals.add(404)
        if key not in (*self.keys, CAPPED_KEY):
            refusals.add(401)
        return refusals or {found.service}


@dataclasses.dataclass(frozen=True)
class Leaving:
    """A target that drains or has no entry.

    :ivar ends_at: when it was ready again, infinite if never
    """

    target_id: str
    acknowledged_at: float
    ends_at: float = float('inf')


@dataclasses.dataclass(frozen=True)
class Evidence:
    """What one request was given, a service or a refusal, and when."""

    outcome: object
    result: str | int
    at: float


def evidence(outcomes, arrivals):
    """Return what the outcomes prove, in the order of time."""
    outcomes_by_id = {each.request_id: each for each in outcomes}
    found = [
        Evidence(
            outcomes_by_id[each.request_id],
            soak_targets.service_of(each.target_id),
            each.at,
        )
        for each in arrivals
    ]
    found += [
        Evidence(each, each.status, each.ended_at)
        for each in outcomes
        if each.status in REFUSAL_STATUSES
    ]
    return sorted(found, key=lambda each: each.at)


def may_be_in_force(history, sent_at, ended_at):
    """Return the configurations by which a request may be handled."""
    first = 0
    for number, each in enumerate(history):
        if each.acknowledged_at + IN_FORCE_SECONDS < sent_at:
            first = number
    return [
        each for each in history[first:] if each.acknowledged_at <= ended_at
    ]


def find_stale(history, found, is_in_touch):
    """Return what was handled as only an older configuration allows."""
    violations = []
    for each in found:
        outcome = each.outcome
        current = may_be_in_force(history, outcome.sent_at, each.at)
        allowed = set().union(
            *(c.results(outcome.kind, outcome.key) for c in current)
        )
        if each.result in allowed:
            continue
        is_judged = is_in_touch(outcome, each.at) or _is_never_allowed(
            history, each
        )
        if not is_judged:
            continue
        since = outcome.sent_at - current[0].acknowledged_at
        violations.append(
            f'CONFIG: {outcome.sent_at:.2f} {outcome.request_id} '
            f'/{outcome.kind}/ {outcome.key} got '
            f'{each.result} at {outcome.node}, {since:.2f} s after version '
            f'{current[0].version} was acknowledged'
        )
    return violations


def _is_never_allowed(history, each):
    """Whether no node may give this result, in touch or not."""
    route, key = each.outcome.kind, each.outcome.key
    if each.result in REFUSAL_STATUSES:
        refused = [
            set(REFUSAL_STATUSES) & c.results(route, key) for c in history
        ]
        return not any(refused)
    services = {
        c.routes_by_name[route].service
        for c in history
        if route in c.routes_by_name
    }
    is_held = any(key in c.keys for c in history)
    return each.result not in services or not is_held


def find_regressions(history, found, incarnation):
    """Return what a node handled by an older version than it had shown."""
    violations = []
    shown_by_node = collections.defaultdict(list)
    for each in found:
        outcome = each.outcome
        versions = [
            c.version
            for c in history
            if c.acknowledged_at <= each.at
            and each.result in c.results(outcome.kind, outcome.key)
        ]
        if not versions:
            continue
        node = outcome.node, incarnation(outcome.node, outcome.sent_at)
        shown = max(
            (
                version
                for at, version in shown_by_node[node]
                if at + ROLLBACK_SLACK_SECONDS < outcome.sent_at
            ),
            default=0,
        )
        if max(versions) < shown:
            violations.append(
                f'CONFIG: {outcome.node} went back from version {shown} to '
                f'{max(versions)} with {outcome.request_id} at '
                f'{outcome.sent_at:.2f}'
            )
        known = max((v for _, v in shown_by_node[node]), default=0)
        if min(versions) > known:
            shown_by_node[node].append((each.at, min(versions)))
    return violations


def find_late_arrivals(leavings, outcomes, arrivals, is_in_touch):
    """Return the requests at targets that had left or were draining."""
    outcomes_by_id = {each.request_id: each for each in outcomes}
    leavings_by_id = collections.defaultdict(list)
    for each in leavings:
        leavings_by_id[each.target_id].append(each)
    violations = []
    for each in arrivals:
        outcome = outcomes_by_id[each.request_id]
        for leaving in leavings_by_id[each.target_id]:
            since = outcome.sent_at - leaving.acknowledged_at
            if since <= IN_FORCE_SECONDS or each.at >= leaving.ends_at:
                continue
            if not is_in_touch(outcome, each.at):
                continue
            violations.append(
                f'DRAIN: {outcome.sent_at:.2f} {each.request_id} of '
                f'{outcome.node} reached {each.target_id} {since:.2f} s '
                'after its leaving was acknowledged'
            )
    return violations


def find_overdue(history, outcomes, ended_at, is_in_touch):
    """Return the requests without an answer in time after the timeout."""
    violations = []
    for each in outcomes:
        answered_at = min(each.ended_at, ended_at)
        current = may_be_in_force(history, each.sent_at, answered_at)
        timeouts_ms = [
            c.routes_by_name[each.kind].timeout_ms
            for c in current
            if each.kind in c.routes_by_name
        ]
        if not timeouts_ms:
            continue
        due_at = each.sent_at + max(timeouts_ms) / 1000 + OVERDUE_SECONDS
        if answered_at > due_at and is_in_touch(each, due_at):
            violations.append(
                f'CONFIG: {each.sent_at:.2f} {each.request_id} /{each.kind}/ '
                f'has no answer from {each.node} {OVERDUE_SECONDS} s after '
                f'the timeout of {max(timeouts_ms)} ms'
            )
    return violations


def find_unserved_routes(history, outcomes, first_routes, is_in_touch):
    """Return a violation if added routes are served too seldom."""
    statuses_by_group = collections.defaultdict(list)
    for each in outcomes:
        current = may_be_in_force(history, each.sent_at, each.ended_at)
        is_allowed = not any(
            set(REFUSAL_STATUSES) & c.results(each.kind, each.key)
            for c in current
        )
        if is_allowed and is_in_touch(each, each.sent_at):
            is_added = each.kind not in first_routes
            statuses_by_group[is_added].append(each.status == 200)
    added, first = statuses_by_group[True], statuses_by_group[False]
    if len(added) < MIN_ADDED_REQUESTS or not first:
        return []
    shares = sum(added) / len(added), sum(first) / len(first)
    if shares[0] >= MIN_SERVED_RATIO * shares[1]:
        return []
    return [
        f'CONFIG: of added routes {shares[0]:.2f}, of first {shares[1]:.2f}'
    ]
