"""Encoding of what nodes tell each other about crashes and limits."""

from typing import Any

from mustardlb_gateway import _amounts
from mustardlb_gateway import _crashes
from mustardlb_gateway import _target_limits


def encode_limits(
    notices: _target_limits.NoticesByKey,
) -> list[dict[str, Any]]:
    """Return the fields of a list of `LimitNotice`."""
    return [encode_notice(notice) for notice in notices.values()]


def encode_notice(notice: _target_limits.LimitNotice) -> dict[str, Any]:
    """Return the fields of a `LimitNotice`."""
    return {
        'target': notice.target_id,
        'incarnation': notice.incarnation,
        'isLimited': notice.limit is not None,
        'limit': notice.limit or 0.0,
        'isBrittle': notice.max_rejections is not None,
        'maxRejections': notice.max_rejections or 0.0,
        'at': notice.at,
    }


def encode_evidence(evidence: _crashes.Evidence) -> dict[str, Any]:
    """Return the fields of a `CrashEvidence`."""
    return {
        'reports': [
            {
                'target': report.target_id,
                'incarnation': report.incarnation,
                'at': report.at,
                'suspects': list(report.sent_at_by_suspect),
                'sentAt': list(report.sent_at_by_suspect.values()),
            }
            for report in evidence.report_by_key.values()
        ],
        'outputs': [
            {'name': suspect, 'amount': at}
            for suspect, at in evidence.output_at_by_suspect.items()
        ],
    }


def decode_limits(notices: Any) -> _target_limits.NoticesByKey:
    """Return the latest notices, from a list of `LimitNotice`."""
    decoded = map(decode_notice, notices)
    return {notice.key: notice for notice in decoded}


def decode_notice(notice: Any) -> _target_limits.LimitNotice:
    """Return a notice, from a `LimitNotice`."""
    return _target_limits.LimitNotice(
        notice.target,
        notice.incarnation,
        _amounts.checked(notice.limit) if notice.isLimited else None,
        _amounts.checked(notice.at),
        _amounts.checked(notice.maxRejections) if notice.isBrittle else None,
    )


def decode_evidence(evidence: Any) -> _crashes.Evidence:
    """Return the evidence, from a `CrashEvidence`."""
    reports = [
        _crashes.CrashReport(
            each.target,
            each.incarnation,
            _amounts.checked(each.at),
            dict(zip(each.suspects, _sent_at(each), strict=True)),
        )
        for each in evidence.reports
    ]
    return _crashes.Evidence(
        {report.key: report for report in reports},
        _amounts.checked_by_name(
            {each.name: each.amount for each in evidence.outputs}
        ),
    )


def _sent_at(report: Any) -> list[float]:
    """Return a time for each suspect of a `CrashReport`.

    Nodes of an earlier release do not tell them.
    """
    sent_at = [_amounts.checked(at) for at in report.sentAt]
    return sent_at or [_crashes.UNKNOWN] * len(report.suspects)
