"""The side of the transport that answers other nodes."""

from collections import abc
import dataclasses
import ssl

import structlog
import trio

from mustardlb import errors
from mustardlb import frames
from mustardlb import schema

log = structlog.get_logger()

# How long a connection may stay without a request, seconds.
IDLE_TIMEOUT = 60.0

# How long a handshake or the sending of a reply may take, seconds.
SEND_TIMEOUT = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Sender:
    """The node that sent a request.

    :ivar incarnation: number of its process, which a restart changes
    """

    vm_id: str
    incarnation: int


# Answers one request. It may run twice for one call, since the answer of
# the first run may be lost, so it must be idempotent.
Handler = abc.Callable[[Sender, bytes], abc.Awaitable[bytes]]


class PeerServer:
    """Answers the requests of peers by the services registered."""

    def __init__(self, vm_id: str, tls: ssl.SSLContext | None = None) -> None:
        self._vm_id = vm_id
        self._tls = tls
        self._handlers: dict[str, Handler] = {}

    def register(self, service: str, handler: Handler) -> None:
        """Answer requests for a service by the handler."""
        if service in self._handlers:
            raise ValueError(f'service {service} is registered twice')
        self._handlers[service] = handler

    async def serve(self, listener: trio.SocketListener) -> None:
        """Accept connections for ever, one task for each."""
        await trio.serve_listeners(self.serve_connection, [listener])

    async def serve_connection(self, stream: trio.abc.Stream) -> None:
        """Answer the requests on one connection until it ends."""
        if self._tls is not None:
            stream = trio.SSLStream(
                stream, self._tls, server_side=True, https_compatible=True
            )
        try:
            await self._answer_all(stream)
        except (
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            trio.TooSlowError,
            frames.BadFrame,
        ) as error:
            log.info('MLB-2001', problem=repr(error))
        except Exception:  # one connection must not end the node
            log.exception('MLB-2003')
        finally:
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(stream)

    async def _answer_all(self, stream: trio.abc.Stream) -> None:
        if isinstance(stream, trio.SSLStream):
            with trio.fail_after(SEND_TIMEOUT):
                await stream.do_handshake()
        while True:
            with trio.fail_after(IDLE_TIMEOUT):
                message = await frames.receive(stream)
            if message is None:
                return
            reply = await self._answer(message)
            with trio.fail_after(SEND_TIMEOUT):
                await frames.send(stream, reply)

    async def _answer(self, message: bytes) -> bytes:
        envelope = schema.load('envelope')
        try:
            request = envelope.Request.from_bytes_packed(message)
            service = request.service
            sender = Sender(request.sender, request.incarnation)
            recipient = request.recipient
            payload = bytes(request.payload)
        except Exception as error:  # the library's own exceptions
            raise frames.BadFrame('not a request') from error
        if recipient != self._vm_id:
            return _refuse(f'this is {self._vm_id}, not {recipient}')
        handler = self._handlers.get(service)
        if handler is None:
            return _refuse(f'no service {service}')
        try:
            answer = await handler(sender, payload)
        except errors.Error as error:
            return _refuse(str(error))
        except Exception:  # one request must not end the node
            log.exception('MLB-2002', service=service, sender=sender.vm_id)
            return _refuse(f'{service} failed')
        reply = envelope.Reply.new_message(ok=True, payload=answer)
        return reply.to_bytes_packed()


def _refuse(problem: str) -> bytes:
    reply = schema.load('envelope').Reply.new_message(
        ok=False, problem=problem
    )
    return reply.to_bytes_packed()
