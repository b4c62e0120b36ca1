import random

import builders
import pytest

from mustardlb_gateway import _quota

RATE, BURST = 1000.0, 2000.0
START = 0.6 * 400.0
TOLERANCE = _quota.Tolerance(0.0, 400.0, 8.0)


def make_quota():
    return _quota.Quota(lambda: TOLERANCE)


def make_account():
    return builders.make_account(counts_tokens=True, rate=RATE, burst=BURST)


class Fleet:
    """Nodes that exchange counts every quarter second, unless cut."""

    def __init__(self, nodes):
        self.quotas = [make_quota() for _ in range(nodes)]
        self.cut = set()

    def exchange(self, now):
        for sender, quota in enumerate(self.quotas):
            for receiver, other in enumerate(self.quotas):
                if sender == receiver or {sender, receiver} & self.cut:
                    continue
                other.charge_remote(
                    f'vm{sender}', 1, dict(quota.admitted_costs()), now
                )
        self.charge_assumed_shares(now)

    def charge_assumed_shares(self, now):
        for quota in self.quotas:
            quota.charge_assumed_shares(now)


def most_in_window(admitted, window):
    return max(
        sum(cost for at, cost in admitted if start <= at < start + window)
        for start, _ in admitted
    )


def play(fleet, seconds, demand, rng, on_second=None):
    """Return (time, cost) of all that was admitted under `demand`."""
    account = make_account()
    admitted = []
    step = 0.05
    for tick in range(int(seconds / step)):
        now = tick * step
        if tick % 5 == 0:
            fleet.exchange(now)
        if on_second and tick % 20 == 0:
            on_second(int(now))
        asked = demand * step
        while asked > 0:
            cost = rng.choice([20, 100, 300])
            asked -= cost
            quota = rng.choice(fleet.quotas)
            if quota.charge(account, cost, now) == 0:
                admitted.append((now, cost))
    return admitted


@pytest.mark.parametrize('seed', range(6))
def test_flood_stays_within_rate_and_burst_over_all_nodes(seed):
    admitted = play(Fleet(7), 30, 8 * RATE, random.Random(seed))
    window = 8
    # A quarter second of the flood passes before the others know of it.
    allowed = (RATE * window + BURST) * 1.1 + 0.3 * 8 * RATE
    assert most_in_window(admitted, window) <= allowed


@pytest.mark.parametrize('seed', range(6))
def test_both_sides_of_a_partition_stay_within_the_rate(seed):
    fleet = Fleet(7)

    def cut(second):
        fleet.cut = {0, 1} if 5 <= second < 15 else set()

    admitted = play(fleet, 25, 8 * RATE, random.Random(seed), cut)
    window = 8
    allowed = (RATE * window + BURST) * 1.1 + 1.3 * 8 * RATE
    assert most_in_window(admitted, window) <= allowed


def test_what_lies_within_the_limit_is_not_refused():
    fleet = Fleet(7)
    rng = random.Random(1)
    admitted = play(fleet, 20, 0.7 * RATE, rng)
    assert sum(cost for _, cost in admitted) >= 0.69 * RATE * 20


@pytest.mark.parametrize('ticks', [24, 32])
def test_counts_that_come_late_cost_nothing_within_the_limit(ticks):
    fleet = Fleet(80)
    rng = random.Random(1)
    account = make_account()
    for quota in fleet.quotas:
        quota.add_accounts([account], 0.0)
    refused = 0
    for tick in range(600):
        now = tick / 20
        if tick % ticks == 0:
            fleet.exchange(now)
        elif tick % 5 == 0:
            fleet.charge_assumed_shares(now)
        cost = 0.85 * RATE / 20
        lack = fleet.quotas[rng.randrange(80)].charge(account, cost, now)
        # A start leaves little in the bucket.
        refused += lack > 0 and now > 8
    assert not refused


def test_share_of_a_silent_node_gives_way_to_its_counts():
    quota = make_quota()
    account = make_account()
    quota.charge(account, 0, 0.0)
    quota.charge_remote('vm1', 1, {'acme': 0.0}, 0.0)
    quota.charge_assumed_shares(1.0)
    quota.charge_assumed_shares(1.2)
    half = RATE / 2 * 0.2
    assert quota.level(account, 1.2) == pytest.approx(
        START + 1.2 * RATE - half
    )
    quota.charge_remote('vm1', 1, {'acme': 30.0}, 1.2)
    assert quota.level(account, 1.2) == pytest.approx(START + 1.2 * RATE - 30)


def test_nodes_that_a_source_does_not_hear_get_their_share():
    quota = make_quota()
    account = make_account()
    quota.charge(account, 0, 0.0)
    for tick in range(1, 11):
        now = tick / 10
        quota.charge_remote('centre', 1, {'acme': 0.0}, now, nodes=2, silent=1)
        quota.charge_assumed_shares(now)
    # One of four nodes was silent for the last 0.9 s.
    silent = RATE / 4 * 0.9
    assert quota.level(account, 1.0) == pytest.approx(START + RATE - silent)


def test_start_takes_the_level_that_others_tell():
    quota = make_quota()
    account = make_account()
    quota.adopt_levels({'acme': -50.0})
    assert quota.level(account, 0.0) == -50.0
    quota.adopt_levels({'acme': 1000.0})
    assert quota.level(account, 0.0) == -50.0
    assert _quota.Quota(lambda: TOLERANCE).levels(0.0) == {}
    assert quota.levels(0.0) == {'acme': -50.0}


def test_refusal_says_when_it_would_fit():
    quota = make_quota()
    account = make_account()
    assert quota.charge(account, START, 0.0) == 0
    assert quota.is_near_limit(account)
    assert quota.charge(account, 500, 0.0) == pytest.approx(0.5)
    assert quota.charge(account, 500, 0.5) == 0


def test_start_leaves_the_tolerance_for_what_was_spent_before():
    quota = make_quota()
    account = make_account()
    assert quota.charge(account, START + 1, 0.0) > 0
    wide = _quota.Quota(lambda: _quota.Tolerance(1.0, 0.0, 8.0))
    assert wide.charge(account, BURST, 0.0) == 0
    assert wide.charge(account, 1, 0.0) > 0


def test_counts_between_digests_are_charged_once():
    quota = make_quota()
    account = make_account()
    quota.charge(account, 0, 0.0)
    quota.charge_remote('vm1', 1, {'acme': 100.0}, 0.0)
    quota.charge_remote('vm1', 1, {'acme': 150.0}, 0.0)
    quota.charge_remote('vm1', 1, {'acme': 150.0, 'other': 5.0}, 0.0)
    assert quota.level(account, 0.0) == START - 50


def test_call_that_no_target_ran_is_not_counted():
    quota = make_quota()
    account = make_account()
    quota.charge(account, 200, 0.0)
    quota.refund(account, 200)
    assert quota.level(account, 0.0) == START
    assert quota.admitted_costs() == {'acme': 0}


def test_lower_limit_holds_at_once():
    quota = make_quota()
    quota.charge(make_account(), 1, 0.0)
    lower = builders.make_account(counts_tokens=True, rate=10.0, burst=20.0)
    assert quota.charge(lower, 30, 0.0) == 0
    assert quota.charge(lower, 30, 0.0) > 0


def test_restarted_node_is_not_charged_twice():
    quota = make_quota()
    account = make_account()
    quota.charge(account, 0, 0.0)
    quota.charge_remote('vm1', 1, {'acme': 500.0}, 0.0)
    quota.charge_remote('vm1', 1, {'acme': 600.0}, 0.1)
    quota.charge_remote('vm1', 2, {'acme': 50.0}, 0.1)
    assert quota.level(account, 0.0) == START - 100


def test_account_without_limit_is_never_refused():
    quota = make_quota()
    free = builders.make_account()
    assert all(quota.charge(free, 1e9, 0.0) == 0 for _ in range(10))


def test_flood_at_many_nodes_stays_within_what_operators_tolerate():
    rate, burst, window = 180_000.0, 320_000.0, 8
    tolerance = _quota.Tolerance(0.1, 110_000.0, window)
    account = builders.make_account(counts_tokens=True, rate=rate, burst=burst)
    fleet = Fleet(80)
    fleet.quotas = [_quota.Quota(lambda: tolerance) for _ in range(80)]
    for quota in fleet.quotas:
        quota.add_accounts([account], 0.0)
    rng = random.Random(1)
    admitted = []
    for tick in range(500):
        now = tick / 20
        # What a node admits reaches the others over two hubs.
        if tick % 12 == 0:
            fleet.exchange(now)
        elif tick % 5 == 0:
            fleet.charge_assumed_shares(now)
        # A quiet time fills the burst before the flood.
        asked = (0.2 if now < 10 else 5.0) * rate / 20
        while rng.random() * 10_000 < asked:
            asked -= 10_000
            if rng.choice(fleet.quotas).charge(account, 10_000, now) == 0:
                admitted.append((now, 10_000))
    allowed = (rate * window + burst) * 1.1 + 110_000
    assert most_in_window(admitted, window) <= allowed
