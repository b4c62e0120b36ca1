"""Which requests nodes keep from targets, in virtual time."""

import itertools
import random

import builders
import pytest
import test_fleet

from mustardlb_gateway import _crash_decision
from mustardlb_gateway import _crashes
from mustardlb_gateway import _messages
from mustardlb_gateway import _quarantine
from mustardlb_gateway import domain

# Time from sending a request to the end of its target.
SENT_SECONDS = 0.1


_numbers = itertools.count()


def make_call(*parts, **changes):
    """Return a call that differs from all others, with some parts."""
    parts = [*parts, 'last']
    changes = {'body': b'%d' % next(_numbers)} | changes
    return builders.make_call(parts=[(part, 10) for part in parts], **changes)


class Time:
    """A clock and a wall clock that a test moves on."""

    def __init__(self):
        self.now = 100.0

    def clock(self):
        return self.now

    def wall_clock(self):
        return self.now + 1e9


class Observer:
    """The quarantine of one node."""

    def __init__(self, time=None, load_age=0.1):
        self.time = time or Time()
        self.quarantine = _quarantine.Quarantine(
            self.time.clock, lambda: load_age, self.time.wall_clock
        )
        self.crash_count = 0

    def crash(self, *calls, gap=0.3, **changes):
        """Let a target end on some calls."""
        self.crash_count += 1
        target = builders.make_target(f't{self.crash_count}', **changes)
        for call in calls:
            self.quarantine.record_failure(target, call, SENT_SECONDS)
        self.quarantine.confirm_crash(target, 'test')
        self.time.now += gap

    def settle(self):
        self.time.now += _quarantine.MIN_SETTLE_SECONDS + 0.01

    def is_quarantined(self, *parts):
        return self.quarantine.wait(make_call(*parts)) > 0


def make_observer():
    """Return an observer whose targets answer other requests."""
    observer = Observer()
    observer.crash(make_call('first', 'bad'))
    observer.quarantine.record_output(make_call('first', 'other'), 0.0)
    return observer


def test_suspect_of_three_crashes_is_quarantined():
    observer = make_observer()
    observer.crash(make_call('first', 'bad'))
    observer.settle()
    assert not observer.is_quarantined('first', 'bad')
    observer.crash(make_call('second', 'bad'))
    observer.settle()
    assert observer.is_quarantined('another', 'bad')
    assert observer.is_quarantined('bad', 'another')


# Requests share their first part with those that crash targets.
def test_part_with_output_since_a_crash_is_not_quarantined():
    observer = make_observer()
    for _ in range(6):
        observer.crash(make_call('first', 'bad'))
        observer.quarantine.record_output(make_call('first'), 0.0)
    observer.settle()
    assert observer.is_quarantined('first', 'bad')
    assert not observer.is_quarantined('first', 'other')


# A request whose output began before a crash shows nothing about later ones.
def test_output_that_began_before_the_crashes_does_not_count():
    observer = make_observer()
    for _ in range(3):
        observer.crash(make_call('bad'))
    observer.quarantine.record_output(make_call('bad'), 30.0)
    observer.settle()
    assert observer.is_quarantined('bad')


def test_output_ends_a_quarantine():
    observer = make_observer()
    for _ in range(3):
        observer.crash(make_call('bad'))
    observer.settle()
    assert observer.is_quarantined('bad')
    observer.quarantine.record_output(make_call('bad'), 0.0)
    assert not observer.is_quarantined('bad')


# Engines that all end again and again have another fault than one request.
def test_nothing_is_quarantined_while_no_request_has_output():
    observer = Observer()
    for _ in range(6):
        observer.crash(make_call('first', 'own'))
    observer.settle()
    assert not observer.is_quarantined('first', 'own')


# With hardly any traffic, nothing but the request itself is tried.
def test_repeated_request_is_quarantined_while_no_request_has_output():
    observer = Observer()
    call = make_call('first', 'own')
    for _ in range(3):
        observer.crash(call)
    observer.settle()
    assert observer.quarantine.wait(call) > 0
    assert not observer.quarantine.holds(make_call('first', 'own'))


# A request that waited at some of many targets that crashed is no cause.
def test_suspect_of_a_few_of_many_crashes_is_not_quarantined():
    observer = make_observer()
    for number in range(12):
        calls = [make_call('bad')]
        if number in (2, 5, 8):
            calls.append(make_call('waiting'))
        observer.crash(*calls)
    observer.settle()
    assert observer.is_quarantined('bad')
    assert not observer.is_quarantined('waiting')


def test_last_part_of_a_prompt_is_no_suspect():
    observer = make_observer()
    for _ in range(4):
        observer.crash(make_call('bad'))
    observer.settle()
    call = builders.make_call(parts=[('fresh', 10), ('bad', 10)])
    assert not observer.quarantine.wait(call)


# Clients repeat a request to a plain service, which has no prompt.
def test_content_of_a_request_without_a_prompt_is_a_suspect():
    observer = make_observer()
    call = builders.make_call(None, path=b'/orders/7', tokens=None)
    for _ in range(3):
        observer.crash(call)
    observer.settle()
    assert observer.quarantine.wait(call) > 0
    other = builders.make_call(None, path=b'/orders/8', tokens=None)
    assert not observer.quarantine.wait(other)
    observer.quarantine.record_output(call, 0.0)
    assert not observer.quarantine.wait(call)


def test_target_that_announced_its_end_has_not_crashed():
    observer = make_observer()
    for _ in range(4):
        observer.crash(make_call('bad'), state=domain.TargetState.DRAINING)
    observer.settle()
    assert not observer.is_quarantined('bad')


def test_failure_without_the_end_of_the_target_is_no_crash():
    observer = make_observer()
    for number in range(5):
        target = builders.make_target(f'other{number}')
        observer.quarantine.record_failure(
            target, make_call('slow'), SENT_SECONDS
        )
    observer.settle()
    assert not observer.is_quarantined('slow')
    observer.time.now += _quarantine.CONFIRMATION_SECONDS
    for number in range(5):
        target = builders.make_target(f'other{number}')
        observer.quarantine.confirm_crash(target, 'removed')
    observer.settle()
    assert not observer.is_quarantined('slow')


def test_quarantine_expires():
    observer = make_observer()
    for _ in range(3):
        observer.crash(make_call('bad'))
    observer.settle()
    assert observer.is_quarantined('bad')
    observer.time.now += _crashes.REPORT_TTL_SECONDS
    observer.quarantine.refresh()
    assert not observer.is_quarantined('bad')


# A rack that fails takes many engines with all that waited there.
def test_targets_that_end_together_count_as_one_crash():
    observer = make_observer()
    for _ in range(8):
        observer.crash(make_call('first', 'own'), gap=0.01)
    observer.time.now += 5
    observer.crash(make_call('first', 'own'))
    observer.settle()
    assert not observer.is_quarantined('own')


# Callers are told when one of them is tried, which is later each time.
def test_wait_grows_with_each_further_crash():
    observer = make_observer()
    waits = []
    for _ in range(5):
        observer.crash(make_call('bad'), gap=0.0)
        observer.settle()
        waits.append(observer.quarantine.wait(make_call('bad')))
    assert waits[:1] == [0.0]
    first = _crash_decision.FIRST_TRIAL_SECONDS
    ratio = _crash_decision.TRIAL_DELAY_RATIO
    expected = [first, first * ratio, first * ratio**2]
    assert waits[1:4] == pytest.approx(expected, abs=1)


def test_saved_evidence_counts_at_once_and_only_against_the_quarantined():
    observer = make_observer()
    for _ in range(3):
        observer.crash(make_call('bad'), make_call('first', 'waiting'))
        observer.quarantine.record_output(make_call('first', 'waiting'), 0.0)
    observer.settle()
    assert observer.is_quarantined('bad')
    saved = observer.quarantine.take_unsaved()
    assert observer.quarantine.take_unsaved() is None
    restarted = Observer(observer.time)
    restarted.quarantine.add(saved, is_settled=True)
    assert restarted.is_quarantined('bad')
    assert not restarted.is_quarantined('first', 'waiting')


def test_evidence_merges_in_any_order_to_the_same_result():
    rng = random.Random(1)
    pieces = []
    for _number in range(40):
        target_id = f't{rng.randrange(6)}'
        report = _crashes.CrashReport(
            target_id,
            1,
            1e9 + rng.random(),
            {
                suspect: 1e9 + rng.random()
                for suspect in rng.sample(['a', 'b', 'c', 'd'], 2)
            },
        )
        outputs = {rng.choice(['a', 'b', '']): 1e9 + rng.random()}
        pieces.append(_crashes.Evidence({report.key: report}, outputs))
    results = []
    for _ in range(5):
        rng.shuffle(pieces)
        evidence = _crashes.Evidence()
        for piece in [*pieces, *pieces[:10]]:
            evidence = _crashes.merge(evidence, piece)
        results.append(evidence)
    assert all(result == results[0] for result in results)


class Node(test_fleet.Node):
    """A node with a quarantine, whose evidence travels with the digests."""

    def __init__(self, network, vm, incarnation=1):
        super().__init__(network, vm, incarnation)
        self.quarantine = _quarantine.Quarantine(
            network.clock,
            lambda: self.membership.load_age,
            lambda: network.now + 1e9,
        )

    def digest(self):
        return test_fleet.make_digest(
            self.vm,
            is_watching=self.fleet.must_watch(),
            crash_evidence=self.quarantine.own_evidence,
        )


class Network(test_fleet.Network):
    """Nodes before engines that end at each harmful request.

    :ivar lost_share: share of the updates and digests that are lost
    :ivar crashes: time of each crash
    :ivar harmful: time of each harmful request that reached an engine
    :ivar sound: whether each sound request was sent to an engine
    """

    node_class = Node

    def __init__(self, *shape, lost_share=0.0, engines=12):
        super().__init__(*shape)
        self.lost_share = lost_share
        self.crashes = []
        self.harmful = []
        self.sound = []
        self.numbers = list(range(engines))
        self.updated_at = {}
        self.sent_evidence = {}
        self.waiting = []

    def send(self, sender, receiver, message):
        if self.rng.random() < self.lost_share:
            # A broken connection loses what was on its way; the feed is
            # then started again.
            if isinstance(message.body, _messages.Update):
                connection = self.connection(
                    self.nodes[receiver], sender.vm.vm
                )
                self.nodes[receiver].subscribed.pop(connection, None)
            return
        super().send(sender, receiver, message)
        if isinstance(
            message.body, _messages.Digest | _messages.Update
        ) and self.is_connected(sender.vm.vm, receiver):
            evidence = message.body.crash_evidence
            self.nodes[receiver].quarantine.add(evidence)

    def is_update_due(self, connection):
        delay = self.nodes[connection[1]].membership.batch_delay
        if self.now < self.updated_at.get(connection, 0.0) + delay:
            return False
        self.updated_at[connection] = self.now
        return True

    def evidence_to_send(self, connection, is_full):
        sent = self.sent_evidence.get(connection, _crashes.Evidence())
        if is_full:
            sent = _crashes.Evidence()
        current = self.nodes[connection[1]].quarantine.evidence
        self.sent_evidence[connection] = current
        return _crashes.unsent(sent, current)

    def send_requests(self, per_second, harmful_per_second):
        """Send requests at random nodes during one step."""
        names = [name for name in self.nodes if name not in self.stopped]
        for rate, part in ((per_second, None), (harmful_per_second, 'bad')):
            mean = rate * test_fleet.STEP_SECONDS
            count = int(mean) + (self.rng.random() < mean % 1)
            for _ in range(count):
                node = self.nodes[self.rng.choice(names)]
                part_id = part or f'own{self.rng.randrange(30)}'
                self._run_request(node, make_call('first', part_id), part)

    def _run_request(self, node, call, is_harmful):
        is_sent = not node.quarantine.holds(call)
        if not is_harmful:
            self.sound.append(is_sent)
        if not is_sent:
            return
        index = self.rng.randrange(len(self.numbers))
        target = builders.make_target(f't{self.numbers[index]}')
        if not is_harmful:
            # Has no output yet if the engine ends soon.
            self.waiting.append((self.now, node, call, target))
            return
        self.harmful.append(self.now)
        self.crashes.append(self.now)
        self.numbers[index] = len(self.crashes) + 1000
        broken = [each for each in self.waiting if each[3] == target]
        self.waiting = [each for each in self.waiting if each[3] != target]
        broken.append((self.now, node, call, target))
        for sent_at, other, waiting_call, _ in broken:
            other.quarantine.record_failure(
                target, waiting_call, self.now - sent_at
            )
            other.quarantine.confirm_crash(target, 'refused')

    def finish_requests(self):
        """Give output to the requests that were sent some time ago."""
        since = self.now - 0.4
        for at, node, call, _ in self.waiting:
            if at <= since:
                node.quarantine.record_output(call, 0.0)
        self.waiting = [each for each in self.waiting if each[0] > since]


def run_storm(network, seconds, on_step=lambda: None):
    def step():
        network.send_requests(40.0, 3.0)
        network.finish_requests()
        on_step()

    network.run(seconds, step)


# Bounds of the platform: the seconds after the fifth crash, and how many such
# requests may reach targets later than that.
@pytest.mark.parametrize(
    ('shape', 'stable_seconds', 'lost_share'),
    [
        (('a', 1), 3.0, 0.0),
        (('a', 7), 3.0, 0.2),
        (('abcd', 2), 3.0, 0.0),
        (('abcd', 2), 3.0, 0.2),
        (('abcde', 40), 5.0, 0.0),
        (('abcde', 40), 5.0, 0.2),
    ],
)
def test_harmful_requests_are_kept_from_targets_by_all_nodes(
    shape, stable_seconds, lost_share
):
    network = Network(*shape, lost_share=0.0)
    network.run(4)
    network.lost_share = lost_share
    run_storm(network, 14)
    assert network.crashes
    if len(network.crashes) >= 5:
        since = network.crashes[4] + stable_seconds
        assert sum(at > since for at in network.harmful) <= 3
    assert sum(network.sound) > 0.97 * len(network.sound)


# What one node learnt must bind one that starts later.
def test_new_node_learns_what_the_others_know():
    network = Network('abcd', 2)
    network.run(4)
    run_storm(network, 6)
    since = network.now
    vm = network.vms[3]
    network.stop(vm.vm)
    run_storm(network, 3)
    network.start(vm)
    run_storm(network, 1.5)
    assert network.nodes[vm.vm].quarantine.wait(make_call('first', 'bad'))
    assert sum(at > since for at in network.harmful) <= 3


# A node whose clock is hours ahead would clear a suspect for as long.
def test_evidence_from_the_future_is_not_used():
    observer = make_observer()
    future = observer.time.wall_clock() + 3600
    observer.quarantine.add(_crashes.Evidence({}, {'bad': future}))
    for _ in range(3):
        observer.crash(make_call('bad'))
    observer.settle()
    assert observer.is_quarantined('bad')
