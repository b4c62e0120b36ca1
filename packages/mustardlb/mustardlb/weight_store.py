"""The weight store; a site's own flavour is this file to change.

Nodes move no weights: an engine pulls from the store when it is ordered to
load. docs/interfaces/weight-store.md describes request, response and errors.
"""

from typing import Protocol

import httpx
import msgspec

from mustardlb import endpoint_tls

# Loads in transit, fleet-wide, up to which each runs at full speed.
MAX_FULL_SPEED_LOADS = 8

# Time of a load at full speed, seconds.
FULL_SPEED_LOAD_SECONDS = 0.25

# Longest time for the answer of a call, seconds.
CALL_TIMEOUT_SECONDS = 3.0


class WeightStoreUnavailable(Exception):
    """The weight store gave no answer."""


class TransitReport(msgspec.Struct, frozen=True):
    """What the store is sending.

    :ivar in_transit: loads on their way now
    :ivar most_in_transit: the most at one time so far
    :ivar loads: loads begun so far
    """

    in_transit: int
    most_in_transit: int
    loads: int


class WeightStore(Protocol):
    """The reports of the weight store."""

    async def transit_report(self) -> TransitReport:
        """Read what is in transit. Raises WeightStoreUnavailable."""


class HttpWeightStore:
    """A WeightStore that speaks HTTP."""

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

    async def transit_report(self) -> TransitReport:
        """See WeightStore."""
        try:
            answer = await self._client.get('/transit')
            answer.raise_for_status()
            return msgspec.json.decode(answer.content, type=TransitReport)
        except (httpx.HTTPError, msgspec.MsgspecError) as error:
            raise WeightStoreUnavailable(repr(error)) from error
