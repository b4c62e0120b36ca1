"""Requests of all nodes to a target that names a limit, in virtual time."""

import random

import builders
import pytest
import trio

from mustardlb_gateway import _owners
from mustardlb_gateway import _target_limits
from mustardlb_gateway import _target_permits

TARGET = builders.make_target()

# Bounds of the platform.
WINDOW_SECONDS = 4.0
STABLE_SECONDS = 3.0
EXCESS_RATIO = 1.5
EXCESS_REQUESTS = 5

RESPONSE_SECONDS = 0.05


class Fleet:
    """Nodes before one target; what they know spreads with losses.

    :ivar limit: what the target names in its responses, None for nothing
    :ivar silent: nodes that do not respond to others
    :ivar lost_share: share of lost messages between nodes
    :ivar arrivals: time of each request that reached the target
    """

    def __init__(self, count, limit, lost_share=0.0, seed=0):
        self.rng = random.Random(seed)
        self.limit = limit
        self.lost_share = lost_share
        self.silent = set()
        self.arrivals = []
        self.denied = 0
        self.limits = {}
        self.permits = {}
        for number in range(count):
            self.start(f'vm{number}')

    def start(self, name):
        self.limits[name] = _target_limits.TargetLimits(
            lambda target_id: TARGET.incarnation, trio.current_time
        )
        self.permits[name] = _target_permits.TargetPermits(
            name,
            self.limits[name],
            self._request,
            lambda: frozenset(self.limits) - {name},
            trio.current_time,
        )

    async def _request(self, vm, body, timeout):
        if (
            vm not in self.permits
            or vm in self.silent
            or self.rng.random() < self.lost_share
        ):
            await trio.sleep(timeout)
            return None
        await trio.sleep(0.001)
        response = self.permits[vm].handle_permit(body)
        await trio.sleep(0.001)
        return response

    async def exchange_notices(self):
        """Spread notices as digests and updates do."""
        while True:
            await trio.sleep(0.5)
            hub = {}
            for limits in self.limits.values():
                if self.rng.random() >= self.lost_share:
                    own = limits.own_notice_by_key
                    hub = _target_limits.merge(hub, own)
            for limits in self.limits.values():
                if self.rng.random() >= self.lost_share:
                    limits.add(hub)

    async def send(self, name):
        sent_at = trio.current_time()
        limits = self.limits[name]
        if not await self.permits[name].acquire(TARGET, 'r'):
            self.denied += 1
            return
        self.arrivals.append(trio.current_time())
        limit = self.limit
        await trio.sleep(RESPONSE_SECONDS)
        limits.record_response(TARGET, limit, trio.current_time() - sent_at)

    async def run(self, seconds, per_second, on_time=None):
        end = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.exchange_notices)
            if on_time:
                nursery.start_soon(on_time)
            while trio.current_time() < end:
                name = self.rng.choice(list(self.limits))
                nursery.start_soon(self.send, name)
                await trio.sleep(self.rng.expovariate(per_second))
            nursery.cancel_scope.cancel()

    def expect_limit_kept(self, limit, since=STABLE_SECONDS):
        """Check all windows from some seconds after the first request."""
        since += self.arrivals[0]
        allowed = EXCESS_RATIO * limit * WINDOW_SECONDS + EXCESS_REQUESTS
        for begin in (at for at in self.arrivals if at >= since):
            end = begin + WINDOW_SECONDS
            found = sum(begin <= at < end for at in self.arrivals)
            assert found <= allowed


@pytest.mark.parametrize('count', [1, 7, 200])
@pytest.mark.parametrize('limit', [0.0, 0.5, 1.7, 20.0])
@pytest.mark.parametrize('lost_share', [0.0, 0.2])
async def test_limit_is_kept_by_all_nodes_together(
    count, limit, lost_share, autojump_clock
):
    fleet = Fleet(count, limit, lost_share)
    await fleet.run(25, 60)
    fleet.expect_limit_kept(limit)
    if not lost_share:
        # What the target accepts is also used.
        late = [at for at in fleet.arrivals if at > fleet.arrivals[0] + 5]
        assert len(late) >= 0.7 * limit * 20


# A node that starts knows nothing of the limit, nor what the owner before it
# has handed out.
@pytest.mark.parametrize('count', [7, 200])
async def test_limit_is_kept_while_nodes_are_replaced(count, autojump_clock):
    limit = 2.0
    fleet = Fleet(count, limit)

    async def replace():
        for number in range(1, 6):
            await trio.sleep(4)
            ranking = fleet.permits['vm0']._owners.ranking('t1')
            owner = next(name for name in ranking if name != 'vm0')
            fleet.silent.add(owner)
            # The other nodes notice that it is gone.
            await trio.sleep(1)
            del fleet.limits[owner], fleet.permits[owner]
            fleet.start(f'new{number}')

    await fleet.run(26, 60, replace)
    fleet.expect_limit_kept(limit)


# Its owner may be cut off from some nodes and not from others.
async def test_limit_is_kept_with_a_silent_owner(autojump_clock):
    fleet = Fleet(7, 2.0)
    fleet.silent.add(fleet.permits['vm0']._owners.ranking('t1')[0])
    await fleet.run(25, 60)
    fleet.expect_limit_kept(2.0)
    assert len(fleet.arrivals) > 10


async def test_limit_is_kept_without_any_response(autojump_clock):
    fleet = Fleet(7, 2.0)
    fleet.silent.update(fleet.limits)
    await fleet.run(25, 60)
    fleet.expect_limit_kept(2.0)


# Clients then get the time at which the nodes know who has stopped.
async def test_target_is_not_considered_while_no_owner_decides(
    autojump_clock,
):
    fleet = Fleet(7, 2.0)
    fleet.silent.update(fleet.limits)
    name = fleet.permits['vm0']._owners.ranking('t1')[-1]
    fleet.limits[name].record_response(TARGET, 2.0, 0.0)
    assert not await fleet.permits[name].acquire(TARGET, 'r')
    wait = fleet.permits[name].denied()['t1']
    assert 0 < wait <= _target_permits.UNDECIDED_SECONDS


async def test_limit_ends_when_the_target_names_none(autojump_clock):
    fleet = Fleet(7, 1.0)

    async def lift():
        await trio.sleep(10)
        fleet.limit = None

    await fleet.run(20, 40, lift)
    since = fleet.arrivals[0] + 14
    late = sum(at > since for at in fleet.arrivals)
    assert late > 0.8 * 40 * 5


async def test_lower_limit_applies_to_all_nodes(autojump_clock):
    fleet = Fleet(7, 20.0)

    async def lower():
        await trio.sleep(10)
        fleet.limit = 1.0

    await fleet.run(25, 60, lower)
    fleet.expect_limit_kept(1.0, since=10 + STABLE_SECONDS)


# A response that was on its way when the target named its limit.
async def test_late_response_does_not_lift_a_limit(autojump_clock):
    fleet = Fleet(2, 1.0)
    limits = fleet.limits['vm0']
    await trio.sleep(5)
    limits.record_response(TARGET, 1.0, 0.1)
    await trio.sleep(0.05)
    limits.record_response(TARGET, None, 0.2)
    assert limits.limit(TARGET) == 1.0
    await trio.sleep(1)
    limits.record_response(TARGET, None, 0.2)
    assert limits.limit(TARGET) is None


# A node that was told a limit later than another was told of none says so.
async def test_later_limit_wins_over_an_earlier_notice_of_none(
    autojump_clock,
):
    fleet = Fleet(2, 1.0)
    one, other = fleet.limits.values()
    one.record_response(TARGET, 1.0, 0.0)
    other.add(one.own_notice_by_key)
    await trio.sleep(2)
    other.record_response(TARGET, None, 0.5)
    await trio.sleep(0.1)
    one.record_response(TARGET, 1.0, 0.1)
    one.add(other.own_notice_by_key)
    other.add(one.own_notice_by_key)
    assert one.limit(TARGET) == other.limit(TARGET) == 1.0


def test_notice_from_the_future_is_not_used():
    limits = _target_limits.TargetLimits(lambda target_id: 1, lambda: 1000.0)
    notice = _target_limits.LimitNotice('t1', 1, 0.0, 4600.0)
    limits.add({notice.key: notice})
    assert limits.limit(TARGET) is None


def test_restarted_target_has_no_limit():
    limits = _target_limits.TargetLimits(lambda target_id: 2, lambda: 1000.0)
    limits.record_response(TARGET, 1.0, 0.0)
    restarted = builders.make_target(incarnation=2)
    assert limits.limit(restarted) is None


# A node of a low rank hands out so little that its wait would be minutes.
async def test_target_is_considered_again_once_its_owner_may_respond(
    autojump_clock,
):
    fleet = Fleet(9, 2.0)
    ranking = fleet.permits['vm0']._owners.ranking('t1')
    name = ranking[-1]
    fleet.limits[name].record_response(TARGET, 2.0, 0.0)
    fleet.silent.update(ranking[:6])
    for _ in range(4):
        await fleet.permits[name].acquire(TARGET, 'r')
        await trio.sleep(_target_permits.UNDECIDED_SECONDS)
    waits = fleet.permits[name].denied()
    assert 0 < waits['t1'] <= _owners.BACKOFF_SECONDS


async def test_unresponsive_owner_is_not_asked_again_soon(autojump_clock):
    fleet = Fleet(3, 5.0)
    permits = fleet.permits['vm0']
    fleet.limits['vm0'].record_response(TARGET, 5.0, 0.0)
    fleet.silent.update({'vm1', 'vm2'})
    await permits.acquire(TARGET, 'r')
    began = trio.current_time()
    await permits.acquire(TARGET, 'r')
    assert trio.current_time() - began < _owners.RESPONSE_TIMEOUT_SECONDS


# A grant that waited in the socket of a paused process was used although the
# owner had handed out the permits of all the time since.
@pytest.mark.parametrize('seconds', [2.0, 10.0, 30.0])
async def test_late_permit_is_not_used(seconds, autojump_clock):
    fleet = Fleet(7, 20.0)
    owner = fleet.permits['vm0']._owners.ranking('t1')[0]
    name = next(vm for vm in fleet.permits if vm != owner)
    fleet.limits[name].record_response(TARGET, 20.0, 0.0)
    await fleet.permits[name].acquire(TARGET, 'first')
    await trio.sleep(1)
    assert await fleet.permits[name].acquire(TARGET, 'r')
    request = fleet.permits[name]._request

    async def request_late(vm, body, timeout):
        response = await request(vm, body, timeout)
        await trio.sleep(seconds)
        return response

    fleet.permits[name]._request = request_late
    await trio.sleep(1)
    assert not await fleet.permits[name].acquire(TARGET, 'r')


# While nodes differ on who lives, two nodes were asked as the owner, and each
# handed out the whole limit.
@pytest.mark.parametrize('count', [7, 40, 200])
async def test_limit_is_kept_while_nodes_differ_on_the_owner(
    count, autojump_clock
):
    limit = 20.0
    fleet = Fleet(count, limit)
    ranking = fleet.permits['vm0']._owners.ranking('t1')
    names = [name for name in fleet.permits if name not in ranking[:2]]
    for name in names[: len(names) // 2]:
        fleet.permits[name]._owners._live = lambda name=name: (
            frozenset(fleet.limits) - {name, ranking[0]}
        )
    await fleet.run(20, 80)
    fleet.expect_limit_kept(limit)
    assert len(fleet.arrivals) > 0.5 * 20 * limit
