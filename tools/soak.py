"""Run the fault soak with one seed or with several consecutive seeds."""

import collections
import pathlib
import signal
import sys
import tempfile

import fire
import trio

ROOT = pathlib.Path(__file__).parent.parent
for folder in ('tests/soak', 'tests/mustardlb_gateway'):
    sys.path.insert(0, str(ROOT / folder))

import soak as soaks  # noqa: E402


def main(
    seed: int = 1,
    count: int = 1,
    seconds: float = 20.0,
    nodes: int = 3,
    odd: bool = False,
    leaving: bool = False,
    endless: bool = False,
    early: bool = False,
    root: str = str(ROOT),
) -> None:
    """Print the result of each seed; exit with 1 if any check failed.

    `odd` also writes entries of targets that cannot be read; `leaving` lets
    targets leave without a notice, and nodes stop in calm; `endless` lets them
    send responses without end; `early` lets them answer long uploads before
    they have read them. The nodes run the code in the folder `root`.
    """
    # The default action of SIGTERM would leave the gateway processes running.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    has_violations = False
    for run_seed in range(seed, seed + count):
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f'soak-{run_seed}-'))
        run = soaks.Soak(
            run_seed,
            folder,
            nodes,
            odd_entries=odd,
            leaving=leaving,
            endless=endless,
            early=early,
            root=pathlib.Path(root),
        )
        violations = trio.run(run.run, seconds)
        statuses = collections.Counter(
            outcome.status for outcome in run.outcomes
        )
        print(
            f'seed {run_seed}: {len(run.outcomes)} requests, '
            f'{run.judged_count} at nodes in touch, '
            f'{dict(sorted(statuses.items()))}, {len(run.trace)} events, '
            f'{len(violations)} violations, logs in {folder}'
        )
        for line in violations[:20]:
            print(f'  {line}')
        (folder / 'trace').write_text('\n'.join(run.trace))
        has_violations |= bool(violations)
    sys.exit(has_violations)


if __name__ == '__main__':
    fire.Fire(main)
