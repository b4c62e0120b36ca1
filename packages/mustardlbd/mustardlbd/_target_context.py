"""Functions of the node that target control depends on."""

from collections import abc
import dataclasses

import trio

from mustardlb import clock
from mustardlb import engine
from mustardlb import routes
from mustardlb import steps
from mustardlb import weight_store
from mustardlbd import _membership
from mustardlbd import _owners

# Sends one request to a peer: VM, service, payload, timeout in seconds.
# Raises errors.Error.
Call = abc.Callable[[str, str, bytes, float], abc.Awaitable[bytes]]

# Key of the slice whose owner grants permits to load from the weight store.
PERMITS_KEY = 'weight-store'


@dataclasses.dataclass(frozen=True, slots=True)
class TargetContext:
    """The functions of one node that target control calls.

    :ivar vm_id: this node
    :ivar members: returns the VMs of the fleet
    :ivar owners: returns the owner table
    :ivar may_act: returns whether this node may act as the owner of a key's
        slice, which it may only once the previous owner has stopped
    :ivar check_fresh: raises NODE_NOT_CURRENT if this node's confirmed state
        is too old
    :ivar targets: returns the configured targets, by name
    :ivar engine_of: returns the client that sends commands to a target
    :ivar transit_report: returns the transfers that the weight store has
        in progress
    """

    vm_id: str
    now: clock.Clock
    members: abc.Callable[[], _membership.Members]
    owners: abc.Callable[[], _owners.Owners]
    may_act: abc.Callable[[str], bool]
    check_fresh: abc.Callable[[steps.Step], None]
    call: Call
    targets: abc.Callable[[], abc.Mapping[str, routes.Target]]
    engine_of: abc.Callable[[routes.Target], engine.Engine]
    transit_report: abc.Callable[[], abc.Awaitable[weight_store.TransitReport]]


def target_key(name: str) -> str:
    """Return the key of a target in the owner table."""
    return f'target/{name}'


def owns(context: TargetContext, key: str, epoch: int) -> bool:
    """Return whether this node owns the slice of a key in an epoch."""
    owner = context.owners().owner_of(key)
    return owner.vm_id == context.vm_id and owner.epoch == epoch


async def poll_until(
    condition: abc.Callable[[], bool], interval: float
) -> None:
    """Check a condition every `interval` seconds until it holds."""
    while True:
        if condition():
            return
        await trio.sleep(interval)
