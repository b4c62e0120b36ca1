"""All front machines are killed while two software versions serve."""

import asyncio
import os
import pathlib
import re
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standins'))

import front_site as sites  # noqa: E402

ZONES = ('trent', 'severn', 'arden')
REPLICAS = [
    (f'eng-{number}', 'assist', 'engine', f'v{1 + number % 2}')
    for number in range(6)
]

# Streams begin beside another version some seconds after it has come.
SETTLE_SECONDS = 6.0
STREAMS = 30
STREAM_SECONDS = 15.0
# herd_kill, share 1.0, in the site file: down for 1 s.
DOWN_SECONDS = 1.0
MIN_STREAMS = 12

_ID = re.compile(rb'^id: (\d+)$', re.MULTILINE)


def configuration():
    return sites.configuration(
        [
            sites.route(
                'query', 'assist', 'streaming', 15000, 1000, 2,
                resumable=True, gap_aim_ms=400, sticky=True,
            ),
        ],
        [{'name': 'assist', 'max_connections': 360, 'engine': sites.ENGINE}],
    )  # fmt: skip


def headers(site, *more):
    part = site.rng.getrandbits(32)
    return [
        'x-mustardlb-model: base',
        'x-mustardlb-token-usage: 628,292',
        f'x-mustardlb-prompt-prefix: 5c1e:119,91bd:79,{part:x}:430',
        *more,
    ]


async def send_streams(site, count, seconds, timeout, resumed=()):
    """Send streams, evenly over time and machines; return the outcomes.

    :param resumed: streams that are taken up, with their last events
    """
    tasks = []
    for number in range(count):
        more = ()
        if resumed:
            outcome, last = resumed[number]
            more = (f'last-event-id: {last}', f'resumes: {outcome.request_id}')
            timeout = outcome.sent_at + STREAM_SECONDS - sites.now()
        tasks.append(
            site.run(
                site.request(
                    site.nodes[number % len(site.nodes)], 'query',
                    timeout=timeout, headers=headers(site, *more),
                    body=b'b' * 1700,
                )
            )
        )  # fmt: skip
        await asyncio.sleep(seconds / count)
    return tasks


def last_event(outcome):
    """Return the id of the last whole event, 0 without one."""
    ids = _ID.findall(outcome.body[: outcome.body.rfind(b'\n\n') + 1])
    return int(ids[-1]) if ids else 0


async def play(site, has_trouble):
    await site.start(ZONES, REPLICAS, configuration())
    for replica in site.replicas:
        replica.set_mode('steady')
    await asyncio.sleep(SETTLE_SECONDS)
    tasks = await send_streams(site, STREAMS, 1.5, STREAM_SECONDS)
    await asyncio.sleep(0.5)
    if has_trouble:
        site.note('all front machines are killed')
        for node in site.nodes:
            node.process.kill()
            node.process.wait()
    else:
        # The channels break, and nothing else.
        for task in tasks:
            task.cancel()
    killed_at = sites.now()
    await asyncio.sleep(DOWN_SECONDS)
    if has_trouble:
        for node in site.nodes:
            node.start()
    started_at = sites.now()
    broken = await asyncio.gather(*tasks, return_exceptions=True)
    broken = [
        (each, last_event(each)) for each in site.outcomes if last_event(each)
    ]
    site.note(f'{len(broken)} streams broke off after their first event')
    while not all([await node.is_ready() for node in site.nodes]):
        await asyncio.sleep(0.1)
    await asyncio.sleep(
        started_at + sites.STABILITY_SECONDS + 0.5 - sites.now()
    )
    site.note('the front machines are in touch; the streams are taken up')
    site.resumed, site.new = await asyncio.gather(
        send_streams(site, len(broken), 1.5, 0, broken),
        send_streams(site, STREAMS, 1.5, STREAM_SECONDS),
    )
    site.resumed = await asyncio.gather(*site.resumed)
    site.new = await asyncio.gather(*site.new)
    site.note(f'taken up until {sites.now() - killed_at:.1f} s after the kill')


def judge(site):
    """Return whether the rule holds."""
    going_on = [each for each in site.resumed if last_event(each)]
    begun = [each for each in site.new if last_event(each)]
    statuses = [each.status for each in site.resumed]
    counts = {each: statuses.count(each) for each in sorted(set(statuses))}
    site.note(
        f'verdict: of {len(site.resumed)} streams that were taken up '
        f'{len(going_on)} went on (statuses {counts}), of {len(site.new)} new '
        f'ones {len(begun)} began; three replicas of each version serve'
    )
    if len(site.resumed) < MIN_STREAMS or not begun:
        raise RuntimeError('too few streams')
    share = len(going_on) / len(site.resumed)
    return 2 * share >= len(begun) / len(site.new) and not site.own_ends()


def main():
    has_trouble = os.environ.get('TROUBLE') != '0'
    site = sites.Site('review-4', int(os.environ.get('SEED', '1')))
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
