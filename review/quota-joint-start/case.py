"""All front machines are killed in an outage of the store, in a flood."""

import asyncio
import collections
import os
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / 'lib-2'))
import standin  # noqa: E402

TROUBLE = os.environ.get('TROUBLE') != '0'
KEY = 'key-of-acme'
RATE = BURST = 155_000
USUAL_PER_S = 9.8
HOT_FACTOR, HOT_SECONDS = 7.5, 11.0
WINDOW, OVER, SLACK = 8.0, 0.1, 110_000
SILENT_SECONDS, KILL_AFTER, DOWN_SECONDS = 4.5, 0.5, 1.0
LIMIT_SECONDS = 5.0

rng = random.Random(9)
sent = {}
runs = []
ends = collections.Counter()


def make_run(site):
    queue = standin.Queue(64, 192)

    async def run(replica, headers, path, body, writer):
        if not await queue.enter(headers):
            return replica.refuse(headers)
        request_id = headers['x-mustardlb-request-id']
        sent_at, tokens = sent[request_id]
        runs.append((sent_at, site.now(), tokens))
        site.note(f'{request_id} runs at {replica.name}, {tokens} tokens')
        try:
            await asyncio.sleep(0.2)
            return replica.answer(headers)
        finally:
            queue.leave()

    return run


async def send(site, number):
    """Send a request, and once more after a promise that it has not run."""
    tokens = max(500, int(rng.lognormvariate(8.9, 0.6)))
    until = site.now() + LIMIT_SECONDS
    for attempt in range(2):
        request_id = f'r{number}.{attempt}'
        node = rng.choice(site.nodes)
        left = until - site.now()
        sent[request_id] = site.now(), tokens
        site.note(f'{request_id} sent to {node.name}, {tokens} tokens')
        headers = [
            ('X-Mustardlb-Request-Id', request_id),
            ('X-Mustardlb-Deadline-Ms', str(int(left * 1000))),
            ('X-Mustardlb-Key', KEY),
            ('X-Mustardlb-Token-Usage', f'{tokens},0'),
        ]
        try:
            status, answer, _ = await standin.call(
                node.host, node.front, 'POST', '/assist/', headers,
                request_id.encode() * 40, left,
            )  # fmt: skip
        except (OSError, TimeoutError):
            status, answer = -1, {}
        ends[status] += 1
        site.note(f'{request_id} answered {status}')
        pause = float(answer.get('retry-after', 0.2))
        if status not in (-1, 429, 503) or pause > (until - site.now()) / 3:
            return
        await asyncio.sleep(pause)


async def outage(site):
    site.store.answers.clear()
    site.note('the store is silent')
    await asyncio.sleep(KILL_AFTER)
    await asyncio.gather(*(node.kill() for node in site.nodes))
    site.note('all front machines are killed')
    await asyncio.sleep(DOWN_SECONDS)
    for node in site.nodes:
        await node.start()
    await asyncio.sleep(SILENT_SECONDS - KILL_AFTER - DOWN_SECONDS)
    site.store.answers.set()
    site.note('the store answers again')
    await asyncio.gather(*(node.until_ready() for node in site.nodes))
    site.note('all front machines are ready')


async def case(site):
    route = {
        'name': 'assist', 'host': 'h', 'path_prefix': '/assist/',
        'route_type': 'non_idempotent', 'timeout_ms': 5000,
        'target_latency_ms': 1000, 'priority': 1, 'service': 'assist',
        'max_attempts': 1, 'public': False,
    }  # fmt: skip
    service = {
        'name': 'assist', 'health_path': '/health', 'max_connections': 360,
        'protocol': 'h1', 'tls': False,
    }  # fmt: skip
    tenant = {
        'name': 'acme', 'api_keys': [KEY], 'priority': 1,
        'unit': 'token_count', 'plain_tokens': 200, 'rate_per_s': RATE,
        'burst': BURST,
    }  # fmt: skip
    site.configure([route], [service], [tenant])
    await site.start()
    tasks, work = [], []
    begun = site.now()
    hot_from, hot_until = begun + 6, begun + 6 + HOT_SECONDS
    while site.now() < hot_until + 3:
        now = site.now()
        if TROUBLE and not work and now > begun + 4:
            work.append(asyncio.ensure_future(outage(site)))
        is_hot = hot_from <= now < hot_until
        tasks.append(asyncio.ensure_future(send(site, len(tasks))))
        per_s = USUAL_PER_S * (HOT_FACTOR if is_hot else 1)
        await asyncio.sleep(rng.expovariate(per_s))
    await asyncio.gather(*tasks, *work, return_exceptions=True)
    return judge(site)


def judge(site):
    """Return whether QUOTA is broken."""
    worst, since = 0, 0.0
    for first, _, _ in runs:
        total = sum(
            tokens
            for sent_at, ran_at, tokens in runs
            if first <= sent_at and ran_at <= first + WINDOW
        )
        if total > worst:
            worst, since = total, first
    allowed = (RATE * WINDOW + BURST) * (1 + OVER) + SLACK
    site.note(f'ends: {dict(ends)}')
    site.note(
        f'QUOTA: {worst} tokens were sent and run in {WINDOW} s from '
        f'{since:.2f}, allowed {allowed:.0f}'
    )
    return worst > allowed


site = standin.Site(('trent', 'severn', 'arden'), 7)
for number in range(9):
    site.replicas.append(
        standin.Replica(
            site, 'assist', site.zones[number % 3], 64, make_run(site)
        )
    )
standin.main(case, site)
