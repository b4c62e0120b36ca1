"""Fault scenarios for a simulated fleet of shares, in virtual time."""

import scheduling
import trio
import trio.testing

from mustardlbd import _share_messages
from mustardlbd import _token_bucket
from tools import limits_fleet

LIMIT = _token_bucket.Limit(1000.0, 4000.0)

# Allows for the accumulated rounding of binary fractions.
ROUNDING_TOLERANCE_TOKENS = 0.001


class OverGrant(Exception):
    """More tokens were or could be granted than the contract allows."""


class Scenario:
    """A fleet whose nodes all have callers that exceed the contract.

    :ivar loaded: whether the callers make calls
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.loaded = False
        burst = int(fleet.limit.burst)
        self.call_sizes = [20, 100, 400, burst // 4, burst]

    def node(self, index):
        nodes = self.fleet.live_nodes()
        return nodes[index % len(nodes)] if nodes else None

    async def start(self, size):
        fleet = self.fleet
        fleet.record_limits()
        for _ in range(size):
            self.add_node()
        fleet.store_owner(self.node(0).vm_id, 0.2)
        await trio.sleep(7)

    def add_node(self, vm_id='', is_first_process=True):
        node = self.fleet.add_node(vm_id, is_first_process)
        node.known_version = max(0, len(self.fleet.table_versions) - 2)
        self.fleet.nursery.start_soon(self._call_until_killed, node)
        return node

    async def _call_until_killed(self, node):
        rng = self.fleet.rng
        while node.alive:
            await trio.sleep(rng.uniform(0.02, 0.3))
            if not self.loaded:
                continue
            tokens = rng.choice(self.call_sizes)
            used = rng.choice([tokens, tokens // 2, 0])
            self.fleet.nursery.start_soon(
                self.fleet.grant,
                node,
                tokens,
                used,
                rng.choice([0.0, 0.5, 2.0]),
                rng.choice([0.1, 2.0, 9.0]),
            )

    async def check_periodically(self):
        while True:
            self.check_total_fraction()
            await trio.sleep(0.05)

    def check_total_fraction(self):
        total = 0
        for node in self.fleet.live_nodes():
            stale = node.context.staleness() > 4.0
            share = node.holder._shares_by_account.get(limits_fleet.ACCOUNT)
            if stale or share is None or not node.running.is_set():
                continue
            share.refresh()
            total += share.fraction
        if total > _share_messages.FULL_SHARE_PPM:
            raise OverGrant(f'{total} parts per million in force')

    def check_granted_tokens(self):
        fleet = self.fleet
        for events in (fleet.events, fleet.gross_events):
            excess = limits_fleet.max_excess(events, fleet.limit_history)
            if excess > ROUNDING_TOLERANCE_TOKENS:
                raise OverGrant(f'{excess} tokens too many')

    # The steps of a schedule. `index` selects nodes, pairs and values.

    async def stop_load(self, index, seconds):
        self.loaded = False
        await trio.sleep(seconds * 4)

    async def apply_load(self, index, seconds):
        self.loaded = True
        await trio.sleep(seconds * 2)

    async def kill(self, index, seconds):
        if len(self.fleet.live_nodes()) > 1:
            self.fleet.kill(self.node(index))

    async def kill_owner(self, index, seconds):
        owner = self.fleet.table_versions[-1].owners.slices[0].vm_id
        node = self.fleet.nodes_by_id.get(owner)
        if node is not None and len(self.fleet.live_nodes()) > 1:
            self.fleet.kill(node)

    async def join(self, index, seconds):
        if len(self.fleet.live_nodes()) < 6:
            self.add_node()

    async def restart(self, index, seconds):
        node = self.node(index)
        self.fleet.kill(node)
        self.add_node(node.vm_id, is_first_process=False)

    async def pause(self, index, seconds):
        node = self.node(index)
        node.running = trio.Event()
        self.fleet._schedule(seconds * 4, node.running.set)

    async def block_pair(self, index, seconds):
        ids = [node.vm_id for node in self.fleet.live_nodes()]
        pair = (ids[index % len(ids)], ids[index // 7 % len(ids)])
        self.fleet.network.blocked_pairs.add(pair)
        if index % 2:
            self.fleet.network.blocked_pairs.add(pair[::-1])

    async def restore_network(self, index, seconds):
        self.fleet.network.blocked_pairs.clear()
        self.fleet.network.drop_probability = 0.0
        self.fleet.network.late_probability = 0.0
        for node in self.fleet.live_nodes():
            node.connected = True

    async def disconnect(self, index, seconds):
        self.node(index).connected = False

    async def degrade_network(self, index, seconds):
        network = self.fleet.network
        network.drop_probability = (0.0, 0.1, 0.4)[index % 3]
        network.late_probability = (0.0, 0.1, 0.4)[index // 3 % 3]
        network.duplicate_probability = (0.0, 0.2)[index // 9 % 2]

    async def change_owner(self, index, seconds):
        owner = self.node(index).vm_id
        never = index // 7 % 4 == 0
        self.fleet.store_owner(owner, 60.0 if never else seconds)

    async def store_same_owner(self, index, seconds):
        owner = self.fleet.table_versions[-1].owners.slices[0].vm_id
        self.fleet.store_owner(owner, seconds)

    async def change_contract(self, index, seconds):
        factor = (0.25, 0.5, 1.0, 2.0)[index % 4]
        limit = _token_bucket.Limit(LIMIT.rate * factor, LIMIT.burst * factor)
        self.fleet.change_contract(limit, seconds)


STEPS = (
    'stop_load',
    'apply_load',
    'apply_load',
    'kill',
    'kill_owner',
    'join',
    'restart',
    'pause',
    'block_pair',
    'restore_network',
    'disconnect',
    'degrade_network',
    'change_owner',
    'change_owner',
    'store_same_owner',
    'change_contract',
)


def run(seed, steps, size=4):
    """Run the steps of a schedule. Raises OverGrant."""

    async def script(scenario):
        for name, index, seconds in steps:
            await getattr(scenario, name)(index, seconds)
            await trio.sleep(0.05)
        await trio.sleep(1)

    run_script(script, seed, size)


def run_script(script, seed=0, size=4, limit=LIMIT):
    """Return the result of a script run on a fleet. Raises OverGrant."""

    async def main():
        fleet = limits_fleet.Fleet(seed, limit)
        async with trio.open_nursery() as nursery:
            fleet.nursery = nursery
            scenario = Scenario(fleet)
            await scenario.start(size)
            nursery.start_soon(scenario.check_periodically)
            result = await script(scenario)
            nursery.cancel_scope.cancel()
        scenario.check_granted_tokens()
        return result

    scheduling.seed(seed)
    clock = trio.testing.MockClock(autojump_threshold=0)
    try:
        return trio.run(main, clock=clock)
    except* OverGrant as group:
        raise OverGrant(str(group.exceptions[0])) from None
