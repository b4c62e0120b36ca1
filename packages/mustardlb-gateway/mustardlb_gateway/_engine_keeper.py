"""Keeps one engine: loads, evictions and versions, one order at a time."""

from collections import abc
import dataclasses

import structlog
import trio

from mustardlb_gateway import _engine_client
from mustardlb_gateway import _leases
from mustardlb_gateway import _usage_memory
from mustardlb_gateway import domain

log = structlog.get_logger()

# Pause between two looks at the engine while nothing is asked, seconds.
TICK = 0.25

# Adapters in transit to one engine at a time; the platform's limit.
MOST_LOADING = 4

# Seconds until the first question whether an adapter has arrived, by where
# it comes from: the engine's host or the store of weights. Between two
# questions, and until it is given up.
FIRST_QUESTION_HOST = 0.028
FIRST_QUESTION_STORE = 0.252
QUESTION_PAUSE = 0.03
LOAD_TIMEOUT = 6.0

# Times that an order is repeated while it gets no answer. The count of
# accepted orders that it names keeps an engine from obeying it twice.
ORDER_ATTEMPTS = 4

# Seconds that an adapter is kept after it came or was asked for: until the
# digests tell that the requests that it was loaded for use it.
LEAST_STAY = 0.4

# Adapters of a full engine that are to go next. The other nodes are no longer
# told of them, so that an eviction meets no request on its way, and ask for
# them first; after this many seconds all of them know.
RETIRED_AHEAD = 2
RETIRED_FOR = 0.35

# Seconds in which half of an adapter's past use is forgotten.
USE_HALF_LIFE = 8.0

# Seconds between two reports while an order's outcome is not known, and in
# quiet times.
REPORT_PAUSE = 0.25
QUIET_REPORT_PAUSE = 10.0

# Seconds between two orders to load the same model.
MODEL_LOAD_PAUSE = 3.0


@dataclasses.dataclass(slots=True)
class _Want:
    adapter: domain.AdapterName
    version: int
    until: float
    late_at: float
    done: trio.Event = dataclasses.field(default_factory=trio.Event)
    is_there: bool = False


@dataclasses.dataclass(slots=True)
class _Loading:
    since: float
    version: int
    ask_at: float


class EngineKeeper:
    """What this node does for an engine whose lease it holds."""

    def __init__(
        self,
        target: domain.Target,
        lease: _leases.Lease,
        leases: _leases.Leases,
        client: _engine_client.EngineClient,
        vm: str,
        clock: abc.Callable[[], float],
        engine: abc.Callable[[], domain.EngineSpec | None],
        newest: abc.Callable[[domain.AdapterName], int],
        is_in_use: abc.Callable[[str, domain.AdapterName], bool],
        hears_majority: abc.Callable[[], bool],
        choose_model: abc.Callable[[], str | None],
        was_held: abc.Callable[[str, domain.AdapterName], bool],
        is_held_elsewhere: abc.Callable[[domain.AdapterName, int], bool],
    ) -> None:
        self.target = target
        self.lease = lease
        self._leases = leases
        self._client = client
        self._vm = vm
        self._clock = clock
        self._engine = engine
        self._newest = newest
        self._is_in_use = is_in_use
        self._hears_majority = hears_majority
        self._choose_model = choose_model
        self._was_held = was_held
        self._is_held_elsewhere = is_held_elsewhere
        self.resident: dict[domain.AdapterName, int] = {}
        self._uses = _usage_memory.UsageMemory(USE_HALF_LIFE)
        self._granted_at: dict[domain.AdapterName, float] = {}
        self._retired: dict[domain.AdapterName, float] = {}
        self._loading: dict[domain.AdapterName, _Loading] = {}
        self._wants: list[_Want] = []
        self._accepted: int | None = None
        self._work = trio.Event()
        self._reported_at = float('-inf')
        self._model_asked_at = float('-inf')
        self.is_acting = False

    async def want(
        self,
        adapter: domain.AdapterName,
        version: int,
        patience: float,
        slack: float = 0.0,
    ) -> bool:
        """Wait until an adapter is in place; False where it cannot be.

        Calls that can still be answered in time go before those that will
        be late after `slack` seconds whatever happens.
        """
        now = self._clock()
        self._uses.note(adapter, now)
        self._granted_at[adapter] = now
        self._retired.pop(adapter, None)
        if self._has(adapter, version):
            return True
        want = _Want(adapter, version, now + patience, now + slack)
        self._wants.append(want)
        self._work.set()
        with trio.move_on_after(patience):
            await want.done.wait()
        if want in self._wants:
            self._wants.remove(want)
        return want.is_there

    def _has(self, adapter: domain.AdapterName, version: int) -> bool:
        return (
            adapter in self.resident
            and self.resident[adapter] >= version
            and adapter not in self._loading
        )

    def touch(self, adapter: domain.AdapterName) -> None:
        """Note that an adapter is used."""
        self._uses.note(adapter, self._clock())
        self._retired.pop(adapter, None)

    async def run(self) -> None:
        """Serve wants until the lease is lost."""
        while self._leases.by_target.get(self.lease.target_id) is self.lease:
            self._work = trio.Event()
            hears = self._hears_majority()
            self.is_acting = await self._leases.may_order(self.lease, hears)
            if self.is_acting:
                await self._act()
            if self._work.is_set():
                continue
            with trio.move_on_after(self._pause()):
                await self._work.wait()
        self._refuse_all()

    def _pause(self) -> float:
        now = self._clock()
        due = [each.ask_at - now for each in self._loading.values()]
        if not self.is_acting:
            due.append(self.lease.acts_from - now)
        pause = min([TICK, *(each for each in due if each > 0)])
        return max(0.005, pause)

    def _refuse_all(self) -> None:
        for want in self._wants:
            want.done.set()
        self._wants.clear()

    async def _act(self) -> None:
        if not await self._report_if_due():
            return
        await self._load_model()
        await self._ask_loading()
        await self._replace_old_versions()
        self._settle_wants()
        self._retire_ahead()
        for want in self._in_order():
            if len(self._loading) >= MOST_LOADING:
                return
            if not await self._start_load(want.adapter, want.version):
                return

    async def _report_if_due(self) -> bool:
        """Make sure that the engine's contents are known."""
        now = self._clock()
        pause = QUIET_REPORT_PAUSE
        if self._accepted is None:
            pause = REPORT_PAUSE
        if now - self._reported_at < pause:
            return self._accepted is not None
        self._reported_at = now
        report = await self._client.report(self.target)
        if report is None:
            return self._accepted is not None
        if self._accepted is None or not self._loading:
            # Else the report lags behind the orders in progress.
            self._take(report)
        return True

    def _take(self, report: domain.EngineReport) -> None:
        now = self._clock()
        self._accepted = report.accepted_orders
        self.resident = dict(report.resident)
        self._loading = {
            adapter: self._loading.get(adapter, _Loading(now, 0, now))
            for adapter in report.loading
        }
        for adapter in self.resident:
            self._uses.know(adapter, now)

    async def _load_model(self) -> None:
        """Load a model where the engine holds none."""
        now = self._clock()
        if any(not adapter.adapter for adapter in self.resident):
            return
        if now - self._model_asked_at < MODEL_LOAD_PAUSE:
            # Its arrival is seen by a report.
            self._accepted = None
            return
        model = self._choose_model()
        if model is None:
            return
        self._model_asked_at = now
        await self._order(
            domain.OrderKind.LOAD, domain.AdapterName(model), None
        )
        self._accepted = None

    async def _ask_loading(self) -> None:
        """Find out which adapters have arrived, by ordering them again."""
        for adapter, loading in list(self._loading.items()):
            now = self._clock()
            if now < loading.ask_at:
                continue
            outcome = await self._order(
                domain.OrderKind.LOAD,
                adapter,
                loading.version or None,
                is_question=True,
            )
            if outcome == _engine_client.OrderOutcome.HOLDS:
                self._loading.pop(adapter, None)
                self.resident[adapter] = max(
                    loading.version, self._newest(adapter), 1
                )
                self._granted_at[adapter] = self._clock()
                log.info(
                    'MLB-6403',
                    target=self.target.target_id,
                    adapter=str(adapter),
                    version=self.resident[adapter],
                    seconds=round(self._clock() - loading.since, 3),
                )
                continue
            loading.ask_at = self._clock() + QUESTION_PAUSE
            if now - loading.since > LOAD_TIMEOUT:
                self._loading.pop(adapter, None)
                self._accepted = None

    async def _replace_old_versions(self) -> None:
        """Replace or drop old versions that no request uses.

        One in use is left: the engine would wait for its requests and hold
        up those that come, while another engine takes the newer version.
        """
        for adapter, version in list(self.resident.items()):
            newest = self._newest(adapter)
            if not adapter.adapter or version >= newest:
                continue
            if adapter in self._loading or self._accepted is None:
                continue
            if self._is_in_use(self.target.target_id, adapter):
                continue
            if self._is_held_elsewhere(adapter, newest):
                outcome = await self._order(
                    domain.OrderKind.UNLOAD, adapter, None
                )
                if outcome == _engine_client.OrderOutcome.HOLDS:
                    del self.resident[adapter]
                continue
            if len(self._loading) >= MOST_LOADING:
                return
            await self._start_load(adapter, newest)

    def _settle_wants(self) -> None:
        now = self._clock()
        for want in list(self._wants):
            if self._has(want.adapter, want.version):
                want.is_there = True
            elif now < want.until:
                continue
            want.done.set()
            self._wants.remove(want)

    def _in_order(self) -> list[_Want]:
        """Return a want for each adapter to load, the best first.

        First those that can be in time, then those with most calls, then
        those that have waited longest.
        """
        now = self._clock()
        by_adapter: dict[domain.AdapterName, list[_Want]] = {}
        for want in self._wants:
            if want.adapter not in self._loading:
                by_adapter.setdefault(want.adapter, []).append(want)

        def rank(wants: list[_Want]) -> tuple[bool, int]:
            load_time = FIRST_QUESTION_STORE
            adapter = wants[0].adapter
            if self._was_held(self.target.target_id, adapter):
                load_time = FIRST_QUESTION_HOST
            in_time = sum(now + load_time < each.late_at for each in wants)
            return not in_time, -len(wants)

        return [wants[0] for wants in sorted(by_adapter.values(), key=rank)]

    def usage_changed(self) -> None:
        """Look again whether an adapter is no longer in use."""
        if self._wants:
            self._work.set()

    async def _start_load(
        self, adapter: domain.AdapterName, version: int
    ) -> bool:
        """Order a load; False where the engine takes none now."""
        if adapter not in self.resident and not await self._make_room(adapter):
            return True
        wanted = max(version, self._newest(adapter))
        outcome = await self._order(
            domain.OrderKind.LOAD, adapter, wanted or None
        )
        now = self._clock()
        match outcome:
            case _engine_client.OrderOutcome.ACCEPTED:
                is_near = self._was_held(self.target.target_id, adapter)
                first = (
                    FIRST_QUESTION_HOST if is_near else (FIRST_QUESTION_STORE)
                )
                self._loading[adapter] = _Loading(now, wanted, now + first)
            case _engine_client.OrderOutcome.HOLDS:
                self.resident[adapter] = max(wanted, 1)
                self._work.set()
            case _:
                return False
        return True

    async def _make_room(self, adapter: domain.AdapterName) -> bool:
        """Unload what was not used for longest; False where all is in use."""
        engine = self._engine()
        if engine is None:
            return False
        while self._is_full(engine, adapter):
            victim = self._victim()
            if victim is None:
                return False
            outcome = await self._order(domain.OrderKind.UNLOAD, victim, None)
            if outcome != _engine_client.OrderOutcome.HOLDS:
                if outcome == _engine_client.OrderOutcome.ACCEPTED:
                    # It waits for requests that arrived meanwhile.
                    self.resident.pop(victim, None)
                    self._accepted = None
                return False
            self.resident.pop(victim, None)
        return True

    def _is_full(
        self, engine: domain.EngineSpec, adapter: domain.AdapterName
    ) -> bool:
        held = {
            each for each in (*self.resident, *self._loading) if each.adapter
        }
        if len(held) >= engine.adapter_slots:
            return True
        models = engine.models_by_name
        used = sum(
            models[each.model].adapter_mb
            for each in held | {adapter}
            if each.model in models
        ) + sum(
            models[each.model].size_mb
            for each in self.resident
            if not each.adapter and each.model in models
        )
        return used > engine.memory_mb

    def published(self) -> dict[domain.AdapterName, int]:
        """Return what other nodes may use without asking."""
        return {
            adapter: version
            for adapter, version in self.resident.items()
            if adapter not in self._retired
        }

    def room(self) -> int:
        """Return how many adapters can be taken now, less those that wait."""
        engine = self._engine()
        if engine is None:
            return 0
        taken = {each for each in self.resident if each.adapter}
        taken -= set(self._idle())
        taken |= set(self._loading)
        waiting = {want.adapter for want in self._wants} - taken
        return engine.adapter_slots - len(taken) - len(waiting)

    def _idle(self) -> list[domain.AdapterName]:
        """Return the adapters that may be evicted, the least used first."""
        now = self._clock()
        wanted = {want.adapter for want in self._wants}
        idle = [
            adapter
            for adapter in self.resident
            if adapter.adapter
            and adapter not in wanted
            and adapter not in self._loading
            and now - self._granted_at.get(adapter, 0.0) > LEAST_STAY
            and not self._is_in_use(self.target.target_id, adapter)
        ]
        return sorted(idle, key=lambda each: self._uses.weight(each, now))

    def _victim(self) -> domain.AdapterName | None:
        """Return the adapter to evict, one of which nobody knows if any."""
        idle = self._idle()
        since = self._clock() - RETIRED_FOR
        for adapter in idle:
            if self._retired.get(adapter, since + 1) <= since:
                return adapter
        return idle[0] if idle else None

    def _retire_ahead(self) -> None:
        """Choose what goes next while the engine is full."""
        engine = self._engine()
        self._retired = {
            adapter: since
            for adapter, since in self._retired.items()
            if adapter in self.resident
        }
        self._granted_at = {
            adapter: at
            for adapter, at in self._granted_at.items()
            if self._clock() - at <= LEAST_STAY
        }
        held = sum(1 for adapter in self.resident if adapter.adapter)
        free = 0 if engine is None else engine.adapter_slots - held
        lack = RETIRED_AHEAD - max(0, free) - len(self._retired)
        for adapter in self._idle():
            if lack <= 0:
                return
            if adapter not in self._retired:
                self._retired[adapter] = self._clock()
                lack -= 1

    async def _order(
        self,
        kind: domain.OrderKind,
        adapter: domain.AdapterName,
        version: int | None,
        is_question: bool = False,
    ) -> _engine_client.OrderOutcome:
        """Give an order; a question repeats one that is in progress.

        Without knowing how many orders the engine has accepted none is
        given: one whose answer was lost might still be carried out.
        """
        if self._accepted is None:
            return _engine_client.OrderOutcome.REFUSED
        order = domain.Order(
            kind,
            adapter,
            self._vm,
            self.lease.fence,
            self._accepted,
            version,
        )
        outcome = _engine_client.OrderOutcome.REFUSED
        for _ in range(ORDER_ATTEMPTS):
            if not await self._leases.may_order(
                self.lease, self._hears_majority()
            ):
                return _engine_client.OrderOutcome.REFUSED
            outcome = await self._client.order(self.target, order)
            if outcome != _engine_client.OrderOutcome.UNKNOWN:
                break
        match outcome:
            case _engine_client.OrderOutcome.ACCEPTED if not is_question:
                self._accepted += 1
            case _engine_client.OrderOutcome.HOLDS if (
                kind == domain.OrderKind.UNLOAD
            ):
                # Carried out at once; a load that holds is not counted.
                self._accepted += 1
            case _engine_client.OrderOutcome.FENCED:
                self._leases.drop(
                    self.lease.target_id, 'the engine knows a later keeper'
                )
            case (
                _engine_client.OrderOutcome.UNKNOWN
                | _engine_client.OrderOutcome.REFUSED
                | _engine_client.OrderOutcome.BUSY
            ):
                # What the engine holds must be read anew, from a report
                # that is not older than this order.
                self._accepted = None
                self._reported_at = self._clock()
        return outcome
