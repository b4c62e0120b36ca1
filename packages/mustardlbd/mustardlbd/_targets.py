"""Management of a node's targets: ownership, grants, placement, permits."""

from collections import abc
import contextlib
import dataclasses
import math

import structlog
import trio

from mustardlb import errors
from mustardlb import routes
from mustardlb import steps
from mustardlbd import _dependencies
from mustardlbd import _engine_commands
from mustardlbd import _grants
from mustardlbd import _owners
from mustardlbd import _peer_server
from mustardlbd import _permits
from mustardlbd import _placement
from mustardlbd import _target_context
from mustardlbd import _target_messages as messages
from mustardlbd import _target_owner

log = structlog.get_logger()

# Interval of checks for changes of the owner table.
POLL_INTERVAL_SECONDS = 0.1

REPORT_INTERVAL_SECONDS = 0.5

# A longer gap between two checks means that the process was paused. It is
# below _target_owner.DEPARTURE_DELAY_SECONDS, after which owners discard the
# grants of a VM that left the VM list.
MAX_TICK_GAP_SECONDS = 3.0

CALL_TIMEOUT_SECONDS = 1.0

# A close waits this long for running requests to end.
CLOSE_WAIT_SECONDS = 0.5


class Targets:
    """Manages the engines that this node owns and its grants at others."""

    def __init__(
        self, context: _target_context.TargetContext, incarnation: int = 0
    ) -> None:
        self._sender = _peer_server.Sender(context.vm_id, incarnation)
        self._context = dataclasses.replace(context, call=self._call)
        self._call_peer = context.call
        self._handlers: dict[str, _peer_server.Handler] = {}
        self._grants = _grants.Grants(context.now)
        self._permit_coordinator = _permits.PermitCoordinator(self._context)
        self._commands_by_target: dict[
            str, _engine_commands.EngineCommands
        ] = {}
        self._owned_by_target: dict[str, _target_owner.TargetOwner] = {}
        self._scopes_by_target: dict[str, trio.CancelScope] = {}
        self._statuses_by_target: dict[str, messages.Status] = {}
        self._last_tick = context.now()
        self._owners: _owners.Owners | None = None
        self._targets: abc.Mapping[str, routes.Target] | None = None
        self._spawn_channel, self._spawned = trio.open_memory_channel[
            abc.Callable[[], abc.Awaitable[None]]
        ](math.inf)
        self._placer = _placement.Placer(
            self._context,
            self._grants,
            self._statuses_by_target,
            self._spawn_channel.send_nowait,
        )

    def register(
        self, register: abc.Callable[[str, _peer_server.Handler], None]
    ) -> None:
        """Register the services for requests of peers."""
        self._handlers = {
            messages.ASK: self._handle_ask,
            messages.CLOSE: self._handle_close,
            messages.HAND_OVER: self._handle_hand_over,
            messages.REPORT: self._handle_report,
            messages.PERMIT: self._permit_coordinator.handle_request,
            messages.PERMIT_RELEASE: self._permit_coordinator.handle_release,
        }
        for service, handler in self._handlers.items():
            register(service, handler)

    async def run(self) -> None:
        """Run all background tasks until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._permit_coordinator.run)
            nursery.start_soon(self._send_reports)
            nursery.start_soon(self._run_spawned, nursery)
            while True:
                self._update_owned_targets(nursery)
                self._detect_pause()
                await trio.sleep(POLL_INTERVAL_SECONDS)

    def place(
        self,
        model: str,
        account: str,
        wait: float,
        avoid: frozenset[str] = frozenset(),
    ) -> contextlib.AbstractAsyncContextManager[_dependencies.Placement]:
        """Reserve a target for a request; see Placer.place."""
        self._detect_pause()
        return self._placer.place(model, account, wait, avoid)

    def statuses(self) -> abc.Mapping[str, messages.Status]:
        """Return the last status of each target from its owner, by name."""
        return self._statuses_by_target

    def _detect_pause(self) -> None:
        """Suspend all grants after a pause.

        The owners may have evicted the adapters meanwhile.
        """
        now = self._context.now()
        if now - self._last_tick > MAX_TICK_GAP_SECONDS:
            log.warning('MLB-5030', seconds=now - self._last_tick)
            self._grants.suspend_all()
        self._last_tick = now

    async def _run_spawned(self, nursery: trio.Nursery) -> None:
        async for task in self._spawned:
            nursery.start_soon(task)

    async def _call(
        self, vm_id: str, service: str, payload: bytes, timeout: float
    ) -> bytes:
        """Call a peer; a call to this node itself uses no network."""
        if vm_id != self._context.vm_id:
            return await self._call_peer(vm_id, service, payload, timeout)
        with trio.move_on_after(timeout):
            return await self._handlers[service](self._sender, payload)
        raise errors.Error(
            errors.Code.PEER_UNAVAILABLE,
            f'no reply in {timeout} s',
            steps.Step.PLACEMENT,
            peer=vm_id,
        )

    # Ownership of targets.

    def _update_owned_targets(self, nursery: trio.Nursery) -> None:
        owners, targets = self._context.owners(), self._context.targets()
        if owners is self._owners and targets is self._targets:
            return
        self._owners, self._targets = owners, targets
        owned = dict(self._owned_epochs())
        for name, owner in list(self._owned_by_target.items()):
            if owned.get(name) != owner.epoch:
                self._scopes_by_target.pop(name).cancel()
                del self._owned_by_target[name]
        for name, epoch in owned.items():
            if name not in self._owned_by_target:
                target = self._context.targets()[name]
                owner = _target_owner.TargetOwner(
                    self._context, target, self._commands_for(target), epoch
                )
                self._owned_by_target[name] = owner
                scope = trio.CancelScope()
                self._scopes_by_target[name] = scope
                nursery.start_soon(_run_owner, scope, owner)

    def _owned_epochs(self) -> abc.Iterator[tuple[str, int]]:
        owners = self._context.owners()
        for name, target in self._context.targets().items():
            if target.kind is not routes.TargetKind.ENGINE:
                continue
            owner = owners.owner_of(_target_context.target_key(name))
            if owner.vm_id == self._context.vm_id:
                yield name, owner.epoch

    def _commands_for(
        self, target: routes.Target
    ) -> _engine_commands.EngineCommands:
        commands = self._commands_by_target.get(target.name)
        if commands is None:
            commands = _engine_commands.EngineCommands(self._context, target)
            self._commands_by_target[target.name] = commands
        return commands

    # Reports of uses to owners.

    async def _send_reports(self) -> None:
        while True:
            await trio.sleep(REPORT_INTERVAL_SECONDS)
            uses_by_vm: dict[str, list[messages.Use]] = {}
            owners = self._context.owners()
            for name in self._context.targets():
                owner = owners.owner_of(_target_context.target_key(name))
                uses_by_vm.setdefault(owner.vm_id, [])
            for use in self._grants.collect_uses():
                owner = owners.owner_of(_target_context.target_key(use.target))
                uses_by_vm.setdefault(owner.vm_id, []).append(use)
            async with trio.open_nursery() as nursery:
                for vm_id, uses in uses_by_vm.items():
                    if vm_id:
                        nursery.start_soon(self._send_report, vm_id, uses)

    async def _send_report(self, vm_id: str, uses: list[messages.Use]) -> None:
        payload = messages.encode(messages.Report(tuple(uses)))
        try:
            reply = await self._context.call(
                vm_id, messages.REPORT, payload, CALL_TIMEOUT_SECONDS
            )
            answer = messages.decode(messages.ReportAnswer, reply)
        except (errors.Error, ValueError) as error:
            log.info('MLB-5031', peer=vm_id, problem=str(error))
            return
        for status in answer.targets:
            self._statuses_by_target[status.name] = status

    # Requests from peers.

    async def _handle_ask(
        self, sender: _peer_server.Sender, payload: bytes
    ) -> bytes:
        ask = messages.decode(messages.Ask, payload)
        owner = self._owned_by_target.get(ask.target)
        if owner is None:
            answer = messages.Answer(messages.Outcome.REFUSED)
        else:
            answer = await owner.grant(ask, sender.vm_id)
        return messages.encode(answer)

    async def _handle_close(
        self, sender: _peer_server.Sender, payload: bytes
    ) -> bytes:
        close = messages.decode(messages.Close, payload)
        busy = await self._grants.close(close, CLOSE_WAIT_SECONDS)
        return messages.encode(messages.CloseAnswer(busy))

    async def _handle_hand_over(
        self, sender: _peer_server.Sender, payload: bytes
    ) -> bytes:
        hand_over = messages.decode(messages.HandOver, payload)
        commands = self._commands_by_target.get(hand_over.target)
        has_pending = False
        if commands is not None:
            commands.reject_older_epochs(hand_over.epoch)
            is_self = sender.vm_id == self._context.vm_id
            has_pending = commands.has_pending() and not is_self
        grants = self._grants.hand_over(hand_over.target, hand_over.epoch)
        answer = messages.HandOverAnswer(grants, has_pending)
        return messages.encode(answer)

    async def _handle_report(
        self, sender: _peer_server.Sender, payload: bytes
    ) -> bytes:
        report = messages.decode(messages.Report, payload)
        for use in report.uses:
            owner = self._owned_by_target.get(use.target)
            if owner is not None:
                owner.record_use(use, sender.vm_id)
        statuses = tuple(
            owner.status() for owner in self._owned_by_target.values()
        )
        return messages.encode(messages.ReportAnswer(statuses))


async def _run_owner(
    scope: trio.CancelScope, owner: _target_owner.TargetOwner
) -> None:
    with scope:
        await owner.run()
