"""Rates and bursts of accounts, counted over all VMs.

Every node charges what every node admits: its own requests at once, those
of the others when their counts arrive, one sum for each data centre. A
bucket may so become negative by what the others admitted in the meantime,
and is refused until it has filled again. A node that is not heard from is
taken to use its even share, so that two sides of a partition together stay
within the rate; its counts take the place of the share when they come.
"""

from collections import abc
import dataclasses

from mustardlb_gateway import domain

# Seconds without counts of a source until the even share of its nodes is
# assumed; several updates.
SILENT_AFTER = 1.0

# A source that has been silent for so long counts as ended, seconds: beyond
# any restart and most partitions.
ENDED_AFTER = 20.0

# Part of the tolerance of limits that a start may use up: what was spent
# before it is not known to the node.
START_PART = 0.6

# An account is near its limit when its bucket holds less than so many seconds
# of its rate: a few exchanges of counts.
NEAR_LIMIT = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Tolerance:
    """By how much all nodes together may exceed a limit.

    :ivar part: of what the limit allows in a window
    :ivar slack: tokens or requests besides
    :ivar window: seconds
    """

    part: float = 0.0
    slack: float = 0.0
    window: float = 1.0

    def of(self, rate: float, burst: float) -> float:
        """Return the excess that is tolerated in a window."""
        return self.part * (rate * self.window + burst) + self.slack


@dataclasses.dataclass(slots=True)
class _Bucket:
    rate: float
    burst: float
    level: float
    filled_at: float
    admitted: float = 0.0


@dataclasses.dataclass(slots=True)
class _Source:
    """Counts of other nodes: the last ones, and when they were heard.

    :ivar epoch: counts of another one begin anew
    :ivar nodes: whose counts they are
    :ivar silent: nodes of the same source that it does not hear from
    :ivar assumed_by_account: charged since then without any counts
    """

    epoch: abc.Hashable
    heard_at: float
    assumed_until: float
    nodes: int
    silent: int
    admitted_by_account: dict[str, float]
    assumed_by_account: dict[str, float] = dataclasses.field(
        default_factory=dict
    )


class Quota:
    """The buckets of all accounts as this node sees them."""

    def __init__(
        self,
        tolerance: abc.Callable[[], Tolerance] = Tolerance,
    ) -> None:
        self._tolerance = tolerance
        self._buckets_by_account: dict[str, _Bucket] = {}
        self._sources_by_name: dict[str, _Source] = {}
        self._told_levels: dict[str, float] = {}

    @staticmethod
    def cost(account: domain.Account, call: domain.Call) -> float:
        """Return what a call counts against its account's limit."""
        if not account.counts_tokens:
            return 1.0
        if call.tokens is None:
            return account.plain_cost
        return float(sum(call.tokens))

    def charge(
        self, account: domain.Account, cost: float, now: float
    ) -> float:
        """Charge a request; return 0, or the seconds until it would fit."""
        if account.rate <= 0:
            return 0.0
        bucket = self._bucket(account, now)
        # A request larger than the burst passes when the bucket is full.
        if bucket.level < min(cost, bucket.burst):
            lack = min(cost, bucket.burst) - bucket.level
            return lack / bucket.rate
        bucket.level -= cost
        bucket.admitted += cost
        return 0.0

    def refund(self, account: domain.Account, cost: float) -> None:
        """Undo the charge of a request that no target ran."""
        bucket = self._buckets_by_account.get(account.name)
        if bucket is not None and account.rate > 0:
            bucket.level = min(bucket.burst, bucket.level + cost)
            bucket.admitted -= cost

    def is_near_limit(self, account: domain.Account) -> bool:
        """Whether the other nodes should hear at once of what was taken."""
        bucket = self._buckets_by_account.get(account.name)
        if bucket is None or account.rate <= 0:
            return False
        return bucket.level < NEAR_LIMIT * bucket.rate

    def level(self, account: domain.Account, now: float) -> float:
        """Return what is left in an account's bucket."""
        return self._bucket(account, now).level

    def add_accounts(
        self, accounts: abc.Iterable[domain.Account], now: float
    ) -> None:
        """Begin to count for accounts of which no request came yet."""
        for account in accounts:
            if account.rate > 0:
                self._bucket(account, now)

    def levels(self, now: float) -> dict[str, float]:
        """Return what is left in each bucket, for a node that starts."""
        for bucket in self._buckets_by_account.values():
            self._fill(bucket, now)
        return {
            name: bucket.level
            for name, bucket in self._buckets_by_account.items()
        }

    def adopt_levels(self, levels: dict[str, float]) -> None:
        """Take another node's levels where they are lower than this one's."""
        self._told_levels = levels
        for name, level in levels.items():
            bucket = self._buckets_by_account.get(name)
            if bucket is not None:
                bucket.level = min(bucket.level, level)

    def admitted_costs(self) -> dict[str, float]:
        """Return what this node admitted of each account since its start."""
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
        nodes: int = 1,
        silent: int = 0,
    ) -> None:
        """Charge what other nodes admitted since their last counts."""
        known = self._sources_by_name.get(source)
        if known is None or known.epoch != epoch:
            self._sources_by_name[source] = _Source(
                epoch, now, now, nodes, silent, counts
            )
            return
        for name, admitted in counts.items():
            bucket = self._buckets_by_account.get(name)
            if bucket is None:
                continue
            before = known.admitted_by_account.get(name, 0.0)
            assumed = known.assumed_by_account.get(name, 0.0)
            charge = admitted - before - assumed
            bucket.level = min(bucket.burst, bucket.level - charge)
        if not known.silent:
            known.assumed_until = now
        known.admitted_by_account = known.admitted_by_account | counts
        known.assumed_by_account.clear()
        known.heard_at = now
        known.nodes, known.silent = nodes, silent

    def charge_assumed_shares(self, now: float) -> None:
        """Charge the even share of each node that is not heard from."""
        sources = self._sources_by_name
        nodes = 1 + sum(
            known.nodes + known.silent for known in sources.values()
        )
        for name, known in list(sources.items()):
            if now > known.heard_at + ENDED_AFTER:
                del sources[name]
                continue
            silent_since = known.heard_at + SILENT_AFTER
            whole = max(0.0, now - max(silent_since, known.assumed_until))
            part = now - known.assumed_until
            known.assumed_until = now
            node_seconds = known.nodes * whole + known.silent * part
            if not node_seconds:
                continue
            for account, bucket in self._buckets_by_account.items():
                self._fill(bucket, now)
                share = bucket.rate / nodes * node_seconds
                bucket.level -= share
                if known.nodes and whole:
                    assumed = known.assumed_by_account
                    assumed[account] = assumed.get(account, 0.0) + (
                        bucket.rate / nodes * known.nodes * whole
                    )

    def _bucket(self, account: domain.Account, now: float) -> _Bucket:
        bucket = self._buckets_by_account.get(account.name)
        if bucket is None:
            tolerated = self._tolerance().of(account.rate, account.burst)
            level = min(
                account.burst,
                tolerated * START_PART,
                self._told_levels.get(account.name, account.burst),
            )
            bucket = _Bucket(account.rate, account.burst, level, now)
            self._buckets_by_account[account.name] = bucket
        self._fill(bucket, now)
        if (bucket.rate, bucket.burst) != (account.rate, account.burst):
            bucket.rate, bucket.burst = account.rate, account.burst
            bucket.level = min(bucket.level, bucket.burst)
        return bucket

    @staticmethod
    def _fill(bucket: _Bucket, now: float) -> None:
        elapsed = max(0.0, now - bucket.filled_at)
        bucket.filled_at = max(now, bucket.filled_at)
        bucket.level = min(bucket.burst, bucket.level + bucket.rate * elapsed)
