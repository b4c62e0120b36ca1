"""Size and CPU time of digests and updates, by size of the fleet.

The digests of one data centre's nodes are generated at random; the rate of
requests determines the number of requests in flight and of changes in each
interval. The state of all other data centres, whose loads are sent as one
sum, is assumed to cost as much as that of the own one.
"""

import dataclasses
import random
import time

import fire

from mustardlb_gateway import _centres
from mustardlb_gateway import _fleet
from mustardlb_gateway import _membership
from mustardlb_gateway import _message_codec
from mustardlb_gateway import _messages
from mustardlb_gateway import domain

IN_FLIGHT_SECONDS = 1.2

ADAPTERS_PER_ENGINE = 9

# The state of the subscriber's data centre, and the sum of all others.
CENTRES_PER_UPDATE = 2
ROUNDS = 12


@dataclasses.dataclass(frozen=True)
class Shape:
    """A fleet; `rate` is in requests per second."""

    nodes: int
    centres: int
    engines: int
    accounts: int
    rate: float


SHAPES = (
    Shape(7, 3, 9, 5, 50),
    Shape(80, 3, 30, 16, 165),
    Shape(380, 6, 1100, 40, 8800),
)


class HubSimulation:
    """A hub that receives the digests of a data centre's nodes."""

    def __init__(self, shape: Shape) -> None:
        self.shape = shape
        self.rng = random.Random(1)
        self.now = 0.0
        self.engines = [f'i-{n:010x}' for n in range(shape.engines)]
        count = max(2, shape.nodes // shape.centres)
        self.vms = [
            _centres.Vm(f'vm-{n}', '10.0.0.1', 7600, 'a', float(count - n))
            for n in range(count)
        ]
        self.admitted = 0.0
        self.membership = _membership.Membership(self.vms[0], self.clock)
        for vm in self.vms:
            self.membership.add(vm)
        for n in range(shape.nodes - count):
            centre = f'b{n % (shape.centres - 1)}'
            self.membership.add(
                _centres.Vm(f'far-{n}', '10.0.0.2', 7600, centre, 1.0)
            )
        self.fleet = _fleet.Fleet(
            self.membership, 1, lambda: self.digest(0), self.clock
        )

    def clock(self) -> float:
        """Return the virtual time in seconds."""
        return self.now

    def digest(self, number: int) -> _messages.Digest:
        """Return a random digest of a node."""
        shape, rng = self.shape, self.rng
        running = round(shape.rate / shape.nodes * IN_FLIGHT_SECONDS)
        usages = tuple(
            _messages.TargetUsage(
                engine,
                1,
                rng.randrange(9000),
                (domain.AdapterName('base', f'a{rng.randrange(9000)}'),),
            )
            for engine in rng.sample(
                self.engines, min(running, len(self.engines))
            )
        )
        controlled = range(number, shape.engines, shape.nodes)
        holdings = tuple(
            _centres.Holding(
                self.engines[engine],
                4,
                1,
                True,
                {
                    domain.AdapterName('base', f'a{engine}x{n}'): 1
                    for n in range(ADAPTERS_PER_ENGINE)
                },
                2,
            )
            for engine in controlled
        )
        self.admitted += 1000.0
        vm = self.vms[number]
        return _messages.Digest(
            vm.host,
            vm.port,
            vm.data_centre,
            vm.capacity,
            number < _membership.HUBS_PER_CENTRE,
            False,
            {'config': 7, 'servers': 812, 'versions': 90},
            {f'account{n}': self.admitted for n in range(shape.accounts)},
            usages,
            holdings,
        )

    def receive_digests(self) -> float:
        """Send all digests to the hub; return the size of one in bytes."""
        size = 0
        for number, vm in enumerate(self.vms[1:], 1):
            message = _messages.Message(
                vm.vm, 1, round(self.now * 1000), self.digest(number)
            )
            data = _message_codec.encode(message)
            size = len(data)
            message = _message_codec.decode(data)
            assert isinstance(message.body, _messages.Digest)
            self.fleet.receive_digest(message, message.body)
        return size


def measure(shape: Shape) -> dict[str, float]:
    """Return the bytes and milliseconds that one batch delay costs."""
    simulation = HubSimulation(shape)
    sent: dict[str, _centres.CentreState] = {}
    sums = dict.fromkeys(('digest', 'update', 'hear', 'tell', 'read'), 0.0)
    for number in range(ROUNDS + 1):
        simulation.now += simulation.membership.batch_delay
        started_at = time.perf_counter()
        digest = simulation.receive_digests()
        received_at = time.perf_counter()
        simulation.fleet.refresh_view()
        current = simulation.fleet.state_for('vm-1')
        empty = _centres.CentreState()
        deltas = (
            _centres.diff(name, sent.get(name, empty), current[name])
            for name in current
        )
        changes = tuple(each for each in deltas if each is not None)
        update = _messages.Update(False, {'config': 7}, changes, {})
        data = _message_codec.encode(_messages.Message('vm-0', 1, 0, update))
        encoded_at = time.perf_counter()
        _message_codec.decode(data)
        decoded_at = time.perf_counter()
        sent = current
        if number:
            # The first update is full and is not measured.
            sums['digest'] += digest
            sums['update'] += len(data) * CENTRES_PER_UPDATE
            sums['hear'] += (
                (received_at - started_at) / (len(simulation.vms) - 1) * 1e3
            )
            sums['tell'] += (
                (encoded_at - received_at) * CENTRES_PER_UPDATE * 1e3
            )
            sums['read'] += (
                (decoded_at - encoded_at) * CENTRES_PER_UPDATE * 1e3
            )
    return {name: total / ROUNDS for name, total in sums.items()} | {
        'interval': simulation.membership.batch_delay,
        'members': len(simulation.vms),
    }


def main() -> None:
    """Print the cost of one interval and the load per second."""
    print(
        'nodes engines pause_s digest_B update_B hear_ms tell_ms read_ms'
        ' node_KB/s node_core% hub_core%'
    )
    for shape in SHAPES:
        costs = measure(shape)
        per_second = 1 / costs['interval']
        # Each digest is sent to both hubs, and each hub serves half of the
        # subscribers. Encoding a digest takes about as long as decoding it.
        node_bytes = (2 * costs['digest'] + costs['update']) * per_second
        node_time = (costs['hear'] + costs['read']) * per_second
        hub_time = (
            costs['members'] * (costs['hear'] + costs['tell'] / 2)
        ) * per_second
        print(
            shape.nodes,
            shape.engines,
            f'{costs["interval"]:.2f}',
            f'{costs["digest"]:.0f}',
            f'{costs["update"]:.0f}',
            f'{costs["hear"]:.2f}',
            f'{costs["tell"]:.2f}',
            f'{costs["read"]:.2f}',
            f'{node_bytes / 1000:.1f}',
            f'{node_time / 10:.1f}',
            f'{hub_time / 10:.1f}',
        )


if __name__ == '__main__':
    fire.Fire(main)
