import contextlib
import typing

import builders
import peer_nodes
import pytest
import trio

from mustardlb import schema
from mustardlb_gateway import _centres
from mustardlb_gateway import _crashes
from mustardlb_gateway import _membership
from mustardlb_gateway import _message_codec
from mustardlb_gateway import _messages
from mustardlb_gateway import _removals
from mustardlb_gateway import _software_history
from mustardlb_gateway import _target_limits
from mustardlb_gateway import ports

Node = peer_nodes.Node
make_fleet = peer_nodes.make_fleet
running = peer_nodes.running
wait_until = peer_nodes.wait_until

EVIDENCE = _crashes.Evidence(
    {('t1', 99): _crashes.CrashReport('t1', 99, 1.5, {'p1': 1.25, 'p2': 1.0})},
    {'p2': 2.5, _crashes.ANY_REQUEST: 3.5},
)

LIMITS = {
    ('t1', 99): _target_limits.LimitNotice('t1', 99, 1.7, 4.5),
    ('t2', 98): _target_limits.LimitNotice('t2', 98, None, 5.5),
}

ORIGIN = _messages.Origin('llm', 'v1')

DIGEST = _messages.Digest(
    host='10.0.0.1',
    port=7600,
    data_centre='a',
    capacity=10.0,
    is_watching=True,
    is_leaving=False,
    revisions={'config': 7},
    admitted={'acme': 12.5},
    usages=(
        _messages.TargetUsage(
            't1',
            2,
            300,
            (builders.adapter('a1'),),
            418,
            _centres.Window(4, 2**63),
        ),
    ),
    holdings=(
        _centres.Holding('t1', 4, 99, True, {builders.adapter('a1'): 2}, -1),
    ),
    crash_evidence=EVIDENCE,
    target_limits=LIMITS,
    is_cut_off=True,
)

CHANGE = _centres.CentreDelta(
    data_centre='a',
    lost_count=2,
    is_watching=True,
    members=(
        _centres.Member(_centres.Vm('vm2', '10.0.0.2', 7600, 'a', 5.0), 9),
        _centres.Member(
            _centres.Vm('vm4', '10.0.0.4', 7600, 'a', 5.0), 8, True, True
        ),
    ),
    removed_members=('vm3',),
    admitted={'acme': 12.5},
    loads={
        't1': _centres.Load(2, 300, 418, _centres.Window(65_535, 9)),
        't2': _centres.NO_LOAD,
        't3': _centres.Load(0, 0, 100),
    },
    adapters_in_use={
        't1': frozenset({builders.adapter('a1')}),
        't2': frozenset(),
    },
    holdings={('vm2', 't1'): DIGEST.holdings[0]},
    removed_holdings=(('vm2', 't2'),),
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
        _messages.Want(
            't1', builders.adapter('a1'), 3, 1.5, -0.5, 0, 'acme', 9190
        ),
        _messages.Reserve('t1', builders.adapter('a1'), 3, 9190, 0.5, True),
        _messages.Reserve(
            't1', builders.adapter('a1'), 3, 9190, 0.5, True, 2, 'acme', 0.5
        ),
        _messages.Reserved(True, True, True, 0.5),
        _messages.Reserved(True, True, True, 0.5, 2.5),
        _messages.Wanted(True),
        _messages.Wanted(False),
        _messages.Observed('t1', 2**63, 5, 2, 1, True),
        _messages.FindRemovals(),
        _messages.FoundRemovals((_removals.Removal('t1', 2**63, 1, 9),)),
        _messages.Subscription(True),
        _messages.Subscription(False),
        _messages.Update(
            True, {'config': 7}, (CHANGE,), {'acme': -1.5}, EVIDENCE, LIMITS
        ),
        _messages.Permit(LIMITS['t1', 99], 2),
        _messages.Permitted(0.25),
        _messages.ColdPermit('t1', 99, 1.5, ('vm2', 'vm3')),
        _messages.ColdNotice('t1', 99, 1.5),
        _messages.Trial('p1'),
        _messages.Tried(True),
        _messages.TellOrigins({ORIGIN: (7, 2**64 - 1)}),
        _messages.ToldOrigins(),
        _messages.FindOrigin(7, ('llm', 'old')),
        _messages.FoundOrigin(
            ORIGIN, _software_history.Knowledge(frozenset({'v1'}), True)
        ),
        _messages.FoundOrigin(
            None, _software_history.Knowledge(frozenset(), False)
        ),
    ],
)
def test_message_round_trip(body):
    message = _messages.Message('vm1', 2**63, 5, body)
    assert _message_codec.decode(_message_codec.encode(message)) == message


def test_requests_of_older_nodes_have_the_default_priority():
    """Guards against requests that an upgrade would serve first or last."""
    adapter = builders.adapter('a1')
    fields = {'target': 't1', 'adapter': str(adapter)}
    for kind in ('want', 'reserve'):
        message = schema.load('gateway').PeerMessage.new_message(
            **{kind: fields}
        )
        data = message.to_bytes_packed()
        decoded = _message_codec.decode(data).body
        assert type(decoded).__name__.lower() == kind
        assert (decoded.priority, decoded.account) == (5, '')


@pytest.mark.parametrize('data', [b'', b'\xff' * 40])
def test_invalid_message_is_rejected(data):
    with pytest.raises(ValueError, match='invalid message'):
        _message_codec.decode(data)


async def test_nodes_discover_each_other():
    one, two = Node('vm1'), Node('vm2')
    async with running(one, two):
        one.membership.add(two.vm)
        await wait_until(lambda: one.peers.alive() and two.peers.alive())
        assert set(two.membership.vms_by_name) == {'vm1'}
        assert one.peers.has_quorum()


async def test_request_gets_response():
    one, two = Node('vm1'), Node('vm2')
    async with running(one, two):
        one.membership.add(two.vm)
        await wait_until(lambda: one.peers.alive())
        want = _messages.Want('t1', builders.adapter('a1'), 0, 1.0, 0.5)
        assert await one.peers.request('vm2', want) == _messages.Wanted(True)
        assert await one.peers.request('vm9', want) is None


# Permits and trials got no response, as only a fixed list of messages did.
@pytest.mark.parametrize(
    ('request_body', 'response_body'),
    [
        (_messages.Permit(LIMITS['t1', 99], 0), _messages.Permitted(0.5)),
        (_messages.Trial('p1'), _messages.Tried(True)),
        (
            _messages.Charge('acme', 1.0, 'a'),
            _messages.Charged(True, 0.0, 1.0),
        ),
        (
            _messages.FindRemovals(),
            _messages.FoundRemovals((_removals.Removal('t1', 2, 1, 9),)),
        ),
    ],
)
async def test_each_kind_of_request_gets_its_response(
    request_body, response_body
):
    async def handle_request(message):
        await trio.lowlevel.checkpoint()
        assert message.body == request_body
        return response_body

    one, two = Node('vm1'), Node('vm2', handle_request=handle_request)
    async with running(one, two):
        one.membership.add(two.vm)
        await wait_until(lambda: one.peers.alive())
        response = await one.peers.request('vm2', request_body)
        assert response == response_body


def test_each_message_is_a_request_a_response_or_news():
    kinds = [*_messages.REQUESTS, *_messages.RESPONSES, *_messages.NEWS]
    assert len(kinds) == len(set(kinds))
    assert set(kinds) == set(typing.get_args(_messages.Body))


async def test_request_timeout_does_not_affect_next_request():
    is_unresponsive = True

    async def handle_request(message):
        if is_unresponsive:
            await trio.sleep(0.3)
        return _messages.Wanted(not is_unresponsive)

    one, two = Node('vm1'), Node('vm2', handle_request=handle_request)
    async with running(one, two):
        one.membership.add(two.vm)
        await wait_until(lambda: one.peers.alive())
        want = _messages.Want('t1', builders.adapter('a1'), 0, 1.0, 0.5)
        assert await one.peers.request('vm2', want, 0.1) is None
        is_unresponsive = False
        await trio.sleep(0.4)
        assert await one.peers.request('vm2', want) == _messages.Wanted(True)


async def test_leaving_node_is_not_live():
    one, two = Node('vm1'), Node('vm2')
    async with running(one, two):
        one.membership.add(two.vm)
        await wait_until(lambda: one.peers.alive())
        two.is_leaving = True
        await wait_until(lambda: not one.peers.alive())


async def test_admitted_costs_reach_all_nodes():
    one, two, three = Node('vm1'), Node('vm2'), Node('vm3')
    async with running(one, two, three):
        one.membership.add(two.vm)
        one.membership.add(three.vm)
        await wait_until(lambda: len(one.peers.alive()) == 2)
        await wait_until(lambda: len(two.peers.alive()) == 2)
        await wait_until(lambda: len(three.peers.alive()) == 2)
        # A node's first counters add nothing, so every node must have them
        # before the cost grows.
        await trio.sleep(0.5)
        one.admitted['acme'] = 3.0
        one.peers.send_digest_now()
        with trio.fail_after(0.4):
            while not two.remote_admitted or not three.remote_admitted:
                await trio.sleep(0.01)
        await trio.sleep(0.5)
        assert two.remote_admitted == three.remote_admitted == 3.0
        assert one.remote_admitted == 0


async def test_invalid_bytes_close_only_their_connection():
    one, two = Node('vm1'), Node('vm2')
    async with running(one, two):
        stream = await trio.open_tcp_stream('127.0.0.1', one.vm.port)
        await stream.send_all(b'\0\0\0\4junk')
        assert not await stream.receive_some()
        one.membership.add(two.vm)
        await wait_until(lambda: one.peers.alive())


async def test_nodes_connect_only_to_hubs():
    nodes = make_fleet('abc', 20)
    by_vm = {node.vm.vm: node.membership for node in nodes}
    for node in nodes:
        for other in nodes:
            other.membership.record_heartbeat(node.vm.vm)
    assert by_vm['a0'].hubs('a') == ['a0', 'a1']
    assert by_vm['a7'].neighbours() == {'a0', 'a1'}
    assert by_vm['b1'].neighbours() == {'a0', 'a1', 'b0', 'c0', 'c1'}


async def test_digest_rate_falls_with_fleet_size():
    membership = Node('vm0').membership
    membership.vms_by_name = dict.fromkeys(range(380))
    # A hub of 63 nodes must not receive more digests per second than this.
    assert 63 / membership.base_interval <= 70


@pytest.mark.parametrize('nodes', [3, 7, 80, 380])
async def test_counters_are_not_stale_before_three_heartbeats(nodes):
    membership = Node('vm0').membership
    membership.vms_by_name = dict.fromkeys(range(nodes))
    heartbeat = _membership.HEARTBEAT_INTERVALS * membership.base_interval
    assert membership.counters_stale_after >= 3 * heartbeat
    # A digest and the update with it, each after the delay for changes.
    assert membership.counters_stale_after > 2 * (
        membership.batch_delay + membership.base_interval
    )


async def test_all_nodes_exchange_state_through_hubs():
    nodes = make_fleet('ab', 4)
    async with running(*nodes):
        await wait_until(lambda: all(len(n.peers.alive()) == 7 for n in nodes))
        await trio.sleep(0.5)
        nodes[3].admitted['acme'] = 3.0
        nodes[3].peers.send_digest_now()
        others = [node for node in nodes if node is not nodes[3]]
        await wait_until(lambda: all(n.remote_admitted for n in others))
        await trio.sleep(0.5)
        assert all(node.remote_admitted == 3.0 for node in others)
        # A request opens a connection to a node that is no hub.
        want = _messages.Want('t1', builders.adapter('a1'), 0, 1.0, 0.5)
        response = await nodes[3].peers.request(nodes[7].vm.vm, want)
        assert response == _messages.Wanted(True)


async def test_feed_moves_when_hub_stops():
    nodes = make_fleet('ab', 3)
    async with contextlib.AsyncExitStack() as stack:
        await stack.enter_async_context(running(*nodes[1:]))
        hub_nursery = await stack.enter_async_context(trio.open_nursery())
        await nodes[0].peers.run(hub_nursery)
        await wait_until(lambda: all(len(n.peers.alive()) == 5 for n in nodes))
        hub_nursery.cancel_scope.cancel()
        rest = nodes[1:]
        await wait_until(lambda: all(len(n.peers.alive()) == 4 for n in rest))
        await trio.sleep(0.5)
        nodes[5].admitted['acme'] = 2.0
        await wait_until(lambda: all(n.remote_admitted for n in rest[:-1]))
        assert not any('a0' in node.fleet.select_feeds() for node in rest)


async def test_first_update_contains_levels():
    nodes = make_fleet('a', 3)
    async with running(*nodes):
        await wait_until(lambda: nodes[2].received_levels)
        assert nodes[2].received_levels == {'acme': 7.0}


async def test_hub_connects_to_node_without_peers():
    nodes = make_fleet('a', 4)
    isolated = nodes[3]
    isolated.membership.vms_by_name.clear()
    async with running(*nodes):
        await wait_until(lambda: len(isolated.peers.alive()) == 3)
        await wait_until(lambda: all(len(n.peers.alive()) == 3 for n in nodes))


async def test_next_node_replaces_stopped_hub():
    nodes = make_fleet('a', 4)
    rest = nodes[2:]
    async with running(*rest):
        await wait_until(lambda: all(len(n.peers.alive()) == 1 for n in rest))
        for node in rest:
            assert set(node.membership.hubs('a')) == {'a2', 'a3'}
            assert node.fleet.must_watch()


# A node that was not told of a crash or a limit would go on sending requests.
async def test_evidence_and_limits_reach_all_nodes():
    nodes = [Node(f'vm{n}', 'ab'[n % 2], 5.0 - n) for n in range(6)]
    async with running(*nodes):
        for node in nodes[1:]:
            node.membership.add(nodes[0].vm)
        nodes[5].own_evidence = nodes[5].evidence = EVIDENCE
        nodes[5].own_limits = nodes[5].limits = LIMITS
        with trio.fail_after(4):
            while any(
                (node.evidence, node.limits) != (EVIDENCE, LIMITS)
                for node in nodes
            ):
                await trio.sleep(0.02)


# Nodes that do not know who reaches no target look for a helper at random.
async def test_nodes_learn_which_others_reach_no_target():
    nodes = make_fleet('ab', 3)
    names = [node.vm.vm for node in nodes]
    async with running(*nodes):
        for cut_off in (set(names[1:5]), {names[5]}, set()):
            for node in nodes:
                node.is_cut_off = node.vm.vm in cut_off

            def all_know(cut_off=cut_off):
                return all(
                    node.membership.cut_off == cut_off - {node.vm.vm}
                    for node in nodes
                )

            await wait_until(all_know)
