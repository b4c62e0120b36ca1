"""TCP connections that notice a peer that has gone silent."""

import trio

# Probes of an idle connection: after this many seconds, each so many
# seconds, given up after so many. A silent peer is found in 3 s, the time
# in which a connection that was reset elsewhere would be noticed too.
KEEPALIVE_IDLE = 1
KEEPALIVE_INTERVAL = 1
KEEPALIVE_PROBES = 2

# Data that is not acknowledged for so long ends a connection, milliseconds.
USER_TIMEOUT_MS = 3000


def set_tcp_options(stream: trio.SocketStream) -> None:
    """Send small writes at once and detect peers that went silent."""
    socket = trio.socket
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE)
    stream.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL
    )
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    stream.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
    )


async def connect(host: str, port: int, timeout: float) -> trio.SocketStream:
    """Open a connection; raises OSError, also after `timeout` seconds."""
    sock = trio.socket.socket()
    try:
        with trio.fail_after(timeout):
            await sock.connect((host, port))
    except trio.TooSlowError as error:
        sock.close()
        raise TimeoutError(f'no connection in {timeout} s') from error
    except BaseException:
        sock.close()
        raise
    stream = trio.SocketStream(sock)
    set_tcp_options(stream)
    return stream
