"""The grants of this node: which models it may send requests to, where.

A grant lets the node begin requests for a model at a target until the
target's owner closes it. The node confirms a close only when none of its
requests runs there, so what is granted or runs is never evicted.
"""

from collections import abc
import dataclasses

import trio

from mustardlb import clock
from mustardlbd import _notifier
from mustardlbd import _target_messages as messages

# A grant without a request for so long is given back, seconds.
IDLE_TIME = 5.0

# How long the number of a close is remembered, seconds; above the timeout
# of any call, so that no grant that it overtook can still arrive.
CLOSE_MEMORY = 120.0

Key = tuple[str, str]


@dataclasses.dataclass(slots=True, eq=False)
class Held:
    """A grant that this node holds.

    :ivar number: orders grants and closes of one model at one target
    :ivar running: requests that run
    :ivar begun: requests begun since the last report
    :ivar closing: whether no request may begin any more
    :ivar idle_since: when the last request ended
    """

    target: str
    model: str
    number: int
    idle_since: float
    running: int = 0
    begun: int = 0
    closing: bool = False


class Grants:
    """Every grant of this node."""

    def __init__(self, now: clock.Clock) -> None:
        self._now = now
        self._held_by_key: dict[Key, Held] = {}
        self._closed_by_key: dict[Key, tuple[int, float]] = {}
        self._floor_by_target: dict[str, int] = {}
        self._released: list[messages.Use] = []
        self._ended = _notifier.Notifier()

    def add(self, target: str, model: str, number: int) -> bool:
        """Take a grant; False where a close or a new owner overtook it."""
        key = (target, model)
        closed, _ = self._closed_by_key.get(key, (0, 0.0))
        floor = self._floor_by_target.get(target, 0)
        if number <= closed or number < floor:
            return False
        held = self._held_by_key.get(key)
        if held is None:
            held = Held(target, model, number, self._now())
            self._held_by_key[key] = held
        held.number = max(held.number, number)
        held.closing = False
        return True

    def usable(self, model: str) -> list[Held]:
        """Pick the grants under which a request for a model may begin."""
        return [
            held
            for held in self._held_by_key.values()
            if held.model == model and not held.closing
        ]

    def begin(self, held: Held) -> None:
        """Count a request that begins."""
        held.running += 1
        held.begun += 1

    def end(self, held: Held) -> None:
        """Count a request that ended."""
        held.running -= 1
        held.idle_since = self._now()
        if held.running == 0:
            self._ended.notify()

    def drop(self, target: str, model: str) -> None:
        """Begin no more requests there; the target lacks the model."""
        held = self._held_by_key.get((target, model))
        if held is not None:
            held.closing = True

    def drop_all(self) -> None:
        """Begin no more requests under any grant of before."""
        for held in self._held_by_key.values():
            held.closing = True

    async def close(self, close: messages.Close, hold: float) -> bool:
        """End a grant; whether a request still runs after `hold` seconds."""
        key = (close.target, close.model)
        number, _ = self._closed_by_key.get(key, (0, 0.0))
        number = max(number, close.number)
        self._closed_by_key[key] = (number, self._now())
        held = self._held_by_key.get(key)
        if held is None:
            return False
        if held.number > close.number:
            return True
        held.closing = True
        with trio.move_on_after(hold):
            while held.running:
                await self._ended.wait()
        if held.running or not held.closing:
            return True
        self._forget(held)
        return False

    def hand_over(self, target: str, epoch: int) -> tuple[messages.Grant, ...]:
        """Tell a new owner the grants; take none of older owners after."""
        floor = max(self._floor_by_target.get(target, 0), epoch << 32)
        self._floor_by_target[target] = floor
        return tuple(
            messages.Grant(held.model, held.number)
            for held in self._held_by_key.values()
            if held.target == target
        )

    def take_report(self) -> list[messages.Use]:
        """Take what to report: uses, and grants given back as idle."""
        self._release_idle()
        uses = self._released
        self._released = []
        for held in self._held_by_key.values():
            uses.append(_use(held, released=False))
            held.begun = 0
        return uses

    def _release_idle(self) -> None:
        now = self._now()
        for held in list(self._held_by_key.values()):
            if held.running or now - held.idle_since < IDLE_TIME:
                continue
            self._forget(held)
            self._released.append(_use(held, released=True))
        self._closed_by_key = {
            key: (number, time)
            for key, (number, time) in self._closed_by_key.items()
            if now - time < CLOSE_MEMORY
        }

    def _forget(self, held: Held) -> None:
        key = (held.target, held.model)
        if self._held_by_key.get(key) is held:
            del self._held_by_key[key]

    def __iter__(self) -> abc.Iterator[Held]:
        """Iterate over the grants held."""
        return iter(list(self._held_by_key.values()))


def _use(held: Held, released: bool) -> messages.Use:
    return messages.Use(
        held.target,
        held.model,
        held.number,
        held.begun,
        held.running,
        released,
    )
