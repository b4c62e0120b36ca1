"""Nodes before targets, one of which names a limit in its responses.

The platform permits EXCESS_RATIO times what the limit allows in WINDOW_SECONDS
and EXCESS_REQUESTS more, later than STABLE_SECONDS after the target first
named it, over all nodes that have passed on such a response.
"""

import contextlib

import scripted
import test_app
import trio

LIMIT = 2.0
WINDOW_SECONDS = 4.0
STABLE_SECONDS = 3.0
EXCESS_RATIO = 1.5
EXCESS_REQUESTS = 5


class LimitedTarget:
    """A target that names a limit from the start.

    :ivar arrivals: trio time of each request
    """

    def __init__(self):
        self.arrivals = []
        self.is_limited = True

    async def serve(self, connection, head, body):
        self.arrivals.append(trio.current_time())
        limit = b'x-limit: %.1f' % LIMIT if self.is_limited else b''
        await trio.sleep(0.01)
        await connection.send(
            scripted.response(scripted.request_id(head), extra=limit)
        )

    def most_in_a_window(self):
        """Return the most requests in a window from STABLE_SECONDS on."""
        arrivals = self.arrivals
        since = arrivals[0] + STABLE_SECONDS
        return max(
            sum(begin <= at < begin + WINDOW_SECONDS for at in arrivals)
            for begin in arrivals
            if begin >= since
        )


# A target that named 1.6 requests a second got 19 in four seconds, since no
# node read the limit.
async def test_target_gets_no_more_requests_than_its_limit():
    cluster = test_app.Cluster(test_app.respond_ok)
    cluster.put_configuration(timeout=2.0)
    limited = LimitedTarget()
    statuses = []
    async with (
        scripted.ScriptedServer(limited.serve).running() as server,
        cluster.running(nodes=3),
        trio.open_nursery() as nursery,
    ):
        cluster.put_target()
        spec = {'port': server.port, 'state': 'ready'}
        cluster.store.put('servers', 't2', spec)
        for node in cluster.nodes:
            await test_app.wait_until(
                lambda node=node: test_app.is_ready(node)
            )
        await test_app.wait_until(lambda: test_app.are_all_connected(cluster))

        async def send(port):
            with contextlib.suppress(OSError):
                statuses.append((await test_app.send_request(port)).status)

        for number in range(200):
            front = cluster.nodes[number % 3].settings.front_port
            nursery.start_soon(send, front)
            await trio.sleep(0.05)
        await trio.sleep(0.2)
    allowed = EXCESS_RATIO * LIMIT * WINDOW_SECONDS + EXCESS_REQUESTS
    assert limited.most_in_a_window() <= allowed
    # The other target takes what this one does not.
    assert statuses.count(200) >= 0.98 * len(statuses) > 190
    assert len(limited.arrivals) >= 0.5 * LIMIT * 10
