"""Single faults at single steps of the callers' side, over real sockets."""

import dataclasses

import msgspec
import pytest
import trio

from mustardlb import routes
from mustardlb_standins import faults

CHAT = '/v1/chat/completions'


def chat(**fields):
    return {'model': 'oak@1', 'messages': [], 'max_tokens': 5} | fields


async def refuse_by_withdrawal(one, held, path, body, **headers):
    """Withdraw the key while a call is held; check what it gets."""
    hold = one.front.hold(held)
    answers = []

    async def call():
        answers.append(
            await one.client.post(
                path, json=body, headers=one.front.headers() | headers
            )
        )

    async with trio.open_nursery() as nursery:
        nursery.start_soon(call)
        with trio.fail_after(5):
            await hold.waiting.wait()
        one.front.withdraw('canopy')
        hold.proceed.set()
    error = answers[0].json()['error']
    assert answers[0].status_code == 401
    assert (error['code'], error['not_run']) == ('key_withdrawn', True)


async def test_key_withdrawn_while_tokens_are_awaited(site):
    async with site() as one:
        await refuse_by_withdrawal(one, 'reserve', CHAT, chat())
        assert not one.front.engines[0].received
        assert [each.used for each in one.front.reservations] == [0]


async def test_key_withdrawn_while_a_booking_is_recorded(site):
    async with site() as one:
        booking = {'reference': 'oats'}
        key = {'Idempotency-Key': 'k1'}
        await refuse_by_withdrawal(one, 'begin', '/bookings', booking, **key)
        assert not one.front.desk.received
        # Nothing is left that would keep the booking from running.
        assert not one.front.attempts_by_key


def stall(engine):
    """Let an engine that runs make no further token."""
    settings = dataclasses.replace(engine.settings, step_time=60.0)
    engine.scheduler._settings = settings


async def read_stream(one, act):
    """Read a stream of 50 tokens; `act` once it has begun."""
    text = ''
    async with one.client.stream(
        'POST',
        CHAT,
        json=chat(stream=True, max_tokens=50),
        headers=one.front.headers(),
    ) as answer:
        async for block in answer.aiter_text():
            if not text:
                act()
            text += block
    return text


async def test_key_withdrawn_while_its_answer_streams(site):
    async with site(step_time=0.01) as one:
        text = await read_stream(one, lambda: one.front.withdraw('canopy'))
        assert text.endswith('data: [DONE]\n\n')
        assert text.count('data: ') == 51
        answer = await one.client.post(
            CHAT, json=chat(), headers=one.front.headers()
        )
        assert answer.json()['error']['code'] == 'key_withdrawn'
        assert len(one.front.engines[0].kinds('run')) == 1


async def test_engine_that_hangs_in_a_stream(site, caller_settings):
    settings = caller_settings(event_timeout=0.3, notice_time=0.01)
    async with site(settings=settings, step_time=0.01) as one:
        engine = one.front.engines[0]
        text = await read_stream(one, lambda: stall(engine))
        assert '[DONE]' not in text
        assert text.rstrip('\n').split('\n')[-2] == 'event: error'
        assert '"not_run":false' in text.replace(' ', '')
        assert len(engine.kinds('run')) == 1
        (reservation,) = one.front.reservations
        assert reservation.used == reservation.cost


@pytest.mark.parametrize('engines', [1, 2])
async def test_engine_that_hangs_before_its_answer(
    site, caller_settings, engines
):
    settings = caller_settings(response_timeout=0.3, notice_time=0.01)
    async with site(engines=engines, settings=settings) as one:
        first = one.front.engines[0]
        first.plan.add('complete:*', faults.Kind.SLOW, seconds=60.0)
        answer = await one.client.post(
            CHAT, json=chat(), headers=one.front.headers()
        )
        # It has begun at the first, which is told to stop.
        assert first.kinds('run') and first.kinds('cancel')
        if engines == 2:
            assert answer.status_code == 200
            assert len(one.front.engines[1].kinds('run')) == 1
            return
        error = answer.json()['error']
        assert (error['code'], error['not_run']) == ('target_timeout', False)


async def test_target_that_drains_gets_no_new_work(site):
    async with site() as one:
        front = one.front
        front.desk.booking_time = 0.3
        answers = []

        async def book(reference):
            answers.append(
                await one.client.post(
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
        refused, finished = answers
        assert refused.json()['error']['code'] == 'no_target'
        assert refused.json()['error']['not_run'] is True
        assert finished.status_code == 201
        assert dict(front.desk.runs) == {'before': 1}


@pytest.mark.parametrize('fault', ['key', 'restart', 'hang'])
async def test_stop_ends_whatever_befalls_a_stream(
    site, caller_settings, fault
):
    settings = caller_settings(
        event_timeout=0.3, notice_time=0.01, stop_timeout=60.0
    )
    async with site(settings=settings, step_time=0.01) as one:
        engine = one.front.engines[0]

        def act():
            one.front.stop.set()
            if fault == 'key':
                one.front.withdraw('canopy')
            elif fault == 'restart':
                engine.restart()
            else:
                stall(engine)

        text = await read_stream(one, act)
        with trio.fail_after(10):
            await one.served.wait()
        whole = text.endswith('data: [DONE]\n\n')
        assert whole is (fault == 'key')
        assert whole or 'event: error' in text
        assert all(each.used is not None for each in one.front.reservations)
