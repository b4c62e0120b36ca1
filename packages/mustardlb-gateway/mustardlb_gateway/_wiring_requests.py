"""Wires the way of a client's request to a target."""

from collections import abc

from mustardlb_gateway import _buffers
from mustardlb_gateway import _cold_permits
from mustardlb_gateway import _dispatch
from mustardlb_gateway import _exchange
from mustardlb_gateway import _membership
from mustardlb_gateway import _messages
from mustardlb_gateway import _metrics
from mustardlb_gateway import _peers
from mustardlb_gateway import _placement
from mustardlb_gateway import _prefix_index
from mustardlb_gateway import _target_permits
from mustardlb_gateway import _wiring_engines
from mustardlb_gateway import _wiring_state
from mustardlb_gateway import _wiring_targets
from mustardlb_gateway import domain
from mustardlb_gateway import ports
from mustardlb_gateway import settings as gateway_settings


def make_dispatcher(
    settings: gateway_settings.Settings,
    translation: ports.Translation,
    state: _wiring_state.StateParts,
    target_parts: _wiring_targets.TargetParts,
    engines: _wiring_engines.EngineParts,
    permits: _target_permits.TargetPermits,
    cold_permits: _cold_permits.ColdPermits,
    prefix_index: _prefix_index.PrefixIndex,
    membership: _membership.Membership,
    peers: _peers.Peers,
    acquire_retry: abc.Callable[[str], bool],
    record_origin: abc.Callable[
        [str, _messages.Origin, tuple[str, ...]], None
    ],
    ensure_current: abc.Callable[[], abc.Awaitable[None]],
    clock: abc.Callable[[], float],
    buffers: _buffers.Buffers,
    confirm_targets: abc.Callable[[], abc.Awaitable[None]],
    metrics: _metrics.Metrics,
    record_end: abc.Callable[[str], None],
) -> _dispatch.Dispatcher:
    """Return the dispatcher with the choice of targets and the exchange."""
    targets = state.targets
    manager = engines.manager
    placement = _placement.Placement(
        targets,
        prefix_index,
        manager.resident,
        manager.is_controlled,
        manager.was_resident,
        manager.free_slots,
        lambda: membership.load_age,
        settings.data_centre,
        target_parts.software_history.is_adopted,
        target_parts.reported_loads,
        cold_permits.is_cold,
    )

    def tell_rest(
        helper: str, target: domain.Target, seconds: float, is_leaving: bool
    ) -> None:
        _wiring_targets.tell_rest(peers, helper, target, seconds, is_leaving)

    def record_response_time(
        target: domain.Target, route: str, seconds: float, usual: float
    ) -> None:
        ratio = target_parts.reported_loads.record_response_time(
            target, route, seconds, usual
        )
        target_parts.warm_up.record_response(target, ratio)

    exchange = _exchange.Exchange(
        translation,
        target_parts.pool,
        target_parts.links,
        targets,
        prefix_index,
        state.config.versions,
        target_parts.quarantine.record_output,
        target_parts.limits.record_response,
        target_parts.states,
        tell_rest,
        record_origin,
        ensure_current,
        record_response_time,
        clock,
        buffers,
        cold_permits.may_send,
        confirm_targets,
        record_end,
    )
    dispatcher = _dispatch.Dispatcher(
        exchange,
        targets,
        placement,
        state.config.versions,
        manager.request_load,
        manager.reserve,
        acquire_retry,
        target_parts.quarantine,
        target_parts.crash_watch.record_failure,
        permits,
        target_parts.states,
        cold_permits,
        target_parts.cold.record_broken,
        metrics.count_rejection,
    )
    metrics.count_waiting = dispatcher.waiting.counts
    state.targets_mirror.on_change(dispatcher.waiting.notify_changed)
    return dispatcher
