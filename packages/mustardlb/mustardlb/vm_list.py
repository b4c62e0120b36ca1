"""Interface of the platform's VM list, which is updated with a delay.

docs/interfaces/vm-list.md describes requests, responses and errors.
"""

import dataclasses
import enum
from typing import Protocol


class VmState(enum.StrEnum):
    """State of a VM; VMs that no longer exist are not listed."""

    LIVE = 'live'
    LEAVING = 'leaving'


@dataclasses.dataclass(frozen=True, slots=True)
class Vm:
    """One VM.

    :ivar vm_id: never reused; the replacement of a VM at the same address
        has a new one
    :ivar address: IP address of the ports
    :ivar peer_port: TCP port for other nodes
    :ivar admin_port: TCP port for operators
    :ivar data_centre: name of the data centre
    """

    vm_id: str
    address: str
    peer_port: int
    admin_port: int
    data_centre: str
    state: VmState = VmState.LIVE


class VmListUnavailable(Exception):
    """The VM list sent no valid response."""


class VmList(Protocol):
    """The VM list of the entry nodes."""

    async def list_vms(self) -> tuple[Vm, ...]:
        """Return the listed VMs. Raises VmListUnavailable."""
