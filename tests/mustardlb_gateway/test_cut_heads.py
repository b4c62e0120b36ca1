"""Responses that a target breaks off, at each place of head and body.

An operator reported a replica that stopped in the middle of its answer's head
and closed: clients got a 200 with an empty or short body, framed as whole.
"""

import builders
import gateway_harness
import pytest
import scripted
import test_app
import test_unreachable_targets
import trio

from mustardlb_gateway import domain

BODY = b'{"status": "booked"}'
EVENTS = b''.join(
    b'id: %d\ndata: e%d\n\n' % (number, number) for number in range(3)
)

ROUTES = {
    'once': builders.make_route(
        kind=domain.RouteKind.NON_IDEMPOTENT, max_attempts=1
    ),
    'idempotent': builders.make_route(max_attempts=2),
    'stream': builders.make_route(
        kind=domain.RouteKind.STREAM, max_attempts=1, is_resumable=False
    ),
    'resumable': builders.make_route(
        kind=domain.RouteKind.STREAM, max_attempts=2, is_resumable=True
    ),
}

PLACES = 24


def make_response(request_id, framing, is_stream):
    """Return a whole response with its body framed in some way."""
    body = EVENTS if is_stream else BODY
    lines = [b'HTTP/1.1 200 OK', b'x-signed: 1', b'x-id: ' + request_id]
    if framing == 'chunked':
        lines.append(b'transfer-encoding: chunked')
        body = scripted.chunk(body[:9]) + scripted.chunk(body[9:])
        body += scripted.LAST_CHUNK
    elif framing == 'length':
        lines.append(b'content-length: %d' % len(body))
    end = b'\n' if framing == 'bare' else b'\r\n'
    if framing == 'bare':
        lines.append(b'content-length: %d' % len(body))
    return end.join([*lines, b'', body])


async def end(connection, how):
    if how == 'close':
        await connection.stream.aclose()
    elif how == 'reset':
        await connection.reset()
    else:
        await trio.sleep(0.6)
        await connection.stream.aclose()


def make_script(framing, is_stream, how):
    """Return a script that breaks off where the request's id says."""

    async def script(connection, head, body):
        request_id = scripted.request_id(head)
        whole = make_response(request_id, framing, is_stream)
        place = int(request_id.partition(b'-')[2])
        await connection.send(whole[: place * (len(whole) - 1) // PLACES])
        await trio.sleep(0.005)
        await end(connection, how)

    return script


@pytest.mark.parametrize('how', ['close', 'reset', 'silent'])
@pytest.mark.parametrize('framing', ['length', 'chunked', 'bare'])
@pytest.mark.parametrize('route', ROUTES)
async def test_broken_off_response_does_not_look_whole(route, framing, how):
    """A part of a response was the whole one to the client."""
    is_stream = ROUTES[route].kind == domain.RouteKind.STREAM
    script = make_script(framing, is_stream, how)
    responses = []
    harness = gateway_harness.Harness(ROUTES[route])
    async with (
        harness.running(script, script),
        trio.open_nursery() as nursery,
    ):

        async def send(place):
            responses.append(
                await harness.send_request(b'x-wait: 2\r\n', b'r-%d' % place)
            )

        for place in range(PLACES):
            nursery.start_soon(send, place)
    assert len(responses) == PLACES
    for response in responses:
        assert not (response.status == 200 and response.is_complete), response


@pytest.mark.parametrize('framing', ['length', 'chunked'])
async def test_broken_off_response_that_a_node_relays_is_not_whole(framing):
    """The end of the target's connection was hidden by the relay."""
    responses = []
    script = make_script(framing, False, 'close')
    site = test_unreachable_targets.Site(script, kind='non_idempotent')
    async with site.running(nodes=2, targets=1):
        await site.cut(0, 'reset')
        port = site.cluster.nodes[0].settings.front_port
        for place in range(PLACES):
            response = await test_app.send_request(
                port, request_id=f'r-{place}'
            )
            responses.append(response)
    assert any(site.targets[0].requests)
    assert [each for each in responses if each.status == 200] == []
