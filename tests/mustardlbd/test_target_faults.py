"""Single faults at single steps of placing, loading and dispatching."""

import engine_fleet
import msgspec
import pytest
import trio

from mustardlb import routes
from mustardlb_standins import faults
from mustardlbd import _placement


@pytest.fixture
async def make(nursery):
    def make_fleet(**settings):
        return engine_fleet.EngineFleet(nursery, **settings)

    yield make_fleet
    nursery.cancel_scope.cancel()


def nodes_of(fleet, target):
    """The owner of a target, and a node that is not its owner."""
    owner = fleet.owner_of(target)
    return owner, next(one for one in fleet.listed if one != owner)


@pytest.mark.parametrize('naive', [False, True])
async def test_engine_restarts_between_choice_and_arrival(
    make, autojump_clock, monkeypatch, naive
):
    if naive:
        monkeypatch.setattr(
            _placement.Placer, '_check_served', lambda *arguments: None
        )
    fleet = make(engines=1, falls_back=True)
    await trio.sleep(2)
    _, user = nodes_of(fleet, 'engine-0')
    await fleet.request(user, 'a@1')
    fleet.nursery.start_soon(fleet.request, user, 'a@1')
    await trio.sleep(engine_fleet.DELAY / 2)
    fleet.engines['engine-0'].restart()
    await trio.sleep(3)
    # The request was on its way: it met an engine without its adapter.
    assert len(fleet.entries('fell_back')) == 1
    assert bool(fleet.failures) is not naive
    if naive:
        return
    (_, _, failure) = fleet.failures[0]
    assert (failure.code, failure.not_run) == ('wrong_adapter', False)
    assert await fleet.request(user, 'a@1') is None
    assert fleet.served[-1] == ('a@1', 'a@1')
    assert len(fleet.entries('fell_back')) == 1


@pytest.mark.parametrize('ways', ['dropped', 'answer lost', 'one way'])
async def test_asking_an_owner_that_is_not_heard(make, autojump_clock, ways):
    fleet = make(engines=1, slots=1)
    await trio.sleep(2)
    owner, user = nodes_of(fleet, 'engine-0')
    if ways == 'one way':
        fleet.cuts.add((owner, user))
    else:
        lost = ways == 'answer lost'
        kind = faults.Kind.RESPONSE_LOST if lost else faults.Kind.DROP
        fleet.plan.add(f'target-ask:{user}>*', kind, times=None)
    refusal = await fleet.request(user, 'a@1', wait=3.0)
    assert refusal.not_run
    assert not fleet.entries('run')
    # A grant of which the node knows nothing is closed, where the owner
    # reaches the node; else the slot stays, as the node may use it.
    found = await fleet.request(owner, 'b@1', wait=30.0)
    assert (found is not None) is (ways == 'one way')
    fleet.cuts.clear()
    fleet.plan.reset()
    for model in ('b@1', 'a@1'):
        assert await fleet.request(user, model, wait=30.0) is None
    fleet.check()


@pytest.mark.parametrize('kind', [faults.Kind.SLOW, faults.Kind.DROP])
async def test_load_that_is_slow_or_hangs(make, autojump_clock, kind):
    fleet = make(engines=2)
    await trio.sleep(2)
    first = min(fleet.engines, key=lambda name: _placement.rank('a@1', name))
    plan = fleet.engines[first].plan
    plan.add('load:a@1', kind, seconds=12.0)
    failure = await fleet.request('vm-0', 'a@1', wait=5.0)
    assert failure is None or failure.not_run
    assert plan.hits
    # The other slots go on, and so does the adapter in the end.
    assert await fleet.request('vm-0', 'b@1') is None
    await trio.sleep(30)
    for vm_id in fleet.listed:
        assert await fleet.request(vm_id, 'a@1') is None
    fleet.check()


@pytest.mark.parametrize('fault', ['none', 'killed', 'paused', 'restart'])
async def test_engine_that_drains_gets_no_new_work(
    make, autojump_clock, fault
):
    fleet = make(engines=2)
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
        fleet.listed.remove(owner)
        fleet.assign(fleet.listed)
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
    fleet.check()
