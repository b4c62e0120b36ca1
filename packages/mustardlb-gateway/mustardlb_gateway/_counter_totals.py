"""Sums of counters whose sources may restart or be replaced."""

from collections import abc


class CounterTotals:
    """Counts by account, from sources that each count up from a start.

    What a source counted before it was first heard, or before it began
    anew, is left out, so that no sum ever jumps.

    >>> totals = CounterTotals()
    >>> totals.hear('vm1', 1, {'acme': 100.0})
    >>> totals.hear('vm1', 1, {'acme': 130.0})
    >>> totals.hear('vm1', 2, {'acme': 500.0})
    >>> totals.total
    {'acme': 30.0}
    """

    def __init__(self) -> None:
        self.total: dict[str, float] = {}
        self.by_source: dict[str, dict[str, float]] = {}
        self._last: dict[str, tuple[abc.Hashable, dict[str, float]]] = {}

    def hear(
        self, source: str, epoch: abc.Hashable, counts: dict[str, float]
    ) -> None:
        """Add what a source counted since it was last heard."""
        known = self._last.get(source)
        before = counts
        if known is not None and known[0] == epoch:
            before = known[1]
        own = self.by_source.setdefault(source, {})
        for account, count in counts.items():
            grown = count - before.get(account, 0.0)
            self.total[account] = self.total.get(account, 0.0) + grown
            own[account] = own.get(account, 0.0) + grown
        self._last[source] = (epoch, before | counts)

    def without(self, source: str) -> dict[str, float]:
        """Return the sums less what one source contributed."""
        own = self.by_source.get(source, {})
        return {
            account: total - own.get(account, 0.0)
            for account, total in self.total.items()
        }
