"""A randomized soak test that injects faults into real gateway processes.

The store, the targets and the clients run in this process. Each gateway is a
separate process on a loopback address and reaches the store through a proxy.
"""

import contextlib
import dataclasses
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys

import soak_clients
import soak_proxy
import soak_store
import soak_targets
import trio

ROOT = pathlib.Path(__file__).parent.parent.parent
PATHS = ('packages/mustardlb', 'packages/mustardlb-gateway', 'platform')

# A node without faults rejects a withdrawn key this long after the withdrawal
# was acknowledged.
WITHDRAWAL_SECONDS = 2.0

# A node counts as faulty for this long after the end of a fault.
RECOVERY_SECONDS = 3.0

START_TIMEOUT_SECONDS = 30.0
STOP_GRACE_SECONDS = 4.0


@dataclasses.dataclass
class Node:
    """One gateway process.

    :ivar faulty_until: end of its last fault, infinite during a fault
    :ivar root: folder of the code that it runs when it is started next
    """

    name: str
    host: str
    front_port: int
    ready_port: int
    peer_port: int
    proxy: soak_proxy.Proxy
    folder: pathlib.Path
    process: subprocess.Popen | None = None
    faulty_until: float = 0.0
    root: pathlib.Path = ROOT

    def start(self):
        """Start the process unless another fault has; append to its log."""
        if self.process is not None and self.process.poll() is None:
            return
        path = self.folder / f'{self.name}.json'
        path.write_text(json.dumps(self._settings()))
        environment = os.environ | {
            'MUSTARDLB_BOOT': str(path),
            'PYTHONPATH': os.pathsep.join(str(self.root / p) for p in PATHS),
        }
        log = (self.folder / f'{self.name}.log').open('ab')
        with log:
            self.process = subprocess.Popen(
                [sys.executable, '-m', 'mustardlb_platform'],
                env=environment,
                stdout=log,
                stderr=log,
            )

    def _settings(self):
        return {
            'node': self.name,
            'zone': 'a',
            'listen': {
                'front': f'{self.host}:{self.front_port}',
                'ready': f'{self.host}:{self.ready_port}',
            },
            'port_range': [self.peer_port, self.peer_port],
            'limits': {'max_fds': 1000, 'link_mbps': 100},
            'bounds': {
                'grace_s': STOP_GRACE_SECONDS,
                'lease_ms': 1000,
                'fencing': True,
            },
            'platform': {'address': f'127.0.0.1:{self.proxy.port}'},
        }

    def signal(self, number):
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        """Kill the process, paused or not, and wait for its exit."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()


class Soak:
    """One run with one seed.

    `checks_withdrawals` also checks that withdrawn keys are rejected in time,
    which requires a machine with idle processors.
    """

    def __init__(
        self, seed, folder, nodes=3, clients=6, checks_withdrawals=True
    ):
        self._checks_withdrawals = checks_withdrawals
        self.seed = seed
        self._folder = folder
        self._node_count = nodes
        self._client_count = clients
        self._rng = soak_targets.make_rng(seed, 'faults')
        self.store = soak_store.HttpStore()
        self.record = soak_targets.RunRecord()
        self.targets = [
            soak_targets.Target(
                f'{service}-{number}',
                self.record,
                service == 'llm',
                soak_targets.make_rng(seed, f'{service}{number}'),
            )
            for service in ('llm', 'desk')
            for number in range(3)
        ]
        self.nodes = []
        self.outcomes = []
        self.faults = []
        self._version = 0
        self._keys = ['key-0', 'key-1']
        self._withdrawn_at = {}

    async def run(self, seconds):
        """Run for `seconds` and return the violations found."""
        async with contextlib.AsyncExitStack() as stack:
            servers = [self.store.server, *(t.server for t in self.targets)]
            for server in servers:
                await stack.enter_async_context(server.running())
            for number in range(self._node_count):
                await self._add_node(stack, number)
            self._register_targets()
            self._write_configuration()
            for node in self.nodes:
                stack.callback(node.kill)
                node.start()
            await self._run_clients(seconds)
        violations = soak_clients.find_violations(
            self.outcomes, self.record, self._withdrawn_since
        )
        if not any(outcome.status == 200 for outcome in self.outcomes):
            violations.append('no request was served')
        return violations

    async def _add_node(self, stack, number):
        proxy = soak_proxy.Proxy(self.store.server.port)
        await stack.enter_async_context(proxy.running())
        # Runs at the same time on one machine need different addresses.
        pid = os.getpid()
        host = f'127.{1 + pid // 250 % 250}.{1 + pid % 250}.{10 + number}'
        ports = _free_ports(host, 3)
        self.nodes.append(
            Node(f'vm{number}', host, *ports, proxy, self._folder)
        )

    def _register_targets(self):
        for target in self.targets:
            service = target.target_id.partition('-')[0]
            self.store.put(
                'servers', target.target_id, target.registration(service)
            )

    def _write_configuration(self):
        self._version += self._rng.randint(1, 3)
        self.store.put('config', 'main', self._configuration())

    def _configuration(self):
        routes = [
            _route('get', 'idempotent', 'desk', 2),
            _route('post', 'non_idempotent', 'desk', 2),
            _route('stream', 'streaming', 'llm', 2),
        ]
        engine = {
            'slots': 16,
            'models': [{'name': soak_targets.MODEL, 'weights_mb': 1.0}],
            'weights_mb': 10.0,
            'adapter_slots': soak_targets.ADAPTER_SLOTS,
            'loads_per_s': 10.0,
        }
        return {
            'version': self._version,
            'routes': routes,
            'services': [
                {'name': 'llm', 'engine': engine},
                {'name': 'desk'},
            ],
            'tenants': [{'name': 'acme', 'api_keys': self._keys}],
        }

    async def _run_clients(self, seconds):
        async with trio.open_nursery() as nursery:
            for node in self.nodes:
                await _until_ready(node)
            for number in range(self._client_count):
                client = soak_clients.Client(
                    f's{self.seed}c{number}',
                    self.nodes,
                    lambda: [*self._keys, *self._withdrawn_at][:4],
                    soak_targets.make_rng(self.seed, f'client{number}'),
                    self.outcomes,
                )
                nursery.start_soon(client.run)
            with trio.move_on_after(seconds):
                await self._inject_faults()
            nursery.cancel_scope.cancel()

    async def _inject_faults(self):
        """Start random faults at random intervals; faults may overlap."""
        kinds = (
            self._kill_node,
            self._stop_node,
            self._pause_node,
            self._disrupt_connections,
            self._store_outage,
            self._lose_responses,
            self._target_faults,
            self._change_configuration,
            self._withdraw_key,
            self._reload_settings,
        )
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(self._rng.uniform(0.2, 1.2))
                fault = self._rng.choice(kinds)
                self.faults.append((trio.current_time(), fault.__name__))
                nursery.start_soon(fault)

    @contextlib.contextmanager
    def _mark_faulty(self, *nodes):
        for node in nodes:
            node.faulty_until = float('inf')
        try:
            yield
        finally:
            for node in nodes:
                node.faulty_until = trio.current_time()

    async def _kill_node(self):
        node = self._rng.choice(self.nodes)
        with self._mark_faulty(node):
            node.kill()
            await trio.sleep(self._rng.uniform(0.1, 1.5))
            node.start()

    async def _stop_node(self):
        node = self._rng.choice(self.nodes)
        with self._mark_faulty(node):
            node.signal(signal.SIGTERM)
            with trio.move_on_after(STOP_GRACE_SECONDS):
                while node.process.poll() is None:
                    await trio.sleep(0.1)
            node.kill()
            node.start()

    async def _pause_node(self):
        node = self._rng.choice(self.nodes)
        with self._mark_faulty(node):
            node.signal(signal.SIGSTOP)
            await trio.sleep(self._rng.uniform(0.3, 3.0))
            node.signal(signal.SIGCONT)

    async def _reload_settings(self):
        self._rng.choice(self.nodes).signal(signal.SIGHUP)

    async def _disrupt_connections(self):
        node = self._rng.choice(self.nodes)
        mode = self._rng.choice(['delay', 'reset', 'stall', 'stall_responses'])
        with self._mark_faulty(node):
            node.proxy.set_mode(mode)
            await trio.sleep(self._rng.uniform(0.5, 3.0))
            node.proxy.set_mode('pass')

    async def _store_outage(self):
        with self._mark_faulty(*self.nodes):
            self.store.is_down = True
            await trio.sleep(self._rng.uniform(0.5, 2.5))
            self.store.is_down = False

    async def _lose_responses(self):
        with self._mark_faulty(*self.nodes):
            self.store.loses_responses = True
            await trio.sleep(self._rng.uniform(0.3, 1.5))
            self.store.loses_responses = False

    async def _target_faults(self):
        target = self._rng.choice(self.targets)
        target.fault_rate = self._rng.uniform(0.1, 0.6)
        await trio.sleep(self._rng.uniform(0.5, 3.0))
        target.fault_rate = soak_targets.BASE_FAULT_RATE

    async def _change_configuration(self):
        self._write_configuration()

    async def _withdraw_key(self):
        key = self._keys.pop(0)
        self._keys.append(f'key-{len(self._withdrawn_at) + 2}')
        self._write_configuration()
        self._withdrawn_at[key] = trio.current_time()

    def _withdrawn_since(self, outcome):
        """Return when the key was withdrawn if the node had to reject it."""
        at = self._withdrawn_at.get(outcome.key)
        if at is None or not self._checks_withdrawals:
            return None
        node = next(n for n in self.nodes if n.name == outcome.node)
        checked_from = max(at, node.faulty_until + RECOVERY_SECONDS)
        if outcome.sent_at > checked_from + WITHDRAWAL_SECONDS:
            return at
        return None


async def _until_ready(node):
    request = b'GET /-/ready HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n'
    with trio.fail_after(START_TIMEOUT_SECONDS):
        while True:
            with contextlib.suppress(OSError, trio.BrokenResourceError):
                stream = await trio.open_tcp_stream(node.host, node.ready_port)
                await stream.send_all(request)
                if b' 200 ' in await stream.receive_some(100):
                    return
            await trio.sleep(0.1)


def _route(name, kind, service, attempts):
    return {
        'name': name,
        'host': 'h',
        'path_prefix': f'/{name}/',
        'route_type': kind,
        'service': service,
        'timeout_ms': 2500,
        'target_latency_ms': 500,
        'max_attempts': attempts,
        'resumable': kind == 'streaming',
    }


def _free_ports(host, count):
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for free in sockets:
            free.bind((host, 0))
        return [free.getsockname()[1] for free in sockets]
