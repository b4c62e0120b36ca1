import json

import pytest
import scripted

from mustardlb_gateway import ports
from mustardlb_platform import _store


def reply(status, fields=None, raw=None):
    body = raw if raw is not None else json.dumps(fields).encode()
    return (
        b'HTTP/1.1 %d X\r\ncontent-length: %d\r\n\r\n'
        % (
            status,
            len(body),
        )
        + body
    )


def stored(name, revision, spec=None):
    return {'metadata': {'name': name, 'revision': revision}, 'spec': spec}


async def with_answers(*answers):
    """Return a store and its server, which gives the answers in turn."""
    waiting = list(answers)

    async def script(connection, head, body):
        await connection.send(waiting.pop(0))

    return scripted.ScriptedServer(script)


async def call(answers, use):
    server = await with_answers(*answers)
    async with server.running():
        result = await use(_store.Store('127.0.0.1', server.port))
    return result, server.requests


async def test_list_goes_on_until_its_last_page():
    pages = [
        reply(
            200,
            {
                'items': [stored('a', 3), stored('b', 4)],
                'has_more': True,
                'current_rev': 9,
            },
        ),
        reply(
            200,
            {
                'items': [stored('c', 5), {'metadata': 1}, 'x'],
                'has_more': False,
                'current_rev': 12,
            },
        ),
    ]
    (objects, revision), requests = await call(
        pages, lambda store: store.list_objects('servers')
    )
    assert [each.name for each in objects] == ['a', 'b', 'c']
    assert revision == 9
    assert [head.target for head, _ in requests] == [
        b'/-/objects/servers',
        b'/-/objects/servers?after=b',
    ]


async def test_watch():
    page = {
        'events': [
            {'object': stored('a', 10, {'x': 1}), 'removed': False},
            {'object': stored('b', 11), 'removed': True},
        ],
        'current_rev': 11,
    }
    changes, requests = await call(
        [reply(200, page)], lambda store: store.watch('servers', 9, 2.0)
    )
    assert changes == ports.Changes(
        (ports.Change('a', 10, {'x': 1}), ports.Change('b', 11, None)), 11
    )
    assert requests[0][0].target == (
        b'/-/objects/servers?watch=9&wait_ms=2000'
    )


async def test_history_that_is_gone():
    with pytest.raises(BaseException) as raised:
        await call([reply(410, {})], lambda store: store.watch('s', 1, 0))
    assert raised.group_contains(ports.RevisionCompacted)


@pytest.mark.parametrize(
    'answer',
    [
        reply(503, {}),
        reply(429, {}),
        reply(200, raw=b'not json'),
        reply(200, ['a list']),
        reply(200, {'items': [], 'current_rev': None}),
        b'rubbish\r\n\r\n',
    ],
)
async def test_store_that_gives_no_answer_is_unavailable(answer):
    with pytest.raises(BaseException) as raised:
        await call([answer], lambda store: store.list_objects('servers'))
    assert raised.group_contains(ports.StoreUnavailable)


async def test_conditional_writes():
    written, requests = await call(
        [reply(200, stored('a', 5, {'x': 2}))],
        lambda store: store.replace('k', 'a', {'x': 2}, 4),
    )
    assert written == ports.StoredObject('a', 5, {'x': 2})
    head, body = requests[0]
    assert (head.method, head.target) == (b'PUT', b'/-/objects/k/a')
    assert json.loads(body)['metadata'] == {'name': 'a', 'revision': 4}


async def test_write_against_another_revision_tells_the_object():
    server = await with_answers(reply(409, stored('a', 8)))
    async with server.running():
        store = _store.Store('127.0.0.1', server.port)
        with pytest.raises(ports.Conflict) as raised:
            await store.create('k', 'a', {})
        assert raised.value.current.revision == 8


async def test_lost_answer_leaves_the_write_unknown():
    async def script(connection, head, body):
        await connection.reset()

    server = scripted.ScriptedServer(script)
    async with server.running():
        store = _store.Store('127.0.0.1', server.port)
        with pytest.raises(ports.StoreUnavailable) as raised:
            await store.create('k', 'a', {})
        assert raised.value.is_outcome_unknown


async def test_refused_write_was_not_done():
    server = await with_answers(reply(503, {}))
    async with server.running():
        store = _store.Store('127.0.0.1', server.port)
        with pytest.raises(ports.StoreUnavailable) as raised:
            await store.create('k', 'a', {})
        assert not raised.value.is_outcome_unknown


async def test_object_that_is_not_there():
    found, _ = await call([reply(404, {})], lambda s: s.get('k', 'a'))
    assert found is None
