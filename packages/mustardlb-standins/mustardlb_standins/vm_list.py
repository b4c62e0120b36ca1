"""A simulated VM list, in memory and over HTTP."""

import dataclasses

import msgspec
import quart_trio

from mustardlb import vm_list
from mustardlb_standins import faults
from mustardlb_standins import web


@dataclasses.dataclass(slots=True)
class MemoryVmList:
    """A VmList in memory; the fault step is 'list_vms'.

    :ivar vms: listed VMs
    """

    vms: tuple[vm_list.Vm, ...] = ()
    plan: faults.FaultPlan = dataclasses.field(
        default_factory=faults.FaultPlan
    )
    _previous_vms: tuple[vm_list.Vm, ...] = ()

    def set_vms(self, *vms: vm_list.Vm) -> None:
        """Replace the listed VMs; a stale read returns the previous ones."""
        self._previous_vms = self.vms
        self.vms = vms

    async def list_vms(self) -> tuple[vm_list.Vm, ...]:
        """See VmList."""

        async def effect() -> tuple[vm_list.Vm, ...]:
            return self.vms

        fault = self.plan.next_fault('list_vms')
        if fault is None:
            return self.vms
        if fault.kind is faults.Kind.STALE:
            return self._previous_vms
        try:
            return await faults.inject(fault, effect)
        except faults.NoResponse as error:
            raise vm_list.VmListUnavailable('no response') from error


def build(listing: MemoryVmList) -> quart_trio.QuartTrio:
    """Return the application; see docs/interfaces/vm-list.md."""
    app = web.build_app(listing.plan)

    @app.get('/vms')
    async def get() -> web.Response:
        vms = await listing.list_vms()
        return web.json_response({'vms': vms})

    @app.put('/vms')
    async def put() -> web.Response:
        body = await web.read_body()
        vms = msgspec.json.decode(body, type=dict[str, list[vm_list.Vm]])
        listing.set_vms(*vms['vms'])
        return '', 204

    @app.errorhandler(vm_list.VmListUnavailable)
    async def unavailable(error: vm_list.VmListUnavailable) -> web.Response:
        return '', 503

    return app
