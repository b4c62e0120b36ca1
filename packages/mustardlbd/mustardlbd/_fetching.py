"""Fetching objects and parts of objects from peers."""

from collections import abc

from mustardlb import errors
from mustardlb import schema
from mustardlbd import _documents
from mustardlbd import _peers
from mustardlbd import _spread_server

# How long bytes from a peer are waited for, seconds.
FETCH_TIMEOUT = 2.0


async def fetch_object(
    peers: _peers.Peers, vm_id: str, index: int
) -> _documents.Tracked:
    """Fetch a tracked object from a peer. Raises errors.Error."""
    request = schema.load('state').ObjectRequest.new_message(index=index)
    payload = await peers.call(
        vm_id, _spread_server.OBJECT, request.to_bytes(), FETCH_TIMEOUT
    )
    reply = schema.load('state').ObjectReply.from_bytes_packed(payload)
    return _documents.Tracked(reply.version, bytes(reply.value))


async def _fetch_part(
    peers: _peers.Peers, vm_id: str, digest: str
) -> bytes | None:
    request = schema.load('state').PartRequest.new_message(hash=digest)
    payload = await peers.call(
        vm_id, _spread_server.PART, request.to_bytes(), FETCH_TIMEOUT
    )
    reply = schema.load('state').PartReply.from_bytes_packed(payload)
    return bytes(reply.value) if reply.found else None


def part_fetcher(
    peers: _peers.Peers,
    parents: abc.Callable[[], list[str]],
    fetch_from_api: _documents.FetchPart,
) -> _documents.FetchPart:
    """Fetch parts from a parent, else from the API, checked by hash."""

    async def fetch(digest: str) -> bytes | None:
        for parent in parents():
            try:
                part = await _fetch_part(peers, parent, digest)
            except errors.Error:
                continue
            if part is not None and _documents.matches(digest, part):
                return part
        part = await fetch_from_api(digest)
        if part is None or not _documents.matches(digest, part):
            return None
        return part

    return fetch
