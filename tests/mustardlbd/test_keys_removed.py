"""Targets never receive a caller's API key, wherever the caller put it."""

import json
import urllib.parse

import pytest

from mustardlb_standins import faults

CHAT = '/v1/chat/completions'


def percent(text):
    return ''.join(f'%{ord(character):02X}' for character in text)


def json_escaped(text):
    return ''.join(f'\\u{ord(character):04x}' for character in text)


def key_fragments(key):
    """Return texts from a key that a target must never receive."""
    secret = key[-43:]
    forms = {secret, percent(secret), json_escaped(secret)}
    forms |= {urllib.parse.quote(percent(secret))}
    # Half of a secret must not leak either.
    return forms | {secret[:20], secret[-20:]}


def check_key_absent(front, key, *more):
    text = front.received() + ''.join(more)
    escaped = text.replace('\\\\', '\\')
    for fragment in key_fragments(key):
        assert fragment not in text
        assert fragment not in escaped
        assert fragment.lower() not in escaped.lower()


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
                    response = await one.client.get(
                        path + query, headers=headers
                    )
                    assert response.status_code == 200
                    assert response.json()['query'] in ('', 'a=1')
        assert len(one.front.desk.received) == 11 * 5 * 2
        check_key_absent(one.front, key)


async def test_keys_in_paths_and_idempotency_keys_are_rejected(site):
    async with site() as one:
        key = one.front.keys_by_account['canopy']
        for path in (key, percent(key)):
            response = await one.client.get(
                f'/echo/{path}', headers=one.front.headers()
            )
            assert response.status_code == 400
            assert key not in response.text
        response = await one.client.post(
            '/bookings',
            headers=one.front.headers() | {'Idempotency-Key': key},
        )
        assert response.status_code == 400
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
        # The first engine fails, so that retries are checked too.
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
            response = await one.client.post(
                CHAT, content=content, headers=one.front.headers()
            )
            assert response.status_code == status, response.text
            if status == 400:
                assert response.json()['error']['not_run'] is True
            check_key_absent(one.front, key, response.text)


@pytest.mark.parametrize('size', [1, 7, 1000])
async def test_streamed_bodies_of_plain_services(site, size):
    async with site() as one:
        front = one.front
        key = front.keys_by_account['canopy']

        async def chunks(text):
            data = text.encode()
            for start in range(0, len(data), size):
                yield data[start : start + size]

        for form in (key, percent(key), json_escaped(key), key[-43:]):
            for path in ('/echo/ledger', '/echo/open'):
                response = await one.client.post(
                    path,
                    content=chunks('x' * 30 + form + 'y' * 30),
                    headers=front.headers(),
                )
                assert response.status_code == 400, response.text
                assert response.json()['error']['not_run'] is False
        check_key_absent(front, key)
        # A text that only starts like a key is forwarded unchanged.
        text = 'mlb_0123 ' + key[:40] + '%6d\\u006'
        response = await one.client.post(
            '/echo/ledger', content=chunks(text), headers=front.headers()
        )
        assert response.json()['body'] == text
        response = await one.client.post(
            '/echo/ledger',
            content=b'',
            headers=front.headers() | {'Content-Encoding': 'gzip'},
        )
        assert response.status_code == 400
