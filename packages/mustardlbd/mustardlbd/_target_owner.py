"""The owner of one engine: grants, loads, evictions and takeover."""

import functools
import math

import structlog
import trio

from mustardlb import engine
from mustardlb import errors
from mustardlb import routes
from mustardlbd import _engine_commands
from mustardlbd import _load_backoff
from mustardlbd import _load_queue
from mustardlbd import _permits
from mustardlbd import _residency
from mustardlbd import _target_context
from mustardlbd import _target_messages as messages

log = structlog.get_logger()

LOAD_REPORT_INTERVAL_SECONDS = 0.25

IDLE_REPORT_INTERVAL_SECONDS = 1.0

RETRY_INTERVAL_SECONDS = 0.2

# A request for a grant waits at most this long for its load.
MAX_ASK_WAIT_SECONDS = 5.0

# Time for nodes to close a grant before another adapter is evicted instead.
CLOSE_TIMEOUT_SECONDS = 2.0

# A node delays its reply to a close by up to this time while it is busy.
CLOSE_WAIT_SECONDS = 0.5

CLOSE_RETRY_SECONDS = 0.02

# Wait for a permit before the callers of a load try another engine.
PERMIT_TIMEOUT_SECONDS = 5.0

# The grants of a VM expire this long after it left the VM list.
DEPARTURE_DELAY_SECONDS = 5.0

CALL_TIMEOUT_SECONDS = 1.0

# A newly loaded adapter is not evicted in this time, so that the requests
# waiting for it get their grants.
EVICTION_GRACE_SECONDS = 0.1

# Wait for a free slot before the callers of a load try another engine.
SLOT_TIMEOUT_SECONDS = 3.0

SLOT_POLL_SECONDS = 0.02

# Concurrent loads of one engine, including those that wait for a slot or a
# permit.
LOADER_COUNT = 4

# Adapters that are reloaded without a request after an engine restart.
REWARM_LIMIT = 4


class TargetOwner:
    """Manages one engine in one epoch of this node's ownership."""

    def __init__(
        self,
        context: _target_context.TargetContext,
        target: routes.Target,
        commands: _engine_commands.EngineCommands,
        epoch: int,
    ) -> None:
        self._context = context
        self._target = target
        self._commands = commands
        self._epoch = epoch
        self._queue = _load_queue.LoadQueue()
        self._is_handed_over = False
        self._is_fenced = False
        self._report: engine.LoadReport | None = None
        self._load_backoff = _load_backoff.LoadBackoff(
            context.now, target.checks_fencing
        )
        self._absent_since_by_vm: dict[str, float] = {}
        self.epoch = epoch
        self.residency = _residency.Residency(target.slots)

    async def run(self) -> None:
        """Take over the engine and manage it until cancelled."""
        key = _target_context.target_key(self._target.name)
        await _target_context.poll_until(
            lambda: self._context.may_act(key), RETRY_INTERVAL_SECONDS
        )
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._collect_grants)
                nursery.start_soon(self._watch_engine)
                for loader in range(LOADER_COUNT):
                    nursery.start_soon(self._run_loader, loader)
        finally:
            self._queue.finish_all(messages.Outcome.REFUSED)

    async def grant(self, ask: messages.Ask, vm_id: str) -> messages.Answer:
        """Grant a node the use of a model, loading it if necessary."""
        if not self._may_act():
            return messages.Answer(messages.Outcome.REFUSED)
        now = self._context.now()
        state = self.residency.state_of(ask.model)
        if ask.missing and state is _residency.State.SERVING:
            # The target reported the model missing, so a load must confirm
            # it before it is granted.
            self.residency.set_state(ask.model, _residency.State.FOUND, now)
            state = _residency.State.FOUND
        if state is _residency.State.SERVING:
            return self._make_grant(ask.model, vm_id)
        if not ask.load:
            return messages.Answer(messages.Outcome.ABSENT)
        if self._load_backoff.is_blocked(ask.model):
            return messages.Answer(messages.Outcome.FAILED)
        self.residency.add_demand(ask.model, 1.0, now)
        load = self._queue.join(ask.model, ask.account)
        if load is None:
            return messages.Answer(messages.Outcome.BUSY)
        outcome = await self._queue.wait(
            load, min(ask.wait, MAX_ASK_WAIT_SECONDS)
        )
        if not self._may_act():
            return messages.Answer(messages.Outcome.REFUSED)
        serving = _residency.State.SERVING
        if self.residency.state_of(ask.model) is serving:
            return self._make_grant(ask.model, vm_id)
        if outcome is messages.Outcome.GRANTED:
            outcome = messages.Outcome.BUSY
        return messages.Answer(outcome)

    def record_use(self, use: messages.Use, vm_id: str) -> None:
        """Record the reported use of a grant."""
        now = self._context.now()
        self.residency.add_demand(use.model, use.begun, now)
        if use.released:
            self.residency.remove_holder(use.model, vm_id, use.number)
            return
        self.residency.add_holder(use.model, vm_id, use.number)
        self.residency.set_running(use.model, vm_id, use.running)

    def status(self) -> messages.Status:
        """Return the status of the target for other nodes."""
        report = self._report
        now = self._context.now()
        return messages.Status(
            name=self._target.name,
            running=report.running if report else 0,
            waiting=report.waiting if report else 0,
            batch=report.batch_limit if report else 1,
            resident=self.residency.serving_models(),
            spare=self.residency.displacement_cost(now)
            if report
            else math.inf,
        )

    def _may_act(self) -> bool:
        """Return whether this node may grant and send commands now."""
        if not self._is_fenced:
            return False
        try:
            self._commands.check_authority(self._epoch)
        except _engine_commands.NotOwner:
            return False
        return True

    def _make_grant(self, model: str, vm_id: str) -> messages.Answer:
        number = self._commands.next_number(self._epoch)
        self.residency.add_holder(model, vm_id, number)
        # The node counts as running a request until its next report.
        self.residency.set_running(model, vm_id, running=1)
        return messages.Answer(messages.Outcome.GRANTED, number)

    # Takeover.

    async def _collect_grants(self) -> None:
        """Collect the grants of every VM on the VM list.

        Nothing is evicted before every VM has replied or left the list. An
        engine that checks no fencing tokens gets no command before that,
        since a command of the previous owner may still reach it.
        """
        confirmed: set[str] = set()
        while True:
            listed = self._context.members().vms_by_id.keys()
            missing = (listed | {self._context.vm_id}) - confirmed
            if not missing:
                break
            async with trio.open_nursery() as nursery:
                for vm_id in missing:
                    nursery.start_soon(
                        self._collect_grants_from, vm_id, confirmed
                    )
            if missing - confirmed:
                await trio.sleep(RETRY_INTERVAL_SECONDS)
        self._is_handed_over = True
        log.info('MLB-5011', target=self._target.name, epoch=self._epoch)

    async def _collect_grants_from(
        self, vm_id: str, confirmed: set[str]
    ) -> None:
        message = messages.HandOver(self._target.name, self._epoch)
        try:
            reply = await self._context.call(
                vm_id,
                messages.HAND_OVER,
                messages.encode(message),
                CALL_TIMEOUT_SECONDS,
            )
        except errors.Error:
            return
        answer = messages.decode(messages.HandOverAnswer, reply)
        for grant in answer.grants:
            self.residency.add_holder(grant.model, vm_id, grant.number)
        # `ordering`: a command of that node may still reach the engine.
        if not answer.ordering:
            confirmed.add(vm_id)

    async def _watch_engine(self) -> None:
        """Fence the engine, then poll its load reports."""
        if not self._target.checks_fencing:
            await _target_context.poll_until(
                lambda: self._is_handed_over, RETRY_INTERVAL_SECONDS
            )
        while not self._is_fenced:
            await self._fence_engine()
        while True:
            try:
                self._process_report(await self._commands.load_report())
                await self._apply_role()
            except (engine.EngineError, _engine_commands.NotOwner):
                await trio.sleep(RETRY_INTERVAL_SECONDS)
            await trio.sleep(self._report_interval())

    def _report_interval(self) -> float:
        report = self._report
        if report is None or report.running or report.waiting:
            return LOAD_REPORT_INTERVAL_SECONDS
        return IDLE_REPORT_INTERVAL_SECONDS

    async def _apply_role(self) -> None:
        """Set the engine's role to the configured one."""
        target = self._context.targets().get(self._target.name, self._target)
        role = str(target.state)
        if self._report is not None and self._report.role != role:
            await self._commands.set_role(role, self._epoch)

    async def _fence_engine(self) -> None:
        """Send this epoch's fencing token; record the resident models."""
        try:
            await self._commands.set_role(str(self._target.state), self._epoch)
            report = await self._commands.load_report()
        except (engine.EngineError, _engine_commands.NotOwner) as error:
            log.info('MLB-5012', target=self._target.name, problem=repr(error))
            await trio.sleep(RETRY_INTERVAL_SECONDS)
            return
        now = self._context.now()
        for model in report.resident:
            if model != self._target.base_model:
                found = _residency.State.FOUND
                self.residency.set_state(model, found, now)
        self.residency.limit = min(self._target.slots, report.slots)
        self._report = report
        self._is_fenced = True

    def _process_report(self, report: engine.LoadReport) -> None:
        before = self._report
        self._report = report
        now = self._context.now()
        self.residency.drop_stale_demand(now)
        if before is not None and before.incarnation != report.incarnation:
            self._handle_restart(report)
            return
        for model in report.resident:
            unknown = _residency.State.UNKNOWN
            if self.residency.state_of(model) is unknown:
                self.residency.set_state(model, _residency.State.FOUND, now)

    def _handle_restart(self, report: engine.LoadReport) -> None:
        """Reset the slots after a restart.

        Of the adapters with the highest demand, those with grants are loaded
        again.
        """
        log.warning(
            'MLB-5013',
            target=self._target.name,
            incarnation=report.incarnation,
        )
        models = self.residency.reset()
        self._load_backoff.clear_quarantine()
        for model in models[:REWARM_LIMIT]:
            if self.residency.holders(model):
                self._queue.join(
                    model, _load_queue.BACKGROUND_ACCOUNT, is_background=True
                )

    # Loads and evictions.

    async def _run_loader(self, loader: int) -> None:
        while True:
            load = await self._queue.pop()
            await _target_context.poll_until(
                lambda: self._is_fenced, RETRY_INTERVAL_SECONDS
            )
            outcome = await self._load_adapter(load, loader)
            self._load_backoff.record_outcome(load.model, outcome)
            self._queue.finish(load, outcome)

    async def _load_adapter(
        self, load: _load_queue.Load, loader: int
    ) -> messages.Outcome:
        model = load.model
        # Another loader may be evicting this model; a load sent now could
        # arrive before the eviction.
        closing = _residency.State.CLOSING
        await _target_context.poll_until(
            lambda: self.residency.state_of(model) is not closing,
            SLOT_POLL_SECONDS,
        )
        state = self.residency.state_of(model)
        if state is _residency.State.SERVING:
            return messages.Outcome.GRANTED
        if self._load_backoff.is_blocked(model):
            return messages.Outcome.FAILED
        if state is None and not await self._free_slot():
            return messages.Outcome.BUSY
        # Occupies the slot before another loader can use it.
        loading = _residency.State.LOADING
        self.residency.set_state(model, loading, self._context.now())
        try:
            permit = await _permits.acquire(
                self._context,
                f'{self._target.name}/{loader}',
                load.account,
                PERMIT_TIMEOUT_SECONDS,
            )
        except errors.Error as error:
            log.info('MLB-5014', target=self._target.name, problem=str(error))
            self._restore_state(model, state)
            return messages.Outcome.BUSY
        async with trio.open_nursery() as nursery:
            nursery.start_soon(permit.renew_until_cancelled)
            try:
                return await self._load_with_permit(permit, model, state)
            finally:
                await permit.release()
                nursery.cancel_scope.cancel()

    async def _load_with_permit(
        self,
        permit: _permits.Permit,
        model: str,
        before: _residency.State | None,
    ) -> messages.Outcome:
        now = self._context.now()
        self.residency.set_state(model, _residency.State.LOADING, now)
        incarnation = self._report.incarnation if self._report else ''
        try:
            await self._commands.load(model, self._epoch, permit.check_start)
        except (_engine_commands.NotOwner, errors.Error):
            self._restore_state(model, before)
            return messages.Outcome.BUSY
        except engine.SlotsFull:
            self.residency.clear(model)
            await self._reconcile()
            return messages.Outcome.BUSY
        except engine.EngineRejected as error:
            self.residency.clear(model)
            log.warning(
                'MLB-5015',
                target=self._target.name,
                model=model,
                problem=repr(error),
            )
            return messages.Outcome.FAILED
        except engine.EngineError:
            self.residency.set_state(model, _residency.State.UNKNOWN, now)
            await self._resolve_unknown(model)
            return messages.Outcome.FAILED
        latest = self._report.incarnation if self._report else ''
        if latest != incarnation:
            # The load may have completed before the restart.
            self.residency.set_state(model, _residency.State.FOUND, now)
            return messages.Outcome.BUSY
        self.residency.set_state(model, _residency.State.SERVING, now)
        self.residency.protect_until(
            model, self._context.now() + EVICTION_GRACE_SECONDS
        )
        return messages.Outcome.GRANTED

    def _restore_state(
        self, model: str, state: _residency.State | None
    ) -> None:
        if state is None:
            self.residency.clear(model)
        elif self.residency.state_of(model) is not None:
            self.residency.set_state(model, state, self._context.now())

    async def _resolve_unknown(self, model: str) -> None:
        """Wait until a load without a response is no longer in transit."""
        unknown = _residency.State.UNKNOWN
        with trio.move_on_after(_permits.PERMIT_TTL_SECONDS):
            await _target_context.poll_until(
                lambda: self.residency.state_of(model) is not unknown,
                RETRY_INTERVAL_SECONDS,
            )
        now = self._context.now()
        if self.residency.state_of(model) is unknown:
            # The adapter may occupy a slot, which is evicted before reuse.
            self.residency.set_state(model, _residency.State.FOUND, now)

    async def _reconcile(self) -> None:
        """Add resident models that this node has no slot for."""
        try:
            report = await self._commands.load_report()
        except engine.EngineError:
            return
        now = self._context.now()
        for model in report.resident:
            if self.residency.state_of(model) is None:
                found = _residency.State.FOUND
                self.residency.set_state(model, found, now)

    async def _free_slot(self) -> bool:
        """Return whether a slot is free, evicting an adapter if necessary."""
        if self.residency.has_free_slot():
            return True
        if not self._is_handed_over:
            return False
        deadline = self._context.now() + SLOT_TIMEOUT_SECONDS
        while self._context.now() < deadline:
            if self.residency.has_free_slot():
                return True
            slot = self.residency.eviction_candidate(self._context.now())
            if slot is None:
                await trio.sleep(SLOT_POLL_SECONDS)
            elif await self._evict(slot):
                return True
        return False

    async def _evict(self, slot: _residency.Slot) -> bool:
        """Close a slot's grants and evict it; return whether it is free."""
        before = slot.state
        now = self._context.now()
        self.residency.set_state(slot.model, _residency.State.CLOSING, now)
        if await self._close_grants(slot.model):
            await self._send_evict(slot.model, before)
        elif self.residency.state_of(slot.model) is not None:
            self.residency.set_state(slot.model, before, now)
        slot.protected_until = now + _residency.EVICTION_COOLDOWN_SECONDS
        return self.residency.state_of(slot.model) is None

    async def _send_evict(self, model: str, before: _residency.State) -> None:
        try:
            await self._commands.evict(model, self._epoch)
        except engine.EngineUnavailable:
            # The adapter may still be evicted later, so it is not granted
            # until a load has confirmed it.
            self._load_backoff.record_unanswered_eviction(model)
            self._restore_state(model, _residency.State.FOUND)
        except (engine.EngineRejected, _engine_commands.NotOwner) as error:
            log.info(
                'MLB-5016',
                target=self._target.name,
                model=model,
                problem=repr(error),
            )
            self._restore_state(model, before)
        else:
            self.residency.clear(model)

    async def _close_grants(self, model: str) -> bool:
        """Close every grant of a model; return whether all nodes confirmed."""
        number = self._commands.next_number(self._epoch)
        with trio.move_on_after(CLOSE_TIMEOUT_SECONDS):
            async with trio.open_nursery() as nursery:
                for vm_id in self.residency.holders(model):
                    nursery.start_soon(
                        functools.partial(
                            self._close_grant_at, vm_id, model, number
                        )
                    )
        return not self.residency.holders(model)

    async def _close_grant_at(
        self, vm_id: str, model: str, number: int
    ) -> None:
        message = messages.Close(self._target.name, model, number)
        payload = messages.encode(message)
        while not self._has_left(vm_id):
            try:
                reply = await self._context.call(
                    vm_id,
                    messages.CLOSE,
                    payload,
                    CLOSE_WAIT_SECONDS + CALL_TIMEOUT_SECONDS,
                )
            except errors.Error:
                await trio.sleep(RETRY_INTERVAL_SECONDS)
                continue
            if not messages.decode(messages.CloseAnswer, reply).busy:
                break
            await trio.sleep(CLOSE_RETRY_SECONDS)
        self.residency.remove_holder(model, vm_id, number)

    def _has_left(self, vm_id: str) -> bool:
        """Return whether a VM has left the VM list and its grants expired."""
        now = self._context.now()
        if vm_id in self._context.members().vms_by_id:
            self._absent_since_by_vm.pop(vm_id, None)
            return False
        since = self._absent_since_by_vm.setdefault(vm_id, now)
        return now - since >= DEPARTURE_DELAY_SECONDS
