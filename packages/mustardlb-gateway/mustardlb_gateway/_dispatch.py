"""Sends a call to a target, and to a further one where that is allowed."""

from collections import abc
import dataclasses

import structlog
import trio

from mustardlb import errors
from mustardlb import steps
from mustardlb_gateway import _events
from mustardlb_gateway import _outcomes
from mustardlb_gateway import _placement
from mustardlb_gateway import _prefixes
from mustardlb_gateway import _targets
from mustardlb_gateway import domain
from mustardlb_gateway import http_client
from mustardlb_gateway import http_server
from mustardlb_gateway import ports

log = structlog.get_logger()

# Largest answer that is held to its end before it is passed on, bytes.
WHOLE_LIMIT = 8_388_608

# Pause before a look for a target is repeated, seconds.
CHOICE_PAUSE = 0.04

# Seconds for one wait for an adapter; then the choice is made anew with
# what has changed meanwhile.
LOAD_PATIENCE = 0.8

# Least time in which a call can still be answered, seconds.
LEAST_TIME = 0.05

# Silence of a target before it counts against the target, and before a call
# that may be repeated goes elsewhere: part of the latency objective, and the
# least, seconds. A stream that waits behind others for its first token is
# silent for long without any fault.
SILENCE_PART = 1.6
LEAST_SILENCE = 0.35
STREAM_SILENCE = 2.5

# Seconds that a client is told to wait after a refusal, where nothing better
# is known: about one load of an adapter.
RETRY_AFTER = 0.3


@dataclasses.dataclass(slots=True)
class Job:
    """A call that was admitted.

    :ivar deadline: when it gets its final answer, trio time
    :ivar splitter: the stream as passed on so far, None before it begins
    """

    call: domain.Call
    route: domain.Route
    service: domain.Service
    account: domain.Account | None
    priority: int
    arrived: float
    deadline: float
    reply: http_server.Reply
    attempts: list[_outcomes.Attempt] = dataclasses.field(default_factory=list)
    splitter: _events.EventSplitter | None = None
    first_byte: float | None = None
    waited: float = 0.0

    @property
    def sends(self) -> int:
        """Attempts that may have arrived at a target."""
        return sum(1 for attempt in self.attempts if attempt.was_sent)

    @property
    def may_have_run(self) -> bool:
        """Whether a target may have run it."""
        return any(
            attempt.was_sent and attempt.fate != _outcomes.Fate.NOT_RUN
            for attempt in self.attempts
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Versions:
    """The version of an adapter that a call needs.

    :ivar least: older ones will not do; 0 for any
    :ivar newest: the newest known, 0 where none is named
    """

    least: int
    newest: int


class Dispatcher:
    """Brings calls to targets."""

    def __init__(
        self,
        translation: ports.Translation,
        pool: http_client.Pool,
        targets: _targets.TargetTable,
        placement: _placement.Placement,
        prefixes: _prefixes.PrefixMemory,
        versions: abc.Callable[[domain.AdapterName], Versions],
        load: abc.Callable[
            [str, domain.AdapterName, int, float, float],
            abc.Awaitable[bool],
        ],
        take_retry: abc.Callable[[str], bool],
    ) -> None:
        self._translation = translation
        self._pool = pool
        self._targets = targets
        self._placement = placement
        self._prefixes = prefixes
        self._versions = versions
        self._load = load
        self._take_retry = take_retry

    async def run(self, job: Job) -> None:
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
            await self._attempt(job, attempt, choice)
            self._note(job, attempt)
            if attempt.fate == _outcomes.Fate.ANSWERED:
                if attempt.answer is None:
                    return
                if not self._may_go_on(job):
                    await self._pass_on(job, attempt.answer)
                    return
                continue
            if not self._may_go_on(job):
                raise self._final(job, attempt.problem)

    def _may_go_on(self, job: Job) -> bool:
        """Whether the rules of the route allow a further target."""
        if job.sends >= job.route.max_attempts:
            return False
        if trio.current_time() + LEAST_TIME > job.deadline:
            return False
        return job.route.may_repeat or not job.may_have_run

    def _note_choice(self, job: Job, choice: _placement.Choice) -> None:
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

    def _note(self, job: Job, attempt: _outcomes.Attempt) -> None:
        now = trio.current_time()
        if attempt.fate == _outcomes.Fate.ANSWERED and not attempt.answer:
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
        if attempt.fate != _outcomes.Fate.NOT_RUN or not attempt.was_sent:
            self._targets.note_failure(
                attempt.target_id,
                attempt.problem,
                attempt.fate == _outcomes.Fate.ANSWERED,
            )

    def _final(self, job: Job, problem: str) -> errors.Error:
        """Return the error that ends a call."""
        held = [each.answer for each in job.attempts if each.answer]
        left = job.deadline - trio.current_time()
        if held:
            raise HeldAnswer(held[-1])
        if not job.may_have_run:
            return _outcomes.refusal(
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

    async def _choose(self, job: Job) -> _placement.Choice:
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

    def _wish(self, job: Job, without_load: frozenset[str]) -> _placement.Wish:
        adapter = job.call.adapter
        versions = Versions(0, 0)
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

    async def _attempt(
        self,
        job: Job,
        attempt: _outcomes.Attempt,
        choice: _placement.Choice,
    ) -> None:
        """Send a call to one target and take what comes back."""
        target = choice.target
        unread = choice.unread_tokens
        self._targets.begin(target.target_id, job.call.adapter, unread)
        is_read = False

        def note_read() -> None:
            nonlocal is_read
            if not is_read:
                is_read = True
                self._targets.note_read(target.target_id, unread)
                self._prefixes.note(target.target_id, job.call)

        try:
            await self._exchange(job, attempt, target, note_read)
        finally:
            if not is_read:
                self._targets.note_read(target.target_id, unread)
            self._targets.end(target.target_id, job.call.adapter)

    async def _exchange(
        self,
        job: Job,
        attempt: _outcomes.Attempt,
        target: domain.Target,
        note_read: abc.Callable[[], None],
    ) -> None:
        connection: http_client.Connection | None = None
        client_gone = False
        try:
            async with trio.open_nursery() as nursery:
                nursery.cancel_scope.deadline = job.deadline
                connection = await self._pool.take(
                    target.target_id,
                    target.host,
                    target.port,
                    target.service,
                )
                attempt.was_sent = True
                nursery.start_soon(self._watch_silence, job, target.target_id)
                await connection.send(
                    job.call.method,
                    job.call.path,
                    self._headers(job, target),
                    job.call.body,
                    nursery,
                )
                await self._receive(job, attempt, connection, note_read)
                nursery.cancel_scope.cancel()
        except* http_client.ExchangeFailed as group:
            failure = group.exceptions[0]
            attempt.problem = attempt.problem or str(failure)
            if not attempt.was_sent:
                attempt.fate = _outcomes.Fate.NOT_RUN
            elif connection is not None:
                self._pool.note_broken(connection, target.service)
        except* http_server.ClientGone:
            client_gone = True
        finally:
            if connection is not None:
                if attempt.fate == _outcomes.Fate.UNKNOWN:
                    connection.close()
                else:
                    self._pool.give_back(target.target_id, connection)
        if client_gone:
            raise http_server.ClientGone
        if attempt.fate == _outcomes.Fate.UNKNOWN and not attempt.problem:
            attempt.problem = 'no answer in time'

    def _headers(self, job: Job, target: domain.Target) -> domain.Headers:
        version = None
        adapter = job.call.adapter
        if adapter is not None and adapter.adapter:
            version = self._versions(adapter).least or None
        last_id = job.splitter.last_id if job.splitter else None
        return self._translation.forward_headers(
            job.call,
            target,
            job.deadline - trio.current_time(),
            job.account,
            job.priority,
            version,
            last_id or job.call.last_event_id,
        )

    async def _receive(
        self,
        job: Job,
        attempt: _outcomes.Attempt,
        connection: http_client.Connection,
        note_read: abc.Callable[[], None],
    ) -> None:
        def is_ours(head: http_client.Head) -> bool:
            info = self._translation.read_answer(head.headers)
            return info.request_id in (None, job.call.request_id)

        with self._silence(job) as scope:
            head = await connection.receive_head(is_ours)
        if scope.cancelled_caught:
            raise http_client.ExchangeFailed('the target is silent')
        info = self._translation.read_answer(head.headers)
        self._targets.note_answer(attempt.target_id)
        attempt.status = head.status
        is_success = 200 <= head.status < 300
        if info.not_executed or head.status == 421:
            await connection.receive_body(WHOLE_LIMIT)
            attempt.fate = _outcomes.Fate.NOT_RUN
            attempt.problem = f'refused with {head.status}'
            return
        if info.request_id is None:
            raise http_client.ExchangeFailed('the answer names no request')
        if is_success and not info.is_signed:
            raise http_client.ExchangeFailed('the answer has no signature')
        if is_success and job.route.kind == domain.RouteKind.STREAM:
            await self._relay(job, attempt, connection, head, note_read)
            return
        with self._silence(job) as scope:
            body = await connection.receive_body(WHOLE_LIMIT)
        if scope.cancelled_caught:
            raise http_client.ExchangeFailed('the target fell silent')
        note_read()
        attempt.fate = _outcomes.Fate.ANSWERED
        answer = _outcomes.WholeAnswer(
            head.status, self._translation.answer_headers(head.headers), body
        )
        if head.status >= 500 or job.splitter is not None:
            attempt.answer = answer
            attempt.problem = f'failed with {head.status}'
            return
        await self._pass_on(job, answer)

    def _silence(self, job: Job) -> trio.CancelScope:
        """Bound a wait where the call may still go to another target."""
        now = trio.current_time()
        scope = trio.CancelScope(deadline=float('inf'))
        if not job.route.may_repeat or job.sends >= job.route.max_attempts:
            return scope
        wait = _longest_silence(job.route)
        if now + wait + wait / 2 < job.deadline:
            scope.deadline = now + wait
        return scope

    async def _watch_silence(self, job: Job, target_id: str) -> None:
        """Count it against a target that it gives no sign of life."""
        wait = _longest_silence(job.route)
        await trio.sleep(wait)
        self._targets.note_silence(target_id, wait)

    async def _pass_on(self, job: Job, answer: _outcomes.WholeAnswer) -> None:
        if job.splitter is not None:
            # A stream has begun: it can only break off.
            return
        job.first_byte = trio.current_time()
        await job.reply.send_whole(answer.status, answer.headers, answer.body)

    async def _relay(
        self,
        job: Job,
        attempt: _outcomes.Attempt,
        connection: http_client.Connection,
        head: http_client.Head,
        note_read: abc.Callable[[], None],
    ) -> None:
        """Pass events on as they come, whole."""
        if job.splitter is not None:
            # The next target sends the event that broke off from its start.
            job.splitter.drop_rest()
        while True:
            with self._silence(job) as scope:
                data = await connection.receive_data()
            if scope.cancelled_caught:
                raise http_client.ExchangeFailed('the stream fell silent')
            if job.splitter is None:
                job.splitter = _events.EventSplitter(job.call.last_event_id)
                await job.reply.begin(
                    head.status,
                    self._translation.answer_headers(head.headers),
                )
            if data is None:
                break
            note_read()
            self._targets.note_answer(attempt.target_id)
            whole = job.splitter.feed(data)
            if whole:
                if job.first_byte is None:
                    job.first_byte = trio.current_time()
                await job.reply.send(whole)
        if job.splitter.rest:
            raise http_client.ExchangeFailed('the last event is not whole')
        attempt.fate = _outcomes.Fate.ANSWERED
        await job.reply.finish()


def _longest_silence(route: domain.Route) -> float:
    """Return the seconds after which a silent target is in doubt."""
    wait = max(LEAST_SILENCE, SILENCE_PART * route.latency_objective)
    if route.kind == domain.RouteKind.STREAM:
        wait = max(wait, STREAM_SILENCE)
    return wait


class HeldAnswer(Exception):
    """A target's failure is the best answer that there is."""

    def __init__(self, answer: _outcomes.WholeAnswer) -> None:
        super().__init__(answer.status)
        self.answer = answer
