"""A simulated weight store, in memory and over HTTP."""

from collections import abc
import dataclasses

import httpx
import quart_trio
import trio

from mustardlb import weight_store
from mustardlb_standins import faults
from mustardlb_standins import web

# Interval at which the rate of a load is adjusted to the number of loads.
TICK_SECONDS = 0.025

# Fetches the weights of a model. Raises OSError.
Fetch = abc.Callable[[str], abc.Awaitable[None]]


@dataclasses.dataclass(slots=True)
class MemoryWeightStore:
    """A weight store with a rate limit; fault steps are 'fetch:<model>'.

    :ivar load_time: seconds of a load at full speed
    :ivar in_transit: number of loads in progress
    :ivar most_in_transit: maximum of `in_transit` so far
    :ivar loads: number of loads started so far
    :ivar models: models of these loads, in order
    """

    load_time: float = weight_store.FULL_SPEED_LOAD_SECONDS
    plan: faults.FaultPlan = dataclasses.field(
        default_factory=faults.FaultPlan
    )
    in_transit: int = 0
    most_in_transit: int = 0
    loads: int = 0
    models: list[str] = dataclasses.field(default_factory=list)

    async def fetch(self, model: str) -> None:
        """Send the weights of a model. Raises OSError."""
        fault = self.plan.next_fault(f'fetch:{model}')
        if fault is not None and fault.kind is faults.Kind.FAIL:
            await trio.sleep(fault.seconds)
            raise OSError('load of the weights failed')

        async def effect() -> None:
            await self._send(model)

        if fault is None:
            return await effect()
        try:
            return await faults.inject(fault, effect)
        except faults.NoResponse as error:
            raise OSError('weight store did not respond') from error

    async def transit_report(self) -> weight_store.TransitReport:
        """See WeightStore."""
        return weight_store.TransitReport(
            self.in_transit, self.most_in_transit, self.loads
        )

    async def _send(self, model: str) -> None:
        self.loads += 1
        self.models.append(model)
        self.in_transit += 1
        self.most_in_transit = max(self.most_in_transit, self.in_transit)
        try:
            remaining = self.load_time
            while remaining > 1e-9:
                tick = min(TICK_SECONDS, remaining)
                await trio.sleep(tick)
                remaining -= tick * self._speed()
        finally:
            self.in_transit -= 1

    def _speed(self) -> float:
        return min(
            1.0, weight_store.MAX_FULL_SPEED_LOADS / max(self.in_transit, 1)
        )


def build(store: MemoryWeightStore) -> quart_trio.QuartTrio:
    """Return the application; see docs/interfaces/weight-store.md."""
    app = web.build_app(store.plan)

    @app.get('/weights/<path:model>')
    async def fetch(model: str) -> web.Response:
        try:
            await store.fetch(model)
        except OSError:
            return '', 503
        return model, 200

    @app.get('/transit')
    async def transit() -> web.Response:
        return web.json_response(await store.transit_report())

    return app


def http_fetch(url: str) -> Fetch:
    """Return a function that fetches weights from the store at a URL."""
    client = httpx.AsyncClient(base_url=url, timeout=60.0, trust_env=False)

    async def fetch(model: str) -> None:
        try:
            response = await client.get(f'/weights/{model}')
            response.raise_for_status()
        except httpx.HTTPError as error:
            raise OSError(repr(error)) from error

    return fetch
