"""Places requests on targets that hold their model, under a grant."""

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

# Highest-ranked engines among which the cheapest one for a load is chosen.
PREFERRED_COUNT = 3

RETRY_INTERVAL_SECONDS = 0.1

# An owner may take this long to grant a request.
MAX_REQUEST_SECONDS = 5.0

# Time for the reply of an owner beyond the wait that was requested.
RESPONSE_MARGIN_SECONDS = 1.0

MAX_WAITING_PER_ACCOUNT = 256

RETRY_AFTER_SECONDS = 1.0

# An adapter is loaded on one more engine when the requests at its engine
# reach this multiple of the batch size.
COPY_UTILIZATION = 1.0

# Minimum time between requests for a further copy of one adapter.
COPY_INTERVAL_SECONDS = 2.0

# An abandoned request, whose end is unknown, counts as running this long.
ABANDONED_SECONDS = 60.0


class Placer:
    """Places the requests of this node on targets."""

    def __init__(
        self,
        context: _target_context.TargetContext,
        grants: _grants.Grants,
        statuses_by_target: abc.Mapping[str, messages.Status],
        spawn: abc.Callable[[abc.Callable[[], abc.Awaitable[None]]], None],
    ) -> None:
        self._context = context
        self._grants = grants
        self._statuses_by_target = statuses_by_target
        self._spawn = spawn
        self._running_by_target: dict[str, int] = {}
        self._pending_by_model: dict[str, trio.Event] = {}
        self._waiting_by_account: dict[str, int] = {}
        self._missing_keys: set[tuple[str, str]] = set()
        self._copy_requested_at_by_model: dict[str, float] = {}

    @contextlib.asynccontextmanager
    async def place(
        self,
        model: str,
        account: str,
        wait: float,
        avoid: frozenset[str] = frozenset(),
    ) -> abc.AsyncIterator[_dependencies.Placement]:
        """Reserve a target that holds the model, except those in `avoid`.

        Raises NO_TARGET, LOAD_FAILED, OVERLOADED or NODE_NOT_CURRENT, each
        with `not_run`.
        """
        target, held = await self._acquire(model, account, wait, avoid)
        name = target.name
        abandoned = []
        self._add_running(name, 1)
        try:
            yield _dependencies.Placement(
                name,
                target.url,
                model,
                lambda served: self._check_served(name, model, served),
                lambda: abandoned.append(True),
            )
        finally:
            self._add_running(name, -1)
            if held is not None:
                self._release(held, bool(abandoned))

    def _add_running(self, target: str, change: int) -> None:
        running = self._running_by_target.get(target, 0)
        self._running_by_target[target] = running + change

    def _release(self, held: _grants.HeldGrant, is_abandoned: bool) -> None:
        if not is_abandoned:
            self._grants.end_request(held)
            return

        async def end_later() -> None:
            await trio.sleep(ABANDONED_SECONDS)
            self._grants.end_request(held)

        self._spawn(end_later)

    def _check_served(self, target: str, model: str, served: str) -> None:
        if served == model:
            return
        log.warning('MLB-5020', target=target, model=model, served=served)
        self._grants.suspend(target, model)
        self._missing_keys.add((target, model))
        raise errors.Error(
            errors.Code.WRONG_ADAPTER,
            f'the target ran {served or "nothing"} instead of {model}',
            steps.Step.DISPATCH,
            peer=target,
            not_run=not served,
        )

    async def _acquire(
        self, model: str, account: str, wait: float, avoid: frozenset[str]
    ) -> tuple[routes.Target, _grants.HeldGrant | None]:
        waiting = self._waiting_by_account.get(account, 0)
        if waiting >= MAX_WAITING_PER_ACCOUNT:
            raise _rejection(
                errors.Code.OVERLOADED,
                'too many requests are waiting for adapters',
            )
        self._waiting_by_account[account] = waiting + 1
        try:
            return await self._acquire_by_deadline(model, account, wait, avoid)
        finally:
            self._waiting_by_account[account] -= 1
            if not self._waiting_by_account[account]:
                del self._waiting_by_account[account]

    async def _acquire_by_deadline(
        self, model: str, account: str, wait: float, avoid: frozenset[str]
    ) -> tuple[routes.Target, _grants.HeldGrant | None]:
        deadline = self._context.now() + wait
        failed = False
        while True:
            self._context.check_fresh(steps.Step.PLACEMENT)
            found = self._try_begin(model, account, avoid)
            if found is not None:
                return found
            remaining = deadline - self._context.now()
            if remaining <= 0:
                break
            outcome = await self._request_grant_once(
                model, account, remaining, avoid
            )
            failed |= outcome is messages.Outcome.FAILED
            if outcome is not messages.Outcome.GRANTED:
                await trio.sleep(
                    min(RETRY_INTERVAL_SECONDS, max(remaining, 0.0))
                )
        if failed:
            raise _rejection(
                errors.Code.LOAD_FAILED, f'{model} could not be loaded'
            )
        raise _rejection(
            errors.Code.NO_TARGET, f'no target with {model} in {wait} s'
        )

    def _try_begin(
        self, model: str, account: str, avoid: frozenset[str]
    ) -> tuple[routes.Target, _grants.HeldGrant | None] | None:
        """Start a request at a target; return None without a grant."""
        targets = self._serving_engines(avoid)
        base_engines = [
            one for one in targets.values() if one.base_model == model
        ]
        if base_engines:
            return min(
                base_engines, key=lambda one: self._utilization(one.name)
            ), None
        usable = [
            held
            for held in self._grants.find_usable(model)
            if held.target in targets
        ]
        if not usable:
            return None
        held = min(usable, key=lambda one: self._utilization(one.target))
        if self._utilization(held.target) >= COPY_UTILIZATION:
            self._request_copy(model, account, avoid | {held.target})
        self._grants.begin_request(held)
        return targets[held.target], held

    def _request_copy(
        self, model: str, account: str, avoid: frozenset[str]
    ) -> None:
        """Request the model from one more engine in the background.

        The request is made only if another engine has more than half of its
        batch free, and at most once per COPY_INTERVAL_SECONDS.
        """
        now = self._context.now()
        latest = self._copy_requested_at_by_model.get(model, -math.inf)
        if now - latest < COPY_INTERVAL_SECONDS:
            return
        if not self._engines_for_copy(model, avoid):
            return
        self._copy_requested_at_by_model[model] = now

        async def request_copy() -> None:
            ranked = self._engines_for_copy(model, avoid)
            if not ranked:
                # The engines have gone or become busy since.
                return
            await self._request_from_owner(
                ranked[0], model, account, MAX_REQUEST_SECONDS
            )

        self._spawn(request_copy)

    def _engines_for_copy(
        self, model: str, avoid: frozenset[str]
    ) -> list[str]:
        """Return the engines with half of their batch free, by rank."""
        return [
            name
            for name in self._rank_engines(model, avoid)
            if self._utilization(name) < 0.5
        ]

    async def _request_grant_once(
        self, model: str, account: str, remaining: float, avoid: frozenset[str]
    ) -> messages.Outcome:
        """Request a grant; concurrent requests for a model share one call."""
        pending = self._pending_by_model.get(model)
        if pending is not None:
            with trio.move_on_after(remaining):
                await pending.wait()
            return messages.Outcome.GRANTED
        pending = trio.Event()
        self._pending_by_model[model] = pending
        try:
            return await self._request_from_owners(
                model, account, remaining, avoid
            )
        finally:
            del self._pending_by_model[model]
            pending.set()

    async def _request_from_owners(
        self, model: str, account: str, remaining: float, avoid: frozenset[str]
    ) -> messages.Outcome:
        """Request a grant from owners by rank until one grants it."""
        worst = messages.Outcome.BUSY
        deadline = self._context.now() + remaining
        for target in self._rank_engines(model, avoid):
            remaining = deadline - self._context.now()
            if remaining <= 0:
                break
            outcome = await self._request_from_owner(
                target, model, account, remaining
            )
            if outcome is messages.Outcome.GRANTED:
                return outcome
            if outcome is messages.Outcome.FAILED:
                worst = outcome
        return worst

    async def _request_from_owner(
        self, target: str, model: str, account: str, remaining: float
    ) -> messages.Outcome:
        key = (target, model)
        owner = self._context.owners().owner_of(
            _target_context.target_key(target)
        )
        wait = min(remaining, MAX_REQUEST_SECONDS)
        ask = messages.Ask(
            target, model, account, True, key in self._missing_keys, wait
        )
        try:
            reply = await self._context.call(
                owner.vm_id,
                messages.ASK,
                messages.encode(ask),
                wait + RESPONSE_MARGIN_SECONDS,
            )
        except errors.Error as error:
            log.info('MLB-5021', target=target, problem=str(error))
            return messages.Outcome.REFUSED
        answer = messages.decode(messages.Answer, reply)
        if answer.outcome is not messages.Outcome.GRANTED:
            return answer.outcome
        self._missing_keys.discard(key)
        if not self._grants.add(target, model, answer.number):
            return messages.Outcome.BUSY
        return answer.outcome

    def _serving_engines(
        self, avoid: frozenset[str]
    ) -> dict[str, routes.Target]:
        return {
            name: target
            for name, target in self._context.targets().items()
            if target.kind is routes.TargetKind.ENGINE
            and target.state is routes.TargetState.SERVE
            and name not in avoid
        }

    def _rank_engines(self, model: str, avoid: frozenset[str]) -> list[str]:
        """Return the engines in the order in which to request a model.

        Engines that report the model as resident come first, then the
        preferred ones by the cost of the eviction, then the others by rank.
        """
        names = sorted(
            self._serving_engines(avoid), key=lambda name: rank(model, name)
        )
        resident = [name for name in names if self._is_resident(name, model)]
        others = [name for name in names if name not in resident]
        preferred = sorted(
            others[:PREFERRED_COUNT], key=self._displacement_cost
        )
        resident.sort(key=self._utilization)
        return resident + preferred + others[PREFERRED_COUNT:]

    def _is_resident(self, target: str, model: str) -> bool:
        status = self._statuses_by_target.get(target)
        return status is not None and model in status.resident

    def _displacement_cost(self, target: str) -> float:
        status = self._statuses_by_target.get(target)
        return 0.0 if status is None else round(status.spare, 1)

    def _utilization(self, target: str) -> float:
        """Return the requests at a target as a multiple of its batch size.

        The status lags behind, so the requests that this node itself runs
        there are a lower bound.
        """
        running = self._running_by_target.get(target, 0)
        status = self._statuses_by_target.get(target)
        if status is None:
            # Assumes a batch size of 16 until the owner has reported one.
            return running / 16
        reported = status.running + status.waiting
        return max(running, reported) / max(status.batch, 1)


def rank(model: str, target: str) -> bytes:
    """Return the rendezvous hash that ranks a target for a model.

    >>> rank('oak@1', 'engine-1') == rank('oak@1', 'engine-1')
    True
    """
    return hashlib.blake2b(
        f'{model}\n{target}'.encode(), digest_size=8
    ).digest()


def _rejection(code: errors.Code, message: str) -> errors.Error:
    return errors.Error(
        code,
        message,
        steps.Step.PLACEMENT,
        not_run=True,
        retry_after=RETRY_AFTER_SECONDS,
    )
