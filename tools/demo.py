"""Demonstrate the guarantees of the system with a complete site on loopback.

Prints a table of checks and exits with 0 only if all of them passed.
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

# Together the accounts use more adapters than all engines have slots for.
ADAPTERS_PER_ACCOUNT = 6

# Contract of the account that exceeds its limits.
LOW_RATE_TOKENS_PER_SECOND = 100
LOW_BURST_TOKENS = 2_000

LIMITS_BY_ACCOUNT = {
    'canopy': (100_000, 1_000_000),
    'feed': (100_000, 1_000_000),
    'stable': (LOW_RATE_TOKENS_PER_SECOND, LOW_BURST_TOKENS),
}

# Time after which all nodes reject a withdrawn key.
WITHDRAWAL_SECONDS = 3.0

# Longer than nodes may act on unconfirmed state.
OUTAGE_SECONDS = 6.0

# Time that a VM stays paused after a key was withdrawn.
PAUSE_SECONDS = 2.0

# End of each node's log that is printed if a scenario fails.
LOG_TAIL_CHARACTERS = 4_000

# Time in which a draining target may still receive new requests.
DRAIN_SECONDS = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Check:
    """One row of the table."""

    guarantee: str
    observation: str
    has_passed: bool


class Demo:
    """The site, its operator and the results so far."""

    def __init__(self, site: local_site.Site) -> None:
        self.site = site
        self.operator = demo_operator.Operator(site)
        self.urls = [node.url for node in site.nodes_by_id.values()]
        self.keys_by_account: dict[str, str] = {}
        self.checks: list[Check] = []

    def add_check(
        self, guarantee: str, has_passed: bool, observation: str
    ) -> None:
        """Add the result of a check and print it."""
        check = Check(guarantee, observation, has_passed)
        self.checks.append(check)
        verdict = 'held' if has_passed else 'BROKEN'
        print(f'  {verdict:7}{guarantee:58} {observation}', flush=True)

    def configure(self) -> None:
        """Write contracts, keys, targets and routes."""
        self.operator.apply_targets(
            self.site.engines_by_name, {'desk-1': self.site.desk}
        )
        self.operator.apply_route('bookings', 'desk')
        output = self.operator.apply_contracts(LIMITS_BY_ACCOUNT)
        for account in LIMITS_BY_ACCOUNT:
            self.keys_by_account[account] = self.operator.issue_key(account)
        nodes = len(self.urls)
        self.add_check(
            'an accepted contract is active on every VM',
            f'{nodes} of {nodes}' in output,
            f'{nodes} of {nodes} confirmed it' if output else 'no output',
        )

    def get(self, url: str) -> Any:
        """Return the JSON at a URL."""
        with urllib.request.urlopen(url, timeout=10) as response:
            return json.load(response)

    def read_received(self) -> str:
        """Return all requests that the targets received as JSON text."""
        urls = [*self.site.engines_by_name.values(), self.site.desk]
        return ''.join(
            json.dumps(self.get(f'{url}/check/received')) for url in urls
        )


def check_adapters(demo: Demo) -> None:
    """Stream responses of many adapters for two accounts."""
    calls = [
        demo_calls.Call(
            demo.urls[number % len(demo.urls)],
            demo.keys_by_account[account],
            f'{account}-{number % ADAPTERS_PER_ACCOUNT}@1',
        )
        for account in ('canopy', 'feed')
        for number in range(4 * ADAPTERS_PER_ACCOUNT)
    ]
    responses = trio.run(demo_calls.send_all, calls)
    matching = sum(
        response.model == call.model for call, response in responses
    )
    complete = sum(response.is_complete for _, response in responses)
    failed = [response.code for _, response in responses if response.code]
    demo.add_check(
        'every request runs on the requested adapter and version',
        matching == len(calls),
        f'{matching} of {len(calls)}' + (f', {failed[:3]}' if failed else ''),
    )
    demo.add_check(
        'every caller receives its complete response',
        complete == len(calls),
        f'{complete} of {len(calls)}',
    )


def check_limits(demo: Demo) -> None:
    """Exceed the rate of one account several times over all nodes."""
    key = demo.keys_by_account['stable']
    started = time.monotonic()
    calls = [
        demo_calls.Call(url, key, 'stable-0@1', max_tokens=100, stream=False)
        for url in demo.urls * 12
    ]
    responses = trio.run(demo_calls.send_all, calls)
    elapsed = time.monotonic() - started
    used = sum(response.tokens for _, response in responses)
    allowed = LOW_BURST_TOKENS + LOW_RATE_TOKENS_PER_SECOND * elapsed
    rejected = [response for _, response in responses if response.code]
    are_correct = all(
        response.code == 'rate_limited'
        and response.not_run
        and response.retry_after is not None
        for response in rejected
    )
    demo.add_check(
        'no account gets more than its rate and burst over all VMs',
        0 < used <= allowed,
        f'{used} tokens used, {allowed:.0f} allowed',
    )
    demo.add_check(
        'a rejection contains not_run and Retry-After',
        bool(rejected) and are_correct,
        f'{len(rejected)} of {len(calls)} rejected',
    )


def check_booking(demo: Demo) -> None:
    """Send the same booking to all nodes at once, and once more later."""
    key = demo.keys_by_account['feed']
    responses = trio.run(
        demo_calls.book_at_all_nodes, demo.urls, key, 'oats-7'
    )
    responses += trio.run(
        demo_calls.book_at_all_nodes, demo.urls, key, 'oats-7'
    )
    runs = demo.get(f'{demo.site.desk}/check/runs')
    counted = demo_calls.count_runs(runs, 'oats-7')
    codes = sorted({str(status) for status in responses})
    demo.add_check(
        'a booking runs at most once, on any node, when repeated',
        counted == 1 and '201' in codes,
        f'{counted} run, statuses {", ".join(codes)}',
    )


def check_withdrawal(demo: Demo) -> None:
    """Withdraw a key while its account keeps sending requests."""
    key = demo.operator.issue_key('canopy')
    withdraw = functools.partial(demo.operator.withdraw_key, key)
    result = trio.run(demo_calls.call_until_rejected, demo.urls, key, withdraw)
    demo.add_check(
        f'all VMs reject a withdrawn key within {WITHDRAWAL_SECONDS:.0f} s',
        result.served_before > 0 and result.last_served <= WITHDRAWAL_SECONDS,
        f'{result.served_before} served before, the last one '
        f'{result.last_served:.2f} s after the start of the command',
    )


def check_drain(demo: Demo) -> None:
    """Drain an engine and call all nodes."""
    name, engine_url = next(iter(demo.site.engines_by_name.items()))
    demo.operator.drain(name)
    time.sleep(DRAIN_SECONDS)
    before = demo_calls.count_completions(
        demo.get(f'{engine_url}/check/received')
    )
    key = demo.keys_by_account['canopy']
    calls = [
        demo_calls.Call(url, key, f'canopy-{number}@1')
        for url in demo.urls
        for number in range(ADAPTERS_PER_ACCOUNT)
    ]
    responses = trio.run(demo_calls.send_all, calls)
    complete = sum(response.is_complete for _, response in responses)
    new = (
        demo_calls.count_completions(demo.get(f'{engine_url}/check/received'))
        - before
    )
    demo.add_check(
        'a draining target gets no new requests after a few seconds',
        new == 0 and complete == len(calls),
        f'{new} new calls, {complete} of {len(calls)} served elsewhere',
    )


def check_outage(demo: Demo) -> None:
    """Let the object API fail every call while callers keep sending."""
    faults = f'{demo.site.object_api}/faults'
    local_site.put(
        faults, [{'step': '*', 'kind': 'unavailable', 'times': None}]
    )
    key = demo.keys_by_account['canopy']
    calls = [
        demo_calls.Call(url, key, 'canopy-1@1', stream=False)
        for url in demo.urls
    ]
    responses = trio.run(demo_calls.repeat_calls, calls, OUTAGE_SECONDS)
    failed_calls = len(demo.get(faults)['hits'])
    local_site.put(faults, [])
    complete = sum(response.is_complete for response in responses)
    demo.add_check(
        f'no request fails in an object API outage ({OUTAGE_SECONDS:.0f} s)',
        failed_calls > 0 and 0 < complete == len(responses),
        f'{complete} of {len(responses)} served, '
        f'{failed_calls} API calls failed',
    )


def check_pause(demo: Demo) -> None:
    """Withdraw a key while a node is paused, and call it on resuming."""
    node = next(iter(demo.site.nodes_by_id.values()))
    process = demo.site.processes.processes_by_name[node.vm_id]
    key = demo.operator.issue_key('canopy')
    call = demo_calls.Call(node.url, key, 'canopy-1@1', stream=False)
    [(_, before)] = trio.run(demo_calls.send_all, [call])
    process.pause()
    demo.operator.withdraw_key(key, all_respond=False)
    time.sleep(PAUSE_SECONDS)
    process.resume()
    [(_, after)] = trio.run(demo_calls.send_all, [call])
    demo.add_check(
        'a VM that resumes from a pause checks before it admits',
        before.is_complete and bool(after.code) and after.not_run,
        f'served before, {after.code or "served"} on resuming',
    )


def check_stop(demo: Demo) -> None:
    """Stop an entry node gracefully while it forwards streams."""
    node = list(demo.site.nodes_by_id.values())[-1]
    process = demo.site.processes.processes_by_name[node.vm_id]
    call = demo_calls.Call(
        node.url, demo.keys_by_account['canopy'], 'canopy-1@1', max_tokens=100
    )
    responses = trio.run(demo_calls.send_while, [call] * 10, process.terminate)
    complete = sum(response.is_complete for _, response in responses)
    code = process.wait()
    demo.add_check(
        'a planned stop interrupts no request in flight',
        complete == len(responses) and code == 0,
        f'{complete} of {len(responses)} streams complete, exit code {code}',
    )


def check_keys(demo: Demo) -> None:
    """Search all requests that the targets received for API keys."""
    received = demo.read_received()
    secrets = [key for key in demo.operator.keys if key in received]
    demo.add_check(
        'no target receives an API key',
        bool(received) and not secrets,
        f'{len(demo.operator.keys)} keys searched for in '
        f'{len(received):,} characters',
    )


def print_logs(site: local_site.Site) -> None:
    """Print the end of the log of each node."""
    for vm_id in site.nodes_by_id:
        log = site.processes.processes_by_name[vm_id].log.read_text()
        print(f'{vm_id}: ...{log[-LOG_TAIL_CHARACTERS:]}')


SCENARIOS: tuple[abc.Callable[[Demo], None], ...] = (
    Demo.configure,
    check_adapters,
    check_booking,
    check_withdrawal,
    check_drain,
    # This runs late because the burst of a new account fills at its rate.
    check_limits,
    check_outage,
    check_pause,
    check_stop,
    check_keys,
)


def main() -> int:
    """Run the demonstration."""
    started = time.monotonic()
    with (
        tempfile.TemporaryDirectory() as directory,
        launcher.open_launcher(pathlib.Path(directory)) as processes,
    ):
        print('Starting a site: platform, targets, three entry nodes ...')
        site = local_site.Site(processes)
        site.start_nodes()
        demo = Demo(site)
        try:
            for scenario in SCENARIOS:
                scenario(demo)
        except Exception:
            print_logs(site)
            raise
    passed = sum(check.has_passed for check in demo.checks)
    elapsed = time.monotonic() - started
    print(f'{passed} of {len(demo.checks)} guarantees held, {elapsed:.0f} s')
    return 0 if passed == len(demo.checks) else 1


if __name__ == '__main__':
    sys.exit(main())
