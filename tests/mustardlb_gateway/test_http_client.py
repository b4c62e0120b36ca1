import pytest
import scripted
import trio

from mustardlb_gateway import http_client

HEADERS = [(b'host', b'h'), (b'x-id', b'mine')]


def is_mine(head):
    return dict(head.headers).get(b'x-id') == b'mine'


async def exchange(server, body=b''):
    pool = http_client.Pool(1.0)
    connection = await pool.acquire('t', '127.0.0.1', server.port)
    await connection.send(b'POST', b'/', HEADERS, body)
    head = await connection.receive_head(is_mine)
    received = await connection.receive_body(1000)
    pool.release('t', connection)
    return head, received, connection


async def test_connection_is_reused():
    async def script(connection, head, body):
        await connection.send(scripted.response(b'mine'))

    async with scripted.ScriptedServer(script).running() as server:
        pool = http_client.Pool(1.0)
        for _ in range(3):
            connection = await pool.acquire('t', '127.0.0.1', server.port)
            await connection.send(b'GET', b'/', HEADERS, b'')
            await connection.receive_head(is_mine)
            assert await connection.receive_body(10) == b'ok'
            pool.release('t', connection)
        assert server.opened == 1


async def test_response_to_another_request_is_skipped():
    async def script(connection, head, body):
        await connection.send(
            scripted.response(b'other', b'not yours')
            + scripted.response(b'mine', b'yours')
        )

    async with scripted.ScriptedServer(script).running() as server:
        _, body, connection = await exchange(server, b'x' * 50)
        assert body == b'yours'
        assert not connection.is_closed


async def test_excess_bytes_close_the_connection():
    async def script(connection, head, body):
        await connection.send(scripted.response(b'mine') + b'HTTP/1.1 200')

    async with scripted.ScriptedServer(script).running() as server:
        _, body, connection = await exchange(server)
        assert body == b'ok'
        assert connection.is_closed


async def test_unsolicited_response_is_not_delivered():
    async def script(connection, head, body):
        await connection.send(scripted.response(b'mine', b'first'))
        await connection.send(scripted.response(b'mine', b'again'))

    async with scripted.ScriptedServer(script).running() as server:
        pool = http_client.Pool(1.0)
        for _ in range(2):
            connection = await pool.acquire('t', '127.0.0.1', server.port)
            await connection.send(b'GET', b'/', HEADERS, b'')
            await connection.receive_head(is_mine)
            assert await connection.receive_body(10) == b'first'
            await trio.sleep(0.05)
            pool.release('t', connection)
        assert server.opened == 2


@pytest.mark.parametrize(
    'reply',
    [
        b'HTTP/1.1 200 OK\r\nx-id: mine\r\ncontent-length: 9\r\n\r\nabc',
        b'HTTP/1.1 200 OK\r\nx-id: mine\r\ntransfer-encoding: chunked\r\n\r\n'
        b'3\r\nabc\r\n',
        b'HTTP/1.1 200 OK\r\nx-id: mi',
        b'rubbish\r\n\r\n',
        b'',
    ],
)
async def test_truncated_response_raises(reply):
    async def script(connection, head, body):
        await connection.send(reply)
        await connection.stream.send_eof()

    async with scripted.ScriptedServer(script).running() as server:
        with pytest.raises(http_client.ExchangeFailed) as failed:
            await exchange(server)
        assert failed.value.was_sent


async def test_response_without_length_ends_at_eof():
    async def script(connection, head, body):
        await connection.send(b'HTTP/1.1 200 OK\r\nx-id: mine\r\n\r\nabc')
        await connection.stream.aclose()

    async with scripted.ScriptedServer(script).running() as server:
        head, body, connection = await exchange(server)
        assert body == b'abc'
        assert not head.has_length
        assert connection.is_closed


async def test_reset_of_response_without_length_raises():
    async def script(connection, head, body):
        await connection.send(b'HTTP/1.1 200 OK\r\nx-id: mine\r\n\r\nabc')
        await trio.sleep(0.05)
        await connection.reset()

    async with scripted.ScriptedServer(script).running() as server:
        with pytest.raises(http_client.ExchangeFailed):
            await exchange(server)


async def test_response_before_the_body_was_read_is_received():
    async def serve(stream):
        await stream.receive_some(1000)
        await stream.send_all(
            scripted.response(b'mine', b'', 503, b'connection: close')
        )
        await trio.sleep_forever()

    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(trio.serve_tcp, serve, 0)
        port = listeners[0].socket.getsockname()[1]
        pool = http_client.Pool(1.0)
        connection = await pool.acquire('t', '127.0.0.1', port)
        await connection.send(
            b'POST', b'/', HEADERS, b'x' * 8_000_000, nursery
        )
        head = await connection.receive_head(is_mine)
        assert head.status == 503
        await connection.receive_body(10)
        pool.release('t', connection)
        assert connection.is_closed
        nursery.cancel_scope.cancel()


async def test_refused_connection_is_reported_as_not_sent():
    pool = http_client.Pool(1.0)
    with pytest.raises(http_client.ExchangeFailed) as failed:
        await pool.acquire('t', '127.0.0.1', 1)
    assert not failed.value.was_sent
