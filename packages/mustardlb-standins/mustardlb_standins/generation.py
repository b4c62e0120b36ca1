"""How the engine's stand-in generates: batch, queue, streams and cache."""

from collections import abc
import dataclasses
import heapq
import itertools
import re
from typing import Protocol

import trio

from mustardlb import engine

# Finished streams that can still be resumed.
MAX_STREAMS = 512

_ORDINAL = re.compile(r'(?:^|\s)t(\d+)\s*$')


class Settings(Protocol):
    """The settings of an engine that count here."""

    @property
    def batch(self) -> int:
        """Requests that run at once."""

    @property
    def queue(self) -> int:
        """Requests that wait at most."""

    @property
    def step_time(self) -> float:
        """Seconds for one token of every running request."""

    @property
    def prefill_time(self) -> float:
        """Seconds for one prompt token that is not cached."""

    @property
    def cache_size(self) -> int:
        """Prefixes that the cache holds."""

    @property
    def event_gap(self) -> int:
        """Every so many cache events one is lost."""

    @property
    def report_lag(self) -> float:
        """Seconds by which reports lag."""


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One completion call.

    :ivar text: the prompt, messages joined
    :ivar chat: whether the answer has the form of a chat
    """

    request_id: str
    model: str
    text: str = ''
    max_tokens: int = 16
    chat: bool = True
    include_usage: bool = False
    priority: int = 5


class StreamLost(Exception):
    """The stream is gone from memory."""


@dataclasses.dataclass(slots=True, eq=False)
class Stream:
    """One request that runs or ran.

    :ivar served: the model that it really runs on
    :ivar events: server-sent events, the first has id 1
    """

    request: Request
    served: str
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
        """Yield events after a number as they come. Raises StreamLost."""
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
        """Wait for the end; the whole text. Raises StreamLost."""
        while not self.done and not self.lost:
            await self._changed.park()
        if self.lost:
            raise StreamLost
        return ''.join(self.words)

    def generate_token(self) -> None:
        """Generate one token, and the end after the last."""
        ordinal = self.first_number + len(self.words)
        word = f' t{ordinal}'
        self.words.append(word)
        self._add(self._chunk(word))
        if len(self.words) >= self.request.max_tokens:
            self._end()
        self._changed.unpark_all()

    def stop(self, lost: bool) -> None:
        """End without more tokens."""
        self.lost = lost
        self.done = True
        self._changed.unpark_all()

    def usage(self) -> dict[str, int]:
        """Count the tokens used."""
        return {
            'prompt_tokens': self.prompt_tokens,
            'completion_tokens': len(self.words),
            'total_tokens': self.prompt_tokens + len(self.words),
        }

    def _end(self) -> None:
        if self.request.include_usage:
            counts = self.usage()
            usage = ','.join(f'"{key}":{n}' for key, n in counts.items())
            self._add(
                f'{{"id":"{self.request.request_id}","choices":[],'
                f'"model":"{self.served}","usage":{{{usage}}}}}'
            )
        self._add('[DONE]')
        self.done = True

    def _chunk(self, word: str) -> str:
        if self.request.chat:
            choice = f'"delta":{{"content":"{word}"}}'
        else:
            choice = f'"text":"{word}"'
        return (
            f'{{"id":"{self.request.request_id}","model":"{self.served}",'
            f'"choices":[{{"index":0,{choice}}}]}}'
        )

    def _add(self, data: str) -> None:
        number = len(self.events) + 1
        self.events.append(f'id: {number}\ndata: {data}\n\n'.encode())


def next_token_number(text: str) -> int:
    """Give the number of the first token that follows a prompt.

    >>> next_token_number('Draft a quote'), next_token_number('Draft t1 t2')
    (1, 3)
    """
    found = _ORDINAL.search(text)
    return int(found[1]) + 1 if found else 1


@dataclasses.dataclass(slots=True)
class PrefixCache:
    """The prefix cache; the least recently used prefix goes first."""

    size: int
    lag: float
    event_gap: int
    prefixes: dict[str, None] = dataclasses.field(default_factory=dict)
    hits: int = 0
    misses: int = 0
    _events: list[tuple[float, engine.CacheEvent]] = dataclasses.field(
        default_factory=list
    )
    _last: int = 0

    def touch(self, prefix: str, now: float) -> bool:
        """Use a prefix; whether it was there."""
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
        """Give the events after a number that are old enough."""
        ready = [one for time, one in self._events if time <= now - self.lag]
        last = ready[-1].id if ready else 0
        return engine.CacheEvents(
            tuple(one for one in ready if one.id > after), last
        )

    def free_fraction(self) -> float:
        """Give the fraction that is free."""
        return 1.0 - len(self.prefixes) / max(self.size, 1)

    def clear(self) -> None:
        """Lose everything."""
        self.prefixes.clear()
        self._events.clear()
        self._last = 0

    def _publish(self, kind: str, prefix: str, now: float) -> None:
        self._last += 1
        if self.event_gap and self._last % self.event_gap == 0:
            return
        event = engine.CacheEvent(self._last, kind, prefix)
        self._events.append((now, event))


class Scheduler:
    """Everything that an engine generates at one time."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self.cache = PrefixCache(
            settings.cache_size, settings.report_lag, settings.event_gap
        )
        self.batch_sizes: list[int] = []
        self._streams: dict[str, Stream] = {}
        self._running: list[Stream] = []
        self._waiting: list[tuple[int, int, Stream]] = []
        self._order = itertools.count()
        self._wake = trio.lowlevel.ParkingLot()

    async def run(self) -> None:
        """Generate one token for each running request in each step."""
        while True:
            self._admit()
            if not self._running:
                await self._wake.park()
                continue
            await trio.sleep(self._settings.step_time)
            now = trio.current_time()
            self.batch_sizes.append(len(self._running))
            for stream in self._running:
                if stream.ready_at <= now and not stream.done:
                    stream.generate_token()
            self._running = [one for one in self._running if not one.done]

    def start(self, request: Request, served: str) -> Stream:
        """Queue a request."""
        prompt_tokens = max(len(request.text.split()), 1)
        stream = Stream(request, served, prompt_tokens)
        self._streams[request.request_id] = stream
        if len(self._streams) > MAX_STREAMS:
            self._drop_finished()
        order = next(self._order)
        heapq.heappush(self._waiting, (request.priority, order, stream))
        self._wake.unpark_all()
        return stream

    def find(self, request_id: str) -> Stream:
        """Find a stream to resume. Raises StreamLost."""
        if request_id not in self._streams:
            raise StreamLost
        return self._streams[request_id]

    def cancel(self, request_id: str) -> None:
        """End a request's work."""
        stream = self._streams.pop(request_id, None)
        if stream is not None:
            stream.stop(lost=True)

    def reset(self) -> None:
        """Lose every request and the cache."""
        for stream in self._streams.values():
            stream.stop(lost=not stream.done)
        self._streams.clear()
        self._running.clear()
        self._waiting.clear()
        self.cache.clear()

    def is_in_use(self, model: str) -> bool:
        """Whether a request runs or waits on a model."""
        waiting = [stream for _, _, stream in self._waiting]
        return any(
            one.served == model and not one.done
            for one in [*self._running, *waiting]
        )

    def is_full(self) -> bool:
        """Whether no more requests may wait."""
        return len(self._waiting) >= self._settings.queue

    def running_count(self) -> int:
        """Count the requests in the batch."""
        return sum(not one.done for one in self._running)

    def waiting_count(self) -> int:
        """Count the requests that wait."""
        return len(self._waiting)

    def _admit(self) -> None:
        while self._waiting and len(self._running) < self._settings.batch:
            stream = heapq.heappop(self._waiting)[2]
            if stream.done:
                continue
            now = trio.current_time()
            prefix = engine.prefix_hash(stream.served, stream.request.text)
            stream.cached = self.cache.touch(prefix, now)
            tokens = 0 if stream.cached else stream.prompt_tokens
            stream.ready_at = now + tokens * self._settings.prefill_time
            self._running.append(stream)

    def _drop_finished(self) -> None:
        for request_id, stream in self._streams.items():
            if stream.done:
                del self._streams[request_id]
                return
