"""Release of slices: a new owner acts without waiting for propagation."""

import trio

from mustardlb import errors
from mustardlb import schema
from mustardlbd import _owners
from mustardlbd import _peer_server
from mustardlbd import _peers

RELEASE = 'state.release'

RELEASE_TIMEOUT_SECONDS = 1.0


class Releases:
    """Records slices released to this node, and releases slices to others.

    A kind is a task of slice owners ('accounts', 'targets'). Each kind is
    released separately, once its work for the slice has stopped.
    """

    def __init__(self, peers: _peers.Peers) -> None:
        self._peers = peers
        self._released_epochs: dict[tuple[str, int], int] = {}

    def register(self, server: _peer_server.PeerServer) -> None:
        """Register the service that previous owners call."""
        server.register(RELEASE, self._handle_release)

    def is_released(self, kind: str, number: int, epoch: int) -> bool:
        """Return whether the owner before an epoch has released the slice."""
        return self._released_epochs.get((kind, number), 0) >= epoch

    async def release(
        self, kind: str, numbers: list[int], owners: _owners.Owners
    ) -> None:
        """Notify the owners of some slices that this node has stopped.

        After a lost message, the new owner waits for the owner table to
        propagate.
        """
        numbers_by_vm: dict[str, list[int]] = {}
        for number in numbers:
            vm_id = owners.slices[number].vm_id
            numbers_by_vm.setdefault(vm_id, []).append(number)
        async with trio.open_nursery() as nursery:
            for vm_id, released in numbers_by_vm.items():
                nursery.start_soon(
                    self._send_release, vm_id, kind, released, owners
                )

    async def _send_release(
        self,
        vm_id: str,
        kind: str,
        numbers: list[int],
        owners: _owners.Owners,
    ) -> None:
        message = schema.load('state').Release.new_message(
            kind=kind,
            slices=numbers,
            epochs=[owners.slices[number].epoch for number in numbers],
        )
        try:
            await self._peers.call(
                vm_id, RELEASE, message.to_bytes(), RELEASE_TIMEOUT_SECONDS
            )
        except errors.Error:
            return

    async def _handle_release(
        self, sender: _peer_server.Sender, payload: bytes
    ) -> bytes:
        with schema.load('state').Release.from_bytes(payload) as message:
            kind = message.kind
            epochs = dict(zip(message.slices, message.epochs, strict=True))
        for number, epoch in epochs.items():
            before = self._released_epochs.get((kind, number), 0)
            self._released_epochs[kind, number] = max(before, epoch)
        return b''
