"""Forwards calls to plain services and their responses to callers."""

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
from mustardlbd import _forwarding
from mustardlbd import _key_scan
from mustardlbd import _request_body
from mustardlbd import _retry_budget
from mustardlbd import _target_client
from mustardlbd import _target_streams

log = structlog.get_logger()

_IDEMPOTENCY_KEY = b'idempotency-key'
_MAX_IDEMPOTENCY_KEY_BYTES = 255

_RETRYABLE = frozenset({errors.Code.TARGET_FAILED})


class ServiceTargets:
    """Selects plain services by the requests in flight of this node."""

    def __init__(self) -> None:
        self._in_flight_by_name: dict[str, int] = {}

    @contextlib.contextmanager
    def pick(
        self,
        configuration: decoded_configuration.Configuration,
        group: str,
        excluded: abc.Set[str],
    ) -> abc.Iterator[routes.Target]:
        """Select the target with the fewest requests. Raises NO_TARGET."""
        candidates = [
            target
            for target in configuration.targets_by_name.values()
            if target.kind is routes.TargetKind.SERVICE
            and target.group == group
            and target.state is routes.TargetState.SERVE
            and target.name not in excluded
        ]
        if not candidates:
            raise errors.Error(
                errors.Code.NO_TARGET,
                f'no target of the group {group} is available',
                steps.Step.PLACEMENT,
                not_run=True,
                retry_after=1.0,
            )
        in_flight = self._in_flight_by_name
        target = min(
            candidates, key=lambda candidate: in_flight.get(candidate.name, 0)
        )
        in_flight[target.name] = in_flight.get(target.name, 0) + 1
        try:
            yield target
        finally:
            in_flight[target.name] -= 1
            if not in_flight[target.name]:
                del in_flight[target.name]


@dataclasses.dataclass(frozen=True, slots=True)
class PlainService:
    """Objects that calls of plain services depend on."""

    dependencies: _dependencies.Dependencies
    settings: _caller_settings.CallerSettings
    client: _target_client.Client
    retries: _retry_budget.RetryBudget
    targets: ServiceTargets


@dataclasses.dataclass(frozen=True, slots=True)
class PlainCall:
    """Parsed call of a plain service.

    :ivar caller: None on a public route
    :ivar request_target: path and query without API keys
    :ivar headers: headers without API keys
    :ivar secret: secret part of the caller's API key, b'' for none
    """

    route: routes.Route
    caller: _admission.Caller | None
    method: str
    request_target: bytes
    headers: _forwarding.Headers
    secret: bytes = dataclasses.field(repr=False)

    @property
    def idempotency_key(self) -> str:
        """Idempotency key of a booking, '' for other calls."""
        if self.method not in self.route.booking_methods:
            return ''
        for name, value in self.headers:
            if name == _IDEMPOTENCY_KEY:
                return value.decode('latin-1')
        return ''


def parse(
    request: _asgi.Request,
    route: routes.Route,
    caller: _admission.Caller | None,
) -> PlainCall:
    """Parse a request. Raises BAD_REQUEST."""
    scope: Any = request.scope
    raw_headers = list(scope['headers'])
    # Callers may present a key on a public route as well.
    key = caller.key if caller else _admission.presented_key(raw_headers)
    secret = _key_scan.secret_of(key)
    _forwarding.check_content_encoding(raw_headers)
    _check_idempotency_key(raw_headers, secret)
    return PlainCall(
        route,
        caller,
        scope['method'],
        _forwarding.request_target(
            scope['raw_path'], scope['query_string'], secret
        ),
        _forwarding.request_headers(raw_headers, secret),
        secret,
    )


def _check_idempotency_key(
    headers: _forwarding.Headers, secret: bytes
) -> None:
    values = [value for name, value in headers if name == _IDEMPOTENCY_KEY]
    if not values:
        return
    value = values[0]
    valid = 0 < len(value) <= _MAX_IDEMPOTENCY_KEY_BYTES and value.isascii()
    if len(values) > 1 or not valid:
        raise _admission.bad_request('Idempotency-Key is not valid')
    if _key_scan.contains_key(value, secret):
        raise _admission.bad_request('Idempotency-Key contains a key')


async def run(
    service: PlainService,
    call: PlainCall,
    request: _asgi.Request,
    writer: _asgi.ResponseWriter,
) -> None:
    """Write the response to a call. Raises errors.Error.

    An error after the start of the response means that it is truncated.
    """
    if call.idempotency_key:
        await _run_booking(service, call, request, writer)
        return
    service.retries.add_request()
    body = _request_body.StreamedBody(request, service.settings, call.secret)
    excluded: set[str] = set()
    may_have_run = False
    while True:
        failure = None
        try:
            _recheck_admission(service, call)
            with service.targets.pick(
                service.dependencies.configuration(),
                call.route.group,
                excluded,
            ) as target:
                excluded.add(target.name)
                await _forward(service, call, target, body, writer)
                return
        except errors.Error as error:
            may_have_run = may_have_run or not error.not_run
            error.not_run = not may_have_run
            failure = error
        if not _may_retry(service, call, body, failure, len(excluded), writer):
            raise failure
        log.info('MLB-4010', code=str(failure.code), peer=failure.peer)


def _may_retry(
    service: PlainService,
    call: PlainCall,
    body: _request_body.StreamedBody,
    failure: errors.Error,
    attempts: int,
    writer: _asgi.ResponseWriter,
) -> bool:
    if writer.started or body.started or failure.code not in _RETRYABLE:
        return False
    idempotent = call.method in call.route.idempotent_methods
    if not failure.not_run and not idempotent:
        return False
    if attempts >= service.settings.max_attempts:
        return False
    return service.retries.try_acquire()


def _recheck_admission(service: PlainService, call: PlainCall) -> None:
    """Check freshness and API key directly before a dispatch."""
    service.dependencies.check_fresh(steps.Step.DISPATCH)
    if call.caller is not None:
        _admission.revalidate(
            service.dependencies.configuration(), call.caller
        )


def _exchange(
    service: PlainService,
    call: PlainCall,
    target: routes.Target,
    content: _target_client.Content,
) -> contextlib.AbstractAsyncContextManager[httpx.Response]:
    timeouts = _target_client.Timeouts(
        service.settings.connect_timeout,
        call.route.timeout,
        service.settings.read_timeout,
    )
    return service.client.exchange(
        call.method,
        target.url,
        call.headers,
        content,
        timeouts,
        target.name,
        target=call.request_target,
        fresh=call.method not in call.route.idempotent_methods,
    )


async def _forward(
    service: PlainService,
    call: PlainCall,
    target: routes.Target,
    body: _request_body.StreamedBody,
    writer: _asgi.ResponseWriter,
) -> None:
    content = body if body.has_body else b''
    async with _exchange(service, call, target, content) as response:
        headers = _forwarding.response_headers(response.headers.raw)
        with _target_client.translate_errors(target.name, steps.Step.STREAM):
            await writer.start(response.status_code, headers)
            await _target_streams.forward_body(
                response, service.settings.read_timeout, writer.write
            )


async def _run_booking(
    service: PlainService,
    call: PlainCall,
    request: _asgi.Request,
    writer: _asgi.ResponseWriter,
) -> None:
    """Run a call at most once for its idempotency key."""
    key = call.idempotency_key
    content = await _request_body.read_whole(request, service.settings)
    if _key_scan.contains_key(content, call.secret):
        raise _admission.bad_request('the body contains a key')
    account = call.caller.record.account if call.caller else ''
    _recheck_admission(service, call)
    booking = await service.dependencies.begin_booking(
        account, key, _fingerprint(call, content)
    )
    if isinstance(booking, _dependencies.RecordedOutcome):
        replayed = [*booking.headers, (b'idempotent-replayed', b'true')]
        await writer.start(booking.status, replayed)
        await writer.write(booking.body)
        return
    # The outcome is recorded even if the caller disconnects.
    with trio.CancelScope(shield=True):
        outcome = await _send_once(service, call, content, booking)
    await writer.start(outcome.status, outcome.headers)
    await writer.write(outcome.body)


async def _send_once(
    service: PlainService,
    call: PlainCall,
    content: bytes,
    attempt: _dependencies.BookingAttempt,
) -> _dependencies.RecordedOutcome:
    """Send a booking once and record its outcome."""
    try:
        _recheck_admission(service, call)
        with service.targets.pick(
            service.dependencies.configuration(), call.route.group, frozenset()
        ) as target:
            outcome = await _send_booking(service, call, target, content)
    except errors.Error as error:
        if error.not_run:
            await attempt.record_not_run()
        raise
    await attempt.record_response(
        outcome.status, outcome.headers, outcome.body
    )
    return outcome


async def _send_booking(
    service: PlainService,
    call: PlainCall,
    target: routes.Target,
    content: bytes,
) -> _dependencies.RecordedOutcome:
    async with _exchange(service, call, target, content) as response:
        body = await _target_client.read_body(
            response, service.settings.max_response_bytes, target.name
        )
        headers = _forwarding.response_headers(response.headers.raw)
        return _dependencies.RecordedOutcome(
            response.status_code, headers, body
        )


def _fingerprint(call: PlainCall, content: bytes) -> bytes:
    digest = hashlib.sha256(call.method.encode())
    digest.update(b' ' + call.request_target + b'\n' + content)
    return digest.digest()
