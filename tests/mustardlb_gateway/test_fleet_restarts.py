"""Streams that clients resume after all nodes were killed at once.

Two versions of the targets' software serve, or the targets of one have just
left. A stream goes on at its own version or is rejected, and is not rejected
where its version is certain.
"""

import itertools

import pytest
import test_stream_origins
import trio

from mustardlb_gateway import _software_history
from mustardlb_gateway import _software_records

LIFETIME = _software_history.STREAM_LIFETIME_SECONDS
SAVED = {'llm': {'v1': None}}


def make_fleet(nursery, saved=SAVED, seed=0):
    fleet = test_stream_origins.Fleet(nursery, 7, seed=seed)
    if saved is not None:
        fleet.store.put(_software_records.KIND, 'current', saved)
    return fleet


def begin_all(fleet, prefix, count=20):
    """Begin streams at all nodes and return their versions by request id."""
    names = list(fleet.nodes)
    return {
        f'{prefix}{number}': fleet.begin(
            names[number % len(names)], f'{prefix}{number}'
        )
        for number in range(count)
    }


def kill_all(fleet):
    names = list(fleet.nodes)
    for vm in names:
        fleet.stop(vm)
    return names


def start_all(fleet, names, incarnation, observe_after=0.0):
    for vm in names:
        fleet.start(vm, incarnation, observe_after)


async def find_all(fleet, began):
    """Return what nodes find, after checking that it is never wrong."""
    found = {}
    for request_id, software in began.items():
        vm = fleet.rng.choice(list(fleet.nodes))
        found[request_id] = await fleet.find(vm, request_id)
        assert found[request_id] in (None, software)
    return list(found.values())


# Without a record, the versions that are registered after the restart were
# taken for all that there had been.
async def test_nodes_that_never_saved_a_record(autojump_clock, nursery):
    fleet = make_fleet(nursery, saved=None)
    fleet.store.delay_writes = True
    await trio.sleep(5)
    began = begin_all(fleet, 'r')
    names = kill_all(fleet)
    fleet.softwares = ['v2']
    fleet.store.delay_writes = False
    start_all(fleet, names, 2)
    await trio.sleep(2)
    assert set(await find_all(fleet, began)) == {None}
    await trio.sleep(LIFETIME)
    assert await fleet.find(names[0], 'later') == 'v2'


# Only the nodes know at which version a stream began, so that all streams are
# lost with them although targets of both versions are there.
async def test_streams_go_on_after_all_nodes_ended_beside_two_versions(
    autojump_clock, nursery
):
    fleet = make_fleet(nursery)
    await trio.sleep(5)
    fleet.set_softwares('v1', 'v2')
    await trio.sleep(10)
    began = begin_all(fleet, 'r')
    start_all(fleet, kill_all(fleet), 2)
    await trio.sleep(2)
    assert any(await find_all(fleet, began))


# Streams of the first minute of a deployment are known although no record of
# earlier processes says that there were no others.
async def test_first_streams_of_a_deployment_outlive_their_node(
    autojump_clock, nursery
):
    fleet = make_fleet(nursery, saved=None)
    await trio.sleep(2)
    began = {f'r{number}': fleet.begin('a0', f'r{number}') for number in 'ab'}
    await trio.sleep(0.2)
    fleet.stop('a0')
    assert await find_all(fleet, began) == ['v1', 'v1']


# The record was saved by nodes that did not know of the newer version, whose
# targets had not registered again when the nodes started.
@pytest.mark.parametrize('fault', ['delay_writes', 'is_down'])
@pytest.mark.parametrize('seconds', [0.5, 4.0, 20.0])
async def test_record_without_the_newer_version(
    autojump_clock, nursery, fault, seconds
):
    fleet = make_fleet(nursery)
    await trio.sleep(5)
    setattr(fleet.store, fault, True)
    fleet.set_softwares('v1', 'v2')
    await trio.sleep(seconds)
    began = begin_all(fleet, 'r')
    names = kill_all(fleet)
    fleet.softwares = ['v1']
    setattr(fleet.store, fault, False)
    start_all(fleet, names, 2)
    await trio.sleep(2)
    # All began at the version that the record has, so none is rejected.
    assert set(await find_all(fleet, began)) == {'v1'}


# A store that takes no writes for long must not keep a new version idle.
async def test_newer_version_serves_in_an_outage_of_the_store(
    autojump_clock, nursery
):
    fleet = make_fleet(nursery)
    await trio.sleep(5)
    fleet.store.is_down = True
    fleet.set_softwares('v1', 'v2')
    await trio.sleep(_software_history.UNRECORDED_ADOPTION_SECONDS + 1)
    assert set(begin_all(fleet, 'r').values()) == {'v1', 'v2'}


async def test_newer_version_serves_soon_once_it_is_saved(
    autojump_clock, nursery
):
    fleet = make_fleet(nursery)
    await trio.sleep(5)
    fleet.set_softwares('v1', 'v2')
    await trio.sleep(_software_history.ADOPTION_SECONDS + 0.1)
    for vm in fleet.nodes:
        node = fleet.nodes[vm]
        assert all(map(node.history.is_adopted, fleet.targets()))


# What a writer had to save before an outage of the store is out of date when
# the store is back, and replaced what another one had saved meanwhile.
async def test_late_write_does_not_remove_a_version(autojump_clock, nursery):
    fleet = make_fleet(nursery)
    await trio.sleep(5)
    node = fleet.nodes['a0']
    old = node.history.merged(SAVED)
    fleet.set_softwares('v1', 'v2')
    await trio.sleep(2)
    other = test_stream_origins.Node(fleet, 'x9', 1)
    other.history.observe(fleet.targets()[:1])
    saved = fleet.store.objects_by_kind[_software_records.KIND]['current']
    assert set(old['llm']) == {'v1'}
    assert set(other.history.merged(saved.spec)['llm']) == {'v1', 'v2'}


# A version that left longer ago than streams live was held against all streams
# of the other one after a restart; one that left just now must be.
@pytest.mark.parametrize(
    ('since_left', 'expected'), [(20, None), (LIFETIME + 20, 'v2')]
)
async def test_version_that_left_before_the_restart(
    autojump_clock, nursery, since_left, expected
):
    fleet = make_fleet(nursery)
    await trio.sleep(5)
    fleet.set_softwares('v1', 'v2')
    await trio.sleep(10)
    fleet.set_softwares('v2')
    await trio.sleep(10)
    began = {}
    for number, vm in enumerate(list(fleet.nodes)):
        began[f'r{number}'] = fleet.begin(vm, f'r{number}')
    names = kill_all(fleet)
    await trio.sleep(since_left - 10)
    start_all(fleet, names, 2)
    await trio.sleep(1)
    assert set(await find_all(fleet, began)) == {expected}


# Each order of reading the record and seeing the registrations, with a store
# that is down, slow or loses answers when the nodes start.
@pytest.mark.parametrize(
    ('fault', 'observe_after', 'left'),
    itertools.product(
        ['', 'is_down', 'is_unresponsive', 'lose_responses', 'delay_writes'],
        [0.0, 1.0],
        [False, True],
    ),
)
async def test_orders_of_the_steps_of_a_restart(
    autojump_clock, nursery, fault, observe_after, left
):
    fleet = make_fleet(nursery)
    await trio.sleep(5)
    fleet.set_softwares('v1', 'v2')
    await trio.sleep(5)
    began = begin_all(fleet, 'r')
    assert set(began.values()) == {'v1', 'v2'}
    if left:
        fleet.set_softwares('v2')
        await trio.sleep(0.1)
    names = kill_all(fleet)
    if fault:
        setattr(fleet.store, fault, True)
    start_all(fleet, names, 2, observe_after)
    for _ in range(6):
        await trio.sleep(0.7)
        await find_all(fleet, began)
    if fault:
        setattr(fleet.store, fault, False)
    await trio.sleep(3)
    await find_all(fleet, began)
    # Streams that began since are found, also after another node has started
    # later than the others.
    began = begin_all(fleet, 's')
    await trio.sleep(0.5)
    fleet.restart(names[0])
    await trio.sleep(0.5)
    found = await find_all(fleet, began)
    assert sum(each is not None for each in found) >= 0.9 * len(found)


async def test_client_that_does_not_name_the_stream(autojump_clock, nursery):
    fleet = make_fleet(nursery)
    await trio.sleep(5)
    begin_all(fleet, 'r')
    assert await fleet.find('b1', None) == 'v1'
    fleet.set_softwares('v1', 'v2')
    await trio.sleep(5)
    begin_all(fleet, 's')
    assert await fleet.find('b1', None) is None


# Whatever happens in whatever order, no stream goes on at another version.
@pytest.mark.parametrize('seed', range(20))
async def test_no_stream_is_joined_after_restarts(
    autojump_clock, nursery, seed
):
    fleet = make_fleet(nursery, [None, SAVED][seed % 2], seed)
    rng, store = fleet.rng, fleet.store
    faults = ['is_down', 'is_unresponsive', 'lose_responses', 'delay_writes']
    began, at, newest, incarnation = {}, {}, 1, 1
    softwares = ['v1']
    for step in range(60):
        for fault in faults:
            setattr(store, fault, rng.random() < 0.15)
        if rng.random() < 0.3:
            newest += 1
            softwares = [*softwares[-1:], f'v{newest}']
        elif rng.random() < 0.3:
            softwares = softwares[-1:]
        fleet.set_softwares(*softwares)
        await trio.sleep(rng.uniform(0.1, 8))
        began |= begin_all(fleet, f'r{step}-', 4)
        at |= dict.fromkeys(began.keys() - at.keys(), trio.current_time())
        await trio.sleep(rng.choice([0.0, 0.5]))
        if rng.random() < 0.4:
            incarnation += 1
            names = kill_all(fleet)
            # Some registrations have lapsed and come back later.
            fleet.softwares = [rng.choice(softwares)]
            await trio.sleep(rng.choice([0.0, 2.0, 70.0]))
            start_all(fleet, names, incarnation, rng.choice([0.0, 0.5]))
        await trio.sleep(rng.uniform(0.1, 2))
        # No client resumes a stream that began longer ago.
        since = trio.current_time() - LIFETIME + 1
        recent = [each for each in list(began)[-12:] if at[each] > since]
        await find_all(fleet, {each: began[each] for each in recent})


# Nodes that had not seen the targets yet took the version of an old record for
# the only one, though streams had begun at others since it was saved.
async def test_record_is_not_certain_before_the_targets_are_known(
    autojump_clock, nursery
):
    fleet = make_fleet(nursery)
    await trio.sleep(5)
    fleet.store.is_down = True
    fleet.set_softwares('v2', 'v3')
    await trio.sleep(LIFETIME + 10)
    began = begin_all(fleet, 'r')
    names = kill_all(fleet)
    fleet.store.is_down = False
    start_all(fleet, names, 2, 0.5)
    await trio.sleep(0.1)
    assert set(await find_all(fleet, began)) == {None}
    await trio.sleep(1)
    assert set(await find_all(fleet, began)) == {None}
