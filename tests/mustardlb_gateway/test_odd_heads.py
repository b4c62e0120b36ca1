"""Response heads and status codes that are not HTTP.

Users reported targets in trouble whose status was 000, or in whose head the
name of a field held a blank or a control byte: clients got the line in another
field, or a body that began within the head.
"""

import itertools
import tracemalloc

import builders
import gateway_harness
import pytest
import scripted
import trio

from mustardlb import response_heads
from mustardlb_gateway import domain

WHOLE = builders.make_route(
    kind=domain.RouteKind.NON_IDEMPOTENT, max_attempts=1
)
STREAM = builders.make_route(
    kind=domain.RouteKind.STREAM, max_attempts=1, is_resumable=False
)
IDEMPOTENT = builders.make_route(max_attempts=2)

BODY = b'{"status": "booked"}'
EVENTS = b''.join(b'id: %d\ndata: e%d\n\n' % (n, n) for n in range(3))

CONTROL_BYTES = (b'\0', b'\x01', b'\t', b'\n', b'\x0b', b'\x0c', b'\r')
CONTROL_BYTES += (b'\x1f', b'\x7f')
ODD_BYTES = (b' ', b'  ', *CONTROL_BYTES)

# The odd bytes at the start of a name, in it and at its end.
ODD_LINES = [
    line % odd
    for odd in ODD_BYTES
    for line in (b'%bx-odd: 1', b'x-%bodd: 1', b'x-odd%b: 1')
]
STATUSES = (200, 404, 500, 503)
FRAMINGS = ('length', 'chunked', 'none')


def frame(body, framing):
    """Return the header lines that mark the end of a body, and its bytes."""
    if framing == 'length':
        return [b'content-length: %d' % len(body)], body
    if framing == 'chunked':
        chunks = scripted.chunk(body) + scripted.LAST_CHUNK
        return [b'transfer-encoding: chunked'], chunks
    return [], body


def insert_line(odd_line, place, body, framing, status=200):
    """Return a function that encodes a response with an odd line.

    :param place: index among the header lines
    """

    def encode(request_id):
        framing_lines, framed = frame(body, framing)
        lines = [b'x-signed: 1', b'x-id: ' + request_id, *framing_lines]
        lines.insert(place, odd_line)
        start = b'HTTP/1.1 %d X' % status
        return b'\r\n'.join([start, *lines, b'', framed])

    return encode


def make_script(encodings):
    """Return a script that responds with the encoding of a request's number.

    It closes the connection after the response.
    """

    async def script(connection, head, body):
        request_id = scripted.request_id(head)
        number = int(request_id.partition(b'-')[2])
        await connection.send(encodings[number](request_id))
        await connection.stream.aclose()

    return script


async def responses_to(route, encodings):
    """Return the responses to one request for each encoding."""
    responses = []
    harness = gateway_harness.Harness(route)
    async with harness.running(make_script(encodings)):
        for number in range(len(encodings)):
            responses.append(
                await harness.send_request(request_id=b'r-%d' % number)
            )
    return responses


def assert_rejected(responses):
    for response in responses:
        assert response.status == 502, response
        assert b'booked' not in response.body
        assert b'odd' not in b''.join(response.headers)
        assert b'odd' not in b''.join(response.headers.values())


@pytest.mark.parametrize('framing', FRAMINGS)
@pytest.mark.parametrize('status', STATUSES)
async def test_response_with_an_odd_field_name_is_rejected(status, framing):
    """The line was joined to the one before it, or was the body's start."""
    encodings = [
        insert_line(line, place, BODY, framing, status)
        for line, place in itertools.product(ODD_LINES, (0, 1, 2))
    ]
    assert_rejected(await responses_to(WHOLE, encodings))


@pytest.mark.parametrize('framing', FRAMINGS)
async def test_stream_with_an_odd_field_name_is_rejected(framing):
    encodings = [
        insert_line(line, place, EVENTS, framing)
        for line, place in itertools.product(ODD_LINES, (0, 1, 2))
    ]
    assert_rejected(await responses_to(STREAM, encodings))


@pytest.mark.parametrize('odd', ODD_BYTES)
async def test_odd_framing_field_is_rejected(odd):
    """The body was not that of the target."""
    lines = (
        b'%bcontent-length: 5',
        b'%btransfer-encoding: chunked',
        b'content-length%b: 5',
        b'transfer-encoding%b: chunked',
    )
    encodings = [
        insert_line(line % odd, place, BODY, framing)
        for line, place, framing in itertools.product(
            lines, (0, 1, 2), FRAMINGS
        )
    ]
    assert_rejected(await responses_to(WHOLE, encodings))


async def test_interim_response_with_an_odd_field_name_is_rejected():
    """What follows a head that is not understood belongs to nobody."""

    def with_interim(line):
        whole = insert_line(b'x-other: 1', 0, BODY, 'length')
        interim = b'HTTP/1.1 103 X\r\nlink: a\r\n' + line + b'\r\n\r\n'
        return lambda request_id: interim + whole(request_id)

    encodings = [with_interim(line) for line in ODD_LINES]
    assert_rejected(await responses_to(WHOLE, encodings))


async def test_sound_interim_response_is_skipped():
    whole = insert_line(b'x-other: 1', 0, BODY, 'length')
    interim = b'HTTP/1.1 103 X\r\nlink: a\r\n\r\n' * 2
    (response,) = await responses_to(
        WHOLE, [lambda request_id: interim + whole(request_id)]
    )
    assert (response.status, response.body) == (200, BODY)


async def test_odd_trailer_is_not_passed_on():
    """Trailers are dropped, and the chunks before them are the whole body."""

    def with_trailer(line):
        head = insert_line(b'x-other: 1', 0, b'', 'chunked')
        end = scripted.chunk(BODY) + b'0\r\nx-end: 1\r\n' + line + b'\r\n\r\n'
        return lambda request_id: (
            head(request_id).removesuffix(scripted.LAST_CHUNK * 2) + end
        )

    encodings = [with_trailer(line) for line in [b'x-odd: 1', *ODD_LINES]]
    responses = await responses_to(WHOLE, encodings)
    assert (responses[0].status, responses[0].body) == (200, BODY)
    for response in responses:
        if response.status == 200:
            assert response.body == BODY
            assert b'x-odd' not in response.headers
        else:
            assert_rejected([response])


@pytest.mark.parametrize('end', [b'\n', b'\r\n'])
async def test_head_whose_lines_end_alike_is_accepted(end):
    whole = insert_line(b'x-other: 1', 0, BODY, 'length')
    (response,) = await responses_to(
        WHOLE, [lambda request_id: whole(request_id).replace(b'\r\n', end)]
    )
    assert (response.status, response.body) == (200, BODY)
    assert response.headers[b'x-other'] == b'1'


async def test_odd_head_in_small_parts_is_rejected():
    """The parts of the head come with pauses, on a kept connection."""
    encoded = []

    async def script(connection, head, body):
        request_id = scripted.request_id(head)
        if not encoded:
            encoded.append(request_id)
            await connection.send(scripted.response(request_id, BODY))
            return
        whole = insert_line(b' x-odd: 1', 2, BODY, 'length')(request_id)
        for start in range(0, len(whole), 7):
            await connection.send(whole[start : start + 7])
            await trio.sleep(0.001)

    harness = gateway_harness.Harness(WHOLE)
    async with harness.running(script):
        first = await harness.send_request(request_id=b'r1')
        second = await harness.send_request(request_id=b'r2')
    assert (first.status, first.body) == (200, BODY)
    assert_rejected([second])


async def test_request_that_may_be_repeated_is_sent_again():
    """The odd head of one target ended a request that another one serves."""
    odd = insert_line(b' x-odd: 1', 2, BODY, 'length')
    answered = []

    async def script(connection, head, body):
        request_id = scripted.request_id(head)
        is_first = not answered
        answered.append(request_id)
        whole = scripted.response(request_id, BODY)
        await connection.send(odd(request_id) if is_first else whole)

    harness = gateway_harness.Harness(IDEMPOTENT)
    async with harness.running(script, script):
        response = await harness.send_request()
    assert (response.status, response.body) == (200, BODY)
    assert len(answered) == 2


ODD_STATUSES = [b'000', b'001', b'010', b'099', b'20', b'2', b'2000', b'0200']
ODD_STATUSES += [b'', b'abc', b'-20', b'+20', b'2 0', b'20\0', b'\x02200']


@pytest.mark.parametrize(('route', 'body'), [(WHOLE, BODY), (STREAM, EVENTS)])
async def test_response_with_an_odd_status_is_rejected(route, body):
    """A status below 100, or not of three digits, is none."""

    def with_status(status, framing):
        whole = insert_line(b'x-other: 1', 0, body, framing)
        return lambda request_id: whole(request_id).replace(
            b' 200 ', b' %b ' % status, 1
        )

    encodings = [
        with_status(status, framing)
        for status, framing in itertools.product(ODD_STATUSES, FRAMINGS)
    ]
    assert_rejected(await responses_to(route, encodings))


def test_scanner_checks_a_head_wherever_it_is_divided():
    """The bytes of an odd end came with different reads."""
    head = b'HTTP/1.1 200 OK\r\na: b\r\n\nc: d\r\n\r\n'
    for place in range(len(head)):
        scanner = response_heads.HeadScanner()
        with pytest.raises(ValueError, match='different ends'):
            scanner.feed(head[:place])
            scanner.feed(head[place:])


@pytest.mark.parametrize(
    'head',
    [
        b'HTTP/1.1 200 OK\r\na: b\r\n c: d\r\n\r\n',
        b'HTTP/1.1 200 OK\na: b\n\tc: d\n\n',
        b'HTTP/1.1 100 X\r\n\r\nHTTP/1.1 200 OK\r\na: b\n\r\n',
        b'HTTP/1.1 100 X\r\n c: d\r\n\r\n',
    ],
)
@pytest.mark.parametrize('part_bytes', [1, 2, 3, 5, 100])
def test_scanner_checks_a_head_in_parts(head, part_bytes):
    scanner = response_heads.HeadScanner()
    with pytest.raises(ValueError, match='head'):
        for start in range(0, len(head), part_bytes):
            scanner.feed(head[start : start + part_bytes])


@pytest.mark.parametrize('end', [b'\n', b'\r\n'])
@pytest.mark.parametrize('part_bytes', [1, 2, 3, 5, 100])
def test_scanner_accepts_a_sound_head_in_parts(end, part_bytes):
    """What follows the last head is not checked."""
    lines = [b'HTTP/1.1 100 X', b'a: b', b'', b'HTTP/1.1 200 OK', b'c: d']
    head = end.join([*lines, b'', b'a\r\nb\n c'])
    scanner = response_heads.HeadScanner()
    for start in range(0, len(head), part_bytes):
        scanner.feed(head[start : start + part_bytes])


def test_scanner_keeps_no_head():
    """A head without an end was held twice, here and in the decoder."""
    scanner = response_heads.HeadScanner()
    tracemalloc.start()
    try:
        for _ in range(50):
            scanner.feed(b'a: b\r\n' * 10_000)
        held, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert held < 10_000
