"""What the owner of an engine knows of its adapter slots and their users."""

import dataclasses
import enum
import math

# Time after which a request counts half for the worth of an adapter, seconds.
DEMAND_HALF_LIFE_SECONDS = 60.0

# How long an adapter that could not be closed is left alone, seconds.
EVICTION_COOLDOWN_SECONDS = 5.0


class State(enum.StrEnum):
    """The state of one slot."""

    # The engine reports it; whether it is whole is not yet confirmed.
    FOUND = 'found'
    LOADING = 'loading'
    SERVING = 'serving'
    CLOSING = 'closing'
    # An order got no answer; the slot may be taken.
    UNKNOWN = 'unknown'


@dataclasses.dataclass(slots=True, eq=False)
class Slot:
    """One adapter slot that is, or may be, taken.

    :ivar spared_until: no victim before that
    """

    model: str
    state: State
    since: float
    protected_until: float = -math.inf


@dataclasses.dataclass(slots=True, eq=False)
class DemandEstimate:
    """The demand for a model, which decays."""

    value: float = 0.0
    time: float = 0.0

    def at(self, now: float) -> float:
        """Give the worth at a time."""
        return self.value * 0.5 ** (
            (now - self.time) / DEMAND_HALF_LIFE_SECONDS
        )

    def add(self, count: float, now: float) -> None:
        """Count requests."""
        self.value = self.at(now) + count
        self.time = now


class Residency:
    """The slots of one engine, and the nodes that hold grants."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.slots_by_model: dict[str, Slot] = {}
        self.holders_by_model: dict[str, dict[str, int]] = {}
        self._running_by_model: dict[str, dict[str, int]] = {}
        self._demand_by_model: dict[str, DemandEstimate] = {}

    def state_of(self, model: str) -> State | None:
        """Give the state of a model's slot, None where it has none."""
        slot = self.slots_by_model.get(model)
        return None if slot is None else slot.state

    def set_state(self, model: str, state: State, now: float) -> None:
        """Note the state of a model's slot."""
        slot = self.slots_by_model.get(model)
        if slot is None:
            self.slots_by_model[model] = Slot(model, state, now)
            return
        if slot.state is not state:
            slot.state = state
            slot.since = now

    def protect_until(self, model: str, until: float) -> None:
        """Let a model's slot be no victim before a time."""
        slot = self.slots_by_model.get(model)
        if slot is not None:
            slot.protected_until = until

    def clear(self, model: str) -> None:
        """Note that a model's slot is free."""
        self.slots_by_model.pop(model, None)

    def has_free_slot(self) -> bool:
        """Whether a slot is free."""
        return len(self.slots_by_model) < self.limit

    def serving_models(self) -> tuple[str, ...]:
        """Give the models that serve."""
        return tuple(
            slot.model
            for slot in self.slots_by_model.values()
            if slot.state is State.SERVING
        )

    def add_holder(self, model: str, vm_id: str, number: int) -> None:
        """Note that a node holds a grant."""
        holders = self.holders_by_model.setdefault(model, {})
        holders[vm_id] = max(number, holders.get(vm_id, 0))

    def remove_holder(self, model: str, vm_id: str, number: int) -> None:
        """Note that a node gave a grant, or an older one, back."""
        holders = self.holders_by_model.get(model, {})
        if holders.get(vm_id, number + 1) > number:
            return
        del holders[vm_id]
        self._running_by_model.get(model, {}).pop(vm_id, None)
        if not holders:
            del self.holders_by_model[model]

    def holders(self, model: str) -> dict[str, int]:
        """Give the nodes that hold a grant, with its number."""
        return self.holders_by_model.get(model, {})

    def set_running(self, model: str, vm_id: str, running: int) -> None:
        """Note how many requests a node runs."""
        self._running_by_model.setdefault(model, {})[vm_id] = running
        self._running_by_model[model] = {
            vm: count
            for vm, count in self._running_by_model[model].items()
            if count
        }

    def add_demand(self, model: str, count: float, now: float) -> None:
        """Count requests for a model."""
        self._demand_by_model.setdefault(model, DemandEstimate()).add(
            count, now
        )

    def demand(self, model: str, now: float) -> float:
        """Give the demand for a model."""
        demand = self._demand_by_model.get(model)
        return 0.0 if demand is None else demand.at(now)

    def eviction_candidate(self, now: float) -> Slot | None:
        """Pick the slot whose adapter is missed least, None if none may go."""
        candidates = [
            slot
            for slot in self.slots_by_model.values()
            if slot.state in (State.SERVING, State.FOUND)
            and slot.protected_until <= now
        ]
        return min(
            candidates,
            key=lambda slot: (
                bool(self._running_by_model.get(slot.model)),
                self.demand(slot.model, now),
                slot.since,
            ),
            default=None,
        )

    def displacement_cost(self, now: float) -> float:
        """Give the worth of what a load would displace, 0 if a slot is free.

        Infinite where nothing may go now.
        """
        if self.has_free_slot():
            return 0.0
        slot = self.eviction_candidate(now)
        if slot is None:
            return math.inf
        running = bool(self._running_by_model.get(slot.model))
        return self.demand(slot.model, now) + (1000.0 if running else 0.001)

    def drop_stale_demand(self, now: float) -> None:
        """Drop what has decayed to nothing."""
        self._demand_by_model = {
            model: demand
            for model, demand in self._demand_by_model.items()
            if demand.at(now) > 0.01
        }

    def reset(self) -> list[str]:
        """Note that the engine lost its memory; the models by worth.

        Grants stay noted: a node may still send under one.
        """
        models = list(self.slots_by_model)
        self.slots_by_model.clear()
        return sorted(
            models,
            key=lambda model: (
                -self._demand_by_model.get(model, DemandEstimate()).value
            ),
        )
