"""The demonstration: a whole site on loopback, what was promised and seen.

Exit code 0 only when every line of the table held.
"""

from collections import abc
import dataclasses
import functools
import json
import pathlib
import sys
import tempfile
import time
from typing import Any
import urllib.request

import demo_calls
import demo_operator
import launcher
import local_site
import trio

# Adapters of each account; together more than all engines have slots for.
ADAPTERS = 6

# The contract of the account that asks for too much.
SMALL_RATE = 100
SMALL_BURST = 2_000

LIMITS_BY_ACCOUNT = {
    'canopy': (100_000, 1_000_000),
    'feed': (100_000, 1_000_000),
    'stable': (SMALL_RATE, SMALL_BURST),
}

# Seconds in which a withdrawn key is refused everywhere.
WITHDRAWAL_LIMIT = 3.0

# An outage of the object API, longer than knowledge stays fresh, seconds.
OUTAGE = 6.0

# How long a VM stays paused after a key was withdrawn, seconds.
PAUSE = 2.0

# How much of each node's log is shown when a scene fails, characters.
LOG_TAIL = 4_000

# Time in which a drained target may still be given new work, seconds.
DRAIN_LIMIT = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """One line of the table."""

    promised: str
    seen: str
    held: bool


class Demo:
    """The site, its operator and the lines seen so far."""

    def __init__(self, site: local_site.Site) -> None:
        self.site = site
        self.operator = demo_operator.Operator(site)
        self.urls = [node.url for node in site.nodes_by_id.values()]
        self.keys_by_account: dict[str, str] = {}
        self.lines: list[Line] = []

    def check(self, promised: str, held: bool, seen: str) -> None:
        """Add a line and print it at once."""
        line = Line(promised, seen, held)
        self.lines.append(line)
        verdict = 'held' if held else 'BROKEN'
        print(f'  {verdict:7}{promised:58} {seen}', flush=True)

    def configure(self) -> None:
        """Write contracts, keys, targets and routes."""
        self.operator.apply_targets(
            self.site.engines_by_name, {'desk-1': self.site.desk}
        )
        self.operator.apply_route('bookings', 'desk')
        shown = self.operator.apply_contracts(LIMITS_BY_ACCOUNT)
        for account in LIMITS_BY_ACCOUNT:
            self.keys_by_account[account] = self.operator.issue_key(account)
        nodes = len(self.urls)
        self.check(
            'an accepted contract is in force on every VM',
            f'{nodes} of {nodes}' in shown,
            f'{nodes} of {nodes} said so' if shown else 'no answer',
        )

    def get(self, url: str) -> Any:
        """Read JSON."""
        with urllib.request.urlopen(url, timeout=10) as answer:
            return json.load(answer)

    def received(self) -> str:
        """Everything that any target was sent, as text."""
        urls = [*self.site.engines_by_name.values(), self.site.desk]
        return ''.join(
            json.dumps(self.get(f'{url}/check/received')) for url in urls
        )


def show_adapters(demo: Demo) -> None:
    """Many accounts, many adapters, streamed answers."""
    calls = [
        demo_calls.Call(
            demo.urls[number % len(demo.urls)],
            demo.keys_by_account[account],
            f'{account}-{number % ADAPTERS}@1',
        )
        for account in ('canopy', 'feed')
        for number in range(4 * ADAPTERS)
    ]
    answers = trio.run(demo_calls.stream_all, calls)
    right = sum(answer.served == call.model for call, answer in answers)
    whole = sum(answer.whole for _, answer in answers)
    failed = [answer.code for _, answer in answers if answer.code]
    demo.check(
        'every request runs on the adapter and version it asked for',
        right == len(calls),
        f'{right} of {len(calls)}' + (f', {failed[:3]}' if failed else ''),
    )
    demo.check(
        'every caller receives its whole answer',
        whole == len(calls),
        f'{whole} of {len(calls)}',
    )


def show_limits(demo: Demo) -> None:
    """One account sends several times its rate through all nodes."""
    key = demo.keys_by_account['stable']
    started = time.monotonic()
    calls = [
        demo_calls.Call(url, key, 'stable-0@1', max_tokens=100, stream=False)
        for url in demo.urls * 12
    ]
    answers = trio.run(demo_calls.stream_all, calls)
    elapsed = time.monotonic() - started
    used = sum(answer.tokens for _, answer in answers)
    allowed = SMALL_BURST + SMALL_RATE * elapsed
    refused = [answer for _, answer in answers if answer.code]
    true = all(
        answer.code == 'rate_limited'
        and answer.not_run
        and answer.retry_after is not None
        for answer in refused
    )
    demo.check(
        'no account gets more than its rate and burst over all VMs',
        0 < used <= allowed,
        f'{used} tokens used, {allowed:.0f} allowed',
    )
    demo.check(
        'a refusal says not_run and when to come back',
        bool(refused) and true,
        f'{len(refused)} of {len(calls)} refused',
    )


def show_booking(demo: Demo) -> None:
    """Send the same booking to every node at once, and again later."""
    key = demo.keys_by_account['feed']
    answers = trio.run(demo_calls.book_everywhere, demo.urls, key, 'oats-7')
    answers += trio.run(demo_calls.book_everywhere, demo.urls, key, 'oats-7')
    runs = demo.get(f'{demo.site.desk}/check/runs')
    counted = demo_calls.runs_of(runs, 'oats-7')
    codes = sorted({str(answer) for answer in answers})
    demo.check(
        'a booking runs at most once, on any node, when repeated',
        counted == 1 and '201' in codes,
        f'{counted} run, answers {", ".join(codes)}',
    )


def show_withdrawal(demo: Demo) -> None:
    """Withdraw a key while its owner keeps sending."""
    key = demo.operator.issue_key('canopy')
    withdraw = functools.partial(demo.operator.withdraw_key, key)
    seen = trio.run(demo_calls.until_refused, demo.urls, key, withdraw)
    demo.check(
        f'a withdrawn key stops within {WITHDRAWAL_LIMIT:.0f} s everywhere',
        seen.served_before > 0 and seen.last_served <= WITHDRAWAL_LIMIT,
        f'{seen.served_before} served before, last one '
        f'{seen.last_served:.2f} s after the command began',
    )


def show_drain(demo: Demo) -> None:
    """Drain an engine while calls go on."""
    name, url = next(iter(demo.site.engines_by_name.items()))
    demo.operator.drain(name)
    time.sleep(DRAIN_LIMIT)
    before = demo_calls.calls_in(demo.get(f'{url}/check/received'))
    show = demo.keys_by_account['canopy']
    calls = [
        demo_calls.Call(node, show, f'canopy-{number}@1')
        for node in demo.urls
        for number in range(ADAPTERS)
    ]
    answers = trio.run(demo_calls.stream_all, calls)
    whole = sum(answer.whole for _, answer in answers)
    new = demo_calls.calls_in(demo.get(f'{url}/check/received')) - before
    demo.check(
        'a draining target gets no new work after a few seconds',
        new == 0 and whole == len(calls),
        f'{new} new calls, {whole} of {len(calls)} answered elsewhere',
    )


def show_outage(demo: Demo) -> None:
    """Let the object API refuse every call while callers go on."""
    faults = f'{demo.site.object_api}/faults'
    local_site.put(
        faults, [{'step': '*', 'kind': 'unavailable', 'times': None}]
    )
    key = demo.keys_by_account['canopy']
    calls = [
        demo_calls.Call(url, key, 'canopy-1@1', stream=False)
        for url in demo.urls
    ]
    answers = trio.run(demo_calls.repeat, calls, OUTAGE)
    struck = len(demo.get(faults)['hits'])
    local_site.put(faults, [])
    whole = sum(answer.whole for answer in answers)
    demo.check(
        f'an outage of the object API ({OUTAGE:.0f} s here) refuses nobody',
        struck > 0 and 0 < whole == len(answers),
        f'{whole} of {len(answers)} answered, {struck} API calls failed',
    )


def show_pause(demo: Demo) -> None:
    """Withdraw a key while a node is paused, and call that node first."""
    node = next(iter(demo.site.nodes_by_id.values()))
    process = demo.site.processes.processes_by_name[node.vm_id]
    key = demo.operator.issue_key('canopy')
    call = demo_calls.Call(node.url, key, 'canopy-1@1', stream=False)
    [(_, before)] = trio.run(demo_calls.stream_all, [call])
    process.pause()
    demo.operator.withdraw_key(key, all_answer=False)
    time.sleep(PAUSE)
    process.resume()
    [(_, after)] = trio.run(demo_calls.stream_all, [call])
    demo.check(
        'a VM that wakes from a pause checks before it admits',
        before.whole and bool(after.code) and after.not_run,
        f'served before, {after.code or "served"} at waking',
    )


def show_stop(demo: Demo) -> None:
    """Stop an entry node gracefully with streams running."""
    node = list(demo.site.nodes_by_id.values())[-1]
    process = demo.site.processes.processes_by_name[node.vm_id]
    call = demo_calls.Call(
        node.url, demo.keys_by_account['canopy'], 'canopy-1@1', max_tokens=100
    )
    answers = trio.run(demo_calls.stream_while, [call] * 10, process.terminate)
    whole = sum(answer.whole for _, answer in answers)
    code = process.wait()
    demo.check(
        'a planned stop cuts no request in flight',
        whole == len(answers) and code == 0,
        f'{whole} of {len(answers)} streams whole, exit code {code}',
    )


def show_keys(demo: Demo) -> None:
    """Look for every key in everything that a target received."""
    received = demo.received()
    secrets = [key for key in demo.operator.keys if key in received]
    demo.check(
        'no target ever sees a key',
        bool(received) and not secrets,
        f'{len(demo.operator.keys)} keys looked for in '
        f'{len(received):,} characters',
    )


def show_logs(site: local_site.Site) -> None:
    """Print the end of each node's log."""
    for vm_id in site.nodes_by_id:
        log = site.processes.processes_by_name[vm_id].log.read_text()
        print(f'{vm_id}: ...{log[-LOG_TAIL:]}')


SCENES: tuple[abc.Callable[[Demo], None], ...] = (
    Demo.configure,
    show_adapters,
    show_booking,
    show_withdrawal,
    show_drain,
    # A new account's burst fills at its rate, so this comes late.
    show_limits,
    show_outage,
    show_pause,
    show_stop,
    show_keys,
)


def main() -> int:
    """Run the demonstration."""
    started = time.monotonic()
    with (
        tempfile.TemporaryDirectory() as directory,
        launcher.site(pathlib.Path(directory)) as processes,
    ):
        print('Starting a site: platform, targets, three entry nodes ...')
        site = local_site.Site(processes)
        site.start_nodes()
        demo = Demo(site)
        try:
            for scene in SCENES:
                scene(demo)
        except Exception:
            show_logs(site)
            raise
    held = sum(line.held for line in demo.lines)
    elapsed = time.monotonic() - started
    print(f'{held} of {len(demo.lines)} promises held, {elapsed:.0f} s')
    return 0 if held == len(demo.lines) else 1


if __name__ == '__main__':
    sys.exit(main())
