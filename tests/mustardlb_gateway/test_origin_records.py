"""Streams that go on after all nodes that knew where they began have ended.

A review found that none did beside two versions of the targets' software.
"""

import itertools

import pytest
import test_fleet_restarts
import test_stream_origins
import trio

from mustardlb_gateway import _messages
from mustardlb_gateway import _origin_records
from mustardlb_gateway import _software_records
from mustardlb_gateway import ports

KIND = _origin_records.KIND
ORIGIN = _messages.Origin('llm', 'v1')

# Streams of the last interval are not saved.
SAVED_AFTER_SECONDS = 2 * _origin_records.SAVE_INTERVAL_SECONDS

# By the rule, half as many go on as new ones begin; here all of these begin.
MIN_SHARE = 0.5


def make_fleet(nursery, count=7, seed=0):
    fleet = test_stream_origins.Fleet(nursery, count, seed=seed)
    saved = test_fleet_restarts.SAVED
    fleet.store.put(_software_records.KIND, 'current', saved)
    return fleet


async def begin_mixed(nursery, softwares=('v1', 'v2'), count=7, seed=0):
    """Return a fleet with streams at several versions, and those."""
    fleet = make_fleet(nursery, count, seed)
    await trio.sleep(5)
    for number in range(len(softwares)):
        fleet.set_softwares(*softwares[: number + 1])
        await trio.sleep(4)
    began = {}
    for number in range(40):
        vm = fleet.rng.choice(list(fleet.nodes))
        began[f'r{number}'] = fleet.begin(vm, f'r{number}')
        await trio.sleep(0.05)
    assert set(began.values()) == set(softwares)
    return fleet, began


async def share_found(fleet, began):
    found = await test_fleet_restarts.find_all(fleet, began)
    return sum(each is not None for each in found) / len(found)


# None of them went on.
@pytest.mark.parametrize('count', [1, 2, 7, 40])
@pytest.mark.parametrize('down', [0.0, 1.0, 20.0])
async def test_streams_go_on_after_all_nodes_were_killed(
    autojump_clock, nursery, count, down
):
    fleet, began = await begin_mixed(nursery, count=count)
    await trio.sleep(0.5)
    names = test_fleet_restarts.kill_all(fleet)
    await trio.sleep(down)
    test_fleet_restarts.start_all(fleet, names, 2)
    await trio.sleep(1)
    assert await share_found(fleet, began) >= MIN_SHARE


async def test_all_streams_older_than_an_interval_go_on(
    autojump_clock, nursery
):
    fleet, began = await begin_mixed(nursery, ('v1', 'v2', 'v3'))
    await trio.sleep(SAVED_AFTER_SECONDS)
    names = test_fleet_restarts.kill_all(fleet)
    test_fleet_restarts.start_all(fleet, names, 2)
    assert await share_found(fleet, began) == 1.0


# Processes that had just started replaced the records of those before them.
async def test_streams_go_on_after_two_series_of_kills(
    autojump_clock, nursery
):
    fleet, began = await begin_mixed(nursery)
    await trio.sleep(SAVED_AFTER_SECONDS)
    for incarnation in (2, 3, 4):
        names = test_fleet_restarts.kill_all(fleet)
        await trio.sleep(0.5)
        test_fleet_restarts.start_all(fleet, names, incarnation)
        await trio.sleep(1.5)
    assert await share_found(fleet, began) == 1.0


# The node of a stream and both that it had told ended, others went on.
async def test_streams_go_on_after_most_nodes_were_killed_for_good(
    autojump_clock, nursery
):
    fleet, began = await begin_mixed(nursery)
    await trio.sleep(SAVED_AFTER_SECONDS)
    for vm in list(fleet.nodes)[:5]:
        fleet.stop(vm)
        await trio.sleep(0.1)
    await trio.sleep(1)
    assert await share_found(fleet, began) == 1.0


# The version of a stream may come to serve beside further ones meanwhile.
async def test_release_between_kill_and_start(autojump_clock, nursery):
    fleet, began = await begin_mixed(nursery)
    await trio.sleep(SAVED_AFTER_SECONDS)
    names = test_fleet_restarts.kill_all(fleet)
    fleet.softwares = ['v2', 'v3']
    test_fleet_restarts.start_all(fleet, names, 2)
    assert await share_found(fleet, began) == 1.0


# Where the store has lost records, what is not certain must not go on.
@pytest.mark.parametrize(
    'fault', ['is_down', 'is_unresponsive', 'lose_responses', 'delay_writes']
)
@pytest.mark.parametrize('when', ['before', 'after'])
async def test_faults_of_the_store_beside_kills(
    autojump_clock, nursery, fault, when
):
    fleet = make_fleet(nursery)
    await trio.sleep(5)
    fleet.set_softwares('v1', 'v2')
    await trio.sleep(4)
    if when == 'before':
        setattr(fleet.store, fault, True)
    began = test_fleet_restarts.begin_all(fleet, 'r')
    await trio.sleep(SAVED_AFTER_SECONDS)
    names = test_fleet_restarts.kill_all(fleet)
    if when == 'after':
        setattr(fleet.store, fault, True)
    test_fleet_restarts.start_all(fleet, names, 2)
    await trio.sleep(2)
    await share_found(fleet, began)
    setattr(fleet.store, fault, False)
    await trio.sleep(4)
    share = await share_found(fleet, began)
    if when == 'after':
        assert share == 1.0


# A copy from before the streams began names none of them.
async def test_restored_store_makes_no_stream_certain(autojump_clock, nursery):
    fleet, earlier = await begin_mixed(nursery)
    await trio.sleep(SAVED_AFTER_SECONDS)
    copy = {
        kind: dict(objects)
        for kind, objects in fleet.store.objects_by_kind.items()
    }
    began = test_fleet_restarts.begin_all(fleet, 's')
    await trio.sleep(SAVED_AFTER_SECONDS)
    names = test_fleet_restarts.kill_all(fleet)
    fleet.store.objects_by_kind = copy
    test_fleet_restarts.start_all(fleet, names, 2)
    assert await share_found(fleet, earlier) == 1.0
    assert await share_found(fleet, began) == 0.0


# What the store has lost was not written again before another stream began.
async def test_lost_records_are_written_again(autojump_clock, nursery):
    fleet, began = await begin_mixed(nursery)
    await trio.sleep(SAVED_AFTER_SECONDS)
    fleet.store.objects_by_kind[KIND].clear()
    await trio.sleep(_origin_records.REPEAT_INTERVAL_SECONDS + 2)
    names = test_fleet_restarts.kill_all(fleet)
    test_fleet_restarts.start_all(fleet, names, 2)
    assert await share_found(fleet, began) == 1.0


ODD_RECORDS = [
    None,
    [],
    'x',
    {},
    {'at': 'x', 'begun': {}},
    {'at': 1e9, 'begun': []},
    {'at': 1e9, 'begun': {'llm': 'x'}},
    {'at': 1e9, 'begun': {'llm': {'v1': 'abc'}}},
    {'at': 1e9, 'begun': {'llm': {'v1': 'x' * 16}}},
    {'at': 1e9, 'begun': {'llm': {'v1': 7}}},
    {'at': float('nan'), 'begun': {}},
]


# One unreadable record must not hide those of the other nodes.
@pytest.mark.parametrize('odd', ODD_RECORDS, ids=repr)
async def test_odd_record_hides_no_others(autojump_clock, nursery, odd):
    fleet, began = await begin_mixed(nursery)
    await trio.sleep(SAVED_AFTER_SECONDS)
    fleet.store.put(KIND, '0-odd', odd)
    names = test_fleet_restarts.kill_all(fleet)
    test_fleet_restarts.start_all(fleet, names, 2)
    assert await share_found(fleet, began) == 1.0


# Records of nodes that are gone stay in the store.
async def test_old_record_is_ignored(autojump_clock, nursery):
    kept = []
    fleet = make_fleet(nursery)
    fleet.store.put(
        KIND,
        'gone',
        {'at': 1e9 - 100, 'begun': {'llm': {'v1': '0' * 15 + '1'}}},
    )
    fleet.store.put(
        KIND, 'here', {'at': 1e9, 'begun': {'llm': {'v1': '0' * 15 + '2'}}}
    )
    records = _origin_records.OriginRecords(
        fleet.store,
        'a0',
        dict,
        lambda stream, origin, is_own: kept.append((stream, origin)),
        list,
        trio.current_time,
        lambda: 1e9,
    )
    await records.load()
    assert kept == [(2, ORIGIN)]


# Ordinary times must cost no calls, and a record must not grow without end.
async def test_one_version_costs_no_writes(autojump_clock, nursery):
    fleet = make_fleet(nursery)
    await trio.sleep(70)
    for number in range(50):
        fleet.begin('a0', f'r{number}')
        await trio.sleep(0.1)
    assert KIND not in fleet.store.objects_by_kind


async def test_whole_streams_leave_the_record(autojump_clock, nursery):
    fleet, began = await begin_mixed(nursery)
    await trio.sleep(SAVED_AFTER_SECONDS)
    for vm, request_id in itertools.product(fleet.nodes, began):
        fleet.nodes[vm].origins.record_end(request_id)
    await trio.sleep(SAVED_AFTER_SECONDS)
    for stored in fleet.store.objects_by_kind[KIND].values():
        assert stored.spec['begun'] == {}


async def test_record_fits_into_an_object():
    streams = list(range(2 * _origin_records.MAX_SAVED_STREAMS))
    encoded = _origin_records._encode_streams({ORIGIN: streams})
    at, decoded = _origin_records._decode({'at': 1.0, 'begun': encoded})
    assert decoded == {ORIGIN: streams[-_origin_records.MAX_SAVED_STREAMS :]}
    assert len(encoded['llm']['v1']) <= 100_000


# The store accepts 400 writes a second of all nodes.
@pytest.mark.parametrize('count', [7, 80, 380])
async def test_writes_of_all_nodes_are_bounded(autojump_clock, count):
    writes = 0

    class Store:
        async def list_objects(self, kind):
            await trio.lowlevel.checkpoint()
            return ports.Listing((), 1)

        async def create(self, kind, name, spec):
            nonlocal writes
            writes += 1
            await trio.lowlevel.checkpoint()
            return ports.StoredObject(name, writes, spec)

        async def replace(self, kind, name, spec, revision):
            return await self.create(kind, name, spec)

    def unfinished():
        return {ORIGIN: [int(trio.current_time() * 1e6)]}

    async with trio.open_nursery() as nursery:
        for number in range(count):
            records = _origin_records.OriginRecords(
                Store(),
                f'vm{number}',
                unfinished,
                lambda *_: None,
                lambda: range(count - 1),
                trio.current_time,
            )
            nursery.start_soon(records.run)
        await trio.sleep(20)
        nursery.cancel_scope.cancel()
    assert writes <= 20 * 400 / 8


# Whatever happens in whatever order, no stream goes on at another version.
@pytest.mark.parametrize('seed', range(12))
async def test_no_stream_is_joined_whatever_happens(
    autojump_clock, nursery, seed
):
    fleet = make_fleet(nursery, seed=seed)
    rng, store = fleet.rng, fleet.store
    faults = ['is_down', 'is_unresponsive', 'lose_responses', 'delay_writes']
    began, at, incarnation, newest, copy = {}, {}, 1, 1, {}
    for step in range(40):
        for fault in faults:
            setattr(store, fault, rng.random() < 0.1)
        if rng.random() < 0.3:
            newest += 1
        fleet.set_softwares(
            *(f'v{each}' for each in range(max(1, newest - 2), newest + 1))
        )
        await trio.sleep(rng.uniform(0.1, 6))
        for number in range(6):
            vm = rng.choice(list(fleet.nodes))
            request_id = f'r{step}-{number}'
            began[request_id] = fleet.begin(vm, request_id)
            at[request_id] = trio.current_time()
            await trio.sleep(rng.choice([0.0, 0.3]))
        if rng.random() < 0.2:
            copy = {
                kind: dict(it) for kind, it in store.objects_by_kind.items()
            }
        names = list(fleet.nodes)
        killed = rng.sample(names, rng.choice([0, 3, len(names)]))
        for vm in killed:
            fleet.stop(vm)
            await trio.sleep(rng.choice([0.0, 0.0, 0.2]))
        if copy and rng.random() < 0.2:
            store.objects_by_kind = {k: dict(it) for k, it in copy.items()}
        await trio.sleep(rng.choice([0.0, 1.0]))
        incarnation += 1
        test_fleet_restarts.start_all(fleet, killed, incarnation)
        await trio.sleep(rng.uniform(0.0, 2))
        since = trio.current_time() - test_fleet_restarts.LIFETIME + 1
        recent = [each for each in list(began)[-18:] if at[each] > since]
        await test_fleet_restarts.find_all(
            fleet, {each: began[each] for each in recent}
        )
