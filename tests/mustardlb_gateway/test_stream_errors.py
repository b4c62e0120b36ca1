"""What follows a stream that has begun and breaks off.

An error of the next target must not become part of the client's stream, nor
its end the stream's.
"""

import builders
import gateway_harness
import pytest
import scripted
import test_lost_responses
import trio

from mustardlb_gateway import domain

ERROR = b'broken\n\nid: 9\ndata: broken\n\n'
UNFRAMED_HEAD = b'HTTP/1.1 200 OK\r\nx-id: r1\r\nx-signed: 1\r\n\r\n'


def response(status, body=ERROR, extra=b'', signed=True):
    return scripted.response(b'r1', body, status, extra, signed)


def stream(*events):
    return b''.join(
        [
            scripted.stream_head(b'r1'),
            *map(scripted.chunk, events),
            scripted.LAST_CHUNK,
        ]
    )


# What the second target sends before it closes its connection.
ERRORS = {
    **{f'status {status}': response(status) for status in (400, 404, 500)},
    'busy': response(503),
    'refusal': response(503, extra=b'x-not-run: 1'),
    'redirect': response(302, extra=b'location: /broken'),
    'not modified': response(304, b''),
    'no content': b'HTTP/1.1 204 X\r\nx-id: r1\r\nx-signed: 1\r\n\r\n',
    'no content, length 0': response(204, b''),
    'part of the content': response(206),
    'document': response(200, extra=b'content-type: application/json'),
    'unsigned': response(200, signed=False),
    'other id': scripted.response(b'r0', ERROR),
    'malformed head': b'broken\r\n\r\n' + ERROR,
    'early end': scripted.stream_head(b'r1'),
    'early end, unframed': UNFRAMED_HEAD,
    'head in an unframed stream': UNFRAMED_HEAD + response(500),
    'error event': stream(b'event: error\ndata: broken\n\n'),
    'event without id': stream(b'data: broken\n\n'),
    'events that were sent': stream(b'id: 2\ndata: e2\n\n'),
    'events from the start': stream(b'id: 0\ndata: e0\n\n'),
}

PART_OF_EVENT = scripted.stream_head(b'r1') + scripted.chunk(b'id: 3\nda')


def begin(tail):
    """Return a script that resets a stream after three events and `tail`."""

    async def script(connection, head, body):
        await connection.send(scripted.stream_head(b'r1'))
        for number in range(3):
            await connection.send(scripted.event(number))
        if tail:
            await connection.send(scripted.chunk(tail))
        await trio.sleep(0.02)
        await connection.reset()

    return script


def send_and_close(data):
    async def script(connection, head, body):
        assert dict(head.headers)[b'last-event-id'] == b'2'
        await connection.send(data)
        await connection.stream.aclose()

    return script


async def go_on(connection, head, body):
    first = int(dict(head.headers)[b'last-event-id']) + 1
    events = [scripted.event(number) for number in range(first, 6)]
    await connection.send(
        scripted.stream_head(b'r1') + b''.join(events) + scripted.LAST_CHUNK
    )


def make_route(is_resumable, max_attempts):
    return builders.make_route(
        kind=domain.RouteKind.STREAM,
        is_resumable=is_resumable,
        max_attempts=max_attempts,
    )


def check_no_error(answer):
    assert answer.status == 200
    assert b'broken' not in answer.body
    assert b'HTTP/' not in answer.body


@pytest.mark.parametrize('kind', sorted(ERRORS))
@pytest.mark.parametrize('after', [b'', PART_OF_EVENT])
@pytest.mark.parametrize('tail', [b'', b'id: 3\nda'])
async def test_error_of_the_next_target_cuts_the_stream(kind, after, tail):
    """The error's text, or its end, came into a stream that had begun."""
    scripts = (begin(tail), send_and_close(after + ERRORS[kind]))
    harness = gateway_harness.Harness(make_route(True, 2))
    async with harness.running(go_on, go_on):
        test_lost_responses.use_in_turn(harness, scripts)
        answer = await harness.send_request()
        assert harness.request_count == 2
    check_no_error(answer)
    assert answer.events == [0, 1, 2]
    assert not answer.is_complete


@pytest.mark.parametrize('kind', sorted(ERRORS))
@pytest.mark.parametrize('after', [b'', PART_OF_EVENT])
async def test_stream_goes_on_after_an_error_of_the_next_target(kind, after):
    """A third target goes on where the first one had broken off."""
    scripts = (
        begin(b'id: 3\nda'),
        send_and_close(after + ERRORS[kind]),
        go_on,
    )
    harness = gateway_harness.Harness(make_route(True, 3))
    async with harness.running(go_on, go_on, go_on):
        test_lost_responses.use_in_turn(harness, scripts)
        answer = await harness.send_request()
    check_no_error(answer)
    assert answer.events == [0, 1, 2, 3, 4, 5]
    assert answer.is_complete


@pytest.mark.parametrize('tail', [b'', b'id: 3\nda'])
async def test_stream_that_may_not_be_resumed_is_cut(tail):
    """It has no second target, and its end is not that of the stream."""
    harness = gateway_harness.Harness(make_route(False, 3))
    async with harness.running(begin(tail), begin(tail)):
        answer = await harness.send_request()
        assert harness.request_count == 1
    check_no_error(answer)
    assert answer.events == [0, 1, 2]
    assert not answer.is_complete


async def test_comment_before_the_next_event_is_forwarded():
    """Comments have no id and may come before the stream goes on."""

    async def go_on_later(connection, head, body):
        await connection.send(
            scripted.stream_head(b'r1')
            + scripted.chunk(b': wait\n\n')
            + scripted.chunk(b': wait\n\nid: 3\ndata: e3\n\n')
            + scripted.LAST_CHUNK
        )

    harness = gateway_harness.Harness(make_route(True, 2))
    async with harness.running(go_on, go_on):
        test_lost_responses.use_in_turn(harness, (begin(b''), go_on_later))
        answer = await harness.send_request()
    assert answer.content.endswith(b': wait\n\nid: 3\ndata: e3\n\n')
    assert answer.is_complete


async def test_stream_that_ended_with_its_last_event_is_complete():
    """A target that has no further event may say so."""
    harness = gateway_harness.Harness(make_route(True, 2))
    async with harness.running(go_on, go_on):
        scripts = (begin(b''), send_and_close(stream()))
        test_lost_responses.use_in_turn(harness, scripts)
        answer = await harness.send_request()
    assert answer.events == [0, 1, 2]
    assert answer.is_complete


async def test_stream_without_ids_does_not_begin_again():
    """Without an id to go on from, a second run would join the first."""

    async def script(connection, head, body):
        await connection.send(
            scripted.stream_head(b'r1') + scripted.chunk(b'data: e0\n\n')
        )
        await trio.sleep(0.02)
        await connection.reset()

    harness = gateway_harness.Harness(make_route(True, 2))
    async with harness.running(script, script):
        answer = await harness.send_request()
    assert answer.body.count(b'e0') == 1
    assert not answer.is_complete


# A stream without a length or chunks may have such bytes, too.
@pytest.mark.parametrize('numbers', [(0, 1), ()])
async def test_other_response_within_a_stream_ends_it(numbers):
    """An earlier refusal, written again within a stream, was forwarded."""
    events = b''.join(b'id: %d\ndata: e%d\n\n' % (n, n) for n in numbers)
    late = response(503, b'broken', extra=b'x-not-run: 1')

    async def script(connection, head, body):
        await connection.send(UNFRAMED_HEAD + events + late + events)
        await connection.stream.aclose()

    harness = gateway_harness.Harness(make_route(False, 1))
    async with harness.running(script):
        answer = await harness.send_request()
    assert b'HTTP/' not in answer.body
    assert b'broken' not in answer.body
    assert not (answer.status == 200 and answer.is_complete)
    assert answer.status in (200, 502)


@pytest.mark.parametrize('memory_mb', [0.0, 100.0])
async def test_cut_stream_is_reset_for_a_client_that_knows_no_chunks(
    memory_mb,
):
    """To an HTTP/1.0 client, a closed connection ends a stream as complete."""
    harness = gateway_harness.Harness(
        make_route(False, 1), memory_mb=memory_mb
    )
    request = b'POST /x/ HTTP/1.0\r\nhost: h\r\nx-id: r1\r\n\r\n'
    async with harness.running(begin(b'')):
        client = await trio.open_tcp_stream('127.0.0.1', harness.port)
        await client.send_all(request)
        with pytest.raises(trio.BrokenResourceError), trio.fail_after(5):
            while await client.receive_some():
                pass
        await client.aclose()


async def test_whole_stream_ends_normally_for_a_client_without_chunks():
    """The connection's end is the end of the stream."""

    async def run(connection, head, body):
        await connection.send(stream(b'id: 0\ndata: e0\n\n'))

    harness = gateway_harness.Harness(make_route(False, 1))
    request = b'POST /x/ HTTP/1.0\r\nhost: h\r\nx-id: r1\r\n\r\n'
    async with harness.running(run):
        client = await trio.open_tcp_stream('127.0.0.1', harness.port)
        await client.send_all(request)
        data = b''
        with trio.fail_after(5):
            while more := await client.receive_some():
                data += more
        await client.aclose()
    assert data.endswith(b'id: 0\ndata: e0\n\n')
