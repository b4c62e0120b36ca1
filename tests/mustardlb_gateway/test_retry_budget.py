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
def test_all_nodes_together_stay_within_ratio_and_slack(seed):
    rng = random.Random(seed)
    budgets = make_budgets()
    requests, repeats = [], []
    for tick in range(4000):
        now = tick * 0.01
        if rng.random() < 0.3:
            requests.append(now)
            rng.choice(budgets).add_request()
        for budget in budgets:
            while budget.try_acquire(now):
                repeats.append(now)
    for start in range(30):
        window = [at for at in repeats if start <= at < start + LIMIT.window]
        asked = [at for at in requests if start <= at < start + LIMIT.window]
        assert len(window) <= LIMIT.ratio * len(asked) + LIMIT.slack


def test_quiet_node_may_repeat_a_little():
    budget = make_budgets()[0]
    assert budget.try_acquire(0.0)
