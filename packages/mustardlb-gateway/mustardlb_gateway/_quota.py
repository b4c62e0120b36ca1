"""Rates and bursts of accounts, counted over all VMs.

Every node charges what every node admits: its own requests at once, those
of the others when their counts arrive. A bucket may so become negative by
what the others admitted in the meantime, and is refused until it has filled
again. A node that is not heard from is taken to use its even share, so that
two sides of a partition together stay within the rate.
"""

from collections import abc
import dataclasses

from mustardlb_gateway import domain

# Seconds without counts of a node until its even share is assumed; several
# rounds of gossip.
SILENT_AFTER = 1.0

# A node that has been silent for so long counts as ended, seconds: beyond
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
class _Peer:
    """Counts of another node: the last ones, and when they were heard."""

    incarnation: int
    heard_at: float
    assumed_until: float
    admitted_by_account: dict[str, float]


class Quota:
    """The buckets of all accounts as this node sees them."""

    def __init__(
        self,
        tolerance: abc.Callable[[], Tolerance] = Tolerance,
    ) -> None:
        self._tolerance = tolerance
        self._buckets_by_account: dict[str, _Bucket] = {}
        self._peers_by_vm: dict[str, _Peer] = {}

    @staticmethod
    def cost(account: domain.Account, call: domain.Call) -> float:
        """Return what a call counts against its account's limit."""
        if not account.counts_tokens:
            return 1.0
        if call.tokens is None:
            return account.plain_cost
        return float(sum(call.tokens))

    def take(self, account: domain.Account, cost: float, now: float) -> float:
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

    def give_back(self, account: domain.Account, cost: float) -> None:
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

    def counts(self) -> dict[str, float]:
        """Return what this node admitted of each account since its start."""
        return {
            name: bucket.admitted
            for name, bucket in self._buckets_by_account.items()
        }

    def heard(
        self, vm: str, incarnation: int, counts: dict[str, float], now: float
    ) -> None:
        """Charge what another node admitted since its last counts."""
        peer = self._peers_by_vm.get(vm)
        if peer is None or peer.incarnation != incarnation:
            self._peers_by_vm[vm] = _Peer(incarnation, now, now, counts)
            return
        for name, admitted in counts.items():
            bucket = self._buckets_by_account.get(name)
            if bucket is None:
                continue
            before = peer.admitted_by_account.get(name, 0.0)
            bucket.level = min(bucket.burst, bucket.level - admitted + before)
        peer.admitted_by_account = peer.admitted_by_account | counts
        peer.heard_at = now

    def assume_silent(self, now: float) -> None:
        """Charge the even share of each node that is not heard from."""
        nodes = len(self._peers_by_vm) + 1
        for vm, peer in list(self._peers_by_vm.items()):
            silent_since = peer.heard_at + SILENT_AFTER
            if now < silent_since:
                continue
            if now > peer.heard_at + ENDED_AFTER:
                del self._peers_by_vm[vm]
                continue
            since = max(silent_since, peer.assumed_until)
            peer.assumed_until = now
            for bucket in self._buckets_by_account.values():
                self._fill(bucket, now)
                bucket.level -= bucket.rate / nodes * (now - since)

    def _bucket(self, account: domain.Account, now: float) -> _Bucket:
        bucket = self._buckets_by_account.get(account.name)
        if bucket is None:
            tolerated = self._tolerance().of(account.rate, account.burst)
            level = min(account.burst, tolerated * START_PART)
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
