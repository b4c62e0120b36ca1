import contextlib

import builders
import free_ports
import pytest
import trio

from mustardlb_gateway import _centres
from mustardlb_gateway import _fleet
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
        _centres.Holding('t1', 4, 99, True, {builders.adapter('a1'): 2}, -1),
    ),
)

CHANGE = _centres.CentreChange(
    data_centre='a',
    silent=2,
    is_watching=True,
    members=(
        _centres.Member(_centres.Vm('vm2', '10.0.0.2', 7600, 'a', 5.0), 9),
    ),
    gone_members=('vm3',),
    admitted={'acme': 12.5},
    loads={'t1': _centres.Load(2, 300), 't2': _centres.NO_LOAD},
    uses={'t1': frozenset({builders.adapter('a1')}), 't2': frozenset()},
    holdings={('vm2', 't1'): DIGEST.holdings[0]},
    gone_holdings=(('vm2', 't2'),),
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
        _messages.Subscription(True),
        _messages.Subscription(False),
        _messages.Update(True, {'config': 7}, (CHANGE,), {'acme': -1.5}),
    ],
)
def test_every_message_comes_back_as_it_was(body):
    message = _messages.Message('vm1', 2**63, 5, body)
    assert _messages.decode(_messages.encode(message)) == message


@pytest.mark.parametrize('data', [b'', b'\xff' * 40])
def test_what_is_no_message_is_refused(data):
    with pytest.raises(ValueError, match='not a message'):
        _messages.decode(data)


class Node:
    def __init__(self, vm, data_centre='a', capacity=1.0, answer=None):
        self.is_leaving = False
        self.admitted = {}
        self.revised = []
        self.told_levels = {}
        self.me = _centres.Vm(
            vm, '127.0.0.1', free_ports.find(1)[0], data_centre, capacity
        )
        self.membership = _membership.Membership(self.me, trio.current_time)
        self.fleet = _fleet.Fleet(
            self.membership, 1, self.digest, trio.current_time
        )
        self.peers = _peers.Peers(
            self.membership,
            self.fleet,
            1,
            self.digest,
            answer or self.answer,
            lambda: None,
            lambda vm, revisions: self.revised.append(vm),
            lambda: {'acme': 7.0},
            self.told_levels.update,
        )

    def digest(self):
        return _messages.Digest(
            self.me.host,
            self.me.port,
            self.me.data_centre,
            self.me.capacity,
            self.fleet.must_watch(),
            self.is_leaving,
            {},
            dict(self.admitted),
            (),
            (),
        )

    @property
    def heard_admitted(self):
        """Cost that the other nodes admitted, as this one counts it."""
        return sum(
            self.fleet.admitted(name).get('acme', 0.0)
            for name in self.fleet.view
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
        await until(lambda: len(two.peers.alive()) == 2)
        await until(lambda: len(three.peers.alive()) == 2)
        # Until all sums are known to all, whose counts grow from then on.
        await trio.sleep(0.5)
        one.admitted['acme'] = 3.0
        one.peers.tell_now()
        with trio.fail_after(0.4):
            while not two.heard_admitted or not three.heard_admitted:
                await trio.sleep(0.01)
        await trio.sleep(0.5)
        assert two.heard_admitted == three.heard_admitted == 3.0
        assert one.heard_admitted == 0


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
        for other in nodes:
            other.membership.note_heard(node.me.vm)
    assert by_vm['a0'].hubs('a') == ['a0', 'a1']
    assert by_vm['a7'].neighbours() == {'a0', 'a1'}
    assert by_vm['b1'].neighbours() == {'a0', 'a1', 'b0', 'c0', 'c1'}


async def test_larger_fleets_get_fewer_digests():
    membership = Node('vm0').membership
    membership.vms_by_name = dict.fromkeys(range(380))
    # 63 nodes of a data centre cost its hub less than before in all.
    assert 63 / membership.interval <= 70


async def test_everybody_hears_of_everybody_through_hubs():
    nodes = make_fleet('ab', 4)
    async with running(*nodes):
        await until(lambda: all(len(n.peers.alive()) == 7 for n in nodes))
        await trio.sleep(0.5)
        nodes[3].admitted['acme'] = 3.0
        nodes[3].peers.tell_now()
        others = [node for node in nodes if node is not nodes[3]]
        await until(lambda: all(n.heard_admitted for n in others))
        await trio.sleep(0.5)
        assert all(node.heard_admitted == 3.0 for node in others)
        # A node far from both hubs answers a question.
        want = _messages.Want('t1', builders.adapter('a1'), 0, 1.0, 0.5)
        answer = await nodes[3].peers.ask(nodes[7].me.vm, want)
        assert answer == _messages.Wanted(True)


async def test_feed_of_a_hub_that_falls_silent_is_taken_from_another():
    nodes = make_fleet('ab', 3)
    async with contextlib.AsyncExitStack() as stack:
        await stack.enter_async_context(running(*nodes[1:]))
        first = await stack.enter_async_context(trio.open_nursery())
        await nodes[0].peers.run(first)
        await until(lambda: all(len(n.peers.alive()) == 5 for n in nodes))
        first.cancel_scope.cancel()
        rest = nodes[1:]
        await until(lambda: all(len(n.peers.alive()) == 4 for n in rest))
        await trio.sleep(0.5)
        nodes[5].admitted['acme'] = 2.0
        await until(lambda: all(n.heard_admitted for n in rest[:-1]))
        assert not any('a0' in node.fleet.wanted_feeds() for node in rest)


async def test_levels_come_with_the_first_update():
    nodes = make_fleet('a', 3)
    async with running(*nodes):
        await until(lambda: nodes[2].told_levels)
        assert nodes[2].told_levels == {'acme': 7.0}


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
            assert node.fleet.must_watch()
