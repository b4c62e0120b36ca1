"""Target selection for calls, and engine selection for adapter loads.

An engine prefills prompts one at a time, so its pending prefill tokens
determine the time to first token. An adapter is loaded on as few engines as
the latency objective permits, since each copy takes a slot from another
adapter.
"""

from collections import abc
import dataclasses
import math
import random

from mustardlb_gateway import _leases
from mustardlb_gateway import _prefill_queue
from mustardlb_gateway import _prefix_index
from mustardlb_gateway import _reported_loads
from mustardlb_gateway import _targets
from mustardlb_gateway import domain

# Time to load an adapter from the weight store, and from host memory if the
# adapter was resident on the engine recently.
STORE_LOAD_SECONDS = 0.28
HOST_LOAD_SECONDS = 0.04

# Time that a new copy of an adapter must save beyond its load time. A load
# from the weight store uses bandwidth that all engines share and evicts
# another adapter. A load from host memory only evicts another adapter.
STORE_COPY_COST_SECONDS = 0.62
HOST_COPY_COST_SECONDS = 0.06

# Penalty for an engine that would miss the latency objective. It exceeds the
# cost of a copy, so that a copy is made instead. An engine counts as late if
# it needs more than ON_TIME_SHARE of the remaining time. The rest is reserved
# for requests that other nodes send concurrently, which are not visible yet.
# A load on an engine with fewer free slots than MIN_SPARE_SLOTS incurs the
# same penalty, because the copy takes the slot of another adapter.
LATE_PENALTY_SECONDS = 0.8
ON_TIME_SHARE = 0.6
MIN_SPARE_SLOTS = 3

# Largest cost difference between engines that rendezvous hashing adds. With
# it, all nodes choose the same engine for a new copy of an adapter, also when
# they choose again later, unless that engine is much busier than the others.
RENDEZVOUS_SPREAD_SECONDS = 0.5

# Penalty for an engine on which the adapter is not the newest version. It
# exceeds the cost of a copy on another engine, because replacing the version
# in place blocks new requests until all requests in flight have finished.
STALE_VERSION_PENALTY_SECONDS = 2.0

# Approximate time until an adapter on a full engine becomes idle, counted for
# each slot that must be freed.
FULL_ENGINE_WAIT_SECONDS = 0.5

# Load ratio by which a plain target in the same data centre may exceed another
# one and is still chosen, since bytes between data centres are charged.
LOCAL_TARGET_ADVANTAGE = 0.2

# Part of the slots up to which local targets that report a slowdown are fully
# preferred. Full ones are not preferred at all.
LOCAL_PREFERENCE_FULLNESS = 0.6

# If loads are older, two random plain targets are compared instead of all,
# since all nodes would choose the one that looks idle until the next update.
MAX_LOAD_AGE_SECONDS = 0.25


# Plain targets whose slowdowns differ by less share requests by their speed.
# Slower ones get requests only once the faster ones have this part of the
# ratio of their slowdowns in requests for each slot: an idle target that takes
# four times as long is used once two requests wait for each slot elsewhere.
SIMILAR_SLOWDOWN_RATIO = 1.5
FILL_RATIO = 0.5

# Most requests for each slot before slower targets get some, whatever they
# report. A false report must not fill the queues of all other targets.
MAX_FILL = 2.0
COMPARED_TARGETS = 2

# Penalty for a target all of whose requests fail. It is scaled by the share
# of failed requests.
FAILURE_PENALTY_SECONDS = 2.0

# A cold target has few requests in flight since it gets few, which does not
# make it the least loaded one. A plain target counts as if it had only this
# part of its slots. An engine gets a penalty of about the time between two
# requests to it, which is below the cost of a copy of an adapter.
COLD_SLOTS_RATIO = 0.25
COLD_PENALTY_SECONDS = 0.15


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """A target selected for a call.

    :ivar must_load: the adapter must be loaded on the engine first
    :ivar prefill_tokens: prompt tokens of the call that the engine has to
        prefill
    :ivar cost: estimated cost; seconds for an engine, load ratio for a plain
        target
    :ivar max_queue: longest queue of prompts, in seconds, with which the
        engine is still preferred to all others
    """

    target: domain.Target
    must_load: bool
    prefill_tokens: int
    cost: float
    max_queue: float = math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementRequest:
    """Requirements of a call on its target.

    :ivar min_version: minimum version of the adapter, 0 for any
    :ivar newest_version: newest known version of the adapter
    :ivar excluded: targets to which the call was sent before
    :ivar load_excluded: targets on which the adapter was not loaded in time
    :ivar time_to_objective: seconds left to meet the latency objective
    :ivar queue_seconds: queues of prompts that controllers have told, by
        target
    :ivar absent: targets that do not have the adapter any more
    :ivar denied: targets that take no further request at present
    :ivar software: the only version of the targets' software, or None
    :ivar begins_stream: whether the call may begin a stream
    """

    service: domain.Service
    call: domain.Call
    min_version: int
    newest_version: int
    excluded: frozenset[str]
    load_excluded: frozenset[str] = frozenset()
    time_to_objective: float = math.inf
    queue_seconds: abc.Mapping[str, float] = dataclasses.field(
        default_factory=dict
    )
    absent: frozenset[str] = frozenset()
    denied: frozenset[str] = frozenset()
    software: str | None = None
    begins_stream: bool = False


class Placement:
    """Selects a target by estimated cost."""

    def __init__(
        self,
        targets: _targets.TargetTable,
        prefix_index: _prefix_index.PrefixIndex,
        resident: abc.Callable[[domain.Target], dict[domain.AdapterName, int]],
        is_controlled: abc.Callable[[str], bool],
        was_resident: abc.Callable[[str, domain.AdapterName], bool],
        free_slots: abc.Callable[[str], int],
        load_age: abc.Callable[[], float] = lambda: 0.0,
        data_centre: str = '',
        is_adopted: abc.Callable[[domain.Target], bool] = lambda _: True,
        reported_loads: _reported_loads.ReportedLoads | None = None,
        is_cold: abc.Callable[[domain.Target], bool] = lambda _: False,
    ) -> None:
        self._is_cold = is_cold
        self._targets = targets
        self._prefix_index = prefix_index
        self._resident = resident
        self._is_controlled = is_controlled
        self._was_resident = was_resident
        self._free_slots = free_slots
        self._load_age = load_age
        self._data_centre = data_centre
        self._is_adopted = is_adopted
        self._reported_loads = reported_loads

    def choose(self, request: PlacementRequest) -> Choice | None:
        """Return the target of lowest cost, or None if none is suitable."""
        candidates = [
            target
            for target in self._with_software(request)
            if target.target_id not in request.excluded
            and target.target_id not in request.denied
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
                (
                    self._plain_choice(target)
                    for target in self._compared_targets(candidates)
                ),
                key=lambda choice: choice.cost,
            )
        return self._choose_engine(request, candidates)

    def has_free_slot(
        self, request: PlacementRequest, asked: abc.Container[str]
    ) -> bool:
        """Return whether another engine than those asked has a free slot."""
        adapter = request.call.adapter
        model = domain.AdapterName(adapter.model) if adapter else None
        return any(
            target.target_id not in asked
            and target.target_id not in request.denied
            and not self._targets.is_suspended(target.target_id)
            and self._is_controlled(target.target_id)
            and self._free_slots(target.target_id) > 0
            and model in self._resident(target)
            for target in self._with_software(request)
        )

    def _with_software(self, request: PlacementRequest) -> list[domain.Target]:
        """Return the ready targets with software that may serve a call.

        Streams begin at a new version once all nodes know of it, unless there
        is no other.
        """
        ready = self._targets.ready(request.service.name)
        if request.software is not None:
            return [
                each for each in ready if each.software == request.software
            ]
        if not request.begins_stream:
            return ready
        return [each for each in ready if self._is_adopted(each)] or ready

    def _compared_targets(
        self, candidates: list[domain.Target]
    ) -> list[domain.Target]:
        """Return the plain targets to compare, among them a local one.

        If they report a slowdown, one is drawn and not compared. All nodes
        are told the same, so that the best one of two would get the requests
        of all nodes until the next update.
        """
        if len(candidates) <= COMPARED_TARGETS:
            return candidates
        slowdowns = [self._slowdown(target) for target in candidates]
        if any(slowdowns):
            return [self._draw(candidates, slowdowns)]
        if self._load_age() <= MAX_LOAD_AGE_SECONDS:
            return candidates
        sample = random.sample(candidates, COMPARED_TARGETS)
        local = [
            target
            for target in candidates
            if target.data_centre == self._data_centre
        ]
        return [random.choice(local), *sample] if local else sample

    def _draw(
        self,
        candidates: list[domain.Target],
        slowdowns: list[float | None],
    ) -> domain.Target:
        """Return a plain target, drawn by the part that it should get.

        A local target is preferred as long as its data centre sends it no
        more than that, and the less the fuller it is.
        """
        reported = [
            ReportedCapacity(
                target.slots, slowdown or 1.0, self._requests(target)
            )
            for target, slowdown in zip(candidates, slowdowns, strict=True)
        ]
        shares = capacity_shares(reported)
        local = [
            n
            for n, target in enumerate(candidates)
            if target.data_centre == self._data_centre
        ]
        local_share = sum(shares[n] for n in local)
        if local_share > 0:
            centres = len({target.data_centre for target in candidates})
            slots = sum(reported[n].slots for n in local)
            requests = sum(reported[n].requests for n in local)
            preference = (1 - requests / max(1, slots)) / (
                1 - LOCAL_PREFERENCE_FULLNESS
            )
            if random.random() < min(1.0, local_share * centres, preference):
                return random.choices(
                    [candidates[n] for n in local],
                    [shares[n] for n in local],
                )[0]
        return random.choices(candidates, shares)[0]

    def _plain_choice(self, target: domain.Target) -> Choice:
        """Return a plain target with its load ratio as the cost."""
        running = self._requests(target)
        health = self._targets.health(target.target_id)
        slots = max(1.0, target.slots)
        if self._is_cold(target):
            slots *= COLD_SLOTS_RATIO
        fullness = (running + random.random()) / slots
        slowdown = self._slowdown(target)
        if slowdown is not None:
            # A request takes one usual time, and the wait at a full target.
            fullness = (1 + fullness) * slowdown - 1
        cost = fullness + FAILURE_PENALTY_SECONDS * health.failure_share
        if target.data_centre != self._data_centre:
            cost += LOCAL_TARGET_ADVANTAGE
        return Choice(target, False, 0, cost)

    def _slowdown(self, target: domain.Target) -> float | None:
        """Return the slowdown of a target, None if it reports none."""
        if self._reported_loads is None:
            return None
        return self._reported_loads.slowdown(target)

    def _requests(self, target: domain.Target) -> int:
        """Return the running and waiting requests of a target."""
        in_flight = self._targets.in_flight(target.target_id)
        if self._reported_loads is None:
            return in_flight
        return self._reported_loads.requests(target, in_flight)

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
            if target.target_id in request.absent:
                version = None
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
        return self._best_choice(request, resident_choices, load_choices)

    def _best_choice(
        self,
        request: PlacementRequest,
        resident_choices: list[Choice],
        load_choices: list[Choice],
    ) -> Choice | None:
        """Return the choice of lowest cost, with its longest queue.

        Engines with the adapter are ranked with a random part of the age of
        their loads, so that nodes that see the same loads do not all choose
        the same engine. A load is weighed against the estimate alone.
        """
        load_choices = sorted(load_choices, key=lambda choice: choice.cost)
        ranked = sorted(
            (
                (choice.cost + self._spread(request, choice), choice)
                for choice in resident_choices
            ),
            key=lambda each: each[0],
        )
        resident = [choice for _, choice in ranked]
        if not resident and not load_choices:
            return None
        if not resident or (
            load_choices and load_choices[0].cost < resident[0].cost
        ):
            best = load_choices[0]
            costs = [choice.cost for choice in load_choices + resident[:1]]
        else:
            best = resident[0]
            costs = [cost for cost, _ in ranked]
            # In terms of the ranked costs.
            costs += [
                costs[0] + choice.cost - best.cost
                for choice in load_choices[:1]
            ]
        advantage = min(costs[1:], default=math.inf) - costs[0]
        if best.must_load:
            # All nodes load an adapter on the same engine, also if that has
            # become busier than another: a second copy would take the slot of
            # another adapter.
            advantage = math.inf
        return dataclasses.replace(best, max_queue=best.max_queue + advantage)

    def _spread(self, request: PlacementRequest, choice: Choice) -> float:
        """Return the random part of a cost that is not known exactly."""
        if choice.target.target_id in request.queue_seconds:
            return 0.0
        return random.uniform(0.0, self._load_age())

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
        slowdown = self._slowdown(target) or 1.0
        queue = self._prefill_queue_seconds(request, target, slowdown)
        first_token_in = queue + slowdown * (
            prefill_tokens / _prefill_queue.PREFILL_TOKENS_PER_SECOND
        )
        cost = self._cost(request, target, first_token_in)
        return Choice(target, False, prefill_tokens, cost, queue)

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
        slowdown = self._slowdown(target) or 1.0
        # The engine prefills other prompts while it loads the adapter.
        ready_in = max(
            self._prefill_queue_seconds(request, target, slowdown),
            load_seconds + missing_slots * FULL_ENGINE_WAIT_SECONDS,
        )
        first_token_in = ready_in + slowdown * (
            prefill_tokens / _prefill_queue.PREFILL_TOKENS_PER_SECOND
        )
        if self._free_slots(target.target_id) < MIN_SPARE_SLOTS:
            penalty += LATE_PENALTY_SECONDS
        cost = self._cost(request, target, first_token_in) + penalty
        return Choice(target, True, prefill_tokens, cost, ready_in)

    def _prefill_queue_seconds(
        self,
        request: PlacementRequest,
        target: domain.Target,
        slowdown: float,
    ) -> float:
        """Return the seconds until the engine can start another prefill.

        What controllers have told includes the slowdown.
        """
        known = request.queue_seconds.get(target.target_id)
        if known is not None:
            return known
        return (
            slowdown
            * self._targets.pending_prefill_tokens(target.target_id)
            / _prefill_queue.PREFILL_TOKENS_PER_SECOND
        )

    def _cost(
        self,
        request: PlacementRequest,
        target: domain.Target,
        first_token_in: float,
    ) -> float:
        """Return the cost, in seconds, of an engine for a request."""
        running = self._requests(target)
        health = self._targets.health(target.target_id)
        fullness = max(0.0, running / max(1, target.slots) - 0.8)
        cost = (
            first_token_in
            + fullness
            + FAILURE_PENALTY_SECONDS * health.failure_share
        )
        if self._is_cold(target):
            cost += COLD_PENALTY_SECONDS
        if first_token_in > ON_TIME_SHARE * request.time_to_objective > 0:
            cost += LATE_PENALTY_SECONDS
        return cost


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedCapacity:
    """Slots, slowdown, and running and waiting requests of a target."""

    slots: int
    slowdown: float
    requests: int

    @property
    def weight(self) -> float:
        """Return the speed, reduced while more requests than slots wait."""
        free = min(1.0, self.slots / max(1, self.requests))
        return max(1, self.slots) / self.slowdown * free


def capacity_shares(reported: list[ReportedCapacity]) -> list[float]:
    """Return the parts of the requests that plain targets should get.

    Slower targets get what the faster ones have no room for, which are filled
    up to a part of their slots. The work in progress at the slower ones does
    not count, so that a queue there does not attract requests.

    >>> capacity_shares(
    ...     [ReportedCapacity(6, 1.0, 3), ReportedCapacity(6, 4.0, 20)]
    ... )
    [1.0, 0.0]
    >>> capacity_shares(
    ...     [ReportedCapacity(6, 1.0, 24), ReportedCapacity(6, 4.0, 0)]
    ... )
    [0.5, 0.5]
    """
    left = 1.0
    shares = [0.0] * len(reported)
    rest = sorted(range(len(reported)), key=lambda n: reported[n].slowdown)
    while rest:
        slowest = SIMILAR_SLOWDOWN_RATIO * reported[rest[0]].slowdown
        similar = [n for n in rest if reported[n].slowdown <= slowest]
        rest = rest[len(similar) :]
        slots = sum(reported[n].slots for n in similar)
        requests = sum(reported[n].requests for n in similar)
        used = left
        if rest:
            ratio = reported[rest[0]].slowdown / reported[similar[-1]].slowdown
            fill = min(MAX_FILL, max(1.0, FILL_RATIO * ratio))
            used *= min(1.0, fill * slots / max(1, requests))
        left -= used
        weights = [reported[n].weight for n in similar]
        for n, weight in zip(similar, weights, strict=True):
            shares[n] = used * weight / sum(weights)
    return shares
