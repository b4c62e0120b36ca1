"""Each decision of the shares, and the naive way that a schedule catches."""

import dataclasses
import math

import pytest
import trio

from mustardlbd import _bucket
from mustardlbd import _share
from mustardlbd import _share_book
from mustardlbd import _share_deputy
from mustardlbd import _share_entry
from mustardlbd import _share_keeper
from mustardlbd import _share_ports
from tests.mustardlbd import limits_scenario

NEVER = 1000.0  # seconds


def cut_off(scenario, one, others):
    for other in others:
        scenario.fleet.network.cut |= {
            (one.vm_id, other.vm_id),
            (other.vm_id, one.vm_id),
        }


async def load(scenario, seconds):
    scenario.sizes = [20, 100, 300]
    scenario.greedy = True
    await trio.sleep(seconds)


async def silent_holder(scenario):
    """A holder is cut off from the keeper, and both go on."""
    await load(scenario, 4)
    keeper, *others = scenario.fleet.live()
    cut_off(scenario, others[0], [keeper])
    await load(scenario, 6)


async def full_then_settled(scenario):
    """Calls are settled when their node's bucket has run full since."""
    node = scenario.node(1)
    for _ in range(10):
        scenario.fleet.nursery.start_soon(
            scenario.fleet.grant, node, 300, 0, 1.0, 33.0
        )
    for _ in range(60):
        await scenario.fleet.grant(node, 50, 50, 1.0, 0.0)
        await trio.sleep(0.5)
    await load(scenario, 8)


async def newcomers(scenario):
    """Nodes join a fleet whose burst is spent."""
    await load(scenario, 8)
    for _ in range(4):
        scenario.add()
    await load(scenario, 4)


async def lost_shrink(scenario):
    """Answers to a holder are lost while demand moves away from it."""
    fleet = scenario.fleet
    fleet.network.drop = 0.3
    for index in range(8):
        node = scenario.node(index)
        for _ in range(4):
            await fleet.grant(node, 100, 100, 0.5, 0.1)


async def unreached_successor(scenario):
    """A holder knows the new owner, but cannot reach it."""
    await load(scenario, 4)
    keeper, holder, _, successor = scenario.fleet.live()
    cut_off(scenario, holder, [successor])
    cut_off(scenario, successor, [keeper])
    scenario.fleet.store_owner(successor.vm_id, 0.2)
    await load(scenario, 12)


async def paused_holder(scenario):
    """A holder sleeps over a takeover with an answer on its way."""
    scenario.fleet.network.usual = 0.15
    await load(scenario, 4)
    keeper, successor, *holders = scenario.fleet.live()
    cut_off(scenario, successor, [keeper])
    for holder in holders:
        holder.running = trio.Event()
    scenario.fleet.store_owner(successor.vm_id, 0.2)
    await load(scenario, 9)
    for holder in holders:
        cut_off(scenario, holder, scenario.fleet.live())
        holder.running.set()
    await load(scenario, 3)


async def restarted_keeper(scenario):
    """A keeper restarts under its name and cannot hear one holder."""
    await load(scenario, 4)
    keeper, holder, *_ = scenario.fleet.live()
    scenario.fleet.kill(keeper)
    cut_off(scenario, holder, [keeper])
    scenario.add(keeper.vm_id, first=False)
    await load(scenario, 12)


async def two_keepers(scenario):
    """An old keeper goes on while a move is stored but not accepted."""
    await load(scenario, 4)
    keeper, successor, holder, other = scenario.fleet.live()
    cut_off(scenario, successor, [keeper])
    keeper.connected = other.connected = False
    scenario.fleet.store_owner(successor.vm_id, NEVER)
    keeper.connected = other.connected = True
    await load(scenario, 8)
    holder.connected = False


async def skipped_version(scenario):
    """A holder hears of the second of two moves only."""
    await load(scenario, 4)
    fleet = scenario.fleet
    keeper, successor, holder, other = fleet.live()
    cut_off(scenario, successor, [keeper])
    holder.connected = False
    fleet.store_owner(other.vm_id, 2.5, spread=0.1)
    await trio.sleep(0.5)
    holder.connected = True
    keeper.connected = other.connected = False
    fleet.store_owner(successor.vm_id, NEVER, spread=0.1)
    keeper.connected = other.connected = True
    await load(scenario, 12)


def regrant_silent(patch):
    """The keeper gives a silent holder's share out at once."""
    refresh = _share_book.Book.refresh

    def naive(book):
        now = refresh(book)
        for holder, entry in list(book._entries.items()):
            if now - entry.heard_at > 1.0:
                del book._entries[holder]
        return now

    patch.setattr(_share_book.Book, 'refresh', naive)


def free_unbarred(patch):
    """The keeper counts a lease as ended without the deputy's promise."""

    def naive(entry, now):
        return entry.heard_at < now - 1.05 * _share_ports.LEASE

    patch.setattr(_share_entry, 'has_expired', naive)


def mint_refunds(patch):
    """A refund is added up to the capacity, whatever happened since."""

    def naive(bucket, now, hold, used):
        bucket.refill(now)
        space = bucket.capacity - bucket.level
        credit = min(space, hold.tokens - used)
        bucket.level += credit
        return credit

    patch.setattr(_bucket.Bucket, 'settle', naive)


def fresh_burst(patch):
    """A share that a holder gets comes with its part of the burst."""
    renew = _share.Share._renew

    def naive(share, now, statement):
        before = share.bucket.capacity
        renew(share, now, statement)
        share.bucket.add(max(0.0, share.bucket.capacity - before))

    patch.setattr(_share.Share, '_renew', naive)


def unconfirmed_shrink(patch):
    """The keeper counts what it sent, as though it had arrived."""
    patch.setattr(
        _share_entry.Entry,
        'counted',
        property(
            lambda entry: (
                entry.sent_fraction if entry.sent_request else entry.fraction
            )
        ),
    )


def spend_on(patch):
    """A holder uses its share under later versions without an end."""
    patch.setattr(_share.Share, '_usable_until', lambda share, now: math.inf)


def old_epoch(patch):
    """A holder adopts an old keeper's answer as the new one's."""
    adopt = _share.Share.adopt

    def naive(share, statement, keeper):
        owners = share._node.owners()
        owner = owners.owner_of(_share_ports.slice_key(share.account))
        late = trio.current_time() - share._sent_at
        now_current = dataclasses.replace(
            statement,
            epoch=owner.epoch,
            version=owners.version,
            lease=late + _share_ports.LEASE,
        )
        return adopt(share, now_current, owner.vm_id)

    patch.setattr(_share.Share, 'adopt', naive)


def keep_inherited(patch):
    """A restarted keeper goes on with an epoch that it does not know."""

    def naive(keeper):
        keeper._first_seen = keeper._node.owners().__class__()

    patch.setattr(_share_keeper.ShareKeeper, 'observe', naive)


def ready_at_once(patch):
    """A new keeper gives the unconfirmed rest out at once."""
    start = _share_book.Book.__init__

    def naive(book, *args):
        start(book, *args)
        book.ready = True

    patch.setattr(_share_book.Book, '__init__', naive)


def own_unsealed(patch):
    """A new keeper moves shares that the old one may still end."""

    async def naive(keeper, holder, report):
        return True

    patch.setattr(_share_keeper.ShareKeeper, '_seal', naive)


def extend_barred(patch):
    """A deputy vouches for a holder that it promised not to."""
    handle = _share_deputy.ShareDeputy.handle

    async def naive(deputy, sender, payload):
        answer = await handle(deputy, sender, payload)
        deputy._barred.clear()
        return answer

    patch.setattr(_share_deputy.ShareDeputy, 'handle', naive)


def lift_always(patch):
    """A new keeper confirms shares however old their version is."""
    confirm = _share_book.Book.confirm

    def naive(book, holder, report):
        version = book._node.owners().version
        known = dataclasses.replace(report, version=version)
        return confirm(book, holder, known)

    patch.setattr(_share_book.Book, 'confirm', naive)


CASES = (
    (regrant_silent, silent_holder),
    (free_unbarred, silent_holder),
    (mint_refunds, full_then_settled),
    (fresh_burst, newcomers),
    (unconfirmed_shrink, lost_shrink),
    (spend_on, unreached_successor),
    (old_epoch, paused_holder),
    (keep_inherited, restarted_keeper),
    (ready_at_once, unreached_successor),
    (own_unsealed, two_keepers),
    (extend_barred, silent_holder),
    (lift_always, skipped_version),
)


@pytest.mark.parametrize(
    'schedule', dict.fromkeys(schedule for _, schedule in CASES)
)
def test_schedule_keeps_to_the_contract(schedule):
    for seed in range(2):
        limits_scenario.run_script(schedule, seed)


@pytest.mark.parametrize(('variant', 'schedule'), CASES)
def test_naive_variant_is_caught(variant, schedule, monkeypatch):
    variant(monkeypatch)
    with pytest.raises(limits_scenario.OverGrant):
        for seed in range(8):
            limits_scenario.run_script(schedule, seed)
