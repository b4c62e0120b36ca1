"""Aggregation of the digests of a data centre's nodes."""

import dataclasses

from mustardlb_gateway import _centres
from mustardlb_gateway import _messages
from mustardlb_gateway import domain


class DigestAggregate:
    """Sums over nodes, from which a subscriber's part can be subtracted.

    :ivar members: incarnation and digest of each live node
    :ivar own: digest of the aggregating node
    """

    def __init__(
        self,
        members: dict[str, tuple[int, _messages.Digest]],
        own: _messages.Digest,
    ) -> None:
        self.members = members
        self.own = own
        self._load_by_target: dict[str, _centres.Load] = {}
        self._slowdowns_by_target: dict[str, list[int]] = {}
        self._adapter_counts: dict[str, dict[domain.AdapterName, int]] = {}
        self._member_by_vm = {
            vm: _centres.Member(
                digest.vm(vm),
                incarnation,
                digest.can_claim,
                digest.is_cut_off,
            )
            for vm, (incarnation, digest) in members.items()
        }
        self._holdings = {
            (vm, holding.target_id): holding
            for vm, (_, digest) in members.items()
            for holding in digest.holdings
        }
        self._watching_vms = {
            vm for vm, (_, digest) in members.items() if digest.is_watching
        }
        for _, digest in members.values():
            for usage in digest.usages:
                self._add_usage(usage)

    def _add_usage(self, usage: _messages.TargetUsage) -> None:
        load = self._load_by_target.get(usage.target_id, _centres.NO_LOAD)
        self._load_by_target[usage.target_id] = _centres.Load(
            load.running + usage.running,
            load.unread_tokens + usage.unread_tokens,
            window=_centres.smaller_window(load.window, usage.window),
        )
        if usage.slowdown:
            self._slowdowns_by_target.setdefault(usage.target_id, []).append(
                usage.slowdown
            )
        counts = self._adapter_counts.setdefault(usage.target_id, {})
        for adapter in usage.adapters:
            counts[adapter] = counts.get(adapter, 0) + 1

    def centre_state(
        self,
        subscriber: str,
        lost_count: int,
        admitted: dict[str, float],
        controlled: frozenset[str] | None,
    ) -> _centres.CentreState:
        """Return the sums without a subscriber's part.

        The adapters in use are given for the `controlled` targets only, None
        for all.
        """
        member_by_vm, holdings = dict(self._member_by_vm), self._holdings
        usages: tuple[_messages.TargetUsage, ...] = ()
        own = self.members.get(subscriber)
        if own is not None:
            del member_by_vm[subscriber]
            usages = own[1].usages
            if own[1].holdings:
                holdings = dict(holdings)
            for holding in own[1].holdings:
                del holdings[subscriber, holding.target_id]
        return _centres.CentreState(
            member_by_vm,
            lost_count,
            bool(self._watching_vms - {subscriber}),
            admitted,
            self._loads_without(usages),
            self._adapters_without(usages, controlled),
            holdings,
        )

    def _loads_without(
        self, usages: tuple[_messages.TargetUsage, ...]
    ) -> dict[str, _centres.Load]:
        loads = dict(self._load_by_target)
        for usage in usages:
            load = loads[usage.target_id]
            loads[usage.target_id] = _centres.Load(
                load.running - usage.running,
                load.unread_tokens - usage.unread_tokens,
                window=load.window,
            )
        # The slowdown that the subscriber tells itself is not left out, since
        # the mean serves all subscribers.
        for target_id, slowdowns in self._slowdowns_by_target.items():
            loads[target_id] = dataclasses.replace(
                loads[target_id],
                slowdown=_centres.mean_slowdown(*slowdowns),
            )
        return {
            key: load
            for key, load in loads.items()
            if load.running or load.slowdown or load.window
        }

    def _adapters_without(
        self,
        usages: tuple[_messages.TargetUsage, ...],
        controlled: frozenset[str] | None,
    ) -> dict[str, frozenset[domain.AdapterName]]:
        exclusive = {
            (usage.target_id, adapter)
            for usage in usages
            for adapter in usage.adapters
            if self._adapter_counts[usage.target_id][adapter] == 1
        }
        found = {
            target_id: frozenset(
                adapter
                for adapter in counts
                if (target_id, adapter) not in exclusive
            )
            for target_id, counts in self._adapter_counts.items()
            if controlled is None or target_id in controlled
        }
        return {key: adapters for key, adapters in found.items() if adapters}
