import datetime
import secrets

import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest

from mustardlb import errors
from mustardlb import keys

NOW = datetime.datetime(2026, 1, 2, tzinfo=datetime.UTC)
BOUNDED = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=300
)


def code_of(text, records):
    with pytest.raises(errors.Error) as caught:
        keys.authenticate(text, {r.key_id: r for r in records})
    assert caught.value.not_run
    return caught.value.code


@BOUNDED
@hypothesis.given(
    st.none() | st.text() | st.binary(),
    st.integers(0, 63),
    st.characters(),
)
def test_anything_but_the_key_is_unauthenticated(text, place, character):
    key = keys.issue('acme', NOW)
    assert code_of(text, [key.record]) == errors.Code.UNAUTHENTICATED
    changed = key.text[:place] + character + key.text[place + 1 :]
    if changed != key.text:
        assert code_of(changed, [key.record]) == errors.Code.UNAUTHENTICATED


def test_a_key_is_its_accounts_and_only_its_accounts():
    ours, theirs = keys.issue('acme', NOW), keys.issue('other', NOW)
    by_id = {k.record.key_id: k.record for k in (ours, theirs)}
    assert keys.authenticate(ours.text, by_id).account == 'acme'
    mixed = theirs.text[:21] + ours.text[21:]
    assert code_of(mixed, by_id.values()) == errors.Code.UNAUTHENTICATED


def test_only_the_holder_learns_that_a_key_was_withdrawn():
    key = keys.issue('acme', NOW)
    gone = msgspec.structs.replace(key.record, withdrawn_at=NOW)
    assert code_of(key.text, [gone]) == errors.Code.KEY_WITHDRAWN
    guess = f'mlb_{gone.key_id}_{secrets.token_urlsafe(32)}'
    assert code_of(guess, [gone]) == errors.Code.UNAUTHENTICATED


def test_the_secret_is_neither_stored_nor_shown():
    key = keys.issue('acme', NOW)
    secret = key.text.split('_', 2)[2]
    assert secret not in keys.encode([key.record]).decode()
    assert secret not in repr(key)
    assert keys.decode(keys.encode([key.record])) == (key.record,)
