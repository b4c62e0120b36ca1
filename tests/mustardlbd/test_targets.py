"""Grants, closing, loading and taking over, against the engines' logs.

Each promise is driven twice: with the node's own code it holds, and with
one decision made the naive way the same schedule breaks it.
"""

import contextlib
import random

import engine_fleet
import pytest
import trio

from mustardlb_standins import faults
from mustardlbd import _grants
from mustardlbd import _orders
from mustardlbd import _permits
from mustardlbd import _placement
from mustardlbd import _target_context
from mustardlbd import _target_owner
from mustardlbd import _targets

SAFE = pytest.param(False, id='safe')
NAIVE = pytest.param(True, id='naive')
both_ways = pytest.mark.parametrize('naive', [SAFE, NAIVE])


@pytest.fixture
async def make(nursery):
    def make_fleet(**settings):
        return engine_fleet.EngineFleet(nursery, **settings)

    yield make_fleet
    nursery.cancel_scope.cancel()


def verdict(naive):
    """Expect the oracle to find something where the naive way is taken."""
    if naive:
        return pytest.raises(AssertionError)
    return contextlib.nullcontext()


async def drive(fleet, seconds, models, seed=1, tokens=5, rate=10, skew=0.8):
    """Send requests at random from every node for a time."""
    rng = random.Random(seed)
    end = trio.current_time() + seconds
    async with trio.open_nursery() as nursery:
        while trio.current_time() < end:
            vm_id = rng.choice(sorted(fleet.nodes))
            model = f'm{min(int(rng.paretovariate(skew)), models)}@1'
            account = rng.choice(['canopy', 'feed'])
            nursery.start_soon(
                fleet.request, vm_id, model, account, rng.randint(1, tokens)
            )
            await trio.sleep(rng.expovariate(rate))


def other_node(fleet, target):
    """Pick a node that does not own the target."""
    return next(
        vm_id for vm_id in fleet.listed if vm_id != fleet.owner_of(target)
    )


@both_ways
async def test_nothing_in_use_is_evicted(
    make, autojump_clock, monkeypatch, naive
):
    if naive:

        async def close(self, model):
            return True

        monkeypatch.setattr(_target_owner.TargetOwner, '_close', close)
    fleet = make()
    await trio.sleep(2)
    await drive(fleet, 15, models=12, tokens=30)
    assert len(fleet.entries('evicted')) > 20
    with verdict(naive):
        fleet.check()


@both_ways
@pytest.mark.parametrize('silence', ['paused', 'cut'])
async def test_a_silent_node_is_not_waited_out(
    make, autojump_clock, monkeypatch, naive, silence
):
    """Its streams run on, and it may be current by the API alone."""
    if naive:
        careful = _target_owner.TargetOwner._close_at

        async def close_at(self, vm_id, model, number):
            with trio.move_on_after(5.0):
                await careful(self, vm_id, model, number)
            self.residency.remove_user(model, vm_id, number)

        monkeypatch.setattr(_target_owner.TargetOwner, '_close_at', close_at)
        monkeypatch.setattr(_target_owner, 'CLOSE_PATIENCE', 10.0)
    fleet = make(engines=1)
    await trio.sleep(2)
    owner = fleet.owner_of('engine-0')
    user = other_node(fleet, 'engine-0')
    fleet.nursery.start_soon(
        fleet.request, user, 'long@1', 'canopy', 2000, 20.0
    )
    fleet.nursery.start_soon(fleet.request, owner, 'short@1')
    await trio.sleep(3)
    if silence == 'paused':
        fleet.nodes[user].gate.pause()
    else:
        fleet.cuts |= {(user, owner), (owner, user)}
    for number in range(4):
        await fleet.request(owner, f'm{number}@1', wait=12.0)
    with verdict(naive):
        fleet.check()
    if naive:
        return
    fleet.nodes[user].gate.resume()
    fleet.cuts.clear()
    # The slot beside it went on serving others.
    assert len(fleet.served) >= 5


@both_ways
@pytest.mark.parametrize('checks_fencing', [True, False])
async def test_a_late_eviction_hits_nothing_loaded_again(
    make, autojump_clock, monkeypatch, naive, checks_fencing
):
    if naive:
        monkeypatch.setattr(_orders, 'LATE_TIME', 0.0)
        monkeypatch.setattr(
            _orders.Orders, '_number', lambda self, epoch: epoch << 32
        )
    fleet = make(engines=1, checks_fencing=checks_fencing)
    engine = fleet.engines['engine-0']
    await trio.sleep(2)
    owner = fleet.owner_of('engine-0')
    await fleet.request(owner, 'a@1')
    await fleet.request(owner, 'b@1')
    engine.plan.add('evict:*', faults.Kind.LATE, seconds=6.0)
    await fleet.request(owner, 'c@1', wait=1.0)
    late = engine.plan.hits[0][0].removeprefix('evict:')
    for _ in range(5):
        await fleet.request(owner, late, tokens=100, wait=5.0)
    assert engine.plan.hits
    with verdict(naive):
        fleet.check()


@pytest.mark.parametrize('case', ['checks', 'ignores', 'naive'])
async def test_a_paused_owner_wakes_with_an_order_half_sent(
    make, autojump_clock, case
):
    """Time alone, the naive way, lets the order of the old owner through."""
    naive = case == 'naive'
    fleet = make(engines=1, checks_fencing=case != 'ignores')
    engine = fleet.engines['engine-0']
    await trio.sleep(2)
    old = fleet.owner_of('engine-0')
    new = other_node(fleet, 'engine-0')
    await fleet.request(new, 'a@1')
    await fleet.request(new, 'b@1')
    # The order passes every check of the old owner, then the node pauses.
    fleet.pauses.append('evict')
    await fleet.request(new, 'c@1', wait=2.0)
    assert not fleet.nodes[old].gate.is_open
    fleet.assign([vm_id for vm_id in fleet.listed if vm_id != old])
    if naive:
        engine.settings = engine_fleet.ignoring(engine.settings)
    await trio.sleep(6)
    for model in ('a@1', 'b@1'):
        fleet.nursery.start_soon(
            fleet.request, new, model, 'canopy', 400, 30.0
        )
    await trio.sleep(3)
    fleet.nodes[old].gate.resume()
    await trio.sleep(5)
    with verdict(naive):
        fleet.check()
    if not naive:
        await trio.sleep(70)
        assert await fleet.request(new, 'd@1') is None


@both_ways
async def test_a_new_owner_learns_what_others_use(
    make, autojump_clock, monkeypatch, naive
):
    if naive:

        async def hand_over(self):
            self._handed_over = True

        monkeypatch.setattr(_target_owner.TargetOwner, '_hand_over', hand_over)
        monkeypatch.setattr(
            _target_owner.TargetOwner, 'report', lambda *arguments: None
        )
    fleet = make(engines=1, nodes=4)
    await trio.sleep(2)
    old = fleet.owner_of('engine-0')
    user = other_node(fleet, 'engine-0')
    fleet.nursery.start_soon(
        fleet.request, user, 'long@1', 'canopy', 1500, 20.0
    )
    await trio.sleep(1)
    fleet.kill(old)
    fleet.listed.remove(old)
    fleet.assign(fleet.listed)
    await trio.sleep(6)
    for number in range(5):
        assert await fleet.request(user, f'm{number}@1') is None
    with verdict(naive):
        fleet.check()


@both_ways
async def test_at_most_eight_loads_are_in_transit(
    make, autojump_clock, monkeypatch, naive
):
    if naive:

        async def acquire(fleet, target, account, patience):
            return _permits.Permit(fleet, target, fleet.now())

        monkeypatch.setattr(_permits, 'acquire', acquire)
    fleet = make(engines=14, nodes=5, slots=3)
    await trio.sleep(2)
    fleet.plan.add('load-permit*', faults.Kind.RESPONSE_LOST, times=5, skip=20)
    await drive(fleet, 4, models=10_000, rate=60, skew=0.1)
    keeper = fleet.table.owner_of(_target_context.PERMITS_KEY).vm_id
    fleet.kill(keeper)
    fleet.listed.remove(keeper)
    fleet.assign(fleet.listed)
    await drive(fleet, 12, models=10_000, rate=60, skew=0.1)
    assert fleet.store.loads > 200
    with verdict(naive):
        fleet.check()


@both_ways
async def test_a_restarted_engine_never_answers_for_another_model(
    make, autojump_clock, monkeypatch, naive
):
    if naive:
        monkeypatch.setattr(
            _placement.Placer, '_check_served', lambda *arguments: None
        )
    fleet = make(falls_back=True)
    await trio.sleep(2)
    for seed in range(4):
        await drive(fleet, 3, models=4, seed=seed, rate=20)
        for engine in fleet.engines.values():
            engine.restart()
    await drive(fleet, 5, models=4, seed=9)
    fleet.failures.clear()
    await drive(fleet, 5, models=4, seed=10)
    assert not fleet.failures
    with verdict(naive):
        fleet.check(missing=10_000)


async def test_a_failed_load_goes_elsewhere_and_backs_off(
    make, autojump_clock
):
    fleet = make(engines=2)
    await trio.sleep(2)
    first, second = sorted(
        fleet.engines, key=lambda name: _placement.rank('a@1', name)
    )
    plan = fleet.engines[first].plan
    plan.add('load:a@1', faults.Kind.FAIL, times=None)
    for _ in range(20):
        assert await fleet.request('vm-0', 'a@1') is None
    assert fleet.engines[second].kinds('loaded')
    assert len(plan.hits) <= 2
    fleet.engines[second].plan.add('load:b@1', faults.Kind.FAIL, times=None)
    plan.add('load:b@1', faults.Kind.FAIL, times=None)
    refusal = await fleet.request('vm-0', 'b@1', wait=6.0)
    assert refusal.code == 'load_failed'
    assert refusal.not_run
    assert len(plan.hits) <= 8


async def test_waiters_of_one_adapter_share_one_load(make, autojump_clock):
    fleet = make(nodes=5, engines=4)
    await trio.sleep(2)
    async with trio.open_nursery() as nursery:
        for number in range(50):
            vm_id = fleet.listed[number % 5]
            nursery.start_soon(fleet.request, vm_id, 'a@1')
    assert len(fleet.served) == 50
    assert fleet.store.loads == 1


@both_ways
async def test_a_loaded_adapter_stays_for_its_waiters(
    make, autojump_clock, monkeypatch, naive
):
    """The next load must not take the slot before they have begun."""
    if naive:
        monkeypatch.setattr(_target_owner, 'FRESH_TIME', 0.0)
    fleet = make(engines=2, slots=4)
    await trio.sleep(2)
    async with trio.open_nursery() as nursery:
        for number in range(24):
            vm_id = fleet.listed[number % 3]
            nursery.start_soon(
                fleet.request, vm_id, f'm{number}@1', 'feed', 5, 30.0
            )
    with verdict(naive):
        assert not fleet.failures
        assert fleet.store.loads <= 30


@both_ways
async def test_an_adapter_wanted_again_waits_for_its_eviction(
    make, autojump_clock, monkeypatch, naive
):
    """Loaders work side by side: one evicts what another is to load."""
    if naive:

        async def until(condition, interval):
            await trio.lowlevel.checkpoint()

        monkeypatch.setattr(_target_owner._target_context, 'poll_until', until)
    fleet = make(engines=1, slots=1)
    await trio.sleep(2)
    owner = fleet.owner_of('engine-0')
    await fleet.request(owner, 'a@1')
    engine = fleet.engines['engine-0']
    engine.plan.add('evict:a@1', faults.Kind.DELAY, seconds=1.0)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.request, owner, 'b@1', 'feed')
        await trio.sleep(0.3)
        nursery.start_soon(fleet.request, owner, 'a@1', 'canopy', 200)
    assert engine.plan.hits
    with verdict(naive):
        fleet.check()


async def test_a_flood_of_cold_adapters_starves_no_account(
    make, autojump_clock
):
    fleet = make(engines=1, slots=4)
    await trio.sleep(2)
    async with trio.open_nursery() as nursery:
        for number in range(40):
            nursery.start_soon(
                fleet.request, 'vm-0', f'm{number}@1', 'feed', 1, 30.0
            )
        await trio.sleep(0.5)
        started = trio.current_time()
        assert await fleet.request('vm-1', 'x@1', 'canopy') is None
        assert trio.current_time() - started < 2.0


@both_ways
@pytest.mark.parametrize('overtaken_by', ['close', 'hand_over'])
async def test_a_late_grant_is_not_taken(
    make, autojump_clock, monkeypatch, naive, overtaken_by
):
    """The answer to an ask is on its way while the grant is taken back."""
    if naive:

        def add(self, target, model, number):
            held = _grants.Held(target, model, number, self._now())
            self._held_by_key[(target, model)] = held
            return True

        monkeypatch.setattr(_grants.Grants, 'add', add)
    fleet = make(engines=1, slots=1)
    await trio.sleep(2)
    owner = fleet.owner_of('engine-0')
    user, other = [one for one in fleet.listed if one != owner]
    slow = f'target-ask:{user}>*'
    fleet.plan.add(slow, faults.Kind.SLOW, seconds=0.9)
    fleet.nursery.start_soon(fleet.request, user, 'a@1', 'canopy', 100)
    await trio.sleep(0.5)
    if overtaken_by == 'hand_over':
        fleet.kill(owner)
        fleet.listed.remove(owner)
        fleet.plan.add(slow, faults.Kind.SLOW, skip=1, seconds=0.9)
        fleet.assign([other])
        for node in fleet.nodes.values():
            node.owners = fleet.table
        fleet.changed_at = dict.fromkeys(fleet.changed_at, -100.0)
        await trio.sleep(0.1)
    await fleet.request(other, 'b@1', wait=3.0)
    await trio.sleep(3)
    with verdict(naive):
        fleet.check()


@both_ways
async def test_grants_from_before_a_pause_are_asked_for_again(
    make, autojump_clock, monkeypatch, naive
):
    """The VM list dropped the VM meanwhile, and the owner went on."""
    if naive:
        monkeypatch.setattr(_targets, 'PAUSE', 1e9)
    fleet = make(engines=1, slots=1)
    await trio.sleep(2)
    owner = fleet.owner_of('engine-0')
    user = other_node(fleet, 'engine-0')
    await fleet.request(user, 'a@1')
    sleeper = fleet.nodes[user]
    fleet.freeze(sleeper)
    fleet.listed.remove(user)
    await trio.sleep(1)
    assert await fleet.request(owner, 'b@1', wait=15.0) is None
    fleet.listed.append(user)
    fleet.wake(sleeper)
    await fleet.request(user, 'a@1')
    with verdict(naive):
        fleet.check()
