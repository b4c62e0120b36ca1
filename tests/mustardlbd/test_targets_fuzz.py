"""Random fault schedules for nodes, engines, messages and the store."""

import functools
import random

import engine_fleet
import hypothesis
from hypothesis import strategies as st
import trio
import trio.testing

from mustardlb_standins import faults

MODELS = [f'm{number}@1' for number in range(9)]

MESSAGE_FAULTS = [
    faults.Kind.DROP,
    faults.Kind.DELAY,
    faults.Kind.RESPONSE_LOST,
    faults.Kind.LATE,
]
COMMAND_FAULTS = [*MESSAGE_FAULTS, faults.Kind.SLOW, faults.Kind.FAIL]
SERVICES = ['target-ask', 'target-close', 'target-hand-over', 'load-permit']
EVENTS = [
    'message', 'message', 'message', 'command', 'command', 'pause',
    'pause_in_command', 'cut', 'restart', 'replace', 'move', 'store',
]  # fmt: skip


class Schedule:
    """Applies random faults to a fleet while requests run."""

    def __init__(self, fleet, rng):
        self.fleet = fleet
        self.rng = rng
        self.restarts = 0
        self.started_count = len(fleet.vm_ids)

    def pick_vm_id(self):
        return self.rng.choice(sorted(self.fleet.nodes))

    async def apply(self, event):
        await getattr(self, event)()

    async def message(self):
        self.fleet.plan.add(
            f'{self.rng.choice(SERVICES)}:*',
            self.rng.choice(MESSAGE_FAULTS),
            seconds=self.rng.choice([0.3, 2.0, 8.0]),
            times=self.rng.choice([1, 3]),
        )

    async def command(self):
        engine = self.rng.choice(list(self.fleet.engines.values()))
        engine.plan.add(
            self.rng.choice(['load:*', 'evict:*']),
            self.rng.choice(COMMAND_FAULTS),
            seconds=self.rng.choice([0.3, 2.0, 9.0, 15.0]),
        )

    async def pause(self):
        node = self.fleet.nodes[self.pick_vm_id()]
        node.gate.pause()
        self.fleet.nursery.start_soon(self.resume, node)

    async def pause_in_command(self):
        self.fleet.pause_before.append(self.rng.choice(['evict', 'load']))
        await trio.sleep(1.0)
        for node in self.fleet.nodes.values():
            if not node.gate.is_open:
                self.fleet.nursery.start_soon(self.resume, node)

    async def resume(self, node):
        await trio.sleep(self.rng.choice([1.0, 6.0, 15.0]))
        node.gate.resume()

    async def cut(self):
        pair = (self.pick_vm_id(), self.pick_vm_id())
        self.fleet.partitions |= {pair, pair[::-1]}
        self.fleet.nursery.start_soon(self.heal, pair)

    async def heal(self, pair):
        await trio.sleep(self.rng.choice([2.0, 10.0]))
        self.fleet.partitions -= {pair, pair[::-1]}

    async def restart(self):
        self.restarts += 1
        self.rng.choice(list(self.fleet.engines.values())).restart()

    async def replace(self):
        """Replace a VM; the VM list and owner table change after a delay."""
        removed_vm_id = self.pick_vm_id()
        self.fleet.kill(removed_vm_id)
        await trio.sleep(self.rng.choice([0.0, 2.0]))
        self.fleet.vm_ids.remove(removed_vm_id)
        new = f'vm-{self.started_count}'
        self.started_count += 1
        self.fleet.vm_ids.append(new)
        self.fleet.start(new)
        self.fleet.assign(list(self.fleet.vm_ids))

    async def move(self):
        """Move the slices of a live VM to others."""
        moved_vm_id = self.pick_vm_id()
        rest = [vm_id for vm_id in self.fleet.vm_ids if vm_id != moved_vm_id]
        self.fleet.assign(rest)

    async def store(self):
        self.fleet.store.plan.add(
            'fetch:*',
            self.rng.choice([faults.Kind.FAIL, faults.Kind.DELAY]),
            seconds=1.0,
            times=3,
        )


async def send(fleet, rng):
    """Send short and long requests from every node until cancelled."""
    while True:
        vm_id = rng.choice(sorted(fleet.nodes))
        model = MODELS[min(int(rng.expovariate(0.4)), len(MODELS) - 1)]
        tokens = rng.choice([1, 5, 40, 400])
        account = rng.choice(['canopy', 'feed'])
        fleet.nursery.start_soon(
            fleet.request, vm_id, model, account, tokens, 5.0
        )
        await trio.sleep(rng.expovariate(6))


async def run_schedule(events, seed, checks_fencing):
    rng = random.Random(seed)
    async with trio.open_nursery() as nursery:
        fleet = engine_fleet.EngineFleet(
            nursery, nodes=4, engines=2, checks_fencing=checks_fencing
        )
        schedule = Schedule(fleet, rng)
        async with trio.open_nursery() as traffic:
            traffic.start_soon(send, fleet, rng)
            await trio.sleep(3)
            for event in events:
                await schedule.apply(event)
                await trio.sleep(rng.choice([0.2, 1.0, 4.0]))
            traffic.cancel_scope.cancel()
        await recover(fleet)
        fleet.check_invariants(max_missing=1000 if schedule.restarts else 0)
        served = len(fleet.served)
        nursery.cancel_scope.cancel()
    return served


async def recover(fleet):
    """End every fault; every node must then be able to place requests."""
    fleet.plan.reset()
    fleet.store.plan.reset()
    fleet.partitions.clear()
    fleet.pause_before.clear()
    for engine in fleet.engines.values():
        engine.plan.reset()
    for node in fleet.nodes.values():
        node.gate.resume()
    # Exceeds the quarantine of unanswered commands and every backoff.
    await trio.sleep(100)
    for vm_id in fleet.nodes:
        for model in MODELS[:4]:
            assert await fleet.request(vm_id, model) is None


def run(events, seed, checks_fencing):
    return trio.run(
        functools.partial(run_schedule, events, seed, checks_fencing),
        clock=trio.testing.MockClock(autojump_threshold=0),
    )


# The source of this test is the seed of its examples, so its text stays.
@hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=8
)
@hypothesis.given(
    events=st.lists(st.sampled_from(EVENTS), min_size=4, max_size=10),
    seed=st.integers(0, 1000),
    checks_fencing=st.booleans(),
)
def test_no_schedule_breaks_what_must_hold(events, seed, checks_fencing):
    assert run(events, seed, checks_fencing) > 10
