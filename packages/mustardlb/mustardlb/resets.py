"""Tells a reset from an orderly end by the error of a write."""


def is_reset(error: BaseException) -> bool:
    """Return whether a failed write shows that a connection was reset.

    Linux fails a write with EPIPE if the peer had ended its side in order
    before, and with another error, such as ECONNRESET, if it had not
    (tcp_reset in net/ipv4/tcp_input.c). The error of the system is the
    exception itself or one of its causes; without one, a reset is assumed.

    >>> is_reset(ConnectionResetError()), is_reset(BrokenPipeError())
    (True, False)
    """
    cause: BaseException | None = error
    while cause is not None and not isinstance(cause, OSError):
        cause = cause.__cause__
    return not isinstance(cause, BrokenPipeError)
