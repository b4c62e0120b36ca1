"""Passing a call on to a plain service, and its answer back."""

from collections import abc
import contextlib
import dataclasses
import hashlib
from typing import Any

import httpx
import structlog
import trio

from mustardlb import decoded_configuration
from mustardlb import errors
from mustardlb import routes
from mustardlb import steps
from mustardlbd import _admission
from mustardlbd import _asgi
from mustardlbd import _caller_settings
from mustardlbd import _dependencies
from mustardlbd import _key_scan
from mustardlbd import _passing
from mustardlbd import _request_body
from mustardlbd import _retry_budget
from mustardlbd import _target_streams
from mustardlbd import _targets_http

log = structlog.get_logger()

_IDEMPOTENCY_KEY = b'idempotency-key'
_MAX_IDEMPOTENCY_KEY = 255

_RETRYABLE = frozenset({errors.Code.TARGET_FAILED})


class ServiceTargets:
    """Requests that this node has in flight at each plain service."""

    def __init__(self) -> None:
        self._running_by_name: dict[str, int] = {}

    @contextlib.contextmanager
    def pick(
        self,
        directory: decoded_configuration.Configuration,
        group: str,
        avoid: abc.Set[str],
    ) -> abc.Iterator[routes.Target]:
        """Take the target with the fewest requests. Raises NO_TARGET."""
        found = [
            target
            for target in directory.targets_by_name.values()
            if target.kind is routes.TargetKind.SERVICE
            and target.group == group
            and target.state is routes.TargetState.SERVE
            and target.name not in avoid
        ]
        if not found:
            raise errors.Error(
                errors.Code.NO_TARGET,
                f'no target of the group {group} can take the request',
                steps.Step.PLACEMENT,
                not_run=True,
                retry_after=1.0,
            )
        running = self._running_by_name
        target = min(found, key=lambda one: running.get(one.name, 0))
        running[target.name] = running.get(target.name, 0) + 1
        try:
            yield target
        finally:
            running[target.name] -= 1
            if not running[target.name]:
                del running[target.name]


@dataclasses.dataclass(frozen=True, slots=True)
class PlainService:
    """What every call of a plain service needs."""

    dependencies: _dependencies.Dependencies
    settings: _caller_settings.CallerSettings
    client: _targets_http.Client
    retries: _retry_budget.RetryBudget
    targets: ServiceTargets


@dataclasses.dataclass(frozen=True, slots=True)
class PlainCall:
    """One call, ready to be passed on.

    :ivar caller: None on a route open to all
    :ivar target: path and query, free of keys
    :ivar headers: free of keys
    :ivar secret: the caller's, b'' for none
    """

    route: routes.Route
    caller: _admission.Caller | None
    method: str
    target: bytes
    headers: _passing.Headers
    secret: bytes = dataclasses.field(repr=False)

    @property
    def idempotency_key(self) -> str:
        """The key of a booking, '' where the call has none."""
        if self.method not in self.route.booking_methods:
            return ''
        for name, value in self.headers:
            if name == _IDEMPOTENCY_KEY:
                return value.decode('latin-1')
        return ''


def read(
    request: _asgi.Request,
    route: routes.Route,
    caller: _admission.Caller | None,
) -> PlainCall:
    """Take a request apart. Raises BAD_REQUEST."""
    scope: Any = request.scope
    raw_headers = list(scope['headers'])
    # On an open route too: who calls may present a key all the same.
    key = caller.key if caller else _admission.presented_key(raw_headers)
    secret = _key_scan.secret_of(key)
    _passing.check_coding(raw_headers)
    _check_idempotency_key(raw_headers, secret)
    return PlainCall(
        route,
        caller,
        scope['method'],
        _passing.target(scope['raw_path'], scope['query_string'], secret),
        _passing.request_headers(raw_headers, secret),
        secret,
    )


def _check_idempotency_key(headers: _passing.Headers, secret: bytes) -> None:
    values = [value for name, value in headers if name == _IDEMPOTENCY_KEY]
    if not values:
        return
    value = values[0]
    valid = 0 < len(value) <= _MAX_IDEMPOTENCY_KEY and value.isascii()
    if len(values) > 1 or not valid:
        raise _admission.bad_request('Idempotency-Key is not valid')
    if _key_scan.contains_key(value, secret):
        raise _admission.bad_request('Idempotency-Key contains a key')


async def run(
    service: PlainService,
    call: PlainCall,
    request: _asgi.Request,
    reply: _asgi.Reply,
) -> None:
    """Write the answer to a call; raises where nothing was answered yet."""
    if call.idempotency_key:
        await _run_booking(service, call, request, reply)
        return
    service.retries.add_request()
    body = _request_body.StreamedBody(request, service.settings, call.secret)
    avoid: set[str] = set()
    may_have_run = False
    while True:
        failure = None
        try:
            _check_again(service, call)
            with service.targets.pick(
                service.dependencies.directory(), call.route.group, avoid
            ) as target:
                avoid.add(target.name)
                await _pass_on(service, call, target, body, reply)
                return
        except errors.Error as error:
            may_have_run = may_have_run or not error.not_run
            error.not_run = not may_have_run
            failure = error
        if not _may_retry(service, call, body, failure, len(avoid), reply):
            raise failure
        log.info('MLB-4010', code=str(failure.code), peer=failure.peer)


def _may_retry(
    service: PlainService,
    call: PlainCall,
    body: _request_body.StreamedBody,
    failure: errors.Error,
    attempts: int,
    reply: _asgi.Reply,
) -> bool:
    if reply.started or body.begun or failure.code not in _RETRYABLE:
        return False
    idempotent = call.method in call.route.idempotent_methods
    if not failure.not_run and not idempotent:
        return False
    if attempts >= service.settings.max_attempts:
        return False
    return service.retries.try_acquire()


def _check_again(service: PlainService, call: PlainCall) -> None:
    """Check freshness and key right before work is given out."""
    service.dependencies.check_fresh(steps.Step.DISPATCH)
    if call.caller is not None:
        _admission.revalidate(service.dependencies.directory(), call.caller)


def _exchange(
    service: PlainService,
    call: PlainCall,
    target: routes.Target,
    content: _targets_http.Content,
) -> contextlib.AbstractAsyncContextManager[httpx.Response]:
    timeouts = _targets_http.Timeouts(
        service.settings.connect_timeout,
        call.route.timeout,
        service.settings.event_timeout,
    )
    return service.client.exchange(
        call.method,
        target.url,
        call.headers,
        content,
        timeouts,
        target.name,
        target=call.target,
        fresh=call.method not in call.route.idempotent_methods,
    )


async def _pass_on(
    service: PlainService,
    call: PlainCall,
    target: routes.Target,
    body: _request_body.StreamedBody,
    reply: _asgi.Reply,
) -> None:
    content = body if body.expected else b''
    async with _exchange(service, call, target, content) as response:
        headers = _passing.response_headers(response.headers.raw)
        with _targets_http.translated(target.name, steps.Step.STREAM):
            await reply.start(response.status_code, headers)
            await _target_streams.pass_blocks(
                response, service.settings.event_timeout, reply.write
            )


async def _run_booking(
    service: PlainService,
    call: PlainCall,
    request: _asgi.Request,
    reply: _asgi.Reply,
) -> None:
    """Run a call at most once, by its idempotency key."""
    key = call.idempotency_key
    content = await _request_body.read_whole(request, service.settings)
    if _key_scan.contains_key(content, call.secret):
        raise _admission.bad_request('the body contains a key')
    account = call.caller.record.account if call.caller else ''
    _check_again(service, call)
    begun = await service.dependencies.begin(
        account, key, _fingerprint(call, content)
    )
    if isinstance(begun, _dependencies.RecordedOutcome):
        replayed = [*begun.headers, (b'idempotent-replayed', b'true')]
        await reply.start(begun.status, replayed)
        await reply.write(begun.body)
        return
    # A caller that leaves does not leave the booking half recorded.
    with trio.CancelScope(shield=True):
        outcome = await _book(service, call, content, begun)
    await reply.start(outcome.status, outcome.headers)
    await reply.write(outcome.body)


async def _book(
    service: PlainService,
    call: PlainCall,
    content: bytes,
    attempt: _dependencies.Attempt,
) -> _dependencies.RecordedOutcome:
    """Send a booking once and record how it went."""
    try:
        _check_again(service, call)
        with service.targets.pick(
            service.dependencies.directory(), call.route.group, frozenset()
        ) as target:
            outcome = await _send_booking(service, call, target, content)
    except errors.Error as error:
        if error.not_run:
            await attempt.not_run()
        raise
    await attempt.finish(outcome.status, outcome.headers, outcome.body)
    return outcome


async def _send_booking(
    service: PlainService,
    call: PlainCall,
    target: routes.Target,
    content: bytes,
) -> _dependencies.RecordedOutcome:
    async with _exchange(service, call, target, content) as response:
        body = await _targets_http.read_whole(
            response, service.settings.max_answer, target.name
        )
        headers = _passing.response_headers(response.headers.raw)
        return _dependencies.RecordedOutcome(
            response.status_code, headers, body
        )


def _fingerprint(call: PlainCall, content: bytes) -> bytes:
    digest = hashlib.sha256(call.method.encode())
    digest.update(b' ' + call.target + b'\n' + content)
    return digest.digest()
