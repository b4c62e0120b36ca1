"""Token generation of the simulated engine.

The n-th generated token of a text is the word `t<n>`, so that a request that
continues a text generates the following words.
"""

from collections import abc
import dataclasses
import heapq
import itertools
import re
from typing import Protocol

import trio

from mustardlb import engine

# Above this number the oldest finished stream is dropped, which then can no
# longer be resumed.
MAX_STREAMS = 512

_LAST_TOKEN = re.compile(r'(?:^|\s)t(\d+)\s*$')


class Settings(Protocol):
    """The settings that token generation depends on."""

    @property
    def batch(self) -> int:
        """Maximum number of running requests."""

    @property
    def queue(self) -> int:
        """Maximum number of waiting requests."""

    @property
    def step_time(self) -> float:
        """Seconds to generate a token of each running request."""

    @property
    def prefill_time(self) -> float:
        """Seconds to process a prompt token that is not cached."""

    @property
    def cache_size(self) -> int:
        """Number of prefixes that the cache holds."""

    @property
    def event_gap(self) -> int:
        """Interval of dropped cache events, 0 to drop none."""

    @property
    def report_lag(self) -> float:
        """Lag of load reports and cache events in seconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A completion request.

    :ivar text: prompt, or the joined messages
    :ivar chat: whether the response has the chat format
    """

    request_id: str
    model: str
    text: str = ''
    max_tokens: int = 16
    chat: bool = True
    include_usage: bool = False
    priority: int = 5


class StreamLost(Exception):
    """The stream is not in memory any more."""


@dataclasses.dataclass(slots=True, eq=False)
class Stream:
    """The generated tokens of a request, with their events.

    :ivar served_model: model that the request runs on
    :ivar ready_at: time at which the prompt has been processed
    :ivar events: server-sent events; the first has id 1
    :ivar words: generated tokens
    :ivar cached: whether the prompt was in the prefix cache
    :ivar first_number: number of the first generated token
    """

    request: Request
    served_model: str
    prompt_tokens: int
    ready_at: float = 0.0
    events: list[bytes] = dataclasses.field(default_factory=list)
    words: list[str] = dataclasses.field(default_factory=list)
    done: bool = False
    lost: bool = False
    cached: bool = False
    first_number: int = 1
    _changed: trio.lowlevel.ParkingLot = dataclasses.field(
        default_factory=trio.lowlevel.ParkingLot
    )

    def __post_init__(self) -> None:
        self.first_number = next_token_number(self.request.text)

    async def events_after(self, after: int = 0) -> abc.AsyncIterator[bytes]:
        """Yield the events after id `after`, in batches, as they are added.

        Raises StreamLost.
        """
        sent = after
        while True:
            if self.lost:
                raise StreamLost
            if sent < len(self.events):
                batch = self.events[sent:]
                sent += len(batch)
                yield b''.join(batch)
            elif self.done:
                return
            else:
                await self._changed.park()

    async def full_text(self) -> str:
        """Wait for the end and return the text. Raises StreamLost."""
        while not self.done and not self.lost:
            await self._changed.park()
        if self.lost:
            raise StreamLost
        return ''.join(self.words)

    def generate_token(self) -> None:
        """Generate a token, and the final events after the last token."""
        ordinal = self.first_number + len(self.words)
        word = f' t{ordinal}'
        self.words.append(word)
        self._add_event(self._chunk(word))
        if len(self.words) >= self.request.max_tokens:
            self._add_final_events()
        self._changed.unpark_all()

    def stop(self, lost: bool) -> None:
        """End the stream; `lost` if it cannot be resumed."""
        self.lost = lost
        self.done = True
        self._changed.unpark_all()

    def usage(self) -> dict[str, int]:
        """Return the token counts of the request."""
        return {
            'prompt_tokens': self.prompt_tokens,
            'completion_tokens': len(self.words),
            'total_tokens': self.prompt_tokens + len(self.words),
        }

    def _add_final_events(self) -> None:
        if self.request.include_usage:
            counts = self.usage()
            usage = ','.join(f'"{key}":{n}' for key, n in counts.items())
            self._add_event(
                f'{{"id":"{self.request.request_id}","choices":[],'
                f'"model":"{self.served_model}","usage":{{{usage}}}}}'
            )
        self._add_event('[DONE]')
        self.done = True

    def _chunk(self, word: str) -> str:
        if self.request.chat:
            choice = f'"delta":{{"content":"{word}"}}'
        else:
            choice = f'"text":"{word}"'
        return (
            f'{{"id":"{self.request.request_id}","model":"{self.served_model}",'
            f'"choices":[{{"index":0,{choice}}}]}}'
        )

    def _add_event(self, data: str) -> None:
        number = len(self.events) + 1
        self.events.append(f'id: {number}\ndata: {data}\n\n'.encode())


def next_token_number(text: str) -> int:
    """Return the number of the first token generated for a prompt.

    >>> next_token_number('Draft a quote'), next_token_number('Draft t1 t2')
    (1, 3)
    """
    found = _LAST_TOKEN.search(text)
    return int(found[1]) + 1 if found else 1


@dataclasses.dataclass(slots=True)
class PrefixCache:
    """A prefix cache with least recently used eviction."""

    size: int
    lag: float
    event_gap: int
    prefixes: dict[str, None] = dataclasses.field(default_factory=dict)
    hits: int = 0
    misses: int = 0
    _events: list[tuple[float, engine.CacheEvent]] = dataclasses.field(
        default_factory=list
    )
    _last_id: int = 0

    def touch(self, prefix: str, now: float) -> bool:
        """Use a prefix and return whether it was cached."""
        hit = prefix in self.prefixes
        self.prefixes.pop(prefix, None)
        self.prefixes[prefix] = None
        if hit:
            self.hits += 1
            return True
        self.misses += 1
        self._publish('stored', prefix, now)
        while len(self.prefixes) > self.size:
            oldest = next(iter(self.prefixes))
            del self.prefixes[oldest]
            self._publish('evicted', oldest, now)
        return False

    def events(self, after: int, now: float) -> engine.CacheEvents:
        """Return the events after id `after` that are older than the lag."""
        ready = [
            event for time, event in self._events if time <= now - self.lag
        ]
        last_id = ready[-1].id if ready else 0
        return engine.CacheEvents(
            tuple(event for event in ready if event.id > after), last_id
        )

    def free_fraction(self) -> float:
        """Return the free fraction of the cache."""
        return 1.0 - len(self.prefixes) / max(self.size, 1)

    def clear(self) -> None:
        """Drop all prefixes and events, and restart the event ids."""
        self.prefixes.clear()
        self._events.clear()
        self._last_id = 0

    def _publish(self, kind: str, prefix: str, now: float) -> None:
        self._last_id += 1
        if self.event_gap and self._last_id % self.event_gap == 0:
            return
        event = engine.CacheEvent(self._last_id, kind, prefix)
        self._events.append((now, event))


class Scheduler:
    """The running and waiting requests of an engine.

    Waiting requests are admitted to the batch by priority, then in the order
    of arrival.
    """

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self.cache = PrefixCache(
            settings.cache_size, settings.report_lag, settings.event_gap
        )
        self.batch_sizes: list[int] = []
        self._streams: dict[str, Stream] = {}
        self._running: list[Stream] = []
        self._waiting: list[tuple[int, int, Stream]] = []
        self._arrival_numbers = itertools.count()
        self._request_added = trio.lowlevel.ParkingLot()

    async def run(self) -> None:
        """Generate a token for each running request in each step."""
        while True:
            self._admit()
            if not self._running:
                await self._request_added.park()
                continue
            await trio.sleep(self._settings.step_time)
            now = trio.current_time()
            self.batch_sizes.append(len(self._running))
            for stream in self._running:
                if stream.ready_at <= now and not stream.done:
                    stream.generate_token()
            self._running = [
                stream for stream in self._running if not stream.done
            ]

    def start(self, request: Request, served_model: str) -> Stream:
        """Queue a request."""
        prompt_tokens = max(len(request.text.split()), 1)
        stream = Stream(request, served_model, prompt_tokens)
        self._streams[request.request_id] = stream
        if len(self._streams) > MAX_STREAMS:
            self._drop_finished()
        arrival_number = next(self._arrival_numbers)
        heapq.heappush(
            self._waiting, (request.priority, arrival_number, stream)
        )
        self._request_added.unpark_all()
        return stream

    def find(self, request_id: str) -> Stream:
        """Return the stream of a request. Raises StreamLost."""
        if request_id not in self._streams:
            raise StreamLost
        return self._streams[request_id]

    def cancel(self, request_id: str) -> None:
        """Cancel a request."""
        stream = self._streams.pop(request_id, None)
        if stream is not None:
            stream.stop(lost=True)

    def reset(self) -> None:
        """Drop all requests and clear the cache."""
        for stream in self._streams.values():
            stream.stop(lost=not stream.done)
        self._streams.clear()
        self._running.clear()
        self._waiting.clear()
        self.cache.clear()

    def is_in_use(self, model: str) -> bool:
        """Return whether a model has running or waiting requests."""
        waiting = [stream for _, _, stream in self._waiting]
        return any(
            stream.served_model == model and not stream.done
            for stream in [*self._running, *waiting]
        )

    def is_full(self) -> bool:
        """Return whether the queue of waiting requests is full."""
        return len(self._waiting) >= self._settings.queue

    def running_count(self) -> int:
        """Return the number of running requests."""
        return sum(not stream.done for stream in self._running)

    def waiting_count(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting)

    def _admit(self) -> None:
        while self._waiting and len(self._running) < self._settings.batch:
            stream = heapq.heappop(self._waiting)[2]
            if stream.done:
                continue
            now = trio.current_time()
            prefix = engine.prefix_hash(
                stream.served_model, stream.request.text
            )
            stream.cached = self.cache.touch(prefix, now)
            tokens = 0 if stream.cached else stream.prompt_tokens
            stream.ready_at = now + tokens * self._settings.prefill_time
            self._running.append(stream)

    def _drop_finished(self) -> None:
        for request_id, stream in self._streams.items():
            if stream.done:
                del self._streams[request_id]
                return
