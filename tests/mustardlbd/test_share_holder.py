"""Behaviour of a holder: waiting, rejection, settlement and fairness."""

import pytest
import trio

from mustardlb import errors
from mustardlbd import _share
from mustardlbd import _share_messages
from mustardlbd import _token_bucket
from tests.mustardlbd import limits_scenario
from tools import limits_fleet


def run(script, size=3):
    return limits_scenario.run_script(script, size=size)


async def build_up_burst(scenario):
    """Open a share at every node and let the burst build up."""
    for node in scenario.fleet.live_nodes():
        await scenario.fleet.grant(node, 1, 1, 0.0, 0.0)
    await trio.sleep(8)


async def reserve(scenario, tokens, wait, index=0):
    node = scenario.node(index)
    return await node.holder.reserve(limits_fleet.ACCOUNT, tokens, wait)


def test_cost_above_burst_is_rejected_immediately():
    async def script(scenario):
        start = trio.current_time()
        with pytest.raises(errors.Error) as caught:
            await reserve(scenario, 4001, 9.0)
        assert trio.current_time() == start
        return caught.value

    error = run(script)
    assert (error.code, error.not_run) == (errors.Code.COST_ABOVE_BURST, True)


def test_one_node_gets_the_whole_burst():
    async def script(scenario):
        await build_up_burst(scenario)
        start = trio.current_time()
        await reserve(scenario, 3900, 2.0, index=1)
        return trio.current_time() - start

    assert run(script) < 1.5


def test_timed_out_wait_takes_no_tokens():
    async def script(scenario):
        await build_up_burst(scenario)
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
        await build_up_burst(scenario)
        reservation = await reserve(scenario, 3800, 2.0)
        reservation.settle(100)
        assert reservation.charged < 200
        await reserve(scenario, 3500, 0.3)

    run(script)


def test_stale_node_rejects_requests():
    async def script(scenario):
        await build_up_burst(scenario)
        scenario.node(0).connected = False
        await trio.sleep(5)
        with pytest.raises(errors.Error) as caught:
            await reserve(scenario, 1, 1.0)
        return caught.value

    assert run(script).code == errors.Code.NODE_NOT_CURRENT


def test_holders_survive_a_killed_coordinator_and_reclaim_its_share():
    async def script(scenario):
        await build_up_burst(scenario)
        scenario.call_sizes = [20]
        scenario.loaded = True
        await trio.sleep(5)
        coordinator, first_holder, second_holder = scenario.fleet.live_nodes()
        scenario.fleet.kill(coordinator)
        await trio.sleep(3)
        codes = [
            await scenario.fleet.grant(node, 20, 20, 0.5, 0.0)
            for node in (first_holder, second_holder)
        ]
        scenario.fleet.store_owner(first_holder.vm_id, 0.3)
        await trio.sleep(7)
        shares = [
            node.holder._shares_by_account[limits_fleet.ACCOUNT].fraction
            for node in (first_holder, second_holder)
        ]
        return codes, sum(shares)

    codes, total = run(script)
    assert codes == [None, None]
    assert total > 0.8 * _share_messages.FULL_SHARE_PPM


def test_overloaded_account_does_not_affect_others():
    async def script(scenario):
        fleet = scenario.fleet
        fleet.limit_at = lambda node, account: limits_scenario.LIMIT
        await build_up_burst(scenario)
        for node in fleet.live_nodes():
            with pytest.raises(errors.Error):
                await node.holder.reserve('akwaaba', 1, 0.0)
        await trio.sleep(8)
        scenario.loaded = True
        start = trio.current_time()
        while trio.current_time() - start < 10:
            node = scenario.node(fleet.rng.randrange(3))
            await node.holder.reserve('akwaaba', 90, 1.0)
            await trio.sleep(0.1)

    run(script)


def test_contract_change_applies_without_a_coordinator():
    async def script(scenario):
        await build_up_burst(scenario)
        coordinator, node, _ = scenario.fleet.live_nodes()
        scenario.fleet.kill(coordinator)
        scenario.fleet.change_contract(_token_bucket.Limit(10.0, 40.0), 0.0)
        await trio.sleep(0.5)
        share = node.holder._shares_by_account[limits_fleet.ACCOUNT]
        share.refresh()
        return share

    share = run(script)
    assert share.bucket.capacity <= 40.0
    assert share.bucket.level <= share.bucket.capacity


def test_running_coordinator_hands_over_its_ledger():
    async def script(scenario):
        await build_up_burst(scenario)
        scenario.call_sizes = [20]
        scenario.loaded = True
        await trio.sleep(3)
        coordinator, successor, _ = scenario.fleet.live_nodes()
        scenario.fleet.store_owner(successor.vm_id, 0.2, spread=0.3)
        await trio.sleep(2)
        ledger = successor.coordinator._ledgers_by_account[
            limits_fleet.ACCOUNT
        ]
        return (
            ledger.ready,
            coordinator.coordinator._ledgers_by_account['canopy'].closed,
        )

    assert run(script) == (True, True)


def test_holder_without_a_coordinator_does_not_busy_loop(monkeypatch):
    refresh = _share.Share.refresh
    calls = []

    def counted_refresh(share):
        calls.append(share)
        if len(calls) > 2_000:
            raise AssertionError('the holder is in a busy loop')
        return refresh(share)

    async def script(scenario):
        node = scenario.add_node()
        node.connected = False
        node.known_version = 0
        node.confirmed_at = trio.current_time()
        monkeypatch.setattr(_share.Share, 'refresh', counted_refresh)
        await scenario.fleet.grant(node, 1, 1, 0.5, 0.0)
        await trio.sleep(10)
        # The state after a report during which the process was suspended.
        node.holder._shares_by_account[limits_fleet.ACCOUNT].shortage.set()
        await trio.sleep(10)

    run(script)
