"""Runs scripts of actions and faults on a fleet, checked by the oracle."""

import itertools

import fleet as fleets
import state_oracle
import trio

from mustardlb import configuration
from mustardlb import object_api
from mustardlb import vm_list
from mustardlb_standins import faults

SIZE = 5
VMS = [f'vm-{number}' for number in range(SIZE)]

# Time after which a fleet has recovered from all faults.
RECOVERY_SECONDS = 30.0


class ScriptRunner:
    """Runs actions on a fleet and checks the oracle after each."""

    def __init__(self, fleet, oracle):
        self.fleet = fleet
        self.oracle = oracle
        self.current_by_name = {vm_id: vm_id for vm_id in VMS}
        self.numbers = itertools.count()

    async def play(self, action):
        name, *arguments = action
        await getattr(self, f'do_{name}')(*arguments)
        self.oracle.check()

    async def do_wait(self, seconds):
        await trio.sleep(seconds)

    async def do_apply(self, name, value):
        await self._write({name: value + b'%d' % next(self.numbers)})

    async def do_withdraw(self, name):
        await self._write({name: None})

    async def do_race(self, name):
        async with trio.open_nursery() as nursery:
            for value in (b'left', b'right'):
                nursery.start_soon(self._write, {name: value})

    async def do_api_down(self):
        down = faults.Fault('*', faults.Kind.DROP, seconds=1, times=None)
        self.fleet.api.plan.reset(down)

    async def do_api_up(self):
        self.fleet.api.plan.reset()

    async def do_api_fault(self, fault):
        self.fleet.api.plan.reset(fault)

    async def do_partition(self, some, with_api):
        side = [self.current_by_name[one] for one in some]
        others = [
            one for one in self.current_by_name.values() if one not in side
        ]
        self.fleet.network.partition(
            side, [*others, fleets.API] if with_api else others
        )

    async def do_cut(self, one, other):
        self.fleet.network.cut(
            self.current_by_name[one], self.current_by_name[other]
        )

    async def do_cut_api(self, one, responses):
        link = (self.current_by_name[one], fleets.API)
        self.fleet.network.cut(*(reversed(link) if responses else link))

    async def do_mend(self):
        self.fleet.network.mend()

    async def do_lag(self, one):
        self.fleet.network.lagging.add(self.current_by_name[one])

    async def do_pause(self, one):
        self.fleet.network.pause(self.current_by_name[one])

    async def do_resume(self, one):
        self.fleet.network.resume(self.current_by_name[one])

    async def do_restart(self, one):
        self.fleet.network.resume(self.current_by_name[one])
        self.fleet.start(self.current_by_name[one])

    async def do_replace(self, one):
        old = self.current_by_name[one]
        self.fleet.network.resume(old)
        self.fleet.kill(old)
        self.fleet.vms.remove(old)
        new = f'{one}-{next(self.numbers)}'
        self.current_by_name[one] = new
        self.fleet.start(new)

    async def do_leave(self, one):
        self.fleet.vms.leave(self.current_by_name[one])

    async def finish(self):
        """End all faults and check that every node recovers."""
        self.fleet.network.mend()
        self.fleet.api.plan.reset()
        for vm_id in self.current_by_name.values():
            self.fleet.network.resume(vm_id)
        await self._write({'route/last': b'last'})
        await trio.sleep(RECOVERY_SECONDS)
        newest = self.fleet.api.peek(configuration.HEAD_NAME).version
        for node in self.fleet.nodes_by_id.values():
            status = node.state.status()
            assert node.admits(), status
            assert state_oracle.held_version(node) == newest, status
        assert self.oracle.accepted_version() == newest
        reported = [
            node.state.status().accepted_versions[configuration.HEAD_NAME]
            for node in self.fleet.nodes_by_id.values()
        ]
        assert set(reported) == {newest}, reported
        self._check_owners()

    def _check_owners(self):
        """Check that one node acts for each slice, and is not leaving."""
        live_vms = [
            vm.vm_id
            for vm in self.fleet.vms.vms_by_id.values()
            if vm.state is vm_list.VmState.LIVE
        ]
        if not live_vms:
            return
        for number in state_oracle.CHECKED_SLICES:
            acting = [
                node.vm_id
                for node in self.fleet.nodes_by_id.values()
                if node.state.may_act('accounts', number)
            ]
            assert len(acting) == 1, (number, acting)
            assert acting[0] in live_vms

    async def _write(self, values):
        """Write as an operator; conflicts and lost responses are expected."""
        change = f'change-{next(self.numbers)}'
        operator = fleets.Operator(self.fleet.api)
        try:
            await operator.apply(change, values)
        except (object_api.VersionConflict, object_api.ApiUnavailable):
            return


async def play_all(fleet, script):
    oracle = state_oracle.Oracle(fleet)
    fleet.nursery.start_soon(oracle.run)
    runner = ScriptRunner(fleet, oracle)
    for action in script:
        await runner.play(action)
    await runner.finish()
