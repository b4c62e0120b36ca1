"""Running a model call on an engine and passing its answer on."""

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
from mustardlbd import _target_streams
from mustardlbd import _targets_http

log = structlog.get_logger()

# Times that a broken stream is taken up again.
MAX_RESUMES = 3

# Pause before a broken stream is taken up again, seconds.
RESUME_PAUSE = 0.1

# Random bytes in the id of an attempt.
REQUEST_ID_BYTES = 16

_RETRYABLE = frozenset(
    {
        errors.Code.TARGET_FAILED,
        errors.Code.TARGET_TIMEOUT,
        errors.Code.WRONG_ADAPTER,
    }
)

# Steps at which it is found out that no target is to be had.
_PLACING = (steps.Step.PLACEMENT, steps.Step.LOAD)

_SERVED_MODEL = engine.SERVED_MODEL_HEADER.lower().encode()
_JSON = [(b'content-type', b'application/json')]
_EVENTS = [
    (b'content-type', b'text/event-stream'),
    (b'cache-control', b'no-cache'),
]


@dataclasses.dataclass(frozen=True, slots=True)
class ModelService:
    """What every model call needs."""

    dependencies: _dependencies.Dependencies
    settings: _caller_settings.CallerSettings
    client: _targets_http.Client
    retries: _retry_budget.RetryBudget


@dataclasses.dataclass(frozen=True, slots=True)
class _Attempt:
    """One dispatch of a call to one engine."""

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
    reply: _asgi.Reply,
) -> int:
    """Write the answer to a call; returns the tokens to charge.

    Raises errors.Error where nothing was answered yet.
    """
    service.retries.add_request()
    avoid: set[str] = set()
    failure: errors.Error | None = None
    for attempts in itertools.count(1):
        try:
            used = await _place_and_run(
                service, caller, path, call, reply, avoid
            )
        except errors.Error as error:
            if failure is not None:
                error.not_run = error.not_run and failure.not_run
                if error.step in _PLACING:
                    # No other engine can take it: say what went wrong.
                    raise failure from None
            if not _may_retry(service, error, attempts, reply):
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
    reply: _asgi.Reply,
    avoid: set[str],
) -> int | None:
    """Make one attempt; returns the tokens used, None where unknown."""
    _check_again(service, caller, call)
    placing = service.dependencies.place(
        call.model,
        caller.record.account,
        service.settings.queue_timeout,
        frozenset(avoid),
    )
    async with placing as placement:
        avoid.add(placement.target_name)
        request_id = secrets.token_hex(REQUEST_ID_BYTES)
        attempt = _Attempt(service, caller, path, call, placement, request_id)
        try:
            _check_again(service, caller, call)
            return await _run_attempt(attempt, reply)
        except errors.Error as error:
            failure = error
    # Outside, so that the placement's own tasks do not wrap it in a group.
    raise failure


def _may_retry(
    service: ModelService,
    failure: errors.Error,
    attempts: int,
    reply: _asgi.Reply,
) -> bool:
    if reply.started or failure.code not in _RETRYABLE:
        return False
    if attempts >= service.settings.max_attempts:
        return False
    return service.retries.try_acquire()


def _check_again(
    service: ModelService,
    caller: _admission.Caller,
    call: _model_call.ModelCall,
) -> None:
    """Check freshness, key and grant right before work is given out."""
    service.dependencies.check_fresh(steps.Step.DISPATCH)
    directory = service.dependencies.directory()
    _admission.revalidate(directory, caller, call.model)


async def _run_attempt(attempt: _Attempt, reply: _asgi.Reply) -> int | None:
    """Dispatch, and pass the answer on; cancel what was not finished."""
    settings = attempt.service.settings
    timeouts = _targets_http.Timeouts(
        settings.connect_timeout,
        settings.response_timeout,
        settings.event_timeout,
    )
    headers = [
        (b'Content-Type', b'application/json'),
        (b'Accept-Encoding', b'identity'),
        (engine.REQUEST_ID_HEADER.encode(), attempt.request_id.encode()),
        (engine.PRIORITY_HEADER.encode(), _priority(attempt.caller)),
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
            await _check_answer(attempt, response)
            if attempt.call.streamed:
                used = await _pass_stream(attempt, response, reply)
            else:
                used = await _pass_whole(attempt, response, reply)
        finished = True
        return used
    except errors.Error as error:
        finished = error.not_run
        raise
    finally:
        if not finished:
            await _cancel(attempt)


async def _cancel(attempt: _Attempt) -> None:
    """End the request at the engine, or note that it may run on there."""
    ended = await attempt.service.client.cancel(
        attempt.placement.url, attempt.request_id
    )
    if not ended:
        attempt.placement.abandon()


def _priority(caller: _admission.Caller) -> bytes:
    """Contracts count up to the most urgent, engines down to it."""
    return b'%d' % (engine.LOWEST_PRIORITY - caller.contract.priority)


async def _check_answer(attempt: _Attempt, response: httpx.Response) -> None:
    """Raise unless this is the answer to this attempt, by its model."""
    if response.status_code != 200:
        raise await _refusal(attempt, response)
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
    attempt.placement.served(served or '')
    raise errors.Error(
        errors.Code.WRONG_ADAPTER,
        'the target answered another request or ran another adapter',
        steps.Step.DISPATCH,
        attempt.peer,
    )


async def _refusal(
    attempt: _Attempt, response: httpx.Response
) -> errors.Error:
    """Build the error for an engine's answer other than 200."""
    status = response.status_code
    body = await _targets_http.read_whole(
        response, attempt.service.settings.max_answer, attempt.peer
    )
    detail = _event_relay.parse_object(body).get('error')
    fields = detail if isinstance(detail, dict) else {}
    code = fields.get('code')
    if status == 400:
        message = str(fields.get('message', 'no reason given'))
        return errors.Error(
            errors.Code.BAD_REQUEST,
            f'the engine refused the request: {message[:200]}',
            steps.Step.DISPATCH,
            attempt.peer,
            not_run=True,
        )
    if (status, code) == (404, engine.NOT_LOADED):
        attempt.placement.served('')
    not_run = (status, code) in (
        (404, engine.NOT_LOADED),
        (429, engine.QUEUE_FULL),
    )
    return errors.Error(
        errors.Code.TARGET_FAILED,
        f'the engine answered with status {status}',
        steps.Step.DISPATCH,
        attempt.peer,
        not_run=not_run,
        retry_after=1.0 if not_run else None,
    )


async def _pass_whole(
    attempt: _Attempt, response: httpx.Response, reply: _asgi.Reply
) -> int | None:
    body = await _targets_http.read_whole(
        response, attempt.service.settings.max_answer, attempt.peer
    )
    fields = _event_relay.parse_object(body)
    if not fields:
        raise errors.Error(
            errors.Code.TARGET_FAILED,
            'the answer is not a JSON object',
            steps.Step.STREAM,
            attempt.peer,
        )
    length = (b'content-length', b'%d' % len(body))
    await reply.start(200, [*_JSON, length, _served(attempt)])
    await reply.write(body)
    return _event_relay.used_tokens(fields)


async def _pass_stream(
    attempt: _Attempt, response: httpx.Response, reply: _asgi.Reply
) -> int | None:
    """Pass a stream on, taking it up again where it breaks."""
    relay = _event_relay.EventRelay(attempt.call.usage_wanted)

    async def write(events: bytes) -> None:
        if not reply.started:
            await reply.start(200, [*_EVENTS, _served(attempt)])
        await reply.write(events)

    failure = await _follow(attempt, relay, response, write)
    for _ in range(MAX_RESUMES):
        if relay.done:
            break
        if not reply.started:
            raise failure or _cut(attempt)
        log.info('MLB-4012', peer=attempt.peer, after=relay.last_id())
        await trio.sleep(RESUME_PAUSE)
        failure = await _resume(attempt, relay, write) or failure
    if not relay.done:
        await _say_cut(attempt, reply)
    return relay.used


async def _follow(
    attempt: _Attempt,
    relay: _event_relay.EventRelay,
    response: httpx.Response,
    write: abc.Callable[[bytes], abc.Awaitable[None]],
) -> errors.Error | None:
    """Pass on until the stream ends; gives what broke it."""
    try:
        with _targets_http.translated(attempt.peer, steps.Step.STREAM):
            await relay.run(
                functools.partial(
                    _target_streams.pass_blocks,
                    response,
                    attempt.service.settings.event_timeout,
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
    timeouts = _targets_http.Timeouts(
        settings.connect_timeout,
        settings.event_timeout,
        settings.event_timeout,
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
            await _check_answer(attempt, response)
            return await _follow(attempt, relay, response, write)
    except errors.Error as error:
        return error


async def _say_cut(attempt: _Attempt, reply: _asgi.Reply) -> None:
    """End the stream with an error event and without `[DONE]`."""
    error = _cut(attempt)
    log.warning('MLB-4013', peer=attempt.peer, model=attempt.call.model)
    body = msgspec.json.encode(_asgi.describe(error))
    await reply.write(b'event: error\ndata: ' + body + b'\n\n')
    # The engine may still be at work on it.
    await _cancel(attempt)


def _cut(attempt: _Attempt) -> errors.Error:
    return errors.Error(
        errors.Code.ANSWER_CUT,
        'the answer broke off and could not be taken up again',
        steps.Step.STREAM,
        attempt.peer,
    )


def _served(attempt: _Attempt) -> tuple[bytes, bytes]:
    return _SERVED_MODEL, attempt.call.model.encode()
