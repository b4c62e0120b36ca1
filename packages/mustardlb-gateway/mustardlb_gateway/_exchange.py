"""Sends a call to one target and forwards the response to the client."""

from collections import abc
import math

import trio

from mustardlb_gateway import _buffers
from mustardlb_gateway import _event_stream
from mustardlb_gateway import _jobs
from mustardlb_gateway import _messages
from mustardlb_gateway import _outcomes
from mustardlb_gateway import _placement
from mustardlb_gateway import _prefill_queue
from mustardlb_gateway import _prefix_index
from mustardlb_gateway import _target_links
from mustardlb_gateway import _target_states
from mustardlb_gateway import _targets
from mustardlb_gateway import domain
from mustardlb_gateway import http_client
from mustardlb_gateway import http_server
from mustardlb_gateway import ports

# Responses other than streams are buffered before they are forwarded.
MAX_BUFFERED_RESPONSE_BYTES = 8_388_608

# Comments keep a stream open. More bytes without another event id come from a
# target that sends no answer any more.
MAX_UNNUMBERED_BYTES = _event_stream.MAX_EVENT_BYTES

# Time without data from a target after which it counts as unresponsive and a
# call that may be repeated is sent to another target: a ratio of the latency
# objective with a minimum. The minimum is longer for streams, whose first
# token may be queued behind other requests at a healthy target.
RESPONSE_TIMEOUT_RATIO = 1.6
MIN_RESPONSE_TIMEOUT_SECONDS = 0.35
MIN_STREAM_TIMEOUT_SECONDS = 2.5


# Part of a response time that does not depend on the prompt. It only matters
# for the comparison of cached prompts with others.
BASE_RESPONSE_SECONDS = 0.05

# The link to a target without data for this time is checked, and again after
# an interval that doubles each time. A check opens a connection, which targets
# limit, so the time that the target needs to prefill the prompt is added.
SILENCE_SECONDS = 0.3
MAX_EXPECTED_SILENCE_SECONDS = 0.7
CHECK_INTERVAL_SECONDS = 0.7


class Exchange:
    """Forwards calls to targets and their responses to clients.

    `may_send` returns whether a call, with a permit until some time or None,
    may be sent to a target now, as far as that depends on cold targets.
    """

    def __init__(
        self,
        translation: ports.Translation,
        pool: http_client.Pool,
        links: _target_links.TargetLinks,
        targets: _targets.TargetTable,
        prefix_index: _prefix_index.PrefixIndex,
        versions: abc.Callable[[domain.AdapterName], _jobs.AdapterVersions],
        record_output: abc.Callable[[domain.Call, float], None],
        record_limit: abc.Callable[
            [domain.Target, float | None, float, float | None], None
        ],
        states: _target_states.TargetStates,
        tell_rest: abc.Callable[[str, domain.Target, float, bool], None],
        record_origin: abc.Callable[
            [str, _messages.Origin, tuple[str, ...]], None
        ],
        ensure_current: abc.Callable[
            [], abc.Awaitable[None]
        ] = trio.lowlevel.cancel_shielded_checkpoint,
        record_response_time: abc.Callable[
            [domain.Target, str, float, float], object
        ] = lambda target, route, seconds, usual: None,
        clock: abc.Callable[[], float] = trio.current_time,
        buffers: _buffers.Buffers | None = None,
        may_send: abc.Callable[
            [domain.Target, float | None], bool
        ] = lambda target, send_by: True,
        confirm_targets: abc.Callable[
            [], abc.Awaitable[None]
        ] = trio.lowlevel.cancel_shielded_checkpoint,
        record_end: abc.Callable[[str], None] = lambda request_id: None,
    ) -> None:
        self._record_end = record_end
        self._may_send = may_send
        self._clock = clock
        self._confirm_targets = confirm_targets
        self._translation = translation
        self._ensure_current = ensure_current
        self._pool = pool
        self._links = links
        self._targets = targets
        self._prefix_index = prefix_index
        self._versions = versions
        self._record_output = record_output
        self._record_limit = record_limit
        self._states = states
        self._tell_rest = tell_rest
        self._record_origin = record_origin
        self._record_response_time = record_response_time
        self._buffers = buffers or _buffers.Buffers(lambda: 0.0)

    async def run(
        self,
        job: _jobs.Job,
        attempt: _outcomes.Attempt,
        choice: _placement.Choice,
    ) -> None:
        """Send a call to the chosen target and forward its response.

        Records the result in `attempt`. Raises ClientDisconnected.
        """
        target = choice.target
        prefill_tokens = choice.prefill_tokens
        self._targets.begin_request(
            target.target_id, job.call.adapter, prefill_tokens
        )
        is_prefilled = False

        def record_prefill() -> None:
            """Record that the target has processed the prompt.

            Called when a part of the response body is received.
            """
            nonlocal is_prefilled
            if not is_prefilled:
                is_prefilled = True
                self._targets.finish_prefill(target.target_id, prefill_tokens)
                self._prefix_index.record(target.target_id, job.call)
                if 200 <= attempt.status < 300:
                    self._record_response_time(
                        target,
                        job.route.name,
                        trio.current_time() - attempt.started_at,
                        BASE_RESPONSE_SECONDS
                        + prefill_tokens
                        / _prefill_queue.PREFILL_TOKENS_PER_SECOND,
                    )

        # The encoded request, besides the body that was received.
        request_held = self._buffers.open()
        request_held.add(len(job.call.body))
        with trio.CancelScope() as scope:
            job.held = self._buffers.open(
                abandon=lambda: _abandon(attempt, scope)
            )
            try:
                await self._send_and_receive(
                    job, attempt, choice, record_prefill
                )
            finally:
                if job.splitter is not None:
                    job.splitter.discard_partial()
                job.held.close()
                request_held.close()
                if not is_prefilled:
                    self._targets.finish_prefill(
                        target.target_id, prefill_tokens
                    )
                self._targets.end_request(target.target_id, job.call.adapter)

    async def _send_and_receive(
        self,
        job: _jobs.Job,
        attempt: _outcomes.Attempt,
        choice: _placement.Choice,
        record_prefill: abc.Callable[[], None],
    ) -> None:
        target = choice.target
        connection: http_client.Connection | None = None
        client_disconnected = False
        try:
            async with trio.open_nursery() as nursery:
                nursery.cancel_scope.deadline = job.deadline
                connection = await self._links.acquire(
                    target, job.call.request_id
                )
                if job.software is not None:
                    # A target that has restarted with other software since
                    # this node last heard of it must not go on with a stream.
                    await self._confirm_targets()
                await self._ensure_current()
                if self._clock() > job.expires_at:
                    # The machine was suspended, which trio's deadline does
                    # not count. The client has left.
                    job.deadline = trio.current_time()
                    attempt.is_withheld = True
                    raise http_client.ExchangeFailed(
                        'the deadline was during a suspension', was_sent=False
                    )
                if (
                    self._states.rest(target)
                    or not self._targets.takes_requests(target)
                    or self._clock() > attempt.permitted_until
                    or not self._may_send(target, attempt.send_by)
                ):
                    # It has asked for rest, left, restarted or become cold,
                    # its data centre was evacuated, or a permit has expired,
                    # while the connection was opened or this process paused.
                    attempt.is_withheld = True
                    raise http_client.ExchangeFailed(
                        'the target takes no requests for now', was_sent=False
                    )
                attempt.was_sent = True
                connection.add_request_id(job.call.request_id)
                attempt.helper = connection.helper
                nursery.start_soon(
                    self._report_unresponsive, job, target.target_id
                )
                nursery.start_soon(
                    self._watch_link, job, attempt, choice, connection
                )
                await connection.send(
                    job.call.method,
                    job.call.path,
                    self._forward_headers(job, target),
                    job.call.body,
                    nursery,
                )
                await self._receive_response(
                    job, attempt, target, connection, record_prefill
                )
                nursery.cancel_scope.cancel()
        except* http_client.ExchangeFailed as group:
            failure = _first_failure(group)
            attempt.problem = attempt.problem or str(failure)
            attempt.is_link_failure = failure.is_link_failure
            if not attempt.was_sent:
                attempt.outcome = _outcomes.Outcome.NOT_RUN
            elif connection is not None:
                attempt.is_broken = connection.is_ended_by_peer
                self._pool.record_broken(connection, target.service)
        except* http_server.ClientDisconnected:
            client_disconnected = True
        finally:
            if connection is not None:
                if attempt.outcome == _outcomes.Outcome.UNKNOWN:
                    connection.close()
                else:
                    self._pool.release(target.target_id, connection)
        if client_disconnected:
            raise http_server.ClientDisconnected
        if attempt.is_broken and not attempt.is_link_failure:
            with trio.move_on_at(job.deadline):
                attempt.is_link_failure = await self._links.is_link_broken(
                    target, attempt.helper
                )
        if (
            attempt.outcome == _outcomes.Outcome.UNKNOWN
            and not attempt.problem
        ):
            attempt.problem = 'no response before the deadline'

    def _forward_headers(
        self, job: _jobs.Job, target: domain.Target
    ) -> domain.Headers:
        version = None
        adapter = job.call.adapter
        if adapter is not None and adapter.adapter:
            version = self._versions(adapter).minimum or None
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

    async def _receive_response(
        self,
        job: _jobs.Job,
        attempt: _outcomes.Attempt,
        target: domain.Target,
        connection: http_client.Connection,
        record_prefill: abc.Callable[[], None],
    ) -> None:
        def is_for_call(head: http_client.Head) -> bool:
            info = self._translation.read_response(head.headers)
            self._record_state(target, connection, head, info)
            return info.request_id in (None, job.call.request_id)

        with self._response_timeout(job) as scope:
            head = await connection.receive_head(is_for_call)
        if scope.cancelled_caught:
            raise http_client.ExchangeFailed(
                'the target did not respond in time'
            )
        info = self._translation.read_response(head.headers)
        self._targets.record_response(attempt.target_id)
        if not connection.helper:
            self._links.reachability.record_contact(attempt.target_id)
        self._record_limit(
            target,
            info.request_limit,
            trio.current_time() - attempt.started_at,
            info.max_rejections,
        )
        attempt.status = head.status
        is_success = 200 <= head.status < 300
        # Status 421 (Misdirected Request) means that the target did not
        # execute the request, even if no header of the response says so.
        # Without an id, a rejection may be a late one of an earlier request.
        is_rejected = info.not_executed or head.status == 421
        if is_rejected and info.request_id is not None:
            await self._discard_body(job, connection)
            attempt.outcome = _outcomes.Outcome.NOT_RUN
            attempt.problem = f'rejected with status {head.status}'
            return
        if info.request_id is None:
            raise http_client.ExchangeFailed('the response has no request id')
        if is_success and not info.is_signed:
            raise http_client.ExchangeFailed('the response is not signed')
        if is_success and job.route.kind == domain.RouteKind.STREAM:
            if job.reply.has_begun and not _event_stream.is_event_stream(
                head.status, head.headers
            ):
                raise http_client.ExchangeFailed(
                    'the response does not continue the stream'
                )
            await self._forward_stream(
                job, attempt, target, connection, head, record_prefill
            )
            return
        body = await self._receive_body(job, connection)
        job.complete_response()
        record_prefill()
        attempt.output_at = trio.current_time()
        if is_success:
            self._record_output(job.call, 0.0)
        attempt.outcome = _outcomes.Outcome.ANSWERED
        response = _outcomes.BufferedResponse(
            head.status, self._translation.response_headers(head.headers), body
        )
        if head.status >= 500 or job.reply.has_begun:
            attempt.response = response
            attempt.problem = f'failed with status {head.status}'
            return
        await self.forward(job, response)

    async def _receive_body(
        self,
        job: _jobs.Job,
        connection: http_client.Connection,
    ) -> bytes:
        """Return the body of a response; raises ExchangeFailed."""
        with self._response_timeout(job):
            return await connection.receive_body(
                MAX_BUFFERED_RESPONSE_BYTES, job.hold
            )
        # Reached only after the timeout.
        raise http_client.ExchangeFailed(
            'the target stopped sending the response'
        )

    async def _discard_body(
        self, job: _jobs.Job, connection: http_client.Connection
    ) -> None:
        """Read the body of a rejection, which has to be complete.

        Raises ExchangeFailed.
        """
        with self._response_timeout(job):
            await connection.discard_body()
            return
        # Reached only after the timeout.
        raise http_client.ExchangeFailed(
            'the target stopped sending the rejection'
        )

    def _record_state(
        self,
        target: domain.Target,
        connection: http_client.Connection,
        head: http_client.Head,
        info: domain.ResponseInfo,
    ) -> None:
        """Record what a target says of itself.

        It takes a request for one of the node that relayed it, and that node
        has passed on the response unread.
        """
        rest = self._states.record_response(target, head.status, info)
        if connection.helper and (rest or info.is_leaving):
            self._tell_rest(connection.helper, target, rest, info.is_leaving)

    @staticmethod
    def _response_timeout_seconds(job: _jobs.Job) -> float:
        """Return the response timeout of a call, infinite if it has none.

        It has none if it may not be sent to another target or no attempts
        are left, and then waits for this target until its deadline.
        """
        if (
            not job.route.may_repeat
            or job.sent_attempts >= job.route.max_attempts
        ):
            return math.inf
        return _unresponsive_after_seconds(job.route)

    def _response_timeout(self, job: _jobs.Job) -> trio.CancelScope:
        """Return a scope for receiving data, with the response timeout."""
        deadline = _response_deadline(
            job, self._response_timeout_seconds(job), trio.current_time()
        )
        return trio.CancelScope(deadline=deadline)

    async def _watch_link(
        self,
        job: _jobs.Job,
        attempt: _outcomes.Attempt,
        choice: _placement.Choice,
        connection: http_client.Connection,
    ) -> None:
        """End an attempt whose link is broken, if it may be repeated.

        The link is checked whenever the target is silent for some time.
        """
        target = choice.target
        sent_at = silent_since = trio.current_time()
        expected = _expected_silence_seconds(job, choice)
        interval = CHECK_INTERVAL_SECONDS
        while True:
            silent_since = max(silent_since, connection.data_at)
            silence = SILENCE_SECONDS
            if silent_since <= sent_at:
                silence += expected
            await trio.sleep_until(silent_since + silence)
            if connection.data_at > silent_since:
                interval = CHECK_INTERVAL_SECONDS
                continue
            if await self._links.is_link_broken(target, connection.helper):
                attempt.is_link_failure = True
                if (
                    job.route.may_repeat
                    and job.sent_attempts < job.route.max_attempts
                ):
                    raise http_client.ExchangeFailed(
                        'the link to the target is broken',
                        is_link_failure=True,
                    )
            silent_since = trio.current_time() + interval
            interval *= 2

    async def _report_unresponsive(
        self, job: _jobs.Job, target_id: str
    ) -> None:
        """Record a failure if the target sent nothing within the timeout."""
        timeout = _unresponsive_after_seconds(job.route)
        await trio.sleep(timeout)
        if not self._links.reachability.is_lost(target_id):
            self._targets.record_timeout(target_id, timeout)

    async def forward(
        self, job: _jobs.Job, response: _outcomes.BufferedResponse
    ) -> None:
        """Send a buffered response to the client."""
        if job.reply.has_begun:
            # The client has received a part of a stream, so another response
            # cannot follow; the stream is truncated.
            return
        job.first_byte = trio.current_time()
        await job.send_response(response)

    async def _forward_stream(
        self,
        job: _jobs.Job,
        attempt: _outcomes.Attempt,
        target: domain.Target,
        connection: http_client.Connection,
        head: http_client.Head,
        record_prefill: abc.Callable[[], None],
    ) -> None:
        """Forward a stream; each event is sent once it is complete."""
        if job.splitter is not None:
            job.splitter.restart(must_continue=job.reply.has_begun)
        timeout = self._response_timeout_seconds(job)
        is_recorded = False
        # Bytes that complete no event are no progress.
        event_at = trio.current_time()
        while True:
            data = await _receive_data(connection, job, timeout, event_at)
            now = trio.current_time()
            if (
                data is None
                and attempt.output_at is None
                and not head.has_length
            ):
                # Without a length or chunks, this is how a target that ends
                # looks too.
                raise http_client.ExchangeFailed(
                    'the stream ended before its first event'
                )
            if job.splitter is None:
                job.splitter = _event_stream.EventSplitter(
                    job.call.last_event_id
                )
            if data is None:
                break
            record_prefill()
            if attempt.output_at is None:
                attempt.output_at = now
            elif not is_recorded and attempt.has_lasting_output(now):
                is_recorded = True
                self._record_output(job.call, now - attempt.output_at)
            self._targets.record_response(attempt.target_id)
            if not connection.helper:
                self._links.reachability.record_contact(attempt.target_id)
            last_id = job.splitter.last_id
            try:
                complete = job.splitter.feed(data)
            except ValueError as error:
                raise http_client.ExchangeFailed(str(error)) from error
            if job.splitter.last_id != last_id:
                connection.mark_progress()
            elif connection.byte_count > MAX_UNNUMBERED_BYTES:
                raise http_client.ExchangeFailed(
                    'the stream goes on without a further event id'
                )
            if not job.hold_event(job.splitter.partial_size):
                raise http_client.ExchangeFailed(
                    'no memory is left for the event'
                )
            if complete:
                if job.first_byte is None:
                    job.first_byte = now
                await self._begin_stream(job, target, head)
                await job.reply.send(complete)
                event_at = job.event_at = trio.current_time()
        if job.splitter.partial_size:
            raise http_client.ExchangeFailed('the last event is incomplete')
        if not is_recorded and attempt.output_at is not None:
            self._record_output(job.call, now - attempt.output_at)
        attempt.outcome = _outcomes.Outcome.ANSWERED
        await self._begin_stream(job, target, head)
        await job.reply.finish()
        for request_id in _stream_ids(job.call):
            self._record_end(request_id)

    async def _begin_stream(
        self, job: _jobs.Job, target: domain.Target, head: http_client.Head
    ) -> None:
        """Send the head of a stream, unless that was done.

        From then on the stream goes on at this software only. Before its first
        event it may begin at any.
        """
        if job.reply.has_begun:
            return
        job.software = target.software
        origin = _messages.Origin(target.service, target.software)
        for request_id in _stream_ids(job.call):
            self._record_origin(request_id, origin, job.route.service_names)
        await job.reply.begin(
            head.status, self._translation.response_headers(head.headers)
        )


def _stream_ids(call: domain.Call) -> list[str]:
    """Return the requests by which a client may resume a stream.

    It names the one that began the stream, or its last one.
    """
    return [each for each in (call.request_id, call.resumed_id) if each]


def _abandon(attempt: _outcomes.Attempt, scope: trio.CancelScope) -> None:
    """Give up a response, to make room for others."""
    attempt.problem = 'the response was the largest when memory ran out'
    scope.cancel()


def _first_failure(
    group: BaseExceptionGroup[http_client.ExchangeFailed],
) -> http_client.ExchangeFailed:
    """Return a failure of the link if there is one, else the first."""
    failures = [
        each
        for each in group.exceptions
        if isinstance(each, http_client.ExchangeFailed)
    ]
    return max(failures, key=lambda each: each.is_link_failure)


async def _receive_data(
    connection: http_client.Connection,
    job: _jobs.Job,
    timeout: float,
    event_at: float,
) -> bytes | None:
    """Return the next part of a stream; raises ExchangeFailed.

    :param event_at: when the last event was complete, trio time
    """
    deadline = _response_deadline(job, timeout, event_at)
    if deadline == math.inf:
        return await connection.receive_data()
    with trio.CancelScope(deadline=deadline):
        return await connection.receive_data()
    # Reached only after the deadline.
    raise http_client.ExchangeFailed('the target stopped sending the stream')


def _response_deadline(job: _jobs.Job, timeout: float, since: float) -> float:
    """Return when to give up on a target that was silent since a trio time.

    It is when the client abandons the stream, or infinite, if too little time
    would be left for another target.
    """
    if since + timeout + timeout / 2 < job.deadline:
        return min(since + timeout, job.abandoned_at)
    return job.abandoned_at


def _expected_silence_seconds(
    job: _jobs.Job, choice: _placement.Choice
) -> float:
    """Return the seconds that a target needs before its first output."""
    prefill = choice.prefill_tokens / _prefill_queue.PREFILL_TOKENS_PER_SECOND
    queue = job.reserved_queue or 0.0
    return min(MAX_EXPECTED_SILENCE_SECONDS, queue + prefill)


def _unresponsive_after_seconds(route: domain.Route) -> float:
    """Return the seconds after which a target counts as unresponsive."""
    timeout = max(
        MIN_RESPONSE_TIMEOUT_SECONDS,
        RESPONSE_TIMEOUT_RATIO * route.latency_objective,
    )
    if route.kind == domain.RouteKind.STREAM:
        timeout = max(timeout, MIN_STREAM_TIMEOUT_SECONDS)
    return timeout
