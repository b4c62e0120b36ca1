"""Saves the versions of software that services had lately in the store.

If all nodes start again, they know which versions may have begun the streams
that clients then resume.
"""

from collections import abc
import random
from typing import Any

import structlog
import trio

from mustardlb_gateway import _owners
from mustardlb_gateway import _saved_object
from mustardlb_gateway import _software_history
from mustardlb_gateway import ports

log = structlog.get_logger()

KIND = 'gateway-software'

# Streams begin at a version beside others once it is saved, and all nodes may
# end at any moment, so that a change is saved soon.
SAVE_INTERVAL_SECONDS = 0.25

# Nodes that do not save look at this interval whether a new version is saved.
READ_INTERVAL_SECONDS = 1.0

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
    read_at = clock()
    while True:
        if history.must_load() and clock() >= read_at:
            read_at = clock() + READ_INTERVAL_SECONDS
            history.add_saved(await _saved_object.load(store, KIND))
        # A node that becomes a writer then saves what it knows.
        if vm in owners.ranking(KIND)[:WRITERS]:
            if history.must_save():
                await _save(store, history)
        elif history.has_unrecorded() and clock() >= read_at:
            read_at = clock() + READ_INTERVAL_SECONDS * random.uniform(0.5, 1)
            await _read(store, history)
        await trio.sleep(SAVE_INTERVAL_SECONDS)


async def _save(
    store: ports.Store, history: _software_history.SoftwareHistory
) -> None:
    snapshot = history.snapshot()
    fields: dict[str, Any] = {}

    # What is saved is decided at each attempt. What was to be saved before an
    # outage of the store may be out of date after it.
    def replace(saved: Any) -> dict[str, Any] | None:
        nonlocal snapshot, fields
        snapshot, fields = history.snapshot(), history.merged(saved)
        return None if fields == saved else fields

    await _saved_object.change(store, KIND, replace)
    history.mark_saved(fields, snapshot)


async def _read(
    store: ports.Store, history: _software_history.SoftwareHistory
) -> None:
    try:
        stored = await store.get(KIND, _saved_object.NAME)
    except ports.StoreUnavailable as error:
        log.info('MLB-6209', kind=KIND, call='get', problem=str(error))
        return
    history.record_saved(stored.spec if stored else None)
