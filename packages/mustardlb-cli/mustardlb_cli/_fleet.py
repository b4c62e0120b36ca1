"""The commands on routes and targets."""

from typing import Any

import msgspec

from mustardlb import changes
from mustardlb import routes
from mustardlb_cli import _changing
from mustardlb_cli import _command
from mustardlb_cli import _objects
from mustardlb_cli import _output
from mustardlb_cli import _site


class _FleetCommands:
    """What the commands on routes and targets have in common."""

    def __init__(self, open_site: _site.Open, kind: _objects.Kind) -> None:
        self._open = open_site
        self._kind = kind

    def apply(
        self,
        *files: str,
        based_on: str | None = None,
        wait: str | None = None,
    ) -> _command.Command:
        """Store files, all in one change, and wait until in force.

        What is stored already with other contents is replaced only if it
        has not changed since the revision of --based-on.

        Example: mustardlb target apply engine-*.toml --based-on=41

        Args:
          files: files in TOML, one for each route or target
          based_on: the revision that was looked at before (`list`)
          wait: seconds to wait until it is in force, 0 for none
        """
        revision = _command.integer('based-on', based_on)
        seconds = _command.number('wait', wait)
        return _command.Command(
            lambda: _objects.apply(
                self._open, self._kind, files, revision, seconds
            )
        )

    def withdraw(
        self,
        name: str,
        based_on: str | None = None,
        wait: str | None = None,
    ) -> _command.Command:
        """Withdraw a route or target, and wait until that is in force.

        Example: mustardlb target withdraw engine-1

        Args:
          name: name of the route or target
          based_on: withdraw only if unchanged since this revision
          wait: seconds to wait until it is in force, 0 for none
        """
        revision = _command.integer('based-on', based_on)
        seconds = _command.number('wait', wait)
        object_name = f'{self._kind.name}/{name}'
        return _command.Command(
            lambda: _objects.withdraw(
                self._open, object_name, revision, seconds
            )
        )

    def list(self) -> _command.Command:
        """List what is stored.

        Example: mustardlb target list --output=json
        """
        return _command.Command(
            lambda: _objects.list_items(self._open, self._kind, _row)
        )


class RouteCommands(_FleetCommands):
    """Routes: path prefixes that lead to plain services."""

    def __init__(self, open_site: _site.Open) -> None:
        super().__init__(open_site, _objects.ROUTE)


class TargetCommands(_FleetCommands):
    """Targets: the engines and plain services that requests are sent to."""

    def __init__(self, open_site: _site.Open) -> None:
        super().__init__(open_site, _objects.TARGET)

    def drain(
        self, name: str, undo: str | bool = False, wait: str | None = None
    ) -> _command.Command:
        """Give a target no new work; what it runs goes on to its end.

        Example: mustardlb target drain engine-1

        Args:
          name: name of the target
          undo: give it work again
          wait: seconds to wait until it is in force, 0 for none
        """
        state = routes.TargetState.DRAIN
        if _command.flag('undo', undo):
            state = routes.TargetState.SERVE
        seconds = _command.number('wait', wait)
        return _command.Command(
            lambda: _set_state(self._open, name, state, seconds)
        )


async def _set_state(
    open_site: _site.Open,
    name: str,
    state: routes.TargetState,
    wait: float | None,
) -> _output.Result:
    object_name = f'{routes.TARGET_KIND}/{name}'

    def make(stored: bytes | None) -> bytes:
        if stored is None:
            raise _objects.not_found(object_name)
        target = routes.decode_target(stored, object_name)
        return routes.encode(msgspec.structs.replace(target, state=state))

    edit = changes.Edit(object_name, make, None)
    async with open_site() as site:
        return await _changing.commit(site, [edit], wait)


def _row(item: Any) -> dict[str, object]:
    return msgspec.to_builtins(item)
