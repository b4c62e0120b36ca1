"""Objects of other writers that cannot be read, beside those that can."""

import contextlib

import pytest
import soak_store
import structlog
import trio

from mustardlb_gateway import _leases
from mustardlb_gateway import _message_codec
from mustardlb_gateway import _messages
from mustardlb_gateway import _mirror
from mustardlb_gateway import _saved_object
from mustardlb_gateway import _store_watch
from mustardlb_gateway import ports
from mustardlb_platform import _pages
from mustardlb_platform import _store

KIND = 'servers'

# Time within which an acknowledged change is in force.
IN_FORCE_SECONDS = 2.0

UNREADABLE_SPECS = {
    'nested': b'{"a":' + b'[' * 100_000 + b']' * 100_000 + b'}',
    'nested objects': b'{"a":' * 100_000 + b'1' + b'}' * 100_000,
    'nested less': b'[' * 900 + b']' * 900,
    'nested a little too deeply': b'[' * 70 + b']' * 70,
    'digits': b'{"slots": ' + b'7' * 5_000 + b'}',
    'infinite': b'{"slots": 1e400}',
    'no number': b'{"slots": NaN}',
    'no text': b'{"service": "\xff\xfe]}"}',
    'no UTF-8': b'{"service": "\xed\xa0\x80"}',
    'half a character': rb'{"service": "\ud800"}',
    'no JSON': b'{"service": what}',
    'line break': b'{"service": "a\nb"}',
}


@contextlib.asynccontextmanager
async def running_copy(store):
    """Yield a copy that follows a store over real connections."""
    async with store.server.running(), trio.open_nursery() as nursery:
        mirror = _mirror.Mirror(KIND)
        client = _store.Store('127.0.0.1', store.server.port)
        nursery.start_soon(
            _store_watch.sync_mirrors, [mirror], client, trio.current_time
        )
        yield mirror
        nursery.cancel_scope.cancel()


async def until_equal(mirror, name, spec):
    """Wait until the copy has an object; raises trio.TooSlowError."""
    with trio.fail_after(IN_FORCE_SECONDS):
        while True:
            stored = mirror.objects_by_name.get(name)
            if stored is not None and stored.spec == spec:
                return
            await trio.sleep(0.01)


def names_nothing(mirror, name):
    """Return whether a copy has nothing that an object says."""
    return mirror.objects_by_name[name].spec == {}


async def test_other_objects_are_followed_beside_unreadable_ones():
    """Guards against one object that hides all others of its kind."""
    store = soak_store.HttpStore()
    store.put(KIND, 'before', 1)
    store.put(KIND, 'changed', 1)
    for name, raw in UNREADABLE_SPECS.items():
        store.put_raw(KIND, name, raw)
    store.put(KIND, 'later', 1)
    async with running_copy(store) as mirror:
        await until_equal(mirror, 'before', 1)
        await until_equal(mirror, 'later', 1)
        for number in range(2, 4):
            store.put(KIND, 'changed', number)
            await until_equal(mirror, 'changed', number)
            for name in UNREADABLE_SPECS:
                assert names_nothing(mirror, name)
        assert mirror.is_connected
        for name in UNREADABLE_SPECS:
            store.put(KIND, name, 'readable')
        for name in UNREADABLE_SPECS:
            await until_equal(mirror, name, 'readable')


async def test_objects_that_become_unreadable_do_not_stay_in_force():
    """Guards against requests to what an older entry named."""
    store = soak_store.HttpStore()
    for name in UNREADABLE_SPECS:
        store.put(KIND, name, 'readable')
    store.put(KIND, 'other', 1)
    async with running_copy(store) as mirror:
        await until_equal(mirror, 'other', 1)
        for number in range(2, 4):
            for name, raw in UNREADABLE_SPECS.items():
                store.put_raw(KIND, name, raw)
            store.put(KIND, 'other', number)
            await until_equal(mirror, 'other', number)
            for name in UNREADABLE_SPECS:
                # It exists, which is all that an evacuation says.
                assert name in mirror.objects_by_name
                assert names_nothing(mirror, name)
        for name in UNREADABLE_SPECS:
            store.remove(KIND, name)
        store.put(KIND, 'other', 'after')
        await until_equal(mirror, 'other', 'after')
        assert mirror.objects_by_name.keys() == {'other'}


@pytest.mark.parametrize('name', UNREADABLE_SPECS)
async def test_unreadable_object_is_passed_over_and_sent_to_others(name):
    """Guards against a copy whose encoding ends the connection to peers."""
    store = soak_store.HttpStore()
    store.put_raw(KIND, 'odd', UNREADABLE_SPECS[name])
    store.put(KIND, 'other', 1)
    async with store.server.running():
        client = _store.Store('127.0.0.1', store.server.port)
        listing = await client.list_objects(KIND)
        changes = await client.watch(KIND, 1, 1.0)
    assert [(each.name, each.spec) for each in listing.objects] == [
        ('odd', {}),
        ('other', 1),
    ]
    assert [(each.name, each.spec) for each in changes.changes] == [
        ('odd', {}),
        ('other', 1),
    ]
    snapshot = _messages.Snapshot(
        KIND, listing.revision, listing.objects, ('odd', 'other'), 1
    )
    message = _messages.Message('vm', 1, 1, snapshot)
    assert _message_codec.decode(_message_codec.encode(message)) == message


@pytest.mark.parametrize('name', [b'"\xff"', b'"\\ud800"', b'7' * 5_000])
async def test_other_objects_are_followed_beside_one_without_a_name(name):
    """Guards against a name that cannot be read and hides all objects."""
    store = soak_store.HttpStore()
    store.put(KIND, 'before', 1)
    store.put_raw(KIND, 'odd', b'{}', name)
    async with running_copy(store) as mirror:
        await until_equal(mirror, 'before', 1)
        store.put_raw(KIND, 'odd', b'[]', name)
        store.put(KIND, 'later', 1)
        await until_equal(mirror, 'later', 1)
        assert mirror.objects_by_name.keys() == {'before', 'later'}


async def test_unreadable_object_is_reported_once_for_each_revision():
    """Guards against an unreadable object that is dropped without a trace."""
    store = soak_store.HttpStore()
    odd = store.put_raw(KIND, 'odd', UNREADABLE_SPECS['digits'])
    with structlog.testing.capture_logs() as logs:
        async with store.server.running():
            client = _store.Store('127.0.0.1', store.server.port)
            for _ in range(3):
                await client.list_objects(KIND)
            again = store.put_raw(KIND, 'odd', UNREADABLE_SPECS['nested'])
            await client.watch(KIND, odd['metadata']['revision'], 1.0)
            await client.list_objects(KIND)
    assert [
        (each['name'], each['revision'])
        for each in logs
        if each['event'] == 'MLB-7010'
    ] == [
        ('odd', odd['metadata']['revision']),
        ('odd', again['metadata']['revision']),
    ]


@pytest.mark.parametrize('removed', [False, True])
async def test_object_without_specification_is_not_taken_for_removed(removed):
    """Guards against an evacuation without details that is not in force."""
    store = soak_store.HttpStore()
    store.put(KIND, 'other', 1)
    async with running_copy(store) as mirror:
        await until_equal(mirror, 'other', 1)
        store.put(KIND, 'a', None)
        if removed:
            store.remove(KIND, 'a')
        store.put(KIND, 'other', 2)
        await until_equal(mirror, 'other', 2)
        assert ('a' in mirror.objects_by_name) != removed


@pytest.mark.parametrize(
    'body',
    [
        b'',
        b'"',
        b'{',
        b'{"items": [',
        b'[1, 2] 3',
        b'{"items": ["]}',
        b'\xff',
        b'7' * 5_000,
        b'[' * 100_000,
    ],
)
def test_response_without_structure_is_unreadable(body):
    """Guards against half a response that is taken for all objects."""
    assert _pages.decode(body) is _pages.UNREADABLE


def test_only_unreadable_parts_are_left_out():
    """Guards against a specification of which only a part is used."""
    body = (
        b' {"items" : [ {"metadata": {"name": "a", "x": 1e999}, "spec": '
        b'{"service": "s", "address": "\xff"}, "status": "\\"]"}, 7e999, 5 ], '
        b'"has_more": false, "current_rev": 9 } '
    )
    assert _pages.decode(body) == {
        'items': [
            {
                'metadata': {'name': 'a', 'x': _pages.UNREADABLE},
                'spec': _pages.UNREADABLE,
                'status': '"]',
            },
            _pages.UNREADABLE,
            5,
        ],
        'has_more': False,
        'current_rev': 9,
    }


@pytest.mark.parametrize('name', UNREADABLE_SPECS)
async def test_single_unreadable_object_exists_without_specification(name):
    """Guards against a record that is asked for without an end."""
    store = soak_store.HttpStore()
    stored = store.put_raw(KIND, 'odd', UNREADABLE_SPECS[name])
    revision = stored['metadata']['revision']
    odd = ports.StoredObject('odd', revision, None)
    with structlog.testing.capture_logs() as logs:
        async with store.server.running():
            client = _store.Store('127.0.0.1', store.server.port)
            assert await client.get(KIND, 'odd') == odd
            with pytest.raises(ports.Conflict) as raised:
                await client.create(KIND, 'odd', {})
            assert raised.value.current == odd
            await client.replace(KIND, 'odd', {'a': 1}, revision)
            replaced = await client.get(KIND, 'odd')
    assert replaced.spec == {'a': 1}
    assert [each['event'] for each in logs] == ['MLB-7010']


async def test_lease_that_cannot_be_read_is_not_claimed():
    """Guards against fencing tokens that start again from 1."""
    store = soak_store.HttpStore()
    store.put_raw(_leases.LEASE_KIND, 't1', UNREADABLE_SPECS['digits'])
    async with store.server.running():
        leases = _leases.Leases(
            'vm1',
            1,
            _store.Store('127.0.0.1', store.server.port),
            trio.current_time,
            lambda: 3.0,
            lambda: True,
        )
        with structlog.testing.capture_logs() as logs:
            assert await leases.claim('t1') is None
    assert [each['event'] for each in logs] == ['MLB-7010', 'MLB-6113']


async def test_saved_record_that_cannot_be_read_is_replaced():
    """Guards against nodes that wait for a record for ever."""
    store = soak_store.HttpStore()
    store.put_raw(KIND, _saved_object.NAME, UNREADABLE_SPECS['nested'])
    async with store.server.running():
        client = _store.Store('127.0.0.1', store.server.port)
        with trio.fail_after(IN_FORCE_SECONDS):
            assert await _saved_object.load(client, KIND) is None
            await _saved_object.change(client, KIND, lambda _: {'a': 1})
            assert await _saved_object.load(client, KIND) == {'a': 1}


async def test_changes_of_an_object_without_a_name_cost_no_lists():
    """Guards against a list for each change of an object that is not used."""
    store = soak_store.HttpStore()
    store.put(KIND, 'other', 0)
    async with running_copy(store) as mirror:
        await until_equal(mirror, 'other', 0)
        for number in range(1, 4):
            store.put_raw(KIND, 'odd', b'{}', b'"\xff"')
            store.put(KIND, 'other', number)
            await until_equal(mirror, 'other', number)
    targets = [head.target for head, _ in store.server.requests]
    assert len([each for each in targets if b'watch' not in each]) == 1
