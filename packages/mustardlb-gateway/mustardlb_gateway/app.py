"""A gateway node: the composition root."""

from collections import abc
import os

import structlog
import trio

from mustardlb import clock as clocks
from mustardlb_gateway import _centres
from mustardlb_gateway import _dispatch
from mustardlb_gateway import _engine_client
from mustardlb_gateway import _exchange
from mustardlb_gateway import _fleet
from mustardlb_gateway import _gateway
from mustardlb_gateway import _keepers
from mustardlb_gateway import _leases
from mustardlb_gateway import _membership
from mustardlb_gateway import _messages
from mustardlb_gateway import _metrics
from mustardlb_gateway import _mirror
from mustardlb_gateway import _peers
from mustardlb_gateway import _placement
from mustardlb_gateway import _prefixes
from mustardlb_gateway import _quota
from mustardlb_gateway import _retry_budget
from mustardlb_gateway import _snapshots
from mustardlb_gateway import _state
from mustardlb_gateway import _targets
from mustardlb_gateway import domain
from mustardlb_gateway import http_client
from mustardlb_gateway import http_server
from mustardlb_gateway import ports
from mustardlb_gateway import settings as gateway_settings

log = structlog.get_logger()

VM_KIND = 'gateway-vms'

# Seconds to open a connection to a target; a few round trips, and below the
# time after which waiting for another packet would begin.
CONNECT_TIMEOUT = 0.4

# Seconds between two rounds of housekeeping.
TICK = 0.25

# Seconds for which a stopping node still takes every request: the balancer
# takes it out after two questions, one a second.
STOP_NOTICE = 2.7

# What is left of the stop timeout when the last answers are cut, seconds.
STOP_MARGIN = 0.5

# Descriptors that are not for clients' connections.
OTHER_DESCRIPTORS = 1500

# Seconds in which what is taken near a limit is gathered before it is told.
COUNTS_PAUSE = 0.015

# Seconds between two attempts to register at the store.
REGISTER_PAUSE = 0.5


class Node:
    """All parts of a node.

    :ivar settings: replaced as a whole by `reload`
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
        incarnation = int.from_bytes(os.urandom(6), 'big')
        self._mirrors = [
            _mirror.Mirror(kind)
            for kind in (
                translation.configuration_kind,
                translation.targets_kind,
                translation.versions_kind,
            )
        ]
        configurations, targets_mirror, versions = self._mirrors
        self._configurations = configurations
        self._snapshots = _snapshots.Snapshots(self._mirrors, clock)
        self.state = _state.State(
            configurations,
            versions,
            translation,
            clock,
            lambda: self.settings.version_time,
        )
        self.targets = _targets.TargetTable(targets_mirror, translation, clock)
        self._quota = _quota.Quota(lambda: self.settings.limit_tolerance)
        self._counts_changed = trio.Event()
        self.membership = _membership.Membership(
            _centres.Vm(
                settings.vm,
                settings.host,
                settings.peer_port,
                settings.data_centre,
                settings.link_capacity,
            ),
            clock,
        )
        self.fleet = _fleet.Fleet(
            self.membership, incarnation, self._make_digest, clock
        )
        self.peers = _peers.Peers(
            self.membership,
            self.fleet,
            incarnation,
            self._make_digest,
            self._answer_peer,
            self._looked,
            self._revised,
            lambda: self._quota.levels(clock()),
            self._quota.know_levels,
        )
        self._pool = http_client.Pool(CONNECT_TIMEOUT)
        self.leases = _leases.Leases(
            settings.vm,
            incarnation,
            store,
            clock,
            lambda: self.settings.handover_time,
            lambda: self.settings.fences_checked,
        )
        self.keepers = _keepers.Keepers(
            settings.vm,
            self.leases,
            _engine_client.EngineClient(self._pool, translation),
            self.targets,
            self.peers,
            clock,
            self.state.service,
            self.state.newest,
        )
        self._prefixes = _prefixes.PrefixMemory(clock)
        self._budgets_by_service: dict[str, _retry_budget.RetryBudget] = {}
        self.metrics = _metrics.Metrics()
        self._live_nodes = self.metrics.add_gauge(
            'mustardlb_live_nodes', 'Other nodes that this one hears of.'
        )
        self._gateway = _gateway.Gateway(
            translation,
            self._make_dispatcher(translation),
            self._quota,
            self.metrics,
            lambda: self.state.configuration,
            lambda: clock() - configurations.confirmed,
            lambda service: self._budget(service).add_request(),
            lambda: self._counts_changed.set(),
            clock,
        )
        self._front = self._make_front()
        self._nursery: trio.Nursery | None = None
        self.is_stopping = False
        self.targets.on_gone(self._target_gone)

    def _make_dispatcher(
        self, translation: ports.Translation
    ) -> _dispatch.Dispatcher:
        placement = _placement.Placement(
            self.targets,
            self._prefixes,
            self.keepers.resident,
            self.keepers.is_kept,
            self.keepers.was_held,
            self.keepers.room,
        )

        return _dispatch.Dispatcher(
            _exchange.Exchange(
                translation,
                self._pool,
                self.targets,
                self._prefixes,
                self.state.versions,
            ),
            self.targets,
            placement,
            self.state.versions,
            self.keepers.want,
            lambda service: self._budget(service).try_acquire(self._clock()),
        )

    def _make_front(self) -> http_server.Server:
        def limits() -> domain.RequestLimits:
            configuration = self.state.configuration
            if configuration is None:
                return domain.RequestLimits()
            return configuration.limits

        most = max(100, self.settings.max_descriptors - OTHER_DESCRIPTORS)
        return http_server.Server(self._gateway.handle, limits, most)

    def _budget(self, service: str) -> _retry_budget.RetryBudget:
        budget = self._budgets_by_service.get(service)
        if budget is None:
            budget = _retry_budget.RetryBudget(
                lambda: _retry_budget.RetryLimit(
                    self.settings.retry_ratio,
                    self.settings.retry_slack,
                    self.settings.retry_window,
                ),
                lambda: len(self.membership.vms_by_name) + 1,
            )
            self._budgets_by_service[service] = budget
        return budget

    def _target_gone(self, target: domain.Target) -> None:
        self._pool.remove_peer(target.target_id)
        self._prefixes.forget(target.target_id)

    def _make_digest(self) -> _messages.Digest:
        usages = tuple(
            _messages.TargetUsage(
                target_id,
                usage.running,
                usage.unread_tokens,
                tuple(usage.by_adapter),
            )
            for target_id, usage in self.targets.usage_by_id.items()
        )
        return _messages.Digest(
            self.settings.host,
            self.settings.peer_port,
            self.settings.data_centre,
            self.settings.link_capacity,
            self.fleet.must_watch()
            and all(mirror.is_connected for mirror in self._mirrors),
            self.is_stopping,
            self._snapshots.revisions(),
            self._quota.counts(),
            usages,
            self.keepers.own_holdings(),
        )

    def _looked(self) -> None:
        """Take what the other nodes do from the fleet's view."""
        view = self.fleet.view
        self._live_nodes.set(len(self.membership.live))
        self.targets.others_by_centre = view
        self.keepers.hear(view)
        now = self._clock()
        for name, centre in view.items():
            if self.fleet.is_fresh(name):
                self._quota.heard(
                    name,
                    self.fleet.sums_itself(name),
                    dict(self.fleet.admitted(name)),
                    now,
                    len(centre.members),
                    centre.silent,
                )

    def _revised(self, vm: str, revisions: dict[str, int]) -> None:
        """Fetch from another node what it knows and this one does not."""
        watches = self.fleet.must_watch()
        for kind in self._snapshots.missing(revisions, watches):
            if self._nursery is not None:
                self._nursery.start_soon(
                    self._snapshots.fetch, self.peers, vm, kind
                )

    async def _tell_counts(self) -> None:
        """Tell the hubs at once what was taken near a limit."""
        while True:
            await self._counts_changed.wait()
            await trio.sleep(COUNTS_PAUSE)
            self._counts_changed = trio.Event()
            self.peers.tell_now()

    async def _answer_peer(
        self, message: _messages.Message
    ) -> _messages.Body | None:
        match message.body:
            case _messages.SnapshotRequest():
                return self._snapshots.give(
                    message.body.kind, message.body.since
                )
            case _messages.Want():
                return await self.keepers.answer(message.body)
        return None

    def is_ready(self) -> bool:
        """Whether the node can serve new connections."""
        knows = all(mirror.revision for mirror in self._mirrors[:2])
        return (
            knows
            and self.state.configuration is not None
            and (not self.is_stopping)
        )

    async def _answer_ready(
        self, request: http_server.Request, reply: http_server.Reply
    ) -> None:
        status = 200 if self.is_ready() else 503
        await reply.send_response(status, [], b'')

    async def run(self) -> None:
        """Serve until `stop` has done its work."""
        log.info('MLB-6011', version=1, pid=os.getpid())
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await self.peers.run(nursery)
            await self._serve(nursery)
            for mirror in self._mirrors:
                nursery.start_soon(
                    _mirror.follow,
                    mirror,
                    self._store,
                    self._clock,
                    self.fleet.must_watch,
                )
            nursery.start_soon(self._register)
            nursery.start_soon(self.keepers.run, nursery)
            nursery.start_soon(self._keep_house)
            nursery.start_soon(self._tell_counts)

    async def _serve(self, nursery: trio.Nursery) -> None:
        host = self.settings.host
        await nursery.start(self._front.serve, host, self.settings.front_port)
        ready = http_server.Server(
            self._answer_ready, domain.RequestLimits, 100
        )
        await nursery.start(ready.serve, host, self.settings.ready_port)
        metrics = http_server.Server(
            self.metrics.serve, domain.RequestLimits, 20
        )
        await nursery.start(metrics.serve, host, self.settings.metrics_port)

    async def _register(self) -> None:
        """Tell the store where peers reach this node, and meet them."""
        me = self.settings
        spec: dict[str, object] = {
            'host': me.host,
            'port': me.peer_port,
            'data_centre': me.data_centre,
            'capacity': me.link_capacity,
        }
        while True:
            try:
                await self._write_vm(spec)
                others, _ = await self._store.list_objects(VM_KIND)
            except ports.StoreUnavailable as error:
                log.info('MLB-6012', problem=str(error))
                await trio.sleep(REGISTER_PAUSE)
                continue
            for other in others:
                self._meet(other)
            return

    async def _write_vm(self, spec: dict[str, object]) -> None:
        try:
            await self._store.create(VM_KIND, self.settings.vm, spec)
        except ports.Conflict as conflict:
            current = conflict.current
            if current is None or current.spec == spec:
                return
            try:
                await self._store.replace(
                    VM_KIND, self.settings.vm, spec, current.revision
                )
            except ports.Conflict as later:
                # An earlier write of this node came late.
                raise ports.StoreUnavailable(str(later)) from later

    def _meet(self, stored: ports.StoredObject) -> None:
        spec = stored.spec
        if not isinstance(spec, dict):
            return
        host, port = spec.get('host'), spec.get('port')
        if isinstance(host, str) and isinstance(port, int):
            self.membership.add(
                _centres.Vm(
                    stored.name,
                    host,
                    port,
                    str(spec.get('data_centre', '')),
                    float(spec.get('capacity', 0.0)),
                )
            )

    async def _keep_house(self) -> None:
        while True:
            await trio.sleep(TICK)
            now = self._clock()
            configuration = self.state.configuration
            if configuration is not None:
                accounts = (configuration.accounts_by_name or {}).values()
                self._quota.know(accounts, now)
            self._quota.assume_silent(now)
            self._pool.close_expired()

    def reload(self, settings: gateway_settings.Settings) -> None:
        """Put settings into force that may change while the node runs."""
        self.settings = settings
        log.info('MLB-6013', stop_timeout=settings.stop_timeout)

    async def stop(self) -> None:
        """Finish what is in flight, then end `run`."""
        began = trio.current_time()
        end = began + self.settings.stop_timeout - STOP_MARGIN
        self.is_stopping = True
        self._front.is_stopping = True
        notice_ends = min(end, began + STOP_NOTICE)
        self._gateway.stop_at(_gateway.Stop(notice_ends, end))
        self.keepers.leave()
        log.info('MLB-6014', in_flight=self._front.requests_in_flight)
        await trio.sleep_until(notice_ends)
        while trio.current_time() < end:
            self._front.close_idle()
            if not self._front.requests_in_flight:
                break
            await trio.sleep(TICK / 5)
        log.info(
            'MLB-6015',
            in_flight=self._front.requests_in_flight,
            seconds=round(trio.current_time() - began, 3),
        )
        if self._nursery is not None:
            self._nursery.cancel_scope.cancel()


async def run_node(
    node: Node,
    signals: abc.AsyncIterator[int],
    stop_signals: frozenset[int],
    reload: abc.Callable[[], None],
) -> None:
    """Run a node until one of the stop signals; others reload settings."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_heed, node, signals, stop_signals, reload)
        await node.run()
        nursery.cancel_scope.cancel()


async def _heed(
    node: Node,
    signals: abc.AsyncIterator[int],
    stop_signals: frozenset[int],
    reload: abc.Callable[[], None],
) -> None:
    async for number in signals:
        if number in stop_signals:
            await node.stop()
            return
        reload()
