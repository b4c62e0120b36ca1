"""The owner's work on one engine: grants, closing, loading, taking over."""

import functools
import math

import structlog
import trio

from mustardlb import engine
from mustardlb import errors
from mustardlb import routes
from mustardlbd import _loads
from mustardlbd import _orders
from mustardlbd import _permits
from mustardlbd import _refusals
from mustardlbd import _residency
from mustardlbd import _target_context
from mustardlbd import _target_messages as messages

log = structlog.get_logger()

# Between two load reports of an engine, seconds.
REPORT_INTERVAL = 0.25

# The same of an engine that runs nothing, seconds.
IDLE_REPORT_INTERVAL = 1.0

# Between two tries of whatever failed, seconds.
RETRY_INTERVAL = 0.2

# How long an ask is held while the adapter loads, seconds.
ASK_HOLD = 5.0

# How long a node may take to close before another victim is sought, seconds.
CLOSE_PATIENCE = 2.0

# How long a node holds a close while a request runs, seconds.
CLOSE_HOLD = 0.5

# Between two closes sent to a node that is still busy, seconds.
CLOSE_PAUSE = 0.02

# How long a load waits for a permit before its callers go elsewhere, seconds.
PERMIT_PATIENCE = 5.0

# A VM that left the VM list holds no grant after so long, seconds.
GONE_TIME = 5.0

CALL_TIMEOUT = 1.0  # seconds

# An adapter that has just been loaded is no victim for so long, so that its
# waiters get their grants, seconds.
FRESH_TIME = 0.1

# How long a load looks for a slot before its callers go elsewhere, seconds.
ROOM_PATIENCE = 3.0

# Between two looks for a slot that may go, seconds.
ROOM_PAUSE = 0.02

# Loads of one engine that run, or wait for a slot or a permit, at a time.
LOADERS = 4

# Adapters loaded again, unasked, after an engine lost its memory.
REWARMED = 4


class TargetOwner:
    """Owns one engine under one epoch."""

    def __init__(
        self,
        fleet: _target_context.TargetContext,
        target: routes.Target,
        orders: _orders.Orders,
        epoch: int,
    ) -> None:
        self._fleet = fleet
        self._target = target
        self._orders = orders
        self._epoch = epoch
        self._queue = _loads.LoadQueue()
        self._handed_over = False
        self._fenced = False
        self._report: engine.LoadReport | None = None
        self._refusals = _refusals.Refusals(fleet.now, target.checks_fencing)
        self._gone_since_by_vm: dict[str, float] = {}
        self.epoch = epoch
        self.residency = _residency.Residency(target.slots)

    async def run(self) -> None:
        """Take over and work until cancelled."""
        key = _target_context.target_key(self._target.name)
        await _target_context.poll_until(
            lambda: self._fleet.may_act(key), RETRY_INTERVAL
        )
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._hand_over)
                nursery.start_soon(self._watch_engine)
                for loader in range(LOADERS):
                    nursery.start_soon(self._load_for_ever, loader)
        finally:
            self._queue.finish_all(messages.Outcome.REFUSED)

    async def ask(self, ask: messages.Ask, vm_id: str) -> messages.Answer:
        """Grant a node the use of a model, loading it where it must."""
        if not self._is_acting():
            return messages.Answer(messages.Outcome.REFUSED)
        now = self._fleet.now()
        state = self.residency.state_of(ask.model)
        if ask.missing and state is _residency.State.SERVING:
            # Found again, or loaded, before it is granted.
            self.residency.set_state(ask.model, _residency.State.FOUND, now)
            state = _residency.State.FOUND
        if state is _residency.State.SERVING:
            return self._grant(ask.model, vm_id)
        if not ask.load:
            return messages.Answer(messages.Outcome.ABSENT)
        if self._refusals.is_refused(ask.model):
            return messages.Answer(messages.Outcome.FAILED)
        self.residency.add_worth(ask.model, 1.0, now)
        load = self._queue.join(ask.model, ask.account)
        if load is None:
            return messages.Answer(messages.Outcome.BUSY)
        outcome = await self._queue.wait(load, min(ask.wait, ASK_HOLD))
        if not self._is_acting():
            return messages.Answer(messages.Outcome.REFUSED)
        serving = _residency.State.SERVING
        if self.residency.state_of(ask.model) is serving:
            return self._grant(ask.model, vm_id)
        if outcome is messages.Outcome.GRANTED:
            outcome = messages.Outcome.BUSY
        return messages.Answer(outcome)

    def report(self, use: messages.Use, vm_id: str) -> None:
        """Note what a node reports of its uses."""
        now = self._fleet.now()
        self.residency.add_worth(use.model, use.begun, now)
        if use.released:
            self.residency.remove_user(use.model, vm_id, use.number)
            return
        self.residency.add_user(use.model, vm_id, use.number)
        self.residency.count(use.model, vm_id, use.running)

    def status(self) -> messages.Status:
        """Give what nodes are told of the target."""
        report = self._report
        now = self._fleet.now()
        return messages.Status(
            name=self._target.name,
            running=report.running if report else 0,
            waiting=report.waiting if report else 0,
            batch=report.batch_limit if report else 1,
            resident=self.residency.resident(),
            spare=self.residency.spare(now) if report else math.inf,
        )

    def _is_acting(self) -> bool:
        """Whether this node may grant and order now."""
        if not self._fenced:
            return False
        try:
            self._orders.check_authority(self._epoch)
        except _orders.NotOwner:
            return False
        return True

    def _grant(self, model: str, vm_id: str) -> messages.Answer:
        number = self._orders.number(self._epoch)
        self.residency.add_user(model, vm_id, number)
        # Until its next report the node counts as running a request.
        self.residency.count(model, vm_id, running=1)
        return messages.Answer(messages.Outcome.GRANTED, number)

    # Taking over.

    async def _hand_over(self) -> None:
        """Learn from every VM on the list what it may be using.

        Before all have answered, or have left the list, nothing is evicted;
        an engine that checks no fencing number gets no order at all, since
        one of the owner before may still reach it.
        """
        heard: set[str] = set()
        while True:
            listed = self._fleet.members().vms_by_id.keys()
            missing = (listed | {self._fleet.vm_id}) - heard
            if not missing:
                break
            async with trio.open_nursery() as nursery:
                for vm_id in missing:
                    nursery.start_soon(self._hand_over_from, vm_id, heard)
            if missing - heard:
                await trio.sleep(RETRY_INTERVAL)
        self._handed_over = True
        log.info('MLB-5011', target=self._target.name, epoch=self._epoch)

    async def _hand_over_from(self, vm_id: str, heard: set[str]) -> None:
        message = messages.HandOver(self._target.name, self._epoch)
        try:
            reply = await self._fleet.call(
                vm_id,
                messages.HAND_OVER,
                messages.encode(message),
                CALL_TIMEOUT,
            )
        except errors.Error:
            return
        answer = messages.decode(messages.HandOverAnswer, reply)
        for grant in answer.grants:
            self.residency.add_user(grant.model, vm_id, grant.number)
        if not answer.ordering:
            heard.add(vm_id)

    async def _watch_engine(self) -> None:
        """Fence the engine, then follow its reports."""
        if not self._target.checks_fencing:
            await _target_context.poll_until(
                lambda: self._handed_over, RETRY_INTERVAL
            )
        while not self._fenced:
            await self._fence()
        while True:
            try:
                self._take_report(await self._orders.load_report())
                await self._see_to_role()
            except (engine.EngineError, _orders.NotOwner):
                await trio.sleep(RETRY_INTERVAL)
            await trio.sleep(self._report_interval())

    def _report_interval(self) -> float:
        report = self._report
        if report is None or report.running or report.waiting:
            return REPORT_INTERVAL
        return IDLE_REPORT_INTERVAL

    async def _see_to_role(self) -> None:
        """Order the role that the configuration says."""
        target = self._fleet.targets().get(self._target.name, self._target)
        role = str(target.state)
        if self._report is not None and self._report.role != role:
            await self._orders.set_role(role, self._epoch)

    async def _fence(self) -> None:
        """Let the engine see this epoch; note what it may hold."""
        try:
            await self._orders.set_role(str(self._target.state), self._epoch)
            report = await self._orders.load_report()
        except (engine.EngineError, _orders.NotOwner) as error:
            log.info('MLB-5012', target=self._target.name, problem=repr(error))
            await trio.sleep(RETRY_INTERVAL)
            return
        now = self._fleet.now()
        for model in report.resident:
            if model != self._target.base_model:
                found = _residency.State.FOUND
                self.residency.set_state(model, found, now)
        self.residency.limit = min(self._target.slots, report.slots)
        self._report = report
        self._fenced = True

    def _take_report(self, report: engine.LoadReport) -> None:
        before = self._report
        self._report = report
        now = self._fleet.now()
        self.residency.forget_worthless(now)
        if before is not None and before.incarnation != report.incarnation:
            self._restart(report)
            return
        for model in report.resident:
            unknown = _residency.State.UNKNOWN
            if self.residency.state_of(model) is unknown:
                self.residency.set_state(model, _residency.State.FOUND, now)

    def _restart(self, report: engine.LoadReport) -> None:
        """Trust nothing that the engine held before; warm the best again."""
        log.warning(
            'MLB-5013',
            target=self._target.name,
            incarnation=report.incarnation,
        )
        models = self.residency.restart()
        self._refusals.note_restart()
        for model in models[:REWARMED]:
            if self.residency.users(model):
                self._queue.join(model, _loads.BACKGROUND, kept=True)

    # Loading and evicting.

    async def _load_for_ever(self, loader: int) -> None:
        while True:
            load = await self._queue.take()
            await _target_context.poll_until(
                lambda: self._fenced, RETRY_INTERVAL
            )
            outcome = await self._load(load, loader)
            self._refusals.note_outcome(load.model, outcome)
            self._queue.finish(load, outcome)

    async def _load(self, load: _loads.Load, loader: int) -> messages.Outcome:
        model = load.model
        # Another loader may be evicting it: its order must not meet ours.
        closing = _residency.State.CLOSING
        await _target_context.poll_until(
            lambda: self.residency.state_of(model) is not closing, ROOM_PAUSE
        )
        state = self.residency.state_of(model)
        if state is _residency.State.SERVING:
            return messages.Outcome.GRANTED
        if self._refusals.is_refused(model):
            return messages.Outcome.FAILED
        if state is None and not await self._make_room():
            return messages.Outcome.BUSY
        # From here on the slot is taken, before any other loader looks.
        loading = _residency.State.LOADING
        self.residency.set_state(model, loading, self._fleet.now())
        try:
            permit = await _permits.acquire(
                self._fleet,
                f'{self._target.name}/{loader}',
                load.account,
                PERMIT_PATIENCE,
            )
        except errors.Error as error:
            log.info('MLB-5014', target=self._target.name, problem=str(error))
            self._restore(model, state)
            return messages.Outcome.BUSY
        async with trio.open_nursery() as nursery:
            nursery.start_soon(permit.renew_for_ever)
            try:
                return await self._load_with(permit, model, state)
            finally:
                await permit.release()
                nursery.cancel_scope.cancel()

    async def _load_with(
        self,
        permit: _permits.Permit,
        model: str,
        before: _residency.State | None,
    ) -> messages.Outcome:
        now = self._fleet.now()
        self.residency.set_state(model, _residency.State.LOADING, now)
        incarnation = self._report.incarnation if self._report else ''
        try:
            await self._orders.load(model, self._epoch, permit.check_start)
        except (_orders.NotOwner, errors.Error):
            self._restore(model, before)
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
            await self._settle_unknown(model)
            return messages.Outcome.FAILED
        latest = self._report.incarnation if self._report else ''
        if latest != incarnation:
            # It may have arrived before the restart.
            self.residency.set_state(model, _residency.State.FOUND, now)
            return messages.Outcome.BUSY
        self.residency.set_state(model, _residency.State.SERVING, now)
        self.residency.spare_for(model, self._fleet.now() + FRESH_TIME)
        return messages.Outcome.GRANTED

    def _restore(self, model: str, state: _residency.State | None) -> None:
        if state is None:
            self.residency.clear(model)
        elif self.residency.state_of(model) is not None:
            self.residency.set_state(model, state, self._fleet.now())

    async def _settle_unknown(self, model: str) -> None:
        """Wait until a load without answer can't be in transit any more."""
        unknown = _residency.State.UNKNOWN
        with trio.move_on_after(_permits.PERMIT_TIME):
            await _target_context.poll_until(
                lambda: self.residency.state_of(model) is not unknown,
                RETRY_INTERVAL,
            )
        now = self._fleet.now()
        if self.residency.state_of(model) is unknown:
            # It takes a slot at worst; evicted before that is used.
            self.residency.set_state(model, _residency.State.FOUND, now)

    async def _reconcile(self) -> None:
        """Note what the engine holds and this node did not know of."""
        try:
            report = await self._orders.load_report()
        except engine.EngineError:
            return
        now = self._fleet.now()
        for model in report.resident:
            if self.residency.state_of(model) is None:
                found = _residency.State.FOUND
                self.residency.set_state(model, found, now)

    async def _make_room(self) -> bool:
        """Free a slot; whether one is free."""
        if self.residency.has_free():
            return True
        if not self._handed_over:
            return False
        deadline = self._fleet.now() + ROOM_PATIENCE
        while self._fleet.now() < deadline:
            if self.residency.has_free():
                return True
            slot = self.residency.victim(self._fleet.now())
            if slot is None:
                await trio.sleep(ROOM_PAUSE)
            elif await self._evict(slot):
                return True
        return False

    async def _evict(self, slot: _residency.Slot) -> bool:
        """Close a slot everywhere, then evict; whether it is free."""
        before = slot.state
        now = self._fleet.now()
        self.residency.set_state(slot.model, _residency.State.CLOSING, now)
        if await self._close(slot.model):
            await self._order_evict(slot.model, before)
        elif self.residency.state_of(slot.model) is not None:
            self.residency.set_state(slot.model, before, now)
        slot.spared_until = now + _residency.SPARED_TIME
        return self.residency.state_of(slot.model) is None

    async def _order_evict(self, model: str, before: _residency.State) -> None:
        try:
            await self._orders.evict(model, self._epoch)
        except engine.EngineUnavailable:
            # It may be gone or may yet go: nobody may use it until a load
            # order has said that it is there.
            self._refusals.note_unanswered_eviction(model)
            self._restore(model, _residency.State.FOUND)
        except (engine.EngineRejected, _orders.NotOwner) as error:
            log.info(
                'MLB-5016',
                target=self._target.name,
                model=model,
                problem=repr(error),
            )
            self._restore(model, before)
        else:
            self.residency.clear(model)

    async def _close(self, model: str) -> bool:
        """End every grant of a model; whether all nodes confirmed."""
        number = self._orders.number(self._epoch)
        with trio.move_on_after(CLOSE_PATIENCE):
            async with trio.open_nursery() as nursery:
                for vm_id in self.residency.users(model):
                    nursery.start_soon(
                        functools.partial(self._close_at, vm_id, model, number)
                    )
        return not self.residency.users(model)

    async def _close_at(self, vm_id: str, model: str, number: int) -> None:
        message = messages.Close(self._target.name, model, number)
        payload = messages.encode(message)
        while not self._is_gone(vm_id):
            try:
                reply = await self._fleet.call(
                    vm_id, messages.CLOSE, payload, CLOSE_HOLD + CALL_TIMEOUT
                )
            except errors.Error:
                await trio.sleep(RETRY_INTERVAL)
                continue
            if not messages.decode(messages.CloseAnswer, reply).busy:
                break
            await trio.sleep(CLOSE_PAUSE)
        self.residency.remove_user(model, vm_id, number)

    def _is_gone(self, vm_id: str) -> bool:
        """Whether a VM has been off the VM list for long enough."""
        now = self._fleet.now()
        if vm_id in self._fleet.members().vms_by_id:
            self._gone_since_by_vm.pop(vm_id, None)
            return False
        since = self._gone_since_by_vm.setdefault(vm_id, now)
        return now - since >= GONE_TIME
