"""Fault injection of the simulators.

A step is the name of an operation, with its object, that a fault can hit.
"""

from collections import abc
import dataclasses
import enum
import fnmatch
from typing import Any
from typing import TypeVar

import msgspec
import trio

T = TypeVar('T')


class Kind(enum.StrEnum):
    """The effect of a fault on a call."""

    # Neither the effect nor the response takes place.
    DROP = 'drop'
    # The call is rejected immediately, without effect.
    UNAVAILABLE = 'unavailable'
    # The effect and the response are delayed.
    DELAY = 'delay'
    # The effect takes place, but the response is lost.
    RESPONSE_LOST = 'answer_lost'
    # The effect takes place, and the response is delayed.
    SLOW = 'slow'
    # The response is lost, and the effect is delayed.
    LATE = 'late'
    # The call fails with an error of its own, such as a failed load.
    FAIL = 'fail'
    # A read returns the state before the last write.
    STALE = 'stale'
    # A watch reports no change.
    SILENT = 'silent'
    # A watch misses one change.
    SKIP = 'skip'
    # A stream is cut after `count` events.
    CUT = 'cut'


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A planned fault.

    :ivar step: pattern of step names, such as 'put:config/*'
    :ivar kind: effect of the fault
    :ivar seconds: delay, for the kinds that have one
    :ivar skip: number of matching calls before the first one that it hits
    :ivar times: number of calls that it hits, None for all
    :ivar count: number of events before a stream is cut
    """

    step: str
    kind: Kind
    seconds: float = 0.0
    skip: int = 0
    times: int | None = 1
    count: int = 0


class NoResponse(Exception):
    """The caller gets no response; the call may have had an effect."""


class Unavailable(NoResponse):
    """The call was rejected without effect."""


@dataclasses.dataclass(slots=True)
class _Planned:
    fault: Fault
    call_count: int = 0

    def count_call(self, step: str) -> bool:
        """Count a call of a step and return whether the fault hits it."""
        if not fnmatch.fnmatchcase(step, self.fault.step):
            return False
        self.call_count += 1
        number = self.call_count - self.fault.skip
        if number < 1:
            return False
        return self.fault.times is None or number <= self.fault.times


@dataclasses.dataclass(slots=True)
class FaultPlan:
    """The planned faults of a simulator.

    :ivar hits: steps and kinds of the injected faults, in order
    """

    _planned_faults: list[_Planned] = dataclasses.field(default_factory=list)
    hits: list[tuple[str, Kind]] = dataclasses.field(default_factory=list)

    def reset(self, *faults: Fault) -> None:
        """Replace all planned faults."""
        self._planned_faults = [_Planned(fault) for fault in faults]

    def add(self, step: str, kind: Kind, **options: Any) -> None:
        """Add a planned fault."""
        self._planned_faults.append(_Planned(Fault(step, kind, **options)))

    def next_fault(self, step: str) -> Fault | None:
        """Count a call of a step; return the fault that hits it, if any."""
        matching = [
            planned.fault
            for planned in self._planned_faults
            if planned.count_call(step)
        ]
        if not matching:
            return None
        self.hits.append((step, matching[0].kind))
        return matching[0]

    async def run(
        self, step: str, effect: abc.Callable[[], abc.Awaitable[T]]
    ) -> T:
        """Run a call of a step with its fault, if any.

        Raises NoResponse and the exceptions of `effect`.
        """
        fault = self.next_fault(step)
        if fault is None:
            return await effect()
        return await inject(fault, effect)


async def inject(
    fault: Fault, effect: abc.Callable[[], abc.Awaitable[T]]
) -> T:
    """Run a call with a fault. Raises NoResponse and Unavailable."""
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
    except Exception:  # no caller is left to handle it
        return


def decode_plan(value: bytes) -> list[Fault]:
    """Return the faults in the body of `PUT /faults`. Raises ValueError.

    >>> decode_plan(b'[{"step": "put:*", "kind": "drop"}]')[0].times
    1
    """
    return msgspec.json.decode(value, type=list[Fault])
