import builders
import fronts
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
    await connection.send(scripted.response(scripted.request_id(head)))


async def refuse(connection, head, body):
    await connection.send(
        scripted.response(
            scripted.request_id(head), b'', 503, b'x-not-run: 1', False
        )
    )


async def fail(connection, head, body):
    await connection.send(
        scripted.response(scripted.request_id(head), b'bad', 500)
    )


async def reset(connection, head, body):
    await connection.reset()


async def hang(connection, head, body):
    await trio.sleep_forever()


async def unsigned(connection, head, body):
    await connection.send(
        scripted.response(scripted.request_id(head), signed=False)
    )


async def test_answer_and_headers_are_passed_on_unchanged():
    async with fronts.Front(IDEMPOTENT).running(good) as front:
        answer = await front.ask()
    assert (answer.status, answer.body) == (200, b'ok')
    assert answer.headers[b'x-signed'] == b'1'
    head = dict(front.scripted[0].requests[0][0].headers)
    assert head[b'x-target'] == b't0'
    assert 1.5 < float(head[b'x-left']) <= 2.0


@pytest.mark.parametrize('first', [reset, fail, refuse, unsigned])
async def test_idempotent_request_goes_to_another_target(first):
    async with fronts.Front(IDEMPOTENT).running(first, good) as front:
        answers = [await front.ask() for _ in range(4)]
    assert {answer.status for answer in answers} == {200}


@pytest.mark.parametrize('first', [reset, unsigned])
async def test_request_that_may_have_run_is_not_sent_again(first):
    async with fronts.Front(NON_IDEMPOTENT).running(first, first) as front:
        answer = await front.ask()
        assert answer.status == 502
        assert b'retry-after' not in answer.headers
        assert front.sends == 1


async def test_failure_of_a_target_is_passed_on_as_it_is():
    async with fronts.Front(NON_IDEMPOTENT).running(fail) as front:
        answer = await front.ask()
        assert (answer.status, answer.body) == (500, b'bad')
        assert answer.headers[b'x-signed'] == b'1'


async def test_request_that_was_refused_may_go_elsewhere():
    front = fronts.Front(NON_IDEMPOTENT)
    async with front.running(refuse, refuse) as front:
        answer = await front.ask()
        assert answer.status == 503
        assert float(answer.headers[b'retry-after']) < 2 / 3
        assert front.sends == 2


async def test_no_more_targets_than_the_route_allows():
    route = builders.make_route(max_attempts=2)
    async with fronts.Front(route).running(reset, reset, reset) as front:
        answer = await front.ask()
        assert answer.status == 502
        assert front.sends == 2


async def test_spent_retry_budget_ends_a_request():
    front = fronts.Front(IDEMPOTENT, retries=0)
    async with front.running(reset, reset) as front:
        answer = await front.ask()
        assert answer.status == 502
        assert front.sends == 1


async def test_held_answer_is_better_than_none():
    front = fronts.Front(IDEMPOTENT, retries=0)
    async with front.running(fail, fail) as front:
        answer = await front.ask()
        assert (answer.status, answer.body) == (500, b'bad')


async def test_final_answer_comes_at_the_timeout_of_the_route():
    route = builders.make_route(
        kind=domain.RouteKind.NON_IDEMPOTENT, timeout=0.3
    )
    async with fronts.Front(route).running(hang) as front:
        began = trio.current_time()
        answer = await front.ask()
        assert answer.status == 504
        assert 0.25 < trio.current_time() - began < 0.5


async def test_without_targets_the_refusal_says_not_run():
    route = builders.make_route(timeout=0.2)
    async with fronts.Front(route).running() as front:
        answer = await front.ask()
    assert answer.status == 503
    assert b'retry-after' in answer.headers


async def test_silent_target_is_left_for_another():
    async with fronts.Front(IDEMPOTENT).running(hang, good) as front:
        statuses = [(await front.ask()).status for _ in range(3)]
    assert statuses == [200, 200, 200]


async def test_client_that_leaves_ends_the_work_at_the_target():
    ended = trio.Event()

    async def watch(connection, head, body):
        assert not await connection.stream.receive_some()
        ended.set()

    async with fronts.Front(STREAM).running(watch) as front:
        stream = await trio.open_tcp_stream('127.0.0.1', front.port)
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
    async with fronts.Front(STREAM).running(make_stream(range(5))) as front:
        answer = await front.ask()
    assert answer.is_complete
    assert answer.events == [0, 1, 2, 3, 4]


async def test_broken_stream_goes_on_at_another_target():
    broken = make_stream(range(3), ends=False, tail=b'id: 3\nda')
    whole = make_stream(range(6))
    for scripts in ((broken, whole), (whole, broken)):
        async with fronts.Front(STREAM).running(*scripts) as front:
            answer = await front.ask()
            assert answer.is_complete
            assert answer.events == [0, 1, 2, 3, 4, 5]


async def test_stream_that_may_not_be_resumed_is_plainly_cut():
    broken = make_stream(range(3), ends=False)
    async with fronts.Front(PLAIN_STREAM).running(broken, broken) as front:
        answer = await front.ask()
        assert answer.status == 200
        assert not answer.is_complete
        assert answer.events == [0, 1, 2]
        assert front.sends == 1


async def test_stream_that_ends_within_an_event_is_not_complete():
    async def script(connection, head, body):
        await connection.send(
            scripted.stream_head(scripted.request_id(head))
            + scripted.event(0)
            + scripted.chunk(b'id: 1\nda')
            + scripted.LAST_CHUNK
        )

    async with fronts.Front(PLAIN_STREAM).running(script) as front:
        answer = await front.ask()
    assert not answer.is_complete
    assert answer.events == [0]


async def test_adapter_is_loaded_before_the_call_is_sent():
    front = fronts.Front(STREAM, engine=True)
    async with front.running(make_stream(range(1))) as front:
        answer = await front.ask(b'x-adapter: a7\r\n')
    assert answer.is_complete
    assert front.loads == [('t0', builders.adapter('a7'))]


async def test_target_that_left_while_it_loaded_gets_no_request():
    front = fronts.Front(STREAM, engine=True)
    first = True

    async def load(target_id, adapter, version, patience, slack):
        nonlocal first
        await trio.lowlevel.checkpoint()
        if first:
            first = False
            front.loads.append(target_id)
            front.list_targets(without=target_id)
        return True

    front.dispatcher._load = load
    streams = [make_stream(range(1)), make_stream(range(1))]
    async with front.running(*streams) as front:
        answer = await front.ask(b'x-adapter: a7\r\n')
        assert answer.is_complete
        left = front.scripted[int(front.loads[0][1:])]
        assert left.requests == []


async def test_adapter_that_is_held_is_not_loaded():
    front = fronts.Front(STREAM, engine=True)
    async with front.running(make_stream(range(1)), resident=['a7']) as front:
        await front.ask(b'x-adapter: a7\r\n')
    assert front.loads == []


async def test_old_version_of_an_adapter_does_not_serve():
    front = fronts.Front(STREAM, engine=True)
    front.versions = _jobs.AdapterVersions(2, 2)
    async with front.running(make_stream(range(1)), resident=['a7']) as front:
        await front.ask(b'x-adapter: a7\r\n')
    assert front.loads == [('t0', builders.adapter('a7'))]


ACME = builders.make_account(rate=1.0, burst=2.0)


@pytest.mark.parametrize(
    ('headers', 'status'),
    [(b'x-key: key-acme\r\n', 200), (b'x-key: no\r\n', 401), (b'', 401)],
)
async def test_only_known_keys_are_served(headers, status):
    front = fronts.Front(IDEMPOTENT, accounts=[ACME])
    async with front.running(good) as front:
        answer = await front.ask(headers)
        assert answer.status == status
        assert front.sends == (status == 200)


async def test_open_route_needs_no_key():
    route = builders.make_route(is_public=True)
    front = fronts.Front(route, accounts=[ACME])
    async with front.running(good) as front:
        assert (await front.ask()).status == 200


async def test_account_beyond_its_limit_is_told_when_to_come_back():
    front = fronts.Front(IDEMPOTENT, accounts=[ACME])
    async with front.running(good) as front:
        answers = [await front.ask(b'x-key: key-acme\r\n') for _ in range(4)]
        assert [each.status for each in answers] == [200, 200, 429, 429]
        assert 0 < float(answers[-1].headers[b'retry-after']) <= 2 / 3
        assert front.sends == 2


async def test_request_that_did_not_run_costs_nothing():
    front = fronts.Front(IDEMPOTENT, accounts=[ACME])
    async with front.running(refuse) as front:
        statuses = [
            (await front.ask(b'x-key: key-acme\r\n')).status for _ in range(4)
        ]
    assert statuses == [503] * 4


async def test_before_a_configuration_is_known_nothing_is_denied():
    front = fronts.Front(IDEMPOTENT)
    front.configuration = None
    async with front.running(good) as front:
        answer = await front.ask()
    assert answer.status == 503
    assert b'retry-after' in answer.headers


async def test_unknown_route_is_not_found():
    route = builders.make_route(path_prefix='/y/')
    async with fronts.Front(route).running(good) as front:
        assert (await front.ask()).status == 404


async def test_stopping_node_takes_only_what_it_can_finish():
    route = builders.make_route(timeout=1.0)
    async with fronts.Front(route).running(good) as front:
        now = trio.current_time()
        front.gateway.stop_at(_gateway.Stop(now + 60, now + 61))
        assert (await front.ask()).status == 200
        front.gateway.stop_at(_gateway.Stop(now, now + 60))
        assert (await front.ask()).status == 200
        front.gateway.stop_at(_gateway.Stop(now, now + 0.5))
        answer = await front.ask()
        assert answer.status == 503
        assert b'retry-after' in answer.headers
        assert front.sends == 2


async def test_target_that_accepts_and_never_answers_is_left_alone():
    route = builders.make_route(
        kind=domain.RouteKind.NON_IDEMPOTENT,
        latency_objective=0.1,
        timeout=3.0,
    )
    front = fronts.Front(route)
    async with front.running(hang, good), trio.open_nursery() as nursery:
        for number in range(8):
            nursery.start_soon(front.ask, b'', b'r%d' % number)
        with trio.fail_after(2):
            while not front.targets.is_suspended('t0'):
                await trio.sleep(0.02)
        assert not front.targets.is_suspended('t1')
        stuck = len(front.scripted[0].requests)
        for _ in range(4):
            assert (await front.ask()).status == 200
        assert len(front.scripted[0].requests) == stuck
        nursery.cancel_scope.cancel()


async def test_slow_target_that_answers_others_is_not_suspended():
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
    front = fronts.Front(route)
    async with front.running(slow_at_times), trio.open_nursery() as nursery:
        for number in range(12):
            nursery.start_soon(front.ask, b'', b'%d' % number)
            await trio.sleep(0.1)
            assert front.targets.health('t0').consecutive_failures == 0


async def test_idle_connections_that_a_target_forgets_cost_one_request():
    rested_from = {}

    async def forgetful(connection, head, body):
        now = trio.current_time()
        if now - rested_from.get(connection, now) > 0.15:
            await connection.reset()
            return
        await connection.send(scripted.response(scripted.request_id(head)))
        rested_from[connection] = trio.current_time()

    async with fronts.Front(NON_IDEMPOTENT).running(forgetful) as front:
        statuses = []
        for _ in range(5):
            statuses.append((await front.ask()).status)
            await trio.sleep(0.3)
        assert statuses == [200, 502, 200, 200, 200]
        # What rests for less is still used.
        opened = front.scripted[0].opened
        assert (await front.ask()).status == 200
        assert (await front.ask()).status == 200
        assert front.scripted[0].opened == opened + 1
