"""The HTTP application of the simulated engine."""

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

# Limit of generated tokens if the request has none.
DEFAULT_MAX_TOKENS = 16

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
    max_tokens: int = DEFAULT_MAX_TOKENS
    stream: bool = False
    stream_options: _StreamOptions | None = None


def build(simulator: engine_standin.Engine) -> quart_trio.QuartTrio:
    """Return the application; see docs/interfaces/engine.md."""
    app = web.build_app(simulator.plan)
    _add_completions(app, simulator)
    _add_commands(app, simulator)
    _add_reports(app, simulator)
    _add_checks(app, simulator)
    for error_type in _STATUS_BY_ERROR:
        app.register_error_handler(error_type, _error_response)
    app.register_error_handler(msgspec.MsgspecError, _bad_request_response)
    return app


def _add_completions(
    app: quart_trio.QuartTrio, simulator: engine_standin.Engine
) -> None:
    async def complete(chat: bool) -> web.Response:
        body = await web.read_and_record(simulator.received)
        call = msgspec.json.decode(body, type=_Completion)
        request = _request(call, chat)

        async def effect() -> generation.Stream:
            return simulator.start(request)

        stream = await simulator.plan.run(f'complete:{call.model}', effect)
        if call.stream:
            return _stream_response(simulator, stream, 0)
        text = await stream.full_text()
        return web.json_response(
            _completion_body(stream, text), 200, **_headers(simulator, stream)
        )

    @app.post(engine.CHAT_PATH)
    async def chat() -> web.Response:
        return await complete(chat=True)

    @app.post(engine.COMPLETIONS_PATH)
    async def completions() -> web.Response:
        return await complete(chat=False)

    @app.get('/v1/streams/<path:request_id>')
    async def resume(request_id: str) -> web.Response:
        await web.read_and_record(simulator.received)
        after = int(quart.request.args.get('after', '0'))
        stream = simulator.scheduler.find(request_id)
        return _stream_response(simulator, stream, after)

    @app.delete('/v1/streams/<path:request_id>')
    async def cancel(request_id: str) -> web.Response:
        await web.read_and_record(simulator.received)
        await simulator.cancel(request_id)
        return '', 204


def _add_commands(
    app: quart_trio.QuartTrio, simulator: engine_standin.Engine
) -> None:
    @app.post('/orders/load')
    async def load() -> web.Response:
        body = await web.read_and_record(simulator.received)
        command = msgspec.json.decode(body, type=_Order)
        await simulator.load(command.model, command.fence)
        return {}

    @app.post('/orders/evict')
    async def evict() -> web.Response:
        body = await web.read_and_record(simulator.received)
        command = msgspec.json.decode(body, type=_Order)
        await simulator.evict(command.model, command.fence)
        return {}

    @app.post('/orders/role')
    async def role() -> web.Response:
        body = await web.read_and_record(simulator.received)
        command = msgspec.json.decode(body, type=_RoleOrder)
        await simulator.set_role(command.role, command.fence)
        return {}

    @app.post('/kv/export')
    async def export_kv() -> web.Response:
        body = await web.read_and_record(simulator.received)
        call = msgspec.json.decode(body, type=dict[str, str])
        return await simulator.export_kv(call['prefix'])

    @app.post('/kv/import')
    async def import_kv() -> web.Response:
        body = await web.read_and_record(simulator.received)
        await simulator.import_kv(quart.request.args['prefix'], body)
        return {}


def _add_reports(
    app: quart_trio.QuartTrio, simulator: engine_standin.Engine
) -> None:
    @app.get('/load')
    async def load_report() -> web.Response:
        return web.json_response(await simulator.load_report())

    @app.get('/cache-events')
    async def cache_events() -> web.Response:
        after = int(quart.request.args.get('after', '0'))
        return web.json_response(await simulator.cache_events(after))


def _add_checks(
    app: quart_trio.QuartTrio, simulator: engine_standin.Engine
) -> None:
    @app.get('/check/log')
    async def log() -> web.Response:
        return web.json_response(simulator.log)

    @app.get('/check/received')
    async def received() -> web.Response:
        return web.json_response(simulator.received)

    @app.post('/check/restart')
    async def restart() -> web.Response:
        simulator.restart()
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
    simulator: engine_standin.Engine, stream: generation.Stream
) -> dict[str, str]:
    return {
        engine.REQUEST_ID_HEADER: stream.request.request_id,
        engine.SERVED_MODEL_HEADER: stream.served_model,
        engine.INCARNATION_HEADER: simulator.incarnation,
    }


def _stream_response(
    simulator: engine_standin.Engine, stream: generation.Stream, after: int
) -> web.Response:
    headers = _headers(simulator, stream)
    headers['Content-Type'] = 'text/event-stream'
    fault = simulator.plan.next_fault(f'stream:{stream.request.model}')
    events = stream.events_after(after)
    if fault is not None and fault.kind is faults.Kind.CUT:
        events = _cut(events, fault.count)
    response = quart.Response(events, 200, headers)
    response.timeout = None
    return response


async def _cut(
    batches: abc.AsyncIterator[bytes], count: int
) -> abc.AsyncIterator[bytes]:
    remaining = count
    async for batch in batches:
        events = batch.split(b'\n\n')[:-1]
        for event in events[:remaining]:
            yield event + b'\n\n'
        remaining -= len(events)
        if remaining <= 0:
            raise ConnectionError('stream cut by a fault')


def _completion_body(stream: generation.Stream, text: str) -> dict[str, Any]:
    choice: dict[str, Any] = {'index': 0, 'finish_reason': 'length'}
    if stream.request.chat:
        choice['message'] = {'role': 'assistant', 'content': text}
    else:
        choice['text'] = text
    return {
        'id': stream.request.request_id,
        'model': stream.served_model,
        'choices': [choice],
        'usage': stream.usage(),
    }


async def _error_response(error: Exception) -> web.Response:
    status, code = _STATUS_BY_ERROR[type(error)]
    detail: dict[str, Any] = {'code': code, 'message': str(error)}
    if isinstance(error, engine.StaleFencingToken):
        detail['highest'] = error.highest
    headers = {'Retry-After': '1'} if status == 429 else {}
    return web.json_response({'error': detail}, status, **headers)


async def _bad_request_response(error: Exception) -> web.Response:
    detail = {'code': 'bad_request', 'message': str(error)}
    return web.json_response({'error': detail}, 400)
