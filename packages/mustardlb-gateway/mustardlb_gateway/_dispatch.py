"""Chooses targets for a call and retries it where that is permitted."""

from collections import abc
import dataclasses
import math
import random

import structlog
import trio

from mustardlb import errors
from mustardlb import steps
from mustardlb_gateway import _admission
from mustardlb_gateway import _cold_permits
from mustardlb_gateway import _exchange
from mustardlb_gateway import _jobs
from mustardlb_gateway import _messages
from mustardlb_gateway import _outcomes
from mustardlb_gateway import _placement
from mustardlb_gateway import _prefill_queue
from mustardlb_gateway import _quarantine
from mustardlb_gateway import _target_permits
from mustardlb_gateway import _target_states
from mustardlb_gateway import _targets
from mustardlb_gateway import domain

log = structlog.get_logger()

# Delay before a target that was not reached twice is tried again.
REACH_RETRY_SECONDS = 0.04

# A load that failed faster was refused without waiting for a slot.
MIN_SLOT_WAIT_SECONDS = 0.04

# A load that takes longer is no longer awaited; the target is then chosen
# again from the state at that time.
LOAD_TIMEOUT_SECONDS = 0.8

# Reservations that may be rejected before a call goes to the engine with the
# shortest queue of those that were asked.
MAX_REJECTED_RESERVATIONS = 5

# A call is rejected if this many engines, those of lowest cost, would load its
# adapter too late, and no other engine has a free slot.
MAX_LATE_TURNS = 3

# No attempt is started with less time than this until the deadline.
MIN_TIME_LEFT_SECONDS = 0.05

# Where controllers give no estimate of a call's turn, a call that has missed
# its latency objective and still waits for a slot for its adapter after this
# part of its time is rejected. Controllers serve calls first that can be on
# time, so the call is not likely to get a slot, and the client has time left
# to return.
MAX_SLOT_WAIT_RATIO = 0.5

# A call waits for a target that has reached its limit up to this part of its
# latency objective.
MAX_PERMIT_WAIT_RATIO = 0.5

# Retry-After of a rejection without a better estimate; about the duration of
# an adapter load.
DEFAULT_RETRY_AFTER_SECONDS = 0.3

# Retry-After while no target has the software of a stream; about the time in
# which a target starts again.
RESTART_RETRY_AFTER_SECONDS = 2.0


class Dispatcher:
    """Sends calls to targets and retries them.

    `permits` decides on requests to targets that have named a limit, and
    `states` on those to targets that ask for rest or are brittle.
    `count_rejection` is called with service, priority and reason of calls that
    would wait too long. `waiting` holds the calls that no target takes now.
    `record_failure` is called with each attempt that a target may have failed
    on, whether its connection broke, and how long ago it was sent.
    `cold` decides on requests to cold targets. `record_broken` is called with
    each target whose connection broke or was refused.
    """

    def __init__(
        self,
        exchange: _exchange.Exchange,
        targets: _targets.TargetTable,
        placement: _placement.Placement,
        versions: abc.Callable[[domain.AdapterName], _jobs.AdapterVersions],
        load: abc.Callable[[_messages.Want], abc.Awaitable[bool]],
        reserve: abc.Callable[
            [_messages.Reserve], abc.Awaitable[_messages.Reserved | None]
        ],
        acquire_retry: abc.Callable[[str], bool],
        quarantine: _quarantine.Quarantine,
        record_failure: abc.Callable[
            [domain.Target, domain.Call, bool, float], None
        ],
        permits: _target_permits.TargetPermits,
        states: _target_states.TargetStates,
        cold: _cold_permits.ColdPermits | None = None,
        record_broken: abc.Callable[[domain.Target], None] = lambda _: None,
        count_rejection: abc.Callable[
            [str, int, str], None
        ] = lambda service, priority, reason: None,
    ) -> None:
        self._cold = cold
        self._record_broken = record_broken
        self._exchange = exchange
        self._targets = targets
        self._placement = placement
        self._versions = versions
        self._load = load
        self._reserve = reserve
        self._acquire_retry = acquire_retry
        self._quarantine = quarantine
        self._record_failure = record_failure
        self._permits = permits
        self._states = states
        self._count_rejection = count_rejection
        self.waiting = _admission.WaitingCalls()
        self._return_times = _admission.ReturnTimes()

    async def run(self, job: _jobs.Job) -> None:
        """Send the response to a call, or raise the error to respond with."""
        while True:
            choice = await self._choose_target(job)
            self._check_quarantine(job)
            if not await self._is_permitted(job, choice.target):
                continue
            if job.sent_attempts and not self._acquire_retry(job.service.name):
                raise self._final_error(job, 'the retry budget is exhausted')
            attempt = _outcomes.Attempt(
                choice.target.target_id, trio.current_time()
            )
            job.attempts.append(attempt)
            permitted_until = job.permitted_until.pop(
                choice.target.target_id, math.inf
            )
            if self._permits.is_limited(choice.target):
                attempt.permitted_until = permitted_until
            if job.is_trial and not job.sent_attempts:
                attempt.permitted_until = min(
                    attempt.permitted_until, job.trial_until
                )
            attempt.send_by = job.cold_permits.pop(
                choice.target.target_id, None
            )
            self._log_choice(job, choice)
            self.waiting.record_sent(job, choice.prefill_tokens)
            try:
                await self._exchange.run(job, attempt, choice)
            finally:
                self.waiting.notify_ended(job.service.name)
            if attempt.is_withheld:
                job.attempts.remove(attempt)
                continue
            self._record_attempt(job, attempt)
            if not attempt.is_link_failure and (
                attempt.is_broken or not attempt.was_sent
            ):
                self._record_broken(choice.target)
            if not attempt.was_sent:
                await self._handle_unreached(job, attempt)
                continue
            now = trio.current_time()
            if (
                attempt.outcome == _outcomes.Outcome.UNKNOWN
                and not attempt.is_link_failure
                and not attempt.has_lasting_output(now)
            ):
                self._record_failure(
                    choice.target,
                    job.call,
                    attempt.is_broken,
                    now - attempt.started_at,
                )
            if attempt.outcome == _outcomes.Outcome.ANSWERED:
                if attempt.response is None:
                    return
                if not self._may_retry(job):
                    await self._exchange.forward(job, attempt.response)
                    return
                continue
            if not self._may_retry(job):
                raise self._final_error(job, attempt.problem)

    async def _handle_unreached(
        self, job: _jobs.Job, attempt: _outcomes.Attempt
    ) -> None:
        """Wait for a moment if the target was not reached before either.

        Raises the final error if this node reaches no target at all and no
        other node helps.
        """
        if not self._may_retry(job) or attempt.is_link_failure:
            raise self._final_error(job, attempt.problem)
        tried = [each.target_id for each in job.attempts]
        if tried.count(attempt.target_id) > 1:
            await trio.sleep(REACH_RETRY_SECONDS)

    def _check_quarantine(self, job: _jobs.Job) -> None:
        """Raise the final error of a call that is quarantined by now."""
        if (
            job.is_trial
            and not job.sent_attempts
            and self._permits.now() < job.trial_until
        ):
            return
        if not self._quarantine.holds(job.call):
            return
        if job.may_have_run:
            raise self._final_error(job, 'targets have ended on such requests')
        raise _outcomes.quarantined(
            self._quarantine.wait(job.call), steps.Step.DISPATCH
        )

    def _check_software(self, job: _jobs.Job) -> None:
        """Raise the final error of a stream that can go on at no target."""
        if job.software is None or any(
            target.software == job.software
            for target in self._targets.ready(job.service.name)
        ):
            return
        problem = f'no target has the software {job.software!r} of the stream'
        if job.may_have_run:
            raise self._final_error(job, problem)
        raise _outcomes.rejection(
            errors.Code.NO_TARGET,
            problem,
            steps.Step.DISPATCH,
            RESTART_RETRY_AFTER_SECONDS,
        )

    async def _is_permitted(
        self, job: _jobs.Job, target: domain.Target, will_load: bool = False
    ) -> bool:
        """Return whether a call may be sent to a target now.

        A permit is kept while the adapter is loaded, but not one for a cold
        target, which is only asked for afterwards.
        """
        if not self._states.takes_requests(
            target
        ) or self._targets.is_evacuated(target):
            return False
        target_id = target.target_id
        if job.permitted_until.get(target_id, 0.0) <= self._permits.now():
            if not await self._permits.acquire(target, job.call.request_id):
                return False
            if self._targets.is_evacuated(target):
                return False
            job.permitted_until[target_id] = (
                self._permits.now() + _target_permits.PERMIT_TTL_SECONDS
            )
        return await self._is_permitted_cold(job, target, will_load)

    async def _is_permitted_cold(
        self, job: _jobs.Job, target: domain.Target, will_load: bool
    ) -> bool:
        """Return whether a call may be sent to a target that may be cold."""
        cold, target_id = self._cold, target.target_id
        if cold is None or cold.may_send(
            target, job.cold_permits.get(target_id)
        ):
            return True
        if will_load:
            return target_id not in cold.denied()
        send_by = await cold.acquire(target, job.call.request_id)
        if send_by is None or self._targets.is_evacuated(target):
            return False
        job.cold_permits[target_id] = send_by
        return True

    def _may_retry(self, job: _jobs.Job) -> bool:
        """Return whether the call may be sent to another target."""
        if job.sent_attempts >= job.route.max_attempts:
            return False
        latest = min(job.deadline, job.abandoned_at)
        if trio.current_time() + MIN_TIME_LEFT_SECONDS > latest:
            return False
        return job.route.may_repeat or not job.may_have_run

    def _log_choice(self, job: _jobs.Job, choice: _placement.Choice) -> None:
        log.info(
            'MLB-6604',
            request=job.call.request_id,
            target=choice.target.target_id,
            incarnation=choice.target.incarnation,
            software=choice.target.software,
            resumed=job.call.resumed_id,
            last_event=(
                job.splitter.last_id
                if job.splitter
                else job.call.last_event_id
            ),
            attempt=len(job.attempts),
            was_loaded=choice.must_load,
            unread_tokens=choice.prefill_tokens,
            estimate=round(choice.cost, 3),
            queue=job.reserved_queue and round(job.reserved_queue, 3),
            asked=job.controllers_asked,
            running=self._targets.in_flight(choice.target.target_id),
            failure_share=round(
                self._targets.health(choice.target.target_id).failure_share, 2
            ),
            targets_revision=self._targets.revision,
            targets_age=round(self._targets.age, 3),
            left=round(job.deadline - trio.current_time(), 3),
        )

    def _record_attempt(
        self, job: _jobs.Job, attempt: _outcomes.Attempt
    ) -> None:
        now = trio.current_time()
        if (
            attempt.outcome == _outcomes.Outcome.ANSWERED
            and not attempt.response
        ):
            self._targets.record_success(attempt.target_id)
            return
        log.info(
            'MLB-6602',
            request=job.call.request_id,
            route=job.route.name,
            left=round(job.deadline - now, 3),
            **attempt.describe(now),
        )
        if now >= job.deadline:
            # The call exceeded the timeout of its route, which does not mean
            # that the target is failing.
            return
        if attempt.is_link_failure:
            return
        if (
            attempt.outcome != _outcomes.Outcome.NOT_RUN
            or not attempt.was_sent
        ):
            self._targets.record_failure(
                attempt.target_id,
                attempt.problem,
                attempt.outcome == _outcomes.Outcome.ANSWERED,
            )

    def _final_error(self, job: _jobs.Job, problem: str) -> errors.Error:
        """Return the error that ends a call.

        Raises TargetErrorResponse if a target has returned an error response.
        """
        responses = [
            attempt.response for attempt in job.attempts if attempt.response
        ]
        time_left = job.deadline - trio.current_time()
        if responses:
            raise _jobs.TargetErrorResponse(responses[-1])
        if not job.may_have_run:
            return _outcomes.rejection(
                errors.Code.NO_TARGET,
                problem,
                steps.Step.DISPATCH,
                DEFAULT_RETRY_AFTER_SECONDS,
            )
        code = errors.Code.TARGET_FAILED
        if time_left <= MIN_TIME_LEFT_SECONDS:
            code = errors.Code.TARGET_TIMEOUT
        return errors.Error(
            code, problem, steps.Step.DISPATCH, job.attempts[-1].target_id
        )

    async def _choose_target(self, job: _jobs.Job) -> _placement.Choice:
        """Wait for a target that can execute the call.

        Raises the final error of the call shortly before its deadline.
        """
        started_at = trio.current_time()
        try:
            with self.waiting.place(job) as place:
                return await self._choose_in_turn(job, place)
        finally:
            job.waited += trio.current_time() - started_at

    async def _choose_in_turn(
        self, job: _jobs.Job, place: _admission.Place
    ) -> _placement.Choice:
        load_excluded: frozenset[str] = frozenset()
        while True:
            choice, request = await self._choose_reserved(
                job, load_excluded, place
            )
            place.take()
            now = trio.current_time()
            time_left = job.deadline - now
            adapter = job.call.adapter
            if not choice.must_load or adapter is None:
                return choice
            if self._is_too_late(job, choice, request):
                load_excluded |= {choice.target.target_id}
                continue
            load_timeout = min(
                LOAD_TIMEOUT_SECONDS,
                max(0.0, time_left - MIN_TIME_LEFT_SECONDS),
            )
            objective_at = job.arrived + job.route.latency_objective
            prefill_seconds = (
                choice.prefill_tokens
                / _prefill_queue.PREFILL_TOKENS_PER_SECOND
            )
            if await self._load(
                _messages.Want(
                    choice.target.target_id,
                    adapter,
                    request.min_version,
                    load_timeout,
                    objective_at - prefill_seconds - now,
                    job.priority,
                    job.account_name,
                    choice.prefill_tokens,
                )
            ) and self._targets.takes_requests(choice.target):
                return choice
            load_excluded |= {choice.target.target_id}
            self._check_slot_wait(job)
            if trio.current_time() - now < MIN_SLOT_WAIT_SECONDS:
                rest = self._latest_slot_wait(job) - trio.current_time()
                await self._wait(job, place, rest if rest > 0 else math.inf)

    @staticmethod
    def _latest_slot_wait(job: _jobs.Job) -> float:
        """Return until when a call waits for a slot without an estimate."""
        allowed = job.deadline - job.arrived
        return job.arrived + max(
            job.route.latency_objective, MAX_SLOT_WAIT_RATIO * allowed
        )

    def _check_slot_wait(self, job: _jobs.Job) -> None:
        """Raise a rejection if a call has waited too long for a slot.

        Calls with an estimate of their turn wait on.
        """
        now = trio.current_time()
        if now < self._latest_slot_wait(job) or job.turn is not None:
            return
        if job.may_have_run or not job.controllers_asked:
            return
        raise self._overloaded(
            job,
            f'the adapter was not loaded in {now - job.arrived:.2f} s, '
            f'{job.controllers_asked} controllers asked',
            'slot',
        )

    def _is_too_late(
        self,
        job: _jobs.Job,
        choice: _placement.Choice,
        request: _placement.PlacementRequest,
    ) -> bool:
        """Return whether an engine would load the adapter too late.

        Raises a rejection if the engines of lowest cost all would, and no
        other one has a free slot.
        """
        now = trio.current_time()
        time_left = (
            job.deadline
            - now
            - MIN_TIME_LEFT_SECONDS
            - choice.prefill_tokens / _prefill_queue.PREFILL_TOKENS_PER_SECOND
        )
        # A call that may have run cannot return, so that waiting is its best.
        if job.turn is None or job.may_have_run or job.turn <= time_left:
            job.late_turns.clear()
            return False
        # If an engine is chosen again, there is no other one to ask.
        is_repeated = choice.target.target_id in job.late_turns
        job.late_turns[choice.target.target_id] = job.turn
        if not is_repeated:
            if self._placement.has_free_slot(request, job.late_turns):
                return True
            engines = len(self._targets.ready(job.service.name))
            if len(job.late_turns) < min(MAX_LATE_TURNS, engines):
                return True
        turn = min(job.late_turns.values())
        log.info(
            'MLB-6620',
            request=job.call.request_id,
            service=job.service.name,
            priority=job.priority,
            account=job.account_name,
            turn=round(turn, 3),
            left=round(time_left, 3),
            asked=len(job.late_turns),
            seconds=round(now - job.arrived, 3),
        )
        raise self._overloaded(
            job,
            f'the adapter would be loaded in {turn:.2f} s at the earliest, '
            f'{len(job.late_turns)} controllers asked',
            'turn',
        )

    def _overloaded(
        self, job: _jobs.Job, problem: str, reason: str
    ) -> errors.Error:
        """Return the rejection of a call that has not run."""
        self._count_rejection(job.service.name, job.priority, reason)
        return _outcomes.rejection(
            errors.Code.OVERLOADED,
            problem,
            steps.Step.DISPATCH,
            self._return_times.choose(
                job.service.name,
                job.priority,
                job.deadline - trio.current_time(),
            ),
        )

    async def _choose_reserved(
        self,
        job: _jobs.Job,
        load_excluded: frozenset[str],
        place: _admission.Place,
    ) -> tuple[_placement.Choice, _placement.PlacementRequest]:
        """Choose a target and reserve time at it, if it is an engine.

        The choice is repeated with what the controllers of engines tell.
        """
        queue_seconds: dict[str, float] = {}
        absent: frozenset[str] = frozenset()
        rejections = 0
        while True:
            if job.deadline - trio.current_time() <= MIN_TIME_LEFT_SECONDS:
                raise self._final_error(
                    job, 'no target was available before the deadline'
                )
            self._check_quarantine(job)
            self._check_software(job)
            request = self._placement_request(
                job, load_excluded, queue_seconds, absent
            )
            choice = self._choose(job, request)
            is_denied = False
            if choice is None and request.denied:
                is_denied = await self._wait_for_permit(job, request, place)
            if choice is None:
                if not is_denied:
                    await self._wait(job, place)
                queue_seconds, absent = {}, frozenset()
                continue
            if not await self._is_permitted(
                job, choice.target, choice.must_load
            ):
                await trio.lowlevel.checkpoint()
                continue
            max_queue = choice.max_queue
            if rejections >= MAX_REJECTED_RESERVATIONS:
                max_queue = math.inf
            reserved = await self._reserve_at(job, choice, request, max_queue)
            if reserved is None or reserved.is_accepted:
                job.reserved_queue = reserved.queue if reserved else None
                return choice, request
            rejections += 1
            target_id = choice.target.target_id
            queue_seconds[target_id] = reserved.queue
            if not reserved.is_resident:
                absent |= {target_id}

    def _denied(self, job: _jobs.Job) -> dict[str, float]:
        """Return the seconds until targets take a request, by their ids."""
        ready = self._targets.ready(job.service.name)
        denied = self._permits.denied() | self._states.denied(ready)
        return denied | self._cold.denied() if self._cold else denied

    async def _wait(
        self,
        job: _jobs.Job,
        place: _admission.Place,
        seconds: float = math.inf,
    ) -> None:
        """Wait until there may be room, or for some seconds at most.

        Raises the final error if too many more urgent calls wait.
        """
        now = trio.current_time()
        until = min(now + seconds, job.deadline - MIN_TIME_LEFT_SECONDS)
        if await place.wait(until):
            return
        problem = 'too many calls wait for a target'
        if job.may_have_run:
            raise self._final_error(job, problem)
        raise self._overloaded(job, problem, 'queue')

    async def _wait_for_permit(
        self,
        job: _jobs.Job,
        request: _placement.PlacementRequest,
        place: _admission.Place,
    ) -> bool:
        """Wait for a target that has reached its limit, if that is short.

        Raises a rejection if the wait would be long. Returns False at once if
        there is no such target either.
        """
        without_limits = dataclasses.replace(request, denied=frozenset())
        if self._choose(job, without_limits) is None:
            return False
        denied = self._denied(job)
        wait = min(
            (
                denied[target.target_id]
                for target in self._targets.ready(job.service.name)
                if target.target_id in denied
            ),
            default=0.0,
        )
        now = trio.current_time()
        latest = job.arrived + MAX_PERMIT_WAIT_RATIO * (
            job.route.latency_objective
        )
        if self._cold is not None and self._cold.denied():
            # They take requests again soon, however slowly.
            latest = max(latest, job.deadline - MIN_TIME_LEFT_SECONDS)
        is_resting = any(
            self._states.rest(target)
            for target in self._targets.ready(job.service.name)
        )
        if now + wait <= latest and not is_resting:
            # Without a time, the events of requests that end are awaited.
            await self._wait(job, place, wait or latest - now)
            return True
        problem = 'no target takes requests for now, as targets have said'
        if job.may_have_run:
            raise self._final_error(job, problem)
        # Those who return are spread over as long again.
        raise _outcomes.rejection(
            errors.Code.OVERLOADED,
            problem,
            steps.Step.DISPATCH,
            random.uniform(wait, 2 * wait + DEFAULT_RETRY_AFTER_SECONDS),
        )

    def _choose(
        self, job: _jobs.Job, request: _placement.PlacementRequest
    ) -> _placement.Choice | None:
        choice = self._placement.choose(request)
        if choice is None and (job.attempts or request.load_excluded):
            # If no other target is suitable, those that were tried before are
            # considered again.
            return self._placement.choose(
                dataclasses.replace(
                    request, excluded=frozenset(), load_excluded=frozenset()
                )
            )
        return choice

    async def _reserve_at(
        self,
        job: _jobs.Job,
        choice: _placement.Choice,
        request: _placement.PlacementRequest,
        max_queue: float,
    ) -> _messages.Reserved | None:
        """Reserve time for a call's prompt; None if nobody decides on it."""
        if job.call.adapter is None or job.service.engine is None:
            return None
        reserved = await self._reserve(
            _messages.Reserve(
                choice.target.target_id,
                job.call.adapter,
                request.min_version,
                choice.prefill_tokens,
                max_queue,
                choice.must_load,
                job.priority,
                job.account_name,
                request.time_to_objective
                - choice.prefill_tokens
                / _prefill_queue.PREFILL_TOKENS_PER_SECOND,
            )
        )
        job.turn = reserved.turn if reserved is not None else None
        if reserved is not None:
            job.controllers_asked += 1
        return reserved

    def _placement_request(
        self,
        job: _jobs.Job,
        load_excluded: frozenset[str],
        queue_seconds: dict[str, float],
        absent: frozenset[str],
    ) -> _placement.PlacementRequest:
        adapter = job.call.adapter
        versions = _jobs.AdapterVersions(0, 0)
        if adapter is not None and adapter.adapter:
            versions = self._versions(adapter)
        return _placement.PlacementRequest(
            job.service,
            job.call,
            versions.minimum,
            versions.newest,
            frozenset(attempt.target_id for attempt in job.attempts),
            load_excluded,
            job.arrived + job.route.latency_objective - trio.current_time(),
            queue_seconds,
            absent,
            frozenset(self._denied(job)),
            job.software,
            job.route.kind == domain.RouteKind.STREAM,
        )
