"""Layout of the replication tree; every node computes the same one."""

from collections import abc
import functools
import hashlib

# VMs at the root, which watch the object API.
WATCHER_COUNT = 3

# VMs of a level for each VM of the level above.
FAN_OUT = 5

# Parents that each VM polls.
PARENT_COUNT = 2


@functools.lru_cache(maxsize=8192)
def vm_hash(vm_id: str) -> int:
    """Return the hash that ranks a VM and identifies it in messages.

    >>> vm_hash('vm-1') == vm_hash('vm-2')
    False
    """
    digest = hashlib.blake2b(vm_id.encode(), digest_size=8).digest()
    return int.from_bytes(digest, 'big')


def rank_vms(vm_ids: abc.Iterable[str]) -> list[str]:
    """Sort VMs by rank; adding or removing one keeps the others' order."""
    return sorted(vm_ids, key=vm_hash)


def parents(order: list[str], index: int) -> list[str]:
    """Return the VMs that the VM of a rank polls, the primary parent first.

    Watchers poll each other. Children are assigned to the parents of the
    level above in round-robin order, which balances the parents' load.

    >>> parents(['a', 'b', 'c', 'd'], 1), parents(['a', 'b', 'c', 'd'], 3)
    (['c', 'a'], ['a', 'b'])
    """
    if index < WATCHER_COUNT:
        peers = order[:WATCHER_COUNT]
        return peers[index + 1 :] + peers[:index]
    level = level_of(index)
    above = order[_start(level - 1) : _start(level)]
    position = index - _start(level)
    first = position % len(above)
    # Children of one primary parent have different secondary parents.
    step = 1 + position // len(above) % (len(above) - 1)
    return [above[first], above[(first + step) % len(above)]]


def level_of(index: int) -> int:
    """Return the level of a rank, 0 for watchers.

    >>> [level_of(index) for index in (0, 2, 3, 17, 18, 92, 93)]
    [0, 0, 1, 1, 2, 2, 3]
    """
    level = 0
    while index >= _start(level + 1):
        level += 1
    return level


def _start(level: int) -> int:
    """Return the rank of the first VM of a level."""
    return WATCHER_COUNT * (FAN_OUT**level - 1) // (FAN_OUT - 1)
