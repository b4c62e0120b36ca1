"""The stand-in of an engine: adapter slots, orders, reports and an oracle."""

from collections import abc
import dataclasses
import itertools
from typing import Any
from typing import TypeVar

import trio

from mustardlb import engine
from mustardlb_standins import faults
from mustardlb_standins import generation
from mustardlb_standins import weight_store

T = TypeVar('T')

_incarnation_numbers = itertools.count(1)


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """How an engine behaves.

    :ivar base_model: always held, takes no slot
    :ivar slots: adapters that fit
    :ivar batch: requests that run at once
    :ivar queue: requests that wait at most
    :ivar step_time: seconds for one token of every running request
    :ivar prefill_time: seconds for one prompt token that is not cached
    :ivar checks_fencing: refuses an order below the highest number seen
    :ivar refuses_in_use: refuses to evict an adapter in use
    :ivar falls_back: runs the base model where the adapter is missing
    :ivar report_lag: seconds by which load report and cache events lag
    :ivar cache_size: prefixes that the cache holds
    :ivar event_gap: every so many cache events one is lost, 0 for none
    """

    base_model: str = 'base@1'
    slots: int = 4
    batch: int = 16
    queue: int = 64
    step_time: float = 0.02
    prefill_time: float = 0.0002
    checks_fencing: bool = True
    refuses_in_use: bool = False
    falls_back: bool = False
    report_lag: float = 0.5
    cache_size: int = 64
    event_gap: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class LogEntry:
    """One line of the oracle's log.

    :ivar kind: 'load', 'loaded', 'evict', 'evicted', 'run', 'fenced',
        'evicted_in_use', 'not_loaded', 'fell_back', 'restart' and others
    """

    time: float
    kind: str
    model: str = ''
    fence: int = 0
    request_id: str = ''


class NotLoaded(Exception):
    """The model asked for is not resident."""


class QueueFull(Exception):
    """No more requests may wait."""


@dataclasses.dataclass(slots=True, eq=False)
class Engine:
    """An Engine in memory; fault steps are 'load:<model>' and so on.

    :ivar log: what it was told and did, in order
    :ivar received: every request as it came, for checks on what it saw
    """

    settings: Settings = Settings()
    fetch: weight_store.Fetch | None = None
    plan: faults.FaultPlan = dataclasses.field(
        default_factory=faults.FaultPlan
    )
    log: list[LogEntry] = dataclasses.field(default_factory=list)
    received: list[Any] = dataclasses.field(default_factory=list)
    resident: set[str] = dataclasses.field(default_factory=set)
    loading: set[str] = dataclasses.field(default_factory=set)
    incarnation: str = ''
    highest_fence: int = 0
    role: str = 'serve'
    scheduler: generation.Scheduler = dataclasses.field(init=False)
    _reports: list[tuple[float, engine.LoadReport]] = dataclasses.field(
        default_factory=list
    )

    def __post_init__(self) -> None:
        self.scheduler = generation.Scheduler(self.settings)
        self.incarnation = f'i{next(_incarnation_numbers)}'

    async def run(self) -> None:
        """Generate for the requests that run, for ever."""
        await self.scheduler.run()

    def kinds(self, kind: str) -> list[LogEntry]:
        """Pick the entries of a kind from the log."""
        return [entry for entry in self.log if entry.kind == kind]

    def restart(self) -> None:
        """Lose all memory, as a crash and a cold start do."""
        self._record('restart')
        self.incarnation = f'i{next(_incarnation_numbers)}'
        self.resident.clear()
        self.loading.clear()
        self.highest_fence = 0
        self.role = 'serve'
        self.scheduler.reset()

    async def load(self, model: str, fence: int) -> None:
        """See engine.Engine."""
        await self._run_command(
            f'load:{model}', lambda: self._load(model, fence)
        )

    async def evict(self, model: str, fence: int) -> None:
        """See engine.Engine."""
        await self._run_command(
            f'evict:{model}', lambda: self._evict(model, fence)
        )

    async def set_role(self, role: str, fence: int) -> None:
        """See engine.Engine."""

        async def effect() -> None:
            self._check_fence(role, fence)
            self.role = role

        await self._run_command('role', effect)

    async def load_report(self) -> engine.LoadReport:
        """See engine.Engine."""

        async def effect() -> engine.LoadReport:
            return self._lagging_report()

        return await self._run_command('report', effect)

    async def cache_events(self, after: int) -> engine.CacheEvents:
        """See engine.Engine."""

        async def effect() -> engine.CacheEvents:
            return self.scheduler.cache.events(after, trio.current_time())

        return await self._run_command('cache_events', effect)

    async def export_kv(self, prefix: str) -> bytes:
        """See engine.Engine."""

        async def effect() -> bytes:
            if prefix not in self.scheduler.cache.prefixes:
                raise engine.EngineRejected('prefix is not cached')
            return prefix.encode()

        return await self._run_command('export', effect)

    async def import_kv(self, prefix: str, value: bytes) -> None:
        """See engine.Engine."""

        async def effect() -> None:
            if value != prefix.encode():
                raise engine.EngineRejected('not the KV cache of the prefix')
            self.scheduler.cache.touch(prefix, trio.current_time())

        await self._run_command('import', effect)

    async def cancel(self, request_id: str) -> None:
        """See engine.Engine."""

        async def effect() -> None:
            self._record('cancel', request_id=request_id)
            self.scheduler.cancel(request_id)

        await self._run_command('cancel', effect)

    def start(self, request: generation.Request) -> generation.Stream:
        """Accept a completion. Raises NotLoaded or QueueFull."""
        served = request.model
        if not self.has_model(served):
            self._record('not_loaded', served, request_id=request.request_id)
            if not self.settings.falls_back:
                raise NotLoaded(served)
            self._record('fell_back', served, request_id=request.request_id)
            served = self.settings.base_model
        if self.scheduler.is_full():
            raise QueueFull
        self._record('run', served, request_id=request.request_id)
        return self.scheduler.start(request, served)

    def has_model(self, model: str) -> bool:
        """Whether a request for the model could run now."""
        return model in self.resident or model == self.settings.base_model

    async def _load(self, model: str, fence: int) -> None:
        self._record('load', model, fence)
        self._check_fence(model, fence)
        if self.has_model(model):
            return
        if len(self.resident | self.loading | {model}) > self.settings.slots:
            raise engine.SlotsFull(f'{self.settings.slots} slots are taken')
        self.loading.add(model)
        before = self.incarnation
        try:
            if self.fetch is not None:
                await self.fetch(model)
        except OSError as error:
            self.loading.discard(model)
            self._record('load_failed', model, fence)
            raise engine.LoadFailed(str(error)) from error
        if before != self.incarnation or model not in self.loading:
            raise engine.LoadFailed('given up')
        self.loading.discard(model)
        self.resident.add(model)
        self._record('loaded', model, fence)

    async def _evict(self, model: str, fence: int) -> None:
        self._record('evict', model, fence)
        self._check_fence(model, fence)
        if self.scheduler.is_in_use(model):
            if self.settings.refuses_in_use:
                raise engine.AdapterInUse(model)
            self._record('evicted_in_use', model, fence)
        self.loading.discard(model)
        self.resident.discard(model)
        self._record('evicted', model, fence)

    def _check_fence(self, model: str, fence: int) -> None:
        if not self.settings.checks_fencing:
            return
        if fence < self.highest_fence:
            self._record('fenced', model, fence)
            raise engine.StaleFencingToken(self.highest_fence)
        self.highest_fence = fence

    async def _run_command(
        self, step: str, effect: abc.Callable[[], abc.Awaitable[T]]
    ) -> T:
        await trio.lowlevel.checkpoint()
        fault = self.plan.next_fault(step)
        if fault is None:
            return await effect()
        if fault.kind is faults.Kind.FAIL:
            raise engine.LoadFailed('failed')
        try:
            return await faults.inject(fault, effect)
        except faults.NoResponse as error:
            raise engine.EngineUnavailable('no answer') from error

    def _lagging_report(self) -> engine.LoadReport:
        now = trio.current_time()
        self._reports.append((now, self.report()))
        ready = [
            report
            for time, report in self._reports
            if time <= now - self.settings.report_lag
        ]
        del self._reports[: max(len(ready) - 1, 0)]
        return ready[-1] if ready else self._reports[0][1]

    def report(self) -> engine.LoadReport:
        """Give the load as it is, without lag."""
        return engine.LoadReport(
            incarnation=self.incarnation,
            slots=self.settings.slots,
            resident=tuple(sorted(self.resident)),
            running=self.scheduler.running_count(),
            waiting=self.scheduler.waiting_count(),
            batch_limit=self.settings.batch,
            kv_free=self.scheduler.cache.free_fraction(),
            role=self.role,
        )

    def _record(
        self, kind: str, model: str = '', fence: int = 0, request_id: str = ''
    ) -> None:
        now = trio.current_time()
        self.log.append(LogEntry(now, kind, model, fence, request_id))
