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


def rejection_code(text, records):
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
def test_any_other_text_is_unauthenticated(text, position, character):
    key = keys.issue('acme', NOW)
    assert rejection_code(text, [key.record]) == errors.Code.UNAUTHENTICATED
    changed = key.text[:position] + character + key.text[position + 1 :]
    if changed != key.text:
        assert (
            rejection_code(changed, [key.record])
            == errors.Code.UNAUTHENTICATED
        )


def test_key_authenticates_only_its_own_account():
    ours, theirs = keys.issue('acme', NOW), keys.issue('other', NOW)
    by_id = {k.record.key_id: k.record for k in (ours, theirs)}
    assert keys.authenticate(ours.text, by_id).account == 'acme'
    mixed = theirs.text[:21] + ours.text[21:]
    assert rejection_code(mixed, by_id.values()) == errors.Code.UNAUTHENTICATED


def test_withdrawal_is_reported_only_for_the_complete_key():
    key = keys.issue('acme', NOW)
    withdrawn = msgspec.structs.replace(key.record, withdrawn_at=NOW)
    assert rejection_code(key.text, [withdrawn]) == errors.Code.KEY_WITHDRAWN
    guess = f'mlb_{withdrawn.key_id}_{secrets.token_urlsafe(32)}'
    assert rejection_code(guess, [withdrawn]) == errors.Code.UNAUTHENTICATED


def test_secret_is_neither_stored_nor_in_repr():
    key = keys.issue('acme', NOW)
    secret = key.text.split('_', 2)[2]
    assert secret not in keys.encode([key.record]).decode()
    assert secret not in repr(key)
    assert keys.decode(keys.encode([key.record])) == (key.record,)
