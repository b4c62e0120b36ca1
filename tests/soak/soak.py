"""A randomized soak test that injects faults into real gateway processes.

The store, the targets and the clients run in this process. Each gateway is a
separate process on a loopback address and reaches the store through a proxy.
"""

import contextlib
import itertools

import soak_clients
import soak_configuration
import soak_early
import soak_endless
import soak_faults
import soak_leaving
import soak_nodes
import soak_operator
import soak_store
import soak_targets
import trio

TARGET_COUNTS = {'llm': 3, 'desk': 3, 'shop': 3}

# Faults come in series, between which nodes are in touch again.
MAX_SERIES_SECONDS = 2.0
CALM_SECONDS = soak_nodes.STABILITY_SECONDS + 2.0

# A process that ends by itself is noticed and started again in this time.
SUPERVISION_SECONDS = 0.05


class Soak:
    """One run with one seed.

    `odd_entries` also writes entries of `servers` that no target writes, and
    `leaving` lets targets leave in the ways of `soak_leaving`, and `endless`
    lets them send responses without end. With `early`, targets answer long
    uploads before they have read them. The nodes run the code in the folder
    `root`.

    :ivar judged_count: requests at nodes that were in touch
    :ivar trace: when each fault and event began
    """

    def __init__(
        self,
        seed,
        folder,
        nodes=3,
        clients=10,
        odd_entries=False,
        leaving=False,
        root=soak_nodes.ROOT,
        endless=False,
        early=False,
    ):
        self._endless = endless
        self._early = early
        self.seed = seed
        self._folder = folder
        self._node_count = nodes
        self._client_count = clients
        self._odd_entries = odd_entries
        self._leaving = leaving
        self._root = root
        self.store = soak_store.HttpStore()
        self.operator = soak_operator.Operator(
            self.store, soak_targets.make_rng(seed, 'operator')
        )
        self.record = soak_targets.RunRecord()
        self.targets = [
            soak_targets.Target(
                f'{service}-{number}',
                self.record,
                service == 'llm',
                soak_targets.make_rng(seed, f'{service}{number}'),
            )
            for service, count in TARGET_COUNTS.items()
            for number in range(count)
        ]
        self.nodes = []
        self.outcomes = []
        self.leavings = []
        self.removals = []
        self.trace = []
        self.judged_count = 0
        self._own_ends = []

    async def run(self, seconds):
        """Run for `seconds` and return the violations found."""
        async with contextlib.AsyncExitStack() as stack:
            servers = [self.store.server, *(t.server for t in self.targets)]
            for server in servers:
                await stack.enter_async_context(server.running())
            for number in range(self._node_count):
                self.nodes.append(
                    await soak_nodes.add(
                        stack,
                        number,
                        self.store.server.port,
                        self._folder,
                        self._root,
                    )
                )
            if self._leaving:
                for target in self.targets:
                    target.breaks_off = True
                rng = soak_targets.make_rng(self.seed, 'graces')
                for node in self.nodes:
                    node.stop_grace = rng.choice(
                        soak_leaving.STOP_GRACES_SECONDS
                    )
            self.register_targets()
            self.operator.write()
            for node in self.nodes:
                stack.callback(node.kill)
                node.start()
            await self._run_clients(seconds)
            ended_at = trio.current_time()
        return self._find_violations(ended_at)

    def note(self, text):
        """Add a line to the trace."""
        self.trace.append(f'{trio.current_time():.2f} {text}')

    def draw_node(self, rng):
        """Return a random node and note it in the trace."""
        node = rng.choice(self.nodes)
        self.note(node.name)
        return node

    def register_targets(self):
        """Write the entries of all targets."""
        for target in self.targets:
            self.register(target)

    def restore(self, saved):
        """Continue from a copy; write what the operator and targets wrote."""
        self.store.restore(saved)
        self.operator.write()
        self.register_targets()

    def register(self, target):
        """Write a target's entry, or remove that of a removed one."""
        if target.state == 'gone':
            return
        if target.state == 'removed':
            self.store.remove('servers', target.target_id)
            return
        is_draining = target.state == 'draining'
        fields = target.registration('draining' if is_draining else 'ready')
        self.store.put('servers', target.target_id, fields)

    async def _run_clients(self, seconds):
        async with trio.open_nursery() as nursery:
            for node in self.nodes:
                await soak_nodes.until_ready(node)
            nursery.start_soon(self._supervise)
            for number in range(self._client_count):
                client = soak_clients.Client(
                    f's{self.seed}c{number}',
                    self.nodes,
                    self.operator,
                    soak_targets.make_rng(self.seed, f'client{number}'),
                    self.outcomes,
                    soak_early.UPLOAD_SHARE if self._early else 0.0,
                )
                nursery.start_soon(client.run)
            with trio.move_on_after(seconds):
                await self.inject_faults(nursery)
            nursery.cancel_scope.cancel()

    async def inject_faults(self, nursery):
        """Inject series of faults, and events all the time."""
        events = soak_faults.EVENTS
        if self._odd_entries:
            events += (soak_faults.write_odd_entry,) * 2
        if self._leaving:
            events += soak_leaving.EVENTS
        if self._endless:
            events += soak_endless.EVENTS
        if self._early:
            events += soak_early.EVENTS
        nursery.start_soon(self._inject, 'events', events, 0.8)
        for number in itertools.count():
            await self._inject_series(f'series {number}')
            self.note('calm')
            await trio.sleep(CALM_SECONDS)

    async def _inject_series(self, name):
        """Start overlapping faults, all of which end with the series."""
        rng = soak_targets.make_rng(self.seed, f'length of {name}')
        with trio.move_on_after(rng.uniform(0.5, 1) * MAX_SERIES_SECONDS):
            await self._inject(name, soak_faults.FAULTS, 0.5)

    async def _inject(self, name, kinds, max_interval):
        """Start random kinds at random intervals until cancelled."""
        rng = soak_targets.make_rng(self.seed, name)
        async with trio.open_nursery() as nursery:
            for number in itertools.count():
                await trio.sleep(rng.uniform(0.05, max_interval))
                kind = rng.choice(kinds)
                self.note(kind.__name__)
                # Draws of faults that overlap would depend on their timing.
                own_rng = soak_targets.make_rng(self.seed, f'{name} {number}')
                nursery.start_soon(kind, self, own_rng)

    async def _supervise(self):
        while True:
            for node in self.nodes:
                if not node.stop_count and node.process.poll() is not None:
                    self.note(f'{node.name} ended')
                    self._own_ends.append(
                        f'{node.name} ended by itself with status '
                        f'{node.process.returncode}'
                    )
                    node.start()
            await trio.sleep(SUPERVISION_SECONDS)

    def _find_violations(self, ended_at):
        nodes_by_name = {each.name: each for each in self.nodes}

        def is_in_touch(outcome, until):
            return nodes_by_name[outcome.node].is_in_touch(
                outcome.sent_at, until
            )

        self.judged_count = sum(
            is_in_touch(each, each.sent_at) for each in self.outcomes
        )
        arrivals = self.record.arrivals
        history = self.operator.history
        found = soak_configuration.evidence(self.outcomes, arrivals)
        violations = [
            *self._own_ends,
            *soak_clients.find_violations(self.outcomes, self.record),
            *soak_endless.find_late(
                self.outcomes, soak_clients.TIMEOUT_SECONDS, is_in_touch
            ),
            *soak_configuration.find_stale(history, found, is_in_touch),
            *soak_configuration.find_regressions(
                history,
                found,
                lambda node, at: nodes_by_name[node].incarnation(at),
            ),
            *soak_configuration.find_late_arrivals(
                self.leavings, self.outcomes, arrivals, is_in_touch
            ),
            *soak_leaving.find_arrivals_after_removal(
                self.removals, self.outcomes, arrivals, nodes_by_name
            ),
            *soak_leaving.find_arrivals_after_notice(
                self.record.notices, self.outcomes, arrivals, nodes_by_name
            ),
            *soak_leaving.find_cut_requests(
                self.outcomes, arrivals, nodes_by_name
            ),
            *soak_configuration.find_overdue(
                history, self.outcomes, ended_at, is_in_touch
            ),
            *soak_configuration.find_unserved_routes(
                history,
                self.outcomes,
                [each.name for each in soak_operator.FIRST_ROUTES],
                is_in_touch,
            ),
        ]
        if not any(outcome.status == 200 for outcome in self.outcomes):
            violations.append('no request was served')
        return violations
