"""Metrics of callers' requests: statsd counters and timers, histograms."""

import dataclasses
from typing import Any

from hdrh import histogram
import statsd

# Account and class of requests on routes open to all.
PUBLIC = 'open'

# Range of the histograms, microseconds, and their significant digits.
_LOWEST = 1
_HIGHEST = 3_600_000_000
_DIGITS = 2

_MICROSECONDS = 1_000_000
_PERCENTILES = (50, 90, 99, 99.9)


@dataclasses.dataclass(slots=True)
class _Histograms:
    """Times of the requests of one account and class, microseconds.

    :ivar first_byte: from the request to the answer's first block
    :ivar between: from one block of a stream to the next
    :ivar total: from the request to the answer's end
    """

    first_byte: Any = dataclasses.field(default_factory=lambda: _histogram())
    between: Any = dataclasses.field(default_factory=lambda: _histogram())
    total: Any = dataclasses.field(default_factory=lambda: _histogram())


class Metrics:
    """What is measured of callers' requests."""

    def __init__(self, client: statsd.StatsClient | None = None) -> None:
        self._statsd = client
        self._histograms_by_key: dict[tuple[str, str], _Histograms] = {}

    def histograms(self, account: str, traffic_class: str) -> _Histograms:
        """Return the histograms of an account and class."""
        key = (account, traffic_class)
        found = self._histograms_by_key.get(key)
        if found is None:
            found = self._histograms_by_key[key] = _Histograms()
        return found

    def count(self, account: str, outcome: str) -> None:
        """Count an answered request by account and status or error code."""
        if self._statsd is not None:
            self._statsd.incr(f'requests.{account}.{outcome}')

    def time(self, account: str, measure: str, seconds: float) -> None:
        """Send one time of a request."""
        if self._statsd is not None:
            self._statsd.timing(f'{measure}.{account}', seconds * 1000)

    def describe(self) -> list[dict[str, Any]]:
        """Return every histogram that is not empty, in seconds."""
        described = []
        for (account, traffic_class), found in sorted(
            self._histograms_by_key.items()
        ):
            for field in dataclasses.fields(_Histograms):
                one = getattr(found, field.name)
                if not one.get_total_count():
                    continue
                described.append(
                    {
                        'account': account,
                        'traffic_class': traffic_class,
                        'measure': field.name,
                    }
                    | _describe(one)
                )
        return described


class RequestTimer:
    """The times of one request."""

    def __init__(
        self, metrics: Metrics, account: str, traffic_class: str, now: float
    ) -> None:
        self._metrics = metrics
        self._account = account
        self._histograms = metrics.histograms(account, traffic_class)
        self._record_between = self._histograms.between.record_value
        self._began = now
        self._last: float | None = None

    def record_block(self, now: float) -> None:
        """Note that a block of the answer went out."""
        last, self._last = self._last, now
        if last is not None:
            self._record_between(int((now - last) * _MICROSECONDS) + 1)
            return
        seconds = now - self._began
        self._histograms.first_byte.record_value(_microseconds(seconds))
        self._metrics.time(self._account, 'first_byte', seconds)

    def record_end(self, outcome: str, now: float) -> None:
        """Note the end of the request."""
        seconds = now - self._began
        self._histograms.total.record_value(_microseconds(seconds))
        self._metrics.time(self._account, 'total', seconds)
        self._metrics.count(self._account, outcome)


def _histogram() -> Any:
    return histogram.HdrHistogram(_LOWEST, _HIGHEST, _DIGITS)


def _microseconds(seconds: float) -> int:
    return max(_LOWEST, min(int(seconds * _MICROSECONDS), _HIGHEST))


def _describe(one: Any) -> dict[str, Any]:
    values = {
        f'p{percentile}': one.get_value_at_percentile(percentile)
        / _MICROSECONDS
        for percentile in _PERCENTILES
    }
    return {
        'count': one.get_total_count(),
        **values,
        'max': one.get_max_value() / _MICROSECONDS,
    }
