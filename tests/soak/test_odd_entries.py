"""Real processes while other programs write odd objects into the store."""

import json

import soak
import soak_faults
import soak_nodes
import soak_store
import soak_targets
import trio

# Time within which a configuration is in force, and entries count.
IN_FORCE_SECONDS = 2.0

SECONDS = 20.0

ENTRY = b'{"service": "desk", "state": "ready", "address": "%s", %s}'

ODD_FIELDS = (
    b'"slots": ' + b'7' * 400,
    b'"born": ' + b'7' * 400,
    b'"cold_remaining_ms": ' + b'7' * 400,
    b'"models": [{"name": "m", "version": ' + b'7' * 400 + b'}]',
    b'"models": [{"name": "m", "adapters": ["a@' + b'7' * 4_400 + b'"]}]',
    b'"slots": -1',
    b'"slots": "many"',
    b'"zone": ["a"]',
    b'"slots": 1e400',
    b'"slots": ' + b'7' * 5_000,
    b'"models": ' + b'[' * 100_000 + b']' * 100_000,
    b'"models": ' + b'{"a":' * 50_000 + b'1' + b'}' * 50_000,
    b'"zone": "\xff"',
    b'"zone": "\\ud800"',
)
# The others make a response of the store unreadable as a whole.
READABLE_FIELDS = 9

ODD_ADDRESSES = (
    b'127.0.0.1:99999',
    b'127.0.0.1:' + b'7' * 4_400,
    b':80',
    b'a..b:80',
    b'a\\r\\nx: y:80',
)


class OddEntries(soak.Soak):
    """Writes odd entries instead of injecting faults.

    :ivar late: changes that were not in force in time
    :ivar ended: processes that have ended
    """

    def __init__(self, seed, folder):
        super().__init__(seed, folder, nodes=2)
        self.late = []
        self.ended = ['not checked']
        # No request is sent to this address.
        self.trap = soak_store.HttpStore()

    async def run(self, seconds):
        async with self.trap.server.running():
            return await super().run(seconds)

    async def inject_faults(self, nursery):
        address = b'127.0.0.1:%d' % self.trap.server.port
        entries = [ENTRY % (address, field) for field in ODD_FIELDS]
        entries += [ENTRY % (each, b'"slots": 8') for each in ODD_ADDRESSES]
        for number, entry in enumerate(entries):
            if number == READABLE_FIELDS:
                await self._check_changes()
            self.store.put_raw('servers', f'odd{number}', entry)
        for kind in ('versions', 'engine-leases', 'gateway-vms'):
            self.store.put_raw(kind, 'odd', entries[READABLE_FIELDS])
        await self._check_changes()
        # A process that starts reads them all in its first lists.
        await soak_faults.kill_node(
            self, soak_targets.make_rng(self.seed, 'kill')
        )
        for node in self.nodes:
            await soak_nodes.until_ready(node)
        await self._check_changes()
        self.ended = [
            node.name for node in self.nodes if node.process.poll() is not None
        ]

    async def _check_changes(self):
        """Check that the processes follow configuration and targets."""
        self.operator.write()
        version = self.operator.history[-1].version
        # Gets no requests.
        name = f'draining{version}'
        entry = self.targets[-1].registration('draining')
        self.store.put('servers', name, entry)
        await trio.sleep(IN_FORCE_SECONDS)
        for node in self.nodes:
            events = self._events(node)
            self.late += [
                (node.name, event)
                for event in (
                    ('MLB-6110', 'version', version),
                    ('MLB-6201', 'target', name),
                )
                if event not in events
            ]

    def _events(self, node):
        """Return what a process has logged on configuration and targets."""
        lines = (self._folder / f'{node.name}.log').read_text().splitlines()
        events = [json.loads(line) for line in lines if line.startswith('{')]
        return {
            (event['event'], key, event[key])
            for event in events
            for key in ('version', 'target')
            if event['event'] in ('MLB-6110', 'MLB-6201') and key in event
        }


async def test_processes_serve_and_follow_beside_odd_entries(tmp_path):
    """Guards against an entry that ends all processes, or hides changes."""
    run = OddEntries(1, tmp_path)
    assert await run.run(SECONDS) == []
    assert run.ended == []
    assert run.late == []
    assert run.trap.server.opened == 0
