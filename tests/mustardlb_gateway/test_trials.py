"""Trials of requests in quarantine over all nodes, in virtual time."""

import builders
import pytest
import trio

from mustardlb_gateway import _crash_decision
from mustardlb_gateway import _crashes
from mustardlb_gateway import _messages
from mustardlb_gateway import _quarantine
from mustardlb_gateway import _trials

CALL = builders.make_call(parts=[('bad', 10), ('last', 10)])


class Fleet:
    """Nodes that know of the same crashes; only some respond to others.

    :ivar tried: time of each trial
    """

    def __init__(self, count):
        self.silent = set()
        self.tried = []
        self.quarantines = {}
        self.trials = {}
        for number in range(count):
            self._start(f'vm{number}')

    def _start(self, name):
        self.quarantines[name] = _quarantine.Quarantine(
            trio.current_time, lambda: 0.0, trio.current_time
        )
        self.trials[name] = _trials.Trials(
            name,
            self.quarantines[name],
            self._request,
            lambda: frozenset(self.trials) - {name},
            trio.current_time,
        )

    async def _request(self, vm, body, timeout):
        if vm in self.silent:
            await trio.sleep(timeout)
            return None
        await trio.sleep(0.001)
        granted = self.trials[vm].grant(body.suspect)
        return _messages.Tried(granted)

    def add_crash(self, number):
        now = trio.current_time()
        report = _crashes.CrashReport(f't{number}', 1, now, {'bad': now - 0.1})
        evidence = _crashes.Evidence(
            {report.key: report},
            {_crashes.ANY_REQUEST: trio.current_time()},
        )
        for quarantine in self.quarantines.values():
            quarantine.add(evidence)

    async def quarantine(self):
        """Quarantine the call at all nodes."""
        for number in range(_crash_decision.CRASHES_TO_QUARANTINE):
            self.add_crash(number)
            await trio.sleep(0.5)
        await trio.sleep(0.5)

    async def ask_everywhere(self, seconds, on_trial=lambda: None):
        """Ask for trials at all nodes, all the time."""
        end = trio.current_time() + seconds

        async def ask(name):
            while trio.current_time() < end:
                if await self.trials[name].permit(CALL):
                    self.tried.append(trio.current_time())
                    on_trial()
                await trio.sleep(0.3)

        async with trio.open_nursery() as nursery:
            for name in self.trials:
                nursery.start_soon(ask, name)


# Each trial of a request that crashes targets takes one of them.
@pytest.mark.parametrize('count', [1, 7, 200])
async def test_one_request_is_tried_after_each_wait(count, autojump_clock):
    fleet = Fleet(count)
    await fleet.quarantine()
    numbers = iter(range(10, 20))
    began = trio.current_time()
    await fleet.ask_everywhere(85, lambda: fleet.add_crash(next(numbers)))
    assert len(fleet.tried) == 2
    first, second = fleet.tried
    assert first - began < _crash_decision.FIRST_TRIAL_SECONDS
    assert second - first >= (
        _crash_decision.FIRST_TRIAL_SECONDS * _crash_decision.TRIAL_DELAY_RATIO
    )


# Crashes may have had another cause, which has ended.
async def test_trial_with_output_ends_the_quarantine(autojump_clock):
    fleet = Fleet(7)
    await fleet.quarantine()

    def give_output():
        now = trio.current_time()
        evidence = _crashes.Evidence({}, {'bad': now})
        for quarantine in fleet.quarantines.values():
            quarantine.add(evidence)

    await fleet.ask_everywhere(12, give_output)
    assert all(
        not quarantine.wait(CALL) for quarantine in fleet.quarantines.values()
    )


# A trial that is not decided is put off, not made by each node.
async def test_no_trial_without_the_owner(autojump_clock):
    fleet = Fleet(7)
    await fleet.quarantine()
    owner = fleet.trials['vm0']._owners.ranking('bad')[0]
    fleet.silent.add(owner)
    names = [name for name in fleet.trials if name != owner]
    await trio.sleep(_crash_decision.FIRST_TRIAL_SECONDS)
    for name in names:
        assert not await fleet.trials[name].permit(CALL)


async def test_call_that_is_not_quarantined_is_sent(autojump_clock):
    fleet = Fleet(2)
    assert await fleet.trials['vm0'].permit(CALL)


# A permission that waited in the socket of a paused process was used while
# the owner had permitted another trial.
@pytest.mark.parametrize('seconds', [2.0, 10.0, 30.0])
async def test_late_permission_is_not_used(seconds, autojump_clock):
    fleet = Fleet(7)
    await fleet.quarantine()
    await trio.sleep(_crash_decision.FIRST_TRIAL_SECONDS)
    owner = fleet.trials['vm0']._owners.ranking('bad')[0]
    trials = next(each for name, each in fleet.trials.items() if name != owner)

    async def request_late(vm, body, timeout):
        response = await fleet._request(vm, body, timeout)
        await trio.sleep(seconds)
        return response

    trials._request = request_late
    assert not await trials.permit(CALL)


# While nodes differ on who lives, they ask different nodes, each of which
# permitted a trial.
@pytest.mark.parametrize('count', [3, 7, 40])
async def test_one_trial_while_the_owner_changes(count, autojump_clock):
    fleet = Fleet(count)
    await fleet.quarantine()
    await trio.sleep(_crash_decision.FIRST_TRIAL_SECONDS)
    ranking = fleet.trials['vm0']._owners.ranking('bad')
    # The second half does not see the owner.
    behind = list(fleet.trials)[count // 2 :]
    for name in behind:
        if name not in ranking[:2]:
            fleet.trials[name]._owners._live = lambda name=name: (
                frozenset(fleet.trials) - {name, ranking[0]}
            )
    granted = [await each.permit(CALL) for each in fleet.trials.values()]
    assert granted.count(True) == 1


# An owner that has just woken up does not know what others have permitted.
async def test_paused_owner_permits_no_trial(autojump_clock):
    fleet = Fleet(7)
    await fleet.quarantine()
    await trio.sleep(_crash_decision.FIRST_TRIAL_SECONDS)
    owner = fleet.trials['vm0']._owners.ranking('bad')[0]
    fleet.trials[owner]._is_settled = lambda: False
    for trials in fleet.trials.values():
        assert not await trials.permit(CALL)
    fleet.trials[owner]._is_settled = lambda: True
    assert await fleet.trials[owner].permit(CALL)
