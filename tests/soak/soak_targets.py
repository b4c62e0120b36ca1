"""Targets as the platform describes them, which note what they run."""

import collections
import hashlib
import json
import random

import scripted
import trio

MODEL = 'base'
SLOTS = 4
LOAD_TIME = 0.1
EVENTS = 12
EVENT_PAUSE = 0.03

# Share of requests that go wrong at any time.
BASE_TROUBLE = 0.08


def signature(target_id, request_id):
    """Return what a target signs its answer with."""
    text = f'{target_id}|{request_id}'.encode()
    return hashlib.blake2b(text, digest_size=8).hexdigest()


class Record:
    """What all targets ran, and what they saw that may not be."""

    def __init__(self):
        self.runs_by_id = collections.Counter()
        self.accounts_by_id = {}
        self.violations = []


class Target:
    """A plain target or an engine.

    :ivar trouble: share of requests that are hung, reset or refused
    """

    def __init__(self, target_id, record, is_engine, rng):
        self.target_id = target_id
        self.record = record
        self.is_engine = is_engine
        self.trouble = BASE_TROUBLE
        self._rng = rng
        self._held = set()
        self._coming = {}
        self._in_use = collections.Counter()
        self._accepted = 0
        self._fence = 0
        self._holder = ''
        self.server = scripted.ScriptedServer(self._serve)

    def entry(self, service, state='ready'):
        """Return what the target writes to the store."""
        entry = {
            'service': service,
            'address': f'127.0.0.1:{self.server.port}',
            'zone': 'a',
            'version': 'v1',
            'slots': 16,
            'state': state,
            'born': 1,
            'sequence': 1,
        }
        if self.is_engine:
            entry['models'] = [{'name': MODEL, 'version': 1, 'adapters': []}]
        return entry

    async def _serve(self, connection, head, body):
        headers = {k.decode(): v.decode() for k, v in head.headers}
        if headers.get('x-mustardlb-target-instance') != self.target_id:
            await connection.send(_plain(421, b''))
        elif head.target == b'/-/report':
            await connection.send(_plain(200, self._report()))
        elif head.target == b'/-/order':
            status = self._order(json.loads(body))
            if self._rng.random() < self.trouble:
                await connection.reset()
                return
            await connection.send(_plain(status, b'{}'))
        else:
            await self._request(connection, headers)

    def _report(self):
        self._arrive()
        adapters = [f'{name}@1' for name in self._held]
        fields = {
            'models': [{'name': MODEL, 'version': 1, 'adapters': adapters}],
            'busy': False,
            'sequence': self._accepted,
            'coming': [f'{MODEL}/{name}@1' for name in self._coming],
            'queued': 0,
            'active': 0,
        }
        return json.dumps(fields).encode()

    def _arrive(self):
        for name, due in list(self._coming.items()):
            if trio.current_time() >= due:
                del self._coming[name]
                self._held.add(name)

    def _order(self, order):
        self._arrive()
        fence, holder = order['fencing_token'], order['holder']
        if fence < self._fence:
            return 412
        if fence == self._fence and holder != self._holder:
            self._violate(f'two holders with fence {fence}')
        self._fence, self._holder = fence, holder
        name = order['adapter']
        if name in self._coming:
            return 202
        if order.get('expected') not in (None, self._accepted):
            return 409
        if order['operation'] == 'unload':
            if self._in_use[name]:
                return 409
            self._held.discard(name)
        elif name in self._held:
            return 200
        else:
            self._coming[name] = trio.current_time() + LOAD_TIME
            if len(self._held) + len(self._coming) > SLOTS:
                self._violate('more adapters than slots')
        self._accepted += 1
        return 200 if order['operation'] == 'unload' else 202

    def _violate(self, what):
        self.record.violations.append(f'{self.target_id}: {what}')

    async def _request(self, connection, headers):
        request_id = headers['x-mustardlb-request-id']
        if 'x-mustardlb-key' in headers:
            self._violate(f'{request_id} came with its key')
        adapter = headers.get('x-mustardlb-model', '').partition('/')[2]
        self._arrive()
        if self.is_engine and adapter not in self._held:
            await connection.send(_plain(421, b'', request_id))
            return
        luck = self._rng.random()
        if luck < self.trouble / 3:
            refused = b'x-mustardlb-not-executed: 1\r\n'
            await connection.send(_plain(503, b'', request_id, refused))
            return
        self.record.runs_by_id[request_id] += 1
        account = headers.get('x-mustardlb-tenant', '')
        self.record.accounts_by_id[request_id] = account
        if luck < self.trouble:
            await connection.reset()
            return
        if self.is_engine:
            await self._stream(connection, headers, adapter)
            return
        await trio.sleep(self._rng.uniform(0.005, 0.04))
        await connection.send(self._whole(request_id))

    def _whole(self, request_id):
        stamp = signature(self.target_id, request_id)
        head = f'x-mustardlb-server-stamp: {self.target_id}.{stamp}\r\n'
        return _plain(200, stamp.encode(), request_id, head.encode())

    async def _stream(self, connection, headers, adapter):
        request_id = headers['x-mustardlb-request-id']
        first = int(headers.get('last-event-id', 0)) + 1
        stamp = signature(self.target_id, request_id)
        self._in_use[adapter] += 1
        breaks_at = EVENTS + 1
        if self._rng.random() < self.trouble:
            breaks_at = self._rng.randint(1, EVENTS)
        try:
            await connection.send(
                b'HTTP/1.1 200 OK\r\nx-mustardlb-request-id: '
                + request_id.encode()
                + f'\r\nx-mustardlb-server-stamp: {self.target_id}.{stamp}\r\n'
                'transfer-encoding: chunked\r\n\r\n'.encode()
            )
            for number in range(first, EVENTS + 1):
                await trio.sleep(EVENT_PAUSE)
                event = stream_event(request_id, number)
                if number == breaks_at:
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


def _plain(status, body, request_id='', more=b''):
    named = f'x-mustardlb-request-id: {request_id}\r\n' if request_id else ''
    return (
        b'HTTP/1.1 %d X\r\ncontent-length: %d\r\n' % (status, len(body))
        + named.encode()
        + more
        + b'\r\n'
        + body
    )


def make_rng(seed, name):
    """Return a random source of its own for a part of a run."""
    return random.Random(f'{seed}|{name}')
