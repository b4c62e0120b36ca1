"""The messages between nodes, typed, and their bytes."""

import dataclasses
from typing import Any

import capnp
import msgspec

from mustardlb import schema
from mustardlb_gateway import _centres
from mustardlb_gateway import domain
from mustardlb_gateway import ports


@dataclasses.dataclass(frozen=True, slots=True)
class TargetUsage:
    """Requests of one node in flight at a target."""

    target_id: str
    running: int
    unread_tokens: int
    adapters: tuple[domain.AdapterName, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Digest:
    """What a node tells its hubs, several times a second.

    :ivar revisions: of the last change seen, by kind
    :ivar admitted: cost admitted since the process started, by account
    :ivar capacity: of the sender's network link, Mbit/s
    :ivar is_watching: the sender watches the store, and is answered
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

    def vm(self, name: str) -> _centres.Vm:
        """Return the sender's address; the message names it."""
        return _centres.Vm(
            name, self.host, self.port, self.data_centre, self.capacity
        )


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotRequest:
    """Asks for the objects of a kind that changed after a revision."""

    kind: str
    since: int


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """A kind as of a revision: what changed, and the names of all."""

    kind: str
    revision: int
    objects: tuple[ports.StoredObject, ...]
    names: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Want:
    """Asks a target's keeper to put an adapter there.

    :ivar version: the least that will do, 0 for any
    :ivar patience: seconds until it is of no use
    :ivar slack: seconds until the answer that waits for it would be late
    """

    target_id: str
    adapter: domain.AdapterName
    version: int
    patience: float
    slack: float


@dataclasses.dataclass(frozen=True, slots=True)
class Wanted:
    """Whether a wanted adapter is in place."""

    is_there: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Subscription:
    """Asks a hub for updates on this connection, from a full one on."""

    is_wanted: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Update:
    """What changed at a hub since its last update on this connection.

    :ivar is_full: it builds on nothing
    :ivar revisions: as in a digest
    :ivar levels: what is left of each account's burst, in a full one
    """

    is_full: bool
    revisions: dict[str, int]
    changes: tuple[_centres.CentreDelta, ...]
    levels: dict[str, float]


Body = (
    Digest | SnapshotRequest | Snapshot | Want | Wanted | Subscription | Update
)


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """A message.

    :ivar request: pairs a question with its answer; grows with each digest
    """

    vm: str
    incarnation: int
    request: int
    body: Body


def encode(message: Message) -> bytes:
    """Return the bytes of a message."""
    name, fields = _body_fields(message.body)
    return (
        schema.load('gateway')
        .PeerMessage.new_message(
            vm=message.vm,
            incarnation=message.incarnation,
            request=message.request,
            **{name: fields},
        )
        .to_bytes_packed()
    )


def _body_fields(body: Body) -> tuple[str, Any]:
    """Return the member of the union and its value."""
    match body:
        case Digest():
            return 'digest', _digest_fields(body)
        case SnapshotRequest():
            return 'snapshotRequest', {
                'name': body.kind,
                'number': body.since,
            }
        case Snapshot():
            return 'snapshot', {
                'kind': body.kind,
                'revision': body.revision,
                'objects': msgspec.json.encode(body.objects),
                'names': list(body.names),
            }
        case Want():
            return 'want', {
                'target': body.target_id,
                'adapter': str(body.adapter),
                'version': body.version,
                'patience': body.patience,
                'slack': body.slack,
            }
        case Wanted():
            return 'wanted', body.is_there
        case Subscription():
            return 'subscription', body.is_wanted
        case Update():
            return 'update', {
                'isFull': body.is_full,
                'revisions': _named(body.revisions),
                'changes': _write_changes(body.changes),
                'levels': _counted(body.levels),
            }


def _named(numbers: dict[Any, int]) -> list[dict[str, Any]]:
    return [{'name': str(k), 'number': v} for k, v in numbers.items()]


def _counted(amounts: dict[str, float]) -> list[dict[str, Any]]:
    return [{'name': k, 'amount': v} for k, v in amounts.items()]


def _digest_fields(digest: Digest) -> dict[str, Any]:
    return {
        'host': digest.host,
        'port': digest.port,
        'isLeaving': digest.is_leaving,
        'revisions': _named(digest.revisions),
        'admitted': _counted(digest.admitted),
        'usages': [
            {
                'target': usage.target_id,
                'running': usage.running,
                'unreadTokens': usage.unread_tokens,
                'adapters': [str(adapter) for adapter in usage.adapters],
            }
            for usage in digest.usages
        ],
        'holdings': [_holding_fields(each) for each in digest.holdings],
        'dataCentre': digest.data_centre,
        'capacity': digest.capacity,
        'isWatching': digest.is_watching,
    }


def _holding_fields(holding: _centres.Holding) -> dict[str, Any]:
    return {
        'target': holding.target_id,
        'fence': holding.fence,
        'incarnation': holding.incarnation,
        'isActing': holding.is_acting,
        'resident': _named(holding.resident),
        'room': holding.room,
    }


# The changes of an update are many small entries; as structures of the schema
# they took a hub three times as long to write.
_WireMember = tuple[str, str, int, float, int]
_WireHolding = tuple[str, str, int, int, bool, dict[str, int], int]
_WireChange = tuple[
    str,
    int,
    bool,
    list[_WireMember],
    list[str],
    dict[str, float],
    dict[str, tuple[int, int]],
    dict[str, list[str]],
    list[_WireHolding],
    list[tuple[str, str]],
]
_changes_decoder = msgspec.msgpack.Decoder(list[_WireChange])


def _write_changes(changes: tuple[_centres.CentreDelta, ...]) -> bytes:
    return msgspec.msgpack.encode([_wire_change(each) for each in changes])


def _wire_change(change: _centres.CentreDelta) -> _WireChange:
    return (
        change.data_centre,
        change.lost_count,
        change.is_watching,
        [
            (
                each.vm.vm,
                each.vm.host,
                each.vm.port,
                each.vm.capacity,
                each.incarnation,
            )
            for each in change.members
        ],
        list(change.removed_members),
        change.admitted,
        {
            target_id: (load.running, load.unread_tokens)
            for target_id, load in change.loads.items()
        },
        {
            target_id: [str(adapter) for adapter in adapters]
            for target_id, adapters in change.adapters_in_use.items()
        },
        [
            (
                vm,
                holding.target_id,
                holding.fence,
                holding.incarnation,
                holding.is_acting,
                {str(name): n for name, n in holding.resident.items()},
                holding.room,
            )
            for (vm, _), holding in change.holdings.items()
        ],
        list(change.removed_holdings),
    )


def decode(data: bytes) -> Message:
    """Read a message; raises ValueError where it is none."""
    try:
        found = schema.load('gateway').PeerMessage.from_bytes_packed(data)
        body = _decode_body(found)
    except (capnp.KjException, msgspec.MsgspecError) as error:
        raise ValueError(f'not a message: {error}') from error
    return Message(found.vm, found.incarnation, found.request, body)


def _decode_body(found: Any) -> Body:
    match found.which():
        case 'digest':
            return _read_digest(found.digest)
        case 'snapshotRequest':
            asked = found.snapshotRequest
            return SnapshotRequest(asked.name, asked.number)
        case 'snapshot':
            objects = msgspec.json.decode(
                found.snapshot.objects, type=tuple[ports.StoredObject, ...]
            )
            return Snapshot(
                found.snapshot.kind,
                found.snapshot.revision,
                objects,
                tuple(found.snapshot.names),
            )
        case 'want':
            want = found.want
            adapter = domain.AdapterName.parse(want.adapter)
            return Want(
                want.target, adapter, want.version, want.patience, want.slack
            )
        case 'subscription':
            return Subscription(found.subscription)
        case 'update':
            update = found.update
            return Update(
                update.isFull,
                {each.name: each.number for each in update.revisions},
                tuple(
                    _read_change(each)
                    for each in _changes_decoder.decode(update.changes)
                ),
                {each.name: each.amount for each in update.levels},
            )
        case _:
            return Wanted(found.wanted)


def _read_digest(digest: Any) -> Digest:
    parse = domain.AdapterName.parse
    return Digest(
        digest.host,
        digest.port,
        digest.dataCentre,
        digest.capacity,
        digest.isWatching,
        digest.isLeaving,
        {each.name: each.number for each in digest.revisions},
        {each.name: each.amount for each in digest.admitted},
        tuple(
            TargetUsage(
                each.target,
                each.running,
                each.unreadTokens,
                tuple(parse(adapter) for adapter in each.adapters),
            )
            for each in digest.usages
        ),
        tuple(_read_holding(each) for each in digest.holdings),
    )


def _read_holding(holding: Any) -> _centres.Holding:
    parse = domain.AdapterName.parse
    return _centres.Holding(
        holding.target,
        holding.fence,
        holding.incarnation,
        holding.isActing,
        {parse(each.name): each.number for each in holding.resident},
        holding.room,
    )


def _read_change(wire: _WireChange) -> _centres.CentreDelta:
    parse = domain.AdapterName.parse
    (
        centre,
        lost_count,
        is_watching,
        members,
        removed_members,
        admitted,
        loads,
        adapters_in_use,
        holdings,
        removed_holdings,
    ) = wire
    return _centres.CentreDelta(
        centre,
        lost_count,
        is_watching,
        tuple(
            _centres.Member(
                _centres.Vm(vm, host, port, centre, capacity), incarnation
            )
            for vm, host, port, capacity, incarnation in members
        ),
        tuple(removed_members),
        admitted,
        {key: _centres.Load(*load) for key, load in loads.items()},
        {
            key: frozenset(map(parse, names))
            for key, names in adapters_in_use.items()
        },
        {
            (vm, target_id): _centres.Holding(
                target_id,
                fence,
                incarnation,
                is_acting,
                {parse(name): n for name, n in resident.items()},
                room,
            )
            for (
                vm,
                target_id,
                fence,
                incarnation,
                is_acting,
                resident,
                room,
            ) in holdings
        },
        tuple(removed_holdings),
    )
