"""Server side of the peer transport."""

from collections import abc
import dataclasses
import ssl

import structlog
import trio

from mustardlb import errors
from mustardlb import frames
from mustardlb import schema

log = structlog.get_logger()

# Time without a request after which a connection is closed.
IDLE_TIMEOUT_SECONDS = 60.0

# Timeout of a TLS handshake and of sending a reply.
SEND_TIMEOUT_SECONDS = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Sender:
    """The node that sent a request.

    :ivar incarnation: identifier of its process; a restart changes it
    """

    vm_id: str
    incarnation: int


# Returns the reply to one request. It must be idempotent: after a lost reply
# it may run a second time for the same call.
Handler = abc.Callable[[Sender, bytes], abc.Awaitable[bytes]]


class PeerServer:
    """Serves requests of peers with the registered handlers."""

    def __init__(self, vm_id: str, tls: ssl.SSLContext | None = None) -> None:
        self._vm_id = vm_id
        self._tls = tls
        self._handlers: dict[str, Handler] = {}

    def register(self, service: str, handler: Handler) -> None:
        """Register the handler of a service."""
        if service in self._handlers:
            raise ValueError(f'service {service} is already registered')
        self._handlers[service] = handler

    async def serve(self, listener: trio.SocketListener) -> None:
        """Accept connections until cancelled, one task for each."""
        await trio.serve_listeners(self.serve_connection, [listener])

    async def serve_connection(self, stream: trio.abc.Stream) -> None:
        """Serve the requests on one connection until it is closed."""
        if self._tls is not None:
            stream = trio.SSLStream(
                stream, self._tls, server_side=True, https_compatible=True
            )
        try:
            await self._serve_requests(stream)
        except (
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            trio.TooSlowError,
            frames.BadFrame,
        ) as error:
            log.info('MLB-2001', problem=repr(error))
        except Exception:  # one connection must not crash the node
            log.exception('MLB-2003')
        finally:
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(stream)

    async def _serve_requests(self, stream: trio.abc.Stream) -> None:
        if isinstance(stream, trio.SSLStream):
            with trio.fail_after(SEND_TIMEOUT_SECONDS):
                await stream.do_handshake()
        while True:
            with trio.fail_after(IDLE_TIMEOUT_SECONDS):
                message = await frames.receive(stream)
            if message is None:
                return
            reply = await self._handle(message)
            with trio.fail_after(SEND_TIMEOUT_SECONDS):
                await frames.send(stream, reply)

    async def _handle(self, message: bytes) -> bytes:
        envelope = schema.load('envelope')
        try:
            request = envelope.Request.from_bytes_packed(message)
            service = request.service
            sender = Sender(request.sender, request.incarnation)
            recipient = request.recipient
            payload = bytes(request.payload)
        except Exception as error:  # pycapnp raises its own types
            raise frames.BadFrame('the frame is not a request') from error
        if recipient != self._vm_id:
            return _reject(f'this node is {self._vm_id}, not {recipient}')
        handler = self._handlers.get(service)
        if handler is None:
            return _reject(f'unknown service {service}')
        try:
            result = await handler(sender, payload)
        except errors.Error as error:
            return _reject(str(error))
        except Exception:  # one request must not crash the node
            log.exception('MLB-2002', service=service, sender=sender.vm_id)
            return _reject(f'{service} failed')
        reply = envelope.Reply.new_message(ok=True, payload=result)
        return reply.to_bytes_packed()


def _reject(problem: str) -> bytes:
    reply = schema.load('envelope').Reply.new_message(
        ok=False, problem=problem
    )
    return reply.to_bytes_packed()
