"""This node's share of one account's token rate and burst."""

import collections
import dataclasses
import math

import structlog
import trio

from mustardlbd import _share_context as context
from mustardlbd import _share_messages as messages
from mustardlbd import _token_bucket

log = structlog.get_logger()

# Time constants of the exponential averages of demand.
DEMAND_TIME_CONSTANT_SECONDS = 2.0
RECENT_TIME_CONSTANT_SECONDS = 0.4


class DemandEstimate:
    """Exponentially smoothed rate of requested tokens, per second."""

    def __init__(self, now: float, time_constant: float) -> None:
        self._time_constant = time_constant
        self._value = 0.0
        self._updated_at = now

    def add(self, now: float, tokens: float) -> None:
        """Count requested tokens; a negative number counts a refund."""
        self._value = max(0.0, self.rate(now) + tokens / self._time_constant)
        self._updated_at = now

    def rate(self, now: float) -> float:
        """Return the estimate at `now`, in tokens per second."""
        return self._value * math.exp(
            -(now - self._updated_at) / self._time_constant
        )


@dataclasses.dataclass(slots=True, eq=False)
class Waiter:
    """A call that is waiting for tokens.

    :ivar waiting_since: time at which the wait began, seconds
    """

    tokens: float
    waiting_since: float


class Share:
    """The share of one account that this node holds.

    A share is a fraction of the contract's rate and burst, and a token bucket
    that is refilled at that fraction of the rate. The coordinator of the
    account states the share in reply to each report.

    :ivar fraction: parts per million of the contract that are in force
    :ivar standing: the part of `fraction` that outlives the lease
    :ivar tokens_changed: set and replaced when tokens may have become free
    :ivar shortage: set when a call finds too few tokens
    :ivar shrunk: whether the share shrank since the last report
    """

    def __init__(self, account: str, node: context.NodeContext) -> None:
        now = node.now()
        self.account = account
        self.fraction = 0
        self.standing = 0
        self.bucket = _token_bucket.TokenBucket(now)
        self.demand = DemandEstimate(now, DEMAND_TIME_CONSTANT_SECONDS)
        self.recent_demand = DemandEstimate(now, RECENT_TIME_CONSTANT_SECONDS)
        self.waiters: collections.deque[Waiter] = collections.deque()
        self.tokens_changed = trio.Event()
        self.shortage = trio.Event()
        self.requested_at = now
        self.shrunk = False
        self.reported_at = -math.inf
        self._node = node
        self._limit = node.limit_of(account)
        self._epoch = 0
        self._version = 0
        self._confirmed_at = -math.inf
        self._coordinator = ''
        self._deputy = ''
        self._lease_until = -math.inf
        self._report_number = 0
        self._adopted_report = 0
        self._report_sent_at = -math.inf
        self._returned_tokens = 0.0
        self._pending_return = _token_bucket.TokenBucket(now)

    def refresh(self) -> float:
        """Apply expiry, contract changes and refill; return the time."""
        now = self._node.now()
        usable_until = self._usable_until(now)
        if self._lease_until <= now and self.fraction > self.standing:
            self._resize(self._lease_until, self.standing, self.standing)
        if usable_until < now and self.fraction:
            log.info('MLB-3001', account=self.account, version=self._version)
            self._resize(now, 0, 0)
        self._apply_contract_change(now)
        self.bucket.refill(now)
        return now

    def _usable_until(self, now: float) -> float:
        """Return when the share expires without a new statement.

        The share does not expire while the slice's epoch is unchanged.
        Once this node has read a later epoch, the share expires
        MAX_AGE_SECONDS after the last time at which the old epoch was
        confirmed: that is when this node would have become stale without
        reading the later epoch.
        """
        owners = self._node.owners()
        owner = owners.owner_of(context.slice_key(self.account))
        if owner.epoch != self._epoch:
            return self._confirmed_at + context.MAX_AGE_SECONDS
        self._version = max(self._version, owners.version)
        self._confirmed_at = now - self._node.staleness()
        return math.inf

    @property
    def limit(self) -> _token_bucket.Limit:
        """The contract's rate and burst that are in force here."""
        return self._limit

    @property
    def epoch(self) -> int:
        """The epoch of the statement that is in force."""
        return self._epoch

    def try_acquire(self, tokens: float) -> _token_bucket.Hold | None:
        """Return a hold on tokens, or None if there are too few."""
        return self.bucket.try_acquire(self.refresh(), tokens)

    def make_report(self) -> messages.ShareReport:
        """Return the next report; replies to earlier ones become invalid."""
        now = self.refresh()
        owner = self._node.owners().owner_of(context.slice_key(self.account))
        self._report_number += 1
        self._pending_return.refill(now)
        self._returned_tokens += self._pending_return.remove(math.inf)
        self._pending_return = _token_bucket.TokenBucket(now)
        self._report_sent_at = now
        self.reported_at = now
        self.shrunk = False
        first = self.waiters[0] if self.waiters else None
        waiting = sum(waiter.tokens for waiter in self.waiters)
        return messages.ShareReport(
            account=self.account,
            request=self._report_number,
            adopted=self._adopted_report,
            epoch=owner.epoch,
            version=self._version,
            keeper=self._coordinator,
            fraction=self.fraction,
            standing=self.standing,
            handed_back=self._returned_tokens,
            demand=self.demand.rate(now),
            waiting=max(0.0, waiting - self.bucket.level) if first else 0.0,
            largest=first.tokens if first else 0.0,
            waited=now - first.waiting_since if first else 0.0,
            deputy=self._deputy,
            recent=self.recent_demand.rate(now),
            fullness=self.bucket.level / (self.bucket.capacity or 1.0),
        )

    def apply_statement(
        self, statement: messages.ShareStatement, coordinator: str
    ) -> bool:
        """Put a statement in force; return False if it is out of date."""
        now = self.refresh()
        owner = self._node.owners().owner_of(context.slice_key(self.account))
        if statement.request != self._report_number:
            return False
        if (owner.vm_id, owner.epoch) != (coordinator, statement.epoch):
            return False
        if statement.version >= statement.epoch:
            # Otherwise the coordinator only confirmed a share of an older
            # epoch, and the share keeps that epoch.
            self._epoch = statement.epoch
            self._version = statement.version
        self._coordinator = coordinator
        if statement.renewed:
            self._apply_renewal(now, statement)
        self.notify_waiters()
        return True

    def make_extension_request(self) -> messages.DeputyRequest | None:
        """Return a request to extend the lease, None without a lease."""
        now = self.refresh()
        if not self._deputy or self._lease_until <= now:
            return None
        return messages.DeputyRequest(
            account=self.account,
            deputy=self._deputy,
            holder=messages.process_name(
                self._node.vm_id, self._node.incarnation
            ),
            request=self._adopted_report,
            want='extend',
        )

    def extend_lease(
        self, request: messages.DeputyRequest, sent_at: float
    ) -> None:
        """Extend the lease to LEASE_SECONDS after the request was sent."""
        self.refresh()
        if request.request == self._adopted_report:
            until = sent_at + context.LEASE_SECONDS
            self._lease_until = max(self._lease_until, until)

    def notify_waiters(self) -> None:
        """Wake the calls that are waiting for tokens."""
        self.tokens_changed.set()
        self.tokens_changed = trio.Event()

    def _apply_renewal(
        self, now: float, statement: messages.ShareStatement
    ) -> None:
        self._adopted_report = statement.request
        self._deputy = statement.deputy
        self._lease_until = self._report_sent_at + statement.lease
        fraction = statement.fraction
        if self._lease_until <= now:
            fraction = statement.standing
        if statement.restart:
            self._resize(now, 0, 0)
        if fraction < self.fraction:
            self._return_tokens(now, fraction)
            self.shrunk = True
        self._resize(now, fraction, statement.standing)
        self.bucket.add(statement.tokens)

    def _return_tokens(self, now: float, fraction: int) -> None:
        """Take the tokens of the returned part out of the bucket."""
        part = 1 - fraction / self.fraction
        # The returned part keeps refilling until it is reported, because the
        # coordinator refills it only from then on.
        self._pending_return = pending_return = _token_bucket.TokenBucket(now)
        pending_return.resize(
            now, self.bucket.rate * part, self.bucket.capacity * part
        )
        pending_return.add(self.bucket.remove(self.bucket.level * part))

    def _resize(self, now: float, fraction: int, standing: int) -> None:
        self.fraction = fraction
        self.standing = standing
        self._resize_bucket(now)

    def _apply_contract_change(self, now: float) -> None:
        limit = self._node.limit_of(self.account)
        if limit == self._limit:
            return
        # The time of the change within the last refill interval is unknown,
        # so the whole interval is refilled at the lower rate.
        self.bucket.rate = min(
            self.bucket.rate,
            limit.rate * self.fraction / messages.FULL_SHARE_PPM,
        )
        self._limit = limit
        self._resize_bucket(now)

    def _resize_bucket(self, now: float) -> None:
        part = self.fraction / messages.FULL_SHARE_PPM
        self.bucket.resize(
            now, self._limit.rate * part, self._limit.burst * part
        )
