"""Simulated targets of the platform that record what they run."""

import collections
import dataclasses
import hashlib
import json
import random

import scripted
import trio

MODEL = 'base'
ADAPTER_SLOTS = 4
LOAD_SECONDS = 0.1
STALL_SECONDS = 2.0
EVENT_COUNT = 12
EVENT_INTERVAL_SECONDS = 0.03

# Longer request bodies may be answered before they are read.
LONG_BODY_BYTES = 1_000_000

# The header with which a target says that it leaves.
LEAVING_HEADER = b'server-leaving: 1\r\n'

# Share of responses of a target that go on without end, while some do.
ENDLESS_RATE = 0.2

# Share of requests that fail while no target fault is injected.
BASE_FAULT_RATE = 0.08


def sign(target_id, request_id):
    """Return the signature of a target's response to a request."""
    text = f'{target_id}|{request_id}'.encode()
    return hashlib.blake2b(text, digest_size=8).hexdigest()


def service_of(target_id):
    """Return the service of a target."""
    return target_id.partition('-')[0]


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request that reached a target."""

    request_id: str
    target_id: str
    at: float
    born: int = 1


@dataclasses.dataclass(frozen=True)
class Notice:
    """A response in which a target says that it leaves."""

    request_id: str
    target_id: str
    born: int


class RunRecord:
    """Requests run by all targets, and the violations that they saw."""

    def __init__(self):
        self.runs_by_id = collections.Counter()
        self.accounts_by_id = {}
        self.arrivals = []
        self.notices = []
        self.violations = []


class Target:
    """A plain target or an engine.

    :ivar fault_rate: share of requests that are reset or rejected
    :ivar stall_rate: share of requests that are answered late
    :ivar state: 'ready', 'draining' or 'removed'; 'telling' (it says only in
        its responses that it leaves) or 'gone' (it writes nothing)
    :ivar born: number of its incarnation
    :ivar breaks_off: half of the requests that it would reset get a part of
        their response, after which the connection is closed
    :ivar endless_form: one of `soak_endless.FORMS`, in which some responses go
        on until the caller closes, or None
    :ivar respond_early: `soak_early.respond` while long uploads are answered
        before they are read, or None
    """

    def __init__(self, target_id, record, is_engine, rng):
        self.target_id = target_id
        self.record = record
        self.is_engine = is_engine
        self.fault_rate = BASE_FAULT_RATE
        self.stall_rate = 0.0
        self.state = 'ready'
        self.born = 1
        self.breaks_off = False
        self.endless_form = None
        self.respond_early = None
        self._rng = rng
        self._loaded = set()
        self._loading = {}
        self._in_use = collections.Counter()
        self._accepted_count = 0
        self._fence = 0
        self._holder = ''
        self.server = scripted.ScriptedServer(self._serve, self._serve_head)

    def registration(self, state='ready'):
        """Return the object with which the target registers in the store."""
        fields = {
            'service': service_of(self.target_id),
            'address': f'127.0.0.1:{self.server.port}',
            'zone': 'a',
            'version': 'v1',
            'slots': 16,
            'state': state,
            'born': self.born,
            'sequence': 1,
        }
        if self.is_engine:
            fields['models'] = [{'name': MODEL, 'version': 1, 'adapters': []}]
        return fields

    async def _serve(self, connection, head, body):
        headers = {k.decode(): v.decode() for k, v in head.headers}
        if headers.get('x-mustardlb-target-instance') != self.target_id:
            await connection.send(_response(421, b''))
        elif head.target == b'/-/report':
            await connection.send(_response(200, self._report()))
        elif head.target == b'/-/order':
            status = self._run_command(json.loads(body))
            if self._rng.random() < self.fault_rate:
                await connection.reset()
                return
            await connection.send(_response(status, b'{}'))
        else:
            await self._serve_request(connection, headers)

    async def _serve_head(self, connection, head):
        """Respond to a long upload early; return whether that was done."""
        headers = {k.decode(): v.decode() for k, v in head.headers}
        is_upload = int(headers.get('content-length', 0)) > LONG_BODY_BYTES
        adapter = headers.get('x-mustardlb-model', '').partition('/')[2]
        if (
            self.respond_early is None
            or not is_upload
            or headers.get('x-mustardlb-target-instance') != self.target_id
            or (self.is_engine and adapter not in self._loaded)
        ):
            return False
        request_id = headers['x-mustardlb-request-id']
        self._record_arrival(request_id)
        self._record_run(headers)
        signature = sign(self.target_id, request_id)
        parts = [signature[:9].encode(), signature[9:].encode()]
        if self.is_engine:
            first_event = int(headers.get('last-event-id', 0)) + 1
            parts = [
                stream_event(request_id, number)
                for number in range(first_event, EVENT_COUNT + 1)
            ]
        await self.respond_early(
            connection.stream,
            request_id,
            f'{self.target_id}.{signature}',
            parts,
            self._rng,
        )
        return True

    def _record_arrival(self, request_id):
        self.record.arrivals.append(
            Arrival(request_id, self.target_id, trio.current_time(), self.born)
        )

    def _record_run(self, headers):
        request_id = headers['x-mustardlb-request-id']
        self.record.runs_by_id[request_id] += 1
        account = headers.get('x-mustardlb-tenant', '')
        self.record.accounts_by_id[request_id] = account

    def _report(self):
        self._finish_loads()
        adapters = [f'{name}@1' for name in self._loaded]
        fields = {
            'models': [{'name': MODEL, 'version': 1, 'adapters': adapters}],
            'busy': False,
            'sequence': self._accepted_count,
            'coming': [f'{MODEL}/{name}@1' for name in self._loading],
            'queued': 0,
            'active': 0,
        }
        return json.dumps(fields).encode()

    def _finish_loads(self):
        for name, due in list(self._loading.items()):
            if trio.current_time() >= due:
                del self._loading[name]
                self._loaded.add(name)

    def _run_command(self, command):
        self._finish_loads()
        fence, holder = command['fencing_token'], command['holder']
        if fence < self._fence:
            return 412
        if fence == self._fence and holder != self._holder:
            self._add_violation(f'two holders with fencing token {fence}')
        self._fence, self._holder = fence, holder
        name = command['adapter']
        if name in self._loading:
            return 202
        if command.get('expected') not in (None, self._accepted_count):
            return 409
        if command['operation'] == 'unload':
            if self._in_use[name]:
                return 409
            self._loaded.discard(name)
        elif name in self._loaded:
            return 200
        else:
            self._loading[name] = trio.current_time() + LOAD_SECONDS
            if len(self._loaded) + len(self._loading) > ADAPTER_SLOTS:
                self._add_violation('more adapters than slots')
        self._accepted_count += 1
        return 200 if command['operation'] == 'unload' else 202

    def _add_violation(self, description):
        self.record.violations.append(f'{self.target_id}: {description}')

    async def _serve_request(self, connection, headers):
        request_id = headers['x-mustardlb-request-id']
        if 'x-mustardlb-key' in headers:
            self._add_violation(f'{request_id} contains the API key')
        adapter = headers.get('x-mustardlb-model', '').partition('/')[2]
        self._finish_loads()
        if self.is_engine and adapter not in self._loaded:
            await connection.send(_response(421, b'', request_id))
            return
        self._record_arrival(request_id)
        notice = b''
        if self.state == 'telling':
            notice = LEAVING_HEADER
            self.record.notices.append(
                Notice(request_id, self.target_id, self.born)
            )
        draw = self._rng.random()
        if draw < self.fault_rate / 3:
            not_executed = notice + b'x-mustardlb-not-executed: 1\r\n'
            await connection.send(
                _response(503, b'', request_id, not_executed)
            )
            return
        self._record_run(headers)
        if self.endless_form and self._rng.random() < ENDLESS_RATE:
            await self._send_without_end(connection, request_id)
            return
        if draw < self.fault_rate:
            if self.breaks_off and self._rng.random() < 0.5:
                whole = self._complete_response(request_id, notice)
                length = self._rng.randrange(len(whole))
                await connection.send(whole[:length])
                await connection.stream.aclose()
                return
            await connection.reset()
            return
        if self.is_engine:
            await self._stream(connection, headers, adapter, notice)
            return
        is_stalled = self._rng.random() < self.stall_rate
        await trio.sleep(
            STALL_SECONDS if is_stalled else self._rng.uniform(0.005, 0.04)
        )
        await connection.send(self._complete_response(request_id, notice))

    async def _send_without_end(self, connection, request_id):
        signature = sign(self.target_id, request_id)
        stamp = f'{self.target_id}.{signature}'
        start, part = self.endless_form(request_id.encode(), stamp.encode())
        await connection.send(start)
        while True:
            await connection.send(part)

    def _complete_response(self, request_id, notice):
        signature = sign(self.target_id, request_id)
        head = f'x-mustardlb-server-stamp: {self.target_id}.{signature}\r\n'
        return _response(
            200, signature.encode(), request_id, notice + head.encode()
        )

    async def _stream(self, connection, headers, adapter, notice):
        request_id = headers['x-mustardlb-request-id']
        first_event = int(headers.get('last-event-id', 0)) + 1
        signature = sign(self.target_id, request_id)
        self._in_use[adapter] += 1
        reset_at = EVENT_COUNT + 1
        if self._rng.random() < self.fault_rate:
            reset_at = self._rng.randint(1, EVENT_COUNT)
        try:
            await connection.send(
                b'HTTP/1.1 200 OK\r\nx-mustardlb-request-id: '
                + request_id.encode()
                + '\r\nx-mustardlb-server-stamp: '
                f'{self.target_id}.{signature}\r\n'.encode()
                + notice
                + b'transfer-encoding: chunked\r\n\r\n'
            )
            for number in range(first_event, EVENT_COUNT + 1):
                await trio.sleep(EVENT_INTERVAL_SECONDS)
                event = stream_event(request_id, number)
                if number == reset_at:
                    await connection.send(scripted.chunk(event[:9]))
                    await connection.reset()
                    return
                await connection.send(scripted.chunk(event))
            await connection.send(scripted.LAST_CHUNK)
        finally:
            self._in_use[adapter] -= 1


def stream_event(request_id, number):
    """Return one event of a request's stream."""
    return f'id: {number}\ndata: {request_id}.{number}\n\n'.encode()


def _response(status, body, request_id='', extra_headers=b''):
    id_header = (
        f'x-mustardlb-request-id: {request_id}\r\n' if request_id else ''
    )
    return (
        b'HTTP/1.1 %d X\r\ncontent-length: %d\r\n' % (status, len(body))
        + id_header.encode()
        + extra_headers
        + b'\r\n'
        + body
    )


def make_rng(seed, name):
    """Return an independent random generator for one part of a run."""
    return random.Random(f'{seed}|{name}')
