"""The VM list over HTTP; a site's own flavour is this file to change.

docs/interfaces/vm-list.md describes request, response and errors.
"""

import httpx
import msgspec

from mustardlb import endpoint_tls
from mustardlb import vm_list

# Longest time for the answer of a call, seconds.
CALL_TIMEOUT_SECONDS = 3.0


class _Listing(msgspec.Struct, frozen=True):
    vms: tuple[vm_list.Vm, ...]


class HttpVmList:
    """A VmList that speaks HTTP."""

    def __init__(
        self,
        url: str,
        timeout: float = CALL_TIMEOUT_SECONDS,
        authority: str = '',
    ) -> None:
        self._client = httpx.AsyncClient(
            base_url=url,
            verify=endpoint_tls.httpx_verify(url, authority),
            timeout=timeout,
            trust_env=False,
        )

    async def close(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    async def list_vms(self) -> tuple[vm_list.Vm, ...]:
        """See VmList."""
        try:
            answer = await self._client.get('/vms')
            answer.raise_for_status()
            return msgspec.json.decode(answer.content, type=_Listing).vms
        except (httpx.HTTPError, msgspec.MsgspecError) as error:
            raise vm_list.VmListUnavailable(repr(error)) from error
