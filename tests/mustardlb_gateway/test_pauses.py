"""Nodes that were stopped, or whose machine was suspended, for some seconds.

A stopped process finds all of its timers due. A suspended machine's monotonic
clock, which trio uses, stands still, but the time since boot goes on.
"""

import functools

import builders
import gateway_harness
import pytest
import simulated_store
import structlog
import test_app
import test_dispatch
import trio

from mustardlb_gateway import _centres
from mustardlb_gateway import _fleet
from mustardlb_gateway import _membership
from mustardlb_gateway import _messages
from mustardlb_gateway import _pauses
from mustardlb_gateway import domain
from mustardlb_gateway import http_client


class Clock:
    """Time since boot: trio's time and the suspensions."""

    def __init__(self):
        self.suspended = 0.0

    def __call__(self):
        return trio.current_time() + self.suspended


async def pause(kind, seconds, clock, autojump_clock):
    """Pause all tasks for some seconds."""
    if kind == 'suspended':
        clock.suspended += seconds
    else:
        autojump_clock.jump(seconds)
    await trio.lowlevel.checkpoint()


@pytest.mark.parametrize('kind', ['stopped', 'suspended'])
@pytest.mark.parametrize('seconds', [2, 10, 30])
async def test_store_is_asked_once_after_a_pause(
    kind, seconds, autojump_clock, nursery
):
    clock, calls = Clock(), []

    async def refresh():
        calls.append(clock())
        await trio.sleep(0.05)
        return True

    pauses = _pauses.Pauses(clock, refresh)
    nursery.start_soon(pauses.run)
    await trio.sleep(5)
    assert not calls
    await pause(kind, seconds, clock, autojump_clock)
    async with trio.open_nursery() as callers:
        for _ in range(20):
            callers.start_soon(pauses.ensure_current)
    assert pauses.is_current()
    assert pauses.is_confirmed()
    assert not pauses.is_settled()
    await trio.sleep(_pauses.SETTLE_SECONDS + 0.1)
    assert pauses.is_settled()
    assert len(calls) == 1


# A decision must not wait for the first timer after the pause.
@pytest.mark.parametrize('kind', ['stopped', 'suspended'])
async def test_pause_is_noticed_before_any_timer(
    kind, autojump_clock, nursery
):
    clock = Clock()

    async def refresh():
        await trio.sleep(0.05)
        return False

    pauses = _pauses.Pauses(clock, refresh)
    nursery.start_soon(pauses.run)
    await trio.sleep(1)
    ends = []
    pauses.on_pause(lambda: ends.append(clock()))
    if kind == 'suspended':
        clock.suspended += 2
    else:
        autojump_clock.jump(2)
    assert not pauses.is_current()
    assert not pauses.is_settled()
    assert ends == [clock()]
    # The store does not answer: what was known holds again, as in an outage.
    await pauses.ensure_current()
    assert not pauses.is_confirmed()
    await trio.sleep(_pauses.UNCONFIRMED_SECONDS)
    assert pauses.is_confirmed()


# A node whose event loop is blocked for a second and more all the time would
# go by the view of before the first time for ever.
async def test_slow_node_is_settled_after_some_pauses(autojump_clock, nursery):
    clock = Clock()

    async def refresh():
        await trio.lowlevel.checkpoint()
        return True

    pauses = _pauses.Pauses(clock, refresh)
    nursery.start_soon(pauses.run)
    await trio.sleep(1)
    settled = []
    for _ in range(6):
        clock.suspended += 1.5
        settled.append(pauses.is_settled())
        await trio.sleep(0.1)
    assert settled == [False] * 3 + [True] * 3
    # A single pause later counts again.
    await trio.sleep(5)
    clock.suspended += 1.5
    assert not pauses.is_settled()


# trio's clock does not count how long a connection rested in a suspension.
async def test_idle_connections_are_closed_at_a_pause(autojump_clock, nursery):
    closed = []
    clock = Clock()

    async def refresh():
        await trio.lowlevel.checkpoint()
        return True

    class Connection:
        def __init__(self, name):
            self.name = name

        def mark_unused(self):
            pass

        def close(self):
            closed.append(self.name)

    pool = http_client.Pool(0.5)
    pool.add_idle('t1', Connection('t1'))
    pool.add_idle('t2', Connection('t2'))
    pauses = _pauses.Pauses(clock, refresh)
    pauses.on_pause(pool.close_idle)
    nursery.start_soon(pauses.run)
    await trio.sleep(1)
    clock.suspended += 10
    await pauses.ensure_current()
    assert closed == ['t1', 't2']
    assert pool.take_idle('t1') is None


# A target left or restarted between its choice and the request.
@pytest.mark.parametrize('change', ['removed', 'draining', 'restarted'])
async def test_target_that_left_during_a_pause_gets_no_request(change):
    harness = gateway_harness.Harness(builders.make_route())
    changes = {
        'removed': {},
        'draining': {'state': domain.TargetState.DRAINING},
        'restarted': {'incarnation': 77},
    }

    def on_send():
        if change == 'removed':
            harness.set_targets(excluded='t0')
        else:
            harness.set_targets(**changes[change])

    async with harness.running(test_app.respond_ok) as harness:
        harness.on_send = on_send
        response = await harness.send_request()
    assert response.status in (200, 503)
    if response.status == 503:
        assert harness.request_count == 0
    assert (response.status == 200) == (change == 'restarted')


# trio's clock did not count a suspension of the machine, so that a permit of
# half a minute ago was used.
@pytest.mark.parametrize('seconds', [0.5, 2.0, 30.0])
async def test_permit_expires_during_a_suspension(seconds, monkeypatch):
    harness = gateway_harness.Harness(builders.make_route(timeout=60.0))
    clock = Clock()
    harness.permits._clock = harness.gateway._clock = clock
    harness.dispatcher._exchange._clock = clock
    asked = []

    async def ask(notice, request_id):
        await trio.lowlevel.checkpoint()
        asked.append(request_id)
        return 0.0

    harness.permits._ask = ask

    def on_send():
        if len(asked) == 1:
            clock.suspended += seconds

    async with harness.running(test_app.respond_ok) as harness:
        target = harness.targets.by_id['t0']
        harness.target_limits.record_response(target, 5.0, 0.0)
        harness.on_send = on_send
        response = await harness.send_request(b'x-wait: 60\r\n')
    assert response.status == 200
    assert len(asked) == (1 if seconds < 1 else 2)


# The owner permits the next trial after ten seconds, while this one had not
# been sent yet.
@pytest.mark.parametrize('seconds', [2.0, 10.0, 30.0])
async def test_trial_expires_during_a_suspension(seconds):
    harness = gateway_harness.Harness(builders.make_route(timeout=60.0))
    clock = Clock()
    harness.permits._clock = harness.gateway._clock = clock
    harness.dispatcher._exchange._clock = clock
    harness.permits_trials = True

    def on_send():
        clock.suspended += seconds

    async with harness.running(test_app.respond_ok) as harness:
        test_dispatch.quarantine_calls(harness)
        harness.on_send = on_send
        response = await harness.send_request(b'x-wait: 60\r\n')
        assert response.status == (200 if seconds < 5 else 503)
        assert harness.request_count == (1 if seconds < 5 else 0)


# trio's deadline came late by the suspension, so that a request was run whose
# client had left long before.
@pytest.mark.parametrize('seconds', [2.0, 10.0, 30.0])
async def test_deadline_counts_a_suspension(seconds):
    harness = gateway_harness.Harness(builders.make_route(timeout=5.0))
    clock = Clock()
    harness.gateway._clock = clock
    harness.dispatcher._exchange._clock = clock

    def on_send():
        clock.suspended += seconds

    async with harness.running(test_app.respond_ok) as harness:
        harness.on_send = on_send
        started_at = trio.current_time()
        response = await harness.send_request(b'x-wait: 5\r\n')
        assert trio.current_time() - started_at < 1
        assert response.status == (200 if seconds < 5 else 503)
        assert harness.request_count == (1 if seconds < 5 else 0)


class SilentStore(simulated_store.SimulatedStore):
    """A store whose watches do not tell of changes while `is_silent`."""

    is_silent = False

    async def watch(self, kind, revision, wait):
        changes = await super().watch(kind, revision, wait)
        while wait and self.is_silent:
            await trio.sleep(0.05)
        return changes


# The store had acknowledged the draining long before the request was sent.
async def test_node_asks_the_store_before_it_sends_after_a_pause(monkeypatch):
    clock = Clock()
    monkeypatch.setattr(
        test_app.app,
        'Node',
        functools.partial(test_app.app.Node, clock=clock),
    )
    cluster = test_app.Cluster(test_app.respond_ok)
    cluster.store = SilentStore()
    cluster.put_configuration(timeout=5.0)
    async with cluster.running():
        cluster.put_target()
        (node,) = cluster.nodes
        await test_app.wait_until(lambda: test_app.is_ready(node))
        response = await test_app.send_request(node.settings.front_port)
        assert response.status == 200
        cluster.store.is_silent = True
        cluster.put_target('draining')
        clock.suspended += 10
        with structlog.testing.capture_logs() as logs:
            response = await test_app.send_request(
                node.settings.front_port, request_id='r2'
            )
        assert response.status == 503
        assert len(cluster.target.requests) == 1
        assert 'MLB-6250' in {each['event'] for each in logs}


def make_digest(vm):
    return _messages.Digest(
        vm.host, vm.port, 'a', 1.0, True, False, {}, {}, (), ()
    )


# A node that woke up took itself for the only one until digests arrived, so
# that it decided for all and took the shares of all; as a hub it told the
# others that nobody lives.
@pytest.mark.parametrize('kind', ['stopped', 'suspended'])
@pytest.mark.parametrize('seconds', [2, 10, 30])
async def test_other_nodes_are_not_lost_by_a_pause(
    kind, seconds, autojump_clock, nursery
):
    clock = Clock()

    async def refresh():
        await trio.lowlevel.checkpoint()
        return True

    pauses = _pauses.Pauses(clock, refresh)
    vms = [
        _centres.Vm(f'vm{number}', 'h', 1, 'a', 9.0 - number)
        for number in range(4)
    ]
    membership = _membership.Membership(vms[0], clock, pauses.is_settled)
    fleet = _fleet.Fleet(membership, 1, lambda: make_digest(vms[0]), clock)
    sequence = 0

    def receive():
        nonlocal sequence
        sequence += 1
        for vm in vms[1:]:
            digest = make_digest(vm)
            message = _messages.Message(vm.vm, 1, sequence, digest)
            fleet.receive_digest(message, digest)

    nursery.start_soon(pauses.run)
    await trio.sleep(0.1)
    receive()
    fleet.refresh_view()
    assert membership.live == {'vm1', 'vm2', 'vm3'}
    assert membership.has_quorum()
    told = fleet.state_for('vm3')['a'].members.keys()
    await pause(kind, seconds, clock, autojump_clock)
    fleet.refresh_view()
    assert membership.live == {'vm1', 'vm2', 'vm3'}
    assert fleet.state_for('vm3')['a'].members.keys() == told
    # Others may have taken over its engines.
    assert not membership.has_quorum()
    await trio.sleep(_pauses.SETTLE_SECONDS / 2)
    receive()
    await trio.sleep(_pauses.SETTLE_SECONDS / 2 + 0.1)
    fleet.refresh_view()
    assert membership.live == {'vm1', 'vm2', 'vm3'}
    assert membership.has_quorum()
    # Those that do not answer after the pause are lost as usual.
    await trio.sleep(0.25)
    for _ in range(20):
        await trio.sleep(0.5)
    fleet.refresh_view()
    assert not membership.live
