"""What targets say of themselves, and how nodes keep to it."""

import collections
import random

import builders
import gateway_harness
import pytest
import scripted
import trio

from mustardlb_gateway import _owners
from mustardlb_gateway import _target_limits
from mustardlb_gateway import _target_states
from mustardlb_gateway import domain

TARGET = builders.make_target()

# Bounds of the platform: targets may fall over this often in one time in
# which they are brittle, and a share of their number more.
MAX_FALLS = 2
MAX_FALLS_RATIO = 0.1


def make_info(**fields):
    return domain.ResponseInfo('r', False, True, **fields)


def make_states(
    clock,
    number=0,
    nodes=1,
    in_flight=lambda target_id: 0,
    limits=None,
):
    vm = f'vm{number}'
    others = frozenset(f'vm{each}' for each in range(nodes)) - {vm}
    return _target_states.TargetStates(
        clock,
        limits or _target_limits.TargetLimits(lambda target_id: None),
        vm,
        _owners.Owners(vm, lambda: others, clock),
        in_flight,
        lambda target: None,
        random.Random(0),
    )


@pytest.mark.parametrize(
    ('status', 'asked', 'rest'),
    [
        (503, 3.0, 3.0),
        (503, 0.25, 0.25),
        (503, 0.0, 0.0),
        (503, None, 0.0),
        (200, 3.0, 0.0),
        (429, 3.0, 0.0),
        (503, 1e9, _target_states.MAX_REST_SECONDS),
    ],
)
def test_rest_is_kept_to_and_ends(status, asked, rest):
    now = [100.0]
    states = make_states(lambda: now[0])
    assert states.record_response(TARGET, status, make_info(rest=asked)) == (
        rest
    )
    assert states.rest(TARGET) == pytest.approx(rest)
    # A shorter wish does not end a longer one.
    states.record_response(TARGET, 503, make_info(rest=0.01))
    assert states.rest(TARGET) >= rest
    assert states.takes_requests(builders.make_target(incarnation=2))
    now[0] += rest + 0.02
    assert states.takes_requests(TARGET)


def test_peers_cannot_make_a_node_rest_for_ever():
    states = make_states(lambda: 0.0)
    for seconds in (float('nan'), float('-inf'), -1.0):
        states.record_rest('t1', 1, seconds)
        assert states.takes_requests(TARGET)
    states.record_rest('t1', 1, float('inf'))
    assert states.rest(TARGET) == _target_states.MAX_REST_SECONDS


class BrittleTarget:
    """Falls over when it rejects too many requests in a second."""

    def __init__(self, slots, max_rejections):
        self.slots = slots
        self.max_rejections = max_rejections
        self.running = 0
        self.rejected_at = []
        self.falls = 0
        self.down_until = 0.0

    async def serve(self, seconds):
        """Return the status of a request, None if the target is down."""
        now = trio.current_time()
        if now < self.down_until:
            return None
        if self.running >= self.slots:
            self.rejected_at = [at for at in self.rejected_at if at > now - 1]
            self.rejected_at.append(now)
            if len(self.rejected_at) > self.max_rejections:
                self.falls += 1
                self.down_until = now + 3
                self.rejected_at = []
            return 503
        self.running += 1
        await trio.sleep(seconds)
        self.running -= 1
        return 200


# Targets fall over if the nodes send them more than they have room for.
@pytest.mark.parametrize('nodes', [1, 7, 40, 200, 380])
@pytest.mark.parametrize('max_rejections', [5, 20])
async def test_brittle_targets_are_not_overrun(
    nodes, max_rejections, autojump_clock
):
    rng = random.Random(nodes)
    sound = [builders.make_target(f't{n}', slots=8) for n in range(6)]
    brittle = {
        each.target_id: BrittleTarget(each.slots, max_rejections)
        for each in sound
    }
    own = [collections.Counter() for _ in range(nodes)]
    # What the nodes know of each target, as notices tell them.
    limits = [
        _target_limits.TargetLimits(lambda target_id: 1, trio.current_time)
        for _ in range(nodes)
    ]
    states = [
        make_states(
            trio.current_time,
            n,
            nodes,
            own[n].__getitem__,
            limits[n],
        )
        for n in range(nodes)
    ]

    async def exchange_notices():
        while True:
            await trio.sleep(0.5)
            for one in limits:
                limits[0].add(one.own_notice_by_key)
            for one in limits:
                one.add(limits[0].notice_by_key)

    served = 0

    async def send(number):
        nonlocal served
        node = states[number]
        free = [each for each in sound if node.takes_requests(each)]
        if not free:
            return
        target = rng.choice(free)
        own[number][target.target_id] += 1
        status = await brittle[target.target_id].serve(rng.uniform(0.1, 0.5))
        own[number][target.target_id] -= 1
        if status is not None:
            info = make_info(max_rejections=float(max_rejections))
            node.record_response(target, status, info)
            limits[number].record_response(
                target, None, 0.0, info.max_rejections
            )
        served += status == 200

    async with trio.open_nursery() as nursery:
        nursery.start_soon(exchange_notices)
        # They say so some time before they have less room. Then twice as many
        # requests come as they have room for.
        for count, ratio in ((150, 0.3), (6000, 2)):
            for _ in range(count):
                nursery.start_soon(send, rng.randrange(nodes))
                await trio.sleep(rng.expovariate(ratio * 48 / 0.3))
        nursery.cancel_scope.cancel()
    falls = sum(each.falls for each in brittle.values())
    assert falls <= MAX_FALLS + MAX_FALLS_RATIO * len(brittle)
    # Not by refusing nearly everything: they have room for about 3,000.
    assert served > 1000


async def test_calls_are_rejected_at_once_if_all_targets_rest():
    async def rest(connection, head, body):
        await connection.send(
            scripted.response(
                scripted.request_id(head),
                status=503,
                extra=b'x-not-run: 1\r\nx-rest: 1.5',
            )
        )

    harness = gateway_harness.Harness(builders.make_route(timeout=2.0))
    async with harness.running(rest, rest):
        first = await harness.send_request()
        assert first.status == 503
        before = harness.request_count
        started_at = trio.current_time()
        response = await harness.send_request(request_id=b'r2')
        assert response.status == 503
        assert b'retry-after' in response.headers
        assert trio.current_time() - started_at < 0.2
        assert harness.request_count == before


async def test_leaving_target_gets_no_further_requests():
    async def leave(connection, head, body):
        await connection.send(
            scripted.response(scripted.request_id(head), extra=b'x-leaving: 1')
        )

    async def serve(connection, head, body):
        await connection.send(scripted.response(scripted.request_id(head)))

    harness = gateway_harness.Harness(builders.make_route())
    async with harness.running(leave, serve):
        for number in range(20):
            response = await harness.send_request(request_id=b'r%d' % number)
            assert response.status == 200
        assert len(harness.scripted[0].requests) <= 1
        # The store does not know yet, and renews the registration.
        harness.set_targets()
        await harness.send_request(request_id=b'last')
        assert len(harness.scripted[0].requests) <= 1


# A node counts a request before it is sent, which must not fill its share.
async def test_brittle_target_with_one_slot_is_served():
    async def serve(connection, head, body):
        await connection.send(
            scripted.response(scripted.request_id(head), extra=b'x-brittle: 2')
        )

    harness = gateway_harness.Harness(builders.make_route())
    async with harness.running(serve, slots=1):
        for number in range(5):
            response = await harness.send_request(request_id=b'r%d' % number)
            assert response.status == 200
