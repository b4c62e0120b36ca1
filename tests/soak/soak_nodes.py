"""Gateway processes, each behind a proxy of its own."""

import bisect
import contextlib
import dataclasses
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys

import soak_proxy
import trio

ROOT = pathlib.Path(__file__).parent.parent.parent
PATHS = ('packages/mustardlb', 'packages/mustardlb-gateway', 'platform')

START_TIMEOUT_SECONDS = 30.0
STOP_GRACE_SECONDS = 4.0

# A node is in touch again this long after the end of a fault.
STABILITY_SECONDS = 3.0


@dataclasses.dataclass
class Node:
    """One gateway process.

    :ivar root: folder of the repository whose code it runs
    :ivar faults: start and end of each fault, the end infinite during it
    :ivar own_faults: those of them that are not the store's
    :ivar stops: when it was told to stop, and until when its connections were
        not ended by a kill
    :ivar stop_grace: seconds from the signal to stop until it is killed
    :ivar starts: when its processes were started
    :ivar stop_count: number of faults that keep it stopped
    """

    name: str
    host: str
    front_port: int
    ready_port: int
    peer_port: int
    proxy: soak_proxy.Proxy
    folder: pathlib.Path
    root: pathlib.Path = ROOT
    process: subprocess.Popen | None = None
    faults: list = dataclasses.field(default_factory=list)
    own_faults: list = dataclasses.field(default_factory=list)
    stops: list = dataclasses.field(default_factory=list)
    stop_grace: float = STOP_GRACE_SECONDS
    starts: list = dataclasses.field(default_factory=list)
    stop_count: int = 0

    def start(self):
        """Start the process unless another fault has; append to its log."""
        is_running = self.process is not None and self.process.poll() is None
        if is_running or self.stop_count:
            return
        self.starts.append(trio.current_time())
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
                'grace_s': self.stop_grace,
                'lease_ms': 1000,
                'fencing': True,
            },
            'platform': {'address': f'127.0.0.1:{self.proxy.port}'},
        }

    def is_in_touch(self, since, until):
        """Whether no fault was there in this time and shortly before."""
        return all(
            end + STABILITY_SECONDS < since or start > until
            for start, end in self.faults
        )

    def is_undisturbed(self, since, until, except_at=None):
        """Whether only the store had faults in this time.

        :param except_at: start of a fault of the node that is left out
        """
        return all(
            end < since or start > until or start == except_at
            for start, end in self.own_faults
        )

    def incarnation(self, at):
        """Return the number of the process that ran at this time."""
        return bisect.bisect(self.starts, at)

    def handles(self, number):
        """Whether the process has set what it does on a signal.

        Until then, as long as the interpreter starts, it ends by one.
        """
        if self.process is None or self.process.poll() is not None:
            return False
        status = pathlib.Path(f'/proc/{self.process.pid}/status').read_text()
        fields = dict(line.split(':', 1) for line in status.splitlines())
        masks = int(fields['SigIgn'], 16) | int(fields['SigCgt'], 16)
        return bool(masks >> (number - 1) & 1)

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


async def add(stack, number, store_port, folder, root=ROOT):
    """Return a node that has not started, with its proxy to the store."""
    proxy = soak_proxy.Proxy(store_port)
    await stack.enter_async_context(proxy.running())
    # Runs at the same time on one machine need different addresses.
    pid = os.getpid()
    host = f'127.{1 + pid // 250 % 250}.{1 + pid % 250}.{10 + number}'
    ports = _free_ports(host, 3)
    return Node(f'vm{number}', host, *ports, proxy, folder, root)


async def until_ready(node):
    """Wait until a node is ready; raises trio.TooSlowError."""
    request = b'GET /-/ready HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n'
    with trio.fail_after(START_TIMEOUT_SECONDS):
        while True:
            with contextlib.suppress(OSError, trio.BrokenResourceError):
                stream = await trio.open_tcp_stream(node.host, node.ready_port)
                await stream.send_all(request)
                if b' 200 ' in await stream.receive_some(100):
                    return
            await trio.sleep(0.1)


def _free_ports(host, count):
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for free in sockets:
            free.bind((host, 0))
        return [free.getsockname()[1] for free in sockets]
