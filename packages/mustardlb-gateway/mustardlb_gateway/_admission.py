"""The calls of this node that wait for a target, and their order.

A call that finds no target takes a place in the queue of its service. It is
woken when there may be room: a request of this node has ended, or the targets
or the fleet's view have changed. Calls are woken one after another, in order:
each either takes the room, or passes the turn on to the next one. A timer
covers what no event tells, such as the end of a target's suspension.
"""

from collections import abc
import dataclasses
import random
import types

import trio

from mustardlb_gateway import _jobs
from mustardlb_gateway import _outcomes
from mustardlb_gateway import _served_tokens

# Time without an event after which a waiting call begins a turn. With many
# waiting calls each waits longer, so that all together begin at most 25 turns
# a second.
RECHECK_SECONDS = 0.25
RECHECK_SPACING_SECONDS = 0.04

# A turn ends after this many calls found no room. The cause may concern only
# these calls, for example their adapter.
MAX_TRIES_PER_TURN = 4

# Limits memory and the time to sort the calls. A node of a full fleet has a
# few dozen calls in flight.
MAX_WAITING_CALLS = 500

# Shortest Retry-After, about the duration of an adapter load, unless the
# client has less time left.
MIN_RETRY_AFTER_SECONDS = 0.3

# Rejections of a priority count for the returns of the others for this time.
RETURN_MEMORY_SECONDS = 10.0

# Priority, tokens served lately to the account in steps, and deadline.
_Rank = tuple[int, int, float]


@dataclasses.dataclass(slots=True)
class _Turn:
    """A turn that passes from call to call.

    :ivar tries_left: calls that may find no room before it ends
    :ivar is_open: whether there may be room for more than one call
    :ivar beginner: place whose timer began it, which is tried last
    :ivar tried: places that found no room
    """

    tries_left: int
    is_open: bool
    beginner: 'Place | None' = None
    tried: list['Place'] = dataclasses.field(default_factory=list)


class Place:
    """A call's place in the queue of its service; a context manager."""

    def __init__(self, calls: 'WaitingCalls', job: _jobs.Job) -> None:
        self.job = job
        self._calls = calls
        self._turn: _Turn | None = None
        self._woken: trio.Event | None = None
        self.is_displaced = False

    def __enter__(self) -> 'Place':
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        # A call that ends without a target leaves the room to the next one.
        self._pass_on()

    def take(self) -> None:
        """Take the room that the call has found."""
        turn, self._turn = self._turn, None
        if turn is not None and turn.is_open:
            self._calls.advance(self.job.service.name, turn)

    async def wait(self, until: float) -> bool:
        """Wait until there may be room, `until` a trio time at the latest.

        Return False if the call was displaced because too many calls wait.
        """
        self._pass_on()
        self._woken = trio.Event()
        if not self._calls.add(self):
            return False
        try:
            while not self._woken.is_set():
                recheck_at = trio.current_time() + (
                    self._calls.recheck_seconds(self.job.service.name)
                )
                with trio.move_on_at(min(until, recheck_at)):
                    await self._woken.wait()
                if trio.current_time() >= until:
                    break
                if not self._woken.is_set():
                    self._calls.begin_turn_of(self)
        finally:
            self._calls.remove(self)
            self._woken = None
        return not self.is_displaced

    def wake(self, turn: _Turn | None) -> None:
        """Let the call choose a target again."""
        self._turn = turn
        if self._woken is not None:
            self._woken.set()

    def _pass_on(self) -> None:
        turn, self._turn = self._turn, None
        if turn is None:
            return
        turn.tried.append(self)
        turn.tries_left -= 1
        self._calls.advance(self.job.service.name, turn)


class WaitingCalls:
    """Queues of waiting calls by service."""

    def __init__(
        self, clock: abc.Callable[[], float] = trio.current_time
    ) -> None:
        self._clock = clock
        self._places_by_service: dict[str, list[Place]] = {}
        self._served = _served_tokens.ServedTokens()

    def place(self, job: _jobs.Job) -> Place:
        """Return a place for a call, which is not in the queue yet."""
        return Place(self, job)

    def counts(self) -> dict[tuple[str, int], int]:
        """Return the number of waiting calls by service and priority."""
        counts: dict[tuple[str, int], int] = {}
        for service, places in self._places_by_service.items():
            for place in places:
                key = service, place.job.priority
                counts[key] = counts.get(key, 0) + 1
        return counts

    def record_sent(self, job: _jobs.Job, tokens: int) -> None:
        """Record the tokens of a call that was sent to a target."""
        if job.account is not None:
            self._served.record(job.account.name, tokens, self._clock())

    def notify_ended(self, service: str) -> None:
        """Wake a call, since a request of this node has ended."""
        self.advance(service, _Turn(MAX_TRIES_PER_TURN, False))

    def notify_changed(self) -> None:
        """Wake calls, since targets or the fleet's view have changed."""
        for service in list(self._places_by_service):
            self.advance(service, _Turn(MAX_TRIES_PER_TURN, True))

    def begin_turn_of(self, place: Place) -> None:
        """Begin a turn that ends with a call that has waited for long."""
        turn = _Turn(MAX_TRIES_PER_TURN, False, place)
        self.advance(place.job.service.name, turn)

    def recheck_seconds(self, service: str) -> float:
        """Return the time after which a call chooses without an event."""
        waiting = len(self._places_by_service.get(service, ()))
        return max(RECHECK_SECONDS, RECHECK_SPACING_SECONDS * waiting)

    def add(self, place: Place) -> bool:
        """Add a place; return False if there are too many calls before it.

        Otherwise the last call is displaced if there are too many.
        """
        places = self._places_by_service.setdefault(place.job.service.name, [])
        places.append(place)
        if len(places) > MAX_WAITING_CALLS:
            last = max(places, key=self._rank)
            self.remove(last)
            last.is_displaced = True
            last.wake(None)
        return not place.is_displaced

    def remove(self, place: Place) -> None:
        """Remove a place if it is in the queue."""
        service = place.job.service.name
        places = self._places_by_service.get(service, [])
        if place in places:
            places.remove(place)
        if not places:
            self._places_by_service.pop(service, None)

    def advance(self, service: str, turn: _Turn) -> None:
        """Wake the next call of a turn, unless it ends."""
        if turn.tries_left <= 0:
            return
        places = [
            place
            for place in self._places_by_service.get(service, ())
            if place not in turn.tried
        ]
        if turn.tries_left == 1 and turn.beginner in places:
            places = [each for each in places if each is turn.beginner]
        if places:
            place = min(places, key=self._rank)
            # It is not woken again before it has chosen.
            self.remove(place)
            place.wake(turn)

    def _rank(self, place: Place) -> _Rank:
        job = place.job
        return (
            job.priority,
            self._served.rank(job.account_name, self._clock()),
            job.deadline,
        )


class ReturnTimes:
    """When the clients of rejected calls return.

    They are spread over up to a third of the time that they have left. Those
    of less urgent calls return later than those of more urgent ones.
    """

    def __init__(
        self, clock: abc.Callable[[], float] = trio.current_time
    ) -> None:
        self._clock = clock
        # Longest Retry-After and time of the last rejections, by service.
        self._recent: dict[str, dict[int, tuple[float, float]]] = {}

    def choose(self, service: str, priority: int, time_left: float) -> float:
        """Return the Retry-After of a call that is rejected now.

        :param time_left: seconds that the client still waits
        """
        now = self._clock()
        longest = _outcomes.MAX_RETRY_AFTER_RATIO * max(0.0, time_left)
        recent = {
            each: (seconds, at)
            for each, (seconds, at) in self._recent.get(service, {}).items()
            if now - at <= RETURN_MEMORY_SECONDS
        }
        recent[priority] = longest, now
        self._recent[service] = recent
        # Less urgent calls may have less time; the more urgent ones then
        # return within that time too.
        longest = min(
            seconds
            for each, (seconds, _) in recent.items()
            if each >= priority
        )
        earlier = sum(each < priority for each in recent)
        parts = len(recent) + 1
        return random.uniform(
            max(
                min(MIN_RETRY_AFTER_SECONDS, longest),
                longest * earlier / parts,
            ),
            max(
                min(MIN_RETRY_AFTER_SECONDS, longest),
                longest * (earlier + 2) / parts,
            ),
        )
