"""A gateway node; this module wires its components together."""

from collections import abc
import os

import structlog
import trio

from mustardlb import clock as clocks
from mustardlb_gateway import _buffers
from mustardlb_gateway import _centres
from mustardlb_gateway import _charging
from mustardlb_gateway import _crashes
from mustardlb_gateway import _fleet
from mustardlb_gateway import _gateway
from mustardlb_gateway import _membership
from mustardlb_gateway import _messages
from mustardlb_gateway import _metrics
from mustardlb_gateway import _mirror
from mustardlb_gateway import _node_gauges
from mustardlb_gateway import _origin_records
from mustardlb_gateway import _pauses
from mustardlb_gateway import _peer_requests
from mustardlb_gateway import _peers
from mustardlb_gateway import _planned_stop
from mustardlb_gateway import _prefix_index
from mustardlb_gateway import _quota
from mustardlb_gateway import _read_turns
from mustardlb_gateway import _registration
from mustardlb_gateway import _removal_sync
from mustardlb_gateway import _retry_budget
from mustardlb_gateway import _software_history
from mustardlb_gateway import _software_records
from mustardlb_gateway import _store_watch
from mustardlb_gateway import _stream_origins
from mustardlb_gateway import _target_limits
from mustardlb_gateway import _timers
from mustardlb_gateway import _wiring_engines
from mustardlb_gateway import _wiring_requests
from mustardlb_gateway import _wiring_state
from mustardlb_gateway import _wiring_targets
from mustardlb_gateway import domain
from mustardlb_gateway import http_client
from mustardlb_gateway import http_server
from mustardlb_gateway import ports
from mustardlb_gateway import settings as gateway_settings

log = structlog.get_logger()

# Interval at which the quota is updated and idle connections are closed.
MAINTENANCE_INTERVAL_SECONDS = 0.25

# File descriptors that are not available for client connections.
RESERVED_DESCRIPTORS = 1500

# Time to ask the store for the registered targets when no other node can tell
# where a stream began.
CONFIRM_TIMEOUT_SECONDS = 0.2

# Admissions of accounts near their limit are collected for this time before
# other nodes are notified.
COUNTS_BATCH_SECONDS = 0.015


class Node:
    """A gateway node with all its components.

    :ivar settings: replaced by `reload`
    :ivar buffers: counts the data that the node buffers
    :ivar read_turns: limits the work on received data between checkpoints
    """

    def __init__(
        self,
        settings: gateway_settings.Settings,
        store: ports.Store,
        translation: ports.Translation,
        clock: clocks.Clock = clocks.boottime,
    ) -> None:
        self.settings = settings
        self._store = store
        self._clock = clock
        self._nursery: trio.Nursery | None = None
        self.is_stopping = False
        self._counts_changed = trio.Event()
        self.buffers = _buffers.Buffers(lambda: self.settings.memory_mb)
        self.read_turns = _read_turns.ReadTurns()
        self._retry_budgets_by_service: dict[
            str, _retry_budget.RetryBudget
        ] = {}
        incarnation = int.from_bytes(os.urandom(6), 'big')
        state = _wiring_state.make(translation, clock, lambda: self.settings)
        self._mirrors = state.mirrors
        self._peer_sync = state.peer_sync
        self._pauses = _pauses.Pauses(clock, self._refresh_mirrors)
        self.state = state.config
        self._evacuations = state.evacuations
        self.targets = state.targets
        self._targets_mirror = state.targets_mirror
        self._quota = _quota.Quota(
            lambda: self.settings.limit_tolerance,
            lambda: self.membership.counters_stale_after,
        )
        self.membership = _membership.Membership(
            _centres.Vm(
                settings.vm,
                settings.host,
                settings.peer_port,
                settings.data_centre,
                settings.link_capacity,
            ),
            clock,
            self._pauses.is_settled,
        )
        self.fleet = _fleet.Fleet(
            self.membership, incarnation, self._make_digest, clock
        )
        self._target_parts = _wiring_targets.make(
            settings,
            state,
            store,
            self.membership,
            lambda: self.peers,
            lambda: self.is_stopping,
            clock,
            self.buffers,
            self.read_turns,
        )
        self.quarantine = self._target_parts.quarantine
        self.peers = _peers.Peers(
            self.membership,
            self.fleet,
            incarnation,
            self._make_digest,
            self._handle_peer_request,
            self._apply_fleet_view,
            self._fetch_missing_snapshots,
            lambda: self._quota.levels(clock()),
            self._quota.adopt_levels,
            lambda: self.quarantine.evidence,
            lambda: self._target_parts.limits.notice_by_key,
            self._handle_target_observations,
            self._target_parts.relay_server.serve,
        )
        self._charging = _charging.Charging(
            settings.vm,
            settings.data_centre,
            self._quota,
            self.peers.request,
            self.peers.notify,
            self.peers.alive,
            self.state.account,
            clock,
        )
        self._trials = _wiring_targets.make_trials(
            settings,
            self._target_parts,
            self.peers,
            clock,
            self._pauses.is_settled,
        )
        self._permits = _wiring_targets.make_permits(
            settings, self._target_parts, self.peers, clock
        )
        self._cold_permits = _wiring_targets.make_cold_permits(
            lambda: self.settings,
            state,
            self._target_parts,
            self.membership,
            self.peers,
            clock,
        )
        self._stream_origins = self._make_stream_origins(state.targets_mirror)
        self._origin_records = _origin_records.OriginRecords(
            store,
            settings.vm,
            self._stream_origins.unfinished,
            self._stream_origins.keep_saved,
            self.peers.alive,
            clock,
        )
        engines = _wiring_engines.make(
            lambda: self.settings,
            incarnation,
            state,
            self._target_parts,
            store,
            translation,
            self.membership,
            self.peers,
            clock,
        )
        self.engine_manager = engines.manager
        self._prefix_index = _prefix_index.PrefixIndex(clock)
        self.metrics = _metrics.Metrics()
        self._gauges = _node_gauges.NodeGauges(self.metrics)
        dispatcher = _wiring_requests.make_dispatcher(
            settings,
            translation,
            state,
            self._target_parts,
            engines,
            self._permits,
            self._cold_permits,
            self._prefix_index,
            self.membership,
            self.peers,
            self._acquire_retry,
            self._stream_origins.record,
            self._pauses.ensure_current,
            clock,
            self.buffers,
            _store_watch.Confirmer(
                state.targets_mirror, store, clock, CONFIRM_TIMEOUT_SECONDS
            ).confirm,
            self.metrics,
            self._stream_origins.record_end,
        )
        self._waiting = dispatcher.waiting
        self._gateway = _gateway.Gateway(
            translation,
            dispatcher,
            self._charging,
            self.metrics,
            lambda: self.state.configuration,
            lambda: clock() - state.configurations.confirmed_at,
            lambda service: self._get_retry_budget(service).add_request(),
            lambda: self._counts_changed.set(),
            self.quarantine,
            self._trials.permit,
            self._stream_origins.find,
            clock,
            lambda: self.buffers.is_full,
            _store_watch.Confirmer(
                state.configurations,
                store,
                clock,
                _store_watch.CONFIRM_TIMEOUT_SECONDS,
            ).is_fresh,
        )
        self._request_handlers = _peer_requests.Handlers(
            self._peer_sync,
            self.engine_manager,
            self._charging,
            self._trials,
            self._permits,
            self._cold_permits,
            self._stream_origins,
            self._target_parts.states,
            self.targets,
            self._target_parts.warm_up,
        )
        self._client_server = self._make_client_server()
        self.targets.on_removed(self._on_target_removed)
        self._pauses.on_pause(self._target_parts.pool.close_idle)

    def _make_stream_origins(
        self, targets_mirror: _mirror.Mirror
    ) -> _stream_origins.StreamOrigins:
        return _stream_origins.StreamOrigins(
            self.settings.vm,
            self._target_parts.software_history,
            self.peers.request,
            self.peers.alive,
            self.membership.data_centre_of,
            self.fleet.incarnations,
            lambda: (
                self.targets.age <= _software_history.ADOPTION_SECONDS
                and self._pauses.is_confirmed()
            ),
            lambda: _store_watch.confirm(
                targets_mirror,
                self._store,
                self._clock,
                CONFIRM_TIMEOUT_SECONDS,
            ),
            self._clock,
            lambda: self._origin_records.load(),
        )

    async def _refresh_mirrors(self) -> bool:
        """Ask the store for what has changed; return whether it answered."""
        confirmed: list[bool] = []

        async def confirm(mirror: _mirror.Mirror) -> None:
            confirmed.append(
                await _store_watch.confirm(
                    mirror,
                    self._store,
                    self._clock,
                    _store_watch.CONFIRM_TIMEOUT_SECONDS,
                )
            )

        async with trio.open_nursery() as nursery:
            for mirror in self._mirrors:
                nursery.start_soon(confirm, mirror)
        return all(confirmed)

    def _acquire_retry(self, service: str) -> bool:
        """Return whether a call may be sent to another target."""
        return self._get_retry_budget(service).try_acquire(self._clock())

    def _make_client_server(self) -> http_server.Server:
        def limits() -> domain.RequestLimits:
            configuration = self.state.configuration
            if configuration is None:
                return domain.RequestLimits()
            return configuration.limits

        max_connections = max(
            100, self.settings.max_descriptors - RESERVED_DESCRIPTORS
        )
        return http_server.Server(
            self._handle,
            limits,
            max_connections,
            self.buffers,
            self.read_turns,
        )

    async def _handle(
        self, request: http_server.Request, reply: http_server.Reply
    ) -> None:
        """Respond to a client by the configuration in force."""
        await self._pauses.ensure_current()
        await self._gateway.handle(request, reply)

    def _get_retry_budget(self, service: str) -> _retry_budget.RetryBudget:
        budget = self._retry_budgets_by_service.get(service)
        if budget is None:
            budget = _retry_budget.RetryBudget(
                lambda: _retry_budget.RetryLimit(
                    self.settings.retry_ratio,
                    self.settings.retry_slack,
                    self.settings.retry_window,
                ),
                lambda: len(self.membership.vms_by_name) + 1,
            )
            self._retry_budgets_by_service[service] = budget
        return budget

    def _on_target_removed(self, target: domain.Target) -> None:
        self._target_parts.pool.remove_peer(target.target_id)
        self._target_parts.reachability.forget(target.target_id)
        self._prefix_index.discard(target.target_id)
        self._target_parts.crash_watch.handle_removal(target)

    def _make_digest(self) -> _messages.Digest:
        slowdowns = self._target_parts.reported_loads.to_tell()
        windows = self._target_parts.warm_up.to_tell()
        usages = tuple(
            _messages.TargetUsage(
                target_id,
                usage.in_flight,
                usage.prefill_tokens,
                tuple(usage.by_adapter),
                slowdowns.get(target_id, 0),
                windows.get(target_id),
            )
            for target_id, usage in self.targets.usage_by_id.items()
        ) + tuple(
            _messages.TargetUsage(
                target_id,
                0,
                0,
                (),
                slowdowns.get(target_id, 0),
                windows.get(target_id),
            )
            for target_id in (slowdowns | windows).keys()
            - self.targets.usage_by_id.keys()
        )
        return _messages.Digest(
            self.settings.host,
            self.settings.peer_port,
            self.settings.data_centre,
            self.settings.link_capacity,
            self.fleet.must_watch() and self._is_watching(),
            self.is_stopping,
            self._peer_sync.revisions(),
            self._quota.admitted_costs(),
            usages,
            self.engine_manager.own_holdings(),
            self.engine_manager.can_claim(),
            self.quarantine.own_evidence,
            self._target_parts.limits.own_notice_by_key,
            self._target_parts.reachability.is_cut_off,
            self._peer_sync.epoch,
        )

    def _handle_target_observations(
        self,
        evidence: _crashes.Evidence,
        limits: _target_limits.NoticesByKey,
    ) -> None:
        """Add what another node knows about crashes and limits."""
        if evidence:
            self.quarantine.add(evidence)
        if limits:
            self._target_parts.limits.add(limits)

    def _apply_fleet_view(self) -> None:
        """Update targets, engines and quota from the fleet's view."""
        view = self.fleet.view
        self._gauges.live_nodes.set(len(self.membership.live))
        self.targets.centres_by_name = view
        self.engine_manager.apply_fleet_view(view)
        self._waiting.notify_changed()
        now = self._clock()
        for name, centre in view.items():
            if self.fleet.is_fresh(name):
                self._quota.charge_remote(
                    name,
                    self.fleet.aggregates_locally(name),
                    dict(self.fleet.admitted(name)),
                    now,
                    len(centre.members),
                    centre.lost_count,
                )

    def _is_watching(self) -> bool:
        """Whether other nodes may follow this one's copies of the store."""
        now, spread = self._clock(), self.fleet.spread_time()
        return all(
            _store_watch.is_watching(mirror, spread, now)
            for mirror in self._mirrors
        )

    def _followed_at(self, kind: str) -> float | None:
        """Return when peers were last heard that keep a copy up to date."""
        if self._peer_sync.is_overdue(kind):
            return None
        return self.fleet.followed_at()

    def _fetch_missing_snapshots(
        self, vm: str, revisions: dict[str, int], epoch: int
    ) -> None:
        """Fetch the snapshots of which another node has newer revisions."""
        must_watch = self.fleet.must_watch()
        for kind in self._peer_sync.stale_kinds(revisions, must_watch, epoch):
            if self._nursery is not None:
                self._nursery.start_soon(
                    self._peer_sync.fetch, self.peers, vm, kind
                )

    async def _publish_counts(self) -> None:
        """Send the counts of accounts near their limit to the hubs."""
        while True:
            await self._counts_changed.wait()
            await trio.sleep(COUNTS_BATCH_SECONDS)
            self._counts_changed = trio.Event()
            self.peers.send_digest_now()

    async def _handle_peer_request(
        self, message: _messages.Message
    ) -> _messages.Body | None:
        return await _peer_requests.handle(self._request_handlers, message)

    def make_pool(self, connect_timeout: float) -> http_client.Pool:
        """Return connections whose data counts toward the node's limits."""
        return http_client.Pool(connect_timeout, self.read_turns, self.buffers)

    def is_ready(self) -> bool:
        """Return whether the node can serve new connections."""
        has_objects = all(mirror.revision for mirror in self._mirrors[:2])
        return (
            has_objects
            and self._evacuations.is_known
            and self.state.configuration is not None
            and (not self.is_stopping)
        )

    async def _serve_readiness(
        self, request: http_server.Request, reply: http_server.Reply
    ) -> None:
        status = 200 if self.is_ready() else 503
        await reply.send_response(status, [], b'')

    async def run(self) -> None:
        """Run the node until `stop` completes."""
        log.info('MLB-6011', version=1, pid=os.getpid())
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await self.peers.run(nursery)
            await self._serve(nursery)
            nursery.start_soon(
                _store_watch.sync_mirrors,
                self._mirrors,
                self._store,
                self._clock,
                self._followed_at,
                self.fleet.spread_time,
            )
            nursery.start_soon(
                _registration.register, self._store, self.membership
            )
            nursery.start_soon(self.engine_manager.run, nursery)
            nursery.start_soon(self._run_maintenance)
            nursery.start_soon(self._pauses.run)
            nursery.start_soon(self._publish_counts)
            nursery.start_soon(self._target_parts.crash_watch.run)
            nursery.start_soon(self._target_parts.links.run)
            nursery.start_soon(self._stream_origins.run)
            nursery.start_soon(self._origin_records.run)
            nursery.start_soon(
                _removal_sync.sync,
                self._targets_mirror,
                self.peers.request,
                self.peers.alive,
                self.targets.add_removals,
            )
            nursery.start_soon(
                _software_records.sync,
                self._store,
                self._target_parts.software_history,
                self.settings.vm,
                self.peers.alive,
                self._clock,
            )

    async def _serve(self, nursery: trio.Nursery) -> None:
        host = self.settings.host
        await nursery.start(
            self._client_server.serve, host, self.settings.front_port
        )
        ready = http_server.Server(
            self._serve_readiness, domain.RequestLimits, 100
        )
        await nursery.start(ready.serve, host, self.settings.ready_port)
        metrics = http_server.Server(
            self.metrics.serve, domain.RequestLimits, 20
        )
        await nursery.start(metrics.serve, host, self.settings.metrics_port)

    async def _run_maintenance(self) -> None:
        while True:
            due = _timers.deadline_after(
                MAINTENANCE_INTERVAL_SECONDS, trio.current_time()
            )
            await trio.sleep_until(due)
            self._record_lag(trio.current_time() - due)
            now = self._clock()
            configuration = self.state.configuration
            if configuration is not None:
                accounts = (configuration.accounts_by_name or {}).values()
                self._quota.add_accounts(accounts, now)
            self._quota.charge_assumed_shares(now)
            self._evacuations.update()
            _wiring_targets.refresh(self._target_parts, self.targets)
            self._permits.remove_gone()
            self._cold_permits.remove_gone()
            self._update_gauges()

    def _record_lag(self, seconds: float) -> None:
        self._gauges.observe_lag(seconds)
        self.read_turns.record_lag(seconds)

    def _update_gauges(self) -> None:
        gauges = self._gauges
        _wiring_targets.update_gauges(gauges, self._target_parts, self.targets)
        gauges.set_copies(self._mirrors, self._clock())
        gauges.stream_origins.set(self._stream_origins.size)
        gauges.evacuated_centres.set(len(self._evacuations.since_by_centre))
        gauges.buffered_bytes.set(self.buffers.held)
        gauges.slow_clients.set(self.buffers.evictions)
        gauges.shared_turns.set(self.read_turns.shared_turns)

    def reload(self, settings: gateway_settings.Settings) -> None:
        """Apply changed settings while the node runs."""
        self.settings = settings
        log.info('MLB-6013', stop_timeout=settings.stop_timeout)

    async def stop(self) -> None:
        """Finish the requests in flight, then stop `run`."""
        self.is_stopping = True
        await _planned_stop.finish_requests(
            self._client_server,
            self._gateway,
            lambda: self._target_parts.relay_server.count,
            self.settings.stop_timeout,
            self.engine_manager.stop,
        )
        if self._nursery is not None:
            self._nursery.cancel_scope.cancel()


async def run_node(
    node: Node,
    signals: abc.AsyncIterator[int],
    stop_signals: frozenset[int],
    reload: abc.Callable[[], None],
) -> None:
    """Run a node until a stop signal; other signals reload its settings."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            _handle_signals, node, signals, stop_signals, reload
        )
        await node.run()
        nursery.cancel_scope.cancel()


async def _handle_signals(
    node: Node,
    signals: abc.AsyncIterator[int],
    stop_signals: frozenset[int],
    reload: abc.Callable[[], None],
) -> None:
    async with trio.open_nursery() as nursery:
        async for number in signals:
            if number not in stop_signals:
                reload()
            elif not node.is_stopping:
                # Further stop signals are read and ignored: the signal
                # receiver delivers unread ones again when it is closed, and
                # they would kill the process.
                node.is_stopping = True
                nursery.start_soon(node.stop)
