"""Which target gets a call, and which engine an adapter that is nowhere.

An engine reads prompts one after the other, so the tokens that it still has
to read tell when a call's first token comes. An adapter stays on as few
engines as that permits: each copy takes a slot from another adapter.
"""

from collections import abc
import dataclasses
import random

from mustardlb_gateway import _leases
from mustardlb_gateway import _prefixes
from mustardlb_gateway import _targets
from mustardlb_gateway import domain

# Prompt tokens that an engine reads in a second; an order of magnitude for
# present accelerators, used only to compare engines with each other.
READ_RATE = 38_000.0

# Time of a load of an adapter from the weight store, and where the engine
# held it lately, from its host's memory; seconds.
STORE_LOAD_TIME = 0.28
HOST_LOAD_TIME = 0.04

# What a copy of an adapter must save beyond its load's time, seconds. From
# the weight store it takes a load that all engines share and the slot of
# another adapter; where the engine held it lately, the slot alone.
COPY_COST = 0.62
LATELY_COST = 0.06

# What an engine is worse by that would answer too late, seconds: more than a
# copy costs. It counts as late beyond this part of the time left, since what
# other nodes send meanwhile is not known yet. A copy takes the slot of
# another adapter, so engines with less room than this count as late too.
LATE_COST = 0.8
ON_TIME_PART = 0.6
AMPLE_ROOM = 3

# Preference among engines for a new copy, seconds: all nodes choose the
# same engine, and the same one again later, while it is not much busier.
RANK_SPREAD = 0.5

# What an engine is worse by that holds an older version of the adapter than
# the newest, seconds: more than a copy elsewhere costs. A replacement there
# would wait for all requests in flight, and hold up those that come.
OLD_VERSION_COST = 2.0

# What an engine without room is worse by, seconds: about the time until one
# of its adapters is no longer in use, for each that has to become so.
FULL_COST = 0.5

# What a failing target is worse by, seconds, when all its requests fail.
FAILURE_COST = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """A target for a call.

    :ivar must_load: the adapter has to be put there first
    :ivar unread_tokens: prompt tokens that the engine has to read for it
    """

    target: domain.Target
    must_load: bool
    unread_tokens: int
    estimate: float


@dataclasses.dataclass(frozen=True, slots=True)
class Wish:
    """What a call needs of a target.

    :ivar version: the least of the adapter that will do, 0 for any
    :ivar preferred_version: the newest known
    :ivar time_left: seconds until its answer would be late
    :ivar without: targets that had the call already
    :ivar without_load: targets that did not get the adapter in time
    """

    service: domain.Service
    call: domain.Call
    version: int
    preferred_version: int
    without: frozenset[str]
    without_load: frozenset[str] = frozenset()
    time_left: float = float('inf')


class Placement:
    """Chooses among the targets that this node knows."""

    def __init__(
        self,
        targets: _targets.TargetTable,
        prefixes: _prefixes.PrefixMemory,
        resident: abc.Callable[[domain.Target], dict[domain.AdapterName, int]],
        is_kept: abc.Callable[[str], bool],
        was_held: abc.Callable[[str, domain.AdapterName], bool],
        room: abc.Callable[[str], int],
    ) -> None:
        self._targets = targets
        self._prefixes = prefixes
        self._resident = resident
        self._is_kept = is_kept
        self._was_held = was_held
        self._room = room

    def choose(self, wish: Wish) -> Choice | None:
        """Return the best target, None where no target will do now."""
        candidates = [
            target
            for target in self._targets.ready(wish.service.name)
            if target.target_id not in wish.without
        ]
        healthy = [
            target
            for target in candidates
            if not self._targets.is_suspended(target.target_id)
        ]
        candidates = healthy or candidates
        if not candidates:
            return None
        if wish.service.engine is None:
            return min(
                (self._plain(target) for target in candidates),
                key=lambda choice: choice.estimate,
            )
        return self._engine(wish, candidates)

    def _plain(self, target: domain.Target) -> Choice:
        """Weigh a plain target by how full it is."""
        running = self._targets.running(target.target_id)
        health = self._targets.health(target.target_id)
        fullness = (running + random.random()) / max(1, target.slots)
        estimate = fullness + FAILURE_COST * health.failure_share
        return Choice(target, False, 0, estimate)

    def _engine(
        self, wish: Wish, candidates: list[domain.Target]
    ) -> Choice | None:
        call = wish.call
        if call.adapter is None:
            return min(
                (self._held(wish, target) for target in candidates),
                key=lambda choice: choice.estimate,
            )
        model = domain.AdapterName(call.adapter.model)
        held: list[Choice] = []
        absent: list[Choice] = []
        for target in candidates:
            resident = self._resident(target)
            if model not in resident:
                continue
            version = resident.get(call.adapter)
            if version is None or version < wish.version:
                if self._can_take(wish, target):
                    choice = self._absent(wish, target)
                    absent.append(self._worse_if_old(wish, version, choice))
                continue
            choice = self._held(wish, target)
            held.append(self._worse_if_old(wish, version, choice))
        both = held + absent
        if not both:
            return None
        return min(both, key=lambda choice: choice.estimate)

    @staticmethod
    def _worse_if_old(
        wish: Wish, version: int | None, choice: Choice
    ) -> Choice:
        if version is None or version >= wish.preferred_version:
            return choice
        return dataclasses.replace(
            choice, estimate=choice.estimate + OLD_VERSION_COST
        )

    def _can_take(self, wish: Wish, target: domain.Target) -> bool:
        engine = wish.service.engine
        if engine is None or not self._is_kept(target.target_id):
            return False
        if target.target_id in wish.without_load:
            return False
        return bool(wish.call.adapter and wish.call.adapter.adapter)

    def _held(self, wish: Wish, target: domain.Target) -> Choice:
        unread = self._prefixes.unread(target.target_id, wish.call)
        answer_in = self._queue(target) + unread / READ_RATE
        estimate = self._estimate(wish, target, answer_in)
        return Choice(target, False, unread, estimate)

    def _absent(self, wish: Wish, target: domain.Target) -> Choice:
        unread = wish.call.prompt_tokens
        adapter = wish.call.adapter
        if adapter and self._was_held(target.target_id, adapter):
            load_time, cost = HOST_LOAD_TIME, LATELY_COST
        else:
            rank = _leases.rank(str(adapter), target.target_id)
            load_time = STORE_LOAD_TIME
            cost = COPY_COST + RANK_SPREAD * (1 - rank[0] / 255)
        lack = max(0, 1 - self._room(target.target_id))
        # Other prompts are read while the adapter is loaded.
        answer_in = (
            max(self._queue(target), load_time + lack * FULL_COST)
            + unread / READ_RATE
        )
        if self._room(target.target_id) < AMPLE_ROOM:
            cost += LATE_COST
        estimate = self._estimate(wish, target, answer_in) + cost
        return Choice(target, True, unread, estimate)

    def _queue(self, target: domain.Target) -> float:
        """Return the seconds until the engine reads another prompt."""
        return self._targets.unread_tokens(target.target_id) / READ_RATE

    def _estimate(
        self, wish: Wish, target: domain.Target, answer_in: float
    ) -> float:
        """Weigh an engine that would begin to answer in so many seconds."""
        running = self._targets.running(target.target_id)
        health = self._targets.health(target.target_id)
        fullness = max(0.0, running / max(1, target.slots) - 0.8)
        estimate = answer_in + fullness + FAILURE_COST * health.failure_share
        if answer_in > ON_TIME_PART * wish.time_left > 0:
            estimate += LATE_COST
        return estimate
