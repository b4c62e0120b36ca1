"""The command `mustardlb`: its subcommands and its exit code."""

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
from mustardlb_cli import _key
from mustardlb_cli import _output
from mustardlb_cli import _request_log
from mustardlb_cli import _routing
from mustardlb_cli import _settings
from mustardlb_cli import _site
from mustardlb_cli import _vm_status

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

      --settings=FILE  default: $MUSTARDLB_SETTINGS or ./mustardlb.toml
      --output=FORM    table (the default) or json
      --verbose        log to standard error
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
        self.route = _routing.RouteCommands(self._open)
        self.target = _routing.TargetCommands(self._open)
        self.change = _change.ChangeCommands(self._open)
        self.settings = _settings.SettingsCommands()

    def status(self) -> _command.Command:
        """Show each VM: readiness, active revision, staleness.

        Example: mustardlb status --output=json
        """
        return _command.Command(lambda: _vm_status.show_status(self._open))

    def top(self, account: str = '') -> _command.Command:
        """Show histograms by client account, class and VM.

        Example: mustardlb top --account=acme

        Args:
          account: show only this client account
        """
        return _command.Command(
            lambda: _vm_status.show_histograms(self._open, account)
        )

    def explain(self, *logs: str, request: str) -> _command.Command:
        """Show the log lines of a request, ordered by time.

        Example: mustardlb explain node-*.log --request=9c41d07be2a35f68

        Args:
          logs: files with the standard output of the nodes
          request: id of the request
        """
        return _request_log.make_command(logs, str(request))


def main() -> NoReturn:
    """Run the command line of this process and exit."""
    sys.exit(run(sys.argv[1:]))


def run(arguments: list[str]) -> int:
    """Run one command line and return its exit code."""
    # fire shows help in a pager, but this process must not start others.
    fire.core.Display = _print_lines
    output = _requested_output(arguments)
    if arguments in (['--help'], ['-h'], ['help']):
        # fire would show only the flags for these, without the commands.
        arguments = []
    try:
        command = fire.Fire(
            Commands,
            [_command.quote_argument(argument) for argument in arguments],
            name='mustardlb',
            serialize=_hide_command,
        )
        if not isinstance(command, _command.Command):
            return _exit.ExitCode.USAGE if arguments else _exit.ExitCode.DONE
        result = trio.run(command._run)
    except SystemExit as end:
        # fire, or its argparse, has already printed the error.
        return _exit.ExitCode.USAGE if end.code else _exit.ExitCode.DONE
    except _exit.CommandError as error:
        if error.result is not None:
            print(_output.render(error.result, output))
        return _fail(output, error.code, str(error))
    except documents.InvalidDocument as error:
        lines = [str(violation) for violation in error.violations]
        return _fail(output, _exit.ExitCode.INVALID, *lines)
    except changes.Conflict as error:
        return _fail(
            output, _exit.ExitCode.CONFLICT, *_describe_conflict(error)
        )
    except errors.Error as error:
        return _fail(output, _exit.exit_code(error), str(error))
    except BaseException as error:
        if not _exit.is_interrupt(error):
            raise
        return _fail(output, _exit.ExitCode.FAILED, 'interrupted')
    print(_output.render(result, output))
    return _exit.ExitCode.DONE


def _print_lines(lines: abc.Iterable[str], out: TextIO) -> None:
    print('\n'.join(lines), file=out)


def _hide_command(result: object) -> object:
    """Prevent fire from printing a command that has not run yet."""
    return None if isinstance(result, _command.Command) else result


def _fail(output: str, code: _exit.ExitCode, *lines: str) -> int:
    if output == 'json':
        shown = {'error': code.name.lower(), 'messages': lines}
        print(json.dumps(shown, indent=2), file=sys.stderr)
        return code
    for line in lines:
        print(f'mustardlb: {line}', file=sys.stderr)
    return code


def _describe_conflict(conflict: changes.Conflict) -> list[str]:
    lines = [str(conflict)]
    for difference in conflict.differences:
        lines.append(
            f'{difference.name}: {difference.key}: '
            f'stored {difference.stored or "nothing"}, '
            f'yours {difference.wanted or "nothing"}'
        )
    if conflict.revision:
        lines.append(
            'nothing was written; to replace the stored object, repeat the '
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


def _requested_output(arguments: list[str]) -> str:
    """Return the output format, also if fire cannot parse the line."""
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
