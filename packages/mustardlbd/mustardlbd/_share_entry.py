"""What a keeper knows of one holder."""

import dataclasses

from mustardlbd import _share_allocation
from mustardlbd import _share_messages as messages
from mustardlbd import _share_ports as ports


@dataclasses.dataclass(slots=True)
class Entry:
    """What the keeper knows of one holder.

    `fraction` and `standing` are what the last report showed in force, the
    `sent_` fields what the statement in answer to it may have put in force
    since. One report is answered once, and the holder takes only the
    answer to its last report, so there is never more to reckon with.
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
    heard_at: float = 0.0
    deputy: str = ''
    sent_deputy: str = ''
    barred_until: float | None = None
    owned: bool = False
    need: _share_allocation.Need = _share_allocation.Need()

    @property
    def counted(self) -> int:
        """The most that the holder may have in force."""
        return max(self.fraction, self.sent_fraction)

    @property
    def deputies(self) -> list[str]:
        """The deputies that the holder may know."""
        return sorted({self.deputy, self.sent_deputy} - {''})

    def expire(self) -> None:
        """Count the standing part alone."""
        standing = max(self.standing, self.sent_standing)
        self.fraction = min(self.fraction, standing)
        self.sent_fraction = min(self.sent_fraction, standing)


def take_over_entry(
    given: messages.BookEntry, confirmed: Entry, now: float
) -> Entry:
    """Join an entry of the book before with what was confirmed since."""
    return Entry(
        request=max(given.request, confirmed.request),
        fraction=given.fraction,
        standing=given.standing,
        sent_request=given.sent_request,
        sent_fraction=given.sent_fraction,
        sent_standing=given.sent_standing,
        sent_tokens=given.sent_tokens,
        handed_back=given.handed_back,
        version=max(given.version, confirmed.version),
        heard_at=now - given.silence,
        need=confirmed.need,
        deputy=given.deputy,
        sent_deputy=given.sent_deputy,
    )


def has_expired(entry: Entry, now: float) -> bool:
    """Whether the lease has ended by the holder's clock, whatever it is."""
    if entry.heard_at >= now - ports.LEASE * ports.CLOCK_DRIFT:
        return False
    if not entry.deputies:
        return True
    return entry.barred_until is not None and entry.barred_until < now
