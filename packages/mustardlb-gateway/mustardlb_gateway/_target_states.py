"""What targets say of themselves in their responses.

A target that rejects a request may ask this node for rest. One that is
brittle falls over when it has to reject too many requests in a second, of all
nodes together. Both hold for one incarnation of a target and end by
themselves. That a target leaves is recorded in the table of targets.
"""

from collections import abc
import random

import structlog

from mustardlb_gateway import _owners
from mustardlb_gateway import _slot_shares
from mustardlb_gateway import _target_limits
from mustardlb_gateway import _warm_up
from mustardlb_gateway import domain

log = structlog.get_logger()

# A target gets a request again after this time, whatever it asked for.
MAX_REST_SECONDS = 60.0

# Part of the rejections that a brittle target bears which all nodes together
# may cause. The rest covers requests that are on their way.
USED_REJECTIONS_RATIO = 0.5

# Longest time for which a node leaves a brittle target after a rejection.
MAX_BRITTLE_REST_SECONDS = 3.0

# Part of its slots that the nodes divide among themselves while a target is
# brittle. They may differ for a moment on which nodes there are.
BRITTLE_FILL_RATIO = 0.8

# Target and its incarnation.
TargetKey = tuple[str, int]


class TargetStates:
    """Rest that targets have asked this node for, and brittle targets.

    `limits` tells which targets are brittle, `owners` ranks the nodes,
    `in_flight` returns the requests of this node at a target,
    `record_leaving` is called with each target that leaves, `record_load` with
    each load that a target reports, and `record_cold` with each target that
    says that it is cold and for how many seconds.
    """

    def __init__(
        self,
        clock: abc.Callable[[], float],
        limits: _target_limits.TargetLimits,
        vm: str,
        owners: _owners.Owners,
        in_flight: abc.Callable[[str], int],
        record_leaving: abc.Callable[[domain.Target], None],
        rng: random.Random | None = None,
        record_load: abc.Callable[
            [domain.Target, domain.TargetLoad | None], None
        ] = lambda target, load: None,
        warm_up: _warm_up.WarmUp | None = None,
        record_cold: abc.Callable[
            [domain.Target, float], None
        ] = lambda target, seconds: None,
    ) -> None:
        self._record_cold = record_cold
        self._clock = clock
        self._limits = limits
        self._vm = vm
        self._owners = owners
        self._in_flight = in_flight
        self._record_leaving = record_leaving
        self._rng = rng or random.Random()
        self._record_load = record_load
        self._warm_up = warm_up
        self._rest_until_by_key: dict[TargetKey, float] = {}

    def record_response(
        self, target: domain.Target, status: int, info: domain.ResponseInfo
    ) -> float:
        """Record a response; return the seconds of rest that it asks for."""
        if info.is_leaving:
            self._record_leaving(target)
        self._record_load(target, info.load)
        if self._warm_up is not None and status in (429, 503):
            self._warm_up.record_rejection(target)
        if info.cold_remaining:
            self._record_cold(target, info.cold_remaining)
        self._record_brittle(target, status, info.max_rejections)
        if status != 503 or info.rest is None:
            return 0.0
        return self.record_rest(
            target.target_id, target.incarnation, info.rest
        )

    def record_rest(
        self, target_id: str, incarnation: int, seconds: float
    ) -> float:
        """Record that a target wants no requests for some seconds."""
        seconds = min(seconds, MAX_REST_SECONDS)
        if seconds > 0:
            self._extend_rest((target_id, incarnation), seconds, 'asked')
        return seconds

    def _extend_rest(
        self, key: TargetKey, seconds: float, reason: str
    ) -> None:
        now = self._clock()
        until = max(now + seconds, self._rest_until_by_key.get(key, now))
        if until > self._rest_until_by_key.get(key, now):
            log.info(
                'MLB-6218',
                target=key[0],
                seconds=round(seconds, 3),
                reason=reason,
            )
        self._rest_until_by_key[key] = until

    def _record_brittle(
        self,
        target: domain.Target,
        status: int,
        max_rejections: float | None,
    ) -> None:
        """Leave a brittle target for a while if it rejected a request.

        Each node causes an equal share of the rejections that it bears.
        """
        if max_rejections is None or status not in (429, 503):
            return
        key = target.target_id, target.incarnation
        per_second = max_rejections * USED_REJECTIONS_RATIO
        seconds = MAX_BRITTLE_REST_SECONDS
        if per_second > 0:
            nodes = len(self._owners.ranking(target.target_id))
            seconds = min(seconds, nodes / per_second)
        self._extend_rest(key, seconds * self._rng.uniform(1, 1.5), 'brittle')

    def rest(self, target: domain.Target) -> float:
        """Return the seconds for which a target gets no requests, or 0."""
        key = target.target_id, target.incarnation
        return max(0.0, self._rest_until_by_key.get(key, 0.0) - self._clock())

    def is_full(self, target: domain.Target) -> bool:
        """Return whether this node uses its share of a target.

        The shares of all nodes together of a brittle target leave some slots
        free, so that the target has no reason to reject a request. Those of
        one that warms up are the parts of its window.
        """
        if self._warm_up is not None and self._warm_up.is_full(target):
            return True
        if self._limits.max_rejections(target) is None:
            return False
        ranking = self._owners.ranking(target.target_id)
        room = max(1, int(target.slots * BRITTLE_FILL_RATIO))
        slots = target.slots * self._limits.brittle_count()
        share = _slot_shares.share(
            room,
            ranking,
            self._vm,
            _slot_shares.PEAK_DEMAND_RATIO * slots / len(ranking),
        )
        return self._in_flight(target.target_id) >= share

    def takes_requests(self, target: domain.Target) -> bool:
        """Return whether a request may be sent to a target now."""
        return not self.rest(target) and not self.is_full(target)

    def denied(self, targets: abc.Iterable[domain.Target]) -> dict[str, float]:
        """Return the seconds until targets take requests, by their ids.

        0 for a target that is full, whose room nobody can tell.
        """
        has_windows = self._warm_up is not None and self._warm_up.has_windows
        if not (
            self._rest_until_by_key
            or self._limits.has_brittle()
            or has_windows
        ):
            return {}
        return {
            target.target_id: self.rest(target)
            for target in targets
            if not self.takes_requests(target)
        }

    def remove_expired(self) -> None:
        """Forget what has ended."""
        now = self._clock()
        self._rest_until_by_key = {
            key: until
            for key, until in self._rest_until_by_key.items()
            if until > now
        }
