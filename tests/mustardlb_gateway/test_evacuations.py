"""Data centres that are evacuated: no way of sending reaches their targets.

The load is a steady rate of calls while operators evacuate a data centre and
take it back. The platform permits no request from `evacuation_ms` (5,000)
after the store acknowledged the evacuation.
"""

import contextlib

import builders
import gateway_harness
import pytest
import scripted
import test_app
import test_unreachable_targets
import trio

from mustardlb_gateway import _evacuations
from mustardlb_gateway import _mirror
from mustardlb_gateway import _targets
from mustardlb_gateway import domain
from mustardlb_gateway import ports

EVACUATION_SECONDS = 5.0


class Table:
    """A table of targets with evacuations, at a time that the test sets."""

    def __init__(self):
        self.now = 100.0
        self.mirror = _mirror.Mirror('evacuations')
        self.evacuations = _evacuations.Evacuations(
            self.mirror, lambda: self.now, lambda: EVACUATION_SECONDS
        )
        self.targets_mirror = _mirror.Mirror('servers')
        self.table = _targets.TargetTable(
            self.targets_mirror,
            gateway_harness.TranslationStub(),
            lambda: self.now,
            self.evacuations.is_evacuated,
        )
        self.targets = [
            builders.make_target('t1', data_centre='a'),
            builders.make_target('t2', data_centre='b'),
        ]
        self.set_targets(self.targets)

    def set_targets(self, targets):
        self.targets_mirror.replace_all(
            [ports.StoredObject(each.target_id, 1, each) for each in targets],
            self.targets_mirror.revision + 1,
        )

    def set_evacuated(self, *names):
        self.mirror.replace_all(
            [ports.StoredObject(name, 1, {}) for name in names],
            self.mirror.revision + 1,
        )

    def restore(self, *names):
        """Continue from a copy of the store's data with these evacuations."""
        self.mirror.replace_all(
            [ports.StoredObject(name, 1, {}) for name in names],
            1,
            self.mirror.epoch + 1,
        )

    def ready(self):
        return [target.target_id for target in self.table.ready('llm')]


# Guards against a choice, also one made earlier, of an evacuated target.
def test_targets_of_an_evacuated_centre_take_no_requests():
    table = Table()
    table.set_evacuated()
    assert table.ready() == ['t1', 't2']
    table.set_evacuated('b')
    assert table.ready() == ['t1']
    assert not table.table.takes_requests(table.targets[1])
    table.set_evacuated()
    assert table.ready() == ['t1', 't2']
    assert table.table.takes_requests(table.targets[1])


# Guards against targets that are taken for usable since their registrations
# lapsed in an outage of the store, and against a lapse taken for a crash.
def test_lapsed_targets_of_an_evacuated_centre_take_no_requests():
    table = Table()
    table.set_evacuated('b')
    table.set_targets([])
    assert table.ready() == ['t1']
    assert not table.table.takes_requests(table.targets[1])
    assert table.table.is_registered(table.targets[1])


# Guards against a node that starts and has read the targets, but not yet the
# evacuations. It must not wait for them forever either.
def test_node_that_starts_learns_of_evacuations_first():
    table = Table()
    assert table.ready() == []
    assert not table.evacuations.is_known
    table.now += EVACUATION_SECONDS - 0.1
    assert table.ready() == []
    table.now += 0.1
    assert table.ready() == ['t1', 't2']
    table.set_evacuated('a')
    assert table.ready() == ['t2']


# Guards against a change for platforms without evacuations.
def test_without_a_mirror_nothing_is_evacuated():
    evacuations = _evacuations.Evacuations(None, lambda: 0.0, lambda: None)
    assert evacuations.is_known
    assert not evacuations.is_evacuated('a')


# Guards against an evacuation whose end is not known to what depends on it.
def test_end_of_an_evacuation_is_remembered_for_some_time():
    table = Table()
    table.set_evacuated('b')
    assert table.evacuations.ended('b') is None
    table.now += 10
    table.set_evacuated()
    assert table.evacuations.ended('b') == _evacuations.EndedEvacuation(
        110.0, 2
    )
    table.now += _evacuations.ENDED_TTL_SECONDS
    table.set_evacuated('c')
    assert table.evacuations.ended('b') is None


async def respond_ok(connection, head, body):
    await connection.send(scripted.response(scripted.request_id(head)))


@contextlib.asynccontextmanager
async def calling(harness):
    """Send a call; yields its response's list, empty until it ends."""
    found = []

    async def send():
        found.append(await harness.send_request())

    async with trio.open_nursery() as nursery:
        nursery.start_soon(send)
        yield found


# Guards against a call that keeps its choice while an adapter is loaded.
async def test_call_that_waits_for_a_load_is_not_sent():
    harness = gateway_harness.Harness(builders.make_route(), engine=True)
    begun, done = trio.Event(), trio.Event()

    async def load(*arguments):
        begun.set()
        await done.wait()
        return True

    harness.dispatcher._load = load
    async with harness.running(respond_ok):
        response = []

        async def send():
            response.append(await harness.send_request(b'x-adapter: a1\r\n'))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            await begun.wait()
            harness.set_evacuated('a')
            done.set()
    assert response[0].status == 503
    assert harness.request_count == 0


# Guards against a call that uses the permit that it was waiting for.
async def test_call_that_waits_for_a_permit_is_not_sent():
    harness = gateway_harness.Harness(builders.make_route())
    harness.service = builders.make_service(engine=False)
    begun, done = trio.Event(), trio.Event()

    async def acquire(target, request_id):
        begun.set()
        await done.wait()
        return True

    harness.permits.acquire = acquire
    async with harness.running(respond_ok), calling(harness) as response:
        await begun.wait()
        harness.set_evacuated('a')
        done.set()
    assert response[0].status == 503
    assert harness.request_count == 0


# Guards against a request on a connection that was being opened, or that was
# idle, when the data centre was evacuated.
@pytest.mark.parametrize('has_idle', [False, True])
async def test_call_that_waits_for_a_connection_is_not_sent(has_idle):
    harness = gateway_harness.Harness(builders.make_route())
    begun, done = trio.Event(), trio.Event()
    links = harness.dispatcher._exchange._links
    acquire = links.acquire

    async def acquire_slowly(target, request_id):
        connection = await acquire(target, request_id)
        begun.set()
        await done.wait()
        return connection

    async with harness.running(respond_ok):
        if has_idle:
            assert (await harness.send_request()).status == 200
        before = harness.request_count
        links.acquire = acquire_slowly
        async with calling(harness) as response:
            await begun.wait()
            harness.set_evacuated('a')
            done.set()
    assert response[0].status == 503
    assert harness.request_count == before == int(has_idle)


# Guards against retries that go to a target which was tried before, or to
# another one of the data centre.
async def test_retry_is_not_sent():
    harness = gateway_harness.Harness(builders.make_route())

    async def fail(connection, head, body):
        harness.set_evacuated('a')
        await connection.reset()

    async with harness.running(fail, fail):
        response = await harness.send_request()
    assert response.status in (502, 504)
    assert harness.request_count == 1


async def send_for(cluster, node, seconds):
    """Send a request every 20 ms; return the statuses."""
    statuses = []
    front = cluster.nodes[node].settings.front_port
    async with trio.open_nursery() as nursery:

        async def send():
            statuses.append((await test_app.send_request(front)).status)

        for _ in range(int(seconds / 0.02)):
            nursery.start_soon(send)
            await trio.sleep(0.02)
    return statuses


@contextlib.asynccontextmanager
async def two_centres(store_views=(), nodes=2):
    """Run nodes before a target in `a` and one in `b`, which is yielded."""
    cluster = test_app.Cluster(test_app.respond_ok)
    cluster.store_views = [view(cluster.store) for view in store_views]
    views = list(cluster.store_views)
    cluster.put_configuration(timeout=2.0, kind='idempotent', max_attempts=2)
    other = scripted.ScriptedServer(test_app.respond_ok)
    async with (
        other.running(),
        cluster.running(nodes, evacuation_time=EVACUATION_SECONDS),
    ):
        cluster.put_target()
        spec = {'port': other.port, 'state': 'ready', 'data_centre': 'b'}
        cluster.store.put('servers', 't2', spec)
        for node in cluster.nodes:
            await test_app.wait_until(
                lambda node=node: test_app.is_ready(node)
            )
        if nodes > 1:
            await test_app.wait_until(
                lambda: test_app.are_all_connected(cluster)
            )
        yield cluster, other, views


# Guards against nodes that go on sending to an evacuated data centre, or that
# do not take it back.
async def test_evacuation_takes_effect_and_ends_at_all_nodes():
    async with two_centres() as (cluster, other, _):
        cluster.store.put('evacuations', 'a', {})
        await trio.sleep(2)
        before = len(cluster.target.requests)
        for node in range(2):
            assert set(await send_for(cluster, node, 0.5)) == {200}
        assert len(cluster.target.requests) == before
        assert other.requests
        metrics = await test_app.send_request(
            cluster.nodes[0].settings.metrics_port
        )
        assert b'mustardlb_evacuated_data_centres 1.0' in metrics.body
        cluster.store.remove('evacuations', 'a')
        await trio.sleep(2)
        await send_for(cluster, 0, 0.5)
        assert len(cluster.target.requests) > before


# Guards against a node that is cut off from the store and goes on sending,
# although the nodes around it know of the evacuation.
async def test_node_without_the_store_learns_of_it_from_its_peers():
    views = [lambda store: store, test_app.UnavailableStore]
    async with two_centres(views) as (cluster, other, (_, view)):
        view.is_unavailable = True
        await trio.sleep(0.5)
        cluster.store.put('evacuations', 'b', {})
        await trio.sleep(EVACUATION_SECONDS - 2)
        before = len(other.requests)
        assert set(await send_for(cluster, 1, 0.5)) == {200}
        assert len(other.requests) == before


# Guards against a relayed connection that carries requests of another node
# to an evacuated data centre, whatever that node knows.
async def test_relayed_connections_carry_no_more_requests():
    site = test_unreachable_targets.Site(kind='idempotent')
    async with site.running(nodes=2, evacuation_time=1.0):
        await site.cut(0, 'reset')
        statuses = await site.send_requests(0, 40)
        assert 200 in statuses[-10:]
        # The node whose links are cut does not learn of the evacuation.
        unaware = site.cluster.nodes[0]._evacuations
        unaware.is_evacuated = lambda name: False
        table = site.cluster.nodes[0].targets
        table._is_centre_evacuated = lambda name: False
        site.cluster.store.put('evacuations', 'a', {})
        await trio.sleep(3)
        before = sum(len(target.requests) for target in site.targets)
        statuses = await site.send_requests(0, 10)
        assert 200 not in statuses
        after = sum(len(target.requests) for target in site.targets)
        assert after == before


# Guards against a state that is lost during an evacuation.
def test_draining_targets_of_an_evacuated_centre_stay_so():
    table = Table()
    table.set_evacuated('b')
    draining = domain.TargetState.DRAINING
    table.set_targets(
        [
            table.targets[0],
            builders.make_target('t2', data_centre='b', state=draining),
        ]
    )
    table.set_evacuated()
    assert table.ready() == ['t1']


# The store lost an evacuation with the data since its copy; requests went to
# the data centre until the operator had written it again.
def test_evacuation_outlasts_a_restore_until_it_is_written_again():
    table = Table()
    table.set_evacuated('b')
    table.restore()
    assert table.ready() == ['t1']
    table.now += 1.0
    table.mirror.replace_all(
        [ports.StoredObject('b', 5, {})], 5, table.mirror.epoch
    )
    table.now += _evacuations.REWRITE_SECONDS
    table.evacuations.update()
    assert table.ready() == ['t1']
    table.mirror.replace_all([], 6, table.mirror.epoch)
    assert table.ready() == ['t1', 't2']


# An evacuation that nobody writes again must not last for ever.
def test_lost_evacuation_ends_if_it_is_not_written_again():
    table = Table()
    table.set_evacuated('b')
    table.restore()
    table.now += _evacuations.REWRITE_SECONDS - 0.1
    table.evacuations.update()
    assert table.ready() == ['t1']
    table.now += 0.2
    table.evacuations.update()
    assert table.ready() == ['t1', 't2']
