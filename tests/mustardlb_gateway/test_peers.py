import contextlib
import socket

import builders
import pytest
import trio

from mustardlb_gateway import _membership
from mustardlb_gateway import _messages
from mustardlb_gateway import _peers
from mustardlb_gateway import ports

DIGEST = _messages.Digest(
    host='10.0.0.1',
    port=7600,
    data_centre='a',
    capacity=10.0,
    is_watching=True,
    is_leaving=False,
    revisions={'config': 7},
    admitted={'acme': 12.5},
    usages=(_messages.TargetUsage('t1', 2, 300, (builders.adapter('a1'),)),),
    holdings=(
        _messages.Holding('t1', 4, 99, True, {builders.adapter('a1'): 2}, -1),
    ),
)


@pytest.mark.parametrize(
    'body',
    [
        DIGEST,
        _messages.SnapshotRequest('config', 7),
        _messages.Snapshot(
            'config',
            9,
            (ports.StoredObject('main', 8, {'a': [1]}),),
            ('main', 'other'),
        ),
        _messages.Want('t1', builders.adapter('a1'), 3, 1.5, -0.5),
        _messages.Wanted(True),
        _messages.Wanted(False),
        _messages.Counts({'acme': 12.5, 'other': 0.0}),
        _messages.Relayed((b'one', b'two')),
    ],
)
def test_every_message_comes_back_as_it_was(body):
    message = _messages.Message('vm1', 2**63, 5, body)
    assert _messages.decode(_messages.encode(message)) == message


@pytest.mark.parametrize('data', [b'', b'\xff' * 40])
def test_what_is_no_message_is_refused(data):
    with pytest.raises(ValueError, match='not a message'):
        _messages.decode(data)


def free_port():
    with socket.socket() as sock:
        sock.bind(('127.0.0.1', 0))
        return sock.getsockname()[1]


class Node:
    def __init__(self, vm, data_centre='a', capacity=1.0, answer=None):
        self.heard = []
        self.counts = []
        self.is_leaving = False
        self.me = _membership.Vm(
            vm, '127.0.0.1', free_port(), data_centre, capacity
        )
        self.membership = _membership.Membership(self.me, trio.current_time)
        self.peers = _peers.Peers(
            self.membership,
            1,
            self.digest,
            lambda message, digest: self.heard.append(message.vm),
            answer or self.answer,
            lambda message, counts: self.counts.append(counts),
        )

    def digest(self):
        return _messages.Digest(
            self.me.host,
            self.me.port,
            self.me.data_centre,
            self.me.capacity,
            True,
            self.is_leaving,
            {},
            {},
            (),
            (),
        )

    async def answer(self, message):
        await trio.lowlevel.checkpoint()
        return _messages.Wanted(True)


@contextlib.asynccontextmanager
async def running(*nodes):
    async with trio.open_nursery() as nursery:
        for node in nodes:
            await node.peers.run(nursery)
        yield
        nursery.cancel_scope.cancel()


async def until(condition):
    with trio.fail_after(5):
        while not condition():
            await trio.sleep(0.02)


async def test_node_that_is_met_is_known_to_both():
    one, two = Node('vm1'), Node('vm2')
    async with running(one, two):
        one.membership.add(two.me)
        await until(lambda: one.peers.alive() and two.peers.alive())
        assert set(two.membership.vms_by_name) == {'vm1'}
        assert one.peers.hears_majority()


async def test_question_gets_its_answer():
    one, two = Node('vm1'), Node('vm2')
    async with running(one, two):
        one.membership.add(two.me)
        await until(lambda: one.peers.alive())
        want = _messages.Want('t1', builders.adapter('a1'), 0, 1.0, 0.5)
        assert await one.peers.ask('vm2', want) == _messages.Wanted(True)
        assert await one.peers.ask('vm9', want) is None


async def test_question_without_an_answer_does_not_spoil_the_next():
    silent = True

    async def answer(message):
        if silent:
            await trio.sleep(0.3)
        return _messages.Wanted(not silent)

    one, two = Node('vm1'), Node('vm2', answer=answer)
    async with running(one, two):
        one.membership.add(two.me)
        await until(lambda: one.peers.alive())
        want = _messages.Want('t1', builders.adapter('a1'), 0, 1.0, 0.5)
        assert await one.peers.ask('vm2', want, 0.1) is None
        silent = False
        await trio.sleep(0.4)
        assert await one.peers.ask('vm2', want) == _messages.Wanted(True)


async def test_node_that_leaves_is_not_counted_as_alive():
    one, two = Node('vm1'), Node('vm2')
    async with running(one, two):
        one.membership.add(two.me)
        await until(lambda: one.peers.alive())
        two.is_leaving = True
        await until(lambda: not one.peers.alive())


async def test_counts_are_told_to_all():
    one, two, three = Node('vm1'), Node('vm2'), Node('vm3')
    async with running(one, two, three):
        one.membership.add(two.me)
        one.membership.add(three.me)
        await until(lambda: len(one.peers.alive()) == 2)
        counts = _messages.Counts({'acme': 3.0})
        one.peers.tell_counts(counts)
        await until(lambda: two.counts and three.counts)
        assert two.counts == three.counts == [counts]


async def test_bytes_that_are_no_message_end_only_their_link():
    one, two = Node('vm1'), Node('vm2')
    async with running(one, two):
        stream = await trio.open_tcp_stream('127.0.0.1', one.me.port)
        await stream.send_all(b'\0\0\0\4junk')
        assert not await stream.receive_some()
        one.membership.add(two.me)
        await until(lambda: one.peers.alive())


def make_fleet(centres, per_centre):
    """Return nodes that all know each other."""
    nodes = [
        Node(f'{centre}{number}', centre, 10.0 - number)
        for centre in centres
        for number in range(per_centre)
    ]
    for node in nodes:
        for other in nodes:
            node.membership.add(other.me)
    return nodes


async def test_links_lead_to_hubs_only():
    nodes = make_fleet('abc', 20)
    by_vm = {node.me.vm: node.membership for node in nodes}
    for node in nodes:
        message = _messages.Message(node.me.vm, 1, 1, node.digest())
        for other in nodes:
            other.membership.hear(message, node.digest())
    assert by_vm['a0'].hubs('a') == ['a0', 'a1']
    assert by_vm['a7'].neighbours() == {'a0', 'a1'}
    assert by_vm['b1'].neighbours() == {'a0', 'a1', 'b0', 'c0', 'c1'}


async def test_larger_fleets_get_fewer_digests():
    membership = Node('vm0').membership
    membership.vms_by_name = dict.fromkeys(range(380))
    assert 380 / membership.interval <= _membership.MOST_DIGESTS * 1.01


async def test_everybody_hears_of_everybody_through_hubs():
    nodes = make_fleet('ab', 4)
    async with running(*nodes):
        await until(lambda: all(len(n.peers.alive()) == 7 for n in nodes))
        assert not nodes[3].membership.must_watch()
        assert nodes[0].membership.must_watch()
        counts = _messages.Counts({'acme': 3.0})
        nodes[3].peers.tell_counts(counts)
        await until(lambda: all(n.counts for n in nodes if n is not nodes[3]))
        assert all(len(n.counts) <= 1 for n in nodes)
        # A node far from both hubs answers a question.
        want = _messages.Want('t1', builders.adapter('a1'), 0, 1.0, 0.5)
        answer = await nodes[3].peers.ask(nodes[7].me.vm, want)
        assert answer == _messages.Wanted(True)


async def test_node_that_knows_nobody_is_told_by_a_hub():
    nodes = make_fleet('a', 4)
    lonely = nodes[3]
    lonely.membership.vms_by_name.clear()
    async with running(*nodes):
        await until(lambda: len(lonely.peers.alive()) == 3)
        await until(lambda: all(len(n.peers.alive()) == 3 for n in nodes))


async def test_next_node_takes_the_place_of_a_hub_that_is_gone():
    nodes = make_fleet('a', 4)
    rest = nodes[2:]
    async with running(*rest):
        await until(lambda: all(len(n.peers.alive()) == 1 for n in rest))
        for node in rest:
            assert set(node.membership.hubs('a')) == {'a2', 'a3'}
            assert node.membership.must_watch()
