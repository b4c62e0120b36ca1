import builders
import gateway_harness
import pytest
import scripted
from structlog import testing
import trio

from mustardlb_gateway import _dispatch
from mustardlb_gateway import _gateway
from mustardlb_gateway import _jobs
from mustardlb_gateway import _messages
from mustardlb_gateway import domain

NON_IDEMPOTENT = builders.make_route(kind=domain.RouteKind.NON_IDEMPOTENT)
IDEMPOTENT = builders.make_route()
STREAM = builders.make_route(kind=domain.RouteKind.STREAM, is_resumable=True)
NON_RESUMABLE_STREAM = builders.make_route(kind=domain.RouteKind.STREAM)


async def respond_ok(connection, head, body):
    await connection.send(scripted.response(scripted.request_id(head)))


async def reject_not_run(connection, head, body):
    await connection.send(
        scripted.response(
            scripted.request_id(head), b'', 503, b'x-not-run: 1', False
        )
    )


async def respond_500(connection, head, body):
    await connection.send(
        scripted.response(scripted.request_id(head), b'bad', 500)
    )


async def reset_connection(connection, head, body):
    await connection.reset()


async def never_respond(connection, head, body):
    await trio.sleep_forever()


async def respond_unsigned(connection, head, body):
    await connection.send(
        scripted.response(scripted.request_id(head), signed=False)
    )


async def test_response_and_headers_are_forwarded_unchanged():
    async with gateway_harness.Harness(IDEMPOTENT).running(
        respond_ok
    ) as harness:
        response = await harness.send_request()
    assert (response.status, response.body) == (200, b'ok')
    assert response.headers[b'x-signed'] == b'1'
    head = dict(harness.scripted[0].requests[0][0].headers)
    assert head[b'x-target'] == b't0'
    assert 1.5 < float(head[b'x-left']) <= 2.0


@pytest.mark.parametrize(
    'first', [reset_connection, respond_500, reject_not_run, respond_unsigned]
)
async def test_idempotent_request_is_retried_at_another_target(first):
    async with gateway_harness.Harness(IDEMPOTENT).running(
        first, respond_ok
    ) as harness:
        responses = [await harness.send_request() for _ in range(4)]
    assert {response.status for response in responses} == {200}


@pytest.mark.parametrize('first', [reset_connection, respond_unsigned])
async def test_non_idempotent_request_that_may_have_run_is_not_retried(first):
    async with gateway_harness.Harness(NON_IDEMPOTENT).running(
        first, first
    ) as harness:
        response = await harness.send_request()
        assert response.status == 502
        assert b'retry-after' not in response.headers
        assert harness.request_count == 1


async def test_error_response_of_a_target_is_forwarded():
    async with gateway_harness.Harness(NON_IDEMPOTENT).running(
        respond_500
    ) as harness:
        response = await harness.send_request()
        assert (response.status, response.body) == (500, b'bad')
        assert response.headers[b'x-signed'] == b'1'


async def test_rejected_request_is_retried_at_another_target():
    harness = gateway_harness.Harness(NON_IDEMPOTENT)
    async with harness.running(reject_not_run, reject_not_run) as harness:
        response = await harness.send_request()
        assert response.status == 503
        assert float(response.headers[b'retry-after']) < 2 / 3
        assert harness.request_count == 2


async def test_attempts_are_limited_by_the_route():
    route = builders.make_route(max_attempts=2)
    async with gateway_harness.Harness(route).running(
        reset_connection, reset_connection, reset_connection
    ) as harness:
        response = await harness.send_request()
        assert response.status == 502
        assert harness.request_count == 2


async def test_exhausted_retry_budget_prevents_a_retry():
    harness = gateway_harness.Harness(IDEMPOTENT, retries_left=0)
    async with harness.running(reset_connection, reset_connection) as harness:
        response = await harness.send_request()
        assert response.status == 502
        assert harness.request_count == 1


async def test_error_response_is_forwarded_when_no_retry_is_left():
    harness = gateway_harness.Harness(IDEMPOTENT, retries_left=0)
    async with harness.running(respond_500, respond_500) as harness:
        response = await harness.send_request()
        assert (response.status, response.body) == (500, b'bad')


async def test_route_timeout_bounds_the_response_time():
    route = builders.make_route(
        kind=domain.RouteKind.NON_IDEMPOTENT, timeout=0.3
    )
    async with gateway_harness.Harness(route).running(
        never_respond
    ) as harness:
        began = trio.current_time()
        response = await harness.send_request()
        assert response.status == 504
        assert 0.25 < trio.current_time() - began < 0.5


async def test_request_is_rejected_without_targets():
    route = builders.make_route(timeout=0.2)
    async with gateway_harness.Harness(route).running() as harness:
        response = await harness.send_request()
    assert response.status == 503
    assert b'retry-after' in response.headers


async def test_request_is_retried_after_an_unresponsive_target():
    async with gateway_harness.Harness(IDEMPOTENT).running(
        never_respond, respond_ok
    ) as harness:
        statuses = [(await harness.send_request()).status for _ in range(3)]
    assert statuses == [200, 200, 200]


async def test_client_disconnect_closes_the_target_connection():
    ended = trio.Event()

    async def wait_for_eof(connection, head, body):
        assert not await connection.stream.receive_some()
        ended.set()

    async with gateway_harness.Harness(STREAM).running(
        wait_for_eof
    ) as harness:
        stream = await trio.open_tcp_stream('127.0.0.1', harness.port)
        await stream.send_all(
            b'POST /x/ HTTP/1.1\r\nhost: h\r\nx-id: r1\r\n\r\n'
        )
        await trio.sleep(0.1)
        await stream.aclose()
        with trio.fail_after(0.4):
            await ended.wait()


def make_stream(numbers, ends=True, tail=b''):
    async def script(connection, head, body):
        last = dict(head.headers).get(b'last-event-id')
        start = int(last) + 1 if last else 0
        await connection.send(scripted.stream_head(scripted.request_id(head)))
        for number in numbers:
            if number >= start:
                await connection.send(scripted.event(number))
        if ends:
            await connection.send(scripted.LAST_CHUNK)
            return
        if tail:
            await connection.send(scripted.chunk(tail))
        await trio.sleep(0.02)
        await connection.reset()

    return script


async def test_stream_events_are_forwarded():
    async with gateway_harness.Harness(STREAM).running(
        make_stream(range(5))
    ) as harness:
        response = await harness.send_request()
    assert response.is_complete
    assert response.events == [0, 1, 2, 3, 4]


async def test_interrupted_stream_resumes_at_another_target():
    broken = make_stream(range(3), ends=False, tail=b'id: 3\nda')
    whole = make_stream(range(6))
    for scripts in ((broken, whole), (whole, broken)):
        async with gateway_harness.Harness(STREAM).running(
            *scripts
        ) as harness:
            response = await harness.send_request()
            assert response.is_complete
            assert response.events == [0, 1, 2, 3, 4, 5]


async def test_interrupted_stream_that_is_not_resumable_is_truncated():
    broken = make_stream(range(3), ends=False)
    async with gateway_harness.Harness(NON_RESUMABLE_STREAM).running(
        broken, broken
    ) as harness:
        response = await harness.send_request()
        assert response.status == 200
        assert not response.is_complete
        assert response.events == [0, 1, 2]
        assert harness.request_count == 1


async def test_stream_that_ends_within_an_event_is_truncated():
    async def script(connection, head, body):
        await connection.send(
            scripted.stream_head(scripted.request_id(head))
            + scripted.event(0)
            + scripted.chunk(b'id: 1\nda')
            + scripted.LAST_CHUNK
        )

    async with gateway_harness.Harness(NON_RESUMABLE_STREAM).running(
        script
    ) as harness:
        response = await harness.send_request()
    assert not response.is_complete
    assert response.events == [0]


async def break_without_output(connection, head, body):
    await connection.send(scripted.stream_head(scripted.request_id(head)))
    await trio.sleep(0.02)
    await connection.reset()


# Without these fields, the log does not show which request a target that
# crashed had begun to answer.
@pytest.mark.parametrize(
    ('script', 'is_broken', 'has_output'),
    [
        (break_without_output, True, False),
        (make_stream(range(2), ends=False), True, True),
        (never_respond, False, False),
    ],
)
async def test_failed_attempt_is_logged_with_its_output(
    script, is_broken, has_output
):
    route = builders.make_route(kind=domain.RouteKind.STREAM, timeout=0.4)
    async with gateway_harness.Harness(route).running(script) as harness:
        with testing.capture_logs() as logs:
            await harness.send_request()
    (failed,) = [each for each in logs if each['event'] == 'MLB-6602']
    assert failed['is_broken'] == is_broken
    assert (failed['output_seconds'] is not None) == has_output


def quarantine_calls(harness, seconds=30.0):
    harness.quarantine.holds = lambda call: True
    harness.quarantine.wait = lambda call: seconds


# Callers are told when to come back instead of waiting for their deadline.
async def test_quarantined_call_is_rejected_at_once_and_not_charged():
    account = builders.make_account(rate=10.0, burst=10.0)
    harness = gateway_harness.Harness(STREAM, [account])
    async with harness.running(make_stream(range(2))):
        quarantine_calls(harness)
        started_at = trio.current_time()
        response = await harness.send_request(b'x-key: key-acme\r\n')
        assert trio.current_time() - started_at < 0.2
        assert response.status == 503
        assert float(response.headers[b'retry-after']) == 30.0
        assert harness.request_count == 0
        assert not harness.quota.admitted_costs().get('acme')


async def test_call_in_quarantine_is_sent_once_as_a_trial():
    async with gateway_harness.Harness(STREAM).running(
        break_without_output, break_without_output
    ) as harness:
        quarantine_calls(harness)
        harness.permits_trials = True
        response = await harness.send_request()
        assert response.status == 502
        assert harness.request_count == 1


async def test_call_that_waits_is_rejected_once_it_is_quarantined():
    async with (
        gateway_harness.Harness(STREAM).running() as harness,
        trio.open_nursery() as nursery,
    ):
        started_at = trio.current_time()

        async def quarantine_later():
            await trio.sleep(0.2)
            quarantine_calls(harness)

        nursery.start_soon(quarantine_later)
        response = await harness.send_request()
    assert trio.current_time() - started_at < 0.6
    assert response.status == 503
    assert response.headers[b'retry-after']


# The first target may have run it, so the response must not say that nothing
# did.
async def test_call_that_may_have_run_is_not_resumed_in_quarantine():
    async with gateway_harness.Harness(STREAM).running(
        break_without_output, break_without_output
    ) as harness:
        dispatcher = harness.dispatcher
        dispatcher._record_failure = lambda *_: quarantine_calls(harness)
        response = await harness.send_request()
        assert response.status == 502
        assert harness.request_count == 1


@pytest.mark.parametrize(
    ('script', 'failures'),
    [
        (break_without_output, [('t0', True)]),
        (reset_connection, [('t0', True)]),
        (never_respond, [('t0', False)]),
        (reject_not_run, []),
        (respond_500, []),
    ],
)
async def test_failures_without_output_are_recorded(script, failures):
    route = builders.make_route(kind=domain.RouteKind.STREAM, timeout=0.4)
    async with gateway_harness.Harness(route).running(script) as harness:
        await harness.send_request()
        assert harness.failures == failures


async def end_unframed_stream(connection, head, body):
    await connection.send(
        b'HTTP/1.1 200 OK\r\nx-signed: 1\r\nx-id: '
        + scripted.request_id(head)
        + b'\r\n\r\n'
    )
    await trio.sleep(0.02)
    await connection.stream.aclose()


# An engine that ends closes its connections, which is also how a response
# without a length or chunks ends.
async def test_unframed_stream_without_an_event_is_no_answer():
    async with gateway_harness.Harness(NON_RESUMABLE_STREAM).running(
        end_unframed_stream
    ) as harness:
        response = await harness.send_request()
        assert response.status == 502
        assert harness.failures == [('t0', True)]


async def test_unframed_stream_that_ends_after_an_event_is_complete():
    async def script(connection, head, body):
        await connection.send(
            b'HTTP/1.1 200 OK\r\nx-signed: 1\r\nx-id: '
            + scripted.request_id(head)
            + b'\r\n\r\nid: 1\ndata: e1\n\n'
        )
        await connection.stream.aclose()

    async with gateway_harness.Harness(NON_RESUMABLE_STREAM).running(
        script
    ) as harness:
        response = await harness.send_request()
        assert response.is_complete
        assert response.events == [1]
        assert not harness.failures


async def test_adapter_is_loaded_before_the_request_is_sent():
    harness = gateway_harness.Harness(STREAM, engine=True)
    async with harness.running(make_stream(range(1))) as harness:
        response = await harness.send_request(b'x-adapter: a7\r\n')
    assert response.is_complete
    assert harness.load_requests == [('t0', builders.adapter('a7'))]


async def test_target_removed_during_a_load_gets_no_request():
    harness = gateway_harness.Harness(STREAM, engine=True)
    first = True

    async def load(request):
        nonlocal first
        await trio.lowlevel.checkpoint()
        if first:
            first = False
            harness.load_requests.append(request.target_id)
            harness.set_targets(excluded=request.target_id)
        return True

    harness.dispatcher._load = load
    streams = [make_stream(range(1)), make_stream(range(1))]
    async with harness.running(*streams) as harness:
        response = await harness.send_request(b'x-adapter: a7\r\n')
        assert response.is_complete
        removed = harness.scripted[int(harness.load_requests[0][1:])]
        assert removed.requests == []


async def test_resident_adapter_is_not_loaded_again():
    harness = gateway_harness.Harness(STREAM, engine=True)
    async with harness.running(
        make_stream(range(1)), resident=['a7']
    ) as harness:
        await harness.send_request(b'x-adapter: a7\r\n')
    assert harness.load_requests == []


async def test_outdated_adapter_version_is_replaced():
    harness = gateway_harness.Harness(STREAM, engine=True)
    harness.versions = _jobs.AdapterVersions(2, 2)
    async with harness.running(
        make_stream(range(1)), resident=['a7']
    ) as harness:
        await harness.send_request(b'x-adapter: a7\r\n')
    assert harness.load_requests == [('t0', builders.adapter('a7'))]


ACME = builders.make_account(rate=1.0, burst=2.0)


@pytest.mark.parametrize(
    ('headers', 'status'),
    [(b'x-key: key-acme\r\n', 200), (b'x-key: no\r\n', 401), (b'', 401)],
)
async def test_only_known_api_keys_are_served(headers, status):
    harness = gateway_harness.Harness(IDEMPOTENT, accounts=[ACME])
    async with harness.running(respond_ok) as harness:
        response = await harness.send_request(headers)
        assert response.status == status
        assert harness.request_count == (status == 200)


async def test_public_route_needs_no_api_key():
    route = builders.make_route(is_public=True)
    harness = gateway_harness.Harness(route, accounts=[ACME])
    async with harness.running(respond_ok) as harness:
        assert (await harness.send_request()).status == 200


async def test_rate_limited_response_has_retry_after():
    harness = gateway_harness.Harness(IDEMPOTENT, accounts=[ACME])
    async with harness.running(respond_ok) as harness:
        responses = [
            await harness.send_request(b'x-key: key-acme\r\n')
            for _ in range(4)
        ]
        assert [each.status for each in responses] == [200, 200, 429, 429]
        assert 0 < float(responses[-1].headers[b'retry-after']) <= 2 / 3
        assert harness.request_count == 2


async def test_request_that_did_not_run_is_refunded():
    harness = gateway_harness.Harness(IDEMPOTENT, accounts=[ACME])
    async with harness.running(reject_not_run) as harness:
        statuses = [
            (await harness.send_request(b'x-key: key-acme\r\n')).status
            for _ in range(4)
        ]
    assert statuses == [503] * 4


async def test_request_without_a_configuration_can_be_retried():
    harness = gateway_harness.Harness(IDEMPOTENT)
    harness.configuration = None
    async with harness.running(respond_ok) as harness:
        response = await harness.send_request()
    assert response.status == 503
    assert b'retry-after' in response.headers


async def test_unknown_route_is_not_found():
    route = builders.make_route(path_prefix='/y/')
    async with gateway_harness.Harness(route).running(respond_ok) as harness:
        assert (await harness.send_request()).status == 404


async def test_stopping_node_rejects_requests_that_it_cannot_finish():
    route = builders.make_route(timeout=1.0)
    async with gateway_harness.Harness(route).running(respond_ok) as harness:
        now = trio.current_time()
        harness.gateway.schedule_stop(
            _gateway.StopSchedule(now + 60, now + 61)
        )
        assert (await harness.send_request()).status == 200
        harness.gateway.schedule_stop(_gateway.StopSchedule(now, now + 60))
        assert (await harness.send_request()).status == 200
        harness.gateway.schedule_stop(_gateway.StopSchedule(now, now + 0.5))
        response = await harness.send_request()
        assert response.status == 503
        assert b'retry-after' in response.headers
        assert harness.request_count == 2


async def test_unresponsive_target_is_suspended():
    route = builders.make_route(
        kind=domain.RouteKind.NON_IDEMPOTENT,
        latency_objective=0.1,
        timeout=3.0,
    )
    harness = gateway_harness.Harness(route)
    async with (
        harness.running(never_respond, respond_ok),
        trio.open_nursery() as nursery,
    ):
        for number in range(8):
            nursery.start_soon(harness.send_request, b'', b'r%d' % number)
        with trio.fail_after(2):
            while not harness.targets.is_suspended('t0'):
                await trio.sleep(0.02)
        assert not harness.targets.is_suspended('t1')
        requests_before = len(harness.scripted[0].requests)
        for _ in range(4):
            assert (await harness.send_request()).status == 200
        assert len(harness.scripted[0].requests) == requests_before
        nursery.cancel_scope.cancel()


async def test_target_with_some_slow_responses_is_not_suspended():
    async def slow_at_times(connection, head, body):
        request_id = scripted.request_id(head)
        if int(request_id) % 2:
            await trio.sleep(0.6)
        await connection.send(scripted.response(request_id))

    route = builders.make_route(
        kind=domain.RouteKind.NON_IDEMPOTENT,
        latency_objective=0.1,
        timeout=3.0,
    )
    harness = gateway_harness.Harness(route)
    async with harness.running(slow_at_times), trio.open_nursery() as nursery:
        for number in range(12):
            nursery.start_soon(harness.send_request, b'', b'%d' % number)
            await trio.sleep(0.1)
            assert harness.targets.health('t0').consecutive_failures == 0


async def test_dropped_idle_connections_fail_one_request_only():
    idle_since = {}

    async def drop_idle_connections(connection, head, body):
        now = trio.current_time()
        if now - idle_since.get(connection, now) > 0.15:
            await connection.reset()
            return
        await connection.send(scripted.response(scripted.request_id(head)))
        idle_since[connection] = trio.current_time()

    async with gateway_harness.Harness(NON_IDEMPOTENT).running(
        drop_idle_connections
    ) as harness:
        statuses = []
        for number in range(5):
            response = await harness.send_request(request_id=b'%d' % number)
            statuses.append(response.status)
            await trio.sleep(0.3)
        assert statuses == [200, 502, 200, 200, 200]
        # Connections with a shorter idle time are still reused.
        opened = harness.scripted[0].opened
        for request_id in (b'5', b'6'):
            response = await harness.send_request(request_id=request_id)
            assert response.status == 200
        assert harness.scripted[0].opened == opened + 1


def reserved(queue, is_accepted=False, is_resident=True):
    return _messages.Reserved(True, is_accepted, is_resident, queue)


async def test_rejected_reservation_moves_the_request():
    harness = gateway_harness.Harness(STREAM, engine=True)
    harness.load_age = 1.0
    harness.reservations = [reserved(5.0), reserved(0.0, is_accepted=True)]
    streams = [make_stream(range(1)), make_stream(range(1))]
    async with harness.running(*streams, resident=['a7']) as harness:
        response = await harness.send_request(b'x-adapter: a7\r\n')
    assert response.is_complete
    first, second = harness.reserve_requests
    assert first.target_id != second.target_id
    # The first engine would still be preferred with a short queue only.
    assert first.max_queue < 5.0
    served = [server.port for server in harness.scripted if server.requests]
    assert served == [harness.scripted[int(second.target_id[1:])].port]


async def test_adapter_that_was_evicted_is_loaded_again():
    harness = gateway_harness.Harness(STREAM, engine=True)
    harness.reservations = [
        reserved(0.0, is_resident=False),
        reserved(0.0, is_accepted=True),
    ]
    async with harness.running(
        make_stream(range(1)), resident=['a7']
    ) as harness:
        response = await harness.send_request(b'x-adapter: a7\r\n')
    assert response.is_complete
    assert [each.is_load for each in harness.reserve_requests] == [False, True]
    assert harness.load_requests == [('t0', builders.adapter('a7'))]


async def test_last_reservation_accepts_any_queue():
    harness = gateway_harness.Harness(STREAM, engine=True)
    harness.load_age = 1.0
    rejections = _dispatch.MAX_REJECTED_RESERVATIONS
    harness.reservations = [reserved(5.0) for _ in range(rejections)]
    streams = [make_stream(range(1)) for _ in range(rejections + 1)]
    async with harness.running(*streams, resident=['a7']) as harness:
        response = await harness.send_request(b'x-adapter: a7\r\n')
    assert response.is_complete
    *rejected, last = harness.reserve_requests
    assert len(rejected) == rejections
    assert all(each.max_queue < float('inf') for each in rejected)
    assert last.max_queue == float('inf')


async def test_call_that_finds_no_slot_is_rejected_in_time_to_return():
    harness = gateway_harness.Harness(STREAM, engine=True)
    harness.load_result = False
    full = _messages.Reserved(True, False, True, 0.0)
    harness.reservations = [full] * 1000
    async with harness.running(make_stream(range(1))) as harness:
        started_at = trio.current_time()
        response = await harness.send_request(
            b'x-adapter: a7\r\nx-wait: 2\r\n'
        )
        seconds = trio.current_time() - started_at
        assert not harness.request_count
    assert response.status == 503
    # The route's timeout is 2 s, of which a part is left to return.
    latest = 2.0 * _dispatch.MAX_SLOT_WAIT_RATIO
    assert latest <= seconds < latest + 0.2
    assert 0.2 < float(response.headers[b'retry-after']) <= 2 / 3


def too_late(turn=9.0):
    return _messages.Reserved(True, True, True, 0.0, turn)


@pytest.mark.parametrize('engines', [1, 2, 8])
async def test_call_whose_turn_comes_too_late_is_rejected_at_once(engines):
    """Guards against calls that wait for a load beyond their timeout."""
    harness = gateway_harness.Harness(STREAM, engine=True)
    harness.reservations = [too_late()] * 100
    harness.dispatcher._placement._free_slots = lambda target_id: 0
    rejections = []
    harness.dispatcher._count_rejection = lambda *each: rejections.append(each)
    streams = [make_stream(range(1)) for _ in range(engines)]
    async with harness.running(*streams) as harness:
        started_at = trio.current_time()
        response = await harness.send_request(
            b'x-adapter: a7\r\nx-wait: 2\r\n'
        )
        assert trio.current_time() - started_at < 0.2
        assert not harness.request_count
    assert response.status == 503
    assert 0 < float(response.headers[b'retry-after']) <= 2 / 3
    asked = len(harness.reserve_requests)
    assert asked == min(engines, _dispatch.MAX_LATE_TURNS)
    assert rejections == [('llm', 5, 'turn')]
    assert harness.load_requests == []


async def test_no_call_is_rejected_while_an_engine_has_a_free_slot():
    """Guards against rejections by the estimates of the wrong engines."""
    harness = gateway_harness.Harness(STREAM, engine=True)
    harness.dispatcher._placement._free_slots = lambda target_id: (
        1 if target_id == 't5' else 0
    )

    async def reserve(request):
        await trio.lowlevel.checkpoint()
        harness.reserve_requests.append(request)
        return too_late(0.0 if request.target_id == 't5' else 9.0)

    harness.dispatcher._reserve = reserve
    streams = [make_stream(range(1)) for _ in range(6)]
    async with harness.running(*streams) as harness:
        response = await harness.send_request(b'x-adapter: a7\r\n')
    assert response.is_complete
    assert harness.load_requests == [('t5', builders.adapter('a7'))]


async def test_free_slot_that_is_never_chosen_does_not_hold_a_call():
    """Guards against asking on and on while a slot only seems to be free."""
    harness = gateway_harness.Harness(STREAM, engine=True)
    harness.reservations = [too_late()] * 100
    harness.dispatcher._placement.has_free_slot = lambda *arguments: True
    streams = [make_stream(range(1)) for _ in range(6)]
    async with harness.running(*streams) as harness:
        response = await harness.send_request(b'x-adapter: a7\r\n')
    assert response.status == 503
    assert len(harness.reserve_requests) == 7


async def test_call_whose_turn_comes_late_is_served():
    """Guards against rejections of calls that are only late."""
    harness = gateway_harness.Harness(STREAM, engine=True)
    harness.reservations = [too_late(1.5)]
    harness.dispatcher._placement._free_slots = lambda target_id: 0
    async with harness.running(make_stream(range(1))) as harness:
        response = await harness.send_request(b'x-adapter: a7\r\n')
    assert response.is_complete


async def test_call_that_may_have_run_is_not_rejected_as_not_run():
    """Guards against a false guarantee, and against giving up a stream."""
    harness = gateway_harness.Harness(STREAM, engine=True)
    harness.reservations = [too_late(None)] + [too_late()] * 100
    harness.dispatcher._placement._free_slots = lambda target_id: 0

    async def break_off(connection, request, body):
        await connection.reset()

    scripts = [break_off, make_stream(range(1))]
    async with harness.running(*scripts) as harness:
        response = await harness.send_request(b'x-adapter: a7\r\n')
        assert harness.request_count
    assert response.status != 503


async def test_call_waits_on_while_no_controller_decides():
    harness = gateway_harness.Harness(STREAM, engine=True)
    harness.load_result = False
    async with harness.running(make_stream(range(1))) as harness:
        started_at = trio.current_time()
        harness.dispatcher._reserve = no_controller
        response = await harness.send_request(
            b'x-adapter: a7\r\nx-wait: 1\r\n'
        )
        assert trio.current_time() - started_at > 0.8
    assert response.status == 503


async def no_controller(request):
    await trio.lowlevel.checkpoint()


async def test_call_that_asks_until_its_deadline_gets_a_final_answer():
    harness = gateway_harness.Harness(STREAM, engine=True)
    harness.load_result = False

    async def reserve_slowly(request):
        await trio.sleep(0.3)
        return reserved(0.0, is_accepted=True)

    async with harness.running(make_stream(range(1))) as harness:
        harness.dispatcher._reserve = reserve_slowly
        response = await harness.send_request(
            b'x-adapter: a7\r\nx-wait: 0.3\r\n'
        )
    assert response.status == 503


@pytest.mark.parametrize('engines', [1, 2, 8])
async def test_busy_engines_are_asked_a_bounded_number_of_times(engines):
    harness = gateway_harness.Harness(STREAM, engine=True)
    harness.load_age = 1.0

    async def reserve_at_busy_engine(request):
        await trio.lowlevel.checkpoint()
        harness.reserve_requests.append(request)
        is_last = request.max_queue == float('inf')
        return reserved(5.0, is_accepted=is_last)

    harness.dispatcher._reserve = reserve_at_busy_engine
    streams = [make_stream(range(1)) for _ in range(engines)]
    async with harness.running(*streams, resident=['a7']) as harness:
        response = await harness.send_request(b'x-adapter: a7\r\n')
    assert response.is_complete
    asked = len(harness.reserve_requests)
    if engines == 1:
        assert asked == 1
    else:
        assert asked == _dispatch.MAX_REJECTED_RESERVATIONS + 1


def limit_targets(harness, *target_ids, limit=1.0):
    for target_id in target_ids:
        target = builders.make_target(target_id)
        harness.target_limits.record_response(target, limit, 0.0)


async def test_call_goes_to_another_target_than_one_at_its_limit():
    async with gateway_harness.Harness(NON_IDEMPOTENT).running(
        respond_ok, respond_ok
    ) as harness:
        limit_targets(harness, 't0')
        for _ in range(6):
            assert (await harness.send_request()).status == 200
        assert len(harness.scripted[0].requests) <= 1


# Callers are told when to come back instead of waiting for their deadline.
async def test_call_is_rejected_at_once_if_all_targets_are_at_their_limits():
    async with gateway_harness.Harness(NON_IDEMPOTENT).running(
        respond_ok, respond_ok
    ) as harness:
        limit_targets(harness, 't0', 't1', limit=0.5)
        started_at = trio.current_time()
        response = await harness.send_request()
        assert trio.current_time() - started_at < 0.3
        assert response.status == 503
        assert float(response.headers[b'retry-after']) > 0.1
        assert harness.request_count == 0


async def test_call_waits_for_a_target_that_soon_takes_another():
    route = builders.make_route(latency_objective=1.0)
    async with gateway_harness.Harness(route).running(respond_ok) as harness:
        limit_targets(harness, 't0', limit=10.0)
        statuses = [(await harness.send_request()).status for _ in range(3)]
        assert statuses == [200, 200, 200]


# A repeat is one more request to the target.
async def test_retry_keeps_to_the_limit_of_a_target():
    async with gateway_harness.Harness(IDEMPOTENT).running(
        respond_500, respond_500
    ) as harness:
        limit_targets(harness, 't0', 't1', limit=0.5)
        harness.permits._denied_until = {'t0': float('inf')}
        await harness.send_request()
        assert not harness.scripted[0].requests
        assert len(harness.scripted[1].requests) <= 1


async def test_limit_in_a_response_is_recorded():
    async def respond_limited(connection, head, body):
        await connection.send(
            scripted.response(scripted.request_id(head), extra=b'x-limit: 1.7')
        )

    async with gateway_harness.Harness(NON_IDEMPOTENT).running(
        respond_limited
    ) as harness:
        await harness.send_request()
        assert harness.target_limits.limit(builders.make_target('t0')) == 1.7


def make_endless(start, block):
    """Return a script that sends `block` until the connection is closed."""

    async def script(connection, head, body):
        request_id = scripted.request_id(head)
        await connection.send(start.replace(b'ID', request_id))
        while True:
            await connection.send(block)

    return script


SIGNED_HEAD = b'HTTP/1.1 200 OK\r\nx-signed: 1\r\nx-id: ID\r\n'
CHUNKED = b'transfer-encoding: chunked\r\n\r\n'
NOISE = b'y' * 16_384


# A target in trouble may send bytes that are no answer until its caller
# closes the connection.
@pytest.mark.parametrize(
    ('route', 'start', 'block'),
    [
        (IDEMPOTENT, b'', NOISE),
        (IDEMPOTENT, b'HTTP/1.1 200 OK\r\nx-a: ', NOISE),
        (IDEMPOTENT, b'HTTP/1.1 200 OK\r\n', b'x-a: b\r\n' * 1000),
        (IDEMPOTENT, b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 100),
        (IDEMPOTENT, SIGNED_HEAD + b'\r\n', NOISE),
        (IDEMPOTENT, SIGNED_HEAD + CHUNKED, scripted.chunk(NOISE)),
        (STREAM, SIGNED_HEAD + b'\r\n', NOISE),
        (STREAM, SIGNED_HEAD + CHUNKED, scripted.chunk(NOISE)),
        (
            IDEMPOTENT,
            b'HTTP/1.1 200 OK\r\nx-signed: 1\r\nx-id: other\r\n\r\n',
            NOISE,
        ),
        (
            IDEMPOTENT,
            b'HTTP/1.1 503 X\r\nx-not-run: 1\r\nx-id: ID\r\n\r\n',
            NOISE,
        ),
    ],
)
async def test_endless_bytes_are_given_up_before_the_deadline(
    route, start, block
):
    route = builders.make_route(
        kind=route.kind,
        is_resumable=route.is_resumable,
        timeout=8.0,
        latency_objective=3.0,
    )
    async with gateway_harness.Harness(route).running(
        make_endless(start, block)
    ) as harness:
        started_at = trio.current_time()
        response = await harness.send_request(b'x-wait: 8\r\n')
        assert trio.current_time() - started_at < 3.0
        assert response.status in (200, 502, 503)
        assert response.status != 200 or not response.is_complete
        assert not harness.server.requests_in_flight


# The limit of another service's target says nothing about this call.
async def test_wait_is_that_of_the_call_s_own_targets():
    async with gateway_harness.Harness(NON_IDEMPOTENT).running(
        respond_ok
    ) as harness:
        limit_targets(harness, 't0', limit=0.5)
        harness.permits._denied_until['elsewhere'] = trio.current_time() + 0.12
        response = await harness.send_request(b'x-wait: 6\r\n')
        assert response.status == 503
        assert float(response.headers[b'retry-after']) > 1.5


@pytest.mark.parametrize(('queue', 'connections'), [(0.0, 2), (0.5, 1)])
async def test_link_is_not_checked_while_a_prompt_is_prefilled(
    queue, connections
):
    """Guards against a new connection for each call with a long prompt.

    Targets limit their connections. An engine is silent while other prompts
    are before this one, which says nothing about the link.
    """

    async def respond_late(connection, head, body):
        await trio.sleep(0.55)
        await make_stream(range(1))(connection, head, body)

    harness = gateway_harness.Harness(STREAM, engine=True)
    harness.reservations = [reserved(queue, is_accepted=True)]
    async with harness.running(respond_late, resident=['a7']) as harness:
        response = await harness.send_request(b'x-adapter: a7\r\n')
    assert response.is_complete
    assert harness.scripted[0].opened == connections
