"""Sums of counters that may be reset."""

from collections import abc


class CounterTotals:
    """Sums by account over sources with monotonic counters.

    The first counters of a source, or of a new epoch after a reset, add
    nothing, so that the sums do not jump.

    >>> totals = CounterTotals()
    >>> totals.update('vm1', 1, {'acme': 100.0})
    >>> totals.update('vm1', 1, {'acme': 130.0})
    >>> totals.update('vm1', 2, {'acme': 500.0})
    >>> totals.total_by_account
    {'acme': 30.0}
    """

    def __init__(self) -> None:
        self.total_by_account: dict[str, float] = {}
        self.total_by_source: dict[str, dict[str, float]] = {}
        self._last_by_source: dict[
            str, tuple[abc.Hashable, dict[str, float]]
        ] = {}

    def update(
        self, source: str, epoch: abc.Hashable, counts: dict[str, float]
    ) -> None:
        """Add the increase since the last counters of a source."""
        previous = self._last_by_source.get(source)
        before = counts
        if previous is not None and previous[0] == epoch:
            before = previous[1]
        own = self.total_by_source.setdefault(source, {})
        for account, count in counts.items():
            increase = count - before.get(account, 0.0)
            self.total_by_account[account] = (
                self.total_by_account.get(account, 0.0) + increase
            )
            own[account] = own.get(account, 0.0) + increase
        self._last_by_source[source] = (epoch, before | counts)

    def total_without(self, source: str) -> dict[str, float]:
        """Return the sums without the part of one source."""
        own = self.total_by_source.get(source, {})
        return {
            account: total - own.get(account, 0.0)
            for account, total in self.total_by_account.items()
        }
