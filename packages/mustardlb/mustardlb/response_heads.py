"""Checks the bytes of response heads, which HTTP libraries decode leniently.

h11 joins a line that begins with a blank to the field before it, and ends a
head at an empty line with or without a carriage return. A field name that
begins with a blank or a line feed then becomes a part of another field, or of
the body. RFC 9112, 5.2, permits gateways to discard such a response.
"""

import re

_HEAD_END = re.compile(rb'\n\r?\n')

# The start of an end of a head, of which the rest may follow.
_TAIL_BYTES = 2

_INFORMATIONAL = re.compile(rb'HTTP/1\.[01] 1')
_START_BYTES = len(b'HTTP/1.1 1')


class HeadScanner:
    r"""Checks the heads of a response in the bytes that are received.

    No line may begin with a blank, and all have to end like the first one.
    Informational responses, which come before, are checked as well; what
    follows the last head is ignored. The bytes of a head are not kept.

    >>> scanner = HeadScanner()
    >>> scanner.feed(b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\na')
    >>> scanner.feed(b': b\r\n\r\n body')
    >>> HeadScanner().feed(b'HTTP/1.1 200 OK\r\na: b\r\n c: d')
    Traceback (most recent call last):
    ValueError: a header line begins with a blank
    >>> HeadScanner().feed(b'HTTP/1.1 200 OK\r\na: b\r\n\nc: d')
    Traceback (most recent call last):
    ValueError: the lines of the head have different ends
    """

    def __init__(self) -> None:
        self.begin()

    def begin(self) -> None:
        """Expect the head of the next response."""
        self._is_done = False
        self._begin_head()

    def _begin_head(self) -> None:
        self._start = b''
        self._tail = b''
        # Whether the first line ended with CRLF, None before its end.
        self._has_crlf: bool | None = None

    def feed(self, data: bytes | bytearray) -> None:
        """Check received bytes; raises ValueError if a head is malformed."""
        if self._is_done:
            return
        window = self._tail + bytes(data)
        begin, checked = 0, len(self._tail)
        while found := _HEAD_END.search(window, begin):
            self._check_lines(window, begin, checked, found.end())
            self._is_done = not _INFORMATIONAL.match(self._start)
            self._begin_head()
            if self._is_done:
                return
            begin = checked = found.end()
        self._check_lines(window, begin, checked, len(window))
        self._tail = window[max(begin, len(window) - _TAIL_BYTES) :]

    def _check_lines(
        self, window: bytes, begin: int, checked: int, end: int
    ) -> None:
        """Check the lines whose ends are between two places of the window.

        Also keeps the start of the head, which tells its status.

        :param begin: start of the head, or of its bytes that are known
        """
        missing = _START_BYTES - len(self._start)
        self._start += window[checked : min(end, checked + missing)]
        before = max(begin, checked - 1)
        if (
            window.find(b'\n ', before, end) >= 0
            or window.find(b'\n\t', before, end) >= 0
        ):
            raise ValueError('a header line begins with a blank')
        line_count = window.count(b'\n', checked, end)
        if not line_count:
            return
        if self._has_crlf is None:
            first = window.index(b'\n', checked)
            self._has_crlf = window[first - 1 : first] == b'\r'
        crlf_count = window.count(b'\r\n', before, end)
        if crlf_count != (line_count if self._has_crlf else 0):
            raise ValueError('the lines of the head have different ends')
