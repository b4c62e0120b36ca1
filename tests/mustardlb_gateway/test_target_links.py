"""Links between nodes and targets that are cut, in virtual time.

The platform expects that callers of cut nodes are served at least two thirds
as often at the first attempt as those of the others, from STABLE_SECONDS
after the cut on.
"""

import contextlib
import itertools
import random

import builders
import pytest
import trio

from mustardlb_gateway import _reachability
from mustardlb_gateway import _target_links
from mustardlb_gateway import http_client

STABLE_SECONDS = 3.0
MIN_SERVED_RATIO = 2 / 3

# No call waits longer than this before it is known that it cannot be served.
REJECT_SECONDS = 1.5

HOP_SECONDS = 0.001

# Nodes learn this often what the others' digests say.
DIGEST_SECONDS = 1.0
CENTRES = 3


class PoolStub:
    """Keeps no connections, so that each call opens one."""

    def take_idle(self, peer, group='', is_relayed=False, request_id=''):
        return None

    def add_idle(self, peer, connection):
        pass

    def close_direct(self, peer):
        pass

    def connection(self, peer, stream, helper=''):
        return http_client.Connection(stream, helper, peer)


class Node:
    """The links of one node, which opens connections in the fleet."""

    def __init__(self, fleet, name, data_centre):
        self.fleet = fleet
        self.name = name
        self.reachability = _reachability.Reachability(
            trio.current_time, random.Random(name)
        )
        self.links = _target_links.TargetLinks(
            self.reachability,
            PoolStub(),
            self,
            lambda: fleet.target_by_id,
            lambda: self.live,
            lambda vm: fleet.centre_by_vm[vm],
            data_centre,
            cut_off=lambda: self.cut_off,
        )
        self.cut_off = frozenset()
        self.live = frozenset(fleet.centre_by_vm) - {name}
        self.relayed = 0
        self.asked = 0
        self.max_relayed = float('inf')

    async def connect(self, target, timeout):
        await trio.sleep(HOP_SECONDS)
        how = self.fleet.cuts.get((self.name, target.target_id))
        how = self.fleet.down.get(target.target_id, how)
        if how is None:
            return object()
        if how == 'refuse':
            raise ConnectionRefusedError
        await trio.sleep(timeout)
        raise TimeoutError

    async def relay(self, vm, target):
        await trio.sleep(HOP_SECONDS)
        if self.fleet.rng.random() < self.fleet.lost_share:
            await trio.sleep(0.6)
            return _target_links.Relayed(
                _reachability.RelayOutcome.NO_RESPONSE
            )
        helper = self.fleet.node_by_vm[vm]
        helper.asked += 1
        if helper.relayed >= helper.max_relayed:
            return _target_links.Relayed(_reachability.RelayOutcome.BUSY)
        outcome, stream = await helper.links.connect_for_other(target, 0.2)
        if stream is not None:
            helper.relayed += 1
        return _target_links.Relayed(outcome, stream)


class Fleet:
    """Nodes in some data centres before targets.

    :ivar cuts: how the connections of a node to a target fail, by both
    :ivar down: how connections to a target that is down fail, by its id
    :ivar calls: node, time, seconds and result of each call: 'direct',
        'relayed', 'rejected' (nothing is known of the target) or 'failed'
    """

    def __init__(self, nodes, targets=6, lost_share=0.0, seed=0):
        self.rng = random.Random(seed)
        self.lost_share = lost_share
        self.cuts = {}
        self.down = {}
        self.calls = []
        self.target_by_id = {
            f't{number}': builders.make_target(f't{number}')
            for number in range(targets)
        }
        self.centre_by_vm = {
            f'vm{number}': f'dc{number % min(CENTRES, nodes)}'
            for number in range(nodes)
        }
        self.node_by_vm = {
            vm: Node(self, vm, centre)
            for vm, centre in self.centre_by_vm.items()
        }

    def cut(self, vms, how, targets=None):
        for vm in vms:
            for target_id in targets or self.target_by_id:
                self.cuts[vm, target_id] = how

    async def call(self, vm):
        node = self.node_by_vm[vm]
        # As the dispatcher does, a call tries several targets.
        begin = trio.current_time()
        result = 'failed'
        for target in self.rng.sample(list(self.target_by_id.values()), 3):
            try:
                connection = await node.links.acquire(target, 'r')
            except http_client.ExchangeFailed as error:
                assert not error.was_sent
                result = 'rejected' if error.is_link_failure else 'failed'
                if error.is_link_failure:
                    break
                continue
            result = 'relayed' if connection.helper else 'direct'
            break
        self.calls.append((vm, begin, trio.current_time() - begin, result))

    @contextlib.asynccontextmanager
    async def running(self, per_node_second=4):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._exchange_digests)
            for node in self.node_by_vm.values():
                nursery.start_soon(node.links.run)
                nursery.start_soon(
                    self._send, nursery, node.name, per_node_second
                )
            yield self
            nursery.cancel_scope.cancel()

    async def _exchange_digests(self):
        """Tell each node which others say that they reach no target."""
        while True:
            await trio.sleep(DIGEST_SECONDS)
            cut_off = frozenset(
                vm
                for vm, node in self.node_by_vm.items()
                if node.reachability.is_cut_off
            )
            for node in self.node_by_vm.values():
                if self.rng.random() >= self.lost_share:
                    node.cut_off = cut_off

    async def _send(self, nursery, vm, per_second):
        while True:
            await trio.sleep(self.rng.expovariate(per_second))
            nursery.start_soon(self.call, vm)

    def served_share(self, vms, since, until):
        found = [
            result in ('direct', 'relayed')
            for vm, at, _, result in self.calls
            if vm in vms and since <= at < until
        ]
        return sum(found) / max(1, len(found))

    async def believed_down(self, target):
        """Return the nodes that believe that a target has ended."""
        found = []

        async def check(node):
            if await node.links.is_down(target):
                found.append(node.name)

        async with trio.open_nursery() as nursery:
            for node in self.node_by_vm.values():
                nursery.start_soon(check, node)
        return found


@pytest.mark.parametrize(
    ('nodes', 'cut', 'lost_share', 'how'),
    [
        *itertools.product([7], [1, 3, 6], [0.0, 0.1], ['refuse', 'hang']),
        *itertools.product([40], [1, 14, 39], [0.1], ['refuse', 'hang']),
        (200, 60, 0.1, 'hang'),
        (200, 150, 0.0, 'refuse'),
        (200, 199, 0.0, 'refuse'),
    ],
)
async def test_callers_of_cut_nodes_are_served(
    nodes, cut, lost_share, how, autojump_clock
):
    fleet = Fleet(nodes, lost_share=lost_share)
    vms = fleet.rng.sample(list(fleet.node_by_vm), cut)
    others = set(fleet.node_by_vm) - set(vms)
    async with fleet.running():
        await trio.sleep(2)
        fleet.cut(vms, how)
        cut_at = trio.current_time()
        await trio.sleep(9)
        healed_at = trio.current_time()
        for target in fleet.target_by_id.values():
            assert not await fleet.believed_down(target)
        fleet.cuts.clear()
        await trio.sleep(5)
        end = trio.current_time()
    served = fleet.served_share(vms, cut_at + STABLE_SECONDS, healed_at)
    elsewhere = fleet.served_share(others, cut_at + STABLE_SECONDS, healed_at)
    assert elsewhere > 0.99
    assert served >= MIN_SERVED_RATIO * elsewhere
    # Soon after the cut, connections are direct again.
    late = [result for _, at, _, result in fleet.calls if at > end - 2]
    assert late.count('direct') > 0.95 * len(late)


async def test_helpers_share_the_work_of_many_cut_nodes(autojump_clock):
    fleet = Fleet(200)
    vms = fleet.rng.sample(list(fleet.node_by_vm), 60)
    async with fleet.running():
        fleet.cut(vms, 'refuse')
        await trio.sleep(10)
    helpers = [
        node.relayed for vm, node in fleet.node_by_vm.items() if vm not in vms
    ]
    # Each helper gets about as many connections as it has calls of its own.
    assert max(helpers) <= 4 * 10


# Guards against a fleet whose calls all ask the one helper again and again
# although it relays as many connections as it may.
async def test_busy_helper_is_not_overrun_by_many_cut_nodes(autojump_clock):
    fleet = Fleet(200)
    vms = list(fleet.node_by_vm)
    helper = fleet.node_by_vm[vms[0]]
    helper.max_relayed = 20
    async with fleet.running():
        fleet.cut(vms[1:], 'refuse')
        await trio.sleep(STABLE_SECONDS)
        asked_before = helper.asked
        await trio.sleep(10)
    # A node asks as often as its backoff allows, not with each of its calls.
    assert helper.asked - asked_before <= len(vms) * 10 / 2 * 1.25


async def test_helpers_of_other_data_centres_serve_one_that_is_cut_off(
    autojump_clock,
):
    fleet = Fleet(40)
    vms = [vm for vm, name in fleet.centre_by_vm.items() if name == 'dc0']
    async with fleet.running():
        fleet.cut(vms[1:], 'hang')
        cut_at = trio.current_time()
        await trio.sleep(10)
        end = trio.current_time()
    served = fleet.served_share(vms[1:], cut_at + STABLE_SECONDS, end)
    assert served >= MIN_SERVED_RATIO
    # The one node that is left does not serve all the others.
    assert fleet.node_by_vm[vms[0]].relayed <= 0.3 * 4 * 10 * len(vms)


@pytest.mark.parametrize(
    ('nodes', 'how'),
    [*itertools.product([1, 7, 40], ['refuse', 'hang']), (200, 'refuse')],
)
async def test_calls_are_rejected_at_once_if_no_node_reaches_a_target(
    nodes, how, autojump_clock
):
    fleet = Fleet(nodes)
    async with fleet.running():
        await trio.sleep(1)
        fleet.cut(fleet.node_by_vm, how)
        cut_at = trio.current_time()
        await trio.sleep(6)
        for target in fleet.target_by_id.values():
            assert not await fleet.believed_down(target)
        healed_at = trio.current_time()
        fleet.cuts.clear()
        await trio.sleep(6)
        end = trio.current_time()
    late = [
        (seconds, result)
        for _, at, seconds, result in fleet.calls
        if cut_at + STABLE_SECONDS <= at < healed_at - REJECT_SECONDS
    ]
    assert {result for _, result in late} <= {'rejected'}
    assert sum(seconds > 0.1 for seconds, _ in late) <= 0.05 * len(late)
    assert fleet.served_share(fleet.node_by_vm, healed_at + 3, end) > 0.95


@pytest.mark.parametrize('nodes', [7, 40])
@pytest.mark.parametrize('how', ['refuse', 'hang'])
async def test_end_of_a_target_is_still_seen_by_nodes_that_are_cut_off(
    nodes, how, autojump_clock
):
    fleet = Fleet(nodes)
    vms = list(fleet.node_by_vm)[: nodes // 2]
    target = fleet.target_by_id['t0']
    async with fleet.running():
        await trio.sleep(1)
        fleet.cut(vms, 'hang')
        await trio.sleep(4)
        fleet.down['t0'] = how
        await trio.sleep(0.5)
        found = await fleet.believed_down(target)
        assert set(found) == set(fleet.node_by_vm)
        for other in list(fleet.target_by_id.values())[1:]:
            assert not await fleet.believed_down(other)


@pytest.mark.parametrize(
    ('nodes', 'seed'),
    [*itertools.product([1, 7, 40], range(5)), (200, 5)],
)
async def test_no_sound_target_is_believed_down_under_random_cuts(
    nodes, seed, autojump_clock
):
    fleet = Fleet(nodes, targets=8, lost_share=0.05, seed=seed)
    rng = fleet.rng
    async with fleet.running(per_node_second=2):
        for _ in range(4):
            await trio.sleep(rng.uniform(0.2, 2))
            if rng.random() < 0.3:
                fleet.cuts.clear()
            vms = rng.sample(list(fleet.node_by_vm), rng.randint(1, nodes))
            targets = rng.sample(
                list(fleet.target_by_id), rng.choice([1, 3, 8])
            )
            fleet.cut(vms, rng.choice(['refuse', 'hang']), targets)
            await trio.sleep(rng.uniform(0.1, 3))
            for target_id in rng.sample(list(fleet.target_by_id), 2):
                target = fleet.target_by_id[target_id]
                reaching = [
                    vm
                    for vm in fleet.node_by_vm
                    if (vm, target_id) not in fleet.cuts
                ]
                if 2 * len(reaching) > nodes:
                    assert not await fleet.believed_down(target)


class RelayedStub:
    """An idle connection that a node relays."""

    def __init__(self, helper):
        self.helper = helper
        self.is_closed = False

    def close(self):
        self.is_closed = True


class IdlePool(PoolStub):
    """Has idle relayed connections, the next one at the end."""

    def __init__(self, idle):
        self.idle = idle

    def take_idle(self, peer, group='', is_relayed=False, request_id=''):
        return self.idle.pop() if is_relayed and self.idle else None


# A call that was sent over an idle connection by way of a stopping node was
# cut off when that node ended.
async def test_idle_connection_by_way_of_a_stopping_node_is_not_used(
    autojump_clock,
):
    fleet = Fleet(3)
    node, stopping, other = fleet.node_by_vm.values()
    target = fleet.target_by_id['t0']
    fleet.cuts[node.name, 't0'] = 'refuse'
    assert (await node.links.acquire(target, 'r1')).helper
    idle = [RelayedStub(other.name), RelayedStub(stopping.name)]
    node.links._pool = IdlePool(list(idle))
    node.live -= {stopping.name}
    assert (await node.links.acquire(target, 'r2')) is idle[0]
    assert [each.is_closed for each in idle] == [False, True]
    assert (await node.links.acquire(target, 'r3')).helper == other.name
