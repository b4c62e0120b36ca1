"""The command that resolves changes of unknown outcome."""

from mustardlb_cli import _command
from mustardlb_cli import _commits
from mustardlb_cli import _output
from mustardlb_cli import _site


class ChangeCommands:
    """Changes whose outcome is unknown, as the response was lost."""

    def __init__(self, open_site: _site.Open) -> None:
        self._open = open_site

    def settle(self, change: str, wait: str | None = None) -> _command.Command:
        """Find out whether a change was committed.

        A change that was not committed is prevented from taking effect
        later.

        Example: mustardlb change settle r13-0123456789abcdef

        Args:
          change: identifier of the change, from the error message
          wait: seconds to wait until it is active, 0 not to wait
        """
        seconds = _command.parse_seconds('wait', wait)
        return _command.Command(lambda: _resolve(self._open, change, seconds))


async def _resolve(
    open_site: _site.Open, change: str, wait: float | None
) -> _output.Result:
    async with open_site() as site:
        committed = await _commits.resolve_outcome(site, change)
        if committed is None:
            raise _commits.not_committed(change)
        timeout = site.wait if wait is None else wait
        result: dict[str, object] = {
            'landed': True,
            'change': change,
            'revision': committed.revision,
        }
        if not timeout:
            return result
        return await _commits.wait_until_active(
            site, committed.revision, timeout, result
        )
