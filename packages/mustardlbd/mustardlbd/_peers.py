"""Requests to other nodes, each on a connection that it has to itself."""

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

# Connections without a request kept open to one peer.
IDLE_LIMIT = 4

# Opens a stream to a VM; raises OSError.
OpenStream = abc.Callable[[vm_list.Vm], abc.Awaitable[trio.abc.Stream]]

# Gives the VM of an identifier, or None where it is not known.
FindVm = abc.Callable[[str], vm_list.Vm | None]

# Told of each call whether the peer answered.
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
    """What this node says of itself.

    :ivar incarnation: number of this process, which a restart changes
    """

    vm_id: str
    incarnation: int


def open_tcp(tls: ssl.SSLContext | None) -> OpenStream:
    """Open streams over TCP, with TLS unless the caller gives None."""

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
    """Calls peers and keeps idle connections for the next call."""

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
        """
        vm = self._find_vm(vm_id)
        if vm is None:
            raise _unavailable(vm_id, 'not on the VM list')
        request = self._encode(vm_id, service, payload)
        try:
            with trio.fail_after(timeout):
                answer = await self._exchange(vm, request)
        except trio.TooSlowError as error:
            self._set_reachable(vm_id, False)
            raise _unavailable(vm_id, f'no answer in {timeout} s') from error
        except _FAILURES as error:
            self._set_reachable(vm_id, False)
            raise _unavailable(vm_id, repr(error)) from error
        self._set_reachable(vm_id, True)
        return _decode(vm_id, answer)

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
                # The peer closed it while it was idle, or has restarted.
                await self.close(vm.vm_id)
        stream = await self._open_stream(vm)
        return await self._exchange_on(vm, stream, request)

    async def _exchange_on(
        self, vm: vm_list.Vm, stream: trio.abc.Stream, request: bytes
    ) -> bytes:
        whole = False
        try:
            await frames.send(stream, request)
            answer = await frames.receive(stream)
            if answer is None:
                raise frames.BadFrame('closed before the reply')
            whole = True
            return answer
        finally:
            idle = self._idle_by_vm[vm.vm_id]
            if whole and len(idle) < IDLE_LIMIT:
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


def _decode(vm_id: str, answer: bytes) -> bytes:
    try:
        reply = schema.load('envelope').Reply.from_bytes_packed(answer)
        if reply.ok:
            return bytes(reply.payload)
        problem = reply.problem
    except Exception as error:  # the library's own exceptions
        raise _unavailable(vm_id, 'the reply cannot be read') from error
    raise errors.Error(
        errors.Code.PEER_REFUSED, problem, steps.Step.SPREAD, peer=vm_id
    )


def _unavailable(vm_id: str, message: str) -> errors.Error:
    return errors.Error(
        errors.Code.PEER_UNAVAILABLE, message, steps.Step.SPREAD, peer=vm_id
    )
