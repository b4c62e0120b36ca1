"""The targets' part of a node: owners' work, grants, placement, permits."""

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
from mustardlbd import _grants
from mustardlbd import _orders
from mustardlbd import _owners
from mustardlbd import _peer_server
from mustardlbd import _permits
from mustardlbd import _placement
from mustardlbd import _target_context
from mustardlbd import _target_messages as messages
from mustardlbd import _target_owner

log = structlog.get_logger()

# Between two looks at the table of owners, seconds.
LOOK_INTERVAL = 0.1

# Between two reports to each owner, seconds.
REPORT_INTERVAL = 0.5

# A gap between two of our own ticks that means that the node was paused,
# seconds; below GONE_TIME, after which its grants may be gone.
PAUSE = 3.0

CALL_TIMEOUT = 1.0  # seconds

# How long a close is held while a request runs, seconds.
CLOSE_HOLD = 0.5


class Targets:
    """Everything of a node that has to do with engines."""

    def __init__(
        self, fleet: _target_context.TargetContext, incarnation: int = 0
    ) -> None:
        self._sender = _peer_server.Sender(fleet.vm_id, incarnation)
        self._fleet = dataclasses.replace(fleet, call=self._call)
        self._call_peer = fleet.call
        self._handlers: dict[str, _peer_server.Handler] = {}
        self._grants = _grants.Grants(fleet.now)
        self._keeper = _permits.Keeper(self._fleet)
        self._orders_by_target: dict[str, _orders.Orders] = {}
        self._owned_by_target: dict[str, _target_owner.TargetOwner] = {}
        self._scopes_by_target: dict[str, trio.CancelScope] = {}
        self._statuses_by_target: dict[str, messages.Status] = {}
        self._ticked = fleet.now()
        self._owners: _owners.Owners | None = None
        self._targets: abc.Mapping[str, routes.Target] | None = None
        self._send, self._spawned = trio.open_memory_channel[
            abc.Callable[[], abc.Awaitable[None]]
        ](math.inf)
        self._placer = _placement.Placer(
            self._fleet,
            self._grants,
            self._statuses_by_target,
            self._send.send_nowait,
        )

    def register(
        self, register: abc.Callable[[str, _peer_server.Handler], None]
    ) -> None:
        """Register the services that answer peers."""
        self._handlers = {
            messages.ASK: self._answer_ask,
            messages.CLOSE: self._answer_close,
            messages.HAND_OVER: self._answer_hand_over,
            messages.REPORT: self._answer_report,
            messages.PERMIT: self._keeper.ask,
            messages.PERMIT_RELEASE: self._keeper.release,
        }
        for service, handler in self._handlers.items():
            register(service, handler)

    async def run(self) -> None:
        """Work until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._keeper.run)
            nursery.start_soon(self._report_for_ever)
            nursery.start_soon(self._run_spawned, nursery)
            while True:
                self._follow_owners(nursery)
                self._tick()
                await trio.sleep(LOOK_INTERVAL)

    def place(
        self,
        model: str,
        account: str,
        wait: float,
        avoid: frozenset[str] = frozenset(),
    ) -> contextlib.AbstractAsyncContextManager[_dependencies.Placement]:
        """See Placer.place."""
        self._tick()
        return self._placer.place(model, account, wait, avoid)

    def statuses(self) -> abc.Mapping[str, messages.Status]:
        """Give what owners last said of their targets, by name."""
        return self._statuses_by_target

    def _tick(self) -> None:
        """Trust no grant from before a pause: its owner may have gone on."""
        now = self._fleet.now()
        if now - self._ticked > PAUSE:
            log.warning('MLB-5030', seconds=now - self._ticked)
            self._grants.drop_all()
        self._ticked = now

    async def _run_spawned(self, nursery: trio.Nursery) -> None:
        async for task in self._spawned:
            nursery.start_soon(task)

    async def _call(
        self, vm_id: str, service: str, payload: bytes, timeout: float
    ) -> bytes:
        """Call a peer, or this node itself without the network."""
        if vm_id != self._fleet.vm_id:
            return await self._call_peer(vm_id, service, payload, timeout)
        with trio.move_on_after(timeout):
            return await self._handlers[service](self._sender, payload)
        raise errors.Error(
            errors.Code.PEER_UNAVAILABLE,
            f'no answer in {timeout} s',
            steps.Step.PLACEMENT,
            peer=vm_id,
        )

    # Owning targets.

    def _follow_owners(self, nursery: trio.Nursery) -> None:
        owners, targets = self._fleet.owners(), self._fleet.targets()
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
                target = self._fleet.targets()[name]
                owner = _target_owner.TargetOwner(
                    self._fleet, target, self._orders_of(target), epoch
                )
                self._owned_by_target[name] = owner
                scope = trio.CancelScope()
                self._scopes_by_target[name] = scope
                nursery.start_soon(_run_in, scope, owner)

    def _owned_epochs(self) -> abc.Iterator[tuple[str, int]]:
        owners = self._fleet.owners()
        for name, target in self._fleet.targets().items():
            if target.kind is not routes.TargetKind.ENGINE:
                continue
            owner = owners.owner_of(_target_context.target_key(name))
            if owner.vm_id == self._fleet.vm_id:
                yield name, owner.epoch

    def _orders_of(self, target: routes.Target) -> _orders.Orders:
        orders = self._orders_by_target.get(target.name)
        if orders is None:
            orders = _orders.Orders(self._fleet, target)
            self._orders_by_target[target.name] = orders
        return orders

    # Telling owners what this node uses.

    async def _report_for_ever(self) -> None:
        while True:
            await trio.sleep(REPORT_INTERVAL)
            uses_by_vm: dict[str, list[messages.Use]] = {}
            owners = self._fleet.owners()
            for name in self._fleet.targets():
                owner = owners.owner_of(_target_context.target_key(name))
                uses_by_vm.setdefault(owner.vm_id, [])
            for use in self._grants.take_report():
                owner = owners.owner_of(_target_context.target_key(use.target))
                uses_by_vm.setdefault(owner.vm_id, []).append(use)
            async with trio.open_nursery() as nursery:
                for vm_id, uses in uses_by_vm.items():
                    if vm_id:
                        nursery.start_soon(self._report_to, vm_id, uses)

    async def _report_to(self, vm_id: str, uses: list[messages.Use]) -> None:
        payload = messages.encode(messages.Report(tuple(uses)))
        try:
            reply = await self._fleet.call(
                vm_id, messages.REPORT, payload, CALL_TIMEOUT
            )
        except errors.Error as error:
            log.info('MLB-5031', peer=vm_id, problem=str(error))
            return
        answer = messages.decode(messages.ReportAnswer, reply)
        for status in answer.targets:
            self._statuses_by_target[status.name] = status

    # Answering peers.

    async def _answer_ask(
        self, sender: _peer_server.Sender, payload: bytes
    ) -> bytes:
        ask = messages.decode(messages.Ask, payload)
        owner = self._owned_by_target.get(ask.target)
        if owner is None:
            answer = messages.Answer(messages.Outcome.REFUSED)
        else:
            answer = await owner.ask(ask, sender.vm_id)
        return messages.encode(answer)

    async def _answer_close(
        self, sender: _peer_server.Sender, payload: bytes
    ) -> bytes:
        close = messages.decode(messages.Close, payload)
        busy = await self._grants.close(close, CLOSE_HOLD)
        return messages.encode(messages.CloseAnswer(busy))

    async def _answer_hand_over(
        self, sender: _peer_server.Sender, payload: bytes
    ) -> bytes:
        hand_over = messages.decode(messages.HandOver, payload)
        orders = self._orders_by_target.get(hand_over.target)
        ordering = False
        if orders is not None:
            orders.yield_to(hand_over.epoch)
            mine = sender.vm_id == self._fleet.vm_id
            ordering = orders.is_ordering() and not mine
        grants = self._grants.hand_over(hand_over.target, hand_over.epoch)
        answer = messages.HandOverAnswer(grants, ordering)
        return messages.encode(answer)

    async def _answer_report(
        self, sender: _peer_server.Sender, payload: bytes
    ) -> bytes:
        report = messages.decode(messages.Report, payload)
        for use in report.uses:
            owner = self._owned_by_target.get(use.target)
            if owner is not None:
                owner.report(use, sender.vm_id)
        statuses = tuple(
            owner.status() for owner in self._owned_by_target.values()
        )
        return messages.encode(messages.ReportAnswer(statuses))


async def _run_in(
    scope: trio.CancelScope, owner: _target_owner.TargetOwner
) -> None:
    with scope:
        await owner.run()
