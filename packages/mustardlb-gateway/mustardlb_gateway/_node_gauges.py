"""The gauges of a node's state."""

from collections import abc

from mustardlb_gateway import _metrics
from mustardlb_gateway import _mirror


class NodeGauges:
    """Gauges that the node sets at intervals."""

    def __init__(self, metrics: _metrics.Metrics) -> None:
        self.live_nodes = metrics.add_gauge(
            'mustardlb_live_nodes', 'Other nodes that this one hears of.'
        )
        self.quarantined = metrics.add_gauge(
            'mustardlb_quarantined',
            'Parts of prompts, or contents, that are kept from targets.',
        )
        self.crash_reports = metrics.add_gauge(
            'mustardlb_crash_reports',
            'Targets that ended in the last minutes on requests without '
            'output, at any node.',
        )
        self.suspended_targets = metrics.add_gauge(
            'mustardlb_suspended_targets',
            'Targets that this node leaves alone for some time after '
            'failures.',
        )
        self.slow_targets = metrics.add_gauge(
            'mustardlb_slow_targets',
            'Targets that report to take at least twice the usual time.',
        )
        self.warming_targets = metrics.add_gauge(
            'mustardlb_warming_targets',
            'Targets with a window of requests after a start or failures.',
        )
        self.lost_targets = metrics.add_gauge(
            'mustardlb_targets_out_of_reach',
            'Targets to which this node cannot connect itself, while others '
            'can or nobody can tell.',
        )
        self.relayed_connections = metrics.add_gauge(
            'mustardlb_relayed_connections',
            'Connections to targets that this node relays for others.',
        )
        self.cold_targets = metrics.add_gauge(
            'mustardlb_cold_targets',
            'Targets that get few requests since they are cold.',
        )
        self.evacuated_centres = metrics.add_gauge(
            'mustardlb_evacuated_data_centres',
            'Data centres whose targets get no requests.',
        )
        self.buffered_bytes = metrics.add_gauge(
            'mustardlb_buffered_bytes',
            'Data that is buffered for clients and targets.',
        )
        self.slow_clients = metrics.add_gauge(
            'mustardlb_slow_clients',
            'Clients that were disconnected because of what was buffered for '
            'them, since the start.',
        )
        self.shared_turns = metrics.add_gauge(
            'mustardlb_shared_read_turns',
            'Turns of connections whose data came in so many small parts that '
            'they had to take turns, since the start.',
        )
        self._lag = metrics.add_histogram(
            'mustardlb_loop_lag_seconds',
            'Delay of wake-ups of the event loop.',
        )
        self.stream_origins = metrics.add_gauge(
            'mustardlb_stream_origins',
            'Streams of the last minute whose beginning this node knows.',
        )
        self._copy_age = metrics.add_gauge(
            'mustardlb_store_copy_age_seconds',
            'Time since the copy of the kind was confirmed, -1 before.',
            ['kind'],
        )
        self._copy_revision = metrics.add_gauge(
            'mustardlb_store_copy_revision',
            'Revision of the store of which the copy of the kind is.',
            ['kind'],
        )

    def observe_lag(self, seconds: float) -> None:
        """Record by how many seconds a wake-up was late."""
        self._lag.observe(seconds)

    def set_copies(
        self, mirrors: abc.Iterable[_mirror.Mirror], now: float
    ) -> None:
        """Set the gauges of the copies of the store's objects."""
        for mirror in mirrors:
            age = now - mirror.confirmed_at if mirror.revision else -1.0
            self._copy_age.labels(mirror.kind).set(age)
            self._copy_revision.labels(mirror.kind).set(mirror.revision)
