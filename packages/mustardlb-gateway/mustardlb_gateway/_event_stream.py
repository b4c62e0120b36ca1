"""Splits a stream of server-sent events into whole events."""

import re

_END = re.compile(rb'\r?\n\r?\n')
_ID = re.compile(rb'^id:[ ]?([^\r\n]*)', re.MULTILINE)

# Largest event, bytes; a stream that exceeds it is no stream of events.
EVENT_LIMIT = 1_048_576


class EventSplitter:
    r"""Holds back the beginning of an event until its end has come.

    :ivar last_id: of the last whole event, or None

    >>> splitter = EventSplitter()
    >>> splitter.feed(b'id: 1\ndata: a\n\nid: 2\nda')
    b'id: 1\ndata: a\n\n'
    >>> splitter.last_id
    '1'
    >>> splitter.rest
    b'id: 2\nda'
    """

    def __init__(self, last_id: str | None = None) -> None:
        self.last_id = last_id
        self.rest = b''

    def feed(self, data: bytes) -> bytes:
        """Take bytes and return the whole events so far."""
        data = self.rest + data
        end = 0
        for found in _END.finditer(data):
            end = found.end()
        self.rest = data[end:]
        if len(self.rest) > EVENT_LIMIT:
            raise ValueError('an event is too large')
        whole = data[:end]
        ids = _ID.findall(whole)
        if ids:
            self.last_id = ids[-1].decode('latin-1').strip()
        return whole

    def drop_rest(self) -> None:
        """Forget the beginning of an event that will not end."""
        self.rest = b''
