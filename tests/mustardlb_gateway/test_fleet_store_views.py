"""Changes of the store reach all nodes of a fleet in time, in virtual time."""

import pytest
import simulated_store
import test_fleet
import trio

from mustardlb_gateway import _messages
from mustardlb_gateway import _mirror
from mustardlb_gateway import _peer_sync
from mustardlb_gateway import _store_watch
from mustardlb_gateway import ports

KIND = 'config'
STEP_SECONDS = test_fleet.STEP_SECONDS
HOP_SECONDS = 0.03

# Time from the end of a watch's wait to its timeout.
MARGIN_SECONDS = 0.5

# Nodes by data centre, and the time in which a change has to be in force.
FLEETS = [(('ab', 2), 2.0), (('ab', 10), 2.0), (('abcd', 19), 2.0)]
LARGE_FLEET = (('abcde', 40), 4.0)


class Link:
    """One node's kept connections to the store: those in use and an idle one.

    :ivar calls: number of calls so far
    """

    def __init__(self, store):
        self._store = store
        self.calls = 0
        self._silenced = 0
        self._is_idle_silent = False

    def silence(self):
        """Let the kept connections pass nothing more; new ones work."""
        self._silenced += 1
        self._is_idle_silent = True

    async def list_objects(self, kind):
        self.calls += 1
        return await self._store.list_objects(kind)

    async def watch(self, kind, revision, timeout):
        self.calls += 1
        is_idle_silent, self._is_idle_silent = self._is_idle_silent, False
        if is_idle_silent and not timeout:
            # A read without a response is repeated on a new connection.
            await trio.sleep(MARGIN_SECONDS)
            self.calls += 1
            is_idle_silent = False
        silenced = self._silenced
        wait = max(0.0, timeout - MARGIN_SECONDS)
        with trio.move_on_after(wait + MARGIN_SECONDS):
            if not is_idle_silent:
                changes = await self._store.watch(kind, revision, wait)
                if silenced == self._silenced:
                    return changes
            await trio.sleep_forever()
        raise ports.StoreUnavailable('no response before the timeout', True)


class Node(test_fleet.Node):
    def __init__(self, network, vm, incarnation):
        self.mirror = _mirror.Mirror(KIND, lambda: network.freshness)
        self.sync = _peer_sync.PeerSync([self.mirror], network.clock)
        self.link = Link(network.store)
        super().__init__(network, vm, incarnation)

    def digest(self):
        return test_fleet.make_digest(
            self.vm,
            is_watching=self.fleet.must_watch()
            and _store_watch.is_watching(
                self.mirror, self.fleet.spread_time(), self.network.clock()
            ),
        )

    def followed_at(self, kind):
        if self.sync.is_overdue(KIND):
            return None
        return self.fleet.followed_at()

    async def run(self):
        await _store_watch.sync_mirrors(
            [self.mirror],
            self.link,
            self.network.clock,
            self.followed_at,
            self.fleet.spread_time,
        )

    async def fetch(self, sender, kind):
        await trio.sleep(2 * HOP_SECONDS)

        class Peer:
            async def request(self, vm, body):
                return sender.sync.snapshot(body.kind, body.since)

        await self.sync.fetch(Peer(), sender.vm.vm, kind)

    def has(self, spec):
        stored = self.mirror.objects_by_name.get('main')
        return stored is not None and stored.spec == spec


class Network(test_fleet.Network):
    """Nodes that follow a store.

    :ivar is_silent: whether messages between nodes get lost without an error
    """

    node_class = Node

    def __init__(self, shape, freshness, nursery):
        self.freshness = freshness
        self.is_silent = False
        self.store = simulated_store.SimulatedStore()
        self.nursery = nursery
        super().__init__(*shape)

    def send(self, sender, receiver, message):
        if self.is_silent:
            return
        super().send(sender, receiver, message)
        node = self.nodes[receiver]
        if isinstance(message.body, _messages.Subscription):
            return
        for kind in node.sync.stale_kinds(
            sender.sync.revisions(),
            node.fleet.must_watch(),
            sender.sync.epoch,
        ):
            self.nursery.start_soon(node.fetch, sender, kind)

    async def play(self, seconds):
        for _ in range(round(seconds / STEP_SECONDS)):
            await trio.sleep(STEP_SECONDS)
            self.run(STEP_SECONDS)

    def calls(self):
        return sum(node.link.calls for node in self.nodes.values())


def silence_store(network):
    for node in network.nodes.values():
        node.link.silence()


def silence_nodes(network):
    network.is_silent = True


def silence_all(network):
    silence_store(network)
    silence_nodes(network)


class DeadLink(Link):
    """Gets no response to any call."""

    async def list_objects(self, kind):
        await trio.sleep(1.5)
        raise ports.StoreUnavailable('no response', True)

    async def watch(self, kind, revision, timeout):
        await trio.sleep(timeout or 1.5)
        raise ports.StoreUnavailable('no response', True)


def hubs(network):
    return [node for node in network.nodes.values() if node.fleet.must_watch()]


@pytest.mark.parametrize('shape', [('ab', 10), ('a', 20), ('abcd', 19)])
@pytest.mark.parametrize('select', [hubs, lambda network: hubs(network)[:1]])
async def test_followers_do_not_rely_on_hubs_that_lost_the_store(
    autojump_clock, shape, select
):
    """Guards against a proof by what a hub says, not by what it has."""
    async with trio.open_nursery() as nursery:
        network = Network(shape, 2.0, nursery)
        network.store.put(KIND, 'main', 'first')
        for node in network.nodes.values():
            nursery.start_soon(node.run)
        await network.play(6)
        lost = select(network)
        for node in lost:
            node.link.__class__ = DeadLink
            node.link.silence()
        changed_at = network.clock()
        network.store.put(KIND, 'main', 'second')
        others = [n for n in network.nodes.values() if n not in lost]
        while network.clock() < changed_at + network.freshness:
            await network.play(STEP_SECONDS)
            for node in others:
                assert node.has('second') or (
                    node.mirror.confirmed_at <= changed_at + STEP_SECONDS
                )
        assert all(node.has('second') for node in others)
        nursery.cancel_scope.cancel()


async def play_change(shape, freshness, disturb):
    """Return the nodes that miss a change once it has to be in force."""
    async with trio.open_nursery() as nursery:
        network = Network(shape, freshness, nursery)
        network.store.put(KIND, 'main', 'first')
        for node in network.nodes.values():
            nursery.start_soon(node.run)
        await network.play(4)
        assert all(node.has('first') for node in network.nodes.values())
        disturb(network)
        network.store.put(KIND, 'main', 'second')
        await network.play(freshness)
        missing = [
            name
            for name, node in network.nodes.items()
            if not node.has('second')
        ]
        nursery.cancel_scope.cancel()
    return missing


@pytest.mark.parametrize(
    'disturb', [silence_store, silence_nodes, silence_all]
)
@pytest.mark.parametrize(('shape', 'freshness'), FLEETS)
async def test_change_is_in_force_though_kept_connections_are_silent(
    autojump_clock, shape, freshness, disturb
):
    """Guards against nodes that take silence for the absence of changes."""
    assert await play_change(shape, freshness, disturb) == []


async def test_change_is_in_force_in_a_large_fleet(autojump_clock):
    """Guards against delays that grow with the number of nodes."""
    assert await play_change(*LARGE_FLEET, silence_all) == []


@pytest.mark.parametrize(('shape', 'freshness'), FLEETS)
async def test_calls_to_the_store_stay_within_what_nodes_may_make(
    autojump_clock, shape, freshness
):
    """Guards against proofs whose calls grow with the number of nodes."""
    async with trio.open_nursery() as nursery:
        network = Network(shape, freshness, nursery)
        network.store.put(KIND, 'main', 'first')
        for node in network.nodes.values():
            nursery.start_soon(node.run)
        await network.play(4)
        before = network.calls()
        await network.play(10)
        per_second = (network.calls() - before) / 10
        nursery.cancel_scope.cancel()
    watching = [
        node for node in network.nodes.values() if node.fleet.must_watch()
    ]
    # Two hubs in each data centre, or all nodes of a small fleet, each with
    # its watches and confirmations.
    assert len(watching) <= max(4, 2 * len(shape[0]))
    spread = watching[0].fleet.spread_time()
    interval = _store_watch.confirm_seconds(freshness, spread)
    watches = 1 / (_store_watch.WATCH_SECONDS - MARGIN_SECONDS)
    assert per_second <= 1.1 * len(watching) * (1 / interval + watches)
