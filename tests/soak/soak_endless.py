"""Responses of targets that go on until the caller closes the connection."""

import soak_targets
import trio

PART_BYTES = 32_768

# Requests of clients have to end within this time after their deadline.
GRACE_SECONDS = 0.5


def repeat(part):
    return part * (PART_BYTES // len(part))


def chunk(data):
    return b'%x\r\n%b\r\n' % (len(data), data)


def chunked(part, status=200, extra=b''):
    """Return a form with a chunked body that consists of a repeated part."""

    def form(request_id, stamp):
        head = (
            b'HTTP/1.1 %d X\r\nx-mustardlb-request-id: %b\r\n'
            b'x-mustardlb-server-stamp: %b\r\n%b'
            b'transfer-encoding: chunked\r\n\r\n'
        )
        return head % (status, request_id, stamp, extra), repeat(part)

    return form


def plain(start, part):
    """Return a form of bytes that depend on no request."""
    return lambda request_id, stamp: (start, repeat(part))


NOT_EXECUTED = b'x-mustardlb-not-executed: 1\r\n'

FORMS = {
    'one-byte chunks': chunked(chunk(b'x')),
    'small chunks': chunked(chunk(b'xxxxx')),
    'large chunks': chunked(chunk(b'x' * 30_000)),
    'comments': chunked(chunk(b': keep\n\n')),
    'comments in small chunks': chunked(chunk(b':\n') + chunk(b'\n')),
    'empty events': chunked(chunk(b'\n\n')),
    'rejection': chunked(chunk(b'x' * 30_000), 503, NOT_EXECUTED),
    'small rejection': chunked(chunk(b'x'), 503, NOT_EXECUTED),
    'chunk extension': chunked(b'x'),
    'line': plain(b'HTTP/1.1 200 OK\r\na: ', b'x'),
    'lines': plain(b'HTTP/1.1 200 OK\r\n', b'a: b\r\n'),
    'no HTTP': plain(b'', b'\x00\xff'),
    'blank lines': plain(b'', b'\r\n'),
    'informational': plain(b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
    'other responses': plain(
        b'',
        b'HTTP/1.1 200 X\r\nx-mustardlb-request-id: o\r\n'
        b'content-length: 0\r\n\r\n',
    ),
}


async def send_without_end(run, rng):
    """Let most targets of a service answer some requests without end."""
    service = rng.choice(['llm', 'desk', 'shop'])
    targets = [
        each
        for each in run.targets
        if soak_targets.service_of(each.target_id) == service
    ]
    faulty = rng.sample(targets, len(targets) - 1)
    name = rng.choice(sorted(FORMS))
    run.note(f'{name} from {[each.target_id for each in faulty]}')
    for target in faulty:
        target.endless_form = FORMS[name]
    try:
        await trio.sleep(rng.uniform(0.5, 3.0))
    finally:
        for target in faulty:
            target.endless_form = None


EVENTS = (send_without_end,) * 4


def find_late(outcomes, timeout, is_in_touch):
    """Return requests without a final response at their deadline.

    Only those at nodes that were in touch all the while are judged.
    """
    return [
        f'{each.kind} {each.request_id} at {each.node} had no response '
        f'{GRACE_SECONDS} s after its deadline'
        for each in outcomes
        if timeout + GRACE_SECONDS < each.ended_at - each.sent_at
        and each.ended_at != float('inf')
        and is_in_touch(each, each.ended_at)
    ]
