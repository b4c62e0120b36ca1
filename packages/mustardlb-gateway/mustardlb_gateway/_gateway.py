"""Admits calls and gives each its final answer."""

from collections import abc
import dataclasses
import random

import structlog
import trio

from mustardlb import errors
from mustardlb import steps
from mustardlb_gateway import _dispatch
from mustardlb_gateway import _jobs
from mustardlb_gateway import _metrics
from mustardlb_gateway import _outcomes
from mustardlb_gateway import _quota
from mustardlb_gateway import domain
from mustardlb_gateway import http_server
from mustardlb_gateway import ports

log = structlog.get_logger()

# Seconds that a client is told to wait while nothing is known yet.
START_RETRY_AFTER = 0.5

# Seconds that a client of a stopping node is told to wait; it comes back to
# another node.
STOP_RETRY_AFTER = 0.02

# Requests that wait or run at once; each holds its body in memory.
MOST_REQUESTS = 1500

# Time of a call that does not say how long its client waits, seconds.
DEFAULT_PATIENCE = 60.0

# Part of the client's time left that it may be told to wait at most.
RETRY_PART = 1 / 3


@dataclasses.dataclass(frozen=True, slots=True)
class _Admitted:
    """A call with everything that was found for it."""

    call: domain.Call
    route: domain.Route
    service: domain.Service
    account: domain.Account | None
    cost: float


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """When a stopping node takes fewer requests, and ends; trio times."""

    notice_ends: float
    ends: float


class Gateway:
    """Serves the requests of clients."""

    def __init__(
        self,
        translation: ports.Translation,
        dispatcher: _dispatch.Dispatcher,
        quota: _quota.Quota,
        metrics: _metrics.Metrics,
        configuration: abc.Callable[[], domain.Configuration | None],
        configuration_age: abc.Callable[[], float],
        count_request: abc.Callable[[str], None],
        tell_counts: abc.Callable[[], None],
        clock: abc.Callable[[], float],
    ) -> None:
        self._translation = translation
        self._dispatcher = dispatcher
        self._quota = quota
        self._metrics = metrics
        self._configuration = configuration
        self._configuration_age = configuration_age
        self._count_request = count_request
        self._tell_counts = tell_counts
        self._clock = clock
        self._in_flight = 0
        self._stop: Stop | None = None

    async def handle(
        self, request: http_server.Request, reply: http_server.Reply
    ) -> None:
        """Answer one request of a client."""
        try:
            call = self._translation.read_call(
                request.method, request.path, request.headers, request.body
            )
        except ValueError as error:
            bad = errors.Error(
                errors.Code.BAD_REQUEST, str(error), steps.Step.ADMISSION
            )
            await self._tell(reply, '', bad, request.arrived, 0.0)
            return
        patience = call.patience or DEFAULT_PATIENCE
        client_deadline = request.arrived + patience
        self._in_flight += 1
        try:
            admitted = self._admit(call)
            await self._run(admitted, request.arrived, patience, reply)
        except errors.Error as error:
            left = client_deadline - trio.current_time()
            await self._tell(
                reply, call.request_id, error, request.arrived, left
            )
        finally:
            self._in_flight -= 1

    def _admit(self, call: domain.Call) -> _Admitted:
        """Find route and account; raises the refusal."""
        configuration = self._configuration()
        step = steps.Step.ADMISSION
        if configuration is None:
            raise _outcomes.rejection(
                errors.Code.NODE_NOT_CURRENT,
                'no configuration is known yet',
                step,
                START_RETRY_AFTER,
            )
        path = call.path.split(b'?', 1)[0].decode('latin-1')
        route = configuration.find_route(call.host, path)
        if route is None:
            raise _outcomes.rejection(
                errors.Code.ROUTE_NOT_FOUND, 'no route matches', step
            )
        account = None
        if configuration.accounts_by_name is not None and not route.is_open:
            account = configuration.account_by_key.get(call.key or '')
            if account is None:
                raise _outcomes.rejection(
                    errors.Code.UNAUTHENTICATED, 'the key is not known', step
                )
        self._check_time_left(call, route)
        if self._in_flight > MOST_REQUESTS:
            raise _outcomes.rejection(
                errors.Code.OVERLOADED,
                f'{self._in_flight} requests are served',
                step,
                START_RETRY_AFTER,
            )
        name = _pick(route.services)
        service = configuration.services_by_name.get(name)
        if service is None:
            service = domain.Service(name, 0)
        cost = self._take_quota(account, call)
        return _Admitted(call, route, service, account, cost)

    def stop_at(self, stop: Stop) -> None:
        """From now on refuse what might not be answered before the end."""
        self._stop = stop

    def _check_time_left(self, call: domain.Call, route: domain.Route) -> None:
        stop, now = self._stop, trio.current_time()
        if stop is None or now < stop.notice_ends:
            return
        if now + min(call.patience or DEFAULT_PATIENCE, route.timeout) < (
            stop.ends
        ):
            return
        raise _outcomes.rejection(
            errors.Code.NODE_STOPPING,
            'the node stops before the request would end',
            steps.Step.STOP,
            STOP_RETRY_AFTER,
        )

    def _take_quota(
        self, account: domain.Account | None, call: domain.Call
    ) -> float:
        if account is None:
            return 0.0
        cost = self._quota.cost(account, call)
        lack = self._quota.take(account, cost, self._clock())
        if lack > 0:
            raise _outcomes.rejection(
                errors.Code.RATE_LIMITED,
                f'account {account.name}: {cost:.0f} asked, bucket at '
                f'{self._quota.level(account, self._clock()):.0f}',
                steps.Step.LIMIT,
                lack,
            )
        if self._quota.is_near_limit(account):
            self._tell_counts()
        return cost

    async def _run(
        self,
        admitted: _Admitted,
        arrived: float,
        patience: float,
        reply: http_server.Reply,
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
            arrived + min(patience, route.timeout),
            reply,
        )
        self._count_request(admitted.service.name)
        outcome = 'client_gone'
        try:
            await self._send(job)
            outcome = str(job.attempts[-1].status)
            if not reply.is_complete:
                outcome = 'cut'
        except errors.Error as error:
            outcome = str(error.code)
            if reply.has_begun:
                return
            raise
        finally:
            if account is not None and not job.may_have_run:
                self._quota.give_back(account, admitted.cost)
            self._log(job, outcome, admitted.cost)

    async def _send(self, job: _jobs.Job) -> None:
        try:
            await self._dispatcher.run(job)
        except _jobs.HeldAnswer as held:
            if job.reply.has_begun:
                return
            await job.reply.send_response(
                held.answer.status, held.answer.headers, held.answer.body
            )

    def _log(self, job: _jobs.Job, outcome: str, cost: float) -> None:
        now = trio.current_time()
        first = job.first_byte or now
        account = job.account.name if job.account else ''
        self._metrics.observe_request(
            account,
            job.route.name,
            outcome,
            first - job.arrived,
            now - job.arrived,
        )
        log.info(
            'MLB-6601',
            request=job.call.request_id,
            route=job.route.name,
            account=account,
            cost=cost,
            adapter=str(job.call.adapter or ''),
            outcome=outcome,
            targets=[each.target_id for each in job.attempts],
            waited=round(job.waited, 3),
            first_byte=round(first - job.arrived, 3),
            seconds=round(now - job.arrived, 3),
            allowed=round(job.deadline - job.arrived, 3),
            configuration_age=round(self._configuration_age(), 3),
        )

    async def _tell(
        self,
        reply: http_server.Reply,
        request_id: str,
        error: errors.Error,
        arrived: float,
        left: float,
    ) -> None:
        """Send the final answer to a call that is given up."""
        retry_after = error.retry_after
        if retry_after is not None:
            retry_after = max(0.0, min(retry_after, left * RETRY_PART))
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
        headers = self._translation.refusal_headers(request_id, retry_after)
        body = str(error.code).encode()
        await reply.send_response(error.status, headers, body)


def _pick(services: tuple[domain.WeightedService, ...]) -> str:
    """Draw a service by weight."""
    if len(services) == 1:
        return services[0].service
    weights = [each.weight for each in services]
    return random.choices(services, weights)[0].service
