"""The stand-in of the VM list, in memory and over HTTP."""

import dataclasses

import msgspec
import quart_trio

from mustardlb import vm_list
from mustardlb_standins import faults
from mustardlb_standins import web


@dataclasses.dataclass(slots=True)
class MemoryVmList:
    """A VmList in memory; the fault step is 'list_vms'.

    :ivar vms: what the list shows
    """

    vms: tuple[vm_list.Vm, ...] = ()
    plan: faults.FaultPlan = dataclasses.field(
        default_factory=faults.FaultPlan
    )
    _before: tuple[vm_list.Vm, ...] = ()

    def set_vms(self, *vms: vm_list.Vm) -> None:
        """Show these VMs; a stale read shows those before."""
        self._before = self.vms
        self.vms = vms

    async def list_vms(self) -> tuple[vm_list.Vm, ...]:
        """See VmList."""

        async def effect() -> tuple[vm_list.Vm, ...]:
            return self.vms

        fault = self.plan.next_fault('list_vms')
        if fault is None:
            return self.vms
        if fault.kind is faults.Kind.STALE:
            return self._before
        try:
            return await faults.inject(fault, effect)
        except faults.NoResponse as error:
            raise vm_list.VmListUnavailable('no answer') from error


def build(listing: MemoryVmList) -> quart_trio.QuartTrio:
    """Make the HTTP form, as docs/interfaces/vm-list.md describes it."""
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
