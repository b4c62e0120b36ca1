"""Grants of this node to send requests for a model to a target.

Under a grant the node may start requests until the target's owner closes
it. The node confirms the close only after its last request there has ended,
so an adapter with grants or running requests is never evicted.
"""

from collections import abc
import dataclasses

import trio

from mustardlb import clock
from mustardlbd import _notifier
from mustardlbd import _target_messages as messages

# A grant is returned after this time without a request.
IDLE_TTL_SECONDS = 5.0

# The number of a close is kept for longer than any call's timeout, so that
# it also rejects a delayed grant that the owner made before the close.
CLOSED_TTL_SECONDS = 120.0

Key = tuple[str, str]


@dataclasses.dataclass(slots=True, eq=False)
class HeldGrant:
    """A grant that this node holds.

    :ivar number: sequence number among grants and closes of the model
    :ivar running: number of running requests
    :ivar begun: requests started since the last report
    :ivar closing: whether no request may start
    :ivar idle_since: time at which the last request ended
    """

    target: str
    model: str
    number: int
    idle_since: float
    running: int = 0
    begun: int = 0
    closing: bool = False


class Grants:
    """All grants of this node."""

    def __init__(self, now: clock.Clock) -> None:
        self._now = now
        self._held_by_key: dict[Key, HeldGrant] = {}
        self._closed_by_key: dict[Key, tuple[int, float]] = {}
        self._min_number_by_target: dict[str, int] = {}
        self._released: list[messages.Use] = []
        self._request_ended = _notifier.Notifier()

    def add(self, target: str, model: str, number: int) -> bool:
        """Add a grant; return False if a later close or owner revoked it."""
        key = (target, model)
        closed, _ = self._closed_by_key.get(key, (0, 0.0))
        min_number = self._min_number_by_target.get(target, 0)
        if number <= closed or number < min_number:
            return False
        held = self._held_by_key.get(key)
        if held is None:
            held = HeldGrant(target, model, number, self._now())
            self._held_by_key[key] = held
        held.number = max(held.number, number)
        held.closing = False
        return True

    def find_usable(self, model: str) -> list[HeldGrant]:
        """Return the grants under which a request for a model may start."""
        return [
            held
            for held in self._held_by_key.values()
            if held.model == model and not held.closing
        ]

    def begin_request(self, held: HeldGrant) -> None:
        """Count a request that starts."""
        held.running += 1
        held.begun += 1

    def end_request(self, held: HeldGrant) -> None:
        """Count a request that ended."""
        held.running -= 1
        held.idle_since = self._now()
        if held.running == 0:
            self._request_ended.notify()

    def suspend(self, target: str, model: str) -> None:
        """Start no more requests under a grant: the target lacks the model."""
        held = self._held_by_key.get((target, model))
        if held is not None:
            held.closing = True

    def suspend_all(self) -> None:
        """Start no more requests under the current grants."""
        for held in self._held_by_key.values():
            held.closing = True

    async def close(self, close: messages.Close, max_wait: float) -> bool:
        """End a grant; return whether it is still held after `max_wait`.

        It is still held if requests run under it or if it was granted again.
        """
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
        with trio.move_on_after(max_wait):
            while held.running:
                await self._request_ended.wait()
        if held.running or not held.closing:
            return True
        self._remove(held)
        return False

    def hand_over(self, target: str, epoch: int) -> tuple[messages.Grant, ...]:
        """Return a target's grants; reject later ones of older epochs."""
        min_number = max(
            self._min_number_by_target.get(target, 0), epoch << 32
        )
        self._min_number_by_target[target] = min_number
        return tuple(
            messages.Grant(held.model, held.number)
            for held in self._held_by_key.values()
            if held.target == target
        )

    def collect_uses(self) -> list[messages.Use]:
        """Return the uses since the last report, and idle grants returned."""
        self._release_idle()
        uses = self._released
        self._released = []
        for held in self._held_by_key.values():
            uses.append(_make_use(held, released=False))
            held.begun = 0
        return uses

    def _release_idle(self) -> None:
        now = self._now()
        for held in list(self._held_by_key.values()):
            if held.running or now - held.idle_since < IDLE_TTL_SECONDS:
                continue
            self._remove(held)
            self._released.append(_make_use(held, released=True))
        self._closed_by_key = {
            key: (number, time)
            for key, (number, time) in self._closed_by_key.items()
            if now - time < CLOSED_TTL_SECONDS
        }

    def _remove(self, held: HeldGrant) -> None:
        key = (held.target, held.model)
        if self._held_by_key.get(key) is held:
            del self._held_by_key[key]

    def __iter__(self) -> abc.Iterator[HeldGrant]:
        """Iterate over the held grants."""
        return iter(list(self._held_by_key.values()))


def _make_use(held: HeldGrant, released: bool) -> messages.Use:
    return messages.Use(
        held.target,
        held.model,
        held.number,
        held.begun,
        held.running,
        released,
    )
