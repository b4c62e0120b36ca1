"""The command line over HTTP, against the simulated platform."""

import contextlib
import dataclasses
import json
import signal
import subprocess
import sys

from fire.console import console_io
import hypothesis
from hypothesis import strategies as st
import pytest
import quart
import quart_trio
import trio

from mustardlb import configuration
from mustardlb import keys
from mustardlb import stored_configuration
from mustardlb import vm_list
from mustardlb_cli import _acceptance
from mustardlb_cli import _exit
from mustardlb_cli import _main
from mustardlb_standins import faults
from mustardlb_standins import object_api as api_standin
from mustardlb_standins import vm_list as vm_list_standin
from mustardlb_standins import web

# A read of the head starts with a conditional put, so faults of this step
# count reads as well.
HEAD_PUT = f'put:{configuration.HEAD_NAME}'
ACME = """
account = 'acme'
rate = 100
burst = 200
grants = ['draft@*']
"""
ENGINE = """
name = 'engine-1'
kind = 'engine'
url = 'http://127.0.0.1:9'
group = 'canopy'
data_centre = 'dc-1'
slots = 4
base_model = 'canopy'
"""
# Response delay of a paused node, longer than any command waits.
PAUSE_SECONDS = 60.0

LEDGER = """
name = 'ledger'
prefix = '/ledger'
group = 'ledger'
"""


@dataclasses.dataclass
class FakeNode:
    """The admin port of a simulated node.

    :ivar unavailable: responds with status 503
    :ivar paused: responds after PAUSE_SECONDS
    :ivar stuck: never applies a change
    :ivar restarts: restarts before each response
    """

    api: api_standin.MemoryObjectApi
    vm_id: str
    unavailable: bool = False
    paused: bool = False
    stuck: bool = False
    restarts: bool = False
    incarnation: int = 1
    max_wait: float = 0.0
    status_requested: trio.Event = dataclasses.field(
        default_factory=trio.Event
    )

    def revision(self):
        found = self.api.peek(configuration.HEAD_NAME)
        if self.stuck or not found.version:
            return 0
        return configuration.decode_head(found.value).revision

    def build(self):
        app = quart_trio.QuartTrio(self.vm_id)

        @app.get('/v1/status')
        async def status():
            self.status_requested.set()
            wait = float(quart.request.args['wait'])
            self.max_wait = max(wait, self.max_wait)
            if self.paused:
                await trio.sleep(PAUSE_SECONDS)
            if self.unavailable:
                return '', 503
            wanted = int(quart.request.args['revision'])
            if self.revision() < wanted:
                await trio.sleep(wait)
            self.incarnation += self.restarts
            return {
                'vm_id': self.vm_id,
                'incarnation': self.incarnation,
                'revision': self.revision(),
                'age': 0.1,
                'ready': True,
                'more': 'ignored',
            }

        @app.get('/v1/histograms')
        async def histograms():
            row = {'account': 'acme', 'traffic_class': 'standard', 'p99': 1.5}
            return {'histograms': [row]}

        return app


@dataclasses.dataclass
class LocalSite:
    """A site in this process, and its command line."""

    api: api_standin.MemoryObjectApi
    vms: vm_list_standin.MemoryVmList
    nodes: list[FakeNode]
    directory: object
    capsys: object

    async def run(self, *arguments, code=0):
        """Run a command line and return its JSON result."""
        flags = ['--output', 'json', f'--settings={self.directory}/cli.toml']
        found = await trio.to_thread.run_sync(_main.run, [*arguments, *flags])
        self.out, self.err = self.capsys.readouterr()
        assert found == code, (found, self.out, self.err)
        return json.loads(self.out) if self.out[:1] == '{' else None

    def file(self, text, name='file.toml'):
        path = self.directory / name
        path.write_text(text)
        return str(path)

    def set_wait(self, seconds=1.5):
        """Set the time that commands wait for a change."""
        path = self.directory / 'cli.toml'
        path.write_text(path.read_text().replace('20.0', str(seconds)))

    def head(self):
        found = self.api.peek(configuration.HEAD_NAME)
        if not found.version:
            return configuration.Head()
        return configuration.decode_head(found.value)


@pytest.fixture
async def site(tmp_path, capsys, monkeypatch):
    # Requests to lagging VMs wait only briefly, to keep the tests short.
    monkeypatch.setattr(_acceptance, 'MAX_LONG_POLL_SECONDS', 0.1)
    api = api_standin.MemoryObjectApi()
    listing = vm_list_standin.MemoryVmList()
    nodes = [FakeNode(api, f'vm-{number}') for number in (1, 2, 3)]
    async with contextlib.AsyncExitStack() as stack:
        addresses = [
            await stack.enter_async_context(web.serving(app))
            for app in (
                api_standin.build(api),
                vm_list_standin.build(listing),
                *(node.build() for node in nodes),
            )
        ]
        addresses = [a.removeprefix('http://') for a in addresses]
        listing.set_vms(
            *(
                vm_list.Vm(node.vm_id, '127.0.0.1', 1, port, 'dc-1')
                for node, port in zip(
                    nodes,
                    [int(a.rpartition(':')[2]) for a in addresses[2:]],
                    strict=True,
                )
            )
        )
        (tmp_path / 'cli.toml').write_text(
            'insecure = true\nwait = 20.0\n'
            f"[object_api]\nurl = 'http://{addresses[0]}'\n"
            f"[vm_list]\nurl = 'http://{addresses[1]}'\n"
        )
        yield LocalSite(api, listing, nodes, tmp_path, capsys)


async def test_commands_on_all_kinds_of_objects(site):
    acme = site.file(ACME)
    found = await site.run('contract', 'apply', acme)
    assert (found['changed'], found['revision']) == (True, 1)
    assert found['accepted'] is True
    assert (found['held_by'], found['in_force']) == ('3 of 3', '3 of 3')
    assert (await site.run('contract', 'apply', acme))['changed'] is False

    issued = await site.run('key', 'issue', 'acme')
    listed = (await site.run('key', 'list'))['keys']
    assert [key['key_id'] for key in listed] == [issued['key_id']]
    stored = await stored_keys(site)
    assert keys.authenticate(issued['key'], stored).account == 'acme'

    await site.run('key', 'withdraw', issued['key_id'])
    with pytest.raises(Exception, match='withdrawn'):
        keys.authenticate(issued['key'], await stored_keys(site))
    await site.run('key', 'issue', 'nobody', code=_exit.ExitCode.NOT_FOUND)

    engine = site.file(ENGINE, 'engine.toml')
    await site.run('target', 'apply', engine)
    await site.run('target', 'drain', 'engine-1')
    assert await target_state(site) == 'drain'
    await site.run('target', 'drain', 'engine-1', '--undo')
    assert await target_state(site) == 'serve'
    await site.run('route', 'apply', site.file(LEDGER, 'ledger.toml'))
    assert len((await site.run('route', 'list'))['routes']) == 1

    shown = await site.run('contract', 'show', 'acme')
    assert shown['contract']['rate'] == 100
    await site.run('contract', 'withdraw', 'acme')
    assert (await site.run('contract', 'list'))['contracts'] == []
    not_found = _exit.ExitCode.NOT_FOUND
    await site.run('contract', 'withdraw', 'acme', code=not_found)
    status = await site.run('status')
    assert status['answering'] == '3 of 3'
    assert status['stored_revision'] == site.head().revision == 8
    assert {vm['revision'] for vm in status['vms']} == {8}
    assert len((await site.run('top'))['histograms']) == 3


async def stored_keys(site):
    value = await stored_configuration.read_object(
        site.api, site.head(), 'keys/acme'
    )
    return {record.key_id: record for record in keys.decode(value)}


async def target_state(site):
    return (await site.run('target', 'list'))['targets'][0]['state']


async def test_the_secret_of_a_key_is_shown_once_and_stored_nowhere(site):
    await site.run('contract', 'apply', site.file(ACME))
    issued = await site.run('key', 'issue', 'acme')
    secret = issued['key'].split('_', 2)[2]
    values = [site.api.peek(name).value for name in site.api._histories]
    assert values
    assert not any(secret.encode() in value for value in values)
    await site.run('key', 'list', '--verbose')
    assert secret not in site.out + site.err


async def test_the_loser_of_a_race_sees_what_differs(site):
    await site.run('contract', 'apply', site.file(ACME))
    mine = site.file(ACME.replace('100', '150'))
    conflict = _exit.ExitCode.CONFLICT
    await site.run('contract', 'apply', mine, code=conflict)
    assert 'rate: stored 100, yours 150' in site.err
    assert site.head().revision == 1
    await site.run('contract', 'apply', mine, '--based-on=1')
    theirs = site.file(ACME.replace('100', '170'))
    await site.run('contract', 'apply', theirs, '--based-on=1', code=conflict)
    assert 'rate: stored 150, yours 170' in site.err
    withdraw = ('contract', 'withdraw', 'acme', '--based-on=1')
    await site.run(*withdraw, code=conflict)
    assert site.head().revision == 2


@pytest.mark.parametrize(
    'arguments',
    [
        ('--based-no=3',),
        ('--wait=soon',),
        ('--based-on=-1',),
        ('--wait',),
        ('--based-on',),
    ],
)
async def test_invalid_command_line_changes_nothing(site, arguments):
    apply = ('contract', 'apply', site.file(ACME))
    with contextlib.suppress(SystemExit):
        await trio.to_thread.run_sync(
            _main.run,
            [f'--settings={site.directory}/cli.toml', *apply, *arguments],
        )
    assert site.head().revision == 0


@pytest.mark.parametrize(
    'line', ['', '--help', 'contract', 'contract --help', 'key issue --help']
)
def test_help_is_printed_and_starts_no_pager(monkeypatch, capsys, line):
    monkeypatch.setattr(console_io, 'IsInteractive', lambda **_: True)
    monkeypatch.setattr(subprocess, 'Popen', None)
    _main.run(line.split())
    shown = ''.join(capsys.readouterr())
    assert 'SYNOPSIS' in shown
    assert 'FIRE' not in shown


WORDS = st.sampled_from(
    [
        'contract',
        'key',
        'route',
        'target',
        'change',
        'settings',
        'status',
        'top',
        'apply',
        'list',
        'show',
        'export',
        'withdraw',
        'issue',
        'drain',
        'settle',
        'check',
        'validate',
        '--based-on',
        '--based-on=3',
        '--wait',
        '--wait=0',
        '--wait=x',
        '--nowait',
        '--output',
        '--output=json',
        '--undo',
        '--verbose',
        '--account',
        '--account=1',
        '12e4',
        '[1,2]',
        '{',
        '-',
        '--',
        '-h',
        '--help',
        'a=b',
        '--=',
        '-x',
        '_run',
        'None',
        'True',
        '0',
        '--kind',
        '--kind=x',
        '--trace',
    ]
)


@hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=300
)
@hypothesis.example(['contract', 'settle', '--', '--=', '--kind=x'])
@hypothesis.given(st.lists(WORDS | st.text(max_size=3), max_size=7))
def test_any_line_ends_with_a_documented_code(words):
    # No site is named, so no command gets further than its settings.
    code = _main.run([*words, '--settings=/nowhere/mustardlb.toml'])
    assert code in (
        _exit.ExitCode.DONE,
        _exit.ExitCode.USAGE,
        _exit.ExitCode.INVALID,
    )


async def test_violations_in_all_files_are_listed(site):
    one = site.file(ACME.replace('100', '0'), 'one.toml')
    two = site.file(ACME + 'burts = 5', 'two.toml')
    apply = ('contract', 'apply', one, two)
    await site.run(*apply, code=_exit.ExitCode.INVALID)
    messages = json.loads(site.err)['messages']
    assert messages[0].startswith(f'{one}: rate = 0: ')
    assert messages[1].startswith(f'{two}: burts = 5: ')
    assert site.head().revision == 0


async def test_first_round_does_not_long_poll(site):
    # A node that holds the revision would still wait until it has confirmed
    # its acceptance, which delays the command.
    await site.run('contract', 'apply', site.file(ACME))
    assert {node.max_wait for node in site.nodes} == {0.0}


async def test_lagging_vm_is_listed(site):
    site.set_wait()
    site.nodes[2].stuck = True
    apply = ('contract', 'apply', site.file(ACME))
    found = await site.run(*apply, code=_exit.ExitCode.LAGGING)
    assert found['accepted'] is True
    assert (found['held_by'], found['in_force']) == ('2 of 3', '2 of 3')
    assert [vm['vm_id'] for vm in found['lagging']] == ['vm-3']


async def test_paused_vm_does_not_delay_acceptance(site):
    site.set_wait(3.5)
    site.nodes[2].paused = True
    apply = ('contract', 'apply', site.file(ACME))
    found = await site.run(*apply, code=_exit.ExitCode.LAGGING)
    assert found['accepted'] is True
    assert [vm['reason'] for vm in found['lagging']] == ['no response in time']


async def test_change_without_a_majority_is_not_accepted(site):
    site.set_wait()
    site.nodes[1].stuck = True
    site.nodes[2].unavailable = True
    code = _exit.ExitCode.NOT_ACCEPTED
    apply = ('contract', 'apply', site.file(ACME))
    found = await site.run(*apply, code=code)
    assert found['accepted'] is False
    assert found['held_by'] == '1 of 3'
    reasons = {vm['vm_id']: vm['reason'] for vm in found['lagging']}
    assert reasons == {'vm-2': 'has an older revision', 'vm-3': 'status 503'}


async def test_vms_that_restart_are_no_majority(site):
    site.set_wait()
    # Each VM holds the revision in both rounds, but it may have lost it in
    # between, so no majority is proven to hold it at the same time.
    for node in site.nodes[:2]:
        node.restarts = True
    code = _exit.ExitCode.NOT_ACCEPTED
    apply = ('contract', 'apply', site.file(ACME))
    assert (await site.run(*apply, code=code))['accepted'] is False


async def test_another_vm_at_an_address_does_not_count(site):
    site.set_wait()
    for node in site.nodes[:2]:
        node.vm_id += '-new'
    code = _exit.ExitCode.NOT_ACCEPTED
    apply = ('contract', 'apply', site.file(ACME))
    found = await site.run(*apply, code=code)
    assert 'vm-1-new responds' in found['lagging'][0]['reason']


async def test_a_leaving_vm_counts_for_the_majority_only(site):
    *staying, leaving = site.vms.vms
    leaving = dataclasses.replace(leaving, state=vm_list.VmState.LEAVING)
    site.vms.set_vms(*staying, leaving)
    site.nodes[2].unavailable = True
    found = await site.run('contract', 'apply', site.file(ACME))
    assert (found['held_by'], found['in_force']) == ('2 of 3', '2 of 2')


async def test_command_resolves_a_lost_response(site):
    site.api.plan.add(HEAD_PUT, faults.Kind.RESPONSE_LOST, skip=1)
    found = await site.run('contract', 'apply', site.file(ACME))
    assert found['revision'] == site.head().revision == 1


@pytest.mark.parametrize(
    ('kind', 'code'),
    [
        (faults.Kind.RESPONSE_LOST, _exit.ExitCode.DONE),
        (faults.Kind.DROP, _exit.ExitCode.NOT_LANDED),
    ],
)
async def test_settle_resolves_a_change_of_unknown_outcome(site, kind, code):
    site.set_wait()
    # The object API does not respond to the write and to later requests.
    site.api.plan.add(HEAD_PUT, kind, skip=1)
    site.api.plan.add(HEAD_PUT, faults.Kind.DROP, skip=2, times=None)
    apply = ('contract', 'apply', site.file(ACME))
    await site.run(*apply, code=_exit.ExitCode.UNKNOWN)
    message = json.loads(site.err)['messages'][0]
    assert 'mustardlb change settle r1-' in message
    site.api.plan.reset()
    found = await site.run(*message.split()[-3:], code=code)
    assert found['landed'] == ('acme' in str(site.head().entries))


async def test_outage_before_the_write_stores_nothing(site):
    site.set_wait()
    site.api.plan.add('*', faults.Kind.UNAVAILABLE, times=None)
    apply = ('contract', 'apply', site.file(ACME))
    await site.run(*apply, code=_exit.ExitCode.UNAVAILABLE)
    assert 'not stored and cannot take effect later' in site.err


async def test_outage_during_settle_leaves_the_outcome_unknown(site):
    site.set_wait()
    site.api.plan.add('*', faults.Kind.UNAVAILABLE, times=None)
    settle = ('change', 'settle', 'r1-0123456789abcdef')
    await site.run(*settle, code=_exit.ExitCode.UNKNOWN)


@pytest.mark.parametrize(
    ('rounds', 'code'),
    [(1, _exit.ExitCode.NOT_ACCEPTED), (2, _exit.ExitCode.LAGGING)],
)
async def test_missing_vm_list_does_not_count_as_active(site, rounds, code):
    site.set_wait()
    site.nodes[2].stuck = True
    kind = faults.Kind.UNAVAILABLE
    site.vms.plan.add('list_vms', kind, skip=rounds, times=None)
    apply = ('contract', 'apply', site.file(ACME))
    found = await site.run(*apply, code=code)
    assert found['in_force'] == '2 of 3'
    site.vms.plan.reset()
    site.vms.set_vms()
    apply = (*apply, '--wait=0.5')
    found = await site.run(*apply, code=_exit.ExitCode.NOT_ACCEPTED)
    assert found['in_force'] == '0 of 0'


async def test_interrupted_wait_reports_the_stored_revision(site):
    site.nodes[2].stuck = True
    command = [sys.executable, '-m', 'mustardlb_cli', 'contract', 'apply']
    flags = ['--wait=60', f'--settings={site.directory}/cli.toml']
    process = await trio.lowlevel.open_process(
        [*command, site.file(ACME), *flags],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.PIPE,
    )
    await site.nodes[2].status_requested.wait()
    process.send_signal(signal.SIGINT)
    message = await process.stderr.receive_some()
    assert await process.wait() == _exit.ExitCode.NOT_ACCEPTED
    assert b'revision 1 is stored' in message


async def test_exported_contract_equals_the_stored_one(site):
    await site.run('contract', 'apply', site.file(ACME))
    await site.run('contract', 'export', 'acme')
    exported = site.file(site.out, 'exported.toml')
    found = await site.run('contract', 'apply', exported)
    assert found['changed'] is False


async def test_key_is_shown_if_its_outcome_is_unknown(site):
    await site.run('contract', 'apply', site.file(ACME))
    site.set_wait()
    # Two reads of the head precede the write.
    site.api.plan.add(HEAD_PUT, faults.Kind.RESPONSE_LOST, skip=2)
    site.api.plan.add(HEAD_PUT, faults.Kind.DROP, skip=3, times=None)
    issue = ('key', 'issue', 'acme')
    issued = await site.run(*issue, code=_exit.ExitCode.UNKNOWN)
    site.api.plan.reset()
    stored = await stored_keys(site)
    assert keys.authenticate(issued['key'], stored).account == 'acme'
