"""Estimated contents of the engines' prefix caches.

The index contains the prompt parts that this node sent to each engine,
bounded in number and age. Engines cache parts separately for each adapter.
"""

import collections
from collections import abc

from mustardlb_gateway import domain

# More prompt parts than an engine can cache.
MAX_PARTS_PER_TARGET = 256

# Older parts are assumed to be evicted from the engine's cache.
PREFIX_TTL_SECONDS = 30.0

_Key = tuple[domain.AdapterName | None, str]


class PrefixIndex:
    """Prompt parts sent to each target, in order of last use."""

    def __init__(self, clock: abc.Callable[[], float]) -> None:
        self._clock = clock
        self._seen_by_target: dict[
            str, collections.OrderedDict[_Key, float]
        ] = {}

    def record(self, target_id: str, call: domain.Call) -> None:
        """Record that a target has prefilled the prompt of a call."""
        seen = self._seen_by_target.setdefault(
            target_id, collections.OrderedDict()
        )
        now = self._clock()
        for part in call.prompt_parts:
            key = (call.adapter, part.part_id)
            seen[key] = now
            seen.move_to_end(key)
        while len(seen) > MAX_PARTS_PER_TARGET:
            seen.popitem(last=False)

    def uncached_tokens(self, target_id: str, call: domain.Call) -> int:
        """Return the prompt tokens that a target would have to prefill."""
        seen = self._seen_by_target.get(target_id)
        uncached_tokens = call.prompt_tokens
        if not seen:
            return uncached_tokens
        since = self._clock() - PREFIX_TTL_SECONDS
        for part in call.prompt_parts:
            seen_at = seen.get((call.adapter, part.part_id))
            if seen_at is None or seen_at < since:
                break
            uncached_tokens -= part.tokens
        return max(0, uncached_tokens)

    def discard(self, target_id: str) -> None:
        """Discard the parts of a target that was removed or restarted."""
        self._seen_by_target.pop(target_id, None)
