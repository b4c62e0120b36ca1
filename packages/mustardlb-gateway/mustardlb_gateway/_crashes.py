"""Evidence on which requests crash targets, and what follows from it.

A target that ends while it begins to answer a request may have crashed on
it. Each node reports the requests of its own that had no output when their
target ended, and when requests like them last had output elsewhere. A
request is described by its suspects: the request as a whole, which a client
may repeat, and the parts of its prompt, which other requests may share.

Reports and outputs are only ever added, so that nodes may merge them in any
order and any number of times, and end with the same result.
"""

from collections import abc
import dataclasses

# A suspect is quarantined after this many crashes without an output between.
# One or two may have other causes, such as a failing host.
CRASHES_TO_QUARANTINE = 3

# Afterwards a crash is forgotten.
REPORT_TTL_SECONDS = 600.0

# Targets that end within this time of each other may have a common cause,
# such as a failing rack.
COINCIDENCE_SECONDS = 0.25

# A suspect explains ends that coincide if it had a part in so many of them.
MIN_EXPLAINED_SHARE = 1 / 2

# Delay from the last crash until one request is tried. It grows with each
# further crash.
FIRST_TRIAL_SECONDS = 10.0
TRIAL_DELAY_RATIO = 6.0

# A part of prompts, which many requests may share, is quarantined only if
# some request had output since this time before its first crash. Otherwise,
# the targets may be ending for another reason.
WITNESS_SECONDS = 60.0

# Evidence from a node whose clock is further ahead is not used.
MAX_CLOCK_DIFFERENCE_SECONDS = 60.0

MAX_REPORTS = 64
MAX_SUSPECTS_PER_REPORT = 256

# When a request was sent, if that is not known. It counts as sent before any
# other crash.
UNKNOWN = float('-inf')

# Stands for all requests.
ANY_REQUEST = ''

# Prefixes of suspects that describe whole requests: what a client repeats,
# and the same with its complete prompt. Other suspects are parts of prompts.
CONTENT_PREFIX = 'content:'
PROMPT_PREFIX = 'prompt:'

# Suspects that describe fewer requests rank higher among equals.
_PART_RANK, _CONTENT_RANK, _PROMPT_RANK = range(3)

# Target and its incarnation.
CrashKey = tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class CrashReport:
    """The end of a target with requests that had no output yet.

    :ivar at: when it ended, Unix seconds
    :ivar sent_at_by_suspect: when the last request with each suspect was
        sent to it, Unix seconds
    """

    target_id: str
    incarnation: int
    at: float
    sent_at_by_suspect: abc.Mapping[str, float]

    @property
    def suspects(self) -> abc.Set[str]:
        """Return the suspects of the requests."""
        return self.sent_at_by_suspect.keys()

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

    >>> early = CrashReport('t1', 1, 5.0, {'p': 4.5})
    >>> late = CrashReport('t1', 1, 6.0, {'q': 4.9})
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
    sent_at = dict(one.sent_at_by_suspect)
    for suspect, at in other.sent_at_by_suspect.items():
        sent_at[suspect] = max(at, sent_at.get(suspect, at))
    if len(sent_at) > MAX_SUSPECTS_PER_REPORT:
        kept = sorted(sent_at)[:MAX_SUSPECTS_PER_REPORT]
        sent_at = {suspect: sent_at[suspect] for suspect in kept}
    return dataclasses.replace(
        one, at=min(one.at, other.at), sent_at_by_suspect=sent_at
    )


def _rank(suspect: str) -> int:
    """Return a rank that is higher the fewer requests a suspect describes."""
    if suspect.startswith(PROMPT_PREFIX):
        return _PROMPT_RANK
    if suspect.startswith(CONTENT_PREFIX):
        return _CONTENT_RANK
    return _PART_RANK


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
        dataclasses.replace(
            report,
            sent_at_by_suspect={
                suspect: at
                for suspect, at in report.sent_at_by_suspect.items()
                if suspect in suspects
            },
        )
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
    :ivar is_certain: False if the crashes may have had a common cause; a
        request is then tried at once
    """

    until: float
    trial_at: float
    is_certain: bool


def quarantined(
    evidence: Evidence,
    is_settled: abc.Callable[[CrashReport, str], bool] = lambda *_: True,
) -> dict[str, QuarantinePeriod]:
    """Return the suspects of which one request is tried at a time.

    A crash counts for a suspect once `is_settled` returns true, unless a
    stronger suspect explains it: one of more crashes, or of as many that
    describes fewer requests.

    >>> reports = [
    ...     CrashReport('t1', 1, 5.0, {'p': 4.9, 'q': 4.9}),
    ...     CrashReport('t2', 1, 6.0, {'p': 5.9, 'q': 5.9}),
    ...     CrashReport('t3', 1, 7.0, {'p': 6.9, 'q': 6.9}),
    ... ]
    >>> by_key = {report.key: report for report in reports}
    >>> quarantined(Evidence(by_key, {'q': 6.5, ANY_REQUEST: 6.5}))
    {'p': QuarantinePeriod(until=605.0, trial_at=17.0, is_certain=True)}
    """
    crashes_by_suspect = _repeated_crashes(evidence, is_settled)
    strength_by_suspect = {
        suspect: (len(crashes), _rank(suspect))
        for suspect, crashes in crashes_by_suspect.items()
    }
    bursts = _bursts(evidence.report_by_key.values())
    found: dict[str, QuarantinePeriod] = {}
    for suspect, strength in sorted(
        strength_by_suspect.items(), key=lambda each: each[1], reverse=True
    ):
        explained = {
            crash.key
            for other in found
            if strength_by_suspect[other] > strength
            for crash in crashes_by_suspect[other]
        }
        crashes = [
            crash
            for crash in crashes_by_suspect[suspect]
            if crash.key not in explained
        ]
        if len(crashes) >= CRASHES_TO_QUARANTINE:
            trial_delay = _trial_delay(suspect, crashes, bursts)
            found[suspect] = QuarantinePeriod(
                crashes[-CRASHES_TO_QUARANTINE].at + REPORT_TTL_SECONDS,
                crashes[-1].at + trial_delay,
                trial_delay > 0,
            )
    return found


def _repeated_crashes(
    evidence: Evidence,
    is_settled: abc.Callable[[CrashReport, str], bool],
) -> dict[str, list[CrashReport]]:
    """Return the crashes of suspects that have enough of them, in order."""
    outputs = evidence.output_at_by_suspect
    never = float('-inf')
    crashes_by_suspect: dict[str, list[CrashReport]] = {}
    for report in sorted(
        evidence.report_by_key.values(), key=lambda each: (each.at, each.key)
    ):
        for suspect in report.suspects:
            if report.at > outputs.get(suspect, never) and is_settled(
                report, suspect
            ):
                crashes_by_suspect.setdefault(suspect, []).append(report)
    any_output_at = outputs.get(ANY_REQUEST, never)
    return {
        suspect: crashes
        for suspect, crashes in crashes_by_suspect.items()
        if len(crashes) >= CRASHES_TO_QUARANTINE
        and (
            _rank(suspect) != _PART_RANK
            or any_output_at >= crashes[0].at - WITNESS_SECONDS
        )
    }


def _bursts(
    reports: abc.Iterable[CrashReport],
) -> dict[CrashKey, frozenset[CrashKey]]:
    """Return, for each crash, those that coincide with it and each other."""
    bursts: list[list[CrashReport]] = []
    for report in sorted(reports, key=lambda each: each.at):
        if bursts and report.at < bursts[-1][-1].at + COINCIDENCE_SECONDS:
            bursts[-1].append(report)
        else:
            bursts.append([report])
    return {
        report.key: frozenset(each.key for each in burst)
        for burst in bursts
        for report in burst
    }


def _trial_delay(
    suspect: str,
    crashes: list[CrashReport],
    bursts: dict[CrashKey, frozenset[CrashKey]],
) -> float:
    """Return the seconds from the last crash until a request is tried.

    Without enough separate crashes, a common cause is as likely. A request is
    then tried at once, and the next one later than usual if it crashes too.
    """
    separate = _count_separate(suspect, crashes, bursts)
    if separate < CRASHES_TO_QUARANTINE:
        return 0.0
    failed_trials = separate - CRASHES_TO_QUARANTINE
    first = crashes[:CRASHES_TO_QUARANTINE]
    if _count_separate(suspect, first, bursts) < CRASHES_TO_QUARANTINE:
        failed_trials += 1
    delay = FIRST_TRIAL_SECONDS * TRIAL_DELAY_RATIO**failed_trials
    return min(delay, REPORT_TTL_SECONDS)


def _count_separate(
    suspect: str,
    crashes: list[CrashReport],
    bursts: dict[CrashKey, frozenset[CrashKey]],
) -> int:
    """Return how many crashes cannot have had a common cause.

    A request that was sent after the target before had ended met an end of
    its own, unless others of the same moment are not explained by it.

    >>> crashes = [
    ...     CrashReport('t1', 1, 5.0, {'p': 4.9}),
    ...     CrashReport('t2', 1, 5.1, {'p': 4.95}),
    ...     CrashReport('t3', 1, 5.2, {'p': 5.1}),
    ... ]
    >>> _count_separate('p', crashes, _bursts(crashes))
    2
    """
    own = {crash.key for crash in crashes}
    count = 0
    last: CrashReport | None = None
    for crash in crashes:
        if last is not None:
            if crash.sent_at_by_suspect[suspect] < last.at:
                continue
            burst = bursts[crash.key]
            if last.key in burst and (
                len(burst & own) < MIN_EXPLAINED_SHARE * len(burst)
            ):
                continue
        count += 1
        last = crash
    return count
