"""Targets that answer long uploads before they have read them."""

import contextlib

import scripted
import soak_targets
import trio

# Share of the requests with a body that are long uploads, and their size,
# which exceeds the buffers of the sockets between a node and a target.
UPLOAD_SHARE = 0.1
UPLOAD_BYTES = 4_000_000

# Longest time between an early response and the end of its connection.
MAX_PAUSE_SECONDS = 0.2

HEAD = (
    b'HTTP/1.1 200 OK\r\nx-mustardlb-request-id: %b\r\n'
    b'x-mustardlb-server-stamp: %b\r\n\r\n'
)


async def answer_early(run, rng):
    """Let all targets of a service but one answer long uploads early."""
    service = rng.choice(['llm', 'desk', 'shop'])
    targets = [
        each
        for each in run.targets
        if soak_targets.service_of(each.target_id) == service
    ]
    early = rng.sample(targets, len(targets) - 1)
    run.note(f'early answers from {[each.target_id for each in early]}')
    for target in early:
        target.respond_early = respond
    try:
        await trio.sleep(rng.uniform(0.5, 3.0))
    finally:
        for target in early:
            target.respond_early = None


EVENTS = (answer_early,) * 4


async def respond(stream, request_id, stamp, parts, rng):
    """Respond without a length while the request is still being sent.

    Half of the responses lack their last part and are then reset; the
    connections of the others end in order. Nothing else was sent on them.
    """
    is_whole = rng.random() < 0.5
    sent = parts if is_whole else parts[:-1]
    pause = rng.uniform(0, MAX_PAUSE_SECONDS)
    with contextlib.suppress(
        trio.BrokenResourceError, trio.ClosedResourceError
    ):
        await stream.send_all(HEAD % (request_id.encode(), stamp.encode()))
        for part in sent:
            await stream.send_all(part)
        await trio.sleep(pause)
        if is_whole:
            await stream.send_eof()
            while await stream.receive_some(65536):
                pass
    await scripted.Connection(stream).reset()
