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
import trio

from mustardlb_gateway import _pauses
from mustardlb_gateway import domain


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
