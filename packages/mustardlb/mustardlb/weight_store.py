"""Client of the weight store; sites with another API replace this module.

Nodes transfer no weights: an engine pulls them from the store when it receives
a load command. docs/interfaces/weight-store.md describes requests, responses
and errors.
"""

from typing import Protocol

import httpx
import msgspec

from mustardlb import endpoint_tls
from mustardlb import http_transport

# Up to this number of concurrent loads in the fleet, each runs at full speed.
MAX_FULL_SPEED_LOADS = 8

FULL_SPEED_LOAD_SECONDS = 0.25

CALL_TIMEOUT_SECONDS = 3.0


class WeightStoreUnavailable(Exception):
    """The weight store sent no valid response."""


class TransitReport(msgspec.Struct, frozen=True):
    """The transfers of the weight store.

    :ivar in_transit: number of loads in progress
    :ivar most_in_transit: maximum of `in_transit` so far
    :ivar loads: number of loads started so far
    """

    in_transit: int
    most_in_transit: int
    loads: int


class WeightStore(Protocol):
    """Interface of the weight store."""

    async def transit_report(self) -> TransitReport:
        """Return the current transfers. Raises WeightStoreUnavailable."""


class HttpWeightStore:
    """WeightStore client over HTTP."""

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

    async def transit_report(self) -> TransitReport:
        """See WeightStore."""
        try:
            response = await self._client.get('/transit')
            response.raise_for_status()
            return msgspec.json.decode(response.content, type=TransitReport)
        except (httpx.HTTPError, msgspec.MsgspecError) as error:
            raise WeightStoreUnavailable(repr(error)) from error
