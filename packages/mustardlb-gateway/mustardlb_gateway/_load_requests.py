"""The requests for adapters that wait at an engine's controller."""

from collections import abc
import dataclasses
import sys

import trio

from mustardlb_gateway import _messages
from mustardlb_gateway import _served_tokens
from mustardlb_gateway import _turns
from mustardlb_gateway import domain

# Half-life of the counts of calls that were in time. An engine of a large
# fleet loads an adapter every one or two seconds.
IN_TIME_HALF_LIFE_SECONDS = 20.0

# By how much the share of less urgent calls that are in time must exceed that
# of more urgent ones before these come first.
IN_TIME_MARGIN = 0.02

# A call whose request expires with less time to its objective is late.
SHORTEST_LOAD_SECONDS = 0.1

# Each load of this number goes to the adapter of the leading requests whose
# objective is the nearest, else adapters for which few calls wait would never
# be loaded while others have more.
OLDEST_FIRST_INTERVAL = 4


@dataclasses.dataclass(slots=True)
class LoadRequest:
    """A pending request to load an adapter.

    :ivar version: minimum version, 0 for any
    :ivar deadline: when the request expires, clock seconds
    :ivar objective_at: when the call misses its latency objective
    :ivar priority: priority of the call, 0 is the most urgent
    :ivar account: account of the call, '' if it is not known
    :ivar tokens: prompt tokens that the target has to process
    :ivar is_counted: whether it was counted as in time or late
    :ivar rank: rank among the requests, None before they were ordered
    """

    adapter: domain.AdapterName
    version: int
    deadline: float
    objective_at: float
    priority: int = _messages.DEFAULT_PRIORITY
    account: str = ''
    tokens: int = 0
    done: trio.Event = dataclasses.field(default_factory=trio.Event)
    is_loaded: bool = False
    is_counted: bool = False
    rank: _turns.Rank | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class DueLoad:
    """An adapter to load; `priority` is that of its most urgent call."""

    adapter: domain.AdapterName
    version: int
    priority: int


class InTimeShares:
    """Shares of the calls that are in time, by priority.

    >>> shares = InTimeShares()
    >>> shares.record(0, False, 0.0)
    >>> shares.record(2, True, 0.0)
    >>> shares.favoured(0.0)
    {2}
    """

    def __init__(self) -> None:
        self._in_time: dict[int, tuple[float, float]] = {}
        self._late: dict[int, tuple[float, float]] = {}

    def record(self, priority: int, is_in_time: bool, now: float) -> None:
        """Count a call that was served in time or missed its objective."""
        counts = self._in_time if is_in_time else self._late
        counts[priority] = _decayed(counts, priority, now) + 1, now

    def favoured(self, now: float) -> set[int]:
        """Return the priorities served better than a more urgent one."""
        favoured: set[int] = set()
        lowest = 1.0
        for priority in sorted(self._in_time.keys() | self._late.keys()):
            in_time = _decayed(self._in_time, priority, now)
            late = _decayed(self._late, priority, now)
            # Without recent calls, a priority counts as in time.
            share = (in_time + 1) / (in_time + late + 1)
            if share > lowest + IN_TIME_MARGIN:
                favoured.add(priority)
            lowest = min(lowest, share)
        return favoured


def _decayed(
    counts: dict[int, tuple[float, float]], priority: int, now: float
) -> float:
    count, since = counts.get(priority, (0.0, now))
    return count * 0.5 ** ((now - since) / IN_TIME_HALF_LIFE_SECONDS)


# Whether the account of a call was served far more than usual; whether others
# come first since the call is late or its priority is served better than more
# urgent ones; its priority; whether it is late; and the rank of its account.
_Rank = tuple[bool, bool, int, bool, int]
_LAST_RANK: _Rank = (True, True, sys.maxsize, True, sys.maxsize)


@dataclasses.dataclass(slots=True)
class _Group:
    """The requests for one adapter.

    :ivar loaded_at: when the adapter can be loaded
    :ivar rank: the first rank of the requests
    """

    loaded_at: float
    rank: _Rank
    requests: list[LoadRequest] = dataclasses.field(default_factory=list)


class LoadRequests:
    """Pending requests, in the order of their arrival."""

    def __init__(self) -> None:
        self._requests: list[LoadRequest] = []
        self._served = _served_tokens.ServedTokens()
        self._shares = InTimeShares()
        self._started = 0
        self._turns = _turns.Turns()
        self._in_excess: set[str] = set()
        self._favoured: set[int] = set()
        self._is_mixed = False

    def __len__(self) -> int:
        return len(self._requests)

    def adapters(self) -> set[domain.AdapterName]:
        """Return the requested adapters."""
        return {request.adapter for request in self._requests}

    async def wait(self, request: LoadRequest, timeout: float) -> bool:
        """Add a request; return whether it is served within `timeout`."""
        self._requests.append(request)
        with trio.move_on_after(timeout):
            await request.done.wait()
        if request in self._requests:
            self._requests.remove(request)
            self._count_expired(request)
        return request.is_loaded

    def _count_expired(self, request: LoadRequest) -> None:
        """Count a request as late if a further load would be late."""
        if request.is_counted:
            return
        if request.objective_at <= request.deadline + SHORTEST_LOAD_SECONDS:
            request.is_counted = True
            self._shares.record(request.priority, False, request.deadline)

    def finish(
        self,
        has: abc.Callable[[domain.AdapterName, int], bool],
        now: float,
    ) -> None:
        """Finish the requests whose adapter is loaded or that have expired."""
        for request in list(self._requests):
            if has(request.adapter, request.version):
                request.is_loaded = True
                self.record_served(request.account, request.tokens, now)
                if not request.is_counted:
                    is_in_time = now < request.objective_at
                    self._shares.record(request.priority, is_in_time, now)
                if request.rank is not None:
                    self._turns.record_served(request.rank)
            elif now < request.deadline:
                continue
            else:
                self._count_expired(request)
            request.done.set()
            self._requests.remove(request)

    def fail_all(self) -> None:
        """Finish all requests without their adapters."""
        for request in self._requests:
            request.done.set()
        self._requests.clear()

    def record_served(self, account: str, tokens: int, now: float) -> None:
        """Record a call that the engine serves."""
        if account:
            self._served.record(account, tokens, now)

    def record_start(self) -> None:
        """Record the start of a load."""
        self._started += 1

    def turn(self, priority: int, account: str, slack: float) -> float | None:
        """Return in how many seconds a request may get its turn.

        None if that is not known, or if all requests have one priority and no
        known account.

        :param slack: seconds until the call misses its objective
        """
        if not self._is_mixed:
            return None
        is_excess = account in self._in_excess
        in_time = is_excess, priority in self._favoured, priority
        return self._turns.seconds(in_time, (is_excess, True, priority), slack)

    def by_priority(
        self,
        loading: abc.Container[domain.AdapterName],
        load_seconds: abc.Callable[[domain.AdapterName], float],
        now: float,
    ) -> list[DueLoad]:
        """Return the adapters to load, by priority.

        Adapters for which a request can meet its latency objective come
        first, then those of the most urgent request, then those of the
        account that was served the fewest tokens lately, then those with the
        most requests, then those requested first.

        Requests whose priority is in time more often than a more urgent one
        come after the late requests of the latter. They would have the longer
        objective, and be served whenever the urgent ones have become late.
        Requests of accounts that were served far more than usual come last.
        """
        self._favoured = self._shares.favoured(now)
        self._in_excess = self._served.in_excess(now)
        account_ranks = {
            account: self._served.rank(account, now)
            for account in {request.account for request in self._requests}
        }
        # Requests of one priority and of no known account keep their order.
        priorities = {request.priority for request in self._requests}
        self._is_mixed = len(priorities) > 1 or any(account_ranks)
        by_adapter: dict[domain.AdapterName, _Group] = {}
        for request in self._requests:
            is_late = now >= request.objective_at
            if is_late and not request.is_counted:
                request.is_counted = True
                self._shares.record(request.priority, False, now)
            is_excess = request.account in self._in_excess
            is_last = request.priority in self._favoured
            request.rank = is_excess, is_last or is_late, request.priority
            group = by_adapter.get(request.adapter)
            if group is None:
                loaded_at = now + load_seconds(request.adapter)
                group = _Group(loaded_at, _LAST_RANK)
                by_adapter[request.adapter] = group
            is_late = group.loaded_at >= request.objective_at
            rank = (
                is_excess,
                is_last or is_late,
                request.priority,
                is_late,
                account_ranks[request.account],
            )
            group.rank = min(group.rank, rank)
            group.requests.append(request)
        self._turns.advance(
            [each.rank for each in self._requests if each.rank], now
        )
        groups = sorted(
            (
                group
                for adapter, group in by_adapter.items()
                if adapter not in loading
            ),
            key=lambda group: (group.rank, -len(group.requests)),
        )
        if self._is_mixed and not (self._started + 1) % OLDEST_FIRST_INTERVAL:
            _move_oldest_to_front(groups)
        return [
            DueLoad(
                group.requests[0].adapter,
                group.requests[0].version,
                min(each.priority for each in group.requests),
            )
            for group in groups
        ]


def _move_oldest_to_front(groups: list[_Group]) -> None:
    """Move the leading adapter with the nearest objective to the front."""
    leading = [each for each in groups if each.rank == groups[0].rank]
    if leading:
        oldest = min(
            leading,
            key=lambda each: min(item.objective_at for item in each.requests),
        )
        groups.remove(oldest)
        groups.insert(0, oldest)
