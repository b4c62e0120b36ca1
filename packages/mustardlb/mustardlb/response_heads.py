"""Checks the bytes of response heads, which HTTP libraries decode leniently.

h11 joins a line that begins with a blank to the field before it, and ends a
head at an empty line with or without a carriage return. A field name that
begins with a blank or a line feed then becomes a part of another field, or of
the body. RFC 9112, 5.2, permits gateways to discard such a response.
"""

import re

_HEAD_END = re.compile(rb'\n\r?\n')

# Bytes of an end of which the rest may follow.
_PARTIAL_END_BYTES = 2

_INFORMATIONAL = re.compile(rb'HTTP/1\.[01] 1')


def check_head(head: bytes) -> None:
    r"""Raise ValueError if a decoder may take a line of a head for another.

    All lines have to end like the first one.

    >>> check_head(b'HTTP/1.1 200 OK\r\na: b\r\n\r\n')
    >>> check_head(b'HTTP/1.1 200 OK\r\na: b\r\n c: d\r\n\r\n')
    Traceback (most recent call last):
    ValueError: a header line begins with a blank
    >>> check_head(b'HTTP/1.1 200 OK\r\na: b\r\n\nc: d\r\n\r\n')
    Traceback (most recent call last):
    ValueError: the lines of the head have different ends
    """
    if b'\n ' in head or b'\n\t' in head:
        raise ValueError('a header line begins with a blank')
    line_count, crlf_count = head.count(b'\n'), head.count(b'\r\n')
    if crlf_count not in (0, line_count):
        raise ValueError('the lines of the head have different ends')


class HeadScanner:
    r"""Checks the heads of a response in the bytes that are received.

    Informational responses, which come before, are checked as well; what
    follows the last head is ignored.

    >>> scanner = HeadScanner()
    >>> scanner.feed(b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\na')
    >>> scanner.feed(b': b\r\n\r\n body')
    """

    def __init__(self) -> None:
        self._received = bytearray()
        self._is_done = False

    def begin(self) -> None:
        """Expect the head of the next response."""
        self._received.clear()
        self._is_done = False

    def feed(self, data: bytes | bytearray) -> None:
        """Check received bytes; raises ValueError, see `check_head`."""
        if self._is_done:
            return
        searched = max(0, len(self._received) - _PARTIAL_END_BYTES)
        self._received += data
        while found := _HEAD_END.search(self._received, searched):
            head = bytes(self._received[: found.end()])
            check_head(head)
            if not _INFORMATIONAL.match(head):
                self._is_done = True
                self._received.clear()
                return
            del self._received[: found.end()]
            searched = 0
