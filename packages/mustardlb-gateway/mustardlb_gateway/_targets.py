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
LAPSE_TIME = 2.0

# Failures in a row after which a target is left alone.
FAILURES_TO_SUSPEND = 2

# Seconds that a failing target is left alone: at first, and at most. The
# first is a few times the retry of a client; the longest keeps a target
# that has come back from staying idle.
FIRST_SUSPENSION = 0.5
LONGEST_SUSPENSION = 6.0

# Weight of the newest result in the moving share of failures.
FAILURE_WEIGHT = 0.2


@dataclasses.dataclass(slots=True)
class Health:
    """What this node saw of a target.

    :ivar failure_share: moving share of requests that failed there
    :ivar suspended_until: left alone until then, clock seconds
    :ivar heard_at: when the target last answered anything, clock seconds
    """

    failures_in_row: int = 0
    failure_share: float = 0.0
    suspended_until: float = float('-inf')
    suspension: float = FIRST_SUSPENSION
    heard_at: float = float('-inf')


@dataclasses.dataclass(slots=True)
class Usage:
    """Requests in flight at one target, from one node.

    :ivar unread_tokens: prompt tokens of those without a first event
    :ivar by_adapter: requests in flight by adapter
    """

    running: int = 0
    unread_tokens: int = 0
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
        self._read_by_id: dict[str, tuple[int, domain.Target | None]] = {}
        self._lapsed_by_id: dict[str, tuple[domain.Target, float]] = {}
        self._health_by_id: dict[str, Health] = {}
        self.usage_by_id: dict[str, Usage] = {}
        self.others_by_centre: dict[str, _centres.CentreState] = {}
        self._gone: list[abc.Callable[[domain.Target], None]] = []
        mirror.on_change(self._refresh)

    @property
    def revision(self) -> int:
        """Return the revision of the store that the targets are known by."""
        return self._mirror.revision

    @property
    def age(self) -> float:
        """Return the seconds since the store confirmed it."""
        return self._clock() - self._mirror.confirmed_at

    def on_gone(self, notify: abc.Callable[[domain.Target], None]) -> None:
        """Call a function for each target that is gone or restarted."""
        self._gone.append(notify)

    def _refresh(self) -> None:
        fresh = self._read_changed()
        before, self.by_id = self.by_id, fresh
        now = self._clock()
        for target_id, target in before.items():
            new = fresh.get(target_id)
            if new is None:
                self._note_removed(target, now)
            elif new.incarnation != target.incarnation:
                self._forget(target, 'restarted')
            elif new.state != target.state:
                log.info(
                    'MLB-6202',
                    target=target_id,
                    state=str(new.state),
                    revision=self._mirror.revision,
                )
        for target_id in fresh.keys() - before.keys():
            log.info(
                'MLB-6201',
                target=target_id,
                service=fresh[target_id].service,
                state=str(fresh[target_id].state),
                revision=self._mirror.revision,
            )
            self._lapsed_by_id.pop(target_id, None)

    def _read_changed(self) -> dict[str, domain.Target]:
        """Decode the entries that changed and return all usable ones."""
        read: dict[str, tuple[int, domain.Target | None]] = {}
        for name, stored in self._mirror.objects_by_name.items():
            known = self._read_by_id.get(name)
            if known is not None and known[0] == stored.revision:
                read[name] = known
                continue
            target = self._translation.read_target(name, stored.spec)
            read[name] = (stored.revision, target)
        self._read_by_id = read
        return {
            name: target
            for name, (_, target) in read.items()
            if target is not None
        }

    def _note_removed(self, target: domain.Target, now: float) -> None:
        until = self._mirror.connected_at + LAPSE_TIME
        if not self._mirror.is_connected:
            until = now + LAPSE_TIME
        is_lapse = until > now and target.state == domain.TargetState.READY
        if is_lapse:
            self._lapsed_by_id[target.target_id] = (target, until)
        self._forget(target, 'lapsed' if is_lapse else 'removed')

    def _forget(self, target: domain.Target, reason: str) -> None:
        log.info(
            'MLB-6203',
            target=target.target_id,
            reason=reason,
            revision=self._mirror.revision,
        )
        self._health_by_id.pop(target.target_id, None)
        for notify in self._gone:
            notify(target)

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
        if found or not self._lapsed_by_id:
            return found
        now = self._clock()
        self._lapsed_by_id = {
            target_id: (target, until)
            for target_id, (target, until) in self._lapsed_by_id.items()
            if until > now
        }
        return [
            target
            for target, _ in self._lapsed_by_id.values()
            if target.service == service
        ]

    def takes_requests(self, target: domain.Target) -> bool:
        """Whether a target that was chosen before still takes requests."""
        now = self.by_id.get(target.target_id)
        if now is None:
            return target.target_id in self._lapsed_by_id
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

    def note_answer(self, target_id: str) -> None:
        """Note that something came from a target."""
        self.health(target_id).heard_at = self._clock()

    def note_silence(self, target_id: str, seconds: float) -> None:
        """Note that a request has waited so long for its answer.

        It counts as a failure unless the target answered others meanwhile.
        """
        if self.health(target_id).heard_at < self._clock() - seconds:
            self.note_failure(target_id, f'silent for {seconds:.2f} s')

    def note_success(self, target_id: str) -> None:
        """Note that a target answered well."""
        health = self.health(target_id)
        health.failures_in_row = 0
        health.suspension = FIRST_SUSPENSION
        health.failure_share *= 1 - FAILURE_WEIGHT

    def note_failure(
        self, target_id: str, problem: str, is_answer: bool = False
    ) -> None:
        """Note that a target failed a request or could not be reached.

        A failure that the target answered counts against it, but does not
        suspend it: others of its requests may go well.
        """
        health = self.health(target_id)
        health.failure_share += FAILURE_WEIGHT * (1 - health.failure_share)
        if is_answer:
            return
        health.failures_in_row += 1
        if health.failures_in_row < FAILURES_TO_SUSPEND:
            return
        health.suspended_until = self._clock() + health.suspension
        log.info(
            'MLB-6204',
            target=target_id,
            problem=problem,
            failures=health.failures_in_row,
            seconds=health.suspension,
        )
        health.suspension = min(2 * health.suspension, LONGEST_SUSPENSION)

    def begin(
        self,
        target_id: str,
        adapter: domain.AdapterName | None,
        unread_tokens: int,
    ) -> None:
        """Count a request that goes to a target."""
        usage = self.usage_by_id.setdefault(target_id, Usage())
        usage.running += 1
        usage.unread_tokens += unread_tokens
        if adapter is not None:
            count = usage.by_adapter.get(adapter, 0)
            usage.by_adapter[adapter] = count + 1

    def note_read(self, target_id: str, tokens: int) -> None:
        """Note that a request's prompt was read."""
        usage = self.usage_by_id.get(target_id)
        if usage is not None:
            usage.unread_tokens = max(0, usage.unread_tokens - tokens)

    def end(self, target_id: str, adapter: domain.AdapterName | None) -> None:
        """Count a request that has ended at a target."""
        usage = self.usage_by_id[target_id]
        usage.running -= 1
        if adapter is not None:
            usage.by_adapter[adapter] -= 1
            if not usage.by_adapter[adapter]:
                del usage.by_adapter[adapter]
        if not usage.running:
            del self.usage_by_id[target_id]

    def running(self, target_id: str) -> int:
        """Return the requests in flight at a target, from all nodes."""
        own = self.usage_by_id.get(target_id)
        return (own.running if own else 0) + sum(
            load.running for load in self._other_loads(target_id)
        )

    def unread_tokens(self, target_id: str) -> int:
        """Return the prompt tokens that a target still has to read."""
        own = self.usage_by_id.get(target_id)
        return (own.unread_tokens if own else 0) + sum(
            load.unread_tokens for load in self._other_loads(target_id)
        )

    def _other_loads(self, target_id: str) -> abc.Iterator[_centres.Load]:
        for centre in self.others_by_centre.values():
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
            adapter in centre.adapters_in_use.get(target_id, ())
            for centre in self.others_by_centre.values()
        )
