"""Measure fleet-wide limits in virtual time, against two baselines.

Prints Markdown tables, which docs/measurements/limits.md records.
"""

import dataclasses
import hashlib
import logging
import math
import pathlib
import sys

import fire
import structlog
import trio
import trio.testing

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent))

from mustardlb import errors  # noqa: E402
from mustardlb import steps  # noqa: E402
from mustardlbd import _share_context  # noqa: E402
from mustardlbd import _token_bucket  # noqa: E402
from tools import limits_fleet  # noqa: E402

NODE_COUNT = 7
SEEDS = (1, 2, 3, 4, 5)

# The contract. The burst is the number of tokens of BURST_SECONDS.
TOKENS_PER_SECOND = 10_000.0
BURST_SECONDS = 4.0

# Tokens that the account requests, relative to its rate.
LOAD_RATIO = 0.9

# The same when the time to reach the rate is measured.
OVERLOAD_RATIO = 1.3

# Tokens reserved for a call, and the part of them that it uses.
COST_RANGE_TOKENS = (200, 1_000)
USED_RATIO_RANGE = (0.3, 1.0)

# Duration of a call, and the longest time that it waits for tokens.
CALL_RANGE_SECONDS = (0.5, 3.0)
MAX_WAIT_SECONDS = 1.0

# Time between changes of the weights of the entry VMs.
WEIGHT_CHANGE_RANGE_SECONDS = (5.0, 15.0)

# A VM is killed at this interval and replaced after REPLACEMENT_SECONDS. The
# owner table reflects both after the detection time: a short one, and that of
# the real nodes.
KILL_INTERVAL_SECONDS = 10.0
REPLACEMENT_SECONDS = 3.0
DETECTION_TIMES_SECONDS = (3.0, 10.0)
ACCEPTANCE_SECONDS = 0.3

# The interval at which a waiting call of a baseline tries again.
POLL_INTERVAL_SECONDS = 0.02


class FixedQuotaHolder:
    """Baseline: each node has a fixed 1/N of the contract."""

    def __init__(self, node: limits_fleet.Node) -> None:
        self.bucket = _full_bucket(node.fleet.limit, 1 / NODE_COUNT)

    async def run(self) -> None:
        """Sleep until cancelled."""
        await trio.sleep_forever()

    async def reserve(
        self, account: str, tokens: int, wait: float
    ) -> 'BaselineReservation':
        """Reserve tokens from the node's own bucket."""
        return await _poll_bucket(self.bucket, tokens, wait)


class CentralBucketHolder:
    """Baseline: the owner node has the account's only bucket."""

    def __init__(self, node: limits_fleet.Node) -> None:
        self.node = node
        self.bucket: _token_bucket.TokenBucket | None = None

    async def run(self) -> None:
        """Sleep until cancelled."""
        await trio.sleep_forever()

    async def reserve(
        self, account: str, tokens: int, wait: float
    ) -> 'BaselineReservation':
        """Reserve tokens from the owner's bucket, over the network."""
        fleet = self.node.fleet
        owner = fleet.nodes_by_id.get(self.node.owners().slices[0].vm_id)
        with trio.move_on_after(_share_context.REPORT_TIMEOUT_SECONDS + wait):
            if owner is None:
                await trio.sleep_forever()
            assert owner is not None
            await trio.sleep(2 * fleet.network.usual_latency_seconds)
            remote = owner.holder
            assert isinstance(remote, CentralBucketHolder)
            if remote.bucket is None:
                remote.bucket = _full_bucket(fleet.limit, 1.0)
            return await _poll_bucket(remote.bucket, tokens, wait)
        raise _rejection(errors.Code.PEER_UNAVAILABLE)


class BaselineReservation:
    """Tokens reserved for one call at a baseline."""

    def __init__(
        self, bucket: _token_bucket.TokenBucket, hold: _token_bucket.Hold
    ) -> None:
        self.charged = hold.tokens
        self._bucket = bucket
        self._hold = hold

    def settle(self, tokens: int) -> None:
        """Refund unused tokens by the same rule as the shares."""
        now = trio.current_time()
        self.charged -= self._bucket.settle(now, self._hold, tokens)


def _full_bucket(
    limit: _token_bucket.Limit, fraction: float
) -> _token_bucket.TokenBucket:
    now = trio.current_time()
    bucket = _token_bucket.TokenBucket(now)
    bucket.resize(now, limit.rate * fraction, limit.burst * fraction)
    bucket.add(limit.burst)
    return bucket


async def _poll_bucket(
    bucket: _token_bucket.TokenBucket, tokens: int, wait: float
) -> BaselineReservation:
    deadline = trio.current_time() + wait
    while True:
        hold = bucket.try_acquire(trio.current_time(), tokens)
        if hold is not None:
            return BaselineReservation(bucket, hold)
        if trio.current_time() >= deadline:
            raise _rejection(errors.Code.RATE_LIMITED)
        await trio.sleep(POLL_INTERVAL_SECONDS)


def _rejection(code: errors.Code) -> errors.Error:
    return errors.Error(code, 'rejected', steps.Step.LIMIT, not_run=True)


HOLDERS_BY_MECHANISM = {
    'shares': None,
    'fixed 1/N': FixedQuotaHolder,
    'central bucket': CentralBucketHolder,
}


@dataclasses.dataclass(slots=True)
class CallCounts:
    """Outcomes of the calls of one run.

    Calls whose VM was killed while they waited are not counted.

    :ivar rejected_by_ideal: rejections by one ideal bucket for the fleet
    :ivar excess: most tokens granted above the contract in any window
    """

    calls: int = 0
    rejected: int = 0
    rejected_by_ideal: int = 0
    excess: float = -math.inf

    @property
    def wrongful_ratio(self) -> float:
        """Ratio of calls rejected that an ideal bucket would have granted."""
        return max(0, self.rejected - self.rejected_by_ideal) / max(
            1, self.calls
        )


class Workload:
    """Callers of a fleet, with changing entry VMs and killed VMs."""

    def __init__(self, fleet: limits_fleet.Fleet, mechanism: str) -> None:
        self.fleet = fleet
        self.counts = CallCounts()
        self.weights: dict[str, float] = {}
        self.load_ratio = LOAD_RATIO
        self.detection_seconds = DETECTION_TIMES_SECONDS[0]
        self._holder_class = HOLDERS_BY_MECHANISM[mechanism]
        self._ideal: _token_bucket.TokenBucket | None = None

    def add_node(self) -> limits_fleet.Node:
        """Start a node that follows the owner table in force."""
        node = self.fleet.add_node()
        node.known_version = len(self.fleet.table_versions) - 1
        if self._holder_class is not None:
            node.holder = self._holder_class(node)  # type: ignore[assignment]
        return node

    def store_table(self) -> None:
        """Store an owner table computed from the live VMs."""
        ranked = max(
            self.fleet.nodes_by_id,
            key=lambda vm_id: hashlib.sha256(vm_id.encode()).digest(),
        )
        self.fleet.store_owner(ranked, ACCEPTANCE_SECONDS, spread=0.5)

    async def start(self) -> None:
        """Start the fleet and wait until its burst is available."""
        self.fleet.record_limits()
        self._ideal = _full_bucket(self.fleet.limit, 1.0)
        for _ in range(NODE_COUNT):
            self.add_node()
        self.store_table()
        await trio.sleep(10)
        for node in self.fleet.live_nodes():
            await self.fleet.grant(node, 1, 1, 0.0, 0.0)
        # The buckets start empty and are filled at the rate.
        await trio.sleep(3 * self.fleet.limit.burst / self.fleet.limit.rate)

    async def call(self, duration: float) -> None:
        """Make calls at random intervals for `duration` seconds."""
        rng = self.fleet.rng
        mean = sum(COST_RANGE_TOKENS) / 2 * sum(USED_RATIO_RANGE) / 2
        interval = mean / (self.fleet.limit.rate * self.load_ratio)
        end = trio.current_time() + duration
        nursery = self.fleet.nursery
        assert nursery is not None
        while trio.current_time() < end:
            nursery.start_soon(self._call_once)
            await trio.sleep(rng.expovariate(1 / interval))

    async def _call_once(self) -> None:
        rng = self.fleet.rng
        nodes = self.fleet.live_nodes()
        weights = [self.weights.get(node.vm_id, 0.05) for node in nodes]
        node = rng.choices(nodes, weights)[0]
        tokens = rng.randint(*COST_RANGE_TOKENS)
        used = int(tokens * rng.uniform(*USED_RATIO_RANGE))
        hold = rng.uniform(*CALL_RANGE_SECONDS)
        nursery = self.fleet.nursery
        assert nursery is not None
        nursery.start_soon(self._call_ideal_bucket, tokens, used, hold)
        code = await self.fleet.grant(
            node, tokens, used, MAX_WAIT_SECONDS, hold
        )
        if node.alive or code is None:
            self.counts.calls += 1
            self.counts.rejected += code is not None

    async def _call_ideal_bucket(
        self, tokens: int, used: int, hold: float
    ) -> None:
        assert self._ideal is not None
        try:
            reservation = await _poll_bucket(
                self._ideal, tokens, MAX_WAIT_SECONDS
            )
        except errors.Error:
            self.counts.rejected_by_ideal += 1
            return
        await trio.sleep(hold)
        reservation.settle(used)

    async def change_weights(self) -> None:
        """Change the weights of the entry VMs until cancelled."""
        while True:
            ids = list(self.fleet.nodes_by_id)
            self.fleet.rng.shuffle(ids)
            self.weights = {
                vm_id: 1 / (rank + 1) ** 1.5 for rank, vm_id in enumerate(ids)
            }
            await trio.sleep(
                self.fleet.rng.uniform(*WEIGHT_CHANGE_RANGE_SECONDS)
            )

    async def kill_periodically(self) -> None:
        """Kill and replace VMs until cancelled."""
        nursery = self.fleet.nursery
        assert nursery is not None
        while True:
            await trio.sleep(KILL_INTERVAL_SECONDS)
            self.fleet.kill(self.fleet.rng.choice(self.fleet.live_nodes()))
            nursery.start_soon(self._replace_node)

    async def _replace_node(self) -> None:
        await trio.sleep(REPLACEMENT_SECONDS)
        self.add_node()
        await trio.sleep(self.detection_seconds - REPLACEMENT_SECONDS)
        self.store_table()


def _run(
    mechanism: str,
    seed: int,
    duration: float,
    killing: bool,
    detection_seconds: float,
    skewed: bool,
) -> CallCounts:
    async def main() -> CallCounts:
        limit = _token_bucket.Limit(
            TOKENS_PER_SECOND, TOKENS_PER_SECOND * BURST_SECONDS
        )
        fleet = limits_fleet.Fleet(seed, limit)
        async with trio.open_nursery() as nursery:
            fleet.nursery = nursery
            workload = Workload(fleet, mechanism)
            workload.detection_seconds = detection_seconds
            await workload.start()
            if skewed:
                nursery.start_soon(workload.change_weights)
            if killing:
                nursery.start_soon(workload.kill_periodically)
            await workload.call(duration)
            await trio.sleep(MAX_WAIT_SECONDS + 1)
            nursery.cancel_scope.cancel()
        workload.counts.excess = max(
            limits_fleet.max_excess(events, fleet.limit_history)
            for events in (fleet.events, fleet.gross_events)
        )
        return workload.counts

    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(main, clock=clock)


def _seconds_to_full_rate(seed: int) -> float:
    """Return the seconds until one VM has 95% of the rate.

    The rate is divided among all VMs at first. The account requests more
    than its rate, so that its burst is spent.
    """

    async def main() -> float:
        fleet = limits_fleet.Fleet(
            seed, _token_bucket.Limit(TOKENS_PER_SECOND, TOKENS_PER_SECOND * 4)
        )
        async with trio.open_nursery() as nursery:
            fleet.nursery = nursery
            workload = Workload(fleet, 'shares')
            await workload.start()
            workload.load_ratio = OVERLOAD_RATIO
            await workload.call(30.0)
            single_node = fleet.live_nodes()[seed % NODE_COUNT]
            workload.weights = {
                vm_id: float(vm_id == single_node.vm_id)
                for vm_id in fleet.nodes_by_id
            }
            shares = single_node.holder._shares_by_account
            start = trio.current_time()
            nursery.start_soon(workload.call, 20.0)
            while shares[limits_fleet.ACCOUNT].fraction < 950_000:
                await trio.sleep(0.01)
                if trio.current_time() - start > 15:
                    break
            elapsed = trio.current_time() - start
            nursery.cancel_scope.cancel()
        return elapsed

    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(main, clock=clock)


def _print_row(name: str, counts_by_seed: list[CallCounts]) -> None:
    calls = sum(counts.calls for counts in counts_by_seed)
    rejected = sum(counts.rejected for counts in counts_by_seed)
    rejected_by_ideal = sum(
        counts.rejected_by_ideal for counts in counts_by_seed
    )
    wrongful_ratio = max(0, rejected - rejected_by_ideal) / calls
    ratios_by_seed = ', '.join(
        f'{counts.wrongful_ratio:.2%}' for counts in counts_by_seed
    )
    excess = max(counts.excess for counts in counts_by_seed)
    excess_text = f'{excess:.0f}' if excess > 0.001 else '0'
    print(
        f'| {name} | {calls} | {rejected} | {rejected_by_ideal} | '
        f'{wrongful_ratio:.3%} | {ratios_by_seed} | {excess_text} |'
    )


def _print_table(
    title: str,
    duration: float,
    killing: bool,
    detection_seconds: float,
    skewed: bool,
) -> None:
    print(f'\n{title}, {duration:.0f} s a seed\n')
    print(
        '| mechanism | calls | refused | refused by a perfect bucket '
        '| wrongful | each seed | over-grant, tokens |'
    )
    print('| --- | --- | --- | --- | --- | --- | --- |')
    for mechanism in HOLDERS_BY_MECHANISM:
        counts_by_seed = [
            _run(mechanism, seed, duration, killing, detection_seconds, skewed)
            for seed in SEEDS
        ]
        _print_row(mechanism, counts_by_seed)


def main(duration: float = 120.0) -> None:
    """Print the tables."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    print(f'seeds {SEEDS}')
    title = 'Skewed, shifting entry VMs'
    _print_table(title, duration, False, DETECTION_TIMES_SECONDS[0], True)
    for detection_seconds in DETECTION_TIMES_SECONDS:
        for skewed in (False, True):
            entry = 'skewed, shifting' if skewed else 'even'
            title = (
                f'A VM killed each 10 s, shown by the table after '
                f'{detection_seconds:g} s, {entry} entry VMs'
            )
            _print_table(title, duration, True, detection_seconds, skewed)
    times = ', '.join(
        f'{_seconds_to_full_rate(seed):.2f}' for seed in range(1, 6)
    )
    print(f'\nseconds until one VM has 95% of the rate, seeds 1-5: {times}')


if __name__ == '__main__':
    fire.Fire(main)
