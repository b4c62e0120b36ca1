"""A soak in which nodes of an older and of the present build work together.

The nodes start with the older build, are replaced one after the other by the
present one, and back, while they are killed, cut off from the store, and the
configuration changes.
"""

import contextlib
import pathlib
import signal
import subprocess
import sys
import tarfile

import soak
import soak_clients
import soak_targets
import trio

# The last landing, and one that lacks several messages of the present build.
OLDER_BUILDS = ['4d44d9d', 'f60e192']

# Requests a second and burst of the account with a usage cap.
CAP_PER_SECOND = 10.0
CAP_BURST = 10.0
CAPPED_KEY = 'key-capped'
CAPPED_CLIENTS = 3

# Added routes are from none to one less than this.
ADDED_ROUTE_COUNTS = 3

# Clients find an added route, and no dropped one, this long after the store
# has acknowledged the change, at nodes that are in touch with the store.
CHANGE_SECONDS = 2.0


def unpack_build(commit, folder):
    """Return the folder with the code of a commit.

    Raises RuntimeError if the repository lacks the commit.
    """
    check = ['git', '-C', soak.ROOT, 'cat-file', '-e', f'{commit}^{{commit}}']
    if subprocess.run(check, check=False, capture_output=True).returncode:
        raise RuntimeError(
            f'the repository lacks commit {commit}, as a shallow clone does; '
            'the test needs it for the older build'
        )
    root = pathlib.Path(folder) / commit
    root.mkdir()
    archive = root / 'code.tar'
    command = ['git', '-C', soak.ROOT, 'archive', '-o', archive, commit]
    subprocess.run([*command, 'packages', 'platform'], check=True)
    with tarfile.open(archive) as files:
        files.extractall(root, filter='data')
    _check_imports(root)
    return root


def _check_imports(root):
    """Raise RuntimeError if processes would run the code of another folder."""
    code = 'import mustardlb_gateway as g, mustardlb_platform as p, mustardlb'
    found = subprocess.run(
        [
            sys.executable,
            '-c',
            f'{code}; print(g.__file__, p.__file__, mustardlb.__file__)',
        ],
        env={'PYTHONPATH': ':'.join(str(root / p) for p in soak.PATHS)},
        check=True,
        capture_output=True,
        text=True,
    ).stdout
    if not all(path.startswith(str(root)) for path in found.split()):
        raise RuntimeError(f'the older build is not run: {found}')


class BuildsSoak(soak.Soak):
    """One run with one seed and one older build.

    :ivar replacements: number of nodes replaced so far
    """

    def __init__(self, seed, folder, old_root, nodes=4, **options):
        super().__init__(seed, folder, nodes=nodes, **options)
        self._old_root = old_root
        self._violations = []
        self._added_routes = 0
        self._drained = None
        self.replacements = 0
        self._being_replaced = set()
        # Times of the changes, and the number of added routes from then on.
        self._route_changes = []
        self.route_checks = 0
        self._started_at = self._ended_at = 0.0

    async def run(self, seconds):
        """Run for `seconds` and return the violations found."""
        violations = await super().run(seconds)
        return [*violations, *self._violations, *self._find_cap_violations()]

    async def _add_node(self, stack, number):
        await super()._add_node(stack, number)
        self.nodes[-1].root = self._old_root

    def _configuration(self):
        fields = super()._configuration()
        # Clients use the routes named here; the others come and go.
        for number in range(self._added_routes % ADDED_ROUTE_COUNTS):
            fields['routes'].append(
                soak._route(f'extra{number}', 'idempotent', 'desk', 2)
            )
        fields['tenants'].append(
            {
                'name': 'capped',
                'api_keys': [CAPPED_KEY],
                'rate_per_s': CAP_PER_SECOND,
                'burst': CAP_BURST,
            }
        )
        return fields

    async def _inject_faults(self):
        self._started_at = trio.current_time()
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._replace_nodes)
                nursery.start_soon(self._change_routes)
                nursery.start_soon(self._check_routes)
                nursery.start_soon(self._cut_off_half)
                nursery.start_soon(self._drain_targets)
                nursery.start_soon(self._withdraw_keys)
                nursery.start_soon(self._watch_processes)
                for number in range(CAPPED_CLIENTS):
                    client = soak_clients.Client(
                        f's{self.seed}capped{number}',
                        self.nodes,
                        lambda: [CAPPED_KEY],
                        soak_targets.make_rng(self.seed, f'capped{number}'),
                        self.outcomes,
                    )
                    nursery.start_soon(client.run)
        finally:
            self._ended_at = trio.current_time()

    async def _replace_nodes(self):
        """Replace the nodes by the present build, then by the older one."""
        while True:
            for root in (soak.ROOT, self._old_root):
                for node in self.nodes:
                    await trio.sleep(self._rng.uniform(0.1, 0.5))
                    await self._replace(node, root)

    async def _replace(self, node, root):
        is_kill = self.replacements % 2 == 0
        self._being_replaced.add(node.name)
        with self._mark_faulty(node):
            if not is_kill:
                node.signal(signal.SIGTERM)
                with trio.move_on_after(soak.STOP_GRACE_SECONDS):
                    while node.process.poll() is None:
                        await trio.sleep(0.1)
            node.kill()
            node.root = root
            node.start()
            await soak._until_ready(node)
        self._being_replaced.discard(node.name)
        self.replacements += 1

    async def _change_routes(self):
        while True:
            await trio.sleep(self._rng.uniform(0.3, 4.0))
            self._added_routes += 1
            self._write_configuration()
            self._route_changes.append(
                (trio.current_time(), self._added_routes % ADDED_ROUTE_COUNTS)
            )

    async def _check_routes(self):
        """Send requests on routes that come and go."""
        while True:
            await trio.sleep(0.03)
            node = self._rng.choice(self.nodes)
            number = self._rng.randrange(ADDED_ROUTE_COUNTS - 1)
            expected = self._expected_route(node, number)
            if expected is None:
                continue
            status = await self._get(node, f'/extra{number}/x')
            if expected is not self._expected_route(node, number):
                continue
            self.route_checks += 1
            if status and (status != 404) is not expected:
                self._violations.append(
                    f'status {status} at {node.name}, {node.root.name}, of '
                    f'a route that is {"" if expected else "not "}there'
                )

    def _expected_route(self, node, number):
        """Whether a node has to serve a route, None if both are allowed."""
        now = trio.current_time()
        if node.faulty_until + soak.RECOVERY_SECONDS > now:
            return None
        counts = [
            count
            for at, count in self._route_changes
            if at > now - CHANGE_SECONDS
        ]
        before = [
            count
            for at, count in self._route_changes
            if at <= now - CHANGE_SECONDS
        ]
        states = {number < count for count in [*counts, *before[-1:]]}
        return states.pop() if len(states) == 1 and before else None

    async def _get(self, node, path):
        """Return the status of the response, 0 without one."""
        request = (
            f'GET {path} HTTP/1.1\r\nhost: h\r\nconnection: close\r\n'
            f'x-mustardlb-key: {self._keys[0]}\r\n'
            f'x-mustardlb-request-id: route-{self.route_checks}\r\n'
            f'x-mustardlb-deadline-ms: 2000\r\n\r\n'
        )
        with contextlib.suppress(OSError, trio.BrokenResourceError):
            with trio.move_on_after(soak_clients.TIMEOUT_SECONDS):
                stream = await trio.open_tcp_stream(node.host, node.front_port)
                async with stream:
                    await stream.send_all(request.encode())
                    line = await stream.receive_some(100)
                    return int(line.split()[1]) if line else 0
        return 0

    async def _cut_off_half(self):
        """Cut half of the nodes off from the store, of either build."""
        while True:
            await trio.sleep(self._rng.uniform(1.5, 3.0))
            cut_off = self._rng.sample(self.nodes, len(self.nodes) // 2)
            mode = self._rng.choice(['reset', 'stall', 'stall_responses'])
            with self._mark_faulty(*cut_off):
                for node in cut_off:
                    node.proxy.set_mode(mode)
                await trio.sleep(self._rng.uniform(0.3, 1.5))
                for node in cut_off:
                    node.proxy.set_mode('pass')

    async def _drain_targets(self):
        while True:
            await trio.sleep(self._rng.uniform(0.5, 1.5))
            target = self._rng.choice(self.targets)
            service = target.target_id.partition('-')[0]
            for state in ('draining', 'ready'):
                fields = target.registration(service, state)
                self.store.put('servers', target.target_id, fields)
                await trio.sleep(1.0)

    async def _withdraw_keys(self):
        while True:
            await trio.sleep(self._rng.uniform(2.0, 4.0))
            await self._withdraw_key()

    async def _watch_processes(self):
        """Record the processes that end by themselves."""
        while True:
            for node in self.nodes:
                code = node.process.poll()
                if code is not None and node.name not in self._being_replaced:
                    self._violations.append(f'{node.name} ended: {code}')
            await trio.sleep(0.1)

    def capped_counts(self):
        """Return the number of served requests with a cap, and that cap."""
        served = sum(
            each.key == CAPPED_KEY and each.status == 200
            for each in self.outcomes
        )
        seconds = self._ended_at - self._started_at
        return served, CAP_BURST + CAP_PER_SECOND * seconds

    def _find_cap_violations(self):
        served, cap = self.capped_counts()
        if served <= cap:
            return []
        return [f'{served} requests were served of at most {cap:.0f}']
