"""The HTTP form of the engine's stand-in."""

from collections import abc
from typing import Any

import msgspec
import quart
import quart_trio

from mustardlb import engine
from mustardlb_standins import engine as engine_standin
from mustardlb_standins import faults
from mustardlb_standins import generation
from mustardlb_standins import web

# Tokens of an answer whose request names no limit.
MAX_TOKENS = 16

_STATUS_BY_ERROR: dict[type[Exception], tuple[int, str]] = {
    engine.StaleFencingToken: (409, engine.FENCED),
    engine.SlotsFull: (409, engine.SLOTS_FULL),
    engine.AdapterInUse: (409, engine.IN_USE),
    engine.LoadFailed: (502, engine.LOAD_FAILED),
    engine.EngineRejected: (400, 'bad_request'),
    engine.EngineUnavailable: (503, 'unavailable'),
    engine_standin.NotLoaded: (404, engine.NOT_LOADED),
    engine_standin.QueueFull: (429, engine.QUEUE_FULL),
    generation.StreamLost: (404, engine.STREAM_LOST),
}


class _Order(msgspec.Struct):
    model: str
    fence: int


class _RoleOrder(msgspec.Struct):
    role: str
    fence: int


class _Message(msgspec.Struct):
    role: str
    content: str = ''


class _StreamOptions(msgspec.Struct):
    include_usage: bool = False


class _Completion(msgspec.Struct):
    model: str
    messages: list[_Message] = []
    prompt: str = ''
    max_tokens: int = MAX_TOKENS
    stream: bool = False
    stream_options: _StreamOptions | None = None


def build(one: engine_standin.Engine) -> quart_trio.QuartTrio:
    """Make the HTTP form, as docs/interfaces/engine.md describes it."""
    app = web.build_app(one.plan)
    _add_completions(app, one)
    _add_orders(app, one)
    _add_reports(app, one)
    _add_checks(app, one)
    for kind in _STATUS_BY_ERROR:
        app.register_error_handler(kind, _answer_error)
    app.register_error_handler(msgspec.MsgspecError, _answer_bad_request)
    return app


def _add_completions(
    app: quart_trio.QuartTrio, one: engine_standin.Engine
) -> None:
    async def complete(chat: bool) -> web.Answer:
        body = await web.record(one.received)
        call = msgspec.json.decode(body, type=_Completion)
        request = _request(call, chat)

        async def effect() -> generation.Stream:
            return one.start(request)

        stream = await one.plan.around(f'complete:{call.model}', effect)
        if call.stream:
            return _stream_answer(one, stream, 0)
        text = await stream.finish()
        return web.json_answer(
            _whole(stream, text), 200, **_headers(one, stream)
        )

    @app.post(engine.CHAT_PATH)
    async def chat() -> web.Answer:
        return await complete(chat=True)

    @app.post(engine.COMPLETIONS_PATH)
    async def completions() -> web.Answer:
        return await complete(chat=False)

    @app.get('/v1/streams/<path:request_id>')
    async def resume(request_id: str) -> web.Answer:
        await web.record(one.received)
        after = int(quart.request.args.get('after', '0'))
        stream = one.work.find(request_id)
        return _stream_answer(one, stream, after)

    @app.delete('/v1/streams/<path:request_id>')
    async def cancel(request_id: str) -> web.Answer:
        await web.record(one.received)
        await one.cancel(request_id)
        return '', 204


def _add_orders(app: quart_trio.QuartTrio, one: engine_standin.Engine) -> None:
    @app.post('/orders/load')
    async def load() -> web.Answer:
        body = await web.record(one.received)
        order = msgspec.json.decode(body, type=_Order)
        await one.load(order.model, order.fence)
        return {}

    @app.post('/orders/evict')
    async def evict() -> web.Answer:
        body = await web.record(one.received)
        order = msgspec.json.decode(body, type=_Order)
        await one.evict(order.model, order.fence)
        return {}

    @app.post('/orders/role')
    async def role() -> web.Answer:
        body = await web.record(one.received)
        order = msgspec.json.decode(body, type=_RoleOrder)
        await one.set_role(order.role, order.fence)
        return {}

    @app.post('/kv/export')
    async def export_kv() -> web.Answer:
        body = await web.record(one.received)
        call = msgspec.json.decode(body, type=dict[str, str])
        return await one.export_kv(call['prefix'])

    @app.post('/kv/import')
    async def import_kv() -> web.Answer:
        body = await web.record(one.received)
        await one.import_kv(quart.request.args['prefix'], body)
        return {}


def _add_reports(
    app: quart_trio.QuartTrio, one: engine_standin.Engine
) -> None:
    @app.get('/load')
    async def load_report() -> web.Answer:
        return web.json_answer(await one.load_report())

    @app.get('/cache-events')
    async def cache_events() -> web.Answer:
        after = int(quart.request.args.get('after', '0'))
        return web.json_answer(await one.cache_events(after))


def _add_checks(app: quart_trio.QuartTrio, one: engine_standin.Engine) -> None:
    @app.get('/check/log')
    async def log() -> web.Answer:
        return web.json_answer(one.log)

    @app.get('/check/received')
    async def received() -> web.Answer:
        return web.json_answer(one.received)

    @app.post('/check/restart')
    async def restart() -> web.Answer:
        one.restart()
        return '', 204


def _request(call: _Completion, chat: bool) -> generation.Request:
    headers = quart.request.headers
    messages = '\n'.join(message.content for message in call.messages)
    options = call.stream_options
    return generation.Request(
        request_id=headers.get(engine.REQUEST_ID_HEADER, f'none-{id(call)}'),
        model=call.model,
        text=messages if chat else call.prompt,
        max_tokens=call.max_tokens,
        chat=chat,
        include_usage=options is not None and options.include_usage,
        priority=int(headers.get(engine.PRIORITY_HEADER, '5')),
    )


def _headers(
    one: engine_standin.Engine, stream: generation.Stream
) -> dict[str, str]:
    return {
        engine.REQUEST_ID_HEADER: stream.request.request_id,
        engine.SERVED_MODEL_HEADER: stream.served,
        engine.INCARNATION_HEADER: one.incarnation,
    }


def _stream_answer(
    one: engine_standin.Engine, stream: generation.Stream, after: int
) -> web.Answer:
    headers = _headers(one, stream)
    headers['Content-Type'] = 'text/event-stream'
    fault = one.plan.take(f'stream:{stream.request.model}')
    events = stream.follow(after)
    if fault is not None and fault.kind is faults.Kind.CUT:
        events = _cut(events, fault.count)
    response = quart.Response(events, 200, headers)
    response.timeout = None
    return response


async def _cut(
    events: abc.AsyncIterator[bytes], count: int
) -> abc.AsyncIterator[bytes]:
    rest = count
    async for batch in events:
        pieces = batch.split(b'\n\n')[:-1]
        for piece in pieces[:rest]:
            yield piece + b'\n\n'
        rest -= len(pieces)
        if rest <= 0:
            raise ConnectionError('cut')


def _whole(stream: generation.Stream, text: str) -> dict[str, Any]:
    choice: dict[str, Any] = {'index': 0, 'finish_reason': 'length'}
    if stream.request.chat:
        choice['message'] = {'role': 'assistant', 'content': text}
    else:
        choice['text'] = text
    return {
        'id': stream.request.request_id,
        'model': stream.served,
        'choices': [choice],
        'usage': stream.usage(),
    }


async def _answer_error(error: Exception) -> web.Answer:
    status, code = _STATUS_BY_ERROR[type(error)]
    detail: dict[str, Any] = {'code': code, 'message': str(error)}
    if isinstance(error, engine.StaleFencingToken):
        detail['highest'] = error.highest
    headers = {'Retry-After': '1'} if status == 429 else {}
    return web.json_answer({'error': detail}, status, **headers)


async def _answer_bad_request(error: Exception) -> web.Answer:
    detail = {'code': 'bad_request', 'message': str(error)}
    return web.json_answer({'error': detail}, 400)
