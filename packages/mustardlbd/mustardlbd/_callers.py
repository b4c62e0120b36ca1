"""The callers' port: models, plain services, health."""

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
from mustardlbd import _targets_http

log = structlog.get_logger()

# Outcomes in metrics, beside the codes of errors.
ANSWERED = 'answered'
GONE = 'gone'


@dataclasses.dataclass(frozen=True, slots=True)
class Callers:
    """The parts of the callers' port."""

    dependencies: _dependencies.Dependencies
    settings: _caller_settings.CallerSettings
    models: _model_service.ModelService
    services: _plain_service.PlainService
    concurrency: _concurrency.Concurrency
    metrics: _metrics.Metrics
    stop: trio.Event

    @property
    def directory(self) -> decoded_configuration.Configuration:
        """The configuration in force."""
        return self.dependencies.directory()


Flow = abc.Callable[[Callers, _asgi.Request, _asgi.Reply], abc.Awaitable[None]]


async def serve(
    dependencies: _dependencies.Dependencies,
    settings: _caller_settings.CallerSettings,
    metrics: _metrics.Metrics,
    *,
    stop: trio.Event,
    task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve callers until `stop` is set; `task_status` gives the port.

    When `stop` is set readiness is false at once, requests are accepted
    for `notice_time` more, and those in flight are finished.
    """
    client = _targets_http.Client()
    retries = _retry_budget.RetryBudget()
    callers = Callers(
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
        _concurrency.Concurrency(settings.max_requests, settings.queue_length),
        metrics,
        stop,
    )

    async def wait_for_stop() -> None:
        await stop.wait()
        log.info('MLB-4005', notice_time=settings.notice_time)
        await trio.sleep(settings.notice_time)

    try:
        await _http_server.serve(
            build(callers),
            settings.server,
            stop=wait_for_stop,
            task_status=task_status,
        )
    finally:
        with trio.CancelScope(shield=True):
            await client.aclose()


def build(callers: Callers) -> _asgi.App:
    """Make the application that callers speak to."""
    app = _asgi.App('mustardlbd')
    for path in (engine.CHAT_PATH, engine.COMPLETIONS_PATH):
        flow = functools.partial(_run_model_call, path)
        app.add_url_rule(path, path, _handler(callers, flow), methods=['POST'])
    for path, query in (
        ('/v1/models', _list_models),
        ('/healthz', _show_health),
        ('/readyz', _show_readiness),
    ):
        app.add_url_rule(path, path, _handler(callers, query))
    # Whatever the node does not answer itself is for a plain service, by
    # any method; quart's routes would have to name each.
    app.pass_on = _handler(callers, _run_plain_call)
    return app


def _handler(callers: Callers, flow: Flow) -> _asgi.Handler:
    async def handle() -> quart.Response:
        request: Any = quart.request
        return _asgi.DirectResponse(
            functools.partial(
                _run, callers, flow, request._get_current_object()
            )
        )

    return handle


async def _run(
    callers: Callers, flow: Flow, request: _asgi.Request, reply: _asgi.Reply
) -> None:
    """Run a flow; what it raises becomes the answer."""
    if callers.stop.is_set():
        reply.ask_to_close(request.http_version)
    try:
        _check_headers(callers, request)
        await flow(callers, request, reply)
    except errors.Error as error:
        await _answer_error(request, reply, error)
    except Exception as error:
        # A fault of ours must not show its text, which may hold anything.
        log.error('MLB-4020', error=type(error).__name__, exc_info=True)
        internal = errors.Error(
            errors.Code.INTERNAL,
            'the node failed to handle the request',
            steps.Step.ADMISSION,
        )
        await _answer_error(request, reply, internal)
    else:
        await reply.finish()


async def _answer_error(
    request: _asgi.Request, reply: _asgi.Reply, error: errors.Error
) -> None:
    if reply.started:
        # The answer stays without its end, and the caller sees that.
        log.warning('MLB-4014', code=str(error.code), peer=error.peer)
        return
    log.info(
        'MLB-4021',
        code=str(error.code),
        step=str(error.step),
        peer=error.peer,
        not_run=error.not_run,
    )
    await reply.error(error)
    # The caller has its answer; what it still sends is read for a while.
    await _request_body.discard(request)
    await reply.finish()


def _check_headers(callers: Callers, request: _asgi.Request) -> None:
    headers = request.scope['headers']
    size = len(request.scope['raw_path']) + len(request.scope['query_string'])
    size += sum(len(name) + len(value) + 4 for name, value in headers)
    if size <= callers.settings.server.max_headers:
        return
    raise errors.Error(
        errors.Code.HEADERS_TOO_LARGE,
        f'the headers are over {callers.settings.server.max_headers} bytes',
        steps.Step.ADMISSION,
        not_run=True,
    )


async def _run_model_call(
    path: str, callers: Callers, request: _asgi.Request, reply: _asgi.Reply
) -> None:
    """Admit, reserve, run and settle a model call."""
    caller = _admit(callers, request)
    contract = caller.contract
    stopwatch = _stopwatch(callers, contract.account, contract.traffic_class)
    reply.on_block = stopwatch.block
    with _timed(stopwatch):
        body = await _request_body.read_whole(request, callers.settings)
        call = _model_call.read(body, caller, callers.settings)
        async with callers.concurrency.slot(
            contract.account,
            contract.concurrency,
            callers.settings.queue_timeout,
        ):
            await _reserve_and_run(callers, caller, path, call, reply)


async def _reserve_and_run(
    callers: Callers,
    caller: _admission.Caller,
    path: str,
    call: _model_call.ModelCall,
    reply: _asgi.Reply,
) -> None:
    dependencies = callers.dependencies
    reservation = await dependencies.reserve(
        caller.record.account, call.cost, callers.settings.token_timeout
    )
    # Whatever ends the call before its usage is known is charged in full.
    used = call.cost
    try:
        used = await _model_service.run(
            callers.models, caller, path, call, reply
        )
    except errors.Error as error:
        if error.not_run:
            used = 0
        raise
    finally:
        reservation.settle(used)


async def _run_plain_call(
    callers: Callers, request: _asgi.Request, reply: _asgi.Reply
) -> None:
    """Admit a call of a plain service and pass it on."""
    route = decoded_configuration.route_for(callers.directory, request.path)
    if route is None or request.path.startswith('/v1/'):
        raise errors.Error(
            errors.Code.ROUTE_NOT_FOUND,
            'no route leads there',
            steps.Step.ADMISSION,
            not_run=True,
        )
    caller = None if route.open else _admit(callers, request)
    account, traffic_class = _metrics.OPEN, _metrics.OPEN
    limit = callers.settings.max_requests
    if caller is not None:
        account = caller.contract.account
        traffic_class = caller.contract.traffic_class
        limit = caller.contract.concurrency
    stopwatch = _stopwatch(callers, account, traffic_class)
    reply.on_block = stopwatch.block
    with _timed(stopwatch):
        call = _plain_service.read(request, route, caller)
        async with callers.concurrency.slot(
            account, limit, callers.settings.queue_timeout
        ):
            await _plain_service.run(callers.services, call, request, reply)


async def _list_models(
    callers: Callers, request: _asgi.Request, reply: _asgi.Reply
) -> None:
    """Show what the account may call; a pattern stands as it is."""
    caller = _admit(callers, request)
    names = [*caller.contract.models, *caller.contract.grants]
    models = [
        {'id': name, 'object': 'model', 'owned_by': caller.contract.account}
        for name in names
    ]
    await reply.json(200, {'object': 'list', 'data': models})


async def _show_health(
    callers: Callers, request: _asgi.Request, reply: _asgi.Reply
) -> None:
    """Answer that the process runs."""
    await reply.json(200, {'healthy': True})


async def _show_readiness(
    callers: Callers, request: _asgi.Request, reply: _asgi.Reply
) -> None:
    """Answer whether the balancer should send callers here."""
    if callers.stop.is_set():
        raise errors.Error(
            errors.Code.NODE_STOPPING,
            'the node is stopping',
            steps.Step.STOP,
            not_run=True,
        )
    callers.dependencies.check_ready()
    await reply.json(200, {'ready': True})


def _stopwatch(
    callers: Callers, account: str, traffic_class: str
) -> _metrics.Stopwatch:
    return _metrics.Stopwatch(
        callers.metrics, account, traffic_class, clock.boottime()
    )


@contextlib.contextmanager
def _timed(stopwatch: _metrics.Stopwatch) -> abc.Iterator[None]:
    """Note how a request ended, and when."""
    outcome = GONE
    try:
        yield
        outcome = ANSWERED
    except errors.Error as error:
        outcome = str(error.code)
        raise
    finally:
        stopwatch.end(outcome, clock.boottime())


def _admit(callers: Callers, request: _asgi.Request) -> _admission.Caller:
    callers.dependencies.check_fresh(steps.Step.ADMISSION)
    return _admission.admit(callers.directory, request.scope['headers'])
