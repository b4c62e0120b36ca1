"""Some replicas send an answer whose body does not end, some bytes a chunk."""

import asyncio
import collections
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standins'))

import front_site as sites  # noqa: E402

# A front machine in each zone.
ZONES = ('trent', 'severn', 'arden')
ENGINES, LEDGERS = 5, 3

# The largest dose of `garble` in the site file: share, x and for_s.
FAULTY_ENGINES = 3
FAULTY_INTERVAL = 20
FAULTY_SECONDS = 5.5

CALM_SECONDS = 6.0
JUDGED_SECONDS = FAULTY_SECONDS + 3.0

# Requests a second at each front machine; a third of what the sheet has.
STREAMS_PER_SECOND = 12.0
RECORDS_PER_SECOND = 3.0
LOOKUPS_PER_SECOND = 1.5

TIMEOUT_SECONDS = 0.8
CLIENT_SECONDS = 1.5
STREAM_SECONDS = 15.0
GRACE_SECONDS = 0.5
# With fewer late requests the share says little.
MIN_REQUESTS = 8


def configuration():
    plain = {'timeout_ms': 800, 'target_ms': 150}
    return sites.configuration(
        [
            sites.route('record', 'ledger', 'non_idempotent', attempts=1, **plain),
            sites.route('lookup', 'ledger', 'idempotent', attempts=2, **plain),
            sites.route(
                'query', 'assist', 'streaming', 15000, 1000, 2,
                resumable=True, gap_aim_ms=400, sticky=True,
            ),
        ],
        [
            {'name': 'ledger', 'max_connections': 100},
            {'name': 'assist', 'max_connections': 360, 'engine': sites.ENGINE},
        ],
    )  # fmt: skip


def stream_headers(rng):
    return [
        f'x-mustardlb-model: base/a{rng.randint(1, 8)}',
        'x-mustardlb-token-usage: 628,292',
        f'x-mustardlb-prompt-prefix: 5c1e:119,91bd:79,{rng.getrandbits(32):x}:430',
    ]


async def watch_readiness(site, until):
    """Note each second which front machines answer that they are ready."""
    while sites.now() < until:
        answers = await asyncio.gather(*(n.is_ready() for n in site.nodes))
        for node, is_ready in zip(site.nodes, answers, strict=True):
            if not is_ready:
                site.note(f'{node.name} does not answer its status check in 1 s')
        await asyncio.sleep(1.0)


async def play(site, has_trouble):
    await site.start(
        ZONES,
        [(f'eng-{n}', 'assist', 'engine') for n in range(ENGINES)]
        + [(f'led-{n}', 'ledger', 'plain') for n in range(LEDGERS)],
        configuration(),
    )
    await asyncio.sleep(sites.STABILITY_SECONDS + 1)
    until = sites.now() + CALM_SECONDS + JUDGED_SECONDS
    for node in site.nodes:
        site.run(
            site.load(
                node, RECORDS_PER_SECOND, until, 'record',
                timeout=CLIENT_SECONDS, body=b'b' * 600,
            )
        )  # fmt: skip
        site.run(
            site.load(
                node, LOOKUPS_PER_SECOND, until, 'lookup', method='GET',
                timeout=CLIENT_SECONDS,
            )
        )  # fmt: skip
        site.run(
            site.load(
                node, STREAMS_PER_SECOND, until, 'query',
                timeout=STREAM_SECONDS, headers=stream_headers, body=b'b' * 1700,
            )
        )  # fmt: skip
    site.run(watch_readiness(site, until))
    await asyncio.sleep(CALM_SECONDS)
    if has_trouble:
        for replica in site.replicas[:FAULTY_ENGINES]:
            replica.set_mode(f'endless_small {FAULTY_INTERVAL}')
        site.note('trouble begins')
    await asyncio.sleep(FAULTY_SECONDS)
    if has_trouble:
        for replica in site.replicas[:FAULTY_ENGINES]:
            replica.set_mode('sound')
        site.note('trouble ends')
    await asyncio.sleep(until - sites.now() + CLIENT_SECONDS + 0.5)


def judge(site):
    """Return whether the rule holds, and say how often it is kept."""
    plain = [each for each in site.outcomes if each.route != 'query']
    unanswered = [
        each
        for each in plain
        if each.ended_at > each.sent_at + TIMEOUT_SECONDS
        or not each.is_complete
    ]
    late = [
        each
        for each in unanswered
        if each.ended_at > each.sent_at + TIMEOUT_SECONDS + GRACE_SECONDS
    ]
    statuses = collections.Counter(each.status for each in plain)
    site.note(
        f'verdict: {len(plain)} records and lookups, statuses '
        f'{dict(statuses)}; {len(unanswered)} unanswered at timeout_ms, of '
        f'which {len(late)} had no answer half a second later'
    )
    ends = site.own_ends()
    for end in ends:
        site.note(f'verdict: {end}')
    if not any(each.status == 200 for each in plain):
        raise RuntimeError('no request was served')
    is_broken = len(unanswered) >= MIN_REQUESTS and (
        2 * len(late) > len(unanswered)
    )
    return not is_broken and not ends


def main():
    has_trouble = os.environ.get('TROUBLE') != '0'
    site = sites.Site('review-1', int(os.environ.get('SEED', '1')))
    began_at = sites.now()
    try:
        asyncio.run(play_and_stop(site, has_trouble))
        holds = judge(site)
    except Exception as error:  # the case could not run
        site.note(f'verdict: could not run: {error!r}')
        holds = None
    finally:
        site.stop()
        site.write_record(HERE / 'record.txt', began_at)
    print(*(text for _, text in site.record if 'verdict' in text), sep='\n')
    sys.exit(2 if holds is None else int(not holds))


async def play_and_stop(site, has_trouble):
    try:
        async with asyncio.timeout(100):
            await play(site, has_trouble)
    finally:
        await site.cancel()


if __name__ == '__main__':
    main()
