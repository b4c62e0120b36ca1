"""A graceful shutdown cuts no request in flight, and is bounded."""

import httpx
import pytest
import trio

CHAT = '/v1/chat/completions'


def chat(tokens):
    return {
        'model': 'oak@1',
        'messages': [],
        'max_tokens': tokens,
        'stream': True,
    }


async def test_stop_lets_streams_end_and_refuses_nobody_in_time(
    site, caller_settings
):
    settings = caller_settings(drain_delay=0.3, stop_timeout=10.0)
    async with site(settings=settings, step_time=0.01, batch=32) as one:
        answers = []
        begun = trio.Event()

        async def stream():
            async with one.client.stream(
                'POST', CHAT, json=chat(100), headers=one.front.headers()
            ) as answer:
                text = ''
                async for block in answer.aiter_text():
                    begun.set()
                    text += block
                answers.append(text)

        async with trio.open_nursery() as nursery:
            for _ in range(10):
                nursery.start_soon(stream)
            await begun.wait()
            one.front.stop.set()
            # The balancer is told at once; who comes still gets in.
            ready = await one.client.get('/readyz')
            assert ready.status_code == 503
            assert ready.json()['error']['code'] == 'node_stopping'
            assert ready.headers['connection'] == 'close'
            nursery.start_soon(stream)
            with trio.fail_after(5):
                await one.served.wait()
        assert len(answers) == 11
        for text in answers:
            assert text.endswith('data: [DONE]\n\n')
            assert text.count('data: ') == 101
        with pytest.raises(httpx.ConnectError):
            await one.client.get('/healthz')


async def test_stop_is_bounded(site, caller_settings):
    settings = caller_settings(drain_delay=0.01, stop_timeout=0.3)
    async with site(settings=settings, step_time=0.05) as one:
        engine = one.front.engines[0]
        async with one.client.stream(
            'POST', CHAT, json=chat(10000), headers=one.front.headers()
        ) as answer:
            blocks = answer.aiter_bytes()
            await anext(blocks)
            one.front.stop.set()
            with trio.fail_after(5):
                await one.served.wait()
            # Cut, and seen as cut; the engine works on no more.
            with pytest.raises(httpx.RemoteProtocolError):
                async for _ in blocks:
                    pass
        assert engine.kinds('cancel')
