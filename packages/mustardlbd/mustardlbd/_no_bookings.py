"""Refuses bookings while no record of them can be kept."""

from mustardlb import errors
from mustardlb import steps
from mustardlbd import _dependencies


async def begin(
    account: str, key: str, fingerprint: bytes
) -> _dependencies.Attempt | _dependencies.RecordedOutcome:
    """Refuse, since no record can be kept yet."""
    raise errors.Error(
        errors.Code.RECORD_UNAVAILABLE,
        'bookings cannot be recorded',
        steps.Step.RECORD,
        not_run=True,
    )
