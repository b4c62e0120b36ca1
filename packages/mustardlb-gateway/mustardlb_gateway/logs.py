"""Logs on standard output: bounded, never waited for."""

from collections import abc
import os
import sys
import time

import structlog

# Lines a second, and lines at once after a quiet time. A node writes about
# two lines a request; a hundredth of its processor is spent at the rate.
LINES_PER_SECOND = 150.0
MOST_AT_ONCE = 600.0


class BoundedWriter:
    """Writes lines to a descriptor, dropping what exceeds the bound.

    The number of dropped lines is told with the next one that is written.
    """

    def __init__(
        self, fileno: int, clock: abc.Callable[[], float] = time.monotonic
    ) -> None:
        self._fileno = fileno
        self._clock = clock
        self._allowed = MOST_AT_ONCE
        self._filled_at = clock()
        self._rest = b''
        self.dropped = 0

    def msg(self, message: str) -> None:
        """Write a line, or count it as dropped."""
        now = self._clock()
        flowed = (now - self._filled_at) * LINES_PER_SECOND
        self._allowed = min(MOST_AT_ONCE, self._allowed + flowed)
        self._filled_at = now
        if self._allowed < 1 or not self._flush_rest():
            self.dropped += 1
            return
        self._allowed -= 1
        if self.dropped:
            message = f'{{"event":"MLB-6010","dropped":{self.dropped}}}\n' + (
                message
            )
            self.dropped = 0
        self._rest = message.encode() + b'\n'
        self._flush_rest()

    debug = info = warning = error = critical = msg

    def _flush_rest(self) -> bool:
        """Write what is left of the line before; False where it stays."""
        try:
            written = os.write(self._fileno, self._rest)
        except BlockingIOError:
            return False
        except OSError:
            # Nobody reads any more.
            written = len(self._rest)
        self._rest = self._rest[written:]
        return not self._rest


def configure(vm: str, clock: abc.Callable[[], float]) -> BoundedWriter:
    """Set up the logs of the process; each line names the VM and the time.

    `clock` gives the seconds that lines of one process are ordered by.
    """
    fileno = sys.stdout.fileno()
    os.set_blocking(fileno, False)
    writer = BoundedWriter(fileno)

    def add_context(
        logger: object, method: str, fields: structlog.typing.EventDict
    ) -> structlog.typing.EventDict:
        fields['level'] = method
        fields['vm'] = vm
        fields['clock'] = round(clock(), 3)
        return fields

    structlog.configure(
        processors=[
            add_context,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(20),
        logger_factory=lambda *_: writer,
        cache_logger_on_first_use=True,
    )
    return writer
