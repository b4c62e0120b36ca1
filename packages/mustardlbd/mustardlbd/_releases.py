"""Slices that their old owner released, so that the new one need not wait."""

import trio

from mustardlb import errors
from mustardlb import schema
from mustardlbd import _owners
from mustardlbd import _peer_server
from mustardlbd import _peers

RELEASE = 'state.release'

# How long the new owner's answer is waited for, seconds.
RELEASE_TIMEOUT = 1.0


class Releases:
    """What was released to this node, and telling others of releases.

    A kind is what an owner does for a slice ('accounts', 'targets'): each
    is released by itself, when its work for the slice has stopped.
    """

    def __init__(self, peers: _peers.Peers) -> None:
        self._peers = peers
        self._epochs: dict[tuple[str, int], int] = {}

    def register(self, server: _peer_server.PeerServer) -> None:
        """Answer the old owners of slices."""
        server.register(RELEASE, self._answer)

    def is_released(self, kind: str, number: int, epoch: int) -> bool:
        """Whether the owner before this epoch said that it has stopped."""
        return self._epochs.get((kind, number), 0) >= epoch

    async def release(
        self, kind: str, numbers: list[int], owners: _owners.Owners
    ) -> None:
        """Tell the owners of some slices that this node has stopped.

        Losing the message costs the new owner only its wait.
        """
        numbers_by_vm: dict[str, list[int]] = {}
        for number in numbers:
            vm_id = owners.slices[number].vm_id
            numbers_by_vm.setdefault(vm_id, []).append(number)
        async with trio.open_nursery() as nursery:
            for vm_id, released in numbers_by_vm.items():
                nursery.start_soon(self._tell, vm_id, kind, released, owners)

    async def _tell(
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
                vm_id, RELEASE, message.to_bytes(), RELEASE_TIMEOUT
            )
        except errors.Error:
            return

    async def _answer(
        self, sender: _peer_server.Sender, payload: bytes
    ) -> bytes:
        with schema.load('state').Release.from_bytes(payload) as message:
            kind = message.kind
            epochs = dict(zip(message.slices, message.epochs, strict=True))
        for number, epoch in epochs.items():
            before = self._epochs.get((kind, number), 0)
            self._epochs[kind, number] = max(before, epoch)
        return b''
