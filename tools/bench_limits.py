"""Measure fleet-wide limits in virtual time, against two baselines.

Prints Markdown tables; docs/measurements/limits.md records them.
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
from mustardlbd import _bucket  # noqa: E402
from mustardlbd import _share_ports  # noqa: E402
from tools import limits_fleet  # noqa: E402

NODES = 7
SEEDS = (1, 2, 3, 4, 5)

# The contract: tokens a second, and seconds of it that make the burst.
RATE = 10_000.0
BURST_SECONDS = 4.0

# What the account asks for, as part of its rate.
LOAD = 0.9

# What it asks for when the time to reach its rate is measured.
OVERLOAD = 1.3

# Least and most tokens reserved for a call, and the part that it uses.
COST = (200, 1_000)
USED = (0.3, 1.0)

# How long a call lasts and how long it may wait for tokens, seconds.
CALL_TIME = (0.5, 3.0)
WAIT = 1.0

# Least and most time between new weights of the entry VMs, seconds.
SHIFT_INTERVAL = (5.0, 15.0)

# How often a VM is killed, until a new VM stands in its place, and until the
# table shows both, seconds; the last is tried short and as nodes do it.
KILL_INTERVAL = 10.0
REPLACEMENT = 3.0
DETECTIONS = (3.0, 10.0)
ACCEPTANCE = 0.3

POLL = 0.02  # seconds, of a waiting call at a baseline


class FixedHolder:
    """Baseline: each node has 1/N of the contract for itself."""

    def __init__(self, node: limits_fleet.Node) -> None:
        self.bucket = _full_bucket(node.fleet.limit, 1 / NODES)

    async def run(self) -> None:
        """Do nothing, for ever."""
        await trio.sleep_forever()

    async def reserve(
        self, account: str, tokens: int, wait: float
    ) -> 'BaselineReservation':
        """Take tokens from the node's own bucket."""
        return await _poll(self.bucket, tokens, wait)


class CentralHolder:
    """Baseline: one node, the owner, has the account's only bucket."""

    def __init__(self, node: limits_fleet.Node) -> None:
        self.node = node
        self.bucket: _bucket.Bucket | None = None

    async def run(self) -> None:
        """Do nothing, for ever."""
        await trio.sleep_forever()

    async def reserve(
        self, account: str, tokens: int, wait: float
    ) -> 'BaselineReservation':
        """Ask the owner for tokens, over the network."""
        fleet = self.node.fleet
        owner = fleet.nodes_by_id.get(self.node.owners().slices[0].vm_id)
        with trio.move_on_after(_share_ports.REPORT_TIMEOUT + wait):
            if owner is None:
                await trio.sleep_forever()
            assert owner is not None
            await trio.sleep(2 * limits_fleet.USUAL)
            home = owner.holder
            assert isinstance(home, CentralHolder)
            if home.bucket is None:
                home.bucket = _full_bucket(fleet.limit, 1.0)
            return await _poll(home.bucket, tokens, wait)
        raise _refusal(errors.Code.PEER_UNAVAILABLE)


class BaselineReservation:
    """Tokens of one call at a baseline."""

    def __init__(self, bucket: _bucket.Bucket, hold: _bucket.Hold) -> None:
        self.charged = hold.tokens
        self._bucket = bucket
        self._hold = hold

    def settle(self, tokens: int) -> None:
        """Give the rest back, by the same rule as the product."""
        now = trio.current_time()
        self.charged -= self._bucket.settle(now, self._hold, tokens)


def _full_bucket(limit: _bucket.Limit, part: float) -> _bucket.Bucket:
    now = trio.current_time()
    bucket = _bucket.Bucket(now)
    bucket.resize(now, limit.rate * part, limit.burst * part)
    bucket.add(limit.burst)
    return bucket


async def _poll(
    bucket: _bucket.Bucket, tokens: int, wait: float
) -> BaselineReservation:
    deadline = trio.current_time() + wait
    while True:
        hold = bucket.take(trio.current_time(), tokens)
        if hold is not None:
            return BaselineReservation(bucket, hold)
        if trio.current_time() >= deadline:
            raise _refusal(errors.Code.RATE_LIMITED)
        await trio.sleep(POLL)


def _refusal(code: errors.Code) -> errors.Error:
    return errors.Error(code, 'refused', steps.Step.LIMIT, not_run=True)


MECHANISMS = {
    'shares': None,
    'fixed 1/N': FixedHolder,
    'central bucket': CentralHolder,
}


@dataclasses.dataclass(slots=True)
class Tally:
    """What came of the calls of one run.

    :ivar ideal: refused by one perfect bucket for the whole fleet
    :ivar lost: calls whose VM died while they waited; not counted
    """

    calls: int = 0
    refused: int = 0
    ideal: int = 0
    excess: float = -math.inf

    @property
    def wrongful(self) -> float:
        """Part of the calls refused that a perfect bucket would grant."""
        return max(0, self.refused - self.ideal) / max(1, self.calls)


class Site:
    """Callers, shifting entry VMs and killed VMs around a fleet."""

    def __init__(self, fleet: limits_fleet.Fleet, mechanism: str) -> None:
        self.fleet = fleet
        self.tally = Tally()
        self.weights: dict[str, float] = {}
        self.load = LOAD
        self.detection = DETECTIONS[0]
        self._holder = MECHANISMS[mechanism]
        self._ideal: _bucket.Bucket | None = None

    def add_node(self) -> limits_fleet.Node:
        """Start a node that knows the table in force."""
        node = self.fleet.add_node()
        node.known = len(self.fleet.table) - 1
        if self._holder is not None:
            node.holder = self._holder(node)  # type: ignore[assignment]
        return node

    def elect(self) -> None:
        """Store a table made from the VMs there are."""
        ranked = max(
            self.fleet.nodes_by_id,
            key=lambda vm_id: hashlib.sha256(vm_id.encode()).digest(),
        )
        self.fleet.store_owner(ranked, ACCEPTANCE, spread=0.5)

    async def start(self) -> None:
        """Start the fleet and let its first table settle."""
        self.fleet.note_limits()
        self._ideal = _full_bucket(self.fleet.limit, 1.0)
        for _ in range(NODES):
            self.add_node()
        self.elect()
        await trio.sleep(10)
        for node in self.fleet.live():
            await self.fleet.grant(node, 1, 1, 0.0, 0.0)
        # The burst builds up at the rate, from nothing.
        await trio.sleep(3 * self.fleet.limit.burst / self.fleet.limit.rate)

    async def call(self, duration: float) -> None:
        """Make calls at random intervals for that many seconds."""
        chance = self.fleet.chance
        mean = sum(COST) / 2 * sum(USED) / 2
        interval = mean / (self.fleet.limit.rate * self.load)
        end = trio.current_time() + duration
        nursery = self.fleet.nursery
        assert nursery is not None
        while trio.current_time() < end:
            nursery.start_soon(self._call_once)
            await trio.sleep(chance.expovariate(1 / interval))

    async def _call_once(self) -> None:
        chance = self.fleet.chance
        nodes = self.fleet.live()
        weights = [self.weights.get(node.vm_id, 0.05) for node in nodes]
        node = chance.choices(nodes, weights)[0]
        tokens = chance.randint(*COST)
        used = int(tokens * chance.uniform(*USED))
        hold = chance.uniform(*CALL_TIME)
        nursery = self.fleet.nursery
        assert nursery is not None
        nursery.start_soon(self._call_ideal, tokens, used, hold)
        code = await self.fleet.grant(node, tokens, used, WAIT, hold)
        if node.alive or code is None:
            self.tally.calls += 1
            self.tally.refused += code is not None

    async def _call_ideal(self, tokens: int, used: int, hold: float) -> None:
        assert self._ideal is not None
        try:
            reservation = await _poll(self._ideal, tokens, WAIT)
        except errors.Error:
            self.tally.ideal += 1
            return
        await trio.sleep(hold)
        reservation.settle(used)

    async def shift(self) -> None:
        """Draw the weights of the entry VMs anew, for ever."""
        while True:
            ids = list(self.fleet.nodes_by_id)
            self.fleet.chance.shuffle(ids)
            self.weights = {
                vm_id: 1 / (rank + 1) ** 1.5 for rank, vm_id in enumerate(ids)
            }
            await trio.sleep(self.fleet.chance.uniform(*SHIFT_INTERVAL))

    async def kill_often(self) -> None:
        """Kill a VM each KILL_INTERVAL, and replace it, for ever."""
        nursery = self.fleet.nursery
        assert nursery is not None
        while True:
            await trio.sleep(KILL_INTERVAL)
            self.fleet.kill(self.fleet.chance.choice(self.fleet.live()))
            nursery.start_soon(self._replace)

    async def _replace(self) -> None:
        await trio.sleep(REPLACEMENT)
        self.add_node()
        await trio.sleep(self.detection - REPLACEMENT)
        self.elect()


def _run(
    mechanism: str,
    seed: int,
    duration: float,
    killing: bool,
    detection: float,
    skewed: bool,
) -> Tally:
    async def main() -> Tally:
        limit = _bucket.Limit(RATE, RATE * BURST_SECONDS)
        fleet = limits_fleet.Fleet(seed, limit)
        async with trio.open_nursery() as nursery:
            fleet.nursery = nursery
            site = Site(fleet, mechanism)
            site.detection = detection
            await site.start()
            if skewed:
                nursery.start_soon(site.shift)
            if killing:
                nursery.start_soon(site.kill_often)
            await site.call(duration)
            await trio.sleep(WAIT + 1)
            nursery.cancel_scope.cancel()
        site.tally.excess = max(
            limits_fleet.worst_excess(events, fleet.limits_seen)
            for events in (fleet.events, fleet.gross_events)
        )
        return site.tally

    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(main, clock=clock)


def _time_to_rate(seed: int) -> float:
    """Time until one VM has 95% of a rate that was spread before.

    The account asks for more than its rate, so that its burst is spent.
    """

    async def main() -> float:
        fleet = limits_fleet.Fleet(seed, _bucket.Limit(RATE, RATE * 4))
        async with trio.open_nursery() as nursery:
            fleet.nursery = nursery
            site = Site(fleet, 'shares')
            await site.start()
            site.load = OVERLOAD
            await site.call(30.0)
            only = fleet.live()[seed % NODES]
            site.weights = {
                vm_id: float(vm_id == only.vm_id)
                for vm_id in fleet.nodes_by_id
            }
            shares = only.holder._shares_by_account
            start = trio.current_time()
            nursery.start_soon(site.call, 20.0)
            while shares[limits_fleet.ACCOUNT].fraction < 950_000:
                await trio.sleep(0.01)
                if trio.current_time() - start > 15:
                    break
            elapsed = trio.current_time() - start
            nursery.cancel_scope.cancel()
        return elapsed

    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(main, clock=clock)


def _print_row(name: str, tallies: list[Tally]) -> None:
    calls = sum(tally.calls for tally in tallies)
    refused = sum(tally.refused for tally in tallies)
    ideal = sum(tally.ideal for tally in tallies)
    wrongful = max(0, refused - ideal) / calls
    each = ', '.join(f'{tally.wrongful:.2%}' for tally in tallies)
    excess = max(tally.excess for tally in tallies)
    granted = f'{excess:.0f}' if excess > 0.001 else '0'
    print(
        f'| {name} | {calls} | {refused} | {ideal} | {wrongful:.3%} | '
        f'{each} | {granted} |'
    )


def _print_table(
    title: str,
    duration: float,
    killing: bool,
    detection: float,
    skewed: bool,
) -> None:
    print(f'\n{title}, {duration:.0f} s a seed\n')
    print(
        '| mechanism | calls | refused | refused by a perfect bucket '
        '| wrongful | each seed | over-grant, tokens |'
    )
    print('| --- | --- | --- | --- | --- | --- | --- |')
    for mechanism in MECHANISMS:
        tallies = [
            _run(mechanism, seed, duration, killing, detection, skewed)
            for seed in SEEDS
        ]
        _print_row(mechanism, tallies)


def main(duration: float = 120.0) -> None:
    """Print the tables."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    print(f'seeds {SEEDS}')
    title = 'Skewed, shifting entry VMs'
    _print_table(title, duration, False, DETECTIONS[0], True)
    for detection in DETECTIONS:
        for skewed in (False, True):
            entry = 'skewed, shifting' if skewed else 'even'
            title = (
                f'A VM killed each 10 s, shown by the table after '
                f'{detection:g} s, {entry} entry VMs'
            )
            _print_table(title, duration, True, detection, skewed)
    times = ', '.join(f'{_time_to_rate(seed):.2f}' for seed in range(1, 6))
    print(f'\nseconds until one VM has 95% of the rate, seeds 1-5: {times}')


if __name__ == '__main__':
    fire.Fire(main)
