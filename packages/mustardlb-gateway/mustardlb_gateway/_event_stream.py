"""Splits a stream of server-sent events into complete events."""

import re

_EVENT_END = re.compile(rb'\r?\n\r?\n')
_ID_FIELD = re.compile(rb'^id:[ ]?([^\r\n]*)', re.MULTILINE)

# An event's end may begin in bytes that were received before.
_EVENT_END_BYTES = len(b'\r\n\r\n')

# A larger block without an event boundary is not an event stream.
MAX_EVENT_BYTES = 1_048_576


class EventSplitter:
    r"""Buffers an incomplete event until its end is received.

    :ivar last_id: id of the last complete event, or None
    :ivar partial: received bytes of the incomplete event

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
        self.partial = b''

    def feed(self, data: bytes) -> bytes:
        """Add received bytes and return the events that are now complete.

        Raises ValueError if an event is too large.
        """
        searched = max(0, len(self.partial) - _EVENT_END_BYTES + 1)
        data = self.partial + data
        end = 0
        for found in _EVENT_END.finditer(data, searched):
            end = found.end()
        self.partial = data[end:]
        if len(self.partial) > MAX_EVENT_BYTES:
            raise ValueError('event is too large')
        complete = data[:end]
        ids = _ID_FIELD.findall(complete)
        if ids:
            self.last_id = ids[-1].decode('latin-1').strip()
        return complete

    def discard_partial(self) -> None:
        """Discard the incomplete event after its stream was interrupted."""
        self.partial = b''
