"""Asks other nodes which registrations the store has removed.

A node that has just started, or was cut off from the store, has not seen the
removals that an earlier copy of the store's data undoes.
"""

from collections import abc
import random

import trio

from mustardlb_gateway import _messages
from mustardlb_gateway import _mirror
from mustardlb_gateway import _removals

MAX_ASKED = 3

RESPONSE_TIMEOUT_SECONDS = 0.5
RETRY_SECONDS = 0.25

# Later the store has removed again what is not renewed.
MAX_ASKING_SECONDS = 5.0

Request = abc.Callable[
    [str, _messages.Body, float], abc.Awaitable[_messages.Body | None]
]


async def sync(
    mirror: _mirror.Mirror,
    request: Request,
    alive: abc.Callable[[], abc.Collection[str]],
    add: abc.Callable[[abc.Iterable[_removals.Removal]], None],
) -> None:
    """Ask at the start, and in each new epoch of the store, until cancelled.

    `request` sends a message to a node and returns its response, or None
    without one in time. `alive` returns the other live nodes, and `add` is
    called with what they tell.
    """
    asked_epoch: int | None = None
    changed = trio.Event()
    mirror.on_change(lambda: changed.set())
    while True:
        epoch = mirror.epoch
        if mirror.revision and epoch != asked_epoch:
            with trio.move_on_after(MAX_ASKING_SECONDS):
                add(await _ask_until_answered(request, alive))
            asked_epoch = epoch
            continue
        changed = trio.Event()
        await changed.wait()


async def _ask_until_answered(
    request: Request, alive: abc.Callable[[], abc.Collection[str]]
) -> list[_removals.Removal]:
    """Return what all nodes that were asked and answered have told."""
    while True:
        answers: list[_messages.FoundRemovals] = []

        async def ask(
            vm: str, answers: list[_messages.FoundRemovals] = answers
        ) -> None:
            answer = await request(
                vm, _messages.FindRemovals(), RESPONSE_TIMEOUT_SECONDS
            )
            if isinstance(answer, _messages.FoundRemovals):
                answers.append(answer)

        vms = sorted(alive())
        async with trio.open_nursery() as nursery:
            for vm in random.sample(vms, min(MAX_ASKED, len(vms))):
                nursery.start_soon(ask, vm)
        if answers:
            return [each for answer in answers for each in answer.removals]
        await trio.sleep(RETRY_SECONDS)
