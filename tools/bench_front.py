"""Measure one node's callers' side: engine, node and client, a process each.

`python tools/bench_front.py` runs the engine's stand-in, a node before it
and a client, and prints requests and streamed events a second, directly
and through the node, the node's CPU time for each event, and its memory for
each open stream. docs/measurements/front.md keeps the results.
"""

from collections import abc
import contextlib
import dataclasses
import datetime
import json
import os
import subprocess
import sys
import time
from typing import Any

import fire
import trio

from mustardlb import contracts
from mustardlb import decoded_configuration
from mustardlb import keys
from mustardlb_standins import engine
from mustardlb_standins import engine_app
from mustardlb_standins import web
from mustardlbd import _caller_settings
from mustardlbd import _callers
from mustardlbd import _dependencies
from mustardlbd import _metrics

MODEL = 'oak@1'

# The benchmark's own key; it opens nothing.
KEY = 'mlb_0123456789abcdef_' + 'Zx-7_qM2' * 5 + 'abC'

DONE = b'data: [DONE]\n\n'
PATH = '/v1/chat/completions'

# Largest read of the client, bytes.
BLOCK = 65_536


def serve_engine(step_time: float, batch: int) -> None:
    """Run the engine's stand-in."""
    one = engine.Engine(
        engine.Settings(
            step_time=step_time, batch=batch, queue=10_000, prefill_time=0.0
        )
    )
    one.resident.add(MODEL)
    trio.run(web.run, engine_app.build(one), 0, one.run)


def serve_node(engine_url: str) -> None:
    """Run the callers' side of a node that knows one engine."""
    trio.run(_serve_node, engine_url)


async def _serve_node(engine_url: str) -> None:
    record = keys.KeyRecord(
        keys.key_id_of(KEY),
        'canopy',
        keys._digest(KEY),
        datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC),
    )
    contract = contracts.Contract(
        account='canopy',
        rate=10**9,
        burst=10**9,
        concurrency=100_000,
        grants=('oak@*',),
    )
    known = decoded_configuration.Configuration(
        contracts_by_account={'canopy': contract},
        keys_by_id={record.key_id: record},
    )

    @contextlib.asynccontextmanager
    async def place(
        model: str, account: str, wait: float, avoid: frozenset[str]
    ) -> abc.AsyncIterator[_dependencies.Placement]:
        yield _dependencies.Placement('engine', engine_url, model)

    async def reserve(account: str, tokens: int, wait: float) -> _Reservation:
        return _Reservation()

    dependencies = _dependencies.Dependencies(
        configuration=lambda: known,
        check_fresh=lambda step: None,
        check_ready=lambda: None,
        status=dict,
        wait_for_revision=_never,
        reserve=reserve,
        place=place,
        begin_booking=_never,
    )
    settings = _caller_settings.CallerSettings(max_requests=10_000)
    async with trio.open_nursery() as nursery:

        async def serve(task_status: trio.TaskStatus[int]) -> None:
            await _callers.serve(
                dependencies,
                settings,
                _metrics.Metrics(),
                stop=trio.Event(),
                task_status=task_status,
            )

        port = await nursery.start(serve)
        url = f'http://127.0.0.1:{port}'
        print(json.dumps({'listening': url}), flush=True)


async def _never(*arguments: Any) -> Any:
    raise NotImplementedError


class _Reservation:
    def settle(self, tokens: int) -> None:
        """Settle nothing."""


@contextlib.contextmanager
def process(*arguments: object) -> abc.Iterator[tuple[str, int]]:
    """Run a part as a process; gives its URL and its process id."""
    child = subprocess.Popen(
        [sys.executable, __file__, *map(str, arguments)],
        stdout=subprocess.PIPE,
    )
    try:
        assert child.stdout is not None
        line = json.loads(child.stdout.readline())
        yield line['listening'], child.pid
    finally:
        child.terminate()
        child.wait()


def cpu_seconds(pid: int) -> float:
    """Return the CPU time that a process has used."""
    with open(f'/proc/{pid}/stat') as file:
        fields = file.read().rsplit(')', 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf('SC_CLK_TCK')


def resident_bytes(pid: int) -> int:
    """Return the memory that a process holds."""
    with open(f'/proc/{pid}/statm') as file:
        return int(file.read().split()[1]) * os.sysconf('SC_PAGE_SIZE')


@dataclasses.dataclass
class Tally:
    """What the client saw."""

    requests: int = 0
    events: int = 0
    blocks: int = 0
    first_event: float = 0.0


async def call(url: str, tokens: int, tally: Tally, stream: bool) -> None:
    """Send one request over a connection of its own and read the answer."""
    body = json.dumps(
        {
            'model': MODEL,
            'messages': [{'role': 'user', 'content': 'Survey ' * 20}],
            'max_tokens': tokens,
            'stream': stream,
        }
    ).encode()
    host, port = url.removeprefix('http://').split(':')
    request = (
        f'POST {PATH} HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n'
        f'Authorization: Bearer {KEY}\r\nContent-Length: {len(body)}\r\n\r\n'
    )
    connection = await trio.open_tcp_stream(host, int(port))
    async with connection:
        await connection.send_all(request.encode() + body)
        tail = b''
        while True:
            block = await connection.receive_some(BLOCK)
            if not block:
                break
            tally.blocks += 1
            if not stream and block.endswith(b'}'):
                break
            tally.events += block.count(b'data: ')
            tail = (tail + block)[-64:]
            if DONE in tail:
                tally.events -= 1
                break
        if stream and DONE not in tail:
            raise SystemExit(f'an answer was cut: {tail!r}')
    tally.requests += 1


async def run_load(
    url: str, streams: int, seconds: float, tokens: int, stream: bool
) -> tuple[Tally, float]:
    """Keep so many requests open for a while."""
    tally = Tally()
    started = time.monotonic()

    async def keep_calling() -> None:
        while time.monotonic() - started < seconds:
            await call(url, tokens, tally, stream)

    async with trio.open_nursery() as nursery:
        for _ in range(streams):
            nursery.start_soon(keep_calling)
    return tally, time.monotonic() - started


def measure(
    url: str,
    pid: int,
    streams: int,
    seconds: float,
    tokens: int,
    stream: bool = True,
) -> dict[str, float]:
    """Run a load and describe it; the CPU time is the process's."""
    before = cpu_seconds(pid)
    tally, took = trio.run(run_load, url, streams, seconds, tokens, stream)
    used = cpu_seconds(pid) - before
    return {
        'requests/s': round(tally.requests / took, 1),
        'events/s': round(tally.events / took),
        'events/block': round(tally.events / max(tally.blocks, 1), 2),
        'cpu share': round(used / took, 2),
        'events/cpu-s': round(tally.events / used) if used else 0,
        'requests/cpu-s': round(tally.requests / used) if used else 0,
    }


async def _hold(url: str, streams: int, pid: int) -> float:
    """Hold streams open; gives the memory for each."""
    before = resident_bytes(pid)
    async with trio.open_nursery() as nursery:
        for _ in range(streams):
            nursery.start_soon(call, url, 10_000, Tally(), True)
        await trio.sleep(4.0)
        after = resident_bytes(pid)
        nursery.cancel_scope.cancel()
    return (after - before) / streams


def show(name: str, figures: dict[str, float]) -> None:
    """Print one line of results."""
    columns = '  '.join(f'{key} {value}' for key, value in figures.items())
    print(f'{name:22}{columns}', flush=True)


def main(seconds: float = 5.0, streams: int = 200) -> None:
    """Run every load once."""
    cases = [
        # Each event by itself: the engine's pace is within the node's.
        ('paced', 0.04, streams, 250),
        # As many as go through.
        ('full', 0.005, streams, 250),
    ]
    for name, step_time, count, tokens in cases:
        with process('engine', step_time, count) as (engine_url, engine_pid):
            direct = measure(engine_url, engine_pid, count, seconds, tokens)
            show(f'{name} direct', direct)
            with process('node', engine_url) as (url, pid):
                through = measure(url, pid, count, seconds, tokens)
                show(f'{name} through node', through)
                ratio = through['events/s'] / direct['events/s']
                print(f'{name} ratio {ratio:.2f}')
    with process('engine', 0.0, 1000) as (engine_url, engine_pid):
        direct = measure(engine_url, engine_pid, 32, seconds, 1, stream=False)
        show('requests direct', direct)
        with process('node', engine_url) as (url, pid):
            through = measure(url, pid, 32, seconds, 1, stream=False)
            show('requests through node', through)
    with (
        process('engine', 0.5, 1000) as (engine_url, _),
        process('node', engine_url) as (url, pid),
    ):
        measure(url, pid, 8, 1.0, 1, stream=False)
        each = trio.run(_hold, url, 400, pid)
        print(f'memory for each open stream {each / 1024:.0f} KiB')


if __name__ == '__main__':
    fire.Fire({'engine': serve_engine, 'node': serve_node, 'run': main})
