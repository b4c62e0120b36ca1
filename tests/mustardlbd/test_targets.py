"""Tests of grants, loads, evictions and takeover against engine logs.

Most tests run their schedule twice. The node's code must keep the invariants;
an implementation with one check removed must violate them, which shows that
the schedule can detect the fault.
"""

import contextlib
import random

import engine_fleet
import pytest
import trio

from mustardlb_standins import faults
from mustardlbd import _engine_commands
from mustardlbd import _grants
from mustardlbd import _permits
from mustardlbd import _placement
from mustardlbd import _target_context
from mustardlbd import _target_owner
from mustardlbd import _targets

CORRECT = pytest.param(False, id='correct')
FAULTY = pytest.param(True, id='faulty')
correct_and_faulty = pytest.mark.parametrize('is_faulty', [CORRECT, FAULTY])


@pytest.fixture
async def make_fleet(nursery):
    def build(**settings):
        return engine_fleet.EngineFleet(nursery, **settings)

    yield build
    nursery.cancel_scope.cancel()


def expect_violation(is_faulty):
    """Expect a failed check if the implementation is faulty."""
    if is_faulty:
        return pytest.raises(AssertionError)
    return contextlib.nullcontext()


async def send_requests(
    fleet, seconds, models, seed=1, tokens=5, rate=10, skew=0.8
):
    """Send random requests from every node for a time."""
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
    """Return a node that does not own the target."""
    return next(
        vm_id for vm_id in fleet.vm_ids if vm_id != fleet.owner_of(target)
    )


@correct_and_faulty
async def test_nothing_in_use_is_evicted(
    make_fleet, autojump_clock, monkeypatch, is_faulty
):
    if is_faulty:

        async def close_grants(self, model):
            return True

        monkeypatch.setattr(
            _target_owner.TargetOwner, '_close_grants', close_grants
        )
    fleet = make_fleet()
    await trio.sleep(2)
    await send_requests(fleet, 15, models=12, tokens=30)
    assert len(fleet.log_entries('evicted')) > 20
    with expect_violation(is_faulty):
        fleet.check_invariants()


@correct_and_faulty
@pytest.mark.parametrize('fault', ['paused', 'cut'])
async def test_grants_of_an_unreachable_node_do_not_expire(
    make_fleet, autojump_clock, monkeypatch, is_faulty, fault
):
    """An unreachable node may still have streams and a current configuration.

    Its grants must therefore not expire while it is on the VM list.
    """
    if is_faulty:
        original = _target_owner.TargetOwner._close_grant_at

        async def close_grant_at(self, vm_id, model, number):
            with trio.move_on_after(5.0):
                await original(self, vm_id, model, number)
            self.residency.remove_holder(model, vm_id, number)

        monkeypatch.setattr(
            _target_owner.TargetOwner, '_close_grant_at', close_grant_at
        )
        monkeypatch.setattr(_target_owner, 'CLOSE_TIMEOUT_SECONDS', 10.0)
    fleet = make_fleet(engines=1)
    await trio.sleep(2)
    owner = fleet.owner_of('engine-0')
    user = other_node(fleet, 'engine-0')
    fleet.nursery.start_soon(
        fleet.request, user, 'long@1', 'canopy', 2000, 20.0
    )
    fleet.nursery.start_soon(fleet.request, owner, 'short@1')
    await trio.sleep(3)
    if fault == 'paused':
        fleet.nodes[user].gate.pause()
    else:
        fleet.partitions |= {(user, owner), (owner, user)}
    for number in range(4):
        await fleet.request(owner, f'm{number}@1', wait=12.0)
    with expect_violation(is_faulty):
        fleet.check_invariants()
    if is_faulty:
        return
    fleet.nodes[user].gate.resume()
    fleet.partitions.clear()
    # The other slot kept serving requests.
    assert len(fleet.served) >= 5


@correct_and_faulty
@pytest.mark.parametrize('checks_fencing', [True, False])
async def test_late_eviction_does_not_evict_a_reloaded_adapter(
    make_fleet, autojump_clock, monkeypatch, is_faulty, checks_fencing
):
    if is_faulty:
        monkeypatch.setattr(_engine_commands, 'LATE_COMMAND_SECONDS', 0.0)
        monkeypatch.setattr(
            _engine_commands.EngineCommands,
            '_next_fence',
            lambda self, epoch: epoch << 32,
        )
    fleet = make_fleet(engines=1, checks_fencing=checks_fencing)
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
    with expect_violation(is_faulty):
        fleet.check_invariants()


@pytest.mark.parametrize('case', ['checks', 'ignores', 'faulty'])
async def test_paused_owner_resumes_with_a_command_in_flight(
    make_fleet, autojump_clock, case
):
    """Without fencing, an old owner's delayed command reaches the engine.

    The new owner starts after the propagation time, which does not prevent
    this: the old owner checked its authority before the pause.
    """
    is_faulty = case == 'faulty'
    fleet = make_fleet(engines=1, checks_fencing=case != 'ignores')
    engine = fleet.engines['engine-0']
    await trio.sleep(2)
    old = fleet.owner_of('engine-0')
    new = other_node(fleet, 'engine-0')
    await fleet.request(new, 'a@1')
    await fleet.request(new, 'b@1')
    # The command passes every check of the old owner before the pause.
    fleet.pause_before.append('evict')
    await fleet.request(new, 'c@1', wait=2.0)
    assert not fleet.nodes[old].gate.is_open
    fleet.assign([vm_id for vm_id in fleet.vm_ids if vm_id != old])
    if is_faulty:
        engine.settings = engine_fleet.without_fencing(engine.settings)
    await trio.sleep(6)
    for model in ('a@1', 'b@1'):
        fleet.nursery.start_soon(
            fleet.request, new, model, 'canopy', 400, 30.0
        )
    await trio.sleep(3)
    fleet.nodes[old].gate.resume()
    await trio.sleep(5)
    with expect_violation(is_faulty):
        fleet.check_invariants()
    if not is_faulty:
        await trio.sleep(70)
        assert await fleet.request(new, 'd@1') is None


@correct_and_faulty
async def test_new_owner_collects_existing_grants(
    make_fleet, autojump_clock, monkeypatch, is_faulty
):
    if is_faulty:

        async def collect_grants(self):
            self._is_handed_over = True

        monkeypatch.setattr(
            _target_owner.TargetOwner, '_collect_grants', collect_grants
        )
        monkeypatch.setattr(
            _target_owner.TargetOwner, 'record_use', lambda *arguments: None
        )
    fleet = make_fleet(engines=1, nodes=4)
    await trio.sleep(2)
    old = fleet.owner_of('engine-0')
    user = other_node(fleet, 'engine-0')
    fleet.nursery.start_soon(
        fleet.request, user, 'long@1', 'canopy', 1500, 20.0
    )
    await trio.sleep(1)
    fleet.kill(old)
    fleet.vm_ids.remove(old)
    fleet.assign(fleet.vm_ids)
    await trio.sleep(6)
    for number in range(5):
        assert await fleet.request(user, f'm{number}@1') is None
    with expect_violation(is_faulty):
        fleet.check_invariants()


@correct_and_faulty
async def test_at_most_eight_loads_are_in_transit(
    make_fleet, autojump_clock, monkeypatch, is_faulty
):
    if is_faulty:

        async def acquire(fleet, target, account, timeout):
            return _permits.Permit(fleet, target, fleet.now())

        monkeypatch.setattr(_permits, 'acquire', acquire)
    fleet = make_fleet(engines=14, nodes=5, slots=3)
    await trio.sleep(2)
    fleet.plan.add('load-permit*', faults.Kind.RESPONSE_LOST, times=5, skip=20)
    await send_requests(fleet, 4, models=10_000, rate=60, skew=0.1)
    coordinator = fleet.table.owner_of(_target_context.PERMITS_KEY).vm_id
    fleet.kill(coordinator)
    fleet.vm_ids.remove(coordinator)
    fleet.assign(fleet.vm_ids)
    await send_requests(fleet, 12, models=10_000, rate=60, skew=0.1)
    assert fleet.store.loads > 200
    with expect_violation(is_faulty):
        fleet.check_invariants()


@correct_and_faulty
async def test_restarted_engine_never_serves_another_model(
    make_fleet, autojump_clock, monkeypatch, is_faulty
):
    if is_faulty:
        monkeypatch.setattr(
            _placement.Placer, '_check_served', lambda *arguments: None
        )
    fleet = make_fleet(falls_back=True)
    await trio.sleep(2)
    for seed in range(4):
        await send_requests(fleet, 3, models=4, seed=seed, rate=20)
        for engine in fleet.engines.values():
            engine.restart()
    await send_requests(fleet, 5, models=4, seed=9)
    fleet.failures.clear()
    await send_requests(fleet, 5, models=4, seed=10)
    assert not fleet.failures
    with expect_violation(is_faulty):
        fleet.check_invariants(max_missing=10_000)


async def test_failed_load_is_retried_elsewhere_with_backoff(
    make_fleet, autojump_clock
):
    fleet = make_fleet(engines=2)
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


async def test_waiters_of_one_adapter_share_one_load(
    make_fleet, autojump_clock
):
    fleet = make_fleet(nodes=5, engines=4)
    await trio.sleep(2)
    async with trio.open_nursery() as nursery:
        for number in range(50):
            vm_id = fleet.vm_ids[number % 5]
            nursery.start_soon(fleet.request, vm_id, 'a@1')
    assert len(fleet.served) == 50
    assert fleet.store.loads == 1


@correct_and_faulty
async def test_loaded_adapter_is_kept_for_its_waiters(
    make_fleet, autojump_clock, monkeypatch, is_faulty
):
    """The next load must not evict it before their requests start."""
    if is_faulty:
        monkeypatch.setattr(_target_owner, 'EVICTION_GRACE_SECONDS', 0.0)
    fleet = make_fleet(engines=2, slots=4)
    await trio.sleep(2)
    async with trio.open_nursery() as nursery:
        for number in range(24):
            vm_id = fleet.vm_ids[number % 3]
            nursery.start_soon(
                fleet.request, vm_id, f'm{number}@1', 'feed', 5, 30.0
            )
    with expect_violation(is_faulty):
        assert not fleet.failures
        assert fleet.store.loads <= 30


@correct_and_faulty
async def test_reload_waits_for_a_running_eviction(
    make_fleet, autojump_clock, monkeypatch, is_faulty
):
    """Two concurrent loaders: one evicts the model that the other loads."""
    if is_faulty:

        async def poll_until(condition, interval):
            await trio.lowlevel.checkpoint()

        monkeypatch.setattr(
            _target_owner._target_context, 'poll_until', poll_until
        )
    fleet = make_fleet(engines=1, slots=1)
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
    with expect_violation(is_faulty):
        fleet.check_invariants()


async def test_cold_adapter_flood_starves_no_account(
    make_fleet, autojump_clock
):
    fleet = make_fleet(engines=1, slots=4)
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


@correct_and_faulty
@pytest.mark.parametrize('overtaken_by', ['close', 'hand_over'])
async def test_late_grant_is_rejected(
    make_fleet, autojump_clock, monkeypatch, is_faulty, overtaken_by
):
    """The grant is revoked while the reply with it is still in transit."""
    if is_faulty:

        def add(self, target, model, number):
            held = _grants.HeldGrant(target, model, number, self._now())
            self._held_by_key[(target, model)] = held
            return True

        monkeypatch.setattr(_grants.Grants, 'add', add)
    fleet = make_fleet(engines=1, slots=1)
    await trio.sleep(2)
    owner = fleet.owner_of('engine-0')
    user, other = [one for one in fleet.vm_ids if one != owner]
    slow = f'target-ask:{user}>*'
    fleet.plan.add(slow, faults.Kind.SLOW, seconds=0.9)
    fleet.nursery.start_soon(fleet.request, user, 'a@1', 'canopy', 100)
    await trio.sleep(0.5)
    if overtaken_by == 'hand_over':
        fleet.kill(owner)
        fleet.vm_ids.remove(owner)
        fleet.plan.add(slow, faults.Kind.SLOW, skip=1, seconds=0.9)
        fleet.assign([other])
        for node in fleet.nodes.values():
            node.owners = fleet.table
        fleet.moved_at = dict.fromkeys(fleet.moved_at, -100.0)
        await trio.sleep(0.1)
    await fleet.request(other, 'b@1', wait=3.0)
    await trio.sleep(3)
    with expect_violation(is_faulty):
        fleet.check_invariants()


@correct_and_faulty
async def test_grants_are_requested_again_after_a_pause(
    make_fleet, autojump_clock, monkeypatch, is_faulty
):
    """The owner dropped the grants when the VM left the VM list."""
    if is_faulty:
        monkeypatch.setattr(_targets, 'MAX_TICK_GAP_SECONDS', 1e9)
    fleet = make_fleet(engines=1, slots=1)
    await trio.sleep(2)
    owner = fleet.owner_of('engine-0')
    user = other_node(fleet, 'engine-0')
    await fleet.request(user, 'a@1')
    paused = fleet.nodes[user]
    fleet.suspend(paused)
    fleet.vm_ids.remove(user)
    await trio.sleep(1)
    assert await fleet.request(owner, 'b@1', wait=15.0) is None
    fleet.vm_ids.append(user)
    fleet.resume(paused)
    await fleet.request(user, 'a@1')
    with expect_violation(is_faulty):
        fleet.check_invariants()
