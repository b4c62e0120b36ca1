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
class Centre:
    """The nodes of a data centre, summed up by one of its hubs.

    :ivar silent: nodes that ended lately, or cannot be heard
    :ivar is_watching: the store answers one of them
    :ivar admitted: cost admitted since the hub started, by account
    :ivar loads: by target
    :ivar uses: adapters in use by target, where the reader keeps the target
    """

    members: dict[str, Member] = dataclasses.field(default_factory=dict)
    silent: int = 0
    is_watching: bool = False
    admitted: dict[str, float] = dataclasses.field(default_factory=dict)
    loads: dict[str, Load] = dataclasses.field(default_factory=dict)
    uses: dict[str, frozenset[domain.AdapterName]] = dataclasses.field(
        default_factory=dict
    )
    holdings: dict[HoldingKey, Holding] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True, slots=True)
class CentreChange:
    """What differs between two states of a data centre.

    A load of nothing, and uses of no adapter, stand for those that are gone.
    """

    data_centre: str
    silent: int
    is_watching: bool
    members: tuple[Member, ...] = ()
    gone_members: tuple[str, ...] = ()
    admitted: dict[str, float] = dataclasses.field(default_factory=dict)
    loads: dict[str, Load] = dataclasses.field(default_factory=dict)
    uses: dict[str, frozenset[domain.AdapterName]] = dataclasses.field(
        default_factory=dict
    )
    holdings: dict[HoldingKey, Holding] = dataclasses.field(
        default_factory=dict
    )
    gone_holdings: tuple[HoldingKey, ...] = ()


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
    data_centre: str, old: Centre, new: Centre
) -> CentreChange | None:
    """Return what changed, None where nothing did.

    >>> old = Centre(loads={'t1': Load(2, 0), 't2': Load(1, 5)})
    >>> new = Centre(loads={'t1': Load(3, 0)})
    >>> change = difference('a', old, new)
    >>> change.loads
    {'t1': Load(running=3, unread_tokens=0), 't2': Load(running=0, \
unread_tokens=0)}
    >>> apply(old, change) == new
    True
    """
    if old == new:
        return None
    return CentreChange(
        data_centre,
        new.silent,
        new.is_watching,
        tuple(_changed(old.members, new.members).values()),
        _gone(old.members, new.members),
        _changed(old.admitted, new.admitted),
        _changed(old.loads, new.loads)
        | dict.fromkeys(_gone(old.loads, new.loads), NO_LOAD),
        _changed(old.uses, new.uses)
        | dict.fromkeys(_gone(old.uses, new.uses), _NO_USES),
        _changed(old.holdings, new.holdings),
        _gone(old.holdings, new.holdings),
    )


def apply(centre: Centre, change: CentreChange) -> Centre:
    """Return a state with what changed since."""
    members = centre.members | {each.vm.vm: each for each in change.members}
    for vm in change.gone_members:
        members.pop(vm, None)
    holdings = centre.holdings | change.holdings
    for key in change.gone_holdings:
        holdings.pop(key, None)
    loads = centre.loads | change.loads
    uses = centre.uses | change.uses
    return Centre(
        members,
        change.silent,
        change.is_watching,
        centre.admitted | change.admitted,
        {key: load for key, load in loads.items() if load != NO_LOAD},
        {key: adapters for key, adapters in uses.items() if adapters},
        holdings,
    )


def merge(one: Centre, other: Centre) -> Centre:
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
    uses = dict(one.uses)
    for target_id, adapters in other.uses.items():
        uses[target_id] = uses.get(target_id, _NO_USES) | adapters
    return Centre(
        one.members | other.members,
        one.silent + other.silent,
        one.is_watching or other.is_watching,
        admitted,
        loads,
        uses,
        one.holdings | other.holdings,
    )
