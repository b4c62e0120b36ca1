"""Targets that say that they leave, in answers that one node relays."""

import cut_links
import scripted
import test_unreachable_targets
import trio


class LeavingTarget:
    """Says in its answers that it leaves, from some time on.

    :ivar arrivals: trio time of each request
    :ivar told_at: when it first said so
    """

    def __init__(self):
        self.is_leaving = False
        self.arrivals = []
        self.told_at = None

    async def serve(self, connection, head, body):
        self.arrivals.append(trio.current_time())
        extra = b''
        if self.is_leaving:
            extra = b'x-leaving: 1'
            self.told_at = self.told_at or trio.current_time()
        await connection.send(
            scripted.response(scripted.request_id(head), extra=extra)
        )


async def test_relaying_node_sends_nothing_to_a_target_that_leaves():
    """The node had passed on the notice without knowing of it."""
    leaving = LeavingTarget()
    site = test_unreachable_targets.Site()
    async with (
        scripted.ScriptedServer(leaving.serve).running() as server,
        site.running(nodes=2),
    ):
        links = [cut_links.Link(server.port) for _ in range(2)]
        async with links[0].running(), links[1].running():
            for by_port, link in zip(site.links_by_node, links, strict=True):
                by_port[server.port] = link
            spec = {'port': server.port, 'state': 'ready'}
            site.cluster.store.put('servers', 'leaving', spec)
            await trio.sleep(0.5)
            await links[0].cut('reset')
            assert await site.send_requests(0, 20) == [200] * 20
            assert leaving.arrivals
            leaving.is_leaving = True
            while leaving.told_at is None:
                await site.send_requests(0, 1)
            await trio.sleep(0.3)
            before = len(leaving.arrivals)
            assert await site.send_requests(1, 40, 0.01) == [200] * 40
            assert len(leaving.arrivals) == before


async def test_node_relays_nothing_to_a_target_that_has_told_it_of_leaving():
    """Requests of a node without the notice went by way of one with it."""
    leaving = LeavingTarget()
    site = test_unreachable_targets.Site()
    async with (
        scripted.ScriptedServer(leaving.serve).running() as server,
        site.running(nodes=2),
    ):
        links = [cut_links.Link(server.port) for _ in range(2)]
        async with links[0].running(), links[1].running():
            for by_port, link in zip(site.links_by_node, links, strict=True):
                by_port[server.port] = link
            spec = {'port': server.port, 'state': 'ready'}
            site.cluster.store.put('servers', 'leaving', spec)
            await trio.sleep(0.5)
            leaving.is_leaving = True
            while leaving.told_at is None:
                await site.send_requests(1, 1)
            await links[0].cut('reset')
            before = len(leaving.arrivals)
            assert await site.send_requests(0, 40, 0.02) == [200] * 40
            assert len(leaving.arrivals) == before


async def test_node_with_an_open_relay_is_told_that_the_target_leaves():
    """Further requests went over a connection that was relayed already."""
    leaving = LeavingTarget()
    site = test_unreachable_targets.Site()
    async with (
        scripted.ScriptedServer(leaving.serve).running() as server,
        site.running(nodes=2),
    ):
        links = [cut_links.Link(server.port) for _ in range(2)]
        async with links[0].running(), links[1].running():
            for by_port, link in zip(site.links_by_node, links, strict=True):
                by_port[server.port] = link
            spec = {'port': server.port, 'state': 'ready'}
            site.cluster.store.put('servers', 'leaving', spec)
            await trio.sleep(0.5)
            await links[0].cut('reset')
            assert await site.send_requests(0, 20) == [200] * 20
            assert leaving.arrivals
            leaving.is_leaving = True
            while leaving.told_at is None:
                await site.send_requests(1, 1)
            await trio.sleep(0.3)
            before = len(leaving.arrivals)
            assert await site.send_requests(0, 40, 0.02) == [200] * 40
            assert len(leaving.arrivals) == before
