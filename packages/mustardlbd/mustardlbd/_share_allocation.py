"""How a keeper divides a contract among its holders."""

import dataclasses

from mustardlbd import _bucket
from mustardlbd import _share_messages as messages

# A holder is given its demand times this: more while its bucket is empty,
# less while it is full and would overflow.
EMPTY_MARGIN = 1.3
FULL_MARGIN = 0.8

# A holder that waits gets rate to catch up within this time, seconds.
CATCH_UP = 1.0

# Part of what nobody needs that stays with the keeper, for quick growth.
KEPT_PART = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Need:
    """What a holder said in its last report.

    :ivar demand: tokens a second
    :ivar recent: the same over the last moment only
    :ivar fullness: level of the bucket as part of its capacity
    :ivar waiting: tokens that waiting calls lack
    :ivar largest: tokens of the call that waits first, 0 if none does
    :ivar waited: seconds that it has waited
    """

    demand: float = 0.0
    recent: float = 0.0
    fullness: float = 0.0
    waiting: float = 0.0
    largest: float = 0.0
    waited: float = 0.0


def allocate(
    needs_by_holder: dict[str, Need], limit: _bucket.Limit
) -> dict[str, int]:
    """Choose the fraction of each holder, in parts per million.

    First the calls that wait, the longest first, so that one large call
    is served whole instead of several by halves; then demand, scaled down
    alike where it is too much; then the rest by demand.

    >>> needs = {'a': Need(demand=30.0), 'b': Need(demand=10.0)}
    >>> allocate(needs, _bucket.Limit(20.0, 100.0))
    {'a': 606060, 'b': 393939}
    """
    if limit.rate <= 0 or limit.burst <= 0:
        return dict.fromkeys(needs_by_holder, 0)
    shares = dict.fromkeys(needs_by_holder, 0.0)
    if any(need.waiting > 0 for need in needs_by_holder.values()):
        needs_by_holder = {
            holder: _without_past(need)
            for holder, need in needs_by_holder.items()
        }
    rest = _give_to_waiting(shares, needs_by_holder, limit)
    extra = {
        holder: max(0.0, _wanted(need, limit) - shares[holder])
        for holder, need in needs_by_holder.items()
    }
    rest -= _give(shares, extra, rest)
    demands = {
        holder: need.demand + limit.rate / 100
        for holder, need in needs_by_holder.items()
    }
    rest *= 1 - KEPT_PART
    total = sum(demands.values()) or 1.0
    _give(shares, {h: rest * d / total for h, d in demands.items()}, rest)
    return {
        holder: int(share * messages.WHOLE) for holder, share in shares.items()
    }


def _without_past(need: Need) -> Need:
    """Count only the last moment for a holder where no call waits."""
    if need.waiting > 0:
        return need
    demand = min(need.demand, need.recent)
    return dataclasses.replace(need, demand=demand)


def _wanted(need: Need, limit: _bucket.Limit) -> float:
    margin = EMPTY_MARGIN + need.fullness * (FULL_MARGIN - EMPTY_MARGIN)
    rate = need.demand * margin + need.waiting / CATCH_UP
    return min(1.0, rate / limit.rate)


def _give_to_waiting(
    shares: dict[str, float],
    needs_by_holder: dict[str, Need],
    limit: _bucket.Limit,
) -> float:
    rest = 1.0
    longest_first = sorted(
        needs_by_holder, key=lambda holder: -needs_by_holder[holder].waited
    )
    for holder in longest_first:
        # A little more than the call, so that rounding does not hurt.
        part = needs_by_holder[holder].largest / limit.burst
        part = min(1.0, part * 1.001)
        if part <= rest:
            shares[holder] = part
            rest -= part
    return rest


def _give(
    shares: dict[str, float], extra: dict[str, float], rest: float
) -> float:
    total = sum(extra.values())
    if total <= 0 or rest <= 0:
        return 0.0
    scale = min(1.0, rest / total)
    for holder, part in extra.items():
        shares[holder] += part * scale
    return total * scale
