"""Differences between a stored object and its rejected replacement."""

import dataclasses

import msgspec

# Longer values are truncated in output.
MAX_DISPLAYED_CHARACTERS = 200


@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """A key whose values differ between two versions of an object.

    :ivar name: name of the object
    :ivar key: top-level key, '' for an object that is not a JSON object
    :ivar stored: the stored value, shortened JSON, '' if there is none
    :ivar wanted: the value of the rejected change, in the same form
    """

    name: str
    key: str
    stored: str
    wanted: str


def compare(
    name: str, stored: bytes | None, new: bytes | None
) -> tuple[Difference, ...]:
    """Return the top-level keys in which two versions differ."""
    old_values, new_values = _top_level(stored), _top_level(new)
    return tuple(
        Difference(
            name, key, _shorten(old_values, key), _shorten(new_values, key)
        )
        for key in sorted(old_values.keys() | new_values.keys())
        if old_values.get(key, msgspec.UNSET)
        != new_values.get(key, msgspec.UNSET)
    )


def _top_level(value: bytes | None) -> dict[str, object]:
    if value is None:
        return {}
    try:
        raw = msgspec.json.decode(value)
    except msgspec.MsgspecError:
        return {'': value.hex()}
    return raw if isinstance(raw, dict) else {'': raw}


def _shorten(values: dict[str, object], key: str) -> str:
    if key not in values:
        return ''
    text = msgspec.json.encode(values[key]).decode()
    return (
        text
        if len(text) <= MAX_DISPLAYED_CHARACTERS
        else text[:MAX_DISPLAYED_CHARACTERS] + '...'
    )
