"""Load and slowdown that targets report in their responses.

A report is what one node was told, at one moment. The slowdown is averaged,
shared with the other nodes in the digests, and corrected by how fast the
target answers in comparison with others. Without new reports it returns to 1,
so that a target that was slow is used again. All of it applies only to
targets that report a slowdown.
"""

from collections import abc
import dataclasses
import math
import random

import structlog

from mustardlb_gateway import _centres
from mustardlb_gateway import domain

log = structlog.get_logger()

# Slowdowns out of this range and higher counts are not plausible.
MIN_SLOWDOWN = 0.1
MAX_SLOWDOWN = 100.0
MAX_COUNT = 10_000

# The average of a slowdown that changes many times a second covers 92% of a
# change within a second. One report moves it half of the way at most.
AVERAGE_SECONDS = 0.4
MAX_REPORT_WEIGHT = 0.5

# A report is recent for this time. Those of other nodes are as old as that
# when they arrive.
RECENT_SECONDS = 1.0

# Time in which an average that is no longer recent returns to 1 by 63%. It
# begins after a random time, which is on average this long for each node of
# the fleet: some node returns to the target soon and tells the others of it.
# If all returned at the same time, they would overload a slow target.
DECAY_SECONDS = 2.0
HOLD_SECONDS_PER_NODE = 0.5

# The correction by the response times, as a logarithm: weight of one response,
# and of one in the usual time of a route; its limits; the part that is taken
# for chance; and the time in which it returns to none by 63%.
RESPONSE_WEIGHT = 0.2
USUAL_WEIGHT = 0.05
MAX_CORRECTION = math.log(4.0)
CHANCE_CORRECTION = math.log(1.5)
CORRECTION_SECONDS = 10.0

# Reports are forgotten after this time.
TTL_SECONDS = 60.0

# Implausible reports of one target are logged once in this time.
LOG_INTERVAL_SECONDS = 10.0


@dataclasses.dataclass(slots=True)
class _Report:
    """What is known of the load of one incarnation of a target.

    :ivar at: when this node got the last report, clock seconds
    :ivar requests: running and waiting, as last reported
    :ivar own_in_flight: requests of this node in flight at that time
    :ivar average: of the slowdown that this node was told
    :ivar known: slowdown by all nodes, as of `known_at`
    :ivar held_until: when `known` begins to return to 1
    :ivar correction: logarithm of the factor by which responses take longer
        than the slowdown says, as of `corrected_at`
    """

    incarnation: int
    at: float = float('-inf')
    requests: int = 0
    own_in_flight: int = 0
    average: float = 1.0
    known: float = 1.0
    known_at: float = float('-inf')
    held_until: float = float('-inf')
    correction: float = 0.0
    corrected_at: float = float('-inf')


class ReportedLoads:
    """The last report of each target, and its average slowdown.

    `own_in_flight` returns the requests of this node in flight at a target,
    `told_slowdowns` the slowdowns that other nodes tell of it, and
    `node_count` the number of nodes.
    """

    def __init__(
        self,
        clock: abc.Callable[[], float],
        own_in_flight: abc.Callable[[str], int],
        told_slowdowns: abc.Callable[[str], list[float]],
        node_count: abc.Callable[[], int] = lambda: 1,
        rng: random.Random | None = None,
    ) -> None:
        self._clock = clock
        self._own_in_flight = own_in_flight
        self._told_slowdowns = told_slowdowns
        self._node_count = node_count
        self._rng = rng or random.Random()
        self._report_by_id: dict[str, _Report] = {}
        self._reported_at_by_service: dict[str, float] = {}
        self._usual_by_route: dict[str, float] = {}
        self._logged_at_by_id: dict[str, float] = {}

    def record(
        self, target: domain.Target, load: domain.TargetLoad | None
    ) -> None:
        """Record the load that a response reports, if it has a slowdown."""
        if load is None or load.slowdown is None:
            return
        requests = load.running + load.waiting
        if not (
            MIN_SLOWDOWN <= load.slowdown <= MAX_SLOWDOWN
            and 0 <= requests <= MAX_COUNT
        ):
            self._log_implausible(target.target_id, load)
            return
        now = self._clock()
        self._reported_at_by_service[target.service] = now
        report = self._report(target)
        elapsed = max(0.0, now - report.at)
        weight = min(
            MAX_REPORT_WEIGHT, 1 - math.exp(-elapsed / AVERAGE_SECONDS)
        )
        before = _decayed(report.average, elapsed - RECENT_SECONDS)
        report.average = before + weight * (load.slowdown - before)
        report.at = now
        report.requests = requests
        report.own_in_flight = self._own_in_flight(target.target_id)

    def is_reported(self, service: str) -> bool:
        """Return whether targets of a service report a slowdown."""
        return service in self._reported_at_by_service

    def _report(self, target: domain.Target) -> _Report:
        report = self._report_by_id.get(target.target_id)
        if report is None or report.incarnation != target.incarnation:
            report = _Report(target.incarnation)
            self._report_by_id[target.target_id] = report
        return report

    def _log_implausible(
        self, target_id: str, load: domain.TargetLoad
    ) -> None:
        now = self._clock()
        logged_at = self._logged_at_by_id.get(target_id, float('-inf'))
        if now - logged_at < LOG_INTERVAL_SECONDS:
            return
        self._logged_at_by_id[target_id] = now
        log.warning(
            'MLB-6240',
            target=target_id,
            running=load.running,
            waiting=load.waiting,
            slowdown=load.slowdown,
        )

    def slowdown(self, target: domain.Target) -> float | None:
        """Return how long work takes at a target, as a ratio of the usual.

        None if it has not reported that to any node recently.
        """
        report = self._report_by_id.get(target.target_id)
        told = [
            min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, each))
            for each in self._told_slowdowns(target.target_id)
        ]
        if not told and (
            report is None or report.incarnation != target.incarnation
        ):
            return None
        now = self._clock()
        if told:
            self._reported_at_by_service[target.service] = now
        report = self._report(target)
        if now - report.at <= RECENT_SECONDS:
            told.append(report.average)
        if told:
            report.known = math.exp(sum(map(math.log, told)) / len(told))
            report.known_at = now
            report.held_until = (
                now
                + RECENT_SECONDS
                + self._rng.uniform(
                    0.0, 2 * HOLD_SECONDS_PER_NODE * self._node_count()
                )
            )
        known = _decayed(report.known, now - report.held_until)
        return known * math.exp(self._correction(report, now))

    def _correction(self, report: _Report, now: float) -> float:
        """Return the correction without the part that is taken for chance."""
        correction = report.correction * math.exp(
            (report.corrected_at - now) / CORRECTION_SECONDS
        )
        excess = max(0.0, abs(correction) - CHANCE_CORRECTION)
        return math.copysign(excess, correction)

    def record_response_time(
        self, target: domain.Target, route: str, seconds: float, usual: float
    ) -> float | None:
        """Record the time in which a target answered a request of a route.

        :param usual: an estimate of the seconds to compare it with, which
            only has to be right in proportion within a route
        :return: the time as a ratio of that at the other targets, less the
            slowdown; None if there is nothing to compare with
        """
        report = self._report_by_id.get(target.target_id)
        if report is not None and report.incarnation != target.incarnation:
            report = None
        now = self._clock()
        value = math.log(max(1e-4, seconds) / max(1e-4, usual))
        if report is not None:
            value -= math.log(
                _decayed(report.average, now - report.at - RECENT_SECONDS)
            )
        before = self._usual_by_route.get(route)
        if before is None:
            self._usual_by_route[route] = value
            return None
        # A part that is limited, so that one very slow response does not
        # change what is usual.
        excess = max(-MAX_CORRECTION, min(MAX_CORRECTION, value - before))
        self._usual_by_route[route] = before + USUAL_WEIGHT * excess
        if report is not None:
            correction = report.correction * math.exp(
                (report.corrected_at - now) / CORRECTION_SECONDS
            )
            report.correction = correction + RESPONSE_WEIGHT * (
                excess - correction
            )
            report.corrected_at = now
        return math.exp(value - before)

    def requests(self, target: domain.Target, told: int) -> int:
        """Return the running and waiting requests of a target.

        :param told: requests in flight there by the digests of all nodes and
            the requests of this one
        """
        report = self._report_by_id.get(target.target_id)
        if (
            report is None
            or report.incarnation != target.incarnation
            or self._clock() - report.at > RECENT_SECONDS
        ):
            return told
        own = self._own_in_flight(target.target_id)
        sent_since = max(0, own - report.own_in_flight)
        return max(told, report.requests + sent_since)

    def to_tell(self) -> dict[str, int]:
        """Return the slowdowns to tell other nodes, in percent, by target."""
        since = self._clock() - RECENT_SECONDS
        return {
            target_id: _centres.told_percent(report.average)
            for target_id, report in self._report_by_id.items()
            if report.at >= since
        }

    @property
    def slow_count(self) -> int:
        """Return the number of targets that take twice as long or longer."""
        now = self._clock()
        return sum(
            _decayed(report.known, now - report.held_until) >= 2.0
            for report in self._report_by_id.values()
        )

    def remove_expired(self) -> None:
        """Forget old reports."""
        since = self._clock() - TTL_SECONDS
        self._report_by_id = {
            target_id: report
            for target_id, report in self._report_by_id.items()
            if max(report.at, report.known_at) >= since
        }
        self._reported_at_by_service = {
            service: at
            for service, at in self._reported_at_by_service.items()
            if at >= since
        }
        self._logged_at_by_id = {
            target_id: at
            for target_id, at in self._logged_at_by_id.items()
            if at >= since
        }


def _decayed(slowdown: float, seconds: float) -> float:
    """Return a slowdown some seconds after it begins to return to 1."""
    return 1 + (slowdown - 1) * math.exp(-max(0.0, seconds) / DECAY_SECONDS)
