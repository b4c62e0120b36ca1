"""A simulated plain service with bookings, echo, upload and download."""

import collections
from collections import abc
import dataclasses
import hashlib
from typing import Any

import msgspec
import quart
import quart_trio
import trio

from mustardlb_standins import faults
from mustardlb_standins import web

# Size of a chunk of a download.
CHUNK_BYTES = 16_384

_METHODS = ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS']


class _Booking(msgspec.Struct):
    reference: str


@dataclasses.dataclass(slots=True)
class PlainService:
    """The state of the simulated service.

    The fault steps are 'booking:<reference>' and 'echo'.

    :ivar booking_time: duration of a booking in seconds
    :ivar runs: number of runs of each booking, by reference
    :ivar received: all received requests
    :ivar running: number of bookings in progress
    """

    booking_time: float = 0.01
    plan: faults.FaultPlan = dataclasses.field(
        default_factory=faults.FaultPlan
    )
    runs: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    received: list[Any] = dataclasses.field(default_factory=list)
    running: int = 0

    async def book(self, reference: str) -> int:
        """Run a booking and return its number of runs.

        Raises faults.NoResponse.
        """

        async def effect() -> int:
            self.running += 1
            await trio.sleep(self.booking_time)
            self.running -= 1
            self.runs[reference] += 1
            return self.runs[reference]

        return await self.plan.run(f'booking:{reference}', effect)

    def repeated_bookings(self) -> dict[str, int]:
        """Return the bookings that ran more than once, with their counts."""
        return {name: runs for name, runs in self.runs.items() if runs > 1}


def build(service: PlainService) -> quart_trio.QuartTrio:
    """Return the HTTP application of a service."""
    app = web.build_app(service.plan)
    _add_bookings(app, service)
    _add_echo(app, service)
    _add_transfers(app, service)

    @app.get('/load')
    async def load_report() -> web.Response:
        return {
            'incarnation': f'd{id(service)}',
            'slots': 0,
            'resident': [],
            'running': service.running,
            'waiting': 0,
            'batch_limit': 64,
        }

    @app.get('/check/received')
    async def received() -> web.Response:
        return web.json_response(service.received)

    @app.get('/check/runs')
    async def runs() -> web.Response:
        return web.json_response(dict(service.runs))

    return app


def _add_bookings(app: quart_trio.QuartTrio, service: PlainService) -> None:
    @app.post('/bookings')
    async def book() -> web.Response:
        body = await web.read_and_record(service.received)
        try:
            booking = msgspec.json.decode(body, type=_Booking)
        except msgspec.MsgspecError as error:
            return {'error': str(error)}, 400
        runs = await service.book(booking.reference)
        return {'reference': booking.reference, 'runs': runs}, 201

    @app.get('/bookings/<path:reference>')
    async def count_runs(reference: str) -> web.Response:
        await web.read_and_record(service.received)
        return {'reference': reference, 'runs': service.runs[reference]}


def _add_echo(app: quart_trio.QuartTrio, service: PlainService) -> None:
    @app.route('/echo', methods=_METHODS)
    @app.route('/echo/<path:rest>', methods=_METHODS)
    async def echo(rest: str = '') -> web.Response:
        body = await web.read_and_record(service.received)

        async def effect() -> web.Response:
            return {
                'method': quart.request.method,
                'path': quart.request.path,
                'query': quart.request.query_string.decode('latin-1'),
                'headers': list(quart.request.headers.items()),
                'body': body.decode('latin-1'),
            }

        return await service.plan.run('echo', effect)


def _add_transfers(app: quart_trio.QuartTrio, service: PlainService) -> None:
    @app.post('/upload')
    async def upload() -> web.Response:
        digest = hashlib.sha256()
        size = 0
        async for chunk in quart.request.body:
            digest.update(chunk)
            size += len(chunk)
        web.record_request(service.received, b'')
        return {'size': size, 'sha256': digest.hexdigest()}

    @app.get('/download/<int:size>')
    async def download(size: int) -> web.Response:
        await web.read_and_record(service.received)
        response = quart.Response(_body_chunks(size))
        response.timeout = None
        return response


async def _body_chunks(size: int) -> abc.AsyncIterator[bytes]:
    for start in range(0, size, CHUNK_BYTES):
        yield b'x' * min(CHUNK_BYTES, size - start)
