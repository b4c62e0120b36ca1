"""The parts of a node that keep shared state, as they are wired together."""

import dataclasses

from mustardlb import clock
from mustardlbd import _acceptance
from mustardlbd import _attestations
from mustardlbd import _documents
from mustardlbd import _freshness
from mustardlbd import _membership
from mustardlbd import _peers
from mustardlbd import _ranks
from mustardlbd import _signal


@dataclasses.dataclass(frozen=True, slots=True)
class Parts:
    """What spread, its server and the table of owners work on."""

    identity: _peers.Identity
    now: clock.Clock
    documents: _documents.Documents
    freshness: _freshness.Freshness
    membership: _membership.Membership
    attestations: _attestations.Attestations
    acceptance: _acceptance.Acceptance
    peers: _peers.Peers
    news: _signal.Signal

    def parents(self) -> list[str]:
        """Return the VMs to poll, among those that are reachable from here."""
        members = self.membership.members()
        return _ranks.parents(self.identity.vm_id, members.reachable)

    def level(self) -> int:
        """Return this node's level of the tree, 0 for a watcher."""
        own = self.identity.vm_id
        order = _ranks.ranked({own, *self.membership.members().reachable})
        return _ranks.level_of(order.index(own))

    def is_watcher(self) -> bool:
        """Whether this node watches and probes the API."""
        return self.level() == 0
