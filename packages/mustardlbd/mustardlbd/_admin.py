"""Operators' port: status and histograms of this node."""

from collections import abc
import dataclasses
import functools
import math

import quart
import trio

from mustardlb import errors
from mustardlb import steps
from mustardlbd import _asgi
from mustardlbd import _dependencies
from mustardlbd import _http_connection
from mustardlbd import _http_server
from mustardlbd import _metrics

MAX_WAIT_SECONDS = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class AdminService:
    """Objects that serve the operators' port."""

    dependencies: _dependencies.Dependencies
    metrics: _metrics.Metrics
    stop: trio.Event


async def serve_admin(
    dependencies: _dependencies.Dependencies,
    settings: _http_connection.ServerSettings,
    metrics: _metrics.Metrics,
    *,
    stop: trio.Event,
    end: trio.Event,
    task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve operators until `end` is set; `task_status` gets the port.

    The status reports the node as draining once `stop` is set.
    """
    await _http_server.serve(
        build(AdminService(dependencies, metrics, stop)),
        settings,
        stop=end.wait,
        task_status=task_status,
    )


def build(service: AdminService) -> _asgi.App:
    """Return the application of the operators' port."""
    app = _asgi.App('mustardlbd-admin')
    for path, query in (
        ('/v1/status', _show_status),
        ('/v1/histograms', _show_histograms),
    ):
        app.add_url_rule(path, path, _make_handler(service, query))
    return app


QueryHandler = abc.Callable[
    [AdminService, abc.Mapping[str, str]], abc.Awaitable[object]
]


def _make_handler(service: AdminService, query: QueryHandler) -> _asgi.Handler:
    async def handle() -> quart.Response:
        arguments = quart.request.args.to_dict()
        return _asgi.DirectResponse(
            functools.partial(_respond, service, query, arguments)
        )

    return handle


async def _respond(
    service: AdminService,
    query: QueryHandler,
    arguments: abc.Mapping[str, str],
    writer: _asgi.ResponseWriter,
) -> None:
    try:
        await writer.send_json(200, await query(service, arguments))
    except errors.Error as error:
        await writer.send_error(error)
    await writer.finish()


async def _show_status(
    service: AdminService, arguments: abc.Mapping[str, str]
) -> object:
    """Return the node's state, after an optional wait for a revision."""
    revision = _parse_number(arguments, 'revision', 2**63)
    wait = _parse_number(arguments, 'wait', MAX_WAIT_SECONDS)
    if revision:
        await service.dependencies.wait_for_revision(int(revision), wait)
    draining = {'draining': service.stop.is_set()}
    return {**service.dependencies.status(), **draining}


async def _show_histograms(
    service: AdminService, arguments: abc.Mapping[str, str]
) -> object:
    """Return the request latencies by account and traffic class."""
    return {'histograms': service.metrics.describe()}


def _parse_number(
    arguments: abc.Mapping[str, str], name: str, max_value: float
) -> float:
    text = arguments.get(name, '0')
    try:
        number = float(text)
    except ValueError:
        number = math.nan
    if 0 <= number <= max_value:
        return number
    raise errors.Error(
        errors.Code.BAD_REQUEST,
        f'{name} must be a number from 0 to {max_value:g}',
        steps.Step.ADMISSION,
        not_run=True,
    )
