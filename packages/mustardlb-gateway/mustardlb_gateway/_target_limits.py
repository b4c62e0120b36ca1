"""Limits that targets name in their responses, as known to all nodes.

A target in need names the requests a second that it accepts from all nodes
together, or that it can reject without falling over, for as long as its
responses say so. The latest notice of any node applies.
"""

from collections import abc
import dataclasses
import time

import structlog

from mustardlb_gateway import domain

log = structlog.get_logger()

# A limit that differs by less is not told to the other nodes again.
MIN_CHANGE_RATIO = 0.05

UNREGISTERED_TTL_SECONDS = 60.0

# A notice from a node whose clock is further ahead is not used.
MAX_CLOCK_DIFFERENCE_SECONDS = 60.0

# Target and its incarnation.
TargetKey = tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class LimitNotice:
    """What a target said about its limits.

    :ivar limit: requests a second that it accepts, None for no limit
    :ivar at: Unix seconds
    :ivar max_rejections: requests a second that it can reject without falling
        over, None if it is not brittle
    """

    target_id: str
    incarnation: int
    limit: float | None
    at: float
    max_rejections: float | None = None

    @property
    def key(self) -> TargetKey:
        """Return the target and its incarnation."""
        return self.target_id, self.incarnation

    def is_same_limit(self, other: 'LimitNotice | None') -> bool:
        """Return whether another notice names about the same limits."""
        limit = other.limit if other is not None else None
        rejections = other.max_rejections if other is not None else None
        return _is_about(self.limit, limit) and _is_about(
            self.max_rejections, rejections
        )


def _is_about(one: float | None, other: float | None) -> bool:
    if one is None or other is None:
        return one is other
    return abs(one - other) <= MIN_CHANGE_RATIO * other


NoticesByKey = dict[TargetKey, LimitNotice]


def merge(one: NoticesByKey, other: NoticesByKey) -> NoticesByKey:
    """Return the latest notice of each target.

    >>> early = LimitNotice('t1', 1, 2.0, 5.0)
    >>> late = LimitNotice('t1', 1, None, 6.0)
    >>> merge({late.key: late}, {early.key: early})[late.key].limit
    """
    merged = dict(one)
    for key, notice in other.items():
        known = merged.get(key)
        if known is None or _order(known) < _order(notice):
            merged[key] = notice
    return merged


def unsent(sent: NoticesByKey, current: NoticesByKey) -> NoticesByKey:
    """Return the notices that have not been sent yet."""
    return {
        key: notice
        for key, notice in current.items()
        if sent.get(key) != notice
    }


def _order(notice: LimitNotice) -> tuple[float, float]:
    # Of two notices of the same time, the lower limit applies.
    limit = float('inf') if notice.limit is None else notice.limit
    return notice.at, -limit


class TargetLimits:
    """The limits of all targets.

    :ivar notice_by_key: latest notice of each target that had a limit
    :ivar own_notice_by_key: those to tell the other nodes
    """

    def __init__(
        self,
        incarnation: abc.Callable[[str], int | None],
        wall_clock: abc.Callable[[], float] = time.time,
    ) -> None:
        self._incarnation = incarnation
        self._wall_clock = wall_clock
        self.notice_by_key: NoticesByKey = {}
        self.own_notice_by_key: NoticesByKey = {}
        self._named_by_key: NoticesByKey = {}

    def limit(self, target: domain.Target) -> float | None:
        """Return the limit of a target, None without one."""
        notice = self.notice_by_key.get((target.target_id, target.incarnation))
        return notice.limit if notice is not None else None

    def has_brittle(self) -> bool:
        """Return whether any target is brittle."""
        return any(
            notice.max_rejections is not None
            for notice in self.notice_by_key.values()
        )

    def brittle_count(self) -> int:
        """Return the number of brittle targets."""
        return sum(
            notice.max_rejections is not None
            for notice in self.notice_by_key.values()
        )

    def max_rejections(self, target: domain.Target) -> float | None:
        """Return the rejections a second that a brittle target bears.

        None if the target is not brittle.
        """
        notice = self.notice_by_key.get((target.target_id, target.incarnation))
        return notice.max_rejections if notice is not None else None

    def record_response(
        self,
        target: domain.Target,
        limit: float | None,
        sent_ago: float,
        max_rejections: float | None = None,
    ) -> None:
        """Record the limits that a response names, None if it names none.

        :param sent_ago: seconds since the request was sent. A limit applies
            from now on; that there is none is only certain as of then.
        """
        key = target.target_id, target.incarnation
        is_named = limit is not None or max_rejections is not None
        if not is_named and key not in self.notice_by_key:
            return
        now = self._wall_clock()
        notice = LimitNotice(*key, limit, now, max_rejections)
        if not is_named:
            notice = dataclasses.replace(notice, at=now - sent_ago)
        else:
            self._named_by_key[key] = notice
        known = self.notice_by_key.get(key)
        if not notice.is_same_limit(known):
            self._tell({key: notice})

    def add(self, notices: NoticesByKey) -> None:
        """Add the notices of another node."""
        latest = self._wall_clock() + MAX_CLOCK_DIFFERENCE_SECONDS
        notices = {
            key: notice
            for key, notice in notices.items()
            if notice.at < latest
        }
        before = self.notice_by_key
        self.notice_by_key = merge(before, notices)
        for key in notices:
            notice = self.notice_by_key[key]
            if not notice.is_same_limit(before.get(key)):
                log.info(
                    'MLB-6210',
                    target=notice.target_id,
                    limit=notice.limit,
                    max_rejections=notice.max_rejections,
                    age=round(self._wall_clock() - notice.at, 3),
                )
        # This node may have been told a limit after the other one was told
        # that there is none.
        self._tell(
            {
                key: named
                for key, named in self._named_by_key.items()
                if key in notices
                and named.at > self.notice_by_key[key].at
                and not named.is_same_limit(self.notice_by_key[key])
            }
        )

    def _tell(self, notices: NoticesByKey) -> None:
        if notices:
            self.own_notice_by_key = merge(self.own_notice_by_key, notices)
            self.add(notices)

    def remove_gone(self) -> None:
        """Forget old notices of targets that are not registered (any more).

        A notice may arrive before the registration of its target.
        """
        self.notice_by_key = self._registered(self.notice_by_key)
        self.own_notice_by_key = self._registered(self.own_notice_by_key)
        self._named_by_key = self._registered(self._named_by_key)

    def _registered(self, notices: NoticesByKey) -> NoticesByKey:
        since = self._wall_clock() - UNREGISTERED_TTL_SECONDS
        return {
            key: notice
            for key, notice in notices.items()
            if notice.at > since or self._incarnation(key[0]) == key[1]
        }
