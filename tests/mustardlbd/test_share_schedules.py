"""Scripted fault schedules and the faulty implementations that they detect.

Each rule of the share protocol is replaced by a simpler, faulty one. One of
the schedules must then grant more than the contract, and with the correct
implementation no schedule may.
"""

import dataclasses
import math

import pytest
import trio

from mustardlbd import _share
from mustardlbd import _share_context
from mustardlbd import _share_coordinator
from mustardlbd import _share_deputy
from mustardlbd import _share_entry
from mustardlbd import _share_ledger
from mustardlbd import _token_bucket
from tests.mustardlbd import limits_scenario

# Later than the end of any schedule.
NEVER_ACCEPTED_SECONDS = 1000.0


def partition(scenario, node, others):
    for other in others:
        scenario.fleet.network.blocked_pairs |= {
            (node.vm_id, other.vm_id),
            (other.vm_id, node.vm_id),
        }


async def load(scenario, seconds):
    scenario.call_sizes = [20, 100, 300]
    scenario.loaded = True
    await trio.sleep(seconds)


async def holder_cut_off_from_coordinator(scenario):
    """A holder is cut off from the coordinator and both keep running."""
    await load(scenario, 4)
    coordinator, *others = scenario.fleet.live_nodes()
    partition(scenario, others[0], [coordinator])
    await load(scenario, 6)


async def settlement_after_refill(scenario):
    """Calls are settled after their node's bucket became full again."""
    node = scenario.node(1)
    for _ in range(10):
        scenario.fleet.nursery.start_soon(
            scenario.fleet.grant, node, 300, 0, 1.0, 33.0
        )
    for _ in range(60):
        await scenario.fleet.grant(node, 50, 50, 1.0, 0.0)
        await trio.sleep(0.5)
    await load(scenario, 8)


async def nodes_joining_after_spent_burst(scenario):
    """Nodes join a fleet whose burst is spent."""
    await load(scenario, 8)
    for _ in range(4):
        scenario.add_node()
    await load(scenario, 4)


async def lost_replies_to_shrinking_holder(scenario):
    """Replies to a holder are lost while demand moves to other nodes."""
    fleet = scenario.fleet
    fleet.network.drop_probability = 0.3
    for index in range(8):
        node = scenario.node(index)
        for _ in range(4):
            await fleet.grant(node, 100, 100, 0.5, 0.1)


async def unreachable_successor(scenario):
    """A holder knows the new owner, but cannot reach it."""
    await load(scenario, 4)
    coordinator, holder, _, successor = scenario.fleet.live_nodes()
    partition(scenario, holder, [successor])
    partition(scenario, successor, [coordinator])
    scenario.fleet.store_owner(successor.vm_id, 0.2)
    await load(scenario, 12)


async def holder_paused_during_takeover(scenario):
    """Holders are paused during a takeover, with replies in transit."""
    scenario.fleet.network.usual_latency_seconds = 0.15
    await load(scenario, 4)
    coordinator, successor, *holders = scenario.fleet.live_nodes()
    partition(scenario, successor, [coordinator])
    for holder in holders:
        holder.running = trio.Event()
    scenario.fleet.store_owner(successor.vm_id, 0.2)
    await load(scenario, 9)
    for holder in holders:
        partition(scenario, holder, scenario.fleet.live_nodes())
        holder.running.set()
    await load(scenario, 3)


async def restarted_coordinator(scenario):
    """A coordinator restarts with its vm_id and cannot reach one holder."""
    await load(scenario, 4)
    coordinator, holder, *_ = scenario.fleet.live_nodes()
    scenario.fleet.kill(coordinator)
    partition(scenario, holder, [coordinator])
    scenario.add_node(coordinator.vm_id, is_first_process=False)
    await load(scenario, 12)


async def two_coordinators(scenario):
    """The old coordinator runs while a new owner is not yet accepted."""
    await load(scenario, 4)
    coordinator, successor, holder, other = scenario.fleet.live_nodes()
    partition(scenario, successor, [coordinator])
    coordinator.connected = other.connected = False
    scenario.fleet.store_owner(successor.vm_id, NEVER_ACCEPTED_SECONDS)
    coordinator.connected = other.connected = True
    await load(scenario, 8)
    holder.connected = False


async def skipped_owner_version(scenario):
    """A holder receives only the second of two changes of the owner."""
    await load(scenario, 4)
    fleet = scenario.fleet
    coordinator, successor, holder, other = fleet.live_nodes()
    partition(scenario, successor, [coordinator])
    holder.connected = False
    fleet.store_owner(other.vm_id, 2.5, spread=0.1)
    await trio.sleep(0.5)
    holder.connected = True
    coordinator.connected = other.connected = False
    fleet.store_owner(successor.vm_id, NEVER_ACCEPTED_SECONDS, spread=0.1)
    coordinator.connected = other.connected = True
    await load(scenario, 12)


def regrant_overdue_share(patch):
    """The coordinator reallocates the share of an overdue holder after 1 s."""
    refresh = _share_ledger.Ledger.refresh

    def faulty(ledger):
        now = refresh(ledger)
        for holder, entry in list(ledger._entries_by_holder.items()):
            if now - entry.reported_at > 1.0:
                del ledger._entries_by_holder[holder]
        return now

    patch.setattr(_share_ledger.Ledger, 'refresh', faulty)


def expire_without_blocking(patch):
    """The coordinator ends a lease whose extensions are not blocked."""

    def faulty(entry, now):
        return entry.reported_at < now - 1.05 * _share_context.LEASE_SECONDS

    patch.setattr(_share_entry, 'has_lease_expired', faulty)


def refund_up_to_capacity(patch):
    """A refund is limited by the current capacity only."""

    def faulty(bucket, now, hold, used):
        bucket.refill(now)
        space = bucket.capacity - bucket.level
        credit = min(space, hold.tokens - used)
        bucket.level += credit
        return credit

    patch.setattr(_token_bucket.TokenBucket, 'settle', faulty)


def grow_with_full_bucket(patch):
    """A share that grows comes with its part of the burst."""
    renew = _share.Share._apply_renewal

    def faulty(share, now, statement):
        before = share.bucket.capacity
        renew(share, now, statement)
        share.bucket.add(max(0.0, share.bucket.capacity - before))

    patch.setattr(_share.Share, '_apply_renewal', faulty)


def count_sent_as_applied(patch):
    """The coordinator assumes that each statement it sent was adopted."""
    patch.setattr(
        _share_entry.Entry,
        'max_fraction',
        property(
            lambda entry: (
                entry.sent_fraction if entry.sent_request else entry.fraction
            )
        ),
    )


def spend_without_time_limit(patch):
    """A share does not expire when the slice gets a later epoch."""
    patch.setattr(_share.Share, '_usable_until', lambda share, now: math.inf)


def adopt_stale_statement(patch):
    """A holder adopts a statement of the old coordinator as current."""
    adopt = _share.Share.apply_statement

    def faulty(share, statement, coordinator):
        owners = share._node.owners()
        owner = owners.owner_of(_share_context.slice_key(share.account))
        late = trio.current_time() - share._report_sent_at
        raised = dataclasses.replace(
            statement,
            epoch=owner.epoch,
            version=owners.version,
            lease=late + _share_context.LEASE_SECONDS,
        )
        return adopt(share, raised, owner.vm_id)

    patch.setattr(_share.Share, 'apply_statement', faulty)


def serve_inherited_epoch(patch):
    """A restarted coordinator continues the epoch of its predecessor."""

    def faulty(coordinator):
        coordinator._first_owners = coordinator._node.owners().__class__()

    patch.setattr(_share_coordinator.ShareCoordinator, 'record_owners', faulty)


def omit_confirmation(patch):
    """A new coordinator allocates shares that are not confirmed yet."""
    init = _share_ledger.Ledger.__init__

    def faulty(ledger, *args):
        init(ledger, *args)
        ledger.ready = True

    patch.setattr(_share_ledger.Ledger, '__init__', faulty)


def claim_without_fencing(patch):
    """A new coordinator claims shares that the old one may still end."""

    async def faulty(coordinator, holder, report):
        return True

    patch.setattr(
        _share_coordinator.ShareCoordinator,
        '_fence_previous_coordinator',
        faulty,
    )


def extend_blocked_lease(patch):
    """A deputy extends a lease whose extensions it has blocked."""
    handle = _share_deputy.ShareDeputy.handle_request

    async def faulty(deputy, sender, payload):
        reply = await handle(deputy, sender, payload)
        deputy._blocked_report_by_lease.clear()
        return reply

    patch.setattr(_share_deputy.ShareDeputy, 'handle_request', faulty)


def raise_every_version(patch):
    """A new coordinator raises the version of every confirmed share."""
    confirm = _share_ledger.Ledger.confirm

    def faulty(ledger, holder, report):
        version = ledger._node.owners().version
        raised = dataclasses.replace(report, version=version)
        return confirm(ledger, holder, raised)

    patch.setattr(_share_ledger.Ledger, 'confirm', faulty)


CASES = (
    (regrant_overdue_share, holder_cut_off_from_coordinator),
    (expire_without_blocking, holder_cut_off_from_coordinator),
    (refund_up_to_capacity, settlement_after_refill),
    (grow_with_full_bucket, nodes_joining_after_spent_burst),
    (count_sent_as_applied, lost_replies_to_shrinking_holder),
    (spend_without_time_limit, unreachable_successor),
    (adopt_stale_statement, holder_paused_during_takeover),
    (serve_inherited_epoch, restarted_coordinator),
    (omit_confirmation, unreachable_successor),
    (claim_without_fencing, two_coordinators),
    (extend_blocked_lease, holder_cut_off_from_coordinator),
    (raise_every_version, skipped_owner_version),
)


@pytest.mark.parametrize(
    'schedule', dict.fromkeys(schedule for _, schedule in CASES)
)
def test_schedule_keeps_to_the_contract(schedule):
    for seed in range(2):
        limits_scenario.run_script(schedule, seed)


@pytest.mark.parametrize(('fault', 'schedule'), CASES)
def test_faulty_variant_is_detected(fault, schedule, monkeypatch):
    fault(monkeypatch)
    with pytest.raises(limits_scenario.OverGrant):
        for seed in range(8):
            limits_scenario.run_script(schedule, seed)
