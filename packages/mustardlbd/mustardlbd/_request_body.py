"""Reads request bodies, either buffered or as a stream."""

from collections import abc

import trio

from mustardlb import errors
from mustardlb import steps
from mustardlbd import _asgi
from mustardlbd import _caller_settings
from mustardlbd import _key_scan

# Limits for reading the body of a rejected request, so that the caller can
# read the response.
MAX_DISCARDED_BYTES = 1_048_576
DISCARD_TIMEOUT_SECONDS = 1.0


async def read_whole(
    request: _asgi.Request, settings: _caller_settings.CallerSettings
) -> bytes:
    """Return the whole body. Raises BODY_TOO_LARGE or REQUEST_TIMEOUT."""
    body = bytearray()
    length = request.content_length
    if length is not None and length > settings.max_body_bytes:
        raise _too_large(settings)
    async for block in _blocks(request, settings, not_run=True):
        body += block
        if len(body) > settings.max_body_bytes:
            raise _too_large(settings)
    return bytes(body)


async def discard(request: _asgi.Request) -> None:
    """Read and discard the body of a rejected request, up to a limit.

    Closing a connection with unread data resets it, and the caller may lose
    the response.
    """
    remaining = MAX_DISCARDED_BYTES
    with trio.move_on_after(DISCARD_TIMEOUT_SECONDS):
        async for block in request.body:
            remaining -= len(block)
            if remaining <= 0:
                return


class StreamedBody:
    """Streams a body to a target without any byte of an API key.

    :ivar started: whether reading has started, after which the body cannot
        be sent to another target
    :ivar has_body: whether the request has a body
    """

    def __init__(
        self,
        request: _asgi.Request,
        settings: _caller_settings.CallerSettings,
        secret: bytes,
    ) -> None:
        self.started = False
        names = {name for name, _ in request.scope['headers']}
        self.has_body = _has_body(names, request)
        self._request = request
        self._settings = settings
        self._scanner = _key_scan.Scanner(secret)

    async def __aiter__(self) -> abc.AsyncIterator[bytes]:
        """Yield the data to forward. Raises BAD_REQUEST if it has a key."""
        self.started = True
        async for block in _blocks(self._request, self._settings, False):
            try:
                checked = self._scanner.feed(block)
            except _key_scan.KeyFound:
                raise errors.Error(
                    errors.Code.BAD_REQUEST,
                    'the body contains a key',
                    steps.Step.DISPATCH,
                ) from None
            if checked:
                yield checked
        rest = self._scanner.finish()
        if rest:
            yield rest


def _has_body(names: abc.Set[bytes], request: _asgi.Request) -> bool:
    if b'transfer-encoding' in names:
        return True
    if request.content_length is not None:
        return request.content_length > 0
    # In HTTP/2 a body needs no header.
    return request.http_version.startswith('2') and request.method not in (
        'GET',
        'HEAD',
        'OPTIONS',
    )


async def _blocks(
    request: _asgi.Request,
    settings: _caller_settings.CallerSettings,
    not_run: bool,
) -> abc.AsyncIterator[bytes]:
    blocks = aiter(request.body)
    while True:
        with trio.move_on_after(settings.body_timeout) as scope:
            block = await anext(blocks, None)
        if scope.cancelled_caught:
            raise errors.Error(
                errors.Code.REQUEST_TIMEOUT,
                'the body took too long to arrive',
                steps.Step.ADMISSION,
                not_run=not_run,
            )
        if block is None:
            return
        yield block


def _too_large(settings: _caller_settings.CallerSettings) -> errors.Error:
    return errors.Error(
        errors.Code.BODY_TOO_LARGE,
        f'the body is over {settings.max_body_bytes} bytes',
        steps.Step.ADMISSION,
        not_run=True,
    )
