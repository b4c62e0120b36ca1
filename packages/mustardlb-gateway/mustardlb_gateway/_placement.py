"""Which target gets a call, and which engine an adapter that is nowhere.

An engine reads prompts one after the other, so the tokens that it still has
to read tell when a call's first token comes. An adapter stays on as few
engines as that permits: each copy takes a slot from another adapter.
"""

from collections import abc
import dataclasses
import random

from mustardlb_gateway import _leases
from mustardlb_gateway import _prefix_index
from mustardlb_gateway import _targets
from mustardlb_gateway import domain

# Prompt tokens that an engine reads in a second; an order of magnitude for
# present accelerators, used only to compare engines with each other.
PREFILL_TOKENS_PER_SECOND = 38_000.0

# Time of a load of an adapter from the weight store, and where the engine
# held it lately, from its host's memory; seconds.
STORE_LOAD_SECONDS = 0.28
HOST_LOAD_SECONDS = 0.04

# What a copy of an adapter must save beyond its load's time, seconds. From
# the weight store it takes a load that all engines share and the slot of
# another adapter; where the engine held it lately, the slot alone.
STORE_COPY_COST_SECONDS = 0.62
HOST_COPY_COST_SECONDS = 0.06

# What an engine is worse by that would answer too late, seconds: more than a
# copy costs. It counts as late beyond this part of the time left, since what
# other nodes send meanwhile is not known yet. A copy takes the slot of
# another adapter, so engines with less room than this count as late too.
LATE_PENALTY_SECONDS = 0.8
ON_TIME_SHARE = 0.6
MIN_SPARE_SLOTS = 3

# Preference among engines for a new copy, seconds: all nodes choose the
# same engine, and the same one again later, while it is not much busier.
RENDEZVOUS_SPREAD_SECONDS = 0.5

# What an engine is worse by that holds an older version of the adapter than
# the newest, seconds: more than a copy elsewhere costs. A replacement there
# would wait for all requests in flight, and hold up those that come.
STALE_VERSION_PENALTY_SECONDS = 2.0

# What an engine without room is worse by, seconds: about the time until one
# of its adapters is no longer in use, for each that has to become so.
FULL_ENGINE_WAIT_SECONDS = 0.5

# What a failing target is worse by, seconds, when all its requests fail.
FAILURE_PENALTY_SECONDS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """A target for a call.

    :ivar must_load: the adapter has to be put there first
    :ivar prefill_tokens: prompt tokens that the engine has to read for it
    """

    target: domain.Target
    must_load: bool
    prefill_tokens: int
    cost: float


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementRequest:
    """What a call needs of a target.

    :ivar min_version: the least of the adapter that will do, 0 for any
    :ivar newest_version: the newest known
    :ivar time_to_objective: seconds until its answer would be late
    :ivar excluded: targets that had the call already
    :ivar load_excluded: targets that did not get the adapter in time
    """

    service: domain.Service
    call: domain.Call
    min_version: int
    newest_version: int
    excluded: frozenset[str]
    load_excluded: frozenset[str] = frozenset()
    time_to_objective: float = float('inf')


class Placement:
    """Chooses among the targets that this node knows."""

    def __init__(
        self,
        targets: _targets.TargetTable,
        prefix_index: _prefix_index.PrefixIndex,
        resident: abc.Callable[[domain.Target], dict[domain.AdapterName, int]],
        is_controlled: abc.Callable[[str], bool],
        was_resident: abc.Callable[[str, domain.AdapterName], bool],
        free_slots: abc.Callable[[str], int],
    ) -> None:
        self._targets = targets
        self._prefix_index = prefix_index
        self._resident = resident
        self._is_controlled = is_controlled
        self._was_resident = was_resident
        self._free_slots = free_slots

    def choose(self, request: PlacementRequest) -> Choice | None:
        """Return the best target, None where no target will do now."""
        candidates = [
            target
            for target in self._targets.ready(request.service.name)
            if target.target_id not in request.excluded
        ]
        healthy = [
            target
            for target in candidates
            if not self._targets.is_suspended(target.target_id)
        ]
        candidates = healthy or candidates
        if not candidates:
            return None
        if request.service.engine is None:
            return min(
                (self._plain_choice(target) for target in candidates),
                key=lambda choice: choice.cost,
            )
        return self._choose_engine(request, candidates)

    def _plain_choice(self, target: domain.Target) -> Choice:
        """Weigh a plain target by how full it is."""
        running = self._targets.in_flight(target.target_id)
        health = self._targets.health(target.target_id)
        fullness = (running + random.random()) / max(1, target.slots)
        cost = fullness + FAILURE_PENALTY_SECONDS * health.failure_share
        return Choice(target, False, 0, cost)

    def _choose_engine(
        self, request: PlacementRequest, candidates: list[domain.Target]
    ) -> Choice | None:
        call = request.call
        if call.adapter is None:
            return min(
                (
                    self._resident_choice(request, target)
                    for target in candidates
                ),
                key=lambda choice: choice.cost,
            )
        model = domain.AdapterName(call.adapter.model)
        resident_choices: list[Choice] = []
        load_choices: list[Choice] = []
        for target in candidates:
            resident = self._resident(target)
            if model not in resident:
                continue
            version = resident.get(call.adapter)
            if version is None or version < request.min_version:
                if self._can_load(request, target):
                    choice = self._load_choice(request, target)
                    load_choices.append(
                        self._penalize_stale(request, version, choice)
                    )
                continue
            choice = self._resident_choice(request, target)
            resident_choices.append(
                self._penalize_stale(request, version, choice)
            )
        choices = resident_choices + load_choices
        if not choices:
            return None
        return min(choices, key=lambda choice: choice.cost)

    @staticmethod
    def _penalize_stale(
        request: PlacementRequest, version: int | None, choice: Choice
    ) -> Choice:
        if version is None or version >= request.newest_version:
            return choice
        return dataclasses.replace(
            choice, cost=choice.cost + STALE_VERSION_PENALTY_SECONDS
        )

    def _can_load(
        self, request: PlacementRequest, target: domain.Target
    ) -> bool:
        engine = request.service.engine
        if engine is None or not self._is_controlled(target.target_id):
            return False
        if target.target_id in request.load_excluded:
            return False
        return bool(request.call.adapter and request.call.adapter.adapter)

    def _resident_choice(
        self, request: PlacementRequest, target: domain.Target
    ) -> Choice:
        prefill_tokens = self._prefix_index.uncached_tokens(
            target.target_id, request.call
        )
        first_token_in = (
            self._prefill_queue_seconds(target)
            + prefill_tokens / PREFILL_TOKENS_PER_SECOND
        )
        cost = self._cost(request, target, first_token_in)
        return Choice(target, False, prefill_tokens, cost)

    def _load_choice(
        self, request: PlacementRequest, target: domain.Target
    ) -> Choice:
        prefill_tokens = request.call.prompt_tokens
        adapter = request.call.adapter
        if adapter and self._was_resident(target.target_id, adapter):
            load_seconds, penalty = HOST_LOAD_SECONDS, HOST_COPY_COST_SECONDS
        else:
            weight = _leases.rendezvous_weight(str(adapter), target.target_id)
            load_seconds = STORE_LOAD_SECONDS
            penalty = STORE_COPY_COST_SECONDS + RENDEZVOUS_SPREAD_SECONDS * (
                1 - weight[0] / 255
            )
        missing_slots = max(0, 1 - self._free_slots(target.target_id))
        # Other prompts are read while the adapter is loaded.
        first_token_in = (
            max(
                self._prefill_queue_seconds(target),
                load_seconds + missing_slots * FULL_ENGINE_WAIT_SECONDS,
            )
            + prefill_tokens / PREFILL_TOKENS_PER_SECOND
        )
        if self._free_slots(target.target_id) < MIN_SPARE_SLOTS:
            penalty += LATE_PENALTY_SECONDS
        cost = self._cost(request, target, first_token_in) + penalty
        return Choice(target, True, prefill_tokens, cost)

    def _prefill_queue_seconds(self, target: domain.Target) -> float:
        """Return the seconds until the engine reads another prompt."""
        return (
            self._targets.pending_prefill_tokens(target.target_id)
            / PREFILL_TOKENS_PER_SECOND
        )

    def _cost(
        self,
        request: PlacementRequest,
        target: domain.Target,
        first_token_in: float,
    ) -> float:
        """Weigh an engine that would begin to answer in so many seconds."""
        running = self._targets.in_flight(target.target_id)
        health = self._targets.health(target.target_id)
        fullness = max(0.0, running / max(1, target.slots) - 0.8)
        cost = (
            first_token_in
            + fullness
            + FAILURE_PENALTY_SECONDS * health.failure_share
        )
        if first_token_in > ON_TIME_SHARE * request.time_to_objective > 0:
            cost += LATE_PENALTY_SECONDS
        return cost
