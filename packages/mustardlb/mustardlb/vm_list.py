"""What mustardlb needs of the platform's VM list, which shows VMs late.

docs/interfaces/vm-list.md describes request, response and errors.
"""

import dataclasses
import enum
from typing import Protocol


class VmState(enum.StrEnum):
    """Whether a VM stays; one that is gone is not listed."""

    LIVE = 'live'
    LEAVING = 'leaving'


@dataclasses.dataclass(frozen=True, slots=True)
class Vm:
    """One VM.

    :ivar vm_id: unique for ever; a replaced VM at the same address has a
        new one
    :ivar address: IP number that the VM's ports are on
    :ivar peer_port: TCP port for peers
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
    """The VM list gave no answer."""


class VmList(Protocol):
    """The VM list of the entry nodes."""

    async def list_vms(self) -> tuple[Vm, ...]:
        """Read the VMs that are there. Raises VmListUnavailable."""
