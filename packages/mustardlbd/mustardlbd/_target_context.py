"""What the targets' part needs of the rest of the node."""

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

# One request to a peer; raises errors.Error.
Call = abc.Callable[[str, str, bytes, float], abc.Awaitable[bytes]]

# The slice whose owner gives out permits for loads from the weight store.
PERMITS_KEY = 'weight-store'


@dataclasses.dataclass(frozen=True, slots=True)
class TargetContext:
    """The rest of the node and of the fleet, as plain functions.

    :ivar vm_id: this node
    :ivar may_act: whether this node acts for the slice of a key, so that
        no owner before it still does
    :ivar targets: the configured targets, by name
    :ivar engine_of: the client for orders to a target
    :ivar transit_report: what the weight store is sending
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
    """Give the key of a target in the table of owners."""
    return f'target/{name}'


def owns(context: TargetContext, key: str, epoch: int) -> bool:
    """Whether this node owns the slice of a key under an epoch."""
    owner = context.owners().owner_of(key)
    return owner.vm_id == context.vm_id and owner.epoch == epoch


async def poll_until(
    condition: abc.Callable[[], bool], interval: float
) -> None:
    """Poll until a condition holds."""
    while True:
        if condition():
            return
        await trio.sleep(interval)
