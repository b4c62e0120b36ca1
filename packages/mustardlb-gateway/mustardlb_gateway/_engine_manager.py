"""Claims leases on engines and runs a controller for each."""

from collections import abc

import structlog
import trio

from mustardlb_gateway import _centres
from mustardlb_gateway import _engine_client
from mustardlb_gateway import _engine_controller
from mustardlb_gateway import _engine_holders
from mustardlb_gateway import _leases
from mustardlb_gateway import _messages
from mustardlb_gateway import _peers
from mustardlb_gateway import _targets
from mustardlb_gateway import _timers
from mustardlb_gateway import domain

log = structlog.get_logger()

RECONCILE_INTERVAL_SECONDS = 0.25

# A node that the store does not answer claims no engine for this time.
CLAIM_BACKOFF_SECONDS = 2.0

# Delay before the first claim. The digests of the other nodes that arrive
# meanwhile list the engines that already have a controller.
STARTUP_DELAY_SECONDS = 0.8

# All engines may start model loads at once if the weight store can serve them
# within this window. Otherwise each node spaces its loads so that all nodes
# together use this share of the store's rate.
MODEL_LOAD_WINDOW_SECONDS = 2.5
MODEL_LOAD_RATE_SHARE = 0.8

# Time to wait for a controller's decision on a reservation. It allows a few
# round trips and is short against latency objectives.
RESERVE_TIMEOUT_SECONDS = 0.1

# A controller that did not respond is not asked for a reservation in this
# time.
RESERVE_BACKOFF_SECONDS = 1.0

# Added to the timeout of a load request sent to another node, for the round
# trip.
ROUND_TRIP_MARGIN_SECONDS = 0.1


class EngineManager:
    """Controls the engines leased by this node.

    It also tracks the state of the engines controlled by other nodes.
    `is_lost` returns whether a target is out of reach of this node.
    """

    def __init__(
        self,
        vm: str,
        leases: _leases.Leases,
        client: _engine_client.EngineClient,
        targets: _targets.TargetTable,
        peers: _peers.Peers,
        clock: abc.Callable[[], float],
        service: abc.Callable[[str], domain.Service | None],
        newest_version: abc.Callable[[domain.AdapterName], int],
        load_age: abc.Callable[[], float],
        is_lost: abc.Callable[[str], bool] = lambda target_id: False,
        slowdown: abc.Callable[
            [domain.Target], float | None
        ] = lambda target: None,
    ) -> None:
        self._vm = vm
        self._leases = leases
        self._client = client
        self._targets = targets
        self._peers = peers
        self._clock = clock
        self._service = service
        self._newest_version = newest_version
        self._load_age = load_age
        self._is_lost = is_lost
        self._slowdown = slowdown
        self._unresponsive_until: dict[str, float] = {}
        self._claims_from = float('-inf')
        self._by_target: dict[str, _engine_controller.EngineController] = {}
        self._holders = _engine_holders.EngineHolders(peers.alive)
        self._uses_applied_at = float('-inf')
        self._model_load_at = float('-inf')
        self.is_stopping = False
        targets.on_removed(self._discard_target)

    async def run(self, nursery: trio.Nursery) -> None:
        """Claim engines and start their controllers until cancelled."""
        await trio.sleep(STARTUP_DELAY_SECONDS)
        while True:
            if not self.is_stopping:
                for target in list(self._targets.by_id.values()):
                    await self._reconcile(target, nursery)
            await _timers.sleep(RECONCILE_INTERVAL_SECONDS)

    async def _reconcile(
        self, target: domain.Target, nursery: trio.Nursery
    ) -> None:
        """Claim an engine that has no controller if this node is preferred.

        If this node controls the engine already, drop the lease when another
        node has a higher fencing token.
        """
        service = self._service(target.service)
        if service is None or service.engine is None:
            return
        if target.state != domain.TargetState.READY:
            return
        if self._is_lost(target.target_id):
            self._give_up_lost(target.target_id)
            return
        controller = self._by_target.get(target.target_id)
        lease = self._leases.by_target.get(target.target_id)
        if controller is not None and controller.lease is lease:
            self._yield_to_newer_holder(target.target_id, lease)
            self._give_up_unconfirmed(target.target_id, lease)
            return
        self._by_target.pop(target.target_id, None)
        if self._holders.holder(target.target_id) is not None:
            return
        if not self._peers.has_quorum():
            return
        if not self.can_claim():
            return
        vms = self._peers.claimants() | {self._vm}
        if _leases.preferred_vm(vms, target.target_id) != self._vm:
            return
        lease = await self._leases.claim(target.target_id)
        if lease is None or self.is_stopping:
            return
        controller = self._make_controller(target, lease)
        self._by_target[target.target_id] = controller
        nursery.start_soon(controller.run)

    def _make_controller(
        self, target: domain.Target, lease: _leases.Lease
    ) -> _engine_controller.EngineController:
        def engine() -> domain.EngineSpec | None:
            service = self._service(target.service)
            return service.engine if service else None

        return _engine_controller.EngineController(
            target,
            lease,
            self._leases,
            self._client,
            self._vm,
            self._clock,
            engine,
            self._newest_version,
            self._targets.is_in_use,
            self._peers.has_quorum,
            lambda: self._choose_model(target),
            self._holders.was_resident,
            lambda adapter, version: self._is_resident_elsewhere(
                target, adapter, version
            ),
            self._load_age,
        )

    def _is_resident_elsewhere(
        self, target: domain.Target, adapter: domain.AdapterName, version: int
    ) -> bool:
        """Return whether another engine of the service has a version."""
        return any(
            self.resident(other).get(adapter, -1) >= version
            for other in self._targets.ready(target.service)
            if other.target_id != target.target_id
        )

    def _choose_model(self, target: domain.Target) -> str | None:
        """Return the model with the fewest copies among those that fit.

        Return None while the rate limit for model loads is reached.
        """
        service = self._service(target.service)
        if service is None or service.engine is None:
            return None
        engine = service.engine
        if not self._reserve_model_load(service.name, engine.loads_per_second):
            return None
        copies = {
            name: 0
            for name, model in engine.models_by_name.items()
            if model.size_mb <= engine.memory_mb
        }
        for other in self._targets.by_id.values():
            for adapter in self.resident(other):
                if not adapter.adapter and adapter.model in copies:
                    copies[adapter.model] += 1
        return min(copies, key=lambda name: copies[name], default=None)

    def _reserve_model_load(
        self, service: str, loads_per_second: float
    ) -> bool:
        """Return whether a model load may start now under the rate limit.

        A load that may start is counted against the limit.
        """
        engines = len(self._targets.ready(service))
        if engines <= loads_per_second * MODEL_LOAD_WINDOW_SECONDS:
            return True
        now = self._clock()
        nodes = len(self._peers.alive()) + 1
        interval = nodes / max(0.01, loads_per_second * MODEL_LOAD_RATE_SHARE)
        if now < self._model_load_at + interval:
            return False
        self._model_load_at = now
        return True

    def _yield_to_newer_holder(
        self, target_id: str, lease: _leases.Lease | None
    ) -> None:
        """Drop the lease if another node has a higher fencing token."""
        if lease is None:
            return
        vm = self._holders.newer_holder(target_id, lease.fence)
        if vm is not None:
            self._leases.drop(target_id, f'{vm} has a higher fencing token')

    def can_claim(self) -> bool:
        """Return whether this node claims engines that have no controller."""
        return self._clock() >= self._claims_from

    def _give_up_lost(self, target_id: str) -> None:
        """Leave an engine to nodes that can send it commands."""
        self._claims_from = self._clock() + CLAIM_BACKOFF_SECONDS
        self._by_target.pop(target_id, None)
        self._leases.drop(target_id, 'the engine is out of reach')

    def _give_up_unconfirmed(
        self, target_id: str, lease: _leases.Lease | None
    ) -> None:
        """Drop a lease that another node can confirm and this one cannot."""
        if lease is None or not self._leases.is_unconfirmed(
            lease, self._peers.has_quorum()
        ):
            return
        if self._peers.others_reach_store():
            self._claims_from = self._clock() + CLAIM_BACKOFF_SECONDS
            self._leases.drop(
                target_id, 'the store answers other nodes, not this one'
            )

    def _discard_target(self, target: domain.Target) -> None:
        self._leases.drop(
            target.target_id, 'the engine was removed or restarted'
        )
        self._by_target.pop(target.target_id, None)
        self._holders.discard(target.target_id)

    def stop(self) -> None:
        """Drop all leases and claim no further engines."""
        self.is_stopping = True
        for target_id in list(self._leases.by_target):
            self._leases.drop(target_id, 'the node is stopping')
        self._by_target.clear()

    def apply_fleet_view(self, view: dict[str, _centres.CentreState]) -> None:
        """Apply the leases and adapter uses of the other nodes."""
        self._holders.apply_fleet_view(view)
        now = self._clock()
        is_due = now - self._uses_applied_at >= RECONCILE_INTERVAL_SECONDS
        if is_due:
            self._uses_applied_at = now
        for target_id, controller in self._by_target.items():
            if is_due:
                for centre in view.values():
                    for adapter in centre.adapters_in_use.get(target_id, ()):
                        controller.touch(adapter)
            controller.notify_usage_changed()

    def was_resident(
        self, target_id: str, adapter: domain.AdapterName
    ) -> bool:
        """Return whether an adapter was resident on an engine recently."""
        return self._holders.was_resident(target_id, adapter)

    def highest_fence(self, target_id: str) -> int:
        """Return the highest fencing token that other nodes have told."""
        return self._holders.highest_fence(target_id)

    def own_holdings(self) -> tuple[_centres.Holding, ...]:
        """Return the engines controlled by this node, for its digest."""
        for target_id, controller in self._by_target.items():
            self._holders.record_resident(target_id, controller.resident)
        return tuple(
            _centres.Holding(
                target_id,
                controller.lease.fence,
                controller.target.incarnation,
                controller.is_acting,
                controller.advertised(),
                controller.free_slots(),
            )
            for target_id, controller in self._by_target.items()
        )

    def resident(self, target: domain.Target) -> dict[domain.AdapterName, int]:
        """Return the versions of models and adapters resident on an engine.

        The state of an active controller takes precedence over the engine's
        registration in the store, which lags behind.
        """
        controller = self._by_target.get(target.target_id)
        if (
            controller is not None
            and controller.is_acting
            and controller.resident
        ):
            return controller.advertised()
        holder = self._holders.holder(target.target_id)
        if holder is not None:
            holding = holder[1]
            if (
                holding.is_acting
                and holding.resident
                and (holding.incarnation == target.incarnation)
            ):
                return holding.resident
        return target.resident

    def is_controlled(self, target_id: str) -> bool:
        """Return whether an engine has an active controller."""
        controller = self._by_target.get(target_id)
        if controller is not None:
            return controller.is_acting
        holder = self._holders.holder(target_id)
        return holder is not None and holder[1].is_acting

    def free_slots(self, target_id: str) -> int:
        """Return how many adapters can be loaded on an engine now."""
        controller = self._by_target.get(target_id)
        if controller is not None:
            return controller.free_slots()
        holder = self._holders.holder(target_id)
        return holder[1].room if holder else 0

    async def request_load(self, request: _messages.Want) -> bool:
        """Load an adapter on an engine; return whether it is loaded."""
        if request.target_id in self._by_target:
            return (await self.handle_load_request(request)).is_there
        holder = self._holders.holder(request.target_id)
        if holder is None:
            return False
        response = await self._peers.request(
            holder[0],
            request,
            request.patience + ROUND_TRIP_MARGIN_SECONDS,
        )
        return isinstance(response, _messages.Wanted) and response.is_there

    async def reserve(
        self, request: _messages.Reserve
    ) -> _messages.Reserved | None:
        """Ask a target's controller for time to prefill a prompt.

        Return None if no controller decides.
        """
        if request.target_id in self._by_target:
            response = self.handle_reserve(request)
            return response if response.is_decided else None
        holder = self._holders.holder(request.target_id)
        now = self._clock()
        if holder is None or self._unresponsive_until.get(holder[0], 0) > now:
            return None
        answer = await self._peers.request(
            holder[0], request, RESERVE_TIMEOUT_SECONDS
        )
        if not isinstance(answer, _messages.Reserved):
            self._unresponsive_until[holder[0]] = (
                self._clock() + RESERVE_BACKOFF_SECONDS
            )
            log.info('MLB-6405', target=request.target_id, peer=holder[0])
            return None
        return answer if answer.is_decided else None

    def handle_reserve(self, request: _messages.Reserve) -> _messages.Reserved:
        """Decide on a reservation as the target's controller."""
        controller = self._by_target.get(request.target_id)
        if controller is None or not controller.is_acting:
            return _messages.Reserved(False)
        return controller.reserve(
            request,
            self._targets.pending_prefill_tokens(request.target_id),
            self._slowdown(controller.target) or 1.0,
        )

    async def handle_load_request(
        self, request: _messages.Want
    ) -> _messages.Wanted:
        """Handle a load request from another node."""
        controller = self._by_target.get(request.target_id)
        if controller is None:
            return _messages.Wanted(False)
        return _messages.Wanted(
            await controller.request_load(
                request.adapter,
                request.version,
                request.patience,
                request.slack,
                request.priority,
                request.account,
                request.tokens,
            )
        )
