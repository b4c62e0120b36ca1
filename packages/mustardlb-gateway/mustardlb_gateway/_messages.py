"""The messages between nodes."""

import dataclasses

from mustardlb_gateway import _centres
from mustardlb_gateway import _crashes
from mustardlb_gateway import _reachability
from mustardlb_gateway import _removals
from mustardlb_gateway import _software_history
from mustardlb_gateway import _target_limits
from mustardlb_gateway import domain
from mustardlb_gateway import ports


@dataclasses.dataclass(frozen=True, slots=True)
class TargetUsage:
    """Requests that one node has in flight at a target.

    :ivar unread_tokens: prompt tokens that the target has yet to process
    :ivar slowdown: that the target reported to the sender lately, in percent,
        0 for none
    :ivar window: of which the sender is the owner
    """

    target_id: str
    running: int
    unread_tokens: int
    adapters: tuple[domain.AdapterName, ...]
    slowdown: int = 0
    window: _centres.Window | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Digest:
    """The state of a node, sent to its hubs several times a second.

    :ivar capacity: capacity of the sender's network link, Mbit/s
    :ivar is_watching: whether the sender has a working watch of the store
    :ivar revisions: revision of the last change, by kind
    :ivar admitted: cost admitted since the process started, by account
    :ivar can_claim: whether the sender can claim leases in the store
    :ivar crash_evidence: found by the sender
    :ivar target_limits: that targets have told the sender
    :ivar is_cut_off: whether the sender reaches no target
    :ivar epoch: epoch of the store that the revisions are of, 0 if the sender
        does not know it
    """

    host: str
    port: int
    data_centre: str
    capacity: float
    is_watching: bool
    is_leaving: bool
    revisions: dict[str, int]
    admitted: dict[str, float]
    usages: tuple[TargetUsage, ...]
    holdings: tuple[_centres.Holding, ...]
    can_claim: bool = True
    crash_evidence: _crashes.Evidence = _crashes.Evidence()
    target_limits: _target_limits.NoticesByKey = dataclasses.field(
        default_factory=dict
    )
    is_cut_off: bool = False
    epoch: int = 0

    def vm(self, name: str) -> _centres.Vm:
        """Return the sender, whose name is given in the message."""
        return _centres.Vm(
            name, self.host, self.port, self.data_centre, self.capacity
        )


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotRequest:
    """A request for the objects of a kind changed after a revision."""

    kind: str
    since: int


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """Changed objects of a kind as of a revision, and all names.

    :ivar epoch: epoch of the revision, 0 if the sender does not know it
    """

    kind: str
    revision: int
    objects: tuple[ports.StoredObject, ...]
    names: tuple[str, ...]
    epoch: int = 0


# Priority of requests from nodes that do not state it.
DEFAULT_PRIORITY = 5


@dataclasses.dataclass(frozen=True, slots=True)
class Want:
    """A load request for an adapter, sent to a target's controller.

    :ivar version: minimum version, 0 for any
    :ivar patience: timeout of the request, seconds
    :ivar slack: time left to meet the latency objective, seconds
    :ivar priority: priority of the call, 0 is the most urgent
    :ivar account: account of the call, '' if it is not known
    :ivar tokens: prompt tokens that the target has to process
    """

    target_id: str
    adapter: domain.AdapterName
    version: int
    patience: float
    slack: float
    priority: int = DEFAULT_PRIORITY
    account: str = ''
    tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Wanted:
    """The response to a load request: whether the adapter is loaded."""

    is_there: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Reserve:
    """Asks a target's controller for time to prefill a prompt.

    :ivar version: minimum version of the adapter, 0 for any
    :ivar tokens: prompt tokens that the target has to process
    :ivar max_queue: longest queue with which the sender prefers this target
        to all others, seconds
    :ivar is_load: whether the sender will have the adapter loaded first
    :ivar priority: priority of the call, 0 is the most urgent
    :ivar account: account of the call, '' if it is not known
    :ivar slack: time left to meet the latency objective, seconds
    """

    target_id: str
    adapter: domain.AdapterName
    version: int
    tokens: int
    max_queue: float
    is_load: bool
    priority: int = DEFAULT_PRIORITY
    account: str = ''
    slack: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Reserved:
    """The response to `Reserve`.

    :ivar is_decided: False if the node does not control the target
    :ivar is_resident: whether the adapter is loaded or will be
    :ivar queue: seconds until the target can prefill another prompt
    :ivar turn: seconds at least until a load of the adapter is started, None
        if that is not known
    """

    is_decided: bool
    is_accepted: bool = False
    is_resident: bool = False
    queue: float = 0.0
    turn: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Charge:
    """A request to charge an account, sent to the account's owner.

    :ivar data_centre: data centre of the sender
    """

    account: str
    cost: float
    data_centre: str


@dataclasses.dataclass(frozen=True, slots=True)
class Charged:
    """The response to a charge.

    :ivar is_decided: False if the owner does not know the account's limit
    :ivar wait: 0 if granted, otherwise seconds until it can be
    :ivar level: level of the account's bucket
    """

    is_decided: bool
    wait: float = 0.0
    level: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Refund:
    """Refunds a granted charge of a request that no target processed."""

    charge: Charge


@dataclasses.dataclass(frozen=True, slots=True)
class Permit:
    """A request for a permit, sent to the owner of a target with a limit.

    :ivar rank: of the receiver; 0 is the owner, others are asked if nodes of
        a higher rank do not respond
    """

    notice: _target_limits.LimitNotice
    rank: int


@dataclasses.dataclass(frozen=True, slots=True)
class Permitted:
    """The response to `Permit`.

    :ivar wait: 0 if a request may be sent, otherwise seconds until it may
    """

    wait: float


@dataclasses.dataclass(frozen=True, slots=True)
class ColdPermit:
    """A request for a permit for a cold target; the response is Permitted.

    :ivar seconds: for which the target has said that it is cold, or 0
    :ivar ranked: nodes of the highest ranks that the sender knows
    """

    target_id: str
    incarnation: int
    seconds: float
    ranked: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ColdNotice:
    """Tells a node for how long a target is cold. Has no response."""

    target_id: str
    incarnation: int
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Trial:
    """A request to try a quarantined suspect, sent to its owner."""

    suspect: str


@dataclasses.dataclass(frozen=True, slots=True)
class Tried:
    """The response to `Trial`."""

    is_granted: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Origin:
    """Where a stream began.

    :ivar service: '' if only the software is known
    :ivar software: version of the software of the target
    """

    service: str
    software: str


@dataclasses.dataclass(frozen=True, slots=True)
class TellOrigins:
    """Tells a node to keep where streams began.

    :ivar streams_by_origin: hashes of the ids of the requests that began them
    """

    streams_by_origin: dict[Origin, tuple[int, ...]]


@dataclasses.dataclass(frozen=True, slots=True)
class ToldOrigins:
    """The acknowledgement of `TellOrigins`."""


@dataclasses.dataclass(frozen=True, slots=True)
class FindOrigin:
    """Asks where a stream began.

    :ivar stream: hash of the id of the request that began it
    :ivar services: those to which its route sends requests
    """

    stream: int
    services: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class FoundOrigin:
    """The response to `FindOrigin`.

    :ivar origin: None if the node does not know it
    :ivar knowledge: about the software of the services
    """

    origin: Origin | None
    knowledge: _software_history.Knowledge


@dataclasses.dataclass(frozen=True, slots=True)
class Relay:
    """Asks a node to relay this connection to a target."""

    target_id: str
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class RelayResult:
    """The response to `Relay`; bytes of the target follow if connected."""

    outcome: _reachability.RelayOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class Rest:
    """Tells a node that a target wants no requests from it, or leaves.

    Sent by the node for which it relayed the request. Has no response.
    """

    target_id: str
    incarnation: int
    seconds: float
    is_leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Observed:
    """Tells the owner of a target how it answered. Has no response.

    :ivar fast: responses as fast as those of other targets
    :ivar failed: requests that failed or were rejected
    :ivar is_suspended: the sender has suspended the target
    """

    target_id: str
    incarnation: int
    fast: int
    slow: int
    failed: int
    is_suspended: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Subscription:
    """Starts updates on this connection with a full one, or ends them."""

    is_wanted: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Update:
    """Changes at a hub since its last update on this connection.

    :ivar is_full: whether it replaces all earlier updates
    :ivar revisions: revision of the hub's last change, by kind
    :ivar levels: level of each account's bucket, in a full update only
    :ivar crash_evidence: known to the hub and not sent before
    :ivar target_limits: known to the hub and not sent before
    :ivar epoch: epoch of the store that the revisions are of, 0 if the hub
        does not know it
    """

    is_full: bool
    revisions: dict[str, int]
    changes: tuple[_centres.CentreDelta, ...]
    levels: dict[str, float]
    crash_evidence: _crashes.Evidence = _crashes.Evidence()
    target_limits: _target_limits.NoticesByKey = dataclasses.field(
        default_factory=dict
    )
    epoch: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class FindRemovals:
    """Asks which registrations the store has removed."""


@dataclasses.dataclass(frozen=True, slots=True)
class FoundRemovals:
    """The response to FindRemovals: those that are not there again."""

    removals: tuple[_removals.Removal, ...]


Body = (
    Digest
    | SnapshotRequest
    | Snapshot
    | Want
    | Wanted
    | Reserve
    | Reserved
    | Charge
    | Charged
    | Refund
    | Permit
    | Permitted
    | ColdPermit
    | ColdNotice
    | Trial
    | Tried
    | TellOrigins
    | ToldOrigins
    | FindOrigin
    | FoundOrigin
    | Relay
    | RelayResult
    | Rest
    | Observed
    | FindRemovals
    | FoundRemovals
    | Subscription
    | Update
)

# What the receiver handles in a task of its own, and may respond to.
REQUESTS = (
    SnapshotRequest,
    Want,
    Reserve,
    Charge,
    Refund,
    Permit,
    ColdPermit,
    ColdNotice,
    Trial,
    TellOrigins,
    FindOrigin,
    Rest,
    Observed,
    FindRemovals,
)

RESPONSES = (
    Snapshot,
    Wanted,
    Reserved,
    Charged,
    Permitted,
    Tried,
    ToldOrigins,
    FoundOrigin,
    FoundRemovals,
    RelayResult,
)

# What the receiver handles in order.
NEWS = (Digest, Relay, Subscription, Update)


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """A message with its sender.

    :ivar request: id that pairs a request with its response, or the sequence
        number of a digest
    """

    vm: str
    incarnation: int
    request: int
    body: Body
