"""Load stalls of placement against two baselines, in virtual time.

Nine engines, 3,000 adapters by Zipf's law, five accounts of which two are
large, seven nodes. The phases: steady, popularity shifted, one engine
restarted, one account at five times its rate. Every policy gets the same
requests, slots and store.
"""

from collections import abc
import contextlib
import dataclasses
import functools
import json
import logging
import pathlib
import random
import statistics
import sys
import time

import structlog
import trio
import trio.testing
import uhashring

ROOT = pathlib.Path(__file__).parent.parent
sys.path.insert(0, str(ROOT / 'tests' / 'mustardlbd'))

import engine_fleet  # noqa: E402

from mustardlb import engine  # noqa: E402
from mustardlb import errors  # noqa: E402
from mustardlb import weight_store  # noqa: E402
from mustardlb_standins import engine as engine_standin  # noqa: E402
from mustardlb_standins import generation  # noqa: E402

ENGINES = 9
NODES = 7
ADAPTERS = 3000
SLOTS = 8
RATE = 40.0  # requests a second
PHASE = 20.0  # seconds
WARM_UP = 30.0  # seconds
TOKENS = 50
WAIT = 10.0  # seconds

# Shares of the accounts in the requests.
ACCOUNTS = {'a': 0.35, 'b': 0.35, 'c': 0.1, 'd': 0.1, 'e': 0.1}

# Number of the baselines' orders, above those of nodes.
FENCE = 1 << 60

# Words of a prompt that all requests for one adapter share.
SHEET = 'sheet ' * 400

# A request that waited longer for its adapter than this stalled, seconds.
STALL = 0.02

PHASES = ('steady', 'shifted', 'restarted', 'flooded')


@dataclasses.dataclass(slots=True)
class Sample:
    """What one request saw; `waited` until it began, `took` in all."""

    account: str
    waited: float
    took: float
    refused: bool


class Zipf:
    """Picks adapters by Zipf's law, in an order that can be shifted."""

    def __init__(self, rng: random.Random, exponent: float) -> None:
        self._rng = rng
        self._names = [f'm{number}@1' for number in range(ADAPTERS)]
        weights = [1 / rank**exponent for rank in range(1, ADAPTERS + 1)]
        self._cumulative = []
        total = 0.0
        for weight in weights:
            total += weight
            self._cumulative.append(total)

    def pick(self) -> str:
        """Pick an adapter."""
        return self._rng.choices(self._names, cum_weights=self._cumulative)[0]

    def shift(self) -> None:
        """Make other adapters popular."""
        self._rng.shuffle(self._names)


Place = abc.Callable[
    [str, str, str], contextlib.AbstractAsyncContextManager[str]
]


class Baseline:
    """One router that sees everything at once, and LRU on each engine.

    It keeps to the limit of the store too.
    """

    def __init__(
        self,
        engines: dict[str, engine_standin.Engine],
        choose: abc.Callable[[str], str],
    ) -> None:
        self._engines = engines
        self._choose = choose
        self._uses: dict[tuple[str, str], int] = {}
        self._used_at: dict[tuple[str, str], float] = {}
        self._loading: dict[tuple[str, str], trio.Event] = {}
        self._freed = trio.lowlevel.ParkingLot()
        self._transit = trio.CapacityLimiter(weight_store.MAX_FULL_SPEED_LOADS)

    @contextlib.asynccontextmanager
    async def place(
        self, vm_id: str, model: str, account: str
    ) -> abc.AsyncIterator[str]:
        """Hold an engine that has the model."""
        name = self._choose(model)
        key = (name, model)
        self._uses[key] = self._uses.get(key, 0) + 1
        try:
            with trio.fail_after(WAIT):
                await self._load(key)
            yield name
        finally:
            self._uses[key] -= 1
            self._used_at[key] = trio.current_time()
            self._freed.unpark_all()

    async def _load(self, key: tuple[str, str]) -> None:
        name, model = key
        one = self._engines[name]
        while model not in one.resident:
            if key in self._loading:
                await self._loading[key].wait()
                continue
            self._loading[key] = trio.Event()
            try:
                await self._make_room(name, one)
                async with self._transit:
                    with contextlib.suppress(engine.EngineError):
                        await one.load(model, FENCE)
            finally:
                self._loading.pop(key).set()

    async def _make_room(self, name: str, one: engine_standin.Engine) -> None:
        while len(one.resident | one.loading) >= one.settings.slots:
            idle = [
                model
                for model in one.resident
                if not self._uses.get((name, model))
            ]
            if idle:
                oldest = min(
                    idle,
                    key=lambda model: self._used_at.get((name, model), 0.0),
                )
                await one.evict(oldest, FENCE)
            else:
                with trio.move_on_after(0.5):
                    await self._freed.park()


def least_loaded(fleet: engine_fleet.EngineFleet) -> Place:
    """Send to the engine with the fewest requests."""

    def choose(model: str) -> str:
        return min(
            fleet.engines,
            key=lambda name: (
                fleet.engines[name].scheduler.running_count()
                + fleet.engines[name].scheduler.waiting_count()
            ),
        )

    return Baseline(fleet.engines, choose).place


def consistent_hashing(fleet: engine_fleet.EngineFleet) -> Place:
    """Send to the engine on a hash ring."""
    ring = uhashring.HashRing(list(fleet.engines))
    return Baseline(fleet.engines, ring.get_node).place


def mustardlb(fleet: engine_fleet.EngineFleet) -> Place:
    """Place by the nodes' own code."""

    @contextlib.asynccontextmanager
    async def place(
        vm_id: str, model: str, account: str
    ) -> abc.AsyncIterator[str]:
        targets = fleet.nodes[vm_id].targets
        async with targets.place(model, account, WAIT) as placement:
            yield placement.target_name

    return place


async def ask(
    fleet: engine_fleet.EngineFleet,
    place: Place,
    request: generation.Request,
    vm_id: str,
    account: str,
    samples: list[Sample],
) -> None:
    """Run one request and note what it saw."""
    started = trio.current_time()
    try:
        async with place(vm_id, request.model, account) as name:
            waited = trio.current_time() - started
            stream = fleet.engines[name].start(request)
            await stream.full_text()
        took = trio.current_time() - started
        samples.append(Sample(account, waited, took, False))
    except (
        errors.Error,
        trio.TooSlowError,
        generation.StreamLost,
        engine_standin.NotLoaded,
        engine_standin.QueueFull,
    ):
        took = trio.current_time() - started
        samples.append(Sample(account, took, took, True))


async def run_policy(
    policy: abc.Callable[[engine_fleet.EngineFleet], Place],
    exponent: float,
    seed: int,
) -> dict[str, dict[str, float]]:
    """Run every phase; figures of each."""
    rng = random.Random(seed)
    zipf = Zipf(rng, exponent)
    results = {}
    async with trio.open_nursery() as nursery:
        fleet = engine_fleet.EngineFleet(
            nursery, nodes=NODES, engines=ENGINES, slots=SLOTS, cache_size=16
        )
        place = policy(fleet)
        await trio.sleep(3)
        await drive(fleet, place, zipf, rng, WARM_UP, flooded=False)
        for phase in PHASES:
            if phase == 'shifted':
                zipf.shift()
            if phase == 'restarted':
                fleet.engines['engine-0'].restart()
            before = snapshot(fleet)
            samples = await drive(
                fleet, place, zipf, rng, PHASE, phase == 'flooded'
            )
            results[phase] = figures(fleet, samples, before)
        fleet.check(missing=10_000)
        nursery.cancel_scope.cancel()
    return results


async def drive(
    fleet: engine_fleet.EngineFleet,
    place: Place,
    zipf: Zipf,
    rng: random.Random,
    seconds: float,
    flooded: bool,
) -> list[Sample]:
    """Send requests for a time and wait for the last."""
    samples: list[Sample] = []
    shares = dict(ACCOUNTS)
    rate = RATE
    if flooded:
        rate += 4 * shares['c'] * RATE
        shares['c'] *= 5
    end = trio.current_time() + seconds
    async with trio.open_nursery() as nursery:
        number = 0
        while trio.current_time() < end:
            number += 1
            account = rng.choices(list(shares), list(shares.values()))[0]
            model = zipf.pick()
            request = generation.Request(
                f'{end}-{number}', model, SHEET, rng.randint(5, 2 * TOKENS)
            )
            vm_id = fleet.listed[number % NODES]
            nursery.start_soon(
                ask, fleet, place, request, vm_id, account, samples
            )
            await trio.sleep(rng.expovariate(rate))
    return samples


def snapshot(fleet: engine_fleet.EngineFleet) -> tuple[int, int, int, int]:
    """Count what engines did so far."""
    engines = fleet.engines.values()
    return (
        fleet.store.loads,
        sum(one.scheduler.cache.hits for one in engines),
        sum(one.scheduler.cache.misses for one in engines),
        sum(len(one.scheduler.batch_sizes) for one in engines),
    )


def figures(
    fleet: engine_fleet.EngineFleet,
    samples: list[Sample],
    before: tuple[int, int, int, int],
) -> dict[str, float]:
    """Sum up a phase."""
    loads, hits, misses, _ = (
        now - was for now, was in zip(snapshot(fleet), before, strict=True)
    )
    stalls = [one.waited for one in samples if one.waited > STALL]
    p99s = {
        account: percentile(
            [one.took for one in samples if one.account == account], 0.99
        )
        for account in ACCOUNTS
    }
    sizes: list[int] = []
    for one in fleet.engines.values():
        sizes += one.scheduler.batch_sizes[-2000:]
    return {
        'requests': len(samples),
        'refused': sum(one.refused for one in samples),
        'stalls': len(stalls),
        'stall share': round(len(stalls) / len(samples), 3),
        'stall p50': round(percentile(stalls, 0.5), 3),
        'stall p99': round(percentile(stalls, 0.99), 3),
        'stalled s': round(sum(stalls), 1),
        'worst/median p99': round(
            max(p99s.values()) / statistics.median(p99s.values()), 2
        ),
        'loads': loads,
        'most in transit': fleet.store.most_in_transit,
        'cache hits': round(hits / max(hits + misses, 1), 3),
        'batch': round(statistics.mean(sizes), 2),
    }


def percentile(values: list[float], share: float) -> float:
    """Give a percentile, 0 of nothing."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(int(len(ordered) * share), len(ordered) - 1)]


POLICIES = {
    'mustardlb': mustardlb,
    'hashing': consistent_hashing,
    'least loaded': least_loaded,
}


def main() -> None:
    """Run `bench_targets.py [exponent] [seed] [policy ...]`."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    exponent = float(sys.argv[1]) if len(sys.argv) > 1 else 1.0
    seed = int(sys.argv[2]) if len(sys.argv) > 2 else 1
    for name in sys.argv[3:] or POLICIES:
        started = time.monotonic()
        results = trio.run(
            functools.partial(run_policy, POLICIES[name], exponent, seed),
            clock=trio.testing.MockClock(autojump_threshold=0),
        )
        print(f'{name} ({time.monotonic() - started:.0f} s to run)')
        for phase, row in results.items():
            print(f'  {phase:10}', json.dumps(row))


if __name__ == '__main__':
    main()
