"""Until when targets are cold.

A cold target tolerates few requests a second from all nodes together. Which
targets are cold is known from their registrations and responses. Where they
say nothing, a target counts as cold after this node first sees it or a
connection to it breaks, since it may have just started, and after the
evacuation of its data centre has ended.
"""

from collections import abc
import dataclasses
import math

import structlog

from mustardlb_gateway import _evacuations
from mustardlb_gateway import _mirror
from mustardlb_gateway import _targets
from mustardlb_gateway import domain

log = structlog.get_logger()

# A later end that differs by less is not told to the other nodes.
MIN_EXTENSION_SECONDS = 0.25

# A longer time than this is not believed.
MAX_COLD_SECONDS = 600.0

# A target that is gone is remembered for this time, so that one that
# registers again after an outage of the store does not count as started.
GONE_TTL_SECONDS = 60.0
REMOVE_INTERVAL_SECONDS = 5.0

# Target and its incarnation.
TargetKey = tuple[str, int]


@dataclasses.dataclass(slots=True)
class _Incarnation:
    """What is known of one incarnation of a target; clock seconds.

    :ivar target: as last registered
    :ivar assumed_at: when it may have started: when this node first saw it,
        or when a connection to it last broke
    :ivar last_seen_at: when it was last registered
    :ivar stated_until: latest end that the target has stated
    :ivar stated_at: time of its last statement
    :ivar stated_revision: store revision of its last statement in a
        registration
    """

    target: domain.Target
    assumed_at: float
    last_seen_at: float
    stated_until: float = -math.inf
    stated_at: float = -math.inf
    stated_revision: int = 0


class ColdTargets:
    """The cold targets, as this node knows them.

    `service` returns a service of the configuration, `evacuations` tells
    which evacuations have ended, and `tell` is called with a target, and the
    seconds for which it is cold, when a response has told this node first.
    """

    def __init__(
        self,
        mirror: _mirror.Mirror,
        targets: _targets.TargetTable,
        service: abc.Callable[[str], domain.Service | None],
        evacuations: _evacuations.Evacuations,
        tell: abc.Callable[[domain.Target, float], None],
        clock: abc.Callable[[], float],
    ) -> None:
        self._mirror = mirror
        self._targets = targets
        self._service = service
        self._evacuations = evacuations
        self._tell = tell
        self._clock = clock
        self._known_by_key: dict[TargetKey, _Incarnation] = {}
        self._removed_at = -math.inf
        mirror.on_change(self._observe)

    def _observe(self) -> None:
        """Read the registrations that have changed."""
        now = self._clock()
        for target in self._targets.by_id.values():
            key = target.target_id, target.incarnation
            known = self._known_by_key.get(key)
            if known is None:
                known = _Incarnation(target, now, now)
                self._known_by_key[key] = known
            elif known.target is target:
                # Most registrations are only renewed.
                known.last_seen_at = now
                continue
            known.target = target
            known.last_seen_at = now
            if target.cold_remaining > 0:
                stored = self._mirror.objects_by_name.get(target.target_id)
                known.stated_revision = stored.revision if stored else 0
                self._state(known, target.cold_remaining, 'registration')

    def _state(
        self, known: _Incarnation, remaining: float, source: str
    ) -> bool:
        """Record what a target says; return whether its end is much later."""
        now = self._clock()
        until = now + min(remaining, MAX_COLD_SECONDS)
        before = max(now, self._until(known))
        known.stated_until = max(known.stated_until, until)
        known.stated_at = now
        if until < before + MIN_EXTENSION_SECONDS:
            return False
        if self.per_second(known.target):
            log.info(
                'MLB-6232',
                target=known.target.target_id,
                seconds=round(until - now, 3),
                source=source,
            )
        return True

    def record_response(self, target: domain.Target, remaining: float) -> None:
        """Record the seconds for which a target says that it is cold."""
        known = self._known_by_key.get((target.target_id, target.incarnation))
        if known is None or remaining <= 0:
            return
        if self._state(known, remaining, 'response') and self.per_second(
            target
        ):
            self._tell(target, remaining)

    def record_broken(self, target: domain.Target) -> None:
        """Record that a connection to a target broke or was refused.

        It may have started again with the same address.
        """
        known = self._known_by_key.get((target.target_id, target.incarnation))
        if known is not None:
            known.assumed_at = self._clock()

    def record_told(
        self, target_id: str, incarnation: int, remaining: float
    ) -> None:
        """Record what another node knows from a target."""
        known = self._known_by_key.get((target_id, incarnation))
        if known is not None and remaining > 0:
            self._state(known, remaining, 'node')

    def _until(self, known: _Incarnation) -> float:
        """Return when a target is no longer cold, clock seconds.

        What it has stated replaces what is assumed of the time before.
        """
        target = known.target
        service = self._service(target.service)
        seconds = service.cold_start if service is not None else 0.0
        until = known.stated_until
        if known.stated_at < known.assumed_at:
            until = max(until, known.assumed_at + seconds)
        ended = self._evacuations.ended(target.data_centre)
        if (
            ended is not None
            and known.stated_at < ended.at
            and known.stated_revision <= ended.revision
        ):
            until = max(until, ended.at + seconds)
        return until

    def per_second(self, target: domain.Target) -> float:
        """Return the requests a second that a target tolerates while cold.

        0 if its service has no such limit.
        """
        service = self._service(target.service)
        return service.cold_per_second if service is not None else 0.0

    def remaining(self, target: domain.Target) -> float:
        """Return the seconds for which a target is still cold, or 0."""
        if not self.per_second(target):
            return 0.0
        known = self._known_by_key.get((target.target_id, target.incarnation))
        if known is None:
            return 0.0
        return max(0.0, self._until(known) - self._clock())

    def stated_remaining(self, target: domain.Target) -> float:
        """Return the seconds for which a target says that it is cold."""
        known = self._known_by_key.get((target.target_id, target.incarnation))
        if known is None:
            return 0.0
        return max(0.0, known.stated_until - self._clock())

    def is_cold(self, target: domain.Target) -> bool:
        """Return whether requests to a target need a permit."""
        return self.remaining(target) > 0

    def registered(
        self, target_id: str, incarnation: int
    ) -> domain.Target | None:
        """Return an incarnation of a target if this node knows it."""
        known = self._known_by_key.get((target_id, incarnation))
        return known.target if known is not None else None

    def known_ids(self) -> set[str]:
        """Return the ids of the targets that this node knows."""
        return {target_id for target_id, _ in self._known_by_key}

    @property
    def count(self) -> int:
        """Return the number of registered targets that are cold."""
        targets = self._targets.by_id.values()
        limited = {
            name
            for name in {target.service for target in targets}
            if (service := self._service(name)) and service.cold_per_second
        }
        if not limited:
            return 0
        return sum(map(self.is_cold, targets))

    def remove_gone(self) -> None:
        """Forget targets that have been gone for some time."""
        now = self._clock()
        if now < self._removed_at + REMOVE_INTERVAL_SECONDS:
            return
        self._removed_at = now
        for target in self._targets.by_id.values():
            known = self._known_by_key.get(
                (target.target_id, target.incarnation)
            )
            if known is not None:
                known.last_seen_at = now
        self._known_by_key = {
            key: known
            for key, known in self._known_by_key.items()
            if known.last_seen_at > now - GONE_TTL_SECONDS
        }
