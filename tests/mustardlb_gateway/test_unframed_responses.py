"""Responses whose end is that of their connection, and silent connections.

A response without a length that is reset on its way must not look complete,
and what a connection gives after a long silence belongs to nobody.
"""

import builders
import gateway_harness
import pytest
import scripted
import test_lost_responses
import trio

from mustardlb import frames
from mustardlb_gateway import _relay
from mustardlb_gateway import domain
from mustardlb_gateway import http_client

NON_IDEMPOTENT = builders.make_route(
    kind=domain.RouteKind.NON_IDEMPOTENT, max_attempts=2
)
IDEMPOTENT = builders.make_route(max_attempts=2, latency_objective=0.1)


def make_stream_route(is_resumable):
    return builders.make_route(
        kind=domain.RouteKind.STREAM, is_resumable=is_resumable, max_attempts=2
    )


def unframed_head(head):
    return (
        b'HTTP/1.1 200 OK\r\nx-signed: 1\r\nx-id: '
        + scripted.request_id(head)
        + b'\r\n\r\n'
    )


def send_unframed(body, is_reset):
    """Return a script whose response ends with its connection."""

    async def script(connection, head, _):
        await connection.send(unframed_head(head) + body)
        await trio.sleep(0.02)
        if is_reset:
            await connection.reset()
        else:
            await connection.stream.aclose()

    return script


async def respond(connection, head, body):
    await connection.send(
        scripted.response(scripted.request_id(head), b'second')
    )


@pytest.mark.parametrize('body', [b'', b'fir', b'first'])
@pytest.mark.parametrize(
    ('route', 'status', 'expected'),
    [(NON_IDEMPOTENT, 502, None), (IDEMPOTENT, 200, b'second')],
)
async def test_reset_response_is_not_forwarded(body, route, status, expected):
    """A part of a response was the response, or two were joined."""
    scripts = (send_unframed(body, True), respond)
    harness = gateway_harness.Harness(route)
    async with harness.running(respond, respond):
        test_lost_responses.use_in_turn(harness, scripts)
        answer = await harness.send_request()
    assert answer.status == status
    if expected is not None:
        assert answer.body == expected
    assert b'fir' not in answer.body


async def test_response_that_ends_with_its_connection_is_whole():
    """The end without a reset is the end of the response."""
    harness = gateway_harness.Harness(NON_IDEMPOTENT)
    async with harness.running(send_unframed(b'first', False)):
        answer = await harness.send_request()
    assert (answer.status, answer.body) == (200, b'first')


def events(*numbers):
    return b''.join(b'id: %d\ndata: e%d\n\n' % (n, n) for n in numbers)


@pytest.mark.parametrize('part', [b'', b'id: 2\ndata: e'])
@pytest.mark.parametrize('is_resumable', [True, False])
async def test_reset_stream_goes_on_or_is_cut(part, is_resumable):
    """The reset looked like the end of the stream."""

    async def go_on(connection, head, body):
        assert dict(head.headers)[b'last-event-id'] == b'1'
        await connection.send(unframed_head(head) + events(2, 3))
        await connection.stream.aclose()

    scripts = (send_unframed(events(0, 1) + part, True), go_on)
    harness = gateway_harness.Harness(make_stream_route(is_resumable))
    async with harness.running(respond, respond):
        test_lost_responses.use_in_turn(harness, scripts)
        answer = await harness.send_request()
    assert answer.events == ([0, 1, 2, 3] if is_resumable else [0, 1])
    assert answer.is_complete == is_resumable


# An empty frame marks the end of what the target sent.
@pytest.mark.parametrize('is_whole', [True, False])
async def test_end_of_a_relay_is_not_that_of_the_response(is_whole):
    """The relaying node had ended, or the target had reset the connection."""

    async def serve(stream):
        await stream.receive_some(1000)
        await frames.send(stream, b'HTTP/1.1 200 OK\r\nx-id: r1\r\n\r\nfirst')
        if is_whole:
            await frames.send(stream, b'')
        await stream.aclose()

    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(trio.serve_tcp, serve, 0)
        port = listeners[0].socket.getsockname()[1]
        stream = await trio.open_tcp_stream('127.0.0.1', port)
        connection = http_client.Connection(_relay.RelayedStream(stream), 'vm')
        await connection.send(b'GET', b'/', [(b'host', b'h')], b'')
        await connection.receive_head()
        if is_whole:
            assert await connection.receive_body(100) == b'first'
        else:
            with pytest.raises(http_client.ExchangeFailed):
                await connection.receive_body(100)
        connection.close()
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize('is_kept', [True, False])
@pytest.mark.parametrize('is_refused', [True, False])
async def test_response_after_a_silence_is_delivered_to_nobody(
    is_kept, is_refused
):
    """A target answered after its request had gone to another one."""
    late = []

    async def script(connection, head, body):
        request_id = scripted.request_id(head)
        own = scripted.response(request_id, b'own ' + request_id)
        is_first = not getattr(connection, 'is_used', False)
        connection.is_used = True
        if not late and is_first != is_kept:
            late.append(request_id)
            await trio.sleep(0.6)
            extra = b'x-not-run: 1' if is_refused else b''
            status = 503 if is_refused else 200
            await connection.send(
                scripted.response(request_id, b'late', status, extra)
            )
            return
        await connection.send(own)

    harness = gateway_harness.Harness(IDEMPOTENT)
    async with harness.running(script, script):
        for number in range(30):
            request_id = b'r%d' % number
            answer = await harness.send_request(request_id=request_id)
            assert answer.status == 200
            assert answer.body == b'own ' + request_id
            await trio.sleep(0.03)
        assert len(late) == 1
        # The repetition is the only request too many.
        assert harness.request_count == 31


@pytest.mark.parametrize('sent', [0, 3])
async def test_refusal_that_falls_silent_is_not_awaited_to_the_deadline(sent):
    """A refusal whose body never came held the call until its deadline."""

    async def fall_silent(connection, head, body):
        whole = scripted.response(
            scripted.request_id(head), b'refused', 503, b'x-not-run: 1'
        )
        await connection.send(whole[: len(whole) - len(b'refused') + sent])
        await trio.sleep_forever()

    harness = gateway_harness.Harness(IDEMPOTENT)
    async with harness.running(respond, respond):
        test_lost_responses.use_in_turn(harness, (fall_silent, respond))
        answer = await harness.send_request()
        assert (answer.status, answer.body) == (200, b'second')


async def test_unfinished_refusal_does_not_say_that_a_request_has_not_run():
    """Its rest may be that of another response."""

    async def fall_silent(connection, head, body):
        whole = scripted.response(
            scripted.request_id(head), b'refused', 503, b'x-not-run: 1'
        )
        await connection.send(whole[:-3])
        await trio.sleep_forever()

    harness = gateway_harness.Harness(NON_IDEMPOTENT)
    async with harness.running(fall_silent, fall_silent):
        answer = await harness.send_request(b'x-wait: 0.5\r\n')
        assert answer.status in (502, 504)
        assert harness.request_count == 1
