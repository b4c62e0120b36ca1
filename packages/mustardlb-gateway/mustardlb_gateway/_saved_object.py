"""What the nodes keep in the store for the time when all of them have ended.

Each kind has one object, which any node changes by conditional writes.
"""

from collections import abc
import random
from typing import Any

import structlog
import trio

from mustardlb_gateway import ports

log = structlog.get_logger()

NAME = 'current'

RETRY_SECONDS = 0.5


async def load(store: ports.Store, kind: str) -> Any:
    """Return the saved fields, None if there are none, once they are read."""
    while True:
        try:
            stored = await store.get(kind, NAME)
        except ports.StoreUnavailable as error:
            log.info('MLB-6209', kind=kind, call='get', problem=str(error))
            await _sleep_before_retry()
            continue
        return stored.spec if stored else None


async def change(
    store: ports.Store,
    kind: str,
    changed: abc.Callable[[Any], dict[str, Any] | None],
) -> None:
    """Replace the saved fields by `changed(fields)` unless that is None."""
    while True:
        try:
            if await _try_change(store, kind, changed):
                return
        except ports.StoreUnavailable as error:
            log.info('MLB-6209', kind=kind, call='replace', problem=str(error))
        await _sleep_before_retry()


async def _try_change(
    store: ports.Store,
    kind: str,
    changed: abc.Callable[[Any], dict[str, Any] | None],
) -> bool:
    stored = await store.get(kind, NAME)
    fields = changed(stored.spec if stored else None)
    if fields is None:
        return True
    try:
        if stored is None:
            await store.create(kind, NAME, fields)
        else:
            await store.replace(kind, NAME, fields, stored.revision)
    except ports.Conflict:
        # Another node has changed it at the same time.
        return False
    return True


async def _sleep_before_retry() -> None:
    await trio.sleep(RETRY_SECONDS * random.uniform(0.5, 1.5))
