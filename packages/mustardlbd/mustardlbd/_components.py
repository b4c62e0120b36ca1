"""The components of a node that maintain its shared state."""

import dataclasses

from mustardlb import clock
from mustardlbd import _acceptance
from mustardlbd import _attestations
from mustardlbd import _documents
from mustardlbd import _freshness
from mustardlbd import _membership
from mustardlbd import _notifier
from mustardlbd import _peers
from mustardlbd import _tree


@dataclasses.dataclass(frozen=True, slots=True)
class Components:
    """The objects that replication and owner assignment work on.

    :ivar changed: notified when an object is adopted or accepted, or when
        the state is confirmed
    """

    identity: _peers.Identity
    now: clock.Clock
    documents: _documents.Documents
    freshness: _freshness.Freshness
    membership: _membership.Membership
    attestations: _attestations.Attestations
    acceptance: _acceptance.Acceptance
    peers: _peers.Peers
    changed: _notifier.Notifier
    tree: _tree.Tree
