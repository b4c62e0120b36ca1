"""The binary `mustardlb`: what it understands, and how it ends."""

from collections import abc
import json
import logging
import sys
from typing import NoReturn
from typing import TextIO

import fire
import structlog
import trio

from mustardlb import changes
from mustardlb import documents
from mustardlb import errors
from mustardlb_cli import _change
from mustardlb_cli import _command
from mustardlb_cli import _contract
from mustardlb_cli import _exit
from mustardlb_cli import _fleet
from mustardlb_cli import _fleet_status
from mustardlb_cli import _key
from mustardlb_cli import _output
from mustardlb_cli import _request_log
from mustardlb_cli import _settings
from mustardlb_cli import _site

OUTPUT_FORMS = ('table', 'json')


class Commands:
    """Write and withdraw contracts, keys, routes and targets of mustardlb.

    First steps:

      mustardlb settings check mustardlb.toml --kind=command
      mustardlb contract validate acme.toml
      mustardlb contract apply acme.toml
      mustardlb key issue acme
      mustardlb status

    Each command has its own help: mustardlb contract apply --help

    Flags of every command:

      --settings=FILE  else $MUSTARDLB_SETTINGS, else ./mustardlb.toml
      --output=FORM    table (the default) or json
      --verbose        log what is done to standard error
    """

    def __init__(
        self,
        *,
        settings: str = '',
        output: str = 'table',
        verbose: bool = False,
    ) -> None:
        _check_output(output)
        _configure_logs(verbose)
        self._output = output
        self._open = _site.opener(str(settings))
        self.contract = _contract.ContractCommands(self._open)
        self.key = _key.KeyCommands(self._open)
        self.route = _fleet.RouteCommands(self._open)
        self.target = _fleet.TargetCommands(self._open)
        self.change = _change.ChangeCommands(self._open)
        self.settings = _settings.SettingsCommands()

    def status(self) -> _command.Command:
        """Show each VM: readiness, revision in force, age of knowledge.

        Example: mustardlb status --output=json
        """
        return _command.Command(lambda: _fleet_status.show_status(self._open))

    def top(self, account: str = '') -> _command.Command:
        """Show histograms by client account, class and VM.

        Example: mustardlb top --account=acme

        Args:
          account: only this client account
        """
        return _command.Command(
            lambda: _fleet_status.show_histograms(self._open, account)
        )

    def explain(self, *logs: str, request: str) -> _command.Command:
        """Show what the nodes' logs say of one request, in order.

        Example: mustardlb explain node-*.log --request=9c41d07be2a35f68

        Args:
          logs: files with what the nodes wrote to standard output
          request: the id of the request
        """
        return _request_log.make_command(logs, str(request))


def main() -> NoReturn:
    """Run the command line of this process and exit."""
    sys.exit(run(sys.argv[1:]))


def run(arguments: list[str]) -> int:
    """Run one command line and return its exit code."""
    # fire would start a pager for help, and a process starts no other.
    fire.core.Display = _display
    output = _wanted_output(arguments)
    if arguments in (['--help'], ['-h'], ['help']):
        # For these fire shows the flags and none of the commands.
        arguments = []
    try:
        found = fire.Fire(
            Commands,
            [_command.as_text(argument) for argument in arguments],
            name='mustardlb',
            serialize=_hide_command,
        )
        if not isinstance(found, _command.Command):
            return _exit.ExitCode.USAGE if arguments else _exit.ExitCode.DONE
        result = trio.run(found._run)
    except SystemExit as end:
        # fire, or the argparse inside it, has told what is wrong.
        return _exit.ExitCode.USAGE if end.code else _exit.ExitCode.DONE
    except _exit.CommandError as error:
        if error.result is not None:
            print(_output.render(error.result, output))
        return _fail(output, error.code, str(error))
    except documents.InvalidDocument as error:
        lines = [str(fault) for fault in error.violations]
        return _fail(output, _exit.ExitCode.INVALID, *lines)
    except changes.Conflict as error:
        return _fail(output, _exit.ExitCode.CONFLICT, *_explain(error))
    except errors.Error as error:
        return _fail(output, _exit.exit_code(error), str(error))
    except BaseException as error:
        if not _exit.is_interrupt(error):
            raise
        return _fail(output, _exit.ExitCode.FAILED, 'interrupted')
    print(_output.render(result, output))
    return _exit.ExitCode.DONE


def _display(lines: abc.Iterable[str], out: TextIO) -> None:
    print('\n'.join(lines), file=out)


def _hide_command(found: object) -> object:
    """Keep fire from printing a command that is yet to run."""
    return None if isinstance(found, _command.Command) else found


def _fail(output: str, code: _exit.ExitCode, *lines: str) -> int:
    if output == 'json':
        shown = {'error': code.name.lower(), 'messages': lines}
        print(json.dumps(shown, indent=2), file=sys.stderr)
        return code
    for line in lines:
        print(f'mustardlb: {line}', file=sys.stderr)
    return code


def _explain(conflict: changes.Conflict) -> list[str]:
    lines = [str(conflict)]
    for one in conflict.differences:
        lines.append(
            f'{one.name}: {one.key}: stored {one.stored or "nothing"}, '
            f'yours {one.wanted or "nothing"}'
        )
    if conflict.revision:
        lines.append(
            'nothing was written; to replace what is stored, repeat the '
            f'command with --based-on={conflict.revision}'
        )
    else:
        lines.append(
            'nothing was written; to create it, repeat the command without '
            '--based-on'
        )
    return lines


def _check_output(output: str) -> None:
    if output not in OUTPUT_FORMS:
        raise _exit.CommandError(
            _exit.ExitCode.USAGE,
            f'--output={output}: must be one of {", ".join(OUTPUT_FORMS)}',
        )


def _wanted_output(arguments: list[str]) -> str:
    """Return the form of errors, also where fire cannot read the line."""
    wants_json = '--output=json' in arguments or (
        '--output' in arguments[:-1]
        and arguments[arguments.index('--output') + 1] == 'json'
    )
    return 'json' if wants_json else 'table'


def _configure_logs(verbose: bool) -> None:
    level = logging.INFO if verbose else logging.ERROR
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
