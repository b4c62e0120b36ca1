"""Permits to send requests to targets that have named a limit.

The owner of a target hands out the requests that it accepts. Nodes that the
owner does not respond to ask the next ones, which hand out fewer the lower
their rank, so that the sum stays below one and a half times the limit while
nodes differ on who decides.
"""

from collections import abc
import math

import structlog

from mustardlb_gateway import _messages
from mustardlb_gateway import _owners
from mustardlb_gateway import _target_limits
from mustardlb_gateway import domain

log = structlog.get_logger()

# Part of the limit that the node of the second rank hands out. Each further
# one hands out half as much as the one before.
DEPUTY_RATIO = 0.25

# If none of the nodes that may be asked responds, the target is not
# considered for this time. The fleet soon notices which nodes have stopped.
UNDECIDED_SECONDS = 0.25

# Unused permits are kept for this time, but never more than a whole one if
# the limit is lower.
BURST_SECONDS = 0.25

# A target with a lower limit is still sent a request now and then. Its
# response shows whether the limit still applies.
MIN_PER_SECOND = 0.1

MIN_WAIT_SECONDS = 0.02

# A permit that was not used by then has been lost.
PERMIT_TTL_SECONDS = 1.0


class _Bucket:
    """A token bucket that is empty at first.

    A node that becomes the owner does not know what was handed out before.
    """

    def __init__(self, now: float) -> None:
        self._tokens = 0.0
        self._updated_at = now

    def take(self, per_second: float, now: float) -> float:
        """Take a token; return 0, or the seconds until there is one."""
        capacity = max(1.0, per_second * BURST_SECONDS)
        elapsed = max(0.0, now - self._updated_at)
        self._tokens = min(capacity, self._tokens + elapsed * per_second)
        self._updated_at = now
        # The comparison allows for rounding.
        if self._tokens > 0.999999:
            self._tokens -= 1.0
            return 0.0
        return max(MIN_WAIT_SECONDS, (1.0 - self._tokens) / per_second)


class TargetPermits:
    """Permits for this node, and for others as an owner.

    `request` sends a message to a node and returns its response, or None
    without one in time. `live` returns the names of the other live nodes.
    """

    def __init__(
        self,
        vm: str,
        limits: _target_limits.TargetLimits,
        request: abc.Callable[
            [str, _messages.Body, float],
            abc.Awaitable[_messages.Body | None],
        ],
        live: abc.Callable[[], frozenset[str]],
        clock: abc.Callable[[], float],
    ) -> None:
        self._vm = vm
        self._limits = limits
        self._request = request
        self._clock = clock
        self._owners = _owners.Owners(vm, live, clock)
        self._bucket_by_key: dict[
            tuple[_target_limits.TargetKey, int], _Bucket
        ] = {}
        self._denied_until: dict[str, float] = {}

    def now(self) -> float:
        """Return the time by which permits expire."""
        return self._clock()

    def is_limited(self, target: domain.Target) -> bool:
        """Return whether requests to a target need a permit."""
        key = target.target_id, target.incarnation
        notice = self._limits.notice_by_key.get(key)
        return notice is not None and notice.limit is not None

    def denied(self) -> dict[str, float]:
        """Return the seconds until targets may be asked for again, by id."""
        now = self._clock()
        self._denied_until = {
            target_id: until
            for target_id, until in self._denied_until.items()
            if until > now
        }
        return {
            target_id: until - now
            for target_id, until in self._denied_until.items()
        }

    async def acquire(self, target: domain.Target, request_id: str) -> bool:
        """Return whether a request may be sent to a target now."""
        key = target.target_id, target.incarnation
        notice = self._limits.notice_by_key.get(key)
        if notice is None or notice.limit is None:
            return True
        if self._denied_until.get(target.target_id, 0.0) > self._clock():
            return False
        wait = await self._ask(notice, request_id)
        if wait <= 0:
            return True
        self._denied_until[target.target_id] = self._clock() + wait
        log.info(
            'MLB-6607',
            request=request_id,
            target=target.target_id,
            limit=notice.limit,
            seconds=round(wait, 3),
        )
        return False

    async def _ask(
        self, notice: _target_limits.LimitNotice, request_id: str
    ) -> float:
        """Return the seconds to wait for a permit, 0 if it was granted.

        After the word of a lower rank, the owner is soon asked again.
        """
        name = notice.target_id
        ranking = self._owners.ranking(name)
        for owner in self._owners.to_ask(name):
            rank = ranking.index(owner)
            longest = _owners.BACKOFF_SECONDS if rank else math.inf
            if owner == self._vm:
                return min(longest, self._take(notice, rank))
            asked_at = self._clock()
            response = await self._request(
                owner,
                _messages.Permit(notice, rank),
                _owners.RESPONSE_TIMEOUT_SECONDS,
            )
            if self._clock() - asked_at > PERMIT_TTL_SECONDS:
                # The permit has waited while this process was paused.
                return UNDECIDED_SECONDS
            if isinstance(response, _messages.Permitted):
                return min(longest, response.wait)
            self._owners.mark_unresponsive(owner)
            log.info('MLB-6608', request=request_id, target=name, peer=owner)
        return UNDECIDED_SECONDS

    def handle_permit(self, permit: _messages.Permit) -> _messages.Permitted:
        """Decide on the request of another node."""
        self._limits.add({permit.notice.key: permit.notice})
        notice = self._limits.notice_by_key.get(permit.notice.key)
        if notice is None or notice.limit is None:
            return _messages.Permitted(0.0)
        # A node that does not see the owner asks this one in its place, while
        # others still ask the owner.
        own_rank = self._owners.ranking(notice.target_id).index(self._vm)
        rank = max(permit.rank, own_rank)
        return _messages.Permitted(self._take(notice, rank))

    def _take(self, notice: _target_limits.LimitNotice, rank: int) -> float:
        now = self._clock()
        bucket = self._bucket_by_key.setdefault(
            (notice.key, rank), _Bucket(now)
        )
        ratio = DEPUTY_RATIO * 0.5 ** (rank - 1) if rank else 1.0
        per_second = max(MIN_PER_SECOND, notice.limit or 0.0) * ratio
        return bucket.take(per_second, now)

    def remove_gone(self) -> None:
        """Forget the buckets of targets without a limit."""
        self._bucket_by_key = {
            (key, rank): bucket
            for (key, rank), bucket in self._bucket_by_key.items()
            if key in self._limits.notice_by_key
        }
