"""The aggregated state of a data centre's nodes, and its changes."""

from collections import abc
import dataclasses
import math
from typing import TypeVar

from mustardlb_gateway import domain

_Key = TypeVar('_Key')
_Value = TypeVar('_Value')


@dataclasses.dataclass(frozen=True, slots=True)
class Vm:
    """A node of the fleet and its address for other nodes.

    :ivar vm: name of the node
    :ivar capacity: capacity of its network link, Mbit/s
    """

    vm: str
    host: str
    port: int
    data_centre: str
    capacity: float


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A live node; the incarnation differs after a restart.

    :ivar can_claim: whether the store answers it, so that it can claim leases
    :ivar is_cut_off: whether it reaches no target, so that it cannot relay
    """

    vm: Vm
    incarnation: int
    can_claim: bool = True
    is_cut_off: bool = False


# Factor between the slowdowns that nodes tell each other, so that small
# changes are not told.
TOLD_STEP = 1.1

# Size of a window that is no limit any more.
UNLIMITED_WINDOW = 65_535


@dataclasses.dataclass(frozen=True, slots=True)
class Window:
    """Requests that all nodes may have in flight at a target that warms up.

    :ivar incarnation: of the target
    """

    size: int
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Requests in flight at a target, and their pending prefill tokens.

    :ivar slowdown: that the target has reported lately, in percent, 0 if it
        reports none
    :ivar window: as told by the target's owner
    """

    running: int
    unread_tokens: int
    slowdown: int = 0
    window: Window | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Holding:
    """A target that a node controls under a lease.

    :ivar fence: fencing token, grows with each controller of the target
    :ivar incarnation: incarnation of the target
    :ivar is_acting: whether the node sends commands yet
    :ivar resident: version of each loaded adapter
    :ivar room: free adapter slots less the pending load requests
    """

    target_id: str
    fence: int
    incarnation: int
    is_acting: bool
    resident: dict[domain.AdapterName, int]
    room: int


# Name of the node and id of the target.
HoldingKey = tuple[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class CentreState:
    """The nodes of a data centre, aggregated by one of its hubs.

    :ivar lost_count: nodes that stopped recently or cannot be reached
    :ivar is_watching: whether any node has a working watch of the store
    :ivar admitted: cost admitted since the hub started, by account
    :ivar loads: load of each target
    :ivar adapters_in_use: adapters in use at each target that the subscriber
        controls
    """

    members: dict[str, Member] = dataclasses.field(default_factory=dict)
    lost_count: int = 0
    is_watching: bool = False
    admitted: dict[str, float] = dataclasses.field(default_factory=dict)
    loads: dict[str, Load] = dataclasses.field(default_factory=dict)
    adapters_in_use: dict[str, frozenset[domain.AdapterName]] = (
        dataclasses.field(default_factory=dict)
    )
    holdings: dict[HoldingKey, Holding] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True, slots=True)
class CentreDelta:
    """The difference between two states of a data centre.

    Removed loads are given as NO_LOAD, and removed entries of
    `adapters_in_use` as empty sets.
    """

    data_centre: str
    lost_count: int
    is_watching: bool
    members: tuple[Member, ...] = ()
    removed_members: tuple[str, ...] = ()
    admitted: dict[str, float] = dataclasses.field(default_factory=dict)
    loads: dict[str, Load] = dataclasses.field(default_factory=dict)
    adapters_in_use: dict[str, frozenset[domain.AdapterName]] = (
        dataclasses.field(default_factory=dict)
    )
    holdings: dict[HoldingKey, Holding] = dataclasses.field(
        default_factory=dict
    )
    removed_holdings: tuple[HoldingKey, ...] = ()


NO_LOAD = Load(0, 0)
_NO_ADAPTERS: frozenset[domain.AdapterName] = frozenset()


def _changed(
    old: abc.Mapping[_Key, _Value], new: abc.Mapping[_Key, _Value]
) -> dict[_Key, _Value]:
    if old == new:
        # Unchanged values are mostly the same objects, which compare fast.
        return {}
    return {key: new[key] for key in new if old.get(key) != new[key]}


def _removed(
    old: abc.Mapping[_Key, _Value], new: abc.Mapping[_Key, _Value]
) -> tuple[_Key, ...]:
    return tuple(old.keys() - new.keys())


def diff(
    data_centre: str, old: CentreState, new: CentreState
) -> CentreDelta | None:
    """Return the difference, None if the states are equal.

    >>> old = CentreState(loads={'t1': Load(2, 0), 't2': Load(1, 5)})
    >>> new = CentreState(loads={'t1': Load(3, 0)})
    >>> delta = diff('a', old, new)
    >>> delta.loads
    {'t1': Load(running=3, unread_tokens=0, slowdown=0, \
window=None), 't2': Load(running=0, unread_tokens=0, slowdown=0, window=None)}
    >>> apply(old, delta) == new
    True
    """
    if old == new:
        return None
    return CentreDelta(
        data_centre,
        new.lost_count,
        new.is_watching,
        tuple(_changed(old.members, new.members).values()),
        _removed(old.members, new.members),
        _changed(old.admitted, new.admitted),
        _changed(old.loads, new.loads)
        | dict.fromkeys(_removed(old.loads, new.loads), NO_LOAD),
        _changed(old.adapters_in_use, new.adapters_in_use)
        | dict.fromkeys(
            _removed(old.adapters_in_use, new.adapters_in_use), _NO_ADAPTERS
        ),
        _changed(old.holdings, new.holdings),
        _removed(old.holdings, new.holdings),
    )


def apply(centre: CentreState, delta: CentreDelta) -> CentreState:
    """Return a state after a change."""
    members = centre.members | {each.vm.vm: each for each in delta.members}
    for vm in delta.removed_members:
        members.pop(vm, None)
    holdings = centre.holdings | delta.holdings
    for key in delta.removed_holdings:
        holdings.pop(key, None)
    loads = centre.loads | delta.loads
    adapters_in_use = centre.adapters_in_use | delta.adapters_in_use
    return CentreState(
        members,
        delta.lost_count,
        delta.is_watching,
        centre.admitted | delta.admitted,
        {key: load for key, load in loads.items() if load != NO_LOAD},
        {
            key: adapters
            for key, adapters in adapters_in_use.items()
            if adapters
        },
        holdings,
    )


def told_percent(slowdown: float) -> int:
    """Return a slowdown as nodes tell it, in percent.

    >>> told_percent(1.0), told_percent(1.04), told_percent(4.0)
    (100, 100, 418)
    """
    return max(1, round(100 * TOLD_STEP ** told_steps(slowdown)))


def told_steps(slowdown: float) -> int:
    """Return a slowdown in steps from 1."""
    return round(math.log(slowdown) / math.log(TOLD_STEP))


def mean_slowdown(*slowdowns: int) -> int:
    """Return the mean of the slowdowns that are known, in percent.

    >>> mean_slowdown(0, 100, 400), mean_slowdown(0, 0)
    (259, 0)
    """
    known = [each for each in slowdowns if each]
    return told_percent(sum(known) / len(known) / 100) if known else 0


def smaller_window(one: Window | None, other: Window | None) -> Window | None:
    """Return the smaller window, if nodes differ on who the owner is."""
    if one is None or other is None:
        return one or other
    return min(one, other, key=lambda window: window.size)


def merge(one: CentreState, other: CentreState) -> CentreState:
    """Return the sum of the states of two groups of nodes."""
    loads = dict(one.loads)
    for target_id, load in other.loads.items():
        before = loads.get(target_id, NO_LOAD)
        loads[target_id] = Load(
            before.running + load.running,
            before.unread_tokens + load.unread_tokens,
            mean_slowdown(before.slowdown, load.slowdown),
            smaller_window(before.window, load.window),
        )
    admitted = dict(one.admitted)
    for account, cost in other.admitted.items():
        admitted[account] = admitted.get(account, 0.0) + cost
    adapters_in_use = dict(one.adapters_in_use)
    for target_id, adapters in other.adapters_in_use.items():
        adapters_in_use[target_id] = (
            adapters_in_use.get(target_id, _NO_ADAPTERS) | adapters
        )
    return CentreState(
        one.members | other.members,
        one.lost_count + other.lost_count,
        one.is_watching or other.is_watching,
        admitted,
        loads,
        adapters_in_use,
        one.holdings | other.holdings,
    )
