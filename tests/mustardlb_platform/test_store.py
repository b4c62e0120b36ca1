import json

import pytest
import scripted

from mustardlb_gateway import ports
from mustardlb_platform import _store


def response(status, fields=None, raw=None):
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


async def server_returning(*responses):
    """Return a server that sends the given responses in turn."""
    pending = list(responses)

    async def script(connection, head, body):
        await connection.send(pending.pop(0))

    return scripted.ScriptedServer(script)


async def call_store(responses, operation):
    """Return the operation's result and the requests the server got."""
    server = await server_returning(*responses)
    async with server.running():
        result = await operation(_store.Store('127.0.0.1', server.port))
    return result, server.requests


async def test_list_reads_every_page():
    pages = [
        response(
            200,
            {
                'items': [stored('a', 3), stored('b', 4)],
                'has_more': True,
                'current_rev': 9,
            },
        ),
        response(
            200,
            {
                'items': [stored('c', 5), {'metadata': 1}, 'x'],
                'has_more': False,
                'current_rev': 12,
            },
        ),
    ]
    listing, requests = await call_store(
        pages, lambda store: store.list_objects('servers')
    )
    assert [each.name for each in listing.objects] == ['a', 'b', 'c']
    assert listing.revision == 9
    assert [head.target for head, _ in requests] == [
        b'/-/objects/servers',
        b'/-/objects/servers?after=b',
    ]


async def test_watch_returns_changes():
    page = {
        'events': [
            {'object': stored('a', 10, {'x': 1}), 'removed': False},
            {'object': stored('b', 11), 'removed': True},
        ],
        'current_rev': 11,
    }
    changes, requests = await call_store(
        [response(200, page)], lambda store: store.watch('servers', 9, 2.5)
    )
    assert changes == ports.Changes(
        (ports.Change('a', 10, {'x': 1}), ports.Change('b', 11, None)), 11
    )
    assert requests[0][0].target == (
        b'/-/objects/servers?watch=9&wait_ms=2000'
    )


async def test_watch_of_discarded_history_raises():
    with pytest.raises(BaseException) as raised:
        await call_store(
            [response(410, {})], lambda store: store.watch('s', 1, 0)
        )
    assert raised.group_contains(ports.RevisionCompacted)


@pytest.mark.parametrize(
    'unusable',
    [
        response(503, {}),
        response(429, {}),
        response(200, raw=b'not json'),
        response(200, ['a list']),
        response(200, {'items': [], 'current_rev': None}),
        b'rubbish\r\n\r\n',
    ],
)
async def test_unusable_response_means_store_is_unavailable(unusable):
    with pytest.raises(BaseException) as raised:
        await call_store(
            [unusable], lambda store: store.list_objects('servers')
        )
    assert raised.group_contains(ports.StoreUnavailable)


async def test_replace_is_conditional_on_revision():
    written, requests = await call_store(
        [response(200, stored('a', 5, {'x': 2}))],
        lambda store: store.replace('k', 'a', {'x': 2}, 4),
    )
    assert written == ports.StoredObject('a', 5, {'x': 2})
    head, body = requests[0]
    assert (head.method, head.target) == (b'PUT', b'/-/objects/k/a')
    assert json.loads(body)['metadata'] == {'name': 'a', 'revision': 4}


async def test_conflicting_write_reports_current_object():
    server = await server_returning(response(409, stored('a', 8)))
    async with server.running():
        store = _store.Store('127.0.0.1', server.port)
        with pytest.raises(ports.Conflict) as raised:
            await store.create('k', 'a', {})
        assert raised.value.current.revision == 8


async def test_lost_response_leaves_write_outcome_unknown():
    async def script(connection, head, body):
        await connection.reset()

    server = scripted.ScriptedServer(script)
    async with server.running():
        store = _store.Store('127.0.0.1', server.port)
        with pytest.raises(ports.StoreUnavailable) as raised:
            await store.create('k', 'a', {})
        assert raised.value.is_outcome_unknown


async def test_rejected_write_has_known_outcome():
    server = await server_returning(response(503, {}))
    async with server.running():
        store = _store.Store('127.0.0.1', server.port)
        with pytest.raises(ports.StoreUnavailable) as raised:
            await store.create('k', 'a', {})
        assert not raised.value.is_outcome_unknown


async def test_get_of_missing_object_returns_none():
    found, _ = await call_store(
        [response(404, {})], lambda store: store.get('k', 'a')
    )
    assert found is None


async def test_list_that_repeats_a_page_ends():
    page = response(
        200, {'items': [stored('a', 3)], 'has_more': True, 'current_rev': 9}
    )
    with pytest.raises(BaseException) as raised:
        await call_store(
            [page] * 3, lambda store: store.list_objects('servers')
        )
    assert raised.group_contains(ports.StoreUnavailable, match='repeats')


@pytest.mark.parametrize(
    'event', [7, 'x', [1], None, {'object': 3}, {'removed': True}]
)
async def test_unreadable_change_leads_to_a_new_list(event):
    page = {'events': [event], 'current_rev': 11}
    with pytest.raises(BaseException) as raised:
        await call_store(
            [response(200, page)], lambda store: store.watch('s', 9, 2.0)
        )
    assert raised.group_contains(ports.RevisionCompacted)


@pytest.mark.parametrize('name', ['items', 'events'])
async def test_value_in_place_of_a_list_means_unavailable(name):
    page = {name: 7, 'current_rev': 11}
    with pytest.raises(BaseException) as raised:
        await call_store(
            [response(200, page)],
            lambda store: (
                store.list_objects('s')
                if name == 'items'
                else store.watch('s', 9, 2.0)
            ),
        )
    assert raised.group_contains(ports.StoreUnavailable)


async def test_page_of_objects_without_names_is_no_complete_list():
    """Guards against removing all that the next pages would have."""
    page = response(
        200,
        {'items': [{'metadata': {}}], 'has_more': True, 'current_rev': 9},
    )
    with pytest.raises(BaseException) as raised:
        await call_store([page], lambda store: store.list_objects('servers'))
    assert raised.group_contains(ports.StoreUnavailable, match='no name')
