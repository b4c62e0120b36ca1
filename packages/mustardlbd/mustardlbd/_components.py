"""The parts of a node that keep shared state, as they are wired together."""

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
    """What spread, its server and the table of owners work on."""

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
