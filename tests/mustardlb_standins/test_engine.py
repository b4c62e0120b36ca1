"""The simulated engine, weight store and plain service over HTTP."""

import contextlib

import httpx
import pytest

from mustardlb import engine
from mustardlb import weight_store
from mustardlb_standins import engine as engine_standin
from mustardlb_standins import engine_app
from mustardlb_standins import faults
from mustardlb_standins import plain_service
from mustardlb_standins import web
from mustardlb_standins import weight_store as weight_store_standin

SETTINGS = engine_standin.Settings(slots=2, step_time=0.001, report_lag=0.0)


@contextlib.asynccontextmanager
async def serve_engine(settings=SETTINGS):
    store = weight_store_standin.MemoryWeightStore(load_time=0.01)
    simulator = engine_standin.Engine(settings, store.fetch)
    app = engine_app.build(simulator)
    async with web.serving(app, background=simulator.run) as address:
        client = engine.HttpEngine(address)
        async with httpx.AsyncClient(base_url=address) as http:
            yield simulator, client, http
        await client.close()


def body(model='oak@1', **rest):
    messages = [{'role': 'user', 'content': 'Draft'}]
    return {'model': model, 'messages': messages, 'max_tokens': 4, **rest}


async def test_commands_and_reports():
    async with serve_engine() as (simulator, client, http):
        response = await http.post(engine.CHAT_PATH, json=body())
        assert response.status_code == 404
        assert response.json()['error']['code'] == engine.NOT_LOADED
        await client.load('oak@1', 3)
        await client.load('ash@1', 3)
        with pytest.raises(engine.SlotsFull):
            await client.load('elm@1', 3)
        with pytest.raises(engine.StaleFencingToken) as fenced:
            await client.evict('oak@1', 2)
        assert fenced.value.highest == 3
        simulator.plan.add('load:elm@1', faults.Kind.FAIL)
        await client.evict('ash@1', 4)
        with pytest.raises(engine.LoadFailed):
            await client.load('elm@1', 4)
        await client.load_report()
        report = await client.load_report()
        assert report.resident == ('oak@1',)
        response = await http.post(engine.CHAT_PATH, json=body())
        assert response.headers[engine.SERVED_MODEL_HEADER] == 'oak@1'
        text = response.json()['choices'][0]['message']['content']
        assert text == ' t1 t2 t3 t4'
        events = await client.cache_events(0)
        assert events.events[0].prefix == engine.prefix_hash('oak@1', 'Draft')


async def test_cut_stream_is_resumed_until_a_restart():
    async with serve_engine() as (simulator, client, http):
        await client.load('oak@1', 1)
        simulator.plan.add('stream:*', faults.Kind.CUT, count=2)
        headers = {engine.REQUEST_ID_HEADER: 'a/1'}
        call = body(stream=True, stream_options={'include_usage': True})
        seen = b''
        with pytest.raises(httpx.HTTPError):
            async with http.stream(
                'POST', engine.CHAT_PATH, json=call, headers=headers
            ) as response:
                async for chunk in response.aiter_bytes():
                    seen += chunk
        assert seen.count(b'data: ') == 2
        response = await http.get(engine.resume_path('a/1', 2))
        assert response.content.startswith(b'id: 3\n')
        assert b'"usage"' in response.content
        assert response.content.endswith(b'data: [DONE]\n\n')
        simulator.restart()
        response = await http.get(engine.resume_path('a/1', 2))
        assert response.json()['error']['code'] == engine.STREAM_LOST
        assert not simulator.resident


async def test_loads_slow_down_above_the_rate_limit(autojump_clock):
    import trio

    store = weight_store_standin.MemoryWeightStore()

    async def load_duration(loads):
        started = trio.current_time()
        async with trio.open_nursery() as nursery:
            for number in range(loads):
                nursery.start_soon(store.fetch, f'm{number}@1')
        return trio.current_time() - started

    assert await load_duration(8) == pytest.approx(
        weight_store.FULL_SPEED_LOAD_SECONDS
    )
    assert await load_duration(16) == pytest.approx(
        2 * weight_store.FULL_SPEED_LOAD_SECONDS
    )
    assert store.most_in_transit == 16


async def test_plain_service_counts_bookings_and_streams_bodies():
    service = plain_service.PlainService()
    service.plan.add('booking:a', faults.Kind.RESPONSE_LOST)
    async with (
        web.serving(plain_service.build(service)) as address,
        httpx.AsyncClient(base_url=address) as client,
    ):
        booking = {'reference': 'a'}
        lost = await client.post('/bookings', json=booking)
        assert lost.status_code == 503
        again = await client.post('/bookings', json=booking)
        assert again.json()['runs'] == 2
        assert service.repeated_bookings() == {'a': 2}
        sent = await client.post('/upload', content=b'y' * 100_000)
        assert sent.json()['size'] == 100_000
        got = await client.get('/download/100000')
        assert len(got.content) == 100_000
        echo = await client.patch('/echo/x?q=1', content=b'z')
        assert (echo.json()['method'], echo.json()['query']) == (
            'PATCH',
            'q=1',
        )
