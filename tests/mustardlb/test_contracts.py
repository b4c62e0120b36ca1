import fnmatch
import time

import hypothesis
from hypothesis import strategies as st
import pytest

from mustardlb import contracts
from mustardlb import documents
from mustardlb import errors

BOUNDED = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=300
)

ADAPTERS = st.text('ab.', min_size=1, max_size=4).filter(
    lambda text: text[0] != '.'
)
VERSIONS = st.sampled_from(['1', '2', '10'])
ADAPTER_PATTERNS = st.text('ab.*', min_size=1, max_size=5)
VERSION_PATTERNS = st.sampled_from(['1', '2', '10', '*', '1*'])
GRANTS = st.lists(
    st.builds('{}@{}'.format, ADAPTER_PATTERNS, VERSION_PATTERNS),
    max_size=4,
)


def make_contract(grants=(), **changes):
    changes = {'rate': 1, 'burst': 1, **changes}
    return contracts.Contract(account='acme', grants=tuple(grants), **changes)


def is_granted_by_fnmatch(grants, adapter, version):
    return any(
        fnmatch.fnmatchcase(f'{adapter}@{version}', grant) for grant in grants
    )


def resolve_or_code(contract, model):
    try:
        return contracts.resolve(contract, model)
    except errors.Error as error:
        assert error.not_run
        return error.code


@BOUNDED
@hypothesis.given(GRANTS, ADAPTERS, VERSIONS)
def test_only_granted_versions_are_callable(grants, adapter, version):
    model = f'{adapter}@{version}'
    granted = is_granted_by_fnmatch(grants, adapter, version)
    expected = model if granted else errors.Code.NOT_GRANTED
    assert resolve_or_code(make_contract(grants), model) == expected


@BOUNDED
@hypothesis.given(
    GRANTS, ADAPTERS, st.dictionaries(ADAPTERS, VERSIONS, max_size=2)
)
def test_unversioned_name_is_current_or_the_only_version(
    grants, adapter, current
):
    contract = make_contract(grants, current=current)
    found = resolve_or_code(contract, adapter)
    if adapter in current:
        assert found == f'{adapter}@{current[adapter]}'
        return
    versions = {
        grant.partition('@')[2]
        for grant in grants
        if fnmatch.fnmatchcase(adapter, grant.partition('@')[0])
    }
    if not versions:
        assert found == errors.Code.NOT_GRANTED
    elif len(versions) > 1 or '*' in ''.join(versions):
        assert found == errors.Code.VERSION_REQUIRED
    else:
        assert found == f'{adapter}@{versions.pop()}'


@BOUNDED
@hypothesis.given(st.text(max_size=20))
def test_unversioned_name_resolves_to_a_granted_model(model):
    contract = make_contract(['*@3'])
    found = resolve_or_code(contract, model)
    if isinstance(found, errors.Code):
        assert found == errors.Code.NOT_GRANTED
    else:
        assert resolve_or_code(contract, found) == found


def test_many_wildcards_match_in_linear_time():
    contract = make_contract(['*a' * 30 + 'b@*'])
    started = time.process_time()
    assert (
        resolve_or_code(contract, 'a' * 3000 + '@1') == errors.Code.NOT_GRANTED
    )
    # Backtracking would take years, so any finite bound detects it.
    assert time.process_time() - started < 30


@BOUNDED
@hypothesis.given(st.binary(max_size=60) | st.text(max_size=60))
def test_malformed_contract_raises_only_invalid_document(value):
    with pytest.raises(documents.InvalidDocument):
        if isinstance(value, bytes):
            contracts.decode(value)
        else:
            contracts.parse_toml(value, 'c.toml')


def test_all_violations_are_listed_with_file_key_and_value():
    text = """
account = 'Acme'
rate = 0
burts = 5
grants = ['draft@1', 'survey']
priority = 10
[current]
draft = 7
"""
    with pytest.raises(documents.InvalidDocument) as caught:
        contracts.parse_toml(text, 'acme.toml')
    found = {(v.file, v.key, v.value) for v in caught.value.violations}
    assert found == {
        ('acme.toml', 'account', "'Acme'"),
        ('acme.toml', 'rate', '0'),
        ('acme.toml', 'burts', '5'),
        ('acme.toml', 'grants[1]', "'survey'"),
        ('acme.toml', 'priority', '10'),
        ('acme.toml', 'current.draft', '7'),
        ('acme.toml', 'burst', ''),
    }


def test_current_version_must_be_granted():
    text = "account='a'\nrate=1\nburst=1\ngrants=['d@1']\ncurrent={d='2'}"
    with pytest.raises(documents.InvalidDocument, match='current.d'):
        contracts.parse_toml(text, 'a.toml')


@BOUNDED
@hypothesis.given(GRANTS, st.integers(1, 10**12), st.integers(0, 9))
def test_encoded_contract_decodes_unchanged(grants, rate, priority):
    contract = make_contract([*grants, 'a@1'], rate=rate, priority=priority)
    assert contracts.decode(contracts.encode(contract)) == contract
