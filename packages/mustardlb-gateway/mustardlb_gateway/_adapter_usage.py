"""Exponentially decaying use counts of adapters."""

from mustardlb_gateway import domain

# Many times the adapter slots of an engine.
MAX_ADAPTERS = 4096


class AdapterUsage:
    """Use counts by adapter, halved in each half-life.

    >>> usage = AdapterUsage(10.0)
    >>> adapter = domain.AdapterName('m', 'a')
    >>> usage.record(adapter, 0.0)
    >>> usage.record(adapter, 10.0)
    >>> usage.weight(adapter, 20.0)
    0.75
    """

    def __init__(self, half_life: float) -> None:
        self._half_life = half_life
        self._weight_and_time: dict[
            domain.AdapterName, tuple[float, float]
        ] = {}

    def record(self, adapter: domain.AdapterName, now: float) -> None:
        """Record a use of an adapter."""
        self._weight_and_time[adapter] = (
            self.weight(adapter, now) + 1.0,
            now,
        )
        if len(self._weight_and_time) > MAX_ADAPTERS:
            self._evict_least_used(now)

    def add(self, adapter: domain.AdapterName, now: float) -> None:
        """Add an adapter with no recorded use."""
        self._weight_and_time.setdefault(adapter, (0.0, now))

    def weight(self, adapter: domain.AdapterName, now: float) -> float:
        """Return the decayed use count of an adapter."""
        weight, since = self._weight_and_time.get(adapter, (0.0, now))
        return weight * 0.5 ** ((now - since) / self._half_life)

    def _evict_least_used(self, now: float) -> None:
        """Remove the less used half of the adapters."""
        by_weight = sorted(
            self._weight_and_time, key=lambda each: self.weight(each, now)
        )
        for adapter in by_weight[: len(by_weight) // 2]:
            del self._weight_and_time[adapter]
