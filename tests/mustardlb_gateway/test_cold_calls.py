"""Calls to cold targets over real connections.

The platform permits 7.2 x 1.5 + 5 requests to a cold target in any second,
of all nodes together. The load is more calls than that at once, or a rate of
calls above it.
"""

import contextlib

import builders
import cold_fleet
import gateway_harness
import pytest
import scripted
import test_app
import trio

from mustardlb_gateway import domain

BOUND = cold_fleet.BOUND
SERVICE = {'cold_start': 3.0, 'cold_per_second': cold_fleet.PER_SECOND}


class ColdTarget:
    """Records the time of each request.

    :ivar warm_at: when it is no longer cold
    """

    def __init__(self, extra=b''):
        self.arrivals = []
        self.warm_at = float('inf')
        self.extra = extra

    async def serve(self, connection, head, body):
        self.arrivals.append(trio.current_time())
        await connection.send(
            scripted.response(scripted.request_id(head), extra=self.extra)
        )

    def most_in_a_second(self):
        """Return the most requests in a second while it was cold."""
        arrivals = [at for at in self.arrivals if at < self.warm_at]
        return max(
            (
                sum(begin <= at < begin + 1.0 for at in arrivals)
                for begin in arrivals
            ),
            default=0,
        )


def make_harness(engine=False, **route):
    harness = gateway_harness.Harness(
        builders.make_route(timeout=6.0, **route), engine=engine
    )
    harness.service = builders.make_service(engine=engine, **SERVICE)
    harness.configuration = builders.make_configuration(
        routes=[builders.make_route(timeout=6.0, **route)],
        services=[harness.service],
    )
    return harness


async def maintain(harness):
    while True:
        harness.cold.remove_gone()
        harness.cold_permits.remove_gone()
        await trio.sleep(0.25)


async def send_calls(harness, count, headers=b'x-wait: 6\r\n', interval=0.01):
    responses = []

    async def send(number):
        responses.append(await harness.send_request(headers, b'r%d' % number))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(maintain, harness)
        async with trio.open_nursery() as calls:
            for number in range(count):
                calls.start_soon(send, number)
                await trio.sleep(interval)
        nursery.cancel_scope.cancel()
    return responses


# Guards against calls that overrun a target that has just started, and
# against calls that are rejected although their deadline allows a permit.
@pytest.mark.parametrize('engine', [False, True])
async def test_calls_wait_for_permits_of_a_cold_target(engine):
    target = ColdTarget()
    harness = make_harness(engine)
    headers = b'x-wait: 6\r\n' + (b'x-adapter: a1\r\n' if engine else b'')
    async with harness.running(target.serve):
        target.warm_at = trio.current_time() + SERVICE['cold_start']
        responses = await send_calls(harness, 25, headers)
    assert [each.status for each in responses] == [200] * 25
    assert target.most_in_a_second() <= BOUND
    assert target.arrivals[14] - target.arrivals[0] > 1.0


# Guards against calls that take the target with the fewest requests, which is
# the cold one, and wait there while another one has room.
async def test_cold_target_is_not_taken_for_the_least_loaded():
    cold, warm = ColdTarget(), ColdTarget()
    harness = make_harness()
    async with harness.running(cold.serve, warm.serve):
        await trio.sleep(SERVICE['cold_start'])
        harness.cold.record_response(harness.targets.by_id['t0'], 3.0)
        began = trio.current_time()
        cold.warm_at = began + 3.0
        responses = await send_calls(harness, 60, interval=0.02)
        seconds = trio.current_time() - began
    assert [each.status for each in responses] == [200] * 60
    assert seconds < 60 * 0.02 + 0.5
    assert cold.most_in_a_second() <= BOUND
    assert len(warm.arrivals) > 30


# Guards against retries that go to a cold target without a permit.
async def test_retry_needs_a_permit():
    async def fail(connection, head, body):
        await connection.reset()

    target = ColdTarget()
    harness = make_harness()
    async with harness.running(fail, target.serve):
        await trio.sleep(SERVICE['cold_start'])
        harness.cold.record_response(harness.targets.by_id['t1'], 3.0)
        target.warm_at = trio.current_time() + 3.0
        await send_calls(harness, 40)
    assert target.most_in_a_second() <= BOUND


# Guards against a call that was to be sent to a warm target, which became
# cold while the connection was opened.
async def test_call_is_withheld_if_the_target_became_cold():
    target = ColdTarget()
    harness = make_harness()
    links = harness.dispatcher._exchange._links
    acquire = links.acquire
    sent = []

    async def acquire_slowly(chosen, request_id):
        connection = await acquire(chosen, request_id)
        if not sent:
            sent.append(chosen)
            harness.cold.record_response(chosen, 0.8)
            assert not harness.cold_permits.may_send(chosen, None)
        return connection

    links.acquire = acquire_slowly
    async with harness.running(target.serve):
        await trio.sleep(SERVICE['cold_start'])
        began = trio.current_time()
        response = await harness.send_request()
    assert response.status == 200
    # It has waited for the first permit.
    assert target.arrivals[0] - began > 0.1
    assert len(target.arrivals) == 1


# Guards against a limit that stays although the target is warm, and against
# one where the service has none.
@pytest.mark.parametrize('has_limit', [False, True])
async def test_warm_target_gets_all_calls(has_limit):
    target = ColdTarget()
    harness = make_harness()
    if not has_limit:
        harness.service = builders.make_service(engine=False)
        harness.configuration = builders.make_configuration(
            routes=[builders.make_route()], services=[harness.service]
        )
    async with harness.running(target.serve):
        if has_limit:
            await trio.sleep(SERVICE['cold_start'])
        responses = await send_calls(harness, 60, b'')
    assert [each.status for each in responses] == [200] * 60
    assert target.most_in_a_second() > 2 * BOUND


# Guards against a target whose responses say that it is cold again, which
# only some nodes get to read.
async def test_all_nodes_learn_that_a_target_is_cold_again():
    target = ColdTarget()
    cluster = test_app.Cluster(target.serve)
    cluster.put_configuration(timeout=3.0, kind='idempotent', service=SERVICE)
    limits = {'cold_limit_ratio': 1.5, 'cold_limit_slack': 5.0}
    async with cluster.running(nodes=3, **limits):
        cluster.put_target()
        for node in cluster.nodes:
            await test_app.wait_until(
                lambda node=node: test_app.is_ready(node)
            )
        await test_app.wait_until(lambda: test_app.are_all_connected(cluster))
        await trio.sleep(SERVICE['cold_start'])
        target.extra = b'x-cold: 3.0'
        await test_app.send_request(cluster.nodes[0].settings.front_port)
        target.extra = b''
        began = trio.current_time()
        await trio.sleep(0.2)
        for node in cluster.nodes:
            found = node.targets.by_id['t1']
            assert node._cold_permits.is_cold(found)
        async with trio.open_nursery() as nursery:

            async def send(node):
                with contextlib.suppress(OSError):
                    await test_app.send_request(node.settings.front_port)

            for number in range(100):
                nursery.start_soon(send, cluster.nodes[number % 3])
                await trio.sleep(0.02)
        arrivals = [at for at in target.arrivals if began < at < began + 2.5]
    target.arrivals = arrivals
    assert target.most_in_a_second() <= BOUND
    assert len(arrivals) >= 0.6 * cold_fleet.PER_SECOND * 1.8


# Guards against nodes that overrun a target which has started again, as they
# learn of it one after the other.
async def test_restarted_target_is_not_overrun_by_all_nodes():
    target = ColdTarget()
    cluster = test_app.Cluster(target.serve)
    cluster.put_configuration(timeout=3.0, kind='idempotent', service=SERVICE)
    limits = {'cold_limit_ratio': 1.5, 'cold_limit_slack': 5.0}
    async with cluster.running(nodes=3, **limits):
        cluster.put_target()
        for node in cluster.nodes:
            await test_app.wait_until(
                lambda node=node: test_app.is_ready(node)
            )
        await test_app.wait_until(lambda: test_app.are_all_connected(cluster))
        await trio.sleep(SERVICE['cold_start'])
        spec = {
            'port': cluster.target.port,
            'state': domain.TargetState.READY.value,
            'incarnation': 2,
            'cold_remaining': 3.0,
        }
        cluster.store.put('servers', 't1', spec)
        await trio.sleep(1.5)
        began = trio.current_time()
        async with trio.open_nursery() as nursery:

            async def send(node):
                with contextlib.suppress(OSError):
                    await test_app.send_request(node.settings.front_port)

            for number in range(60):
                nursery.start_soon(send, cluster.nodes[number % 3])
                await trio.sleep(0.02)
            nursery.cancel_scope.cancel()
        metrics = await test_app.send_request(
            cluster.nodes[0].settings.metrics_port
        )
    target.arrivals = [at for at in target.arrivals if at > began]
    assert target.most_in_a_second() <= BOUND
    assert len(target.arrivals) >= 4
    assert b'mustardlb_cold_targets 1.0' in metrics.body
