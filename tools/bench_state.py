"""Measure the delay of a change of the shared state and its cost for a node.

Nodes are trio tasks in this process. By default they use the simulated
network of the tests in virtual time, with `--loopback` loopback TCP with
mutual TLS in real time. See docs/measurements/state.md.
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

WARM_UP_SECONDS = 12.0

MEASUREMENT_SECONDS = 10.0

CHANGE_COUNT = 5
CHANGE_TIMEOUT_SECONDS = 20.0

# Resolution of the measured delays.
POLL_INTERVAL_SECONDS = 0.005

# Overhead of a send: the headers of IPv4 and of TCP with timestamps, and the
# TLS 1.3 record where the counted bytes are those before encryption.
TCP_OVERHEAD_BYTES = 52
TLS_OVERHEAD_BYTES = 22

# Interval of staleness samples during an outage.
STALENESS_INTERVAL_SECONDS = 0.2

# Configuration objects and the size of each.
OBJECT_COUNT = 10
OBJECT_BYTES = 1_000

DEFAULT_NODE_COUNTS = '3,7,20,60'


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """Cost of a node in a second: mean, and that of the busiest node."""

    mean_bytes: float
    most_bytes: float
    mean_cpu: float
    most_cpu: float
    api_calls: float

    def show(self) -> str:
        """Return the costs as table cells."""
        return (
            f'{self.mean_bytes / 1000:.2f} | {self.most_bytes / 1000:.2f} | '
            f'{self.mean_cpu:.2%} | {self.most_cpu:.2%} | '
            f'{self.api_calls:.1f}'
        )


class CountingStream(trio.abc.Stream):
    """A stream that counts the bytes and calls of its node."""

    def __init__(
        self, stream: trio.SocketStream, network: fleets.Network, vm_id: str
    ) -> None:
        self._stream = stream
        self._network = network
        self._vm_id = vm_id

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """Send data and count its bytes."""
        self._count(len(data))
        await self._stream.send_all(data)

    async def wait_send_all_might_not_block(self) -> None:
        """Wait for the underlying stream."""
        await self._stream.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Receive data and count its bytes."""
        data = await self._stream.receive_some(max_bytes)
        self._count(len(data))
        return data

    async def aclose(self) -> None:
        """Close the underlying stream."""
        await self._stream.aclose()

    def _count(self, size: int) -> None:
        self._network.bytes_by_node[self._vm_id] += size
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
        """Start a node on a free port."""
        (listener,) = await trio.open_tcp_listeners(0, host='127.0.0.1')
        port = listener.socket.getsockname()[1]
        self.vms.vms_by_id[vm_id] = vm_list.Vm(
            vm_id, '127.0.0.1', port, 1, 'dc-1'
        )
        self._listeners_by_id[vm_id] = listener
        self.start(vm_id, listed=False)

    def crash_vm(self, vm_id: str) -> None:
        """Stop a node; its port refuses connections from then on."""
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


async def measure_cost(fleet: fleets.Fleet, tls_overhead_bytes: int) -> Cost:
    """Measure the cost of the nodes while nothing changes."""
    network = fleet.network
    network.bytes_by_node.clear()
    network.sends_by_node.clear()
    fleet.api.calls.clear()
    started, cpu = trio.current_time(), time.process_time()
    await trio.sleep(MEASUREMENT_SECONDS)
    seconds = trio.current_time() - started
    cpu = (time.process_time() - cpu) / seconds
    sends = network.sends_by_node
    bytes_by_vm = {
        vm_id: network.bytes_by_node[vm_id]
        + sends[vm_id] * (TCP_OVERHEAD_BYTES + tls_overhead_bytes)
        for vm_id in fleet.nodes_by_id
    }
    busiest_share = max(sends[vm_id] for vm_id in bytes_by_vm) / sum(
        sends.values()
    )
    return Cost(
        statistics.mean(bytes_by_vm.values()) / seconds,
        max(bytes_by_vm.values()) / seconds,
        cpu / len(bytes_by_vm),
        cpu * busiest_share,
        fleet.api.calls.total() / seconds,
    )


async def measure_changes(fleet: fleets.Fleet) -> list[float]:
    """Return the seconds from storing a change until all nodes have it."""
    operator = fleets.Operator(fleet.api)
    delays = []
    for number in range(CHANGE_COUNT):
        value = f'{number}'.encode() * OBJECT_BYTES
        revision = await operator.apply(f'c{number}', {'keys/a': value})
        stored = trio.current_time()
        with trio.fail_after(CHANGE_TIMEOUT_SECONDS):
            while any(  # noqa: ASYNC110
                node.state.snapshot().revision < revision
                for node in fleet.nodes_by_id.values()
            ):
                await trio.sleep(POLL_INTERVAL_SECONDS)
        delays.append(trio.current_time() - stored)
        await trio.sleep(0.7 + random.random())
    return delays


async def measure_outage(fleet: fleets.Fleet, tls_overhead_bytes: int) -> str:
    """Measure the maximum staleness and the cost during an API outage."""
    fleet.api.plan.add('*', faults.Kind.DROP, seconds=1.0, times=None)
    max_staleness = 0.0

    async def sample_staleness() -> None:
        nonlocal max_staleness
        while True:
            samples = (
                node.state.staleness() for node in fleet.nodes_by_id.values()
            )
            max_staleness = max(max_staleness, *samples)
            await trio.sleep(STALENESS_INTERVAL_SECONDS)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(sample_staleness)
        await trio.sleep(MEASUREMENT_SECONDS)
        cost = await measure_cost(fleet, tls_overhead_bytes)
        nursery.cancel_scope.cancel()
    fleet.api.plan.reset()
    return (
        f'{max_staleness:.2f} | {cost.mean_bytes / 1000:.2f} | '
        f'{cost.most_bytes / 1000:.2f}'
    )


def resident_bytes() -> int:
    """Return the resident memory of this process."""
    pages = int(pathlib.Path('/proc/self/statm').read_text().split()[1])
    return pages * resource.getpagesize()


async def store_configuration(fleet: fleets.Fleet) -> None:
    """Store a configuration with contracts."""
    operator = fleets.Operator(fleet.api)
    values = {
        f'contract/{number}': bytes([65 + number]) * OBJECT_BYTES
        for number in range(OBJECT_COUNT)
    }
    await operator.apply('first', values)


async def measure(
    fleet: fleets.Fleet, size: int, tls_overhead_bytes: int
) -> None:
    """Measure a fleet with all VMs, then after one in twenty crashed."""
    memory = resident_bytes()
    await store_configuration(fleet)
    await trio.sleep(WARM_UP_SECONDS)
    cost = await measure_cost(fleet, tls_overhead_bytes)
    delays_before = await measure_changes(fleet)
    memory = (resident_bytes() - memory) // size
    outage = await measure_outage(fleet, tls_overhead_bytes)
    await trio.sleep(WARM_UP_SECONDS)
    for vm_id in random.sample(sorted(fleet.nodes_by_id), max(1, size // 20)):
        fleet.crash_vm(vm_id)
    delays_after = await measure_changes(fleet)
    cells = [
        f'{statistics.median(delays):.3f} | {max(delays):.3f}'
        for delays in (delays_before, delays_after)
    ]
    print(
        f'| {size} | {" | ".join(cells)} | {cost.show()} | {outage} | '
        f'{memory / 1e6:.2f} |',
        flush=True,
    )


async def run_virtual(size: int) -> None:
    """Measure a fleet over the simulated network."""
    async with trio.open_nursery() as nursery:
        fleet = fleets.Fleet(nursery)
        for number in range(size):
            fleet.start(f'vm-{number}')
        await measure(fleet, size, TLS_OVERHEAD_BYTES)
        nursery.cancel_scope.cancel()


async def run_loopback(size: int) -> None:
    """Measure a fleet over loopback TCP with mutual TLS."""
    async with trio.open_nursery() as nursery:
        fleet = LoopbackFleet(nursery)
        for number in range(size):
            await fleet.listen(f'vm-{number}')
        await measure(fleet, size, 0)
        nursery.cancel_scope.cancel()


def main(
    sizes: str = DEFAULT_NODE_COUNTS, loopback: bool = False, seed: int = 1
) -> None:
    """Print a table of delays in seconds and of costs.

    :param sizes: numbers of nodes, separated by commas
    :param loopback: use loopback TCP with mutual TLS in real time
    """
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    print('| VMs | change, median s | worst | 1 in 20 dead, median | worst ')
    print('| KB/s mean | KB/s busiest | CPU mean | busiest | API calls/s ')
    print('| outage: staleness, s | KB/s mean | KB/s busiest | MB a node |')
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
