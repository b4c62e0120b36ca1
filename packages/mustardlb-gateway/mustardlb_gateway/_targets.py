"""The targets of all services, their health and their load."""

from collections import abc
import dataclasses

import structlog

from mustardlb_gateway import _centres
from mustardlb_gateway import _departures
from mustardlb_gateway import _mirror
from mustardlb_gateway import _removals
from mustardlb_gateway import domain
from mustardlb_gateway import ports

log = structlog.get_logger()

# Registrations that expired during an outage of the store may return within
# this time after the store is reachable again. Targets that have not returned
# by then are removed.
REREGISTRATION_SECONDS = 2.0

FAILURES_TO_SUSPEND = 2

# The suspension of a failing target doubles each time. The initial duration is
# a few times the retry interval of a client. The limit keeps a recovered
# target from staying idle.
INITIAL_SUSPENSION_SECONDS = 0.5
MAX_SUSPENSION_SECONDS = 6.0

FAILURE_EWMA_WEIGHT = 0.2

DEFAULT_HEARTBEAT_SECONDS = 1.2

# Sources of a departure, for the log; one that another node told has the name
# of that node.
RESPONSE_SOURCE = 'response'
STORE_SOURCE = 'store'


@dataclasses.dataclass(slots=True)
class Health:
    """Health of a target as observed by this node.

    :ivar failure_share: moving average of the share of failed requests
    :ivar suspended_until: end of the suspension, clock seconds
    :ivar next_suspension: duration of the next suspension, seconds
    :ivar last_response_at: when the target last sent data, clock seconds
    """

    consecutive_failures: int = 0
    failure_share: float = 0.0
    suspended_until: float = float('-inf')
    next_suspension: float = INITIAL_SUSPENSION_SECONDS
    last_response_at: float = float('-inf')


@dataclasses.dataclass(slots=True)
class Usage:
    """Requests of this node in flight at one target.

    :ivar prefill_tokens: tokens to prefill of the requests that have no
        output yet
    :ivar by_adapter: requests in flight by adapter
    """

    in_flight: int = 0
    prefill_tokens: int = 0
    by_adapter: dict[domain.AdapterName, int] = dataclasses.field(
        default_factory=dict
    )


class TargetTable:
    """Targets registered in the store, with their health and load.

    :ivar usage_by_id: load caused by this node
    :ivar centres_by_name: state of the other nodes, by data centre
    """

    def __init__(
        self,
        mirror: _mirror.Mirror,
        translation: ports.Translation,
        clock: abc.Callable[[], float],
        is_centre_evacuated: abc.Callable[[str], bool] = lambda name: False,
        heartbeat_interval: abc.Callable[[], float] = (
            lambda: DEFAULT_HEARTBEAT_SECONDS
        ),
    ) -> None:
        self._mirror = mirror
        self._is_centre_evacuated = is_centre_evacuated
        self._translation = translation
        self._clock = clock
        self.by_id: dict[str, domain.Target] = {}
        self._decoded_by_id: dict[
            str, tuple[ports.StoredObject, domain.Target | None]
        ] = {}
        self._expired_by_id: dict[str, tuple[domain.Target, float]] = {}
        self._health_by_id: dict[str, Health] = {}
        self.usage_by_id: dict[str, Usage] = {}
        self.centres_by_name: dict[str, _centres.CentreState] = {}
        self._departures = _departures.Departures(clock)
        self._removals = _removals.Removals(heartbeat_interval)
        self._epoch = mirror.epoch
        self._epoch_began_at = float('-inf')
        self._removal_callbacks: list[abc.Callable[[domain.Target], None]] = []
        self._registration_callbacks: list[
            abc.Callable[[domain.Target, bool], None]
        ] = []
        self._failure_callbacks: list[abc.Callable[[str, bool], None]] = []
        self._departure_callbacks: list[abc.Callable[[str, int], None]] = []
        mirror.on_change(self._refresh)
        mirror.on_overwritten(self._read_overwritten)

    @property
    def revision(self) -> int:
        """Return the store revision of the targets."""
        return self._mirror.revision

    @property
    def age(self) -> float:
        """Return the seconds since the store confirmed the revision."""
        return self._clock() - self._mirror.confirmed_at

    def on_removed(
        self, callback: abc.Callable[[domain.Target], None]
    ) -> None:
        """Register a callback for each target removed or restarted."""
        self._removal_callbacks.append(callback)

    def on_registered(
        self, callback: abc.Callable[[domain.Target, bool], None]
    ) -> None:
        """Register a callback for each target registered or restarted.

        Its second argument is whether the node knew of no target before.
        """
        self._registration_callbacks.append(callback)

    def on_failure(self, callback: abc.Callable[[str, bool], None]) -> None:
        """Register a callback for each failure of a target.

        Its arguments are the id of the target and whether it is suspended.
        """
        self._failure_callbacks.append(callback)

    def on_departure(self, callback: abc.Callable[[str, int], None]) -> None:
        """Register a callback for each target that is found to leave.

        Its arguments are the id and the incarnation of the target.
        """
        self._departure_callbacks.append(callback)

    def update(self) -> None:
        """Accept restored registrations that have been renewed by now."""
        if self._removals.has_restored:
            self._refresh()

    def removals(self) -> tuple[_removals.Removal, ...]:
        """Return the last registrations that the store has removed."""
        return self._removals.latest()

    def add_removals(self, removals: abc.Iterable[_removals.Removal]) -> None:
        """Add the removals that another node has seen."""
        self._removals.add_told(removals)
        self._refresh()

    def _refresh(self) -> None:
        now = self._clock()
        if self._mirror.epoch != self._epoch:
            # Registrations since the copy of the store's data are lost.
            self._epoch = self._mirror.epoch
            self._epoch_began_at = now
            self._removals.begin_epoch(self._epoch, self._mirror.revision, now)
        current = self._decode_changed()
        previous, self.by_id = self.by_id, current
        for target in current.values():
            before = previous.get(target.target_id)
            if before is None or before.incarnation != target.incarnation:
                for callback in self._registration_callbacks:
                    callback(target, not previous)
        for target_id, target in previous.items():
            new = current.get(target_id)
            if new is None:
                self._handle_removal(target, now)
            elif new.incarnation != target.incarnation:
                self._discard(target, 'restarted')
            elif new.state != target.state:
                log.info(
                    'MLB-6202',
                    target=target_id,
                    state=str(new.state),
                    revision=self._mirror.revision,
                )
        for target_id in current.keys() - previous.keys():
            log.info(
                'MLB-6201',
                target=target_id,
                service=current[target_id].service,
                software=current[target_id].software,
                state=str(current[target_id].state),
                incarnation=current[target_id].incarnation,
                written=self._decoded_by_id[target_id][0].revision,
                revision=self._mirror.revision,
                epoch=self._mirror.epoch,
            )
            self._expired_by_id.pop(target_id, None)

    def _decode_changed(self) -> dict[str, domain.Target]:
        """Decode changed registrations and return all valid targets."""
        decoded: dict[
            str, tuple[ports.StoredObject, domain.Target | None]
        ] = {}
        for name, stored in self._mirror.objects_by_name.items():
            cached = self._decoded_by_id.get(name)
            if cached is not None and (
                cached[0] is stored or cached[0].spec == stored.spec
            ):
                # Most registrations are only renewed.
                decoded[name] = (stored, cached[1])
                continue
            target = self._translation.read_target(name, stored.spec)
            decoded[name] = (stored, target)
        self._decoded_by_id = decoded
        targets = {
            name: target
            for name, (_, target) in decoded.items()
            if target is not None
        }
        for target in targets.values():
            if target.state == domain.TargetState.DRAINING:
                self._add_departure(
                    target.target_id, target.incarnation, STORE_SOURCE
                )
        self._removals.find_restored(
            [
                (target, self._decoded_by_id[name][0].revision)
                for name, target in targets.items()
            ],
            self._mirror.revision,
            self._mirror.confirmed_at,
        )
        return {
            name: self._with_leaving(target)
            for name, target in targets.items()
        }

    def _read_overwritten(self, stored: ports.StoredObject) -> None:
        """Record a notice of leaving that a later change has overwritten."""
        target = self._translation.read_target(stored.name, stored.spec)
        if target and target.state == domain.TargetState.DRAINING:
            self._add_departure(
                target.target_id, target.incarnation, STORE_SOURCE
            )

    def _with_leaving(self, target: domain.Target) -> domain.Target:
        """Return a target as draining if it leaves or may have left."""
        if not self.has_left(target):
            return target
        return dataclasses.replace(target, state=domain.TargetState.DRAINING)

    def record_leaving(self, target: domain.Target) -> None:
        """Record that a target leaves, before the store says so."""
        self.record_departure(
            target.target_id, target.incarnation, RESPONSE_SOURCE
        )

    def record_departure(
        self, target_id: str, incarnation: int, source: str
    ) -> None:
        """Record that an incarnation of a target leaves.

        :param source: who says so, for the log
        """
        self._add_departure(target_id, incarnation, source)
        current = self.by_id.get(target_id)
        if current is not None:
            self.by_id[target_id] = self._with_leaving(current)

    def _add_departure(
        self, target_id: str, incarnation: int, source: str
    ) -> None:
        if not self._departures.record(target_id, incarnation):
            return
        log.info(
            'MLB-6220',
            target=target_id,
            incarnation=incarnation,
            is_registered=target_id in self._decoded_by_id,
            source=source,
        )
        for callback in self._departure_callbacks:
            callback(target_id, incarnation)

    def has_left(self, target: domain.Target) -> bool:
        """Return whether a target leaves, or may have left."""
        return self._removals.is_restored(target) or self.is_leaving(target)

    def is_leaving(self, target: domain.Target) -> bool:
        """Return whether a target is known to leave."""
        return self._departures.has_left(target)

    def _handle_removal(self, target: domain.Target, now: float) -> None:
        since = max(self._mirror.connected_at, self._epoch_began_at)
        until = since + REREGISTRATION_SECONDS
        if not self._mirror.is_connected:
            until = now + REREGISTRATION_SECONDS
        may_return = until > now and target.state == domain.TargetState.READY
        if may_return:
            self._expired_by_id[target.target_id] = (target, until)
        self._discard(target, 'lapsed' if may_return else 'removed')

    def _discard(self, target: domain.Target, reason: str) -> None:
        self._removals.record(
            target, self._mirror.epoch, self._mirror.revision
        )
        log.info(
            'MLB-6203',
            target=target.target_id,
            reason=reason,
            incarnation=target.incarnation,
            revision=self._mirror.revision,
            epoch=self._mirror.epoch,
        )
        self._health_by_id.pop(target.target_id, None)
        for callback in self._removal_callbacks:
            callback(target)

    def ready(self, service: str) -> list[domain.Target]:
        """Return the targets of a service that accept new requests.

        If there are none, return the targets whose registrations expired in
        an outage of the store and which may still register again.
        """
        found = [
            target
            for target in self.by_id.values()
            if target.service == service
            and target.state == domain.TargetState.READY
            and not self.is_evacuated(target)
        ]
        if found or not self._expired_by_id:
            return found
        now = self._clock()
        self._expired_by_id = {
            target_id: (target, until)
            for target_id, (target, until) in self._expired_by_id.items()
            if until > now
        }
        return [
            target
            for target, _ in self._expired_by_id.values()
            if target.service == service
            and not self.has_left(target)
            and not self.is_evacuated(target)
        ]

    def is_evacuated(self, target: domain.Target) -> bool:
        """Return whether a target is in an evacuated data centre."""
        return self._is_centre_evacuated(target.data_centre)

    def takes_requests(self, target: domain.Target) -> bool:
        """Return whether a target chosen earlier still accepts requests."""
        return self.is_registered(target) and not self.is_evacuated(target)

    def is_registered(self, target: domain.Target) -> bool:
        """Return whether a target is ready, or may register again."""
        if self.has_left(target):
            return False
        current = self.by_id.get(target.target_id)
        if current is None:
            return self._may_return(target)
        return (
            current.state == domain.TargetState.READY
            and current.incarnation == target.incarnation
            and current.software == target.software
        )

    def _may_return(self, target: domain.Target) -> bool:
        """Return whether a target that lapsed may still register again."""
        expired = self._expired_by_id.get(target.target_id)
        if expired is None:
            return False
        lapsed, until = expired
        return lapsed.incarnation == target.incarnation and (
            until > self._clock()
        )

    def incarnation(self, target_id: str) -> int | None:
        """Return the incarnation of a registered target, else None."""
        target = self.by_id.get(target_id)
        return target.incarnation if target is not None else None

    def health(self, target_id: str) -> Health:
        """Return the health of a target."""
        return self._health_by_id.setdefault(target_id, Health())

    def is_suspended(self, target_id: str) -> bool:
        """Return whether a target is suspended after failures."""
        health = self._health_by_id.get(target_id)
        return health is not None and health.suspended_until > self._clock()

    @property
    def suspended_count(self) -> int:
        """Return the number of targets that are suspended."""
        now = self._clock()
        return sum(
            health.suspended_until > now
            for health in self._health_by_id.values()
        )

    def record_response(self, target_id: str) -> None:
        """Record that a target has sent data."""
        self.health(target_id).last_response_at = self._clock()

    def record_timeout(self, target_id: str, seconds: float) -> None:
        """Record that a request got no response for some seconds.

        It counts as a failure unless the target responded to other requests
        in that time.
        """
        if self.health(target_id).last_response_at < self._clock() - seconds:
            self.record_failure(target_id, f'no response for {seconds:.2f} s')

    def record_success(self, target_id: str) -> None:
        """Record a successful request and reset the suspension."""
        health = self.health(target_id)
        health.consecutive_failures = 0
        health.next_suspension = INITIAL_SUSPENSION_SECONDS
        health.failure_share *= 1 - FAILURE_EWMA_WEIGHT

    def record_failure(
        self, target_id: str, problem: str, got_response: bool = False
    ) -> None:
        """Record a failed request or connection attempt.

        :param got_response: the target sent an error response, which counts
            as a failure but does not suspend the target, since its other
            requests may succeed
        """
        health = self.health(target_id)
        health.failure_share += FAILURE_EWMA_WEIGHT * (
            1 - health.failure_share
        )
        is_suspended = False
        if not got_response:
            health.consecutive_failures += 1
            is_suspended = health.consecutive_failures >= FAILURES_TO_SUSPEND
        for callback in self._failure_callbacks:
            callback(target_id, is_suspended)
        if not is_suspended:
            return
        health.suspended_until = self._clock() + health.next_suspension
        log.info(
            'MLB-6204',
            target=target_id,
            problem=problem,
            failures=health.consecutive_failures,
            seconds=health.next_suspension,
        )
        health.next_suspension = min(
            2 * health.next_suspension, MAX_SUSPENSION_SECONDS
        )

    def begin_request(
        self,
        target_id: str,
        adapter: domain.AdapterName | None,
        prefill_tokens: int,
    ) -> None:
        """Count a request sent to a target."""
        usage = self.usage_by_id.setdefault(target_id, Usage())
        usage.in_flight += 1
        usage.prefill_tokens += prefill_tokens
        if adapter is not None:
            count = usage.by_adapter.get(adapter, 0)
            usage.by_adapter[adapter] = count + 1

    def finish_prefill(self, target_id: str, tokens: int) -> None:
        """Record that the prompt of a request was prefilled."""
        usage = self.usage_by_id.get(target_id)
        if usage is not None:
            usage.prefill_tokens = max(0, usage.prefill_tokens - tokens)

    def end_request(
        self, target_id: str, adapter: domain.AdapterName | None
    ) -> None:
        """Stop counting a request that has ended at a target."""
        usage = self.usage_by_id[target_id]
        usage.in_flight -= 1
        if adapter is not None:
            usage.by_adapter[adapter] -= 1
            if not usage.by_adapter[adapter]:
                del usage.by_adapter[adapter]
        if not usage.in_flight:
            del self.usage_by_id[target_id]

    def own_in_flight(self, target_id: str) -> int:
        """Return the requests of this node in flight at a target."""
        own = self.usage_by_id.get(target_id)
        return own.in_flight if own is not None else 0

    def in_flight(self, target_id: str) -> int:
        """Return the requests of all nodes in flight at a target."""
        own = self.usage_by_id.get(target_id)
        return (own.in_flight if own else 0) + sum(
            load.running for load in self._peer_loads(target_id)
        )

    def pending_prefill_tokens(self, target_id: str) -> int:
        """Return the prompt tokens that a target still has to prefill."""
        own = self.usage_by_id.get(target_id)
        return (own.prefill_tokens if own else 0) + sum(
            load.unread_tokens for load in self._peer_loads(target_id)
        )

    def told_slowdowns(self, target_id: str) -> list[float]:
        """Return the slowdowns that other nodes tell of a target."""
        return [
            load.slowdown / 100
            for load in self._peer_loads(target_id)
            if load.slowdown
        ]

    def told_windows(self) -> dict[str, _centres.Window]:
        """Return the windows that the owners of targets tell, by target."""
        windows: dict[str, _centres.Window] = {}
        for centre in self.centres_by_name.values():
            for target_id, load in centre.loads.items():
                window = _centres.smaller_window(
                    load.window, windows.get(target_id)
                )
                if window is not None:
                    windows[target_id] = window
        return windows

    def _peer_loads(self, target_id: str) -> abc.Iterator[_centres.Load]:
        for centre in self.centres_by_name.values():
            load = centre.loads.get(target_id)
            if load is not None:
                yield load

    def is_in_use(self, target_id: str, adapter: domain.AdapterName) -> bool:
        """Return whether any node has a request in flight for an adapter.

        The uses by other nodes are known only for targets that this node
        controls.
        """
        own = self.usage_by_id.get(target_id)
        if own is not None and adapter in own.by_adapter:
            return True
        return any(
            adapter in centre.adapters_in_use.get(target_id, ())
            for centre in self.centres_by_name.values()
        )
