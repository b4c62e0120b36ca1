"""Targets that leave without a notice, or say so only in their responses."""

import contextlib
import dataclasses

import soak_configuration
import soak_faults
import soak_nodes
import trio

# A registration that is not renewed is removed by the store after this time.
LAPSE_SECONDS = 3 * 1.2

# A node has certainly acknowledged a removal after this time.
ACKNOWLEDGED_SECONDS = soak_configuration.IN_FORCE_SECONDS + 0.2

TELLING_SECONDS = 4.0


@contextlib.contextmanager
def leaving(run, target, state):
    """Let a target leave; it starts again at the end."""
    target.state = state
    run.note(f'{target.target_id} {state}')
    try:
        yield
    finally:
        target.state = 'ready'
        target.born += 1
        run.register(target)
        run.note(f'{target.target_id} is back')


async def tell_leaving(run, rng):
    """Let a target say only in its responses that it leaves."""
    target = soak_faults.draw_free_target(run, rng)
    if target is None:
        return
    with leaving(run, target, 'telling'):
        await trio.sleep(TELLING_SECONDS + rng.uniform(0.0, 1.0))


async def lose_removal(run, rng):
    """Remove a target without a notice; the store then loses the removal."""
    target = soak_faults.draw_free_target(run, rng)
    if target is None:
        return
    saved = run.store.copy()
    with leaving(run, target, 'gone'):
        run.store.remove('servers', target.target_id)
        left = soak_configuration.Leaving(
            target.target_id, trio.current_time()
        )
        try:
            await trio.sleep(ACKNOWLEDGED_SECONDS + rng.uniform(0.0, 0.5))
            with soak_faults.faulty(*run.nodes, is_own=False):
                run.restore(saved)
            await trio.sleep(LAPSE_SECONDS)
            run.store.remove('servers', target.target_id)
            await trio.sleep(rng.uniform(0.0, 1.0))
        finally:
            run.removals.append(
                dataclasses.replace(left, ends_at=trio.current_time())
            )


EVENTS = (tell_leaving, tell_leaving, lose_removal, soak_faults.stop_node)

# Some graces end before the timeouts of routes do.
STOP_GRACES_SECONDS = (1.5, 2.0, 4.0)


def find_arrivals_after_removal(removals, outcomes, arrivals, nodes_by_name):
    """Return the requests of nodes that had acknowledged a removal."""
    outcomes_by_id = {each.request_id: each for each in outcomes}
    violations = []
    for arrival in arrivals:
        outcome = outcomes_by_id[arrival.request_id]
        node = nodes_by_name[outcome.node]
        for removal in removals:
            removed_at = removal.acknowledged_at
            bound_at = removed_at + soak_configuration.IN_FORCE_SECONDS
            if removal.target_id != arrival.target_id or not (
                bound_at < outcome.sent_at and arrival.at < removal.ends_at
            ):
                continue
            if node.is_in_touch(removed_at, bound_at) and node.is_undisturbed(
                removed_at, arrival.at
            ):
                since = outcome.sent_at - removed_at
                violations.append(
                    f'DRAIN: {outcome.sent_at:.2f} {arrival.request_id} of '
                    f'{node.name} reached {arrival.target_id} {since:.2f} s '
                    'after its removal was acknowledged'
                )
    return violations


def find_arrivals_after_notice(notices, outcomes, arrivals, nodes_by_name):
    """Return the requests of nodes that had passed on a notice of leaving."""
    outcomes_by_id = {each.request_id: each for each in outcomes}
    told_at_by_key = {}
    for notice in notices:
        outcome = outcomes_by_id[notice.request_id]
        if outcome.status != 200 or outcome.target_id != notice.target_id:
            # Its node has passed on the response of another target.
            continue
        key = outcome.node, notice.target_id, notice.born
        told_at = told_at_by_key.get(key, outcome.ended_at)
        told_at_by_key[key] = min(told_at, outcome.ended_at)
    violations = []
    for arrival in arrivals:
        outcome = outcomes_by_id[arrival.request_id]
        key = outcome.node, arrival.target_id, arrival.born
        told_at = told_at_by_key.get(key, float('inf'))
        since = outcome.sent_at - told_at
        if since <= soak_configuration.IN_FORCE_SECONDS:
            continue
        if nodes_by_name[outcome.node].is_undisturbed(told_at, arrival.at):
            violations.append(
                f'DRAIN: {outcome.sent_at:.2f} {arrival.request_id} of '
                f'{outcome.node} reached {arrival.target_id} {since:.2f} s '
                'after it had passed on that it leaves'
            )
    return violations


def find_cut_requests(outcomes, arrivals, nodes_by_name):
    """Return the requests that a planned stop left without an answer."""
    arrived_ids = {each.request_id for each in arrivals}
    violations = []
    for outcome in outcomes:
        if outcome.status or outcome.request_id not in arrived_ids:
            continue
        node = nodes_by_name[outcome.node]
        for stopped_at, until in node.stops:
            is_in_stop = stopped_at - soak_nodes.STABILITY_SECONDS < (
                outcome.sent_at
            ) and (stopped_at < outcome.ended_at < until)
            if is_in_stop and node.is_undisturbed(
                stopped_at - soak_nodes.STABILITY_SECONDS,
                outcome.ended_at,
                stopped_at,
            ):
                violations.append(
                    f'LOST: {outcome.sent_at:.2f} {outcome.kind} '
                    f'{outcome.request_id} got no answer from {node.name}, '
                    f'which was told to stop at {stopped_at:.2f}'
                )
    return violations
