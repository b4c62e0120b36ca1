"""What an engine holds, what it is loading, and what goes next."""

from collections import abc
import dataclasses

from mustardlb_gateway import _adapter_usage
from mustardlb_gateway import domain

# Seconds that an adapter is kept after it came or was asked for: until the
# digests tell that the requests that it was loaded for use it.
MIN_RESIDENCY_SECONDS = 0.4

# Adapters of a full engine that are to go next. The other nodes are no longer
# told of them, so that an eviction meets no request on its way, and ask for
# them first; after this many seconds all of them know.
EVICTION_CANDIDATES = 2
CANDIDATE_NOTICE_SECONDS = 0.35

# Seconds in which half of an adapter's past use is forgotten.
USAGE_HALF_LIFE_SECONDS = 8.0


@dataclasses.dataclass(slots=True)
class Loading:
    """An adapter in transit.

    :ivar ordered_at: when it was ordered, clock seconds
    :ivar version: that was asked for, 0 for the newest
    :ivar ask_at: when to ask whether it has arrived
    """

    ordered_at: float
    version: int
    next_poll_at: float


class EngineContents:
    """The adapters of one engine, as its keeper knows them.

    :ivar resident: version of each model and adapter that it holds
    :ivar loading: adapters in transit
    """

    def __init__(
        self,
        target_id: str,
        clock: abc.Callable[[], float],
        is_in_use: abc.Callable[[str, domain.AdapterName], bool],
    ) -> None:
        self._target_id = target_id
        self._clock = clock
        self._is_in_use = is_in_use
        self.resident: dict[domain.AdapterName, int] = {}
        self.loading: dict[domain.AdapterName, Loading] = {}
        self._usage = _adapter_usage.AdapterUsage(USAGE_HALF_LIFE_SECONDS)
        self._reserved_at: dict[domain.AdapterName, float] = {}
        self._candidates_since: dict[domain.AdapterName, float] = {}

    def touch(self, adapter: domain.AdapterName) -> None:
        """Note that an adapter is used."""
        self._usage.record(adapter, self._clock())
        self._candidates_since.pop(adapter, None)

    def reserve(self, adapter: domain.AdapterName) -> None:
        """Note that an adapter is kept for a request on its way."""
        self._reserved_at[adapter] = self._clock()

    def has(self, adapter: domain.AdapterName, version: int) -> bool:
        """Whether an adapter is in place, at least that version."""
        return (
            adapter in self.resident
            and self.resident[adapter] >= version
            and adapter not in self.loading
        )

    def is_in_use(self, adapter: domain.AdapterName) -> bool:
        """Whether any node has a request in flight for an adapter."""
        return self._is_in_use(self._target_id, adapter)

    def apply_report(self, report: domain.EngineReport) -> None:
        """Take what the engine says that it holds."""
        now = self._clock()
        self.resident = dict(report.resident)
        self.loading = {
            adapter: self.loading.get(adapter, Loading(now, 0, now))
            for adapter in report.loading
        }
        for adapter in self.resident:
            self._usage.add(adapter, now)

    def mark_loaded(self, adapter: domain.AdapterName, version: int) -> None:
        """Note that an adapter is in place now."""
        self.loading.pop(adapter, None)
        self.resident[adapter] = version
        self.reserve(adapter)

    def is_full(
        self, engine: domain.EngineSpec, adapter: domain.AdapterName
    ) -> bool:
        """Whether an adapter does not fit beside what is there."""
        held = {
            each for each in (*self.resident, *self.loading) if each.adapter
        }
        if len(held) >= engine.adapter_slots:
            return True
        models = engine.models_by_name
        used = sum(
            models[each.model].adapter_mb
            for each in held | {adapter}
            if each.model in models
        ) + sum(
            models[each.model].size_mb
            for each in self.resident
            if not each.adapter and each.model in models
        )
        return used > engine.memory_mb

    def advertised(self) -> dict[domain.AdapterName, int]:
        """Return what other nodes may use without asking."""
        return {
            adapter: version
            for adapter, version in self.resident.items()
            if adapter not in self._candidates_since
        }

    def free_slots(
        self, slots: int, requested: abc.Collection[domain.AdapterName]
    ) -> int:
        """Return how many adapters fit now, less those that wait."""
        taken = {each for each in self.resident if each.adapter}
        taken -= set(self.evictable(requested))
        taken |= set(self.loading)
        return slots - len(taken) - len(set(requested) - taken)

    def evictable(
        self, requested: abc.Collection[domain.AdapterName]
    ) -> list[domain.AdapterName]:
        """Return the adapters that may be evicted, the least used first."""
        now = self._clock()
        evictable = [
            adapter
            for adapter in self.resident
            if adapter.adapter
            and adapter not in requested
            and adapter not in self.loading
            and now - self._reserved_at.get(adapter, 0.0)
            > MIN_RESIDENCY_SECONDS
            and not self.is_in_use(adapter)
        ]
        return sorted(
            evictable, key=lambda each: self._usage.weight(each, now)
        )

    def choose_victim(
        self, requested: abc.Collection[domain.AdapterName]
    ) -> domain.AdapterName | None:
        """Return the adapter to evict, one of which nobody knows if any."""
        evictable = self.evictable(requested)
        since = self._clock() - CANDIDATE_NOTICE_SECONDS
        for adapter in evictable:
            if self._candidates_since.get(adapter, since + 1) <= since:
                return adapter
        return evictable[0] if evictable else None

    def choose_candidates(
        self, slots: int, requested: abc.Collection[domain.AdapterName]
    ) -> None:
        """Choose what goes next while the engine is full."""
        now = self._clock()
        self._candidates_since = {
            adapter: since
            for adapter, since in self._candidates_since.items()
            if adapter in self.resident
        }
        self._reserved_at = {
            adapter: at
            for adapter, at in self._reserved_at.items()
            if now - at <= MIN_RESIDENCY_SECONDS
        }
        held = sum(1 for adapter in self.resident if adapter.adapter)
        missing = (
            EVICTION_CANDIDATES
            - max(0, slots - held)
            - len(self._candidates_since)
        )
        for adapter in self.evictable(requested):
            if missing <= 0:
                return
            if adapter not in self._candidates_since:
                self._candidates_since[adapter] = now
                missing -= 1
