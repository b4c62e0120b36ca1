"""A coordinator's record of one holder's share."""

import dataclasses

from mustardlbd import _share_allocation
from mustardlbd import _share_context as context
from mustardlbd import _share_messages as messages


@dataclasses.dataclass(slots=True)
class Entry:
    """A coordinator's record of one holder's share.

    `fraction` and `standing` were in force at the last report. The `sent_`
    fields are those of the statement in reply to it, which the holder may
    have adopted since. A report is answered once, and a holder adopts only
    the reply to its last report, so no other value can be in force. The
    fields have the names of messages.BookEntry, where they are sent to the
    next coordinator.

    :ivar request: number of the last report
    :ivar handed_back: tokens returned by the holder's process so far
    :ivar version: owner table version under which the share was stated
    :ivar reported_at: time of the last report, seconds
    :ivar extensions_end_at: time at which the last extension by a deputy
        ends; None unless all deputies block further extensions
    :ivar claimed: whether the share was claimed before the ledger was ready
    """

    request: int = 0
    fraction: int = 0
    standing: int = 0
    sent_request: int = 0
    sent_fraction: int = 0
    sent_standing: int = 0
    sent_tokens: float = 0.0
    handed_back: float = 0.0
    version: int = 0
    reported_at: float = 0.0
    deputy: str = ''
    sent_deputy: str = ''
    extensions_end_at: float | None = None
    claimed: bool = False
    load: _share_allocation.HolderLoad = _share_allocation.HolderLoad()

    @property
    def max_fraction(self) -> int:
        """The largest fraction that the holder can have in force."""
        return max(self.fraction, self.sent_fraction)

    @property
    def deputies(self) -> list[str]:
        """The deputies that the holder may ask for an extension."""
        return sorted({self.deputy, self.sent_deputy} - {''})

    def expire(self) -> None:
        """Reduce the fractions to their standing parts."""
        standing = max(self.standing, self.sent_standing)
        self.fraction = min(self.fraction, standing)
        self.sent_fraction = min(self.sent_fraction, standing)


def take_over_entry(
    previous: messages.BookEntry, confirmed: Entry, now: float
) -> Entry:
    """Merge an entry of the previous ledger with what was confirmed since."""
    return Entry(
        request=max(previous.request, confirmed.request),
        fraction=previous.fraction,
        standing=previous.standing,
        sent_request=previous.sent_request,
        sent_fraction=previous.sent_fraction,
        sent_standing=previous.sent_standing,
        sent_tokens=previous.sent_tokens,
        handed_back=previous.handed_back,
        version=max(previous.version, confirmed.version),
        reported_at=now - previous.silence,
        load=confirmed.load,
        deputy=previous.deputy,
        sent_deputy=previous.sent_deputy,
    )


def has_lease_expired(entry: Entry, now: float) -> bool:
    """Whether the lease has ended even at the largest clock drift."""
    if (
        entry.reported_at
        >= now - context.LEASE_SECONDS * context.CLOCK_DRIFT_RATIO
    ):
        return False
    if not entry.deputies:
        return True
    return (
        entry.extensions_end_at is not None and entry.extensions_end_at < now
    )
