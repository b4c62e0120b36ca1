"""Length-prefixed messages on a stream."""

import struct

import trio

# Leaves room for the largest object of the object API and its envelope.
MAX_MESSAGE_BYTES = 2_000_000

_LENGTH = struct.Struct('>I')


class BadFrame(Exception):
    """A message is incomplete or too large."""


async def send(stream: trio.abc.Stream, message: bytes) -> None:
    """Send one message. Raises BadFrame if it is too large."""
    if len(message) > MAX_MESSAGE_BYTES:
        raise BadFrame(f'message of {len(message)} bytes exceeds the limit')
    await stream.send_all(_LENGTH.pack(len(message)) + message)


async def receive(stream: trio.abc.ReceiveStream) -> bytes | None:
    """Receive one message, or None at the end of the stream.

    Raises BadFrame.
    """
    header = await _receive_exactly(stream, _LENGTH.size)
    if not header:
        return None
    (length,) = _LENGTH.unpack(header)
    if length > MAX_MESSAGE_BYTES:
        raise BadFrame(f'message of {length} bytes exceeds the limit')
    return await _receive_exactly(stream, length)


async def _receive_exactly(
    stream: trio.abc.ReceiveStream, count: int
) -> bytes:
    chunks = bytearray()
    while len(chunks) < count:
        chunk = await stream.receive_some(count - len(chunks))
        if not chunk and not chunks:
            return b''
        if not chunk:
            raise BadFrame('stream ended within a message')
        chunks += chunk
    return bytes(chunks)
