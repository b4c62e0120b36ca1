"""Unresponsive callers, connection limits, TLS and operator certificates."""

import contextlib
import ssl

import httpx
import pytest
import trio
import trio.testing
import trustme

from mustardlbd import _admin
from mustardlbd import _http_connection

CHAT = '/v1/chat/completions'
MEGABYTE = 1 << 20


async def test_caller_that_reads_nothing_is_disconnected(
    site, caller_settings
):
    finished = trio.Event()

    async def send_large_response(stream):
        await stream.receive_some()
        try:
            await stream.send_all(
                b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n'
                % (256 * MEGABYTE)
            )
            await stream.send_all(bytes(256 * MEGABYTE))
        except trio.BrokenResourceError:
            finished.set()

    settings = caller_settings(write_timeout=0.3)
    async with site(settings=settings) as node, trio.open_nursery() as nursery:
        listeners = await nursery.start(trio.serve_tcp, send_large_response, 0)
        port = listeners[0].socket.getsockname()[1]
        node.front.add_target('desk-1', f'http://127.0.0.1:{port}')
        port_of_node = int(node.url.rsplit(':', 1)[1])
        key = node.front.keys_by_account['canopy']
        async with await trio.open_tcp_stream(
            '127.0.0.1', port_of_node
        ) as stream:
            await stream.send_all(
                f'GET /download HTTP/1.1\r\nHost: a\r\n'
                f'X-Api-Key: {key}\r\n\r\n'.encode()
            )
            with trio.fail_after(5):
                await finished.wait()
        # Only that connection is closed; the node still serves others.
        assert (await node.client.get('/healthz')).status_code == 200
        nursery.cancel_scope.cancel()


async def test_pipelined_requests(site):
    async with site() as node:
        port_of_node = int(node.url.rsplit(':', 1)[1])
        async with await trio.open_tcp_stream(
            '127.0.0.1', port_of_node
        ) as stream:
            await stream.send_all(
                b'GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n' * 5
            )
            responses = b''
            with trio.fail_after(5):
                while responses.count(b'{"healthy":true}') < 5:
                    responses += await stream.receive_some()


async def test_connections_are_limited(site, caller_settings):
    async with site(settings=caller_settings(max_connections=2)) as node:
        port_of_node = int(node.url.rsplit(':', 1)[1])
        request = b'GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n'
        streams = []
        for count in range(4):
            stream = await trio.open_tcp_stream('127.0.0.1', port_of_node)
            streams.append(stream)
            response = b''
            with contextlib.suppress(trio.BrokenResourceError):
                await stream.send_all(request)
                response = await stream.receive_some()
            assert response.startswith(b'HTTP/1.1 200') is (count < 2)
        # A closed connection can be replaced by a new one.
        await streams[0].aclose()
        await trio.testing.wait_all_tasks_blocked(0.05)
        async with await trio.open_tcp_stream(
            '127.0.0.1', port_of_node
        ) as stream:
            await stream.send_all(request)
            response = await stream.receive_some()
        assert response.startswith(b'HTTP/1.1 200')
        for stream in streams:
            await stream.aclose()


def make_contexts():
    authority = trustme.CA()
    contexts = []
    for purpose in (ssl.Purpose.CLIENT_AUTH, ssl.Purpose.SERVER_AUTH):
        context = ssl.create_default_context(purpose)
        authority.configure_trust(context)
        authority.issue_cert('127.0.0.1').configure_cert(context)
        contexts.append(context)
    return authority, *contexts


async def test_tls_with_both_http_versions(site, caller_settings):
    authority, server, client = make_contexts()
    server.set_alpn_protocols(['h2', 'http/1.1'])
    async with site(settings=caller_settings(tls=server)) as node:
        url = node.url.replace('http:', 'https:')
        for http2 in (False, True):
            async with httpx.AsyncClient(
                base_url=url, verify=client, http2=http2
            ) as caller:
                response = await caller.post(
                    CHAT,
                    json={'model': 'oak@1', 'messages': [], 'max_tokens': 3},
                    headers=node.front.headers(),
                )
                assert response.status_code == 200
                expected = 'HTTP/2' if http2 else 'HTTP/1.1'
                assert response.http_version == expected


async def test_operators_need_a_certificate(site):
    authority, server, client = make_contexts()
    server.verify_mode = ssl.CERT_REQUIRED
    uncertified = ssl.create_default_context()
    authority.configure_trust(uncertified)
    end = trio.Event()
    async with site() as node:

        async def serve(task_status):
            await _admin.serve_admin(
                node.front.dependencies(),
                _http_connection.ServerSettings(tls=server),
                node.metrics,
                stop=node.front.stop,
                end=end,
                task_status=task_status,
            )

        port = await node.nursery.start(serve)
        url = f'https://127.0.0.1:{port}'
        async with httpx.AsyncClient(
            base_url=url, verify=uncertified
        ) as caller:
            with pytest.raises(httpx.TransportError):
                await caller.get('/v1/status')
        await node.client.post(
            CHAT,
            json={'model': 'oak@1', 'messages': [], 'max_tokens': 3},
            headers=node.front.headers(),
        )
        async with httpx.AsyncClient(base_url=url, verify=client) as operator:
            await check_admin(node, operator)
        end.set()


async def check_admin(node, operator):
    status = (await operator.get('/v1/status')).json()
    assert status['vm_id'] == 'vm-1' and status['draining'] is False
    revision = status['revision']

    async def change():
        await trio.sleep(0.05)
        node.front.publish()

    # The response comes with the revision, before the wait ends.
    async with trio.open_nursery() as nursery:
        nursery.start_soon(change)
        with trio.fail_after(5):
            response = await operator.get(
                f'/v1/status?revision={revision + 1}&wait=30'
            )
    assert response.json()['revision'] == revision + 1
    late = await operator.get(f'/v1/status?revision={revision + 9}&wait=0.1')
    assert late.json()['revision'] == revision + 1
    for query in ('revision=x', 'wait=-1', 'wait=1e9', 'wait=nan'):
        rejected = await operator.get(f'/v1/status?{query}')
        assert rejected.status_code == 400, query
    assert (await operator.get('/v1/nothing')).status_code == 404
    shown = (await operator.get('/v1/histograms')).json()['histograms']
    row = next(row for row in shown if row['measure'] == 'total')
    assert (row['account'], row['traffic_class']) == ('canopy', 'standard')
    assert row['count'] == 1 and 0 < row['p50'] <= row['max'] < 10
