"""Request metrics: statsd counters and timers, and histograms."""

import dataclasses
from typing import Any

from hdrh import histogram
import statsd

# Account and traffic class of requests on public routes, which need no key.
PUBLIC = 'open'

# Range and precision of the histograms.
_MIN_MICROSECONDS = 1
_MAX_MICROSECONDS = 3_600_000_000
_SIGNIFICANT_DIGITS = 2

_MICROSECONDS_PER_SECOND = 1_000_000
_PERCENTILES = (50, 90, 99, 99.9)


@dataclasses.dataclass(slots=True)
class _Histograms:
    """Latencies of one account and traffic class, in microseconds.

    :ivar first_byte: from the request to the first block of the response
    :ivar between: from one block of a stream to the next
    :ivar total: from the request to the end of the response
    """

    first_byte: Any = dataclasses.field(
        default_factory=lambda: _make_histogram()
    )
    between: Any = dataclasses.field(default_factory=lambda: _make_histogram())
    total: Any = dataclasses.field(default_factory=lambda: _make_histogram())


class Metrics:
    """Counters and latency histograms of the requests of callers."""

    def __init__(self, client: statsd.StatsClient | None = None) -> None:
        self._statsd = client
        self._histograms_by_key: dict[tuple[str, str], _Histograms] = {}

    def histograms(self, account: str, traffic_class: str) -> _Histograms:
        """Return the histograms of an account and a traffic class."""
        key = (account, traffic_class)
        histograms = self._histograms_by_key.get(key)
        if histograms is None:
            histograms = self._histograms_by_key[key] = _Histograms()
        return histograms

    def count(self, account: str, outcome: str) -> None:
        """Count a completed request by its account and its outcome."""
        if self._statsd is not None:
            self._statsd.incr(f'requests.{account}.{outcome}')

    def time(self, account: str, measure: str, seconds: float) -> None:
        """Send one duration of a request to statsd."""
        if self._statsd is not None:
            self._statsd.timing(f'{measure}.{account}', seconds * 1000)

    def describe(self) -> list[dict[str, Any]]:
        """Return summaries of the non-empty histograms, in seconds."""
        described = []
        for (account, traffic_class), histograms in sorted(
            self._histograms_by_key.items()
        ):
            for field in dataclasses.fields(_Histograms):
                recorded = getattr(histograms, field.name)
                if not recorded.get_total_count():
                    continue
                described.append(
                    {
                        'account': account,
                        'traffic_class': traffic_class,
                        'measure': field.name,
                    }
                    | _summarize(recorded)
                )
        return described


class RequestTimer:
    """Records the latencies of one request."""

    def __init__(
        self, metrics: Metrics, account: str, traffic_class: str, now: float
    ) -> None:
        self._metrics = metrics
        self._account = account
        self._histograms = metrics.histograms(account, traffic_class)
        self._record_between = self._histograms.between.record_value
        self._started_at = now
        self._last_block_at: float | None = None

    def record_block(self, now: float) -> None:
        """Record the time at which a block of the response was sent."""
        previous, self._last_block_at = self._last_block_at, now
        if previous is not None:
            self._record_between(
                int((now - previous) * _MICROSECONDS_PER_SECOND) + 1
            )
            return
        seconds = now - self._started_at
        self._histograms.first_byte.record_value(
            _clamped_microseconds(seconds)
        )
        self._metrics.time(self._account, 'first_byte', seconds)

    def record_end(self, outcome: str, now: float) -> None:
        """Record the outcome and the end of the request."""
        seconds = now - self._started_at
        self._histograms.total.record_value(_clamped_microseconds(seconds))
        self._metrics.time(self._account, 'total', seconds)
        self._metrics.count(self._account, outcome)


def _make_histogram() -> Any:
    return histogram.HdrHistogram(
        _MIN_MICROSECONDS, _MAX_MICROSECONDS, _SIGNIFICANT_DIGITS
    )


def _clamped_microseconds(seconds: float) -> int:
    return max(
        _MIN_MICROSECONDS,
        min(int(seconds * _MICROSECONDS_PER_SECOND), _MAX_MICROSECONDS),
    )


def _summarize(recorded: Any) -> dict[str, Any]:
    values = {
        f'p{percentile}': recorded.get_value_at_percentile(percentile)
        / _MICROSECONDS_PER_SECOND
        for percentile in _PERCENTILES
    }
    return {
        'count': recorded.get_total_count(),
        **values,
        'max': recorded.get_max_value() / _MICROSECONDS_PER_SECOND,
    }
