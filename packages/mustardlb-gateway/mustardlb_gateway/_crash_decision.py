"""The decision which suspects of crashes are kept from targets.

A pure function of the evidence of all nodes.
"""

from collections import abc
import dataclasses

from mustardlb_gateway import _crashes

# A suspect is quarantined after this many crashes without an output between.
# One or two may have other causes, such as a failing host.
CRASHES_TO_QUARANTINE = 3

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

# Suspects that describe fewer requests rank higher among equals.
_PART_RANK, _CONTENT_RANK, _PROMPT_RANK = range(3)

# Whether a crash counts for a suspect.
_IsSettled = abc.Callable[[_crashes.CrashReport, str], bool]


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
    evidence: _crashes.Evidence,
    is_settled: _IsSettled = lambda *_: True,
) -> dict[str, QuarantinePeriod]:
    """Return the suspects of which one request is tried at a time.

    A crash counts for a suspect once `is_settled` returns true, unless a
    stronger suspect explains it: one of more crashes, or of as many that
    describes fewer requests.

    >>> reports = [
    ...     _crashes.CrashReport('t1', 1, 5.0, {'p': 4.9, 'q': 4.9}),
    ...     _crashes.CrashReport('t2', 1, 6.0, {'p': 5.9, 'q': 5.9}),
    ...     _crashes.CrashReport('t3', 1, 7.0, {'p': 6.9, 'q': 6.9}),
    ... ]
    >>> by_key = {report.key: report for report in reports}
    >>> outputs = {'q': 6.5, _crashes.ANY_REQUEST: 6.5}
    >>> quarantined(_crashes.Evidence(by_key, outputs))
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
                crashes[-CRASHES_TO_QUARANTINE].at
                + _crashes.REPORT_TTL_SECONDS,
                crashes[-1].at + trial_delay,
                trial_delay > 0,
            )
    return found


def _repeated_crashes(
    evidence: _crashes.Evidence,
    is_settled: _IsSettled,
) -> dict[str, list[_crashes.CrashReport]]:
    """Return the crashes of suspects that have enough of them, in order."""
    outputs = evidence.output_at_by_suspect
    never = float('-inf')
    crashes_by_suspect: dict[str, list[_crashes.CrashReport]] = {}
    for report in sorted(
        evidence.report_by_key.values(), key=lambda each: (each.at, each.key)
    ):
        for suspect in report.suspects:
            if report.at > outputs.get(suspect, never) and is_settled(
                report, suspect
            ):
                crashes_by_suspect.setdefault(suspect, []).append(report)
    any_output_at = outputs.get(_crashes.ANY_REQUEST, never)
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
    reports: abc.Iterable[_crashes.CrashReport],
) -> dict[_crashes.CrashKey, frozenset[_crashes.CrashKey]]:
    """Return, for each crash, those that coincide with it and each other."""
    bursts: list[list[_crashes.CrashReport]] = []
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
    crashes: list[_crashes.CrashReport],
    bursts: dict[_crashes.CrashKey, frozenset[_crashes.CrashKey]],
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
    return min(delay, _crashes.REPORT_TTL_SECONDS)


def _count_separate(
    suspect: str,
    crashes: list[_crashes.CrashReport],
    bursts: dict[_crashes.CrashKey, frozenset[_crashes.CrashKey]],
) -> int:
    """Return how many crashes cannot have had a common cause.

    A request that was sent after the target before had ended met an end of
    its own, unless others of the same moment are not explained by it.

    >>> crashes = [
    ...     _crashes.CrashReport('t1', 1, 5.0, {'p': 4.9}),
    ...     _crashes.CrashReport('t2', 1, 5.1, {'p': 4.95}),
    ...     _crashes.CrashReport('t3', 1, 5.2, {'p': 5.1}),
    ... ]
    >>> _count_separate('p', crashes, _bursts(crashes))
    2
    """
    own = {crash.key for crash in crashes}
    count = 0
    last: _crashes.CrashReport | None = None
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


def _rank(suspect: str) -> int:
    """Return a rank that is higher the fewer requests a suspect describes."""
    if suspect.startswith(_crashes.PROMPT_PREFIX):
        return _PROMPT_RANK
    if suspect.startswith(_crashes.CONTENT_PREFIX):
        return _CONTENT_RANK
    return _PART_RANK
