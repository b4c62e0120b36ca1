import random

import builders
import pytest
import simulated_store
import trio

from mustardlb_gateway import _engine_client
from mustardlb_gateway import _engine_contents
from mustardlb_gateway import _engine_controller
from mustardlb_gateway import _leases
from mustardlb_gateway import _messages
from mustardlb_gateway import domain

Outcome = _engine_client.CommandOutcome
LOAD_SECONDS = 0.25


class EngineStub:
    """An engine that counts accepted commands and can lose responses.

    :ivar accepted: count of accepted commands
    :ivar max_occupied: maximum number of adapters resident or loading
    :ivar lost_responses: for each of the next commands without a response,
        whether the command is executed
    :ivar run_seconds: how long an adapter to unload is still in use
    :ivar delayed: commands without a response that were not executed yet
    """

    def __init__(self, slots=3):
        self.slots = slots
        self.resident = {builders.adapter(''): 1}
        self.loading = {}
        self.accepted = 0
        self.highest_fencing_token = 0
        self.max_occupied = 0
        self.lost_responses = []
        self.delayed = []
        self.commands = []
        self.newest = {}
        self.run_seconds = 0.0
        self.busy_until = 0.0
        self.unloading = None
        self.busy_count = 0
        self.connect_seconds = 0.0

    def _advance(self):
        now = trio.current_time()
        for adapter, (loaded_at, version) in list(self.loading.items()):
            if now >= loaded_at:
                del self.loading[adapter]
                self.resident[adapter] = version

    async def send_command(self, target, command, is_permitted):
        await trio.sleep(self.connect_seconds)
        if not is_permitted():
            return Outcome.REFUSED
        await trio.sleep(0.003)
        if self.lost_responses:
            is_executed = self.lost_responses.pop(0)
            if is_executed:
                self._execute(command)
            else:
                self.delayed.append(command)
            await trio.sleep(_engine_client.RESPONSE_TIMEOUT_SECONDS)
            return Outcome.UNKNOWN
        return self._execute(command)

    def _execute(self, command):
        self._advance()
        self.commands.append(command)
        if command.fence < self.highest_fencing_token:
            return Outcome.FENCED
        self.highest_fencing_token = command.fence
        if command.adapter in self.loading:
            return Outcome.ACCEPTED
        if command.adapter == self.unloading:
            if trio.current_time() < self.busy_until:
                return Outcome.ACCEPTED
            self.unloading = None
            return Outcome.HOLDS
        if command.expected is not None and command.expected != self.accepted:
            return Outcome.BUSY
        if trio.current_time() < self.busy_until:
            self.busy_count += 1
            return Outcome.BUSY
        if command.kind == domain.CommandKind.UNLOAD:
            self.accepted += 1
            if self.run_seconds:
                self.unloading = command.adapter
                self.busy_until = trio.current_time() + self.run_seconds
                self.resident.pop(command.adapter, None)
                return Outcome.ACCEPTED
            self.resident.pop(command.adapter, None)
            return Outcome.HOLDS
        version = command.version or self.newest.get(command.adapter, 1)
        if self.resident.get(command.adapter) == version:
            return Outcome.HOLDS
        self.accepted += 1
        loaded_at = trio.current_time() + LOAD_SECONDS
        self.loading[command.adapter] = (loaded_at, version)
        held = {each for each in self.resident if each.adapter}
        self.max_occupied = max(
            self.max_occupied, len(held | set(self.loading))
        )
        return Outcome.ACCEPTED

    def execute_delayed(self):
        for command in self.delayed:
            self._execute(command)
        self.delayed.clear()

    async def report(self, target):
        await trio.sleep(0.003)
        self._advance()
        return domain.EngineReport(
            dict(self.resident),
            frozenset(self.loading),
            False,
            self.accepted,
            1,
            0,
            0,
        )


class Harness:
    def __init__(self):
        self.has_quorum = lambda: True
        self.engine = EngineStub()
        self.in_use = set()
        self.load_age = 0.1
        self.newest = {}
        self.version_elsewhere = {}
        self.store = simulated_store.SimulatedStore()
        self.leases = _leases.Leases(
            'vm1', 1, self.store, trio.current_time, lambda: 3.0, lambda: True
        )

    async def start(self, nursery):
        target = builders.make_target('t1')
        lease = await self.leases.claim('t1')
        self.controller = _engine_controller.EngineController(
            target,
            lease,
            self.leases,
            self.engine,
            'vm1',
            trio.current_time,
            lambda: builders.make_engine(adapter_slots=self.engine.slots),
            lambda adapter: self.newest.get(adapter, 0),
            lambda target_id, adapter: adapter in self.in_use,
            self.has_quorum,
            lambda: builders.MODEL,
            lambda target_id, adapter: False,
            lambda adapter, version: (
                self.version_elsewhere.get(adapter, 0) >= version
            ),
            lambda: self.load_age,
        )
        nursery.start_soon(self.controller.run)
        return self.controller


@pytest.fixture
async def harness(nursery):
    harness = Harness()
    await harness.start(nursery)
    return harness


def adapter(number):
    return builders.adapter(f'a{number}')


async def test_load_completion_is_detected_promptly(harness, autojump_clock):
    started_at = trio.current_time()
    assert await harness.controller.request_load(adapter(1), 0, 5.0)
    assert trio.current_time() - started_at < LOAD_SECONDS + 0.15


async def test_least_recently_used_adapter_is_evicted(harness, autojump_clock):
    for number in (1, 2, 3):
        assert await harness.controller.request_load(adapter(number), 0, 5.0)
    await trio.sleep(_engine_contents.MIN_RESIDENCY_SECONDS + 0.1)
    harness.controller.touch(adapter(1))
    await trio.sleep(_engine_contents.MIN_RESIDENCY_SECONDS + 0.1)
    assert await harness.controller.request_load(adapter(4), 0, 5.0)
    assert adapter(2) not in harness.engine.resident
    assert harness.engine.max_occupied <= harness.engine.slots


async def test_eviction_candidate_is_not_advertised(harness, autojump_clock):
    for number in (1, 2, 3):
        assert await harness.controller.request_load(adapter(number), 0, 5.0)
    await trio.sleep(_engine_contents.MIN_RESIDENCY_SECONDS + 1)
    candidates = set(harness.controller.resident) - set(
        harness.controller.advertised()
    )
    assert len(candidates) == _engine_contents.EVICTION_CANDIDATES
    assert harness.controller.free_slots() == 3
    assert await harness.controller.request_load(adapter(4), 0, 5.0)
    assert candidates - set(harness.engine.resident)
    kept = (candidates & set(harness.engine.resident)).pop()
    assert await harness.controller.request_load(kept, 0, 0.01)
    assert kept in harness.controller.advertised()


async def test_adapter_in_use_is_never_evicted(harness, autojump_clock):
    harness.in_use = {adapter(1), adapter(2), adapter(3)}
    for number in (1, 2, 3):
        assert await harness.controller.request_load(adapter(number), 0, 5.0)
    await trio.sleep(2)
    assert not await harness.controller.request_load(adapter(4), 0, 1.0)
    harness.in_use.discard(adapter(3))
    assert await harness.controller.request_load(adapter(4), 0, 2.0)
    assert adapter(3) not in harness.engine.resident


async def test_newer_version_replaces_the_resident_one(
    harness, autojump_clock
):
    assert await harness.controller.request_load(adapter(1), 0, 5.0)
    harness.newest[adapter(1)] = 4
    await trio.sleep(1)
    assert harness.engine.resident[adapter(1)] == 4
    assert await harness.controller.request_load(adapter(1), 4, 0.1)


async def test_old_version_is_not_replaced_while_in_use(
    harness, autojump_clock
):
    assert await harness.controller.request_load(adapter(1), 0, 5.0)
    harness.in_use.add(adapter(1))
    harness.newest[adapter(1)] = 4
    await trio.sleep(3)
    assert harness.engine.resident[adapter(1)] == 1
    harness.in_use.clear()
    await trio.sleep(1)
    assert harness.engine.resident[adapter(1)] == 4


async def test_old_version_is_unloaded_if_another_engine_has_the_newer(
    harness, autojump_clock
):
    assert await harness.controller.request_load(adapter(1), 0, 5.0)
    harness.newest[adapter(1)] = 4
    harness.version_elsewhere[adapter(1)] = 4
    sent = len(harness.engine.commands)
    await trio.sleep(1)
    assert adapter(1) not in harness.engine.resident
    assert len(harness.engine.commands) == sent + 1


async def test_fenced_controller_sends_no_more_commands(
    harness, autojump_clock
):
    assert await harness.controller.request_load(adapter(1), 0, 5.0)
    harness.engine.highest_fencing_token = 99
    assert not await harness.controller.request_load(adapter(2), 0, 2.0)
    assert harness.leases.by_target == {}
    sent = len(harness.engine.commands)
    await trio.sleep(5)
    assert len(harness.engine.commands) == sent


@pytest.mark.parametrize('is_executed', [True, False])
async def test_lost_responses_and_delayed_commands_never_overfill_an_engine(
    harness, is_executed, autojump_clock
):
    for number in (1, 2):
        assert await harness.controller.request_load(adapter(number), 0, 5.0)
    harness.engine.lost_responses = [is_executed]
    for number in range(3, 9):
        await harness.controller.request_load(adapter(number), 0, 6.0)
        harness.engine.execute_delayed()
        await trio.sleep(0.7)
    await trio.sleep(5)
    assert harness.engine.max_occupied <= harness.engine.slots
    assert await harness.controller.request_load(adapter(20), 0, 5.0)


async def test_every_command_states_the_expected_command_count(
    harness, autojump_clock
):
    harness.engine.lost_responses = [False, False]
    for number in range(1, 6):
        await harness.controller.request_load(adapter(number), 0, 3.0)
    assert all(
        command.expected is not None for command in harness.engine.commands
    )


@pytest.mark.parametrize('is_executed', [True, False])
async def test_command_without_response_is_repeated(
    harness, is_executed, autojump_clock
):
    assert await harness.controller.request_load(adapter(1), 0, 5.0)
    harness.engine.lost_responses = [is_executed, is_executed]
    started_at = trio.current_time()
    assert await harness.controller.request_load(adapter(2), 0, 5.0)
    assert trio.current_time() - started_at < LOAD_SECONDS + 0.4
    assert await harness.controller.request_load(adapter(3), 0, 0.4)


async def test_lost_model_is_loaded_again(harness, autojump_clock):
    assert await harness.controller.request_load(adapter(1), 0, 5.0)
    harness.engine.resident.clear()
    await trio.sleep(_engine_controller.REPORT_INTERVAL_SECONDS + 1)
    assert builders.adapter('') in harness.engine.resident


async def test_requests_that_can_meet_their_objective_are_served_first(
    harness, autojump_clock
):
    harness.in_use = {adapter(1), adapter(2), adapter(3)}
    for number in (1, 2, 3):
        assert await harness.controller.request_load(adapter(number), 0, 5.0)
    served = []

    async def request_load(number, slack):
        await harness.controller.request_load(adapter(number), 0, 5.0, slack)
        harness.in_use.add(adapter(number))
        served.append(number)

    async with trio.open_nursery() as nursery:
        for number, slack in ((4, -1.0), (5, 4.0), (6, 4.0), (6, 4.0)):
            nursery.start_soon(request_load, number, slack)
            await trio.sleep(0.01)
        for number in (1, 2, 3):
            await trio.sleep(0.6)
            harness.in_use.discard(adapter(number))
            harness.controller.notify_usage_changed()
    assert served == [6, 6, 5, 4]


def make_reserve(name='a1', max_queue=0.5, is_load=False):
    return _messages.Reserve(
        't1', builders.adapter(name), 1, 38_000, max_queue, is_load
    )


async def test_reservations_fill_the_queue(harness, autojump_clock):
    harness.load_age = 1.0
    harness.engine.resident[adapter(1)] = 1
    await trio.sleep(1)
    controller = harness.controller
    first = controller.reserve(make_reserve(), 0)
    assert (first.is_accepted, first.queue) == (True, 0.0)
    second = controller.reserve(make_reserve(), 0)
    assert (second.is_accepted, second.is_resident) == (False, True)
    assert second.queue == pytest.approx(1.0)
    await trio.sleep(0.6)
    assert controller.reserve(make_reserve(), 0).is_accepted


async def test_queue_follows_the_digests(harness, autojump_clock):
    harness.load_age = 0.5
    harness.engine.resident[adapter(1)] = 1
    await trio.sleep(1)
    controller = harness.controller
    # The digests show the state of half a second ago.
    queue = controller.reserve(make_reserve(), 9 * 38_000).queue
    assert queue == pytest.approx(8.5)
    # A prompt whose parts the engine had cached is soon prefilled.
    assert controller.reserve(make_reserve(), 0).is_accepted
    assert not controller.reserve(make_reserve(), 0).is_accepted
    await trio.sleep(0.5)
    assert controller.reserve(make_reserve(), 0).queue == 0.0


async def test_reservation_needs_the_adapter(harness, autojump_clock):
    await trio.sleep(1)
    reserved = harness.controller.reserve(make_reserve('a9'), 0)
    assert not reserved.is_accepted
    assert not reserved.is_resident
    load = make_reserve('a9', is_load=True)
    assert harness.controller.reserve(load, 0).is_accepted


async def test_adapter_is_kept_until_digests_show_its_requests(
    harness, autojump_clock
):
    harness.load_age = 1.0
    for number in (1, 2, 3):
        assert await harness.controller.request_load(adapter(number), 0, 5.0)
    requested_at = trio.current_time()
    for number in (1, 2, 3):
        reserve = make_reserve(f'a{number}', max_queue=9.0)
        assert harness.controller.reserve(reserve, 0).is_accepted
    assert await harness.controller.request_load(adapter(4), 0, 5.0)
    # The engine had to evict an adapter, whose request may still be running.
    assert trio.current_time() - requested_at > harness.load_age


async def test_load_follows_soon_after_a_deferred_unload(
    harness, autojump_clock
):
    for number in (1, 2, 3):
        assert await harness.controller.request_load(adapter(number), 0, 5.0)
    await trio.sleep(_engine_contents.MIN_RESIDENCY_SECONDS + 1)
    harness.engine.run_seconds = 1.0
    started_at = trio.current_time()
    with trio.move_on_after(5):
        while not harness.engine.unloading:
            await harness.controller.request_load(adapter(4), 0, 0.05)
    harness.engine.run_seconds = 0.0
    assert await harness.controller.request_load(adapter(4), 0, 5.0)
    seconds = trio.current_time() - started_at
    assert seconds < 1.0 + LOAD_SECONDS + 0.3
    assert adapter(4) in harness.engine.resident
    # No command was sent that the engine could not accept.
    assert harness.engine.busy_count == 0


async def test_many_waiting_adapters_do_not_slow_the_controller(
    harness, autojump_clock, nursery, monkeypatch
):
    for number in (1, 2, 3):
        assert await harness.controller.request_load(adapter(number), 0, 5.0)
    harness.in_use = {adapter(number) for number in (1, 2, 3)}
    searches = []
    evictable = _engine_contents.EngineContents.evictable

    def count_search(contents, requested):
        searches.append(trio.current_time())
        return evictable(contents, requested)

    monkeypatch.setattr(
        _engine_contents.EngineContents, 'evictable', count_search
    )
    for number in range(10, 310):
        nursery.start_soon(
            harness.controller.request_load, adapter(number), 0, 2.0
        )
    rounds = 20
    for _ in range(rounds):
        await trio.sleep(0.05)
        harness.controller.notify_usage_changed()
    # One search for a victim and one for candidates in each round.
    assert len(searches) <= 3 * rounds


async def test_many_requests_are_handled_in_batches(
    harness, autojump_clock, nursery, monkeypatch
):
    for number in (1, 2, 3):
        assert await harness.controller.request_load(adapter(number), 0, 5.0)
    harness.in_use = {adapter(number) for number in (1, 2, 3)}
    rounds = []
    reconcile = harness.controller._reconcile

    async def count_round():
        rounds.append(trio.current_time())
        await reconcile()

    monkeypatch.setattr(harness.controller, '_reconcile', count_round)
    started_at = trio.current_time()
    for number in range(1000):
        nursery.start_soon(
            harness.controller.request_load, adapter(10 + number), 0, 2.0
        )
        await trio.sleep(0.001)
    seconds = trio.current_time() - started_at
    assert len(rounds) <= seconds / _engine_controller.BATCH_SECONDS + 10


async def test_adapter_reported_during_its_unload_is_gone_afterwards(
    harness, autojump_clock
):
    for number in (1, 2, 3):
        assert await harness.controller.request_load(adapter(number), 0, 5.0)
    await trio.sleep(_engine_contents.MIN_RESIDENCY_SECONDS + 1)
    harness.engine.run_seconds = 1.0
    while not harness.engine.unloading:
        await harness.controller.request_load(adapter(4), 0, 0.05)
    unloading = harness.engine.unloading
    harness.controller.resident[unloading] = 1
    await trio.sleep(1.5)
    assert unloading not in harness.controller.resident


# A controller that was paused between the look at its lease and the command
# gave orders beside the node that had taken over meanwhile.
@pytest.mark.parametrize('seconds', [2.0, 10.0, 30.0])
async def test_paused_controller_sends_no_command(
    seconds, harness, autojump_clock
):
    assert await harness.controller.request_load(adapter(1), 0, 5.0)
    sent = len(harness.engine.commands)
    harness.engine.connect_seconds = seconds
    assert not await harness.controller.request_load(adapter(2), 0, 0.5)
    await trio.sleep(seconds)
    assert len(harness.engine.commands) == sent
    # It goes on once commands are sent in time again.
    harness.engine.connect_seconds = 0.0
    await trio.sleep(seconds + 1)
    assert await harness.controller.request_load(adapter(3), 0, 5.0)


# Around a handover two nodes believed that they controlled an engine. Each
# command is executed once, those of the two do not mix, and the former holder
# sends none after the handover time.
@pytest.mark.parametrize('seed', range(10))
@pytest.mark.parametrize('fences_checked', [True, False])
async def test_commands_of_two_controllers_do_not_mix(
    seed, fences_checked, autojump_clock, nursery
):
    rng = random.Random(seed)
    store = simulated_store.SimulatedStore()
    engine = EngineStub()
    executed = []
    execute = engine._execute

    def record(command):
        accepted = engine.accepted
        outcome = execute(command)
        executed.append(
            (trio.current_time(), command, engine.accepted - accepted)
        )
        return outcome

    engine._execute = record
    quorum = {'vm1': True, 'vm2': True}
    controllers = {}
    for vm in quorum:
        harness = Harness()
        harness.store, harness.engine = store, engine
        harness.leases = _leases.Leases(
            vm,
            1,
            store,
            trio.current_time,
            lambda: 3.0,
            lambda: fences_checked,
            lambda: 1e9 + trio.current_time(),
        )
        harness.has_quorum = lambda vm=vm: quorum[vm]
        if vm == 'vm2':
            await trio.sleep(rng.uniform(0.5, 3))
            # The former holder is paused or cut off, in the midst of commands
            # some of which get no response, or are executed late.
            engine.lost_responses = [rng.random() < 0.5 for _ in range(3)]
            quorum['vm1'] = False
            await trio.sleep(rng.uniform(0.0, 0.3))
            store.lose_responses = rng.random() < 0.5
            if store.lose_responses:
                assert await harness.leases.claim('t1') is None
                store.lose_responses = False
            claimed_at = trio.current_time()
        controllers[vm] = await harness.start(nursery)

        async def ask(controller):
            while True:
                await trio.sleep(rng.expovariate(10))
                await controller.request_load(
                    adapter(rng.randrange(8)), 0, 0.5
                )

        for _ in range(3):
            nursery.start_soon(ask, controllers[vm])
    await trio.sleep(1)
    engine.execute_delayed()
    await trio.sleep(8)
    fences = [command.fence for _, command, _ in executed]
    assert set(fences) >= {1, max(fences)}
    assert max(fences) > 1
    last_of_first = max(
        at for at, command, _ in executed if command.fence == 1
    )
    first_of_second = min(
        at for at, command, _ in executed if command.fence > 1
    )
    assert last_of_first < first_of_second
    assert last_of_first < claimed_at + 3.0
    assert all(count <= 1 for _, _, count in executed)
    assert engine.accepted == sum(count for _, _, count in executed)
    assert engine.max_occupied <= engine.slots
