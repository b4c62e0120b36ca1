import datetime

import hypothesis
from hypothesis import strategies as st
import pytest

from mustardlb import configuration
from mustardlb import contracts
from mustardlb import decoded_configuration
from mustardlb import keys
from mustardlb import routes

NOW = datetime.datetime(2026, 1, 2, tzinfo=datetime.UTC)
BOUNDED = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=200
)
PREFIXES = st.lists(st.sampled_from(['/a', '/a/b', '/ab', '/']), unique=True)


def contract(account, rate=1):
    return contracts.encode(
        contracts.Contract(
            account=account, rate=rate, burst=1, grants=('d@1',)
        )
    )


def test_only_changed_objects_are_decoded_again():
    key = keys.issue('a', NOW)
    values = {
        'contract/a': contract('a'),
        'contract/b': contract('b'),
        'keys/a': keys.encode([key.record]),
        'newer_kind/x': b'?',
    }
    first = decoded_configuration.build(configuration.Snapshot(1, values))
    values = {**values, 'contract/b': contract('b', rate=7)}
    del values['keys/a']
    second = decoded_configuration.build(
        configuration.Snapshot(2, values), first
    )
    assert first.keys_by_id == {key.record.key_id: key.record}
    assert second.keys_by_id == {}
    assert second.contracts_by_account['b'].rate == 7
    assert second.contracts_by_account['a'] is first.contracts_by_account['a']


@BOUNDED
@hypothesis.given(PREFIXES, st.text('ab/', max_size=6))
def test_longest_prefix_of_whole_segments_is_selected(prefixes, rest):
    path = '/' + rest
    candidates = [
        routes.Route(name=f'r{i}', prefix=prefix, group='g')
        for i, prefix in enumerate(prefixes)
    ]
    values = {f'route/{r.name}': routes.encode(r) for r in candidates}
    built = decoded_configuration.build(configuration.Snapshot(1, values))
    matching = [
        prefix
        for prefix in prefixes
        if (path.rstrip('/') + '/').startswith(prefix.rstrip('/') + '/')
        and not (path.startswith('//') and prefix != '/')
    ]
    route = decoded_configuration.route_for(built, path)
    assert (route.prefix if route else '') == max(
        matching, key=len, default=''
    )


@pytest.mark.parametrize(
    ('name', 'value'),
    [
        ('contract/a', contract('b')),
        ('keys/a', keys.encode([keys.issue('b', NOW).record])),
        ('route/a', b'{}'),
        ('target/a', b'not json'),
        ('target/a', b'{"name": "\xff"}'),
        ('other/a', b'{}'),
        ('contract', contract('a')),
    ],
)
def test_object_that_does_not_match_its_name_is_rejected(name, value):
    with pytest.raises(ValueError, match=name.partition('/')[0]):
        decoded_configuration.validate(name, value)
