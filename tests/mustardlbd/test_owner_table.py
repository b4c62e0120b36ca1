"""Epochs of slice owners: a restarted process needs a new epoch."""

import fleet as fleets
import trio

from mustardlb import errors

KIND = 'account'

# Time after which a restarted process is current and has renewed its epochs.
RENEWAL_SECONDS = 30.0


def owned_epochs(state):
    """Return the epochs of the slices that a node acts for, by slice."""
    return {
        number: one.epoch
        for number, one in enumerate(state.owners().slices)
        if state.may_act(KIND, number)
    }


def test_restarted_process_acts_only_in_a_new_epoch():
    async def scenario(fleet):
        await trio.sleep(RENEWAL_SECONDS)
        before = owned_epochs(fleet.nodes_by_id['vm-3'].state)
        assert before
        state = fleet.start('vm-3').state
        renewed = {}
        for _ in range(int(RENEWAL_SECONDS * 10)):
            await trio.sleep(0.1)
            renewed = owned_epochs(state)
            for number, epoch in renewed.items():
                assert epoch > before.get(number, 0)
        assert renewed.keys() == before.keys()

    fleets.run(scenario)


def test_process_restarted_in_an_outage_owns_nothing():
    async def scenario(fleet):
        await trio.sleep(RENEWAL_SECONDS)
        for vm_id in fleet.nodes_by_id:
            fleet.network.partition([vm_id], ['api'])
        state = fleet.start('vm-3').state
        await trio.sleep(RENEWAL_SECONDS)
        assert state.staleness() < 4.0
        assert not owned_epochs(state)

    fleets.run(scenario)


def is_ready(node):
    try:
        node.state.check_ready()
    except errors.Error:
        return False
    return True


def test_node_is_ready_only_after_owners_act():
    async def scenario(fleet):
        for node in fleet.nodes_by_id.values():
            assert node.admits()
            assert not is_ready(node)
        await trio.sleep(RENEWAL_SECONDS)
        late = fleet.start('vm-late')
        assert all(
            is_ready(node)
            for node in fleet.nodes_by_id.values()
            if node is not late
        )
        assert not is_ready(late)
        await trio.sleep(RENEWAL_SECONDS)
        assert is_ready(late)

    fleets.run(scenario)
