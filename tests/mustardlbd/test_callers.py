"""Model calls over real sockets: streams, rejections, retries, limits."""

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


def run_entries(front):
    return [entry for engine in front.engines for entry in engine.kinds('run')]


def sent_events(front, text):
    """Return the events that the engine sent, without the usage event."""
    request_id = json.loads(text.split('data: ')[1].split('\n')[0])['id']
    for engine in front.engines:
        if request_id in engine.scheduler._streams:
            events = engine.scheduler.find(request_id).events
    return b''.join(e for e in events if b'"usage"' not in e)


async def wait_until(condition):
    with trio.fail_after(10):
        while not condition():  # noqa: ASYNC110
            await trio.sleep(0.005)


async def settled_tokens(front):
    """Return the charged tokens of each reservation once all are settled."""
    await wait_until(
        lambda: all(r.used is not None for r in front.reservations)
    )
    return [reservation.used for reservation in front.reservations]


async def test_complete_response_and_charged_tokens(site):
    async with site() as node:
        response = await node.client.post(
            CHAT, json=chat(), headers=node.front.headers()
        )
        assert response.status_code == 200, response.text
        message = response.json()['choices'][0]['message']
        assert message['content'] == ' t1 t2 t3 t4 t5'
        # The maximum is reserved, and the used tokens are charged.
        assert await settled_tokens(node.front) == [9]
        assert node.front.reservations[0].cost > 9
        described = node.metrics.describe()
        assert {d['measure'] for d in described} == {'first_byte', 'total'}


@pytest.mark.parametrize('http2', [False, True])
async def test_concurrent_streams_are_forwarded_unchanged(site, http2):
    async with site(engines=2, batch=64, queue=512) as node:
        responses = []

        async def call(client, number):
            body = chat(
                stream=True,
                max_tokens=20 + number % 7,
                messages=[{'role': 'user', 'content': f't{number}'}],
            )
            response = await client.post(
                CHAT, json=body, headers=node.front.headers()
            )
            responses.append((number, response))

        client = httpx.AsyncClient(
            base_url=node.url, http1=not http2, http2=http2, timeout=20.0
        )
        async with client, trio.open_nursery() as nursery:
            for number in range(40):
                nursery.start_soon(call, client, number)
        assert len(responses) == 40
        for number, response in responses:
            version = 'HTTP/2' if http2 else 'HTTP/1.1'
            assert response.http_version == version
            text = response.text
            assert response.content == sent_events(node.front, text)
            # The simulated engine continues the numbers of the prompt.
            assert f'" t{number + 1}"' in text.split('\n\n')[0]
            assert text.count('data: ') == 20 + number % 7 + 1
        assert len(await settled_tokens(node.front)) == 40


async def test_usage_event_only_if_requested(site):
    async with site() as node:
        for options, count in (({'include_usage': True}, 1), (None, 0)):
            response = await node.client.post(
                CHAT,
                json=chat(stream=True, stream_options=options),
                headers=node.front.headers(),
            )
            assert response.text.count('"usage"') == count
            assert response.text.endswith('data: [DONE]\n\n')
        assert await settled_tokens(node.front) == [9, 9]


async def test_broken_stream_is_resumed(site):
    async with site() as node:
        plan = node.front.engines[0].plan
        plan.add('stream:*', faults.Kind.CUT, count=3, times=2)
        response = await node.client.post(
            CHAT,
            json=chat(stream=True, max_tokens=30),
            headers=node.front.headers(),
        )
        assert response.content == sent_events(node.front, response.text)
        assert len(plan.hits) == 2
        assert len(run_entries(node.front)) == 1
        assert await settled_tokens(node.front) == [34]


async def test_lost_stream_ends_with_an_error_event(site):
    async with site(step_time=0.01) as node:
        engine = node.front.engines[0]
        async with node.client.stream(
            'POST',
            CHAT,
            json=chat(stream=True, max_tokens=500),
            headers=node.front.headers(),
        ) as response:
            blocks = response.aiter_text()
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
        # The usage is unknown, so the whole reservation is charged.
        assert await settled_tokens(node.front) == [
            node.front.reservations[0].cost
        ]


async def test_disconnect_of_the_caller_cancels_at_the_engine(site):
    async with site(step_time=0.01) as node:
        engine = node.front.engines[0]
        async with node.client.stream(
            'POST',
            CHAT,
            json=chat(stream=True, max_tokens=5000),
            headers=node.front.headers(),
        ) as response:
            await anext(response.aiter_bytes())
        await wait_until(lambda: engine.kinds('cancel'))
        await wait_until(lambda: not engine.scheduler.running_count())
        (run,), (cancel,) = engine.kinds('run'), engine.kinds('cancel')
        assert run.request_id == cancel.request_id


async def test_failed_call_is_retried_before_the_first_byte(site):
    async with site(engines=2) as node:
        first, second = node.front.engines
        first.plan.add('complete:*', faults.Kind.RESPONSE_LOST)
        response = await node.client.post(
            CHAT, json=chat(), headers=node.front.headers()
        )
        assert response.status_code == 200
        assert len(first.kinds('run')) == len(second.kinds('run')) == 1
        # The first engine may still run the request, so it is cancelled.
        assert first.kinds('cancel')


async def test_not_run_covers_every_attempt(site):
    async with site(engines=2) as node:
        first, second = node.front.engines
        first.plan.add('complete:*', faults.Kind.RESPONSE_LOST, times=None)
        second.resident.clear()
        response = await node.client.post(
            CHAT, json=chat(), headers=node.front.headers()
        )
        # The last engine did not run it, but the first may have.
        assert response.json()['error']['not_run'] is False
        first.resident.clear()
        response = await node.client.post(
            CHAT, json=chat(), headers=node.front.headers()
        )
        assert response.json()['error']['not_run'] is True
        cost = node.front.reservations[0].cost
        assert await settled_tokens(node.front) == [cost, 0]


@pytest.mark.parametrize('stream', [False, True])
async def test_wrong_adapter_is_not_delivered(site, stream):
    async with site(falls_back=True) as node:
        node.front.engines[0].resident.clear()
        response = await node.client.post(
            CHAT, json=chat(stream=stream), headers=node.front.headers()
        )
        assert response.status_code == 502
        assert response.json()['error']['code'] == 'wrong_adapter'
        assert ' t1' not in response.text
        assert node.front.engines[0].kinds('fell_back')


async def test_key_withdrawn_while_waiting_is_not_dispatched(site):
    async with site() as node:
        node.front.gate = trio.Event()
        responses = []

        async def call():
            responses.append(
                await node.client.post(
                    CHAT, json=chat(), headers=node.front.headers()
                )
            )

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call)
            await wait_until(lambda: node.front.reservations)
            node.front.withdraw('canopy')
            node.front.gate.set()
        error = responses[0].json()['error']
        assert responses[0].status_code == 401
        assert error['code'] == 'key_withdrawn' and error['not_run'] is True
        assert not node.front.engines[0].received
        assert await settled_tokens(node.front) == [0]


async def test_stale_node_rejects_new_and_queued_calls(site):
    async with site() as node:
        node.front.gate = trio.Event()
        responses = []

        async def call():
            responses.append(
                await node.client.post(
                    CHAT, json=chat(), headers=node.front.headers()
                )
            )

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call)
            await wait_until(lambda: node.front.reservations)
            node.front.fresh = False
            node.front.gate.set()
        await call()
        for response in responses:
            assert response.status_code == 503
            assert response.headers['retry-after'] == '1'
            assert response.json()['error']['code'] == 'node_not_current'
            assert response.json()['error']['not_run'] is True
        assert not node.front.engines[0].received
        assert (await node.client.get('/readyz')).status_code == 503
        assert (await node.client.get('/healthz')).status_code == 200


async def test_rejections_by_key_contract_and_limits(site):
    async with site() as node:
        front = node.front
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
            response = await node.client.post(CHAT, json=body, headers=headers)
            error = response.json()['error']
            assert (response.status_code, error['code']) == (status, code)
            assert error['not_run'] is True and error['step'] == 'admission'
        front.rejection = errors.Error(
            errors.Code.RATE_LIMITED,
            'the rate is used up',
            steps.Step.LIMIT,
            not_run=True,
            retry_after=2.3,
        )
        response = await node.client.post(
            CHAT, json=chat(), headers=front.headers()
        )
        assert response.status_code == 429
        assert response.headers['retry-after'] == '3'
        assert not front.engines[0].received


async def test_concurrency_of_an_account_is_bounded(site):
    async with site(step_time=0.002, batch=64) as node:
        node.front.add_account('stables', concurrency=2)
        max_running = 0

        async def watch():
            nonlocal max_running
            while True:
                running = node.front.engines[0].scheduler.running_count()
                max_running = max(max_running, running)
                await trio.sleep(0.001)

        async def call():
            response = await node.client.post(
                CHAT, json=chat(), headers=node.front.headers('stables')
            )
            assert response.status_code == 200

        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch)
            async with trio.open_nursery() as calls:
                for _ in range(10):
                    calls.start_soon(call)
            nursery.cancel_scope.cancel()
        assert max_running == 2


async def test_cost_covers_every_prompt_and_choice(site):
    async with site() as node:
        body = {
            'model': 'oak@1',
            'prompt': ['a', 'b', 'c'],
            'n': 2,
            'best_of': 4,
            'max_tokens': 100,
        }
        await node.client.post(
            '/v1/completions', json=body, headers=node.front.headers()
        )
        assert node.front.reservations[0].cost > 3 * 4 * 100
        # The node sets its default if the caller sets no limit.
        plain = {'model': 'oak@1', 'messages': []}
        await node.client.post(CHAT, json=plain, headers=node.front.headers())
        sent = json.loads(node.front.engines[0].received[-1].body)
        assert sent['max_tokens'] == 1024
        assert 1024 < node.front.reservations[1].cost < 1100


async def test_models_lists_the_granted_models(site):
    async with site() as node:
        response = await node.client.get(
            '/v1/models', headers=node.front.headers()
        )
        assert [m['id'] for m in response.json()['data']] == ['oak@*']
        assert (await node.client.get('/v1/models')).status_code == 401
        assert (await node.client.get(CHAT)).status_code == 404


async def test_read_timeout_applies_to_targets_but_not_to_callers(
    site, caller_settings
):
    settings = caller_settings(read_timeout=0.2)
    async with site(settings=settings, step_time=0.5) as node:
        # The simulated engine sends its first event after the read timeout,
        # also when the stream is resumed.
        response = await node.client.post(
            CHAT,
            json=chat(stream=True, max_tokens=3),
            headers=node.front.headers(),
        )
        assert response.status_code == 504
        assert response.json()['error']['code'] == 'target_timeout'
        assert response.json()['error']['not_run'] is False
        assert node.front.engines[0].kinds('cancel')
    async with site(settings=settings) as node:
        async with node.client.stream(
            'POST',
            CHAT,
            json=chat(stream=True, max_tokens=3000),
            headers=node.front.headers(),
        ) as response:
            await trio.sleep(0.5)
            text = ''
            async for block in response.aiter_text():
                if not text:
                    await trio.sleep(0.5)
                text += block
        assert text.endswith('data: [DONE]\n\n')
