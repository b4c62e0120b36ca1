"""The stand-in of a plain service: an order desk, echo, up- and download."""

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

# Octets in one chunk of a download.
CHUNK = 16_384

_METHODS = ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS']


class _Booking(msgspec.Struct):
    reference: str


@dataclasses.dataclass(slots=True)
class Desk:
    """The order desk; fault steps are 'booking:<reference>' and so on.

    :ivar runs: how often each booking ran, by reference
    :ivar received: every request as it came
    """

    booking_time: float = 0.01
    plan: faults.Faults = dataclasses.field(default_factory=faults.Faults)
    runs: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    received: list[Any] = dataclasses.field(default_factory=list)
    running: int = 0

    async def book(self, reference: str) -> int:
        """Run a booking; how often it has run. Raises faults.NoAnswer."""

        async def effect() -> int:
            self.running += 1
            await trio.sleep(self.booking_time)
            self.running -= 1
            self.runs[reference] += 1
            return self.runs[reference]

        return await self.plan.around(f'booking:{reference}', effect)

    def doubled(self) -> dict[str, int]:
        """Give the bookings that ran more than once."""
        return {name: runs for name, runs in self.runs.items() if runs > 1}


def build(desk: Desk) -> quart_trio.QuartTrio:
    """Make the HTTP form."""
    app = web.build_app(desk.plan)
    _add_bookings(app, desk)
    _add_echo(app, desk)
    _add_transfers(app, desk)

    @app.get('/load')
    async def load_report() -> web.Answer:
        return {
            'incarnation': f'd{id(desk)}',
            'slots': 0,
            'resident': [],
            'running': desk.running,
            'waiting': 0,
            'batch_limit': 64,
        }

    @app.get('/check/received')
    async def received() -> web.Answer:
        return web.json_answer(desk.received)

    @app.get('/check/runs')
    async def runs() -> web.Answer:
        return web.json_answer(dict(desk.runs))

    return app


def _add_bookings(app: quart_trio.QuartTrio, desk: Desk) -> None:
    @app.post('/bookings')
    async def book() -> web.Answer:
        body = await web.record(desk.received)
        try:
            booking = msgspec.json.decode(body, type=_Booking)
        except msgspec.MsgspecError as error:
            return {'error': str(error)}, 400
        runs = await desk.book(booking.reference)
        return {'reference': booking.reference, 'runs': runs}, 201

    @app.get('/bookings/<path:reference>')
    async def find(reference: str) -> web.Answer:
        await web.record(desk.received)
        return {'reference': reference, 'runs': desk.runs[reference]}


def _add_echo(app: quart_trio.QuartTrio, desk: Desk) -> None:
    @app.route('/echo', methods=_METHODS)
    @app.route('/echo/<path:rest>', methods=_METHODS)
    async def echo(rest: str = '') -> web.Answer:
        body = await web.record(desk.received)

        async def effect() -> web.Answer:
            return {
                'method': quart.request.method,
                'path': quart.request.path,
                'query': quart.request.query_string.decode('latin-1'),
                'headers': list(quart.request.headers.items()),
                'body': body.decode('latin-1'),
            }

        return await desk.plan.around('echo', effect)


def _add_transfers(app: quart_trio.QuartTrio, desk: Desk) -> None:
    @app.post('/upload')
    async def upload() -> web.Answer:
        digest = hashlib.sha256()
        size = 0
        async for chunk in quart.request.body:
            digest.update(chunk)
            size += len(chunk)
        web.note(desk.received, b'')
        return {'size': size, 'sha256': digest.hexdigest()}

    @app.get('/download/<int:size>')
    async def download(size: int) -> web.Answer:
        await web.record(desk.received)
        response = quart.Response(_octets(size))
        response.timeout = None
        return response


async def _octets(size: int) -> abc.AsyncIterator[bytes]:
    for start in range(0, size, CHUNK):
        yield b'x' * min(CHUNK, size - start)
