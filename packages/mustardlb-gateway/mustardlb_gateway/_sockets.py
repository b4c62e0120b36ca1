"""TCP connections that detect an unresponsive peer."""

import os
import select
import struct

import trio

# TCP keep-alive probes detect an unresponsive peer of an idle connection
# within 3 s, the same time as USER_TIMEOUT_MS for a connection in use.
KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2

# The kernel closes a connection whose data is unacknowledged for this time.
USER_TIMEOUT_MS = 3000


# Unsent data that the system holds for a peer, if memory is bounded.
MAX_UNSENT_BYTES = 131_072

# A peer of a slower transfer sends or reads a byte now and then.
MIN_BYTES_PER_SECOND = 4096


# The value of SO_LINGER for no time to send what is left.
_RESET_WHEN_CLOSED = struct.pack('ii', 1, 0)


class Progress:
    """Deadline of a transfer, which progress postpones.

    :ivar deadline: trio time, at most `timeout` seconds ahead
    """

    def __init__(self, timeout: float) -> None:
        self._timeout = timeout
        self.deadline = trio.current_time() + timeout

    def record(self, byte_count: int) -> None:
        """Postpone the deadline by the time that these bytes may take."""
        self.deadline = min(
            self.deadline + byte_count / MIN_BYTES_PER_SECOND,
            trio.current_time() + self._timeout,
        )


def set_tcp_options(stream: trio.SocketStream) -> None:
    """Disable Nagle's algorithm and enable dead-peer detection."""
    socket = trio.socket
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    stream.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS
    )
    stream.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS
    )
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    stream.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
    )


async def connect(host: str, port: int, timeout: float) -> trio.SocketStream:
    """Open a connection.

    Raises OSError if it fails, also if there can be no such address, and
    TimeoutError after `timeout` seconds.
    """
    sock = trio.socket.socket()
    try:
        with trio.fail_after(timeout):
            await sock.connect((host, port))
    except trio.TooSlowError as error:
        sock.close()
        raise TimeoutError(
            f'connection timed out after {timeout} s'
        ) from error
    except (OverflowError, ValueError) as error:
        # The port is out of range, or the host has no form for the resolver.
        sock.close()
        raise OSError(f'impossible address: {error}') from error
    except BaseException:
        sock.close()
        raise
    stream = trio.SocketStream(sock)
    set_tcp_options(stream)
    return stream


def limit_unsent(stream: trio.SocketStream) -> None:
    """Limit what the system buffers beyond the data in transit."""
    stream.setsockopt(
        trio.socket.IPPROTO_TCP,
        trio.socket.TCP_NOTSENT_LOWAT,
        MAX_UNSENT_BYTES,
    )


def is_readable(sock: trio.socket.SocketType) -> bool:
    """Return whether data, the end or a new connection can be received."""
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def reset(stream: trio.SocketStream) -> None:
    """Close a connection with a reset; data that is not sent is dropped."""
    if stream.socket.fileno() >= 0:
        stream.setsockopt(
            trio.socket.SOL_SOCKET,
            trio.socket.SO_LINGER,
            _RESET_WHEN_CLOSED,
        )
        stream.socket.close()


async def wait_writable(stream: trio.SocketStream) -> None:
    """Wait until the socket takes data; raises trio.ClosedResourceError."""
    if stream.socket.fileno() < 0:
        raise trio.ClosedResourceError
    await trio.lowlevel.wait_writable(stream.socket)


def write_available(
    stream: trio.SocketStream, data: bytes | memoryview
) -> int:
    """Write what the socket's buffer takes and return the number of bytes.

    No other task may be sending on the stream. Raises
    trio.BrokenResourceError or trio.ClosedResourceError.
    """
    fileno = stream.socket.fileno()
    if fileno < 0:
        raise trio.ClosedResourceError
    try:
        return os.write(fileno, data)
    except BlockingIOError:
        return 0
    except OSError as error:
        raise trio.BrokenResourceError from error
