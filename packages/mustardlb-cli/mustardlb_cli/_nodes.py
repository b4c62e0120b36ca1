"""Requests to the admin ports of the nodes."""

from collections import abc
import dataclasses
from typing import Any

import httpx
import msgspec
import trio

from mustardlb import vm_list
from mustardlb_cli import _exit
from mustardlb_cli import _site

MAX_CONNECTIONS = 64

# Exceptions for a missing or malformed response.
_FAILURES = (
    httpx.HTTPError,
    httpx.InvalidURL,
    msgspec.MsgspecError,
    ValueError,
)


class NodeStatus(msgspec.Struct, frozen=True):
    """The status that a node reports.

    :ivar incarnation: number of its process, which changes on restart
    :ivar revision: revision of the active configuration
    :ivar accepted_revision: newest revision that the node has confirmed to
        be accepted
    :ivar age: staleness of its configuration in seconds, None if it has
        never been confirmed
    :ivar ready: whether it accepts new requests
    """

    vm_id: str
    revision: int
    incarnation: int = 0
    accepted_revision: int = 0
    age: float | None = None
    ready: bool | None = None
    version: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """The result of a status request to one VM.

    :ivar status: reported status, None if the request failed
    :ivar problem: reason of the failure, else empty
    """

    vm: vm_list.Vm
    status: NodeStatus | None = None
    problem: str = ''


async def list_vms(site: _site.Site) -> tuple[vm_list.Vm, ...]:
    """Return the listed VMs, by id. Raises CommandError on failure."""
    try:
        found = await site.vms.list_vms()
    except vm_list.VmListUnavailable as error:
        raise _exit.CommandError(
            _exit.ExitCode.UNAVAILABLE, f'the VM list is unavailable: {error}'
        ) from error
    return tuple(sorted(found, key=lambda vm: vm.vm_id))


async def fetch_status(
    site: _site.Site,
    vms: abc.Sequence[vm_list.Vm],
    revision: int = 0,
    wait: float = 0.0,
    response_timeout: float = _site.ADMIN_TIMEOUT_SECONDS,
) -> list[Reply]:
    """Return a reply for each VM, in the order of the VMs.

    Each VM delays its response until it has the revision, at most `wait`
    seconds. A request fails `response_timeout` seconds after that time.
    """
    query = {'revision': str(revision), 'wait': f'{wait:.3f}'}

    async def fetch(vm: vm_list.Vm) -> Reply:
        try:
            body = await _get(
                site, vm, '/v1/status', query, wait + response_timeout
            )
            status = msgspec.json.decode(body, type=NodeStatus)
        except _FAILURES as error:
            return Reply(vm, None, _problem(error))
        if status.vm_id != vm.vm_id:
            return Reply(vm, None, f'{status.vm_id} responds at this address')
        return Reply(vm, status)

    return await _fetch_all(vms, fetch)


async def fetch_histograms(
    site: _site.Site, vms: abc.Sequence[vm_list.Vm]
) -> list[tuple[vm_list.Vm, list[dict[str, Any]], str]]:
    """Return (VM, histograms, problem) for each VM."""

    async def fetch(
        vm: vm_list.Vm,
    ) -> tuple[vm_list.Vm, list[dict[str, Any]], str]:
        try:
            body = await _get(
                site, vm, '/v1/histograms', {}, _site.ADMIN_TIMEOUT_SECONDS
            )
            decoded = msgspec.json.decode(body, type=_Histograms)
        except _FAILURES as error:
            return vm, [], _problem(error)
        return vm, decoded.histograms, ''

    return await _fetch_all(vms, fetch)


class _Histograms(msgspec.Struct):
    histograms: list[dict[str, Any]]


async def _get(
    site: _site.Site,
    vm: vm_list.Vm,
    path: str,
    query: dict[str, str],
    timeout: float,
) -> bytes:
    host = f'[{vm.address}]' if ':' in vm.address else vm.address
    response = await site.admin.get(
        f'{site.admin_scheme}://{host}:{vm.admin_port}{path}',
        params=query,
        timeout=timeout,
    )
    response.raise_for_status()
    return response.content


async def _fetch_all(
    vms: abc.Sequence[vm_list.Vm],
    fetch: abc.Callable[[vm_list.Vm], abc.Awaitable[Any]],
) -> list[Any]:
    """Query VMs concurrently; return the results in the order of the VMs."""
    replies: list[Any] = [None] * len(vms)
    limiter = trio.CapacityLimiter(MAX_CONNECTIONS)

    async def run(index: int, vm: vm_list.Vm) -> None:
        async with limiter:
            replies[index] = await fetch(vm)

    async with trio.open_nursery() as nursery:
        for index, vm in enumerate(vms):
            nursery.start_soon(run, index, vm)
    return replies


def _problem(error: Exception) -> str:
    if isinstance(error, httpx.HTTPStatusError):
        return f'status {error.response.status_code}'
    if isinstance(error, httpx.TimeoutException):
        return 'no response in time'
    return str(error) or type(error).__name__
