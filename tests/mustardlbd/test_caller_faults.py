"""Single faults during single steps of a call, over real sockets."""

import dataclasses

import msgspec
import pytest
import trio

from mustardlb import routes
from mustardlb_standins import faults

CHAT = '/v1/chat/completions'


def chat(**fields):
    return {'model': 'oak@1', 'messages': [], 'max_tokens': 5} | fields


async def check_withdrawal_during(node, dependency, path, body, **headers):
    """Withdraw the key while a dependency blocks a call; check the error."""
    hold = node.front.hold(dependency)
    responses = []

    async def call():
        responses.append(
            await node.client.post(
                path, json=body, headers=node.front.headers() | headers
            )
        )

    async with trio.open_nursery() as nursery:
        nursery.start_soon(call)
        with trio.fail_after(5):
            await hold.waiting.wait()
        node.front.withdraw('canopy')
        hold.proceed.set()
    error = responses[0].json()['error']
    assert responses[0].status_code == 401
    assert (error['code'], error['not_run']) == ('key_withdrawn', True)


async def test_key_withdrawn_while_tokens_are_reserved(site):
    async with site() as node:
        await check_withdrawal_during(node, 'reserve', CHAT, chat())
        assert not node.front.engines[0].received
        assert [each.used for each in node.front.reservations] == [0]


async def test_key_withdrawn_while_a_booking_is_recorded(site):
    async with site() as node:
        booking = {'reference': 'oats'}
        key = {'Idempotency-Key': 'k1'}
        await check_withdrawal_during(
            node, 'begin', '/bookings', booking, **key
        )
        assert not node.front.desk.received
        # No record remains that would prevent a later booking.
        assert not node.front.attempts_by_key


def stop_generation(engine):
    """Let a running engine generate no further token."""
    settings = dataclasses.replace(engine.settings, step_time=60.0)
    engine.scheduler._settings = settings


async def read_stream(node, on_start):
    """Read a stream of 50 tokens; calls `on_start` at its first block."""
    text = ''
    async with node.client.stream(
        'POST',
        CHAT,
        json=chat(stream=True, max_tokens=50),
        headers=node.front.headers(),
    ) as response:
        async for block in response.aiter_text():
            if not text:
                on_start()
            text += block
    return text


async def test_key_withdrawn_during_a_stream(site):
    async with site(step_time=0.01) as node:
        text = await read_stream(node, lambda: node.front.withdraw('canopy'))
        assert text.endswith('data: [DONE]\n\n')
        assert text.count('data: ') == 51
        response = await node.client.post(
            CHAT, json=chat(), headers=node.front.headers()
        )
        assert response.json()['error']['code'] == 'key_withdrawn'
        assert len(node.front.engines[0].kinds('run')) == 1


async def test_engine_that_hangs_in_a_stream(site, caller_settings):
    settings = caller_settings(read_timeout=0.3, drain_delay=0.01)
    async with site(settings=settings, step_time=0.01) as node:
        engine = node.front.engines[0]
        text = await read_stream(node, lambda: stop_generation(engine))
        assert '[DONE]' not in text
        assert text.rstrip('\n').split('\n')[-2] == 'event: error'
        assert '"not_run":false' in text.replace(' ', '')
        assert len(engine.kinds('run')) == 1
        (reservation,) = node.front.reservations
        assert reservation.used == reservation.cost


@pytest.mark.parametrize('engines', [1, 2])
async def test_engine_that_hangs_before_its_response(
    site, caller_settings, engines
):
    settings = caller_settings(response_timeout=0.3, drain_delay=0.01)
    async with site(engines=engines, settings=settings) as node:
        first = node.front.engines[0]
        first.plan.add('complete:*', faults.Kind.SLOW, seconds=60.0)
        response = await node.client.post(
            CHAT, json=chat(), headers=node.front.headers()
        )
        # The request started at the first engine and is cancelled there.
        assert first.kinds('run') and first.kinds('cancel')
        if engines == 2:
            assert response.status_code == 200
            assert len(node.front.engines[1].kinds('run')) == 1
            return
        error = response.json()['error']
        assert (error['code'], error['not_run']) == ('target_timeout', False)


async def test_draining_target_gets_no_new_requests(site):
    async with site() as node:
        front = node.front
        front.desk.booking_time = 0.3
        responses = []

        async def book(reference):
            responses.append(
                await node.client.post(
                    '/bookings',
                    json={'reference': reference},
                    headers=front.headers(),
                )
            )

        async with trio.open_nursery() as nursery:
            nursery.start_soon(book, 'before')
            with trio.fail_after(5):
                while not front.desk.received:  # noqa: ASYNC110
                    await trio.sleep(0.005)
            front.targets['desk-1'] = msgspec.structs.replace(
                front.targets['desk-1'], state=routes.TargetState.DRAIN
            )
            front.publish()
            await book('after')
        rejected, finished = responses
        assert rejected.json()['error']['code'] == 'no_target'
        assert rejected.json()['error']['not_run'] is True
        assert finished.status_code == 201
        assert dict(front.desk.runs) == {'before': 1}


@pytest.mark.parametrize('fault', ['key', 'restart', 'hang'])
async def test_shutdown_completes_despite_a_stream_fault(
    site, caller_settings, fault
):
    settings = caller_settings(
        read_timeout=0.3, drain_delay=0.01, stop_timeout=60.0
    )
    async with site(settings=settings, step_time=0.01) as node:
        engine = node.front.engines[0]

        def on_start():
            node.front.stop.set()
            if fault == 'key':
                node.front.withdraw('canopy')
            elif fault == 'restart':
                engine.restart()
            else:
                stop_generation(engine)

        text = await read_stream(node, on_start)
        with trio.fail_after(10):
            await node.served.wait()
        is_complete = text.endswith('data: [DONE]\n\n')
        assert is_complete is (fault == 'key')
        assert is_complete or 'event: error' in text
        assert all(each.used is not None for each in node.front.reservations)
