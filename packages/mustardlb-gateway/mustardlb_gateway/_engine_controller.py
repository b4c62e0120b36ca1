"""Controls one engine: loads, evictions and version changes.

Commands are sent one at a time.
"""

from collections import abc

import structlog
import trio

from mustardlb_gateway import _engine_client
from mustardlb_gateway import _engine_contents
from mustardlb_gateway import _leases
from mustardlb_gateway import _load_requests
from mustardlb_gateway import _messages
from mustardlb_gateway import _prefill_queue
from mustardlb_gateway import _timers
from mustardlb_gateway import domain

log = structlog.get_logger()

IDLE_INTERVAL_SECONDS = 0.25

# Requests that arrive within this time are handled together, since each round
# takes time in proportion to all that are waiting.
BATCH_SECONDS = 0.01

# The platform allows no more concurrent adapter loads per engine.
MAX_CONCURRENT_LOADS = 4

# Delay from a load command to the first poll for its completion. Adapters in
# host memory load faster than those from the weight store.
HOST_FIRST_POLL_SECONDS = 0.028
STORE_FIRST_POLL_SECONDS = 0.252
POLL_INTERVAL_SECONDS = 0.03
LOAD_TIMEOUT_SECONDS = 6.0

# An engine that waits to unload an adapter in use accepts no other command.
# The command is repeated at this interval to learn when it is done.
UNLOAD_POLL_SECONDS = 0.1

# A command is repeated if it gets no response. The engine does not execute it
# twice, because each command states the expected count of accepted commands.
MAX_COMMAND_ATTEMPTS = 4

# The retry interval applies while the outcome of a command is unknown.
REPORT_RETRY_SECONDS = 0.25
REPORT_INTERVAL_SECONDS = 10.0

MODEL_LOAD_RETRY_SECONDS = 3.0


class EngineController:
    """Controls an engine under a lease held by this node.

    :ivar is_acting: the lease permits commands now
    """

    def __init__(
        self,
        target: domain.Target,
        lease: _leases.Lease,
        leases: _leases.Leases,
        client: _engine_client.EngineClient,
        vm: str,
        clock: abc.Callable[[], float],
        engine: abc.Callable[[], domain.EngineSpec | None],
        newest_version: abc.Callable[[domain.AdapterName], int],
        is_in_use: abc.Callable[[str, domain.AdapterName], bool],
        has_quorum: abc.Callable[[], bool],
        choose_model: abc.Callable[[], str | None],
        was_resident: abc.Callable[[str, domain.AdapterName], bool],
        is_resident_elsewhere: abc.Callable[[domain.AdapterName, int], bool],
        load_age: abc.Callable[[], float],
    ) -> None:
        self.target = target
        self.lease = lease
        self._leases = leases
        self._client = client
        self._vm = vm
        self._clock = clock
        self._engine = engine
        self._newest_version = newest_version
        self._has_quorum = has_quorum
        self._choose_model = choose_model
        self._was_resident = was_resident
        self._is_resident_elsewhere = is_resident_elsewhere
        self._load_age = load_age
        self._contents = _engine_contents.EngineContents(
            target.target_id, clock, is_in_use, load_age
        )
        self._prefill_queue = _prefill_queue.PrefillQueue()
        self._pending_unload: domain.AdapterName | None = None
        self._requests = _load_requests.LoadRequests()
        self._accepted_commands: int | None = None
        self._wake_up = trio.Event()
        self._report_requested_at = float('-inf')
        self._model_load_at = float('-inf')
        self.is_acting = False

    async def request_load(
        self,
        adapter: domain.AdapterName,
        version: int,
        timeout: float,
        slack: float = 0.0,
        priority: int = _messages.DEFAULT_PRIORITY,
        account: str = '',
        tokens: int = 0,
    ) -> bool:
        """Return whether an adapter is loaded within `timeout` seconds.

        Requests that can still meet their latency objective, which is due
        in `slack` seconds, are served before the others, in the order of
        their priority and of the tokens served lately to their account.
        """
        now = self._clock()
        self._contents.touch(adapter, priority)
        self._contents.reserve(adapter)
        if self._contents.has(adapter, version):
            self._requests.record_served(account, tokens, now)
            return True
        self._wake_up.set()
        return await self._requests.wait(
            _load_requests.LoadRequest(
                adapter,
                version,
                now + timeout,
                now + slack,
                priority,
                account,
                tokens,
                # A late call was counted where it became late.
                is_counted=slack <= 0,
            ),
            timeout,
        )

    def reserve(
        self,
        request: _messages.Reserve,
        reported_tokens: int,
        slowdown: float = 1.0,
    ) -> _messages.Reserved:
        """Reserve time for a prompt if the queue is short enough for it.

        The adapter of an accepted prompt is not evicted before the digests
        show the request.

        :param reported_tokens: prompt tokens that the engine has to prefill
            by the digests of all nodes
        :param slowdown: time that the engine takes, as a ratio of the usual
        """
        now = self._clock()
        queue = self._prefill_queue.seconds(
            now, reported_tokens, self._load_age(), slowdown
        )
        adapter = request.adapter
        is_resident = request.is_load or self._contents.has(
            adapter, request.version
        )
        is_accepted = is_resident and queue <= request.max_queue
        if is_accepted:
            self._prefill_queue.add(request.tokens, now)
            self._contents.touch(adapter, request.priority)
            self._contents.reserve(adapter)
            if not request.is_load:
                self._requests.record_served(
                    request.account, request.tokens, now
                )
        turn = None
        if request.is_load and not self._contents.has(
            adapter, request.version
        ):
            turn = self._requests.turn(
                request.priority, request.account, request.slack
            )
        return _messages.Reserved(True, is_accepted, is_resident, queue, turn)

    @property
    def resident(self) -> dict[domain.AdapterName, int]:
        """Return the version of each resident model and adapter."""
        return self._contents.resident

    def touch(self, adapter: domain.AdapterName) -> None:
        """Record a use of an adapter."""
        self._contents.touch(adapter)

    def advertised(self) -> dict[domain.AdapterName, int]:
        """Return the adapters advertised to the other nodes."""
        return self._contents.advertised()

    def free_slots(self) -> int:
        """Return the free slots less those needed by pending requests."""
        return self._contents.free_slots(
            self._adapter_slots(), self._requests.adapters()
        )

    def _adapter_slots(self) -> int:
        engine = self._engine()
        return engine.adapter_slots if engine else 0

    async def run(self) -> None:
        """Serve load requests until the lease is lost."""
        while self._leases.by_target.get(self.lease.target_id) is self.lease:
            self._wake_up = trio.Event()
            has_quorum = self._has_quorum()
            self.is_acting = await self._leases.may_send_commands(
                self.lease, has_quorum
            )
            if self.is_acting:
                await self._reconcile()
            if len(self._requests) > MAX_CONCURRENT_LOADS:
                await trio.sleep(BATCH_SECONDS)
            if self._wake_up.is_set():
                continue
            now, wait_seconds = trio.current_time(), self._wait_seconds()
            deadline = now + wait_seconds
            if not self._contents.loading:
                deadline = _timers.deadline_after(wait_seconds, now)
            with trio.move_on_at(deadline):
                await self._wake_up.wait()
        self._requests.fail_all()

    def _wait_seconds(self) -> float:
        """Return the time until the next poll or the start of the lease."""
        now = self._clock()
        due = [
            each.next_poll_at - now for each in self._contents.loading.values()
        ]
        if self._pending_unload is not None:
            due.append(UNLOAD_POLL_SECONDS)
        if not self.is_acting:
            due.append(self.lease.effective_from - now)
        delay = min(
            [IDLE_INTERVAL_SECONDS, *(each for each in due if each > 0)]
        )
        return max(0.005, delay)

    async def _reconcile(self) -> None:
        """Poll and start loads, and finish requests that are due."""
        if not await self._refresh_report():
            return
        await self._load_model()
        if await self._poll_unload():
            await self._poll_loading()
            await self._replace_old_versions()
        self._requests.finish(self._contents.has, self._clock())
        self._contents.choose_candidates(
            self._adapter_slots(), self._requests.adapters()
        )
        has_room = True
        for due in self._requests.by_priority(
            self._contents.loading, self._first_poll_seconds, self._clock()
        ):
            if len(self._contents.loading) >= MAX_CONCURRENT_LOADS:
                return
            if due.adapter not in self.resident:
                # If there is no room for one adapter, there is none for the
                # others, of which many may be waiting.
                has_room = has_room and await self._make_room(
                    due.adapter, due.priority
                )
                if not has_room:
                    continue
            if self._pending_unload is not None:
                return
            if not await self._start_load(due.adapter, due.version):
                return
            self._requests.record_start()

    async def _refresh_report(self) -> bool:
        """Request a report if one is due.

        Return whether the count of accepted commands is known.
        """
        now = self._clock()
        interval = REPORT_INTERVAL_SECONDS
        if self._accepted_commands is None:
            interval = REPORT_RETRY_SECONDS
        if now - self._report_requested_at < interval:
            return self._accepted_commands is not None
        self._report_requested_at = now
        report = await self._client.report(self.target)
        if report is None:
            return self._accepted_commands is not None
        if self._accepted_commands is None or not self._contents.loading:
            # Otherwise the report is ignored, because during a load it may be
            # older than the last command.
            self._apply_report(report)
        return True

    def _apply_report(self, report: domain.EngineReport) -> None:
        self._accepted_commands = report.accepted_commands
        self._contents.apply_report(report)

    async def _load_model(self) -> None:
        """Start a model load if the engine has no model."""
        now = self._clock()
        if any(not adapter.adapter for adapter in self.resident):
            return
        if now - self._model_load_at < MODEL_LOAD_RETRY_SECONDS:
            # Clearing the count requests a report, which shows whether the
            # model is loaded.
            self._accepted_commands = None
            return
        model = self._choose_model()
        if model is None:
            return
        self._model_load_at = now
        await self._send_command(
            domain.CommandKind.LOAD, domain.AdapterName(model), None
        )
        self._accepted_commands = None

    async def _poll_loading(self) -> None:
        """Poll pending loads by repeating their commands."""
        for adapter, loading in list(self._contents.loading.items()):
            now = self._clock()
            if now < loading.next_poll_at:
                continue
            outcome = await self._send_command(
                domain.CommandKind.LOAD,
                adapter,
                loading.version or None,
                is_poll=True,
            )
            if outcome == _engine_client.CommandOutcome.HOLDS:
                self._contents.mark_loaded(
                    adapter,
                    max(loading.version, self._newest_version(adapter), 1),
                )
                log.info(
                    'MLB-6403',
                    target=self.target.target_id,
                    adapter=str(adapter),
                    version=self.resident[adapter],
                    seconds=round(self._clock() - loading.started_at, 3),
                )
                continue
            loading.next_poll_at = self._clock() + POLL_INTERVAL_SECONDS
            if now - loading.started_at > LOAD_TIMEOUT_SECONDS:
                self._contents.loading.pop(adapter, None)
                self._accepted_commands = None

    async def _poll_unload(self) -> bool:
        """Poll a pending unload; return whether there is none any more."""
        if self._pending_unload is None:
            return True
        outcome = await self._send_command(
            domain.CommandKind.UNLOAD,
            self._pending_unload,
            None,
            is_poll=True,
        )
        if outcome == _engine_client.CommandOutcome.ACCEPTED:
            return False
        # A report that came meanwhile may have listed the adapter.
        self.resident.pop(self._pending_unload, None)
        self._pending_unload = None
        return True

    async def _unload(self, adapter: domain.AdapterName) -> bool:
        """Unload an adapter; return whether its slot is free now."""
        outcome = await self._send_command(
            domain.CommandKind.UNLOAD, adapter, None
        )
        if outcome == _engine_client.CommandOutcome.ACCEPTED:
            # Requests that arrived meanwhile have to finish first.
            self._pending_unload = adapter
        is_free = outcome == _engine_client.CommandOutcome.HOLDS
        if is_free or self._pending_unload == adapter:
            self.resident.pop(adapter, None)
        return is_free

    async def _replace_old_versions(self) -> None:
        """Replace or unload stale adapter versions that are not in use.

        A version in use is kept: a replacement would block new requests
        until the requests in flight finish, and another engine can load the
        newer version meanwhile.
        """
        for adapter, version in list(self.resident.items()):
            newest = self._newest_version(adapter)
            if not adapter.adapter or version >= newest:
                continue
            if (
                adapter in self._contents.loading
                or self._accepted_commands is None
            ):
                continue
            if self._contents.is_in_use(adapter):
                continue
            if self._is_resident_elsewhere(adapter, newest):
                if not await self._unload(adapter):
                    return
                continue
            if len(self._contents.loading) >= MAX_CONCURRENT_LOADS:
                return
            await self._start_load(adapter, newest)

    def notify_usage_changed(self) -> None:
        """Retry pending requests, since an adapter may be idle now."""
        if self._requests:
            self._wake_up.set()

    async def _start_load(
        self, adapter: domain.AdapterName, version: int
    ) -> bool:
        """Start a load; return False if the engine accepts no load now."""
        load_version = max(version, self._newest_version(adapter))
        outcome = await self._send_command(
            domain.CommandKind.LOAD, adapter, load_version or None
        )
        now = self._clock()
        match outcome:
            case _engine_client.CommandOutcome.ACCEPTED:
                self._contents.loading[adapter] = _engine_contents.Loading(
                    now, load_version, now + self._first_poll_seconds(adapter)
                )
            case _engine_client.CommandOutcome.HOLDS:
                self.resident[adapter] = max(load_version, 1)
                self._wake_up.set()
            case _:
                return False
        return True

    def _first_poll_seconds(self, adapter: domain.AdapterName) -> float:
        """Return the time from a load command to the first poll."""
        if self._was_resident(self.target.target_id, adapter):
            return HOST_FIRST_POLL_SECONDS
        return STORE_FIRST_POLL_SECONDS

    async def _make_room(
        self, adapter: domain.AdapterName, priority: int
    ) -> bool:
        """Evict the least used adapters until another one fits.

        Those used lately by more urgent calls are evicted last.

        Return False if no adapter can be evicted now.
        """
        engine = self._engine()
        if engine is None:
            return False
        while self._contents.is_full(engine, adapter):
            victim = self._contents.choose_victim(
                self._requests.adapters(), priority
            )
            if victim is None:
                return False
            if not await self._unload(victim):
                return False
        return True

    def _is_permitted_since(self, seen_at: float) -> abc.Callable[[], bool]:
        """Return a check whether a lease seen at a time permits commands.

        This process may be paused between the two.
        """

        def is_permitted() -> bool:
            return (
                self._clock() - seen_at <= _leases.MAX_COMMAND_DELAY_SECONDS
                and self._leases.by_target.get(self.lease.target_id)
                is self.lease
            )

        return is_permitted

    async def _send_command(
        self,
        kind: domain.CommandKind,
        adapter: domain.AdapterName,
        version: int | None,
        is_poll: bool = False,
    ) -> _engine_client.CommandOutcome:
        """Send a command and return its outcome.

        No command is sent while the count of accepted commands is unknown,
        because an earlier command without a response may still be executed.

        :param is_poll: the command repeats one in progress
        """
        if self._accepted_commands is None:
            return _engine_client.CommandOutcome.REFUSED
        command = domain.Command(
            kind,
            adapter,
            self._vm,
            self.lease.fence,
            self._accepted_commands,
            version,
        )
        outcome = _engine_client.CommandOutcome.REFUSED
        for _ in range(MAX_COMMAND_ATTEMPTS):
            if not await self._leases.may_send_commands(
                self.lease, self._has_quorum()
            ):
                return _engine_client.CommandOutcome.REFUSED
            outcome = await self._client.send_command(
                self.target, command, self._is_permitted_since(self._clock())
            )
            if outcome != _engine_client.CommandOutcome.UNKNOWN:
                break
        match outcome:
            case _engine_client.CommandOutcome.ACCEPTED if not is_poll:
                self._accepted_commands += 1
            case _engine_client.CommandOutcome.HOLDS if (
                kind == domain.CommandKind.UNLOAD and not is_poll
            ):
                # An unload that completes at once is counted. A load of an
                # adapter that is resident already is not counted.
                self._accepted_commands += 1
            case _engine_client.CommandOutcome.FENCED:
                self._leases.drop(
                    self.lease.target_id,
                    'the engine has a higher fencing token',
                )
            case (
                _engine_client.CommandOutcome.UNKNOWN
                | _engine_client.CommandOutcome.REFUSED
                | _engine_client.CommandOutcome.BUSY
            ):
                # The contents must be read from a report that is not older
                # than this command.
                self._accepted_commands = None
                self._report_requested_at = self._clock()
        return outcome
