"""A keeper's book of one account: who holds which part of the contract.

Always: the sum of what each holder may have in force, whatever messages
are lost, and the free part is at most WHOLE; and the tokens of the free
part are at most its part of the burst.
"""

import collections
import dataclasses

import structlog

from mustardlbd import _bucket
from mustardlbd import _share_allocation
from mustardlbd import _share_messages as messages
from mustardlbd import _share_ports as ports

log = structlog.get_logger()

# A holder that was silent this long gets nothing new, seconds.
SILENT_AFTER = 2.0

# A holder's fraction is left alone while it is above what the holder
# should have by less than this, parts per million.
SLACK = 20_000
SLACK_FACTOR = 1.3

HolderKey = tuple[str, int]


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


class Book:
    """Shares of one account under one epoch."""

    def __init__(self, account: str, epoch: int, node: ports.Ports) -> None:
        self.epoch = epoch
        self.ready = False
        # The version of the table whose replacement moved the slice here.
        self._replaced = epoch - 1
        self.closed = False
        self.deputies: list[str] = []
        self._account = account
        self._node = node
        # Versions seen that may not yet bind every VM, in order.
        self._unsettled = collections.deque([node.owners().version])
        self._latest = self._unsettled[0]
        self._owned = 0
        self._entries: dict[HolderKey, Entry] = {}
        self._pool = _bucket.Bucket(node.now())

    @property
    def free(self) -> int:
        """The part that no holder can have in force."""
        entries = self._entries.values()
        if self.ready:
            return messages.WHOLE - sum(entry.counted for entry in entries)
        owned = sum(entry.counted for entry in entries if entry.owned)
        return self._owned - owned

    def follows(self, epoch: int) -> bool:
        """Whether no other VM owned the slice before a later epoch.

        An epoch is one above the version that its table replaced, and the
        book was in force at that version.
        """
        return self.epoch < epoch <= self._latest + 1

    def refresh(self) -> float:
        """Free what has provably stopped; return the present moment."""
        now = self._node.now()
        owners = self._node.owners()
        version = owners.version
        owner = owners.owner_of(ports.slice_key(self._account))
        kept = (owner.vm_id, owner.epoch) == (self._node.vm_id, self.epoch)
        if kept and version > self._latest:
            self._latest = version
            self._unsettled.append(version)
        while self._unsettled and self._node.settled(self._unsettled[0]):
            self._drop_before(self._unsettled.popleft())
            self.ready = True
        for entry in self._entries.values():
            if _has_expired(entry, now):
                entry.expire()
        self._fit_pool(now)
        return now

    def owns(self, holder: HolderKey) -> bool:
        """Whether only this keeper can change the holder's share."""
        return holder in self._entries and self._entries[holder].owned

    def may_own(self, holder: HolderKey, report: messages.ShareReport) -> bool:
        """Whether a share from an older epoch could become this book's."""
        self.refresh()
        if self.ready or self.owns(holder):
            return False
        if not report.fraction:
            return True
        return bool(report.deputy) and report.version >= self._replaced

    def own(self, holder: HolderKey, report: messages.ShareReport) -> None:
        """Move a share from now on, before the book is ready.

        Its deputy lets the keeper before end it no more, and no version
        lies between that keeper's and this one's by which it could. A
        holder without a share has none that could be ended.
        """
        if not self.may_own(holder, report):
            return
        entry = self._entries.get(holder, Entry())
        if report.request <= entry.request:
            return
        others = self._count_others(entry)
        if others + report.fraction > messages.WHOLE:
            return
        self._entries[holder] = Entry(
            fraction=report.fraction,
            standing=report.standing,
            handed_back=report.handed_back,
            version=self._node.owners().version,
            deputy=report.deputy,
            owned=True,
        )
        self._owned += report.fraction

    def _count_others(self, entry: Entry) -> int:
        return sum(
            other.counted
            for other in self._entries.values()
            if other is not entry
        )

    def confirm(
        self, holder: HolderKey, report: messages.ShareReport
    ) -> messages.ShareStatement | None:
        """Count a share from an older epoch as it is, before ready.

        The holder's share stays under its old version, and with it stops
        in time, unless no version lies between that the keeper before
        could have gone by to free it.
        """
        now = self.refresh()
        entry = self._entries.setdefault(holder, Entry())
        others = self._count_others(entry)
        if report.request <= entry.request:
            return None
        if others + report.fraction > messages.WHOLE:
            log.warning('MLB-3003', account=self._account, holder=holder)
            return None
        version = report.version
        if version >= self._replaced:
            version = self._node.owners().version
        self._note(entry, report, now)
        entry.fraction = report.fraction
        entry.standing = report.standing
        entry.handed_back = report.handed_back
        entry.version = version
        entry.sent_request = 0
        entry.deputy = report.deputy
        return messages.ShareStatement(
            request=report.request,
            epoch=self.epoch,
            version=version,
            fraction=report.fraction,
            standing=report.standing,
            lease=0.0,
            tokens=0.0,
            renewed=False,
            restart=False,
            deputy='',
        )

    def answer(
        self, holder: HolderKey, report: messages.ShareReport
    ) -> messages.ShareStatement | None:
        """State a holder's share; None for a report that came too late."""
        now = self.refresh()
        known = holder in self._entries
        entry = self._entries.setdefault(holder, Entry())
        if report.request <= entry.request:
            return None
        if not known:
            entry.handed_back = report.handed_back
        self._settle_sent(entry, report)
        restart = report.fraction > entry.fraction
        self._note(entry, report, now)
        self._fit_pool(now)
        return self._state(holder, entry, report, restart)

    def silent(self) -> list[tuple[HolderKey, Entry]]:
        """List the holders whose leases must be barred to end."""
        now = self.refresh()
        return [
            (holder, entry)
            for holder, entry in self._entries.items()
            if entry.deputies
            and entry.barred_until is None
            and now - entry.heard_at > ports.BAR_AFTER
        ]

    def close(self) -> messages.Handover:
        """Stop keeping and give the book away."""
        now = self.refresh() if not self.closed else self._node.now()
        self.closed = True
        entries = tuple(
            messages.BookEntry(
                vm_id=vm_id,
                incarnation=incarnation,
                request=entry.request,
                fraction=entry.fraction,
                standing=entry.standing,
                sent_request=entry.sent_request,
                sent_fraction=entry.sent_fraction,
                sent_standing=entry.sent_standing,
                sent_tokens=entry.sent_tokens,
                handed_back=entry.handed_back,
                version=entry.version,
                silence=now - entry.heard_at,
                deputy=entry.deputy,
                sent_deputy=entry.sent_deputy,
            )
            for (vm_id, incarnation), entry in self._entries.items()
        )
        return messages.Handover(entries, self._pool.level)

    def take_over(self, handover: messages.Handover) -> bool:
        """Go on from the book of the keeper before, which has stopped."""
        now = self._node.now()
        if any(entry.owned for entry in self._entries.values()):
            return False
        entries = dict(self._entries)
        for given in handover.entries:
            holder = (given.vm_id, given.incarnation)
            confirmed = self._entries.get(holder, Entry())
            entries[holder] = _take_over_entry(given, confirmed, now)
        counted = sum(entry.counted for entry in entries.values())
        if self.ready or self.closed or counted > messages.WHOLE:
            return False
        self._entries = entries
        self.ready = True
        self._fit_pool(now)
        self._pool.add(handover.tokens)
        return True

    def _drop_before(self, version: int) -> None:
        """Forget shares stated before a version that binds every VM."""
        self._entries = {
            holder: entry
            for holder, entry in self._entries.items()
            if entry.version >= version
        }

    def _settle_sent(self, entry: Entry, report: messages.ShareReport) -> None:
        """Learn from a report what became of the last statement."""
        counted = entry.counted
        adopted = report.adopted == entry.sent_request
        back = 0.0 if adopted else entry.sent_tokens
        entry.fraction = min(report.fraction, counted)
        entry.standing = min(report.standing, entry.fraction)
        entry.deputy = report.deputy
        entry.sent_deputy = ''
        entry.sent_fraction = 0
        entry.sent_standing = 0
        entry.sent_tokens = 0.0
        back += max(0.0, report.handed_back - entry.handed_back)
        entry.handed_back = report.handed_back
        self._fit_pool(self._node.now())
        self._pool.add(back)

    def _note(
        self, entry: Entry, report: messages.ShareReport, now: float
    ) -> None:
        entry.request = report.request
        entry.barred_until = None
        entry.heard_at = now
        entry.need = _share_allocation.Need(
            report.demand,
            report.recent,
            report.fullness,
            report.waiting,
            report.largest,
            report.waited,
        )

    def _state(
        self,
        holder: HolderKey,
        entry: Entry,
        report: messages.ShareReport,
        restart: bool,
    ) -> messages.ShareStatement:
        fraction = self._choose(holder, entry)
        growth = max(0, fraction - entry.fraction)
        tokens = self._draw(growth, entry)
        entry.sent_request = report.request
        entry.sent_fraction = fraction
        entry.sent_standing = int(fraction * ports.STANDING_PART)
        entry.sent_tokens = tokens
        entry.sent_deputy = self._deputy_for(holder)
        entry.version = self._node.owners().version
        self._fit_pool(entry.heard_at)
        return messages.ShareStatement(
            request=report.request,
            epoch=self.epoch,
            version=entry.version,
            fraction=fraction,
            standing=entry.sent_standing,
            lease=ports.LEASE,
            tokens=tokens,
            renewed=True,
            restart=restart,
            deputy=entry.sent_deputy,
        )

    def _deputy_for(self, holder: HolderKey) -> str:
        others = [
            deputy
            for deputy in self.deputies
            if messages.vm_of(deputy) != holder[0]
        ]
        return others[0] if others else ''

    def _choose(self, holder: HolderKey, entry: Entry) -> int:
        now = entry.heard_at
        needs = {
            f'{vm_id}/{incarnation}': other.need
            for (vm_id, incarnation), other in self._entries.items()
            if now - other.heard_at < SILENT_AFTER
        }
        limit = self._node.contract(self._account)
        targets = _share_allocation.allocate(needs, limit)
        target = targets[f'{holder[0]}/{holder[1]}']
        if target >= entry.fraction:
            return min(target, entry.fraction + self.free)
        waiting = any(need.waiting > 0 for need in needs.values())
        kept = target * SLACK_FACTOR + SLACK
        if entry.fraction < kept and not waiting:
            return entry.fraction
        return target

    def _draw(self, growth: int, entry: Entry) -> float:
        """Tokens from the free part that go along with a growth."""
        free = self.free
        if growth <= 0 or free <= 0:
            return 0.0
        limit = self._node.contract(self._account)
        most = limit.burst * growth / messages.WHOLE
        fair = self._pool.level * growth / free
        wanted = max(fair, entry.need.waiting)
        return self._pool.remove(min(most, wanted))

    def _fit_pool(self, now: float) -> None:
        limit = self._node.contract(self._account)
        part = self.free / messages.WHOLE
        self._pool.resize(now, limit.rate * part, limit.burst * part)


def _take_over_entry(
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


def _has_expired(entry: Entry, now: float) -> bool:
    """Whether the lease has ended by the holder's clock, whatever it is."""
    if entry.heard_at >= now - ports.LEASE * ports.CLOCK_DRIFT:
        return False
    if not entry.deputies:
        return True
    return entry.barred_until is not None and entry.barred_until < now
