"""Streams at targets of one service with several versions of software."""

import builders
import gateway_harness
import scripted
import test_dispatch

from mustardlb_gateway import domain

STREAM = builders.make_route(
    kind=domain.RouteKind.STREAM, is_resumable=True, max_attempts=3
)


def softwares_of(harness, softwares, request_id):
    """Return the software of the targets that received a request."""
    return {
        software
        for server, software in zip(harness.scripted, softwares, strict=True)
        for head, _ in server.requests
        if scripted.request_id(head) == request_id
    }


# A stream held events of two versions, which do not fit together.
async def test_broken_stream_does_not_go_on_at_other_software():
    scripts = [
        test_dispatch.make_stream(range(3), ends=False),
        test_dispatch.make_stream(range(3), ends=False),
    ]
    softwares = ['v1', 'v2']
    harness = gateway_harness.Harness(STREAM)
    async with harness.running(*scripts, softwares=softwares):
        response = await harness.send_request()
        assert response.events == [0, 1, 2]
        assert not response.is_complete
        assert len(softwares_of(harness, softwares, b'r1')) == 1


async def test_broken_stream_goes_on_at_the_software_that_began_it():
    broken = test_dispatch.make_stream(range(3), ends=False)
    whole = test_dispatch.make_stream(range(6))
    softwares = ['v1', 'v2', 'v1', 'v2']
    harness = gateway_harness.Harness(STREAM)
    async with harness.running(
        broken, broken, whole, whole, softwares=softwares
    ):
        for number in range(12):
            request_id = b'r%d' % number
            response = await harness.send_request(request_id=request_id)
            assert response.events == [0, 1, 2, 3, 4, 5]
            assert response.is_complete
            assert len(softwares_of(harness, softwares, request_id)) == 1


# The node that began a stream has ended, and no other node knows of it.
async def test_stream_of_unknown_software_is_rejected():
    harness = gateway_harness.Harness(STREAM)
    whole = test_dispatch.make_stream(range(6))
    async with harness.running(whole, whole, softwares=['v1', 'v2']):
        response = await harness.send_request(
            b'last-event-id: 2\r\nx-resumed: r0\r\n', b'r1'
        )
        assert response.status == 503
        assert response.headers[b'retry-after']
        assert harness.request_count == 0
