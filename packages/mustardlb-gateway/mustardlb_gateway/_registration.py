"""Registers a node in the store and finds the other nodes there."""

from typing import Any

import structlog
import trio

from mustardlb_gateway import _amounts
from mustardlb_gateway import _centres
from mustardlb_gateway import _membership
from mustardlb_gateway import ports

log = structlog.get_logger()

KIND = 'gateway-vms'

RETRY_SECONDS = 0.5

MAX_PORT = 65_535


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
    try:
        membership.add(_decode(stored.name, stored.spec))
    except ValueError as error:
        log.warning('MLB-6114', vm=stored.name, problem=str(error))


def _decode(name: str, spec: Any) -> _centres.Vm:
    """Return a registered node; raises ValueError if its record is odd."""
    fields = spec if isinstance(spec, dict) else {}
    host, port = fields.get('host'), _amounts.identifier(fields.get('port'))
    if not isinstance(host, str) or not host:
        raise ValueError('the host is no text')
    if not 0 < port <= MAX_PORT:
        raise ValueError(f'port {port} is out of range')
    data_centre = fields.get('data_centre', '')
    if not isinstance(data_centre, str):
        raise ValueError('the data centre is no text')
    capacity = _amounts.finite(fields.get('capacity', 0.0))
    return _centres.Vm(name, host, port, data_centre, capacity)
