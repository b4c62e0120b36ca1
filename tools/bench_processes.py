"""Measure memory and CPU time of idle entry nodes by number of nodes.

Each node is a process on loopback with mutual TLS between peers.
"""

import os
import pathlib
import sys
import tempfile
import time

import demo_operator
import launcher
import local_site

NODE_COUNTS = (3, 7, 14)

WARM_UP_SECONDS = 20.0

MEASUREMENT_SECONDS = 20.0

ACCOUNT_COUNT = 40

TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')
PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')


def cpu_seconds(pid: int) -> float:
    """Return the seconds of CPU time that a process has used."""
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().rsplit(')')[1]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / TICKS_PER_SECOND


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MB."""
    pages = pathlib.Path(f'/proc/{pid}/statm').read_text().split()[1]
    return int(pages) * PAGE_BYTES / 1e6


def measure(size: int) -> None:
    """Print the table row of a site with `size` nodes."""
    with (
        tempfile.TemporaryDirectory() as directory,
        launcher.open_launcher(pathlib.Path(directory)) as processes,
    ):
        site = local_site.Site(processes, engines=1)
        site.start_nodes(size)
        operator = demo_operator.Operator(site)
        operator.apply_targets(site.engines_by_name, {'desk-1': site.desk})
        accounts = [f'account-{number}' for number in range(ACCOUNT_COUNT)]
        operator.apply_contracts(dict.fromkeys(accounts, (1_000, 10_000)))
        time.sleep(WARM_UP_SECONDS)
        pids = [
            processes.processes_by_name[vm_id].pid
            for vm_id in site.nodes_by_id
        ]
        before = [cpu_seconds(pid) for pid in pids]
        time.sleep(MEASUREMENT_SECONDS)
        cpu_loads = [
            (cpu_seconds(pid) - start) / MEASUREMENT_SECONDS
            for pid, start in zip(pids, before, strict=True)
        ]
        memory_mb = [resident_mb(pid) for pid in pids]
        print(
            f'| {size} | {sum(memory_mb) / size:.1f} | {max(memory_mb):.1f} '
            f'| {sum(cpu_loads) / size:.2%} | {max(cpu_loads):.2%} |',
            flush=True,
        )


def main() -> None:
    """Print the table for the arguments, by default for NODE_COUNTS."""
    print('| nodes | MB mean | MB most | core mean | core most |')
    print('| --- | --- | --- | --- | --- |')
    for size in [int(argument) for argument in sys.argv[1:]] or NODE_COUNTS:
        measure(size)


if __name__ == '__main__':
    main()
