import random

import pytest

from mustardlb_gateway import _retry_budget

LIMIT = _retry_budget.RetryLimit(ratio=0.2, slack=54, window=10)
NODES = 7


def make_budgets():
    return [
        _retry_budget.RetryBudget(lambda: LIMIT, lambda: NODES)
        for _ in range(NODES)
    ]


@pytest.mark.parametrize('seed', range(5))
def test_retries_of_all_nodes_stay_within_ratio_and_slack(seed):
    rng = random.Random(seed)
    budgets = make_budgets()
    requests, retries = [], []
    for tick in range(4000):
        now = tick * 0.01
        if rng.random() < 0.3:
            requests.append(now)
            rng.choice(budgets).add_request()
        for budget in budgets:
            while budget.try_acquire(now):
                retries.append(now)
    for start in range(30):
        retries_in_window = [
            sent_at
            for sent_at in retries
            if start <= sent_at < start + LIMIT.window
        ]
        requests_in_window = [
            sent_at
            for sent_at in requests
            if start <= sent_at < start + LIMIT.window
        ]
        assert (
            len(retries_in_window)
            <= LIMIT.ratio * len(requests_in_window) + LIMIT.slack
        )


def test_node_without_requests_may_use_the_slack():
    budget = make_budgets()[0]
    assert budget.try_acquire(0.0)
