"""The share of one account that this node holds."""

import collections
import dataclasses
import math

import structlog
import trio

from mustardlbd import _bucket
from mustardlbd import _share_messages as messages
from mustardlbd import _share_ports as ports

log = structlog.get_logger()

# Time constants of the demand estimates, seconds.
DEMAND_MEMORY = 2.0
RECENT_MEMORY = 0.4


class Demand:
    """Tokens a second that callers ask for, exponentially smoothed."""

    def __init__(self, now: float, memory: float) -> None:
        self._memory = memory
        self._value = 0.0
        self._at = now

    def add(self, now: float, tokens: float) -> None:
        """Count tokens asked for, or given back where negative."""
        self._value = max(0.0, self.rate(now) + tokens / self._memory)
        self._at = now

    def rate(self, now: float) -> float:
        """Return the estimate at a moment."""
        return self._value * math.exp(-(now - self._at) / self._memory)


class Knowledge:
    """Until when knowledge of each owners version was recent.

    A share stated under a version may be used without a new statement
    while this node has evidence that no later version was accepted, and
    MAX_AGE longer: exactly as long as had the later one stayed unknown.
    """

    def __init__(self, node: ports.Ports) -> None:
        self._node = node
        self._version = 0
        self._as_of = -math.inf
        self._ended: collections.deque[tuple[int, float]] = collections.deque(
            maxlen=8
        )

    def observe(self) -> int:
        """Take note of the version in force and return it."""
        version = self._node.owners().version
        as_of = self._node.now() - self._node.age()
        if version > self._version:
            self._ended.append((self._version, self._as_of))
            self._version = version
        self._as_of = as_of
        return version

    def usable_until(self, version: int) -> float:
        """When a share stated under that version stops."""
        if self.observe() <= version:
            return math.inf
        known = [end for ended, end in self._ended if ended <= version]
        return max(known, default=-math.inf) + ports.MAX_AGE


@dataclasses.dataclass(slots=True, eq=False)
class Waiter:
    """A call that waits for tokens."""

    tokens: float
    since: float


class Share:
    """Fraction and bucket of one account; every method acts at `now`."""

    def __init__(
        self, account: str, node: ports.Ports, knowledge: Knowledge
    ) -> None:
        now = node.now()
        self.account = account
        self.fraction = 0
        self.standing = 0
        self.bucket = _bucket.Bucket(now)
        self.demand = Demand(now, DEMAND_MEMORY)
        self.recent = Demand(now, RECENT_MEMORY)
        self.waiters: collections.deque[Waiter] = collections.deque()
        self.changed = trio.Event()
        self.short = trio.Event()
        self.asked_at = now
        self.shrunk = False
        self.reported_at = -math.inf
        self._node = node
        self._knowledge = knowledge
        self._limit = node.contract(account)
        self._version = 0
        self._keeper = ''
        self._deputy = ''
        self._lease_until = -math.inf
        self._request = 0
        self._adopted = 0
        self._sent_at = -math.inf
        self._handed_back = 0.0
        self._given_up = _bucket.Bucket(now)

    def refresh(self) -> float:
        """Bring the share to the present moment and return it."""
        now = self._node.now()
        usable_until = self._knowledge.usable_until(self._version)
        if self._lease_until <= now and self.fraction > self.standing:
            self._resize(self._lease_until, self.standing, self.standing)
        if usable_until < now and self.fraction:
            log.info('MLB-3001', account=self.account, version=self._version)
            self._resize(now, 0, 0)
        self._adopt_contract(now)
        self.bucket.refill(now)
        return now

    @property
    def limit(self) -> _bucket.Limit:
        """The contract's rate and burst as last adopted."""
        return self._limit

    @property
    def stated(self) -> int:
        """The owners version up to which the share was stated."""
        return self._version

    def take(self, tokens: float) -> _bucket.Hold | None:
        """Take tokens from the bucket, None where they lack."""
        return self.bucket.take(self.refresh(), tokens)

    def compose(self) -> messages.ShareReport:
        """Make the next report; replies to earlier ones are void now."""
        now = self.refresh()
        owner = self._node.owners().owner_of(ports.slice_key(self.account))
        self._request += 1
        self._given_up.refill(now)
        self._handed_back += self._given_up.remove(math.inf)
        self._given_up = _bucket.Bucket(now)
        self._sent_at = now
        self.reported_at = now
        self.shrunk = False
        first = self.waiters[0] if self.waiters else None
        waiting = sum(waiter.tokens for waiter in self.waiters)
        return messages.ShareReport(
            account=self.account,
            request=self._request,
            adopted=self._adopted,
            epoch=owner.epoch,
            version=self._version,
            keeper=self._keeper,
            fraction=self.fraction,
            standing=self.standing,
            handed_back=self._handed_back,
            demand=self.demand.rate(now),
            waiting=max(0.0, waiting - self.bucket.level) if first else 0.0,
            largest=first.tokens if first else 0.0,
            waited=now - first.since if first else 0.0,
            deputy=self._deputy,
            recent=self.recent.rate(now),
            fullness=self.bucket.level / (self.bucket.capacity or 1.0),
        )

    def adopt(self, statement: messages.ShareStatement, keeper: str) -> bool:
        """Put a statement in force; False where it came too late."""
        now = self.refresh()
        owner = self._node.owners().owner_of(ports.slice_key(self.account))
        if statement.request != self._request:
            return False
        if (owner.vm_id, owner.epoch) != (keeper, statement.epoch):
            return False
        self._version = statement.version
        self._keeper = keeper
        if statement.renewed:
            self._renew(now, statement)
        self.notify()
        return True

    def ask_deputy(self) -> messages.DeputyRequest | None:
        """Make the request to extend the lease, where one can."""
        now = self.refresh()
        if not self._deputy or self._lease_until <= now:
            return None
        return messages.DeputyRequest(
            account=self.account,
            deputy=self._deputy,
            holder=messages.process_name(
                self._node.vm_id, self._node.incarnation
            ),
            request=self._adopted,
            want='extend',
        )

    def extend(self, request: messages.DeputyRequest, sent_at: float) -> None:
        """Extend the lease, counted from the sending of the request."""
        self.refresh()
        if request.request == self._adopted:
            until = sent_at + ports.LEASE
            self._lease_until = max(self._lease_until, until)

    def notify(self) -> None:
        """Wake the calls that wait."""
        self.changed.set()
        self.changed = trio.Event()

    def _renew(self, now: float, statement: messages.ShareStatement) -> None:
        self._adopted = statement.request
        self._deputy = statement.deputy
        self._lease_until = self._sent_at + statement.lease
        fraction = statement.fraction
        if self._lease_until <= now:
            fraction = statement.standing
        if statement.restart:
            self._resize(now, 0, 0)
        if fraction < self.fraction:
            self._hand_back(now, fraction)
            self.shrunk = True
        self._resize(now, fraction, statement.standing)
        self.bucket.add(statement.tokens)

    def _hand_back(self, now: float, fraction: int) -> None:
        """Give up the level that stands on the part given up."""
        part = 1 - fraction / self.fraction
        # The part given up goes on filling until it is reported.
        self._given_up = given_up = _bucket.Bucket(now)
        given_up.resize(
            now, self.bucket.rate * part, self.bucket.capacity * part
        )
        given_up.add(self.bucket.remove(self.bucket.level * part))

    def _resize(self, now: float, fraction: int, standing: int) -> None:
        self.fraction = fraction
        self.standing = standing
        self._apply(now)

    def _adopt_contract(self, now: float) -> None:
        limit = self._node.contract(self.account)
        if limit == self._limit:
            return
        # What flowed in since the last look flows at the lower rate.
        self.bucket.rate = min(
            self.bucket.rate, limit.rate * self.fraction / messages.WHOLE
        )
        self._limit = limit
        self._apply(now)

    def _apply(self, now: float) -> None:
        part = self.fraction / messages.WHOLE
        self.bucket.resize(
            now, self._limit.rate * part, self._limit.burst * part
        )
