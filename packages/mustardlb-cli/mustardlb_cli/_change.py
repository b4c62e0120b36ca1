"""The command that settles a change whose answer was lost."""

from mustardlb_cli import _changing
from mustardlb_cli import _command
from mustardlb_cli import _output
from mustardlb_cli import _site


class ChangeCommands:
    """Changes whose answer was lost."""

    def __init__(self, open_site: _site.Open) -> None:
        self._open = open_site

    def settle(self, change: str, wait: str | None = None) -> _command.Command:
        """Find out whether a change landed, and keep it from landing late.

        Example: mustardlb change settle r13-0123456789abcdef

        Args:
          change: the identifier that the command named
          wait: seconds to wait until it is in force, 0 for none
        """
        seconds = _command.number('wait', wait)
        return _command.Command(lambda: _settle(self._open, change, seconds))


async def _settle(
    open_site: _site.Open, change: str, wait: float | None
) -> _output.Result:
    async with open_site() as site:
        landed = await _changing.settle(site, change)
        if landed is None:
            raise _changing.not_landed(change)
        limit = site.wait if wait is None else wait
        result: dict[str, object] = {
            'landed': True,
            'change': change,
            'revision': landed.revision,
        }
        if not limit:
            return result
        return await _changing.follow(site, landed.revision, limit, result)
