"""Token buckets of the accounts, charged with the requests of all VMs.

The owner of an account (see _charging) grants the requests of all nodes from
its own bucket, so that the limit holds for any number of nodes. Every node
also keeps a bucket of its own, which it charges with its own requests at once
and with those of other nodes when their counters arrive, summed by data
centre. It decides by this bucket while no owner responds, and takes over as
an owner with it. A level may become negative; requests are then rejected
until the bucket has refilled. A node whose counters are stale is assumed to
use an even share of the rate, so that both sides of a network partition
together stay within it. The counters replace the assumed share when they
arrive, and they include the grants.
"""

import collections
from collections import abc
import dataclasses

from mustardlb_gateway import domain

# A source is a data centre, whose nodes' counters arrive as a sum. A source
# without counters for this time is dropped. It exceeds the duration of any
# restart and of most network partitions.
SOURCE_TTL_SECONDS = 20.0

# Default age at which the counters of a source are stale.
STALE_AFTER_SECONDS = 1.0

# A grant that the counters do not show after this time is not expected in
# them any more. It exceeds the delay of counters in the largest fleet.
GRANT_TTL_SECONDS = 5.0

# Ratio of the tolerance of a limit that a new bucket starts with. A node that
# starts has no record of the requests admitted before.
INITIAL_LEVEL_RATIO = 0.6

# An account is near its limit when its bucket holds less than the rate of
# this time, in which counters are exchanged a few times.
NEAR_LIMIT_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Tolerance:
    """By how much all nodes together may exceed a limit.

    :ivar part: ratio of what the limit allows in a window
    :ivar slack: tokens or requests in addition
    :ivar window: length of the window, seconds
    """

    part: float = 0.0
    slack: float = 0.0
    window: float = 1.0

    def excess(self, rate: float, burst: float) -> float:
        """Return the excess that is tolerated in a window."""
        return self.part * (rate * self.window + burst) + self.slack


@dataclasses.dataclass(slots=True)
class _Bucket:
    """A token bucket; `admitted` is the cost charged since the start."""

    rate: float
    burst: float
    level: float
    refilled_at: float
    admitted: float = 0.0


@dataclasses.dataclass(slots=True)
class _SourceState:
    """The last counters of a source, summed over its nodes.

    :ivar epoch: a change means that the counters started anew
    :ivar assumed_until: time up to which assumed shares were charged
    :ivar node_count: nodes that the counters include
    :ivar lost_count: further nodes whose counters the source does not get
    :ivar assumed_by_account: shares charged since the last counters
    """

    epoch: abc.Hashable
    updated_at: float
    assumed_until: float
    node_count: int
    lost_count: int
    admitted_by_account: dict[str, float]
    assumed_by_account: dict[str, float] = dataclasses.field(
        default_factory=dict
    )


class _Grants:
    """Granted costs that the counters of a source do not include yet."""

    def __init__(self) -> None:
        self._costs: collections.deque[tuple[float, float]] = (
            collections.deque()
        )

    def add(self, cost: float, now: float) -> None:
        """Add a granted cost."""
        self._costs.append((now, cost))

    def cover(self, increase: float, now: float) -> float:
        """Return the part of an increase of counters that was granted."""
        covered = 0.0
        while self._costs:
            granted_at, cost = self._costs[0]
            if granted_at < now - GRANT_TTL_SECONDS:
                self._costs.popleft()
                continue
            part = min(cost, increase - covered)
            if part <= 0:
                break
            covered += part
            self._costs.popleft()
            if part < cost:
                self._costs.appendleft((granted_at, cost - part))
        return covered

    def remove(self, cost: float) -> None:
        """Remove a granted cost that was refunded."""
        for index, (_, granted) in enumerate(self._costs):
            if granted == cost:
                del self._costs[index]
                return


class Quota:
    """The token buckets of all accounts at this node."""

    def __init__(
        self,
        tolerance: abc.Callable[[], Tolerance] = Tolerance,
        stale_after: abc.Callable[[], float] = lambda: STALE_AFTER_SECONDS,
    ) -> None:
        """Create the buckets' table.

        :param stale_after: returns the age, in seconds, of a source's
            counters after which the shares of its nodes are assumed
        """
        self._tolerance = tolerance
        self._stale_after = stale_after
        self._buckets_by_account: dict[str, _Bucket] = {}
        self._sources_by_name: dict[str, _SourceState] = {}
        self._received_levels: dict[str, float] = {}
        # By source and account.
        self._grants: dict[tuple[str, str], _Grants] = {}

    @staticmethod
    def cost(account: domain.Account, call: domain.Call) -> float:
        """Return the cost of a call in the unit of its account's limit."""
        if not account.counts_tokens:
            return 1.0
        if call.tokens is None:
            return account.default_cost
        return float(sum(call.tokens))

    def charge(
        self, account: domain.Account, cost: float, now: float
    ) -> float:
        """Charge a request; return 0, or the seconds to wait if rejected."""
        if account.rate <= 0:
            return 0.0
        wait = self._take(self._bucket(account, now), cost)
        if not wait:
            self._bucket(account, now).admitted += cost
        return wait

    @staticmethod
    def _take(bucket: _Bucket, cost: float) -> float:
        """Take a cost from a bucket, or return the seconds until it can be.

        A request larger than the burst is admitted by a full bucket.
        """
        missing = min(cost, bucket.burst) - bucket.level
        if missing > 0:
            return missing / bucket.rate
        bucket.level -= cost
        return 0.0

    def grant(
        self, account: domain.Account, cost: float, source: str, now: float
    ) -> float:
        """Charge a request of another node, which belongs to a source.

        Return 0, or the seconds to wait if it is rejected.
        """
        wait = self._take(self._bucket(account, now), cost)
        if not wait:
            grants = self._grants.setdefault((source, account.name), _Grants())
            grants.add(cost, now)
        return wait

    def refund_grant(
        self, account: domain.Account, cost: float, source: str, now: float
    ) -> None:
        """Refund a granted request that no target processed."""
        grants = self._grants.get((source, account.name))
        if grants is not None:
            grants.remove(cost)
        bucket = self._bucket(account, now)
        bucket.level = min(bucket.burst, bucket.level + cost)

    def record_granted(
        self, account: domain.Account, cost: float, now: float
    ) -> None:
        """Charge a request of this node that another node has granted."""
        bucket = self._bucket(account, now)
        bucket.level -= cost
        bucket.admitted += cost

    def refund(self, account: domain.Account, cost: float) -> None:
        """Refund a request that no target processed."""
        bucket = self._buckets_by_account.get(account.name)
        if bucket is not None and account.rate > 0:
            bucket.level = min(bucket.burst, bucket.level + cost)
            bucket.admitted -= cost

    def is_near_limit(self, account: domain.Account) -> bool:
        """Return whether charges should be sent to other nodes at once."""
        bucket = self._buckets_by_account.get(account.name)
        if bucket is None or account.rate <= 0:
            return False
        return bucket.level < NEAR_LIMIT_SECONDS * bucket.rate

    def level(self, account: domain.Account, now: float) -> float:
        """Return the level of an account's bucket."""
        return self._bucket(account, now).level

    def add_accounts(
        self, accounts: abc.Iterable[domain.Account], now: float
    ) -> None:
        """Create the buckets of accounts that sent no request yet."""
        for account in accounts:
            if account.rate > 0:
                self._bucket(account, now)

    def levels(self, now: float) -> dict[str, float]:
        """Return the level of each bucket, for a node that starts."""
        for bucket in self._buckets_by_account.values():
            self._refill(bucket, now)
        return {
            name: bucket.level
            for name, bucket in self._buckets_by_account.items()
        }

    def adopt_levels(self, levels: dict[str, float]) -> None:
        """Lower the buckets to the levels of another node."""
        self._received_levels = levels
        for name, level in levels.items():
            bucket = self._buckets_by_account.get(name)
            if bucket is not None:
                bucket.level = min(bucket.level, level)

    def admitted_costs(self) -> dict[str, float]:
        """Return the cost admitted since the start, by account."""
        return {
            name: bucket.admitted
            for name, bucket in self._buckets_by_account.items()
        }

    def charge_remote(
        self,
        source: str,
        epoch: abc.Hashable,
        counts: dict[str, float],
        now: float,
        node_count: int = 1,
        lost_count: int = 0,
    ) -> None:
        """Charge what other nodes admitted since their last counters."""
        state = self._sources_by_name.get(source)
        if state is None or state.epoch != epoch:
            self._sources_by_name[source] = _SourceState(
                epoch, now, now, node_count, lost_count, counts
            )
            return
        for name, admitted in counts.items():
            bucket = self._buckets_by_account.get(name)
            if bucket is None:
                continue
            before = state.admitted_by_account.get(name, 0.0)
            assumed = state.assumed_by_account.get(name, 0.0)
            increase = admitted - before
            grants = self._grants.get((source, name))
            if grants is not None and increase > 0:
                increase -= grants.cover(increase, now)
            charge = increase - assumed
            bucket.level = min(bucket.burst, bucket.level - charge)
        # The shares of lost nodes are still to be charged from this time.
        if not state.lost_count:
            state.assumed_until = now
        state.admitted_by_account = state.admitted_by_account | counts
        state.assumed_by_account.clear()
        state.updated_at = now
        state.node_count, state.lost_count = (
            node_count,
            lost_count,
        )

    def charge_assumed_shares(self, now: float) -> None:
        """Charge the assumed share of each node without recent counters."""
        sources = self._sources_by_name
        node_count = 1 + sum(
            state.node_count + state.lost_count for state in sources.values()
        )
        for name, state in list(sources.items()):
            if now > state.updated_at + SOURCE_TTL_SECONDS:
                del sources[name]
                continue
            stale_since = state.updated_at + self._stale_after()
            stale_seconds = max(
                0.0, now - max(stale_since, state.assumed_until)
            )
            lost_seconds = now - state.assumed_until
            state.assumed_until = now
            node_seconds = (
                state.node_count * stale_seconds
                + state.lost_count * lost_seconds
            )
            if not node_seconds:
                continue
            for account, bucket in self._buckets_by_account.items():
                self._refill(bucket, now)
                share = bucket.rate / node_count * node_seconds
                bucket.level -= share
                if state.node_count and stale_seconds:
                    assumed = state.assumed_by_account
                    assumed[account] = assumed.get(account, 0.0) + (
                        bucket.rate
                        / node_count
                        * state.node_count
                        * stale_seconds
                    )

    def _bucket(self, account: domain.Account, now: float) -> _Bucket:
        bucket = self._buckets_by_account.get(account.name)
        if bucket is None:
            tolerance = self._tolerance().excess(account.rate, account.burst)
            level = min(
                account.burst,
                tolerance * INITIAL_LEVEL_RATIO,
                self._received_levels.get(account.name, account.burst),
            )
            bucket = _Bucket(account.rate, account.burst, level, now)
            self._buckets_by_account[account.name] = bucket
        self._refill(bucket, now)
        if (bucket.rate, bucket.burst) != (account.rate, account.burst):
            bucket.rate, bucket.burst = account.rate, account.burst
            bucket.level = min(bucket.level, bucket.burst)
        return bucket

    @staticmethod
    def _refill(bucket: _Bucket, now: float) -> None:
        elapsed = max(0.0, now - bucket.refilled_at)
        bucket.refilled_at = max(now, bucket.refilled_at)
        bucket.level = min(bucket.burst, bucket.level + bucket.rate * elapsed)
