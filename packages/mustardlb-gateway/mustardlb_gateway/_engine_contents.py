"""Resident adapters of an engine, pending loads and eviction order."""

from collections import abc
import dataclasses

from mustardlb_gateway import _adapter_usage
from mustardlb_gateway import domain

# An adapter is not evicted for this time after it is loaded or requested, and
# not before the digests of all nodes show the requests that use it. An engine
# accepts no other command while it waits to unload an adapter in use.
MIN_RESIDENCY_SECONDS = 0.4
DIGEST_MARGIN_RATIO = 1.25
DIGEST_MARGIN_SECONDS = 0.2

# Eviction candidates of a full engine are no longer advertised to the other
# nodes, which then send a load request before they use one. An eviction after
# the notice time does not affect requests on their way, because all nodes
# have received the new list by then.
EVICTION_CANDIDATES = 2
CANDIDATE_NOTICE_SECONDS = 0.35

USAGE_HALF_LIFE_SECONDS = 8.0

# An adapter that an urgent call has used within this time is evicted only
# after those that less urgent calls use.
URGENT_USE_SECONDS = 8.0


@dataclasses.dataclass(slots=True)
class Loading:
    """A pending load of an adapter.

    :ivar started_at: when the load was started, clock seconds
    :ivar version: requested version, 0 for the newest
    :ivar next_poll_at: when to poll for completion, clock seconds
    """

    started_at: float
    version: int
    next_poll_at: float


class EngineContents:
    """The adapters of one engine as known to its controller.

    :ivar resident: version of each resident model and adapter
    :ivar loading: pending loads by adapter
    """

    def __init__(
        self,
        target_id: str,
        clock: abc.Callable[[], float],
        is_in_use: abc.Callable[[str, domain.AdapterName], bool],
        load_age: abc.Callable[[], float],
    ) -> None:
        self._target_id = target_id
        self._clock = clock
        self._is_in_use = is_in_use
        self._load_age = load_age
        self.resident: dict[domain.AdapterName, int] = {}
        self.loading: dict[domain.AdapterName, Loading] = {}
        self._usage = _adapter_usage.AdapterUsage(USAGE_HALF_LIFE_SECONDS)
        self._reserved_at: dict[domain.AdapterName, float] = {}
        self._candidates_since: dict[domain.AdapterName, float] = {}
        # Most urgent priority of the recent uses, and when it was last seen.
        self._priority_and_time: dict[
            domain.AdapterName, tuple[int, float]
        ] = {}

    def touch(
        self, adapter: domain.AdapterName, priority: int | None = None
    ) -> None:
        """Record a use of an adapter and advertise it again.

        :param priority: priority of the call, None if it is not known
        """
        now = self._clock()
        self._usage.record(adapter, now)
        self._candidates_since.pop(adapter, None)
        if priority is None:
            return
        known = self._recent_priority(adapter, now)
        if known is None or priority <= known:
            self._priority_and_time[adapter] = priority, now

    def _recent_priority(
        self, adapter: domain.AdapterName, now: float
    ) -> int | None:
        """Return the most urgent priority of an adapter's recent uses."""
        priority, at = self._priority_and_time.get(adapter, (None, now))
        return priority if now - at <= URGENT_USE_SECONDS else None

    def reserve(self, adapter: domain.AdapterName) -> None:
        """Protect an adapter from eviction for a request on its way."""
        self._reserved_at[adapter] = self._clock()

    @property
    def min_residency(self) -> float:
        """Return how long a requested adapter is kept, in seconds."""
        return max(
            MIN_RESIDENCY_SECONDS,
            DIGEST_MARGIN_RATIO * self._load_age() + DIGEST_MARGIN_SECONDS,
        )

    def has(self, adapter: domain.AdapterName, version: int) -> bool:
        """Return whether an adapter is loaded in this or a newer version."""
        return (
            adapter in self.resident
            and self.resident[adapter] >= version
            and adapter not in self.loading
        )

    def is_in_use(self, adapter: domain.AdapterName) -> bool:
        """Return whether any node has a request in flight for an adapter."""
        return self._is_in_use(self._target_id, adapter)

    def apply_report(self, report: domain.EngineReport) -> None:
        """Replace the contents by those of an engine's report."""
        now = self._clock()
        self.resident = dict(report.resident)
        self.loading = {
            adapter: self.loading.get(adapter, Loading(now, 0, now))
            for adapter in report.loading
        }
        for adapter in self.resident:
            self._usage.add(adapter, now)

    def mark_loaded(self, adapter: domain.AdapterName, version: int) -> None:
        """Mark a pending load as complete."""
        self.loading.pop(adapter, None)
        self.resident[adapter] = version
        self.reserve(adapter)

    def is_full(
        self, engine: domain.EngineSpec, adapter: domain.AdapterName
    ) -> bool:
        """Return whether an adapter does not fit without an eviction."""
        occupied = {
            each for each in (*self.resident, *self.loading) if each.adapter
        }
        if len(occupied) >= engine.adapter_slots:
            return True
        models = engine.models_by_name
        used = sum(
            models[each.model].adapter_mb
            for each in occupied | {adapter}
            if each.model in models
        ) + sum(
            models[each.model].size_mb
            for each in self.resident
            if not each.adapter and each.model in models
        )
        return used > engine.memory_mb

    def advertised(self) -> dict[domain.AdapterName, int]:
        """Return the contents without the eviction candidates."""
        return {
            adapter: version
            for adapter, version in self.resident.items()
            if adapter not in self._candidates_since
        }

    def free_slots(
        self, slots: int, requested: abc.Collection[domain.AdapterName]
    ) -> int:
        """Return how many adapters fit beside the requested ones.

        Evictable adapters count as free slots. The result is negative if the
        requested adapters do not fit.
        """
        taken = {each for each in self.resident if each.adapter}
        taken -= set(self.evictable(requested))
        taken |= set(self.loading)
        return slots - len(taken) - len(set(requested) - taken)

    def evictable(
        self, requested: abc.Collection[domain.AdapterName]
    ) -> list[domain.AdapterName]:
        """Return the adapters that may be evicted, least used first."""
        now = self._clock()
        min_residency = self.min_residency
        evictable = [
            adapter
            for adapter in self.resident
            if adapter.adapter
            and adapter not in requested
            and adapter not in self.loading
            and now - self._reserved_at.get(adapter, 0.0) > min_residency
            and not self.is_in_use(adapter)
        ]
        return sorted(
            evictable, key=lambda each: self._usage.weight(each, now)
        )

    def choose_victim(
        self,
        requested: abc.Collection[domain.AdapterName],
        priority: int,
    ) -> domain.AdapterName | None:
        """Return the adapter to evict, preferably one not advertised.

        An adapter that more urgent calls have used lately is chosen only if
        there is no other.

        :param priority: priority of the call that needs the slot
        """
        evictable, urgent = self._split_urgent(
            self.evictable(requested), priority
        )
        evictable = evictable or urgent
        since = self._clock() - CANDIDATE_NOTICE_SECONDS
        for adapter in evictable:
            if self._candidates_since.get(adapter, since + 1) <= since:
                return adapter
        return evictable[0] if evictable else None

    def _split_urgent(
        self, adapters: list[domain.AdapterName], priority: int
    ) -> tuple[list[domain.AdapterName], list[domain.AdapterName]]:
        """Split off the adapters lately used by more urgent calls."""
        now = self._clock()
        others: list[domain.AdapterName] = []
        urgent: list[domain.AdapterName] = []
        for adapter in adapters:
            recent = self._recent_priority(adapter, now)
            is_urgent = recent is not None and recent < priority
            (urgent if is_urgent else others).append(adapter)
        return others, urgent

    def choose_candidates(
        self, slots: int, requested: abc.Collection[domain.AdapterName]
    ) -> None:
        """Update the eviction candidates of a nearly full engine."""
        now = self._clock()
        self._candidates_since = {
            adapter: since
            for adapter, since in self._candidates_since.items()
            if adapter in self.resident
        }
        self._reserved_at = {
            adapter: at
            for adapter, at in self._reserved_at.items()
            if now - at <= self.min_residency
        }
        self._priority_and_time = {
            adapter: (priority, at)
            for adapter, (priority, at) in self._priority_and_time.items()
            if now - at <= URGENT_USE_SECONDS
        }
        held = sum(1 for adapter in self.resident if adapter.adapter)
        missing = (
            EVICTION_CANDIDATES
            - max(0, slots - held)
            - len(self._candidates_since)
        )
        if missing <= 0:
            return
        least_urgent = max(
            (priority for priority, _ in self._priority_and_time.values()),
            default=0,
        )
        others, urgent = self._split_urgent(
            self.evictable(requested), least_urgent
        )
        for adapter in others + urgent:
            if missing <= 0:
                return
            if adapter not in self._candidates_since:
                self._candidates_since[adapter] = now
                missing -= 1
