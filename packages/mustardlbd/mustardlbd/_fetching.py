"""Fetching of objects and their parts from peers."""

from collections import abc

from mustardlb import configuration
from mustardlb import errors
from mustardlb import schema
from mustardlbd import _documents
from mustardlbd import _peers
from mustardlbd import _replication_server

FETCH_TIMEOUT_SECONDS = 2.0


async def fetch_object(
    peers: _peers.Peers, vm_id: str, index: int
) -> _documents.TrackedObject:
    """Fetch a tracked object from a peer.

    Raises errors.Error, or FetchError if the reply cannot be decoded.
    """
    request = schema.load('state').ObjectRequest.new_message(index=index)
    payload = await peers.call(
        vm_id,
        _replication_server.OBJECT,
        request.to_bytes(),
        FETCH_TIMEOUT_SECONDS,
    )
    try:
        reply = schema.load('state').ObjectReply.from_bytes_packed(payload)
        return _documents.TrackedObject(reply.version, bytes(reply.value))
    except Exception as error:  # pycapnp raises its own types
        raise _documents.FetchError(vm_id) from error


async def _fetch_part(
    peers: _peers.Peers, vm_id: str, digest: str
) -> bytes | None:
    request = schema.load('state').PartRequest.new_message(hash=digest)
    payload = await peers.call(
        vm_id,
        _replication_server.PART,
        request.to_bytes(),
        FETCH_TIMEOUT_SECONDS,
    )
    try:
        reply = schema.load('state').PartReply.from_bytes_packed(payload)
        return bytes(reply.value) if reply.found else None
    except Exception:  # pycapnp raises its own types
        return None


async def fetch_last_good_entries(
    peers: _peers.Peers, vm_id: str
) -> dict[str, configuration.Entry]:
    """Fetch the last good entries of invalid objects from a peer.

    Raises errors.Error, or FetchError if the reply cannot be decoded.
    """
    payload = await peers.call(
        vm_id, _replication_server.LAST_GOOD, b'', FETCH_TIMEOUT_SECONDS
    )
    try:
        reply = schema.load('state').KeptReply.from_bytes_packed(payload)
        return {
            one.name: configuration.Entry(one.revision, tuple(one.parts))
            for one in reply.kept
        }
    except Exception as error:  # pycapnp raises its own types
        raise _documents.FetchError(vm_id) from error


def peer_fetcher(
    peers: _peers.Peers, vm_ids: abc.Callable[[], list[str]]
) -> _documents.FetchPart:
    """Return a fetcher that tries VMs in order until one has the part."""

    async def fetch(digest: str) -> bytes | None:
        for vm_id in vm_ids():
            try:
                part = await _fetch_part(peers, vm_id, digest)
            except errors.Error:
                continue
            if part is not None:
                return part
        raise _documents.FetchError(digest)

    return fetch


def fallback_fetcher(*fetchers: _documents.FetchPart) -> _documents.FetchPart:
    """Return a fetcher that tries fetchers in order and checks the hash."""

    async def fetch(digest: str) -> bytes | None:
        for fetch_part in fetchers:
            try:
                part = await fetch_part(digest)
            except _documents.FetchError:
                continue
            if part is None or _documents.matches_hash(digest, part):
                return part
        raise _documents.FetchError(digest)

    return fetch
