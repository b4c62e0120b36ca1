"""What a gateway tells its hub and a hub its readers: bytes and time.

Digests of the nodes of one data centre are drawn at random, with as many
requests in flight and changes in each interval as the rate of requests
brings. All other data centres together, whose loads reach a reader as one
sum, are taken to cost what the own one does.
"""

import dataclasses
import random
import time

import fire

from mustardlb_gateway import _centres
from mustardlb_gateway import _fleet
from mustardlb_gateway import _membership
from mustardlb_gateway import _messages
from mustardlb_gateway import domain

# Seconds that a request is in flight.
IN_FLIGHT = 1.2

ADAPTERS_PER_ENGINE = 9

# Sums that a node is told: its own data centre's, and of all the others.
SUMS = 2
ROUNDS = 12


@dataclasses.dataclass(frozen=True)
class Shape:
    """A fleet; `rate` is in requests a second."""

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


class Site:
    """The nodes of a data centre as their hub hears them."""

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
        """Return the time of the site."""
        return self.now

    def digest(self, number: int) -> _messages.Digest:
        """Return the digest of a node at this moment."""
        shape, rng = self.shape, self.rng
        running = round(shape.rate / shape.nodes * IN_FLIGHT)
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
        kept = range(number, shape.engines, shape.nodes)
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
            for engine in kept
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

    def hear_all(self) -> float:
        """Let the hub hear all digests; return bytes of one."""
        size = 0
        for number, vm in enumerate(self.vms[1:], 1):
            message = _messages.Message(
                vm.vm, 1, round(self.now * 1000), self.digest(number)
            )
            data = _messages.encode(message)
            size = len(data)
            message = _messages.decode(data)
            assert isinstance(message.body, _messages.Digest)
            self.fleet.receive_digest(message, message.body)
        return size


def measure(shape: Shape) -> dict[str, float]:
    """Return bytes and milliseconds of one pause between updates."""
    site = Site(shape)
    told: dict[str, _centres.CentreState] = {}
    sums = dict.fromkeys(('digest', 'update', 'hear', 'tell', 'read'), 0.0)
    for number in range(ROUNDS + 1):
        site.now += site.membership.batch_delay
        began = time.perf_counter()
        digest = site.hear_all()
        heard = time.perf_counter()
        site.fleet.refresh_view()
        fresh = site.fleet.state_for('vm-1')
        nothing = _centres.CentreState()
        found = (
            _centres.difference(name, told.get(name, nothing), fresh[name])
            for name in fresh
        )
        changes = tuple(each for each in found if each is not None)
        update = _messages.Update(False, {'config': 7}, changes, {})
        data = _messages.encode(_messages.Message('vm-0', 1, 0, update))
        said = time.perf_counter()
        _messages.decode(data)
        read = time.perf_counter()
        told = fresh
        if number:
            # The first one is full.
            sums['digest'] += digest
            sums['update'] += len(data) * SUMS
            sums['hear'] += (heard - began) / (len(site.vms) - 1) * 1e3
            sums['tell'] += (said - heard) * SUMS * 1e3
            sums['read'] += (read - said) * SUMS * 1e3
    return {name: total / ROUNDS for name, total in sums.items()} | {
        'interval': site.membership.batch_delay,
        'members': len(site.vms),
    }


def main() -> None:
    """Print what one interval costs, and what that is in a second."""
    print(
        'nodes engines pause_s digest_B update_B hear_ms tell_ms read_ms'
        ' node_KB/s node_core% hub_core%'
    )
    for shape in SHAPES:
        found = measure(shape)
        per_second = 1 / found['interval']
        # Each digest goes to both hubs; half of the readers take their
        # updates from each. Writing a digest takes about as long as reading.
        node_bytes = (2 * found['digest'] + found['update']) * per_second
        node_time = (found['hear'] + found['read']) * per_second
        hub_time = (
            found['members'] * (found['hear'] + found['tell'] / 2)
        ) * per_second
        print(
            shape.nodes,
            shape.engines,
            f'{found["interval"]:.2f}',
            f'{found["digest"]:.0f}',
            f'{found["update"]:.0f}',
            f'{found["hear"]:.2f}',
            f'{found["tell"]:.2f}',
            f'{found["read"]:.2f}',
            f'{node_bytes / 1000:.1f}',
            f'{node_time / 10:.1f}',
            f'{hub_time / 10:.1f}',
        )


if __name__ == '__main__':
    fire.Fire(main)
