"""Sends a call to one target and passes on what comes back."""

from collections import abc

import trio

from mustardlb_gateway import _event_stream
from mustardlb_gateway import _jobs
from mustardlb_gateway import _outcomes
from mustardlb_gateway import _placement
from mustardlb_gateway import _prefixes
from mustardlb_gateway import _targets
from mustardlb_gateway import domain
from mustardlb_gateway import http_client
from mustardlb_gateway import http_server
from mustardlb_gateway import ports

# Largest answer that is held to its end before it is passed on, bytes.
WHOLE_LIMIT = 8_388_608

# Silence of a target before it counts against the target, and before a call
# that may be repeated goes elsewhere: part of the latency objective, and the
# least, seconds. A stream that waits behind others for its first token is
# silent for long without any fault.
SILENCE_PART = 1.6
LEAST_SILENCE = 0.35
STREAM_SILENCE = 2.5


class Exchange:
    """Requests to targets and their answers."""

    def __init__(
        self,
        translation: ports.Translation,
        pool: http_client.Pool,
        targets: _targets.TargetTable,
        prefixes: _prefixes.PrefixMemory,
        versions: abc.Callable[[domain.AdapterName], _jobs.Versions],
    ) -> None:
        self._translation = translation
        self._pool = pool
        self._targets = targets
        self._prefixes = prefixes
        self._versions = versions

    async def run(
        self,
        job: _jobs.Job,
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
        job: _jobs.Job,
        attempt: _outcomes.Attempt,
        target: domain.Target,
        note_read: abc.Callable[[], None],
    ) -> None:
        connection: http_client.Connection | None = None
        client_gone = False
        try:
            async with trio.open_nursery() as nursery:
                nursery.cancel_scope.deadline = job.deadline
                connection = await self._pool.acquire(
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
                attempt.outcome = _outcomes.Outcome.NOT_RUN
            elif connection is not None:
                self._pool.record_broken(connection, target.service)
        except* http_server.ClientDisconnected:
            client_gone = True
        finally:
            if connection is not None:
                if attempt.outcome == _outcomes.Outcome.UNKNOWN:
                    connection.close()
                else:
                    self._pool.release(target.target_id, connection)
        if client_gone:
            raise http_server.ClientDisconnected
        if (
            attempt.outcome == _outcomes.Outcome.UNKNOWN
            and not attempt.problem
        ):
            attempt.problem = 'no answer in time'

    def _headers(
        self, job: _jobs.Job, target: domain.Target
    ) -> domain.Headers:
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
        job: _jobs.Job,
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
            attempt.outcome = _outcomes.Outcome.NOT_RUN
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
        attempt.outcome = _outcomes.Outcome.ANSWERED
        answer = _outcomes.BufferedResponse(
            head.status, self._translation.answer_headers(head.headers), body
        )
        if head.status >= 500 or job.splitter is not None:
            attempt.response = answer
            attempt.problem = f'failed with {head.status}'
            return
        await self.pass_on(job, answer)

    def _silence(self, job: _jobs.Job) -> trio.CancelScope:
        """Bound a wait where the call may still go to another target."""
        now = trio.current_time()
        scope = trio.CancelScope(deadline=float('inf'))
        if not job.route.may_repeat or job.sends >= job.route.max_attempts:
            return scope
        wait = _longest_silence(job.route)
        if now + wait + wait / 2 < job.deadline:
            scope.deadline = now + wait
        return scope

    async def _watch_silence(self, job: _jobs.Job, target_id: str) -> None:
        """Count it against a target that it gives no sign of life."""
        wait = _longest_silence(job.route)
        await trio.sleep(wait)
        self._targets.note_silence(target_id, wait)

    async def pass_on(
        self, job: _jobs.Job, answer: _outcomes.BufferedResponse
    ) -> None:
        if job.splitter is not None:
            # A stream has begun: it can only break off.
            return
        job.first_byte = trio.current_time()
        await job.reply.send_response(
            answer.status, answer.headers, answer.body
        )

    async def _relay(
        self,
        job: _jobs.Job,
        attempt: _outcomes.Attempt,
        connection: http_client.Connection,
        head: http_client.Head,
        note_read: abc.Callable[[], None],
    ) -> None:
        """Pass events on as they come, whole."""
        if job.splitter is not None:
            # The next target sends the event that broke off from its start.
            job.splitter.discard_partial()
        while True:
            with self._silence(job) as scope:
                data = await connection.receive_data()
            if scope.cancelled_caught:
                raise http_client.ExchangeFailed('the stream fell silent')
            if job.splitter is None:
                job.splitter = _event_stream.EventSplitter(
                    job.call.last_event_id
                )
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
        if job.splitter.partial:
            raise http_client.ExchangeFailed('the last event is not whole')
        attempt.outcome = _outcomes.Outcome.ANSWERED
        await job.reply.finish()


def _longest_silence(route: domain.Route) -> float:
    """Return the seconds after which a silent target is in doubt."""
    wait = max(LEAST_SILENCE, SILENCE_PART * route.latency_objective)
    if route.kind == domain.RouteKind.STREAM:
        wait = max(wait, STREAM_SILENCE)
    return wait
