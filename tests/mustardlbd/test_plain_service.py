"""Plain services: passing on, streaming both ways, bookings, retries."""

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


async def test_any_method_path_and_header_goes_on(site):
    async with site() as one:
        path = '/echo/a%2Fb/%C3%A9;x?q=1&q=%20&empty='
        for method in ('GET', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS'):
            answer = await one.client.request(
                method,
                path,
                content=b'' if method == 'GET' else b'\x00\xff body',
                headers=one.front.headers()
                | {'X-One': 'a', 'Connection': 'X-Hop', 'X-Hop': 'b'},
            )
            seen = answer.json()
            assert answer.status_code == 200
            assert seen['method'] == method
            assert seen['path'] == '/echo/a/b/é;x'
            assert seen['query'] == 'q=1&q=%20&empty='
            if method != 'GET':
                assert seen['body'] == '\x00ÿ body'
            names = {name.lower() for name, _ in seen['headers']}
            assert 'x-one' in names
            assert not names & {'x-hop', 'authorization'}
        # A method that the target does not know is its own to refuse.
        answer = await one.client.request(
            'PURGE', '/echo/a', headers=one.front.headers()
        )
        assert answer.status_code == 405


async def test_routes_open_to_all_and_routes_that_are_not(site):
    async with site() as one:
        assert (await one.client.get('/echo/open')).status_code == 200
        for path in ('/echo', '/echo/opener', '/echo/open/../closed'):
            answer = await one.client.get(
                path, headers={'X-Api-Key': 'mlb_wrong'}
            )
            assert answer.status_code in (400, 401), path
        del one.front.routes['ledger']
        one.front.publish()
        answer = await one.client.get('/echo', headers=one.front.headers())
        assert answer.status_code == 404
        assert answer.json()['error']['code'] == 'route_not_found'
        assert len(one.front.desk.received) == 1


async def test_dot_segments_do_not_lead_out_of_an_open_route(site):
    async with site() as one:
        port = int(one.url.rsplit(':', 1)[1])
        for path in (b'/echo/open/../x', b'/echo/open/%2e%2e/x'):
            stream = await trio.open_tcp_stream('127.0.0.1', port)
            async with stream:
                await stream.send_all(
                    b'GET %b HTTP/1.1\r\nHost: a\r\n\r\n' % path
                )
                answer = await stream.receive_some()
                assert answer.startswith(b'HTTP/1.1 400 ')
        assert not one.front.desk.received


async def test_large_bodies_stream_both_ways(site):
    async with site() as one:
        size = 8 * MEGABYTE

        async def blocks():
            for _ in range(size // 65536):
                yield b'%' * 65536

        answer = await one.client.post(
            '/upload', content=blocks(), headers=one.front.headers()
        )
        digest = hashlib.sha256(b'%' * size).hexdigest()
        assert answer.json() == {'size': size, 'sha256': digest}
        answer = await one.client.get(
            f'/download/{size}', headers=one.front.headers()
        )
        assert len(answer.content) == size


async def test_a_slow_reader_holds_the_target_back(site):
    sent = 0

    async def pour(stream):
        nonlocal sent
        await stream.receive_some()
        await stream.send_all(
            b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % (256 * MEGABYTE)
        )
        with contextlib.suppress(trio.BrokenResourceError):
            while True:
                await stream.send_all(b'x' * 65536)
                sent += 65536

    async with site() as one, trio.open_nursery() as nursery:
        listeners = await nursery.start(trio.serve_tcp, pour, 0)
        port = listeners[0].socket.getsockname()[1]
        one.front.add_target('desk-1', f'http://127.0.0.1:{port}')
        async with one.client.stream(
            'GET', '/download', headers=one.front.headers()
        ) as answer:
            await anext(answer.aiter_raw())
            await trio.testing.wait_all_tasks_blocked(0.3)
            # What the kernel's buffers hold, and no more.
            assert sent < 64 * MEGABYTE
        nursery.cancel_scope.cancel()


async def test_a_slow_target_holds_the_sender_back(site):
    async def stall(stream):
        await trio.sleep_forever()

    sent = 0

    async def blocks():
        nonlocal sent
        for _ in range(4096):
            yield b'x' * 65536
            sent += 65536

    async with site() as one, trio.open_nursery() as nursery:
        listeners = await nursery.start(trio.serve_tcp, stall, 0)
        port = listeners[0].socket.getsockname()[1]
        one.front.add_target('desk-1', f'http://127.0.0.1:{port}')
        with trio.move_on_after(1.0):
            await one.client.post(
                '/upload', content=blocks(), headers=one.front.headers()
            )
        assert 0 < sent < 64 * MEGABYTE
        nursery.cancel_scope.cancel()


async def book(one, reference, key, account='canopy'):
    headers = one.front.headers(account)
    if key:
        headers['Idempotency-Key'] = key
    return await one.client.post(
        '/bookings', json={'reference': reference}, headers=headers
    )


async def test_a_booking_runs_once_for_its_key(site):
    async with site() as one:
        first = await book(one, 'oats', 'k1')
        again = await book(one, 'oats', 'k1')
        assert first.status_code == again.status_code == 201
        assert first.json() == again.json()
        assert 'idempotent-replayed' not in first.headers
        assert again.headers['idempotent-replayed'] == 'true'
        await book(one, 'oats', 'k2')
        assert one.front.desk.runs['oats'] == 2


@pytest.mark.parametrize('key', ['', 'k1'])
async def test_a_booking_that_may_have_run_is_not_sent_again(site, key):
    async with (
        site() as one,
        web.serving(plain_service.build(plain_service.PlainService())) as url,
    ):
        one.front.add_target('desk-2', url)
        one.front.desk.plan.add('booking:*', faults.Kind.RESPONSE_LOST)
        answer = await book(one, 'oats', key)
        # The desk's answer is passed on: it is the target that failed.
        assert answer.status_code == 503
        assert one.front.desk.runs['oats'] == 1
        again = await book(one, 'oats', key)
        assert one.front.desk.runs['oats'] == (1 if key else 2)
        assert (again.status_code == 503) is bool(key)


async def test_a_booking_that_reached_nobody_may_run_again(site):
    async with site() as one:
        url = one.front.desk_url
        one.front.add_target('desk-1', 'http://127.0.0.1:9')
        answer = await book(one, 'oats', 'k1')
        assert answer.status_code == 502
        assert answer.json()['error']['not_run'] is True
        one.front.add_target('desk-1', url)
        assert (await book(one, 'oats', 'k1')).status_code == 201
        assert one.front.desk.runs['oats'] == 1


async def test_a_booking_is_recorded_though_its_caller_leaves(site):
    async with site() as one:
        one.front.desk.booking_time = 0.3
        with trio.move_on_after(0.1):
            await book(one, 'oats', 'k1')
        with trio.fail_after(5):
            while ('canopy', 'k1') not in one.front.outcomes():  # noqa: ASYNC110
                await trio.sleep(0.01)
        assert (await book(one, 'oats', 'k1')).status_code == 201
        assert one.front.desk.runs['oats'] == 1


async def test_idempotent_calls_go_elsewhere_and_others_do_not(site):
    async with site() as one:
        dead = 'http://127.0.0.1:9'
        one.front.add_target('desk-0', dead)
        for method in ('GET', 'POST'):
            answer = await one.client.request(
                method, '/echo', headers=one.front.headers()
            )
            # Nobody was reached at first, so even a POST may go on.
            assert answer.status_code == 200
        accepted = []

        async def hang_up(stream):
            accepted.append(await stream.receive_some())
            await stream.aclose()

        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(trio.serve_tcp, hang_up, 0)
            port = listeners[0].socket.getsockname()[1]
            one.front.add_target('desk-0', f'http://127.0.0.1:{port}')
            get = await one.client.get('/echo', headers=one.front.headers())
            post = await one.client.post(
                '/echo', content=b'a', headers=one.front.headers()
            )
            nursery.cancel_scope.cancel()
        assert get.status_code == 200 and post.status_code == 502
        assert post.json()['error']['not_run'] is False
        assert len(accepted) == 2


async def test_a_cut_download_is_seen_as_cut(site):
    async def half(stream):
        await stream.receive_some()
        await stream.send_all(
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'3\r\nabc\r\n'
        )
        await stream.aclose()

    async with site() as one, trio.open_nursery() as nursery:
        listeners = await nursery.start(trio.serve_tcp, half, 0)
        port = listeners[0].socket.getsockname()[1]
        one.front.add_target('desk-1', f'http://127.0.0.1:{port}')
        http2 = httpx.AsyncClient(
            base_url=one.url, http1=False, http2=True, timeout=5.0
        )
        async with http2:
            for client in (one.client, http2):
                with pytest.raises(httpx.RemoteProtocolError):
                    await client.get('/echo', headers=one.front.headers())
        nursery.cancel_scope.cancel()
