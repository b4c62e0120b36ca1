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
IDLE_INTERVAL_SECONDS = 0.25

# Adapters in transit to one engine at a time; the platform's limit.
MAX_CONCURRENT_LOADS = 4

# Seconds until the first question whether an adapter has arrived, by where
# it comes from: the engine's host or the store of weights. Between two
# questions, and until it is given up.
HOST_FIRST_POLL_SECONDS = 0.028
STORE_FIRST_POLL_SECONDS = 0.252
POLL_INTERVAL_SECONDS = 0.03
LOAD_TIMEOUT_SECONDS = 6.0

# Times that an order is repeated while it gets no answer. The count of
# accepted orders that it names keeps an engine from obeying it twice.
MAX_ORDER_ATTEMPTS = 4

# Seconds between two reports while an order's outcome is not known, and in
# quiet times.
REPORT_RETRY_SECONDS = 0.25
REPORT_INTERVAL_SECONDS = 10.0

# Seconds between two orders to load the same model.
MODEL_LOAD_RETRY_SECONDS = 3.0


@dataclasses.dataclass(slots=True)
class _LoadRequest:
    adapter: domain.AdapterName
    version: int
    deadline: float
    objective_at: float
    done: trio.Event = dataclasses.field(default_factory=trio.Event)
    is_loaded: bool = False


class EngineController:
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
        has_quorum: abc.Callable[[], bool],
        choose_model: abc.Callable[[], str | None],
        was_resident: abc.Callable[[str, domain.AdapterName], bool],
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
        self._has_quorum = has_quorum
        self._choose_model = choose_model
        self._was_resident = was_resident
        self._is_held_elsewhere = is_held_elsewhere
        self._contents = _engine_contents.EngineContents(
            target.target_id, clock, is_in_use
        )
        self._requests: list[_LoadRequest] = []
        self._accepted_orders: int | None = None
        self._wake_up = trio.Event()
        self._report_requested_at = float('-inf')
        self._model_ordered_at = float('-inf')
        self.is_acting = False

    async def request_load(
        self,
        adapter: domain.AdapterName,
        version: int,
        timeout: float,
        slack: float = 0.0,
    ) -> bool:
        """Wait until an adapter is in place; False where it cannot be.

        Calls that can still be answered in time go before those that will
        be late after `slack` seconds whatever happens.
        """
        now = self._clock()
        self._contents.touch(adapter)
        self._contents.reserve(adapter)
        if self._contents.has(adapter, version):
            return True
        request = _LoadRequest(adapter, version, now + timeout, now + slack)
        self._requests.append(request)
        self._wake_up.set()
        with trio.move_on_after(timeout):
            await request.done.wait()
        if request in self._requests:
            self._requests.remove(request)
        return request.is_loaded

    @property
    def resident(self) -> dict[domain.AdapterName, int]:
        """Return the version of each model and adapter in place."""
        return self._contents.resident

    def touch(self, adapter: domain.AdapterName) -> None:
        """Note that an adapter is used."""
        self._contents.touch(adapter)

    def advertised(self) -> dict[domain.AdapterName, int]:
        """Return what other nodes may use without asking."""
        return self._contents.advertised()

    def free_slots(self) -> int:
        """Return how many adapters can be taken now, less those that wait."""
        return self._contents.free_slots(
            self._adapter_slots(), self._requested()
        )

    def _adapter_slots(self) -> int:
        engine = self._engine()
        return engine.adapter_slots if engine else 0

    def _requested(self) -> set[domain.AdapterName]:
        return {request.adapter for request in self._requests}

    async def run(self) -> None:
        """Serve wants until the lease is lost."""
        while self._leases.by_target.get(self.lease.target_id) is self.lease:
            self._wake_up = trio.Event()
            has_quorum = self._has_quorum()
            self.is_acting = await self._leases.may_order(
                self.lease, has_quorum
            )
            if self.is_acting:
                await self._reconcile()
            if self._wake_up.is_set():
                continue
            with trio.move_on_after(self._wait_seconds()):
                await self._wake_up.wait()
        self._fail_requests()

    def _wait_seconds(self) -> float:
        now = self._clock()
        due = [
            each.next_poll_at - now for each in self._contents.loading.values()
        ]
        if not self.is_acting:
            due.append(self.lease.effective_from - now)
        pause = min(
            [IDLE_INTERVAL_SECONDS, *(each for each in due if each > 0)]
        )
        return max(0.005, pause)

    def _fail_requests(self) -> None:
        for request in self._requests:
            request.done.set()
        self._requests.clear()

    async def _reconcile(self) -> None:
        if not await self._refresh_report():
            return
        await self._load_model()
        await self._poll_loading()
        await self._replace_old_versions()
        self._finish_requests()
        self._contents.choose_candidates(
            self._adapter_slots(), self._requested()
        )
        for request in self._requests_by_priority():
            if len(self._contents.loading) >= MAX_CONCURRENT_LOADS:
                return
            if not await self._start_load(request.adapter, request.version):
                return

    async def _refresh_report(self) -> bool:
        """Make sure that the engine's contents are known."""
        now = self._clock()
        pause = REPORT_INTERVAL_SECONDS
        if self._accepted_orders is None:
            pause = REPORT_RETRY_SECONDS
        if now - self._report_requested_at < pause:
            return self._accepted_orders is not None
        self._report_requested_at = now
        report = await self._client.report(self.target)
        if report is None:
            return self._accepted_orders is not None
        if self._accepted_orders is None or not self._contents.loading:
            # Else the report lags behind the orders in progress.
            self._apply_report(report)
        return True

    def _apply_report(self, report: domain.EngineReport) -> None:
        self._accepted_orders = report.accepted_orders
        self._contents.apply_report(report)

    async def _load_model(self) -> None:
        """Load a model where the engine holds none."""
        now = self._clock()
        if any(not adapter.adapter for adapter in self.resident):
            return
        if now - self._model_ordered_at < MODEL_LOAD_RETRY_SECONDS:
            # Its arrival is seen by a report.
            self._accepted_orders = None
            return
        model = self._choose_model()
        if model is None:
            return
        self._model_ordered_at = now
        await self._send_order(
            domain.OrderKind.LOAD, domain.AdapterName(model), None
        )
        self._accepted_orders = None

    async def _poll_loading(self) -> None:
        """Find out which adapters have arrived, by ordering them again."""
        for adapter, loading in list(self._contents.loading.items()):
            now = self._clock()
            if now < loading.next_poll_at:
                continue
            outcome = await self._send_order(
                domain.OrderKind.LOAD,
                adapter,
                loading.version or None,
                is_poll=True,
            )
            if outcome == _engine_client.OrderOutcome.HOLDS:
                self._contents.mark_loaded(
                    adapter, max(loading.version, self._newest(adapter), 1)
                )
                log.info(
                    'MLB-6403',
                    target=self.target.target_id,
                    adapter=str(adapter),
                    version=self.resident[adapter],
                    seconds=round(self._clock() - loading.ordered_at, 3),
                )
                continue
            loading.next_poll_at = self._clock() + POLL_INTERVAL_SECONDS
            if now - loading.ordered_at > LOAD_TIMEOUT_SECONDS:
                self._contents.loading.pop(adapter, None)
                self._accepted_orders = None

    async def _replace_old_versions(self) -> None:
        """Replace or drop old versions that no request uses.

        One in use is left: the engine would wait for its requests and hold
        up those that come, while another engine takes the newer version.
        """
        for adapter, version in list(self.resident.items()):
            newest = self._newest(adapter)
            if not adapter.adapter or version >= newest:
                continue
            if (
                adapter in self._contents.loading
                or self._accepted_orders is None
            ):
                continue
            if self._contents.is_in_use(adapter):
                continue
            if self._is_held_elsewhere(adapter, newest):
                outcome = await self._send_order(
                    domain.OrderKind.UNLOAD, adapter, None
                )
                if outcome == _engine_client.OrderOutcome.HOLDS:
                    del self.resident[adapter]
                continue
            if len(self._contents.loading) >= MAX_CONCURRENT_LOADS:
                return
            await self._start_load(adapter, newest)

    def _finish_requests(self) -> None:
        now = self._clock()
        for request in list(self._requests):
            if self._contents.has(request.adapter, request.version):
                request.is_loaded = True
            elif now < request.deadline:
                continue
            request.done.set()
            self._requests.remove(request)

    def _requests_by_priority(self) -> list[_LoadRequest]:
        """Return a want for each adapter to load, the best first.

        First those that can be in time, then those with most calls, then
        those that have waited longest.
        """
        now = self._clock()
        by_adapter: dict[domain.AdapterName, list[_LoadRequest]] = {}
        for request in self._requests:
            if request.adapter not in self._contents.loading:
                by_adapter.setdefault(request.adapter, []).append(request)

        def rank(requests: list[_LoadRequest]) -> tuple[bool, int]:
            load_time = STORE_FIRST_POLL_SECONDS
            adapter = requests[0].adapter
            if self._was_resident(self.target.target_id, adapter):
                load_time = HOST_FIRST_POLL_SECONDS
            in_time = sum(
                now + load_time < each.objective_at for each in requests
            )
            return not in_time, -len(requests)

        return [
            requests[0] for requests in sorted(by_adapter.values(), key=rank)
        ]

    def notify_usage_changed(self) -> None:
        """Look again whether an adapter is no longer in use."""
        if self._requests:
            self._wake_up.set()

    async def _start_load(
        self, adapter: domain.AdapterName, version: int
    ) -> bool:
        """Order a load; False where the engine takes none now."""
        if adapter not in self.resident and not await self._make_room(adapter):
            return True
        load_version = max(version, self._newest(adapter))
        outcome = await self._send_order(
            domain.OrderKind.LOAD, adapter, load_version or None
        )
        now = self._clock()
        match outcome:
            case _engine_client.OrderOutcome.ACCEPTED:
                on_host = self._was_resident(self.target.target_id, adapter)
                poll_delay = (
                    HOST_FIRST_POLL_SECONDS
                    if on_host
                    else (STORE_FIRST_POLL_SECONDS)
                )
                self._contents.loading[adapter] = _engine_contents.Loading(
                    now, load_version, now + poll_delay
                )
            case _engine_client.OrderOutcome.HOLDS:
                self.resident[adapter] = max(load_version, 1)
                self._wake_up.set()
            case _:
                return False
        return True

    async def _make_room(self, adapter: domain.AdapterName) -> bool:
        """Unload what was not used for longest; False where all is in use."""
        engine = self._engine()
        if engine is None:
            return False
        while self._contents.is_full(engine, adapter):
            victim = self._contents.choose_victim(self._requested())
            if victim is None:
                return False
            outcome = await self._send_order(
                domain.OrderKind.UNLOAD, victim, None
            )
            if outcome != _engine_client.OrderOutcome.HOLDS:
                if outcome == _engine_client.OrderOutcome.ACCEPTED:
                    # It waits for requests that arrived meanwhile.
                    self.resident.pop(victim, None)
                    self._accepted_orders = None
                return False
            self.resident.pop(victim, None)
        return True

    async def _send_order(
        self,
        kind: domain.OrderKind,
        adapter: domain.AdapterName,
        version: int | None,
        is_poll: bool = False,
    ) -> _engine_client.OrderOutcome:
        """Give an order; a question repeats one that is in progress.

        Without knowing how many orders the engine has accepted none is
        given: one whose answer was lost might still be carried out.
        """
        if self._accepted_orders is None:
            return _engine_client.OrderOutcome.REFUSED
        order = domain.Order(
            kind,
            adapter,
            self._vm,
            self.lease.fence,
            self._accepted_orders,
            version,
        )
        outcome = _engine_client.OrderOutcome.REFUSED
        for _ in range(MAX_ORDER_ATTEMPTS):
            if not await self._leases.may_order(
                self.lease, self._has_quorum()
            ):
                return _engine_client.OrderOutcome.REFUSED
            outcome = await self._client.order(self.target, order)
            if outcome != _engine_client.OrderOutcome.UNKNOWN:
                break
        match outcome:
            case _engine_client.OrderOutcome.ACCEPTED if not is_poll:
                self._accepted_orders += 1
            case _engine_client.OrderOutcome.HOLDS if (
                kind == domain.OrderKind.UNLOAD
            ):
                # Carried out at once; a load that holds is not counted.
                self._accepted_orders += 1
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
                self._accepted_orders = None
                self._report_requested_at = self._clock()
        return outcome
