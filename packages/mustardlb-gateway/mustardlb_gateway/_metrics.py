"""Request counters and latency histograms in the Prometheus text format."""

from collections import abc

import prometheus_client
import trio

from mustardlb_gateway import http_server

# The bounds range from responses of plain services to the longest streams.
BUCKET_BOUNDS_SECONDS = (
    0.01,
    0.025,
    0.05,
    0.1,
    0.2,
    0.4,
    0.8,
    1,
    1.5,
    2,
    3,
    5,
    10,
    20,
)

CONTENT_TYPE = b'text/plain; version=0.0.4'


class Metrics:
    """Metrics of the requests by account and route.

    :ivar count_waiting: returns the waiting calls by service and priority
    """

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self._gauge_registry = prometheus_client.CollectorRegistry()
        self._requests = prometheus_client.Counter(
            'mustardlb_requests',
            'Requests by account, route and outcome.',
            ['account', 'route', 'outcome'],
            registry=self.registry,
        )
        self._refusals = prometheus_client.Counter(
            'mustardlb_refusals',
            'Refusals and failures by code.',
            ['code'],
            registry=self.registry,
        )
        self._first_byte = prometheus_client.Histogram(
            'mustardlb_first_byte_seconds',
            'Time to the first byte of an answer.',
            ['route'],
            buckets=BUCKET_BOUNDS_SECONDS,
            registry=self.registry,
        )
        self._total = prometheus_client.Histogram(
            'mustardlb_request_seconds',
            'Time to the end of an answer.',
            ['route'],
            buckets=BUCKET_BOUNDS_SECONDS,
            registry=self.registry,
        )

        self._waits = prometheus_client.Histogram(
            'mustardlb_wait_seconds',
            'Time for which calls waited for a target.',
            ['service', 'priority'],
            buckets=BUCKET_BOUNDS_SECONDS,
            registry=self.registry,
        )
        self._rejections = prometheus_client.Counter(
            'mustardlb_rejections',
            'Calls that were rejected because they would wait too long.',
            ['service', 'priority', 'reason'],
            registry=self.registry,
        )
        self._waiting = prometheus_client.Gauge(
            'mustardlb_waiting_calls',
            'Calls in the queue of this node.',
            ['service', 'priority'],
            registry=self._gauge_registry,
        )
        self.count_waiting: abc.Callable[[], dict[tuple[str, int], int]] = dict

    def observe_request(
        self,
        account: str,
        route: str,
        outcome: str,
        first_byte: float,
        total: float,
    ) -> None:
        """Record one request; times are in seconds."""
        self._requests.labels(account, route, outcome).inc()
        self._first_byte.labels(route).observe(first_byte)
        self._total.labels(route).observe(total)

    def observe_wait(
        self, service: str, priority: int, seconds: float
    ) -> None:
        """Record how long a call waited until a target was available."""
        self._waits.labels(service, priority).observe(seconds)

    def count_rejection(
        self, service: str, priority: int, reason: str
    ) -> None:
        """Count a call that was rejected because of its wait."""
        self._rejections.labels(service, priority, reason).inc()

    def count_error(self, code: str) -> None:
        """Count a request that was rejected or failed."""
        self._refusals.labels(code).inc()

    def add_gauge(
        self, name: str, text: str, labels: abc.Sequence[str] = ()
    ) -> prometheus_client.Gauge:
        """Register and return a gauge; `text` is its help text."""
        return prometheus_client.Gauge(
            name, text, labels, registry=self._gauge_registry
        )

    def add_histogram(
        self, name: str, text: str
    ) -> prometheus_client.Histogram:
        """Register and return a histogram of seconds."""
        return prometheus_client.Histogram(
            name,
            text,
            buckets=BUCKET_BOUNDS_SECONDS,
            registry=self._gauge_registry,
        )

    async def serve(
        self, request: http_server.Request, reply: http_server.Reply
    ) -> None:
        """Respond with the current metrics."""
        await trio.lowlevel.checkpoint()
        self._waiting.clear()
        for (service, priority), count in self.count_waiting().items():
            self._waiting.labels(service, priority).set(count)
        # The gauges come first, as a collector may truncate long responses.
        body = prometheus_client.generate_latest(
            self._gauge_registry
        ) + prometheus_client.generate_latest(self.registry)
        await reply.send_response(200, [(b'content-type', CONTENT_TYPE)], body)
