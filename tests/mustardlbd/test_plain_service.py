"""Plain services: forwarding, streaming both ways, bookings, retries."""

import contextlib
import hashlib

import httpx
import pytest
import trio
import trio.testing

from mustardlb_standins import faults
from mustardlb_standins import plain_service
from mustardlb_standins import web

MEGABYTE = 1 << 20


async def test_methods_paths_and_headers_are_forwarded(site):
    async with site() as node:
        path = '/echo/a%2Fb/%C3%A9;x?q=1&q=%20&empty='
        for method in ('GET', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS'):
            response = await node.client.request(
                method,
                path,
                content=b'' if method == 'GET' else b'\x00\xff body',
                headers=node.front.headers()
                | {'X-One': 'a', 'Connection': 'X-Hop', 'X-Hop': 'b'},
            )
            seen = response.json()
            assert response.status_code == 200
            assert seen['method'] == method
            assert seen['path'] == '/echo/a/b/é;x'
            assert seen['query'] == 'q=1&q=%20&empty='
            if method != 'GET':
                assert seen['body'] == '\x00ÿ body'
            names = {name.lower() for name, _ in seen['headers']}
            assert 'x-one' in names
            assert not names & {'x-hop', 'authorization'}
        # An unknown method is forwarded; the target rejects it.
        response = await node.client.request(
            'PURGE', '/echo/a', headers=node.front.headers()
        )
        assert response.status_code == 405


async def test_public_and_protected_routes(site):
    async with site() as node:
        assert (await node.client.get('/echo/open')).status_code == 200
        for path in ('/echo', '/echo/opener', '/echo/open/../closed'):
            response = await node.client.get(
                path, headers={'X-Api-Key': 'mlb_wrong'}
            )
            assert response.status_code in (400, 401), path
        del node.front.routes['ledger']
        node.front.publish()
        response = await node.client.get('/echo', headers=node.front.headers())
        assert response.status_code == 404
        assert response.json()['error']['code'] == 'route_not_found'
        assert len(node.front.desk.received) == 1


async def test_dot_segments_cannot_leave_a_public_route(site):
    async with site() as node:
        port = int(node.url.rsplit(':', 1)[1])
        for path in (b'/echo/open/../x', b'/echo/open/%2e%2e/x'):
            stream = await trio.open_tcp_stream('127.0.0.1', port)
            async with stream:
                await stream.send_all(
                    b'GET %b HTTP/1.1\r\nHost: a\r\n\r\n' % path
                )
                response = await stream.receive_some()
                assert response.startswith(b'HTTP/1.1 400 ')
        assert not node.front.desk.received


async def test_large_bodies_stream_both_ways(site):
    async with site() as node:
        size = 8 * MEGABYTE

        async def blocks():
            for _ in range(size // 65536):
                yield b'%' * 65536

        response = await node.client.post(
            '/upload', content=blocks(), headers=node.front.headers()
        )
        digest = hashlib.sha256(b'%' * size).hexdigest()
        assert response.json() == {'size': size, 'sha256': digest}
        response = await node.client.get(
            f'/download/{size}', headers=node.front.headers()
        )
        assert len(response.content) == size


async def test_backpressure_from_a_slow_caller_to_the_target(site):
    sent = 0

    async def send_large_response(stream):
        nonlocal sent
        await stream.receive_some()
        await stream.send_all(
            b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % (256 * MEGABYTE)
        )
        with contextlib.suppress(trio.BrokenResourceError):
            while True:
                await stream.send_all(b'x' * 65536)
                sent += 65536

    async with site() as node, trio.open_nursery() as nursery:
        listeners = await nursery.start(trio.serve_tcp, send_large_response, 0)
        port = listeners[0].socket.getsockname()[1]
        node.front.add_target('desk-1', f'http://127.0.0.1:{port}')
        async with node.client.stream(
            'GET', '/download', headers=node.front.headers()
        ) as response:
            await anext(response.aiter_raw())
            await trio.testing.wait_all_tasks_blocked(0.3)
            # Only the socket buffers are filled.
            assert sent < 64 * MEGABYTE
        nursery.cancel_scope.cancel()


async def test_backpressure_from_a_slow_target_to_the_caller(site):
    async def never_read(stream):
        await trio.sleep_forever()

    sent = 0

    async def blocks():
        nonlocal sent
        for _ in range(4096):
            yield b'x' * 65536
            sent += 65536

    async with site() as node, trio.open_nursery() as nursery:
        listeners = await nursery.start(trio.serve_tcp, never_read, 0)
        port = listeners[0].socket.getsockname()[1]
        node.front.add_target('desk-1', f'http://127.0.0.1:{port}')
        with trio.move_on_after(1.0):
            await node.client.post(
                '/upload', content=blocks(), headers=node.front.headers()
            )
        assert 0 < sent < 64 * MEGABYTE
        nursery.cancel_scope.cancel()


async def book(node, reference, key, account='canopy'):
    headers = node.front.headers(account)
    if key:
        headers['Idempotency-Key'] = key
    return await node.client.post(
        '/bookings', json={'reference': reference}, headers=headers
    )


async def test_booking_runs_once_for_its_idempotency_key(site):
    async with site() as node:
        first = await book(node, 'oats', 'k1')
        again = await book(node, 'oats', 'k1')
        assert first.status_code == again.status_code == 201
        assert first.json() == again.json()
        assert 'idempotent-replayed' not in first.headers
        assert again.headers['idempotent-replayed'] == 'true'
        await book(node, 'oats', 'k2')
        assert node.front.desk.runs['oats'] == 2


@pytest.mark.parametrize('key', ['', 'k1'])
async def test_booking_that_may_have_run_is_not_retried(site, key):
    async with (
        site() as node,
        web.serving(plain_service.build(plain_service.PlainService())) as url,
    ):
        node.front.add_target('desk-2', url)
        node.front.desk.plan.add('booking:*', faults.Kind.RESPONSE_LOST)
        response = await book(node, 'oats', key)
        # The error response of the target is forwarded.
        assert response.status_code == 503
        assert node.front.desk.runs['oats'] == 1
        again = await book(node, 'oats', key)
        assert node.front.desk.runs['oats'] == (1 if key else 2)
        assert (again.status_code == 503) is bool(key)


async def test_booking_that_reached_no_target_may_run_again(site):
    async with site() as node:
        url = node.front.desk_url
        node.front.add_target('desk-1', 'http://127.0.0.1:9')
        response = await book(node, 'oats', 'k1')
        assert response.status_code == 502
        assert response.json()['error']['not_run'] is True
        node.front.add_target('desk-1', url)
        assert (await book(node, 'oats', 'k1')).status_code == 201
        assert node.front.desk.runs['oats'] == 1


async def test_booking_is_recorded_if_its_caller_disconnects(site):
    async with site() as node:
        node.front.desk.booking_time = 0.3
        with trio.move_on_after(0.1):
            await book(node, 'oats', 'k1')
        with trio.fail_after(5):
            while ('canopy', 'k1') not in node.front.outcomes():  # noqa: ASYNC110
                await trio.sleep(0.01)
        assert (await book(node, 'oats', 'k1')).status_code == 201
        assert node.front.desk.runs['oats'] == 1


async def test_only_idempotent_calls_are_retried(site):
    async with site() as node:
        unreachable_url = 'http://127.0.0.1:9'
        node.front.add_target('desk-0', unreachable_url)
        for method in ('GET', 'POST'):
            response = await node.client.request(
                method, '/echo', headers=node.front.headers()
            )
            # The first target was not reached, so a POST is retried too.
            assert response.status_code == 200
        accepted = []

        async def close_after_request(stream):
            accepted.append(await stream.receive_some())
            await stream.aclose()

        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(
                trio.serve_tcp, close_after_request, 0
            )
            port = listeners[0].socket.getsockname()[1]
            node.front.add_target('desk-0', f'http://127.0.0.1:{port}')
            get = await node.client.get('/echo', headers=node.front.headers())
            post = await node.client.post(
                '/echo', content=b'a', headers=node.front.headers()
            )
            nursery.cancel_scope.cancel()
        assert get.status_code == 200 and post.status_code == 502
        assert post.json()['error']['not_run'] is False
        assert len(accepted) == 2


async def test_truncated_response_is_detected_by_the_caller(site):
    async def send_partial_response(stream):
        await stream.receive_some()
        await stream.send_all(
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'3\r\nabc\r\n'
        )
        await stream.aclose()

    async with site() as node, trio.open_nursery() as nursery:
        listeners = await nursery.start(
            trio.serve_tcp, send_partial_response, 0
        )
        port = listeners[0].socket.getsockname()[1]
        node.front.add_target('desk-1', f'http://127.0.0.1:{port}')
        http2 = httpx.AsyncClient(
            base_url=node.url, http1=False, http2=True, timeout=5.0
        )
        async with http2:
            for client in (node.client, http2):
                with pytest.raises(httpx.RemoteProtocolError):
                    await client.get('/echo', headers=node.front.headers())
        nursery.cancel_scope.cancel()
