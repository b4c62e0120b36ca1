"""Client side of the peer transport: one request at a time a connection."""

import collections
from collections import abc
import dataclasses
import ssl

import trio

from mustardlb import errors
from mustardlb import frames
from mustardlb import schema
from mustardlb import steps
from mustardlb import vm_list

# Idle connections kept open to one peer.
MAX_IDLE_CONNECTIONS = 4

# Opens a stream to a VM; raises OSError.
OpenStream = abc.Callable[[vm_list.Vm], abc.Awaitable[trio.abc.Stream]]

# Returns the VM with an identifier, or None if it is unknown.
FindVm = abc.Callable[[str], vm_list.Vm | None]

# Called after each request with the vm_id and whether the peer responded.
SetReachable = abc.Callable[[str, bool], None]

_FAILURES = (
    OSError,
    ssl.SSLError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    frames.BadFrame,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """How this node identifies itself to peers.

    :ivar incarnation: identifier of this process; a restart changes it
    """

    vm_id: str
    incarnation: int


def open_tcp(tls: ssl.SSLContext | None) -> OpenStream:
    """Return a function that opens TCP streams, with TLS unless None."""

    async def open_stream(vm: vm_list.Vm) -> trio.abc.Stream:
        stream = await trio.open_tcp_stream(vm.address, vm.peer_port)
        stream.setsockopt(trio.socket.IPPROTO_TCP, trio.socket.TCP_NODELAY, 1)
        if tls is None:
            return stream
        return trio.SSLStream(
            stream, tls, server_hostname=vm.address, https_compatible=True
        )

    return open_stream


class Peers:
    """Sends requests to peers and pools idle connections to them."""

    def __init__(
        self,
        identity: Identity,
        open_stream: OpenStream,
        find_vm: FindVm,
        set_reachable: SetReachable,
    ) -> None:
        self._identity = identity
        self._open_stream = open_stream
        self._find_vm = find_vm
        self._set_reachable = set_reachable
        self._idle_by_vm: dict[str, list[trio.abc.Stream]] = (
            collections.defaultdict(list)
        )

    async def call(
        self, vm_id: str, service: str, payload: bytes, timeout: float
    ) -> bytes:
        """Send one request and return the payload of its reply.

        Raises errors.Error: PEER_UNAVAILABLE, after which the peer may or
        may not have run the request, or PEER_REFUSED.

        :param timeout: in seconds
        """
        vm = self._find_vm(vm_id)
        if vm is None:
            raise _unavailable(vm_id, 'not on the VM list')
        request = self._encode(vm_id, service, payload)
        try:
            with trio.fail_after(timeout):
                response = await self._exchange(vm, request)
        except trio.TooSlowError as error:
            self._set_reachable(vm_id, False)
            raise _unavailable(vm_id, f'no response in {timeout} s') from error
        except _FAILURES as error:
            self._set_reachable(vm_id, False)
            raise _unavailable(vm_id, repr(error)) from error
        self._set_reachable(vm_id, True)
        return _decode(vm_id, response)

    async def close(self, vm_id: str) -> None:
        """Close the idle connections to a peer."""
        for stream in self._idle_by_vm.pop(vm_id, []):
            await trio.aclose_forcefully(stream)

    async def close_all(self) -> None:
        """Close every idle connection."""
        for vm_id in list(self._idle_by_vm):
            await self.close(vm_id)

    async def _exchange(self, vm: vm_list.Vm, request: bytes) -> bytes:
        idle = self._idle_by_vm[vm.vm_id]
        if idle:
            try:
                return await self._exchange_on(vm, idle.pop(), request)
            except _FAILURES:
                # The peer closed the idle connection, or has restarted.
                await self.close(vm.vm_id)
        stream = await self._open_stream(vm)
        return await self._exchange_on(vm, stream, request)

    async def _exchange_on(
        self, vm: vm_list.Vm, stream: trio.abc.Stream, request: bytes
    ) -> bytes:
        is_complete = False
        try:
            await frames.send(stream, request)
            response = await frames.receive(stream)
            if response is None:
                raise frames.BadFrame('connection closed before the reply')
            is_complete = True
            return response
        finally:
            idle = self._idle_by_vm[vm.vm_id]
            if is_complete and len(idle) < MAX_IDLE_CONNECTIONS:
                idle.append(stream)
            else:
                with trio.CancelScope(shield=True):
                    await trio.aclose_forcefully(stream)

    def _encode(self, vm_id: str, service: str, payload: bytes) -> bytes:
        request = schema.load('envelope').Request.new_message(
            service=service,
            sender=self._identity.vm_id,
            incarnation=self._identity.incarnation,
            recipient=vm_id,
            payload=payload,
        )
        return request.to_bytes_packed()


def _decode(vm_id: str, response: bytes) -> bytes:
    try:
        reply = schema.load('envelope').Reply.from_bytes_packed(response)
        if reply.ok:
            return bytes(reply.payload)
        problem = reply.problem
    except Exception as error:  # pycapnp raises its own types
        raise _unavailable(vm_id, 'the reply cannot be decoded') from error
    raise errors.Error(
        errors.Code.PEER_REFUSED, problem, steps.Step.SPREAD, peer=vm_id
    )


def _unavailable(vm_id: str, message: str) -> errors.Error:
    return errors.Error(
        errors.Code.PEER_UNAVAILABLE, message, steps.Step.SPREAD, peer=vm_id
    )
