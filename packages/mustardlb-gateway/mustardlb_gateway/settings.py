"""Settings of a gateway node."""

import dataclasses

from mustardlb_gateway import _quota

Tolerance = _quota.Tolerance


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """What a node is told at its start; times in seconds.

    :ivar vm: name of this VM
    :ivar host: address that all ports are bound to
    :ivar stop_timeout: from the signal to the end of the process
    :ivar handover_time: least time between orders of two keepers
    :ivar fences_checked: engines refuse orders with a lower fence
    :ivar version_time: in which a new adapter version is to be in force
    :ivar retry_ratio: sends to a further target for each request
    :ivar retry_slack: sends to a further target besides, over all nodes
    :ivar retry_window: time over which these are counted
    :ivar link_capacity: of the VM's network link, Mbit/s
    :ivar limit_tolerance: by how much accounts may exceed their limits
    :ivar max_descriptors: open files and sockets of the process
    """

    vm: str
    data_centre: str
    host: str
    front_port: int
    ready_port: int
    peer_port: int
    metrics_port: int
    stop_timeout: float = 8.0
    handover_time: float = 3.0
    fences_checked: bool = True
    version_time: float = 5.0
    retry_ratio: float = 0.2
    retry_slack: float = 50.0
    retry_window: float = 10.0
    link_capacity: float = 0.0
    limit_tolerance: Tolerance = Tolerance()
    max_descriptors: int = 4096

    def __post_init__(self) -> None:
        """Raise ValueError on values that no node can run with."""
        ports = (self.front_port, self.ready_port, self.peer_port)
        if not all(0 <= port < 65_536 for port in ports):
            raise ValueError(f'ports {ports} are not all within 0 to 65535')
        if self.stop_timeout <= 0 or self.handover_time < 0:
            raise ValueError('stop_timeout and handover_time are too short')
        if not self.vm or not self.host:
            raise ValueError('vm and host must be given')
