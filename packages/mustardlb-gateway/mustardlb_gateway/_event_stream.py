"""Splits a stream of server-sent events into complete events."""

from collections import abc
import re

_EVENT_END = re.compile(rb'\r?\n\r?\n')
_ID_FIELD = re.compile(rb'^id:[ ]?([^\r\n]*)', re.MULTILINE)

# An event's end may begin in bytes that were received before.
_EVENT_END_BYTES = len(b'\r\n\r\n')

# A larger block without an event boundary is not an event stream.
MAX_EVENT_BYTES = 1_048_576


# A line of no event, but the first one of another response.
_STATUS_LINE = re.compile(rb'^HTTP/1\.[01] \d{3}', re.MULTILINE)

_COMMENT = re.compile(rb'(?::[^\r\n]*\r?\n)+\r?\n')

_MEDIA_TYPE = b'text/event-stream'


def is_event_stream(
    status: int, headers: abc.Iterable[tuple[bytes, bytes]]
) -> bool:
    """Return whether a response's body can be that of an event stream.

    >>> is_event_stream(200, [(b'content-type', b'text/event-stream; q=1')])
    True
    >>> is_event_stream(200, [(b'content-type', b'text/html')])
    False
    >>> is_event_stream(206, [])
    False
    """
    return status == 200 and all(
        value.partition(b';')[0].strip().lower() == _MEDIA_TYPE
        for name, value in headers
        if name == b'content-type'
    )


class EventSplitter:
    r"""Buffers an incomplete event until its end is received.

    The cost of a byte doesn't depend on how much of its event is buffered.

    :ivar last_id: id of the last complete event, or None

    >>> splitter = EventSplitter()
    >>> splitter.feed(b'id: 1\ndata: a\n\nid: 2\nda')
    b'id: 1\ndata: a\n\n'
    >>> splitter.last_id
    '1'
    >>> splitter.partial
    b'id: 2\nda'
    """

    def __init__(self, last_id: str | None = None) -> None:
        self.last_id = last_id
        self._partial = bytearray()
        self._must_continue = False

    @property
    def partial(self) -> bytes:
        """Return the received bytes of the incomplete event."""
        return bytes(self._partial)

    @property
    def partial_size(self) -> int:
        """Return the number of received bytes of the incomplete event."""
        return len(self._partial)

    def feed(self, data: bytes) -> bytes:
        """Add received bytes and return the events that are now complete.

        Raises ValueError if an event is too large, holds the first line of
        another response, or does not continue the interrupted stream.
        """
        searched = max(0, len(self._partial) - _EVENT_END_BYTES + 1)
        self._partial += data
        end = 0
        for found in _EVENT_END.finditer(self._partial, searched):
            end = found.end()
        complete = bytes(self._partial[:end])
        del self._partial[:end]
        if len(self._partial) > MAX_EVENT_BYTES:
            raise ValueError('event is too large')
        if not complete:
            return complete
        if b'HTTP/1.' in complete and _STATUS_LINE.search(complete):
            raise ValueError('another response began within the stream')
        if self._must_continue:
            self._check_continues(complete)
        ids = _ID_FIELD.findall(complete)
        if ids:
            self.last_id = ids[-1].decode('latin-1').strip()
        return complete

    def restart(self, must_continue: bool) -> None:
        """Prepare for the response of another target.

        It repeats the incomplete event from its start.

        :param must_continue: the client has received the events up to the
            last complete one
        """
        self.discard_partial()
        self._must_continue = must_continue

    def discard_partial(self) -> None:
        """Drop the incomplete event, of which no more is received."""
        self._partial.clear()

    def _check_continues(self, complete: bytes) -> None:
        """Raise ValueError unless the first event follows the last one."""
        at = 0
        while comment := _COMMENT.match(complete, at):
            at = comment.end()
        found = _EVENT_END.search(complete, at)
        if found is None:
            return
        ids = _ID_FIELD.findall(complete, at, found.end())
        if not ids or self.last_id is None:
            raise ValueError('the first event cannot be placed by its id')
        first_id = ids[-1].decode('latin-1').strip()
        if first_id == self.last_id or (
            first_id.isdecimal()
            and self.last_id.isdecimal()
            and int(first_id) < int(self.last_id)
        ):
            raise ValueError('the first event has been sent before')
        self._must_continue = False
