"""Run the fault soak with one seed, or with several one after the other."""

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


def main(seed: int = 1, count: int = 1, seconds: float = 20.0) -> None:
    """Print what each seed did, and end with 1 where a promise was broken."""
    # Ended like this too, a run ends the processes that it started.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    is_broken = False
    for each in range(seed, seed + count):
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f'soak-{each}-'))
        run = soaks.Soak(each, folder)
        found = trio.run(run.run, seconds)
        statuses = collections.Counter(one.status for one in run.outcomes)
        print(
            f'seed {each}: {len(run.outcomes)} requests, '
            f'{dict(sorted(statuses.items()))}, {len(run.faults)} faults, '
            f'{len(found)} broken, logs in {folder}'
        )
        for line in found[:20]:
            print(f'  {line}')
        is_broken |= bool(found)
    sys.exit(is_broken)


if __name__ == '__main__':
    fire.Fire(main)
