"""This node's position in the replication tree."""

from collections import abc

from mustardlbd import _membership
from mustardlbd import _tree_layout


class Tree:
    """The parents and the level of a node among the reachable VMs.

    The position is recomputed when the members change.
    """

    def __init__(
        self, vm_id: str, members: abc.Callable[[], _membership.Members]
    ) -> None:
        self._vm_id = vm_id
        self._current_members = members
        self._members: _membership.Members | None = None
        self._parents: list[str] = []
        self._watchers: list[str] = []
        self._level = 0

    def parents(self) -> list[str]:
        """Return the VMs to poll, the primary parent first."""
        self._refresh()
        return self._parents

    def watchers(self) -> list[str]:
        """Return the VMs at the root, which may include this one."""
        self._refresh()
        return self._watchers

    def level(self) -> int:
        """Return this node's level, 0 for a watcher."""
        self._refresh()
        return self._level

    def is_watcher(self) -> bool:
        """Return whether this node watches and probes the object API."""
        return self.level() == 0

    def _refresh(self) -> None:
        members = self._current_members()
        if members is self._members:
            return
        self._members = members
        order = _tree_layout.rank_vms({self._vm_id, *members.reachable})
        index = order.index(self._vm_id)
        self._parents = _tree_layout.parents(order, index)
        self._watchers = order[: _tree_layout.WATCHER_COUNT]
        self._level = _tree_layout.level_of(index)
