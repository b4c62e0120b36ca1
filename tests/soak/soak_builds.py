"""A soak in which nodes of an older and of the present build work together.

The nodes start with the older build, are replaced one after the other by the
present one, and back, while they are killed, cut off from the store, and the
configuration changes.
"""

import pathlib
import signal
import subprocess
import sys
import tarfile

import soak
import soak_clients
import soak_configuration
import soak_faults
import soak_nodes
import soak_operator
import soak_targets
import trio

# The last landing, and one that lacks several messages of the present build.
OLDER_BUILDS = ['4d44d9d', 'f60e192']

CAPPED_CLIENTS = 3

# The older builds have faults of their own that these do not bring about.
EVENTS = (
    soak_faults.change_configuration,
    soak_faults.drain_target,
    soak_faults.fail_target,
)


def unpack_build(commit, folder):
    """Return the folder with the code of a commit.

    Raises RuntimeError if the repository lacks the commit.
    """
    check = [
        'git',
        '-C',
        soak_nodes.ROOT,
        'cat-file',
        '-e',
        f'{commit}^{{commit}}',
    ]
    if subprocess.run(check, check=False, capture_output=True).returncode:
        raise RuntimeError(
            f'the repository lacks commit {commit}, as a shallow clone does; '
            'the test needs it for the older build'
        )
    root = pathlib.Path(folder) / commit
    root.mkdir()
    archive = root / 'code.tar'
    command = ['git', '-C', soak_nodes.ROOT, 'archive', '-o', archive, commit]
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
        env={'PYTHONPATH': ':'.join(str(root / p) for p in soak_nodes.PATHS)},
        check=True,
        capture_output=True,
        text=True,
    ).stdout
    if not all(path.startswith(str(root)) for path in found.split()):
        raise RuntimeError(f'the older build is not run: {found}')


class CappedRequests:
    """Draws the requests of the account with a usage cap."""

    def draw_request(self, rng):
        """Return the route and the key of a request."""
        return soak_operator.FIRST_ROUTES[
            0
        ].name, soak_configuration.CAPPED_KEY


class BuildsSoak(soak.Soak):
    """One run with one seed and one older build.

    :ivar replacements: number of nodes replaced so far
    """

    def __init__(self, seed, folder, old_root, nodes=4):
        super().__init__(seed, folder, nodes=nodes, root=old_root)
        self._old_root = old_root
        self.replacements = 0
        self._seconds = 0.0

    async def run(self, seconds):
        """Run for `seconds` and return the violations found."""
        violations = await super().run(seconds)
        served, cap = self.capped_counts()
        if served > cap:
            violations.append(f'{served} were served of at most {cap:.0f}')
        return violations

    async def inject_faults(self, nursery):
        """Replace nodes while some are cut off and much changes."""
        started_at = trio.current_time()
        nursery.start_soon(self._inject, 'events', EVENTS, 0.8)
        nursery.start_soon(self._cut_off_half)
        for number in range(CAPPED_CLIENTS):
            client = soak_clients.Client(
                f's{self.seed}capped{number}',
                self.nodes,
                CappedRequests(),
                soak_targets.make_rng(self.seed, f'capped{number}'),
                self.outcomes,
            )
            nursery.start_soon(client.run)
        try:
            await self._replace_nodes()
        finally:
            self._seconds = trio.current_time() - started_at

    async def _replace_nodes(self):
        """Replace the nodes by the present build, then by the older one."""
        rng = soak_targets.make_rng(self.seed, 'replacements')
        while True:
            for root in (soak_nodes.ROOT, self._old_root):
                for node in self.nodes:
                    await trio.sleep(rng.uniform(0.1, 0.5))
                    await self._replace(node, root)

    async def _replace(self, node, root):
        self.note(f'{node.name} gets the build of {root.name}')
        with soak_faults.restarted(self, node):
            if self.replacements % 2:
                node.signal(signal.SIGTERM)
                with trio.move_on_after(soak_nodes.STOP_GRACE_SECONDS):
                    while node.process.poll() is None:
                        await trio.sleep(0.1)
            node.kill()
            node.root = root
        await soak_nodes.until_ready(node)
        self.replacements += 1

    async def _cut_off_half(self):
        """Cut half of the nodes off from the store, of either build."""
        rng = soak_targets.make_rng(self.seed, 'cuts')
        while True:
            # Nodes are in touch again, and judged, before the next cut.
            await trio.sleep(
                soak_nodes.STABILITY_SECONDS + rng.uniform(1.5, 3.0)
            )
            cut_off = rng.sample(self.nodes, len(self.nodes) // 2)
            mode = rng.choice(['reset', 'stall', 'stall_responses'])
            with soak_faults.faulty(*cut_off):
                for node in cut_off:
                    node.proxy.set_mode(mode)
                try:
                    await trio.sleep(rng.uniform(0.3, 1.5))
                finally:
                    for node in cut_off:
                        node.proxy.set_mode('pass')

    def capped_counts(self):
        """Return the number of served requests with a cap, and that cap."""
        served = sum(
            each.key == soak_configuration.CAPPED_KEY and each.status == 200
            for each in self.outcomes
        )
        seconds = self._seconds
        return served, (
            soak_configuration.CAP_BURST
            + soak_configuration.CAP_PER_SECOND * seconds
        )
