"""Nodes with real connections between them, for tests."""

import contextlib

import free_ports
import trio

from mustardlb_gateway import _centres
from mustardlb_gateway import _crashes
from mustardlb_gateway import _fleet
from mustardlb_gateway import _membership
from mustardlb_gateway import _messages
from mustardlb_gateway import _peers
from mustardlb_gateway import _target_limits


class Node:
    def __init__(self, vm, data_centre='a', capacity=1.0, handle_request=None):
        self.is_leaving = False
        self.admitted = {}
        self.revision_senders = []
        self.received_levels = {}
        self.evidence = self.own_evidence = _crashes.Evidence()
        self.limits = self.own_limits = {}
        self.is_cut_off = False
        self.vm = _centres.Vm(
            vm, '127.0.0.1', free_ports.find(1)[0], data_centre, capacity
        )
        self.membership = _membership.Membership(self.vm, trio.current_time)
        self.fleet = _fleet.Fleet(
            self.membership, 1, self.digest, trio.current_time
        )
        self.peers = _peers.Peers(
            self.membership,
            self.fleet,
            1,
            self.digest,
            handle_request or self.handle_request,
            lambda: None,
            lambda vm, revisions, epoch: self.revision_senders.append(vm),
            lambda: {'acme': 7.0},
            self.received_levels.update,
            lambda: self.evidence,
            lambda: self.limits,
            self.add_target_observations,
            None,
        )

    def add_target_observations(self, evidence, limits):
        self.evidence = _crashes.merge(self.evidence, evidence)
        self.limits = _target_limits.merge(self.limits, limits)

    def digest(self):
        return _messages.Digest(
            self.vm.host,
            self.vm.port,
            self.vm.data_centre,
            self.vm.capacity,
            self.fleet.must_watch(),
            self.is_leaving,
            {},
            dict(self.admitted),
            (),
            (),
            crash_evidence=self.own_evidence,
            target_limits=self.own_limits,
            is_cut_off=self.is_cut_off,
        )

    @property
    def remote_admitted(self):
        """Return the cost admitted by other nodes, as seen by this one."""
        return sum(
            self.fleet.admitted(name).get('acme', 0.0)
            for name in self.fleet.view
        )

    async def handle_request(self, message):
        await trio.lowlevel.checkpoint()
        return _messages.Wanted(True)


@contextlib.asynccontextmanager
async def running(*nodes):
    async with trio.open_nursery() as nursery:
        for node in nodes:
            await node.peers.run(nursery)
        yield
        nursery.cancel_scope.cancel()


async def wait_until(condition):
    with trio.fail_after(5):
        while not condition():
            await trio.sleep(0.02)


def make_fleet(centres, per_centre):
    """Return nodes that have each other as members."""
    nodes = [
        Node(f'{centre}{number}', centre, 10.0 - number)
        for centre in centres
        for number in range(per_centre)
    ]
    for node in nodes:
        for other in nodes:
            node.membership.add(other.vm)
    return nodes
