"""Making a change, and telling what became of it."""

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
    """Make a change and wait until it is in force.

    `wait` is in seconds, 0 for no wait, None for the settings' time.
    Raises CommandError, with the result, if it is not in force by then.
    """
    limit = site.wait if wait is None else wait
    landed = await _store(site, edits)
    result: dict[str, object] = {
        'changed': bool(landed.change),
        'change': landed.change or None,
        'revision': landed.revision,
    }
    if not limit:
        result['meaning'] = 'stored; not waited for acceptance'
        return result
    return await follow(site, landed.revision, limit, result)


async def follow(
    site: _site.Site,
    revision: int,
    limit: float,
    result: dict[str, object],
) -> _output.Result:
    """Wait until a stored revision is in force and add what was seen."""
    try:
        progress = await _acceptance.wait(site, revision, limit)
    except BaseException as error:
        if not _exit.is_interrupt(error):
            raise
        raise _exit.CommandError(
            _exit.ExitCode.NOT_ACCEPTED,
            f'interrupted; revision {revision} is stored, whether it is '
            'accepted is not known',
            result,
        ) from None
    result |= _acceptance.describe(progress)
    if not progress.accepted:
        raise _exit.CommandError(
            _exit.ExitCode.NOT_ACCEPTED,
            f'revision {revision} is stored but was not accepted within '
            f'{limit:g} s',
            result,
        )
    if not progress.in_force:
        raise _exit.CommandError(
            _exit.ExitCode.LAGGING,
            f'revision {revision} is accepted; {len(progress.lagging)} of '
            f'{len(progress.replies)} live VMs did not say within {limit:g} s '
            'that they have it',
            result,
        )
    return result


async def bounded(
    site: _site.Site, call: abc.Callable[[], abc.Awaitable[T]]
) -> T:
    """Run a read of the object API for as long as the settings allow."""
    with trio.move_on_after(site.wait):
        return await call()
    raise _unavailable(f'the object API gave no answer in {site.wait:g} s')


async def settle(
    site: _site.Site, change: str
) -> changes.CommittedChange | None:
    """Settle a change in the time that the settings allow."""
    with trio.move_on_after(site.wait):
        return await changes.resolve_outcome(site.api, change)
    raise _unknown(change)


async def _store(
    site: _site.Site, edits: abc.Sequence[changes.Edit]
) -> changes.CommittedChange:
    announced: list[str] = []
    try:
        with trio.move_on_after(site.wait):
            return await changes.commit(site.api, edits, announced.append)
    except BaseException as error:
        if not _exit.is_interrupt(error) or not announced:
            raise
    if announced:
        raise _unknown(announced[-1])
    raise _unavailable(
        f'the object API gave no answer in {site.wait:g} s; nothing of the '
        'change was stored, and nothing will be'
    )


def _unknown(change: str) -> errors.Error:
    return errors.Error(
        errors.Code.WRITE_UNKNOWN,
        f'whether {change} landed is not known; find out, and keep it from '
        f'landing late, by: mustardlb change settle {change}',
        steps.Step.CONTRACT_CHANGE,
    )


def _unavailable(message: str) -> errors.Error:
    return errors.Error(
        errors.Code.API_UNAVAILABLE, message, steps.Step.CONTRACT_CHANGE
    )


def not_landed(change: str) -> _exit.CommandError:
    """Return the end of a settled change that is not stored."""
    return _exit.CommandError(
        _exit.ExitCode.NOT_LANDED,
        f'{change} did not land and never will',
        {'landed': False, 'change': change},
    )
