"""HTTP clients of the demonstration."""

from collections import abc
import dataclasses
import json
import time
from typing import Any

import httpx
import trio

CALL_TIMEOUT_SECONDS = 30.0

REPEAT_INTERVAL_SECONDS = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One chat completion request."""

    url: str
    key: str
    model: str
    max_tokens: int = 12
    stream: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """The response to a call.

    :ivar model: model named in the response, '' without one
    :ivar is_complete: whether all tokens were received in order
    :ivar tokens: prompt and completion tokens, only without streaming
    :ivar code: error code, '' for a success
    """

    model: str = ''
    is_complete: bool = False
    tokens: int = 0
    code: str = ''
    not_run: bool = False
    retry_after: str | None = None


@dataclasses.dataclass(slots=True)
class WithdrawalResult:
    """Calls that succeeded before and after the withdrawal of their key.

    :ivar last_served: when the last successful call was sent, in seconds
        after the start of the command
    """

    served_before: int = 0
    last_served: float = 0.0


Responses = list[tuple[Call, Response]]


async def send_all(calls: abc.Sequence[Call]) -> Responses:
    """Send all calls at once."""
    return await send_while(calls, lambda: None)


async def send_while(
    calls: abc.Sequence[Call], act: abc.Callable[[], None]
) -> Responses:
    """Send all calls at once and call `act` while they run."""
    responses: Responses = []

    async def send(client: httpx.AsyncClient, call: Call) -> None:
        responses.append((call, await _send(client, call)))

    async with _client() as client, trio.open_nursery() as nursery:
        for call in calls:
            nursery.start_soon(send, client, call)
        await trio.sleep(0.5)
        act()
    return responses


async def repeat_calls(
    calls: abc.Sequence[Call], seconds: float
) -> list[Response]:
    """Repeat each call for a time."""
    responses: list[Response] = []
    deadline = trio.current_time() + seconds

    async def send(client: httpx.AsyncClient, call: Call) -> None:
        while trio.current_time() < deadline:
            responses.append(await _send(client, call))
            await trio.sleep(REPEAT_INTERVAL_SECONDS)

    async with _client() as client, trio.open_nursery() as nursery:
        for call in calls:
            nursery.start_soon(send, client, call)
    return responses


async def book_at_all_nodes(
    urls: abc.Sequence[str], key: str, reference: str
) -> list[int]:
    """Send one booking to every node at once and return the statuses."""
    statuses = []

    async def book(client: httpx.AsyncClient, url: str) -> None:
        headers = {
            'Authorization': f'Bearer {key}',
            'Idempotency-Key': reference,
        }
        response = await client.post(
            f'{url}/bookings', json={'reference': reference}, headers=headers
        )
        statuses.append(response.status_code)

    async with _client() as client, trio.open_nursery() as nursery:
        for url in urls:
            nursery.start_soon(book, client, url)
    return statuses


def count_runs(runs: dict[str, Any], reference: str) -> int:
    """Return how often the service ran a booking."""
    return int(runs.get(reference, 0))


def count_completions(received: list[dict[str, Any]]) -> int:
    """Count the completion requests that an engine received."""
    return sum('completions' in request['path'] for request in received)


async def call_until_rejected(
    urls: abc.Sequence[str], key: str, withdraw: abc.Callable[[], None]
) -> WithdrawalResult:
    """Withdraw a key while calling each node until it rejects the key."""
    result = WithdrawalResult()
    withdrawn_at = 0.0

    async def call_node(client: httpx.AsyncClient, url: str) -> None:
        while True:
            call = Call(url, key, 'canopy-0@1', max_tokens=1, stream=False)
            sent = time.monotonic()
            response = await _send(client, call)
            if response.code == 'key_withdrawn':
                return
            if not withdrawn_at:
                result.served_before += response.is_complete
            elif response.is_complete:
                result.last_served = max(
                    result.last_served, sent - withdrawn_at
                )
            await trio.sleep(REPEAT_INTERVAL_SECONDS)

    async with _client() as client, trio.open_nursery() as nursery:
        for url in urls:
            nursery.start_soon(call_node, client, url)
        await trio.sleep(1.0)
        withdrawn_at = time.monotonic()
        await trio.to_thread.run_sync(withdraw)
    return result


def _client() -> httpx.AsyncClient:
    return httpx.AsyncClient(timeout=CALL_TIMEOUT_SECONDS, trust_env=False)


async def _send(client: httpx.AsyncClient, call: Call) -> Response:
    body = {
        'model': call.model,
        'messages': [{'role': 'user', 'content': 'Where do saplings stand?'}],
        'max_tokens': call.max_tokens,
        'stream': call.stream,
    }
    response = await client.post(
        f'{call.url}/v1/chat/completions',
        json=body,
        headers={'Authorization': f'Bearer {call.key}'},
    )
    if response.status_code != httpx.codes.OK:
        return _parse_error(response)
    if call.stream:
        return _parse_stream(response.text, call.max_tokens)
    completion = response.json()
    usage = completion['usage']
    tokens = usage['prompt_tokens'] + usage['completion_tokens']
    return Response(completion['model'], is_complete=True, tokens=tokens)


def _parse_error(response: httpx.Response) -> Response:
    error = response.json()['error']
    return Response(
        code=error['code'],
        not_run=error['not_run'],
        retry_after=response.headers.get('Retry-After'),
    )


def _parse_stream(text: str, token_count: int) -> Response:
    data = [
        line.removeprefix('data: ')
        for line in text.splitlines()
        if line.startswith('data: ')
    ]
    if data[-1] != '[DONE]':
        return Response(code='cut')
    events = [json.loads(event) for event in data[:-1]]
    words = [
        event['choices'][0]['delta'].get('content', '').strip()
        for event in events
        if event.get('choices')
    ]
    expected_words = [f't{number}' for number in range(1, token_count + 1)]
    return Response(
        model=events[0]['model'],
        is_complete=[word for word in words if word] == expected_words,
    )
