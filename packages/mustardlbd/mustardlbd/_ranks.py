"""The tree along which shared state spreads, computed alike everywhere."""

from collections import abc
import functools
import hashlib

# VMs at the root, which watch the API.
WATCHERS = 3

# VMs of a level for each VM of the level above.
FAN_OUT = 8

# Parents that each VM polls.
PARENTS = 2


@functools.lru_cache(maxsize=8192)
def weight(vm_id: str) -> int:
    """Return the hash by which a VM is ranked and known in messages.

    >>> weight('vm-1') == weight('vm-2')
    False
    """
    digest = hashlib.blake2b(vm_id.encode(), digest_size=8).digest()
    return int.from_bytes(digest, 'big')


def ranked(vm_ids: abc.Iterable[str]) -> list[str]:
    """VMs by rank; a VM that comes or goes does not reorder the others."""
    return sorted(vm_ids, key=weight)


def watchers(vm_ids: abc.Iterable[str]) -> list[str]:
    """Return the VMs at the root."""
    return ranked(vm_ids)[:WATCHERS]


def parents(vm_id: str, vm_ids: abc.Iterable[str]) -> list[str]:
    """Return the VMs that a VM polls, the first one most often.

    Watchers poll each other. The children of a level are dealt out in
    turn, so that no parent has many more than the others.

    >>> parents('vm-1', ['vm-1'])
    []
    """
    order = ranked({vm_id, *vm_ids})
    index = order.index(vm_id)
    if index < WATCHERS:
        peers = order[:WATCHERS]
        return peers[index + 1 :] + peers[:index]
    start, size = 0, WATCHERS
    while index >= start + size + size * FAN_OUT:
        start, size = start + size, size * FAN_OUT
    place = index - start - size
    first = place % size
    second = (first + 1 + place // size) % size
    if second == first:
        second = (first + 1) % size
    return [order[start + first], order[start + second]]
