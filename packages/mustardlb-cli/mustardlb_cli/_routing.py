"""Commands for routes and targets."""

from typing import Any

import msgspec

from mustardlb import changes
from mustardlb import routes
from mustardlb_cli import _command
from mustardlb_cli import _commits
from mustardlb_cli import _objects
from mustardlb_cli import _output
from mustardlb_cli import _site


class _RoutingCommands:
    """Base class of the commands for routes and for targets."""

    def __init__(self, open_site: _site.Open, kind: _objects.Kind) -> None:
        self._open = open_site
        self._kind = kind

    def apply(
        self,
        *files: str,
        based_on: str | None = None,
        wait: str | None = None,
    ) -> _command.Command:
        """Store files in one change and wait until it is active.

        An object that is already stored with different contents is
        replaced only if it has not changed since revision --based-on.

        Example: mustardlb target apply engine-*.toml --based-on=41

        Args:
          files: files in TOML, one per route or target
          based_on: revision that the files are based on (`list`)
          wait: seconds to wait until it is active, 0 not to wait
        """
        revision = _command.parse_integer('based-on', based_on)
        seconds = _command.parse_seconds('wait', wait)
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
        """Withdraw a route or target and wait until the change is active.

        Example: mustardlb target withdraw engine-1

        Args:
          name: name of the route or target
          based_on: withdraw only if unchanged since this revision
          wait: seconds to wait until it is active, 0 not to wait
        """
        revision = _command.parse_integer('based-on', based_on)
        seconds = _command.parse_seconds('wait', wait)
        object_name = f'{self._kind.name}/{name}'
        return _command.Command(
            lambda: _objects.withdraw(
                self._open, object_name, revision, seconds
            )
        )

    def list(self) -> _command.Command:
        """List the stored routes or targets.

        Example: mustardlb target list --output=json
        """
        return _command.Command(
            lambda: _objects.list_items(self._open, self._kind, _row)
        )


class RouteCommands(_RoutingCommands):
    """Routes: path prefixes that are forwarded to plain services."""

    def __init__(self, open_site: _site.Open) -> None:
        super().__init__(open_site, _objects.ROUTE)


class TargetCommands(_RoutingCommands):
    """Targets: the engines and plain services that requests are sent to."""

    def __init__(self, open_site: _site.Open) -> None:
        super().__init__(open_site, _objects.TARGET)

    def drain(
        self, name: str, undo: str | bool = False, wait: str | None = None
    ) -> _command.Command:
        """Send a target no new requests; its running requests finish.

        Example: mustardlb target drain engine-1

        Args:
          name: name of the target
          undo: send it new requests again
          wait: seconds to wait until it is active, 0 not to wait
        """
        state = routes.TargetState.DRAIN
        if _command.parse_flag('undo', undo):
            state = routes.TargetState.SERVE
        seconds = _command.parse_seconds('wait', wait)
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
        return await _commits.commit(site, [edit], wait)


def _row(item: Any) -> dict[str, object]:
    return msgspec.to_builtins(item)
