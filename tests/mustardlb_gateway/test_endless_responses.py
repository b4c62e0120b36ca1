"""Responses that do not end, in all forms, and what they cost other requests.

A review found that a few such responses in small chunks kept nodes from all
other work for seconds. Operators reported a machine that kept all of the bytes
and ran out of memory.
"""

import time
import tracemalloc

import builders
import gateway_harness
import pytest
import scripted
import trio

from mustardlb_gateway import _buffers
from mustardlb_gateway import _event_stream
from mustardlb_gateway import _read_turns
from mustardlb_gateway import domain
from mustardlb_gateway import http_client
from mustardlb_gateway import http_server

# A parsed part takes some 10 microseconds of a core, so that this many take
# less than 5 ms of the half of a core that a node has.
MAX_PARTS_PER_STEP = 200

# Other requests have to be served within this time while endless responses are
# received; clients see a fault if they wait longer than that for an answer
# after their timeout.
MAX_OTHER_SECONDS = 0.5

# Memory of the simulated VM, of which a fifth may hold buffered data.
MEMORY_MB = 10.0

IDEMPOTENT = builders.make_route(max_attempts=2, timeout=3.0)
ONCE = builders.make_route(
    kind=domain.RouteKind.NON_IDEMPOTENT, max_attempts=2, timeout=3.0
)
STREAM = builders.make_route(
    kind=domain.RouteKind.STREAM, max_attempts=2, timeout=8.0
)


def chunks(data, size):
    return b''.join(
        scripted.chunk(data[start : start + size])
        for start in range(0, len(data), size)
    )


def repeat(part, size=65_536):
    return part * (size // len(part))


COMMENT = b': keep\n\n'

# The end of each form goes on until the caller closes the connection.
BODIES = {
    'one-byte': repeat(scripted.chunk(b'x')),
    'small': repeat(scripted.chunk(b'xxxxx')),
    'large': scripted.chunk(b'x' * 0x8000),
    'comments': repeat(scripted.chunk(COMMENT)),
    'small-comments': repeat(chunks(COMMENT, 2)),
    'empty-events': repeat(scripted.chunk(b'\n\n')),
    'same-id': repeat(scripted.chunk(b'id: 1\ndata: x\n\n')),
    'extension': repeat(b'x'),
}


def chunked_head(request_id, status=200, extra=b''):
    return (
        b'HTTP/1.1 %d X\r\nx-id: %b\r\nx-signed: 1\r\n%b'
        b'transfer-encoding: chunked\r\n\r\n' % (status, request_id, extra)
    )


class Endless:
    """Sends a head, then the same bytes until the connection is closed.

    Requests whose id begins with `good` get a sound response.
    """

    def __init__(self, head, part):
        self.head = head
        self.part = part
        self.started = 0

    async def __call__(self, connection, head, body):
        request_id = scripted.request_id(head)
        if request_id.startswith(b'good'):
            await connection.send(
                scripted.response(request_id, b'id: 1\ndata: x\n\n')
            )
            return
        self.started += 1
        await connection.send(self.head(request_id))
        while True:
            await connection.send(self.part)


HEADS = {
    'line': (b'HTTP/1.1 200 OK\r\nx-id: ', b'x' * 32_768),
    'lines': (b'HTTP/1.1 200 OK\r\n', repeat(b'a: b\r\n')),
    'no-http': (b'', b'\x00\xff' * 16_384),
    'blank': (b'', repeat(b'\r\n')),
    'informational': (b'', repeat(b'HTTP/1.1 100 Continue\r\n\r\n')),
    'others': (
        b'',
        repeat(b'HTTP/1.1 200 X\r\nx-id: other\r\ncontent-length: 0\r\n\r\n'),
    ),
    'others-chunked': (
        b'',
        chunked_head(b'other')
        + repeat(scripted.chunk(b'x'))
        + scripted.LAST_CHUNK,
    ),
}


def forms():
    """Return all endless responses by name."""
    by_name = {
        f'head-{name}': Endless(lambda _, start=start: start, part)
        for name, (start, part) in HEADS.items()
    }
    for name, part in BODIES.items():
        by_name[f'body-{name}'] = Endless(chunked_head, part)
        by_name[f'rejection-{name}'] = Endless(
            lambda request_id: chunked_head(
                request_id, 503, b'x-not-run: 1\r\n'
            ),
            part,
        )
    by_name['body-unframed'] = Endless(
        lambda request_id: (
            b'HTTP/1.1 200 X\r\nx-id: %b\r\nx-signed: 1\r\n\r\n' % request_id
        ),
        b'x' * 32_768,
    )
    return by_name


FORMS = forms()


class EndlessStream:
    """A connection's stream from which bytes can be read without end."""

    socket = None

    def __init__(self, head, part):
        self.pending = head
        self.part = part

    async def send_all(self, data):
        await trio.lowlevel.checkpoint()

    async def receive_some(self, max_bytes):
        await trio.lowlevel.checkpoint()
        while len(self.pending) < max_bytes:
            self.pending += self.part
        data = self.pending[:max_bytes]
        self.pending = self.pending[max_bytes:]
        return data


class StepCounter(trio.abc.Instrument):
    """Counts the parsed parts of each step of a task.

    :ivar most: the largest number
    """

    def __init__(self):
        self.count = self.most = 0

    def before_task_step(self, task):
        self.count = 0

    def after_task_step(self, task):
        self.most = max(self.most, self.count)


def count_parts(connection, counter):
    """Count what a connection parses."""
    parser = connection._h11
    parse = parser.next_event

    def counted():
        counter.count += 1
        return parse()

    parser.next_event = counted


async def read_all(connection):
    head = await connection.receive_head(
        lambda head: dict(head.headers).get(b'x-id') == b'mine'
    )
    splitter = _event_stream.EventSplitter()
    while (data := await connection.receive_data()) is not None:
        splitter.feed(data)
    return head


# A read of 64 KB was processed at once, 10,000 chunks in one step.
@pytest.mark.parametrize('form', FORMS)
async def test_steps_of_a_reader_are_short(form, autojump_clock):
    endless = FORMS[form]
    connection = http_client.Connection(
        EndlessStream(endless.head(b'mine'), endless.part)
    )
    counter = StepCounter()
    count_parts(connection, counter)
    await connection.send(b'GET', b'/', [(b'host', b'h')], b'')
    trio.lowlevel.add_instrument(counter)
    try:
        with trio.move_on_after(1):
            await read_all(connection)
    except (http_client.ExchangeFailed, ValueError):
        pass
    finally:
        trio.lowlevel.remove_instrument(counter)
    assert 0 < counter.most <= MAX_PARTS_PER_STEP


# A client's body in small chunks was read in one step as well.
async def test_steps_of_the_server_are_short():
    counter = StepCounter()
    harness = gateway_harness.Harness(IDEMPOTENT)

    async def sound(connection, head, body):
        await connection.send(scripted.response(scripted.request_id(head)))

    async with harness.running(sound):
        make = http_server._ClientConnection

        def make_counted(*args):
            connection = make(*args)
            count_parts(connection, counter)
            return connection

        http_server._ClientConnection = make_counted
        try:
            stream = await trio.open_tcp_stream('127.0.0.1', harness.port)
            trio.lowlevel.add_instrument(counter)
            await stream.send_all(
                b'POST /x/ HTTP/1.1\r\nhost: h\r\nx-id: r1\r\n'
                b'connection: close\r\ntransfer-encoding: chunked\r\n\r\n'
                + scripted.chunk(b'x') * 5000
                + scripted.LAST_CHUNK
            )
            with trio.fail_after(5):
                data = await stream.receive_some()
        finally:
            http_server._ClientConnection = make
            trio.lowlevel.remove_instrument(counter)
    assert data.startswith(b'HTTP/1.1 200')
    assert 0 < counter.most <= MAX_PARTS_PER_STEP


# Each part of an event copied all that had come before it.
def test_cost_of_an_event_grows_with_its_size_only():
    began = time.process_time()
    splitter = _event_stream.EventSplitter()
    for _ in range(250_000):
        splitter.feed(b'xxxx')
    assert splitter.feed(b'\n\n').startswith(b'xxxx')
    assert time.process_time() - began < 4.0


# Checkpoints alone leave a node's processor to whoever sends most parts.
async def test_any_number_of_connections_shares_turns(autojump_clock):
    turns = _read_turns.ReadTurns()
    taken = 0

    async def read_without_end(number):
        nonlocal taken
        pacer = _read_turns.Pacer(turns, f't{number}')
        while True:
            while not pacer.is_exhausted:
                pacer.spend()
                taken += 1
            await pacer.renew()

    with trio.move_on_after(2):
        async with trio.open_nursery() as nursery:
            for number in range(50):
                nursery.start_soon(read_without_end, number)
    # Of 100,000 parts a second that a core can process, a fifth.
    assert taken < 2 * 20_000


async def send_others(harness, seconds, results):
    """Send a request after the other and record how long each took."""
    until = trio.current_time() + seconds
    number = 0
    while trio.current_time() < until:
        number += 1
        began = trio.current_time()
        response = await harness.send_request(
            b'x-wait: 2\r\n', b'good%d' % number
        )
        results.append((response.status, trio.current_time() - began))
        await trio.sleep(0.02)


# Requests of sound targets waited for seconds until those had ended.
@pytest.mark.parametrize('form', FORMS)
@pytest.mark.parametrize('route', [IDEMPOTENT, STREAM])
async def test_others_are_served_beside_endless_responses(route, form):
    endless = FORMS[form]
    harness = gateway_harness.Harness(route, memory_mb=MEMORY_MB)
    harness.retries_left = 1000
    results = []
    async with (
        harness.running(endless),
        trio.open_nursery() as nursery,
    ):
        for number in range(10):
            nursery.start_soon(
                harness.send_request, b'x-wait: 1\r\n', b'bad%d' % number
            )
        await trio.sleep(0.05)
        # Requests to the target itself, without a suspension.
        harness.targets.record_failure = lambda *args: None
        await send_others(harness, 0.5, results)
        nursery.cancel_scope.cancel()
    assert endless.started
    served = [seconds for status, seconds in results if status == 200]
    assert len(served) >= 0.9 * len(results)
    assert max(seconds for _, seconds in results) < MAX_OTHER_SECONDS


# Bodies that nobody needs were kept, 8 MB each, and counted nowhere.
@pytest.mark.parametrize('form', FORMS)
@pytest.mark.parametrize('route', [IDEMPOTENT, STREAM])
async def test_memory_is_bounded_over_all_endless_responses(route, form):
    harness = gateway_harness.Harness(route, memory_mb=MEMORY_MB)
    harness.retries_left = 1000
    peak = 0
    async with (
        harness.running(FORMS[form], FORMS[form]),
        trio.open_nursery() as nursery,
    ):
        tracemalloc.start()
        try:
            for number in range(40):
                nursery.start_soon(
                    harness.send_request, b'x-wait: 1\r\n', b'bad%d' % number
                )
            for _ in range(60):
                await trio.sleep(0.01)
                peak = max(peak, harness.buffers.held)
            _, traced = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        nursery.cancel_scope.cancel()
    assert peak <= harness.buffers.limit + http_client.MAX_READ_BYTES
    assert traced <= MEMORY_MB * 1e6
    assert harness.buffers.held == 0


# Bodies of rejections were read for as long as they came, up to 8 MB, while
# their callers waited.
@pytest.mark.parametrize('name', BODIES)
@pytest.mark.parametrize(('route', 'status'), [(IDEMPOTENT, 200), (ONCE, 502)])
async def test_rejection_with_an_endless_body_is_given_up(route, status, name):
    async def sound(connection, head, body):
        await connection.send(scripted.response(scripted.request_id(head)))

    harness = gateway_harness.Harness(route, memory_mb=MEMORY_MB)
    harness.retries_left = 1000
    endless = FORMS[f'rejection-{name}']
    async with harness.running(endless, sound):
        harness.targets.record_failure = lambda *args: None
        for number in range(6):
            began = trio.current_time()
            started = endless.started
            response = await harness.send_request(
                b'x-wait: 3\r\n', b'r%d' % number
            )
            # An incomplete rejection is no guarantee that it has not run.
            expected = status if endless.started > started else 200
            assert response.status == expected
            assert trio.current_time() - began < 1.0


# A target that goes on without end was chosen again for each request.
@pytest.mark.parametrize('route', [IDEMPOTENT, STREAM])
async def test_target_of_endless_responses_is_suspended(route):
    harness = gateway_harness.Harness(route)
    harness.retries_left = 1000
    async with harness.running(FORMS['body-one-byte']):
        for number in range(4):
            await harness.send_request(b'x-wait: 3\r\n', b'bad%d' % number)
        assert harness.targets.health('t0').failure_share > 0.2
        assert harness.targets.is_suspended('t0')


def sound_streams():
    """Return bodies of streams that a sound target may send."""
    event = b'id: %d\ndata: ' + b'x' * 400 + b'\n\n'
    events = [event % number for number in range(1, 6)]
    return {
        'one-byte': [chunks(each, 1) for each in events],
        'many-small-events': [
            scripted.chunk(b'id: %d\ndata: x\n\n' % number)
            for number in range(1, 3000)
        ],
        'comments': [
            scripted.chunk(COMMENT) * 200 + scripted.chunk(each)
            for each in events
        ],
        'large': [chunks(b'id: 1\ndata: ' + b'x' * 500_000 + b'\n\n', 1000)],
    }


# A bound on useless bytes must not end what a sound target sends.
@pytest.mark.parametrize('name', sound_streams())
async def test_sound_stream_in_any_form_is_whole(name):
    parts = sound_streams()[name]

    async def sound(connection, head, body):
        await connection.send(scripted.stream_head(scripted.request_id(head)))
        for part in parts:
            await connection.send(part)
        await connection.send(scripted.LAST_CHUNK)

    harness = gateway_harness.Harness(STREAM)
    async with harness.running(sound):
        response = await harness.send_request(b'x-wait: 8\r\n')
    assert response.status == 200
    assert response.is_complete
    expected = b''.join(
        gateway_harness.Response(
            0, {}, part + scripted.LAST_CHUNK, True
        ).content
        for part in parts
    )
    assert response.content == expected


@pytest.mark.parametrize('size', [1, 7, 1000])
async def test_sound_body_in_chunks_of_any_size_is_whole(size):
    body = bytes(range(256)) * 8

    async def sound(connection, head, _):
        request_id = scripted.request_id(head)
        await connection.send(
            chunked_head(request_id) + chunks(body, size) + scripted.LAST_CHUNK
        )

    harness = gateway_harness.Harness(IDEMPOTENT)
    async with harness.running(sound):
        response = await harness.send_request(b'x-wait: 3\r\n')
    assert response.status == 200
    content = response.body
    if response.headers.get(b'transfer-encoding') == b'chunked':
        content = response.content
    assert content == body


# Reports, commands and calls to the store counted toward no limit.
async def test_bodies_of_all_callers_share_one_limit():
    buffers = _buffers.Buffers(lambda: MEMORY_MB)
    endless = Endless(chunked_head, scripted.chunk(b'x' * 0x8000))
    pool = http_client.Pool(1.0, buffers=buffers)
    failures = []
    peak = 0

    async def call(port):
        connection = await pool.acquire('t', '127.0.0.1', port)
        try:
            await connection.send(
                b'GET', b'/', [(b'host', b'h'), (b'x-id', b'r')], b''
            )
            await connection.receive_head()
            await connection.receive_body(http_client.MAX_SKIPPED_BYTES * 8)
        except http_client.ExchangeFailed as error:
            failures.append(str(error))
        finally:
            connection.close()

    async with (
        scripted.ScriptedServer(endless).running() as server,
        trio.open_nursery() as nursery,
    ):
        for _ in range(12):
            nursery.start_soon(call, server.port)
        with trio.fail_after(5):
            while len(failures) < 12:
                await trio.sleep(0.005)
                peak = max(peak, buffers.held)
    assert 'no memory is left for the response' in failures
    assert 0 < peak <= buffers.limit + http_client.MAX_READ_BYTES
    assert buffers.held == 0


# Nothing told which connection kept the event loop busy.
async def test_late_wake_up_is_logged_with_its_cause(autojump_clock, caplog):
    turns = _read_turns.ReadTurns()
    turns.record('t1', 64)
    turns.record('t2', 640)
    lines = []
    original = _read_turns.log
    _read_turns.log = type(
        'Log',
        (),
        {'info': lambda self, event, **fields: lines.append((event, fields))},
    )()
    try:
        turns.record_lag(0.01)
        turns.record('t2', 640)
        turns.record('t1', 64)
        turns.record_lag(0.4)
        turns.record_lag(0.2)
    finally:
        _read_turns.log = original
    assert [(event, each['peer'], each['parts']) for event, each in lines] == [
        ('MLB-6016', 't2', 640),
        ('MLB-6016', '', 0),
    ]
