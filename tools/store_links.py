"""Run the cases in which links to the store fail, with any code."""

import pathlib
import signal
import sys
import tempfile

import fire
import trio

ROOT = pathlib.Path(__file__).parent.parent
for folder in ('tests/soak', 'tests/mustardlb_gateway'):
    sys.path.insert(0, str(ROOT / folder))

import soak_links  # noqa: E402


def main(nodes: int = 4, root: str = str(ROOT), case: str = '') -> None:
    """Print the report of each case; exit with 1 if any check failed."""
    # The default action of SIGTERM would leave the gateway processes running.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    has_violations = False
    for name in [case] if case else soak_links.CASES_BY_NAME:
        path = pathlib.Path(tempfile.mkdtemp(prefix=f'links-{name}-'))
        report = trio.run(
            soak_links.run_case, name, path, nodes, pathlib.Path(root)
        )
        print(
            f'{name}, {nodes} nodes: {len(report.violations)} violations, '
            f'last stale request {report.in_force_after:.2f} s after the '
            f'change, {report.request_count} judged, {report.unserved_count} '
            f'unserved, logs in {path}',
            flush=True,
        )
        for line in report.violations[:8]:
            print(f'  {line}')
        has_violations |= bool(report.violations)
    sys.exit(has_violations)


if __name__ == '__main__':
    fire.Fire(main)
