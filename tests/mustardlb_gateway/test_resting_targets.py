"""Targets that reject requests and ask the node for rest.

The platform permits two requests to such a target between half a second
after it asked and the end of the time that it asked for.
"""

import cut_links
import scripted
import test_unreachable_targets
import trio

REST_SECONDS = 3.0
GRACE_SECONDS = 0.5
MAX_REQUESTS_IN_REST = 2


class RestingTarget:
    """Rejects all requests with a wish for rest once it is overloaded.

    :ivar asked_at: when it first asked for rest
    :ivar arrivals: trio time of each request
    """

    def __init__(self):
        self.is_overloaded = False
        self.asked_at = None
        self.arrivals = []

    async def serve(self, connection, head, body):
        self.arrivals.append(trio.current_time())
        request_id = scripted.request_id(head)
        if not self.is_overloaded:
            await connection.send(scripted.response(request_id))
            return
        if self.asked_at is None:
            self.asked_at = trio.current_time()
        rest = b'x-not-run: 1\r\nx-rest: %.1f' % REST_SECONDS
        await connection.send(
            scripted.response(request_id, status=503, extra=rest)
        )

    def requests_in_rest(self):
        since = self.asked_at + GRACE_SECONDS
        until = self.asked_at + REST_SECONDS
        return sum(since <= at < until for at in self.arrivals)


# A target that had asked for 3 s of rest got 4 requests in that time, since
# nodes did not read what it asked for.
async def test_resting_target_gets_no_requests():
    resting = RestingTarget()
    site = test_unreachable_targets.Site()
    async with (
        scripted.ScriptedServer(resting.serve).running() as server,
        site.running(nodes=1),
    ):
        link = cut_links.Link(server.port)
        async with link.running():
            site.links_by_node[0][server.port] = link
            spec = {'port': server.port, 'state': 'ready'}
            site.cluster.store.put('servers', 'resting', spec)
            await trio.sleep(0.5)
            await site.send_requests(0, 20)
            assert resting.arrivals
            resting.is_overloaded = True
            statuses = await site.send_requests(0, 60)
    assert resting.requests_in_rest() <= MAX_REQUESTS_IN_REST
    # The other targets take what this one does not.
    assert statuses.count(200) >= 58
