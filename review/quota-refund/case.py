"""A tenant floods two services, of which one has lost its replicas."""

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
RATE = BURST = 100_000
USUAL_PER_S = 6.0
HOT_FACTOR, HOT_SECONDS = 7.5, 11.0
WINDOW, OVER, SLACK = 8.0, 0.1, 110_000
SERVICES = ('assist', 'tender')
TIMEOUT_MS = {'assist': 5000, 'tender': 1200}

rng = random.Random(6)
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
            await asyncio.sleep(0.3)
            return replica.answer(headers)
        finally:
            queue.leave()

    return run


async def send(site, number, service):
    request_id = f'r{number}'
    tokens = max(500, int(rng.lognormvariate(8.9, 0.6)))
    node = rng.choice(site.nodes)
    sent[request_id] = site.now(), tokens
    site.note(f'{request_id} sent to {node.name} for {service}, {tokens} tokens')
    headers = [
        ('X-Mustardlb-Request-Id', request_id),
        ('X-Mustardlb-Deadline-Ms', '5000'),
        ('X-Mustardlb-Key', KEY),
        ('X-Mustardlb-Token-Usage', f'{tokens},0'),
    ]
    status, _, _ = await standin.call(
        node.host, node.front, 'POST', f'/{service}/', headers,
        request_id.encode() * 40, 8,
    )  # fmt: skip
    ends[service, status] += 1
    site.note(f'{request_id} answered {status}')


async def case(site):
    routes = [
        {
            'name': name, 'host': 'h', 'path_prefix': f'/{name}/',
            'route_type': 'non_idempotent', 'timeout_ms': TIMEOUT_MS[name],
            'target_latency_ms': 1000, 'priority': 1, 'service': name,
            'max_attempts': 1, 'public': False,
        }
        for name in SERVICES
    ]  # fmt: skip
    services = [
        {'name': name, 'health_path': '/health', 'max_connections': 360,
         'protocol': 'h1', 'tls': False}
        for name in SERVICES
    ]  # fmt: skip
    tenant = {
        'name': 'acme', 'api_keys': [KEY], 'priority': 1,
        'unit': 'token_count', 'plain_tokens': 200, 'rate_per_s': RATE,
        'burst': BURST,
    }  # fmt: skip
    site.configure(routes, services, [tenant])
    await site.start()
    tasks = []
    begun = site.now()
    hot_from, hot_until = begun + 10, begun + 10 + HOT_SECONDS
    is_lost, crashes = False, []
    while site.now() < hot_until + 2:
        now = site.now()
        if TROUBLE and not is_lost and now > begun + 5:
            is_lost = True
            for replica in site.replicas:
                if replica.service == 'tender':
                    crashes.append(asyncio.ensure_future(replica.crash()))
            site.note('all replicas of tender are lost')
        is_hot = hot_from <= now < hot_until
        service = rng.choice(SERVICES)
        tasks.append(
            asyncio.ensure_future(send(site, len(tasks), service))
        )
        per_s = USUAL_PER_S * (HOT_FACTOR if is_hot else 1)
        await asyncio.sleep(rng.expovariate(per_s))
    await asyncio.gather(*tasks, *crashes, return_exceptions=True)
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
            site, SERVICES[number % 2], site.zones[number % 3], 64,
            make_run(site),
        )
    )  # fmt: skip
standin.main(case, site)
