"""Which parts of prompts an engine has probably kept.

A memory of what this node itself sent there, bounded in number and age; an
engine keeps parts apart for each adapter.
"""

import collections
from collections import abc

from mustardlb_gateway import domain

# Prompts remembered for each engine; more than its memory holds.
MAX_PARTS_PER_TARGET = 256

# Seconds after which a part counts as dropped.
PREFIX_TTL_SECONDS = 30.0

_Key = tuple[domain.AdapterName | None, str]


class PrefixIndex:
    """Parts of prompts by target, the oldest first."""

    def __init__(self, clock: abc.Callable[[], float]) -> None:
        self._clock = clock
        self._seen_by_target: dict[
            str, collections.OrderedDict[_Key, float]
        ] = {}

    def record(self, target_id: str, call: domain.Call) -> None:
        """Note that a target has read a call's prompt."""
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
        """Return the prompt tokens that a target would have to read."""
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
        """Forget a target that has gone or restarted."""
        self._seen_by_target.pop(target_id, None)
