"""Calls that wait at the nodes for the slots of a service, in virtual time."""

import collections
import random

import builders
import pytest
import trio
import trio.testing

from mustardlb_gateway import _admission
from mustardlb_gateway import _jobs

SERVICE = builders.make_service(engine=False)
VIEW_SECONDS = 0.25
FORMER_POLL_SECONDS = 0.04


def make_job(priority=5, account=None, timeout=5.0, name='r1'):
    now = trio.current_time()
    return _jobs.Job(
        builders.make_call(request_id=name),
        builders.make_route(),
        SERVICE,
        account and builders.make_account(account),
        priority,
        now,
        now + timeout,
        None,
    )


class Slots:
    """Slots that the calls of several nodes share.

    :ivar choices: how often calls have looked for a free slot
    :ivar idle_seconds: slot seconds that were idle while calls waited
    """

    def __init__(self, count, nodes):
        self.free = count
        self.waiting = [_admission.WaitingCalls() for _ in range(nodes)]
        self.pending = 0
        self.choices = 0
        self.idle_seconds = 0.0
        self.served = []
        self._changed_at = 0.0

    def _account_idle(self):
        now = trio.current_time()
        idle = min(self.free, self.pending) * (now - self._changed_at)
        self.idle_seconds += idle
        self._changed_at = now

    def try_take(self):
        self.choices += 1
        self._account_idle()
        if not self.free:
            return False
        self.free -= 1
        self.pending -= 1
        return True

    async def call(self, node, job, seconds, is_former=False):
        waiting = self.waiting[node]
        self._account_idle()
        self.pending += 1
        with waiting.place(job) as place:
            while not self.try_take():
                if trio.current_time() >= job.deadline:
                    self.pending -= 1
                    return
                if is_former:
                    await trio.sleep(FORMER_POLL_SECONDS)
                else:
                    await place.wait(job.deadline)
            place.take()
        self.served.append(job)
        await trio.sleep(seconds)
        self._account_idle()
        self.free += 1
        waiting.notify_ended(SERVICE.name)

    async def tell_view(self):
        """Tell the nodes of changes elsewhere, as their hubs do."""
        while True:
            await trio.sleep(VIEW_SECONDS)
            for waiting in self.waiting:
                waiting.notify_changed()


async def run_overload(nodes, is_former):
    """Play a service of 60 slots that gets 1.6 times its load."""
    rng = random.Random(1)
    slots = Slots(60, nodes)
    jobs, rate, seconds = [], 1.6 * 60 / 0.4, 20.0
    async with trio.open_nursery() as nursery:
        nursery.start_soon(slots.tell_view)
        async with trio.open_nursery() as calls:
            for _ in range(int(rate * seconds)):
                await trio.sleep(rng.expovariate(rate))
                job = make_job(rng.randrange(3), timeout=1.6)
                jobs.append(job)
                node = rng.randrange(nodes)
                calls.start_soon(slots.call, node, job, 0.4, is_former)
        nursery.cancel_scope.cancel()
    total = collections.Counter(job.priority for job in jobs)
    served = collections.Counter(job.priority for job in slots.served)
    shares = [served[priority] / total[priority] for priority in range(3)]
    return slots, shares


@pytest.mark.parametrize('nodes', [1, 20, 200])
async def test_urgent_calls_are_served_first_and_slots_are_used(
    nodes, autojump_clock
):
    """Guards against turns by chance, idle slots and costly wake-ups."""
    former, former_shares = await run_overload(nodes, is_former=True)
    slots, shares = await run_overload(nodes, is_former=False)
    assert max(former_shares) - min(former_shares) < 0.1
    assert shares == sorted(shares, reverse=True)
    # With 200 nodes, about one call waits at each, and each node orders only
    # its own.
    assert shares[0] > former_shares[0] + (0.1 if nodes <= 20 else 0.0)
    assert len(slots.served) >= len(former.served) - 0.02 * len(former.served)
    assert slots.choices < former.choices / 2
    assert slots.idle_seconds < 0.01 * 60 * 20


async def test_many_waiting_calls_choose_seldom(autojump_clock, nursery):
    """Guards against a wake-up of all waiting calls of a small node.

    300 calls wait at one node and never find room, while the fleet's view
    changes four times a second. Each poll of the former kind takes place 25
    times a second for each call, 7,500 times for all.
    """
    slots = Slots(0, 1)
    nursery.start_soon(slots.tell_view)
    for number in range(300):
        nursery.start_soon(slots.call, 0, make_job(number % 3), 0.4)
    await trio.sleep(0.1)
    before = slots.choices
    await trio.sleep(4)
    assert slots.choices - before < 4 * 150
    nursery.cancel_scope.cancel()


async def order_of(jobs, waiting=None):
    """Return the names of the calls in the order in which they are woken."""
    waiting = waiting or _admission.WaitingCalls()
    woken = []

    async def wait(job):
        with waiting.place(job) as place:
            assert await place.wait(job.deadline)
            place.take()
        woken.append(job.call.request_id)

    async with trio.open_nursery() as nursery:
        for job in jobs:
            nursery.start_soon(wait, job)
        await trio.testing.wait_all_tasks_blocked()
        for _ in jobs:
            waiting.notify_ended(SERVICE.name)
            await trio.testing.wait_all_tasks_blocked()
    return woken


async def test_order_is_by_priority_account_and_deadline(autojump_clock):
    """Guards against turns by arrival."""
    waiting = _admission.WaitingCalls()
    waiting.record_sent(make_job(account='large'), 50_000)
    jobs = [
        make_job(1, 'small', 5.0, 'p1'),
        make_job(0, 'large', 1.0, 'large'),
        make_job(0, 'small', 5.0, 'late'),
        make_job(0, 'small', 3.0, 'soon'),
    ]
    order = await order_of(jobs, waiting)
    assert order == ['soon', 'late', 'large', 'p1']


async def test_call_that_finds_no_target_passes_its_turn_on(autojump_clock):
    """Guards against a call for one adapter that blocks all others."""
    waiting = _admission.WaitingCalls()
    choices = []

    async def wait(job, is_lucky):
        with waiting.place(job) as place:
            while await place.wait(trio.current_time() + 9):
                choices.append(job.call.request_id)
                if is_lucky:
                    place.take()
                    return

    async with trio.open_nursery() as nursery:
        nursery.start_soon(wait, make_job(0, name='stuck'), False)
        nursery.start_soon(wait, make_job(1, name='lucky'), True)
        await trio.testing.wait_all_tasks_blocked()
        waiting.notify_ended(SERVICE.name)
        await trio.testing.wait_all_tasks_blocked()
        assert choices == ['stuck', 'lucky']
        nursery.cancel_scope.cancel()


async def test_turn_of_a_client_that_disconnects_is_passed_on(autojump_clock):
    """Guards against room that is lost with the call that was woken."""
    waiting = _admission.WaitingCalls()
    woken = []

    async def wait():
        with waiting.place(make_job(1)) as place:
            await place.wait(trio.current_time() + 9)
            woken.append(trio.current_time())

    async with trio.open_nursery() as nursery:
        nursery.start_soon(wait)
        await trio.testing.wait_all_tasks_blocked()
        with waiting.place(make_job(0)) as place:
            async with trio.open_nursery() as inner:
                inner.start_soon(place.wait, trio.current_time() + 9)
                await trio.testing.wait_all_tasks_blocked()
                waiting.notify_ended(SERVICE.name)
                inner.cancel_scope.cancel()
        await trio.testing.wait_all_tasks_blocked()
        assert len(woken) == 1


async def test_last_call_is_displaced_when_too_many_wait(
    autojump_clock, monkeypatch
):
    """Guards against a queue without a bound, and against its wrong end."""
    monkeypatch.setattr(_admission, 'MAX_WAITING_CALLS', 2)
    waiting = _admission.WaitingCalls()
    results = {}

    async def wait(job):
        with waiting.place(job) as place:
            until = trio.current_time() + 1
            results[job.call.request_id] = await place.wait(until)

    async with trio.open_nursery() as nursery:
        for name, priority in (('a', 1), ('b', 2), ('c', 0), ('d', 3)):
            nursery.start_soon(wait, make_job(priority, name=name))
            await trio.testing.wait_all_tasks_blocked()
        assert results == {'b': False, 'd': False}
    assert results == {'a': True, 'b': False, 'c': True, 'd': False}


def test_rejected_clients_return_in_the_order_of_their_priority():
    """Guards against clients that return all at once or too late.

    The urgent calls have three times the timeout of the others.
    """
    random.seed(1)
    now = 0.0
    returns = _admission.ReturnTimes(lambda: now)
    chosen = collections.defaultdict(list)
    for _ in range(1000):
        for priority, left in ((2, 5.0), (1, 6.0), (0, 15.0)):
            seconds = returns.choose('llm', priority, left)
            assert 0 < seconds <= left / 3
            chosen[priority].append(seconds)
    means = [sum(chosen[each]) / 1000 for each in range(3)]
    assert means == sorted(means)
    for seconds in chosen.values():
        # Spread over a third of the time at least, and not in a few steps.
        assert max(seconds) - min(seconds) > 0.3 * 5 / 3
        assert len({round(each, 2) for each in seconds}) > 40


def test_returns_of_one_priority_use_all_of_the_time():
    """Guards against a changed spread where all calls have one priority."""
    random.seed(1)
    returns = _admission.ReturnTimes(lambda: 0.0)
    chosen = [returns.choose('llm', 5, 6.0) for _ in range(1000)]
    assert 0.3 <= min(chosen) < 0.35
    assert 1.95 < max(chosen) <= 2.0


def test_client_without_time_left_may_return_at_once():
    """Guards against a Retry-After beyond the client's own timeout."""
    assert _admission.ReturnTimes(lambda: 0.0).choose('llm', 5, 0.0) == 0.0


async def test_waiting_calls_are_counted(autojump_clock):
    """Guards against a queue that operators cannot see."""
    waiting = _admission.WaitingCalls()
    async with trio.open_nursery() as nursery:
        for priority in (0, 2, 2):
            place = waiting.place(make_job(priority))
            nursery.start_soon(place.wait, trio.current_time() + 1)
        await trio.testing.wait_all_tasks_blocked()
        assert waiting.counts() == {('llm', 0): 1, ('llm', 2): 2}
    assert waiting.counts() == {}
