"""The messages between nodes, typed, and their bytes."""

import dataclasses
from typing import Any

import capnp
import msgspec

from mustardlb import schema
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
class Holding:
    """A target that the sender keeps.

    :ivar fence: grows with each keeper of the target
    :ivar incarnation: of the target
    :ivar is_acting: the sender gives orders already
    :ivar room: adapters that the target can take now, less those that wait
    """

    target_id: str
    fence: int
    incarnation: int
    is_acting: bool
    resident: dict[domain.AdapterName, int]
    room: int


@dataclasses.dataclass(frozen=True, slots=True)
class Digest:
    """What a node tells the others, several times a second.

    :ivar revisions: of the last change seen, by kind
    :ivar admitted: cost admitted since the process started, by account
    :ivar capacity: of the sender's network link, Mbit/s
    :ivar is_watching: the store answers the sender
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
    holdings: tuple[Holding, ...]


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
class Counts:
    """What a node admitted, between two digests, of accounts near a limit."""

    admitted: dict[str, float]


@dataclasses.dataclass(frozen=True, slots=True)
class Relayed:
    """Messages of other nodes, each with its own sender."""

    messages: tuple[bytes, ...]


Body = Digest | SnapshotRequest | Snapshot | Want | Wanted | Counts | Relayed


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """A message.

    :ivar request: pairs a question with its answer; grows with each digest
        and each message of counts
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
        case Counts():
            return 'counts', _counted(body.admitted)
        case Relayed():
            return 'relayed', list(body.messages)


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
        'holdings': [
            {
                'target': holding.target_id,
                'fence': holding.fence,
                'incarnation': holding.incarnation,
                'isActing': holding.is_acting,
                'resident': _named(holding.resident),
                'room': holding.room,
            }
            for holding in digest.holdings
        ],
        'dataCentre': digest.data_centre,
        'capacity': digest.capacity,
        'isWatching': digest.is_watching,
    }


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
        case 'counts':
            return Counts({each.name: each.amount for each in found.counts})
        case 'relayed':
            return Relayed(tuple(found.relayed))
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
        tuple(
            Holding(
                each.target,
                each.fence,
                each.incarnation,
                each.isActing,
                {parse(one.name): one.number for one in each.resident},
                each.room,
            )
            for each in digest.holdings
        ),
    )
