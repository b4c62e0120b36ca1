"""Where a request runs: a target that holds its model, under a grant."""

from collections import abc
import contextlib
import hashlib
import math

import structlog
import trio

from mustardlb import errors
from mustardlb import routes
from mustardlb import steps
from mustardlbd import _dependencies
from mustardlbd import _grants
from mustardlbd import _target_context
from mustardlbd import _target_messages as messages

log = structlog.get_logger()

# Engines at which a model is placed by choice; the rest follow in rank.
CHOICES = 3

# Between two rounds of asks, seconds.
RETRY_INTERVAL = 0.1

# Longest that one owner is asked, seconds.
ASK_TIME = 5.0

# An answer may take so long beyond what the ask says, seconds.
MARGIN = 1.0

# Requests of one account that wait for a placement at this node.
WAITING_LIMIT = 256

# When a refused caller may try again, seconds.
RETRY_AFTER = 1.0

# Requests at an engine, as a multiple of its batch, above which a request
# seeks another copy of its adapter.
CROWDED = 1.0

# A copy is not sought again for so long, seconds.
COPY_INTERVAL = 2.0

# A request of unknown end counts as running for so long, seconds.
LINGER_TIME = 60.0


class Placer:
    """Finds targets for the requests of this node."""

    def __init__(
        self,
        fleet: _target_context.TargetContext,
        grants: _grants.Grants,
        statuses_by_target: abc.Mapping[str, messages.Status],
        spawn: abc.Callable[[abc.Callable[[], abc.Awaitable[None]]], None],
    ) -> None:
        self._fleet = fleet
        self._grants = grants
        self._statuses_by_target = statuses_by_target
        self._spawn = spawn
        self._running_by_target: dict[str, int] = {}
        self._asking_by_model: dict[str, trio.Event] = {}
        self._waiting_by_account: dict[str, int] = {}
        self._missing: set[tuple[str, str]] = set()
        self._copied_by_model: dict[str, float] = {}

    @contextlib.asynccontextmanager
    async def place(
        self,
        model: str,
        account: str,
        wait: float,
        avoid: frozenset[str] = frozenset(),
    ) -> abc.AsyncIterator[_dependencies.Placement]:
        """Hold a target that has the model; not one of those to avoid.

        Raises NO_TARGET, LOAD_FAILED, OVERLOADED or NODE_NOT_CURRENT, each
        with `not_run`.
        """
        target, held = await self._wait_for(model, account, wait, avoid)
        name = target.name
        abandoned = []
        self._count(name, 1)
        try:
            yield _dependencies.Placement(
                name,
                target.url,
                model,
                lambda served: self._check_served(name, model, served),
                lambda: abandoned.append(True),
            )
        finally:
            self._count(name, -1)
            if held is not None:
                self._release(held, bool(abandoned))

    def _count(self, target: str, change: int) -> None:
        running = self._running_by_target.get(target, 0)
        self._running_by_target[target] = running + change

    def _release(self, held: _grants.Held, lingers: bool) -> None:
        if not lingers:
            self._grants.end(held)
            return

        async def end_later() -> None:
            await trio.sleep(LINGER_TIME)
            self._grants.end(held)

        self._spawn(end_later)

    def _check_served(self, target: str, model: str, served: str) -> None:
        if served == model:
            return
        log.warning('MLB-5020', target=target, model=model, served=served)
        self._grants.drop(target, model)
        self._missing.add((target, model))
        raise errors.Error(
            errors.Code.WRONG_ADAPTER,
            f'the target ran {served or "nothing"} instead of {model}',
            steps.Step.DISPATCH,
            peer=target,
            not_run=not served,
        )

    async def _wait_for(
        self, model: str, account: str, wait: float, avoid: frozenset[str]
    ) -> tuple[routes.Target, _grants.Held | None]:
        waiting = self._waiting_by_account.get(account, 0)
        if waiting >= WAITING_LIMIT:
            raise _refusal(
                errors.Code.OVERLOADED, 'too many requests wait for adapters'
            )
        self._waiting_by_account[account] = waiting + 1
        try:
            return await self._find(model, account, wait, avoid)
        finally:
            self._waiting_by_account[account] -= 1
            if not self._waiting_by_account[account]:
                del self._waiting_by_account[account]

    async def _find(
        self, model: str, account: str, wait: float, avoid: frozenset[str]
    ) -> tuple[routes.Target, _grants.Held | None]:
        deadline = self._fleet.now() + wait
        failed = False
        while True:
            self._fleet.check_fresh(steps.Step.PLACEMENT)
            found = self._begin(model, account, avoid)
            if found is not None:
                return found
            left = deadline - self._fleet.now()
            if left <= 0:
                break
            outcome = await self._ask_once(model, account, left, avoid)
            failed |= outcome is messages.Outcome.FAILED
            if outcome is not messages.Outcome.GRANTED:
                await trio.sleep(min(RETRY_INTERVAL, max(left, 0.0)))
        if failed:
            raise _refusal(
                errors.Code.LOAD_FAILED, f'{model} could not be loaded'
            )
        raise _refusal(
            errors.Code.NO_TARGET, f'no target with {model} in {wait} s'
        )

    def _begin(
        self, model: str, account: str, avoid: frozenset[str]
    ) -> tuple[routes.Target, _grants.Held | None] | None:
        """Begin a request where this node may; None where it must ask."""
        targets = self._engines(avoid)
        bases = [one for one in targets.values() if one.base_model == model]
        if bases:
            return min(bases, key=lambda one: self._load(one.name)), None
        usable = [
            held
            for held in self._grants.usable(model)
            if held.target in targets
        ]
        if not usable:
            return None
        held = min(usable, key=lambda one: self._load(one.target))
        if self._load(held.target) >= CROWDED:
            self._seek_copy(model, account, avoid | {held.target})
        self._grants.begin(held)
        return targets[held.target], held

    def _seek_copy(
        self, model: str, account: str, avoid: frozenset[str]
    ) -> None:
        """Ask for the model at one more engine, beside the request."""
        now = self._fleet.now()
        latest = self._copied_by_model.get(model, -math.inf)
        others = [
            name for name in self._engines(avoid) if self._load(name) < 0.5
        ]
        if now - latest < COPY_INTERVAL or not others:
            return
        self._copied_by_model[model] = now

        async def ask() -> None:
            ranked = self._ranked(model, avoid)
            await self._ask_owner(ranked[0], model, account, ASK_TIME)

        self._spawn(ask)

    async def _ask_once(
        self, model: str, account: str, left: float, avoid: frozenset[str]
    ) -> messages.Outcome:
        """Ask for a grant, once for all requests that wait for the model."""
        asking = self._asking_by_model.get(model)
        if asking is not None:
            with trio.move_on_after(left):
                await asking.wait()
            return messages.Outcome.GRANTED
        asking = trio.Event()
        self._asking_by_model[model] = asking
        try:
            return await self._ask_round(model, account, left, avoid)
        finally:
            del self._asking_by_model[model]
            asking.set()

    async def _ask_round(
        self, model: str, account: str, left: float, avoid: frozenset[str]
    ) -> messages.Outcome:
        """Ask owners in the order of preference until one grants."""
        worst = messages.Outcome.BUSY
        deadline = self._fleet.now() + left
        for target in self._ranked(model, avoid):
            left = deadline - self._fleet.now()
            if left <= 0:
                break
            outcome = await self._ask_owner(target, model, account, left)
            if outcome is messages.Outcome.GRANTED:
                return outcome
            if outcome is messages.Outcome.FAILED:
                worst = outcome
        return worst

    async def _ask_owner(
        self, target: str, model: str, account: str, left: float
    ) -> messages.Outcome:
        key = (target, model)
        owner = self._fleet.owners().owner_of(
            _target_context.target_key(target)
        )
        wait = min(left, ASK_TIME)
        ask = messages.Ask(
            target, model, account, True, key in self._missing, wait
        )
        try:
            reply = await self._fleet.call(
                owner.vm_id,
                messages.ASK,
                messages.encode(ask),
                wait + MARGIN,
            )
        except errors.Error as error:
            log.info('MLB-5021', target=target, problem=str(error))
            return messages.Outcome.REFUSED
        answer = messages.decode(messages.Answer, reply)
        if answer.outcome is not messages.Outcome.GRANTED:
            return answer.outcome
        self._missing.discard(key)
        if not self._grants.add(target, model, answer.number):
            return messages.Outcome.BUSY
        return answer.outcome

    def _engines(self, avoid: frozenset[str]) -> dict[str, routes.Target]:
        return {
            name: target
            for name, target in self._fleet.targets().items()
            if target.kind is routes.TargetKind.ENGINE
            and target.state is routes.TargetState.SERVE
            and name not in avoid
        }

    def _ranked(self, model: str, avoid: frozenset[str]) -> list[str]:
        """Rank engines to ask for a model.

        First where it is said to be resident; then, of its first choices,
        where a load displaces least; then the others in rank.
        """
        names = sorted(
            self._engines(avoid), key=lambda name: rank(model, name)
        )
        resident = [name for name in names if self._is_resident(name, model)]
        others = [name for name in names if name not in resident]
        choices = sorted(others[:CHOICES], key=self._spare)
        resident.sort(key=self._load)
        return resident + choices + others[CHOICES:]

    def _is_resident(self, target: str, model: str) -> bool:
        status = self._statuses_by_target.get(target)
        return status is not None and model in status.resident

    def _spare(self, target: str) -> float:
        status = self._statuses_by_target.get(target)
        return 0.0 if status is None else round(status.spare, 1)

    def _load(self, target: str) -> float:
        """Give the requests at a target as a multiple of its batch.

        The report lags, so what this node itself runs there counts at
        least.
        """
        running = self._running_by_target.get(target, 0)
        status = self._statuses_by_target.get(target)
        if status is None:
            return running / 16
        reported = status.running + status.waiting
        return max(running, reported) / max(status.batch, 1)


def rank(model: str, target: str) -> bytes:
    """Rank a target for a model, by rendezvous hash.

    >>> rank('oak@1', 'engine-1') == rank('oak@1', 'engine-1')
    True
    """
    return hashlib.blake2b(
        f'{model}\n{target}'.encode(), digest_size=8
    ).digest()


def _refusal(code: errors.Code, message: str) -> errors.Error:
    return errors.Error(
        code,
        message,
        steps.Step.PLACEMENT,
        not_run=True,
        retry_after=RETRY_AFTER,
    )
