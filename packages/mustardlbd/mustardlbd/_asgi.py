"""Quart on trio with bounded request bodies and answers written straight.

Quart gathers a request body as fast as it comes and takes an answer from an
iterator. An entry node must hold neither whole, and its answers are written
by one function from first to last block, so both are replaced here.
"""

from collections import abc
import functools
import http
import math
from typing import Any

from hypercorn import typing as hypercorn_typing
import msgspec
import quart
import quart_trio
from quart_trio import asgi
from quart_trio.wrappers import request as quart_trio_request
import trio

from mustardlb import clock
from mustardlb import errors
from mustardlb import steps

# Bytes of a request body that are held before the caller is made to wait.
MAX_BUFFERED_BODY_BYTES = 262_144

Headers = abc.Sequence[tuple[bytes, bytes]]


def error_body(error: errors.Error) -> dict[str, Any]:
    """Return an error as callers see it."""
    fields: dict[str, Any] = {
        'code': str(error.code),
        'message': error.message,
        'step': str(error.step),
        'not_run': error.not_run,
    }
    if error.peer:
        fields['peer'] = error.peer
    if error.retry_after is not None:
        fields['retry_after'] = round(error.retry_after, 3)
    return {'error': fields}


class ResponseWriter:
    """The answer to one request, written block by block.

    :ivar started: whether status and headers have been sent
    :ivar finishing: whether the last block is out, after which the caller
        is free to leave
    :ivar on_block: told the time of each block
    """

    def __init__(self, send: hypercorn_typing.ASGISendCallable) -> None:
        self._send: Any = send
        self._extra_headers: list[tuple[bytes, bytes]] = []
        self.started = False
        self.finishing = False
        self.on_block: abc.Callable[[float], None] | None = None

    def add_connection_close(self, http_version: str) -> None:
        """Ask the caller to take another connection for its next call."""
        if not http_version.startswith('2'):
            self._extra_headers.append((b'connection', b'close'))

    async def start(self, status: int, headers: Headers) -> None:
        """Send status and headers."""
        self.started = True
        await self._send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': [*headers, *self._extra_headers],
            }
        )

    async def write(self, block: bytes) -> None:
        """Send a block; waits while the caller reads slowly."""
        await self._send(
            {'type': 'http.response.body', 'body': block, 'more_body': True}
        )
        if self.on_block is not None:
            self.on_block(clock.boottime())

    async def send_json(
        self, status: int, value: object, headers: Headers = ()
    ) -> None:
        """Send a JSON answer but for its end."""
        body = msgspec.json.encode(value)
        about = [
            (b'content-type', b'application/json'),
            (b'content-length', b'%d' % len(body)),
        ]
        await self.start(status, [*about, *headers])
        await self.write(body)

    async def send_error(self, error: errors.Error) -> None:
        """Send an error but for its end."""
        headers: list[tuple[bytes, bytes]] = []
        if error.retry_after is not None:
            seconds = max(1, math.ceil(error.retry_after))
            headers.append((b'retry-after', b'%d' % seconds))
        if error.status == http.HTTPStatus.UNAUTHORIZED:
            headers.append((b'www-authenticate', b'Bearer'))
        await self.send_json(error.status, error_body(error), headers)

    async def finish(self) -> None:
        """Mark the answer whole."""
        self.finishing = True
        await self._send(
            {'type': 'http.response.body', 'body': b'', 'more_body': False}
        )


WriteResponse = abc.Callable[[ResponseWriter], abc.Awaitable[None]]


class DirectResponse(quart.Response):
    """A response that a function writes itself, after the handler."""

    def __init__(self, write: WriteResponse) -> None:
        super().__init__(b'')
        self.write_to = write


Handler = abc.Callable[[], abc.Awaitable[quart.Response]]


class Body(quart_trio_request.TrioBody):
    """A request body that lets only MAX_HELD bytes wait.

    :ivar left: whether the caller went before the body was whole
    """

    def __init__(
        self, expected_content_length: int | None, limit: int | None
    ) -> None:
        super().__init__(expected_content_length, limit)
        self._taken = trio.Event()

    async def wait_for_buffer_space(self) -> None:
        """Return once less than MAX_HELD bytes wait."""
        while len(self._data) >= MAX_BUFFERED_BODY_BYTES:
            self._taken = trio.Event()
            await self._taken.wait()

    async def __anext__(self) -> bytes:
        block = await super().__anext__()
        self._taken.set()
        return block


class Request(quart_trio_request.TrioRequest):
    """A request with a bounded body."""

    body_class = Body  # type: ignore[assignment]


class HttpConnection(asgi.TrioASGIHTTPConnection):
    """One request: takes the body in, and lets the answer be written."""

    _writer: ResponseWriter | None = None

    async def __call__(
        self,
        receive: hypercorn_typing.ASGIReceiveCallable,
        send: hypercorn_typing.ASGISendCallable,
    ) -> None:
        """Answer the request."""
        if not self.scope['path'].startswith('/'):
            await _refuse_path(ResponseWriter(send))
            return
        await super().__call__(receive, send)

    async def handle_messages(  # type: ignore[override]
        self,
        nursery: trio.Nursery,
        request: Request,
        receive: hypercorn_typing.ASGIReceiveCallable,
    ) -> None:
        """Take the body in; end the request when the caller is gone."""
        body: Any = request.body
        while True:
            message: Any = await receive()
            if message['type'] == 'http.disconnect':
                break
            body.append(message.get('body', b''))
            if not message.get('more_body', False):
                body.set_complete()
            await body.wait_for_buffer_space()
        if self._writer is None or not self._writer.finishing:
            nursery.cancel_scope.cancel()

    async def handle_request(  # type: ignore[override]
        self,
        nursery: trio.Nursery,
        request: Request,
        send: hypercorn_typing.ASGISendCallable,
    ) -> None:
        """Run the handler and write its answer."""
        response = await self.app.handle_request(request)
        if isinstance(response, DirectResponse):
            self._writer = ResponseWriter(send)
            await response.write_to(self._writer)
        else:
            await self._send_response(send, response)
        nursery.cancel_scope.cancel()


async def _refuse_path(writer: ResponseWriter) -> None:
    await _refuse(writer, errors.Code.BAD_REQUEST, 'the path has no /')


async def _refuse_route(writer: ResponseWriter) -> None:
    await _refuse(
        writer,
        errors.Code.ROUTE_NOT_FOUND,
        'nothing is there, or not by this method',
    )


async def _refuse(
    writer: ResponseWriter, code: errors.Code, message: str
) -> None:
    await writer.send_error(
        errors.Error(code, message, steps.Step.ADMISSION, not_run=True)
    )
    await writer.finish()


class App(quart_trio.QuartTrio):
    """The application class of the callers' and the operators' port.

    :ivar pass_on: takes every request that no route of the application is
        for, whatever its method
    """

    asgi_http_class = HttpConnection
    request_class = Request

    def __init__(self, name: str) -> None:
        super().__init__(name, static_folder=None)
        # The node has its own limits, with their own errors.
        self.config['MAX_CONTENT_LENGTH'] = None
        self.config['BODY_TIMEOUT'] = None
        self.config['RESPONSE_TIMEOUT'] = None
        self.fallback_handler: Handler | None = None

    async def dispatch_request(
        self, request_context: Any = None
    ) -> quart.typing.ResponseReturnValue:
        """Run the handler of the request's path, or `pass_on`."""
        request = (request_context or quart.globals.request_ctx).request
        if (
            self.fallback_handler is not None
            and request.path not in self.own_paths
        ):
            return await self.fallback_handler()
        if request.routing_exception is not None:
            return DirectResponse(_refuse_route)
        return await super().dispatch_request(request_context)

    @functools.cached_property
    def own_paths(self) -> frozenset[str]:
        """The paths of the application's routes."""
        return frozenset(rule.rule for rule in self.url_map.iter_rules())
