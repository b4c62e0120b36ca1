"""Responses that a target sends while the request is still written to it.

Users reported a target that answered a long upload at once, without a length,
and reset the connection before its answer was complete: clients got the part
as a whole answer. The system reports a reset to one call only, and that was
the write of the request.
"""

import builders
import early_target
import gateway_harness
import pytest
import trio

from mustardlb_gateway import _sockets
from mustardlb_gateway import domain

NON_IDEMPOTENT = builders.make_route(
    kind=domain.RouteKind.NON_IDEMPOTENT, max_attempts=2
)
IDEMPOTENT = builders.make_route(max_attempts=2)

# Seconds between an incomplete response and the end of its connection.
PAUSES = (0.0, 0.02, 0.2)
BROKEN_ENDS = ('reset', 'unread')

# Reads and writes that meet an end at the same time do so in any order.
REQUEST_COUNT_BY_DELAY = {0.0: 8, 0.05: 1}


def make_stream_route(is_resumable):
    return builders.make_route(
        kind=domain.RouteKind.STREAM, is_resumable=is_resumable, max_attempts=2
    )


async def upload(harness, request_id=b'r1'):
    """Send a request with a large body and return the response."""
    stream = await trio.open_tcp_stream('127.0.0.1', harness.port)
    await stream.send_all(
        b'POST /x/ HTTP/1.1\r\nhost: h\r\nconnection: close\r\nx-id: %b\r\n'
        b'x-wait: 8\r\ncontent-length: %d\r\n\r\n'
        % (request_id, early_target.UPLOAD_BYTES)
        + b'x' * early_target.UPLOAD_BYTES
    )
    data = b''
    with trio.move_on_after(10):
        try:
            while more := await stream.receive_some():
                data += more
        except trio.BrokenResourceError:
            pass
    await stream.aclose()
    return gateway_harness.Response.parse(data)


async def upload_to(route, *replies, count=1):
    """Return the responses to uploads to two targets with the same replies."""
    harness = gateway_harness.Harness(route)
    target = early_target.EarlyTarget(*replies)
    async with harness.running(), target.running():
        # Both names are of one target, which answers in turn.
        harness.scripted = [target, target]
        harness.set_targets()
        return [await upload(harness, b'r%d' % n) for n in range(count)]


@pytest.fixture(params=sorted(REQUEST_COUNT_BY_DELAY))
def read_delay(request, monkeypatch):
    """Let reads from targets meet an end later than writes, or not."""
    slow = early_target.slow_connect(_sockets.connect, request.param)
    monkeypatch.setattr(_sockets, 'connect', slow)
    return request.param


@pytest.mark.parametrize('end', BROKEN_ENDS)
@pytest.mark.parametrize('pause', PAUSES)
async def test_part_of_an_early_response_is_not_a_whole_one(
    end, pause, read_delay
):
    """The client got the part with a 200 and a length."""
    reply = early_target.Reply('none', end, 0.5, pause)
    for response in await upload_to(
        NON_IDEMPOTENT, reply, count=REQUEST_COUNT_BY_DELAY[read_delay]
    ):
        assert response.status == 502
        assert early_target.BODY[:5] not in response.body


@pytest.mark.parametrize('end', BROKEN_ENDS)
async def test_request_that_may_be_repeated_is_sent_again(end, read_delay):
    """The part of the first target's response ended the request."""
    broken = early_target.Reply('none', end, 0.5, 0.02)
    whole = early_target.Reply('length', 'keep')
    (response,) = await upload_to(IDEMPOTENT, broken, whole)
    assert (response.status, response.body) == (200, early_target.BODY)


@pytest.mark.parametrize('end', BROKEN_ENDS)
@pytest.mark.parametrize('pause', PAUSES)
@pytest.mark.parametrize('sent', [0.5, 2 / 3])
async def test_part_of_an_early_stream_does_not_end_like_a_whole_one(
    end, pause, sent, read_delay
):
    """It ended without an error, in or after an event."""
    reply = early_target.Reply(
        'none', end, sent, pause, body=early_target.EVENTS
    )
    for response in await upload_to(
        make_stream_route(False),
        reply,
        count=REQUEST_COUNT_BY_DELAY[read_delay],
    ):
        assert not (response.status == 200 and response.is_complete)


async def test_early_stream_goes_on_at_another_target(read_delay):
    """The client lacked the events after the reset."""
    broken = early_target.Reply(
        'none', 'reset', 2 / 3, 0.02, body=early_target.EVENTS
    )
    rest = early_target.EVENTS[len(early_target.EVENTS) * 2 // 3 :]
    whole = early_target.Reply('none', 'eof', body=rest)
    (response,) = await upload_to(make_stream_route(True), broken, whole)
    assert response.events == [0, 1, 2]
    assert response.is_complete


@pytest.mark.parametrize('end', BROKEN_ENDS)
@pytest.mark.parametrize('framing', ['length', 'chunked'])
async def test_part_of_a_framed_early_response_is_not_a_whole_one(
    framing, end, read_delay
):
    reply = early_target.Reply(framing, end, 0.5, 0.02)
    (response,) = await upload_to(NON_IDEMPOTENT, reply)
    assert response.status == 502


@pytest.mark.parametrize(
    ('framing', 'end'),
    [
        ('none', 'eof'),
        ('none', 'eof then close'),
        ('length', 'eof'),
        ('length', 'keep'),
        ('length', 'reset'),
        ('length', 'unread'),
        ('chunked', 'eof'),
        ('chunked', 'keep'),
        ('chunked', 'reset'),
        ('chunked', 'unread'),
    ],
)
@pytest.mark.parametrize('pause', PAUSES)
async def test_whole_early_response_is_forwarded(
    framing, end, pause, read_delay
):
    """A failed write or an early end alone is no fault of the response."""
    reply = early_target.Reply(framing, end, 1.0, pause)
    for response in await upload_to(
        NON_IDEMPOTENT, reply, count=REQUEST_COUNT_BY_DELAY[read_delay]
    ):
        assert (response.status, response.body) == (200, early_target.BODY)


@pytest.mark.parametrize('end', ['eof', 'eof then close'])
async def test_whole_early_stream_is_forwarded(end, read_delay):
    reply = early_target.Reply(
        'none', end, 1.0, 0.02, body=early_target.EVENTS
    )
    (response,) = await upload_to(make_stream_route(False), reply)
    assert response.events == [0, 1, 2]
    assert response.is_complete
