"""Sends a call to a target, and to a further one where that is allowed."""

from collections import abc
import dataclasses

import structlog
import trio

from mustardlb import errors
from mustardlb import steps
from mustardlb_gateway import _exchange
from mustardlb_gateway import _jobs
from mustardlb_gateway import _outcomes
from mustardlb_gateway import _placement
from mustardlb_gateway import _targets
from mustardlb_gateway import domain

log = structlog.get_logger()

# Pause before a look for a target is repeated, seconds.
CHOICE_PAUSE = 0.04

# Seconds for one wait for an adapter; then the choice is made anew with
# what has changed meanwhile.
LOAD_PATIENCE = 0.8

# Least time in which a call can still be answered, seconds.
LEAST_TIME = 0.05

# Seconds that a client is told to wait after a refusal, where nothing better
# is known: about one load of an adapter.
RETRY_AFTER = 0.3


class Dispatcher:
    """Brings calls to targets."""

    def __init__(
        self,
        exchange: _exchange.Exchange,
        targets: _targets.TargetTable,
        placement: _placement.Placement,
        versions: abc.Callable[[domain.AdapterName], _jobs.Versions],
        load: abc.Callable[
            [str, domain.AdapterName, int, float, float],
            abc.Awaitable[bool],
        ],
        take_retry: abc.Callable[[str], bool],
    ) -> None:
        self._exchange = exchange
        self._targets = targets
        self._placement = placement
        self._versions = versions
        self._load = load
        self._take_retry = take_retry

    async def run(self, job: _jobs.Job) -> None:
        """Answer a call, or raise the error that it is to be told."""
        while True:
            choice = await self._choose(job)
            if job.sends and not self._take_retry(job.service.name):
                raise self._final(job, 'the retry budget is spent')
            attempt = _outcomes.Attempt(
                choice.target.target_id, trio.current_time()
            )
            job.attempts.append(attempt)
            self._note_choice(job, choice)
            await self._exchange.run(job, attempt, choice)
            self._note(job, attempt)
            if attempt.outcome == _outcomes.Outcome.ANSWERED:
                if attempt.response is None:
                    return
                if not self._may_go_on(job):
                    await self._exchange.pass_on(job, attempt.response)
                    return
                continue
            if not self._may_go_on(job):
                raise self._final(job, attempt.problem)

    def _may_go_on(self, job: _jobs.Job) -> bool:
        """Whether the rules of the route allow a further target."""
        if job.sends >= job.route.max_attempts:
            return False
        if trio.current_time() + LEAST_TIME > job.deadline:
            return False
        return job.route.may_repeat or not job.may_have_run

    def _note_choice(self, job: _jobs.Job, choice: _placement.Choice) -> None:
        log.info(
            'MLB-6604',
            request=job.call.request_id,
            target=choice.target.target_id,
            attempt=len(job.attempts),
            was_loaded=choice.must_load,
            unread_tokens=choice.unread_tokens,
            estimate=round(choice.estimate, 3),
            running=self._targets.running(choice.target.target_id),
            failure_share=round(
                self._targets.health(choice.target.target_id).failure_share, 2
            ),
            targets_revision=self._targets.revision,
            targets_age=round(self._targets.age, 3),
            left=round(job.deadline - trio.current_time(), 3),
        )

    def _note(self, job: _jobs.Job, attempt: _outcomes.Attempt) -> None:
        now = trio.current_time()
        if (
            attempt.outcome == _outcomes.Outcome.ANSWERED
            and not attempt.response
        ):
            self._targets.note_success(attempt.target_id)
            return
        log.info(
            'MLB-6602',
            request=job.call.request_id,
            route=job.route.name,
            left=round(job.deadline - now, 3),
            **attempt.describe(now),
        )
        if now >= job.deadline:
            # The call took longer than its route allows; that may be right.
            return
        if (
            attempt.outcome != _outcomes.Outcome.NOT_RUN
            or not attempt.was_sent
        ):
            self._targets.note_failure(
                attempt.target_id,
                attempt.problem,
                attempt.outcome == _outcomes.Outcome.ANSWERED,
            )

    def _final(self, job: _jobs.Job, problem: str) -> errors.Error:
        """Return the error that ends a call."""
        held = [each.response for each in job.attempts if each.response]
        left = job.deadline - trio.current_time()
        if held:
            raise _jobs.HeldAnswer(held[-1])
        if not job.may_have_run:
            return _outcomes.rejection(
                errors.Code.NO_TARGET,
                problem,
                steps.Step.DISPATCH,
                RETRY_AFTER,
            )
        code = errors.Code.TARGET_FAILED
        if left <= LEAST_TIME:
            code = errors.Code.TARGET_TIMEOUT
        return errors.Error(
            code, problem, steps.Step.DISPATCH, job.attempts[-1].target_id
        )

    async def _choose(self, job: _jobs.Job) -> _placement.Choice:
        """Wait for a target that can take the call."""
        began = trio.current_time()
        adapter = job.call.adapter
        without_load: frozenset[str] = frozenset()
        while True:
            now = trio.current_time()
            left = job.deadline - now
            if left <= LEAST_TIME:
                raise self._final(job, 'no target could take it in time')
            wish = self._wish(job, without_load)
            choice = self._placement.choose(wish)
            if choice is None and (job.attempts or without_load):
                without_load = frozenset()
                choice = self._placement.choose(
                    dataclasses.replace(
                        wish, without=frozenset(), without_load=frozenset()
                    )
                )
            if choice is None:
                await trio.sleep(CHOICE_PAUSE)
                continue
            if not choice.must_load or adapter is None:
                job.waited += now - began
                return choice
            patience = min(LOAD_PATIENCE, left - LEAST_TIME)
            late_at = job.arrived + job.route.latency_objective
            read_time = choice.unread_tokens / _placement.READ_RATE
            if await self._load(
                choice.target.target_id,
                adapter,
                wish.version,
                patience,
                late_at - read_time - now,
            ) and self._targets.takes_requests(choice.target):
                job.waited += trio.current_time() - began
                return choice
            without_load |= {choice.target.target_id}
            await trio.sleep(min(CHOICE_PAUSE, left / 2))

    def _wish(
        self, job: _jobs.Job, without_load: frozenset[str]
    ) -> _placement.Wish:
        adapter = job.call.adapter
        versions = _jobs.Versions(0, 0)
        if adapter is not None and adapter.adapter:
            versions = self._versions(adapter)
        return _placement.Wish(
            job.service,
            job.call,
            versions.least,
            versions.newest,
            frozenset(each.target_id for each in job.attempts),
            without_load,
            job.arrived + job.route.latency_objective - trio.current_time(),
        )
