"""Windows of targets that have just started or recovered.

A target that has just started bears few requests at a time and more each
second; it does not say so. With more, it takes longer, and with many more it
crashes. Many nodes see its registration at the same moment.
"""

import random

import builders
import pytest
import trio

from mustardlb_gateway import _aggregate
from mustardlb_gateway import _centres
from mustardlb_gateway import _messages
from mustardlb_gateway import _mirror
from mustardlb_gateway import _owners
from mustardlb_gateway import _placement
from mustardlb_gateway import _reported_loads
from mustardlb_gateway import _target_limits
from mustardlb_gateway import _target_states
from mustardlb_gateway import _targets
from mustardlb_gateway import _warm_up
from mustardlb_gateway import domain
from mustardlb_gateway import ports

SLOTS = 16
USUAL_SECONDS = 0.3
TARGETS = 5
NEW = 't4'

# Six tenths of all slots are in use.
RATE = 0.6 * TARGETS * SLOTS / USUAL_SECONDS
UPDATE_SECONDS = 0.3
MAINTENANCE_SECONDS = 0.25
NOTIFY_SECONDS = 0.02

STARTS_AT = 3.0
RESTART_SECONDS = 3.0

# A request that takes longer than that is late.
LATE_SECONDS = 2 * USUAL_SECONDS

# Requests at a time, as a ratio of those that a target bears, with which it
# crashes.
CRASH_RATIO = 3


class WarmingTarget:
    """Bears a part of its slots at first, and all after `ramp` seconds.

    :ivar started_at: None while it is down
    :ivar seconds: response times, infinite for requests that failed
    """

    def __init__(self, ramp=0.0, started_at=0.0):
        self.ramp = ramp
        self.started_at = started_at
        self.running = 0
        self.crashes = 0
        self.generation = 0
        self.seconds = []

    def capacity(self):
        age = trio.current_time() - self.started_at
        part = min(1.0, age / self.ramp) if self.ramp else 1.0
        return SLOTS / 8 + part * SLOTS * 7 / 8

    async def serve(self):
        """Return whether a request succeeds."""
        if self.started_at is None or trio.current_time() < self.started_at:
            return False
        generation = self.generation
        self.running += 1
        if self.running > CRASH_RATIO * self.capacity():
            self.crashes += 1
            self.generation += 1
            self.running = 0
            self.started_at = None
            return False
        began = trio.current_time()
        await trio.sleep(
            USUAL_SECONDS * max(1.0, self.running / self.capacity())
        )
        if generation != self.generation:
            return False
        self.running -= 1
        self.seconds.append(trio.current_time() - began)
        return True


class TranslationStub:
    def read_target(self, name, spec):
        return spec


class Node:
    def __init__(self, number, fleet, warms_up):
        clock = trio.current_time
        self.name = f'vm{number}'
        self.mirror = _mirror.Mirror('servers')
        self.targets = _targets.TargetTable(
            self.mirror, TranslationStub(), clock
        )
        self.reports = _reported_loads.ReportedLoads(
            clock,
            self.targets.own_in_flight,
            self.targets.told_slowdowns,
            lambda: len(fleet.nodes),
        )
        self.warm_up = _warm_up.WarmUp(
            self.name,
            lambda: fleet.live - {self.name},
            self.targets.own_in_flight,
            self.targets.in_flight,
            self.targets.told_windows,
            lambda target_id: self.targets.by_id.get(target_id),
            lambda service: warms_up,
            lambda vm, observed: fleet.notify(self.name, vm, observed),
            clock,
        )
        self.targets.on_registered(self.warm_up.record_target)
        self.targets.on_failure(self.warm_up.record_failure)
        self.states = _target_states.TargetStates(
            clock,
            _target_limits.TargetLimits(lambda target_id: 1, clock),
            self.name,
            _owners.Owners(self.name, frozenset, clock),
            self.targets.own_in_flight,
            lambda target: None,
            record_load=self.reports.record,
            warm_up=self.warm_up,
        )
        self.placement = _placement.Placement(
            self.targets,
            None,
            None,
            None,
            None,
            None,
            lambda: 2 * UPDATE_SECONDS,
            data_centre='a',
            reported_loads=self.reports,
        )

    def digest(self):
        windows = self.warm_up.to_tell()
        slowdowns = self.reports.to_tell()
        usages = tuple(
            _messages.TargetUsage(
                name,
                self.targets.own_in_flight(name),
                0,
                (),
                slowdowns.get(name, 0),
                windows.get(name),
            )
            for name in self.targets.by_id
        )
        return _messages.Digest(
            'h', 1, 'a', 1.0, True, False, {}, {}, usages, ()
        )


class Fleet:
    """Nodes that send requests and exchange digests.

    :ivar live: names of the nodes that the others hear of
    :ivar refused: requests for which there was no target
    """

    def __init__(self, nodes, warms_up, ramp):
        random.seed(nodes)
        self.rng = random.Random(nodes)
        self.ramp = ramp
        self.targets = {f't{n}': WarmingTarget() for n in range(TARGETS)}
        self.incarnations = dict.fromkeys(self.targets, 1)
        self.live = frozenset(f'vm{number}' for number in range(nodes))
        self.nodes = {}
        self.nodes = {
            f'vm{number}': Node(number, self, warms_up)
            for number in range(nodes)
        }
        self.service = builders.make_service('desk', engine=False)
        self.refused = 0
        self.nursery = None

    def register(self):
        """Show all nodes which targets are up."""
        listed = [
            builders.make_target(
                name,
                service='desk',
                slots=SLOTS,
                incarnation=self.incarnations[name],
            )
            for name, target in self.targets.items()
            if target.started_at is not None
        ]
        for node in self.nodes.values():
            node.mirror.replace_all(
                [
                    ports.StoredObject(each.target_id, 1, each)
                    for each in listed
                ],
                node.mirror.revision + 1,
            )

    async def restart(self, name):
        """Start a target that is down, as a new incarnation."""
        self.register()
        await trio.sleep(RESTART_SECONDS)
        target = self.targets[name]
        target.started_at = trio.current_time()
        target.ramp = self.ramp
        self.incarnations[name] += 1
        self.register()

    def notify(self, sender, vm, observed):
        async def deliver():
            await trio.sleep(NOTIFY_SECONDS)
            self.nodes[vm].warm_up.handle_observed(sender, observed)

        self.nursery.start_soon(deliver)

    async def maintain(self):
        while True:
            await trio.sleep(MAINTENANCE_SECONDS)
            for name in self.live:
                self.nodes[name].warm_up.update()

    async def exchange_digests(self):
        while True:
            digests = {
                name: (1, self.nodes[name].digest()) for name in self.live
            }
            first = next(iter(digests.values()))[1]
            aggregate = _aggregate.DigestAggregate(digests, first)
            await trio.sleep(UPDATE_SECONDS)
            for name in self.live:
                state = aggregate.centre_state(name, 0, {}, frozenset())
                self.nodes[name].targets.centres_by_name = {'a': state}

    async def send(self):
        node = self.nodes[self.rng.choice(sorted(self.live))]
        ready = node.targets.ready('desk')
        choice = node.placement.choose(
            _placement.PlacementRequest(
                self.service,
                builders.make_call(None),
                0,
                0,
                frozenset(),
                denied=frozenset(node.states.denied(ready)),
            )
        )
        if choice is None:
            self.refused += 1
            return
        target = choice.target
        name = target.target_id
        crashes = self.targets[name].crashes
        node.targets.begin_request(name, None, 0)
        began = trio.current_time()
        is_served = await self.targets[name].serve()
        node.targets.end_request(name, None)
        if not is_served:
            self.targets[name].seconds.append(float('inf'))
            node.targets.record_failure(name, 'failed')
            has_crashed = self.targets[name].crashes > crashes
            if has_crashed and self.targets[name].started_at is None:
                self.nursery.start_soon(self.restart, name)
            return
        node.targets.record_success(name)
        node.reports.record(target, domain.TargetLoad(0, 0, SLOTS, 1.0))
        ratio = node.reports.record_response_time(
            target, 'r', trio.current_time() - began, 1.0
        )
        node.warm_up.record_response(target, ratio)

    async def run(self, seconds, disturb):
        """Send requests for some seconds; `disturb` changes the targets."""
        self.register()
        async with trio.open_nursery() as self.nursery:
            self.nursery.start_soon(self.maintain)
            self.nursery.start_soon(self.exchange_digests)
            self.nursery.start_soon(disturb, self)
            ends_at = trio.current_time() + seconds
            while trio.current_time() < ends_at:
                self.nursery.start_soon(self.send)
                await trio.sleep(self.rng.expovariate(RATE))
            self.nursery.cancel_scope.cancel()


async def start_target(fleet):
    """Register a further target after some seconds."""
    target = fleet.targets[NEW]
    await trio.sleep(STARTS_AT)
    target.started_at = trio.current_time()
    target.ramp = fleet.ramp
    fleet.register()


async def run_fleet(nodes, warms_up, ramp, seconds=20):
    fleet = Fleet(nodes, warms_up, ramp)
    fleet.targets[NEW].started_at = None
    await fleet.run(STARTS_AT + seconds, start_target)
    return fleet


def late_count(target):
    return sum(each > LATE_SECONDS for each in target.seconds)


# All nodes see an empty target at the same moment. Without a window they send
# it their full shares; it crashes and starts again, for ever.
@pytest.mark.parametrize('nodes', [1, 12, 76, 200])
async def test_target_that_has_just_started_is_not_flooded(
    nodes, autojump_clock
):
    fleet = await run_fleet(nodes, warms_up=True, ramp=6.0)
    former = await run_fleet(nodes, warms_up=False, ramp=6.0)
    new, before = fleet.targets[NEW], former.targets[NEW]
    assert before.crashes > 3
    assert new.crashes == 0
    assert late_count(new) <= 0.05 * len(new.seconds)
    # It serves its part too: a fifth of the requests in 20 s would be 640.
    assert len(new.seconds) > max(400, len(before.seconds))
    assert fleet.refused == 0


# A target that bears everything at once must not stay idle for long.
@pytest.mark.parametrize('nodes', [1, 12, 76, 200])
async def test_target_that_bears_all_at_once_is_not_left_idle(
    nodes, autojump_clock
):
    fleet = await run_fleet(nodes, warms_up=True, ramp=0.0)
    former = await run_fleet(nodes, warms_up=False, ramp=0.0)
    new, before = fleet.targets[NEW], former.targets[NEW]
    assert len(new.seconds) >= 0.75 * len(before.seconds)
    assert fleet.nodes['vm0'].warm_up.count == 0


async def fail_for_a_while(fleet):
    """Let a target fail for some seconds, and bear little after that."""
    target = fleet.targets[NEW]
    target.ramp = 0.0
    await trio.sleep(STARTS_AT)
    target.started_at = trio.current_time() + RESTART_SECONDS
    target.ramp = fleet.ramp
    target.running = 0
    target.generation += 1


# Nodes that have suspended a failing target come back to it one after the
# other, each with its full share.
@pytest.mark.parametrize('nodes', [12, 76, 200])
async def test_recovered_target_is_not_flooded(nodes, autojump_clock):
    crashes = []
    for warms_up in (True, False):
        fleet = Fleet(nodes, warms_up, ramp=6.0)
        await fleet.run(25, fail_for_a_while)
        crashes.append(fleet.targets[NEW].crashes)
        if warms_up:
            assert len(fleet.targets[NEW].seconds) > 400
    assert crashes[0] <= crashes[1] / 10


class Group:
    """Nodes with a clock and one target, without requests.

    :ivar live: names of the nodes that the others hear of
    :ivar is_busy: whether the whole window is in use
    """

    def __init__(self, nodes, applies=True):
        self.is_busy = False
        self.now = 100.0
        self.target = builders.make_target(slots=16)
        self.live = frozenset(f'vm{number}' for number in range(nodes))
        self.in_flight = dict.fromkeys(self.live, 0)
        self.told = {}
        self.by_name = {name: self.make(name, applies) for name in self.live}
        for node in self.by_name.values():
            node.update()

    def make(self, name, applies):
        return _warm_up.WarmUp(
            name,
            lambda: self.live - {name},
            lambda target_id: self.in_flight[name],
            lambda target_id: 99 if self.is_busy else 0,
            lambda: self.told,
            lambda target_id: self.target,
            lambda service: applies,
            lambda vm, observed: self.by_name[vm].handle_observed(
                name, observed
            ),
            lambda: self.now,
        )

    @property
    def owner(self):
        for name in sorted(self.live):
            if self.by_name[name]._is_owner('t1'):
                return name
        return None

    def start(self):
        for node in self.by_name.values():
            node.record_target(self.target, False)

    def step(self, seconds=0.25):
        self.now += seconds
        for name in self.live:
            self.by_name[name].update()
        self.told = {}
        for name in self.live:
            self.told |= self.by_name[name].to_tell()

    def respond(self, name, count, ratio=1.0):
        for _ in range(count):
            self.by_name[name].record_response(self.target, ratio)

    def allowed(self):
        """Return how many requests all nodes may have in flight."""
        total = 0
        for name, node in self.by_name.items():
            self.in_flight[name] = 0
            while not node.is_full(self.target) and self.in_flight[name] < 99:
                self.in_flight[name] += 1
            total += self.in_flight[name]
            self.in_flight[name] = 0
        return total


def test_window_doubles_and_is_halved():
    group = Group(3)
    group.is_busy = True
    group.start()
    sizes = [group.allowed()]
    for _ in range(3):
        group.respond('vm0', sizes[-1])
        group.step()
        group.step()
        sizes.append(group.allowed())
    assert sizes == [2, 4, 8, 16]
    group.respond('vm1', 5, ratio=4.0)
    group.step(1.0)
    group.step()
    assert group.allowed() == 8
    for _ in range(10):
        group.respond('vm2', 10, ratio=4.0)
        group.step(1.0)
    assert group.allowed() == 2


def test_window_ends_for_all_nodes():
    group = Group(3)
    group.start()
    for _ in range(8):
        group.respond('vm0', 20)
        group.step()
    assert all(
        not each.is_full(group.target) for each in group.by_name.values()
    )
    group.step(_warm_up.TELL_OVER_SECONDS + 1)
    group.step()
    assert not any(each.has_windows for each in group.by_name.values())


def test_next_in_rank_continues_from_the_window_last_told():
    group = Group(5)
    group.start()
    group.respond('vm0', 2)
    group.step()
    group.respond('vm0', 2)
    group.step()
    group.step()
    before = group.allowed()
    assert before > 4
    group.live -= {group.owner}
    group.told = {}
    group.step()
    assert group.owner is not None
    assert group.by_name[group.owner].to_tell()['t1'].size >= before - 1
    for name in group.live:
        group.respond(name, 2)
    group.step()
    group.step()
    assert group.by_name[group.owner].to_tell()['t1'].size > before


# A node that hears of no other one would take itself for the only one, and
# would use the whole window.
def test_node_that_is_cut_off_uses_only_its_share():
    group = Group(8)
    group.start()
    group.step()
    before = group.allowed()
    members, group.live = group.live, frozenset()
    for _ in range(4):
        group.now += 1.0
        for name in members:
            group.by_name[name].update()
    assert group.allowed() == before


def test_one_node_alone_cannot_narrow_a_target():
    group = Group(5)
    for _ in range(4):
        group.by_name['vm0'].record_failure('t1', True)
        group.step()
    assert not any(each.has_windows for each in group.by_name.values())
    for name in ('vm0', 'vm1'):
        group.by_name[name].record_failure('t1', True)
    group.step()
    group.step()
    assert all(each.has_windows for each in group.by_name.values())


@pytest.mark.parametrize('incarnation', [1, 2])
def test_window_of_another_incarnation_is_not_used(incarnation):
    group = Group(2)
    group.target = builders.make_target(slots=16, incarnation=2)
    group.told = {'t1': _centres.Window(3, incarnation)}
    for node in group.by_name.values():
        node.update()
    has_windows = [each.has_windows for each in group.by_name.values()]
    assert has_windows == [incarnation == 2] * 2


# After an outage of the store all targets register again at once. They have
# not started, so their full share is due at once.
def test_target_that_returns_unchanged_has_no_window():
    group = Group(2)
    node = group.by_name['vm0']
    node.record_target(group.target, True)
    node.record_target(group.target, False)
    assert not node.has_windows
    node.record_target(builders.make_target(incarnation=2), False)
    assert node.has_windows


def test_other_services_have_no_windows():
    group = Group(2, applies=False)
    group.start()
    for name in group.live:
        group.by_name[name].record_failure('t1', True)
    group.step()
    assert not any(each.has_windows for each in group.by_name.values())


# Without responses nobody can tell what the target bears, and it would never
# get any.
def test_window_without_requests_grows():
    group = Group(3)
    group.start()
    for _ in range(60):
        group.step()
    assert group.allowed() >= 16


def test_target_that_is_slow_by_itself_is_not_kept_idle():
    group = Group(3)
    group.start()
    for _ in range(120):
        group.respond('vm0', 3, ratio=5.0)
        group.step()
    assert group.allowed() >= 16


def test_window_ends_after_a_minute():
    group = Group(3)
    group.start()
    for _ in range(300):
        # Neither clearly slow nor clearly fast.
        group.respond('vm0', 1, ratio=5.0)
        group.respond('vm0', 2)
        group.step()
    assert group.by_name['vm0'].count == 0
