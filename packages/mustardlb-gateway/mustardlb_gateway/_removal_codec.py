"""Encoding of what nodes tell each other about removed registrations."""

from typing import Any

from mustardlb_gateway import _messages
from mustardlb_gateway import _removals


def encode_found(found: _messages.FoundRemovals) -> list[dict[str, Any]]:
    """Return the fields of a list of `Removal`."""
    return [
        {
            'target': removal.target_id,
            'incarnation': removal.incarnation,
            'epoch': removal.epoch,
            'revision': removal.revision,
        }
        for removal in found.removals
    ]


def decode_found(removals: Any) -> _messages.FoundRemovals:
    """Return the message, from a list of `Removal`."""
    return _messages.FoundRemovals(
        tuple(
            _removals.Removal(
                each.target, each.incarnation, each.epoch, each.revision
            )
            for each in removals
        )
    )
