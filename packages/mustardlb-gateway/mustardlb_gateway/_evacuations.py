"""The data centres that operators have evacuated.

The store has one object for each, with its name. No request is sent to the
targets there until the object is removed.
"""

from collections import abc
import dataclasses

import structlog

from mustardlb_gateway import _mirror

log = structlog.get_logger()

# Part of the evacuation time after which a relayed connection to an evacuated
# data centre passes on no further bytes of requests. Until then it may carry
# the rest of a request that began before.
RELAY_GRACE_RATIO = 0.5

# The end of an evacuation is remembered for this time. No target is cold for
# longer after it.
ENDED_TTL_SECONDS = 600.0

# The operator writes again within this time what the store has lost when it
# continues from a copy. Until then evacuations that it lacks go on.
REWRITE_SECONDS = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class EndedEvacuation:
    """The last evacuation of a data centre.

    :ivar at: when this node learned of the end, clock seconds
    :ivar revision: revision of the store with which it ended
    """

    at: float
    revision: int


class Evacuations:
    """The evacuated data centres, as of the mirror's revision.

    Without a mirror the platform has no evacuations. `evacuation_time`
    returns the seconds within which an evacuation has to take effect.

    :ivar since_by_centre: when this node learned of each, clock seconds
    """

    def __init__(
        self,
        mirror: _mirror.Mirror | None,
        clock: abc.Callable[[], float],
        evacuation_time: abc.Callable[[], float | None],
    ) -> None:
        self._mirror = mirror
        self._clock = clock
        self._evacuation_time = evacuation_time
        self._started_at = clock()
        self.since_by_centre: dict[str, float] = {}
        self._ended_by_centre: dict[str, EndedEvacuation] = {}
        self._epoch = mirror.epoch if mirror is not None else 0
        self._lost_until_by_centre: dict[str, float] = {}
        if mirror is not None:
            mirror.on_change(lambda: self._refresh(mirror))

    def _refresh(self, mirror: _mirror.Mirror) -> None:
        now = self._clock()
        before = self.since_by_centre
        if mirror.epoch != self._epoch:
            self._epoch = mirror.epoch
            self._lost_until_by_centre = dict.fromkeys(
                before.keys() - mirror.objects_by_name.keys(),
                now + REWRITE_SECONDS,
            )
        self._lost_until_by_centre = {
            name: until
            for name, until in self._lost_until_by_centre.items()
            if until > now and name not in mirror.objects_by_name
        }
        self.since_by_centre = {
            name: before.get(name, now)
            for name in (*mirror.objects_by_name, *self._lost_until_by_centre)
        }
        for name in self.since_by_centre.keys() - before.keys():
            log.warning('MLB-6230', data_centre=name, revision=mirror.revision)
        for name in before.keys() - self.since_by_centre.keys():
            self._ended_by_centre[name] = EndedEvacuation(
                now, mirror.changed_revision
            )
            log.warning(
                'MLB-6231',
                data_centre=name,
                seconds=round(now - before[name], 3),
                revision=mirror.revision,
            )
        self._ended_by_centre = {
            name: ended
            for name, ended in self._ended_by_centre.items()
            if ended.at > now - ENDED_TTL_SECONDS
        }

    def update(self) -> None:
        """End evacuations that the store has lost and nobody wrote again."""
        if self._mirror is not None and self._lost_until_by_centre:
            self._refresh(self._mirror)

    @property
    def is_known(self) -> bool:
        """Return whether this node knows which data centres are evacuated.

        A node that has learned nothing within the evacuation time acts as if
        there were none: it reaches neither the store nor a node that knows.
        """
        if self._mirror is None or self._mirror.revision:
            return True
        seconds = self._evacuation_time() or 0.0
        return self._clock() >= self._started_at + seconds

    def is_evacuated(self, data_centre: str) -> bool:
        """Return whether the targets of a data centre get no requests."""
        return data_centre in self.since_by_centre or not self.is_known

    def is_overdue(self, data_centre: str) -> bool:
        """Return whether also a request that began before has to end."""
        since = self.since_by_centre.get(data_centre)
        if since is None:
            return False
        grace = RELAY_GRACE_RATIO * (self._evacuation_time() or 0.0)
        return self._clock() >= since + grace

    def ended(self, data_centre: str) -> EndedEvacuation | None:
        """Return the last evacuation of a data centre, None without one."""
        return self._ended_by_centre.get(data_centre)
