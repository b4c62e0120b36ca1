"""Faults of the links to the store right before a change, and probes."""

import contextlib
import dataclasses

import h11
import soak_clients
import soak_configuration
import soak_nodes
import soak_store
import soak_targets
import trio

PROBE_INTERVAL_SECONDS = 0.05

# The routes and keys that probes use in turn.
PROBES = (
    ('kept', 'key-1'),
    ('moved', 'key-1'),
    ('added', 'key-1'),
    ('dropped', 'key-1'),
    ('kept', 'key-0'),
    ('kept', 'key-2'),
)

TARGET_IDS = ('desk-0', 'desk-1', 'desk-2', 'shop-0', 'shop-1')
DRAINING_ID = 'desk-1'
REMOVED_ID = 'desk-2'

SERVICES = ({'name': 'desk'}, {'name': 'shop'})
FIRST_ROUTES = {'kept': 'desk', 'moved': 'desk', 'dropped': 'desk'}
NEXT_ROUTES = {'kept': 'desk', 'moved': 'shop', 'added': 'shop'}
FIRST_KEYS = ('key-0', 'key-1')

LOST_WRITE_COUNT = 10
SETTLE_SECONDS = 1.0
JUDGED_SECONDS = 2.0
CUT_SECONDS = 3.0


@dataclasses.dataclass
class Site:
    """A store, nodes and targets that fail no request.

    :ivar healed_at: end of the last fault of the links
    :ivar ended_at: end of the probes, which cuts the last ones off
    """

    store: soak_store.HttpStore
    nodes: list
    targets_by_id: dict
    record: soak_targets.RunRecord
    outcomes: list = dataclasses.field(default_factory=list)
    history: list = dataclasses.field(default_factory=list)
    leavings: list = dataclasses.field(default_factory=list)
    healed_at: float = 0.0
    ended_at: float = 0.0

    def write(self, services_by_route, keys):
        """Write the next version of the configuration."""
        routes_by_name = {
            name: soak_configuration.Route(name, service)
            for name, service in services_by_route.items()
        }
        version = 1 + 2 * len(self.history)
        written = soak_configuration.Configuration(
            version, routes_by_name, SERVICES, keys, trio.current_time()
        )
        self.store.put('config', 'main', written.fields())
        self.history.append(written)

    def change(self):
        """Write the next configuration; one target drains, one is removed."""
        self.write(NEXT_ROUTES, ('key-1', 'key-2'))
        draining = self.targets_by_id[DRAINING_ID].registration('draining')
        self.store.put('servers', DRAINING_ID, draining)
        self.store.remove('servers', REMOVED_ID)
        now = trio.current_time()
        self.leavings = [
            soak_configuration.Leaving(DRAINING_ID, now),
            soak_configuration.Leaving(REMOVED_ID, now),
        ]

    def silence(self):
        """Let the kept connections to the store pass nothing more."""
        for node in self.nodes:
            node.proxy.silence()


async def change_beside_silence(site):
    """Change while the kept connections are silent and new ones work."""
    site.silence()
    site.change()


async def change_within_a_cut(site):
    """Change while the links are cut; the kept connections stay silent."""
    site.silence()
    for node in site.nodes:
        node.proxy.set_mode('stall')
    await trio.sleep(CUT_SECONDS / 2)
    site.change()
    await trio.sleep(CUT_SECONDS / 2)
    for node in site.nodes:
        node.proxy.set_mode('pass')
    site.healed_at = trio.current_time()


async def change_after_a_cut(site):
    """Change soon after a cut; the kept connections stay silent."""
    site.silence()
    for node in site.nodes:
        node.proxy.set_mode('stall')
    await trio.sleep(CUT_SECONDS)
    for node in site.nodes:
        node.proxy.set_mode('pass')
    site.healed_at = trio.current_time()
    await trio.sleep(SETTLE_SECONDS)
    site.silence()
    site.change()


async def change_of_a_restored_store(site):
    """Lose a change with all after a copy, and write it again."""
    saved = site.store.copy()
    _write_unchanged(site)
    await trio.sleep(SETTLE_SECONDS)
    site.change()
    site.store.restore(saved)
    site.change()


async def change_of_a_silent_restored_store(site):
    """Continue from a copy beside silence, and change later."""
    saved = site.store.copy()
    _write_unchanged(site)
    await trio.sleep(SETTLE_SECONDS)
    site.silence()
    site.store.restore(saved)
    await trio.sleep(SETTLE_SECONDS)
    site.change()


async def remove_before_a_restore(site):
    """Remove two targets; continue from a copy that still has them.

    They go on serving and do not write their registrations again.
    """
    saved = site.store.copy()
    await _remove_two(site)
    site.store.restore(saved)
    site.write(NEXT_ROUTES, ('key-1', 'key-2'))


async def restart_before_a_restore(site):
    """As before, but a node starts between the removals and the restore."""
    saved = site.store.copy()
    await _remove_two(site)
    node = site.nodes[0]
    node.kill()
    node.start()
    site.healed_at = trio.current_time()
    await soak_nodes.until_ready(node)
    await trio.sleep(SETTLE_SECONDS)
    site.store.restore(saved)
    site.write(NEXT_ROUTES, ('key-1', 'key-2'))


async def _remove_two(site):
    site.store.remove('servers', REMOVED_ID)
    draining = site.targets_by_id[DRAINING_ID].registration('draining')
    site.store.put('servers', DRAINING_ID, draining)
    site.store.remove('servers', DRAINING_ID)
    now = trio.current_time()
    site.leavings = [
        soak_configuration.Leaving(DRAINING_ID, now),
        soak_configuration.Leaving(REMOVED_ID, now),
    ]
    await trio.sleep(SETTLE_SECONDS)


def _write_unchanged(site):
    for _ in range(LOST_WRITE_COUNT):
        site.write(FIRST_ROUTES, FIRST_KEYS)


async def change_beside_dropped_history(site):
    """Change while the connections are silent; the store drops history."""
    site.silence()
    site.change()
    site.store.drop_history()


CASES_BY_NAME = {
    'silence': change_beside_silence,
    'cut': change_within_a_cut,
    'healed': change_after_a_cut,
    'restored': change_of_a_restored_store,
    'restored_silent': change_of_a_silent_restored_store,
    'history': change_beside_dropped_history,
    'removed_restored': remove_before_a_restore,
    'removed_restarted': restart_before_a_restore,
}


@dataclasses.dataclass(frozen=True)
class Report:
    """The result of one case.

    :ivar in_force_after: seconds from the last change to the last request
        that was handled by an older configuration
    :ivar unserved_count: judged requests with neither a service nor a refusal
    """

    violations: tuple[str, ...]
    in_force_after: float
    request_count: int
    unserved_count: int


async def run_case(name, folder, node_count, root=soak_nodes.ROOT):
    """Run a case with the code in the folder `root`; return its report."""
    async with _running_site(folder, node_count, root) as site:
        async with trio.open_nursery() as nursery:
            for node in site.nodes:
                nursery.start_soon(_probe, site, node)
            await trio.sleep(SETTLE_SECONDS)
            await CASES_BY_NAME[name](site)
            await trio.sleep_until(_judged_from(site) + JUDGED_SECONDS)
            site.ended_at = trio.current_time()
            nursery.cancel_scope.cancel()
        return _report(site)


def _judged_from(site):
    changed_at = site.history[-1].acknowledged_at
    return max(
        changed_at + soak_configuration.IN_FORCE_SECONDS,
        site.healed_at + soak_nodes.STABILITY_SECONDS,
    )


def _report(site):
    judged_from = _judged_from(site)

    def is_judged(outcome, _):
        return outcome.sent_at > judged_from

    arrivals = site.record.arrivals
    found = soak_configuration.evidence(site.outcomes, arrivals)
    newest = site.history[-1]
    stale_at = [
        each.outcome.sent_at
        for each in found
        if each.result
        not in newest.results(each.outcome.kind, each.outcome.key)
    ]
    proved_ids = {each.outcome.request_id for each in found}
    judged = [
        each
        for each in site.outcomes
        if is_judged(each, None) and each.ended_at < site.ended_at
    ]
    unserved = [each for each in judged if each.request_id not in proved_ids]
    violations = [
        *soak_configuration.find_stale(site.history, found, is_judged),
        *soak_configuration.find_regressions(
            site.history, found, lambda node, at: 0
        ),
        *soak_configuration.find_late_arrivals(
            site.leavings, site.outcomes, arrivals, is_judged
        ),
    ]
    for node in site.nodes:
        for route, key in PROBES:
            expected = newest.results(route, key)
            if not any(
                each.outcome.node == node.name
                and (each.outcome.kind, each.outcome.key) == (route, key)
                and each.result in expected
                and is_judged(each.outcome, None)
                for each in found
            ):
                violations.append(
                    f'CONFIG: {node.name} never gave {expected} to /{route}/ '
                    f'{key}'
                )
    return Report(
        tuple(violations),
        max(stale_at) - newest.acknowledged_at,
        len(judged),
        len(unserved),
    )


@contextlib.asynccontextmanager
async def _running_site(folder, node_count, root):
    record = soak_targets.RunRecord()
    targets_by_id = {
        each: soak_targets.Target(
            each, record, False, soak_targets.make_rng(0, each)
        )
        for each in TARGET_IDS
    }
    store = soak_store.HttpStore()
    async with contextlib.AsyncExitStack() as stack:
        await stack.enter_async_context(store.server.running())
        site = Site(store, [], targets_by_id, record)
        for target_id, target in targets_by_id.items():
            target.fault_rate = 0.0
            await stack.enter_async_context(target.server.running())
            store.put('servers', target_id, target.registration())
        site.write(FIRST_ROUTES, FIRST_KEYS)
        for number in range(node_count):
            site.nodes.append(
                await soak_nodes.add(
                    stack, number, store.server.port, folder, root
                )
            )
        for node in site.nodes:
            stack.callback(node.kill)
            node.start()
        for node in site.nodes:
            await soak_nodes.until_ready(node)
        yield site


async def _probe(site, node):
    """Send a request at each interval, on kept connections."""
    idle = []
    started_at = trio.current_time()
    async with trio.open_nursery() as nursery:
        number = 0
        while True:
            route, key = PROBES[number % len(PROBES)]
            outcome = soak_clients.Outcome(
                f'{node.name}-{number}', route, key, node.name, 0.0
            )
            nursery.start_soon(_send, site, node, outcome, idle)
            number += 1
            await trio.sleep_until(
                started_at + number * PROBE_INTERVAL_SECONDS
            )


async def _send(site, node, outcome, idle):
    if idle:
        connection, stream = idle.pop()
    else:
        connection = h11.Connection(h11.CLIENT)
        try:
            stream = await trio.open_tcp_stream(node.host, node.front_port)
        except OSError:
            # The process is being restarted.
            return
    outcome.sent_at = trio.current_time()
    site.outcomes.append(outcome)
    with contextlib.suppress(trio.BrokenResourceError):
        await soak_clients.exchange(connection, stream, outcome)
    if connection.states == {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE}:
        connection.start_next_cycle()
        idle.append((connection, stream))
        return
    await trio.aclose_forcefully(stream)
