"""A small site for review cases: store, replicas, clients, gateway processes.

Store, replicas and clients run in this process and speak what PROTOCOL.md
says. Each gateway is a process of its own, started with the command of the
deploy file. All addresses are loopback addresses. Only the standard library
is used.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
STORE_SECONDS = 0.004
MAX_SECONDS = 105.0
HEARTBEAT_SECONDS = 1.2
BOUNDS = {
    'seed_lag_s': 3,
    'reuse_after_s': 2,
    'stability_window_ms': 3000,
    'ack_ms': 4000,
    'catch_up_s': 4,
    'drain_ms': 2000,
    'grace_s': 8,
    'loss_slack_ms': 200,
    'config_ms': 2000,
    'rollback_slack_ms': 250,
    'outer_ms': 5000,
    'strict_revoke': False,
    'revoke_ms': 5000,
    'retry_budget_ratio': 0.2,
    'budget_window_s': 10,
    'budget_slack': 54,
    'quota_window_s': 8,
    'quota_over': 0.1,
    'quota_slack': 110000,
    'recovery_s': 12,
    'pass_ms': 120,
    'again_s': 0,
    'fencing': True,
    'lease_ms': 3000,
    'thaw_ms': 300,
    'ceiling_window_s': 5,
    'ceiling_over': 1.1,
    'version_ms': 5000,
}
HOST = 'ficu95.example'
MODEL = 'daka510000'
KEY = 'i9n73hh2b9wu3fexd9dn'
TENANT = 'hule930'
ENGINE_SERVICE = 'huvo11a'
PLAIN_SERVICE = 'wuno96b'
BROKEN = (OSError, asyncio.IncompleteReadError, ValueError)


class Record:
    """What was sent, answered and run, as lines of record.txt."""

    def __init__(self, folder):
        self._file = (pathlib.Path(folder) / 'record.txt').open('w')
        self.began_at = time.monotonic()
        self.clients = []

    def now(self):
        """Return the seconds since the start of the case."""
        return time.monotonic() - self.began_at

    def line(self, what, /, **fields):
        """Write a line, with the time since the start."""
        text = ' '.join(f'{name}={value}' for name, value in fields.items())
        self._file.write(f'{self.now():9.3f} {what} {text}\n')

    def close(self):
        """Write what is buffered."""
        self._file.close()


async def read_head(reader):
    """Return the first line and the headers, names in lower case."""
    data = await reader.readuntil(b'\r\n\r\n')
    first, *lines = data.decode('latin-1').split('\r\n')
    headers = {}
    for each in lines:
        if each:
            name, _, value = each.partition(':')
            headers[name.strip().lower()] = value.strip()
    return first, headers


def head(status, headers, length=None):
    """Return the bytes of a response head."""
    lines = [f'HTTP/1.1 {status} X']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    if length is not None:
        lines.append(f'Content-Length: {length}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1')


class HttpServer:
    """Serves one request at a time on each of its connections.

    `handle` gets method, path, headers, body and the writer. It returns
    whether the connection stays open.
    """

    def __init__(self, handle):
        self._handle = handle
        self._server = None
        self.writers = set()
        self.port = 0
        self.host = '127.0.0.1'

    async def start(self, host='127.0.0.1', port=0):
        """Listen; the port is a free one unless it is given."""
        self.host = host
        self._server = await asyncio.start_server(
            self._serve, host, port, limit=1 << 20
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self):
        """Reset all connections and refuse new ones."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self.reset_all()

    def reset_all(self):
        """Reset all connections."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                method, path, _ = first.split(' ')
                length = int(headers.get('content-length', 0))
                body = await reader.readexactly(length) if length else b''
                if not await self._handle(
                    method, path, headers, body, writer
                ):
                    break
        except BROKEN:
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store:
    """The platform's store: objects with revisions, watches and an era."""

    def __init__(self, record):
        self._record = record
        self.revision = 100
        self.era = 1
        self.objects = {}
        self._events = []
        self._oldest = 100
        self._changed = asyncio.Event()
        self.servers = {}
        self.view_by_node = {}

    async def listen(self, node):
        """Open the address that one node calls."""
        server = HttpServer(
            lambda *call: self._serve(node, *call)
        )
        await server.start()
        self.servers[node] = server

    def put(self, kind, name, spec):
        """Write an object, as the operator or a replica does."""
        self.revision += 1
        before = self.objects.get(kind, {}).get(name)
        created = self.revision
        if before is not None:
            created = before['metadata']['create_revision']
        stored = {
            'metadata': {
                'name': name,
                'revision': self.revision,
                'create_revision': created,
                'finalizers': [],
                'deleting': False,
            },
            'spec': spec,
            'status': None,
        }
        self.objects.setdefault(kind, {})[name] = stored
        self._add_event(kind, stored, False)
        return stored

    def remove(self, kind, name):
        """Remove an object if it is there."""
        stored = self.objects.get(kind, {}).pop(name, None)
        if stored is not None:
            self.revision += 1
            self._add_event(kind, stored, True)

    def _add_event(self, kind, stored, removed):
        self._events.append(
            (self.revision, kind, {'removed': removed, 'object': stored})
        )
        self._changed.set()
        self._changed = asyncio.Event()

    def copy(self):
        """Return what `restore` takes."""
        return self.revision, json.dumps(self.objects)

    def restore(self, saved):
        """Continue from a copy; the era rises and the history is gone."""
        self.revision = saved[0]
        self.objects = json.loads(saved[1])
        self.era += 1
        self._events = []
        self._oldest = self.revision
        self._changed.set()
        self._changed = asyncio.Event()

    async def stop(self):
        """Be away: all calls are refused."""
        for server in self.servers.values():
            await server.stop()

    async def start(self):
        """Be back at the same addresses."""
        for server in self.servers.values():
            await server.start(server.host, server.port)

    async def _serve(self, node, method, path, headers, body, writer):
        await asyncio.sleep(STORE_SECONDS)
        status, fields = await self._answer(node, method, path, body)
        data = json.dumps(fields).encode()
        answer = head(
            status,
            {'Content-Type': 'application/json', 'Store-Era': self.era},
            len(data),
        )
        writer.write(answer + data)
        await writer.drain()
        return True

    async def _answer(self, node, method, path, body):
        url = urllib.parse.urlsplit(path)
        kind, _, name = url.path.removeprefix('/-/objects/').partition('/')
        kind, name = urllib.parse.unquote(kind), urllib.parse.unquote(name)
        query = dict(urllib.parse.parse_qsl(url.query))
        if method == 'GET' and name:
            stored = self.objects.get(kind, {}).get(name)
            return (200, stored) if stored else (404, {})
        if method == 'GET' and 'watch' in query:
            return await self._watch(node, kind, query)
        if method == 'GET':
            after = query.get('after', '')
            items = [
                self._seen_by(node, kind, stored)
                for each, stored in sorted(self.objects.get(kind, {}).items())
                if each > after
            ]
            return 200, {
                'items': items,
                'has_more': False,
                'current_rev': self.revision,
            }
        fields = json.loads(body) if body else {}
        name = name or fields['metadata']['name']
        current = self.objects.get(kind, {}).get(name)
        self._record.line(
            'store-write', node=node, method=method, kind=kind, name=name
        )
        if method == 'POST':
            if current is not None:
                return 409, current
            return 200, self.put(kind, name, fields['spec'])
        if current is None:
            return 404, {}
        expected = fields.get('metadata', {}).get('revision')
        if expected not in (None, current['metadata']['revision']):
            return 409, current
        if method == 'DELETE':
            self.remove(kind, name)
            return 200, current
        if current['spec'] == fields['spec']:
            return 200, current
        return 200, self.put(kind, name, fields['spec'])

    async def _watch(self, node, kind, query):
        since = int(query['watch'])
        ends_at = time.monotonic() + min(30, int(query['wait_ms']) / 1000)
        while True:
            if not self._oldest <= since <= self.revision:
                return 410, {}
            events = [
                {
                    'removed': event['removed'],
                    'object': self._seen_by(node, kind, event['object']),
                }
                for revision, each, event in self._events
                if each == kind and revision > since
            ]
            left = ends_at - time.monotonic()
            if events or left <= 0:
                return 200, {'events': events, 'current_rev': self.revision}
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)

    def _seen_by(self, node, kind, stored):
        """Return an entry with the address by which a node reaches it.

        Each node reaches the replicas over links of its own.
        """
        view = self.view_by_node.get(node)
        if kind != 'servers' or not view or stored is None:
            return stored
        address = view.get(stored['spec']['address'])
        if address is None:
            return stored
        return stored | {'spec': stored['spec'] | {'address': address}}


class Link:
    """The path of one node to one replica, which can be cut."""

    def __init__(self, replica):
        self._replica = replica
        self._server = None
        self._writers = set()
        self.port = 0

    async def start(self):
        """Listen at the address that the node is told, or again."""
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def cut(self):
        """Reset what is open and refuse new connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            far_reader, far_writer = await asyncio.open_connection(
                '127.0.0.1', self._replica.server.port
            )
        except OSError:
            writer.transport.abort()
            self._writers.discard(writer)
            return
        self._writers.add(far_writer)
        await asyncio.gather(
            self._copy(reader, far_writer), self._copy(far_reader, writer)
        )
        self._writers -= {writer, far_writer}

    async def _copy(self, reader, writer):
        try:
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
            writer.write_eof()
        except (OSError, RuntimeError):
            writer.transport.abort()


class Replica:
    """A model replica (`is_engine`) or one of a plain service."""

    def __init__(self, name, service, record, store, slots=64):
        self.name = name
        self.service = service
        self.is_engine = service == ENGINE_SERVICE
        self.slots = slots
        self.version = 'v1'
        self.state = 'ready'
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.fence = 0
        self.holder = ''
        self.adapters = {}
        self.loading = {}
        self.in_use = {}
        self.active = 0
        self.max_adapters = 9
        self.load_seconds = 0.25
        self.events = 8
        self.event_seconds = 0.03
        self.work_seconds = 0.03
        self.runs = {}
        self.orders = []
        self.behave = None
        self._record = record
        self._store = store
        self.server = HttpServer(self._serve)

    def entry(self):
        """Return the entry under which the replica registers."""
        fields = {
            'service': self.service,
            'address': f'127.0.0.1:{self.server.port}',
            'zone': 'trent',
            'version': self.version,
            'slots': self.slots,
            'state': self.state,
            'cold_remaining_ms': 0,
            'sequence': self.sequence,
            'born': self.born,
        }
        if self.is_engine:
            fields['stage'] = 'colocated'
            fields['models'] = self._models()
        return fields

    def _models(self):
        names = [f'{name}@{n}' for name, n in sorted(self.adapters.items())]
        return [{'name': MODEL, 'version': 1, 'adapters': names}]

    def register(self):
        """Write the entry if more than `sequence` has changed."""
        entry = self.entry()
        stored = self._store.objects.get('servers', {}).get(self.name)
        before = dict(stored['spec']) if stored else None
        if before is not None:
            before['sequence'] = entry['sequence']
        if before != entry:
            self._store.put('servers', self.name, entry)

    def _finish_loads(self):
        for name, (due, version) in list(self.loading.items()):
            if time.monotonic() >= due:
                del self.loading[name]
                self.adapters[name] = version

    async def _serve(self, method, path, headers, body, writer):
        if headers.get('x-mustardlb-target-instance', self.name) != self.name:
            writer.write(
                head(421, {'X-Mustardlb-Instance-Id': self.name}, 0)
            )
            await writer.drain()
            return True
        if path == '/-/report':
            return await self._report(writer)
        if path == '/-/order':
            status = self._order(json.loads(body))
            writer.write(head(status, {}, 0))
            await writer.drain()
            return True
        if path == '/health':
            writer.write(
                head(200, {'X-Mustardlb-Instance-Id': self.name}, 0)
            )
            await writer.drain()
            return True
        return await self._run(method, path, headers, body, writer)

    async def _report(self, writer):
        self._finish_loads()
        fields = {
            'stage': 'colocated',
            'models': self._models(),
            'busy': False,
            'sequence': self.sequence,
            'coming': [
                f'{MODEL}/{name}@{version}'
                for name, (_, version) in self.loading.items()
            ],
            'queued': 0,
            'active': self.active,
            'kv_used': 0,
            'kv_total': 244945,
            'handles': 0,
            'born': self.born,
        }
        data = json.dumps(fields).encode()
        answer = head(200, {'Content-Type': 'application/json'}, len(data))
        writer.write(answer + data)
        await writer.drain()
        return True

    def _order(self, order):
        status = self._execute(order)
        holder, fence = order.get('holder'), order.get('fencing_token')
        self.orders.append((time.monotonic(), holder, fence, status))
        self._record.line(
            'order',
            replica=self.name,
            holder=holder,
            fence=fence,
            operation=order.get('operation'),
            adapter=order.get('adapter'),
            status=status,
        )
        return status

    def _execute(self, order):
        self._finish_loads()
        holder, fence = order.get('holder'), order.get('fencing_token')
        if not holder or fence is None:
            return 400
        if fence < self.fence:
            return 412
        self.fence, self.holder = fence, holder
        name, expected = order.get('adapter'), order.get('expected')
        if expected is not None and expected != self.sequence:
            return 409
        if order['operation'] == 'load':
            if name is None or name in self.adapters:
                return 200
            if name in self.loading:
                return 202
            if len(self.loading) >= 4:
                return 409
            version = order.get('version', 1)
            due = time.monotonic() + self.load_seconds
            self.loading[name] = (due, version)
            self.sequence += 1
            return 202
        if name not in self.adapters:
            return 200
        if self.in_use.get(name):
            return 409
        del self.adapters[name]
        self.sequence += 1
        return 200

    async def _run(self, method, path, headers, body, writer):
        request_id = headers.get('x-mustardlb-request-id', '')
        echo = {
            'X-Mustardlb-Request-Id': request_id,
            'X-Mustardlb-Server-Load': f'{self.active},0,{self.slots}',
        }
        if self.state == 'draining':
            echo['Server-Leaving'] = '1'
        self._finish_loads()
        adapter = headers.get('x-mustardlb-model', '').partition('/')[2]
        if self.is_engine and adapter not in self.adapters:
            writer.write(head(421, echo, 0))
            await writer.drain()
            return True
        if self.active >= self.slots:
            echo['X-Mustardlb-Not-Executed'] = '1'
            writer.write(head(503, echo, 0))
            await writer.drain()
            return True
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        self._record.line(
            'run', replica=self.name, request=request_id, path=path
        )
        echo['X-Mustardlb-Server-Stamp'] = f'{self.name}.{request_id}'
        self.active += 1
        self.in_use[adapter] = self.in_use.get(adapter, 0) + 1
        try:
            if self.behave is not None:
                done = await self.behave(
                    self, method, path, headers, body, writer, echo
                )
                if done is not None:
                    return done
            if self.is_engine:
                return await self._stream(headers, request_id, echo, writer)
            await asyncio.sleep(self.work_seconds)
            data = f'{self.name} ran {request_id}'.encode()
            writer.write(head(200, echo, len(data)) + data)
            await writer.drain()
            return True
        finally:
            self.active -= 1
            self.in_use[adapter] -= 1

    async def _stream(self, headers, request_id, echo, writer):
        first = int(headers.get('last-event-id', 0)) + 1
        echo['Content-Type'] = 'text/event-stream'
        echo['Transfer-Encoding'] = 'chunked'
        echo['X-Mustardlb-Weight-Versions'] = 1
        writer.write(head(200, echo))
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.event_seconds)
            event = f'id: {number}\ndata: {self.name}.{number}\n\n'.encode()
            writer.write(b'%x\r\n' % len(event) + event + b'\r\n')
            await writer.drain()
        writer.write(b'0\r\n\r\n')
        await writer.drain()
        return True


class Gateway:
    """One gateway process, as a `front` machine runs it."""

    def __init__(self, name, host, store_address, folder, zone='trent'):
        self.name = name
        self.host = host
        self.zone = zone
        self._store_address = store_address
        self._folder = folder
        self.process = None
        self.front_port, self.ready_port, self.peer_port = free_ports(host, 3)
        self.own_ends = 0

    def settings(self):
        """Return the settings file that the platform writes."""
        return {
            'node': self.name,
            'role': 'gateway',
            'machine_class': 'front',
            'serves': ['front'],
            'ip': self.host,
            'zone': self.zone,
            'region': 'midlands',
            'zones': {
                'trent': 'midlands',
                'severn': 'midlands',
                'arden': 'midlands',
            },
            'listen': {
                'front': f'{self.host}:{self.front_port}',
                'ready': f'{self.host}:{self.ready_port}',
            },
            'port_range': [self.peer_port, self.peer_port],
            'seeds': [],
            'bootstrap': True,
            'loss_counts': False,
            'limits': {
                'cpu_share': 0.537,
                'cores': 2,
                'memory_mb': 300,
                'max_fds': 4100,
                'link_mbps': 1000.0,
                'disk_mb': 0,
            },
            'data_dir': None,
            'discovery': 'platform',
            'entry': 'vip',
            'heartbeat_ms': 1200,
            'bounds': BOUNDS,
            'platform': {
                'address': self._store_address,
                'form': 'objects',
                'writes_per_s': 400,
                'reads_per_s': 2000,
                'history_s': 20,
                'value_bytes': 1048576,
                'ttl_min_ms': 1000,
            },
        }

    def start(self):
        """Start the process with the command of the deploy file."""
        path = self._folder / f'{self.name}.json'
        path.write_text(json.dumps(self.settings()))
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['MUSTARDLB_BOOT'] = str(path)
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        with (self._folder / f'{self.name}.log').open('ab') as log:
            self.process = subprocess.Popen(
                ['python3', '-m', 'mustardlb_platform'],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def signal(self, number):
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        """Kill the process, stopped or not."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    async def is_ready(self):
        """Return whether the process says that it is ready."""
        try:
            reader, writer = await asyncio.open_connection(
                self.host, self.ready_port
            )
            writer.write(b'GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n')
            first, _ = await asyncio.wait_for(read_head(reader), 1.0)
            writer.close()
        except (*BROKEN, asyncio.TimeoutError):
            return False
        return ' 200 ' in first

    async def until_ready(self, seconds=30.0):
        """Wait for readiness; raises RuntimeError."""
        ends_at = time.monotonic() + seconds
        while not await self.is_ready():
            if time.monotonic() > ends_at:
                raise RuntimeError(f'{self.name} is not ready')
            await asyncio.sleep(0.1)


def free_ports(host, count):
    """Return free ports of an address."""
    with contextlib.ExitStack() as stack:
        found = [stack.enter_context(socket.socket()) for _ in range(count)]
        for each in found:
            each.bind((host, 0))
        return [each.getsockname()[1] for each in found]


class Answer:
    """What a client got on one request.

    :ivar status: 0 without a response head
    :ivar is_complete: whether the body came to its end
    """

    def __init__(self, request_id):
        self.request_id = request_id
        self.status = 0
        self.headers = {}
        self.body = b''
        self.is_complete = False
        self.problem = ''
        self.sent_at = 0.0
        self.ended_at = 0.0


class Client:
    """Sends requests to one gateway on a kept connection.

    A request is sent whole before its answer is read.
    """

    def __init__(self, gateway, record):
        self.gateway = gateway
        self._record = record
        # A longer request is sent in parts of this size, at this interval.
        self.write_bytes = 1 << 24
        self.write_seconds = 0.0
        self._reader = None
        self._writer = None
        record.clients.append(self)

    async def send(
        self, method, path, body=b'', headers=(), timeout_ms=1500, kept=True
    ):
        """Send one request and return what was answered."""
        answer = Answer(f'{random.getrandbits(64):016x}')
        answer.sent_at = time.monotonic()
        lines = [
            f'{method} {path} HTTP/1.1',
            f'Host: {HOST}',
            f'X-Mustardlb-Request-Id: {answer.request_id}',
            f'X-Mustardlb-Deadline-Ms: {timeout_ms}',
            f'X-Mustardlb-Key: {KEY}',
            *(f'{name}: {value}' for name, value in headers),
        ]
        if body or method == 'POST':
            lines.append(f'Content-Length: {len(body)}')
        data = ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body
        self._record.line(
            'sent',
            request=answer.request_id,
            node=self.gateway.name,
            method=method,
            path=path,
        )
        try:
            await asyncio.wait_for(
                self._exchange(data, answer), timeout_ms / 1000
            )
        except asyncio.TimeoutError:
            answer.problem = 'timeout'
            self.close()
        except BROKEN as error:
            answer.problem = type(error).__name__
            self.close()
        answer.ended_at = time.monotonic()
        self._record.line(
            'answered',
            request=answer.request_id,
            node=self.gateway.name,
            status=answer.status,
            complete=answer.is_complete,
            problem=answer.problem or '-',
            seconds=f'{answer.ended_at - answer.sent_at:.3f}',
        )
        if not kept or answer.headers.get('connection') == 'close':
            self.close()
        return answer

    async def _exchange(self, data, answer):
        if self._writer is None:
            self._reader, self._writer = await asyncio.open_connection(
                self.gateway.host, self.gateway.front_port, limit=1 << 20
            )
        for start in range(0, len(data), self.write_bytes):
            self._writer.write(data[start : start + self.write_bytes])
            await self._writer.drain()
            if len(data) > start + self.write_bytes:
                await asyncio.sleep(self.write_seconds)
        first, answer.headers = await read_head(self._reader)
        answer.status = int(first.split(' ')[1])
        if 'chunked' in answer.headers.get('transfer-encoding', ''):
            while True:
                size = int(await self._reader.readline(), 16)
                part = await self._reader.readexactly(size)
                await self._reader.readexactly(2)
                if not size:
                    break
                answer.body += part
        else:
            length = int(answer.headers.get('content-length', 0))
            answer.body = await self._reader.readexactly(length)
        answer.is_complete = True

    def close(self):
        """Close the connection."""
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = self._writer = None


def configuration(version=7, routes=(), services=(), tenants=None):
    """Return a configuration; the routes of the small site by default."""
    return {
        'version': version,
        'routes': list(routes) or default_routes(),
        'services': list(services) or default_services(),
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': tenants
        or [
            {
                'name': TENANT,
                'api_keys': [KEY],
                'priority': 1,
                'unit': 'token_count',
                'plain_tokens': 200,
                'rate_per_s': 0,
                'burst': 0,
            }
        ],
    }


def default_routes():
    """Return a route to the engines, and two to the plain service."""
    return [
        route('draft', ENGINE_SERVICE, 'streaming', 5000, 1000, True),
        route('record', PLAIN_SERVICE, 'non_idempotent', 1500, 200),
        route('lookup', PLAIN_SERVICE, 'idempotent', 1500, 200),
    ]


def route(name, service, kind, timeout_ms, aim_ms, resumable=False):
    """Return a route for the paths that begin with its name."""
    return {
        'name': f'r-{name}',
        'host': HOST,
        'path_prefix': f'/{name}/',
        'route_type': kind,
        'timeout_ms': timeout_ms,
        'target_latency_ms': aim_ms,
        'priority': 1,
        'service': service,
        'max_attempts': 2,
        'public': False,
        'sticky': kind == 'streaming',
        'resumable': resumable,
        'gap_aim_ms': 400 if kind == 'streaming' else None,
    }


def default_services():
    """Return the engine service and the plain one."""
    return [
        {
            'name': ENGINE_SERVICE,
            'health_path': '/health',
            'max_connections': 360,
            'protocol': 'h1',
            'tls': False,
            'engine': {
                'slots': 64,
                'kv_capacity_tokens': 244945,
                'models': [
                    {
                        'name': MODEL,
                        'weights_mb': 42700.0,
                        'load_time_s': 1.3,
                        'adapters': 3000,
                        'adapter_mb': 66.0,
                    }
                ],
                'weights_mb': 44200.0,
                'adapter_slots': 9,
                'loads_per_s': 4.2,
            },
        },
        {
            'name': PLAIN_SERVICE,
            'health_path': '/health',
            'max_connections': 100,
            'protocol': 'h1',
            'tls': False,
        },
    ]


class Site:
    """Everything of one case; an asynchronous context manager."""

    def __init__(
        self, folder, zones=('trent',) * 3, engines=2, plain=2, links=False
    ):
        self.folder = pathlib.Path(folder)
        self.record = Record(folder)
        self.store = Store(self.record)
        self._zones = zones
        self._counts = engines, plain
        self._has_links = links
        self.replicas = []
        self.nodes = []
        self.links = {}
        self._tasks = []
        self._temporary = None

    async def __aenter__(self):
        engines, plain = self._counts
        self._temporary = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        for number in range(engines):
            await self.add_replica(f'i-e{number}', ENGINE_SERVICE)
        for number in range(plain):
            await self.add_replica(f'i-p{number}', PLAIN_SERVICE, 6)
        self.store.put('config', 'main', configuration())
        pid = os.getpid()
        prefix = f'127.{1 + pid // 250 % 250}.{1 + pid % 250}'
        for number, zone in enumerate(self._zones):
            name = f'front-{zone}-{self._zones[: number + 1].count(zone)}'
            await self.store.listen(name)
            address = f'127.0.0.1:{self.store.servers[name].port}'
            self.nodes.append(
                Gateway(
                    name,
                    f'{prefix}.{10 + number}',
                    address,
                    self._temporary,
                    zone,
                )
            )
            if self._has_links:
                for replica in self.replicas:
                    await self._add_link(name, replica)
        for node in self.nodes:
            node.start()
        self._tasks.append(asyncio.create_task(self._beat()))
        for node in self.nodes:
            await node.until_ready()
        return self

    async def _add_link(self, node, replica):
        link = Link(replica)
        await link.start()
        self.links[node, replica.name] = link
        view = self.store.view_by_node.setdefault(node, {})
        view[f'127.0.0.1:{replica.server.port}'] = f'127.0.0.1:{link.port}'

    async def add_replica(self, name, service, slots=64):
        """Start a replica, which registers itself."""
        replica = Replica(name, service, self.record, self.store, slots)
        await replica.server.start()
        self.replicas.append(replica)
        if self._has_links:
            for node in self.nodes:
                await self._add_link(node.name, replica)
        replica.register()
        self.record.line('registered', replica=name, service=service)
        return replica

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            for replica in self.replicas:
                if replica.state != 'gone' and self.is_store_up():
                    replica.register()

    def is_store_up(self):
        """Return whether the store answers."""
        return all(
            each._server is not None for each in self.store.servers.values()
        )

    def background(self, coroutine):
        """Run a task until the end of the case."""
        task = asyncio.create_task(coroutine)
        self._tasks.append(task)
        return task

    async def __aexit__(self, *_):
        left = set(self._tasks)
        while left:
            # A task may end what it waits for at the moment of its end.
            for task in left:
                task.cancel()
            _, left = await asyncio.wait(left, timeout=0.5)
        for client in self.record.clients:
            client.close()
        for node in self.nodes:
            node.end()
        for link in self.links.values():
            await link.cut()
        for replica in self.replicas:
            await replica.server.stop()
        await self.store.stop()
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()
        await asyncio.sleep(0.2)
        self.record.close()
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            shutil.copytree(self._temporary, keep, dirs_exist_ok=True)
        shutil.rmtree(self._temporary, ignore_errors=True)


def play(case):
    """Return the result of a case; raises RuntimeError if it cannot run."""

    async def limited():
        async with asyncio.timeout(MAX_SECONDS):
            return await case

    # Connections that the end of the loop closes are no news.
    sys.unraisablehook = lambda _: None
    try:
        return asyncio.run(limited())
    except Exception as error:
        traceback.print_exc()
        raise RuntimeError(repr(error)) from error
