"""Opens sockets to targets, and relays by way of other nodes."""

from collections import abc

from mustardlb_gateway import _reset_aware
from mustardlb_gateway import _target_links
from mustardlb_gateway import domain


class TargetNetwork:
    """Implements `_target_links.Network` with real connections."""

    def __init__(
        self,
        relay: abc.Callable[
            [str, domain.Target], abc.Awaitable[_target_links.Relayed]
        ],
    ) -> None:
        self._relay = relay

    async def connect(
        self, target: domain.Target, timeout: float
    ) -> _reset_aware.ResetAwareStream:
        """Connect to a target; raises OSError."""
        return await _reset_aware.connect(target.host, target.port, timeout)

    async def relay(
        self, vm: str, target: domain.Target
    ) -> _target_links.Relayed:
        """Connect to a target by way of another node."""
        return await self._relay(vm, target)
