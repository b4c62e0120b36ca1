"""The demonstration's callers, over HTTP by httpx."""

from collections import abc
import dataclasses
import json
import time
from typing import Any

import httpx
import trio

# Time for one call, seconds.
CALL_LIMIT = 30.0

# Wait of a caller that sends again and again, seconds.
PACE = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One request for a model."""

    url: str
    key: str
    model: str
    max_tokens: int = 12
    stream: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """What became of a call.

    :ivar served: the model that the answer names, '' without one
    :ivar whole: whether all events up to the last one came, in order
    :ivar tokens: prompt and generated tokens of an answer in one piece
    :ivar code: code of an error, '' without one
    """

    served: str = ''
    whole: bool = False
    tokens: int = 0
    code: str = ''
    not_run: bool = False
    retry_after: str | None = None


@dataclasses.dataclass(slots=True)
class Withdrawal:
    """What a caller saw around the withdrawal of its key.

    :ivar last_served: when the last answer came, seconds after the command
        began
    """

    served_before: int = 0
    last_served: float = 0.0


Answers = list[tuple[Call, Answer]]


async def stream_all(calls: abc.Sequence[Call]) -> Answers:
    """Send all calls at once."""
    return await stream_while(calls, lambda: None)


async def stream_while(
    calls: abc.Sequence[Call], act: abc.Callable[[], None]
) -> Answers:
    """Send all calls at once and act while they run."""
    answers: Answers = []

    async def send(client: httpx.AsyncClient, call: Call) -> None:
        answers.append((call, await _send(client, call)))

    async with _client() as client, trio.open_nursery() as nursery:
        for call in calls:
            nursery.start_soon(send, client, call)
        await trio.sleep(0.5)
        act()
    return answers


async def repeat(calls: abc.Sequence[Call], seconds: float) -> list[Answer]:
    """Send each call again and again for a time."""
    answers: list[Answer] = []
    deadline = trio.current_time() + seconds

    async def send(client: httpx.AsyncClient, call: Call) -> None:
        while trio.current_time() < deadline:
            answers.append(await _send(client, call))
            await trio.sleep(PACE)

    async with _client() as client, trio.open_nursery() as nursery:
        for call in calls:
            nursery.start_soon(send, client, call)
    return answers


async def book_everywhere(
    urls: abc.Sequence[str], key: str, reference: str
) -> list[int]:
    """Send one booking through every node at once; gives the statuses."""
    statuses = []

    async def book(client: httpx.AsyncClient, url: str) -> None:
        headers = {
            'Authorization': f'Bearer {key}',
            'Idempotency-Key': reference,
        }
        answer = await client.post(
            f'{url}/bookings', json={'reference': reference}, headers=headers
        )
        statuses.append(answer.status_code)

    async with _client() as client, trio.open_nursery() as nursery:
        for url in urls:
            nursery.start_soon(book, client, url)
    return statuses


def runs_of(runs: dict[str, Any], reference: str) -> int:
    """Count the runs of a booking in what the service noted."""
    return int(runs.get(reference, 0))


def calls_in(received: list[dict[str, Any]]) -> int:
    """Count the completions among what an engine received."""
    return sum('completions' in request['path'] for request in received)


async def until_refused(
    urls: abc.Sequence[str], key: str, withdraw: abc.Callable[[], None]
) -> Withdrawal:
    """Keep calling through every node while the key is withdrawn."""
    seen = Withdrawal()
    began = 0.0

    async def call_on(client: httpx.AsyncClient, url: str) -> None:
        while True:
            call = Call(url, key, 'canopy-0@1', max_tokens=1, stream=False)
            sent = time.monotonic()
            answer = await _send(client, call)
            if answer.code == 'key_withdrawn':
                return
            if not began:
                seen.served_before += answer.whole
            elif answer.whole:
                seen.last_served = max(seen.last_served, sent - began)
            await trio.sleep(PACE)

    async with _client() as client, trio.open_nursery() as nursery:
        for url in urls:
            nursery.start_soon(call_on, client, url)
        await trio.sleep(1.0)
        began = time.monotonic()
        await trio.to_thread.run_sync(withdraw)
    return seen


def _client() -> httpx.AsyncClient:
    return httpx.AsyncClient(timeout=CALL_LIMIT, trust_env=False)


async def _send(client: httpx.AsyncClient, call: Call) -> Answer:
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
        return _refused(response)
    if call.stream:
        return _streamed(response.text, call.max_tokens)
    answer = response.json()
    usage = answer['usage']
    tokens = usage['prompt_tokens'] + usage['completion_tokens']
    return Answer(answer['model'], whole=True, tokens=tokens)


def _refused(response: httpx.Response) -> Answer:
    error = response.json()['error']
    return Answer(
        code=error['code'],
        not_run=error['not_run'],
        retry_after=response.headers.get('Retry-After'),
    )


def _streamed(text: str, expected: int) -> Answer:
    data = [
        line.removeprefix('data: ')
        for line in text.splitlines()
        if line.startswith('data: ')
    ]
    if data[-1] != '[DONE]':
        return Answer(code='cut')
    events = [json.loads(one) for one in data[:-1]]
    words = [
        event['choices'][0]['delta'].get('content', '').strip()
        for event in events
        if event.get('choices')
    ]
    wanted = [f't{number}' for number in range(1, expected + 1)]
    return Answer(
        served=events[0]['model'],
        whole=[word for word in words if word] == wanted,
    )
