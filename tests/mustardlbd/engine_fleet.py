"""Nodes' targets part on engines' stand-ins, in virtual time, with faults.

A paused node does nothing at its edges while its clock goes on: an order
whose authority was checked goes out when the node wakes.
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

# One way between two nodes, seconds.
DELAY = 0.001


class Gate:
    """Something that waits while a node is paused."""

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


class GatedEngine:
    """Orders of one node to one engine, held while the node is paused."""

    def __init__(self, engine, gate, pauses):
        self._engine = engine
        self._gate = gate
        self._pauses = pauses

    def __getattr__(self, name):
        method = getattr(self._engine, name)

        async def call(*arguments):
            if name in self._pauses:
                self._pauses.remove(name)
                self._gate.pause()
            # A paused node can't take back what it was about to send.
            with trio.CancelScope(shield=not self._gate.is_open):
                await self._gate.wait()
                result = await method(*arguments)
            await self._gate.wait()
            return result

        return call


@dataclasses.dataclass(eq=False)
class Node:
    vm_id: str
    gate: Gate
    owners: _owners.Owners
    targets: _targets.Targets = None
    handlers: dict = dataclasses.field(default_factory=dict)
    as_of: float = 0.0
    scope: trio.CancelScope = None
    isolated: bool = False
    running: dict = dataclasses.field(default_factory=dict)


class EngineFleet:
    """Nodes, engines, a weight store and a table of owners."""

    def __init__(self, nursery, nodes=3, engines=2, **settings):
        terms = {'slots': 2, 'step_time': 0.02, 'report_lag': 0.3}
        terms |= settings
        self.nursery = nursery
        self.plan = faults.FaultPlan()
        self.store = weight_store.MemoryWeightStore()
        self.engines = {
            f'engine-{number}': engine_standin.Engine(
                engine_standin.Settings(**terms), self.store.fetch
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
                slots=one.settings.slots,
                base_model=one.settings.base_model,
                checks_fencing=one.settings.checks_fencing,
                refuses_in_use=one.settings.refuses_in_use,
            )
            for name, one in self.engines.items()
        }
        self.listed = [f'vm-{number}' for number in range(nodes)]
        self.nodes = {}
        self.changed_at = {}
        self.cuts = set()
        self.failures = []
        # Orders at whose sending the owner is paused.
        self.pauses = []
        self.served = []
        self.waits = []
        self._ids = itertools.count(1)
        self.table = _owners.Owners()
        self.assign(self.listed, settled=True)
        for one in self.engines.values():
            nursery.start_soon(one.run)
        for vm_id in self.listed:
            self.start(vm_id)
        nursery.start_soon(self._stay_current)

    def assign(self, vm_ids, settled=False):
        """Write a table in which these VMs own all slices, in turn."""
        slices = []
        for number, before in enumerate(self.table.slices):
            vm_id = before.vm_id
            if vm_id not in vm_ids:
                vm_id = vm_ids[number % len(vm_ids)]
            moved = vm_id != before.vm_id
            slices.append(_owners.Slice(vm_id, before.epoch + moved))
            if moved:
                now = trio.current_time()
                self.changed_at[number] = -100.0 if settled else now
        self.table = _owners.Owners(self.table.version + 1, tuple(slices))

    def owner_of(self, target):
        return self.table.owner_of(f'target/{target}').vm_id

    def start(self, vm_id):
        """Start a node's process, also in the place of one that ended."""
        node = Node(vm_id, Gate(), self.table, as_of=trio.current_time())
        self.nodes[vm_id] = node
        fleet = self._fleet_of(node)
        node.targets = _targets.Targets(fleet, next(self._ids))
        node.targets.register(node.handlers.__setitem__)
        node.scope = trio.CancelScope()

        async def run():
            with node.scope:
                await node.targets.run()

        self.nursery.start_soon(run)
        return node

    def kill(self, vm_id):
        """End a node's process and connections; the VM is still listed."""
        node = self.nodes.pop(vm_id)
        node.scope.cancel()
        for request_id, scope in node.running.items():
            scope.cancel()
            for engine in self.engines.values():
                engine.scheduler.cancel(request_id)

    def freeze(self, node):
        """Pause a node with all its tasks, as a suspended VM is."""
        node.gate.pause()
        node.scope.cancel()

    def wake(self, node):
        """Let a frozen node's tasks go on, with what it held."""
        node.gate.resume()
        node.as_of = trio.current_time()
        node.owners = self.table
        node.scope = trio.CancelScope()

        async def run():
            with node.scope:
                await node.targets.run()

        self.nursery.start_soon(run)

    def _fleet_of(self, node):
        def members():
            vms = {
                vm_id: vm_list.Vm(vm_id, '127.0.0.1', 1, 2, 'one')
                for vm_id in self.listed
            }
            return _membership.Members(types.MappingProxyType(vms))

        def may_act(key):
            if node.owners.owner_of(key).vm_id != node.vm_id:
                return False
            waited = (
                trio.current_time() - self.changed_at[_owners.slice_of(key)]
            )
            return waited >= _freshness.PROPAGATION_SECONDS

        def check_fresh(step):
            if trio.current_time() - node.as_of > _freshness.MAX_AGE_SECONDS:
                raise errors.Error(
                    errors.Code.NODE_NOT_CURRENT, 'old', step, not_run=True
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
            engine_of=lambda target: GatedEngine(
                self.engines[target.name], node.gate, self.pauses
            ),
            transit_report=self.store.transit_report,
        )

    async def _stay_current(self):
        while True:
            for node in self.nodes.values():
                if node.gate.is_open and not node.isolated:
                    node.as_of = trio.current_time()
                    node.owners = self.table
            await trio.sleep(0.2)

    async def _call(self, source, vm_id, service, payload, timeout):
        failure = errors.Error(
            errors.Code.PEER_UNAVAILABLE, 'no answer', 'spread', peer=vm_id
        )

        async def effect():
            target = self.nodes.get(vm_id)
            if target is None:
                raise failure
            if (source.vm_id, vm_id) in self.cuts:
                await trio.sleep_forever()
            await trio.sleep(DELAY)
            await target.gate.wait()
            sender = _peer_server.Sender(source.vm_id, id(source))
            answer = await target.handlers[service](sender, payload)
            await trio.sleep(DELAY)
            await target.gate.wait()
            if (vm_id, source.vm_id) in self.cuts:
                await trio.sleep_forever()
            return answer

        await source.gate.wait()
        with trio.move_on_after(timeout):
            try:
                step = f'{service}:{source.vm_id}>{vm_id}'
                answer = await self.plan.run(step, effect)
            except faults.NoResponse:
                await trio.sleep(timeout)
                raise failure from None
            await source.gate.wait()
            return answer
        await source.gate.wait()
        raise failure

    async def request(
        self, vm_id, model, account='canopy', tokens=5, wait=10.0
    ):
        """Run one request as a node does; its error, None where it ran."""
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
                await trio.sleep(DELAY)
                engine = self.engines[placement.target_name]
                try:
                    stream = engine.start(request)
                except engine_standin.NotLoaded:
                    placement.served('')
                placement.served(stream.served_model)
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

    def entries(self, kind):
        """Pick entries of a kind from every engine's log."""
        return [
            (name, entry)
            for name, one in self.engines.items()
            for entry in one.kinds(kind)
        ]

    def check(self, missing=0):
        """Hold what must always hold, by the engines' own logs.

        :param missing: requests that may have met an engine without their
            adapter: only a restart of an engine does that
        """
        assert self.entries('evicted_in_use') == []
        assert all(model == served for model, served in self.served)
        assert self.store.most_in_transit <= 8
        assert len(self.entries('not_loaded')) <= missing


def ignoring(settings):
    """Change an engine's settings to ignore fencing numbers."""
    return dataclasses.replace(settings, checks_fencing=False)
