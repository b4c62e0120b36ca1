"""The targets of all services, and how each of them fares."""

from collections import abc
import dataclasses

import structlog

from mustardlb_gateway import _centres
from mustardlb_gateway import _mirror
from mustardlb_gateway import domain
from mustardlb_gateway import ports

log = structlog.get_logger()

# Seconds after the store's return in which entries that lapsed during its
# outage may come back; those still missing then are gone.
REREGISTRATION_SECONDS = 2.0

# Failures in a row after which a target is left alone.
FAILURES_TO_SUSPEND = 2

# Seconds that a failing target is left alone: at first, and at most. The
# first is a few times the retry of a client; the longest keeps a target
# that has come back from staying idle.
INITIAL_SUSPENSION_SECONDS = 0.5
MAX_SUSPENSION_SECONDS = 6.0

# Weight of the newest result in the moving share of failures.
FAILURE_EWMA_WEIGHT = 0.2


@dataclasses.dataclass(slots=True)
class Health:
    """What this node saw of a target.

    :ivar failure_share: moving share of requests that failed there
    :ivar suspended_until: left alone until then, clock seconds
    :ivar heard_at: when the target last answered anything, clock seconds
    """

    consecutive_failures: int = 0
    failure_share: float = 0.0
    suspended_until: float = float('-inf')
    next_suspension: float = INITIAL_SUSPENSION_SECONDS
    last_response_at: float = float('-inf')


@dataclasses.dataclass(slots=True)
class Usage:
    """Requests in flight at one target, from one node.

    :ivar prefill_tokens: prompt tokens of those without a first event
    :ivar by_adapter: requests in flight by adapter
    """

    in_flight: int = 0
    prefill_tokens: int = 0
    by_adapter: dict[domain.AdapterName, int] = dataclasses.field(
        default_factory=dict
    )


class TargetTable:
    """Targets as the store lists them, with what was seen of them."""

    def __init__(
        self,
        mirror: _mirror.Mirror,
        translation: ports.Translation,
        clock: abc.Callable[[], float],
    ) -> None:
        self._mirror = mirror
        self._translation = translation
        self._clock = clock
        self.by_id: dict[str, domain.Target] = {}
        self._decoded_by_id: dict[str, tuple[int, domain.Target | None]] = {}
        self._expired_by_id: dict[str, tuple[domain.Target, float]] = {}
        self._health_by_id: dict[str, Health] = {}
        self.usage_by_id: dict[str, Usage] = {}
        self.centres_by_name: dict[str, _centres.Centre] = {}
        self._removal_callbacks: list[abc.Callable[[domain.Target], None]] = []
        mirror.on_change(self._refresh)

    @property
    def revision(self) -> int:
        """Return the revision of the store that the targets are known by."""
        return self._mirror.revision

    @property
    def age(self) -> float:
        """Return the seconds since the store confirmed it."""
        return self._clock() - self._mirror.confirmed

    def on_removed(
        self, callback: abc.Callable[[domain.Target], None]
    ) -> None:
        """Call a function for each target that is gone or restarted."""
        self._removal_callbacks.append(callback)

    def _refresh(self) -> None:
        current = self._read_changed()
        previous, self.by_id = self.by_id, current
        now = self._clock()
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
                state=str(current[target_id].state),
                revision=self._mirror.revision,
            )
            self._expired_by_id.pop(target_id, None)

    def _read_changed(self) -> dict[str, domain.Target]:
        """Decode the entries that changed and return all usable ones."""
        decoded: dict[str, tuple[int, domain.Target | None]] = {}
        for name, stored in self._mirror.objects_by_name.items():
            cached = self._decoded_by_id.get(name)
            if cached is not None and cached[0] == stored.revision:
                decoded[name] = cached
                continue
            target = self._translation.read_target(name, stored.spec)
            decoded[name] = (stored.revision, target)
        self._decoded_by_id = decoded
        return {
            name: target
            for name, (_, target) in decoded.items()
            if target is not None
        }

    def _handle_removal(self, target: domain.Target, now: float) -> None:
        until = self._mirror.connected_at + REREGISTRATION_SECONDS
        if not self._mirror.is_connected:
            until = now + REREGISTRATION_SECONDS
        may_return = until > now and target.state == domain.TargetState.READY
        if may_return:
            self._expired_by_id[target.target_id] = (target, until)
        self._discard(target, 'lapsed' if may_return else 'removed')

    def _discard(self, target: domain.Target, reason: str) -> None:
        log.info(
            'MLB-6203',
            target=target.target_id,
            reason=reason,
            revision=self._mirror.revision,
        )
        self._health_by_id.pop(target.target_id, None)
        for callback in self._removal_callbacks:
            callback(target)

    def ready(self, service: str) -> list[domain.Target]:
        """Return the targets of a service that take new requests.

        Where an outage of the store let all entries lapse, the targets that
        may still register again stand in for them.
        """
        found = [
            target
            for target in self.by_id.values()
            if target.service == service
            and target.state == domain.TargetState.READY
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
        ]

    def takes_requests(self, target: domain.Target) -> bool:
        """Whether a target that was chosen before still takes requests."""
        now = self.by_id.get(target.target_id)
        if now is None:
            return target.target_id in self._expired_by_id
        return (
            now.state == domain.TargetState.READY
            and now.incarnation == target.incarnation
        )

    def health(self, target_id: str) -> Health:
        """Return what was seen of a target."""
        return self._health_by_id.setdefault(target_id, Health())

    def is_suspended(self, target_id: str) -> bool:
        """Whether a target is left alone for now."""
        health = self._health_by_id.get(target_id)
        return health is not None and health.suspended_until > self._clock()

    def record_response(self, target_id: str) -> None:
        """Note that something came from a target."""
        self.health(target_id).last_response_at = self._clock()

    def record_timeout(self, target_id: str, seconds: float) -> None:
        """Note that a request has waited so long for its answer.

        It counts as a failure unless the target answered others meanwhile.
        """
        if self.health(target_id).last_response_at < self._clock() - seconds:
            self.record_failure(target_id, f'silent for {seconds:.2f} s')

    def record_success(self, target_id: str) -> None:
        """Note that a target answered well."""
        health = self.health(target_id)
        health.consecutive_failures = 0
        health.next_suspension = INITIAL_SUSPENSION_SECONDS
        health.failure_share *= 1 - FAILURE_EWMA_WEIGHT

    def record_failure(
        self, target_id: str, problem: str, got_response: bool = False
    ) -> None:
        """Note that a target failed a request or could not be reached.

        A failure that the target answered counts against it, but does not
        suspend it: others of its requests may go well.
        """
        health = self.health(target_id)
        health.failure_share += FAILURE_EWMA_WEIGHT * (
            1 - health.failure_share
        )
        if got_response:
            return
        health.consecutive_failures += 1
        if health.consecutive_failures < FAILURES_TO_SUSPEND:
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
        """Count a request that goes to a target."""
        usage = self.usage_by_id.setdefault(target_id, Usage())
        usage.in_flight += 1
        usage.prefill_tokens += prefill_tokens
        if adapter is not None:
            count = usage.by_adapter.get(adapter, 0)
            usage.by_adapter[adapter] = count + 1

    def finish_prefill(self, target_id: str, tokens: int) -> None:
        """Note that a request's prompt was read."""
        usage = self.usage_by_id.get(target_id)
        if usage is not None:
            usage.prefill_tokens = max(0, usage.prefill_tokens - tokens)

    def end_request(
        self, target_id: str, adapter: domain.AdapterName | None
    ) -> None:
        """Count a request that has ended at a target."""
        usage = self.usage_by_id[target_id]
        usage.in_flight -= 1
        if adapter is not None:
            usage.by_adapter[adapter] -= 1
            if not usage.by_adapter[adapter]:
                del usage.by_adapter[adapter]
        if not usage.in_flight:
            del self.usage_by_id[target_id]

    def in_flight(self, target_id: str) -> int:
        """Return the requests in flight at a target, from all nodes."""
        own = self.usage_by_id.get(target_id)
        return (own.in_flight if own else 0) + sum(
            load.running for load in self._peer_loads(target_id)
        )

    def pending_prefill_tokens(self, target_id: str) -> int:
        """Return the prompt tokens that a target still has to read."""
        own = self.usage_by_id.get(target_id)
        return (own.prefill_tokens if own else 0) + sum(
            load.unread_tokens for load in self._peer_loads(target_id)
        )

    def _peer_loads(self, target_id: str) -> abc.Iterator[_centres.Load]:
        for centre in self.centres_by_name.values():
            load = centre.loads.get(target_id)
            if load is not None:
                yield load

    def is_in_use(self, target_id: str, adapter: domain.AdapterName) -> bool:
        """Whether a node has a request in flight for an adapter there.

        The other nodes are known to this one for targets that it keeps.
        """
        own = self.usage_by_id.get(target_id)
        if own is not None and adapter in own.by_adapter:
            return True
        return any(
            adapter in centre.uses.get(target_id, ())
            for centre in self.centres_by_name.values()
        )
