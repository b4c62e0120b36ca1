"""What differs between a stored object and one that was to replace it."""

import dataclasses

import msgspec

# Longest value that is shown, characters.
SHOWN_LIMIT = 200


@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """A key of an object on which two operators differ.

    :ivar stored: the stored value, shortened JSON, '' where there is none
    :ivar wanted: the value of the change that was refused
    """

    name: str
    key: str
    stored: str
    wanted: str


def compare(
    name: str, stored: bytes | None, wanted: bytes | None
) -> tuple[Difference, ...]:
    """List the keys in which two versions of an object differ."""
    old, new = _top_level(stored), _top_level(wanted)
    return tuple(
        Difference(name, key, _shorten(old, key), _shorten(new, key))
        for key in sorted(old.keys() | new.keys())
        if old.get(key, msgspec.UNSET) != new.get(key, msgspec.UNSET)
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
    return text if len(text) <= SHOWN_LIMIT else text[:SHOWN_LIMIT] + '...'
