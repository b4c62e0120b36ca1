"""Forwards an engine's event stream in blocks of complete events.

Blocks are forwarded as they arrive and are not parsed, except for the event
ids at their ends and the usage event, which is located by a search.
"""

from collections import abc
import re
from typing import Any

import msgspec

from mustardlb import errors
from mustardlb import steps

# The event that ends every complete stream.
DONE = b'data: [DONE]\n\n'

MAX_EVENT_BYTES = 1_048_576

_EVENT_END = b'\n\n'
_DATA_PREFIX = b'data: '
_ID_FIELD = re.compile(rb'^id: (\d{1,18})$', re.MULTILINE)

# Inside a JSON string the quotes would be escaped, so a match is a field.
_USAGE_FIELD = re.compile(rb'"usage" ?: ?\{')


Write = abc.Callable[[bytes], abc.Awaitable[None]]
Source = abc.Callable[[Write], abc.Awaitable[None]]


class EventRelay:
    """Forwards one stream, which may be resumed.

    :ivar total_tokens: tokens reported by the engine, None until then
    :ivar is_complete: whether the final event was forwarded
    """

    def __init__(self, usage_requested: bool) -> None:
        self.total_tokens: int | None = None
        self.is_complete = False
        self._usage_requested = usage_requested
        self._partial = b''
        self._last_events = b''
        self._expected_id = 1

    async def run(self, source: Source, write: Write, peer: str) -> None:
        """Forward events until the stream ends.

        Raises TARGET_FAILED if the first event is not the expected one or
        an event is too large.
        """
        self._partial = b''
        first = True

        async def process_block(block: bytes) -> None:
            nonlocal first
            events = self._complete_events(block, peer)
            if not events:
                return
            if first:
                self._check_first_id(events, peer)
                first = False
            self._last_events = events
            if _USAGE_FIELD.search(events) is not None:
                events = self._extract_usage(events)
            if events:
                await write(events)
            if self._last_events.endswith(DONE):
                self.is_complete = True

        await source(process_block)

    def last_id(self) -> int:
        """Return the id of the last forwarded event, 0 for none."""
        found = _ID_FIELD.findall(self._last_events)
        if not found:
            return 0
        return int(found[-1])

    def prepare_resume(self) -> int:
        """Return the id of the event after which to resume the stream."""
        last = self.last_id()
        self._expected_id = last + 1
        return last

    def _complete_events(self, block: bytes, peer: str) -> bytes:
        if self._partial:
            block = self._partial + block
        if block.endswith(_EVENT_END):
            self._partial = b''
            return block
        end = block.rfind(_EVENT_END) + len(_EVENT_END)
        if end < len(_EVENT_END):
            end = 0
        self._partial = block[end:]
        if len(self._partial) > MAX_EVENT_BYTES:
            raise _stream_error('an event exceeds the size limit', peer)
        return block[:end]

    def _check_first_id(self, events: bytes, peer: str) -> None:
        match = _ID_FIELD.search(events)
        number = int(match[1]) if match else 0
        if number != self._expected_id:
            raise _stream_error(
                f'expected event id {self._expected_id}, but {number} came',
                peer,
            )

    def _extract_usage(self, events: bytes) -> bytes:
        """Record the usage; remove its event unless requested."""
        kept = []
        for event in events.split(_EVENT_END)[:-1]:
            fields = _parse(event)
            total_tokens = usage_tokens(fields)
            if total_tokens is not None:
                self.total_tokens = total_tokens
            if (
                total_tokens is None
                or self._usage_requested
                or fields.get('choices')
            ):
                kept.append(event + _EVENT_END)
        return b''.join(kept)


def usage_tokens(fields: dict[str, Any]) -> int | None:
    """Return the tokens of a response's usage field, None without one.

    >>> usage_tokens({'usage': {'prompt_tokens': 3, 'completion_tokens': 4}})
    7
    """
    usage = fields.get('usage')
    if not isinstance(usage, dict):
        return None
    prompt = usage.get('prompt_tokens')
    completion = usage.get('completion_tokens', 0)
    if not isinstance(prompt, int) or not isinstance(completion, int):
        return None
    if prompt < 0 or completion < 0:
        return None
    return prompt + completion


def parse_object(data: bytes) -> dict[str, Any]:
    """Return a decoded JSON object, or an empty one for other data."""
    try:
        fields = msgspec.json.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return {}
    return fields if isinstance(fields, dict) else {}


def _parse(event: bytes) -> dict[str, Any]:
    for line in event.split(b'\n'):
        if line.startswith(_DATA_PREFIX):
            return parse_object(line[len(_DATA_PREFIX) :])
    return {}


def _stream_error(message: str, peer: str) -> errors.Error:
    return errors.Error(
        errors.Code.TARGET_FAILED, message, steps.Step.STREAM, peer
    )
