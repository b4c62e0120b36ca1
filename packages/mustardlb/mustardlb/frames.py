"""Length-prefixed messages on a stream."""

import struct

import trio

# Largest message, bytes; an object of the API and its wrapping fit.
MAX_MESSAGE_BYTES = 2_000_000

_LENGTH = struct.Struct('>I')


class BadFrame(Exception):
    """What came is not a message, or it is too large."""


async def send(stream: trio.abc.Stream, message: bytes) -> None:
    """Send one message. Raises BadFrame on one that is too large."""
    if len(message) > MAX_MESSAGE_BYTES:
        raise BadFrame(f'{len(message)} bytes are too many')
    await stream.send_all(_LENGTH.pack(len(message)) + message)


async def receive(stream: trio.abc.Stream) -> bytes | None:
    """Receive one message, or None where the stream ends before it."""
    header = await _receive_exactly(stream, _LENGTH.size)
    if not header:
        return None
    (length,) = _LENGTH.unpack(header)
    if length > MAX_MESSAGE_BYTES:
        raise BadFrame(f'{length} bytes are too many')
    return await _receive_exactly(stream, length)


async def _receive_exactly(stream: trio.abc.Stream, count: int) -> bytes:
    chunks = bytearray()
    while len(chunks) < count:
        chunk = await stream.receive_some(count - len(chunks))
        if not chunk and not chunks:
            return b''
        if not chunk:
            raise BadFrame('the stream ends within a message')
        chunks += chunk
    return bytes(chunks)
