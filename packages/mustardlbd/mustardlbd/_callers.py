"""Callers' port: model calls, plain services, health checks."""

from collections import abc
import contextlib
import dataclasses
import functools
from typing import Any

import quart
import structlog
import trio

from mustardlb import clock
from mustardlb import decoded_configuration
from mustardlb import engine
from mustardlb import errors
from mustardlb import steps
from mustardlbd import _admission
from mustardlbd import _asgi
from mustardlbd import _caller_settings
from mustardlbd import _concurrency
from mustardlbd import _dependencies
from mustardlbd import _http_server
from mustardlbd import _metrics
from mustardlbd import _model_call
from mustardlbd import _model_service
from mustardlbd import _plain_service
from mustardlbd import _request_body
from mustardlbd import _retry_budget
from mustardlbd import _target_client

log = structlog.get_logger()

# Outcomes in metrics; the others are error codes.
OUTCOME_ANSWERED = 'answered'
OUTCOME_DISCONNECTED = 'gone'


@dataclasses.dataclass(frozen=True, slots=True)
class CallerService:
    """Objects that serve the callers' port."""

    dependencies: _dependencies.Dependencies
    settings: _caller_settings.CallerSettings
    models: _model_service.ModelService
    services: _plain_service.PlainService
    concurrency: _concurrency.Concurrency
    metrics: _metrics.Metrics
    stop: trio.Event

    @property
    def configuration(self) -> decoded_configuration.Configuration:
        """Decoded active configuration."""
        return self.dependencies.configuration()


RequestHandler = abc.Callable[
    [CallerService, _asgi.Request, _asgi.ResponseWriter], abc.Awaitable[None]
]


async def serve(
    dependencies: _dependencies.Dependencies,
    settings: _caller_settings.CallerSettings,
    metrics: _metrics.Metrics,
    *,
    stop: trio.Event,
    task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve callers until `stop` is set; `task_status` gets the port.

    Once `stop` is set, the readiness check fails immediately. Requests are
    accepted for another `drain_delay`, and requests in flight are completed.
    """
    client = _target_client.Client()
    retries = _retry_budget.RetryBudget()
    service = CallerService(
        dependencies,
        settings,
        _model_service.ModelService(dependencies, settings, client, retries),
        _plain_service.PlainService(
            dependencies,
            settings,
            client,
            retries,
            _plain_service.ServiceTargets(),
        ),
        _concurrency.Concurrency(settings.max_requests, settings.max_queued),
        metrics,
        stop,
    )

    async def wait_for_stop() -> None:
        await stop.wait()
        log.info('MLB-4005', notice_time=settings.drain_delay)
        await trio.sleep(settings.drain_delay)

    try:
        await _http_server.serve(
            build(service),
            settings.server,
            stop=wait_for_stop,
            task_status=task_status,
        )
    finally:
        with trio.CancelScope(shield=True):
            await client.aclose()


def build(service: CallerService) -> _asgi.App:
    """Return the application of the callers' port."""
    app = _asgi.App('mustardlbd')
    for path in (engine.CHAT_PATH, engine.COMPLETIONS_PATH):
        handler = functools.partial(_run_model_call, path)
        app.add_url_rule(
            path, path, _make_handler(service, handler), methods=['POST']
        )
    for path, query in (
        ('/v1/models', _list_models),
        ('/healthz', _show_health),
        ('/readyz', _show_readiness),
    ):
        app.add_url_rule(path, path, _make_handler(service, query))
    # All other paths belong to plain services, which accept any method.
    # Quart's routes would have to list each method.
    app.fallback_handler = _make_handler(service, _run_plain_call)
    return app


def _make_handler(
    service: CallerService, handler: RequestHandler
) -> _asgi.Handler:
    async def handle() -> quart.Response:
        request: Any = quart.request
        return _asgi.DirectResponse(
            functools.partial(
                _handle_request,
                service,
                handler,
                request._get_current_object(),
            )
        )

    return handle


async def _handle_request(
    service: CallerService,
    handler: RequestHandler,
    request: _asgi.Request,
    writer: _asgi.ResponseWriter,
) -> None:
    """Run a handler; an exception becomes an error response."""
    if service.stop.is_set():
        writer.add_connection_close(request.http_version)
    try:
        _check_headers(service, request)
        await handler(service, request, writer)
    except errors.Error as error:
        await _send_error(request, writer, error)
    except Exception as error:
        # The text of an internal error may contain secrets.
        log.error('MLB-4020', error=type(error).__name__, exc_info=True)
        internal = errors.Error(
            errors.Code.INTERNAL,
            'the node failed to handle the request',
            steps.Step.ADMISSION,
        )
        await _send_error(request, writer, internal)
    else:
        await writer.finish()


async def _send_error(
    request: _asgi.Request, writer: _asgi.ResponseWriter, error: errors.Error
) -> None:
    if writer.started:
        # The caller recognizes a response without an end as truncated.
        log.warning('MLB-4014', code=str(error.code), peer=error.peer)
        return
    log.info(
        'MLB-4021',
        code=str(error.code),
        step=str(error.step),
        peer=error.peer,
        not_run=error.not_run,
    )
    await writer.send_error(error)
    # Closing the connection with unread data could discard the response.
    await _request_body.discard(request)
    await writer.finish()


def _check_headers(service: CallerService, request: _asgi.Request) -> None:
    headers = request.scope['headers']
    size = len(request.scope['raw_path']) + len(request.scope['query_string'])
    size += sum(len(name) + len(value) + 4 for name, value in headers)
    if size <= service.settings.server.max_header_bytes:
        return
    raise errors.Error(
        errors.Code.HEADERS_TOO_LARGE,
        f'the path and headers exceed'
        f' {service.settings.server.max_header_bytes} bytes',
        steps.Step.ADMISSION,
        not_run=True,
    )


async def _run_model_call(
    path: str,
    service: CallerService,
    request: _asgi.Request,
    writer: _asgi.ResponseWriter,
) -> None:
    """Admit a model call, reserve its tokens, run it and settle them."""
    caller = _admit(service, request)
    contract = caller.contract
    timer = _make_timer(service, contract.account, contract.traffic_class)
    writer.on_block = timer.record_block
    with _record_outcome(timer):
        body = await _request_body.read_whole(request, service.settings)
        call = _model_call.parse(body, caller, service.settings)
        async with service.concurrency.slot(
            contract.account,
            contract.concurrency,
            service.settings.queue_timeout,
        ):
            await _reserve_and_run(service, caller, path, call, writer)


async def _reserve_and_run(
    service: CallerService,
    caller: _admission.Caller,
    path: str,
    call: _model_call.ModelCall,
    writer: _asgi.ResponseWriter,
) -> None:
    dependencies = service.dependencies
    reservation = await dependencies.reserve(
        caller.record.account, call.cost, service.settings.token_timeout
    )
    # A call that ends before its usage is known is charged in full.
    used_tokens = call.cost
    try:
        used_tokens = await _model_service.run(
            service.models, caller, path, call, writer
        )
    except errors.Error as error:
        if error.not_run:
            used_tokens = 0
        raise
    finally:
        reservation.settle(used_tokens)


async def _run_plain_call(
    service: CallerService,
    request: _asgi.Request,
    writer: _asgi.ResponseWriter,
) -> None:
    """Admit a call of a plain service and forward it."""
    route = decoded_configuration.route_for(
        service.configuration, request.path
    )
    if route is None or request.path.startswith('/v1/'):
        raise errors.Error(
            errors.Code.ROUTE_NOT_FOUND,
            'no route matches the path',
            steps.Step.ADMISSION,
            not_run=True,
        )
    caller = None if route.open else _admit(service, request)
    account, traffic_class = _metrics.PUBLIC, _metrics.PUBLIC
    limit = service.settings.max_requests
    if caller is not None:
        account = caller.contract.account
        traffic_class = caller.contract.traffic_class
        limit = caller.contract.concurrency
    timer = _make_timer(service, account, traffic_class)
    writer.on_block = timer.record_block
    with _record_outcome(timer):
        call = _plain_service.parse(request, route, caller)
        async with service.concurrency.slot(
            account, limit, service.settings.queue_timeout
        ):
            await _plain_service.run(service.services, call, request, writer)


async def _list_models(
    service: CallerService,
    request: _asgi.Request,
    writer: _asgi.ResponseWriter,
) -> None:
    """Return the models granted to the account; patterns are not expanded."""
    caller = _admit(service, request)
    names = [*caller.contract.models, *caller.contract.grants]
    models = [
        {'id': name, 'object': 'model', 'owned_by': caller.contract.account}
        for name in names
    ]
    await writer.send_json(200, {'object': 'list', 'data': models})


async def _show_health(
    service: CallerService,
    request: _asgi.Request,
    writer: _asgi.ResponseWriter,
) -> None:
    """Return that the process is running."""
    await writer.send_json(200, {'healthy': True})


async def _show_readiness(
    service: CallerService,
    request: _asgi.Request,
    writer: _asgi.ResponseWriter,
) -> None:
    """Return whether load balancers should send requests to this node."""
    if service.stop.is_set():
        raise errors.Error(
            errors.Code.NODE_STOPPING,
            'the node is stopping',
            steps.Step.STOP,
            not_run=True,
        )
    service.dependencies.check_ready()
    await writer.send_json(200, {'ready': True})


def _make_timer(
    service: CallerService, account: str, traffic_class: str
) -> _metrics.RequestTimer:
    return _metrics.RequestTimer(
        service.metrics, account, traffic_class, clock.boottime()
    )


@contextlib.contextmanager
def _record_outcome(timer: _metrics.RequestTimer) -> abc.Iterator[None]:
    """Record the outcome and the duration of a request."""
    outcome = OUTCOME_DISCONNECTED
    try:
        yield
        outcome = OUTCOME_ANSWERED
    except errors.Error as error:
        outcome = str(error.code)
        raise
    finally:
        timer.record_end(outcome, clock.boottime())


def _admit(
    service: CallerService, request: _asgi.Request
) -> _admission.Caller:
    service.dependencies.check_fresh(steps.Step.ADMISSION)
    return _admission.admit(service.configuration, request.scope['headers'])
