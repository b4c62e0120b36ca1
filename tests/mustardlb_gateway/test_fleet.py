"""Sums of hubs, over a network that delays, loses and cuts."""

import random

import builders
import pytest

from mustardlb_gateway import _centres
from mustardlb_gateway import _fleet
from mustardlb_gateway import _membership
from mustardlb_gateway import _messages

STEP = 0.1


def make_digest(vm, **changes):
    fields = {
        'host': 'h',
        'port': 1,
        'data_centre': vm.data_centre,
        'capacity': vm.capacity,
        'is_watching': False,
        'is_leaving': False,
        'revisions': {},
        'admitted': {},
        'usages': (),
        'holdings': (),
    } | changes
    return _messages.Digest(**fields)


class Node:
    """A node's fleet state, with links as the network below plays them."""

    def __init__(self, network, vm, incarnation=1):
        self.network = network
        self.vm = vm
        self.incarnation = incarnation
        self.admitted = 0.0
        self.usages = ()
        self.holdings = ()
        self.is_leaving = False
        self.sequence = 0
        self.told_at = 0.0
        self.charged = 0.0
        self.counted = {}
        self.subscribed = {}
        clock = network.clock
        self.membership = _membership.Membership(vm, clock)
        self.fleet = _fleet.Fleet(
            self.membership, incarnation, self.digest, clock
        )

    def digest(self):
        return make_digest(
            self.vm,
            admitted={'acme': self.admitted},
            usages=self.usages,
            holdings=self.holdings,
            is_leaving=self.is_leaving,
            is_watching=self.fleet.must_watch(),
        )

    def message(self, body):
        self.sequence += 1
        return _messages.Message(
            self.vm.vm, self.incarnation, self.sequence, body
        )

    def tell(self):
        near = self.membership.neighbours()
        for hub in near - set(self.membership.hubs(self.vm.data_centre)):
            if not self.network.passes(self.vm.vm, hub):
                self.membership.mark_unreachable(hub)
            else:
                self.membership.mark_reachable(hub)
        for hub in self.membership.hubs(self.vm.data_centre):
            if hub != self.vm.vm:
                self.network.send(self, hub, self.message(self.digest()))
        wanted = self.fleet.select_feeds()
        links = {self.network.link(self, hub): wanted[hub] for hub in wanted}
        for link, feed in links.items():
            if self.subscribed.get(link) is not feed:
                self.network.send(
                    self, link[1], self.message(_messages.Subscription(True))
                )
        self.subscribed = links

    def refresh_view(self):
        """Charge what the others admitted, as a quota does."""
        self.fleet.refresh_view()
        for name in self.fleet.view:
            epoch = self.fleet.aggregates_locally(name)
            counted = self.fleet.admitted(name).get('acme', 0.0)
            before = self.counted.get(name)
            if before is not None and before[0] == epoch:
                self.charged += counted - before[1]
            self.counted[name] = epoch, counted

    def others(self):
        """Loads at target t1 and members, as this node sees them."""
        running = sum(
            centre.loads.get('t1', _centres.NO_LOAD).running
            for centre in self.fleet.view.values()
        )
        return running, self.membership.live


class Network:
    """Nodes and ordered links between them, in virtual time."""

    def __init__(self, centres, per_centre, seed=0):
        self.now = 100.0
        self.rng = random.Random(seed)
        self.vms = [
            _centres.Vm(f'{centre}{n}', 'h', 1, centre, 10.0 - n)
            for centre in centres
            for n in range(per_centre)
        ]
        self.nodes = {}
        self.down = set()
        self.cut = set()
        self.feeds = {}
        self.generation = dict.fromkeys((vm.vm for vm in self.vms), 0)
        for vm in self.vms:
            self.start(vm)

    def clock(self):
        return self.now

    def start(self, vm):
        self.generation[vm.vm] += 1
        node = Node(self, vm, self.generation[vm.vm])
        for other in self.vms:
            node.membership.add(other)
        self.nodes[vm.vm] = node
        self.down.discard(vm.vm)

    def stop(self, name):
        self.down.add(name)
        self.feeds = {
            link: feed
            for link, feed in self.feeds.items()
            if name not in link[:2]
        }

    def link(self, node, other):
        """A connection, another one after either end started anew."""
        ends = node.vm.vm, other
        return *ends, *(self.generation[end] for end in ends)

    def passes(self, one, other):
        return not (
            {one, other} & self.down
            or (one, other) in self.cut
            or (other, one) in self.cut
        )

    def send(self, sender, receiver, message):
        if not self.passes(sender.vm.vm, receiver):
            sender.membership.mark_unreachable(receiver)
            return
        # As on the wire.
        message = _messages.decode(_messages.encode(message))
        sender.membership.mark_reachable(receiver)
        node = self.nodes[receiver]
        match message.body:
            case _messages.Digest():
                node.fleet.receive_digest(message, message.body)
            case _messages.Subscription():
                self.feeds[self.link(sender, receiver)] = {}
            case _messages.Update():
                if not node.fleet.receive_update(message, message.body):
                    link = self.link(node, sender.vm.vm)
                    node.subscribed.pop(link, None)

    def serve(self):
        for link, told in list(self.feeds.items()):
            reader, hub = link[:2]
            if not self.passes(reader, hub):
                continue
            node = self.nodes[hub]
            fresh = node.fleet.state_for(reader)
            nothing = _centres.CentreState()
            changes = [
                _centres.difference(
                    name, told.get(name, nothing), fresh.get(name, nothing)
                )
                for name in told | fresh
            ]
            update = _messages.Update(
                not told, {}, tuple(each for each in changes if each), {}
            )
            self.feeds[link] = fresh
            self.send(node, reader, node.message(update))

    def run(self, seconds, on_step=lambda: None):
        for _ in range(round(seconds / STEP)):
            self.now += STEP
            on_step()
            for name, node in self.nodes.items():
                if name not in self.down and (
                    self.now - node.told_at >= node.membership.base_interval
                ):
                    node.told_at = self.now
                    node.membership.remove_lost()
                    node.tell()
            self.serve()
            for name, node in self.nodes.items():
                if name not in self.down:
                    node.refresh_view()

    def live(self):
        return [
            node for name, node in self.nodes.items() if name not in self.down
        ]

    def use(self, node, running, *adapters):
        node.usages = (
            _messages.TargetUsage(
                't1', running, 0, tuple(map(builders.adapter, adapters))
            ),
        )


def expect_agreement(network):
    """Check that each node sees the sum over all the others."""
    for node in network.live():
        others = [other for other in network.live() if other is not node]
        running, live = node.others()
        assert live == {other.vm.vm for other in others}, node.vm.vm
        assert running == sum(
            usage.running for other in others for usage in other.usages
        ), node.vm.vm


@pytest.mark.parametrize('shape', [('a', 2), ('abc', 1), ('ab', 7)])
def test_every_node_sees_the_sum_over_the_others(shape):
    network = Network(*shape)
    for number, node in enumerate(network.live()):
        network.use(node, number + 1)
    network.run(4)
    expect_agreement(network)


def test_loads_that_end_are_taken_back_everywhere():
    network = Network('ab', 4)
    for node in network.live():
        network.use(node, 3)
    network.run(4)
    for node in network.live():
        node.usages = ()
    network.run(2)
    expect_agreement(network)


def test_loads_of_other_data_centres_come_as_one_sum():
    network = Network('abc', 4)
    for node in network.live():
        network.use(node, 2)
    network.run(4)
    view = network.nodes['a3'].fleet.view
    assert view['a'].loads['t1'].running == 6
    assert view[_fleet.ELSEWHERE].loads['t1'].running == 16
    assert view['b'].loads == view['c'].loads == {}
    assert len(view['b'].members) == 4


def test_keeper_learns_which_adapters_are_in_use():
    network = Network('ab', 4)
    keeper = network.nodes['b3']
    keeper.holdings = (_centres.Holding('t1', 1, 1, True, {}, 2),)
    network.use(network.nodes['a3'], 1, 'a1')
    network.use(network.nodes['b2'], 1, 'a2')
    network.use(keeper, 1, 'a3')
    network.run(4)
    used = {
        adapter.adapter
        for centre in keeper.fleet.view.values()
        for adapter in centre.adapters_in_use.get('t1', ())
    }
    assert used == {'a1', 'a2'}
    # Nobody else is told, but the hubs that pass it on.
    for name in ('a3', 'b2'):
        view = network.nodes[name].fleet.view
        assert not any(centre.adapters_in_use for centre in view.values())
    holdings = network.nodes['a3'].fleet.view['b'].holdings
    assert ('b3', 't1') in holdings


@pytest.mark.parametrize('seed', range(12))
def test_all_agree_after_any_faults(seed):
    network = Network('abc', 5, seed)
    rng = network.rng
    names = [vm.vm for vm in network.vms]

    def disturb():
        node = network.nodes[rng.choice(names)]
        network.use(node, rng.randint(1, 5))
        if rng.random() < 0.1:
            name = rng.choice(names)
            if name in network.down:
                network.start(next(v for v in network.vms if v.vm == name))
            else:
                network.stop(name)
        if rng.random() < 0.1:
            network.cut ^= {tuple(rng.sample(names, 2))}

    network.run(10, disturb)
    network.cut.clear()
    network.run(12)
    expect_agreement(network)


@pytest.mark.parametrize('spends_on', [False, True])
@pytest.mark.parametrize('seed', range(5))
def test_what_is_admitted_is_counted_once_whatever_hub_tells(seed, spends_on):
    network = Network('ab', 4, seed)
    network.run(3)
    names = [vm.vm for vm in network.vms]
    spent = dict.fromkeys(names, 0.0)

    def spend():
        name = network.rng.choice(names)
        if name not in network.down:
            network.nodes[name].admitted += 10
            spent[name] += 10

    network.run(3, spend)
    if not spends_on:
        network.run(1.5)
    network.stop('a0')
    if spends_on:
        network.run(3, spend)
    else:
        network.run(3)
    network.run(3, spend)
    network.run(2)
    for node in network.live():
        others = sum(spent.values()) - spent[node.vm.vm]
        # What was spent while a hub was replaced may be missed.
        assert node.charged <= others + 1e-6, node.vm.vm
        if not spends_on:
            assert node.charged >= others - 1e-6, node.vm.vm


def test_node_that_leaves_is_not_taken_for_lost():
    network = Network('a', 4)
    network.run(3)
    network.nodes['a3'].is_leaving = True
    network.run(2)
    network.stop('a3')
    network.run(3)
    assert network.nodes['a0'].fleet.view['a'].lost_count == 0
    network.stop('a2')
    network.run(3)
    assert network.nodes['a0'].fleet.view['a'].lost_count == 1
    network.run(20)
    assert network.nodes['a0'].fleet.view['a'].lost_count == 0


def test_nodes_watch_the_store_while_no_hub_does():
    network = Network('ab', 10)
    assert all(node.fleet.must_watch() for node in network.live())
    network.run(4)
    watching = {n.vm.vm for n in network.live() if n.fleet.must_watch()}
    assert watching == {'a0', 'a1', 'b0', 'b1'}


def test_all_nodes_of_a_small_fleet_watch_the_store():
    network = Network('ab', 4)
    network.run(4)
    assert all(node.fleet.must_watch() for node in network.live())


def test_data_centre_without_a_feed_is_not_taken_for_alive():
    network = Network('ab', 3)
    network.run(3)
    for name in ('b0', 'b1', 'b2'):
        network.stop(name)
    network.run(5)
    node = network.nodes['a2']
    assert node.membership.live == {'a0', 'a1'}
    assert node.fleet.view['b'].lost_count == 3
    # Three live and three were lost.
    assert not node.membership.has_quorum()


def test_nodes_that_are_lost_for_good_are_no_majority_for_long():
    network = Network('ab', 4)
    network.run(3)
    for name in ('a0', 'a1', 'b0', 'b1', 'b2'):
        network.stop(name)
    network.run(10)
    assert not any(n.membership.has_quorum() for n in network.live())
    network.run(15)
    assert all(n.membership.has_quorum() for n in network.live())
