"""No target ever sees a caller's key, wherever the caller has put it."""

import json
import urllib.parse

import pytest

from mustardlb_standins import faults

CHAT = '/v1/chat/completions'


def percent(text):
    return ''.join(f'%{ord(character):02X}' for character in text)


def json_escaped(text):
    return ''.join(f'\\u{ord(character):04x}' for character in text)


def traces(key):
    """Texts that none but the caller and the node may know."""
    secret = key[-43:]
    forms = {secret, percent(secret), json_escaped(secret)}
    forms |= {urllib.parse.quote(percent(secret))}
    # Half of it is as bad.
    return forms | {secret[:20], secret[-20:]}


def check_unseen(front, key, *more):
    text = front.received() + ''.join(more)
    escaped = text.replace('\\\\', '\\')
    for trace in traces(key):
        assert trace not in text
        assert trace not in escaped
        assert trace.lower() not in escaped.lower()


def header_places(key):
    return [
        {'Authorization': f'Bearer {key}'},
        {'authorization': f'bearer  {key}'},
        {'X-Api-Key': key},
        {'Api-Key': key},
        {'Authorization': f'Bearer {key}', 'X-Copy': f'a {key} b'},
        {'Authorization': f'Bearer {key}', 'X-Copy': percent(key)},
        {'X-Api-Key': key, 'Cookie': f'a=1; key={key}'},
        {'X-Api-Key': key, 'Referer': f'http://a/?k={percent(key)}'},
        {'X-Api-Key': key, 'Authorization': 'Basic bWxi'},
        {'X-Api-Key': key, 'Proxy-Authorization': f'Bearer {key}'},
        {'X-Api-Key': key, 'Connection': 'X-Hop', 'X-Hop': '1'},
    ]


async def test_headers_and_query_of_plain_services(site):
    async with site() as one:
        key = one.front.keys_by_account['canopy']
        queries = [
            '',
            f'?key={key}&a=1',
            f'?a=1&api_key={percent(key)}',
            f'?{key}',
            f'?a=1&b={urllib.parse.quote(percent(key))}',
        ]
        for headers in header_places(key):
            for query in queries:
                for path in ('/echo/ledger', '/echo/open'):
                    answer = await one.client.get(
                        path + query, headers=headers
                    )
                    assert answer.status_code == 200
                    assert answer.json()['query'] in ('', 'a=1')
        assert len(one.front.desk.received) == 11 * 5 * 2
        check_unseen(one.front, key)


async def test_paths_and_idempotency_keys_are_refused(site):
    async with site() as one:
        key = one.front.keys_by_account['canopy']
        for path in (key, percent(key)):
            answer = await one.client.get(
                f'/echo/{path}', headers=one.front.headers()
            )
            assert answer.status_code == 400
            assert key not in answer.text
        answer = await one.client.post(
            '/bookings',
            headers=one.front.headers() | {'Idempotency-Key': key},
        )
        assert answer.status_code == 400
        assert not one.front.desk.received


BODIES = [
    (lambda key: {'api_key': key}, 200),
    (lambda key: {'key': f'Bearer {key}'}, 200),
    (lambda key: {'messages': [{'role': 'user', 'content': key}]}, 400),
    (lambda key: {'user': f'me:{key}'}, 400),
    (lambda key: {'metadata': {key: 1}}, 400),
    (lambda key: {key: 1}, 400),
    (lambda key: {'user': percent(key)}, 400),
    (lambda key: {'user': json_escaped(key)}, 400),
    (lambda key: {'user': json.dumps({'a': json_escaped(key)})}, 400),
]


@pytest.mark.parametrize('escape', [False, True])
async def test_bodies_of_model_calls(site, escape):
    async with site(engines=2) as one:
        key = one.front.keys_by_account['canopy']
        # Every first engine fails, so that retries are looked at too.
        plan = one.front.engines[0].plan
        plan.add('complete:*', faults.Kind.DROP, times=None)
        for make, status in BODIES:
            fields = {
                'model': 'oak@1',
                'messages': [],
                'max_tokens': 1,
            } | make(key)
            content = json.dumps(fields)
            if escape:
                content = content.replace(key, json_escaped(key))
            answer = await one.client.post(
                CHAT, content=content, headers=one.front.headers()
            )
            assert answer.status_code == status, answer.text
            if status == 400:
                assert answer.json()['error']['not_run'] is True
            check_unseen(one.front, key, answer.text)


@pytest.mark.parametrize('size', [1, 7, 1000])
async def test_streamed_bodies_of_plain_services(site, size):
    async with site() as one:
        front = one.front
        key = front.keys_by_account['canopy']

        async def pieces(text):
            data = text.encode()
            for start in range(0, len(data), size):
                yield data[start : start + size]

        for form in (key, percent(key), json_escaped(key), key[-43:]):
            for path in ('/echo/ledger', '/echo/open'):
                answer = await one.client.post(
                    path,
                    content=pieces('x' * 30 + form + 'y' * 30),
                    headers=front.headers(),
                )
                assert answer.status_code == 400, answer.text
                assert answer.json()['error']['not_run'] is False
        check_unseen(front, key)
        # What only looks like the beginning of one goes through whole.
        text = 'mlb_0123 ' + key[:40] + '%6d\\u006'
        answer = await one.client.post(
            '/echo/ledger', content=pieces(text), headers=front.headers()
        )
        assert answer.json()['body'] == text
        answer = await one.client.post(
            '/echo/ledger',
            content=b'',
            headers=front.headers() | {'Content-Encoding': 'gzip'},
        )
        assert answer.status_code == 400
