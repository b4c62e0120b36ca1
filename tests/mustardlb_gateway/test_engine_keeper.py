import builders
import pytest
import simulated_store
import trio

from mustardlb_gateway import _engine_client
from mustardlb_gateway import _engine_contents
from mustardlb_gateway import _engine_keeper
from mustardlb_gateway import _leases
from mustardlb_gateway import domain

Outcome = _engine_client.OrderOutcome
LOAD_TIME = 0.25


class EngineStub:
    """An engine that counts orders as real ones do, and can lose answers.

    :ivar most: adapters held or in transit at any time
    :ivar lose: the next orders get no answer; True where carried out
    """

    def __init__(self, slots=3):
        self.slots = slots
        self.resident = {builders.adapter(''): 1}
        self.coming = {}
        self.accepted = 0
        self.highest_fence = 0
        self.most = 0
        self.lose = []
        self.late = []
        self.orders = []
        self.newest = {}

    def _advance(self):
        now = trio.current_time()
        for adapter, (due, version) in list(self.coming.items()):
            if now >= due:
                del self.coming[adapter]
                self.resident[adapter] = version

    async def order(self, target, order):
        await trio.sleep(0.003)
        if self.lose:
            is_done = self.lose.pop(0)
            if is_done:
                self._take(order)
            else:
                self.late.append(order)
            await trio.sleep(_engine_client.ANSWER_TIMEOUT)
            return Outcome.UNKNOWN
        return self._take(order)

    def _take(self, order):
        self._advance()
        self.orders.append(order)
        if order.fence < self.highest_fence:
            return Outcome.FENCED
        self.highest_fence = order.fence
        if order.adapter in self.coming:
            return Outcome.ACCEPTED
        if order.expected is not None and order.expected != self.accepted:
            return Outcome.BUSY
        if order.kind == domain.OrderKind.UNLOAD:
            self.accepted += 1
            self.resident.pop(order.adapter, None)
            return Outcome.HOLDS
        version = order.version or self.newest.get(order.adapter, 1)
        if self.resident.get(order.adapter) == version:
            return Outcome.HOLDS
        self.accepted += 1
        due = trio.current_time() + LOAD_TIME
        self.coming[order.adapter] = (due, version)
        held = {each for each in self.resident if each.adapter}
        self.most = max(self.most, len(held | set(self.coming)))
        return Outcome.ACCEPTED

    def carry_out_late(self):
        for order in self.late:
            self._take(order)
        self.late.clear()

    async def report(self, target):
        await trio.sleep(0.003)
        self._advance()
        return domain.EngineReport(
            dict(self.resident),
            frozenset(self.coming),
            False,
            self.accepted,
            1,
            0,
            0,
        )


class World:
    def __init__(self):
        self.engine = EngineStub()
        self.in_use = set()
        self.newest = {}
        self.elsewhere = {}
        self.store = simulated_store.SimulatedStore()
        self.leases = _leases.Leases(
            'vm1', 1, self.store, trio.current_time, lambda: 3.0, lambda: True
        )

    async def start(self, nursery):
        target = builders.make_target('t1')
        lease = await self.leases.claim('t1')
        self.keeper = _engine_keeper.EngineKeeper(
            target,
            lease,
            self.leases,
            self.engine,
            'vm1',
            trio.current_time,
            lambda: builders.make_engine(adapter_slots=self.engine.slots),
            lambda adapter: self.newest.get(adapter, 0),
            lambda target_id, adapter: adapter in self.in_use,
            lambda: True,
            lambda: builders.MODEL,
            lambda target_id, adapter: False,
            lambda adapter, version: self.elsewhere.get(adapter, 0) >= version,
        )
        nursery.start_soon(self.keeper.run)
        return self.keeper


@pytest.fixture
async def world(nursery):
    world = World()
    await world.start(nursery)
    return world


def adapter(number):
    return builders.adapter(f'a{number}')


async def test_wanted_adapter_is_there_soon_after_it_has_arrived(
    world, autojump_clock
):
    began = trio.current_time()
    assert await world.keeper.want(adapter(1), 0, 5.0)
    assert trio.current_time() - began < LOAD_TIME + 0.15


async def test_adapter_not_used_for_longest_makes_room(world, autojump_clock):
    for number in (1, 2, 3):
        assert await world.keeper.want(adapter(number), 0, 5.0)
    await trio.sleep(_engine_contents.LEAST_STAY + 0.1)
    world.keeper.touch(adapter(1))
    await trio.sleep(_engine_contents.LEAST_STAY + 0.1)
    assert await world.keeper.want(adapter(4), 0, 5.0)
    assert adapter(2) not in world.engine.resident
    assert world.engine.most <= world.engine.slots


async def test_adapter_that_is_to_go_is_told_to_nobody_before(
    world, autojump_clock
):
    for number in (1, 2, 3):
        assert await world.keeper.want(adapter(number), 0, 5.0)
    await trio.sleep(_engine_contents.LEAST_STAY + 1)
    hidden = set(world.keeper.resident) - set(world.keeper.published())
    assert len(hidden) == _engine_contents.RETIRED_AHEAD
    assert world.keeper.room() == 3
    assert await world.keeper.want(adapter(4), 0, 5.0)
    assert hidden - set(world.engine.resident)
    kept = (hidden & set(world.engine.resident)).pop()
    assert await world.keeper.want(kept, 0, 0.01)
    assert kept in world.keeper.published()


async def test_adapter_in_use_is_never_evicted(world, autojump_clock):
    world.in_use = {adapter(1), adapter(2), adapter(3)}
    for number in (1, 2, 3):
        assert await world.keeper.want(adapter(number), 0, 5.0)
    await trio.sleep(2)
    assert not await world.keeper.want(adapter(4), 0, 1.0)
    world.in_use.discard(adapter(3))
    assert await world.keeper.want(adapter(4), 0, 2.0)
    assert adapter(3) not in world.engine.resident


async def test_newer_version_replaces_the_one_that_is_held(
    world, autojump_clock
):
    assert await world.keeper.want(adapter(1), 0, 5.0)
    world.newest[adapter(1)] = 4
    await trio.sleep(1)
    assert world.engine.resident[adapter(1)] == 4
    assert await world.keeper.want(adapter(1), 4, 0.1)


async def test_old_version_in_use_is_not_replaced_under_its_requests(
    world, autojump_clock
):
    assert await world.keeper.want(adapter(1), 0, 5.0)
    world.in_use.add(adapter(1))
    world.newest[adapter(1)] = 4
    await trio.sleep(3)
    assert world.engine.resident[adapter(1)] == 1
    world.in_use.clear()
    await trio.sleep(1)
    assert world.engine.resident[adapter(1)] == 4


async def test_old_version_goes_where_another_engine_has_the_newer(
    world, autojump_clock
):
    assert await world.keeper.want(adapter(1), 0, 5.0)
    world.newest[adapter(1)] = 4
    world.elsewhere[adapter(1)] = 4
    loads = len(world.engine.orders)
    await trio.sleep(1)
    assert adapter(1) not in world.engine.resident
    assert len(world.engine.orders) == loads + 1


async def test_keeper_that_was_overtaken_gives_no_more_orders(
    world, autojump_clock
):
    assert await world.keeper.want(adapter(1), 0, 5.0)
    world.engine.highest_fence = 99
    assert not await world.keeper.want(adapter(2), 0, 2.0)
    assert world.leases.by_target == {}
    before = len(world.engine.orders)
    await trio.sleep(5)
    assert len(world.engine.orders) == before


@pytest.mark.parametrize('is_done', [True, False])
async def test_lost_answers_and_late_orders_never_overfill_an_engine(
    world, is_done, autojump_clock
):
    for number in (1, 2):
        assert await world.keeper.want(adapter(number), 0, 5.0)
    world.engine.lose = [is_done]
    for number in range(3, 9):
        await world.keeper.want(adapter(number), 0, 6.0)
        world.engine.carry_out_late()
        await trio.sleep(0.7)
    await trio.sleep(5)
    assert world.engine.most <= world.engine.slots
    assert await world.keeper.want(adapter(20), 0, 5.0)


async def test_orders_always_say_how_many_went_before(world, autojump_clock):
    world.engine.lose = [False, False]
    for number in range(1, 6):
        await world.keeper.want(adapter(number), 0, 3.0)
    assert all(order.expected is not None for order in world.engine.orders)


@pytest.mark.parametrize('is_done', [True, False])
async def test_lost_answer_is_settled_by_repeating_the_order(
    world, is_done, autojump_clock
):
    assert await world.keeper.want(adapter(1), 0, 5.0)
    world.engine.lose = [is_done, is_done]
    began = trio.current_time()
    assert await world.keeper.want(adapter(2), 0, 5.0)
    assert trio.current_time() - began < LOAD_TIME + 0.4
    assert await world.keeper.want(adapter(3), 0, 0.4)


async def test_engine_that_lost_its_model_gets_it_again(world, autojump_clock):
    assert await world.keeper.want(adapter(1), 0, 5.0)
    world.engine.resident.clear()
    await trio.sleep(_engine_keeper.QUIET_REPORT_PAUSE + 1)
    assert builders.adapter('') in world.engine.resident


async def test_calls_that_can_be_in_time_go_first(world, autojump_clock):
    world.in_use = {adapter(1), adapter(2), adapter(3)}
    for number in (1, 2, 3):
        assert await world.keeper.want(adapter(number), 0, 5.0)
    served = []

    async def want(number, slack):
        await world.keeper.want(adapter(number), 0, 5.0, slack)
        world.in_use.add(adapter(number))
        served.append(number)

    async with trio.open_nursery() as nursery:
        for number, slack in ((4, -1.0), (5, 4.0), (6, 4.0), (6, 4.0)):
            nursery.start_soon(want, number, slack)
            await trio.sleep(0.01)
        for number in (1, 2, 3):
            await trio.sleep(0.6)
            world.in_use.discard(adapter(number))
            world.keeper.usage_changed()
    assert served == [6, 6, 5, 4]
