"""A simulated engine: adapter slots, commands, reports and a log."""

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
    """Settings of a simulated engine.

    :ivar base_model: model that is always loaded, without a slot
    :ivar slots: number of adapter slots
    :ivar batch: maximum number of running requests
    :ivar queue: maximum number of waiting requests
    :ivar step_time: seconds to generate a token of each running request
    :ivar prefill_time: seconds to process a prompt token that is not cached
    :ivar checks_fencing: rejects commands with a fencing token lower than
        the highest received one
    :ivar refuses_in_use: rejects the eviction of an adapter in use
    :ivar falls_back: runs the base model if the adapter is not loaded
    :ivar report_lag: lag of load reports and cache events in seconds
    :ivar cache_size: number of prefixes that the cache holds
    :ivar event_gap: drops every cache event whose number is a multiple of
        this, 0 drops none
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
    """An event in the log of an engine, which tests compare with rules.

    :ivar kind: 'load', 'loaded', 'evict', 'evicted', 'run', 'fenced',
        'evicted_in_use', 'not_loaded', 'fell_back', 'restart' and others
    """

    time: float
    kind: str
    model: str = ''
    fence: int = 0
    request_id: str = ''


class NotLoaded(Exception):
    """The requested model is not loaded."""


class QueueFull(Exception):
    """The queue of waiting requests is full."""


@dataclasses.dataclass(slots=True, eq=False)
class Engine:
    """An engine in memory.

    The fault steps are 'load:<model>', 'evict:<model>', 'role', 'report',
    'cache_events', 'export', 'import' and 'cancel'; the HTTP application
    adds 'complete:<model>' and 'stream:<model>'.

    :ivar fetch: loads the weights of a model, None for immediate loads
    :ivar log: commands and events of the engine, in order
    :ivar received: all received requests
    :ivar resident: loaded adapters
    :ivar incarnation: identifier that changes on restart
    :ivar highest_fence: highest fencing token received
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
        """Run the scheduler until cancelled."""
        await self.scheduler.run()

    def kinds(self, kind: str) -> list[LogEntry]:
        """Return the log entries of a kind, in order."""
        return [entry for entry in self.log if entry.kind == kind]

    def restart(self) -> None:
        """Reset the state, as a crash and a cold start would."""
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
                raise engine.EngineRejected(
                    'value is not the KV cache of the prefix'
                )
            self.scheduler.cache.touch(prefix, trio.current_time())

        await self._run_command('import', effect)

    async def cancel(self, request_id: str) -> None:
        """See engine.Engine."""

        async def effect() -> None:
            self._record('cancel', request_id=request_id)
            self.scheduler.cancel(request_id)

        await self._run_command('cancel', effect)

    def start(self, request: generation.Request) -> generation.Stream:
        """Start a completion. Raises NotLoaded or QueueFull."""
        served_model = request.model
        if not self.has_model(served_model):
            self._record(
                'not_loaded', served_model, request_id=request.request_id
            )
            if not self.settings.falls_back:
                raise NotLoaded(served_model)
            self._record(
                'fell_back', served_model, request_id=request.request_id
            )
            served_model = self.settings.base_model
        if self.scheduler.is_full():
            raise QueueFull
        self._record('run', served_model, request_id=request.request_id)
        return self.scheduler.start(request, served_model)

    def has_model(self, model: str) -> bool:
        """Return whether the model is loaded."""
        return model in self.resident or model == self.settings.base_model

    async def _load(self, model: str, fence: int) -> None:
        self._record('load', model, fence)
        self._check_fence(model, fence)
        if self.has_model(model):
            return
        if len(self.resident | self.loading | {model}) > self.settings.slots:
            raise engine.SlotsFull(
                f'all {self.settings.slots} slots are in use'
            )
        self.loading.add(model)
        incarnation = self.incarnation
        try:
            if self.fetch is not None:
                await self.fetch(model)
        except OSError as error:
            self.loading.discard(model)
            self._record('load_failed', model, fence)
            raise engine.LoadFailed(str(error)) from error
        if incarnation != self.incarnation or model not in self.loading:
            raise engine.LoadFailed('load was cancelled')
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
            raise engine.LoadFailed('load failed')
        try:
            return await faults.inject(fault, effect)
        except faults.NoResponse as error:
            raise engine.EngineUnavailable('no response') from error

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
        """Return the current load report, without lag."""
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
