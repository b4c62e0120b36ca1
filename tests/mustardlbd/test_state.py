"""Shared state of a small fleet in virtual time."""

import fleet as fleets
import pytest
import trio


@pytest.fixture
async def fleet(nursery, autojump_clock):
    made = fleets.Fleet(nursery)
    for number in range(7):
        made.start(f'vm-{number}')
    await trio.sleep(5)
    yield made
    nursery.cancel_scope.cancel()


async def test_change_comes_into_force_everywhere(fleet):
    revision = await fleets.Operator(fleet.api).apply(
        'a', {'contract/midland': b'one'}
    )
    start = trio.current_time()
    for node in fleet.nodes_by_id.values():
        found = await node.state.wait_revision(revision, 5)
        assert found.in_force and found.accepted, node.vm_id
        assert node.admits()
    assert trio.current_time() - start < 2
