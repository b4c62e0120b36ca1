"""Rate-limited, non-blocking logs on standard output."""

from collections import abc
import os
import sys
import time

import structlog

# A node logs about two lines per request. Logging at this rate takes about
# one percent of a processor.
LINES_PER_SECOND = 150.0
BURST_LINES = 600.0


class BoundedWriter:
    """Writes lines to a file descriptor within a token bucket.

    Lines that exceed the rate, or that the reader is too slow for, are
    dropped. The next written line is preceded by the number of them.
    """

    def __init__(
        self, fileno: int, clock: abc.Callable[[], float] = time.monotonic
    ) -> None:
        self._fileno = fileno
        self._clock = clock
        self._tokens = BURST_LINES
        self._refilled_at = clock()
        self._unwritten = b''
        self.dropped = 0

    def msg(self, message: str) -> None:
        """Write a line or count it as dropped."""
        if not self.has_capacity() or not self._flush_unwritten():
            self.dropped += 1
            return
        self._tokens -= 1
        if self.dropped:
            message = f'{{"event":"MLB-6010","dropped":{self.dropped}}}\n' + (
                message
            )
            self.dropped = 0
        self._unwritten = message.encode() + b'\n'
        self._flush_unwritten()

    def has_capacity(self) -> bool:
        """Return whether the rate limit permits another line."""
        now = self._clock()
        refill = (now - self._refilled_at) * LINES_PER_SECOND
        self._tokens = min(BURST_LINES, self._tokens + refill)
        self._refilled_at = now
        return self._tokens >= 1

    debug = info = warning = error = critical = msg

    def _flush_unwritten(self) -> bool:
        """Write the rest of the last line; return whether it is complete."""
        try:
            written = os.write(self._fileno, self._unwritten)
        except BlockingIOError:
            return False
        except OSError:
            # The reader has closed its end; the line is discarded.
            written = len(self._unwritten)
        self._unwritten = self._unwritten[written:]
        return not self._unwritten


def configure(vm: str, clock: abc.Callable[[], float]) -> BoundedWriter:
    """Configure the logs of the process and return their writer.

    Each line has the name of the VM and the time in seconds of `clock`,
    which orders the lines of one process.
    """
    fileno = sys.stdout.fileno()
    os.set_blocking(fileno, False)
    writer = BoundedWriter(fileno)

    def drop_excess(
        logger: object, method: str, fields: structlog.typing.EventDict
    ) -> structlog.typing.EventDict:
        """Count a line beyond the rate limit without formatting it."""
        if writer.has_capacity():
            return fields
        writer.dropped += 1
        raise structlog.DropEvent

    def add_context(
        logger: object, method: str, fields: structlog.typing.EventDict
    ) -> structlog.typing.EventDict:
        fields['level'] = method
        fields['vm'] = vm
        fields['clock'] = round(clock(), 3)
        return fields

    structlog.configure(
        processors=[
            drop_excess,
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
