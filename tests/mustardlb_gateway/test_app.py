"""Complete nodes with a simulated store and scripted targets."""

import contextlib

import builders
import free_ports
import gateway_harness
import pytest
import scripted
import simulated_store
import trio

from mustardlb_gateway import app
from mustardlb_gateway import domain
from mustardlb_gateway import ports
from mustardlb_gateway import settings as gateway_settings


class TranslationStub(gateway_harness.TranslationStub):
    configuration_kind = 'config'
    targets_kind = 'servers'
    versions_kind = 'versions'
    evacuations_kind = 'evacuations'

    def read_configuration(self, spec):
        return builders.make_configuration(
            spec['version'],
            [builders.make_route(**spec['route'])],
            services=[
                builders.make_service(engine=False, **spec.get('service', {}))
            ],
        )

    def read_target(self, name, spec):
        return builders.make_target(
            name,
            port=spec['port'],
            state=domain.TargetState(spec['state']),
            resident=(),
            software=spec.get('software', ''),
            data_centre=spec.get('data_centre', 'a'),
            incarnation=spec.get('incarnation', 1),
            cold_remaining=spec.get('cold_remaining', 0.0),
        )

    def read_version(self, spec):
        return spec


def make_settings(vm='vm0', **changes):
    front, ready, peer, metrics = free_ports.find(4)
    fields = {
        'vm': vm,
        'data_centre': 'a',
        'host': '127.0.0.1',
        'front_port': front,
        'ready_port': ready,
        'peer_port': peer,
        'metrics_port': metrics,
        'stop_timeout': 4.0,
    }
    return gateway_settings.Settings(**(fields | changes))


class Cluster:
    """A store, one target and the nodes that serve it."""

    def __init__(self, script):
        self.store = simulated_store.SimulatedStore()
        self.target = scripted.ScriptedServer(script)
        self.translation = TranslationStub()
        self.translations = []
        self.nodes = []
        self.store_views = []

    def put_configuration(self, version=1, service=None, **route):
        route = {'kind': 'non_idempotent'} | route
        spec = {'version': version, 'route': route, 'service': service or {}}
        self.store.put('config', 'main', spec)

    def put_target(self, state='ready'):
        spec = {'port': self.target.port, 'state': state}
        self.store.put('servers', 't1', spec)

    @contextlib.asynccontextmanager
    async def running(self, nodes=1, **changes):
        async with self.target.running(), trio.open_nursery() as nursery:
            for number in range(nodes):
                settings = make_settings(f'vm{number}', **changes)
                store = (
                    self.store_views.pop(0) if self.store_views else self.store
                )
                translation = (
                    self.translations.pop(0)
                    if self.translations
                    else self.translation
                )
                node = app.Node(settings, store, translation)
                self.nodes.append(node)
                nursery.start_soon(node.run)
            yield self
            nursery.cancel_scope.cancel()


async def send_request(port, path='/x/', timeout=5.0, request_id='r1'):
    """Send one request; the response has status 0 if none is received."""
    stream = await trio.open_tcp_stream('127.0.0.1', port)
    await stream.send_all(
        f'GET {path} HTTP/1.1\r\nhost: h\r\nx-id: {request_id}\r\n'
        'x-wait: 3\r\n'
        'connection: close\r\n\r\n'.encode()
    )
    data = b''
    with trio.move_on_after(timeout):
        with contextlib.suppress(trio.BrokenResourceError):
            while more := await stream.receive_some():
                data += more
    await stream.aclose()
    return gateway_harness.Response.parse(data)


async def wait_until(condition):
    with trio.fail_after(6):
        while not await condition():
            await trio.sleep(0.05)


async def respond_ok(connection, head, body):
    await connection.send(scripted.response(scripted.request_id(head)))


async def is_ready(node):
    with contextlib.suppress(OSError):
        return (await send_request(node.settings.ready_port)).status == 200
    return False


async def test_node_is_ready_with_configuration_and_targets():
    cluster = Cluster(respond_ok)
    async with cluster.running():
        node = cluster.nodes[0]

        async def is_unavailable():
            with contextlib.suppress(OSError):
                response = await send_request(node.settings.front_port)
                return response.status == 503
            return False

        await wait_until(is_unavailable)
        assert not await is_ready(node)
        cluster.put_configuration()
        cluster.put_target()
        await wait_until(lambda: is_ready(node))
        assert (await send_request(node.settings.front_port)).status == 200
        metrics = await send_request(node.settings.metrics_port)
        assert b'mustardlb_requests_total' in metrics.body
        assert b'mustardlb_wait_seconds_count' in metrics.body


async def test_changes_take_effect_within_seconds():
    cluster = Cluster(respond_ok)
    cluster.put_configuration()
    async with cluster.running():
        node = cluster.nodes[0]
        cluster.put_target()
        await wait_until(lambda: is_ready(node))
        front = node.settings.front_port

        async def serves():
            return (await send_request(front)).status == 200

        await wait_until(serves)
        cluster.put_configuration(2, path_prefix='/moved/')
        with trio.fail_after(1.5):
            while (await send_request(front)).status != 404:
                await trio.sleep(0.05)
        assert (await send_request(front, '/moved/a')).status == 200
        cluster.put_target(state='draining')
        await trio.sleep(1.5)
        before = len(cluster.target.requests)
        response = await send_request(front, '/moved/a')
        assert response.status == 503
        assert len(cluster.target.requests) == before


class UnavailableStore:
    """The cluster's store as one node reaches it."""

    def __init__(self, store):
        self._store = store
        self.is_unavailable = False

    def __getattr__(self, name):
        call = getattr(self._store, name)

        async def attempt(*arguments):
            if self.is_unavailable:
                await trio.sleep(0.01)
                raise ports.StoreUnavailable('status 503')
            return await call(*arguments)

        return attempt


class UnresponsiveStore(UnavailableStore):
    """Calls time out instead of being rejected."""

    def __getattr__(self, name):
        call = getattr(self._store, name)

        async def attempt(*arguments):
            if self.is_unavailable:
                await trio.sleep(6)
                raise ports.StoreUnavailable('no response in time')
            return await call(*arguments)

        return attempt


async def test_change_reaches_nodes_with_an_unresponsive_store():
    cluster = Cluster(respond_ok)
    cluster.put_configuration()
    store_views = [UnresponsiveStore(cluster.store) for _ in range(5)]
    cluster.store_views = list(store_views)
    async with cluster.running(nodes=5):
        cluster.put_target()
        for node in cluster.nodes:
            await wait_until(lambda node=node: is_ready(node))
        await wait_until(lambda: are_all_connected(cluster))
        for version in range(2, 5):
            for view in store_views[:4]:
                view.is_unavailable = True
            # Each node's next watch call begins within 0.6 s of its last one
            # and then finds the store unresponsive.
            await trio.sleep(0.7)
            cluster.put_configuration(version, path_prefix=f'/v{version}/')
            # The platform requires changes to take effect within 2 s.
            with trio.fail_after(1.5):
                for node in cluster.nodes:
                    while node.state.configuration.version < version:
                        await trio.sleep(0.02)
            for view in store_views:
                view.is_unavailable = False
            await trio.sleep(0.3)


async def test_metrics_report_the_number_of_live_nodes():
    cluster = Cluster(respond_ok)
    cluster.put_configuration()
    async with cluster.running(nodes=3):
        cluster.put_target()
        await wait_until(lambda: are_all_connected(cluster))

        async def reports_nodes():
            metrics = await send_request(
                cluster.nodes[0].settings.metrics_port
            )
            return b'mustardlb_live_nodes 2.0' in metrics.body

        await wait_until(reports_nodes)


async def test_nodes_tell_each_other_slowdowns_and_windows():
    async def respond(connection, head, body):
        await connection.send(
            scripted.response(scripted.request_id(head), extra=b'x-load: 1,4')
        )

    cluster = Cluster(respond)
    cluster.put_configuration()
    async with cluster.running(nodes=2):
        cluster.put_target()
        await wait_until(lambda: are_all_connected(cluster))
        first, other = cluster.nodes

        async def knows_slowdown():
            await send_request(first.settings.front_port)
            [target] = other.targets.by_id.values() or [None]
            slowdown = other._target_parts.reported_loads.slowdown(target)
            return slowdown is not None and slowdown > 2

        await wait_until(lambda: is_ready(other))
        await wait_until(knows_slowdown)
        # A target that has just started gets a window at both nodes.
        spec = {'port': cluster.target.port, 'state': 'ready'}
        cluster.store.put('servers', 't2', spec)

        async def have_windows():
            await trio.lowlevel.checkpoint()
            return all(
                node._target_parts.warm_up.count == 1
                and 't2' in node.targets.told_windows()
                for node in cluster.nodes
                if not node._target_parts.warm_up.to_tell()
            )

        await wait_until(have_windows)
        assert any(
            node._target_parts.warm_up.to_tell() for node in cluster.nodes
        )


async def are_all_connected(cluster):
    await trio.lowlevel.checkpoint()
    others = len(cluster.nodes) - 1
    return all(len(node.peers.alive()) == others for node in cluster.nodes)


async def test_node_with_an_unavailable_store_gets_changes_from_a_peer():
    cluster = Cluster(respond_ok)
    cluster.put_configuration()
    store_views = [UnavailableStore(cluster.store) for _ in range(2)]
    cluster.store_views = list(store_views)
    async with cluster.running(nodes=2):
        cluster.put_target()
        for node in cluster.nodes:
            await wait_until(lambda node=node: is_ready(node))

        async def are_connected():
            await trio.lowlevel.checkpoint()
            return all(node.peers.alive() for node in cluster.nodes)

        await wait_until(are_connected)
        store_views[1].is_unavailable = True
        cluster.put_configuration(2)

        async def have_new_version():
            await trio.lowlevel.checkpoint()
            return all(
                node.state.configuration.version == 2 for node in cluster.nodes
            )

        await wait_until(have_new_version)


async def test_planned_stop_finishes_requests_in_flight():
    respond = trio.Event()

    async def slow(connection, head, body):
        await respond.wait()
        await respond_ok(connection, head, body)

    cluster = Cluster(slow)
    cluster.put_configuration(timeout=5.0)
    async with cluster.running():
        node = cluster.nodes[0]
        cluster.put_target()
        await wait_until(lambda: is_ready(node))
        responses = []

        async def client():
            responses.append(await send_request(node.settings.front_port))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(client)
            while not cluster.target.requests:
                await trio.sleep(0.02)
            nursery.start_soon(node.stop)
            await trio.sleep(0.2)
            assert not await is_ready(node)
            respond.set()
        assert responses[0].status == 200
        assert responses[0].headers[b'connection'] == b'close'


@pytest.mark.parametrize('count', [3])
async def test_nodes_discover_each_other_through_the_store(count):
    cluster = Cluster(respond_ok)
    async with cluster.running(nodes=count):

        async def are_all_connected():
            await trio.lowlevel.checkpoint()
            return all(
                len(node.peers.alive()) == count - 1 for node in cluster.nodes
            )

        await wait_until(are_all_connected)
        assert all(node.peers.has_quorum() for node in cluster.nodes)
