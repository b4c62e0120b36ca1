"""The engines that other nodes control, as their holdings tell."""

import collections
from collections import abc

from mustardlb_gateway import _centres
from mustardlb_gateway import _fences
from mustardlb_gateway import domain

# Recently resident adapters are recorded because an engine loads them from
# host memory, in about a tenth of the time of a load from the weight store.
RECENT_ADAPTERS_PER_ENGINE = 50


class EngineHolders:
    """The controllers of engines at other nodes, and recent adapters.

    `alive` returns the names of the live nodes.
    """

    def __init__(self, alive: abc.Callable[[], frozenset[str]]) -> None:
        self._alive = alive
        self._holdings_by_target: dict[str, dict[str, _centres.Holding]] = {}
        # The live node with the highest fencing token, and its holding.
        self._holder_by_target: dict[str, tuple[str, _centres.Holding]] = {}
        self._fences = _fences.HighestFences()
        self._recent_by_target: dict[
            str, collections.OrderedDict[domain.AdapterName, None]
        ] = {}

    def apply_fleet_view(self, view: dict[str, _centres.CentreState]) -> None:
        """Replace the holdings by those of the fleet's view."""
        previous, self._holdings_by_target = self._holdings_by_target, {}
        for centre in view.values():
            for (vm, target_id), holding in centre.holdings.items():
                by_vm = self._holdings_by_target.setdefault(target_id, {})
                by_vm[vm] = holding
                known = previous.get(target_id, {}).get(vm)
                if known is not holding:
                    self._fences.record(target_id, holding.fence)
                    before = known.resident if known else {}
                    # Adapters that were added or removed since.
                    self.record_resident(
                        target_id, before.keys() ^ holding.resident.keys()
                    )
        self._select_holders()

    def _select_holders(self) -> None:
        alive = self._alive()
        self._holder_by_target = {}
        for target_id, by_vm in self._holdings_by_target.items():
            live = [each for each in by_vm.items() if each[0] in alive]
            if live:
                self._holder_by_target[target_id] = max(
                    live, key=lambda each: each[1].fence
                )

    def holder(self, target_id: str) -> tuple[str, _centres.Holding] | None:
        """Return the node that controls a target, if it is live."""
        holder = self._holder_by_target.get(target_id)
        if holder is None or holder[0] not in self._alive():
            return None
        return holder

    def newer_holder(self, target_id: str, fence: int) -> str | None:
        """Return a node with a higher fencing token for a target."""
        holdings = self._holdings_by_target.get(target_id, {})
        newer = (vm for vm, each in holdings.items() if each.fence > fence)
        return next(newer, None)

    def highest_fence(self, target_id: str) -> int:
        """Return the highest fencing token that a node had, 0 for none."""
        return self._fences.get(target_id)

    def record_resident(
        self, target_id: str, resident: abc.Iterable[domain.AdapterName]
    ) -> None:
        """Record that adapters are or were resident on an engine."""
        recent = self._recent_by_target.setdefault(
            target_id, collections.OrderedDict()
        )
        for adapter in resident:
            recent[adapter] = None
            recent.move_to_end(adapter)
        while len(recent) > RECENT_ADAPTERS_PER_ENGINE:
            recent.popitem(last=False)

    def was_resident(
        self, target_id: str, adapter: domain.AdapterName
    ) -> bool:
        """Return whether an adapter was resident on an engine recently."""
        return adapter in self._recent_by_target.get(target_id, ())

    def discard(self, target_id: str) -> None:
        """Forget an engine that was removed or restarted."""
        self._holdings_by_target.pop(target_id, None)
        self._holder_by_target.pop(target_id, None)
        self._recent_by_target.pop(target_id, None)
