"""Measure bytes, memory and time by number of items for docs/CAPACITY.md."""

import time
import tracemalloc

from mustardlb import configuration
from mustardlb import contracts
from mustardlb import decoded_configuration
from mustardlbd import _grants
from mustardlbd import _owners
from mustardlbd import _share_messages
from mustardlbd import _target_messages

# Numbers of client accounts or of grants.
SIZES = (500, 2_000, 8_000)

TIMED_RUNS = 5


def print_row(*cells: object) -> None:
    """Print a table row."""
    print('| ' + ' | '.join(str(cell) for cell in cells) + ' |', flush=True)


def make_contract(number: int, rate: int = 1_000) -> bytes:
    """Return an encoded contract with grants for twenty adapters."""
    contract = contracts.Contract(
        account=f'account-{number}',
        rate=rate,
        burst=10_000,
        grants=tuple(f'adapter-{number}-{index}@1' for index in range(20)),
    )
    return contracts.encode(contract)


def measure_configuration(size: int) -> None:
    """Print bytes of the head, memory and time to apply a change."""
    entries = {
        f'contract/account-{number}': configuration.Entry(1, ('0' * 64,))
        for number in range(size)
    }
    head = configuration.encode_head(configuration.Head(1, 'x', entries))
    tracemalloc.start()
    values = {
        f'contract/account-{number}': make_contract(number)
        for number in range(size)
    }
    snapshot = configuration.Snapshot(1, values)
    previous = decoded_configuration.build(snapshot)
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    seconds = measure_change_seconds(values, previous)
    print_row(
        size, len(head), f'{memory / size:.0f}', f'{seconds * 1e3:.2f} ms'
    )


def measure_change_seconds(
    values: dict[str, bytes], previous: decoded_configuration.Configuration
) -> float:
    """Return the seconds to apply a change of one contract, the minimum."""
    shortest = float('inf')
    for run in range(TIMED_RUNS):
        changed = values | {
            'contract/account-0': make_contract(0, 2_000 + run)
        }
        start = time.perf_counter()
        decoded_configuration.build(
            configuration.Snapshot(2, changed), previous
        )
        shortest = min(shortest, time.perf_counter() - start)
    return shortest


def measure_grants(size: int) -> None:
    """Print the memory of a node's grants."""
    tracemalloc.start()
    grants = _grants.Grants(lambda: 0.0)
    for number in range(size):
        grants.add(f'engine-{number % 100}', f'adapter-{number}@1', number)
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    print_row(size, f'{memory / size:.0f}')


def measure_messages() -> None:
    """Print the bytes of messages between nodes without the envelope."""
    report = _share_messages.ShareReport(
        'account-123456', 9, 8, 7, 7, 'vm-000123', 300_000, 15_000,
        1e4, 1e3, 1e2, 1e2, 0.1, 'vm-000321/123456789', 1e3, 0.5,
    )  # fmt: skip
    statement = _share_messages.ShareStatement(
        9, 7, 7, 300_000, 15_000, 1.0, 1e3, True, False, 'vm-1/123456789'
    )
    grant_request = _target_messages.Ask(
        'engine-0123', 'adapter-123456@7', 'account-123456', True, False, 5.0
    )
    close = _target_messages.Close('engine-0123', 'adapter-123456@7', 2**40)
    usage = _target_messages.Use(
        'engine-0123', 'adapter-123456@7', 2**40, 3, 1
    )
    usage_report = _target_messages.Report((usage,) * 20)
    print_row('share report', len(_share_messages.encode(report)))
    print_row('share statement', len(_share_messages.encode(statement)))
    print_row('grant request', len(_target_messages.encode(grant_request)))
    print_row('close', len(_target_messages.encode(close)))
    print_row('report of 20 uses', len(_target_messages.encode(usage_report)))
    owner_table = (_owners.Slice('vm-000123', 123_456),) * _owners.SLICES
    print_row('owner table', len(_owners.encode(owner_table)))
    print_row('one contract', len(make_contract(1)))


def main() -> None:
    """Print all tables."""
    print_row('accounts', 'head, bytes', 'memory each, bytes', 'a change')
    print_row('---', '---', '---', '---')
    for size in SIZES:
        measure_configuration(size)
    print()
    print_row('grants', 'memory each, bytes')
    print_row('---', '---')
    for size in SIZES:
        measure_grants(size)
    print()
    print_row('message', 'bytes')
    print_row('---', '---')
    measure_messages()


if __name__ == '__main__':
    main()
