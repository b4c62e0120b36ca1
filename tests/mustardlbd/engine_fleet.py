"""Nodes with simulated engines and injected faults, in virtual time.

A paused node sends and receives nothing while its clock continues. A command
whose authority was checked before the pause is sent when the node resumes.
"""

import dataclasses
import itertools
import types

import trio

from mustardlb import errors
from mustardlb import routes
from mustardlb import vm_list
from mustardlb_standins import engine as engine_standin
from mustardlb_standins import faults
from mustardlb_standins import generation
from mustardlb_standins import weight_store
from mustardlbd import _freshness
from mustardlbd import _membership
from mustardlbd import _owners
from mustardlbd import _peer_server
from mustardlbd import _target_context
from mustardlbd import _targets

# One-way latency between two nodes.
MESSAGE_DELAY_SECONDS = 0.001


class PauseGate:
    """Blocks the calls of a node while it is paused."""

    def __init__(self):
        self._open = trio.Event()
        self._open.set()

    @property
    def is_open(self):
        return self._open.is_set()

    def pause(self):
        if self.is_open:
            self._open = trio.Event()

    def resume(self):
        self._open.set()

    async def wait(self):
        await self._open.wait()


class PausableEngine:
    """Commands of one node to one engine, held while the node is paused."""

    def __init__(self, engine, gate, pause_before):
        self._engine = engine
        self._gate = gate
        self._pause_before = pause_before

    def __getattr__(self, name):
        method = getattr(self._engine, name)

        async def call(*arguments):
            if name in self._pause_before:
                self._pause_before.remove(name)
                self._gate.pause()
            # A paused node cannot cancel a command that it is about to send.
            with trio.CancelScope(shield=not self._gate.is_open):
                await self._gate.wait()
                result = await method(*arguments)
            await self._gate.wait()
            return result

        return call


@dataclasses.dataclass(eq=False)
class Node:
    vm_id: str
    gate: PauseGate
    owners: _owners.Owners
    targets: _targets.Targets = None
    handlers: dict = dataclasses.field(default_factory=dict)
    confirmed_at: float = 0.0
    scope: trio.CancelScope = None
    isolated: bool = False
    running: dict = dataclasses.field(default_factory=dict)


class EngineFleet:
    """Nodes, engines, a weight store and an owner table."""

    def __init__(self, nursery, nodes=3, engines=2, **settings):
        engine_settings = {'slots': 2, 'step_time': 0.02, 'report_lag': 0.3}
        engine_settings |= settings
        self.nursery = nursery
        self.plan = faults.FaultPlan()
        self.store = weight_store.MemoryWeightStore()
        self.engines = {
            f'engine-{number}': engine_standin.Engine(
                engine_standin.Settings(**engine_settings), self.store.fetch
            )
            for number in range(engines)
        }
        self.configured = {
            name: routes.Target(
                name=name,
                kind=routes.TargetKind.ENGINE,
                url=f'http://{name}',
                group='drafts',
                data_centre='one',
                slots=engine.settings.slots,
                base_model=engine.settings.base_model,
                checks_fencing=engine.settings.checks_fencing,
                refuses_in_use=engine.settings.refuses_in_use,
            )
            for name, engine in self.engines.items()
        }
        self.vm_ids = [f'vm-{number}' for number in range(nodes)]
        self.nodes = {}
        self.moved_at = {}
        self.partitions = set()
        self.failures = []
        # The sender is paused before it sends one of these commands.
        self.pause_before = []
        self.served = []
        self.waits = []
        self._ids = itertools.count(1)
        self.table = _owners.Owners()
        self.assign(self.vm_ids, is_propagated=True)
        for engine in self.engines.values():
            nursery.start_soon(engine.run)
        for vm_id in self.vm_ids:
            self.start(vm_id)
        nursery.start_soon(self._update_nodes)

    def assign(self, vm_ids, is_propagated=False):
        """Move the slices of other VMs to these VMs, round robin."""
        slices = []
        for number, previous in enumerate(self.table.slices):
            vm_id = previous.vm_id
            if vm_id not in vm_ids:
                vm_id = vm_ids[number % len(vm_ids)]
            moved = vm_id != previous.vm_id
            slices.append(_owners.Slice(vm_id, previous.epoch + moved))
            if moved:
                now = trio.current_time()
                self.moved_at[number] = -100.0 if is_propagated else now
        self.table = _owners.Owners(self.table.version + 1, tuple(slices))

    def owner_of(self, target):
        return self.table.owner_of(f'target/{target}').vm_id

    def start(self, vm_id):
        """Start the process of a node, which may replace an earlier one."""
        node = Node(
            vm_id, PauseGate(), self.table, confirmed_at=trio.current_time()
        )
        self.nodes[vm_id] = node
        context = self._make_context(node)
        node.targets = _targets.Targets(context, next(self._ids))
        node.targets.register(node.handlers.__setitem__)
        node.scope = trio.CancelScope()

        async def run():
            with node.scope:
                await node.targets.run()

        self.nursery.start_soon(run)
        return node

    def kill(self, vm_id):
        """Kill a node's process and connections; its VM stays on the list."""
        node = self.nodes.pop(vm_id)
        node.scope.cancel()
        for request_id, scope in node.running.items():
            scope.cancel()
            for engine in self.engines.values():
                engine.scheduler.cancel(request_id)

    def suspend(self, node):
        """Pause a node and end its tasks, as for a suspended VM."""
        node.gate.pause()
        node.scope.cancel()

    def resume(self, node):
        """Restart the tasks of a suspended node with its former state."""
        node.gate.resume()
        node.confirmed_at = trio.current_time()
        node.owners = self.table
        node.scope = trio.CancelScope()

        async def run():
            with node.scope:
                await node.targets.run()

        self.nursery.start_soon(run)

    def _make_context(self, node):
        def members():
            vms = {
                vm_id: vm_list.Vm(vm_id, '127.0.0.1', 1, 2, 'one')
                for vm_id in self.vm_ids
            }
            return _membership.Members(types.MappingProxyType(vms))

        def may_act(key):
            if node.owners.owner_of(key).vm_id != node.vm_id:
                return False
            elapsed = (
                trio.current_time() - self.moved_at[_owners.slice_of(key)]
            )
            return elapsed >= _freshness.PROPAGATION_SECONDS

        def check_fresh(step):
            if (
                trio.current_time() - node.confirmed_at
                > _freshness.MAX_AGE_SECONDS
            ):
                raise errors.Error(
                    errors.Code.NODE_NOT_CURRENT, 'stale', step, not_run=True
                )

        async def call(vm_id, service, payload, timeout):
            return await self._call(node, vm_id, service, payload, timeout)

        return _target_context.TargetContext(
            vm_id=node.vm_id,
            now=trio.current_time,
            members=members,
            owners=lambda: node.owners,
            may_act=may_act,
            check_fresh=check_fresh,
            call=call,
            targets=lambda: self.configured,
            engine_of=lambda target: PausableEngine(
                self.engines[target.name], node.gate, self.pause_before
            ),
            transit_report=self.store.transit_report,
        )

    async def _update_nodes(self):
        while True:
            for node in self.nodes.values():
                if node.gate.is_open and not node.isolated:
                    node.confirmed_at = trio.current_time()
                    node.owners = self.table
            await trio.sleep(0.2)

    async def _call(self, source, vm_id, service, payload, timeout):
        unavailable = errors.Error(
            errors.Code.PEER_UNAVAILABLE, 'no reply', 'spread', peer=vm_id
        )

        async def deliver():
            target = self.nodes.get(vm_id)
            if target is None:
                raise unavailable
            if (source.vm_id, vm_id) in self.partitions:
                await trio.sleep_forever()
            await trio.sleep(MESSAGE_DELAY_SECONDS)
            await target.gate.wait()
            sender = _peer_server.Sender(source.vm_id, id(source))
            reply = await target.handlers[service](sender, payload)
            await trio.sleep(MESSAGE_DELAY_SECONDS)
            await target.gate.wait()
            if (vm_id, source.vm_id) in self.partitions:
                await trio.sleep_forever()
            return reply

        await source.gate.wait()
        with trio.move_on_after(timeout):
            try:
                step = f'{service}:{source.vm_id}>{vm_id}'
                reply = await self.plan.run(step, deliver)
            except faults.NoResponse:
                await trio.sleep(timeout)
                raise unavailable from None
            await source.gate.wait()
            return reply
        await source.gate.wait()
        raise unavailable

    async def request(
        self, vm_id, model, account='canopy', tokens=5, wait=10.0
    ):
        """Run one request at a node; return its error, None for success."""
        node = self.nodes[vm_id]
        number = next(self._ids)
        request = generation.Request(
            f'r{number}', model, f'draft {number}', tokens
        )
        scope = node.running[request.request_id] = trio.CancelScope()
        with scope:
            return await self._request(node, request, account, wait)

    async def _request(self, node, request, account, wait):
        model = request.model
        started = trio.current_time()
        await node.gate.wait()
        try:
            async with node.targets.place(model, account, wait) as placement:
                await node.gate.wait()
                await trio.sleep(MESSAGE_DELAY_SECONDS)
                engine = self.engines[placement.target_name]
                try:
                    stream = engine.start(request)
                except engine_standin.NotLoaded:
                    placement.check_served('')
                placement.check_served(stream.served_model)
                self.served.append((model, stream.served_model))
                await stream.full_text()
                await node.gate.wait()
        except errors.Error as error:
            self.failures.append((trio.current_time(), model, error))
            return error
        except (generation.StreamLost, engine_standin.QueueFull):
            return None
        finally:
            del node.running[request.request_id]
        self.waits.append(trio.current_time() - started)
        return None

    def log_entries(self, kind):
        """Return the log entries of one kind with their engine's name."""
        return [
            (name, entry)
            for name, engine in self.engines.items()
            for entry in engine.kinds(kind)
        ]

    def check_invariants(self, max_missing=0):
        """Check all invariants against the engines' logs.

        :param max_missing: requests that may have reached an engine without
            their adapter, which only happens after an engine restart
        """
        assert self.log_entries('evicted_in_use') == []
        assert all(model == served for model, served in self.served)
        assert self.store.most_in_transit <= 8
        assert len(self.log_entries('not_loaded')) <= max_missing


def without_fencing(settings):
    """Return engine settings that ignore fencing tokens."""
    return dataclasses.replace(settings, checks_fencing=False)
