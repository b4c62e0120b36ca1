"""Hypercorn's HTTP/1.1 protocol with JSON errors and without upgrades."""

import dataclasses

import h11
import hypercorn.events
from hypercorn.protocol import events
from hypercorn.protocol import h11 as hypercorn_h11
from hypercorn.protocol import http_stream
import msgspec

from mustardlb import errors
from mustardlb import steps
from mustardlbd import _asgi


def _protocol_error(status: int, started: bool) -> errors.Error:
    """Return the error for a request that could not be parsed."""
    code = errors.Code.BAD_REQUEST
    message = 'the request is not valid HTTP'
    if status == 431:
        code = errors.Code.HEADERS_TOO_LARGE
        message = 'the headers are too large'
    if status == 408:
        code = errors.Code.REQUEST_TIMEOUT
        message = 'the request took too long to arrive'
    return errors.Error(
        code, message, steps.Step.ADMISSION, not_run=not started
    )


@dataclasses.dataclass(frozen=True)
class Aborted(hypercorn.events.Event):
    """The response broke off, and the connection has to be closed.

    :ivar must_reset: whether the caller takes an orderly end of the connection
        for that of the response
    """

    must_reset: bool


@dataclasses.dataclass(frozen=True)
class RequestUnread(hypercorn.events.Event):
    """The response is complete, and a part of the request was not read."""


class Http1(hypercorn_h11.H11Protocol):
    """HTTP/1.1 with JSON errors and without WebSocket and h2c upgrades."""

    async def stream_send(self, event: events.Event) -> None:
        """Pass an event of the application on to the caller."""
        connection = self.connection
        if not (
            isinstance(event, events.StreamClosed)
            and isinstance(connection, h11.Connection)
            and h11.SEND_BODY in connection.states.values()
        ):
            await super().stream_send(event)
            return
        # The application has ended, so that nothing would take the
        # notification out of a queue that is full of the request's body.
        if self.stream is not None:
            self.stream.closed = True
            self.stream = None
        if connection.our_state is not h11.SEND_BODY:
            await self.send(RequestUnread())
            return
        # A response to HTTP/1.0 has no chunks.
        must_reset = connection.their_http_version == b'1.0'
        await self.send(Aborted(must_reset))

    async def reject_incomplete_request(self) -> None:
        """Respond with 408 if only a part of the request headers arrived."""
        if self.stream is not None or not self.connection.trailing_data[0]:
            return
        await self._send_error_response(408)

    async def _send_error_response(self, status_code: int) -> None:
        started = self.connection.our_state is not h11.IDLE
        error = _protocol_error(status_code, started)
        body = msgspec.json.encode(_asgi.error_body(error))
        headers = [
            (b'content-type', b'application/json'),
            (b'content-length', b'%d' % len(body)),
            (b'connection', b'close'),
        ]
        await self._send_h11_event(
            h11.Response(status_code=error.status, headers=headers)
        )
        await self._send_h11_event(h11.Data(data=body))
        await self._send_h11_event(h11.EndOfMessage())

    async def _check_protocol(self, event: h11.Request) -> None:
        if event.method == b'PRI':
            await super()._check_protocol(event)

    async def _create_stream(self, request: h11.Request) -> None:
        stream = http_stream.HTTPStream(
            self.app,
            self.config,
            self.context,
            self.task_group,
            self.ssl,
            self.client,
            self.server,
            self.stream_send,
            hypercorn_h11.STREAM_ID,
        )
        self.stream = stream
        await stream.handle(
            events.Request(
                stream_id=hypercorn_h11.STREAM_ID,
                headers=list(request.headers),
                http_version=request.http_version.decode(),
                method=request.method.decode('ascii').upper(),
                raw_path=request.target,
                state=self.connection_state,
            )
        )
        self.keep_alive_requests += 1
