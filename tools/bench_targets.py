"""Compares load stalls of placement with two baselines in virtual time.

The workload has nine engines, seven nodes, five accounts of which two are
large, and 3,000 adapters with Zipf popularity. The phases are: steady load,
shifted popularity, an engine restart, and one account at five times its
rate. Every policy gets the same requests, slots and store.
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

ENGINE_COUNT = 9
NODE_COUNT = 7
ADAPTER_COUNT = 3000
SLOT_COUNT = 8
REQUESTS_PER_SECOND = 40.0
PHASE_SECONDS = 20.0
WARM_UP_SECONDS = 30.0
MEAN_TOKENS = 50
MAX_WAIT_SECONDS = 10.0

SHARE_BY_ACCOUNT = {'a': 0.35, 'b': 0.35, 'c': 0.1, 'd': 0.1, 'e': 0.1}

# Fencing token of the baselines' commands, above those of the nodes.
BASELINE_FENCE = 1 << 60

# Prompt of every request, so that requests for an adapter share a prefix.
SHARED_PROMPT = 'sheet ' * 400

# A request stalls if it waits longer than this for its adapter.
STALL_SECONDS = 0.02

PHASES = ('steady', 'shifted', 'restarted', 'flooded')


@dataclasses.dataclass(slots=True)
class Sample:
    """Times of one request in seconds.

    :ivar waited: until the request started
    :ivar total: until the request ended
    """

    account: str
    waited: float
    total: float
    rejected: bool


class Zipf:
    """Draws adapters with Zipf popularity in a changeable order."""

    def __init__(self, rng: random.Random, exponent: float) -> None:
        self._rng = rng
        self._names = [f'm{number}@1' for number in range(ADAPTER_COUNT)]
        weights = [1 / rank**exponent for rank in range(1, ADAPTER_COUNT + 1)]
        self._cumulative = []
        total = 0.0
        for weight in weights:
            total += weight
            self._cumulative.append(total)

    def pick(self) -> str:
        """Return a random adapter."""
        return self._rng.choices(self._names, cum_weights=self._cumulative)[0]

    def shift(self) -> None:
        """Change which adapters are popular."""
        self._rng.shuffle(self._names)


Place = abc.Callable[
    [str, str, str], contextlib.AbstractAsyncContextManager[str]
]


class Baseline:
    """A router with immediate global state and LRU eviction per engine.

    It also respects the limit of concurrent loads from the store.
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
        self._released = trio.lowlevel.ParkingLot()
        self._load_limiter = trio.CapacityLimiter(
            weight_store.MAX_FULL_SPEED_LOADS
        )

    @contextlib.asynccontextmanager
    async def place(
        self, vm_id: str, model: str, account: str
    ) -> abc.AsyncIterator[str]:
        """Reserve an engine and load the model on it."""
        name = self._choose(model)
        key = (name, model)
        self._uses[key] = self._uses.get(key, 0) + 1
        try:
            with trio.fail_after(MAX_WAIT_SECONDS):
                await self._load(key)
            yield name
        finally:
            self._uses[key] -= 1
            self._used_at[key] = trio.current_time()
            self._released.unpark_all()

    async def _load(self, key: tuple[str, str]) -> None:
        name, model = key
        simulator = self._engines[name]
        while model not in simulator.resident:
            if key in self._loading:
                await self._loading[key].wait()
                continue
            self._loading[key] = trio.Event()
            try:
                await self._free_slot(name, simulator)
                async with self._load_limiter:
                    with contextlib.suppress(engine.EngineError):
                        await simulator.load(model, BASELINE_FENCE)
            finally:
                self._loading.pop(key).set()

    async def _free_slot(
        self, name: str, simulator: engine_standin.Engine
    ) -> None:
        while (
            len(simulator.resident | simulator.loading)
            >= simulator.settings.slots
        ):
            idle = [
                model
                for model in simulator.resident
                if not self._uses.get((name, model))
            ]
            if idle:
                oldest = min(
                    idle,
                    key=lambda model: self._used_at.get((name, model), 0.0),
                )
                await simulator.evict(oldest, BASELINE_FENCE)
            else:
                with trio.move_on_after(0.5):
                    await self._released.park()


def least_loaded(fleet: engine_fleet.EngineFleet) -> Place:
    """Return a policy that picks the engine with the fewest requests."""

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
    """Return a policy that picks engines by consistent hashing."""
    ring = uhashring.HashRing(list(fleet.engines))
    return Baseline(fleet.engines, ring.get_node).place


def mustardlb(fleet: engine_fleet.EngineFleet) -> Place:
    """Return the policy under test: placement by the nodes."""

    @contextlib.asynccontextmanager
    async def place(
        vm_id: str, model: str, account: str
    ) -> abc.AsyncIterator[str]:
        targets = fleet.nodes[vm_id].targets
        async with targets.place(
            model, account, MAX_WAIT_SECONDS
        ) as placement:
            yield placement.target_name

    return place


async def send_request(
    fleet: engine_fleet.EngineFleet,
    place: Place,
    request: generation.Request,
    vm_id: str,
    account: str,
    samples: list[Sample],
) -> None:
    """Run one request and record a sample."""
    started = trio.current_time()
    try:
        async with place(vm_id, request.model, account) as name:
            waited = trio.current_time() - started
            stream = fleet.engines[name].start(request)
            await stream.full_text()
        total = trio.current_time() - started
        samples.append(Sample(account, waited, total, False))
    except (
        errors.Error,
        trio.TooSlowError,
        generation.StreamLost,
        engine_standin.NotLoaded,
        engine_standin.QueueFull,
    ):
        total = trio.current_time() - started
        samples.append(Sample(account, total, total, True))


async def run_policy(
    policy: abc.Callable[[engine_fleet.EngineFleet], Place],
    exponent: float,
    seed: int,
) -> dict[str, dict[str, float]]:
    """Run every phase and return the figures of each."""
    rng = random.Random(seed)
    zipf = Zipf(rng, exponent)
    results = {}
    async with trio.open_nursery() as nursery:
        fleet = engine_fleet.EngineFleet(
            nursery,
            nodes=NODE_COUNT,
            engines=ENGINE_COUNT,
            slots=SLOT_COUNT,
            cache_size=16,
        )
        place = policy(fleet)
        await trio.sleep(3)
        await send_requests(
            fleet, place, zipf, rng, WARM_UP_SECONDS, flooded=False
        )
        for phase in PHASES:
            if phase == 'shifted':
                zipf.shift()
            if phase == 'restarted':
                fleet.engines['engine-0'].restart()
            before = snapshot(fleet)
            samples = await send_requests(
                fleet, place, zipf, rng, PHASE_SECONDS, phase == 'flooded'
            )
            results[phase] = summarize(fleet, samples, before)
        fleet.check_invariants(max_missing=10_000)
        nursery.cancel_scope.cancel()
    return results


async def send_requests(
    fleet: engine_fleet.EngineFleet,
    place: Place,
    zipf: Zipf,
    rng: random.Random,
    seconds: float,
    flooded: bool,
) -> list[Sample]:
    """Send requests for a time; return their samples once all ended."""
    samples: list[Sample] = []
    shares = dict(SHARE_BY_ACCOUNT)
    rate = REQUESTS_PER_SECOND
    if flooded:
        rate += 4 * shares['c'] * REQUESTS_PER_SECOND
        shares['c'] *= 5
    end = trio.current_time() + seconds
    async with trio.open_nursery() as nursery:
        number = 0
        while trio.current_time() < end:
            number += 1
            account = rng.choices(list(shares), list(shares.values()))[0]
            model = zipf.pick()
            request = generation.Request(
                f'{end}-{number}',
                model,
                SHARED_PROMPT,
                rng.randint(5, 2 * MEAN_TOKENS),
            )
            vm_id = fleet.vm_ids[number % NODE_COUNT]
            nursery.start_soon(
                send_request, fleet, place, request, vm_id, account, samples
            )
            await trio.sleep(rng.expovariate(rate))
    return samples


def snapshot(fleet: engine_fleet.EngineFleet) -> tuple[int, int, int, int]:
    """Return the counters of loads, cache hits, misses and batches."""
    engines = fleet.engines.values()
    return (
        fleet.store.loads,
        sum(simulator.scheduler.cache.hits for simulator in engines),
        sum(simulator.scheduler.cache.misses for simulator in engines),
        sum(len(simulator.scheduler.batch_sizes) for simulator in engines),
    )


def summarize(
    fleet: engine_fleet.EngineFleet,
    samples: list[Sample],
    before: tuple[int, int, int, int],
) -> dict[str, float]:
    """Return the figures of one phase."""
    loads, hits, misses, _ = (
        now - was for now, was in zip(snapshot(fleet), before, strict=True)
    )
    stalls = [
        sample.waited for sample in samples if sample.waited > STALL_SECONDS
    ]
    p99s = {
        account: percentile(
            [sample.total for sample in samples if sample.account == account],
            0.99,
        )
        for account in SHARE_BY_ACCOUNT
    }
    sizes: list[int] = []
    for simulator in fleet.engines.values():
        sizes += simulator.scheduler.batch_sizes[-2000:]
    return {
        'requests': len(samples),
        'refused': sum(sample.rejected for sample in samples),
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
    """Return a percentile, 0 for no values."""
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
