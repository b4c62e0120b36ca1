"""Load and slowdown that targets report, and how nodes use them.

Plain targets with a few slots each, whose machines are slower at times. Many
nodes send them requests and are told by each response, and by the digests of
the other nodes, how they fare.
"""

import math
import random

import builders
import gateway_harness
import pytest
import scripted
import structlog
import trio

from mustardlb_gateway import _aggregate
from mustardlb_gateway import _centres
from mustardlb_gateway import _engine_client
from mustardlb_gateway import _messages
from mustardlb_gateway import _mirror
from mustardlb_gateway import _owners
from mustardlb_gateway import _placement
from mustardlb_gateway import _reported_loads
from mustardlb_gateway import _target_limits
from mustardlb_gateway import _target_states
from mustardlb_gateway import _targets
from mustardlb_gateway import domain
from mustardlb_gateway import http_client
from mustardlb_gateway import ports

TARGET = builders.make_target(slots=6)

# The plain requests of deployment K, and its three plain targets.
SLOTS = 6
QUEUE = 24
RATE = 99.6
OBJECTIVE_SECONDS = 0.215

# Time that a request takes usually. With it half of the slots are in use.
USUAL_SECONDS = 0.09

UPDATE_SECONDS = 0.3


class Reports:
    """`ReportedLoads` with a clock and what other nodes tell.

    :ivar in_flight: requests of this node at the target
    :ivar told: slowdowns that other nodes tell
    """

    def __init__(self):
        self.now = 100.0
        self.in_flight = 0
        self.told = []
        self.loads = _reported_loads.ReportedLoads(
            lambda: self.now,
            lambda target_id: self.in_flight,
            lambda target_id: list(self.told),
            lambda: 1,
            random.Random(0),
        )

    def report(self, slowdown, running=0, waiting=0, target=TARGET):
        load = domain.TargetLoad(running, waiting, target.slots, slowdown)
        self.loads.record(target, load)

    def report_for(self, seconds, slowdown, interval=0.05):
        for _ in range(round(seconds / interval)):
            self.now += interval
            self.report(slowdown)


def test_average_follows_within_a_second_and_is_not_one_report():
    reports = Reports()
    reports.report_for(2.0, 1.0)
    reports.report(8.0)
    assert reports.loads.slowdown(TARGET) < 2.0
    reports.report_for(1.0, 8.0)
    assert reports.loads.slowdown(TARGET) > 7.0
    reports.report_for(1.0, 1.0)
    assert reports.loads.slowdown(TARGET) < 1.7


# A target that was slow would otherwise never be used again.
def test_average_returns_to_one_without_reports():
    reports = Reports()
    reports.report_for(2.0, 5.0)
    assert reports.loads.slowdown(TARGET) == pytest.approx(5.0, rel=0.05)
    before = 5.0
    for _ in range(15):
        reports.now += 1.0
        current = reports.loads.slowdown(TARGET)
        assert current <= before
        before = current
    assert before < 1.05
    reports.now += _reported_loads.TTL_SECONDS
    reports.loads.remove_expired()
    assert reports.loads.slowdown(TARGET) is None


@pytest.mark.parametrize(
    ('slowdown', 'running', 'waiting'),
    [
        (0.01, 1, 0),
        (1e6, 1, 0),
        (math.nan, 1, 0),
        (math.inf, 1, 0),
        (-1.0, 1, 0),
        (2.0, 10**9, 0),
        (2.0, 0, 10**9),
        (2.0, -5, 0),
    ],
)
def test_implausible_reports_are_ignored_and_logged_once(
    slowdown, running, waiting
):
    reports = Reports()
    reports.report(1.0, 2, 0)
    with structlog.testing.capture_logs() as logged:
        for _ in range(5):
            reports.now += 0.01
            reports.report(slowdown, running, waiting)
    assert [each['event'] for each in logged] == ['MLB-6240']
    assert reports.loads.slowdown(TARGET) == 1.0
    assert reports.loads.requests(TARGET, 0) == 2


def test_targets_that_report_no_slowdown_are_treated_as_before():
    reports = Reports()
    reports.loads.record(TARGET, None)
    reports.report(None, running=5)
    assert reports.loads.slowdown(TARGET) is None
    assert reports.loads.requests(TARGET, 1) == 1
    assert reports.loads.record_response_time(TARGET, 'r', 1.0, 1.0) is None
    assert reports.loads.to_tell() == {}


def test_requests_are_the_larger_of_report_and_digests():
    reports = Reports()
    reports.in_flight = 1
    reports.report(1.0, running=4, waiting=2)
    assert reports.loads.requests(TARGET, 1) == 6
    assert reports.loads.requests(TARGET, 9) == 9
    reports.in_flight = 3
    assert reports.loads.requests(TARGET, 3) == 8
    # An old report says nothing of the present.
    reports.now += 1.1
    assert reports.loads.requests(TARGET, 3) == 3


def test_report_is_not_that_of_an_earlier_incarnation():
    reports = Reports()
    reports.report_for(2.0, 6.0)
    restarted = builders.make_target(slots=6, incarnation=2)
    assert reports.loads.slowdown(restarted) is None
    assert reports.loads.requests(restarted, 0) == 0


def test_what_other_nodes_tell_is_used_and_bounded():
    reports = Reports()
    reports.told = [4.0]
    assert reports.loads.slowdown(TARGET) == pytest.approx(4.0)
    reports.told = [0.0001, 1e9]
    assert 0.1 <= reports.loads.slowdown(TARGET) <= 100
    # It does not end at once when nobody tells it any more.
    reports.told = [4.0]
    reports.loads.slowdown(TARGET)
    reports.told = []
    assert reports.loads.slowdown(TARGET) == pytest.approx(4.0)


class PlainTarget:
    """Serves requests in order; its machine is slower at times.

    :ivar slowdown: as a function of the time
    :ivar reported: the slowdown that it reports, as a function of the time
    """

    def __init__(self, slowdown, reported=None):
        self.slowdown = slowdown
        self.reported = reported or slowdown
        self.limiter = trio.CapacityLimiter(SLOTS)
        self.requests = 0
        self.served = 0

    async def serve(self, rng):
        """Return the load after a request, None if the queue is full."""
        if self.requests >= SLOTS + QUEUE:
            return None
        self.requests += 1
        async with self.limiter:
            usual = USUAL_SECONDS * rng.uniform(0.5, 1.5)
            await trio.sleep(usual * self.slowdown(trio.current_time()))
        self.requests -= 1
        self.served += 1
        running = min(SLOTS, self.requests)
        return domain.TargetLoad(
            running,
            self.requests - running,
            SLOTS,
            self.reported(trio.current_time()),
        )


class TranslationStub:
    def read_target(self, name, spec):
        return spec


class Node:
    """The table of targets, the reports and the placement of one node."""

    def __init__(self, names, uses_reports, nodes, data_centre):
        self.data_centre = data_centre
        clock = trio.current_time
        mirror = _mirror.Mirror('servers')
        self.targets = _targets.TargetTable(mirror, TranslationStub(), clock)
        listed = [
            builders.make_target(
                name, service='desk', slots=SLOTS, data_centre=centre
            )
            for name, centre in zip(names, 'abc', strict=True)
        ]
        mirror.replace_all(
            [ports.StoredObject(each.target_id, 1, each) for each in listed], 1
        )
        self.reports = _reported_loads.ReportedLoads(
            clock,
            self.targets.own_in_flight,
            self.targets.told_slowdowns,
            lambda: nodes,
        )
        self.placement = _placement.Placement(
            self.targets,
            None,
            None,
            None,
            None,
            None,
            lambda: 2 * UPDATE_SECONDS,
            data_centre=data_centre,
            reported_loads=self.reports if uses_reports else None,
        )

    def digest(self):
        slowdowns = self.reports.to_tell()
        usages = tuple(
            _messages.TargetUsage(
                name,
                self.targets.own_in_flight(name),
                0,
                (),
                slowdowns.get(name, 0),
            )
            for name in self.targets.by_id
        )
        return _messages.Digest(
            'h', 1, 'a', 1.0, True, False, {}, {}, usages, ()
        )


class Fleet:
    """Nodes that send plain requests and exchange digests.

    :ivar seconds: response time of each request, infinite if it was rejected
    :ivar local: requests that stayed in their data centre
    """

    def __init__(self, targets, nodes, uses_reports, seed=0):
        random.seed(seed)
        self.rng = random.Random(seed)
        self.targets = targets
        self.nodes = [
            Node(targets, uses_reports, nodes, 'abc'[number % 3])
            for number in range(nodes)
        ]
        self.local = 0
        self.seconds = []
        self.service = builders.make_service('desk', engine=False)

    async def exchange_digests(self):
        while True:
            digests = {
                f'vm{number}': (1, node.digest())
                for number, node in enumerate(self.nodes)
            }
            aggregate = _aggregate.DigestAggregate(digests, digests['vm0'][1])
            await trio.sleep(UPDATE_SECONDS)
            for number, node in enumerate(self.nodes):
                state = aggregate.centre_state(
                    f'vm{number}', 0, {}, frozenset()
                )
                node.targets.centres_by_name = {'a': state}

    async def send(self):
        node = self.rng.choice(self.nodes)
        choice = node.placement.choose(
            _placement.PlacementRequest(
                self.service, builders.make_call(None), 0, 0, frozenset()
            )
        )
        target = choice.target
        self.local += target.data_centre == node.data_centre
        started_at = trio.current_time()
        node.targets.begin_request(target.target_id, None, 0)
        load = await self.targets[target.target_id].serve(self.rng)
        node.targets.end_request(target.target_id, None)
        seconds = trio.current_time() - started_at
        node.reports.record(target, load)
        if load is not None:
            node.reports.record_response_time(target, 'r', seconds, 1.0)
        self.seconds.append(math.inf if load is None else seconds)

    async def run(self, seconds):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.exchange_digests)
            ends_at = trio.current_time() + seconds
            while trio.current_time() < ends_at:
                nursery.start_soon(self.send)
                await trio.sleep(self.rng.expovariate(RATE))
            await trio.sleep(2)
            nursery.cancel_scope.cancel()

    @property
    def late_share(self):
        late = sum(each > OBJECTIVE_SECONDS for each in self.seconds)
        return late / len(self.seconds)


def usual(now):
    return 1.0


def slow(now):
    return 4.0


def taking_turns(number):
    """Return the slowdown of one target of three, each slow for 5 s."""
    return lambda now: 4.0 if int(now / 5) % 3 == number else 1.0


def flickering(now):
    """Return a slowdown of 4 on average that changes many times a second."""
    return 7.0 if int(now * 10) % 2 else 1.0


async def run_fleets(make_targets, nodes):
    """Return fleets that use the reports, and that do not."""
    fleets = []
    for uses_reports in (True, False):
        fleet = Fleet(make_targets(), nodes, uses_reports)
        await fleet.run(30)
        fleets.append(fleet)
    return fleets


# Plain requests of deployment K at a target that is slow all the time, that
# changes many times a second, or each target in turn. Without the reports it
# gets the same share as the others and is late with most of it; if all nodes
# followed the same report at once, the others would be late.
@pytest.mark.parametrize('nodes', [1, 12, 76, 200])
@pytest.mark.parametrize('kind', ['slow', 'flickering', 'turns'])
async def test_slow_target_is_avoided(nodes, kind, autojump_clock):
    first = {'slow': slow, 'flickering': flickering}.get(kind, usual)

    def make_targets():
        if kind == 'turns':
            return {f't{n}': PlainTarget(taking_turns(n)) for n in range(3)}
        return {
            't0': PlainTarget(first),
            't1': PlainTarget(usual),
            't2': PlainTarget(usual),
        }

    reading, former = await run_fleets(make_targets, nodes)
    assert reading.late_share <= former.late_share / 2


# Nodes that read the same report must not all choose the same target.
@pytest.mark.parametrize('nodes', [1, 12, 76, 200])
async def test_equal_targets_share_requests(nodes, autojump_clock):
    def make_targets():
        return {f't{n}': PlainTarget(usual) for n in range(3)}

    reading, former = await run_fleets(make_targets, nodes)
    assert reading.late_share <= former.late_share
    assert reading.local >= former.local


# A target that reports the usual speed and answers slowly must not get more
# than without reports.
@pytest.mark.parametrize('nodes', [1, 12, 76, 200])
async def test_target_with_a_false_low_report(nodes, autojump_clock):
    def make_targets():
        return {
            't0': PlainTarget(slow, usual),
            't1': PlainTarget(usual),
            't2': PlainTarget(usual),
        }

    reading, former = await run_fleets(make_targets, nodes)
    assert reading.late_share <= 0.75 * former.late_share


# The others must not be overloaded on account of a target that answers well
# and reports that it is slow, or that reports nothing plausible.
@pytest.mark.parametrize('nodes', [1, 12, 76, 200])
@pytest.mark.parametrize('reported', [4.0, 99.0, 1e9, math.nan])
async def test_target_with_a_false_high_report(
    nodes, reported, autojump_clock
):
    targets = {
        't0': PlainTarget(usual, lambda now: reported),
        't1': PlainTarget(usual),
        't2': PlainTarget(usual),
    }
    fleet = Fleet(targets, nodes, uses_reports=True)
    await fleet.run(30)
    assert fleet.late_share <= 0.1


def test_response_times_correct_a_false_report():
    for reported, seconds in ((1.0, 4.0), (4.0, 1.0)):
        reports = Reports()
        others = [builders.make_target(f'o{n}') for n in range(4)]
        for _ in range(100):
            reports.now += 0.05
            for other in others:
                reports.report(1.0, target=other)
                reports.loads.record_response_time(other, 'r', 1.0, 1.0)
            reports.report(reported)
            reports.loads.record_response_time(TARGET, 'r', seconds, 1.0)
        corrected = reports.loads.slowdown(TARGET)
        if seconds > reported:
            assert corrected > 1.5
        else:
            assert corrected < 2.5
        assert reports.loads.slowdown(others[0]) == pytest.approx(1, abs=0.3)


@pytest.mark.parametrize(
    ('reported', 'shares'),
    [
        # Slots, slowdown and requests of each target.
        ([(6, 1.0, 0), (6, 1.0, 0)], [0.5, 0.5]),
        ([(6, 1.0, 5), (6, 4.0, 0)], [1.0, 0.0]),
        ([(6, 1.0, 24), (6, 4.0, 0)], [0.5, 0.5]),
        ([(6, 1.2, 0), (6, 1.0, 0)], [5 / 11, 6 / 11]),
        ([(1, 1.0, 0), (6, 1.0, 10_000)], [0.996, 0.004]),
        ([(6, 100.0, 0)], [1.0]),
    ],
)
def test_capacity_shares(reported, shares):
    found = _placement.capacity_shares(
        [_placement.ReportedCapacity(*each) for each in reported]
    )
    assert sum(found) == pytest.approx(1.0)
    assert found == pytest.approx(shares, abs=0.01)


@pytest.mark.parametrize('status', [200, 404, 429, 503, 500])
async def test_load_in_any_response_is_recorded(status):
    async def serve(connection, head, body):
        await connection.send(
            scripted.response(
                scripted.request_id(head),
                status=status,
                extra=b'x-load: 5,3.0'
                + (b'\r\nx-not-run: 1' if status in (429, 503) else b''),
            )
        )

    harness = gateway_harness.Harness(builders.make_route(max_attempts=1))
    async with harness.running(serve):
        await harness.send_request()
        [target] = harness.targets.by_id.values()
        assert harness.reported_loads.slowdown(target) == pytest.approx(2.0)
        assert harness.reported_loads.requests(target, 0) == 5


async def test_load_in_a_response_to_a_command_is_recorded():
    async def serve(connection, head, body):
        await connection.send(
            b'HTTP/1.1 202 X\r\nx-load: 5,3.0\r\ncontent-length: 0\r\n\r\n'
        )

    class Translation(gateway_harness.TranslationStub):
        def write_command(self, command, target):
            return b'POST', b'/order', [(b'host', b'h')], b'{}'

    reports = Reports()
    states = _target_states.TargetStates(
        trio.current_time,
        _target_limits.TargetLimits(lambda target_id: None),
        'vm1',
        _owners.Owners('vm1', frozenset, trio.current_time),
        lambda target_id: 0,
        lambda target: None,
        record_load=reports.loads.record,
    )
    async with scripted.ScriptedServer(serve).running() as server:
        client = _engine_client.EngineClient(
            http_client.Pool(0.5), Translation(), lambda *_: None, states
        )
        target = builders.make_target(port=server.port)
        await client.send_command(
            target,
            domain.Command(
                domain.CommandKind.LOAD, builders.adapter('a1'), 'vm1', 1, 0
            ),
        )
    assert reports.loads.slowdown(target) == pytest.approx(2.0)


def test_slowdowns_are_told_as_the_mean_of_the_nodes():
    def digest(slowdown, running):
        usages = (_messages.TargetUsage('t1', running, 0, (), slowdown),)
        return _messages.Digest(
            'h', 1, 'a', 1.0, True, False, {}, {}, usages, ()
        )

    digests = {
        'vm1': (1, digest(100, 0)),
        'vm2': (1, digest(300, 0)),
        'vm3': (1, digest(0, 2)),
    }
    aggregate = _aggregate.DigestAggregate(digests, digests['vm1'][1])
    for vm, running in (('vm1', 2), ('vm3', 0)):
        state = aggregate.centre_state(vm, 0, {}, frozenset())
        assert state.loads['t1'].slowdown == _centres.told_percent(2.0)
        assert state.loads['t1'].running == running
