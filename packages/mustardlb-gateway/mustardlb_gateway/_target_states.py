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
from mustardlb_gateway import _target_limits
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

# Calls in progress or refused, as a ratio of the slots of all brittle targets,
# for which the shares are set. Nodes cannot learn of a surge before a brittle
# target falls over, so this applies at any load.
PEAK_DEMAND_RATIO = 3.0

# Target and its incarnation.
TargetKey = tuple[str, int]


class TargetStates:
    """Rest that targets have asked this node for, and brittle targets.

    `limits` tells which targets are brittle, `owners` ranks the nodes,
    `in_flight` returns the requests of this node at a target,
    `record_leaving` is called with each target that leaves, and `record_load`
    with each load that a target reports.
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
    ) -> None:
        self._clock = clock
        self._limits = limits
        self._vm = vm
        self._owners = owners
        self._in_flight = in_flight
        self._record_leaving = record_leaving
        self._rng = rng or random.Random()
        self._record_load = record_load
        self._rest_until_by_key: dict[TargetKey, float] = {}

    def record_response(
        self, target: domain.Target, status: int, info: domain.ResponseInfo
    ) -> float:
        """Record a response; return the seconds of rest that it asks for."""
        if info.is_leaving:
            self._record_leaving(target)
        self._record_load(target, info.load)
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
        """Return whether this node uses its share of a brittle target.

        The shares of all nodes together leave some slots free, so that the
        target has no reason to reject a request.
        """
        if self._limits.max_rejections(target) is None:
            return False
        ranking = self._owners.ranking(target.target_id)
        room = max(1, int(target.slots * BRITTLE_FILL_RATIO))
        if room < len(ranking):
            room = self._holders(target, room, len(ranking))
        share, rest = divmod(room, len(ranking))
        share += ranking.index(self._vm) < rest
        return self._in_flight(target.target_id) >= share

    def _holders(self, target: domain.Target, room: int, nodes: int) -> int:
        """Return how many nodes may each use one slot of a brittle target.

        A node with an offered load of `demand` calls uses its slot for the
        part demand / (1 + demand) of the time (Erlang's loss formula for one
        slot), so that more nodes than there is room for keep it filled.
        """
        demand = (
            PEAK_DEMAND_RATIO
            * target.slots
            * self._limits.brittle_count()
            / nodes
        )
        return min(nodes, int(room * (1 + 1 / max(demand, 1e-6))))

    def takes_requests(self, target: domain.Target) -> bool:
        """Return whether a request may be sent to a target now."""
        return not self.rest(target) and not self.is_full(target)

    def denied(self, targets: abc.Iterable[domain.Target]) -> dict[str, float]:
        """Return the seconds until targets take requests, by their ids.

        0 for a brittle target that is full, whose room nobody can tell.
        """
        if not self._rest_until_by_key and not self._limits.has_brittle():
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
