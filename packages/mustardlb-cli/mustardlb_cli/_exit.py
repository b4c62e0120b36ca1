"""Exit codes and the errors that map to them."""

from collections import abc
import enum

from mustardlb import errors


class ExitCode(enum.IntEnum):
    """Exit code of a command; see docs/operators/command-line.md.

    Errors in JSON show the name in lower case.
    """

    DONE = 0
    FAILED = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    NOT_FOUND = 5
    UNAVAILABLE = 6
    UNKNOWN = 7
    NOT_ACCEPTED = 8
    LAGGING = 9
    NOT_LANDED = 10


class CommandError(Exception):
    """An error that ends a command with a code other than DONE.

    :ivar result: partial result, shown on standard output
    """

    def __init__(
        self,
        code: ExitCode,
        message: str,
        result: abc.Mapping[str, object] | None = None,
    ) -> None:
        super().__init__(message)
        self.code = code
        self.result = result


_EXIT_CODES = {
    errors.Code.CONFLICT: ExitCode.CONFLICT,
    errors.Code.BAD_REQUEST: ExitCode.USAGE,
    errors.Code.API_UNAVAILABLE: ExitCode.UNAVAILABLE,
    errors.Code.PEER_UNAVAILABLE: ExitCode.UNAVAILABLE,
    errors.Code.WRITE_UNKNOWN: ExitCode.UNKNOWN,
    errors.Code.INVALID_OBJECT: ExitCode.INVALID,
}


def is_interrupt(error: BaseException) -> bool:
    """Return whether an error is Ctrl-C, also in an exception group."""
    if isinstance(error, BaseExceptionGroup):
        return error.subgroup(KeyboardInterrupt) is not None
    return isinstance(error, KeyboardInterrupt)


def exit_code(error: errors.Error) -> ExitCode:
    """Return the exit code of an error."""
    return _EXIT_CODES.get(error.code, ExitCode.FAILED)
