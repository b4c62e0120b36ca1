"""Benchmark of a node's callers' port.

`python tools/bench_front.py` runs a simulated engine, a node and a client as
separate processes. It prints the requests and streamed events per second,
both directly and through the node, the node's events and requests per CPU
second, and its memory per open stream. docs/measurements/front.md contains
results.
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

# API key of the benchmark, which is not valid elsewhere.
KEY = 'mlb_0123456789abcdef_' + 'Zx-7_qM2' * 5 + 'abC'

DONE_EVENT = b'data: [DONE]\n\n'
PATH = '/v1/chat/completions'

MAX_READ_BYTES = 65_536


def serve_engine(step_time: float, batch: int) -> None:
    """Run a simulated engine."""
    simulated_engine = engine.Engine(
        engine.Settings(
            step_time=step_time, batch=batch, queue=10_000, prefill_time=0.0
        )
    )
    simulated_engine.resident.add(MODEL)
    trio.run(
        web.run, engine_app.build(simulated_engine), 0, simulated_engine.run
    )


def serve_node(engine_url: str) -> None:
    """Run the callers' port of a node with one engine."""
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
    configuration = decoded_configuration.Configuration(
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
        configuration=lambda: configuration,
        check_fresh=lambda step: None,
        check_ready=lambda: None,
        status=dict,
        wait_for_revision=_unsupported,
        reserve=reserve,
        place=place,
        begin_booking=_unsupported,
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


async def _unsupported(*arguments: Any) -> Any:
    raise NotImplementedError


class _Reservation:
    def settle(self, tokens: int) -> None:
        """Do nothing."""


@contextlib.contextmanager
def running_process(*arguments: object) -> abc.Iterator[tuple[str, int]]:
    """Run a command of this file as a process; yield its URL and its pid."""
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
    """Return the CPU time that a process has used, in seconds."""
    with open(f'/proc/{pid}/stat') as file:
        fields = file.read().rsplit(')', 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf('SC_CLK_TCK')


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process, in bytes."""
    with open(f'/proc/{pid}/statm') as file:
        return int(file.read().split()[1]) * os.sysconf('SC_PAGE_SIZE')


@dataclasses.dataclass
class LoadCounts:
    """Counters of the client.

    :ivar reads: reads from sockets
    """

    requests: int = 0
    events: int = 0
    reads: int = 0
    first_event: float = 0.0


async def call(
    url: str, tokens: int, counts: LoadCounts, stream: bool
) -> None:
    """Send a request over a new connection and read the response."""
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
            block = await connection.receive_some(MAX_READ_BYTES)
            if not block:
                break
            counts.reads += 1
            if not stream and block.endswith(b'}'):
                break
            counts.events += block.count(b'data: ')
            tail = (tail + block)[-64:]
            if DONE_EVENT in tail:
                counts.events -= 1
                break
        if stream and DONE_EVENT not in tail:
            raise SystemExit(f'a response was truncated: {tail!r}')
    counts.requests += 1


async def run_load(
    url: str, streams: int, seconds: float, tokens: int, stream: bool
) -> tuple[LoadCounts, float]:
    """Keep `streams` requests in flight for `seconds`."""
    counts = LoadCounts()
    started = time.monotonic()

    async def call_repeatedly() -> None:
        while time.monotonic() - started < seconds:
            await call(url, tokens, counts, stream)

    async with trio.open_nursery() as nursery:
        for _ in range(streams):
            nursery.start_soon(call_repeatedly)
    return counts, time.monotonic() - started


def measure(
    url: str,
    pid: int,
    streams: int,
    seconds: float,
    tokens: int,
    stream: bool = True,
) -> dict[str, float]:
    """Run a load and return its figures, with the CPU time of a process."""
    before = cpu_seconds(pid)
    counts, elapsed = trio.run(run_load, url, streams, seconds, tokens, stream)
    cpu_time = cpu_seconds(pid) - before
    return {
        'requests/s': round(counts.requests / elapsed, 1),
        'events/s': round(counts.events / elapsed),
        'events/block': round(counts.events / max(counts.reads, 1), 2),
        'cpu share': round(cpu_time / elapsed, 2),
        'events/cpu-s': round(counts.events / cpu_time) if cpu_time else 0,
        'requests/cpu-s': round(counts.requests / cpu_time) if cpu_time else 0,
    }


async def _memory_per_stream(url: str, streams: int, pid: int) -> float:
    """Return the memory per open stream, in bytes."""
    before = resident_bytes(pid)
    async with trio.open_nursery() as nursery:
        for _ in range(streams):
            nursery.start_soon(call, url, 10_000, LoadCounts(), True)
        await trio.sleep(4.0)
        after = resident_bytes(pid)
        nursery.cancel_scope.cancel()
    return (after - before) / streams


def show(name: str, figures: dict[str, float]) -> None:
    """Print a line of results."""
    columns = '  '.join(f'{key} {value}' for key, value in figures.items())
    print(f'{name:22}{columns}', flush=True)


def main(seconds: float = 5.0, streams: int = 200) -> None:
    """Run each load once."""
    cases = [
        # The engine is slower than the node, so events arrive one by one.
        ('paced', 0.04, streams, 250),
        # The engine is fast enough to saturate the node.
        ('full', 0.005, streams, 250),
    ]
    for name, step_time, count, tokens in cases:
        with running_process('engine', step_time, count) as (
            engine_url,
            engine_pid,
        ):
            direct = measure(engine_url, engine_pid, count, seconds, tokens)
            show(f'{name} direct', direct)
            with running_process('node', engine_url) as (url, pid):
                via_node = measure(url, pid, count, seconds, tokens)
                show(f'{name} through node', via_node)
                ratio = via_node['events/s'] / direct['events/s']
                print(f'{name} ratio {ratio:.2f}')
    with running_process('engine', 0.0, 1000) as (engine_url, engine_pid):
        direct = measure(engine_url, engine_pid, 32, seconds, 1, stream=False)
        show('requests direct', direct)
        with running_process('node', engine_url) as (url, pid):
            via_node = measure(url, pid, 32, seconds, 1, stream=False)
            show('requests through node', via_node)
    with (
        running_process('engine', 0.5, 1000) as (engine_url, _),
        running_process('node', engine_url) as (url, pid),
    ):
        measure(url, pid, 8, 1.0, 1, stream=False)
        stream_bytes = trio.run(_memory_per_stream, url, 400, pid)
        print(f'memory for each open stream {stream_bytes / 1024:.0f} KiB')


if __name__ == '__main__':
    fire.Fire({'engine': serve_engine, 'node': serve_node, 'run': main})
