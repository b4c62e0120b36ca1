"""The digests of a data centre's nodes, added up."""

from mustardlb_gateway import _centres
from mustardlb_gateway import _messages
from mustardlb_gateway import domain


class DigestAggregate:
    """Sums over nodes, from which each reader's own part can be left out.

    :ivar members: incarnation and digest of each live node
    :ivar own: the digest of the node that sums up
    """

    def __init__(
        self,
        members: dict[str, tuple[int, _messages.Digest]],
        own: _messages.Digest,
    ) -> None:
        self.members = members
        self.own = own
        self._loads: dict[str, _centres.Load] = {}
        self._uses: dict[str, dict[domain.AdapterName, int]] = {}
        for _, digest in members.values():
            for usage in digest.usages:
                self._add(usage)

    def _add(self, usage: _messages.TargetUsage) -> None:
        load = self._loads.get(usage.target_id, _centres.NO_LOAD)
        self._loads[usage.target_id] = _centres.Load(
            load.running + usage.running,
            load.unread_tokens + usage.unread_tokens,
        )
        nodes = self._uses.setdefault(usage.target_id, {})
        for adapter in usage.adapters:
            nodes[adapter] = nodes.get(adapter, 0) + 1

    def centre(
        self,
        reader: str,
        lost_count: int,
        admitted: dict[str, float],
        kept: frozenset[str] | None,
    ) -> _centres.CentreState:
        """Return the sums without a reader's own part.

        Uses are told of the targets in `kept` only, None for all.
        """
        others = {
            vm: member for vm, member in self.members.items() if vm != reader
        }
        own = self.members.get(reader)
        usages = own[1].usages if own else ()
        return _centres.CentreState(
            {
                vm: _centres.Member(digest.vm(vm), incarnation)
                for vm, (incarnation, digest) in others.items()
            },
            lost_count,
            any(digest.is_watching for _, digest in others.values()),
            admitted,
            self._loads_without(usages),
            self._uses_without(usages, kept),
            {
                (vm, holding.target_id): holding
                for vm, (_, digest) in others.items()
                for holding in digest.holdings
            },
        )

    def _loads_without(
        self, usages: tuple[_messages.TargetUsage, ...]
    ) -> dict[str, _centres.Load]:
        loads = dict(self._loads)
        for usage in usages:
            load = loads[usage.target_id]
            loads[usage.target_id] = _centres.Load(
                load.running - usage.running,
                load.unread_tokens - usage.unread_tokens,
            )
        return {key: load for key, load in loads.items() if load.running}

    def _uses_without(
        self,
        usages: tuple[_messages.TargetUsage, ...],
        kept: frozenset[str] | None,
    ) -> dict[str, frozenset[domain.AdapterName]]:
        alone = {
            (usage.target_id, adapter)
            for usage in usages
            for adapter in usage.adapters
            if self._uses[usage.target_id][adapter] == 1
        }
        found = {
            target_id: frozenset(
                adapter
                for adapter in nodes
                if (target_id, adapter) not in alone
            )
            for target_id, nodes in self._uses.items()
            if kept is None or target_id in kept
        }
        return {key: adapters for key, adapters in found.items() if adapters}
