"""Commands for contracts."""

from typing import Any

from mustardlb import contracts
from mustardlb_cli import _command
from mustardlb_cli import _objects
from mustardlb_cli import _output
from mustardlb_cli import _site


class ContractCommands:
    """Contracts: the models and limits of each client account."""

    def __init__(self, open_site: _site.Open) -> None:
        self._open = open_site

    def validate(self, *files: str) -> _command.Command:
        """Check contract files without connecting to any service.

        Example: mustardlb contract validate acme.toml other.toml

        Args:
          files: contract files in TOML
        """

        async def run() -> _output.Result:
            found = _objects.read_files(_objects.CONTRACT, files)
            return {'valid': list(found)}

        return _command.Command(run)

    def apply(
        self,
        *files: str,
        based_on: str | None = None,
        wait: str | None = None,
    ) -> _command.Command:
        """Store contracts in one change and wait until it is active.

        A contract that is already stored with different contents is
        replaced only if it has not changed since revision --based-on.

        Example: mustardlb contract apply acme.toml --based-on=41

        Args:
          files: contract files in TOML
          based_on: revision that the files are based on (`contract show`)
          wait: seconds to wait until it is active, 0 not to wait
        """
        revision = _command.parse_integer('based-on', based_on)
        seconds = _command.parse_seconds('wait', wait)
        return _command.Command(
            lambda: _objects.apply(
                self._open, _objects.CONTRACT, files, revision, seconds
            )
        )

    def withdraw(
        self,
        account: str,
        based_on: str | None = None,
        wait: str | None = None,
    ) -> _command.Command:
        """Withdraw a contract and wait until the change is active.

        The account's keys stay stored, but requests with them are rejected.

        Example: mustardlb contract withdraw acme

        Args:
          account: the client account
          based_on: withdraw only if unchanged since this revision
          wait: seconds to wait until it is active, 0 not to wait
        """
        name = contracts.object_name(account)
        revision = _command.parse_integer('based-on', based_on)
        seconds = _command.parse_seconds('wait', wait)
        return _command.Command(
            lambda: _objects.withdraw(self._open, name, revision, seconds)
        )

    def show(self, account: str) -> _command.Command:
        """Show a contract and the revision for --based-on.

        Example: mustardlb contract show acme --output=json

        Args:
          account: the client account
        """
        name = contracts.object_name(account)
        return _command.Command(
            lambda: _objects.show(self._open, _objects.CONTRACT, name)
        )

    def export(self, account: str) -> _command.Command:
        """Write a stored contract as a TOML file to edit and apply.

        Example: mustardlb contract export acme > acme.toml

        Args:
          account: the client account
        """
        name = contracts.object_name(account)
        return _command.Command(
            lambda: _objects.export(self._open, _objects.CONTRACT, name)
        )

    def list(self) -> _command.Command:
        """List the contracts.

        Example: mustardlb contract list
        """
        return _command.Command(
            lambda: _objects.list_items(self._open, _objects.CONTRACT, _row)
        )


def _row(contract: Any) -> dict[str, object]:
    return {
        'account': contract.account,
        'rate': contract.rate,
        'burst': contract.burst,
        'concurrency': contract.concurrency,
        'priority': contract.priority,
        'traffic_class': contract.traffic_class,
        'grants': len(contract.grants),
        'models': len(contract.models),
    }
