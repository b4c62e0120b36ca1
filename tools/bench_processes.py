"""Memory and processor time of whole entry nodes at rest, by fleet size.

Each node is a process with mutual TLS between peers, on loopback.
"""

import os
import pathlib
import sys
import tempfile
import time

import demo_operator
import launcher
import local_site

SIZES = (3, 7, 14)

# Time in which a new site settles, seconds.
WARM_UP = 20.0

# Time over which nodes are observed, seconds.
OBSERVED = 20.0

ACCOUNTS = 40

TICKS = os.sysconf('SC_CLK_TCK')
PAGE = os.sysconf('SC_PAGE_SIZE')


def processor_time(pid: int) -> float:
    """Seconds of processor time that a process has used."""
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().rsplit(')')[1]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / TICKS


def resident(pid: int) -> float:
    """Resident memory of a process, MB."""
    pages = pathlib.Path(f'/proc/{pid}/statm').read_text().split()[1]
    return int(pages) * PAGE / 1e6


def measure(size: int) -> None:
    """Print one row of the table."""
    with (
        tempfile.TemporaryDirectory() as directory,
        launcher.site(pathlib.Path(directory)) as processes,
    ):
        site = local_site.Site(processes, engines=1)
        site.start_nodes(size)
        operator = demo_operator.Operator(site)
        operator.apply_targets(site.engines_by_name, {'desk-1': site.desk})
        accounts = [f'account-{number}' for number in range(ACCOUNTS)]
        operator.apply_contracts(dict.fromkeys(accounts, (1_000, 10_000)))
        time.sleep(WARM_UP)
        pids = [
            processes.processes_by_name[vm_id].pid
            for vm_id in site.nodes_by_id
        ]
        before = [processor_time(pid) for pid in pids]
        time.sleep(OBSERVED)
        used = [
            (processor_time(pid) - was) / OBSERVED
            for pid, was in zip(pids, before, strict=True)
        ]
        memory = [resident(pid) for pid in pids]
        print(
            f'| {size} | {sum(memory) / size:.1f} | {max(memory):.1f} '
            f'| {sum(used) / size:.2%} | {max(used):.2%} |',
            flush=True,
        )


def main() -> None:
    """Print the table for the sizes on the command line, else SIZES."""
    print('| nodes | MB mean | MB most | core mean | core most |')
    print('| --- | --- | --- | --- | --- |')
    for size in [int(word) for word in sys.argv[1:]] or SIZES:
        measure(size)


if __name__ == '__main__':
    main()
