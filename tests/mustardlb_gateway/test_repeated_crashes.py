"""Requests that are repeated and crash targets, over generated hazards.

Nodes, targets and clients run in virtual time. The platform permits three
more such requests later than a stability window after the third crash.
"""

import dataclasses
import heapq
import itertools

import builders
import pytest
import test_quarantine

from mustardlb_gateway import _owners
from mustardlb_gateway import _trials

RESTART_SECONDS = 3.5
RETRY_SECONDS = 0.005
WORK_SECONDS = 0.045
PERMITTED = 3


@dataclasses.dataclass(frozen=True)
class Hazard:
    """A schedule of requests and failures.

    :ivar pauses: seconds between harmful requests of independent clients
    :ivar tries: tries of each client, which waits for `retry_pause` between
    :ivar sound_per_second: rate of other requests
    :ivar rack_at: when half of the targets fail together, or None
    """

    pauses: tuple[float, ...]
    tries: int = 2
    retry_pause: float = 0.05
    max_attempts: int = 3
    sound_per_second: float = 20.0
    lost_share: float = 0.0
    targets: int = 4
    rack_at: float | None = None


class Node(test_quarantine.Node):
    """A node that also decides on trials."""

    def __init__(self, network, vm, incarnation=1):
        super().__init__(network, vm, incarnation)
        self.trials = _trials.Trials(
            vm.vm, self.quarantine, None, frozenset, network.clock
        )
        self.owners = _owners.Owners(
            vm.vm, lambda: self.membership.live, network.clock
        )

    def permits(self, call):
        """Return whether a call in quarantine is tried."""
        periods = self.quarantine.periods(call)
        return all(map(self.quarantine.is_trial_due, periods)) and all(
            self._ask_owner(suspect) for suspect in periods
        )

    def _ask_owner(self, suspect):
        owner = self.network.nodes[self.owners.ranking(suspect)[0]]
        return owner.trials.grant(suspect)


class Network(test_quarantine.Network):
    """Runs clients, calls and targets as events between steps of the fleet.

    :ivar exposed: time of each harmful request that reached a target
    :ivar ended: time of each crash by a harmful request
    :ivar sound: whether each sound request was served or rejected
    """

    node_class = Node

    def __init__(self, shape, hazard, seed):
        super().__init__(*shape, lost_share=0.0)
        self.rng.seed(seed)
        self.hazard = hazard
        self.events = []
        self.order = itertools.count()
        self.numbers = itertools.count()
        self.exposed = []
        self.ended = []
        self.sound = []
        self.up = {}
        self.running = {}
        for _ in range(hazard.targets):
            self.start_target()

    def at(self, seconds, action):
        event = self.now + seconds, next(self.order), action
        heapq.heappush(self.events, event)

    def play(self, seconds):
        def step():
            end = self.now
            while self.events and self.events[0][0] <= end:
                self.now, _, action = heapq.heappop(self.events)
                action()
            self.now = end

        self.run(seconds, step)

    def start_target(self):
        target = builders.make_target(f't{next(self.numbers)}')
        self.up[target.target_id] = target
        self.running[target.target_id] = {}

    def end_target(self, target):
        """End a target and all calls that run there."""
        if self.up.pop(target.target_id, None) is None:
            return
        for call, node, sent_at, on_failure in self.running.pop(
            target.target_id
        ).values():
            node.quarantine.record_failure(target, call, self.now - sent_at)
            self.at(
                self.rng.uniform(0.05, 0.3),
                lambda node=node: node.quarantine.confirm_crash(target, ''),
            )
            self.at(RETRY_SECONDS, on_failure)
        self.at(RESTART_SECONDS, self.start_target)

    def send_call(self, node, call, is_harmful, on_end, attempt=1):
        """Send a call as the gateway does, with its own repeats."""
        is_trial = False
        if node.quarantine.holds(call):
            if attempt > 1 or not node.permits(call):
                on_end(False)
                return
            is_trial = True
        candidates = list(self.up.values())
        if not candidates:
            on_end(None)
            return
        target = self.rng.choice(candidates)

        def fail():
            if is_trial or attempt == self.hazard.max_attempts:
                on_end(False)
                return
            self.send_call(node, call, is_harmful, on_end, attempt + 1)

        self.running[target.target_id][call.request_id] = (
            call,
            node,
            self.now,
            fail,
        )
        if is_harmful:
            self.exposed.append(self.now)
            self.at(self.rng.uniform(0.02, 0.1), lambda: self.crash(target))
            return
        self.at(
            self.rng.expovariate(1 / WORK_SECONDS),
            lambda: self.finish(node, call, target, on_end),
        )

    def crash(self, target):
        if target.target_id in self.up:
            self.ended.append(self.now)
            self.end_target(target)

    def finish(self, node, call, target, on_end):
        if self.running.get(target.target_id, {}).pop(call.request_id, None):
            node.quarantine.record_output(call, 0.0)
            on_end(True)

    def pick_node(self):
        return self.rng.choice(self.live())

    def run_client(self, path, is_harmful, tries, on_end=lambda _: None):
        call = builders.make_call(
            None, request_id=f'r{next(self.numbers)}', path=path, tokens=None
        )

        def end(is_served):
            if is_served or tries == 1:
                on_end(is_served)
                return
            self.at(
                self.hazard.retry_pause,
                lambda: self.run_client(path, is_harmful, tries - 1, on_end),
            )

        self.send_call(self.pick_node(), call, is_harmful, end)

    def send_sound(self):
        path = b'/sound/%d' % self.rng.randrange(40)
        self.run_client(path, False, 2, self.sound.append)
        pause = self.rng.expovariate(self.hazard.sound_per_second)
        self.at(pause, self.send_sound)

    def schedule(self):
        if self.hazard.sound_per_second:
            self.at(0.0, self.send_sound)
        at = 1.0
        for pause in self.hazard.pauses:
            self.at(
                at, lambda: self.run_client(b'/bad', True, self.hazard.tries)
            )
            at += pause
        if self.hazard.rack_at is not None:
            self.at(self.hazard.rack_at, self.fail_rack)
        return at

    def fail_rack(self):
        for target in list(self.up.values())[: self.hazard.targets // 2]:
            self.at(
                self.rng.uniform(0.0, 0.2),
                lambda target=target: self.end_target(target),
            )


def play(shape, hazard, seed=0):
    """Play a hazard and return its network."""
    network = Network(shape, hazard, seed)
    network.run(4)
    network.lost_share = hazard.lost_share
    network.play(network.schedule() + 5)
    return network


def late_exposures(network, stable_seconds):
    """Return how many harmful requests were sent after the third crash."""
    if len(network.ended) < 3:
        return 0
    since = network.ended[2] + stable_seconds
    return sum(at > since for at in network.exposed)


CHAIN = Hazard((3.0,) * 8)
SINGLE = Hazard((5.0,) * 6, tries=1, max_attempts=1)
PARALLEL = Hazard((0.03, 0.03, 0.03, 4.0) * 4, max_attempts=2)
BURST = Hazard((0.005, 0.005, 0.005, 4.0) * 4, tries=1, max_attempts=1)
SLOW = Hazard((60.0,) * 4, tries=1, max_attempts=1)

SEVEN_NODES = ('abcdefg', 1)
FORTY_NODES = ('abcde', 8)
TWO_HUNDRED_NODES = ('abcde', 40)


@pytest.mark.parametrize(
    ('shape', 'stable_seconds', 'hazard', 'sound_per_second', 'lost_share'),
    [
        *(
            (('a', 1), 3.0, hazard, rate, 0.0)
            for hazard in (CHAIN, SINGLE, PARALLEL, BURST, SLOW)
            for rate in (0.0, 0.05, 40.0)
        ),
        *(
            (SEVEN_NODES, 3.0, hazard, rate, 0.2)
            for hazard in (CHAIN, SINGLE, PARALLEL, BURST)
            for rate in (0.0, 40.0)
        ),
        (SEVEN_NODES, 3.0, SLOW, 0.05, 0.2),
        (FORTY_NODES, 3.0, CHAIN, 0.05, 0.2),
        (FORTY_NODES, 3.0, PARALLEL, 40.0, 0.2),
        (TWO_HUNDRED_NODES, 5.0, CHAIN, 0.05, 0.2),
    ],
)
def test_third_crash_counts_at_any_pace(
    shape, stable_seconds, hazard, sound_per_second, lost_share
):
    hazard = dataclasses.replace(
        hazard, sound_per_second=sound_per_second, lost_share=lost_share
    )
    network = play(shape, hazard)
    assert len(network.ended) >= 3
    assert late_exposures(network, stable_seconds) <= PERMITTED
    served = [each for each in network.sound if each is not None]
    assert sum(served) >= 0.9 * len(served)


# What waited at the targets of a rack is sent again to others, of which some
# belong to the same rack and fail a moment later.
@pytest.mark.parametrize('seed', range(6))
def test_failing_rack_does_not_condemn_what_waited_there(seed):
    hazard = Hazard(
        (), sound_per_second=200.0, targets=12, rack_at=3.0, lost_share=0.2
    )
    network = Network(SEVEN_NODES, hazard, seed)
    network.run(4)
    network.schedule()
    for _ in range(80):
        network.play(0.1)
        for node in network.live():
            assert not [
                period
                for period in node.quarantine._period_by_suspect.values()
                if period.is_certain
            ]
    assert not network.ended
    assert sum(map(bool, network.sound)) > 0.95 * len(network.sound)
