"""Keeps one engine: loads, evictions and versions, one order at a time."""

from collections import abc
import dataclasses

import structlog
import trio

from mustardlb_gateway import _engine_client
from mustardlb_gateway import _engine_contents
from mustardlb_gateway import _leases
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
        self._hears_majority = hears_majority
        self._choose_model = choose_model
        self._was_held = was_held
        self._is_held_elsewhere = is_held_elsewhere
        self._contents = _engine_contents.EngineContents(
            target.target_id, clock, is_in_use
        )
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
        self._contents.touch(adapter)
        self._contents.grant(adapter)
        if self._contents.has(adapter, version):
            return True
        want = _Want(adapter, version, now + patience, now + slack)
        self._wants.append(want)
        self._work.set()
        with trio.move_on_after(patience):
            await want.done.wait()
        if want in self._wants:
            self._wants.remove(want)
        return want.is_there

    @property
    def resident(self) -> dict[domain.AdapterName, int]:
        """Return the version of each model and adapter in place."""
        return self._contents.resident

    def touch(self, adapter: domain.AdapterName) -> None:
        """Note that an adapter is used."""
        self._contents.touch(adapter)

    def published(self) -> dict[domain.AdapterName, int]:
        """Return what other nodes may use without asking."""
        return self._contents.published()

    def room(self) -> int:
        """Return how many adapters can be taken now, less those that wait."""
        return self._contents.room(self._slots(), self._waiting())

    def _slots(self) -> int:
        engine = self._engine()
        return engine.adapter_slots if engine else 0

    def _waiting(self) -> set[domain.AdapterName]:
        return {want.adapter for want in self._wants}

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
        due = [each.ask_at - now for each in self._contents.loading.values()]
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
        self._contents.retire_ahead(self._slots(), self._waiting())
        for want in self._in_order():
            if len(self._contents.loading) >= MOST_LOADING:
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
        if self._accepted is None or not self._contents.loading:
            # Else the report lags behind the orders in progress.
            self._take(report)
        return True

    def _take(self, report: domain.EngineReport) -> None:
        self._accepted = report.accepted_orders
        self._contents.take(report)

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
        for adapter, loading in list(self._contents.loading.items()):
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
                self._contents.arrive(
                    adapter, max(loading.version, self._newest(adapter), 1)
                )
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
                self._contents.loading.pop(adapter, None)
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
            if adapter in self._contents.loading or self._accepted is None:
                continue
            if self._contents.is_in_use(adapter):
                continue
            if self._is_held_elsewhere(adapter, newest):
                outcome = await self._order(
                    domain.OrderKind.UNLOAD, adapter, None
                )
                if outcome == _engine_client.OrderOutcome.HOLDS:
                    del self.resident[adapter]
                continue
            if len(self._contents.loading) >= MOST_LOADING:
                return
            await self._start_load(adapter, newest)

    def _settle_wants(self) -> None:
        now = self._clock()
        for want in list(self._wants):
            if self._contents.has(want.adapter, want.version):
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
            if want.adapter not in self._contents.loading:
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
                self._contents.loading[adapter] = _engine_contents.Loading(
                    now, wanted, now + first
                )
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
        while self._contents.is_full(engine, adapter):
            victim = self._contents.victim(self._waiting())
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
