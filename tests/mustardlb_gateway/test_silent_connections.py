"""Connections between nodes that pass nothing more while new ones work."""

import contextlib
import dataclasses

import builders
import memory_network
import peer_nodes
import pytest
import soak_proxy
import trio

from mustardlb_gateway import _membership
from mustardlb_gateway import _messages

# Until views, counters and revisions are current again.
RECOVERY_SECONDS = 2.0

WANT = _messages.Want('t1', builders.adapter('a1'), 0, 1.0, 0.5)


class Node(peer_nodes.Node):
    """A node whose address for the others is that of a proxy."""

    def __init__(self, vm, data_centre='a', capacity=1.0):
        super().__init__(vm, data_centre, capacity)
        self.proxy = soak_proxy.Proxy(self.vm.port)
        self.revisions = {'config': 1}

    @property
    def address(self):
        return dataclasses.replace(self.vm, port=self.proxy.port)

    def digest(self):
        return dataclasses.replace(
            super().digest(), port=self.proxy.port, revisions=self.revisions
        )


@contextlib.asynccontextmanager
async def running(nodes):
    async with contextlib.AsyncExitStack() as stack:
        for node in nodes:
            await stack.enter_async_context(node.proxy.running())
        for node in nodes:
            for other in nodes:
                node.membership.add(other.address)
        await stack.enter_async_context(peer_nodes.running(*nodes))
        count = len(nodes) - 1
        await peer_nodes.wait_until(
            lambda: all(len(n.peers.alive()) == count for n in nodes)
        )
        # A node's first counters add nothing, so every node must have them.
        await trio.sleep(0.6)
        yield


def silence(nodes):
    for node in nodes:
        node.proxy.silence()


async def test_views_are_current_soon_after_all_connections_fell_silent():
    """Guards against nodes that go on with counters and views of before."""
    nodes = [Node(f'vm{n}', 'a', 10.0 - n) for n in range(5)]
    async with running(nodes):
        silence(nodes)
        nodes[4].admitted['acme'] = 3.0
        nodes[4].peers.send_digest_now()
        await trio.sleep(RECOVERY_SECONDS)
        assert [node.remote_admitted for node in nodes[:4]] == [3.0] * 4
        assert [len(node.peers.alive()) for node in nodes] == [4] * 5


async def test_each_hub_hears_a_node_again_soon():
    """Guards against a silent connection to the hub without the feed."""
    nodes = [Node(f'vm{n}', 'a', 10.0 - n) for n in range(4)]
    async with running(nodes):
        hubs = nodes[:2]
        (feed_hub,) = nodes[3].fleet.select_feeds()
        (other,) = (hub for hub in hubs if hub.vm.vm != feed_hub)
        other.proxy.silence()
        await trio.sleep(RECOVERY_SECONDS)
        assert 'vm3' in other.peers.alive()
        other.revision_senders.clear()
        await trio.sleep(0.6)
        assert 'vm3' in other.revision_senders


async def test_request_after_a_silent_one_gets_its_response():
    """Guards against a connection on which each request waits in vain."""
    nodes = [Node(f'vm{n}', 'a', 10.0 - n) for n in range(5)]
    async with running(nodes):
        # No node keeps a connection to the last one.
        answer = _messages.Wanted(True)
        assert await nodes[3].peers.request('vm4', WANT) == answer
        silence(nodes)
        started_at = trio.current_time()
        assert await nodes[3].peers.request('vm4', WANT) is None
        assert trio.current_time() - started_at < 1.2
        assert await nodes[3].peers.request('vm4', WANT) == answer


async def test_slow_response_does_not_close_the_connection():
    """Guards against taking a node that works on a request for silent."""

    async def handle_request(message):
        await trio.sleep(1.3)
        return _messages.Wanted(True)

    nodes = [Node(f'vm{n}', 'a', 10.0 - n) for n in range(4)]
    nodes[3].peers._handle_request = handle_request
    async with running(nodes):
        response = await nodes[2].peers.request('vm3', WANT)
        assert response == _messages.Wanted(True)


async def test_idle_connections_are_kept(monkeypatch, autojump_clock):
    """Guards against replacing connections that have nothing to carry."""
    network = memory_network.Network(monkeypatch)
    nodes = peer_nodes.make_fleet('ab', 10)
    async with peer_nodes.running(*nodes):
        await trio.sleep(3)
        for node in nodes:
            await node.peers.request(nodes[7].vm.vm, WANT)
        opened = len(network.links)
        await trio.sleep(10)
        assert len(network.links) == opened


@pytest.mark.parametrize(
    ('centres', 'per_centre'), [('ab', 10), ('ab', 38), ('abcde', 40)]
)
async def test_fleets_recover_from_silence(
    centres, per_centre, monkeypatch, autojump_clock
):
    """Guards against silence that lasts longer in larger fleets.

    The largest one takes some 15 s of processor time, for its full updates.
    """
    network = memory_network.Network(monkeypatch)
    nodes = peer_nodes.make_fleet(centres, per_centre)
    async with peer_nodes.running(*nodes):
        await trio.sleep(3)
        count = len(nodes) - 1
        assert all(len(node.peers.alive()) == count for node in nodes)
        network.silence()
        nodes[-1].admitted['acme'] = 3.0
        await trio.sleep(RECOVERY_SECONDS)
        spread = (
            2
            * _membership.HEARTBEAT_INTERVALS
            * (nodes[0].membership.base_interval)
        )
        await trio.sleep(spread)
        assert [n.remote_admitted for n in nodes[:-1]] == [3.0] * count
        assert all(len(node.peers.alive()) == count for node in nodes)


async def test_no_updates_are_sent_on_replaced_connections(
    monkeypatch, autojump_clock
):
    """Guards against a hub that works for each connection it ever had."""
    network = memory_network.Network(monkeypatch)
    nodes = peer_nodes.make_fleet('ab', 10)
    async with peer_nodes.running(*nodes):
        await trio.sleep(3)
        network.silence()
        await trio.sleep(4)
        dropped = sum(link.dropped for link in network.links)
        await trio.sleep(5)
        assert sum(link.dropped for link in network.links) == dropped
