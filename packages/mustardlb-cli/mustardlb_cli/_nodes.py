"""Asking the nodes at their admin ports."""

from collections import abc
import dataclasses
from typing import Any

import httpx
import msgspec
import trio

from mustardlb import vm_list
from mustardlb_cli import _exit
from mustardlb_cli import _site

# Connections open to nodes at one time.
CONCURRENT = 64

# What stands for no answer, or none that can be read.
_FAILURES = (
    httpx.HTTPError,
    httpx.InvalidURL,
    msgspec.MsgspecError,
    ValueError,
)


class NodeStatus(msgspec.Struct, frozen=True):
    """What a node says of itself.

    :ivar incarnation: number of its process, which a restart changes
    :ivar revision: revision of the configuration in force at the node
    :ivar accepted_revision: revision that it knows to be accepted
    :ivar age: seconds since its knowledge was the newest, None for never
    :ivar ready: whether it takes new requests
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
    """What became of a question to one VM.

    :ivar status: its answer, None where it gave none
    :ivar problem: why there is no answer
    """

    vm: vm_list.Vm
    status: NodeStatus | None = None
    problem: str = ''


async def list_vms(site: _site.Site) -> tuple[vm_list.Vm, ...]:
    """Read the VM list. Raises CommandError if it does not answer."""
    try:
        found = await site.vms.list_vms()
    except vm_list.VmListUnavailable as error:
        raise _exit.CommandError(
            _exit.ExitCode.UNAVAILABLE, f'the VM list gave no answer: {error}'
        ) from error
    return tuple(sorted(found, key=lambda vm: vm.vm_id))


async def ask_status(
    site: _site.Site,
    vms: abc.Sequence[vm_list.Vm],
    revision: int = 0,
    wait: float = 0.0,
    patience: float = _site.ADMIN_TIMEOUT,
) -> list[Reply]:
    """Ask VMs for their status; each waits for the revision if it can.

    A VM has `patience` seconds beyond that wait to answer.
    """
    query = {'revision': str(revision), 'wait': f'{wait:.3f}'}

    async def ask(vm: vm_list.Vm) -> Reply:
        try:
            body = await _get(site, vm, '/v1/status', query, wait + patience)
            status = msgspec.json.decode(body, type=NodeStatus)
        except _FAILURES as error:
            return Reply(vm, None, _problem(error))
        if status.vm_id != vm.vm_id:
            return Reply(vm, None, f'{status.vm_id} answers in its place')
        return Reply(vm, status)

    return await _all(vms, ask)


async def ask_histograms(
    site: _site.Site, vms: abc.Sequence[vm_list.Vm]
) -> list[tuple[vm_list.Vm, list[dict[str, Any]], str]]:
    """Ask VMs for their histograms: (VM, histograms, problem) for each."""

    async def ask(
        vm: vm_list.Vm,
    ) -> tuple[vm_list.Vm, list[dict[str, Any]], str]:
        try:
            body = await _get(
                site, vm, '/v1/histograms', {}, _site.ADMIN_TIMEOUT
            )
            decoded = msgspec.json.decode(body, type=_Histograms)
        except _FAILURES as error:
            return vm, [], _problem(error)
        return vm, decoded.histograms, ''

    return await _all(vms, ask)


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
    answer = await site.admin.get(
        f'{site.admin_scheme}://{host}:{vm.admin_port}{path}',
        params=query,
        timeout=timeout,
    )
    answer.raise_for_status()
    return answer.content


async def _all(
    vms: abc.Sequence[vm_list.Vm],
    ask: abc.Callable[[vm_list.Vm], abc.Awaitable[Any]],
) -> list[Any]:
    """Ask all VMs at once; the answers are in the order of the VMs."""
    replies: list[Any] = [None] * len(vms)
    limiter = trio.CapacityLimiter(CONCURRENT)

    async def run(index: int, vm: vm_list.Vm) -> None:
        async with limiter:
            replies[index] = await ask(vm)

    async with trio.open_nursery() as nursery:
        for index, vm in enumerate(vms):
            nursery.start_soon(run, index, vm)
    return replies


def _problem(error: Exception) -> str:
    if isinstance(error, httpx.HTTPStatusError):
        return f'status {error.response.status_code}'
    if isinstance(error, httpx.TimeoutException):
        return 'no answer in time'
    return str(error) or type(error).__name__
