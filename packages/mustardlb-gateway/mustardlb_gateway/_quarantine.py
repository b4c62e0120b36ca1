"""Keeps requests that crash targets away from the targets."""

import collections
from collections import abc
import dataclasses
import hashlib
import itertools
import time

import structlog

from mustardlb_gateway import _crash_decision
from mustardlb_gateway import _crashes
from mustardlb_gateway import domain

log = structlog.get_logger()

# A target may end shortly after the first output of a request that crashes
# it. A request whose output goes on for longer did not.
MIN_OUTPUT_SECONDS = 0.5

# A target that ends within this time of a request's failure may have failed
# because of it. Registrations of targets that crashed expire later than
# their connections close.
CONFIRMATION_SECONDS = 8.0

# A crash counts once it has been known for this time, a multiple of the age
# of what nodes tell. Until then, other nodes report outputs of suspects that
# only waited at the target.
MIN_SETTLE_SECONDS = 0.5
SETTLE_LOAD_AGES = 1.5

# Suspects whose last output is remembered, so that a crash that a node learns
# about later does not count against them.
MAX_REMEMBERED_OUTPUTS = 2048

# Expired evidence is discarded at this interval.
REFRESH_INTERVAL_SECONDS = 1.0

MAX_LOGGED_SUSPECTS = 16

# Retry-After while another request is being tried.
MIN_WAIT_SECONDS = 0.5

# Parts of a prompt that are suspects, of the first ones.
MAX_SUSPECT_PARTS = 64


def suspects_of(call: domain.Call) -> tuple[str, ...]:
    """Return what a crash on a call may be due to."""
    return *_parts_of(call), *_whole_request(call)


def _parts_of(call: domain.Call) -> tuple[str, ...]:
    """Return the parts of a prompt that are suspects.

    The last one belongs to this request alone.
    """
    parts = call.shared_parts[:MAX_SUSPECT_PARTS]
    return tuple(part for part in parts if part)


def _whole_request(call: domain.Call) -> tuple[str, ...]:
    """Return the suspects that stand for a request as a whole.

    A client that repeats a request may send it with another prompt, while
    clients with an empty body differ only in their prompts.
    """
    content = (
        call.method,
        call.host.encode('latin-1'),
        call.path,
        (call.key or '').encode('latin-1'),
        call.body,
    )
    suspect = _crashes.CONTENT_PREFIX + _hash(content)
    if not call.prompt_parts:
        return (suspect,)
    prompt = (
        *content,
        str(call.adapter or '').encode('latin-1'),
        *(part.part_id.encode('latin-1') for part in call.prompt_parts),
    )
    return suspect, _crashes.PROMPT_PREFIX + _hash(prompt)


def _hash(fields: abc.Iterable[bytes]) -> str:
    digest = hashlib.blake2b(digest_size=8)
    for field in fields:
        digest.update(b'%d:' % len(field) + field)
    return digest.hexdigest()


@dataclasses.dataclass(slots=True)
class _Failures:
    """Requests of this node that failed without output at one target.

    :ivar failed_at: time of the last failure, Unix seconds
    :ivar last_at: the same in clock seconds
    :ivar sent_at_by_suspect: when the last one was sent, Unix seconds
    :ivar sent_at_by_request: the same by request
    """

    failed_at: float = 0.0
    last_at: float = 0.0
    sent_at_by_suspect: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    sent_at_by_request: dict[str, float] = dataclasses.field(
        default_factory=dict
    )


class Quarantine:
    """Crashes that this node has observed or was told of, and the suspects.

    :ivar evidence: of all nodes
    :ivar own_evidence: found by this node, which the other nodes are told
    """

    def __init__(
        self,
        clock: abc.Callable[[], float],
        load_age: abc.Callable[[], float],
        wall_clock: abc.Callable[[], float] = time.time,
    ) -> None:
        self._clock = clock
        self._load_age = load_age
        self._wall_clock = wall_clock
        self.evidence = _crashes.Evidence()
        self.own_evidence = _crashes.Evidence()
        self._failures_by_key: dict[_crashes.CrashKey, _Failures] = {}
        self._output_at: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._learned_at: dict[tuple[_crashes.CrashKey, str], float] = {}
        self._has_suspects = False
        self._period_by_suspect: dict[
            str, _crash_decision.QuarantinePeriod
        ] = {}
        self._valid_until = float('inf')
        self._ever_quarantined: frozenset[str] = frozenset()
        self._is_unsaved = False

    @property
    def size(self) -> int:
        """Return the number of quarantined suspects."""
        return len(self._period_by_suspect)

    def periods(
        self, call: domain.Call
    ) -> dict[str, _crash_decision.QuarantinePeriod]:
        """Return the suspects of a call that are quarantined."""
        self.refresh_if_due()
        if not self._period_by_suspect:
            return {}
        return {
            suspect: self._period_by_suspect[suspect]
            for suspect in suspects_of(call)
            if suspect in self._period_by_suspect
        }

    def holds(self, call: domain.Call) -> bool:
        """Return whether a call is sent only as a trial."""
        return bool(self.periods(call))

    def wait(self, call: domain.Call) -> float:
        """Return the seconds until a call is sent, at least as a trial.

        0 if it may be sent, or if one request is tried at once because the
        targets may have ended for another reason. Otherwise at least
        MIN_WAIT_SECONDS.
        """
        now = self._wall_clock()
        waits = [
            min(each.until, each.trial_at) - now
            for each in self.periods(call).values()
            if each.is_certain
        ]
        return max(MIN_WAIT_SECONDS, *waits) if waits else 0.0

    def is_trial_due(self, suspect: str) -> bool:
        """Return whether a request with a quarantined suspect may be tried."""
        self.refresh_if_due()
        period = self._period_by_suspect.get(suspect)
        return period is None or period.trial_at <= self._wall_clock()

    def record_failure(
        self,
        target: domain.Target,
        call: domain.Call,
        sent_seconds_ago: float,
    ) -> None:
        """Record a request that failed without lasting output.

        Its suspects are reported if the target turns out to have ended.
        """
        now = self._clock()
        self._failures_by_key = {
            key: failures
            for key, failures in self._failures_by_key.items()
            if failures.last_at > now - CONFIRMATION_SECONDS
        }
        failures = self._failures_by_key.setdefault(
            (target.target_id, target.incarnation),
            _Failures(),
        )
        failures.failed_at, failures.last_at = self._wall_clock(), now
        sent_at = failures.failed_at - sent_seconds_ago
        failures.sent_at_by_request[call.request_id] = sent_at
        for suspect in suspects_of(call):
            failures.sent_at_by_suspect[suspect] = max(
                sent_at, failures.sent_at_by_suspect.get(suspect, sent_at)
            )

    def confirm_crash(self, target: domain.Target, reason: str) -> None:
        """Report the requests that failed at a target that has ended.

        A target that announced its end has not crashed.
        """
        key = target.target_id, target.incarnation
        failures = self._failures_by_key.pop(key, None)
        if (
            failures is None
            or failures.last_at < self._clock() - CONFIRMATION_SECONDS
            or target.state != domain.TargetState.READY
        ):
            return
        report = _crashes.CrashReport(
            *key, failures.failed_at, failures.sent_at_by_suspect
        )
        log.warning(
            'MLB-6205',
            target=target.target_id,
            incarnation=target.incarnation,
            reason=reason,
            suspects=sorted(report.suspects)[:MAX_LOGGED_SUSPECTS],
            sent_seconds_before={
                request_id: round(failures.failed_at - sent_at, 3)
                for request_id, sent_at in itertools.islice(
                    failures.sent_at_by_request.items(), MAX_LOGGED_SUSPECTS
                )
            },
        )
        self._report(_crashes.Evidence({key: report}))

    def record_output(self, call: domain.Call, seconds_ago: float) -> None:
        """Record that a call had its first lasting output some time ago."""
        at = self._wall_clock() - seconds_ago
        suspects = _crashes.ANY_REQUEST, *_parts_of(call)
        if self._has_suspects or self._failures_by_key:
            suspects += _whole_request(call)
        for suspect in suspects:
            self._output_at[suspect] = max(
                at, self._output_at.get(suspect, at)
            )
            self._output_at.move_to_end(suspect)
        while len(self._output_at) > MAX_REMEMBERED_OUTPUTS:
            self._output_at.popitem(last=False)
        self._report_outputs(suspects)

    def _report_outputs(self, suspects: abc.Iterable[str]) -> None:
        """Report outputs that are later than a known crash.

        Of all requests, also those not long before one. Nothing is reported
        that is known from another node already.
        """
        needed = {}
        known = self.evidence.output_at_by_suspect
        for suspect in suspects:
            output_at = self._output_at.get(suspect, float('-inf'))
            known_at = known.get(suspect, float('-inf'))
            is_any = suspect == _crashes.ANY_REQUEST
            before = _crash_decision.WITNESS_SECONDS if is_any else 0.0
            if output_at > known_at and any(
                known_at < report.at - before < output_at
                for report in self.evidence.report_by_key.values()
                if is_any or suspect in report.suspects
            ):
                needed[suspect] = output_at
        if needed:
            self._report(_crashes.Evidence({}, needed))

    def _report(self, evidence: _crashes.Evidence) -> None:
        self.own_evidence = _crashes.merge(self.own_evidence, evidence)
        self.add(evidence)

    def add(
        self, evidence: _crashes.Evidence, is_settled: bool = False
    ) -> None:
        """Add evidence that this node or another one has found.

        :param is_settled: the crashes count at once
        """
        merged = _crashes.merge(
            self.evidence, _crashes.valid_at(evidence, self._wall_clock())
        )
        if merged == self.evidence:
            return
        learned_at = float('-inf') if is_settled else self._clock()
        for key, report in evidence.report_by_key.items():
            for suspect in report.suspects:
                self._learned_at.setdefault((key, suspect), learned_at)
        self.evidence = merged
        self.refresh()
        if evidence.report_by_key:
            self._report_outputs(
                (*self.evidence.suspects, _crashes.ANY_REQUEST)
            )

    def refresh_if_due(self) -> None:
        """Decide again if crashes have settled or may have expired."""
        if self._clock() >= self._valid_until:
            self.refresh()

    def refresh(self) -> None:
        """Discard expired evidence and decide on the suspects again."""
        now, wall_now = self._clock(), self._wall_clock()
        self.evidence = _crashes.valid_at(self.evidence, wall_now)
        suspects = self.evidence.suspects
        self.evidence = _crashes.only_outputs_of(self.evidence, suspects)
        self.own_evidence = _crashes.only_outputs_of(
            _crashes.valid_at(self.own_evidence, wall_now), suspects
        )
        self._has_suspects = bool(suspects)
        reports = self.evidence.report_by_key
        self._learned_at = {
            (key, suspect): self._learned_at.get((key, suspect), now)
            for key, report in reports.items()
            for suspect in report.suspects
        }
        settle_seconds = max(
            MIN_SETTLE_SECONDS, SETTLE_LOAD_AGES * self._load_age()
        )
        settled_since = now - settle_seconds
        self._replace(
            _crash_decision.quarantined(
                self.evidence,
                lambda report, suspect: (
                    self._learned_at[report.key, suspect] <= settled_since
                ),
            )
        )
        self._valid_until = min(
            (
                learned_at + settle_seconds
                for learned_at in self._learned_at.values()
                if learned_at > settled_since
            ),
            default=float('inf'),
        )
        if reports:
            self._valid_until = min(
                self._valid_until, now + REFRESH_INTERVAL_SECONDS
            )

    def _replace(
        self, periods: dict[str, _crash_decision.QuarantinePeriod]
    ) -> None:
        """Replace the quarantined suspects and log what has changed."""
        before, self._period_by_suspect = (
            self._period_by_suspect,
            periods,
        )
        for suspect in periods.keys() - before.keys():
            log.warning(
                'MLB-6206',
                suspect=suspect,
                targets=[
                    report.target_id
                    for report in self.evidence.report_by_key.values()
                    if suspect in report.suspects
                ],
                is_certain=periods[suspect].is_certain,
                seconds=round(
                    max(0.0, periods[suspect].trial_at - self._wall_clock()),
                    1,
                ),
            )
        for suspect in before.keys() - periods.keys():
            log.info(
                'MLB-6207',
                suspect=suspect,
                had_output=suspect in self.evidence.output_at_by_suspect,
            )
        if periods == before:
            return
        self._ever_quarantined |= periods.keys()
        self._is_unsaved |= any(
            report.suspects & self._ever_quarantined
            for report in self.own_evidence.report_by_key.values()
        )

    def take_unsaved(self) -> _crashes.Evidence | None:
        """Return evidence to save for nodes that start later, once.

        Only nodes that have reported a crash of a quarantined suspect
        themselves save it, so that few write the same.
        """
        if not self._is_unsaved:
            return None
        self._is_unsaved = False
        return _crashes.about(self.evidence, self._ever_quarantined)
