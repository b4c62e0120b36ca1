"""Callers that read nothing, leave, or speak TLS; operators' credentials."""

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


async def test_caller_that_reads_nothing_is_given_up(site, caller_settings):
    finished = trio.Event()

    async def pour(stream):
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
    async with site(settings=settings) as one, trio.open_nursery() as nursery:
        listeners = await nursery.start(trio.serve_tcp, pour, 0)
        port = listeners[0].socket.getsockname()[1]
        one.front.add_target('desk-1', f'http://127.0.0.1:{port}')
        own = int(one.url.rsplit(':', 1)[1])
        key = one.front.keys_by_account['canopy']
        async with await trio.open_tcp_stream('127.0.0.1', own) as stream:
            await stream.send_all(
                f'GET /download HTTP/1.1\r\nHost: a\r\n'
                f'X-Api-Key: {key}\r\n\r\n'.encode()
            )
            with trio.fail_after(5):
                await finished.wait()
        # The one connection is gone, and the node goes on.
        assert (await one.client.get('/healthz')).status_code == 200
        nursery.cancel_scope.cancel()


async def test_pipelined_and_kept_connections(site):
    async with site() as one:
        own = int(one.url.rsplit(':', 1)[1])
        async with await trio.open_tcp_stream('127.0.0.1', own) as stream:
            await stream.send_all(
                b'GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n' * 5
            )
            answers = b''
            with trio.fail_after(5):
                while answers.count(b'{"healthy":true}') < 5:
                    answers += await stream.receive_some()


async def test_connections_are_bounded(site, caller_settings):
    async with site(settings=caller_settings(max_connections=2)) as one:
        own = int(one.url.rsplit(':', 1)[1])
        request = b'GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n'
        streams = []
        for count in range(4):
            stream = await trio.open_tcp_stream('127.0.0.1', own)
            streams.append(stream)
            answer = b''
            with contextlib.suppress(trio.BrokenResourceError):
                await stream.send_all(request)
                answer = await stream.receive_some()
            assert answer.startswith(b'HTTP/1.1 200') is (count < 2)
        # One that leaves makes room.
        await streams[0].aclose()
        await trio.testing.wait_all_tasks_blocked(0.05)
        async with await trio.open_tcp_stream('127.0.0.1', own) as stream:
            await stream.send_all(request)
            answer = await stream.receive_some()
        assert answer.startswith(b'HTTP/1.1 200')
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


async def test_tls_to_callers_with_both_versions(site, caller_settings):
    authority, server, client = make_contexts()
    server.set_alpn_protocols(['h2', 'http/1.1'])
    async with site(settings=caller_settings(tls=server)) as one:
        url = one.url.replace('http:', 'https:')
        for http2 in (False, True):
            async with httpx.AsyncClient(
                base_url=url, verify=client, http2=http2
            ) as caller:
                answer = await caller.post(
                    CHAT,
                    json={'model': 'oak@1', 'messages': [], 'max_tokens': 3},
                    headers=one.front.headers(),
                )
                assert answer.status_code == 200
                expected = 'HTTP/2' if http2 else 'HTTP/1.1'
                assert answer.http_version == expected


async def test_operators_need_a_certificate(site):
    authority, server, client = make_contexts()
    server.verify_mode = ssl.CERT_REQUIRED
    stranger = ssl.create_default_context()
    authority.configure_trust(stranger)
    end = trio.Event()
    async with site() as one:

        async def serve(task_status):
            await _admin.serve_admin(
                one.front.dependencies(),
                _http_connection.ServerSettings(tls=server),
                one.metrics,
                stop=one.front.stop,
                end=end,
                task_status=task_status,
            )

        port = await one.nursery.start(serve)
        url = f'https://127.0.0.1:{port}'
        async with httpx.AsyncClient(base_url=url, verify=stranger) as caller:
            with pytest.raises(httpx.TransportError):
                await caller.get('/v1/status')
        await one.client.post(
            CHAT,
            json={'model': 'oak@1', 'messages': [], 'max_tokens': 3},
            headers=one.front.headers(),
        )
        async with httpx.AsyncClient(base_url=url, verify=client) as operator:
            await check_admin(one, operator)
        end.set()


async def check_admin(one, operator):
    status = (await operator.get('/v1/status')).json()
    assert status['vm_id'] == 'vm-1' and status['draining'] is False
    revision = status['revision']

    async def change():
        await trio.sleep(0.05)
        one.front.publish()

    # The answer waits for the revision, and not for the whole time.
    async with trio.open_nursery() as nursery:
        nursery.start_soon(change)
        with trio.fail_after(5):
            answer = await operator.get(
                f'/v1/status?revision={revision + 1}&wait=30'
            )
    assert answer.json()['revision'] == revision + 1
    late = await operator.get(f'/v1/status?revision={revision + 9}&wait=0.1')
    assert late.json()['revision'] == revision + 1
    for query in ('revision=x', 'wait=-1', 'wait=1e9', 'wait=nan'):
        refused = await operator.get(f'/v1/status?{query}')
        assert refused.status_code == 400, query
    assert (await operator.get('/v1/nothing')).status_code == 404
    shown = (await operator.get('/v1/histograms')).json()['histograms']
    row = next(one for one in shown if one['measure'] == 'total')
    assert (row['account'], row['traffic_class']) == ('canopy', 'standard')
    assert row['count'] == 1 and 0 < row['p50'] <= row['max'] < 10
