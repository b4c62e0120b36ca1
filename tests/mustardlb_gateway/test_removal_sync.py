"""Nodes that have not seen a removal are told of it by others.

A node that started before the store continued from a copy sent requests to
targets whose removal the other nodes had acknowledged.
"""

import builders
import target_table
import trio

from mustardlb_gateway import _messages
from mustardlb_gateway import _mirror
from mustardlb_gateway import _removal_sync
from mustardlb_gateway import _removals

REMOVAL = _removals.Removal('t1', 1, 0, 9)


class Fleet:
    """The other nodes; those that answer know of one removal."""

    def __init__(self):
        self.mirror = _mirror.Mirror('servers')
        self.alive = {'vm1', 'vm2', 'vm3', 'vm4'}
        self.answering = {'vm1', 'vm2', 'vm3', 'vm4'}
        self.asked = []
        self.told = []

    async def request(self, vm, body, timeout):
        self.asked.append(vm)
        if vm not in self.answering:
            await trio.sleep(timeout)
            return None
        await trio.sleep(0.01)
        return _messages.FoundRemovals((REMOVAL,))

    async def run(self):
        await _removal_sync.sync(
            self.mirror, self.request, lambda: self.alive, self.told.extend
        )


async def test_nodes_are_asked_at_the_start_and_in_each_epoch(
    autojump_clock, nursery
):
    """Guards against questions that are not repeated, or never end."""
    fleet = Fleet()
    nursery.start_soon(fleet.run)
    await trio.sleep(1)
    assert not fleet.asked
    for epoch in (1, 2):
        fleet.asked.clear()
        fleet.mirror.replace_all([], 5, epoch)
        await trio.sleep(10)
        assert len(fleet.asked) == _removal_sync.MAX_ASKED
        assert set(fleet.told) == {REMOVAL}
        fleet.mirror.replace_all([], 6, epoch)
        await trio.sleep(1)
        assert len(fleet.asked) == _removal_sync.MAX_ASKED


async def test_nodes_are_asked_until_one_answers(autojump_clock, nursery):
    """Guards against a node that starts before it knows the others."""
    fleet = Fleet()
    fleet.alive = set()
    nursery.start_soon(fleet.run)
    fleet.mirror.replace_all([], 5, 1)
    await trio.sleep(2)
    fleet.alive, fleet.answering = {'vm1', 'vm2'}, {'vm2'}
    await trio.sleep(1)
    assert fleet.told == [REMOVAL]


async def test_asking_ends_if_no_node_answers(autojump_clock, nursery):
    """Guards against questions without end to nodes of an older release."""
    fleet = Fleet()
    fleet.answering = set()
    nursery.start_soon(fleet.run)
    fleet.mirror.replace_all([], 5, 1)
    await trio.sleep(_removal_sync.MAX_ASKING_SECONDS + 1)
    count = len(fleet.asked)
    await trio.sleep(60)
    assert len(fleet.asked) == count


def test_target_whose_removal_another_node_tells_gets_no_request():
    """The registration of a restored store was like any other."""
    target, other = builders.make_target('t1'), builders.make_target('t2')
    knowing, started = target_table.Harness(), target_table.Harness()
    knowing.set_targets(target, other)
    knowing.set_targets(other)
    for harness in (knowing, started):
        harness.restore(1, (target, 1), (other, 1))
    assert started.ready() == {'t1', 't2'}
    started.table.add_removals(knowing.table.removals())
    assert started.ready() == {'t2'}
    assert not started.table.takes_requests(target)


def test_target_that_returned_is_not_told_as_removed():
    """Guards against a removal that outlives the return of its target."""
    target = builders.make_target('t1')
    harness = target_table.Harness()
    harness.set_targets(target)
    harness.set_targets()
    assert harness.table.removals()
    harness.set_targets(target)
    assert not harness.table.removals()
