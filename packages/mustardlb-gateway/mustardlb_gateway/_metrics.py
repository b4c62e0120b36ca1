"""Counters and latency histograms, served as text on one address."""

import prometheus_client
import trio

from mustardlb_gateway import http_server

# Upper bounds of the histograms, seconds: from a plain answer to the
# longest streams.
BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1, 1.5, 2, 3, 5, 10, 20)

CONTENT_TYPE = b'text/plain; version=0.0.4'


class Metrics:
    """What is counted of requests; labels name accounts and routes."""

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
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
            buckets=BUCKETS,
            registry=self.registry,
        )
        self._total = prometheus_client.Histogram(
            'mustardlb_request_seconds',
            'Time to the end of an answer.',
            ['route'],
            buckets=BUCKETS,
            registry=self.registry,
        )

    def observe(
        self,
        account: str,
        route: str,
        outcome: str,
        first_byte: float,
        total: float,
    ) -> None:
        """Count one request; times in seconds."""
        self._requests.labels(account, route, outcome).inc()
        self._first_byte.labels(route).observe(first_byte)
        self._total.labels(route).observe(total)

    def refuse(self, code: str) -> None:
        """Count a request that was refused or failed."""
        self._refusals.labels(code).inc()

    def gauge(self, name: str, text: str) -> prometheus_client.Gauge:
        """Return a new gauge."""
        return prometheus_client.Gauge(name, text, registry=self.registry)

    async def serve(
        self, request: http_server.Request, reply: http_server.Reply
    ) -> None:
        """Answer a request for the metrics."""
        await trio.lowlevel.checkpoint()
        body = prometheus_client.generate_latest(self.registry)
        await reply.send_response(200, [(b'content-type', CONTENT_TYPE)], body)
