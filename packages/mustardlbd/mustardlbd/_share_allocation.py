"""Division of an account's contract among the holders of its shares."""

import dataclasses

from mustardlbd import _share_messages as messages
from mustardlbd import _token_bucket

# A holder's rate relative to its demand. It is above the demand while the
# holder's bucket is empty, and below it while the bucket is full and would
# overflow.
EMPTY_BUCKET_DEMAND_RATIO = 1.3
FULL_BUCKET_DEMAND_RATIO = 0.8

# A holder with waiting calls gets enough rate to serve them in this time.
CATCH_UP_SECONDS = 1.0

# Part of the surplus that the coordinator keeps, so that a holder whose
# demand rises can grow without another holder shrinking first.
UNALLOCATED_RATIO = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class HolderLoad:
    """Demand of one holder, from its last report.

    :ivar demand: requested tokens per second
    :ivar recent_demand: the same, averaged over a shorter time
    :ivar fill_ratio: level of the bucket divided by its capacity
    :ivar waiting_tokens: tokens that waiting calls still need
    :ivar first_waiting_tokens: tokens of the first waiting call, or 0
    :ivar first_waiting_seconds: time that this call has been waiting
    """

    demand: float = 0.0
    recent_demand: float = 0.0
    fill_ratio: float = 0.0
    waiting_tokens: float = 0.0
    first_waiting_tokens: float = 0.0
    first_waiting_seconds: float = 0.0


def allocate(
    loads_by_holder: dict[str, HolderLoad], limit: _token_bucket.Limit
) -> dict[str, int]:
    """Return the fraction of each holder, in parts per million.

    Waiting calls come first, ordered by waiting time, so that one large
    call gets all its tokens instead of several getting a part of theirs.
    Demand comes next, scaled down proportionally if it exceeds the rate.
    Most of the surplus is then divided in proportion to demand.

    >>> loads = {'a': HolderLoad(demand=30.0), 'b': HolderLoad(demand=10.0)}
    >>> allocate(loads, _token_bucket.Limit(20.0, 100.0))
    {'a': 606060, 'b': 393939}
    """
    if limit.rate <= 0 or limit.burst <= 0:
        return dict.fromkeys(loads_by_holder, 0)
    fractions_by_holder = dict.fromkeys(loads_by_holder, 0.0)
    if any(load.waiting_tokens > 0 for load in loads_by_holder.values()):
        loads_by_holder = {
            holder: _with_recent_demand(load)
            for holder, load in loads_by_holder.items()
        }
    remaining = _allocate_to_waiting(
        fractions_by_holder, loads_by_holder, limit
    )
    extra_by_holder = {
        holder: max(
            0.0, _required_fraction(load, limit) - fractions_by_holder[holder]
        )
        for holder, load in loads_by_holder.items()
    }
    remaining -= _distribute(fractions_by_holder, extra_by_holder, remaining)
    weights_by_holder = {
        holder: load.demand + limit.rate / 100
        for holder, load in loads_by_holder.items()
    }
    remaining *= 1 - UNALLOCATED_RATIO
    total = sum(weights_by_holder.values()) or 1.0
    _distribute(
        fractions_by_holder,
        {h: remaining * d / total for h, d in weights_by_holder.items()},
        remaining,
    )
    return {
        holder: int(fraction * messages.FULL_SHARE_PPM)
        for holder, fraction in fractions_by_holder.items()
    }


def _with_recent_demand(load: HolderLoad) -> HolderLoad:
    """Limit the demand of a holder without waiting calls to the recent one."""
    if load.waiting_tokens > 0:
        return load
    demand = min(load.demand, load.recent_demand)
    return dataclasses.replace(load, demand=demand)


def _required_fraction(load: HolderLoad, limit: _token_bucket.Limit) -> float:
    margin = EMPTY_BUCKET_DEMAND_RATIO + load.fill_ratio * (
        FULL_BUCKET_DEMAND_RATIO - EMPTY_BUCKET_DEMAND_RATIO
    )
    rate = load.demand * margin + load.waiting_tokens / CATCH_UP_SECONDS
    return min(1.0, rate / limit.rate)


def _allocate_to_waiting(
    fractions_by_holder: dict[str, float],
    loads_by_holder: dict[str, HolderLoad],
    limit: _token_bucket.Limit,
) -> float:
    remaining = 1.0
    longest_first = sorted(
        loads_by_holder,
        key=lambda holder: -loads_by_holder[holder].first_waiting_seconds,
    )
    for holder in longest_first:
        # Slightly more than the call needs, since fractions are rounded
        # down to whole parts per million.
        fraction = loads_by_holder[holder].first_waiting_tokens / limit.burst
        fraction = min(1.0, fraction * 1.001)
        if fraction <= remaining:
            fractions_by_holder[holder] = fraction
            remaining -= fraction
    return remaining


def _distribute(
    fractions_by_holder: dict[str, float],
    extra_by_holder: dict[str, float],
    remaining: float,
) -> float:
    total = sum(extra_by_holder.values())
    if total <= 0 or remaining <= 0:
        return 0.0
    scale = min(1.0, remaining / total)
    for holder, fraction in extra_by_holder.items():
        fractions_by_holder[holder] += fraction * scale
    return total * scale
