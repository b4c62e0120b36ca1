"""Evidence on which requests crash targets.

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

# Afterwards a crash is forgotten.
REPORT_TTL_SECONDS = 600.0

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
