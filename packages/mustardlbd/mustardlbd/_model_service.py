"""Runs model calls on engines and forwards the responses."""

from collections import abc
import dataclasses
import functools
import itertools
import secrets

import httpx
import msgspec
import structlog
import trio

from mustardlb import engine
from mustardlb import errors
from mustardlb import steps
from mustardlbd import _admission
from mustardlbd import _asgi
from mustardlbd import _caller_settings
from mustardlbd import _dependencies
from mustardlbd import _event_relay
from mustardlbd import _model_call
from mustardlbd import _retry_budget
from mustardlbd import _target_client
from mustardlbd import _target_streams

log = structlog.get_logger()

# Attempts to resume a broken stream.
MAX_RESUMES = 3

RESUME_DELAY_SECONDS = 0.1

REQUEST_ID_BYTES = 16

_RETRYABLE = frozenset(
    {
        errors.Code.TARGET_FAILED,
        errors.Code.TARGET_TIMEOUT,
        errors.Code.WRONG_ADAPTER,
    }
)

# Steps whose errors mean that no target is available.
_PLACEMENT_STEPS = (steps.Step.PLACEMENT, steps.Step.LOAD)

_SERVED_MODEL_HEADER = engine.SERVED_MODEL_HEADER.lower().encode()
_JSON_HEADERS = [(b'content-type', b'application/json')]
_EVENT_STREAM_HEADERS = [
    (b'content-type', b'text/event-stream'),
    (b'cache-control', b'no-cache'),
]


@dataclasses.dataclass(frozen=True, slots=True)
class ModelService:
    """Objects that model calls depend on."""

    dependencies: _dependencies.Dependencies
    settings: _caller_settings.CallerSettings
    client: _target_client.Client
    retries: _retry_budget.RetryBudget


@dataclasses.dataclass(frozen=True, slots=True)
class _Attempt:
    """Dispatch of a call to one engine."""

    service: ModelService
    caller: _admission.Caller
    path: str
    call: _model_call.ModelCall
    placement: _dependencies.Placement
    request_id: str

    @property
    def peer(self) -> str:
        """Name of the engine."""
        return self.placement.target_name


async def run(
    service: ModelService,
    caller: _admission.Caller,
    path: str,
    call: _model_call.ModelCall,
    writer: _asgi.ResponseWriter,
) -> int:
    """Write the response to a call and return the tokens to charge.

    Raises errors.Error if the call fails before a response has started.
    """
    service.retries.add_request()
    excluded: set[str] = set()
    failure: errors.Error | None = None
    for attempts in itertools.count(1):
        try:
            used = await _place_and_run(
                service, caller, path, call, writer, excluded
            )
        except errors.Error as error:
            if failure is not None:
                error.not_run = error.not_run and failure.not_run
                if error.step in _PLACEMENT_STEPS:
                    # No other engine is available, so the error of the
                    # previous attempt is returned.
                    raise failure from None
            if not _may_retry(service, error, attempts, writer):
                raise
            failure = error
            log.info('MLB-4010', code=str(error.code), peer=error.peer)
        else:
            break
    return call.cost if used is None else used


async def _place_and_run(
    service: ModelService,
    caller: _admission.Caller,
    path: str,
    call: _model_call.ModelCall,
    writer: _asgi.ResponseWriter,
    excluded: set[str],
) -> int | None:
    """Make one attempt; return the used tokens, None if unknown."""
    _recheck_admission(service, caller, call)
    placement_context = service.dependencies.place(
        call.model,
        caller.record.account,
        service.settings.queue_timeout,
        frozenset(excluded),
    )
    async with placement_context as placement:
        excluded.add(placement.target_name)
        request_id = secrets.token_hex(REQUEST_ID_BYTES)
        attempt = _Attempt(service, caller, path, call, placement, request_id)
        try:
            _recheck_admission(service, caller, call)
            return await _run_attempt(attempt, writer)
        except errors.Error as error:
            failure = error
    # Raised outside of the context, whose nursery would wrap the error in an
    # exception group.
    raise failure


def _may_retry(
    service: ModelService,
    failure: errors.Error,
    attempts: int,
    writer: _asgi.ResponseWriter,
) -> bool:
    if writer.started or failure.code not in _RETRYABLE:
        return False
    if attempts >= service.settings.max_attempts:
        return False
    return service.retries.try_acquire()


def _recheck_admission(
    service: ModelService,
    caller: _admission.Caller,
    call: _model_call.ModelCall,
) -> None:
    """Check freshness, API key and grant directly before a dispatch."""
    service.dependencies.check_fresh(steps.Step.DISPATCH)
    configuration = service.dependencies.configuration()
    _admission.revalidate(configuration, caller, call.model)


async def _run_attempt(
    attempt: _Attempt, writer: _asgi.ResponseWriter
) -> int | None:
    """Dispatch and forward the response; cancel an unfinished request."""
    settings = attempt.service.settings
    timeouts = _target_client.Timeouts(
        settings.connect_timeout,
        settings.response_timeout,
        settings.read_timeout,
    )
    headers = [
        (b'Content-Type', b'application/json'),
        (b'Accept-Encoding', b'identity'),
        (engine.REQUEST_ID_HEADER.encode(), attempt.request_id.encode()),
        (engine.PRIORITY_HEADER.encode(), _engine_priority(attempt.caller)),
    ]
    finished = False
    try:
        async with attempt.service.client.exchange(
            'POST',
            attempt.placement.url + attempt.path,
            headers,
            attempt.call.body,
            timeouts,
            attempt.peer,
        ) as response:
            await _check_response(attempt, response)
            if attempt.call.streamed:
                used = await _forward_stream(attempt, response, writer)
            else:
                used = await _forward_whole(attempt, response, writer)
        finished = True
        return used
    except errors.Error as error:
        finished = error.not_run
        raise
    finally:
        if not finished:
            await _cancel(attempt)


async def _cancel(attempt: _Attempt) -> None:
    """Cancel the request at the engine, or record that it may still run."""
    cancelled = await attempt.service.client.cancel(
        attempt.placement.url, attempt.request_id
    )
    if not cancelled:
        attempt.placement.mark_still_running()


def _engine_priority(caller: _admission.Caller) -> bytes:
    """Return the engine's priority, where lower numbers are more urgent.

    In contracts, higher numbers are more urgent.
    """
    return b'%d' % (engine.LOWEST_PRIORITY - caller.contract.priority)


async def _check_response(attempt: _Attempt, response: httpx.Response) -> None:
    """Raise unless the response is for this request and this model."""
    if response.status_code != 200:
        raise await _rejection_error(attempt, response)
    served = response.headers.get(engine.SERVED_MODEL_HEADER)
    echoed = response.headers.get(engine.REQUEST_ID_HEADER)
    if served == attempt.call.model and echoed == attempt.request_id:
        return
    log.error(
        'MLB-4011',
        peer=attempt.peer,
        model=attempt.call.model,
        served=served,
        same_request=echoed == attempt.request_id,
    )
    attempt.placement.check_served(served or '')
    raise errors.Error(
        errors.Code.WRONG_ADAPTER,
        'the target responded to another request or ran another adapter',
        steps.Step.DISPATCH,
        attempt.peer,
    )


async def _rejection_error(
    attempt: _Attempt, response: httpx.Response
) -> errors.Error:
    """Return the error for a response whose status is not 200."""
    status = response.status_code
    body = await _target_client.read_body(
        response, attempt.service.settings.max_response_bytes, attempt.peer
    )
    detail = _event_relay.parse_object(body).get('error')
    fields = detail if isinstance(detail, dict) else {}
    code = fields.get('code')
    if status == 400:
        message = str(fields.get('message', 'no reason given'))
        return errors.Error(
            errors.Code.BAD_REQUEST,
            f'the engine rejected the request: {message[:200]}',
            steps.Step.DISPATCH,
            attempt.peer,
            not_run=True,
        )
    if (status, code) == (404, engine.NOT_LOADED):
        attempt.placement.check_served('')
    not_run = (status, code) in (
        (404, engine.NOT_LOADED),
        (429, engine.QUEUE_FULL),
    )
    return errors.Error(
        errors.Code.TARGET_FAILED,
        f'the engine responded with status {status}',
        steps.Step.DISPATCH,
        attempt.peer,
        not_run=not_run,
        retry_after=1.0 if not_run else None,
    )


async def _forward_whole(
    attempt: _Attempt, response: httpx.Response, writer: _asgi.ResponseWriter
) -> int | None:
    body = await _target_client.read_body(
        response, attempt.service.settings.max_response_bytes, attempt.peer
    )
    fields = _event_relay.parse_object(body)
    if not fields:
        raise errors.Error(
            errors.Code.TARGET_FAILED,
            'the response is not a JSON object',
            steps.Step.STREAM,
            attempt.peer,
        )
    length = (b'content-length', b'%d' % len(body))
    await writer.start(
        200, [*_JSON_HEADERS, length, _served_model_header(attempt)]
    )
    await writer.write(body)
    return _event_relay.usage_tokens(fields)


async def _forward_stream(
    attempt: _Attempt, response: httpx.Response, writer: _asgi.ResponseWriter
) -> int | None:
    """Forward a stream; resume it where it breaks."""
    relay = _event_relay.EventRelay(attempt.call.usage_requested)

    async def write(events: bytes) -> None:
        if not writer.started:
            await writer.start(
                200, [*_EVENT_STREAM_HEADERS, _served_model_header(attempt)]
            )
        await writer.write(events)

    failure = await _forward_events(attempt, relay, response, write)
    for _ in range(MAX_RESUMES):
        if relay.is_complete:
            break
        if not writer.started:
            raise failure or _truncation_error(attempt)
        log.info('MLB-4012', peer=attempt.peer, after=relay.last_id())
        await trio.sleep(RESUME_DELAY_SECONDS)
        failure = await _resume(attempt, relay, write) or failure
    if not relay.is_complete:
        await _end_truncated_stream(attempt, writer)
    return relay.total_tokens


async def _forward_events(
    attempt: _Attempt,
    relay: _event_relay.EventRelay,
    response: httpx.Response,
    write: abc.Callable[[bytes], abc.Awaitable[None]],
) -> errors.Error | None:
    """Forward events until the stream ends; return the error that broke it."""
    try:
        with _target_client.translate_errors(attempt.peer, steps.Step.STREAM):
            await relay.run(
                functools.partial(
                    _target_streams.forward_body,
                    response,
                    attempt.service.settings.read_timeout,
                ),
                write,
                attempt.peer,
            )
    except errors.Error as error:
        return error
    return None


async def _resume(
    attempt: _Attempt,
    relay: _event_relay.EventRelay,
    write: abc.Callable[[bytes], abc.Awaitable[None]],
) -> errors.Error | None:
    settings = attempt.service.settings
    timeouts = _target_client.Timeouts(
        settings.connect_timeout,
        settings.read_timeout,
        settings.read_timeout,
    )
    path = engine.resume_path(attempt.request_id, relay.prepare_resume())
    try:
        async with attempt.service.client.exchange(
            'GET',
            attempt.placement.url + path,
            [(b'Accept-Encoding', b'identity')],
            b'',
            timeouts,
            attempt.peer,
        ) as response:
            await _check_response(attempt, response)
            return await _forward_events(attempt, relay, response, write)
    except errors.Error as error:
        return error


async def _end_truncated_stream(
    attempt: _Attempt, writer: _asgi.ResponseWriter
) -> None:
    """End the stream with an error event instead of `[DONE]`."""
    error = _truncation_error(attempt)
    log.warning('MLB-4013', peer=attempt.peer, model=attempt.call.model)
    body = msgspec.json.encode(_asgi.error_body(error))
    await writer.write(b'event: error\ndata: ' + body + b'\n\n')
    # The request may still be running at the engine.
    await _cancel(attempt)


def _truncation_error(attempt: _Attempt) -> errors.Error:
    return errors.Error(
        errors.Code.ANSWER_CUT,
        'the response was truncated and could not be resumed',
        steps.Step.STREAM,
        attempt.peer,
    )


def _served_model_header(attempt: _Attempt) -> tuple[bytes, bytes]:
    return _SERVED_MODEL_HEADER, attempt.call.model.encode()
