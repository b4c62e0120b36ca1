"""Tests of single faults at each step of placement, load and dispatch."""

import engine_fleet
import msgspec
import pytest
import trio

from mustardlb import routes
from mustardlb_standins import faults
from mustardlbd import _placement


@pytest.fixture
async def make_fleet(nursery):
    def build(**settings):
        return engine_fleet.EngineFleet(nursery, **settings)

    yield build
    nursery.cancel_scope.cancel()


def nodes_of(fleet, target):
    """Return the owner of a target and another node."""
    owner = fleet.owner_of(target)
    return owner, next(one for one in fleet.vm_ids if one != owner)


@pytest.mark.parametrize('is_faulty', [False, True])
async def test_engine_restart_between_placement_and_dispatch(
    make_fleet, autojump_clock, monkeypatch, is_faulty
):
    if is_faulty:
        monkeypatch.setattr(
            _placement.Placer, '_check_served', lambda *arguments: None
        )
    fleet = make_fleet(engines=1, falls_back=True)
    await trio.sleep(2)
    _, user = nodes_of(fleet, 'engine-0')
    await fleet.request(user, 'a@1')
    fleet.nursery.start_soon(fleet.request, user, 'a@1')
    await trio.sleep(engine_fleet.MESSAGE_DELAY_SECONDS / 2)
    fleet.engines['engine-0'].restart()
    await trio.sleep(3)
    # The request reached the engine after the restart removed its adapter.
    assert len(fleet.log_entries('fell_back')) == 1
    assert bool(fleet.failures) is not is_faulty
    if is_faulty:
        return
    (_, _, failure) = fleet.failures[0]
    assert (failure.code, failure.not_run) == ('wrong_adapter', False)
    assert await fleet.request(user, 'a@1') is None
    assert fleet.served[-1] == ('a@1', 'a@1')
    assert len(fleet.log_entries('fell_back')) == 1


@pytest.mark.parametrize('fault', ['dropped', 'reply lost', 'one way'])
async def test_request_to_an_unreachable_owner(
    make_fleet, autojump_clock, fault
):
    fleet = make_fleet(engines=1, slots=1)
    await trio.sleep(2)
    owner, user = nodes_of(fleet, 'engine-0')
    if fault == 'one way':
        fleet.partitions.add((owner, user))
    else:
        lost = fault == 'reply lost'
        kind = faults.Kind.RESPONSE_LOST if lost else faults.Kind.DROP
        fleet.plan.add(f'target-ask:{user}>*', kind, times=None)
    refusal = await fleet.request(user, 'a@1', wait=3.0)
    assert refusal.not_run
    assert not fleet.log_entries('run')
    # The owner can close a grant whose reply was lost if it reaches the node.
    # Otherwise the slot stays occupied, because the node may be using it.
    found = await fleet.request(owner, 'b@1', wait=30.0)
    assert (found is not None) is (fault == 'one way')
    fleet.partitions.clear()
    fleet.plan.reset()
    for model in ('b@1', 'a@1'):
        assert await fleet.request(user, model, wait=30.0) is None
    fleet.check_invariants()


@pytest.mark.parametrize('kind', [faults.Kind.SLOW, faults.Kind.DROP])
async def test_load_that_is_slow_or_hangs(make_fleet, autojump_clock, kind):
    fleet = make_fleet(engines=2)
    await trio.sleep(2)
    first = min(fleet.engines, key=lambda name: _placement.rank('a@1', name))
    plan = fleet.engines[first].plan
    plan.add('load:a@1', kind, seconds=12.0)
    failure = await fleet.request('vm-0', 'a@1', wait=5.0)
    assert failure is None or failure.not_run
    assert plan.hits
    # Other slots stay usable, and the adapter loads eventually.
    assert await fleet.request('vm-0', 'b@1') is None
    await trio.sleep(30)
    for vm_id in fleet.vm_ids:
        assert await fleet.request(vm_id, 'a@1') is None
    fleet.check_invariants()


@pytest.mark.parametrize('fault', ['none', 'killed', 'paused', 'restart'])
async def test_draining_engine_gets_no_new_requests(
    make_fleet, autojump_clock, fault
):
    fleet = make_fleet(engines=2)
    await trio.sleep(2)
    owner, user = nodes_of(fleet, 'engine-0')
    for model in ('a@1', 'b@1', 'c@1', 'd@1'):
        assert await fleet.request(user, model) is None
    fleet.nursery.start_soon(fleet.request, user, 'a@1', 'canopy', 200)
    await trio.sleep(0.5)
    fleet.configured['engine-0'] = msgspec.structs.replace(
        fleet.configured['engine-0'], state=routes.TargetState.DRAIN
    )
    if fault == 'killed':
        fleet.kill(owner)
        fleet.vm_ids.remove(owner)
        fleet.assign(fleet.vm_ids)
    elif fault == 'paused':
        fleet.nodes[owner].gate.pause()
    elif fault == 'restart':
        fleet.engines['engine-0'].restart()
    await trio.sleep(1)
    before = len(fleet.engines['engine-0'].kinds('run'))
    for model in ('a@1', 'b@1', 'c@1', 'd@1', 'e@1'):
        if fault == 'paused':
            fleet.nursery.start_soon(fleet.request, user, model)
            continue
        assert await fleet.request(user, model, wait=30.0) is None
    await trio.sleep(20)
    if fault == 'paused':
        fleet.nodes[owner].gate.resume()
        await trio.sleep(20)
        assert await fleet.request(owner, 'a@1', wait=30.0) is None
    assert len(fleet.engines['engine-0'].kinds('run')) == before
    fleet.check_invariants()
