"""Loads on adapter slots by calls of several priorities and accounts.

Engines with five adapter slots, far more adapters, and calls that wait for a
slot, as on deployment K. Each load is run in the former order of the load
requests too, with the same arrivals.
"""

import collections
import dataclasses
import math
import random

import builders
import pytest
import test_engine_controller
import trio

from mustardlb_gateway import _admission
from mustardlb_gateway import _load_requests
from mustardlb_gateway import _messages

SECONDS = 60.0
ADAPTERS = 10_000
ASK_SECONDS = 0.8
PREFILL_SECONDS = 0.24

# Rate share, objective, timeout and seconds at the engine of the streams of
# deployment K, by priority.
ROUTES = {
    0: (93.5, 1.035, 5.176, 0.8),
    1: (22.4, 1.035, 10.353, 0.8),
    2: (80.9, 2.015, 15.114, 1.2),
}
ACCOUNTS = {f'acc{number}': 1.0 for number in range(13)} | {
    f'large{number}': 4.0 for number in range(3)
}


class FormerLoadRequests(_load_requests.LoadRequests):
    """The requests in their order before priorities and accounts."""

    def by_priority(self, loading, load_seconds, now):
        by_adapter = {}
        for request in self._requests:
            if request.adapter not in loading:
                by_adapter.setdefault(request.adapter, []).append(request)

        def rank(requests):
            loaded_at = now + load_seconds(requests[0].adapter)
            in_time = any(loaded_at < each.objective_at for each in requests)
            return not in_time, -len(requests)

        return [
            _load_requests.DueLoad(requests[0].adapter, 0, 0)
            for requests in sorted(by_adapter.values(), key=rank)
        ]


@dataclasses.dataclass
class Arrival:
    at: float
    priority: int
    account: str
    adapter: str
    tokens: int = 9190
    waited: float | None = None
    is_impatient: bool = False
    rejected_after: list = dataclasses.field(default_factory=list)
    retry_after: list = dataclasses.field(default_factory=list)

    @property
    def in_time(self):
        objective = ROUTES[self.priority][1] - PREFILL_SECONDS
        return self.waited is not None and self.waited <= objective


def make_arrivals(rate, seed, span=(0.0, SECONDS), accounts=ACCOUNTS):
    """Return calls at a rate, each account with adapters of its own."""
    rng = random.Random(seed)
    at, until = span
    arrivals = []
    while (at := at + rng.expovariate(rate)) < until:
        (priority,) = rng.choices(
            list(ROUTES), [route[0] for route in ROUTES.values()]
        )
        (account,) = rng.choices(list(accounts), list(accounts.values()))
        adapter = f'{account}-{int(ADAPTERS ** rng.random())}'
        tokens = 826 if priority == 2 else 9190
        arrivals.append(Arrival(at, priority, account, adapter, tokens))
    return arrivals


def add(arrivals, others):
    """Return the calls of both in the order of their arrival."""
    return sorted([*arrivals, *others], key=lambda each: each.at)


class Fleet:
    """Engines, each of which serves its part of the adapters.

    :ivar idle_share: part of the time in which calls waited at an engine that
        could evict an adapter and loaded none
    """

    def __init__(self, engines, requests_class):
        self.requests_class = requests_class
        self.harnesses = [
            test_engine_controller.Harness() for _ in range(engines)
        ]
        self.idle_samples = self.samples = 0
        self.free_when_rejected = 0
        self.return_times = _admission.ReturnTimes()

    @property
    def idle_share(self):
        return self.idle_samples / max(1, self.samples)

    async def run(self, arrivals):
        async with trio.open_nursery() as nursery:
            for harness in self.harnesses:
                harness.engine.slots = 5
                harness.users = collections.Counter()
                await harness.start(nursery)
                harness.controller._requests = self.requests_class()
            nursery.start_soon(self.sample)
            await trio.sleep(5)
            started_at = trio.current_time()
            async with trio.open_nursery() as calls:
                for arrival in arrivals:
                    await trio.sleep_until(started_at + arrival.at)
                    calls.start_soon(self.call, arrival)
            nursery.cancel_scope.cancel()

    async def call(self, arrival):
        harness = random.Random(arrival.adapter).choice(self.harnesses)
        _, objective, timeout, seconds = ROUTES[arrival.priority]
        adapter = builders.adapter(arrival.adapter)
        arrived = trio.current_time()
        deadline = arrived + timeout - PREFILL_SECONDS
        while (now := trio.current_time()) < deadline:
            if self.is_rejected(harness, arrival, adapter, deadline - now):
                arrival.rejected_after.append(now - arrived)
                allowed = 9 if arrival.is_impatient else 1
                if len(arrival.rejected_after) > allowed:
                    return
                retry_after = self.return_times.choose(
                    'llm', arrival.priority, deadline - now
                )
                arrival.retry_after.append(retry_after / (deadline - now))
                await trio.sleep(0 if arrival.is_impatient else retry_after)
                continue
            if await harness.controller.request_load(
                adapter,
                0,
                min(ASK_SECONDS, deadline - now),
                arrived + objective - PREFILL_SECONDS - now,
                arrival.priority,
                arrival.account,
                arrival.tokens,
            ):
                arrival.waited = trio.current_time() - arrived
                break
        else:
            return
        harness.users[adapter] += 1
        harness.in_use.add(adapter)
        await trio.sleep(seconds)
        harness.users[adapter] -= 1
        if not harness.users[adapter]:
            harness.in_use.discard(adapter)
        harness.controller.notify_usage_changed()

    def is_rejected(self, harness, arrival, adapter, time_left):
        """Return whether the engine loads an adapter too late for a call."""
        objective = ROUTES[arrival.priority][1]
        timeout = ROUTES[arrival.priority][2]
        reserved = harness.controller.reserve(
            _messages.Reserve(
                't1',
                adapter,
                0,
                arrival.tokens,
                math.inf,
                True,
                arrival.priority,
                arrival.account,
                time_left + objective - timeout,
            ),
            0,
        )
        if reserved.turn is None or reserved.turn <= time_left:
            return False
        self.free_when_rejected += harness.controller.free_slots() > 0
        return True

    async def sample(self):
        while True:
            await trio.sleep(0.05)
            for harness in self.harnesses:
                controller = harness.controller
                waiting = controller._requests.adapters()
                if not waiting - set(controller.resident):
                    continue
                self.samples += 1
                self.idle_samples += bool(
                    not controller._contents.loading
                    and controller._pending_unload is None
                    and controller._contents.evictable(waiting)
                )


async def play(arrivals, engines, requests_class=_load_requests.LoadRequests):
    """Return the arrivals with their waits, and the share of idle slots."""
    arrivals = [dataclasses.replace(each) for each in arrivals]
    fleet = Fleet(engines, requests_class)
    await fleet.run(arrivals)
    return arrivals, fleet.idle_share


def shares(arrivals, key, is_good):
    """Return the share of the arrivals for which a test holds, by key."""
    total, good = collections.Counter(), collections.Counter()
    for arrival in arrivals:
        total[key(arrival)] += 1
        good[key(arrival)] += is_good(arrival)
    return {each: good[each] / total[each] for each in sorted(total)}


def by_priority(arrival):
    return arrival.priority


def by_account(arrival):
    return arrival.account


def is_served(arrival):
    return arrival.waited is not None


def is_in_time(arrival):
    return arrival.in_time


async def test_urgent_calls_come_first_when_half_of_the_engines_are_lost(
    autojump_clock,
):
    """Guards against loads for less urgent calls before urgent ones.

    The former order served the calls with the longest objective best.
    """
    arrivals = make_arrivals(30.0, 1)
    former, _ = await play(arrivals, 5, FormerLoadRequests)
    former_shares = shares(former, by_priority, is_in_time)
    assert former_shares[2] > former_shares[0]
    present, idle_share = await play(arrivals, 5)
    for is_good in (is_in_time, is_served):
        by_rank = shares(present, by_priority, is_good)
        assert by_rank[0] >= by_rank[1] >= by_rank[2]
    assert idle_share < 0.02
    assert sum(map(is_in_time, present)) > sum(map(is_in_time, former))
    # No account of a usual rate and no prompt size is left out.
    served = shares(present, by_account, is_served)
    assert min(served.values()) > 0.5 * max(served.values())


class UnlimitedRequests(_load_requests.LoadRequests):
    """Requests of which none is ever too late."""

    def turn(self, priority, account, slack):
        return None


async def test_calls_that_would_miss_their_timeout_are_rejected(
    autojump_clock,
):
    """Guards against calls that wait in vain, and rejections of others.

    Half of the engines are lost. Rejected clients return once, and a third of
    them repeat at once, which must gain them nothing.
    """
    arrivals = make_arrivals(30.0, 1)
    for number, arrival in enumerate(arrivals):
        arrival.is_impatient = number % 3 == 0
    unlimited, _ = await play(arrivals, 5, UnlimitedRequests)
    fleet = Fleet(5, _load_requests.LoadRequests)
    played = [
        dataclasses.replace(each, rejected_after=[], retry_after=[])
        for each in arrivals
    ]
    await fleet.run(played)
    assert fleet.free_when_rejected == 0
    loss = 0.02 * len(arrivals)
    for is_good in (is_in_time, is_served):
        good = sum(map(is_good, played))
        assert good >= sum(map(is_good, unlimited)) - loss
        by_rank = shares(played, by_priority, is_good)
        assert by_rank[0] >= by_rank[1] >= by_rank[2]
    missed = [each for each in played if not is_served(each)]
    rejected = [each for each in missed if each.rejected_after]
    assert len(rejected) > 0.9 * len(missed) > 50
    for arrival in rejected:
        assert all(0 < each <= 1 / 3 for each in arrival.retry_after)
    served = shares(played, lambda each: each.is_impatient, is_served)
    assert served[True] <= served[False] + 0.02


async def play_hot_account(requests_class):
    """Return the others' calls while one account sends seven times as much.

    The second result are the same calls without the excess.
    """
    hot, rate = 'large1', 14.0
    usual = make_arrivals(rate, 1, (0.0, 2 * SECONDS))
    excess_rate = 6 * rate * ACCOUNTS[hot] / sum(ACCOUNTS.values())
    excess = make_arrivals(excess_rate, 2, (SECONDS, 2 * SECONDS), {hot: 1})
    results = []
    for arrivals in (add(usual, excess), usual):
        played, idle_share = await play(arrivals, 5, requests_class)
        assert idle_share < 0.02
        results.append(
            [
                each
                for each in played
                if each.account != hot and each.at > SECONDS
            ]
        )
    return results


async def test_accounts_are_served_while_another_sends_seven_times_its_usual(
    autojump_clock,
):
    """Guards against an account that floods a full fleet with its calls."""
    with_hot, usual = await play_hot_account(_load_requests.LoadRequests)
    former, _ = await play_hot_account(FormerLoadRequests)
    loss = 0.03 * len(usual)
    assert sum(map(is_served, with_hot)) >= sum(map(is_served, usual)) - loss
    assert sum(map(is_in_time, with_hot)) > sum(map(is_in_time, former))
    served = shares(with_hot, by_account, is_served)
    assert min(served.values()) > 0.9


async def test_accounts_are_in_time_while_another_sends_seven_times_its_usual(
    autojump_clock,
):
    """Guards against late calls because of an account that floods."""
    with_hot, usual = await play_hot_account(_load_requests.LoadRequests)
    loss = 0.03 * len(usual)
    assert sum(map(is_in_time, with_hot)) >= sum(map(is_in_time, usual)) - loss


async def test_rare_adapter_among_hot_ones_is_loaded(autojump_clock):
    """Guards against adapters that never have the most waiting calls.

    Eight adapters with several calls each compete for five slots with rare
    ones, which are idle for a moment now and then.
    """
    rng, rate = random.Random(1), 8
    hot = [
        Arrival(at / rate, rng.randrange(3), 'acme', f'hot{rng.randrange(8)}')
        for at in range(int(rate * SECONDS))
    ]
    rare = [
        Arrival(at + 0.5, 0, 'acme', f'rare{at}')
        for at in range(5, int(SECONDS) - 5)
    ]
    arrivals = add(hot, rare)
    former, _ = await play(arrivals, 1, FormerLoadRequests)
    present, idle_share = await play(arrivals, 1)
    assert idle_share < 0.02

    def is_rare(arrival):
        return arrival.adapter.startswith('rare')

    former_shares = shares(former, is_rare, is_in_time)
    assert former_shares[True] < 0.6 * former_shares[False]
    present_shares = shares(present, is_rare, is_in_time)
    assert present_shares[True] > 0.9 * present_shares[False]


def make_request(name, objective_at=10.0, **changes):
    return _load_requests.LoadRequest(
        builders.adapter(name), 0, 20.0, objective_at, **changes
    )


def order_of(requests, rounds=1):
    """Return the adapters in order, as of a given round of loads."""
    pending = _load_requests.LoadRequests()
    pending._requests = list(requests)
    for _ in range(rounds - 1):
        pending.record_start()
    due = pending.by_priority((), lambda adapter: 0.25, 1.0)
    return [each.adapter.adapter for each in due]


@pytest.mark.parametrize(
    'round_number', range(1, _load_requests.OLDEST_FIRST_INTERVAL + 1)
)
def test_order_is_as_before_without_priorities_and_accounts(round_number):
    """Guards against a changed order of deployments with one priority."""
    rng = random.Random(7)
    requests = [
        make_request(f'a{rng.randrange(20)}', rng.uniform(0.0, 10.0))
        for _ in range(60)
    ]
    former = FormerLoadRequests()
    former._requests = requests
    expected = [
        each.adapter.adapter
        for each in former.by_priority((), lambda adapter: 0.25, 1.0)
    ]
    assert order_of(requests, round_number) == expected


def test_late_urgent_call_comes_after_calls_that_can_be_in_time():
    """Guards against loads for calls that are late in any case."""
    assert order_of(
        [
            make_request('late', 0.0, priority=0),
            make_request('less', priority=2),
            make_request('urgent', priority=0),
        ]
    ) == ['urgent', 'less', 'late']


def test_account_served_least_comes_first():
    """Guards against turns by the number of calls that an account sends."""
    pending = _load_requests.LoadRequests()
    pending.record_served('large', 50_000, 1.0)
    pending._requests = [
        make_request('a1', account='large'),
        make_request('a1', account='large'),
        make_request('a2', account='small'),
    ]
    due = pending.by_priority((), lambda adapter: 0.25, 1.0)
    assert [each.adapter.adapter for each in due] == ['a2', 'a1']


async def test_adapter_of_urgent_calls_is_evicted_last(autojump_clock):
    """Guards against evictions of what urgent calls use, others being idle.

    The adapter of the urgent call is the least used.
    """
    harness = test_engine_controller.Harness()
    async with trio.open_nursery() as nursery:
        controller = await harness.start(nursery)
        for name, priority, count in (
            ('a1', 0, 1),
            ('a2', 2, 5),
            ('a3', 2, 9),
        ):
            for _ in range(count):
                assert await controller.request_load(
                    builders.adapter(name), 0, 5.0, priority=priority
                )
        await trio.sleep(1)
        for name, priority, victim in (('a4', 2, 'a2'), ('a5', 0, 'a1')):
            assert await controller.request_load(
                builders.adapter(name), 0, 5.0, priority=priority
            )
            assert builders.adapter(victim) not in harness.engine.resident
            await trio.sleep(1)
        nursery.cancel_scope.cancel()
