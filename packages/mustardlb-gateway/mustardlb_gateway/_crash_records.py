"""Saves the evidence on crashes in the store.

Nodes keep it in memory and tell each other. The store holds what counts
against quarantined suspects for the case that all nodes start again.
"""

from typing import Any

import structlog

from mustardlb_gateway import _amounts
from mustardlb_gateway import _crashes
from mustardlb_gateway import _saved_object
from mustardlb_gateway import ports

log = structlog.get_logger()

KIND = 'gateway-crashes'


def encode(evidence: _crashes.Evidence) -> dict[str, Any]:
    """Return the stored form of evidence."""
    return {
        'reports': [
            {
                'target': report.target_id,
                'incarnation': report.incarnation,
                'at': report.at,
                'suspects': sorted(report.suspects),
                'sent_at': {
                    suspect: at
                    for suspect, at in report.sent_at_by_suspect.items()
                    if at != _crashes.UNKNOWN
                },
            }
            for report in evidence.report_by_key.values()
        ],
        'outputs': evidence.output_at_by_suspect,
    }


def decode(spec: Any) -> _crashes.Evidence:
    """Return stored evidence; what is malformed is logged and left out."""
    try:
        reports = [
            _crashes.CrashReport(
                str(each['target']),
                _amounts.identifier(each['incarnation']),
                _amounts.finite(each['at']),
                {
                    str(suspect): _sent_at(each.get('sent_at', {}), suspect)
                    for suspect in each['suspects']
                },
            )
            for each in spec['reports']
        ]
        outputs = {
            str(key): _amounts.finite(at)
            for key, at in spec['outputs'].items()
        }
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        log.warning('MLB-6208', problem=repr(error))
        return _crashes.Evidence()
    return _crashes.Evidence(
        {report.key: report for report in reports}, outputs
    )


def _sent_at(sent_at_by_suspect: Any, suspect: Any) -> float:
    """Return when a suspect was sent; earlier releases do not save it."""
    if suspect not in sent_at_by_suspect:
        return _crashes.UNKNOWN
    return _amounts.finite(sent_at_by_suspect[suspect])


async def load(store: ports.Store) -> _crashes.Evidence:
    """Return the saved evidence, as soon as the store answers."""
    spec = await _saved_object.load(store, KIND)
    return _crashes.Evidence() if spec is None else decode(spec)


async def save(
    store: ports.Store, evidence: _crashes.Evidence, now: float
) -> None:
    """Add evidence to the saved one; `now` is in Unix seconds."""

    def add_evidence(spec: Any) -> dict[str, Any] | None:
        saved = _crashes.Evidence() if spec is None else decode(spec)
        merged = _crashes.valid_at(_crashes.merge(saved, evidence), now)
        merged = _crashes.only_outputs_of(merged, merged.suspects)
        return None if merged == saved else encode(merged)

    await _saved_object.change(store, KIND, add_evidence)
