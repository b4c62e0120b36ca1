"""Whole nodes over a stand-in store and scripted targets."""

import contextlib

import builders
import free_ports
import gateway_harness
import pytest
import scripted
import standin_store
import trio

from mustardlb_gateway import app
from mustardlb_gateway import domain
from mustardlb_gateway import ports
from mustardlb_gateway import settings as gateway_settings


class TranslationStub(gateway_harness.TranslationStub):
    configuration_kind = 'config'
    targets_kind = 'servers'
    versions_kind = 'versions'

    def read_configuration(self, spec):
        return builders.make_configuration(
            spec['version'],
            [builders.make_route(**spec['route'])],
            services=[builders.make_service(engine=False)],
        )

    def read_target(self, name, spec):
        return builders.make_target(
            name,
            port=spec['port'],
            state=domain.TargetState(spec['state']),
            resident=(),
        )

    def read_version(self, spec):
        return spec


class Site:
    """A store, one target, and nodes before them."""

    def __init__(self, script):
        self.store = standin_store.StandinStore()
        self.target = scripted.ScriptedServer(script)
        self.nodes = []
        self.views = []

    def configure(self, version=1, **route):
        route = {'kind': 'non_idempotent'} | route
        self.store.put('config', 'main', {'version': version, 'route': route})

    def register(self, state='ready'):
        spec = {'port': self.target.port, 'state': state}
        self.store.put('servers', 't1', spec)

    @contextlib.asynccontextmanager
    async def running(self, nodes=1):
        async with self.target.running(), trio.open_nursery() as nursery:
            for number in range(nodes):
                front, ready, peer, metrics = free_ports.find(4)
                settings = gateway_settings.Settings(
                    vm=f'vm{number}',
                    data_centre='a',
                    host='127.0.0.1',
                    front_port=front,
                    ready_port=ready,
                    peer_port=peer,
                    metrics_port=metrics,
                    stop_timeout=4.0,
                )
                store = self.views.pop(0) if self.views else self.store
                node = app.Node(settings, store, TranslationStub())
                self.nodes.append(node)
                nursery.start_soon(node.run)
            yield self
            nursery.cancel_scope.cancel()


async def ask(port, path='/x/', timeout=5.0):
    """Return the status of one request, 0 where none comes."""
    stream = await trio.open_tcp_stream('127.0.0.1', port)
    await stream.send_all(
        f'GET {path} HTTP/1.1\r\nhost: h\r\nx-id: r1\r\nx-wait: 3\r\n'
        'connection: close\r\n\r\n'.encode()
    )
    data = b''
    with trio.move_on_after(timeout):
        with contextlib.suppress(trio.BrokenResourceError):
            while more := await stream.receive_some():
                data += more
    await stream.aclose()
    return gateway_harness.Response.parse(data)


async def until(condition):
    with trio.fail_after(6):
        while not await condition():
            await trio.sleep(0.05)


async def good(connection, head, body):
    await connection.send(scripted.answer(scripted.request_id(head)))


async def is_ready(node):
    with contextlib.suppress(OSError):
        return (await ask(node.settings.ready_port)).status == 200
    return False


async def test_node_is_ready_once_it_knows_what_to_serve():
    site = Site(good)
    async with site.running():
        node = site.nodes[0]

        async def refuses():
            with contextlib.suppress(OSError):
                answer = await ask(node.settings.front_port)
                return answer.status == 503
            return False

        await until(refuses)
        assert not await is_ready(node)
        site.configure()
        site.register()
        await until(lambda: is_ready(node))
        assert (await ask(node.settings.front_port)).status == 200
        metrics = await ask(node.settings.metrics_port)
        assert b'mustardlb_requests_total' in metrics.body


async def test_changes_are_in_force_within_seconds():
    site = Site(good)
    site.configure()
    async with site.running():
        node = site.nodes[0]
        site.register()
        await until(lambda: is_ready(node))
        front = node.settings.front_port

        async def serves():
            return (await ask(front)).status == 200

        await until(serves)
        site.configure(2, path_prefix='/moved/')
        with trio.fail_after(1.5):
            while (await ask(front)).status != 404:
                await trio.sleep(0.05)
        assert (await ask(front, '/moved/a')).status == 200
        site.register(state='draining')
        await trio.sleep(1.5)
        before = len(site.target.requests)
        answer = await ask(front, '/moved/a')
        assert answer.status == 503
        assert len(site.target.requests) == before


class RefusingStore:
    """The site's store as one node sees it."""

    def __init__(self, store):
        self._store = store
        self.refuses = False

    def __getattr__(self, name):
        call = getattr(self._store, name)

        async def attempt(*arguments):
            if self.refuses:
                await trio.sleep(0.01)
                raise ports.StoreUnavailable('status 503')
            return await call(*arguments)

        return attempt


class SilentStore(RefusingStore):
    """One that answers nothing instead of refusing."""

    def __getattr__(self, name):
        call = getattr(self._store, name)

        async def attempt(*arguments):
            if self.refuses:
                await trio.sleep(6)
                raise ports.StoreUnavailable('no answer in time')
            return await call(*arguments)

        return attempt


async def test_change_reaches_nodes_that_the_store_no_longer_answers():
    site = Site(good)
    site.configure()
    views = [SilentStore(site.store) for _ in range(5)]
    site.views = list(views)
    async with site.running(nodes=5):
        site.register()
        for node in site.nodes:
            await until(lambda node=node: is_ready(node))
        await until(lambda: all_meet(site))
        for version in range(2, 5):
            for view in views[:4]:
                view.refuses = True
            # A watch that was answered before is not repeated at once.
            await trio.sleep(0.7)
            site.configure(version, path_prefix=f'/v{version}/')
            # The platform allows two seconds.
            with trio.fail_after(1.5):
                for node in site.nodes:
                    while node.state.configuration.version < version:
                        await trio.sleep(0.02)
            for view in views:
                view.refuses = False
            await trio.sleep(0.3)


async def test_metrics_tell_how_many_other_nodes_live():
    site = Site(good)
    site.configure()
    async with site.running(nodes=3):
        site.register()
        await until(lambda: all_meet(site))

        async def tells():
            metrics = await ask(site.nodes[0].settings.metrics_port)
            return b'mustardlb_live_nodes 2.0' in metrics.body

        await until(tells)


async def all_meet(site):
    await trio.lowlevel.checkpoint()
    others = len(site.nodes) - 1
    return all(len(node.peers.alive()) == others for node in site.nodes)


async def test_node_that_the_store_refuses_learns_from_another():
    site = Site(good)
    site.configure()
    views = [RefusingStore(site.store) for _ in range(2)]
    site.views = list(views)
    async with site.running(nodes=2):
        site.register()
        for node in site.nodes:
            await until(lambda node=node: is_ready(node))

        async def meet():
            await trio.lowlevel.checkpoint()
            return all(node.peers.alive() for node in site.nodes)

        await until(meet)
        views[1].refuses = True
        site.configure(2)

        async def has_new():
            await trio.lowlevel.checkpoint()
            return all(
                node.state.configuration.version == 2 for node in site.nodes
            )

        await until(has_new)


async def test_planned_stop_finishes_what_is_in_flight():
    release = trio.Event()

    async def slow(connection, head, body):
        await release.wait()
        await good(connection, head, body)

    site = Site(slow)
    site.configure(timeout=5.0)
    async with site.running():
        node = site.nodes[0]
        site.register()
        await until(lambda: is_ready(node))
        answers = []

        async def client():
            answers.append(await ask(node.settings.front_port))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(client)
            while not site.target.requests:
                await trio.sleep(0.02)
            nursery.start_soon(node.stop)
            await trio.sleep(0.2)
            assert not await is_ready(node)
            release.set()
        assert answers[0].status == 200
        assert answers[0].headers[b'connection'] == b'close'


@pytest.mark.parametrize('count', [3])
async def test_nodes_meet_each_other_through_the_store(count):
    site = Site(good)
    async with site.running(nodes=count):

        async def all_meet():
            await trio.lowlevel.checkpoint()
            return all(
                len(node.peers.alive()) == count - 1 for node in site.nodes
            )

        await until(all_meet)
        assert all(node.peers.hears_majority() for node in site.nodes)
