"""What is told of a data centre's nodes, and how it changes."""

from collections import abc
import dataclasses
from typing import TypeVar

from mustardlb_gateway import domain

_Key = TypeVar('_Key')
_Value = TypeVar('_Value')


@dataclasses.dataclass(frozen=True, slots=True)
class Vm:
    """A node of the fleet and where its peers reach it.

    :ivar capacity: of its network link, Mbit/s
    """

    vm: str
    host: str
    port: int
    data_centre: str
    capacity: float


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A node that was heard lately; `incarnation` is its process's."""

    vm: Vm
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Requests in flight at a target, and prompt tokens it has to read."""

    running: int
    unread_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Holding:
    """A target that a node keeps.

    :ivar fence: grows with each keeper of the target
    :ivar incarnation: of the target
    :ivar is_acting: the node gives orders already
    :ivar room: adapters that the target can take now, less those that wait
    """

    target_id: str
    fence: int
    incarnation: int
    is_acting: bool
    resident: dict[domain.AdapterName, int]
    room: int


# Node and target.
HoldingKey = tuple[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class CentreState:
    """The nodes of a data centre, summed up by one of its hubs.

    :ivar lost_count: nodes that ended lately, or cannot be heard
    :ivar is_watching: the store answers one of them
    :ivar admitted: cost admitted since the hub started, by account
    :ivar loads: by target
    :ivar adapters_in_use: by target, where the subscriber controls the target
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
    """What differs between two states of a data centre.

    A load of nothing, and uses of no adapter, stand for those that are gone.
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
_NO_USES: frozenset[domain.AdapterName] = frozenset()


def _changed(
    old: abc.Mapping[_Key, _Value], new: abc.Mapping[_Key, _Value]
) -> dict[_Key, _Value]:
    return {key: new[key] for key in new if old.get(key) != new[key]}


def _gone(
    old: abc.Mapping[_Key, _Value], new: abc.Mapping[_Key, _Value]
) -> tuple[_Key, ...]:
    return tuple(key for key in old if key not in new)


def difference(
    data_centre: str, old: CentreState, new: CentreState
) -> CentreDelta | None:
    """Return what changed, None where nothing did.

    >>> old = CentreState(loads={'t1': Load(2, 0), 't2': Load(1, 5)})
    >>> new = CentreState(loads={'t1': Load(3, 0)})
    >>> change = difference('a', old, new)
    >>> change.loads
    {'t1': Load(running=3, unread_tokens=0), 't2': Load(running=0, \
unread_tokens=0)}
    >>> apply(old, change) == new
    True
    """
    if old == new:
        return None
    return CentreDelta(
        data_centre,
        new.lost_count,
        new.is_watching,
        tuple(_changed(old.members, new.members).values()),
        _gone(old.members, new.members),
        _changed(old.admitted, new.admitted),
        _changed(old.loads, new.loads)
        | dict.fromkeys(_gone(old.loads, new.loads), NO_LOAD),
        _changed(old.adapters_in_use, new.adapters_in_use)
        | dict.fromkeys(
            _gone(old.adapters_in_use, new.adapters_in_use), _NO_USES
        ),
        _changed(old.holdings, new.holdings),
        _gone(old.holdings, new.holdings),
    )


def apply(centre: CentreState, change: CentreDelta) -> CentreState:
    """Return a state with what changed since."""
    members = centre.members | {each.vm.vm: each for each in change.members}
    for vm in change.removed_members:
        members.pop(vm, None)
    holdings = centre.holdings | change.holdings
    for key in change.removed_holdings:
        holdings.pop(key, None)
    loads = centre.loads | change.loads
    adapters_in_use = centre.adapters_in_use | change.adapters_in_use
    return CentreState(
        members,
        change.lost_count,
        change.is_watching,
        centre.admitted | change.admitted,
        {key: load for key, load in loads.items() if load != NO_LOAD},
        {
            key: adapters
            for key, adapters in adapters_in_use.items()
            if adapters
        },
        holdings,
    )


def merge(one: CentreState, other: CentreState) -> CentreState:
    """Return the sums over two groups of nodes of a data centre."""
    loads = dict(one.loads)
    for target_id, load in other.loads.items():
        before = loads.get(target_id, NO_LOAD)
        loads[target_id] = Load(
            before.running + load.running,
            before.unread_tokens + load.unread_tokens,
        )
    admitted = dict(one.admitted)
    for account, cost in other.admitted.items():
        admitted[account] = admitted.get(account, 0.0) + cost
    adapters_in_use = dict(one.adapters_in_use)
    for target_id, adapters in other.adapters_in_use.items():
        adapters_in_use[target_id] = (
            adapters_in_use.get(target_id, _NO_USES) | adapters
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
