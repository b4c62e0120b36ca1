"""Responses of targets that break off early or are not HTTP.

The HTTP library reads on after a failed write of the request, and takes the
end of a connection that the write found reset for the end of the body.
"""

import contextlib

import early_target
import h11
import pytest
import scripted
import trio

UPLOAD = b'x' * early_target.UPLOAD_BYTES


async def upload_to(node, reply):
    """Return status and body of the response to an upload.

    The body is None if the response broke off. The caller reads while it
    writes, since the response may come first.
    """
    target = early_target.EarlyTarget(reply)
    async with target.running():
        node.front.add_target('desk-1', f'http://127.0.0.1:{target.port}')
        port = int(node.url.rsplit(':', 1)[1])
        with trio.fail_after(10):
            return await _upload(port, node.front.headers())


async def _upload(port, headers):
    stream = await trio.open_tcp_stream('127.0.0.1', port)
    connection = h11.Connection(h11.CLIENT)
    request = h11.Request(
        method='POST',
        target='/upload',
        headers=[
            ('host', 'h'),
            ('content-length', str(len(UPLOAD))),
            *headers.items(),
        ],
    )
    data = connection.send(request) + connection.send(h11.Data(data=UPLOAD))
    data += connection.send(h11.EndOfMessage())
    async with stream, trio.open_nursery() as nursery:
        nursery.start_soon(_write, stream, data)
        status, body = await _read(stream, connection)
        nursery.cancel_scope.cancel()
    return status, body


async def _write(stream, data):
    with contextlib.suppress(trio.BrokenResourceError):
        await stream.send_all(data)


async def _read(stream, connection):
    status, body = 0, b''
    with contextlib.suppress(trio.BrokenResourceError, h11.ProtocolError):
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                connection.receive_data(await stream.receive_some(65536))
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                return status, body
            else:
                break
    return status, None


@pytest.mark.parametrize('end', ['reset', 'unread'])
@pytest.mark.parametrize('pause', [0.0, 0.05])
@pytest.mark.parametrize('framing', ['none', 'length', 'chunked'])
async def test_part_of_an_early_response_is_not_a_whole_one(
    site, framing, end, pause
):
    """The caller got the part as a complete response."""
    reply = early_target.Reply(framing, end, 0.5, pause)
    async with site() as node:
        status, body = await upload_to(node, reply)
    assert status == 502 or body is None


@pytest.mark.parametrize(
    ('framing', 'end'),
    [
        ('none', 'eof'),
        ('none', 'eof then close'),
        ('length', 'reset'),
        ('length', 'keep'),
        ('chunked', 'unread'),
    ],
)
async def test_whole_early_response_is_forwarded(site, framing, end):
    reply = early_target.Reply(framing, end, 1.0, 0.05)
    async with site() as node:
        assert await upload_to(node, reply) == (200, early_target.BODY)


@pytest.mark.parametrize(
    ('framing', 'end'),
    [('none', 'eof then close'), ('length', 'reset'), ('chunked', 'unread')],
)
async def test_whole_early_response_reaches_a_caller_that_reads_last(
    site, framing, end
):
    """The rest of the request was not read, and the caller waited."""
    reply = early_target.Reply(framing, end, 1.0, 0.05)
    target = early_target.EarlyTarget(reply)
    async with site() as node, target.running():
        node.front.add_target('desk-1', f'http://127.0.0.1:{target.port}')
        with trio.fail_after(5):
            response = await node.client.post(
                '/upload', content=UPLOAD, headers=node.front.headers()
            )
    assert (response.status_code, response.content) == (200, early_target.BODY)


async def test_broken_off_response_to_http_1_0_is_reset(site):
    """The orderly end of the connection was that of the response."""

    async def break_off(connection, head, body):
        lines = [b'HTTP/1.1 200 OK', b'transfer-encoding: chunked', b'']
        whole = b'\r\n'.join([*lines, scripted.chunk(b'first'), b'second'])
        await connection.send(whole[:-6])
        await connection.stream.aclose()

    server = scripted.ScriptedServer(break_off)
    async with site() as node, server.running():
        node.front.add_target('desk-1', f'http://127.0.0.1:{server.port}')
        port = int(node.url.rsplit(':', 1)[1])
        lines = [f'{k}: {v}' for k, v in node.front.headers().items()]
        request = '\r\n'.join(['GET /x HTTP/1.0', 'host: h', *lines, '', ''])
        async with await trio.open_tcp_stream('127.0.0.1', port) as stream:
            await stream.send_all(request.encode())
            with trio.fail_after(5), pytest.raises(trio.BrokenResourceError):
                while await stream.receive_some(65536):
                    pass


async def get_from(node, responses):
    """Return the responses of a node to targets' responses, in order."""
    unsent = list(responses)

    async def script(connection, head, body):
        await connection.send(unsent.pop(0))
        await connection.stream.aclose()

    server = scripted.ScriptedServer(script)
    async with server.running():
        node.front.add_target('desk-1', f'http://127.0.0.1:{server.port}')
        return [
            await node.client.post('/x', headers=node.front.headers())
            for _ in responses
        ]


def respond(lines, status=b'200'):
    body = early_target.BODY
    start = b'HTTP/1.1 %b OK' % status
    length = b'content-length: %d' % len(body)
    return b'\r\n'.join([start, b'x-other: 1', *lines, length, b'', body])


async def test_response_with_an_odd_field_name_is_rejected(site):
    """The line was joined to the field before it, or began the body."""
    odd_lines = [
        line % odd
        for odd in (b' ', b'\t', b'\n', b'\r', b'\0', b'\x0b', b'\x7f')
        for line in (b'%bx-odd: 1', b'x-%bodd: 1', b'x-odd%b: 1')
    ]
    async with site() as node:
        responses = await get_from(node, [respond([o]) for o in odd_lines])
        assert [each.status_code for each in responses] == [502] * len(
            odd_lines
        )
        (sound,) = await get_from(node, [respond([b'x-sound: 1'])])
        assert (sound.status_code, sound.headers['x-sound']) == (200, '1')


async def test_response_with_an_odd_status_is_rejected(site):
    statuses = [b'000', b'099', b'20', b'2000', b'', b'abc', b'-20']
    async with site() as node:
        responses = await get_from(node, [respond([], s) for s in statuses])
    assert [each.status_code for each in responses] == [502] * len(statuses)
