"""Tracked objects: adoption of newer versions, last good values, parts."""

import fleet as fleets
import hypothesis
from hypothesis import strategies as st
import pytest
import trio

from mustardlb import configuration
from mustardlbd import _documents
from mustardlbd import _fetching
from mustardlbd import _notifier
from mustardlbd import _owners

NAMES = ['contract/midland', 'keys/midland', 'keys/akwaaba']


class Store:
    """Heads and parts as operators write them."""

    def __init__(self):
        self.parts = {}
        self.heads = []
        self.values_by_version = {0: {}}

    def write(self, values):
        before = self.values_by_version[len(self.heads)]
        merged = {**before, **values}
        entries = {}
        for name, value in merged.items():
            parts = configuration.split_parts(value)
            self.parts.update(parts)
            entries[name] = configuration.Entry(1, tuple(parts))
        version = len(self.heads) + 1
        head = configuration.Head(version, f'c{version}', entries)
        self.heads.append(
            _documents.TrackedObject(version, configuration.encode_head(head))
        )
        self.values_by_version[version] = merged

    async def fetch(self, digest):
        return self.parts.get(digest)


def make_documents():
    return _documents.Documents(
        fleets.accept_all, _owners.validate, _notifier.Notifier()
    )


async def fail_to_fetch(digest):
    raise _documents.FetchError(digest)


writes = st.lists(
    st.dictionaries(
        st.sampled_from(NAMES),
        st.sampled_from([b'a', b'b', b'invalid']),
        min_size=1,
    ),
    min_size=1,
    max_size=6,
)


@hypothesis.settings(
    max_examples=60, derandomize=True, database=None, deadline=None
)
@hypothesis.given(writes, st.lists(st.integers(0, 5), max_size=12))
def test_last_good_value_of_each_object_is_in_force(writes, arrivals):
    """Heads arrive in any order, some twice, some never."""
    store = Store()
    for values in writes:
        store.write(values)

    async def main():
        documents = make_documents()
        good = {}
        newest = 0
        for arrival in arrivals:
            found = store.heads[arrival % len(store.heads)]
            await documents.adopt(0, found, store.fetch)
            if found.version > newest:
                newest = found.version
                values = store.values_by_version[newest]
                good = {
                    name: good.get(name) if value == b'invalid' else value
                    for name, value in values.items()
                }
            snapshot = documents.snapshot()
            assert documents.versions()[0] == snapshot.revision == newest
            assert snapshot.values == {
                name: value for name, value in good.items() if value
            }
            assert {one.name for one in snapshot.invalid} == {
                name
                for name, value in store.values_by_version[newest].items()
                if value == b'invalid'
            }

    trio.run(main)


async def test_value_that_crashes_validation_is_invalid():
    def crash(name, value):
        raise KeyError('missing')

    store = Store()
    store.write({NAMES[0]: b'a'})
    documents = _documents.Documents(
        crash, _owners.validate, _notifier.Notifier()
    )
    await documents.adopt(0, store.heads[0], store.fetch)
    (invalid,) = documents.snapshot().invalid
    assert invalid.name == NAMES[0] and 'missing' in invalid.problem


async def test_nothing_changes_when_a_part_cannot_be_fetched():
    store = Store()
    store.write({NAMES[0]: b'a'})
    store.write({NAMES[0]: b'b', NAMES[1]: b'c'})
    documents = make_documents()
    await documents.adopt(0, store.heads[0], store.fetch)
    with pytest.raises(_documents.FetchError):
        await documents.adopt(0, store.heads[1], fail_to_fetch)
    assert documents.versions()[0] == 1
    assert documents.snapshot().values == {NAMES[0]: b'a'}
    await documents.adopt(0, store.heads[1], store.fetch)
    assert documents.snapshot().values == {NAMES[0]: b'b', NAMES[1]: b'c'}


@pytest.mark.parametrize(
    'value',
    [
        b'',
        b'junk',
        configuration.encode_head(configuration.Head(1)),
        configuration.encode_head(configuration.Head(0)),
    ],
)
async def test_invalid_head_keeps_the_last_good_one(value):
    store = Store()
    store.write({NAMES[0]: b'a'})
    documents = make_documents()
    await documents.adopt(0, store.heads[0], store.fetch)
    await documents.adopt(0, _documents.TrackedObject(9, value), store.fetch)
    snapshot = documents.snapshot()
    assert snapshot.values == {NAMES[0]: b'a'}
    assert [one.name for one in snapshot.invalid] == [configuration.HEAD_NAME]
    assert documents.versions()[0] == 9


async def test_invalid_owner_table_keeps_the_last_good_one():
    documents = make_documents()
    good = _owners.encode((_owners.Slice('vm-a', 1),) * _owners.SLICES)
    await documents.adopt(1, _documents.TrackedObject(1, good), fail_to_fetch)
    await documents.adopt(1, _documents.TrackedObject(2, b'[]'), fail_to_fetch)
    assert documents.owners() == _documents.TrackedObject(1, good)
    assert documents.versions()[1] == 2


async def test_part_that_does_not_match_its_hash_is_rejected():
    (digest,) = configuration.split_parts(b'right')

    async def wrong(digest):
        return b'wrong'

    async def right(digest):
        return b'right'

    fetch = _fetching.fallback_fetcher(fail_to_fetch, wrong, right)
    assert await fetch(digest) == b'right'
    with pytest.raises(_documents.FetchError):
        await _fetching.fallback_fetcher(wrong)(digest)
