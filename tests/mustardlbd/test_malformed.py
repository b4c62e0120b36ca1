"""Malformed requests get a 4xx response and do not disturb the node."""

import json

import hypothesis
from hypothesis import strategies as st
import trio

CHAT = '/v1/chat/completions'

SETTINGS = hypothesis.settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=12,
    suppress_health_check=list(hypothesis.HealthCheck),
)

JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=10)
    | st.sampled_from(['oak@1', 'oak', 'oak@', '@1', 'oak@1@1', '*@*']),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=5,
)
FIELDS = st.sampled_from(
    [
        'model',
        'messages',
        'prompt',
        'max_tokens',
        'max_completion_tokens',
        'n',
        'best_of',
        'stream',
        'stream_options',
    ]
)
BODIES = (
    st.dictionaries(FIELDS, JSON_VALUES, max_size=5).map(
        lambda fields: json.dumps({'model': 'oak@1'} | fields).encode()
    )
    | st.dictionaries(FIELDS, JSON_VALUES, max_size=3).map(
        lambda fields: json.dumps(fields).encode()
    )
    | JSON_VALUES.map(lambda value: json.dumps(value).encode())
    | st.binary(max_size=40)
    | st.sampled_from(
        [
            b'',
            b'{',
            b'\xff',
            b'[' * 5000,
            b'{"model":' * 3000,
            b'{"model": "\\ud800"}',
            b'{"model": "oak@1", "n": 1e999}',
            b'{"model": "oak@1", "max_tokens": ' + b'9' * 400 + b'}',
        ]
    )
)


async def exchange(port, data):
    """Send raw bytes; return the response received within 0.5 s."""
    response = b''
    stream = await trio.open_tcp_stream('127.0.0.1', port)
    async with stream:
        with trio.move_on_after(0.5):
            try:
                await stream.send_all(data)
                while True:
                    block = await stream.receive_some()
                    if not block:
                        break
                    response += block
                    if is_complete(response):
                        break
            except trio.BrokenResourceError:
                pass
    return response


def is_complete(response):
    """Return whether a response with a content length is complete."""
    head, separator, body = response.partition(b'\r\n\r\n')
    if not separator:
        return False
    lengths = [
        int(line.split(b':')[1])
        for line in head.lower().split(b'\r\n')
        if line.startswith(b'content-length')
    ]
    return bool(lengths) and len(body) >= lengths[0]


def check_rejection(data, response):
    head, _, body = response.partition(b'\r\n\r\n')
    status = int(head.split()[1])
    assert 400 <= status < 500, response
    error = json.loads(body)['error']
    assert error['code'] and error['message'] and error['step']
    # A part of a body that fails later may have been forwarded.
    assert error['not_run'] is (b'chunked\r\n\r\nzz' not in data)
    return status


@SETTINGS
@hypothesis.given(st.lists(BODIES, min_size=40, max_size=60))
async def test_bodies_of_model_calls(site, bodies):
    async with site(step_time=0.0) as node:
        for body in bodies:
            path = CHAT if len(body) % 2 else '/v1/completions'
            response = await node.client.post(
                path, content=body, headers=node.front.headers()
            )
            if response.status_code == 200:
                continue
            assert 400 <= response.status_code < 500, (body, response.text)
            assert response.json()['error']['not_run'] is True
        # Only models that the contract grants are run.
        for entry in node.front.engines[0].kinds('run'):
            assert entry.model.startswith('oak@')


MUTATIONS = st.lists(
    st.tuples(
        st.integers(0, 400),
        st.sampled_from(
            [
                b'',
                b'\x00',
                b'\r\n',
                b'\n',
                b' ',
                b':',
                b'\xff',
                b'/..',
                b'%00',
                b'%',
                b'HTTP/9.9',
                b'GET * HTTP/1.1\r\n',
                b'Transfer-Encoding: chunked\r\n',
                b'Content-Length: 5\r\n',
                b'Content-Length: -1\r\n',
                b'Upgrade: websocket\r\nConnection: upgrade\r\n',
                b'Upgrade: h2c\r\nHTTP2-Settings: \xfe\r\n',
                b'Expect: 100-continue\r\n',
                b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n',
                b'A' * 3000 + b': b\r\n',
            ]
        ),
        st.integers(0, 6),
    ),
    min_size=1,
    max_size=3,
)


@SETTINGS
@hypothesis.given(st.lists(MUTATIONS, min_size=25, max_size=25))
async def test_mutated_requests(site, mutations):
    async with site(step_time=0.0) as node:
        key = node.front.keys_by_account['canopy']
        body = b'{"model": "oak@1", "max_tokens": 1}'
        valid_request = (
            b'POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n'
            b'Authorization: Bearer %b\r\nContent-Length: %d\r\n\r\n%b'
            % (key.encode(), len(body), body)
        )
        port = int(node.url.rsplit(':', 1)[1])
        async with trio.open_nursery() as nursery:
            for changes in mutations:
                data = valid_request
                for position, inserted, removed_count in changes:
                    position %= len(valid_request)
                    data = (
                        data[:position]
                        + inserted
                        + data[position + removed_count :]
                    )
                nursery.start_soon(check_no_server_error, port, data)
        # The node still serves requests.
        response = await node.client.post(
            CHAT, content=body, headers=node.front.headers()
        )
        assert response.status_code == 200


async def check_no_server_error(port, data):
    response = await exchange(port, data)
    if not response.startswith(b'HTTP/1.1 ') or b'\r\n\r\n' not in response:
        return
    status = int(response.split()[1])
    assert status < 500, (data, response)


async def test_each_limit_has_its_error_code(site, caller_settings):
    settings = caller_settings(
        max_header_bytes=2000,
        header_timeout=0.2,
        max_body_bytes=1000,
        body_timeout=0.2,
    )
    async with site(settings=settings) as node:
        port = int(node.url.rsplit(':', 1)[1])
        key = node.front.keys_by_account['canopy'].encode()
        start = b'POST /v1/completions HTTP/1.1\r\nHost: a\r\n'
        auth = b'Authorization: Bearer ' + key + b'\r\n'
        cases = [
            (b'GET /v1/models\r\n\r\n', 400, 'bad_request'),
            (start + b'A: ' + b'b' * 2500 + b'\r\n\r\n', 431, 'headers'),
            (start + b'A: ' + b'b' * 9000, 431, 'headers_too_large'),
            (start + b'A: b', 408, 'request_timeout'),
            (
                start + auth + b'Content-Length: 9\r\n\r\n{',
                408,
                'request_timeout',
            ),
            (
                start + auth + b'Content-Length: 1001\r\n\r\n',
                413,
                'body_too_large',
            ),
            (
                start
                + auth
                + b'Transfer-Encoding: chunked\r\n\r\n'
                + b'190\r\n'
                + b'x' * 400
                + b'\r\n190\r\n'
                + b'x' * 400
                + b'\r\n190\r\n'
                + b'x' * 400
                + b'\r\n0\r\n\r\n',
                413,
                'body_too_large',
            ),
            (
                start + auth + b'Transfer-Encoding: chunked\r\n\r\nzz\r\n',
                400,
                'bad_request',
            ),
            (b'GET /a/../b HTTP/1.1\r\nHost: a\r\n\r\n', 401, ''),
            (b'OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n', 400, 'bad_request'),
        ]
        for data, status, code in cases:
            response = await exchange(port, data)
            assert check_rejection(data, response) == status, (data, response)
            assert code.encode() in response, (data, response)
