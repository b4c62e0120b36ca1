"""The demonstration's operator: drives the command line `mustardlb`."""

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


class Operator:
    """Runs commands against one site.

    :ivar keys: every key issued
    """

    def __init__(self, site: local_site.Site) -> None:
        self._site = site
        self.keys: list[str] = []

    def apply_contract(self, account: str, rate: int, burst: int) -> str:
        """Apply a contract; returns what the command printed."""
        text = CONTRACT.format(account=account, rate=rate, burst=burst)
        return self._apply('contract', account, text)

    def apply_engine(self, name: str, url: str) -> str:
        """Apply the target of an engine."""
        text = ENGINE.format(name=name, url=url, slots=local_site.SLOTS)
        return self._apply('target', name, text)

    def apply_service(self, name: str, url: str) -> str:
        """Apply the target of a plain service."""
        return self._apply('target', name, SERVICE.format(name=name, url=url))

    def apply_route(self, name: str, group: str) -> str:
        """Apply a route to a group of plain services."""
        text = ROUTE.format(name=name, group=group)
        return self._apply('route', name, text)

    def issue_key(self, account: str) -> str:
        """Issue a key and return its text."""
        key = json.loads(self.run('key', 'issue', account, '--output=json'))
        self.keys.append(key['key'])
        return key['key']

    def withdraw_key(self, key: str) -> None:
        """Withdraw a key."""
        self.run('key', 'withdraw', key.split('_')[1])

    def drain(self, name: str) -> None:
        """Give a target no new work."""
        self.run('target', 'drain', name)

    def run(self, *words: str) -> str:
        """Run one command. Raises RuntimeError with what it printed."""
        command = [
            sys.executable,
            '-m',
            'mustardlb_cli',
            *words,
            f'--settings={self._site.command_settings}',
        ]
        result = subprocess.run(command, capture_output=True, text=True)
        if result.returncode != 0:
            raise RuntimeError(f'{words}: {result.stdout}{result.stderr}')
        return result.stdout

    def _apply(self, kind: str, name: str, text: str) -> str:
        path = self._site.directory / f'{kind}-{name}.toml'
        path.write_text(text)
        return self.run(kind, 'apply', str(path))
