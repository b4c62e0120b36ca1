"""Model calls over real sockets: streams, refusals, retries, limits."""

import json

import httpx
import pytest
import trio

from mustardlb import errors
from mustardlb import steps
from mustardlb_standins import faults

CHAT = '/v1/chat/completions'


def chat(**fields):
    return {
        'model': 'oak@1',
        'messages': [{'role': 'user', 'content': 'Survey of the wood'}],
        'max_tokens': 5,
    } | fields


def runs(front):
    return [entry for one in front.engines for entry in one.kinds('run')]


def sent_events(front, text):
    """What the engine sent of the stream in an answer, usage left out."""
    request_id = json.loads(text.split('data: ')[1].split('\n')[0])['id']
    for one in front.engines:
        if request_id in one.scheduler._streams:
            events = one.scheduler.find(request_id).events
    return b''.join(e for e in events if b'"usage"' not in e)


async def wait_until(condition):
    with trio.fail_after(10):
        while not condition():  # noqa: ASYNC110 (the state is elsewhere)
            await trio.sleep(0.005)


async def settled(front):
    """Tokens charged of each reservation, once all are settled."""
    await wait_until(
        lambda: all(r.used is not None for r in front.reservations)
    )
    return [reservation.used for reservation in front.reservations]


async def test_whole_answer_and_charge(site):
    async with site() as one:
        answer = await one.client.post(
            CHAT, json=chat(), headers=one.front.headers()
        )
        assert answer.status_code == 200, answer.text
        message = answer.json()['choices'][0]['message']
        assert message['content'] == ' t1 t2 t3 t4 t5'
        # Reserved for the most that may come, charged what came.
        assert await settled(one.front) == [9]
        assert one.front.reservations[0].cost > 9
        described = one.metrics.describe()
        assert {d['measure'] for d in described} == {'first_byte', 'total'}


@pytest.mark.parametrize('http2', [False, True])
async def test_many_streams_byte_for_byte(site, http2):
    async with site(engines=2, batch=64, queue=512) as one:
        answers = []

        async def call(client, number):
            body = chat(
                stream=True,
                max_tokens=20 + number % 7,
                messages=[{'role': 'user', 'content': f't{number}'}],
            )
            response = await client.post(
                CHAT, json=body, headers=one.front.headers()
            )
            answers.append((number, response))

        client = httpx.AsyncClient(
            base_url=one.url, http1=not http2, http2=http2, timeout=20.0
        )
        async with client, trio.open_nursery() as nursery:
            for number in range(40):
                nursery.start_soon(call, client, number)
        assert len(answers) == 40
        for number, response in answers:
            version = 'HTTP/2' if http2 else 'HTTP/1.1'
            assert response.http_version == version
            text = response.text
            assert response.content == sent_events(one.front, text)
            # Its own answer: words count on from its own prompt.
            assert f'" t{number + 1}"' in text.split('\n\n')[0]
            assert text.count('data: ') == 20 + number % 7 + 1
        assert len(await settled(one.front)) == 40


async def test_usage_event_only_where_asked(site):
    async with site() as one:
        for options, count in (({'include_usage': True}, 1), (None, 0)):
            answer = await one.client.post(
                CHAT,
                json=chat(stream=True, stream_options=options),
                headers=one.front.headers(),
            )
            assert answer.text.count('"usage"') == count
            assert answer.text.endswith('data: [DONE]\n\n')
        assert await settled(one.front) == [9, 9]


async def test_broken_stream_is_resumed(site):
    async with site() as one:
        plan = one.front.engines[0].plan
        plan.add('stream:*', faults.Kind.CUT, count=3, times=2)
        answer = await one.client.post(
            CHAT,
            json=chat(stream=True, max_tokens=30),
            headers=one.front.headers(),
        )
        assert answer.content == sent_events(one.front, answer.text)
        assert len(plan.hits) == 2
        assert len(runs(one.front)) == 1
        assert await settled(one.front) == [34]


async def test_lost_stream_is_plainly_cut(site):
    async with site(step_time=0.01) as one:
        engine = one.front.engines[0]
        async with one.client.stream(
            'POST',
            CHAT,
            json=chat(stream=True, max_tokens=500),
            headers=one.front.headers(),
        ) as answer:
            blocks = answer.aiter_text()
            text = await anext(blocks)
            engine.restart()
            engine.resident.add('oak@1')
            async for block in blocks:
                text += block
        assert '[DONE]' not in text
        last = text.rstrip('\n').split('\n\n')[-1]
        kind, data = last.split('\n')
        assert kind == 'event: error'
        error = json.loads(data.removeprefix('data: '))['error']
        assert error['code'] == 'answer_cut'
        assert error['not_run'] is False
        # Nothing says what it used, so all of it is charged.
        assert await settled(one.front) == [one.front.reservations[0].cost]


async def test_caller_gone_cancels_at_the_engine(site):
    async with site(step_time=0.01) as one:
        engine = one.front.engines[0]
        async with one.client.stream(
            'POST',
            CHAT,
            json=chat(stream=True, max_tokens=5000),
            headers=one.front.headers(),
        ) as answer:
            await anext(answer.aiter_bytes())
        await wait_until(lambda: engine.kinds('cancel'))
        await wait_until(lambda: not engine.scheduler.running_count())
        (run,), (cancel,) = engine.kinds('run'), engine.kinds('cancel')
        assert run.request_id == cancel.request_id


async def test_failed_call_goes_elsewhere_before_the_first_byte(site):
    async with site(engines=2) as one:
        first, second = one.front.engines
        first.plan.add('complete:*', faults.Kind.RESPONSE_LOST)
        answer = await one.client.post(
            CHAT, json=chat(), headers=one.front.headers()
        )
        assert answer.status_code == 200
        assert len(first.kinds('run')) == len(second.kinds('run')) == 1
        # The first may be at work still, and is told to stop.
        assert first.kinds('cancel')


async def test_not_run_is_true_to_every_attempt(site):
    async with site(engines=2) as one:
        first, second = one.front.engines
        first.plan.add('complete:*', faults.Kind.RESPONSE_LOST, times=None)
        second.resident.clear()
        answer = await one.client.post(
            CHAT, json=chat(), headers=one.front.headers()
        )
        # The last engine did not run it, but the first may have.
        assert answer.json()['error']['not_run'] is False
        first.resident.clear()
        answer = await one.client.post(
            CHAT, json=chat(), headers=one.front.headers()
        )
        assert answer.json()['error']['not_run'] is True
        cost = one.front.reservations[0].cost
        assert await settled(one.front) == [cost, 0]


@pytest.mark.parametrize('stream', [False, True])
async def test_wrong_adapter_is_not_delivered(site, stream):
    async with site(falls_back=True) as one:
        one.front.engines[0].resident.clear()
        answer = await one.client.post(
            CHAT, json=chat(stream=stream), headers=one.front.headers()
        )
        assert answer.status_code == 502
        assert answer.json()['error']['code'] == 'wrong_adapter'
        assert ' t1' not in answer.text
        assert one.front.engines[0].kinds('fell_back')


async def test_key_withdrawn_while_waiting_is_not_dispatched(site):
    async with site() as one:
        one.front.gate = trio.Event()
        answers = []

        async def call():
            answers.append(
                await one.client.post(
                    CHAT, json=chat(), headers=one.front.headers()
                )
            )

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call)
            await wait_until(lambda: one.front.reservations)
            one.front.withdraw('canopy')
            one.front.gate.set()
        error = answers[0].json()['error']
        assert answers[0].status_code == 401
        assert error['code'] == 'key_withdrawn' and error['not_run'] is True
        assert not one.front.engines[0].received
        assert await settled(one.front) == [0]


async def test_stale_node_refuses_before_and_after_waiting(site):
    async with site() as one:
        one.front.gate = trio.Event()
        answers = []

        async def call():
            answers.append(
                await one.client.post(
                    CHAT, json=chat(), headers=one.front.headers()
                )
            )

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call)
            await wait_until(lambda: one.front.reservations)
            one.front.fresh = False
            one.front.gate.set()
        await call()
        for answer in answers:
            assert answer.status_code == 503
            assert answer.headers['retry-after'] == '1'
            assert answer.json()['error']['code'] == 'node_not_current'
            assert answer.json()['error']['not_run'] is True
        assert not one.front.engines[0].received
        assert (await one.client.get('/readyz')).status_code == 503
        assert (await one.client.get('/healthz')).status_code == 200


async def test_refusals_by_key_contract_and_limits(site):
    async with site() as one:
        front = one.front
        front.add_account('stables', concurrency=1)
        cases = [
            ({}, chat(), 401, 'unauthenticated'),
            ({'X-Api-Key': 'mlb_nonsense'}, chat(), 401, 'unauthenticated'),
            (front.headers(), chat(model='elm@1'), 403, 'not_granted'),
            (front.headers(), chat(model='oak'), 400, 'version_required'),
            (front.headers(), chat(max_tokens=10**9), 400, 'bad_request'),
            (front.headers(), chat(n=1000), 400, 'bad_request'),
            (front.headers(), chat(stream='yes'), 400, 'bad_request'),
            (front.headers(), [chat()], 400, 'bad_request'),
        ]
        for headers, body, status, code in cases:
            answer = await one.client.post(CHAT, json=body, headers=headers)
            error = answer.json()['error']
            assert (answer.status_code, error['code']) == (status, code)
            assert error['not_run'] is True and error['step'] == 'admission'
        front.rejection = errors.Error(
            errors.Code.RATE_LIMITED,
            'the rate is used up',
            steps.Step.LIMIT,
            not_run=True,
            retry_after=2.3,
        )
        answer = await one.client.post(
            CHAT, json=chat(), headers=front.headers()
        )
        assert answer.status_code == 429
        assert answer.headers['retry-after'] == '3'
        assert not front.engines[0].received


async def test_concurrency_of_an_account_is_bounded(site):
    async with site(step_time=0.002, batch=64) as one:
        one.front.add_account('stables', concurrency=2)
        most = 0

        async def watch():
            nonlocal most
            while True:
                running = one.front.engines[0].scheduler.running_count()
                most = max(most, running)
                await trio.sleep(0.001)

        async def call():
            answer = await one.client.post(
                CHAT, json=chat(), headers=one.front.headers('stables')
            )
            assert answer.status_code == 200

        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch)
            async with trio.open_nursery() as calls:
                for _ in range(10):
                    calls.start_soon(call)
            nursery.cancel_scope.cancel()
        assert most == 2


async def test_cost_covers_every_prompt_and_choice(site):
    async with site() as one:
        body = {
            'model': 'oak@1',
            'prompt': ['a', 'b', 'c'],
            'n': 2,
            'best_of': 4,
            'max_tokens': 100,
        }
        await one.client.post(
            '/v1/completions', json=body, headers=one.front.headers()
        )
        assert one.front.reservations[0].cost > 3 * 4 * 100
        # Without a limit of the caller's the node's is sent.
        plain = {'model': 'oak@1', 'messages': []}
        await one.client.post(CHAT, json=plain, headers=one.front.headers())
        sent = json.loads(one.front.engines[0].received[-1].body)
        assert sent['max_tokens'] == 1024
        assert 1024 < one.front.reservations[1].cost < 1100


async def test_models_lists_the_grants(site):
    async with site() as one:
        answer = await one.client.get(
            '/v1/models', headers=one.front.headers()
        )
        assert [m['id'] for m in answer.json()['data']] == ['oak@*']
        assert (await one.client.get('/v1/models')).status_code == 401
        assert (await one.client.get(CHAT)).status_code == 404


async def test_silent_target_is_given_up_and_slow_caller_is_not(
    site, caller_settings
):
    settings = caller_settings(event_timeout=0.2)
    async with site(settings=settings, step_time=0.5) as one:
        # A stand-in that pauses longer than the limit: the first event is
        # due after it, and resuming meets the same.
        answer = await one.client.post(
            CHAT,
            json=chat(stream=True, max_tokens=3),
            headers=one.front.headers(),
        )
        assert answer.status_code == 504
        assert answer.json()['error']['code'] == 'target_timeout'
        assert answer.json()['error']['not_run'] is False
        assert one.front.engines[0].kinds('cancel')
    async with site(settings=settings) as one:
        async with one.client.stream(
            'POST',
            CHAT,
            json=chat(stream=True, max_tokens=3000),
            headers=one.front.headers(),
        ) as answer:
            await trio.sleep(0.5)
            text = ''
            async for block in answer.aiter_text():
                if not text:
                    await trio.sleep(0.5)
                text += block
        assert text.endswith('data: [DONE]\n\n')
