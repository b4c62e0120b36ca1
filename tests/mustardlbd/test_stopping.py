"""A shutdown completes requests in flight within a time limit."""

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


async def test_shutdown_completes_old_and_new_streams(site, caller_settings):
    settings = caller_settings(drain_delay=0.3, stop_timeout=10.0)
    async with site(settings=settings, step_time=0.01, batch=32) as node:
        texts = []
        started = trio.Event()

        async def stream():
            async with node.client.stream(
                'POST', CHAT, json=chat(100), headers=node.front.headers()
            ) as response:
                text = ''
                async for block in response.aiter_text():
                    started.set()
                    text += block
                texts.append(text)

        async with trio.open_nursery() as nursery:
            for _ in range(10):
                nursery.start_soon(stream)
            await started.wait()
            node.front.stop.set()
            # The readiness check fails immediately, while new requests are
            # still accepted.
            ready = await node.client.get('/readyz')
            assert ready.status_code == 503
            assert ready.json()['error']['code'] == 'node_stopping'
            assert ready.headers['connection'] == 'close'
            nursery.start_soon(stream)
            with trio.fail_after(5):
                await node.served.wait()
        assert len(texts) == 11
        for text in texts:
            assert text.endswith('data: [DONE]\n\n')
            assert text.count('data: ') == 101
        with pytest.raises(httpx.ConnectError):
            await node.client.get('/healthz')


async def test_shutdown_time_is_bounded(site, caller_settings):
    settings = caller_settings(drain_delay=0.01, stop_timeout=0.3)
    async with site(settings=settings, step_time=0.05) as node:
        engine = node.front.engines[0]
        async with node.client.stream(
            'POST', CHAT, json=chat(10000), headers=node.front.headers()
        ) as response:
            blocks = response.aiter_bytes()
            await anext(blocks)
            node.front.stop.set()
            with trio.fail_after(5):
                await node.served.wait()
            # The caller detects the truncation, and the request is cancelled
            # at the engine.
            with pytest.raises(httpx.RemoteProtocolError):
                async for _ in blocks:
                    pass
        assert engine.kinds('cancel')
