"""Helpers of the HTTP applications of the simulators."""

from collections import abc
import contextlib
import json
from typing import Any

from hypercorn import config as hypercorn_config
from hypercorn import trio as hypercorn_trio
import msgspec
import quart
import quart_trio
import trio

from mustardlb_standins import faults

# Return value of a view.
Response = Any

# Maximum number of pending connections of a listening socket.
BACKLOG = 512


def build_app(plan: faults.FaultPlan) -> quart_trio.QuartTrio:
    """Return an application with `PUT /faults` and `GET /faults`."""
    app = quart_trio.QuartTrio('mustardlb_standins')

    @app.put('/faults')
    async def put_faults() -> Response:
        plan.reset(*faults.decode_plan(await read_body()))
        return '', 204

    @app.get('/faults')
    async def get_faults() -> Response:
        return json_response({'hits': plan.hits})

    @app.errorhandler(faults.NoResponse)
    async def no_response(error: faults.NoResponse) -> Response:
        return '', 503

    return app


def json_response(
    value: object, status: int = 200, **headers: str
) -> Response:
    """Return a response with a value encoded as JSON by msgspec."""
    headers['Content-Type'] = 'application/json'
    return msgspec.json.encode(value), status, headers


@contextlib.asynccontextmanager
async def serving(
    app: quart_trio.QuartTrio,
    port: int = 0,
    background: abc.Callable[[], abc.Awaitable[None]] | None = None,
) -> abc.AsyncIterator[str]:
    """Serve on the loopback interface and yield the URL.

    `background` runs in a task until the server stops.
    """
    config = hypercorn_config.Config()
    config.bind = [f'127.0.0.1:{port}']
    config.backlog = BACKLOG
    config.accesslog = None
    config.errorlog = None
    config.graceful_timeout = 1.0
    config.keep_alive_timeout = 60.0
    async with trio.open_nursery() as nursery:
        if background is not None:
            nursery.start_soon(background)
        binds = await nursery.start(hypercorn_trio.serve, app, config)
        yield binds[0]
        nursery.cancel_scope.cancel()


async def run(
    app: quart_trio.QuartTrio,
    port: int = 0,
    background: abc.Callable[[], abc.Awaitable[None]] | None = None,
) -> None:
    """Print the address as a line of JSON and serve until cancelled."""
    async with serving(app, port, background) as address:
        line = json.dumps({'listening': address})
        print(line, flush=True)  # noqa: T201
        await trio.sleep_forever()


class Received(msgspec.Struct, frozen=True):
    """A received request."""

    method: str
    path: str
    query: str
    headers: list[tuple[str, str]]
    body: str


async def read_body() -> bytes:
    """Return the body of the request."""
    body = await quart.request.get_data(as_text=False)
    return body if isinstance(body, bytes) else body.encode()


async def read_and_record(received: list[Any]) -> bytes:
    """Record the request in `received` and return its body."""
    body = await read_body()
    record_request(received, body)
    return body


def record_request(received: list[Any], body: bytes) -> None:
    """Record the request in `received`, with the given body."""
    request = quart.request
    received.append(
        Received(
            request.method,
            request.path,
            request.query_string.decode('latin-1'),
            list(request.headers.items()),
            body.decode('latin-1'),
        )
    )
