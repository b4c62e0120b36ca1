import contextlib
import socket

import builders
import pytest
import trio

from mustardlb_gateway import _messages
from mustardlb_gateway import _peers
from mustardlb_gateway import ports

DIGEST = _messages.Digest(
    host='10.0.0.1',
    port=7600,
    is_leaving=False,
    revisions={'config': 7},
    admitted={'acme': 12.5},
    usages=(_messages.TargetUsage('t1', 2, 300, (builders.adapter('a1'),)),),
    holdings=(
        _messages.Holding('t1', 4, 99, True, {builders.adapter('a1'): 2}, -1),
    ),
    heard=('vm2',),
)


@pytest.mark.parametrize(
    'body',
    [
        DIGEST,
        _messages.SnapshotRequest('config'),
        _messages.Snapshot(
            'config', 9, (ports.StoredObject('main', 8, {'a': [1]}),)
        ),
        _messages.Want('t1', builders.adapter('a1'), 3, 1.5, -0.5),
        _messages.Wanted(True),
        _messages.Wanted(False),
        _messages.Counts({'acme': 12.5, 'other': 0.0}),
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
    def __init__(self, vm, answer=None):
        self.heard = []
        self.counts = []
        self.is_leaving = False
        self.me = _peers.Vm(vm, '127.0.0.1', free_port())
        self.peers = _peers.Peers(
            self.me,
            1,
            trio.current_time,
            self.digest,
            lambda vm, incarnation, digest: self.heard.append(vm),
            answer or self.answer,
            lambda message, counts: self.counts.append(counts),
        )

    def digest(self):
        return _messages.Digest(
            self.me.host, self.me.port, self.is_leaving, {}, {}, (), (), ()
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
        one.peers.add(two.me)
        await until(lambda: one.peers.alive() and two.peers.alive())
        assert two.peers.known() == {'vm1'}
        assert one.peers.hears_majority()


async def test_question_gets_its_answer():
    one, two = Node('vm1'), Node('vm2')
    async with running(one, two):
        one.peers.add(two.me)
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

    one, two = Node('vm1'), Node('vm2', answer)
    async with running(one, two):
        one.peers.add(two.me)
        await until(lambda: one.peers.alive())
        want = _messages.Want('t1', builders.adapter('a1'), 0, 1.0, 0.5)
        assert await one.peers.ask('vm2', want, 0.1) is None
        silent = False
        await trio.sleep(0.4)
        assert await one.peers.ask('vm2', want) == _messages.Wanted(True)


async def test_node_that_leaves_is_not_counted_as_alive():
    one, two = Node('vm1'), Node('vm2')
    async with running(one, two):
        one.peers.add(two.me)
        await until(lambda: one.peers.alive())
        two.is_leaving = True
        await until(lambda: not one.peers.alive())


async def test_counts_are_told_to_all():
    one, two, three = Node('vm1'), Node('vm2'), Node('vm3')
    async with running(one, two, three):
        one.peers.add(two.me)
        one.peers.add(three.me)
        await until(lambda: len(one.peers.alive()) == 2)
        counts = _messages.Counts({'acme': 3.0})
        await one.peers.tell(counts)
        await until(lambda: two.counts and three.counts)
        assert two.counts == three.counts == [counts]


async def test_bytes_that_are_no_message_end_only_their_link():
    one, two = Node('vm1'), Node('vm2')
    async with running(one, two):
        stream = await trio.open_tcp_stream('127.0.0.1', one.me.port)
        await stream.send_all(b'\0\0\0\4junk')
        assert not await stream.receive_some()
        one.peers.add(two.me)
        await until(lambda: one.peers.alive())


def test_larger_fleets_get_fewer_digests_each():
    node = Node('vm0')
    node.peers._links_by_vm = dict.fromkeys(range(380))
    assert 1 / node.peers.interval * 380 <= _peers.MOST_DIGESTS * 1.01
