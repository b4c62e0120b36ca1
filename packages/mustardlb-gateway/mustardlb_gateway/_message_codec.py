"""Encodes and decodes the messages between nodes."""

from typing import Annotated
from typing import Any

import capnp
import msgspec

from mustardlb import schema
from mustardlb_gateway import _amounts
from mustardlb_gateway import _centres
from mustardlb_gateway import _messages
from mustardlb_gateway import _origin_codec
from mustardlb_gateway import _reachability
from mustardlb_gateway import _removal_codec
from mustardlb_gateway import _target_observation_codec
from mustardlb_gateway import domain
from mustardlb_gateway import ports

# Epochs of the store have at most nine digits.
MAX_EPOCH = 999_999_999

# The room of a holding has 16 bits.
MAX_ROOM = 32_767


class UnknownMessage(ValueError):
    """A message of a kind that only a newer release knows."""


def encode(message: _messages.Message) -> bytes:
    """Encode a message."""
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


def _body_fields(body: _messages.Body) -> tuple[str, Any]:
    """Return the name of the union's member and its value."""
    match body:
        case _messages.Digest():
            return 'digest', _digest_fields(body)
        case _messages.SnapshotRequest():
            return 'snapshotRequest', {
                'name': body.kind,
                'number': body.since,
            }
        case _messages.Snapshot():
            return 'snapshot', {
                'kind': body.kind,
                'revision': body.revision,
                'objects': msgspec.json.encode(body.objects),
                'names': list(body.names),
                'epoch': body.epoch,
            }
        case _messages.Want():
            return 'want', {
                'target': body.target_id,
                'adapter': str(body.adapter),
                'version': body.version,
                'patience': body.patience,
                'slack': body.slack,
                'priority': _encode_priority(body.priority),
                'account': body.account,
                'tokens': _limited(body.tokens, 32),
            }
        case _messages.Wanted():
            return 'wanted', body.is_there
        case _messages.Reserve():
            return 'reserve', {
                'target': body.target_id,
                'adapter': str(body.adapter),
                'version': body.version,
                'tokens': _limited(body.tokens, 32),
                'maxQueue': body.max_queue,
                'isLoad': body.is_load,
                'priority': _encode_priority(body.priority),
                'account': body.account,
                'slack': body.slack,
            }
        case _messages.Reserved():
            return 'reserved', {
                'isDecided': body.is_decided,
                'isAccepted': body.is_accepted,
                'isResident': body.is_resident,
                'queue': body.queue,
                'turn': body.turn or 0.0,
            }
        case _messages.Charge():
            return 'charge', _charge_fields(body)
        case _messages.Charged():
            return 'charged', {
                'isDecided': body.is_decided,
                'wait': body.wait,
                'level': body.level,
            }
        case _messages.Refund():
            return 'refund', _charge_fields(body.charge)
        case _messages.Permit():
            return 'permit', {
                'notice': _target_observation_codec.encode_notice(body.notice),
                'rank': _limited(body.rank, 16),
            }
        case _messages.Permitted():
            return 'permitted', body.wait
        case _messages.ColdPermit():
            return 'coldPermit', _cold_fields(body) | {
                'ranked': list(body.ranked)
            }
        case _messages.ColdNotice():
            return 'coldNotice', _cold_fields(body)
        case _messages.Trial():
            return 'trial', body.suspect
        case _messages.Tried():
            return 'tried', body.is_granted
        case _messages.TellOrigins():
            return 'tellOrigins', _origin_codec.encode_told(body)
        case _messages.ToldOrigins():
            return 'toldOrigins', None
        case _messages.FindOrigin():
            return 'findOrigin', {
                'stream': body.stream,
                'services': list(body.services),
            }
        case _messages.FoundOrigin():
            return 'foundOrigin', _origin_codec.encode_found(body)
        case _messages.Relay():
            return 'relay', {
                'target': body.target_id,
                'incarnation': body.incarnation,
            }
        case _messages.RelayResult():
            return 'relayResult', int(body.outcome)
        case _messages.Rest():
            return 'rest', {
                'target': body.target_id,
                'incarnation': body.incarnation,
                'seconds': body.seconds,
                'isLeaving': body.is_leaving,
            }
        case _messages.Observed():
            return 'observed', {
                'target': body.target_id,
                'incarnation': body.incarnation,
                'fast': _limited(body.fast, 32),
                'slow': _limited(body.slow, 32),
                'failed': _limited(body.failed, 32),
                'isSuspended': body.is_suspended,
            }
        case _messages.FindRemovals():
            return 'findRemovals', None
        case _messages.FoundRemovals():
            return 'foundRemovals', _removal_codec.encode_found(body)
        case _messages.Subscription():
            return 'subscription', body.is_wanted
        case _messages.Update():
            return 'update', {
                'isFull': body.is_full,
                'revisions': _encode_numbers(body.revisions),
                'changes': _encode_changes(body.changes),
                'cutOff': _cut_off_members(body.changes),
                'reports': _encode_reports(body.changes),
                'levels': _encode_amounts(body.levels),
                'crashEvidence': _target_observation_codec.encode_evidence(
                    body.crash_evidence
                ),
                'targetLimits': _target_observation_codec.encode_limits(
                    body.target_limits
                ),
                'epoch': body.epoch,
            }


def _limited(count: int, bits: int) -> int:
    """Return a count as it fits into an unsigned integer of some bits."""
    return max(0, min(count, 2**bits - 1))


def _encode_priority(priority: int) -> int:
    return max(0, min(priority, 255))


def _charge_fields(charge: _messages.Charge) -> dict[str, Any]:
    return {
        'account': charge.account,
        'cost': charge.cost,
        'dataCentre': charge.data_centre,
    }


def _encode_numbers(numbers: dict[Any, int]) -> list[dict[str, Any]]:
    return [{'name': str(k), 'number': v} for k, v in numbers.items()]


def _encode_amounts(amounts: dict[str, float]) -> list[dict[str, Any]]:
    return [{'name': k, 'amount': v} for k, v in amounts.items()]


def _digest_fields(digest: _messages.Digest) -> dict[str, Any]:
    return {
        'host': digest.host,
        'port': digest.port,
        'isLeaving': digest.is_leaving,
        'revisions': _encode_numbers(digest.revisions),
        'admitted': _encode_amounts(digest.admitted),
        'usages': [
            {
                'target': usage.target_id,
                'running': _limited(usage.running, 32),
                'unreadTokens': _limited(usage.unread_tokens, 32),
                'adapters': [str(adapter) for adapter in usage.adapters],
                'slowdown': _limited(usage.slowdown, 16),
                'window': _limited(usage.window.size, 16)
                if usage.window
                else 0,
                'windowOf': usage.window.incarnation if usage.window else 0,
            }
            for usage in digest.usages
        ],
        'holdings': [_holding_fields(each) for each in digest.holdings],
        'dataCentre': digest.data_centre,
        'capacity': digest.capacity,
        'isWatching': digest.is_watching,
        'canClaim': digest.can_claim,
        'crashEvidence': _target_observation_codec.encode_evidence(
            digest.crash_evidence
        ),
        'targetLimits': _target_observation_codec.encode_limits(
            digest.target_limits
        ),
        'isCutOff': digest.is_cut_off,
        'epoch': digest.epoch,
    }


def _holding_fields(holding: _centres.Holding) -> dict[str, Any]:
    return {
        'target': holding.target_id,
        'fence': holding.fence,
        'incarnation': holding.incarnation,
        'isActing': holding.is_acting,
        'resident': _encode_numbers(holding.resident),
        'room': max(-MAX_ROOM, min(holding.room, MAX_ROOM)),
    }


# The changes of an update are many small entries. Encoding them as structs of
# the schema takes a hub three times as long as MessagePack.
_WirePort = Annotated[int, msgspec.Meta(ge=0, le=65_535)]
_WireMember = tuple[str, str, _WirePort, float, int, bool]
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
# By data centre: the slowdown of each target in `loads`, in their order, and
# windows by target with the incarnation. A byte for each slowdown, since loads
# are most of what hubs send.
_WireReport = tuple[bytes, dict[str, tuple[int, int]]]
_WireReports = dict[str, _WireReport]
_SLOWDOWN_BYTE_OF_1 = 128
_NO_REPORT: _WireReport = (b'', {})
_reports_decoder = msgspec.msgpack.Decoder(_WireReports)


def _cut_off_members(changes: tuple[_centres.CentreDelta, ...]) -> list[str]:
    """Return the names of those changed members that reach no target.

    They are a field of their own, since gateways of earlier releases decode
    the entries of changes only in their exact form.
    """
    return [
        member.vm.vm
        for change in changes
        for member in change.members
        if member.is_cut_off
    ]


def _encode_changes(changes: tuple[_centres.CentreDelta, ...]) -> bytes:
    return msgspec.msgpack.encode([_encode_change(each) for each in changes])


def _encode_reports(changes: tuple[_centres.CentreDelta, ...]) -> bytes:
    """Return the slowdowns and windows of targets, by data centre.

    They are not a part of the changes, which nodes of an earlier release
    could not decode then. Empty if there are none.
    """
    reports: _WireReports = {
        change.data_centre: (
            bytes(_slowdown_byte(load) for load in change.loads.values()),
            {
                target_id: (load.window.size, load.window.incarnation)
                for target_id, load in change.loads.items()
                if load.window
            },
        )
        for change in changes
        if any(each.slowdown or each.window for each in change.loads.values())
    }
    if not reports:
        return b''
    return msgspec.msgpack.encode(reports)


def _slowdown_byte(load: _centres.Load) -> int:
    """Return the steps of a slowdown from 1 as a byte, 0 for none."""
    if not load.slowdown:
        return 0
    steps = _centres.told_steps(load.slowdown / 100)
    return min(255, max(1, _SLOWDOWN_BYTE_OF_1 + steps))


def _slowdown_of(byte: int) -> int:
    """Return a slowdown in percent, from its byte."""
    if not byte:
        return 0
    slowdown = _centres.TOLD_STEP ** (byte - _SLOWDOWN_BYTE_OF_1)
    return _centres.told_percent(slowdown)


def _encode_change(change: _centres.CentreDelta) -> _WireChange:
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
                each.can_claim,
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


def decode(data: bytes) -> _messages.Message:
    """Decode a message.

    Raises ValueError if it is invalid, UnknownMessage if its kind is unknown.
    """
    try:
        decoded = schema.load('gateway').PeerMessage.from_bytes_packed(data)
        if not _is_known(decoded):
            raise UnknownMessage(f'unknown message of {len(data)} bytes')
        body = _decode_body(decoded)
        # A text is not decoded before it is read.
        return _messages.Message(
            decoded.vm, decoded.incarnation, decoded.request, body
        )
    except UnknownMessage:
        raise
    except (
        capnp.KjException,
        msgspec.MsgspecError,
        RecursionError,
        ValueError,
    ) as error:
        raise ValueError(f'invalid message: {error}') from error


def _is_known(decoded: Any) -> bool:
    try:
        decoded.which()
    except capnp.KjException:
        return False
    return True


def _decode_body(decoded: Any) -> _messages.Body:
    match decoded.which():
        case 'digest':
            return _decode_digest(decoded.digest)
        case 'snapshotRequest':
            request = decoded.snapshotRequest
            return _messages.SnapshotRequest(request.name, request.number)
        case 'snapshot':
            objects = msgspec.json.decode(
                decoded.snapshot.objects, type=tuple[ports.StoredObject, ...]
            )
            return _messages.Snapshot(
                decoded.snapshot.kind,
                decoded.snapshot.revision,
                objects,
                tuple(decoded.snapshot.names),
                _checked_epoch(decoded.snapshot.epoch),
            )
        case 'want':
            want = decoded.want
            adapter = domain.AdapterName.parse(want.adapter)
            return _messages.Want(
                want.target,
                adapter,
                want.version,
                _amounts.checked(want.patience),
                _amounts.checked(want.slack),
                want.priority,
                want.account,
                want.tokens,
            )
        case 'reserve':
            reserve = decoded.reserve
            return _messages.Reserve(
                reserve.target,
                domain.AdapterName.parse(reserve.adapter),
                reserve.version,
                reserve.tokens,
                _amounts.checked(reserve.maxQueue),
                reserve.isLoad,
                reserve.priority,
                reserve.account,
                _amounts.checked(reserve.slack),
            )
        case 'reserved':
            reserved = decoded.reserved
            return _messages.Reserved(
                reserved.isDecided,
                reserved.isAccepted,
                reserved.isResident,
                _amounts.checked(reserved.queue),
                _amounts.checked(reserved.turn) or None,
            )
        case 'charge':
            return _decode_charge(decoded.charge)
        case 'charged':
            charged = decoded.charged
            return _messages.Charged(
                charged.isDecided,
                _amounts.checked(charged.wait),
                _amounts.checked(charged.level),
            )
        case 'refund':
            return _messages.Refund(_decode_charge(decoded.refund))
        case 'permit':
            permit = decoded.permit
            return _messages.Permit(
                _target_observation_codec.decode_notice(permit.notice),
                permit.rank,
            )
        case 'permitted':
            return _messages.Permitted(_amounts.checked(decoded.permitted))
        case 'coldPermit':
            cold = decoded.coldPermit
            return _messages.ColdPermit(
                cold.target,
                cold.incarnation,
                _amounts.checked(cold.seconds),
                tuple(cold.ranked),
            )
        case 'coldNotice':
            cold = decoded.coldNotice
            return _messages.ColdNotice(
                cold.target, cold.incarnation, _amounts.checked(cold.seconds)
            )
        case 'trial':
            return _messages.Trial(decoded.trial)
        case 'tried':
            return _messages.Tried(decoded.tried)
        case 'tellOrigins':
            return _origin_codec.decode_told(decoded.tellOrigins)
        case 'toldOrigins':
            return _messages.ToldOrigins()
        case 'findOrigin':
            find = decoded.findOrigin
            return _messages.FindOrigin(find.stream, tuple(find.services))
        case 'foundOrigin':
            return _origin_codec.decode_found(decoded.foundOrigin)
        case 'relay':
            return _messages.Relay(
                decoded.relay.target, decoded.relay.incarnation
            )
        case 'relayResult':
            return _messages.RelayResult(
                _reachability.RelayOutcome(decoded.relayResult)
            )
        case 'rest':
            rest = decoded.rest
            return _messages.Rest(
                rest.target,
                rest.incarnation,
                _amounts.checked(rest.seconds),
                rest.isLeaving,
            )
        case 'observed':
            observed = decoded.observed
            return _messages.Observed(
                observed.target,
                observed.incarnation,
                observed.fast,
                observed.slow,
                observed.failed,
                observed.isSuspended,
            )
        case 'findRemovals':
            return _messages.FindRemovals()
        case 'foundRemovals':
            return _removal_codec.decode_found(decoded.foundRemovals)
        case 'subscription':
            return _messages.Subscription(decoded.subscription)
        case 'update':
            update = decoded.update
            cut_off = frozenset(update.cutOff)
            return _messages.Update(
                update.isFull,
                {each.name: each.number for each in update.revisions},
                _decode_changes(update.changes, update.reports, cut_off),
                _decode_amounts(update.levels),
                _target_observation_codec.decode_evidence(
                    update.crashEvidence
                ),
                _target_observation_codec.decode_limits(update.targetLimits),
                _checked_epoch(update.epoch),
            )
        case _:
            return _messages.Wanted(decoded.wanted)


def _cold_fields(
    body: _messages.ColdPermit | _messages.ColdNotice,
) -> dict[str, Any]:
    return {
        'target': body.target_id,
        'incarnation': body.incarnation,
        'seconds': body.seconds,
    }


def _checked_epoch(epoch: int) -> int:
    """Return an epoch of the store; raises ValueError if it is too large."""
    if epoch > MAX_EPOCH:
        raise ValueError(f'invalid epoch {epoch}')
    return epoch


def _decode_charge(charge: Any) -> _messages.Charge:
    """Decode a charge; raises ValueError if its cost is no amount."""
    if not 0 <= charge.cost < float('inf'):
        raise ValueError(f'invalid cost {charge.cost}')
    return _messages.Charge(charge.account, charge.cost, charge.dataCentre)


def _decode_amounts(amounts: Any) -> dict[str, float]:
    return _amounts.checked_by_name(
        {each.name: each.amount for each in amounts}
    )


def _decode_digest(digest: Any) -> _messages.Digest:
    parse = domain.AdapterName.parse
    return _messages.Digest(
        digest.host,
        digest.port,
        digest.dataCentre,
        _amounts.checked(digest.capacity),
        digest.isWatching,
        digest.isLeaving,
        {each.name: each.number for each in digest.revisions},
        _decode_amounts(digest.admitted),
        tuple(
            _messages.TargetUsage(
                each.target,
                each.running,
                each.unreadTokens,
                tuple(parse(adapter) for adapter in each.adapters),
                each.slowdown,
                _decode_window(each.window, each.windowOf),
            )
            for each in digest.usages
        ),
        tuple(_decode_holding(each) for each in digest.holdings),
        digest.canClaim,
        _target_observation_codec.decode_evidence(digest.crashEvidence),
        _target_observation_codec.decode_limits(digest.targetLimits),
        digest.isCutOff,
        _checked_epoch(digest.epoch),
    )


def _decode_holding(holding: Any) -> _centres.Holding:
    parse = domain.AdapterName.parse
    return _centres.Holding(
        holding.target,
        holding.fence,
        holding.incarnation,
        holding.isActing,
        {parse(each.name): each.number for each in holding.resident},
        holding.room,
    )


def _decode_window(size: int, incarnation: int) -> _centres.Window | None:
    return _centres.Window(size, incarnation) if size else None


def _decode_changes(
    changes: bytes, reports: bytes, cut_off: frozenset[str]
) -> tuple[_centres.CentreDelta, ...]:
    by_centre = _reports_decoder.decode(reports) if reports else {}
    return tuple(
        _decode_change(each, by_centre.get(each[0], _NO_REPORT), cut_off)
        for each in _changes_decoder.decode(changes)
    )


def _decode_change(
    wire: _WireChange, report: _WireReport, cut_off: frozenset[str]
) -> _centres.CentreDelta:
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
    slowdowns, windows = report
    slowdowns = slowdowns or bytes(len(loads))
    return _centres.CentreDelta(
        centre,
        lost_count,
        is_watching,
        tuple(
            _centres.Member(
                _centres.Vm(
                    vm, host, port, centre, _amounts.checked(capacity)
                ),
                incarnation,
                can_claim,
                vm in cut_off,
            )
            for vm, host, port, capacity, incarnation, can_claim in members
        ),
        tuple(removed_members),
        _amounts.checked_by_name(admitted),
        {
            key: _centres.Load(
                *load,
                _slowdown_of(byte),
                _decode_window(*windows.get(key, (0, 0))),
            )
            for (key, load), byte in zip(loads.items(), slowdowns, strict=True)
        },
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
