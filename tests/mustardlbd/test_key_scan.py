"""The scanner forwards no byte of a key and all other data unchanged."""

import re

import hypothesis
from hypothesis import strategies as st
import pytest

from mustardlbd import _key_scan

KEY = 'mlb_0123456789abcdef_' + 'Zx-7_qM2' * 5 + 'abC'
SECRET = _key_scan.secret_of(KEY)

SETTINGS = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=150
)


def escaped(text, forms):
    """Escape the characters in these forms, which are used in turn."""
    written = []
    for index, character in enumerate(text):
        form = forms[index % len(forms)]
        written.append(form.format(c=character, x=f'{ord(character):02x}'))
    return ''.join(written)


FORMS = st.lists(
    st.sampled_from(
        ['{c}', '%{x}', '%25{x}', '%2525{x}', '\\u00{x}', '\\\\u00{x}']
    ),
    min_size=1,
    max_size=4,
)

# Texts with many incomplete keys and escapes.
NOISE = st.lists(
    st.sampled_from(
        [
            KEY[:30],
            KEY[:-1],
            SECRET.decode()[:20],
            'mlb_',
            '%',
            '%2',
            '%6',
            '\\',
            '\\u00',
            'm',
            'x',
            '{"a": 1}',
        ]
    ),
    max_size=6,
).map(''.join)


def feed(data, cuts):
    scanner = _key_scan.Scanner(SECRET)
    sent = b''
    positions = sorted({cut % (len(data) + 1) for cut in cuts})
    for start, end in zip(
        [0, *positions], [*positions, len(data)], strict=True
    ):
        try:
            sent += scanner.feed(data[start:end])
        except _key_scan.KeyFound:
            return sent, True
    return sent + scanner.finish(), False


# The source of a derandomized test, without its comments, is its seed. An
# edit of the names or the code below changes the examples that are drawn.
@SETTINGS
@hypothesis.given(
    NOISE, NOISE, FORMS, st.booleans(), st.lists(st.integers(0, 900))
)
def test_no_byte_of_a_key_is_sent(before, after, forms, whole, cuts):
    text = KEY if whole else SECRET.decode()
    data = (before + escaped(text, forms) + after).encode()
    sent, found = feed(data, cuts)
    assert found
    # The last characters before a key are buffered if they may start an
    # escape.
    assert len(sent) <= len(before.encode())
    assert before.encode().startswith(sent)


@SETTINGS
@hypothesis.given(NOISE, NOISE, st.lists(st.integers(0, 900)))
def test_everything_else_is_sent_whole(one, other, cuts):
    data = (one + '~' + other).encode()
    hypothesis.assume(not _key_scan.contains_key(data, SECRET))
    assert feed(data, cuts) == (data, False)


@SETTINGS
@hypothesis.given(st.binary(max_size=300), st.lists(st.integers(0, 300)))
def test_binary_is_sent_whole(data, cuts):
    assert feed(data, cuts) == (data, False)


def test_only_possible_keys_are_buffered():
    scanner = _key_scan.Scanner(SECRET)
    assert scanner.feed(b'a body that ends here') == b'a body that ends here'
    # A possible start of a key is buffered until more data arrives.
    assert scanner.feed(b'and then mlb_') == b'and then '
    assert scanner.feed(b' no key') == b'mlb_ no key'


@pytest.mark.parametrize('size', [1, 10, 200])
def test_key_split_over_blocks_is_found(size):
    data = f'x{KEY}x'.encode()
    blocks = re.findall(b'.{1,%d}' % size, data)
    naive = any(_key_scan.contains_key(block, SECRET) for block in blocks)
    assert naive is (size == 200)
    assert feed(data, range(0, len(data), size))[1]
