"""Random schedules of faults on nodes, engines, messages and the store."""

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
ORDER_FAULTS = [*MESSAGE_FAULTS, faults.Kind.SLOW, faults.Kind.FAIL]
SERVICES = ['target-ask', 'target-close', 'target-hand-over', 'load-permit']
EVENTS = [
    'message', 'message', 'message', 'order', 'order', 'pause',
    'pause_in_order', 'cut', 'restart', 'replace', 'move', 'store',
]  # fmt: skip


class Schedule:
    """Applies events to a fleet while requests run."""

    def __init__(self, fleet, rng):
        self.fleet = fleet
        self.rng = rng
        self.restarts = 0
        self.started = len(fleet.listed)

    def some_node(self):
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

    async def order(self):
        engine = self.rng.choice(list(self.fleet.engines.values()))
        engine.plan.add(
            self.rng.choice(['load:*', 'evict:*']),
            self.rng.choice(ORDER_FAULTS),
            seconds=self.rng.choice([0.3, 2.0, 9.0, 15.0]),
        )

    async def pause(self):
        node = self.fleet.nodes[self.some_node()]
        node.gate.pause()
        self.fleet.nursery.start_soon(self.resume, node)

    async def pause_in_order(self):
        self.fleet.pauses.append(self.rng.choice(['evict', 'load']))
        await trio.sleep(1.0)
        for node in self.fleet.nodes.values():
            if not node.gate.is_open:
                self.fleet.nursery.start_soon(self.resume, node)

    async def resume(self, node):
        await trio.sleep(self.rng.choice([1.0, 6.0, 15.0]))
        node.gate.resume()

    async def cut(self):
        pair = (self.some_node(), self.some_node())
        self.fleet.cuts |= {pair, pair[::-1]}
        self.fleet.nursery.start_soon(self.mend, pair)

    async def mend(self, pair):
        await trio.sleep(self.rng.choice([2.0, 10.0]))
        self.fleet.cuts -= {pair, pair[::-1]}

    async def restart(self):
        self.restarts += 1
        self.rng.choice(list(self.fleet.engines.values())).restart()

    async def replace(self):
        """End a VM; the list and the table follow late."""
        gone = self.some_node()
        self.fleet.kill(gone)
        await trio.sleep(self.rng.choice([0.0, 2.0]))
        self.fleet.listed.remove(gone)
        new = f'vm-{self.started}'
        self.started += 1
        self.fleet.listed.append(new)
        self.fleet.start(new)
        self.fleet.assign(list(self.fleet.listed))

    async def move(self):
        """Take the slices of a VM that lives on."""
        moved = self.some_node()
        rest = [vm_id for vm_id in self.fleet.listed if vm_id != moved]
        self.fleet.assign(rest)

    async def store(self):
        self.fleet.store.plan.add(
            'fetch:*',
            self.rng.choice([faults.Kind.FAIL, faults.Kind.DELAY]),
            seconds=1.0,
            times=3,
        )


async def send(fleet, rng):
    """Send requests for ever, short and long, from every node."""
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
        fleet.check(missing=1000 if schedule.restarts else 0)
        served = len(fleet.served)
        nursery.cancel_scope.cancel()
    return served


async def recover(fleet):
    """End every fault; then every node must find a place for anything."""
    fleet.plan.reset()
    fleet.store.plan.reset()
    fleet.cuts.clear()
    fleet.pauses.clear()
    for engine in fleet.engines.values():
        engine.plan.reset()
    for node in fleet.nodes.values():
        node.gate.resume()
    # Past what an order without answer, or a back-off, may take.
    await trio.sleep(100)
    for vm_id in fleet.nodes:
        for model in MODELS[:4]:
            assert await fleet.request(vm_id, model) is None


def run(events, seed, checks_fencing):
    return trio.run(
        functools.partial(run_schedule, events, seed, checks_fencing),
        clock=trio.testing.MockClock(autojump_threshold=0),
    )


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
