"""Run a simulator as a process: `python -m mustardlb_standins engine`."""

import fire
import trio

from mustardlb_standins import engine as engine_standin
from mustardlb_standins import engine_app
from mustardlb_standins import object_api as object_api_standin
from mustardlb_standins import plain_service
from mustardlb_standins import vm_list as vm_list_standin
from mustardlb_standins import web
from mustardlb_standins import weight_store as weight_store_standin


def object_api(port: int = 0) -> None:
    """Run a simulated object API."""
    app = object_api_standin.build(object_api_standin.MemoryObjectApi())
    trio.run(web.run, app, port)


def vm_list(port: int = 0) -> None:
    """Run a simulated VM list, which is empty until `PUT /vms`."""
    app = vm_list_standin.build(vm_list_standin.MemoryVmList())
    trio.run(web.run, app, port)


def weight_store(port: int = 0, load_time: float = 0.25) -> None:
    """Run a simulated weight store."""
    store = weight_store_standin.MemoryWeightStore(load_time)
    trio.run(web.run, weight_store_standin.build(store), port)


def engine(
    port: int = 0,
    store: str = '',
    base_model: str = 'base@1',
    slots: int = 4,
    batch: int = 16,
    queue: int = 64,
    step_time: float = 0.02,
    prefill_time: float = 0.0002,
    checks_fencing: bool = True,
    refuses_in_use: bool = False,
) -> None:
    """Run a simulated engine, which loads weights from the URL `store`."""
    settings = engine_standin.Settings(
        base_model=base_model,
        slots=slots,
        batch=batch,
        queue=queue,
        step_time=step_time,
        prefill_time=prefill_time,
        checks_fencing=checks_fencing,
        refuses_in_use=refuses_in_use,
    )
    trio.run(_run_engine, settings, store, port)


def desk(port: int = 0, booking_time: float = 0.01) -> None:
    """Run a simulated plain service with bookings."""
    app = plain_service.build(plain_service.PlainService(booking_time))
    trio.run(web.run, app, port)


async def _run_engine(
    settings: engine_standin.Settings, store: str, port: int
) -> None:
    fetch = weight_store_standin.http_fetch(store) if store else None
    simulator = engine_standin.Engine(settings, fetch)
    await web.run(engine_app.build(simulator), port, simulator.run)


COMMANDS = {
    'object-api': object_api,
    'vm-list': vm_list,
    'weight-store': weight_store,
    'engine': engine,
    'desk': desk,
}

if __name__ == '__main__':
    fire.Fire(COMMANDS)
