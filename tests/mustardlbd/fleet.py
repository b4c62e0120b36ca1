"""A simulated fleet in virtual time: nodes, network, object API, VM list.

Streams behave like TCP: bytes arrive in order, and bytes sent over a cut link
arrive once it is restored, so callers have to time out. A paused node neither
sends nor receives, while its clock keeps running.
"""

import collections
import dataclasses
import logging
import random

import scheduling
import structlog
import trio
import trio.testing

from mustardlb import configuration
from mustardlb import errors
from mustardlb import object_api
from mustardlb import steps
from mustardlb import vm_list
from mustardlb_standins import object_api as object_api_standin
from mustardlbd import _peer_server
from mustardlbd import _peers
from mustardlbd import _shared_state

# One-way delay between two nodes.
LINK_DELAY_SECONDS = 0.002

# Names of the object API and of the VM list as ends of a link.
API = 'api'
VMS = 'vms'


class Network:
    """Links between named ends, with separate faults in each direction."""

    def __init__(self, delay=LINK_DELAY_SECONDS):
        self.delay = delay
        self.delay_by_link = {}
        self.bytes_by_node = collections.Counter()
        self.sends_by_node = collections.Counter()
        self.lagging = set()
        self._cuts = set()
        self._paused = set()
        self._paused_at = {}
        self._paused_seconds = collections.Counter()
        self._changed = trio.Event()

    def cut(self, source, target):
        """Block the link from source to target."""
        self._cuts.add((source, target))
        self._notify()

    def partition(self, ones, others):
        """Cut every link between two groups in both directions."""
        for one in ones:
            for other in others:
                self.cut(one, other)
                self.cut(other, one)

    def mend(self):
        """Restore every cut link and every lagging node."""
        self._cuts.clear()
        self.lagging.clear()
        self._notify()

    def pause(self, node):
        self._paused.add(node)
        self._paused_at.setdefault(node, trio.current_time())
        self._notify()

    def resume(self, node):
        self._paused.discard(node)
        since = self._paused_at.pop(node, trio.current_time())
        self._paused_seconds[node] += trio.current_time() - since
        self._notify()

    def paused_seconds(self, node):
        """Return the total time for which a node was paused, in seconds."""
        since = self._paused_at.get(node, trio.current_time())
        return self._paused_seconds[node] + trio.current_time() - since

    def is_cut(self, source, target):
        return (source, target) in self._cuts

    def is_paused(self, node):
        return node in self._paused

    async def wait_reachable(self, source, target):
        """Wait until the link is not cut and the target is not paused."""
        while self.is_cut(source, target) or target in self._paused:
            await self._changed.wait()

    async def wait_running(self, node):
        while node in self._paused:
            await self._changed.wait()

    def link_delay(self, source, target):
        return self.delay_by_link.get((source, target), self.delay)

    def pair(self, one, other):
        """Return the two ends of a new stream."""
        forward, backward = _Channel(), _Channel()
        return (
            FakeStream(self, one, other, forward, backward),
            FakeStream(self, other, one, backward, forward),
        )

    def _notify(self):
        self._changed.set()
        self._changed = trio.Event()


class _Channel:
    def __init__(self):
        self.send, self.receive = trio.open_memory_channel(float('inf'))


class FakeStream(trio.abc.Stream):
    """One end of a stream over the simulated network."""

    def __init__(self, network, own, other, outgoing, incoming):
        self._network = network
        self._own = own
        self._other = other
        self._outgoing = outgoing
        self._incoming = incoming
        self._buffer = b''
        self._closed = False

    async def send_all(self, data):
        await self._network.wait_running(self._own)
        await trio.lowlevel.checkpoint()
        if self._closed:
            raise trio.ClosedResourceError
        for node in (self._own, self._other):
            self._network.bytes_by_node[node] += len(data)
            self._network.sends_by_node[node] += 1
        arrival = trio.current_time() + self._network.link_delay(
            self._own, self._other
        )
        try:
            self._outgoing.send.send_nowait((arrival, bytes(data)))
        except trio.BrokenResourceError:
            raise trio.BrokenResourceError from None

    async def wait_send_all_might_not_block(self):
        await trio.lowlevel.checkpoint()

    async def receive_some(self, max_bytes=None):
        if not self._buffer:
            try:
                arrival, data = await self._incoming.receive.receive()
            except trio.EndOfChannel:
                await self._network.wait_reachable(self._other, self._own)
                return b''
            await trio.sleep_until(max(arrival, trio.current_time()))
            await self._network.wait_reachable(self._other, self._own)
            self._buffer = data
        if self._closed:
            raise trio.ClosedResourceError
        count = max_bytes or len(self._buffer)
        data, self._buffer = self._buffer[:count], self._buffer[count:]
        return data

    async def aclose(self):
        self._closed = True
        self._outgoing.send.close()
        self._incoming.receive.close()
        await trio.lowlevel.checkpoint()


class NodeApi:
    """The object API as reached by one node.

    For a lagging node, reads and watches return the state before the last
    write.
    """

    def __init__(self, network, vm_id, api):
        self._network = network
        self._vm_id = vm_id
        self._api = api

    async def get(self, name):
        found = await self._call(self._api.get(name))
        if self._vm_id in self._network.lagging:
            return self._api.peek(name, back=1)
        return found

    async def list_versions(self, prefix):
        return await self._call(self._api.list_versions(prefix))

    async def put(self, name, value, expected):
        return await self._call(self._api.put(name, value, expected))

    async def delete(self, name, expected):
        return await self._call(self._api.delete(name, expected))

    async def watch(self, name, after, wait):
        if self._vm_id in self._network.lagging:
            after = -1
        found = await self._call(self._api.watch(name, after, wait))
        if self._vm_id in self._network.lagging:
            return self._api.peek(name, back=1)
        return found

    async def _call(self, call):
        """Run a call, with the network delay and faults in each direction."""
        rejection = None
        try:
            await self._cross_link(self._vm_id, API)
            try:
                response = await call
            except (
                object_api.VersionConflict,
                object_api.ApiRejected,
            ) as error:
                rejection = error
            await self._cross_link(API, self._vm_id)
        finally:
            call.close()
        await self._network.wait_running(self._vm_id)
        if rejection is not None:
            raise rejection
        return response

    async def _cross_link(self, source, target):
        await self._network.wait_running(self._vm_id)
        await trio.sleep(self._network.delay)
        if self._network.is_cut(source, target):
            await trio.sleep(3.0)
            raise object_api.ApiUnavailable('the link is cut')


class FakeVmList:
    """A VM list that returns the VMs in `vms_by_id`."""

    def __init__(self, vms=()):
        self.vms_by_id = {vm.vm_id: vm for vm in vms}
        self.down = False

    async def list_vms(self):
        await trio.lowlevel.checkpoint()
        if self.down:
            raise vm_list.VmListUnavailable
        return tuple(self.vms_by_id.values())

    def add(self, vm_id):
        self.vms_by_id[vm_id] = vm_list.Vm(vm_id, '127.0.0.1', 1, 2, 'dc-1')

    def leave(self, vm_id):
        self.vms_by_id[vm_id] = dataclasses.replace(
            self.vms_by_id[vm_id], state=vm_list.VmState.LEAVING
        )

    def remove(self, vm_id):
        self.vms_by_id.pop(vm_id, None)


@dataclasses.dataclass
class Node:
    """One running node."""

    vm_id: str
    state: _shared_state.SharedState
    server: _peer_server.PeerServer
    scope: trio.CancelScope
    nursery: trio.Nursery = None

    def admits(self):
        """Return whether the node is fresh enough to admit requests."""
        try:
            self.state.check_fresh(steps.Step.ADMISSION)
        except errors.Error:
            return False
        return True


def accept_all(name, value):
    """Accept every value except those that start with `invalid`."""
    if value.startswith(b'invalid'):
        raise ValueError('the value is invalid')


class Fleet:
    """Nodes on one network, with one object API and one VM list."""

    def __init__(self, nursery, seed=0, make_state=_shared_state.SharedState):
        self.network = Network()
        self.api = object_api_standin.MemoryObjectApi()
        self.vms = FakeVmList()
        self.nodes_by_id = {}
        self.nursery = nursery
        self._random = random.Random(seed)
        self._make_state = make_state

    def start(self, vm_id, listed=True):
        """Start the process of a node, killing an earlier one."""
        self.kill(vm_id)
        if listed:
            self.vms.add(vm_id)
        identity = _peers.Identity(vm_id, self._random.getrandbits(63) | 1)

        async def open_stream(vm):
            return await self._open_stream(vm_id, vm.vm_id)

        platform = _shared_state.Platform(
            NodeApi(self.network, vm_id, self.api),
            self.vms,
            open_stream,
            trio.current_time,
        )
        server = self._make_server(vm_id)
        state = self._make_state(identity, platform, server, accept_all)
        node = Node(vm_id, state, server, trio.CancelScope())
        self.nodes_by_id[vm_id] = node
        self.nursery.start_soon(self._run, node)
        return node

    def _make_server(self, vm_id):
        return _peer_server.PeerServer(vm_id)

    def kill(self, vm_id):
        """Kill the process of a node; its connections are closed."""
        node = self.nodes_by_id.pop(vm_id, None)
        if node is not None:
            node.scope.cancel()

    def crash_vm(self, vm_id):
        """Stop a VM without closing connections; its callers time out."""
        self.network.pause(vm_id)
        self.nodes_by_id.pop(vm_id)

    async def _run(self, node):
        with node.scope:
            async with trio.open_nursery() as nursery:
                node.nursery = nursery
                await node.state.run()

    async def _open_stream(self, source, target):
        await self.network.wait_running(source)
        await trio.sleep(self.network.link_delay(source, target))
        await self.network.wait_reachable(source, target)
        await self.network.wait_reachable(target, source)
        node = self.nodes_by_id.get(target)
        if node is None or node.nursery is None:
            raise ConnectionRefusedError(target)
        near, far = self.network.pair(source, target)
        node.nursery.start_soon(node.server.serve_connection, far)
        return near


class Operator:
    """Writes configuration in the way that the command line does."""

    def __init__(self, api):
        self._api = api

    async def apply(self, change, values):
        """Write objects, or delete those set to None; return the revision."""
        found = await self._api.get(configuration.HEAD_NAME)
        head = configuration.Head()
        if found.version != object_api.ABSENT:
            head = configuration.decode_head(found.value)
        revision = head.revision + 1
        entries = dict(head.entries)
        for name, value in values.items():
            if value is None:
                entries.pop(name, None)
                continue
            parts = configuration.split_parts(value)
            for digest, part in parts.items():
                await self._create(configuration.PART_PREFIX + digest, part)
            entries[name] = configuration.Entry(revision, tuple(parts))
        new = configuration.Head(
            revision, change, entries, (change, *head.recent)[:20]
        )
        value = configuration.encode_head(new)
        await self._api.put(configuration.HEAD_NAME, value, found.version)
        return revision

    async def _create(self, name, value):
        try:
            await self._api.put(name, value, object_api.ABSENT)
        except object_api.VersionConflict:
            return


# Time after which a new fleet is current.
WARM_UP_SECONDS = 10.0


def run(scenario, size=7, seed=0, make_state=_shared_state.SharedState):
    """Run `await scenario(fleet)` on a new fleet once it is current."""

    async def main():
        async with trio.open_nursery() as nursery:
            fleet = Fleet(nursery, seed, make_state)
            for number in range(size):
                fleet.start(f'vm-{number}')
            await trio.sleep(WARM_UP_SECONDS)
            await scenario(fleet)
            nursery.cancel_scope.cancel()

    random.seed(seed)
    scheduling.seed(seed)
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(main, clock=clock)
