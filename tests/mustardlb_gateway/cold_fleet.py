"""Nodes before one target that may be cold, in virtual time."""

import bisect
import random

import builders
import trio

from mustardlb_gateway import _cold_permits
from mustardlb_gateway import _cold_targets
from mustardlb_gateway import _evacuations
from mustardlb_gateway import _messages
from mustardlb_gateway import _mirror
from mustardlb_gateway import _targets
from mustardlb_gateway import domain
from mustardlb_gateway import ports

# Bounds of the platform on deployment C.
PER_SECOND = 7.2
OVER = 1.5
SLACK = 5
BOUND = PER_SECOND * OVER + SLACK

COLD_START_SECONDS = 10.0

# A new connection and a request take up to this time.
CONNECT_SECONDS = 0.25
TRANSIT_SECONDS = 0.1

# Nodes learn of changes in the store within this time.
SPREAD_SECONDS = 1.0


class TranslationStub:
    def read_target(self, name, spec):
        return spec


class FleetNode:
    """What one node knows of the target, and its permits."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        self.hidden = set()
        self.evacuations_mirror = _mirror.Mirror('evacuations')
        self.evacuations_mirror.replace_all([], 1)
        clock = trio.current_time
        evacuations = _evacuations.Evacuations(
            self.evacuations_mirror, clock, lambda: 5.0
        )
        self.mirror = _mirror.Mirror('servers')
        self.targets = _targets.TargetTable(
            self.mirror, TranslationStub(), clock, evacuations.is_evacuated
        )
        service = domain.Service(
            'llm',
            100,
            cold_start=COLD_START_SECONDS,
            cold_per_second=PER_SECOND,
        )
        self.cold = _cold_targets.ColdTargets(
            self.mirror,
            self.targets,
            lambda name: service,
            evacuations,
            self._tell,
            clock,
        )
        self.permits = _cold_permits.ColdPermits(
            name,
            self.cold,
            self.targets.is_evacuated,
            self._request,
            self._notify,
            lambda: fleet.nodes.keys() - self.hidden - {name},
            lambda: fleet.live(name),
            lambda per_second: per_second * OVER + SLACK,
            clock,
        )

    def set_target(self, target, revision):
        self.mirror.replace_all(
            [ports.StoredObject(target.target_id, revision, target)], revision
        )

    def set_evacuated(self, names, revision):
        self.evacuations_mirror.replace_all(
            [ports.StoredObject(name, revision, {}) for name in names],
            revision,
        )

    async def _request(self, vm, body, timeout):
        with trio.move_on_after(timeout):
            return await self.fleet.deliver(self.name, vm, body)
        return None

    def _notify(self, vm, body):
        self.fleet.notify(self.name, vm, body)

    def _tell(self, target, remaining):
        notice = _messages.ColdNotice('t1', target.incarnation, remaining)
        for vm in self.fleet.nodes.keys() - {self.name}:
            self._notify(vm, notice)


class Fleet:
    """Nodes that send calls to one target.

    :ivar are_cut: whether two nodes are cut off from each other
    :ivar live_of: live nodes as a node sees them, by its name, if not all
    :ivar paused_until: by name of the node
    :ivar arrivals: time of each request that reached the target
    """

    def __init__(self, count, seed=0):
        self.rng = random.Random(seed)
        self.nodes = {}
        self.are_cut = lambda one, other: False
        self.live_of = {}
        self.paused_until = {}
        self.arrivals = []
        self.asked = 0
        self.target = None
        self.revision = 1
        self.nursery = None
        for number in range(count):
            self.start(f'vm{number}')

    def start(self, name):
        self.nodes[name] = FleetNode(self, name)
        if self.target is not None:
            self.nodes[name].set_target(self.target, self.revision)

    def live(self, name):
        return frozenset(self.live_of.get(name, self.nodes)) - {name}

    def ranking(self):
        node = next(iter(self.nodes.values()))
        node.permits._refresh_known()
        return list(node.permits._owners.ranking('t1'))

    async def wait_for(self, name):
        """Wait while a node is paused."""
        while self.paused_until.get(name, 0) > trio.current_time():
            await trio.sleep_until(self.paused_until[name])

    async def deliver(self, sender, vm, body):
        self.asked += 1
        if vm not in self.nodes or self.are_cut(sender, vm):
            await trio.sleep_forever()
        await trio.sleep(self.rng.uniform(0.0005, 0.02))
        await self.wait_for(vm)
        if vm not in self.nodes:
            await trio.sleep_forever()
        wait = self.nodes[vm].permits.handle(sender, body)
        await trio.sleep(self.rng.uniform(0.0005, 0.02))
        return _messages.Permitted(wait)

    def notify(self, sender, vm, notice):
        if vm in self.nodes and not self.are_cut(sender, vm):
            self.nursery.start_soon(self._deliver_notice, sender, vm, notice)

    async def _deliver_notice(self, sender, vm, notice):
        await trio.sleep(self.rng.uniform(0.0, 0.1))
        await self.wait_for(vm)
        if vm in self.nodes:
            self.nodes[vm].permits.handle_notice(sender, notice)

    def put_target(self, spread=SPREAD_SECONDS, **changes):
        """Register the target; nodes learn of it one after the other."""
        self.revision += 1
        self.target = builders.make_target('t1', **changes)
        for node in self.nodes.values():
            self.nursery.start_soon(
                self._set_target, node, self.target, self.revision, spread
            )

    async def _set_target(self, node, target, revision, spread):
        await trio.sleep(self.rng.uniform(0.0, spread))
        await self.wait_for(node.name)
        node.set_target(target, revision)

    def put_evacuated(self, *names):
        self.revision += 1
        for node in self.nodes.values():
            self.nursery.start_soon(
                self._set_evacuated, node, names, self.revision
            )

    async def _set_evacuated(self, node, names, revision):
        await trio.sleep(self.rng.uniform(0.0, SPREAD_SECONDS))
        await self.wait_for(node.name)
        node.set_evacuated(names, revision)

    async def send(self, name):
        """Send a call as the dispatcher and the exchange do."""
        node = self.nodes[name]
        await self.wait_for(name)
        ready = node.targets.ready('llm')
        if not ready:
            return
        target, send_by = ready[0], None
        if node.cold.is_cold(target):
            send_by = await node.permits.acquire(target, 'r')
            if send_by is None:
                return
        await self.wait_for(name)
        await trio.sleep(self.rng.uniform(0.0, CONNECT_SECONDS))
        await self.wait_for(name)
        if not node.permits.may_send(target, send_by):
            return
        if not node.targets.takes_requests(target):
            return
        await trio.sleep(self.rng.uniform(0.0, TRANSIT_SECONDS))
        self.arrivals.append(trio.current_time())

    async def run(self, seconds, per_second, script=None):
        """Send calls at a rate, from all nodes at random."""
        end = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            nursery.start_soon(self.maintain)
            if script:
                nursery.start_soon(script)
            else:
                self.put_target(0.0, cold_remaining=seconds)
            while trio.current_time() < end:
                name = self.rng.choice(list(self.nodes))
                nursery.start_soon(self.send, name)
                await trio.sleep(self.rng.expovariate(per_second))
            nursery.cancel_scope.cancel()

    async def maintain(self):
        while True:
            for name, node in self.nodes.items():
                if self.paused_until.get(name, 0) <= trio.current_time():
                    node.cold.remove_gone()
                    node.permits.remove_gone()
            await trio.sleep(0.25)

    def most_in_a_second(self, since=0.0):
        """Return the most requests in one second, from a time on."""
        arrivals = sorted(at for at in self.arrivals if at >= since)
        return max(
            (
                bisect.bisect_left(arrivals, begin + 1.0) - number
                for number, begin in enumerate(arrivals)
            ),
            default=0,
        )
