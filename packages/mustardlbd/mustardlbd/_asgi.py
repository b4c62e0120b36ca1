"""Quart on trio with bounded request bodies and answers written straight.

Quart gathers a request body as fast as it comes and takes an answer from an
iterator. An entry node must hold neither whole, and its answers are written
by one function from first to last block, so both are replaced here.
"""

from collections import abc
from typing import Any

from hypercorn import typing as hypercorn_typing
import quart
import quart_trio
from quart_trio import asgi
from quart_trio.wrappers import request as quart_trio_request
import trio

# Bytes of a request body that are held before the caller is made to wait.
MAX_HELD = 262_144

Headers = abc.Sequence[tuple[bytes, bytes]]


class Reply:
    """The answer to one request, written block by block.

    :ivar started: whether status and headers have been sent
    """

    def __init__(self, send: hypercorn_typing.ASGISendCallable) -> None:
        self._send: Any = send
        self.started = False

    async def start(self, status: int, headers: Headers) -> None:
        """Send status and headers."""
        self.started = True
        await self._send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': headers,
            }
        )

    async def write(self, block: bytes) -> None:
        """Send a block; waits while the caller reads slowly."""
        await self._send(
            {'type': 'http.response.body', 'body': block, 'more_body': True}
        )

    async def finish(self) -> None:
        """Mark the answer whole."""
        await self._send(
            {'type': 'http.response.body', 'body': b'', 'more_body': False}
        )


class DirectResponse(quart.Response):
    """A response that a function writes itself, after the handler."""

    def __init__(
        self, write: abc.Callable[[Reply], abc.Awaitable[None]]
    ) -> None:
        super().__init__(b'')
        self.write_to = write


class Body(quart_trio_request.TrioBody):
    """A request body that lets only MAX_HELD bytes wait.

    :ivar left: whether the caller went before the body was whole
    """

    def __init__(
        self, expected_content_length: int | None, limit: int | None
    ) -> None:
        super().__init__(expected_content_length, limit)
        self._taken = trio.Event()

    async def wait_for_room(self) -> None:
        """Return once less than MAX_HELD bytes wait."""
        while len(self._data) >= MAX_HELD:
            self._taken = trio.Event()
            await self._taken.wait()

    async def __anext__(self) -> bytes:
        block = await super().__anext__()
        self._taken.set()
        return block


class Request(quart_trio_request.TrioRequest):
    """A request with a bounded body."""

    body_class = Body


class HttpConnection(asgi.TrioASGIHTTPConnection):
    """One request: takes the body in, and lets the answer be written."""

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
            await body.wait_for_room()
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
            await response.write_to(Reply(send))
        else:
            await self._send_response(send, response)
        nursery.cancel_scope.cancel()


class App(quart_trio.QuartTrio):
    """The application class of the callers' and the operators' port."""

    asgi_http_class = HttpConnection
    request_class = Request
