"""Streams at targets of one service with several versions of software."""

import builders
import gateway_harness
import pytest
import scripted
import simulated_store
import test_app
import test_dispatch
import trio

from mustardlb_gateway import domain

STREAM = builders.make_route(
    kind=domain.RouteKind.STREAM, is_resumable=True, max_attempts=3
)


def softwares_of(harness, softwares, request_id):
    """Return the software of the targets that received a request."""
    return {
        software
        for server, software in zip(harness.scripted, softwares, strict=True)
        for head, _ in server.requests
        if scripted.request_id(head) == request_id
    }


# A stream held events of two versions, which do not fit together.
async def test_broken_stream_does_not_go_on_at_other_software():
    scripts = [
        test_dispatch.make_stream(range(3), ends=False),
        test_dispatch.make_stream(range(3), ends=False),
    ]
    softwares = ['v1', 'v2']
    harness = gateway_harness.Harness(STREAM)
    async with harness.running(*scripts, softwares=softwares):
        response = await harness.send_request()
        assert response.events == [0, 1, 2]
        assert not response.is_complete
        assert len(softwares_of(harness, softwares, b'r1')) == 1


async def test_broken_stream_goes_on_at_the_software_that_began_it():
    broken = test_dispatch.make_stream(range(3), ends=False)
    whole = test_dispatch.make_stream(range(6))
    softwares = ['v1', 'v2', 'v1', 'v2']
    harness = gateway_harness.Harness(STREAM)
    async with harness.running(
        broken, broken, whole, whole, softwares=softwares
    ):
        for number in range(12):
            request_id = b'r%d' % number
            response = await harness.send_request(request_id=request_id)
            assert response.events == [0, 1, 2, 3, 4, 5]
            assert response.is_complete
            assert len(softwares_of(harness, softwares, request_id)) == 1


# The node that began a stream has ended, and no other node knows of it.
@pytest.mark.parametrize(
    'headers',
    [
        b'last-event-id: 2\r\nx-resumed: r0\r\n',
        b'last-event-id: 2\r\n',
        b'x-resumed: r0\r\n',
    ],
)
async def test_stream_of_unknown_software_is_rejected(headers):
    harness = gateway_harness.Harness(STREAM)
    whole = test_dispatch.make_stream(range(6))
    async with harness.running(whole, whole, softwares=['v1', 'v2']):
        response = await harness.send_request(headers, b'r1')
        assert response.status == 503
        assert response.headers[b'retry-after']
        assert harness.request_count == 0


async def resume(node, number, resumed):
    """Resume a stream at a node and return its response."""
    stream = await trio.open_tcp_stream('127.0.0.1', node.settings.front_port)
    await stream.send_all(
        f'POST /x/ HTTP/1.1\r\nhost: h\r\nx-id: s{number}\r\n'
        f'last-event-id: 2\r\nx-resumed: {resumed}\r\n'
        'connection: close\r\n\r\n'.encode()
    )
    data = b''
    with trio.move_on_after(3):
        while more := await stream.receive_some():
            data += more
    await trio.aclose_forcefully(stream)
    return gateway_harness.Response.parse(data)


# The node that served the stream tells the others over their connections.
async def test_stream_is_resumed_at_another_node():
    cluster = test_app.Cluster(test_dispatch.make_stream(range(6)))
    cluster.put_configuration(
        kind=domain.RouteKind.STREAM, is_resumable=True, timeout=5.0
    )
    other = scripted.ScriptedServer(test_dispatch.make_stream(range(6)))
    async with cluster.running(nodes=3), other.running():
        servers = {'v1': cluster.target, 'v2': other}
        for software, server in servers.items():
            spec = {
                'port': server.port,
                'state': 'ready',
                'software': software,
            }
            cluster.store.put('servers', software, spec)
        first, *others = cluster.nodes
        for node in cluster.nodes:
            await test_app.wait_until(
                lambda node=node: test_app.is_ready(node)
            )
        await test_app.wait_until(lambda: test_app.are_all_connected(cluster))
        for number in range(8):
            request_id = b'r%d' % number
            response = await test_app.send_request(
                first.settings.front_port, request_id=request_id.decode()
            )
            assert response.events == [0, 1, 2, 3, 4, 5]
        await trio.sleep(0.3)
        for number in range(8):
            response = await resume(others[number % 2], number, f'r{number}')
            assert response.events == [3, 4, 5]
        received = {
            scripted.request_id(head): software
            for software, server in servers.items()
            for head, _ in server.requests
        }
        for number in range(8):
            assert received[b'r%d' % number] == received[b's%d' % number]
        response = await resume(others[0], 9, 'unknown')
        assert response.status == 503


# A client that resumes a stream twice may name the request that began it or
# its last one. The last one was unknown, so that the client was rejected.
@pytest.mark.parametrize('named', ['r', 's'])
async def test_resumed_stream_is_resumed_again(named):
    cluster = test_app.Cluster(test_dispatch.make_stream(range(6)))
    cluster.put_configuration(
        kind=domain.RouteKind.STREAM, is_resumable=True, timeout=5.0
    )
    other = scripted.ScriptedServer(test_dispatch.make_stream(range(6)))
    async with cluster.running(nodes=3), other.running():
        servers = {'v1': cluster.target, 'v2': other}
        for software, server in servers.items():
            spec = {
                'port': server.port,
                'state': 'ready',
                'software': software,
            }
            cluster.store.put('servers', software, spec)
        first, second, third = cluster.nodes
        for node in cluster.nodes:
            await test_app.wait_until(
                lambda node=node: test_app.is_ready(node)
            )
        await test_app.wait_until(lambda: test_app.are_all_connected(cluster))
        for number in range(4):
            await test_app.send_request(
                first.settings.front_port, request_id=f'r{number}'
            )
        await trio.sleep(0.3)
        for number in range(4):
            response = await resume(second, number, f'r{number}')
            assert response.events == [3, 4, 5]
        await trio.sleep(0.3)
        for number in range(4):
            response = await resume(third, 10 + number, f'{named}{number}')
            assert response.events == [3, 4, 5]
        received = {
            scripted.request_id(head): software
            for software, server in servers.items()
            for head, _ in server.requests
        }
        for number in range(4):
            versions = {
                received[b'%c%d' % (letter, digits)]
                for letter, digits in [
                    (ord('r'), number),
                    (ord('s'), number),
                    (ord('s'), 10 + number),
                ]
            }
            assert len(versions) == 1


class SilentStore(simulated_store.SimulatedStore):
    """A store whose watches do not tell of changes while `is_silent`."""

    is_silent = False

    async def watch(self, kind, revision, wait):
        changes = await super().watch(kind, revision, wait)
        while wait and self.is_silent:
            await trio.sleep(0.05)
        return changes


# A target had restarted under its id with other software, and the node had
# not heard of it yet when the client resumed.
async def test_stream_does_not_go_on_at_a_target_that_has_restarted():
    cluster = test_app.Cluster(test_dispatch.make_stream(range(6)))
    cluster.store = SilentStore()
    cluster.put_configuration(
        kind=domain.RouteKind.STREAM, is_resumable=True, timeout=5.0
    )
    async with cluster.running():
        spec = {'port': cluster.target.port, 'state': 'ready'}
        cluster.store.put('servers', 't1', spec | {'software': 'v1'})
        (node,) = cluster.nodes
        await test_app.wait_until(lambda: test_app.is_ready(node))
        response = await test_app.send_request(
            node.settings.front_port, request_id='r1'
        )
        assert response.events == [0, 1, 2, 3, 4, 5]
        response = await resume(node, 1, 'r1')
        assert response.events == [3, 4, 5]
        received = len(cluster.target.requests)
        cluster.store.is_silent = True
        cluster.store.put(
            'servers', 't1', spec | {'software': 'v2', 'incarnation': 2}
        )
        response = await resume(node, 2, 'r1')
        assert response.status == 503
        assert len(cluster.target.requests) == received
