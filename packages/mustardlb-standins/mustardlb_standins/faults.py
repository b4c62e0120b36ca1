"""One way to inject faults into every stand-in, by the name of a step."""

from collections import abc
import dataclasses
import enum
import fnmatch
from typing import Any
from typing import TypeVar

import msgspec
import trio

T = TypeVar('T')

# How long a call without an answer is held before it is given up, seconds.
HOLD_SECONDS = 30.0


class Kind(enum.StrEnum):
    """What goes wrong with a call."""

    # Before the effect: no effect and no answer.
    DROP = 'drop'
    # Before the effect: refused at once, no effect.
    UNAVAILABLE = 'unavailable'
    # Before the effect: it waits, then goes its way.
    DELAY = 'delay'
    # After the effect: the answer is lost.
    RESPONSE_LOST = 'answer_lost'
    # After the effect: the answer is slow.
    SLOW = 'slow'
    # The caller gets no answer now; the effect lands later.
    LATE = 'late'
    # The call answers with its own kind of failure (a failed load).
    FAIL = 'fail'
    # A read shows the state before the last write.
    STALE = 'stale'
    # A watch reports nothing.
    SILENT = 'silent'
    # A watch misses one change.
    SKIP = 'skip'
    # A stream is cut after `count` events.
    CUT = 'cut'


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One fault of a plan.

    :ivar step: pattern of step names, as in 'put:config/*'
    :ivar kind: what goes wrong
    :ivar seconds: how long it takes, where the kind takes time
    :ivar skip: calls of the step let through first
    :ivar times: calls that it hits, None for all
    :ivar count: events before a cut
    """

    step: str
    kind: Kind
    seconds: float = 0.0
    skip: int = 0
    times: int | None = 1
    count: int = 0


class NoResponse(Exception):
    """The caller gets no answer; there may have been an effect."""


class Unavailable(NoResponse):
    """The call was refused; there was no effect."""


@dataclasses.dataclass(slots=True)
class _Planned:
    fault: Fault
    call_count: int = 0

    def matches(self, step: str) -> bool:
        """Count a call of the step; whether the fault hits it."""
        if not fnmatch.fnmatchcase(step, self.fault.step):
            return False
        self.call_count += 1
        number = self.call_count - self.fault.skip
        if number < 1:
            return False
        return self.fault.times is None or number <= self.fault.times


@dataclasses.dataclass(slots=True)
class FaultPlan:
    """The plan of faults of one stand-in.

    :ivar hits: steps and kinds of the faults that matching, in order
    """

    _planned: list[_Planned] = dataclasses.field(default_factory=list)
    hits: list[tuple[str, Kind]] = dataclasses.field(default_factory=list)

    def reset(self, *faults: Fault) -> None:
        """Replace the plan."""
        self._planned = [_Planned(fault) for fault in faults]

    def add(self, step: str, kind: Kind, **rest: Any) -> None:
        """Add a fault to the plan."""
        self._planned.append(_Planned(Fault(step, kind, **rest)))

    def next_fault(self, step: str) -> Fault | None:
        """Count a call of the step; the fault that hits it, if any."""
        matching = [one.fault for one in self._planned if one.matches(step)]
        if not matching:
            return None
        self.hits.append((step, matching[0].kind))
        return matching[0]

    async def run(
        self, step: str, effect: abc.Callable[[], abc.Awaitable[T]]
    ) -> T:
        """Run a call under the plan. Raises NoResponse and what it raises."""
        fault = self.next_fault(step)
        if fault is None:
            return await effect()
        return await inject(fault, effect)


async def inject(
    fault: Fault, effect: abc.Callable[[], abc.Awaitable[T]]
) -> T:
    """Run a call that one fault hits."""
    match fault.kind:
        case Kind.DROP:
            await trio.sleep(fault.seconds)
            raise NoResponse
        case Kind.UNAVAILABLE:
            raise Unavailable
        case Kind.DELAY:
            await trio.sleep(fault.seconds)
            return await effect()
        case Kind.RESPONSE_LOST:
            await effect()
            await trio.sleep(fault.seconds)
            raise NoResponse
        case Kind.SLOW:
            result = await effect()
            await trio.sleep(fault.seconds)
            return result
        case Kind.LATE:
            trio.lowlevel.spawn_system_task(_run_late, fault.seconds, effect)
            raise NoResponse
    return await effect()


async def _run_late(
    seconds: float, effect: abc.Callable[[], abc.Awaitable[Any]]
) -> None:
    await trio.sleep(seconds)
    try:
        await effect()
    except Exception:  # the caller that would be told has gone
        return


def decode_plan(value: bytes) -> list[Fault]:
    """Read the body of `PUT /faults`. Raises ValueError.

    >>> decode_plan(b'[{"step": "put:*", "kind": "drop"}]')[0].times
    1
    """
    return msgspec.json.decode(value, type=list[Fault])
