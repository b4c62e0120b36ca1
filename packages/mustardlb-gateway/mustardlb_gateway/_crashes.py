"""Evidence on which requests crash targets, and what follows from it.

A target that ends while it begins to answer a request may have crashed on
it. Each node reports the requests of its own that had no output when their
target ended, and when requests like them last had output elsewhere. A
request is described by its suspects: the parts of its prompt that other
requests may share, or else its content.

Reports and outputs are only ever added, so that nodes may merge them in any
order and any number of times, and end with the same result.
"""

from collections import abc
import dataclasses

# A suspect is quarantined after this many crashes without an output between.
# One or two may have other causes, such as a failing host.
CRASHES_TO_QUARANTINE = 3

# Part of all crashes in that time that the suspect must have had a part in.
# Requests that only waited at the targets are suspects of a few of them.
MIN_CRASH_SHARE = 1 / 3

# Afterwards a crash is forgotten.
REPORT_TTL_SECONDS = 600.0

# Targets that end within this time have a common cause, such as a failing
# rack, and count as one crash.
COINCIDENCE_SECONDS = 0.25

# Delay from the last crash until one request is tried. It grows with each
# further crash.
FIRST_TRIAL_SECONDS = 10.0
TRIAL_DELAY_RATIO = 6.0

# Evidence from a node whose clock is further ahead is not used.
MAX_CLOCK_DIFFERENCE_SECONDS = 60.0

MAX_REPORTS = 64
MAX_SUSPECTS_PER_REPORT = 128

# Stands for all requests. Unless some request has had output since a
# suspect's first crash, the targets may be ending for another reason.
ANY_REQUEST = ''

# Target and its incarnation.
CrashKey = tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class CrashReport:
    """The end of a target with requests that had no output yet.

    :ivar at: when it ended, Unix seconds
    """

    target_id: str
    incarnation: int
    at: float
    suspects: frozenset[str]

    @property
    def key(self) -> CrashKey:
        """Return what identifies the crash in the reports of all nodes."""
        return self.target_id, self.incarnation


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """What nodes know about crashes.

    :ivar output_at_by_suspect: when a request first had output that then
        went on; Unix seconds
    """

    report_by_key: dict[CrashKey, CrashReport] = dataclasses.field(
        default_factory=dict
    )
    output_at_by_suspect: dict[str, float] = dataclasses.field(
        default_factory=dict
    )

    def __bool__(self) -> bool:
        """Return whether there is any evidence."""
        return bool(self.report_by_key or self.output_at_by_suspect)

    @property
    def suspects(self) -> frozenset[str]:
        """Return the suspects of all crashes."""
        return frozenset().union(
            *(report.suspects for report in self.report_by_key.values())
        )


def merge(one: Evidence, other: Evidence) -> Evidence:
    """Return the union of the evidence of two nodes.

    >>> early = CrashReport('t1', 1, 5.0, frozenset({'p'}))
    >>> late = CrashReport('t1', 1, 6.0, frozenset({'q'}))
    >>> one, other = Evidence({early.key: early}), Evidence({late.key: late})
    >>> merged = merge(one, other)
    >>> report = merged.report_by_key['t1', 1]
    >>> report.at, sorted(report.suspects)
    (5.0, ['p', 'q'])
    """
    reports = dict(one.report_by_key)
    for key, report in other.report_by_key.items():
        known = reports.get(key)
        reports[key] = (
            report if known is None else _merge_reports(known, report)
        )
    outputs = dict(one.output_at_by_suspect)
    for suspect, at in other.output_at_by_suspect.items():
        outputs[suspect] = max(at, outputs.get(suspect, at))
    return Evidence(reports, outputs)


def _merge_reports(one: CrashReport, other: CrashReport) -> CrashReport:
    suspects = one.suspects | other.suspects
    if len(suspects) > MAX_SUSPECTS_PER_REPORT:
        suspects = frozenset(sorted(suspects)[:MAX_SUSPECTS_PER_REPORT])
    return dataclasses.replace(
        one, at=min(one.at, other.at), suspects=suspects
    )


def valid_at(evidence: Evidence, now: float) -> Evidence:
    """Return the evidence without what has expired or lies in the future.

    Of the reports, the newest MAX_REPORTS are kept.
    """
    latest = now + MAX_CLOCK_DIFFERENCE_SECONDS
    newest = sorted(
        (
            report
            for report in evidence.report_by_key.values()
            if now - REPORT_TTL_SECONDS < report.at < latest
        ),
        key=lambda report: (report.at, report.key),
    )[-MAX_REPORTS:]
    return Evidence(
        {report.key: report for report in newest},
        {
            suspect: at
            for suspect, at in evidence.output_at_by_suspect.items()
            if at < latest
        },
    )


def only_outputs_of(evidence: Evidence, suspects: abc.Set[str]) -> Evidence:
    """Return the evidence without the outputs of other suspects."""
    return Evidence(
        evidence.report_by_key,
        {
            suspect: at
            for suspect, at in evidence.output_at_by_suspect.items()
            if suspect in suspects or suspect == ANY_REQUEST
        },
    )


def about(evidence: Evidence, suspects: abc.Set[str]) -> Evidence:
    """Return the evidence on some suspects only."""
    reports = (
        dataclasses.replace(report, suspects=report.suspects & suspects)
        for report in evidence.report_by_key.values()
        if report.suspects & suspects
    )
    return only_outputs_of(
        Evidence(
            {report.key: report for report in reports},
            evidence.output_at_by_suspect,
        ),
        suspects,
    )


def unsent(sent: Evidence, current: Evidence) -> Evidence:
    """Return the part of the evidence that has not been sent yet."""
    return Evidence(
        {
            key: report
            for key, report in current.report_by_key.items()
            if sent.report_by_key.get(key) != report
        },
        {
            suspect: at
            for suspect, at in current.output_at_by_suspect.items()
            if sent.output_at_by_suspect.get(suspect) != at
        },
    )


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantinePeriod:
    """The quarantine of a suspect; times are in Unix seconds.

    :ivar until: when its crashes have expired
    :ivar trial_at: when a single request may be tried, if that is earlier
    """

    until: float
    trial_at: float


def quarantined(
    evidence: Evidence,
    is_settled: abc.Callable[[CrashReport, str], bool] = lambda *_: True,
) -> dict[str, QuarantinePeriod]:
    """Return the suspects to which targets are not exposed.

    A crash counts for a suspect once `is_settled` returns true.

    >>> reports = [
    ...     CrashReport('t1', 1, 5.0, frozenset({'p', 'q'})),
    ...     CrashReport('t2', 1, 6.0, frozenset({'p', 'q'})),
    ...     CrashReport('t3', 1, 7.0, frozenset({'p', 'q'})),
    ... ]
    >>> by_key = {report.key: report for report in reports}
    >>> quarantined(Evidence(by_key, {'q': 6.5, ANY_REQUEST: 6.5}))
    {'p': QuarantinePeriod(until=605.0, trial_at=17.0)}
    """
    outputs = evidence.output_at_by_suspect
    any_output_at = outputs.get(ANY_REQUEST, float('-inf'))
    reports = evidence.report_by_key.values()
    found: dict[str, QuarantinePeriod] = {}
    for suspect in evidence.suspects:
        output_at = outputs.get(suspect, float('-inf'))
        times = _separate(
            report.at
            for report in reports
            if suspect in report.suspects
            and report.at > output_at
            and is_settled(report, suspect)
        )
        if len(times) < CRASHES_TO_QUARANTINE or any_output_at < times[0]:
            continue
        crashes = _separate(
            report.at for report in reports if report.at >= times[0]
        )
        if len(times) >= MIN_CRASH_SHARE * len(crashes):
            retries = len(times) - CRASHES_TO_QUARANTINE
            delay = FIRST_TRIAL_SECONDS * TRIAL_DELAY_RATIO**retries
            found[suspect] = QuarantinePeriod(
                times[-CRASHES_TO_QUARANTINE] + REPORT_TTL_SECONDS,
                times[-1] + min(delay, REPORT_TTL_SECONDS),
            )
    return found


def _separate(times: abc.Iterable[float]) -> list[float]:
    """Return the times of crashes that do not coincide, in order.

    >>> _separate([7.0, 5.0, 5.1])
    [5.0, 7.0]
    """
    separate: list[float] = []
    for at in sorted(times):
        if not separate or at >= separate[-1] + COINCIDENCE_SECONDS:
            separate.append(at)
    return separate
