"""Runs the command line `mustardlb` for the demonstration."""

import json
import subprocess
import sys

import local_site

CONTRACT = """\
account = '{account}'
rate = {rate}
burst = {burst}
grants = ['{account}-*@*']
"""

ENGINE = """\
name = '{name}'
kind = 'engine'
url = '{url}'
group = 'draft'
data_centre = 'north'
slots = {slots}
base_model = 'base@1'
checks_fencing = true
"""

SERVICE = """\
name = '{name}'
kind = 'service'
url = '{url}'
group = 'desk'
data_centre = 'north'
"""

ROUTE = """\
name = '{name}'
prefix = '/{name}'
group = '{group}'
"""

# Rate (tokens a second) and burst (tokens) by client account.
Limits = dict[str, tuple[int, int]]


class Operator:
    """Runs operator commands at one site.

    :ivar keys: all issued API keys
    """

    def __init__(self, site: local_site.Site) -> None:
        self._site = site
        self.keys: list[str] = []

    def apply_contracts(self, limits_by_account: Limits) -> str:
        """Apply contracts in one change; returns the output."""
        texts_by_name = {
            account: CONTRACT.format(account=account, rate=rate, burst=burst)
            for account, (rate, burst) in limits_by_account.items()
        }
        return self._apply('contract', texts_by_name)

    def apply_targets(
        self, engines_by_name: dict[str, str], services_by_name: dict[str, str]
    ) -> str:
        """Apply targets, given as URLs by name, in one change."""
        texts_by_name = {
            name: ENGINE.format(
                name=name, url=url, slots=local_site.ADAPTER_SLOTS
            )
            for name, url in engines_by_name.items()
        }
        for name, url in services_by_name.items():
            texts_by_name[name] = SERVICE.format(name=name, url=url)
        return self._apply('target', texts_by_name)

    def apply_route(self, name: str, group: str) -> str:
        """Apply a route to a group of plain services."""
        text = ROUTE.format(name=name, group=group)
        return self._apply('route', {name: text})

    def issue_key(self, account: str) -> str:
        """Issue an API key and return it."""
        key = json.loads(self.run('key', 'issue', account, '--output=json'))
        self.keys.append(key['key'])
        return key['key']

    def withdraw_key(self, key: str, all_respond: bool = True) -> None:
        """Withdraw a key; raises RuntimeError unless the change is accepted.

        :param all_respond: whether every VM can respond and must confirm
        """
        arguments = ('key', 'withdraw', key.split('_')[1])
        if all_respond:
            self.run(*arguments)
            return
        output = self._run(*arguments, '--wait=3').stdout
        if 'accepted: yes' not in output:
            raise RuntimeError(f'{arguments}: {output}')

    def drain(self, name: str) -> None:
        """Drain a target."""
        self.run('target', 'drain', name)

    def run(self, *arguments: str) -> str:
        """Return the output of a command; raises RuntimeError if it fails."""
        result = self._run(*arguments)
        if result.returncode != 0:
            raise RuntimeError(f'{arguments}: {result.stdout}{result.stderr}')
        return result.stdout

    def _run(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        command = [
            sys.executable,
            '-m',
            'mustardlb_cli',
            *arguments,
            f'--settings={self._site.command_settings}',
        ]
        return subprocess.run(command, capture_output=True, text=True)

    def _apply(self, kind: str, texts_by_name: dict[str, str]) -> str:
        paths = []
        for name, text in texts_by_name.items():
            path = self._site.directory / f'{kind}-{name}.toml'
            path.write_text(text)
            paths.append(str(path))
        return self.run(kind, 'apply', *paths)
