"""The operators' port: status and histograms of this node."""

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

# Longest wait for a revision, seconds.
MAX_WAIT = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class Admin:
    """The parts of the operators' port."""

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
    """Serve operators until `end` is set; `task_status` gives the port.

    `stop` is the callers' port's: status shows that the node is draining.
    """
    await _http_server.serve(
        build(Admin(dependencies, metrics, stop)),
        settings,
        stop=end.wait,
        task_status=task_status,
    )


def build(admin: Admin) -> _asgi.App:
    """Make the application that operators speak to."""
    app = _asgi.App('mustardlbd-admin')
    for path, query in (
        ('/v1/status', _show_status),
        ('/v1/histograms', _show_histograms),
    ):
        app.add_url_rule(path, path, _handler(admin, query))
    return app


Query = abc.Callable[[Admin, abc.Mapping[str, str]], abc.Awaitable[object]]


def _handler(admin: Admin, query: Query) -> _asgi.Handler:
    async def handle() -> quart.Response:
        arguments = quart.request.args.to_dict()
        return _asgi.DirectResponse(
            functools.partial(_answer, admin, query, arguments)
        )

    return handle


async def _answer(
    admin: Admin,
    query: Query,
    arguments: abc.Mapping[str, str],
    reply: _asgi.Reply,
) -> None:
    try:
        await reply.json(200, await query(admin, arguments))
    except errors.Error as error:
        await reply.error(error)
    await reply.finish()


async def _show_status(
    admin: Admin, arguments: abc.Mapping[str, str]
) -> object:
    """Show the node's state, once a revision is in force if one is given."""
    revision = _number(arguments, 'revision', 2**63)
    wait = _number(arguments, 'wait', MAX_WAIT)
    if revision:
        await admin.dependencies.wait_revision(int(revision), wait)
    draining = {'draining': admin.stop.is_set()}
    return {**admin.dependencies.status(), **draining}


async def _show_histograms(
    admin: Admin, arguments: abc.Mapping[str, str]
) -> object:
    """Show the times of requests by account and class."""
    return {'histograms': admin.metrics.describe()}


def _number(arguments: abc.Mapping[str, str], name: str, most: float) -> float:
    text = arguments.get(name, '0')
    try:
        number = float(text)
    except ValueError:
        number = math.nan
    if 0 <= number <= most:
        return number
    raise errors.Error(
        errors.Code.BAD_REQUEST,
        f'{name} must be a number from 0 to {most:g}',
        steps.Step.ADMISSION,
        not_run=True,
    )
