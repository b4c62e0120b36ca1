"""Admits the calls of clients and sends their responses."""

from collections import abc
import dataclasses
import random

import structlog
import trio

from mustardlb import errors
from mustardlb import steps
from mustardlb_gateway import _call_durations
from mustardlb_gateway import _charging
from mustardlb_gateway import _dispatch
from mustardlb_gateway import _jobs
from mustardlb_gateway import _messages
from mustardlb_gateway import _metrics
from mustardlb_gateway import _outcomes
from mustardlb_gateway import _quarantine
from mustardlb_gateway import _trials
from mustardlb_gateway import domain
from mustardlb_gateway import http_server
from mustardlb_gateway import ports

log = structlog.get_logger()

# Retry-After until the node has a configuration, and when it is overloaded.
START_RETRY_AFTER_SECONDS = 0.5

# Retry-After of a resumed stream of which no node knows; nodes that did not
# answer may by then.
UNKNOWN_STREAM_RETRY_AFTER_SECONDS = 0.5

# Retry-After of a stopping node; the load balancer sends the retry to another
# node.
STOP_RETRY_AFTER_SECONDS = 0.02

# Limits memory: each request in flight holds its body.
MAX_IN_FLIGHT_REQUESTS = 1500

MAX_LOGGED_PARTS = 8

# Used if a call doesn't state how long its client waits.
DEFAULT_CLIENT_TIMEOUT_SECONDS = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class _AdmittedCall:
    """A call with its route, service, account and charge.

    :ivar is_trial: whether the call is sent although it is in quarantine
    :ivar software: version of the software that began the stream that the
        call resumes, or None
    :ivar trial_until: until when a trial may be sent, clock seconds
    """

    call: domain.Call
    route: domain.Route
    service: domain.Service
    account: domain.Account | None
    charge: _charging.Decision | None
    is_trial: bool
    software: str | None
    trial_until: float

    @property
    def cost(self) -> float:
        """Return the cost charged to the account's limit."""
        return self.charge.cost if self.charge else 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class StopSchedule:
    """Schedule of a planned stop, in trio time.

    :ivar admit_all_until: time until which requests that may be repeated are
        admitted regardless of their timeout
    :ivar deadline: time at which unfinished requests are cut off
    """

    admit_all_until: float
    deadline: float


@dataclasses.dataclass(slots=True, eq=False)
class _RunningCall:
    """A call that is handled; `job` is set once it is admitted."""

    scope: trio.CancelScope
    job: _jobs.Job | None = None

    def stopped_error(self) -> errors.Error:
        """Return the error of a call that a stopping node has ended."""
        if self.job is None or not self.job.may_have_run:
            return _outcomes.rejection(
                errors.Code.NODE_STOPPING,
                'the node is stopping',
                steps.Step.STOP,
                STOP_RETRY_AFTER_SECONDS,
            )
        return errors.Error(
            errors.Code.TARGET_TIMEOUT,
            'no response before the node stopped',
            steps.Step.STOP,
            self.job.attempts[-1].target_id,
        )


async def _is_fresh() -> bool:
    return True


def _not_current(problem: str) -> errors.Error:
    return _outcomes.rejection(
        errors.Code.NODE_NOT_CURRENT,
        problem,
        steps.Step.ADMISSION,
        START_RETRY_AFTER_SECONDS,
    )


def _find_route(
    configuration: domain.Configuration, call: domain.Call
) -> tuple[domain.Route, domain.Account | None]:
    """Return the route and the account of a call.

    The account is None if the route needs no API key. Raises errors.Error if
    there is no route, or no account with the key.
    """
    path = call.path.split(b'?', 1)[0].decode('latin-1')
    route = configuration.find_route(call.host, path)
    step = steps.Step.ADMISSION
    if route is None:
        raise _outcomes.rejection(
            errors.Code.ROUTE_NOT_FOUND, 'no route matches', step
        )
    if configuration.accounts_by_name is None or route.is_public:
        return route, None
    account = configuration.account_by_key.get(call.key or '')
    if account is None:
        raise _outcomes.rejection(
            errors.Code.UNAUTHENTICATED, 'unknown API key', step
        )
    return route, account


class Gateway:
    """Handles the requests of clients.

    `is_configuration_fresh` returns whether all that must be in force is in
    the configuration, for which it may ask the store.
    """

    def __init__(
        self,
        translation: ports.Translation,
        dispatcher: _dispatch.Dispatcher,
        charging: _charging.Charging,
        metrics: _metrics.Metrics,
        configuration: abc.Callable[[], domain.Configuration | None],
        configuration_age: abc.Callable[[], float],
        count_request: abc.Callable[[str], None],
        publish_counts: abc.Callable[[], None],
        quarantine: _quarantine.Quarantine,
        permit_trial: abc.Callable[[domain.Call], abc.Awaitable[bool]],
        find_origin: abc.Callable[
            [str | None, tuple[str, ...]],
            abc.Awaitable[_messages.Origin | None],
        ],
        clock: abc.Callable[[], float],
        is_memory_full: abc.Callable[[], bool] = lambda: False,
        is_configuration_fresh: abc.Callable[
            [], abc.Awaitable[bool]
        ] = _is_fresh,
    ) -> None:
        self._is_configuration_fresh = is_configuration_fresh
        self._translation = translation
        self._dispatcher = dispatcher
        self._charging = charging
        self._metrics = metrics
        self._configuration = configuration
        self._configuration_age = configuration_age
        self._count_request = count_request
        self._publish_counts = publish_counts
        self._quarantine = quarantine
        self._permit_trial = permit_trial
        self._find_origin = find_origin
        self._clock = clock
        self._is_memory_full = is_memory_full
        self._in_flight = 0
        self._running: set[_RunningCall] = set()
        self._stop_schedule: StopSchedule | None = None
        self._durations = _call_durations.CallDurations(clock)

    async def handle(
        self, request: http_server.Request, reply: http_server.Reply
    ) -> None:
        """Respond to one request of a client."""
        try:
            call = self._translation.read_call(
                request.method, request.path, request.headers, request.body
            )
        except ValueError as error:
            bad_request = errors.Error(
                errors.Code.BAD_REQUEST, str(error), steps.Step.ADMISSION
            )
            await self._send_error(
                reply, '', bad_request, request.arrived, 0.0
            )
            return
        client_timeout = call.client_timeout or DEFAULT_CLIENT_TIMEOUT_SECONDS
        client_deadline = request.arrived + client_timeout
        self._in_flight += 1
        running = _RunningCall(trio.CancelScope())
        self._running.add(running)
        try:
            with running.scope:
                admitted = await self._admit(call)
                await self._run_call(
                    admitted, request.arrived, client_timeout, reply, running
                )
            if running.scope.cancelled_caught and not reply.has_begun:
                raise running.stopped_error()
        except errors.Error as error:
            time_left = client_deadline - trio.current_time()
            await self._send_error(
                reply, call.request_id, error, request.arrived, time_left
            )
        finally:
            self._in_flight -= 1
            self._running.discard(running)

    async def _admit(self, call: domain.Call) -> _AdmittedCall:
        """Check a call and charge it to its account's limit.

        Raises errors.Error if the call is rejected.
        """
        step = steps.Step.ADMISSION
        configuration = self._configuration()
        if configuration is None:
            raise _not_current('no configuration has been received yet')
        try:
            route, account = _find_route(configuration, call)
        except errors.Error as error:
            # The operator may have added the route or the key since.
            if not await self._is_configuration_fresh():
                raise _not_current(
                    'the store does not confirm the configuration'
                ) from error
            configuration = self._configuration() or configuration
            route, account = _find_route(configuration, call)
        self._check_time_left(call, route)
        is_trial = await self._check_quarantine(call)
        trial_until = self._clock() + _trials.START_SECONDS
        if self._in_flight > MAX_IN_FLIGHT_REQUESTS:
            raise _outcomes.rejection(
                errors.Code.OVERLOADED,
                f'{self._in_flight} requests are in flight',
                step,
                START_RETRY_AFTER_SECONDS,
            )
        if self._is_memory_full():
            raise _outcomes.rejection(
                errors.Code.OVERLOADED,
                'no memory is left for another request',
                step,
                START_RETRY_AFTER_SECONDS,
            )
        origin = await self._find_stream(call, route)
        name = _choose_service(route.services)
        if origin is not None and origin.service in route.service_names:
            name = origin.service
        service = configuration.services_by_name.get(name)
        if service is None:
            service = domain.Service(name, 0)
        charge = await self._charge(account, call)
        return _AdmittedCall(
            call,
            route,
            service,
            account,
            charge,
            is_trial,
            origin.software if origin is not None else None,
            trial_until,
        )

    async def _find_stream(
        self, call: domain.Call, route: domain.Route
    ) -> _messages.Origin | None:
        """Return where the stream began that a call resumes, if it does.

        Raises a rejection if that is not known.
        """
        is_resumed = call.last_event_id is not None or call.resumed_id
        if not is_resumed or route.kind != domain.RouteKind.STREAM:
            return None
        origin = await self._find_origin(call.resumed_id, route.service_names)
        if origin is None:
            raise _outcomes.rejection(
                errors.Code.STREAM_UNKNOWN,
                'no node knows at which software the stream began',
                steps.Step.ADMISSION,
                UNKNOWN_STREAM_RETRY_AFTER_SECONDS,
            )
        return origin

    async def _check_quarantine(self, call: domain.Call) -> bool:
        """Return whether a call is a trial; raise a rejection if it waits."""
        if not self._quarantine.holds(call):
            return False
        if not await self._permit_trial(call):
            raise _outcomes.quarantined(
                self._quarantine.wait(call), steps.Step.ADMISSION
            )
        return True

    def schedule_stop(self, schedule: StopSchedule) -> None:
        """Reject calls that may not be finished before the node stops."""
        self._stop_schedule = schedule

    def end_calls(self) -> None:
        """End all calls; those without a response get an error."""
        for running in self._running:
            running.scope.cancel()

    def _check_time_left(self, call: domain.Call, route: domain.Route) -> None:
        schedule, now = self._stop_schedule, trio.current_time()
        if schedule is None:
            return
        longest = min(
            call.client_timeout or DEFAULT_CLIENT_TIMEOUT_SECONDS,
            route.timeout,
        )
        if now < schedule.admit_all_until:
            if route.may_repeat:
                return
            estimate = self._durations.estimate(route.name)
            if estimate is not None:
                longest = min(longest, estimate)
        if now + longest < schedule.deadline:
            return
        raise _outcomes.rejection(
            errors.Code.NODE_STOPPING,
            'the node is stopping and may not finish the request',
            steps.Step.STOP,
            STOP_RETRY_AFTER_SECONDS,
        )

    async def _charge(
        self, account: domain.Account | None, call: domain.Call
    ) -> _charging.Decision | None:
        if account is None:
            return None
        decision = await self._charging.charge(account, call)
        if decision.wait > 0:
            raise _outcomes.rejection(
                errors.Code.RATE_LIMITED,
                f'account {account.name}: cost {decision.cost:.0f}, bucket '
                f'level {decision.level:.0f} at {decision.owner}',
                steps.Step.LIMIT,
                decision.wait,
            )
        if self._charging.is_near_limit(account):
            self._publish_counts()
        return decision

    async def _run_call(
        self,
        admitted: _AdmittedCall,
        arrived: float,
        client_timeout: float,
        reply: http_server.Reply,
        running: _RunningCall,
    ) -> None:
        route, account = admitted.route, admitted.account
        priority = route.priority
        if account is not None and account.priority is not None:
            priority = account.priority
        job = _jobs.Job(
            admitted.call,
            route,
            admitted.service,
            account,
            priority,
            arrived,
            arrived + min(client_timeout, route.timeout),
            reply,
            is_trial=admitted.is_trial,
            software=admitted.software,
            trial_until=admitted.trial_until,
        )
        running.job = job
        job.expires_at = self._clock() + job.deadline - trio.current_time()
        self._count_request(admitted.service.name)
        outcome = 'client_gone'
        try:
            await self._dispatch_call(job)
            outcome = str(job.attempts[-1].status)
            if not reply.is_complete:
                outcome = 'cut'
        except errors.Error as error:
            outcome = str(error.code)
            if reply.has_begun:
                return
            raise
        finally:
            if job.may_have_run:
                now = trio.current_time()
                self._durations.record(route.name, now - job.arrived)
            elif account and admitted.charge:
                self._charging.refund(account, admitted.charge)
            self._log_call(job, outcome, admitted.cost)

    async def _dispatch_call(self, job: _jobs.Job) -> None:
        try:
            await self._dispatcher.run(job)
        except _jobs.TargetErrorResponse as target_error:
            if job.reply.has_begun:
                return
            await job.send_response(target_error.response)

    def _log_call(self, job: _jobs.Job, outcome: str, cost: float) -> None:
        now = trio.current_time()
        first_byte = job.first_byte or now
        account = job.account.name if job.account else ''
        self._metrics.observe_request(
            account,
            job.route.name,
            outcome,
            first_byte - job.arrived,
            now - job.arrived,
        )
        self._metrics.observe_wait(job.service.name, job.priority, job.waited)
        log.info(
            'MLB-6601',
            request=job.call.request_id,
            route=job.route.name,
            account=account,
            cost=cost,
            adapter=str(job.call.adapter or ''),
            parts=job.call.shared_parts[:MAX_LOGGED_PARTS],
            outcome=outcome,
            targets=[attempt.target_id for attempt in job.attempts],
            waited=round(job.waited, 3),
            first_byte=round(first_byte - job.arrived, 3),
            seconds=round(now - job.arrived, 3),
            allowed=round(job.deadline - job.arrived, 3),
            configuration_age=round(self._configuration_age(), 3),
        )

    async def _send_error(
        self,
        reply: http_server.Reply,
        request_id: str,
        error: errors.Error,
        arrived: float,
        time_left: float,
    ) -> None:
        """Send the error response of a rejected or failed call."""
        retry_after = error.retry_after
        # A quarantine ends later than most clients wait. They are told when,
        # as coming back before is of no use to them.
        if retry_after is not None and error.code != errors.Code.QUARANTINED:
            retry_after = max(
                0.0,
                min(retry_after, time_left * _outcomes.MAX_RETRY_AFTER_RATIO),
            )
        self._metrics.count_error(str(error.code))
        configuration = self._configuration()
        log.info(
            'MLB-6603',
            request=request_id,
            code=str(error.code),
            status=error.status,
            step=str(error.step),
            peer=error.peer,
            message=error.message,
            not_run=error.not_run,
            retry_after=retry_after,
            seconds=round(trio.current_time() - arrived, 3),
            configuration=configuration.version if configuration else 0,
            configuration_age=round(self._configuration_age(), 3),
        )
        headers = self._translation.rejection_headers(request_id, retry_after)
        body = str(error.code).encode()
        await reply.send_response(error.status, headers, body)


def _choose_service(services: tuple[domain.WeightedService, ...]) -> str:
    """Return a random service by weight."""
    if len(services) == 1:
        return services[0].service
    weights = [service.weight for service in services]
    return random.choices(services, weights)[0].service
