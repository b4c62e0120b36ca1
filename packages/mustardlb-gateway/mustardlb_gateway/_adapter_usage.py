"""How much each adapter was used, the recent past counting most."""

from mustardlb_gateway import domain

# Adapters remembered; many times the slots of an engine.
MAX_ADAPTERS = 4096


class AdapterUsage:
    """Uses by adapter, halved after each half-life.

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
        """Note a use."""
        self._weight_and_time[adapter] = (
            self.weight(adapter, now) + 1.0,
            now,
        )
        if len(self._weight_and_time) > MAX_ADAPTERS:
            self._evict_least_used(now)

    def add(self, adapter: domain.AdapterName, now: float) -> None:
        """Note an adapter of which no use is known."""
        self._weight_and_time.setdefault(adapter, (0.0, now))

    def weight(self, adapter: domain.AdapterName, now: float) -> float:
        """Return how much an adapter was used."""
        weight, since = self._weight_and_time.get(adapter, (0.0, now))
        return weight * 0.5 ** ((now - since) / self._half_life)

    def _evict_least_used(self, now: float) -> None:
        """Drop the less used half."""
        by_weight = sorted(
            self._weight_and_time, key=lambda each: self.weight(each, now)
        )
        for adapter in by_weight[: len(by_weight) // 2]:
            del self._weight_and_time[adapter]
