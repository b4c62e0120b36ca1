"""The owners of slices are processes, so a restart begins a new epoch."""

import fleet as fleets
import trio

from mustardlb import errors

KIND = 'account'

# Time in which a restarted process is current and has renewed, seconds.
RENEWAL = 30.0


def owned(state):
    """Return the epochs of the slices that a node acts for, by number."""
    return {
        number: one.epoch
        for number, one in enumerate(state.owners().slices)
        if state.may_act(KIND, number)
    }


def test_restarted_process_acts_under_a_new_epoch_only():
    async def scenario(fleet):
        await trio.sleep(RENEWAL)
        before = owned(fleet.nodes_by_id['vm-3'].state)
        assert before
        state = fleet.start('vm-3').state
        renewed = {}
        for _ in range(int(RENEWAL * 10)):
            await trio.sleep(0.1)
            renewed = owned(state)
            for number, epoch in renewed.items():
                assert epoch > before.get(number, 0)
        assert renewed.keys() == before.keys()

    fleets.run(scenario)


def test_restart_in_an_outage_acts_for_nothing():
    async def scenario(fleet):
        await trio.sleep(RENEWAL)
        for vm_id in fleet.nodes_by_id:
            fleet.network.part([vm_id], ['api'])
        state = fleet.start('vm-3').state
        await trio.sleep(RENEWAL)
        assert state.staleness() < 4.0
        assert not owned(state)

    fleets.run(scenario)


def is_ready(node):
    try:
        node.state.check_ready()
    except errors.Error:
        return False
    return True


def test_ready_only_once_somebody_owns():
    async def scenario(fleet):
        for node in fleet.nodes_by_id.values():
            assert node.admits()
            assert not is_ready(node)
        await trio.sleep(RENEWAL)
        late = fleet.start('vm-late')
        assert all(
            is_ready(node)
            for node in fleet.nodes_by_id.values()
            if node is not late
        )
        assert not is_ready(late)
        await trio.sleep(RENEWAL)
        assert is_ready(late)

    fleets.run(scenario)
