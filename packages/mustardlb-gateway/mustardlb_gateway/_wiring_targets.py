"""Wires what a node knows of targets and how it reaches them."""

from collections import abc
import dataclasses

from mustardlb_gateway import _buffers
from mustardlb_gateway import _cold_permits
from mustardlb_gateway import _cold_targets
from mustardlb_gateway import _crash_watch
from mustardlb_gateway import _membership
from mustardlb_gateway import _messages
from mustardlb_gateway import _node_gauges
from mustardlb_gateway import _owners
from mustardlb_gateway import _peers
from mustardlb_gateway import _quarantine
from mustardlb_gateway import _reachability
from mustardlb_gateway import _read_turns
from mustardlb_gateway import _relay
from mustardlb_gateway import _reported_loads
from mustardlb_gateway import _software_history
from mustardlb_gateway import _target_limits
from mustardlb_gateway import _target_links
from mustardlb_gateway import _target_network
from mustardlb_gateway import _target_permits
from mustardlb_gateway import _target_states
from mustardlb_gateway import _targets
from mustardlb_gateway import _trials
from mustardlb_gateway import _warm_up
from mustardlb_gateway import _wiring_state
from mustardlb_gateway import domain
from mustardlb_gateway import http_client
from mustardlb_gateway import ports
from mustardlb_gateway import settings as gateway_settings


@dataclasses.dataclass(frozen=True, slots=True)
class TargetParts:
    """What targets say and do, and the links to them."""

    limits: _target_limits.TargetLimits
    quarantine: _quarantine.Quarantine
    software_history: _software_history.SoftwareHistory
    states: _target_states.TargetStates
    pool: http_client.Pool
    reachability: _reachability.Reachability
    links: _target_links.TargetLinks
    relay_server: _relay.RelayServer
    crash_watch: _crash_watch.CrashWatch
    reported_loads: _reported_loads.ReportedLoads
    warm_up: _warm_up.WarmUp
    cold: _cold_targets.ColdTargets


def make(
    settings: gateway_settings.Settings,
    state: _wiring_state.StateParts,
    store: ports.Store,
    membership: _membership.Membership,
    peers: abc.Callable[[], _peers.Peers],
    is_stopping: abc.Callable[[], bool],
    clock: abc.Callable[[], float],
    buffers: _buffers.Buffers,
    read_turns: _read_turns.ReadTurns,
) -> TargetParts:
    """Return the parts that know and reach the targets."""
    targets = state.targets
    limits = _target_limits.TargetLimits(targets.incarnation)
    quarantine = _quarantine.Quarantine(clock, lambda: membership.load_age)
    software_history = _software_history.SoftwareHistory(clock)
    state.targets_mirror.on_change(
        lambda: software_history.observe(
            targets.by_id.values(), state.targets_mirror.confirmed_at
        )
    )
    reported_loads = _reported_loads.ReportedLoads(
        clock,
        targets.own_in_flight,
        targets.told_slowdowns,
        lambda: len(membership.live) + 1,
    )

    def is_warmed_up(name: str) -> bool:
        service = state.config.service(name)
        is_cold = service is not None and service.cold_start > 0
        return is_cold or reported_loads.is_reported(name)

    warm_up = _warm_up.WarmUp(
        settings.vm,
        lambda: membership.live,
        targets.own_in_flight,
        targets.in_flight,
        targets.told_windows,
        lambda target_id: targets.by_id.get(target_id),
        is_warmed_up,
        lambda vm, observed: peers().notify(vm, observed),
        clock,
    )
    targets.on_registered(warm_up.record_target)
    targets.on_failure(warm_up.record_failure)
    cold = _cold_targets.ColdTargets(
        state.targets_mirror,
        targets,
        state.config.service,
        state.evacuations,
        lambda target, seconds: tell_cold(peers(), target, seconds),
        clock,
    )
    states = _target_states.TargetStates(
        clock,
        limits,
        settings.vm,
        _owners.Owners(settings.vm, lambda: membership.live, clock),
        targets.own_in_flight,
        targets.record_leaving,
        record_load=reported_loads.record,
        warm_up=warm_up,
        record_cold=cold.record_response,
    )
    pool = http_client.Pool(
        _target_links.CONNECT_TIMEOUT_SECONDS, read_turns, buffers
    )
    reachability = _reachability.Reachability(clock)
    links = _target_links.TargetLinks(
        reachability,
        pool,
        _target_network.TargetNetwork(
            lambda vm, target: peers().relay(vm, target)
        ),
        lambda: targets.by_id,
        lambda: membership.live,
        membership.data_centre_of,
        settings.data_centre,
        lambda target: states.rest(target) > 0 or targets.has_left(target),
        lambda: membership.cut_off,
    )
    relay_server = _relay.RelayServer(
        links,
        lambda: targets.by_id,
        lambda body, request: peers().encode(body, request),
        is_stopping,
        targets.is_evacuated,
        lambda target: state.evacuations.is_overdue(target.data_centre),
        buffers,
        targets.is_leaving,
        lambda vm, target_id, incarnation: peers().notify(
            vm, _messages.Rest(target_id, incarnation, 0.0, is_leaving=True)
        ),
    )
    targets.on_departure(relay_server.notify_leaving)
    crash_watch = _crash_watch.CrashWatch(
        quarantine,
        store,
        targets.is_registered,
        is_down=links.is_down,
    )
    return TargetParts(
        limits,
        quarantine,
        software_history,
        states,
        pool,
        reachability,
        links,
        relay_server,
        crash_watch,
        reported_loads,
        warm_up,
        cold,
    )


def make_trials(
    settings: gateway_settings.Settings,
    target_parts: TargetParts,
    peers: _peers.Peers,
    clock: abc.Callable[[], float],
    is_settled: abc.Callable[[], bool],
) -> _trials.Trials:
    """Return the permits to send calls that are quarantined."""
    return _trials.Trials(
        settings.vm,
        target_parts.quarantine,
        peers.request,
        peers.alive,
        clock,
        is_settled,
    )


def make_permits(
    settings: gateway_settings.Settings,
    target_parts: TargetParts,
    peers: _peers.Peers,
    clock: abc.Callable[[], float],
) -> _target_permits.TargetPermits:
    """Return the permits to send requests to targets with a limit."""
    return _target_permits.TargetPermits(
        settings.vm,
        target_parts.limits,
        peers.request,
        peers.alive,
        clock,
    )


def make_cold_permits(
    settings: abc.Callable[[], gateway_settings.Settings],
    state: _wiring_state.StateParts,
    target_parts: TargetParts,
    membership: _membership.Membership,
    peers: _peers.Peers,
    clock: abc.Callable[[], float],
) -> _cold_permits.ColdPermits:
    """Return the permits to send requests to cold targets."""

    def bound(per_second: float) -> float:
        ratio = settings().cold_limit_ratio
        return ratio * per_second + settings().cold_limit_slack

    return _cold_permits.ColdPermits(
        settings().vm,
        target_parts.cold,
        state.targets.is_evacuated,
        peers.request,
        peers.notify,
        lambda: membership.vms_by_name,
        peers.alive,
        bound,
        clock,
    )


def tell_cold(
    peers: _peers.Peers, target: domain.Target, seconds: float
) -> None:
    """Tell all nodes for how many seconds a target is cold."""
    notice = _messages.ColdNotice(
        target.target_id, target.incarnation, seconds
    )
    for vm in peers.alive():
        peers.notify(vm, notice)


def tell_rest(
    peers: _peers.Peers,
    helper: str,
    target: domain.Target,
    seconds: float,
    is_leaving: bool,
) -> None:
    """Tell a node that a target has asked it for rest, or leaves."""
    peers.notify(
        helper,
        _messages.Rest(
            target.target_id, target.incarnation, seconds, is_leaving
        ),
    )


def refresh(parts: TargetParts, targets: _targets.TargetTable) -> None:
    """Forget what has expired, and bring up to date what depends on time."""
    targets.update()
    parts.pool.close_expired()
    parts.quarantine.refresh_if_due()
    parts.limits.remove_gone()
    parts.cold.remove_gone()
    parts.states.remove_expired()
    parts.reported_loads.remove_expired()
    parts.warm_up.update()


def update_gauges(
    gauges: _node_gauges.NodeGauges,
    parts: TargetParts,
    targets: _targets.TargetTable,
) -> None:
    """Set the gauges of what is known about targets."""
    gauges.quarantined.set(parts.quarantine.size)
    gauges.crash_reports.set(len(parts.quarantine.evidence.report_by_key))
    gauges.suspended_targets.set(targets.suspended_count)
    gauges.warming_targets.set(parts.warm_up.count)
    gauges.slow_targets.set(parts.reported_loads.slow_count)
    gauges.lost_targets.set(parts.reachability.lost_count)
    gauges.cold_targets.set(parts.cold.count)
    gauges.relayed_connections.set(parts.relay_server.count)
