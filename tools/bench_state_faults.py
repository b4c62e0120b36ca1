"""Measure how long seven nodes need for faults, in virtual time."""

from collections import abc
import functools
import pathlib
import sys

import trio

TESTS = pathlib.Path(__file__).parent.parent / 'tests' / 'mustardlbd'
sys.path.insert(0, str(TESTS))

import fleet as fleets  # noqa: E402

from mustardlb_standins import faults  # noqa: E402

# Resolution of the measured times.
POLL_INTERVAL_SECONDS = 0.01

RECOVERY_SECONDS = 30.0

NODE_COUNT = 7
NEW_NODE_COUNT = 6


async def wait_until(condition: abc.Callable[[], bool]) -> float:
    """Wait until the condition holds and return the seconds it took."""
    start = trio.current_time()
    while not condition():  # noqa: ASYNC110
        await trio.sleep(POLL_INTERVAL_SECONDS)
    return trio.current_time() - start


def show(label: str, times: list[float]) -> None:
    """Print a table row with count, minimum and maximum."""
    print(
        f'| {label} | {len(times)} | {min(times):.2f} | {max(times):.2f} |',
        flush=True,
    )


def find_owner(fleet: fleets.Fleet) -> str:
    """Return the owner of the first slice in the owner table of a node."""
    node = next(iter(fleet.nodes_by_id.values()))
    return node.state.owners().slices[0].vm_id


def rejects_requests(node: fleets.Node) -> bool:
    """Return whether a node rejects requests because its state is stale."""
    return not node.admits()


def isolate(fleet: fleets.Fleet, vm_id: str) -> None:
    """Partition a VM from its peers and from the API."""
    others = [other for other in fleet.nodes_by_id if other != vm_id]
    fleet.network.partition([vm_id], [*others, fleets.API])


async def measure_takeover(
    fleet: fleets.Fleet, fault: abc.Callable[[str], None]
) -> list[float]:
    """Return the seconds until another VM may act for the slice."""
    before = find_owner(fleet)
    fault(before)
    return [
        await wait_until(
            lambda: any(
                node.state.may_act('accounts', 0)
                for node in fleet.nodes_by_id.values()
                if node.vm_id != before
            )
        )
    ]


async def measure_isolation(
    fleet: fleets.Fleet,
) -> tuple[list[float], list[float]]:
    """Return seconds until isolated VMs reject and reconnected ones admit."""
    rejects, admits = [], []
    for vm_id, node in list(fleet.nodes_by_id.items()):
        isolate(fleet, vm_id)
        rejects.append(
            await wait_until(functools.partial(rejects_requests, node))
        )
        await trio.sleep(RECOVERY_SECONDS)
        fleet.network.mend()
        admits.append(await wait_until(node.admits))
        await trio.sleep(RECOVERY_SECONDS)
    return rejects, admits


async def measure_resume(fleet: fleets.Fleet) -> list[float]:
    """Return the seconds until resumed VMs admit requests."""
    times = []
    for vm_id, node in list(fleet.nodes_by_id.items()):
        fleet.network.pause(vm_id)
        await trio.sleep(RECOVERY_SECONDS)
        fleet.network.resume(vm_id)
        times.append(await wait_until(node.admits))
        await trio.sleep(RECOVERY_SECONDS)
    return times


async def measure_new_nodes(fleet: fleets.Fleet, name: str) -> list[float]:
    """Return the seconds until started nodes admit requests."""
    times = []
    for number in range(NEW_NODE_COUNT):
        node = fleet.start(f'{name}-{number}')
        times.append(await wait_until(node.admits))
        await trio.sleep(RECOVERY_SECONDS)
    return times


async def measure(fleet: fleets.Fleet) -> None:
    """Measure one fault after another."""
    await trio.sleep(RECOVERY_SECONDS)
    rejects, admits = await measure_isolation(fleet)
    show('VM isolated: rejects after', rejects)
    show('VM reconnected: admits after', admits)
    show('VM paused: admits after resuming', await measure_resume(fleet))
    show('VM started: admits after', await measure_new_nodes(fleet, 'new'))
    for label, fault in (
        ('owner leaves: another acts after', fleet.vms.leave),
        ('owner dead: another acts after', fleet.kill),
    ):
        show(label, await measure_takeover(fleet, fault))
        await trio.sleep(RECOVERY_SECONDS)
    fleet.api.plan.add('*', faults.Kind.DROP, seconds=1.0, times=None)
    await trio.sleep(RECOVERY_SECONDS)
    show(
        'VM started while the API is down: admits after',
        await measure_new_nodes(fleet, 'late'),
    )


if __name__ == '__main__':
    print('| fault | runs | shortest, s | longest, s |')
    fleets.run(measure, NODE_COUNT)
