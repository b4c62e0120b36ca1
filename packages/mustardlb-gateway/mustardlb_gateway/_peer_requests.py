"""Responds to the requests of other nodes."""

import dataclasses

from mustardlb_gateway import _charging
from mustardlb_gateway import _cold_permits
from mustardlb_gateway import _engine_manager
from mustardlb_gateway import _messages
from mustardlb_gateway import _peer_sync
from mustardlb_gateway import _stream_origins
from mustardlb_gateway import _target_permits
from mustardlb_gateway import _target_states
from mustardlb_gateway import _targets
from mustardlb_gateway import _trials
from mustardlb_gateway import _warm_up


@dataclasses.dataclass(frozen=True, slots=True)
class Handlers:
    """The parts that decide on requests of other nodes."""

    peer_sync: _peer_sync.PeerSync
    engine_manager: _engine_manager.EngineManager
    charging: _charging.Charging
    trials: _trials.Trials
    permits: _target_permits.TargetPermits
    cold_permits: _cold_permits.ColdPermits
    stream_origins: _stream_origins.StreamOrigins
    states: _target_states.TargetStates
    targets: _targets.TargetTable
    warm_up: _warm_up.WarmUp


async def handle(
    handlers: Handlers, message: _messages.Message
) -> _messages.Body | None:
    """Return the response to a request, None if it has none."""
    body = message.body
    match body:
        case _messages.SnapshotRequest():
            return handlers.peer_sync.snapshot(body.kind, body.since)
        case _messages.Want():
            return await handlers.engine_manager.handle_load_request(body)
        case _messages.Reserve():
            return handlers.engine_manager.handle_reserve(body)
        case _messages.Charge():
            return handlers.charging.handle_charge(body)
        case _messages.Trial():
            return _messages.Tried(handlers.trials.grant(body.suspect))
        case _messages.Permit():
            return handlers.permits.handle_permit(body)
        case _messages.ColdPermit():
            return _messages.Permitted(
                handlers.cold_permits.handle(message.vm, body)
            )
        case _messages.TellOrigins():
            return handlers.stream_origins.handle_told(body)
        case _messages.FindOrigin():
            return handlers.stream_origins.handle_find(body)
        case _messages.ColdNotice():
            handlers.cold_permits.handle_notice(message.vm, body)
        case _messages.Rest():
            handlers.states.record_rest(
                body.target_id, body.incarnation, body.seconds
            )
            if body.is_leaving:
                handlers.targets.record_departure(
                    body.target_id, body.incarnation, message.vm
                )
        case _messages.FindRemovals():
            return _messages.FoundRemovals(handlers.targets.removals())
        case _messages.Observed():
            handlers.warm_up.handle_observed(message.vm, body)
        case _messages.Refund():
            handlers.charging.handle_refund(body)
    return None
