"""Measure how long seven nodes take over faults, in virtual time."""

from collections import abc
import functools
import pathlib
import sys

import trio

TESTS = pathlib.Path(__file__).parent.parent / 'tests' / 'mustardlbd'
sys.path.insert(0, str(TESTS))

import fleet as fleets  # noqa: E402

from mustardlb_standins import faults  # noqa: E402

# How often a condition is looked at, and time to recover, seconds.
LOOK_INTERVAL = 0.01
RECOVERY = 30.0

SIZE = 7
NEWCOMERS = 6


async def until(condition: abc.Callable[[], bool]) -> float:
    """Wait for a condition; returns the seconds it took."""
    start = trio.current_time()
    while not condition():  # noqa: ASYNC110
        await trio.sleep(LOOK_INTERVAL)
    return trio.current_time() - start


def show(what: str, times: list[float]) -> None:
    """Print a row: how often, shortest, longest."""
    print(
        f'| {what} | {len(times)} | {min(times):.2f} | {max(times):.2f} |',
        flush=True,
    )


def owner(fleet: fleets.Fleet) -> str:
    """Return the owner of the first slice, as any node knows it."""
    node = next(iter(fleet.nodes_by_id.values()))
    return node.state.owners().slices[0].vm_id


def refusing(node: fleets.Node) -> bool:
    """Whether a node refuses for want of fresh knowledge."""
    return not node.admits()


def cut_off(fleet: fleets.Fleet, vm_id: str) -> None:
    """Cut a VM off from its peers and from the API."""
    others = [one for one in fleet.nodes_by_id if one != vm_id]
    fleet.network.partition([vm_id], [*others, fleets.API])


async def measure_takeover(
    fleet: fleets.Fleet, fault: abc.Callable[[str], None]
) -> list[float]:
    """Measure until another VM acts for a slice."""
    before = owner(fleet)
    fault(before)
    return [
        await until(
            lambda: any(
                node.state.may_act('accounts', 0)
                for node in fleet.nodes_by_id.values()
                if node.vm_id != before
            )
        )
    ]


async def measure_cut(
    fleet: fleets.Fleet,
) -> tuple[list[float], list[float]]:
    """Measure until a cut-off VM refuses, and once mended admits."""
    refuses, admits = [], []
    for vm_id, node in list(fleet.nodes_by_id.items()):
        cut_off(fleet, vm_id)
        refuses.append(await until(functools.partial(refusing, node)))
        await trio.sleep(RECOVERY)
        fleet.network.mend()
        admits.append(await until(node.admits))
        await trio.sleep(RECOVERY)
    return refuses, admits


async def measure_wake(fleet: fleets.Fleet) -> list[float]:
    """Measure until a paused VM admits again."""
    times = []
    for vm_id, node in list(fleet.nodes_by_id.items()):
        fleet.network.pause(vm_id)
        await trio.sleep(RECOVERY)
        fleet.network.resume(vm_id)
        times.append(await until(node.admits))
        await trio.sleep(RECOVERY)
    return times


async def measure_newcomers(fleet: fleets.Fleet, name: str) -> list[float]:
    """Measure until processes that start admit."""
    times = []
    for number in range(NEWCOMERS):
        node = fleet.start(f'{name}-{number}')
        times.append(await until(node.admits))
        await trio.sleep(RECOVERY)
    return times


async def measure(fleet: fleets.Fleet) -> None:
    """Measure every fault in turn."""
    await trio.sleep(RECOVERY)
    refuses, admits = await measure_cut(fleet)
    show('VM cut off: refuses after', refuses)
    show('VM mended: admits after', admits)
    show('VM paused: admits after waking', await measure_wake(fleet))
    show('VM started: admits after', await measure_newcomers(fleet, 'new'))
    for what, fault in (
        ('owner leaves: another acts after', fleet.vms.leave),
        ('owner dead: another acts after', fleet.kill),
    ):
        show(what, await measure_takeover(fleet, fault))
        await trio.sleep(RECOVERY)
    fleet.api.plan.add('*', faults.Kind.DROP, seconds=1.0, times=None)
    await trio.sleep(RECOVERY)
    show(
        'VM started while the API is down: admits after',
        await measure_newcomers(fleet, 'late'),
    )


if __name__ == '__main__':
    print('| fault | runs | shortest, s | longest, s |')
    fleets.run(measure, SIZE)
