"""HTTP client of the VM list; sites with another API replace this module.

docs/interfaces/vm-list.md describes requests, responses and errors.
"""

import httpx
import msgspec

from mustardlb import endpoint_tls
from mustardlb import http_transport
from mustardlb import vm_list

CALL_TIMEOUT_SECONDS = 3.0


class _Listing(msgspec.Struct, frozen=True):
    vms: tuple[vm_list.Vm, ...]


class HttpVmList:
    """VmList client over HTTP."""

    def __init__(
        self,
        url: str,
        timeout: float = CALL_TIMEOUT_SECONDS,
        authority: str = '',
    ) -> None:
        self._client = httpx.AsyncClient(
            base_url=url,
            transport=http_transport.make_transport(
                endpoint_tls.httpx_verify(url, authority)
            ),
            timeout=timeout,
            trust_env=False,
        )

    async def close(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    async def list_vms(self) -> tuple[vm_list.Vm, ...]:
        """See VmList."""
        try:
            response = await self._client.get('/vms')
            response.raise_for_status()
            return msgspec.json.decode(response.content, type=_Listing).vms
        except (httpx.HTTPError, msgspec.MsgspecError) as error:
            raise vm_list.VmListUnavailable(repr(error)) from error
