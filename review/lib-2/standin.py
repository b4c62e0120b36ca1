"""A small site on loopback: store, replicas, clients and gateway processes.

Only the standard library is used. The store and the replicas run in the
process of the case; the gateways are processes of their own, started with the
command of the deploy file.
"""

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
COMMAND = ('python3', '-m', 'mustardlb_platform')
HEARTBEAT_SECONDS = 1.2
BOUNDS = {
    'seed_lag_s': 3, 'reuse_after_s': 2, 'stability_window_ms': 3000,
    'ack_ms': 4000, 'catch_up_s': 4, 'drain_ms': 2000, 'grace_s': 8,
    'loss_slack_ms': 200, 'config_ms': 2000, 'rollback_slack_ms': 250,
    'outer_ms': 5000, 'strict_revoke': False, 'revoke_ms': 5000,
    'retry_budget_ratio': 0.2, 'budget_window_s': 10, 'budget_slack': 54,
    'quota_window_s': 8, 'quota_over': 0.1, 'quota_slack': 110000,
    'recovery_s': 12, 'pass_ms': 120, 'again_s': 0, 'fencing': True,
    'lease_ms': 3000, 'thaw_ms': 300, 'ceiling_window_s': 5,
    'ceiling_over': 1.1, 'version_ms': 5000,
}  # fmt: skip
_numbers = itertools.count(1)


def host(number):
    """Return a loopback address that other runs do not use."""
    pid = os.getpid()
    return f'127.{1 + pid // 250 % 250}.{1 + pid % 250}.{number}'


def free_ports(address, count):
    """Return ports of which no two are the same."""
    with contextlib.ExitStack() as stack:
        found = [stack.enter_context(socket.socket()) for _ in range(count)]
        for each in found:
            each.bind((address, 0))
        return [each.getsockname()[1] for each in found]


async def read_message(reader):
    """Return the first line, the headers and the body, or None at the end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head[:-4].decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    try:
        body = await reader.readexactly(int(headers.get('content-length', 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return first, headers, body


def encode(status, headers, body=b''):
    """Return a response with a length."""
    lines = [f'HTTP/1.1 {status} X', f'content-length: {len(body)}']
    lines += [f'{name}: {value}' for name, value in headers]
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


class Server:
    """Serves one request at a time on each connection.

    `respond` gets method, path, headers, body and writer, and returns the
    bytes of a response, or None to close the connection.
    """

    def __init__(self, address, respond):
        self.address = address
        self.port = 0
        self._respond = respond
        self._server = None
        self._writers = set()

    async def start(self, port=0):
        self._server = await asyncio.start_server(
            self._serve, self.address, port
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self):
        self._server.close()
        self.reset_channels()

    def reset_channels(self):
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                method, path, _ = message[0].split(' ')
                work = asyncio.ensure_future(
                    self._respond(method, path, *message[1:], writer)
                )
                gone = asyncio.ensure_future(_until_closed(reader, writer))
                await asyncio.wait(
                    (work, gone), return_when=asyncio.FIRST_COMPLETED
                )
                gone.cancel()
                if not work.done():
                    work.cancel()
                    with contextlib.suppress(asyncio.CancelledError):
                        await work
                    return
                response = work.result()
                if response is None:
                    return
                writer.write(response)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


async def _until_closed(reader, writer):
    while not reader.at_eof() and not writer.is_closing():
        await asyncio.sleep(0.02)


class Store:
    """The platform's store: objects by kind, revisions and watches."""

    def __init__(self, address):
        self.revision = 1
        self.era = None
        self.objects = {}
        self.events = []
        self.oldest = 0
        self.answers = asyncio.Event()
        self.answers.set()
        self._changed = asyncio.Event()
        self.server = Server(address, self.respond)

    def put(self, kind, name, spec):
        """Write an object; its return is the acknowledgement."""
        self.revision += 1
        known = self.objects.setdefault(kind, {}).get(name)
        created = known['metadata']['create_revision'] if known else None
        found = {
            'metadata': {
                'name': name, 'revision': self.revision,
                'create_revision': created or self.revision,
                'finalizers': [], 'deleting': False,
            },
            'spec': spec, 'status': None,
        }  # fmt: skip
        self.objects[kind][name] = found
        self._record(kind, found, False)
        return found

    def remove(self, kind, name):
        found = self.objects.get(kind, {}).pop(name, None)
        if found is not None:
            self.revision += 1
            self._record(kind, found, True)

    def _record(self, kind, found, removed):
        event = {'object': found, 'removed': removed}
        self.events.append((self.revision, kind, event))
        self._wake()

    def _wake(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def copy(self):
        return json.dumps((self.revision, self.objects))

    def restore(self, saved):
        """Continue from a copy, with the next era."""
        self.revision, self.objects = json.loads(saved)
        self.era = (self.era or 1) + 1
        self.events.clear()
        self.oldest = self.revision
        self._wake()

    async def respond(self, method, path, headers, body, writer):
        if not self.answers.is_set():
            # Silent: nothing is done, and nothing more comes on this channel.
            await asyncio.sleep(3600)
        status, fields = await self._call(method, path, body)
        if not self.answers.is_set():
            await asyncio.sleep(3600)
        own = [('content-type', 'application/json')]
        if self.era is not None:
            own.append(('Store-Era', self.era))
        return encode(status, own, json.dumps(fields).encode())

    async def _call(self, method, path, body):
        url = urllib.parse.urlsplit(path)
        parts = url.path.removeprefix('/-/objects/').split('/')
        kind, name = parts[0], urllib.parse.unquote('/'.join(parts[1:2]))
        query = dict(urllib.parse.parse_qsl(url.query))
        if method == 'GET':
            return await self._get(kind, name, query)
        fields = json.loads(body) if body else {}
        name = name or fields['metadata']['name']
        known = self.objects.get(kind, {}).get(name)
        wanted = fields.get('metadata', {}).get('revision')
        wanted = int(query['revision']) if 'revision' in query else wanted
        if method == 'POST' and known is not None:
            return 409, known
        if method != 'POST':
            if known is None:
                return 404, {}
            if wanted not in (None, known['metadata']['revision']):
                return 409, known
        if method == 'DELETE':
            self.remove(kind, name)
            return 200, known
        return 200, self.put(kind, name, fields['spec'])

    async def _get(self, kind, name, query):
        found = self.objects.get(kind, {})
        if name:
            return (200, found[name]) if name in found else (404, {})
        if 'watch' not in query:
            items = sorted(found.items())
            items = [o for n, o in items if n > query.get('after', '')]
            return 200, {
                'items': items[:500], 'has_more': len(items) > 500,
                'current_rev': self.revision,
            }  # fmt: skip
        since = int(query['watch'])
        until = time.monotonic() + int(query.get('wait_ms', 0)) / 1000
        while True:
            if not self.oldest <= since <= self.revision:
                return 410, {}
            events = [e for r, k, e in self.events if k == kind and r > since]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {'events': events, 'current_rev': self.revision}
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)


class Replica:
    """A replica that registers itself; `run` decides on requests.

    `run(replica, headers, path, body, writer)` returns the bytes of the
    response, or None to close the connection.
    """

    def __init__(self, site, service, zone, slots, run, name=None, **spec):
        self.site, self.service, self.zone = site, service, zone
        self.name = name or f'i-{service}-{next(_numbers)}'
        self.slots, self.spec, self.run = slots, spec, run
        self.born = 0
        self.state = 'ready'
        self.software = 'v1'
        self.sequence = 0
        self.server = Server('127.0.0.1', self._respond)
        self.reports = None
        self._beat = None

    async def start(self):
        self.born = int(time.time() * 1000)
        await self.server.start(self.server.port)
        self._beat = asyncio.ensure_future(self._run_heartbeat())

    async def stop(self):
        self._beat.cancel()
        await self.server.stop()

    async def crash(self):
        """End; the store removes the entry after three silent intervals."""
        await self.stop()
        last = self.sequence
        await asyncio.sleep(3 * HEARTBEAT_SECONDS)
        if self.sequence == last:
            self.site.store.remove('servers', self.name)

    def register(self):
        self.sequence += 1
        fields = {
            'service': self.service,
            'address': f'127.0.0.1:{self.server.port}', 'zone': self.zone,
            'version': self.software, 'slots': self.slots,
            'state': self.state,
            'cold_remaining_ms': 0, 'sequence': self.sequence,
            'born': self.born,
        }  # fmt: skip
        self.site.store.put('servers', self.name, fields | self.spec)

    async def _run_heartbeat(self):
        while True:
            # A write waits while the store is silent.
            await self.site.store.answers.wait()
            self.register()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _respond(self, method, path, headers, body, writer):
        request_id = headers.get('x-mustardlb-request-id', '')
        echo = [('X-Mustardlb-Request-Id', request_id)] if request_id else []
        instance = [('X-Mustardlb-Instance-Id', self.name)]
        if path == '/health':
            return encode(200, instance, b'')
        if headers.get('x-mustardlb-target-instance') != self.name:
            return encode(421, echo + instance, b'')
        if path.startswith('/-/') and self.reports is not None:
            return await self.reports(self, method, path, headers, body)
        return await self.run(self, headers, path, body, writer)

    def answer(self, headers, status=200, body=b'done', extra=()):
        """Return a response to a request that has run."""
        request_id = headers['x-mustardlb-request-id']
        return encode(
            status,
            [
                ('X-Mustardlb-Request-Id', request_id),
                ('X-Mustardlb-Server-Stamp', f'{self.name}.{request_id}'),
                *extra,
            ],
            body,
        )

    def refuse(self, headers, status=503, extra=()):
        """Return the response to a request that has not run."""
        request_id = headers['x-mustardlb-request-id']
        own = [
            ('X-Mustardlb-Request-Id', request_id),
            ('X-Mustardlb-Not-Executed', '1'),
        ]
        return encode(status, [*own, *extra])


class Queue:
    """The slots and the queue of a replica; the oldest runs first."""

    def __init__(self, slots, length):
        self._slots = asyncio.Semaphore(slots)
        self._length = length
        self.waiting = self.running = 0

    async def enter(self, headers):
        """Return whether the request begins to run within its time."""
        left = int(headers.get('x-mustardlb-deadline-ms', 60_000)) / 1000
        if self._slots.locked() and self.waiting >= self._length:
            return False
        self.waiting += 1
        try:
            await asyncio.wait_for(self._slots.acquire(), left)
        except asyncio.TimeoutError:
            return False
        finally:
            self.waiting -= 1
        self.running += 1
        return True

    def leave(self):
        self.running -= 1
        self._slots.release()


class Node:
    """A gateway process, as the deploy file starts it."""

    def __init__(self, site, number, zone):
        self.site, self.number, self.zone = site, number, zone
        self.name = f'front-{zone}-{number}'
        self.host = host(10 + number)
        self.front, self.ready, self.peer = free_ports(self.host, 3)
        self.process = None
        self.starts = 0

    def settings(self):
        zones = {zone: 'region' for zone in self.site.zones}
        listen = {
            'front': f'{self.host}:{self.front}',
            'ready': f'{self.host}:{self.ready}',
        }
        return {
            'node': self.name, 'role': 'gateway', 'machine_class': 'front',
            'serves': ['front'], 'ip': self.host, 'zone': self.zone,
            'region': 'region', 'zones': zones, 'listen': listen,
            'port_range': [self.peer, self.peer + 15], 'seeds': [],
            'bootstrap': self.starts == 0, 'loss_counts': False,
            'limits': {
                'cpu_share': 0.537, 'cores': 2, 'memory_mb': 300,
                'max_fds': 4100, 'link_mbps': 1000.0, 'disk_mb': 0,
            },
            'data_dir': None, 'discovery': 'platform', 'entry': 'vip',
            'heartbeat_ms': 1200, 'bounds': self.site.bounds,
            'platform': {
                'address': self.site.store_address(self), 'form': 'objects',
                'writes_per_s': 400, 'reads_per_s': 2000, 'history_s': 20,
                'value_bytes': 1048576, 'ttl_min_ms': 1000,
            },
        }  # fmt: skip

    async def start(self):
        path = self.site.folder / f'{self.name}.json'
        path.write_text(json.dumps(self.settings()))
        kept = {k: os.environ[k] for k in ('PATH', 'HOME', 'LANG')
                if k in os.environ}  # fmt: skip
        environment = kept | {
            'MUSTARDLB_BOOT': str(path),
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
        }
        with (self.site.folder / f'{self.name}.log').open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *COMMAND, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.starts += 1

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        if self.process is None:
            return
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        await self.process.wait()

    async def is_ready(self):
        try:
            status, _, _ = await call(self.host, self.ready, 'GET', '/-/ready')
        except OSError:
            return False
        return status == 200

    async def until_ready(self, seconds=30.0):
        until = time.monotonic() + seconds
        while not await self.is_ready():
            if time.monotonic() > until:
                end = self.log_text()[-400:]
                raise CannotRun(f'{self.name} does not become ready: {end}')
            await asyncio.sleep(0.1)

    def log_text(self):
        path = self.site.folder / f'{self.name}.log'
        return path.read_text() if path.exists() else ''


class CannotRun(Exception):
    """The case could not be set up."""


async def call(address, port, method, path, headers=(), body=b'', seconds=30):
    """Send a request on a new connection; return status, headers, body.

    The status is 0 if the connection ends without a complete head, and the
    body None if it ends early.
    """
    reader, writer = await asyncio.wait_for(
        asyncio.open_connection(address, port), 1.0
    )
    try:
        lines = [f'{method} {path} HTTP/1.1', 'Connection: close']
        lines += [f'{name}: {value}' for name, value in headers]
        if not any(name.lower() == 'host' for name, _ in headers):
            lines.append('Host: h')
        if body or method == 'POST':
            lines.append(f'Content-Length: {len(body)}')
        writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
        async with asyncio.timeout(seconds):
            return await read_response(reader)
    except (TimeoutError, ConnectionError):
        return 0, {}, None
    finally:
        writer.close()


async def read_response(reader):
    """Return status, headers and body; the body is None if it is cut."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return 0, {}, None
    first, *lines = head[:-4].decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    status = int(first.split(' ')[1])
    body = b''
    try:
        if 'content-length' in headers:
            length = int(headers['content-length'])
            return status, headers, await reader.readexactly(length)
        while True:
            size = int(await reader.readuntil(b'\r\n'), 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if not size:
                return status, headers, body
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        # What had arrived of the body is kept under the key None.
        return status, headers | {None: body}, None


class Site:
    """The store, the gateways and what the case adds."""

    def __init__(self, zones, nodes, bounds=None):
        self.zones = zones
        self.bounds = BOUNDS | (bounds or {})
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.store = Store('127.0.0.1')
        self.nodes = [
            Node(self, number, zones[number % len(zones)])
            for number in range(nodes)
        ]
        self.replicas = []
        self.version = 0
        self.started = time.monotonic()
        self.lines = []

    def store_address(self, node):
        return f'127.0.0.1:{self.store.server.port}'

    def now(self):
        return time.monotonic() - self.started

    def note(self, text):
        """Add a line to the record."""
        self.lines.append(f'{self.now():8.3f} {text}')

    def configure(self, routes, services, tenants):
        """Write a configuration; return its version."""
        self.version += 1
        limits = {
            'max_header_bytes': 16384, 'max_body_bytes': 4194304,
            'header_timeout_ms': 3000, 'idle_timeout_ms': 15000,
        }  # fmt: skip
        self.store.put('config', 'main', {
            'version': self.version, 'routes': routes, 'services': services,
            'limits': limits, 'tenants': tenants,
        })  # fmt: skip
        self.note(f'configuration {self.version} acknowledged')
        return self.version

    async def start(self):
        for replica in self.replicas:
            await replica.start()
        for node in self.nodes:
            await node.start()
        await asyncio.gather(*(node.until_ready() for node in self.nodes))
        self.note('all nodes are ready')

    async def stop(self):
        for node in self.nodes:
            await node.kill()
        for replica in self.replicas:
            with contextlib.suppress(Exception):
                await replica.stop()
        await self.store.server.stop()


def main(case, site, seconds=110):
    """Run a case; exit with 1 if the rule was broken, 0 if not, or 2."""
    async def run():
        await site.store.server.start()
        try:
            async with asyncio.timeout(seconds):
                return await case(site)
        finally:
            await site.stop()

    status = 2
    try:
        status = 1 if asyncio.run(run()) else 0
    except (CannotRun, OSError, TimeoutError) as error:
        site.note(f'the case could not run: {error!r}')
    site.note(f'exit status {status}')
    record = pathlib.Path(sys.argv[1]) / 'record.txt'
    record.write_text('\n'.join(site.lines) + '\n')
    print('\n'.join(site.lines[-4:]))
    if os.environ.get('KEEP'):
        print(site.folder)
    else:
        import shutil
        shutil.rmtree(site.folder, ignore_errors=True)
    sys.exit(status)
