"""Requests of all nodes to a target while it is cold, in virtual time.

The load is a rate of calls well above what the target tolerates, from all
nodes. The platform permits 7.2 x 1.5 + 5 requests in any one second.
"""

import builders
import cold_fleet
import pytest
import trio

from mustardlb_gateway import _cold_permits
from mustardlb_gateway import domain

COUNTS = [1, 67, 200]
CALLS_PER_SECOND = 120
BOUND = cold_fleet.BOUND


def cut_into(parts):
    """Return a function that cuts nodes off from those of other parts."""
    return lambda one, other: int(one[2:]) % parts != int(other[2:]) % parts


# Guards against nodes that overrun a cold target together, and against
# permits that are not used.
@pytest.mark.parametrize('count', COUNTS)
@pytest.mark.parametrize('seed', range(3))
async def test_cold_target_gets_what_it_tolerates(count, seed, autojump_clock):
    fleet = cold_fleet.Fleet(count, seed)
    await fleet.run(20, CALLS_PER_SECOND)
    assert fleet.most_in_a_second() <= BOUND
    assert len(fleet.arrivals) >= 0.85 * cold_fleet.PER_SECOND * 18


# Guards against each part of a divided fleet handing out the whole rate.
@pytest.mark.parametrize('count', COUNTS)
@pytest.mark.parametrize('parts', [2, 3, 200])
@pytest.mark.parametrize('do_notice', [False, True])
async def test_parts_of_a_divided_fleet_keep_the_limit(
    count, parts, do_notice, autojump_clock
):
    fleet = cold_fleet.Fleet(count)
    fleet.are_cut = cut_into(parts)
    if do_notice:
        fleet.live_of = {
            name: [
                each for each in fleet.nodes if not fleet.are_cut(name, each)
            ]
            for name in fleet.nodes
        }
    await fleet.run(20, CALLS_PER_SECOND)
    assert fleet.most_in_a_second() <= BOUND


# Guards against nodes that see different others alive and take themselves,
# or each other, for the owner.
@pytest.mark.parametrize('count', COUNTS)
@pytest.mark.parametrize('seen_share', [0.2, 0.6, 0.95])
async def test_different_views_of_the_live_nodes_keep_the_limit(
    count, seen_share, autojump_clock
):
    fleet = cold_fleet.Fleet(count)

    async def change_views():
        fleet.put_target(cold_remaining=20)
        while True:
            fleet.live_of = {
                name: [
                    each
                    for each in fleet.nodes
                    if fleet.rng.random() < seen_share
                ]
                for name in fleet.nodes
            }
            await trio.sleep(1.5)

    await fleet.run(20, CALLS_PER_SECOND, change_views)
    assert fleet.most_in_a_second() <= BOUND


# Guards against nodes that take themselves for the owner since they do not
# know all others, as after many have joined.
@pytest.mark.parametrize('count', COUNTS)
@pytest.mark.parametrize('hidden_share', [0.02, 0.1, 0.4])
@pytest.mark.parametrize('seed', range(3))
async def test_different_views_of_the_known_nodes_keep_the_limit(
    count, hidden_share, seed, autojump_clock
):
    fleet = cold_fleet.Fleet(count, seed)
    for name, node in fleet.nodes.items():
        node.hidden = {
            each
            for each in fleet.nodes
            if each != name and fleet.rng.random() < hidden_share
        }
    await fleet.run(20, CALLS_PER_SECOND)
    assert fleet.most_in_a_second() <= BOUND


# Guards against the successor of a lost owner handing out the whole rate
# beside it, and against a target that is left idle from then on.
@pytest.mark.parametrize('count', COUNTS[1:])
@pytest.mark.parametrize('how', ['lost', 'paused', 'silent', 'restarted'])
async def test_limit_is_kept_without_the_owner(count, how, autojump_clock):
    fleet = cold_fleet.Fleet(count)
    times = []

    async def lose_owner():
        fleet.put_target(cold_remaining=30)
        await trio.sleep(8)
        owner = fleet.ranking()[0]
        times.append(trio.current_time())
        if how == 'paused':
            fleet.paused_until[owner] = trio.current_time() + 4
        elif how == 'silent':
            fleet.are_cut = lambda one, other: owner in (one, other)
        elif how == 'restarted':
            for _ in range(8):
                fleet.start(owner)
                await trio.sleep(0.5)
        else:
            del fleet.nodes[owner]

    await fleet.run(24, CALLS_PER_SECOND, lose_owner)
    assert fleet.most_in_a_second() <= BOUND
    assert sum(at > times[0] + 3 for at in fleet.arrivals) >= 8


# Guards against new nodes that rank highest and hand out the whole rate
# beside the owner before it knows of them.
@pytest.mark.parametrize('count', COUNTS[1:])
async def test_limit_is_kept_while_nodes_join(count, autojump_clock):
    fleet = cold_fleet.Fleet(count)

    async def join():
        fleet.put_target(cold_remaining=30)
        for number in range(20):
            await trio.sleep(1)
            new = f'vm{1000 + number}'
            fleet.start(new)
            for node in fleet.nodes.values():
                node.hidden.add(new)
            fleet.live_of = {
                each: set(fleet.nodes) - node.hidden
                for each, node in fleet.nodes.items()
            }
            await trio.sleep(0.8)
            for node in fleet.nodes.values():
                node.hidden.discard(new)
            fleet.live_of = {}

    await fleet.run(24, CALLS_PER_SECOND, join)
    assert fleet.most_in_a_second() <= BOUND


# Guards against a permit that is used late by a process that was paused.
async def test_permit_of_a_paused_node_expires(autojump_clock):
    fleet = cold_fleet.Fleet(1)
    async with trio.open_nursery() as nursery:
        fleet.nursery = nursery
        nursery.start_soon(fleet.maintain)
        fleet.put_target(0.0, cold_remaining=30)
        await trio.sleep(2)
        node = fleet.nodes['vm0']
        assert await node.permits.acquire(fleet.target, 'r') is None
        await trio.sleep(0.3)
        send_by = await node.permits.acquire(fleet.target, 'r')
        assert node.permits.may_send(fleet.target, send_by)
        await trio.sleep(3)
        assert not node.permits.may_send(fleet.target, send_by)
        nursery.cancel_scope.cancel()


# Guards against nodes that go on as before when the target is cold again.
# One node learns of it from a response and tells the others.
@pytest.mark.parametrize('count', COUNTS)
async def test_target_that_is_cold_again_gets_few_requests(
    count, autojump_clock
):
    fleet = cold_fleet.Fleet(count)
    times = []

    async def cool():
        fleet.put_target()
        await trio.sleep(cold_fleet.COLD_START_SECONDS + 3)
        times.append(trio.current_time())
        node = next(iter(fleet.nodes.values()))
        node.cold.record_response(fleet.target, 15.0)
        await trio.sleep(15.5)
        times.append(trio.current_time())

    await fleet.run(32, CALLS_PER_SECOND, cool)
    begin, end = times
    # The notice and requests that were on their way.
    late = begin + 0.1 + cold_fleet.TRANSIT_SECONDS
    cold = [at for at in fleet.arrivals if at < end - 0.5]
    warm = [at for at in fleet.arrivals if at > end]
    fleet.arrivals = cold
    assert fleet.most_in_a_second(late) <= BOUND
    assert len(warm) > 0.8 * CALLS_PER_SECOND * 1.5


# Guards against a target that has started again and gets the requests of
# nodes that know it from before.
@pytest.mark.parametrize('count', COUNTS)
@pytest.mark.parametrize('remaining', [0.0, cold_fleet.COLD_START_SECONDS])
async def test_restarted_target_gets_few_requests(
    count, remaining, autojump_clock
):
    fleet = cold_fleet.Fleet(count)
    times = []

    async def restart():
        fleet.put_target()
        await trio.sleep(cold_fleet.COLD_START_SECONDS + 3)
        # Its connections have broken, and those to it are refused.
        for node in fleet.nodes.values():
            node.cold.record_broken(fleet.target)
        times.append(trio.current_time())
        fleet.put_target(incarnation=2, cold_remaining=remaining)

    await fleet.run(22, CALLS_PER_SECOND, restart)
    late = times[0] + cold_fleet.TRANSIT_SECONDS
    assert fleet.most_in_a_second(late) <= BOUND
    assert sum(at > late + 1 for at in fleet.arrivals) >= 0.5 * 7.2 * 7


# Guards against a target that starts again under another id, or registers
# again after an outage of the store, and is taken for the other kind.
async def test_new_id_is_cold_and_a_lapsed_one_is_not(autojump_clock):
    fleet = cold_fleet.Fleet(1)
    node = fleet.nodes['vm0']
    target = builders.make_target('t1')
    node.set_target(target, 1)
    assert node.cold.is_cold(target)
    await trio.sleep(cold_fleet.COLD_START_SECONDS + 1)
    assert not node.cold.is_cold(target)
    node.mirror.replace_all([], 2)
    await trio.sleep(2)
    node.cold.remove_gone()
    node.set_target(builders.make_target('t1'), 3)
    assert not node.cold.is_cold(target)
    other = builders.make_target('t2')
    node.set_target(other, 4)
    assert node.cold.is_cold(other)


# Guards against the rush to a data centre that is taken back.
@pytest.mark.parametrize('count', COUNTS)
async def test_targets_are_cold_after_an_evacuation(count, autojump_clock):
    fleet = cold_fleet.Fleet(count)
    times = []

    async def evacuate():
        fleet.put_target()
        await trio.sleep(cold_fleet.COLD_START_SECONDS + 2)
        fleet.put_evacuated('a')
        await trio.sleep(5)
        times.append(trio.current_time())
        fleet.put_evacuated()

    await fleet.run(26, CALLS_PER_SECOND, evacuate)
    assert fleet.most_in_a_second(times[0]) <= BOUND
    assert not any(times[0] - 3 < at < times[0] for at in fleet.arrivals)
    assert sum(at > times[0] for at in fleet.arrivals) >= 0.5 * 7.2 * 8


# Guards against a target that stays limited although a registration later
# than the end of the evacuation says for how long it is cold.
async def test_later_registration_says_for_how_long_a_target_is_cold(
    autojump_clock,
):
    fleet = cold_fleet.Fleet(1)
    node = fleet.nodes['vm0']
    node.set_target(builders.make_target('t1'), 1)
    await trio.sleep(cold_fleet.COLD_START_SECONDS + 1)
    node.set_evacuated(['a'], 2)
    node.set_evacuated([], 4)
    # Written before the evacuation ended, received after it.
    early = builders.make_target('t1', cold_remaining=0.5)
    node.set_target(early, 3)
    await trio.sleep(1)
    later = builders.make_target('t1', cold_remaining=2.0)
    node.set_target(later, 5)
    assert node.cold.is_cold(later)
    await trio.sleep(2.5)
    assert not node.cold.is_cold(later)


# Guards against a limit where the service has none.
async def test_service_without_a_limit_is_not_affected(autojump_clock):
    fleet = cold_fleet.Fleet(1)
    node = fleet.nodes['vm0']
    node.cold._service = lambda name: domain.Service('llm', 100)
    target = builders.make_target('t1', cold_remaining=5.0)
    node.set_target(target, 1)
    assert not node.cold.is_cold(target)
    assert node.permits.may_send(target, None)
    assert node.cold.count == 0


# Guards against shares that exceed the bound, at any rate.
@pytest.mark.parametrize('per_second', [0.2, 1.0, 3.3, 7.2, 40.0])
@pytest.mark.parametrize('over', [1.0, 1.5])
@pytest.mark.parametrize('slack', [0.0, 1.0, 5.0])
def test_shares_stay_within_the_bound(per_second, over, slack):
    bound = per_second * over + slack
    shares = _cold_permits.shares(per_second, bound)
    window = _cold_permits.WINDOW_SECONDS
    most = sum(int(share.rate * window) + share.burst for share in shares)
    assert most <= bound
    assert shares or bound < 1
