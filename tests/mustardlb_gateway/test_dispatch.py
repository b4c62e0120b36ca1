import builders
import gateway_harness
import pytest
import scripted
import trio

from mustardlb_gateway import _gateway
from mustardlb_gateway import _jobs
from mustardlb_gateway import domain

NON_IDEMPOTENT = builders.make_route(kind=domain.RouteKind.NON_IDEMPOTENT)
IDEMPOTENT = builders.make_route()
STREAM = builders.make_route(kind=domain.RouteKind.STREAM, is_resumable=True)
PLAIN_STREAM = builders.make_route(kind=domain.RouteKind.STREAM)


async def good(connection, head, body):
    await connection.send(scripted.answer(scripted.request_id(head)))


async def refuse(connection, head, body):
    await connection.send(
        scripted.answer(
            scripted.request_id(head), b'', 503, b'x-not-run: 1', False
        )
    )


async def fail(connection, head, body):
    await connection.send(
        scripted.answer(scripted.request_id(head), b'bad', 500)
    )


async def reset(connection, head, body):
    await connection.reset()


async def hang(connection, head, body):
    await trio.sleep_forever()


async def unsigned(connection, head, body):
    await connection.send(
        scripted.answer(scripted.request_id(head), signed=False)
    )


async def test_answer_and_headers_are_passed_on_unchanged():
    async with gateway_harness.Harness(IDEMPOTENT).running(good) as harness:
        answer = await harness.ask()
    assert (answer.status, answer.body) == (200, b'ok')
    assert answer.headers[b'x-signed'] == b'1'
    head = dict(harness.scripted[0].requests[0][0].headers)
    assert head[b'x-target'] == b't0'
    assert 1.5 < float(head[b'x-left']) <= 2.0


@pytest.mark.parametrize('first', [reset, fail, refuse, unsigned])
async def test_idempotent_request_goes_to_another_target(first):
    async with gateway_harness.Harness(IDEMPOTENT).running(
        first, good
    ) as harness:
        answers = [await harness.ask() for _ in range(4)]
    assert {answer.status for answer in answers} == {200}


@pytest.mark.parametrize('first', [reset, unsigned])
async def test_request_that_may_have_run_is_not_sent_again(first):
    async with gateway_harness.Harness(NON_IDEMPOTENT).running(
        first, first
    ) as harness:
        answer = await harness.ask()
        assert answer.status == 502
        assert b'retry-after' not in answer.headers
        assert harness.sends == 1


async def test_failure_of_a_target_is_passed_on_as_it_is():
    async with gateway_harness.Harness(NON_IDEMPOTENT).running(
        fail
    ) as harness:
        answer = await harness.ask()
        assert (answer.status, answer.body) == (500, b'bad')
        assert answer.headers[b'x-signed'] == b'1'


async def test_request_that_was_refused_may_go_elsewhere():
    harness = gateway_harness.Harness(NON_IDEMPOTENT)
    async with harness.running(refuse, refuse) as harness:
        answer = await harness.ask()
        assert answer.status == 503
        assert float(answer.headers[b'retry-after']) < 2 / 3
        assert harness.sends == 2


async def test_no_more_targets_than_the_route_allows():
    route = builders.make_route(max_attempts=2)
    async with gateway_harness.Harness(route).running(
        reset, reset, reset
    ) as harness:
        answer = await harness.ask()
        assert answer.status == 502
        assert harness.sends == 2


async def test_spent_retry_budget_ends_a_request():
    harness = gateway_harness.Harness(IDEMPOTENT, retries=0)
    async with harness.running(reset, reset) as harness:
        answer = await harness.ask()
        assert answer.status == 502
        assert harness.sends == 1


async def test_held_answer_is_better_than_none():
    harness = gateway_harness.Harness(IDEMPOTENT, retries=0)
    async with harness.running(fail, fail) as harness:
        answer = await harness.ask()
        assert (answer.status, answer.body) == (500, b'bad')


async def test_final_answer_comes_at_the_timeout_of_the_route():
    route = builders.make_route(
        kind=domain.RouteKind.NON_IDEMPOTENT, timeout=0.3
    )
    async with gateway_harness.Harness(route).running(hang) as harness:
        began = trio.current_time()
        answer = await harness.ask()
        assert answer.status == 504
        assert 0.25 < trio.current_time() - began < 0.5


async def test_without_targets_the_refusal_says_not_run():
    route = builders.make_route(timeout=0.2)
    async with gateway_harness.Harness(route).running() as harness:
        answer = await harness.ask()
    assert answer.status == 503
    assert b'retry-after' in answer.headers


async def test_silent_target_is_left_for_another():
    async with gateway_harness.Harness(IDEMPOTENT).running(
        hang, good
    ) as harness:
        statuses = [(await harness.ask()).status for _ in range(3)]
    assert statuses == [200, 200, 200]


async def test_client_that_leaves_ends_the_work_at_the_target():
    ended = trio.Event()

    async def watch(connection, head, body):
        assert not await connection.stream.receive_some()
        ended.set()

    async with gateway_harness.Harness(STREAM).running(watch) as harness:
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


async def test_stream_is_passed_on_event_by_event():
    async with gateway_harness.Harness(STREAM).running(
        make_stream(range(5))
    ) as harness:
        answer = await harness.ask()
    assert answer.is_complete
    assert answer.events == [0, 1, 2, 3, 4]


async def test_broken_stream_goes_on_at_another_target():
    broken = make_stream(range(3), ends=False, tail=b'id: 3\nda')
    whole = make_stream(range(6))
    for scripts in ((broken, whole), (whole, broken)):
        async with gateway_harness.Harness(STREAM).running(
            *scripts
        ) as harness:
            answer = await harness.ask()
            assert answer.is_complete
            assert answer.events == [0, 1, 2, 3, 4, 5]


async def test_stream_that_may_not_be_resumed_is_plainly_cut():
    broken = make_stream(range(3), ends=False)
    async with gateway_harness.Harness(PLAIN_STREAM).running(
        broken, broken
    ) as harness:
        answer = await harness.ask()
        assert answer.status == 200
        assert not answer.is_complete
        assert answer.events == [0, 1, 2]
        assert harness.sends == 1


async def test_stream_that_ends_within_an_event_is_not_complete():
    async def script(connection, head, body):
        await connection.send(
            scripted.stream_head(scripted.request_id(head))
            + scripted.event(0)
            + scripted.chunk(b'id: 1\nda')
            + scripted.LAST_CHUNK
        )

    async with gateway_harness.Harness(PLAIN_STREAM).running(
        script
    ) as harness:
        answer = await harness.ask()
    assert not answer.is_complete
    assert answer.events == [0]


async def test_adapter_is_loaded_before_the_call_is_sent():
    harness = gateway_harness.Harness(STREAM, engine=True)
    async with harness.running(make_stream(range(1))) as harness:
        answer = await harness.ask(b'x-adapter: a7\r\n')
    assert answer.is_complete
    assert harness.loads == [('t0', builders.adapter('a7'))]


async def test_target_that_left_while_it_loaded_gets_no_request():
    harness = gateway_harness.Harness(STREAM, engine=True)
    first = True

    async def load(target_id, adapter, version, patience, slack):
        nonlocal first
        await trio.lowlevel.checkpoint()
        if first:
            first = False
            harness.loads.append(target_id)
            harness.list_targets(without=target_id)
        return True

    harness.dispatcher._load = load
    streams = [make_stream(range(1)), make_stream(range(1))]
    async with harness.running(*streams) as harness:
        answer = await harness.ask(b'x-adapter: a7\r\n')
        assert answer.is_complete
        left = harness.scripted[int(harness.loads[0][1:])]
        assert left.requests == []


async def test_adapter_that_is_held_is_not_loaded():
    harness = gateway_harness.Harness(STREAM, engine=True)
    async with harness.running(
        make_stream(range(1)), resident=['a7']
    ) as harness:
        await harness.ask(b'x-adapter: a7\r\n')
    assert harness.loads == []


async def test_old_version_of_an_adapter_does_not_serve():
    harness = gateway_harness.Harness(STREAM, engine=True)
    harness.versions = _jobs.Versions(2, 2)
    async with harness.running(
        make_stream(range(1)), resident=['a7']
    ) as harness:
        await harness.ask(b'x-adapter: a7\r\n')
    assert harness.loads == [('t0', builders.adapter('a7'))]


ACME = builders.make_account(rate=1.0, burst=2.0)


@pytest.mark.parametrize(
    ('headers', 'status'),
    [(b'x-key: key-acme\r\n', 200), (b'x-key: no\r\n', 401), (b'', 401)],
)
async def test_only_known_keys_are_served(headers, status):
    harness = gateway_harness.Harness(IDEMPOTENT, accounts=[ACME])
    async with harness.running(good) as harness:
        answer = await harness.ask(headers)
        assert answer.status == status
        assert harness.sends == (status == 200)


async def test_open_route_needs_no_key():
    route = builders.make_route(is_open=True)
    harness = gateway_harness.Harness(route, accounts=[ACME])
    async with harness.running(good) as harness:
        assert (await harness.ask()).status == 200


async def test_account_beyond_its_limit_is_told_when_to_come_back():
    harness = gateway_harness.Harness(IDEMPOTENT, accounts=[ACME])
    async with harness.running(good) as harness:
        answers = [await harness.ask(b'x-key: key-acme\r\n') for _ in range(4)]
        assert [each.status for each in answers] == [200, 200, 429, 429]
        assert 0 < float(answers[-1].headers[b'retry-after']) <= 2 / 3
        assert harness.sends == 2


async def test_request_that_did_not_run_costs_nothing():
    harness = gateway_harness.Harness(IDEMPOTENT, accounts=[ACME])
    async with harness.running(refuse) as harness:
        statuses = [
            (await harness.ask(b'x-key: key-acme\r\n')).status
            for _ in range(4)
        ]
    assert statuses == [503] * 4


async def test_before_a_configuration_is_known_nothing_is_denied():
    harness = gateway_harness.Harness(IDEMPOTENT)
    harness.configuration = None
    async with harness.running(good) as harness:
        answer = await harness.ask()
    assert answer.status == 503
    assert b'retry-after' in answer.headers


async def test_unknown_route_is_not_found():
    route = builders.make_route(path_prefix='/y/')
    async with gateway_harness.Harness(route).running(good) as harness:
        assert (await harness.ask()).status == 404


async def test_stopping_node_takes_only_what_it_can_finish():
    route = builders.make_route(timeout=1.0)
    async with gateway_harness.Harness(route).running(good) as harness:
        now = trio.current_time()
        harness.gateway.stop_at(_gateway.Stop(now + 60, now + 61))
        assert (await harness.ask()).status == 200
        harness.gateway.stop_at(_gateway.Stop(now, now + 60))
        assert (await harness.ask()).status == 200
        harness.gateway.stop_at(_gateway.Stop(now, now + 0.5))
        answer = await harness.ask()
        assert answer.status == 503
        assert b'retry-after' in answer.headers
        assert harness.sends == 2


async def test_target_that_accepts_and_never_answers_is_left_alone():
    route = builders.make_route(
        kind=domain.RouteKind.NON_IDEMPOTENT,
        latency_objective=0.1,
        timeout=3.0,
    )
    harness = gateway_harness.Harness(route)
    async with harness.running(hang, good), trio.open_nursery() as nursery:
        for number in range(8):
            nursery.start_soon(harness.ask, b'', b'r%d' % number)
        with trio.fail_after(2):
            while not harness.targets.is_suspended('t0'):
                await trio.sleep(0.02)
        assert not harness.targets.is_suspended('t1')
        stuck = len(harness.scripted[0].requests)
        for _ in range(4):
            assert (await harness.ask()).status == 200
        assert len(harness.scripted[0].requests) == stuck
        nursery.cancel_scope.cancel()


async def test_slow_target_that_answers_others_is_not_suspended():
    async def slow_at_times(connection, head, body):
        request_id = scripted.request_id(head)
        if int(request_id) % 2:
            await trio.sleep(0.6)
        await connection.send(scripted.answer(request_id))

    route = builders.make_route(
        kind=domain.RouteKind.NON_IDEMPOTENT,
        latency_objective=0.1,
        timeout=3.0,
    )
    harness = gateway_harness.Harness(route)
    async with harness.running(slow_at_times), trio.open_nursery() as nursery:
        for number in range(12):
            nursery.start_soon(harness.ask, b'', b'%d' % number)
            await trio.sleep(0.1)
            assert harness.targets.health('t0').failures_in_row == 0


async def test_idle_connections_that_a_target_forgets_cost_one_request():
    rested_from = {}

    async def forgetful(connection, head, body):
        now = trio.current_time()
        if now - rested_from.get(connection, now) > 0.15:
            await connection.reset()
            return
        await connection.send(scripted.answer(scripted.request_id(head)))
        rested_from[connection] = trio.current_time()

    async with gateway_harness.Harness(NON_IDEMPOTENT).running(
        forgetful
    ) as harness:
        statuses = []
        for _ in range(5):
            statuses.append((await harness.ask()).status)
            await trio.sleep(0.3)
        assert statuses == [200, 502, 200, 200, 200]
        # What rests for less is still used.
        opened = harness.scripted[0].opened
        assert (await harness.ask()).status == 200
        assert (await harness.ask()).status == 200
        assert harness.scripted[0].opened == opened + 1
