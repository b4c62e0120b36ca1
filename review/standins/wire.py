"""Reads HTTP/1.1 requests and responses from asyncio streams."""

import asyncio
import dataclasses


@dataclasses.dataclass
class Request:
    method: str
    target: str
    headers: dict
    body: bytes


@dataclasses.dataclass
class Response:
    """A response as far as it was received.

    :ivar body: grows as it is received
    :ivar is_complete: whether its end was received
    """

    status: int
    headers: dict
    body: bytearray
    is_complete: bool = False


async def _read_head(reader):
    try:
        data = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise
    first, *lines = data[:-4].decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def _read_chunks(reader, sink):
    while True:
        size = int((await reader.readline()).partition(b';')[0], 16)
        if size:
            sink += await reader.readexactly(size)
        await reader.readline()
        if not size:
            return


async def read_request(reader):
    """Return a request, None at the end of the connection."""
    head = await _read_head(reader)
    if head is None:
        return None
    (method, target, _), headers = head[0].split(' ', 2), head[1]
    body = bytearray()
    if 'chunked' in headers.get('transfer-encoding', ''):
        await _read_chunks(reader, body)
    else:
        body += await reader.readexactly(int(headers.get('content-length', 0)))
    return Request(method, target, headers, bytes(body))


async def read_response(reader, on_head=lambda response: None):
    """Return a response, incomplete if its connection ends early."""
    head = await _read_head(reader)
    if head is None:
        return None
    body = bytearray()
    response = Response(int(head[0].split(' ')[1]), head[1], body)
    on_head(response)
    try:
        if 'chunked' in response.headers.get('transfer-encoding', ''):
            await _read_chunks(reader, body)
            response.is_complete = True
        elif 'content-length' in response.headers:
            length = int(response.headers['content-length'])
            body += await reader.readexactly(length)
            response.is_complete = True
        else:
            body += await reader.read()
            response.is_complete = True
    except (asyncio.IncompleteReadError, OSError, ValueError) as error:
        body += getattr(error, 'partial', b'')
    return response
