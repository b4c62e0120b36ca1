"""Claims engines for this node and runs a keeper for each."""

import collections
from collections import abc

import structlog
import trio

from mustardlb_gateway import _centres
from mustardlb_gateway import _engine_client
from mustardlb_gateway import _engine_keeper
from mustardlb_gateway import _leases
from mustardlb_gateway import _messages
from mustardlb_gateway import _peers
from mustardlb_gateway import _targets
from mustardlb_gateway import domain

log = structlog.get_logger()

# Seconds between two looks at which engines nobody keeps.
TICK = 0.25

# Seconds after the start before engines are claimed: the digests of the
# others tell which have a keeper.
START_PAUSE = 0.8

# Model loads that all engines may begin at once are no more than the weight
# store allows in this time, seconds; beyond, each node spaces its own so that
# all together use this part of the store's rate.
MODEL_LOAD_WINDOW = 2.5
MODEL_RATE_PART = 0.8

# Adapters of each engine that are remembered as held lately; an engine has
# them at hand in its host's memory and loads them in a tenth of the time.
HELD_LATELY = 50

# Seconds added to a want's patience for its way to the keeper and back.
ASK_MARGIN = 0.1


class Keepers:
    """The engines that this node keeps, and who keeps the others."""

    def __init__(
        self,
        vm: str,
        leases: _leases.Leases,
        client: _engine_client.EngineClient,
        targets: _targets.TargetTable,
        peers: _peers.Peers,
        clock: abc.Callable[[], float],
        service: abc.Callable[[str], domain.Service | None],
        newest: abc.Callable[[domain.AdapterName], int],
    ) -> None:
        self._vm = vm
        self._leases = leases
        self._client = client
        self._targets = targets
        self._peers = peers
        self._clock = clock
        self._service = service
        self._newest = newest
        self._by_target: dict[str, _engine_keeper.EngineKeeper] = {}
        self._holdings_by_target: dict[str, dict[str, _centres.Holding]] = {}
        self._touched_at = float('-inf')
        self._lately_by_target: dict[
            str, collections.OrderedDict[domain.AdapterName, None]
        ] = {}
        self._model_load_at = float('-inf')
        self.is_leaving = False
        targets.on_gone(self._target_gone)

    async def run(self, nursery: trio.Nursery) -> None:
        """Claim engines until cancelled."""
        await trio.sleep(START_PAUSE)
        while True:
            if not self.is_leaving:
                for target in list(self._targets.by_id.values()):
                    await self._look_after(target, nursery)
            await trio.sleep(TICK)

    async def _look_after(
        self, target: domain.Target, nursery: trio.Nursery
    ) -> None:
        service = self._service(target.service)
        if service is None or service.engine is None:
            return
        if target.state != domain.TargetState.READY:
            return
        keeper = self._by_target.get(target.target_id)
        lease = self._leases.by_target.get(target.target_id)
        if keeper is not None and keeper.lease is lease:
            self._yield_to_later(target.target_id, lease)
            return
        self._by_target.pop(target.target_id, None)
        if self._holder(target.target_id) is not None:
            return
        if not self._peers.has_quorum():
            return
        vms = self._peers.alive() | {self._vm}
        if _leases.preferred(vms, target.target_id) != self._vm:
            return
        lease = await self._leases.claim(target.target_id)
        if lease is None or self.is_leaving:
            return
        keeper = self._make(target, lease)
        self._by_target[target.target_id] = keeper
        nursery.start_soon(keeper.run)

    def _make(
        self, target: domain.Target, lease: _leases.Lease
    ) -> _engine_keeper.EngineKeeper:
        def engine() -> domain.EngineSpec | None:
            service = self._service(target.service)
            return service.engine if service else None

        return _engine_keeper.EngineKeeper(
            target,
            lease,
            self._leases,
            self._client,
            self._vm,
            self._clock,
            engine,
            self._newest,
            self._targets.is_in_use,
            self._peers.has_quorum,
            lambda: self._model_for(target),
            self.was_held,
            lambda adapter, version: self._is_held_elsewhere(
                target, adapter, version
            ),
        )

    def _is_held_elsewhere(
        self, target: domain.Target, adapter: domain.AdapterName, version: int
    ) -> bool:
        """Whether another engine of the service has a version."""
        return any(
            self.resident(other).get(adapter, -1) >= version
            for other in self._targets.ready(target.service)
            if other.target_id != target.target_id
        )

    def _model_for(self, target: domain.Target) -> str | None:
        """Return the model with the fewest copies that an engine can hold."""
        service = self._service(target.service)
        if service is None or service.engine is None:
            return None
        engine = service.engine
        if not self._may_load_model(service.name, engine.loads_per_second):
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

    def _may_load_model(self, service: str, loads_per_second: float) -> bool:
        """Whether this node may begin a load; the next one is spaced."""
        engines = len(self._targets.ready(service))
        if engines <= loads_per_second * MODEL_LOAD_WINDOW:
            return True
        now = self._clock()
        nodes = len(self._peers.alive()) + 1
        pause = nodes / max(0.01, loads_per_second * MODEL_RATE_PART)
        if now < self._model_load_at + pause:
            return False
        self._model_load_at = now
        return True

    def _yield_to_later(
        self, target_id: str, lease: _leases.Lease | None
    ) -> None:
        """Give up an engine that another node keeps with a later fence."""
        holdings = self._holdings_by_target.get(target_id, {})
        for vm, holding in holdings.items():
            if lease is not None and holding.fence > lease.fence:
                self._leases.drop(target_id, f'{vm} keeps it')

    def _target_gone(self, target: domain.Target) -> None:
        self._leases.drop(target.target_id, 'the engine has gone')
        self._by_target.pop(target.target_id, None)
        self._holdings_by_target.pop(target.target_id, None)
        self._lately_by_target.pop(target.target_id, None)

    def leave(self) -> None:
        """Give up all engines, since this node stops."""
        self.is_leaving = True
        for target_id in list(self._leases.by_target):
            self._leases.drop(target_id, 'this node stops')
        self._by_target.clear()

    def hear(self, view: dict[str, _centres.CentreState]) -> None:
        """Note which engines other nodes keep, and which adapters they use."""
        before, self._holdings_by_target = self._holdings_by_target, {}
        for centre in view.values():
            for (vm, target_id), holding in centre.holdings.items():
                by_vm = self._holdings_by_target.setdefault(target_id, {})
                by_vm[vm] = holding
                if before.get(target_id, {}).get(vm) is not holding:
                    self._note_held(target_id, holding.resident)
        now = self._clock()
        is_due = now - self._touched_at >= TICK
        if is_due:
            self._touched_at = now
        for target_id, keeper in self._by_target.items():
            if is_due:
                for centre in view.values():
                    for adapter in centre.adapters_in_use.get(target_id, ()):
                        keeper.touch(adapter)
            keeper.usage_changed()

    def _holder(self, target_id: str) -> tuple[str, _centres.Holding] | None:
        """Return the live node that keeps a target, by the latest fence."""
        alive = self._peers.alive()
        found = [
            (vm, holding)
            for vm, holding in self._holdings_by_target.get(
                target_id, {}
            ).items()
            if vm in alive
        ]
        if not found:
            return None
        return max(found, key=lambda each: each[1].fence)

    def _note_held(
        self, target_id: str, resident: abc.Iterable[domain.AdapterName]
    ) -> None:
        lately = self._lately_by_target.setdefault(
            target_id, collections.OrderedDict()
        )
        for adapter in resident:
            lately[adapter] = None
            lately.move_to_end(adapter)
        while len(lately) > HELD_LATELY:
            lately.popitem(last=False)

    def was_held(self, target_id: str, adapter: domain.AdapterName) -> bool:
        """Whether an engine held an adapter lately."""
        return adapter in self._lately_by_target.get(target_id, ())

    def own_holdings(self) -> tuple[_centres.Holding, ...]:
        """Return what this node keeps, for its digest."""
        for target_id, keeper in self._by_target.items():
            self._note_held(target_id, keeper.resident)
        return tuple(
            _centres.Holding(
                target_id,
                keeper.lease.fence,
                keeper.target.incarnation,
                keeper.is_acting,
                keeper.published(),
                keeper.room(),
            )
            for target_id, keeper in self._by_target.items()
        )

    def resident(self, target: domain.Target) -> dict[domain.AdapterName, int]:
        """Return what an engine holds, by whoever knows best."""
        keeper = self._by_target.get(target.target_id)
        if keeper is not None and keeper.is_acting and keeper.resident:
            return keeper.published()
        holder = self._holder(target.target_id)
        if holder is not None:
            holding = holder[1]
            if (
                holding.is_acting
                and holding.resident
                and (holding.incarnation == target.incarnation)
            ):
                return holding.resident
        return target.resident

    def is_kept(self, target_id: str) -> bool:
        """Whether some node gives orders to an engine."""
        keeper = self._by_target.get(target_id)
        if keeper is not None:
            return keeper.is_acting
        holder = self._holder(target_id)
        return holder is not None and holder[1].is_acting

    def room(self, target_id: str) -> int:
        """Return how many adapters an engine can take now."""
        keeper = self._by_target.get(target_id)
        if keeper is not None:
            return keeper.room()
        holder = self._holder(target_id)
        return holder[1].room if holder else 0

    async def want(
        self,
        target_id: str,
        adapter: domain.AdapterName,
        version: int,
        patience: float,
        slack: float,
    ) -> bool:
        """Have an adapter put on an engine; False where that failed.

        `slack` is the time until the call that waits would be late.
        """
        keeper = self._by_target.get(target_id)
        if keeper is not None:
            return await keeper.want(adapter, version, patience, slack)
        holder = self._holder(target_id)
        if holder is None:
            return False
        answer = await self._peers.request(
            holder[0],
            _messages.Want(target_id, adapter, version, patience, slack),
            patience + ASK_MARGIN,
        )
        return isinstance(answer, _messages.Wanted) and answer.is_there

    async def answer(self, want: _messages.Want) -> _messages.Wanted:
        """Serve a want of another node."""
        keeper = self._by_target.get(want.target_id)
        if keeper is None:
            return _messages.Wanted(False)
        return _messages.Wanted(
            await keeper.want(
                want.adapter, want.version, want.patience, want.slack
            )
        )
