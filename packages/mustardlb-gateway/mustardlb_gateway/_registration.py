"""Registers a node in the store and finds the other nodes there."""

import structlog
import trio

from mustardlb_gateway import _centres
from mustardlb_gateway import _membership
from mustardlb_gateway import ports

log = structlog.get_logger()

KIND = 'gateway-vms'

RETRY_SECONDS = 0.5


async def register(
    store: ports.Store, membership: _membership.Membership
) -> None:
    """Register the local node's address; add the other nodes."""
    vm = membership.local_vm
    spec: dict[str, object] = {
        'host': vm.host,
        'port': vm.port,
        'data_centre': vm.data_centre,
        'capacity': vm.capacity,
    }
    while True:
        try:
            await _write(store, vm.vm, spec)
            others = (await store.list_objects(KIND)).objects
        except ports.StoreUnavailable as error:
            log.info('MLB-6012', problem=str(error))
            await trio.sleep(RETRY_SECONDS)
            continue
        for other in others:
            _add_member(membership, other)
        return


async def _write(
    store: ports.Store, name: str, spec: dict[str, object]
) -> None:
    try:
        await store.create(KIND, name, spec)
    except ports.Conflict as conflict:
        current = conflict.current
        if current is None or current.spec == spec:
            return
        try:
            await store.replace(KIND, name, spec, current.revision)
        except ports.Conflict as later:
            # A delayed earlier write of this node was applied meanwhile.
            raise ports.StoreUnavailable(str(later)) from later


def _add_member(
    membership: _membership.Membership, stored: ports.StoredObject
) -> None:
    spec = stored.spec
    if not isinstance(spec, dict):
        return
    host, port = spec.get('host'), spec.get('port')
    if isinstance(host, str) and isinstance(port, int):
        membership.add(
            _centres.Vm(
                stored.name,
                host,
                port,
                str(spec.get('data_centre', '')),
                float(spec.get('capacity', 0.0)),
            )
        )
