"""Division of a few slots of a target among many nodes without messages."""

# Calls in progress or refused, as a ratio of the slots that are divided, for
# which the shares are set. Nodes cannot learn of a surge before it overruns a
# target, so this applies at any load.
PEAK_DEMAND_RATIO = 3.0


def share(slots: int, ranking: list[str], vm: str, demand: float) -> int:
    """Return how many of the slots a node may use.

    With as many nodes as slots or more, each node has one slot or none. A
    node with an offered load of `demand` calls uses its slot for the part
    demand / (1 + demand) of the time (Erlang's loss formula for one slot), so
    that more nodes than there are slots keep them filled.

    >>> share(7, ['vm1', 'vm2', 'vm3'], 'vm1', 1.0)
    3
    >>> [share(1, ['vm1', 'vm2', 'vm3'], vm, 1.0) for vm in ('vm2', 'vm3')]
    [1, 0]

    :param ranking: all nodes, of which those of a higher rank go first
    :param demand: calls for these slots that one node has at a time at the
        peak
    """
    if slots < len(ranking):
        holders = int(slots * (1 + 1 / max(demand, 1e-6)))
        slots = min(len(ranking), holders)
    equal, rest = divmod(slots, len(ranking))
    return equal + (ranking.index(vm) < rest)
