"""Adapter slots of one engine, and the nodes that hold grants for them."""

import dataclasses
import enum
import math

# A request's weight in the demand for its adapter halves in this time.
DEMAND_HALF_LIFE_SECONDS = 60.0

# After a failed eviction, an adapter is not a candidate for this long.
EVICTION_COOLDOWN_SECONDS = 5.0


class State(enum.StrEnum):
    """The state of one slot."""

    # The engine reports the adapter; a load must confirm it before use.
    FOUND = 'found'
    LOADING = 'loading'
    SERVING = 'serving'
    CLOSING = 'closing'
    # A command had no response; the slot may be occupied.
    UNKNOWN = 'unknown'


@dataclasses.dataclass(slots=True, eq=False)
class Slot:
    """An adapter slot that is or may be occupied.

    :ivar since: time at which the slot got its state
    :ivar protected_until: time before which it is not evicted
    """

    model: str
    state: State
    since: float
    protected_until: float = -math.inf


@dataclasses.dataclass(slots=True, eq=False)
class DemandEstimate:
    """Exponentially decaying number of requests for a model.

    :ivar time: time at which `value` was computed
    """

    value: float = 0.0
    time: float = 0.0

    def at(self, now: float) -> float:
        """Return the decayed value at a time."""
        return self.value * 0.5 ** (
            (now - self.time) / DEMAND_HALF_LIFE_SECONDS
        )

    def add(self, count: float, now: float) -> None:
        """Add requests."""
        self.value = self.at(now) + count
        self.time = now


class Residency:
    """The slots of one engine, and the nodes that hold grants.

    :ivar limit: number of slots
    :ivar holders_by_model: by model, the grant number of each holder
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.slots_by_model: dict[str, Slot] = {}
        self.holders_by_model: dict[str, dict[str, int]] = {}
        self._running_by_model: dict[str, dict[str, int]] = {}
        self._demand_by_model: dict[str, DemandEstimate] = {}

    def state_of(self, model: str) -> State | None:
        """Return the state of a model's slot, None if it has none."""
        slot = self.slots_by_model.get(model)
        return None if slot is None else slot.state

    def set_state(self, model: str, state: State, now: float) -> None:
        """Set the state of a model's slot, which may be new."""
        slot = self.slots_by_model.get(model)
        if slot is None:
            self.slots_by_model[model] = Slot(model, state, now)
            return
        if slot.state is not state:
            slot.state = state
            slot.since = now

    def protect_until(self, model: str, until: float) -> None:
        """Exclude a model's slot from eviction before a time."""
        slot = self.slots_by_model.get(model)
        if slot is not None:
            slot.protected_until = until

    def clear(self, model: str) -> None:
        """Free a model's slot."""
        self.slots_by_model.pop(model, None)

    def has_free_slot(self) -> bool:
        """Return whether a slot is free."""
        return len(self.slots_by_model) < self.limit

    def serving_models(self) -> tuple[str, ...]:
        """Return the models that are ready for requests."""
        return tuple(
            slot.model
            for slot in self.slots_by_model.values()
            if slot.state is State.SERVING
        )

    def add_holder(self, model: str, vm_id: str, number: int) -> None:
        """Add a node that holds a grant."""
        holders = self.holders_by_model.setdefault(model, {})
        holders[vm_id] = max(number, holders.get(vm_id, 0))

    def remove_holder(self, model: str, vm_id: str, number: int) -> None:
        """Remove a node's grant unless it holds a newer one."""
        holders = self.holders_by_model.get(model, {})
        if holders.get(vm_id, number + 1) > number:
            return
        del holders[vm_id]
        self._running_by_model.get(model, {}).pop(vm_id, None)
        if not holders:
            del self.holders_by_model[model]

    def holders(self, model: str) -> dict[str, int]:
        """Return the grant number of each node that holds a grant."""
        return self.holders_by_model.get(model, {})

    def set_running(self, model: str, vm_id: str, running: int) -> None:
        """Set the number of requests that a node runs."""
        self._running_by_model.setdefault(model, {})[vm_id] = running
        self._running_by_model[model] = {
            vm: count
            for vm, count in self._running_by_model[model].items()
            if count
        }

    def add_demand(self, model: str, count: float, now: float) -> None:
        """Add requests to the demand for a model."""
        self._demand_by_model.setdefault(model, DemandEstimate()).add(
            count, now
        )

    def demand(self, model: str, now: float) -> float:
        """Return the demand for a model."""
        demand = self._demand_by_model.get(model)
        return 0.0 if demand is None else demand.at(now)

    def eviction_candidate(self, now: float) -> Slot | None:
        """Return the best slot to evict, None if none may be evicted.

        Adapters without running requests come first, then low demand.
        """
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
        """Return the demand for what a load would evict, 0 if a slot is free.

        The result is infinite while no adapter may be evicted.
        """
        if self.has_free_slot():
            return 0.0
        slot = self.eviction_candidate(now)
        if slot is None:
            return math.inf
        running = bool(self._running_by_model.get(slot.model))
        # Running requests cost far more than usual demand, and an occupied
        # slot costs more than a free one.
        return self.demand(slot.model, now) + (1000.0 if running else 0.001)

    def drop_stale_demand(self, now: float) -> None:
        """Remove demand that has decayed to almost zero."""
        self._demand_by_model = {
            model: demand
            for model, demand in self._demand_by_model.items()
            if demand.at(now) > 0.01
        }

    def reset(self) -> list[str]:
        """Free all slots after a restart; return the models by demand.

        Grants remain, because nodes may still send requests under them.
        """
        models = list(self.slots_by_model)
        self.slots_by_model.clear()
        return sorted(
            models,
            key=lambda model: (
                -self._demand_by_model.get(model, DemandEstimate()).value
            ),
        )
