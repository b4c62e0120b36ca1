"""Measure the shared state: delay of a change, and its cost for a node.

Nodes run as trio tasks in this one process, by default over the fake
network of the tests in virtual time; `--loopback` runs them over loopback
TCP with mutual TLS in real time. See docs/measurements/state.md.
"""

import dataclasses
import logging
import pathlib
import random
import resource
import ssl
import statistics
import sys
import time

import fire
import structlog
import trio
import trio.testing
import trustme

TESTS = pathlib.Path(__file__).parent.parent / 'tests' / 'mustardlbd'
sys.path.insert(0, str(TESTS))

import fleet as fleets  # noqa: E402

from mustardlb import vm_list  # noqa: E402
from mustardlb_standins import faults  # noqa: E402
from mustardlbd import _peer_server  # noqa: E402

# Time before anything is measured, seconds.
WARM_UP = 12.0

# Time over which the cost at rest is measured, seconds.
REST_TIME = 10.0

# Changes measured, and the longest wait for one, seconds.
CHANGES = 5
CHANGE_TIMEOUT = 20.0

# How often a change is looked for, seconds.
LOOK_INTERVAL = 0.005

# Bytes that a send costs beyond its payload: headers of IPv4 and TCP with
# timestamps; and the frame of TLS 1.3 where the bytes counted lack it.
TCP_BYTES = 52
TLS_BYTES = 22

# How often the ages are looked at in an outage, seconds.
AGE_INTERVAL = 0.2

# Configuration objects and their size, bytes.
OBJECTS = 10
OBJECT_SIZE = 1_000

VM_SIZES = '3,7,20,60'


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """What one node spends in a second; the busiest one too."""

    mean_bytes: float
    most_bytes: float
    mean_cpu: float
    most_cpu: float
    api_calls: float

    def show(self) -> str:
        """Return the figures as cells of a table."""
        return (
            f'{self.mean_bytes / 1000:.2f} | {self.most_bytes / 1000:.2f} | '
            f'{self.mean_cpu:.2%} | {self.most_cpu:.2%} | '
            f'{self.api_calls:.1f}'
        )


class CountingStream(trio.abc.Stream):
    """A stream that counts what its node sends and receives."""

    def __init__(
        self, stream: trio.SocketStream, network: fleets.Network, vm_id: str
    ) -> None:
        self._stream = stream
        self._network = network
        self._vm_id = vm_id

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """Send and count."""
        self._count(len(data))
        await self._stream.send_all(data)

    async def wait_send_all_might_not_block(self) -> None:
        """Wait as the stream below does."""
        await self._stream.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Receive and count."""
        data = await self._stream.receive_some(max_bytes)
        self._count(len(data))
        return data

    async def aclose(self) -> None:
        """Close the stream below."""
        await self._stream.aclose()

    def _count(self, number: int) -> None:
        self._network.bytes_by_node[self._vm_id] += number
        self._network.sends_by_node[self._vm_id] += 1


class LoopbackFleet(fleets.Fleet):
    """A fleet over loopback TCP with mutual TLS, in real time."""

    def __init__(self, nursery: trio.Nursery) -> None:
        super().__init__(nursery)
        self._listeners_by_id: dict[str, trio.SocketListener] = {}
        authority = trustme.CA()
        certificate = authority.issue_cert('127.0.0.1')
        self._server_tls = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        self._client_tls = ssl.create_default_context()
        for context in (self._server_tls, self._client_tls):
            certificate.configure_cert(context)
            authority.configure_trust(context)
        self._server_tls.verify_mode = ssl.CERT_REQUIRED

    async def listen(self, vm_id: str) -> None:
        """Start a node on a port of its own."""
        (listener,) = await trio.open_tcp_listeners(0, host='127.0.0.1')
        port = listener.socket.getsockname()[1]
        self.vms.vms_by_id[vm_id] = vm_list.Vm(
            vm_id, '127.0.0.1', port, 1, 'dc-1'
        )
        self._listeners_by_id[vm_id] = listener
        self.start(vm_id, listed=False)

    def crash_vm(self, vm_id: str) -> None:
        """End a node; its port refuses connections."""
        self.kill(vm_id)

    def _make_server(self, vm_id: str) -> _peer_server.PeerServer:
        return _peer_server.PeerServer(vm_id, self._server_tls)

    async def _run(self, node: fleets.Node) -> None:
        async def serve(stream: trio.SocketStream) -> None:
            counted = CountingStream(stream, self.network, node.vm_id)
            await node.server.serve_connection(counted)

        listener = self._listeners_by_id[node.vm_id]
        with node.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(trio.serve_listeners, serve, [listener])
                await node.state.run()

    async def _open_stream(self, source: str, target: str) -> trio.abc.Stream:
        vm = self.vms.vms_by_id[target]
        stream = await trio.open_tcp_stream(vm.address, vm.peer_port)
        return trio.SSLStream(
            CountingStream(stream, self.network, source),
            self._client_tls,
            server_hostname=vm.address,
            https_compatible=True,
        )


async def measure_cost(fleet: fleets.Fleet, tls_bytes: int) -> Cost:
    """Measure a while at rest."""
    network = fleet.network
    network.bytes_by_node.clear()
    network.sends_by_node.clear()
    fleet.api.calls.clear()
    started, cpu = trio.current_time(), time.process_time()
    await trio.sleep(REST_TIME)
    seconds = trio.current_time() - started
    cpu = (time.process_time() - cpu) / seconds
    sends = network.sends_by_node
    spent = {
        vm_id: network.bytes_by_node[vm_id]
        + sends[vm_id] * (TCP_BYTES + tls_bytes)
        for vm_id in fleet.nodes_by_id
    }
    busiest = max(sends[vm_id] for vm_id in spent) / sum(sends.values())
    return Cost(
        statistics.mean(spent.values()) / seconds,
        max(spent.values()) / seconds,
        cpu / len(spent),
        cpu * busiest,
        fleet.api.calls.total() / seconds,
    )


async def measure_changes(fleet: fleets.Fleet) -> list[float]:
    """Measure from a change stored to in force on every node, seconds."""
    operator = fleets.Operator(fleet.api)
    delays = []
    for number in range(CHANGES):
        value = f'{number}'.encode() * OBJECT_SIZE
        revision = await operator.apply(f'c{number}', {'keys/a': value})
        stored = trio.current_time()
        with trio.fail_after(CHANGE_TIMEOUT):
            while any(  # noqa: ASYNC110
                node.state.snapshot().revision < revision
                for node in fleet.nodes_by_id.values()
            ):
                await trio.sleep(LOOK_INTERVAL)
        delays.append(trio.current_time() - stored)
        await trio.sleep(0.7 + random.random())
    return delays


async def measure_outage(fleet: fleets.Fleet, tls_bytes: int) -> str:
    """Measure the oldest knowledge and the cost while the API is silent."""
    fleet.api.plan.add('*', faults.Kind.DROP, seconds=1.0, times=None)
    oldest = 0.0

    async def watch() -> None:
        nonlocal oldest
        while True:
            ages = (
                one.state.staleness() for one in fleet.nodes_by_id.values()
            )
            oldest = max(oldest, *ages)
            await trio.sleep(AGE_INTERVAL)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(watch)
        await trio.sleep(REST_TIME)
        cost = await measure_cost(fleet, tls_bytes)
        nursery.cancel_scope.cancel()
    fleet.api.plan.reset()
    return (
        f'{oldest:.2f} | {cost.mean_bytes / 1000:.2f} | '
        f'{cost.most_bytes / 1000:.2f}'
    )


def resident_bytes() -> int:
    """Return the memory of this process."""
    pages = int(pathlib.Path('/proc/self/statm').read_text().split()[1])
    return pages * resource.getpagesize()


async def fill(fleet: fleets.Fleet) -> None:
    """Write a configuration."""
    operator = fleets.Operator(fleet.api)
    values = {
        f'contract/{number}': bytes([65 + number]) * OBJECT_SIZE
        for number in range(OBJECTS)
    }
    await operator.apply('first', values)


async def measure(fleet: fleets.Fleet, size: int, tls_bytes: int) -> None:
    """Measure a fleet whole, then with one VM in twenty dead."""
    memory = resident_bytes()
    await fill(fleet)
    await trio.sleep(WARM_UP)
    cost = await measure_cost(fleet, tls_bytes)
    whole = await measure_changes(fleet)
    memory = (resident_bytes() - memory) // size
    outage = await measure_outage(fleet, tls_bytes)
    await trio.sleep(WARM_UP)
    for vm_id in random.sample(sorted(fleet.nodes_by_id), max(1, size // 20)):
        fleet.crash_vm(vm_id)
    dead = await measure_changes(fleet)
    cells = [
        f'{statistics.median(delays):.3f} | {max(delays):.3f}'
        for delays in (whole, dead)
    ]
    print(
        f'| {size} | {" | ".join(cells)} | {cost.show()} | {outage} | '
        f'{memory / 1e6:.2f} |',
        flush=True,
    )


async def run_virtual(size: int) -> None:
    """Measure a fleet over the fake network."""
    async with trio.open_nursery() as nursery:
        fleet = fleets.Fleet(nursery)
        for number in range(size):
            fleet.start(f'vm-{number}')
        await measure(fleet, size, TLS_BYTES)
        nursery.cancel_scope.cancel()


async def run_loopback(size: int) -> None:
    """Measure a fleet over loopback TCP with mutual TLS."""
    async with trio.open_nursery() as nursery:
        fleet = LoopbackFleet(nursery)
        for number in range(size):
            await fleet.listen(f'vm-{number}')
        await measure(fleet, size, 0)
        nursery.cancel_scope.cancel()


def main(sizes: str = VM_SIZES, loopback: bool = False, seed: int = 1) -> None:
    """Print a table of delays, seconds, and costs.

    :param sizes: numbers of nodes, with commas between
    :param loopback: real time over loopback TCP with mutual TLS
    """
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    print('| VMs | change, median s | worst | 1 in 20 dead, median | worst ')
    print('| KB/s mean | KB/s busiest | CPU mean | busiest | API calls/s ')
    print('| outage: oldest, s | KB/s mean | KB/s busiest | MB a node |')
    numbers = sizes if isinstance(sizes, tuple) else str(sizes).split(',')
    for size in numbers:
        random.seed(seed)
        if loopback:
            trio.run(run_loopback, int(size))
            continue
        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(run_virtual, int(size), clock=clock)


if __name__ == '__main__':
    fire.Fire(main)
