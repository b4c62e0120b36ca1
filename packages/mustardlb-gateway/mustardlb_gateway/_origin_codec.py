"""Encoding of what nodes tell each other about where streams began."""

from typing import Any

from mustardlb_gateway import _messages
from mustardlb_gateway import _software_history


def encode_told(told: _messages.TellOrigins) -> list[dict[str, Any]]:
    """Return the fields of a list of `Origin`."""
    return [
        _origin_fields(origin) | {'streams': list(streams)}
        for origin, streams in told.streams_by_origin.items()
    ]


def _origin_fields(origin: _messages.Origin) -> dict[str, Any]:
    return {'service': origin.service, 'software': origin.software}


def encode_found(found: _messages.FoundOrigin) -> dict[str, Any]:
    """Return the fields of a `FoundOrigin`."""
    fields: dict[str, Any] = {
        'isFound': found.origin is not None,
        'possible': sorted(found.knowledge.possible),
        'isComplete': found.knowledge.is_complete,
    }
    if found.origin is not None:
        fields['origin'] = _origin_fields(found.origin)
    return fields


def decode_told(origins: Any) -> _messages.TellOrigins:
    """Return the message, from a list of `Origin`."""
    return _messages.TellOrigins(
        {_decode_origin(each): tuple(each.streams) for each in origins}
    )


def _decode_origin(origin: Any) -> _messages.Origin:
    return _messages.Origin(origin.service, origin.software)


def decode_found(found: Any) -> _messages.FoundOrigin:
    """Return the message, from a `FoundOrigin`."""
    return _messages.FoundOrigin(
        _decode_origin(found.origin) if found.isFound else None,
        _software_history.Knowledge(
            frozenset(found.possible), found.isComplete
        ),
    )
