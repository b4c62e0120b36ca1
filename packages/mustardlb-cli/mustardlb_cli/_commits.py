"""Commit configuration changes and report their outcome."""

from collections import abc
from typing import TypeVar

import trio

from mustardlb import changes
from mustardlb import errors
from mustardlb import steps
from mustardlb_cli import _acceptance
from mustardlb_cli import _exit
from mustardlb_cli import _output
from mustardlb_cli import _site

T = TypeVar('T')


async def commit(
    site: _site.Site, edits: abc.Sequence[changes.Edit], wait: float | None
) -> _output.Result:
    """Commit a change and wait until it is active on all live VMs.

    `wait` is in seconds: 0 for no wait, None for the time in the settings.
    Raises CommandError, with the result, if the change is not active in
    that time.
    """
    timeout = site.wait if wait is None else wait
    committed = await _store(site, edits)
    result: dict[str, object] = {
        'changed': bool(committed.change),
        'change': committed.change or None,
        'revision': committed.revision,
    }
    if not timeout:
        result['meaning'] = 'stored; acceptance was not checked'
        return result
    return await wait_until_active(site, committed.revision, timeout, result)


async def wait_until_active(
    site: _site.Site,
    revision: int,
    timeout: float,
    result: dict[str, object],
) -> _output.Result:
    """Wait until a stored revision is active; add its state to `result`."""
    try:
        progress = await _acceptance.wait_until_active(site, revision, timeout)
    except BaseException as error:
        if not _exit.is_interrupt(error):
            raise
        raise _exit.CommandError(
            _exit.ExitCode.NOT_ACCEPTED,
            f'interrupted; revision {revision} is stored, but it is not known '
            'whether it is accepted',
            result,
        ) from None
    result |= _acceptance.describe(progress)
    if not progress.accepted:
        raise _exit.CommandError(
            _exit.ExitCode.NOT_ACCEPTED,
            f'revision {revision} is stored but was not accepted within '
            f'{timeout:g} s',
            result,
        )
    if not progress.is_active:
        raise _exit.CommandError(
            _exit.ExitCode.LAGGING,
            f'revision {revision} is accepted; {len(progress.lagging)} of '
            f'{len(progress.replies)} live VMs did not confirm within '
            f'{timeout:g} s that they have it',
            result,
        )
    return result


async def read_with_timeout(
    site: _site.Site, read: abc.Callable[[], abc.Awaitable[T]]
) -> T:
    """Run a read of the object API with the timeout in the settings."""
    with trio.move_on_after(site.wait):
        return await read()
    raise _unavailable(
        f'the object API did not respond within {site.wait:g} s'
    )


async def resolve_outcome(
    site: _site.Site, change: str
) -> changes.CommittedChange | None:
    """Return the committed change, None if it can no longer be committed."""
    with trio.move_on_after(site.wait):
        return await changes.resolve_outcome(site.api, change)
    raise _outcome_unknown(change)


async def _store(
    site: _site.Site, edits: abc.Sequence[changes.Edit]
) -> changes.CommittedChange:
    attempted_ids: list[str] = []
    try:
        with trio.move_on_after(site.wait):
            return await changes.commit(site.api, edits, attempted_ids.append)
    except BaseException as error:
        if not _exit.is_interrupt(error) or not attempted_ids:
            raise
    if attempted_ids:
        raise _outcome_unknown(attempted_ids[-1])
    raise _unavailable(
        f'the object API did not respond within {site.wait:g} s; the change '
        'was not stored and cannot take effect later'
    )


def _outcome_unknown(change: str) -> errors.Error:
    return errors.Error(
        errors.Code.WRITE_UNKNOWN,
        f'whether {change} was committed is not known; to find out, and to '
        'prevent it from taking effect later, run: mustardlb change settle '
        f'{change}',
        steps.Step.CONTRACT_CHANGE,
    )


def _unavailable(message: str) -> errors.Error:
    return errors.Error(
        errors.Code.API_UNAVAILABLE, message, steps.Step.CONTRACT_CHANGE
    )


def not_committed(change: str) -> _exit.CommandError:
    """Return the error for a change that can no longer be committed."""
    return _exit.CommandError(
        _exit.ExitCode.NOT_LANDED,
        f'{change} was not committed and cannot take effect later',
        {'landed': False, 'change': change},
    )
