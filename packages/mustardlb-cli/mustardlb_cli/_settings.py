"""Commands for settings files."""

import pathlib

from mustardlb import settings
from mustardlb_cli import _command
from mustardlb_cli import _exit
from mustardlb_cli import _output

_LOADERS = {'node': settings.load_node, 'command': settings.load_command}


class SettingsCommands:
    """Settings of a node or of this command line."""

    def check(self, file: str, kind: str = 'node') -> _command.Command:
        """Check a settings file and list all errors.

        Example: mustardlb settings check /etc/mustardlb/node.toml

        Args:
          file: settings file in TOML
          kind: 'node' for mustardlbd, 'command' for this command line
        """
        if kind not in _LOADERS:
            raise _exit.CommandError(
                _exit.ExitCode.USAGE,
                f'--kind={kind}: must be one of {", ".join(_LOADERS)}',
            )

        async def run() -> _output.Result:
            _LOADERS[kind](pathlib.Path(file))
            return {'valid': file, 'kind': kind}

        return _command.Command(run)
