"""Wires the leases on engines and their controllers."""

from collections import abc
import dataclasses

from mustardlb_gateway import _engine_client
from mustardlb_gateway import _engine_manager
from mustardlb_gateway import _leases
from mustardlb_gateway import _membership
from mustardlb_gateway import _peers
from mustardlb_gateway import _wiring_state
from mustardlb_gateway import _wiring_targets
from mustardlb_gateway import ports
from mustardlb_gateway import settings as gateway_settings


@dataclasses.dataclass(frozen=True, slots=True)
class EngineParts:
    """The leases of this node, and the engines that it controls."""

    leases: _leases.Leases
    manager: _engine_manager.EngineManager


def make(
    settings: abc.Callable[[], gateway_settings.Settings],
    incarnation: int,
    state: _wiring_state.StateParts,
    target_parts: _wiring_targets.TargetParts,
    store: ports.Store,
    translation: ports.Translation,
    membership: _membership.Membership,
    peers: _peers.Peers,
    clock: abc.Callable[[], float],
) -> EngineParts:
    """Return the parts that control engines."""
    vm = settings().vm
    leases = _leases.Leases(
        vm,
        incarnation,
        store,
        clock,
        lambda: settings().handover_time,
        lambda: settings().fences_checked,
        told_fence=lambda target_id: manager.highest_fence(target_id),
        epoch=lambda: state.peer_sync.epoch,
    )
    manager = _engine_manager.EngineManager(
        vm,
        leases,
        _engine_client.EngineClient(
            target_parts.pool,
            translation,
            target_parts.limits.record_response,
            target_parts.states,
        ),
        state.targets,
        peers,
        clock,
        state.config.service,
        state.config.newest,
        lambda: membership.load_age,
        target_parts.reachability.is_lost,
        target_parts.reported_loads.slowdown,
    )
    return EngineParts(leases, manager)
