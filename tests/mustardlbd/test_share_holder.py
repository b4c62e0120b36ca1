"""What callers of a holder see: waiting, refusals, settling, fairness."""

import pytest
import trio

from mustardlb import errors
from mustardlbd import _bucket
from mustardlbd import _share
from mustardlbd import _share_messages
from tests.mustardlbd import limits_scenario
from tools import limits_fleet


def run(script, size=3):
    return limits_scenario.run_script(script, size=size)


async def fill(scenario):
    """Make the account known at every node and let its burst build up."""
    for node in scenario.fleet.live():
        await scenario.fleet.grant(node, 1, 1, 0.0, 0.0)
    await trio.sleep(8)


async def reserve(scenario, tokens, wait, index=0):
    node = scenario.node(index)
    return await node.holder.reserve(limits_fleet.ACCOUNT, tokens, wait)


def test_cost_above_burst_is_refused_at_once():
    async def script(scenario):
        start = trio.current_time()
        with pytest.raises(errors.Error) as caught:
            await reserve(scenario, 4001, 9.0)
        assert trio.current_time() == start
        return caught.value

    error = run(script)
    assert (error.code, error.not_run) == (errors.Code.COST_ABOVE_BURST, True)


def test_whole_burst_is_gathered_at_one_node():
    async def script(scenario):
        await fill(scenario)
        start = trio.current_time()
        await reserve(scenario, 3900, 2.0, index=1)
        return trio.current_time() - start

    assert run(script) < 1.5


def test_waiting_ends_with_a_refusal_that_took_nothing():
    async def script(scenario):
        await fill(scenario)
        await reserve(scenario, 3900, 2.0)
        start = trio.current_time()
        with pytest.raises(errors.Error) as caught:
            await reserve(scenario, 3000, 0.5)
        assert trio.current_time() - start == pytest.approx(0.5, abs=0.01)
        await reserve(scenario, 3000, 4.0)
        return caught.value

    error = run(script)
    assert (error.code, error.not_run) == (errors.Code.RATE_LIMITED, True)
    assert error.retry_after > 1.0


def test_settling_gives_unused_tokens_to_the_next_call():
    async def script(scenario):
        await fill(scenario)
        reservation = await reserve(scenario, 3800, 2.0)
        reservation.settle(100)
        assert reservation.charged < 200
        await reserve(scenario, 3500, 0.3)

    run(script)


def test_stale_node_spends_nothing():
    async def script(scenario):
        await fill(scenario)
        scenario.node(0).connected = False
        await trio.sleep(5)
        with pytest.raises(errors.Error) as caught:
            await reserve(scenario, 1, 1.0)
        return caught.value

    assert run(script).code == errors.Code.NODE_NOT_CURRENT


def test_holders_go_on_when_the_keeper_dies_and_reclaim_a_dead_share():
    async def script(scenario):
        await fill(scenario)
        scenario.sizes = [20]
        scenario.greedy = True
        await trio.sleep(5)
        keeper, first, second = scenario.fleet.live()
        scenario.fleet.kill(keeper)
        await trio.sleep(3)
        codes = [
            await scenario.fleet.grant(node, 20, 20, 0.5, 0.0)
            for node in (first, second)
        ]
        scenario.fleet.store_owner(first.vm_id, 0.3)
        await trio.sleep(7)
        shares = [
            node.holder._shares_by_account[limits_fleet.ACCOUNT].fraction
            for node in (first, second)
        ]
        return codes, sum(shares)

    codes, total = run(script)
    assert codes == [None, None]
    assert total > 0.8 * _share_messages.WHOLE


def test_one_account_above_its_rate_harms_no_other():
    async def script(scenario):
        fleet = scenario.fleet
        fleet.contract_at = lambda node, account: limits_scenario.LIMIT
        await fill(scenario)
        for node in fleet.live():
            with pytest.raises(errors.Error):
                await node.holder.reserve('akwaaba', 1, 0.0)
        await trio.sleep(8)
        scenario.greedy = True
        start = trio.current_time()
        while trio.current_time() - start < 10:
            node = scenario.node(fleet.chance.randrange(3))
            await node.holder.reserve('akwaaba', 90, 1.0)
            await trio.sleep(0.1)

    run(script)


def test_contract_change_acts_without_the_keeper():
    async def script(scenario):
        await fill(scenario)
        keeper, node, _ = scenario.fleet.live()
        scenario.fleet.kill(keeper)
        scenario.fleet.change_contract(_bucket.Limit(10.0, 40.0), 0.0)
        await trio.sleep(0.5)
        share = node.holder._shares_by_account[limits_fleet.ACCOUNT]
        share.refresh()
        return share

    share = run(script)
    assert share.bucket.capacity <= 40.0
    assert share.bucket.level <= share.bucket.capacity


def test_living_keeper_hands_its_book_over_at_once():
    async def script(scenario):
        await fill(scenario)
        scenario.sizes = [20]
        scenario.greedy = True
        await trio.sleep(3)
        keeper, successor, _ = scenario.fleet.live()
        scenario.fleet.store_owner(successor.vm_id, 0.2, spread=0.3)
        await trio.sleep(2)
        book = successor.keeper._books_by_account[limits_fleet.ACCOUNT]
        return book.ready, keeper.keeper._books_by_account['canopy'].closed

    assert run(script) == (True, True)


def test_holder_without_a_keeper_waits_instead_of_spinning(monkeypatch):
    refresh = _share.Share.refresh
    calls = []

    def counted(share):
        calls.append(share)
        if len(calls) > 2_000:
            raise AssertionError('spins')
        return refresh(share)

    async def script(scenario):
        node = scenario.add()
        node.connected = False
        node.known = 0
        node.as_of = trio.current_time()
        monkeypatch.setattr(_share.Share, 'refresh', counted)
        await scenario.fleet.grant(node, 1, 1, 0.5, 0.0)
        await trio.sleep(10)

    run(script)
