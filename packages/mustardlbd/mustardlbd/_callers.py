"""The callers' port: models, plain services, health."""

from collections import abc
import functools

import quart
import structlog
import trio

from mustardlb import engine
from mustardlb import errors
from mustardlb import steps
from mustardlbd import _admission
from mustardlbd import _asgi
from mustardlbd import _caller_settings
from mustardlbd import _dependencies
from mustardlbd import _http_server
from mustardlbd import _model_call
from mustardlbd import _model_service
from mustardlbd import _retries
from mustardlbd import _targets_http

log = structlog.get_logger()


def build(
    dependencies: _dependencies.Dependencies,
    settings: _caller_settings.CallerSettings,
    client: _targets_http.Client,
) -> _asgi.App:
    """Make the application that callers speak to."""
    app = _asgi.App('mustardlbd')
    service = _model_service.ModelService(
        dependencies, settings, client, _retries.RetryBudget()
    )
    for path in (engine.CHAT_PATH, engine.COMPLETIONS_PATH):
        app.add_url_rule(
            path,
            path,
            functools.partial(_answer_model_call, service, path),
            methods=['POST'],
        )
    return app


async def _answer_model_call(
    service: _model_service.ModelService, path: str
) -> quart.Response:
    request = quart.request._get_current_object()  # type: ignore[attr-defined]
    write = functools.partial(_model_call_flow, service, path, request)
    return _asgi.DirectResponse(functools.partial(_guarded, write))


async def _guarded(
    write: abc.Callable[[_asgi.Reply], abc.Awaitable[None]],
    reply: _asgi.Reply,
) -> None:
    """Turn errors into answers."""
    try:
        await write(reply)
    except errors.Error as error:
        if reply.started:
            raise
        await _send_error(reply, error)


async def _send_error(reply: _asgi.Reply, error: errors.Error) -> None:
    body = _http_server.error_body(error)
    headers = [
        (b'content-type', b'application/json'),
        (b'content-length', b'%d' % len(body)),
    ]
    if error.retry_after is not None:
        seconds = max(1, -int(-error.retry_after // 1))
        headers.append((b'retry-after', b'%d' % seconds))
    await reply.start(error.status, headers)
    await reply.write(body)
    await reply.finish()


async def _model_call_flow(
    service: _model_service.ModelService,
    path: str,
    request: _asgi.Request,
    reply: _asgi.Reply,
) -> None:
    """Admit, reserve, run and settle one model call."""
    dependencies, settings = service.dependencies, service.settings
    headers = request.scope['headers']
    dependencies.check_fresh(steps.Step.ADMISSION)
    caller = _admission.admit(dependencies.directory(), headers)
    body = await read_body(request, settings)
    call = _model_call.read(body, caller, settings)
    reservation = await dependencies.reserve(
        caller.record.account, call.cost, settings.queue_timeout
    )
    used = call.cost
    try:
        used = await _model_service.run(service, caller, path, call, reply)
    except errors.Error as error:
        used = 0 if error.not_run else call.cost
        raise
    finally:
        reservation.settle(used)


async def read_body(
    request: _asgi.Request, settings: _caller_settings.CallerSettings
) -> bytes:
    """Read a body whole, within the limits of size and time."""
    body = bytearray()
    blocks = aiter(request.body)
    while True:
        with trio.move_on_after(settings.body_timeout) as scope:
            block = await anext(blocks, None)
        if scope.cancelled_caught:
            raise errors.Error(
                errors.Code.REQUEST_TIMEOUT,
                'the body took too long to arrive',
                steps.Step.ADMISSION,
                not_run=True,
            )
        if block is None:
            return bytes(body)
        body += block
        if len(body) > settings.max_body:
            raise errors.Error(
                errors.Code.BODY_TOO_LARGE,
                f'the body is over {settings.max_body} bytes',
                steps.Step.ADMISSION,
                not_run=True,
            )


async def serve(
    dependencies: _dependencies.Dependencies,
    settings: _caller_settings.CallerSettings,
    *,
    stop: trio.Event,
    task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve callers until `stop` is set; `task_status` gives the port."""
    client = _targets_http.Client()
    app = build(dependencies, settings, client)
    try:
        await _http_server.serve(
            app, settings.server, stop=stop.wait, task_status=task_status
        )
    finally:
        with trio.CancelScope(shield=True):
            await client.aclose()
