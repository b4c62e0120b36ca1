"""Saves the versions of software that services had lately in the store.

If all nodes start again, they know which versions may have begun the streams
that clients then resume.
"""

from collections import abc
from typing import Any

import trio

from mustardlb_gateway import _owners
from mustardlb_gateway import _saved_object
from mustardlb_gateway import _software_history
from mustardlb_gateway import ports

KIND = 'gateway-software'

SAVE_INTERVAL_SECONDS = 1.0

# Nodes that save a change, so that one may have stopped.
WRITERS = 2


async def sync(
    store: ports.Store,
    history: _software_history.SoftwareHistory,
    vm: str,
    live: abc.Callable[[], frozenset[str]],
    clock: abc.Callable[[], float],
) -> None:
    """Add the saved versions, then save changes until cancelled."""
    owners = _owners.Owners(vm, live, clock)
    history.add_saved(await _saved_object.load(store, KIND))
    while True:
        await trio.sleep(SAVE_INTERVAL_SECONDS)
        # A node that becomes a writer then saves what it knows.
        if vm not in owners.ranking(KIND)[:WRITERS]:
            continue
        fields = history.take_unsaved()
        if fields is not None:
            await _save(store, fields)


async def _save(store: ports.Store, fields: dict[str, list[str]]) -> None:
    def replace(saved: Any) -> dict[str, Any] | None:
        return None if saved == fields else fields

    await _saved_object.change(store, KIND, replace)
