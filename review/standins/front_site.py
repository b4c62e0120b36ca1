"""A small site on loopback: store, replicas, front machines and clients.

The front machines are processes of the deploy file's command, one loopback
address each; the replicas are processes of `replica.py`. All of them are
ended with the site.
"""

import asyncio
import dataclasses
import json
import os
import pathlib
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import tomllib

import store as stores
import wire

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HERE = pathlib.Path(__file__).resolve().parent

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
STABILITY_SECONDS = BOUNDS['stability_window_ms'] / 1000
MEMORY_MB = 300

HEARTBEAT_SECONDS = 1.2
KEY = 'i9n73hh2b9wu3fexd9dn'
HOST = 'ficu95.example'


def now():
    return time.monotonic()


@dataclasses.dataclass(eq=False)
class Outcome:
    """What a client has sent and seen.

    :ivar status: 0 without an answer
    :ivar ended_at: when the answer or the channel ended
    """

    request_id: str
    route: str
    node: str
    sent_at: float
    status: int = 0
    headers: dict = dataclasses.field(default_factory=dict)
    body: bytes = b''
    is_complete: bool = False
    ended_at: float = float('inf')


class Replica:
    """A replica process and its entry in the store."""

    def __init__(self, site, replica_id, service, kind, version='v1'):
        self._site = site
        self.replica_id, self.service, self.kind = replica_id, service, kind
        self.version = version
        self.zone = 'trent'
        self.host = site.host(100 + len(site.replicas))
        self.log = site.folder / f'{replica_id}.runs'
        self.log.touch()
        self.process = None
        self.born = int(time.time() * 1000)

    def start(self, mode='sound'):
        self.process = subprocess.Popen(
            [
                sys.executable, HERE / 'replica.py', self.replica_id,
                self.host, self.log, self.kind, mode,
            ],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )  # fmt: skip
        self.port = int(self.process.stdout.readline())
        self._site.processes.append(self.process)

    def set_mode(self, mode):
        self.process.stdin.write(f'{mode}\n'.encode())
        self.process.stdin.flush()

    def entry(self):
        fields = {
            'service': self.service,
            'address': f'{self.host}:{self.port}',
            'zone': self.zone,
            'version': self.version,
            'slots': 64 if self.kind == 'engine' else 6,
            'state': 'ready',
            'cold_remaining_ms': 0,
            'sequence': 1,
            'born': self.born,
        }
        if self.kind == 'engine':
            fields['stage'] = 'colocated'
            fields['models'] = [{'name': 'base', 'version': 1, 'adapters': []}]
        return fields

    def lines(self):
        """Return the lines of the log as lists of words."""
        return [each.split() for each in self.log.read_text().splitlines()]


class Node:
    """A front machine."""

    def __init__(self, site, number, zone):
        self._site = site
        self.name, self.zone = f'front-{zone}-{number}', zone
        self.ip = site.host(10 + number)
        self.path = site.folder / f'{self.name}.json'
        self.process = None

    def _settings(self):
        return {
            'node': self.name, 'role': 'gateway', 'machine_class': 'front',
            'serves': ['front'], 'ip': self.ip, 'zone': self.zone,
            'region': 'midlands', 'zones': {self.zone: 'midlands'},
            'listen': {
                'front': f'{self.ip}:8221',
                'ready': f'{self.ip}:8224',
                'control': f'{self.ip}:8229',
            },
            'port_range': [7600, 7615], 'seeds': [], 'bootstrap': True,
            'loss_counts': False,
            'limits': {
                'cpu_share': 0.537, 'cores': 2, 'memory_mb': MEMORY_MB,
                'max_fds': 4100, 'link_mbps': 1000.0, 'disk_mb': 0,
            },
            'data_dir': None, 'discovery': 'platform', 'entry': 'vip',
            'heartbeat_ms': int(HEARTBEAT_SECONDS * 1000),
            'contracts': [
                'base', 'drain', 'config', 'cost', 'retry', 'recover',
                'fleet', 'stream', 'engine', 'tenants', 'quota', 'platform',
            ],
            'fault_tolerance': {'machines': 1, 'zones': 0, 'regions': 0},
            'bounds': BOUNDS,
            'platform': {
                'address': f'{self._site.host(1)}:{self._site.store_port}',
                'form': 'objects', 'writes_per_s': 400, 'reads_per_s': 2000,
                'history_s': 20, 'value_bytes': 1048576, 'ttl_min_ms': 1000,
            },
        }  # fmt: skip

    def start(self):
        """Start the process by the command of the deploy file."""
        self.path.write_text(json.dumps(self._settings()))
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        program, *words = deploy['roles']['gateway']['run'].split()
        program = sys.executable if program == 'python3' else program
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment |= {
            'MUSTARDLB_BOOT': str(self.path),
            'PYTHONPATH': str(ROOT / 'target/deps'),
        }
        with (self._site.folder / f'{self.name}.log').open('ab') as log:
            self.process = subprocess.Popen(
                [program, *words],
                env=environment, cwd=ROOT, stdout=log, stderr=log,
            )  # fmt: skip
        self._site.processes.append(self.process)

    def rss_mb(self):
        """Return the memory that the process uses, 0 if it has ended."""
        if self.process.poll() is not None:
            return 0.0
        text = pathlib.Path(f'/proc/{self.process.pid}/status').read_text()
        for line in text.splitlines():
            if line.startswith('VmRSS:'):
                return int(line.split()[1]) * 1024 / 1e6
        return 0.0

    async def is_ready(self, timeout=1.0):
        try:
            async with asyncio.timeout(timeout):
                reader, writer = await asyncio.open_connection(self.ip, 8224)
                try:
                    writer.write(
                        b'GET /-/ready HTTP/1.1\r\nhost: h\r\n'
                        b'connection: close\r\n\r\n'
                    )
                    response = await wire.read_response(reader)
                finally:
                    writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return response is not None and response.status == 200


class Site:
    """See the module.

    :ivar outcomes: of all requests
    :ivar first_copy: copy of the store from before the front machines' start
    """

    def __init__(self, name, seed):
        self.rng = random.Random(seed)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix=f'{name}-'))
        pid = os.getpid()
        self._net = f'127.{20 + pid % 200}.{1 + pid // 200 % 250}'
        self.store = stores.Store()
        self.store_port = 0
        self.replicas, self.nodes, self.processes = [], [], []
        self.outcomes = []
        self._tasks = set()
        self._count = 0
        self.record = []

    def host(self, number):
        return f'{self._net}.{number}'

    def note(self, text):
        """Add a line to the record."""
        self.record.append((now(), text))

    async def start(self, zones, replicas, configuration):
        """Start all processes and wait until the front machines are ready.

        :param replicas: (id, service, kind) of each, and the version of its
            software unless it is v1
        """
        self.store_port = await self.store.start(self.host(1))
        for each in replicas:
            replica = Replica(self, *each)
            self.replicas.append(replica)
            replica.start()
        self.configuration = configuration
        self.write_again()
        self.first_copy = self.store.copy()
        self.run(self._beat())
        for number, zone in enumerate(zones):
            node = Node(self, number, zone)
            self.nodes.append(node)
            node.start()
        until = now() + 25
        while not all([await node.is_ready() for node in self.nodes]):
            if now() > until:
                raise TimeoutError('the front machines are not ready')
            await asyncio.sleep(0.1)

    def write_again(self):
        """Write what the operator and the replicas write."""
        self.store.put('config', 'main', self.configuration)
        for replica in self.replicas:
            if replica.process.poll() is None:
                entry = replica.entry()
                self.store.put('servers', replica.replica_id, entry)

    def run(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        return task

    async def _beat(self):
        """Write the entries of the replicas at their interval."""
        sequence = 1
        while True:
            for replica in self.replicas:
                fields = replica.entry() | {'sequence': sequence}
                if replica.process.poll() is None and not self.store.is_away:
                    self.store.put('servers', replica.replica_id, fields)
            sequence += 1
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def request(
        self, node, route, method='POST', timeout=5.0, headers=(), body=b''
    ):
        """Send a request on a channel of its own; return the outcome."""
        self._count += 1
        outcome = Outcome(f'r{self._count:06}', route, node.name, now())
        self.outcomes.append(outcome)
        lines = [
            f'{method} /{route}/x HTTP/1.1',
            f'host: {HOST}',
            f'x-mustardlb-request-id: {outcome.request_id}',
            f'x-mustardlb-deadline-ms: {int(timeout * 1000)}',
            f'x-mustardlb-key: {KEY}',
            *headers,
        ]
        if body or method == 'POST':
            lines.append(f'content-length: {len(body)}')
        data = '\r\n'.join([*lines, '', '']).encode() + body

        response = None

        def take_head(received):
            nonlocal response
            response = received
            outcome.status, outcome.headers = response.status, response.headers

        writer = None
        try:
            async with asyncio.timeout(timeout):
                reader, writer = await asyncio.open_connection(node.ip, 8221)
                outcome.sent_at = now()
                writer.write(data)
                await writer.drain()
                await wire.read_response(reader, take_head)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        finally:
            outcome.ended_at = now()
            if response is not None:
                outcome.body = bytes(response.body)
                outcome.is_complete = response.is_complete
            if writer is not None:
                writer.close()
        return outcome

    async def load(self, node, per_second, until, route, **request):
        """Send requests to a front machine at a steady mean rate."""
        while now() < until:
            await asyncio.sleep(self.rng.expovariate(per_second))
            arguments = {
                key: value(self.rng) if callable(value) else value
                for key, value in request.items()
            }
            self.run(self.request(node, route, **arguments))

    def ran(self):
        """Return the ids of the requests that each replica ran, with times."""
        return [
            (float(at), request_id, replica.replica_id)
            for replica in self.replicas
            for at, what, request_id, *_ in (
                line for line in replica.lines() if len(line) > 3
            )
            if what == 'runs'
        ]

    def own_ends(self):
        """Return the front machines whose process has ended by itself."""
        return [
            f'{node.name} ended with status {node.process.returncode}'
            for node in self.nodes
            if node.process.poll() is not None
        ]

    def write_record(self, path, began_at):
        """Write what was sent, answered and run; remove the folder.

        With KEEP=1 the folder, with the logs of the front machines, stays.
        """
        events = list(self.record)
        for each in self.outcomes:
            events.append(
                (each.sent_at, f'sent {each.request_id} {each.route} {each.node}')
            )
            end = 'whole' if each.is_complete else 'not whole'
            events.append(
                (
                    each.ended_at,
                    f'answered {each.request_id} status {each.status} {end} '
                    f'after {each.ended_at - each.sent_at:.3f} s',
                )
            )
        for replica in self.replicas:
            for at, *words in replica.lines():
                events.append((float(at), f'{replica.replica_id}: {" ".join(words)}'))
        events.sort(key=lambda each: each[0])
        path.write_text(
            ''.join(f'{at - began_at:9.3f} {text}\n' for at, text in events)
        )
        if os.environ.get('KEEP') != '1':
            shutil.rmtree(self.folder, ignore_errors=True)

    async def cancel(self):
        """End the requests, writes and calls that are under way."""
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def stop(self):
        """End all processes that the site has started."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()


def configuration(routes, services):
    """Return a configuration with one tenant without a usage cap."""
    return {
        'version': 7,
        'routes': routes,
        'services': services,
        'tenants': [{'name': 'hule930', 'api_keys': [KEY]}],
        'limits': {
            'max_header_bytes': 16384, 'max_body_bytes': 4194304,
            'header_timeout_ms': 3000, 'idle_timeout_ms': 15000,
        },
    }  # fmt: skip


def route(name, service, kind, timeout_ms, target_ms, attempts, **more):
    return {
        'name': name, 'host': HOST, 'path_prefix': f'/{name}/',
        'service': service, 'route_type': kind, 'timeout_ms': timeout_ms,
        'target_latency_ms': target_ms, 'max_attempts': attempts,
        'priority': 2, **more,
    }  # fmt: skip


ENGINE = {
    'slots': 64, 'kv_capacity_tokens': 244945, 'weights_mb': 44200,
    'adapter_slots': 9, 'loads_per_s': 4.2,
    'models': [
        {
            'name': 'base', 'weights_mb': 42700, 'load_time_s': 1.3,
            'adapters': 3000, 'adapter_mb': 66,
        }
    ],
}  # fmt: skip
