"""A coordinator's record of the shares of one account.

Invariants: the free fraction plus the largest fraction that each holder can
have in force never exceeds FULL_SHARE_PPM, even if messages are lost. The
pool, which holds the tokens of the free fraction, never exceeds that fraction
of the burst.
"""

import structlog

from mustardlbd import _share_allocation
from mustardlbd import _share_context as context
from mustardlbd import _share_entry
from mustardlbd import _share_messages as messages
from mustardlbd import _token_bucket

log = structlog.get_logger()

# Holders without a report for this time are left out of the allocation.
STALE_LOAD_SECONDS = 2.0

# A holder's fraction is reduced only if it exceeds its allocation by this
# ratio and this many parts per million, so that it does not follow every small
# change of demand.
SHRINK_THRESHOLD_PPM = 20_000
SHRINK_THRESHOLD_RATIO = 1.3

HolderKey = tuple[str, int]


class Ledger:
    """Shares of one account in one epoch of its slice.

    :ivar ready: whether every share that may be in force is recorded
    :ivar closed: whether the ledger was handed over
    :ivar deputies: processes that holders may be given as deputy
    """

    def __init__(
        self, account: str, epoch: int, node: context.NodeContext
    ) -> None:
        self.epoch = epoch
        self.ready = False
        # Version of the owner table that the table of this epoch replaced.
        self._replaced_version = epoch - 1
        self.closed = False
        self.deputies: list[str] = []
        self._account = account
        self._node = node
        # First and last known versions of the owner table with this epoch.
        self._first_version = node.owners().version
        self._latest_version = self._first_version
        self._has_propagated = False
        self._claimed_fraction = 0
        self._entries_by_holder: dict[HolderKey, _share_entry.Entry] = {}
        self._pool = _token_bucket.TokenBucket(node.now())

    @property
    def free_fraction(self) -> int:
        """The fraction that no holder can have in force."""
        entries = self._entries_by_holder.values()
        if self.ready:
            return messages.FULL_SHARE_PPM - sum(
                entry.max_fraction for entry in entries
            )
        claimed = sum(entry.max_fraction for entry in entries if entry.claimed)
        return self._claimed_fraction - claimed

    def directly_precedes(self, epoch: int) -> bool:
        """Whether the slice had no other owner before a later epoch.

        An epoch is one above the version that its table replaced, and this
        ledger was in force at that version.
        """
        return self.epoch < epoch <= self._latest_version + 1

    def refresh(self) -> float:
        """Release shares that have surely expired; return the time."""
        now = self._node.now()
        owners = self._node.owners()
        version = owners.version
        owner = owners.owner_of(context.slice_key(self._account))
        is_owner = (owner.vm_id, owner.epoch) == (self._node.vm_id, self.epoch)
        if is_owner and version > self._latest_version:
            self._latest_version = version
        if not self._has_propagated and self._node.has_propagated(
            self._first_version
        ):
            self._drop_unconfirmed()
            self._has_propagated = True
            self.ready = True
        for entry in self._entries_by_holder.values():
            if _share_entry.has_lease_expired(entry, now):
                entry.expire()
        self._resize_pool(now)
        return now

    def has_claimed(self, holder: HolderKey) -> bool:
        """Whether only this coordinator can change the holder's share."""
        return (
            holder in self._entries_by_holder
            and self._entries_by_holder[holder].claimed
        )

    def may_claim(
        self, holder: HolderKey, report: messages.ShareReport
    ) -> bool:
        """Whether a share from an older epoch can be claimed."""
        self.refresh()
        if self.ready or self.has_claimed(holder):
            return False
        if not report.fraction:
            return True
        return bool(report.deputy) and report.version >= self._replaced_version

    def claim(self, holder: HolderKey, report: messages.ShareReport) -> None:
        """Take control of a share before the ledger is ready.

        The share's deputy no longer lets the previous coordinator end its
        lease, and the owner table had no version in between under which
        another coordinator could have done so. A holder without a share
        has no lease that could be ended.
        """
        if not self.may_claim(holder, report):
            return
        entry = self._entries_by_holder.get(holder, _share_entry.Entry())
        if report.request <= entry.request:
            return
        others_fraction = self._fraction_of_others(entry)
        if others_fraction + report.fraction > messages.FULL_SHARE_PPM:
            return
        self._entries_by_holder[holder] = _share_entry.Entry(
            fraction=report.fraction,
            standing=report.standing,
            handed_back=report.handed_back,
            version=self._node.owners().version,
            deputy=report.deputy,
            claimed=True,
        )
        self._claimed_fraction += report.fraction

    def _fraction_of_others(self, entry: _share_entry.Entry) -> int:
        return sum(
            other.max_fraction
            for other in self._entries_by_holder.values()
            if other is not entry
        )

    def confirm(
        self, holder: HolderKey, report: messages.ShareReport
    ) -> messages.ShareStatement | None:
        """Record a share from an older epoch before the ledger is ready.

        The share keeps the version of the owner table under which it was
        stated, so that it expires in time. Its version is raised only if
        the table had no version in between under which a coordinator could
        have released the share.
        """
        now = self.refresh()
        entry = self._entries_by_holder.setdefault(
            holder, _share_entry.Entry()
        )
        others_fraction = self._fraction_of_others(entry)
        if report.request <= entry.request:
            return None
        if others_fraction + report.fraction > messages.FULL_SHARE_PPM:
            log.warning('MLB-3003', account=self._account, holder=holder)
            return None
        version = report.version
        if version >= self._replaced_version:
            version = self._node.owners().version
        self._record_report(entry, report, now)
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

    def make_statement(
        self, holder: HolderKey, report: messages.ShareReport
    ) -> messages.ShareStatement | None:
        """Return a holder's new share, or None if the report is outdated."""
        now = self.refresh()
        is_known = holder in self._entries_by_holder
        entry = self._entries_by_holder.setdefault(
            holder, _share_entry.Entry()
        )
        if report.request <= entry.request:
            return None
        if not is_known:
            entry.handed_back = report.handed_back
        self._resolve_sent_statement(entry, report)
        restart = report.fraction > entry.fraction
        self._record_report(entry, report, now)
        self._resize_pool(now)
        return self._build_statement(holder, entry, report, restart)

    def overdue_holders(self) -> list[tuple[HolderKey, _share_entry.Entry]]:
        """Return holders without a report whose extensions are not blocked."""
        now = self.refresh()
        return [
            (holder, entry)
            for holder, entry in self._entries_by_holder.items()
            if entry.deputies
            and entry.extensions_end_at is None
            and now - entry.reported_at
            > context.BLOCK_EXTENSIONS_AFTER_SECONDS
        ]

    def close(self) -> messages.Handover:
        """Close the ledger and return its content."""
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
                silence=now - entry.reported_at,
                deputy=entry.deputy,
                sent_deputy=entry.sent_deputy,
            )
            for (vm_id, incarnation), entry in self._entries_by_holder.items()
        )
        return messages.Handover(entries, self._pool.level)

    def take_over(self, handover: messages.Handover) -> bool:
        """Import the previous coordinator's closed ledger.

        Returns False if that is no longer possible.
        """
        now = self._node.now()
        if any(entry.claimed for entry in self._entries_by_holder.values()):
            return False
        entries = dict(self._entries_by_holder)
        for previous in handover.entries:
            holder = (previous.vm_id, previous.incarnation)
            confirmed = self._entries_by_holder.get(
                holder, _share_entry.Entry()
            )
            entries[holder] = _share_entry.take_over_entry(
                previous, confirmed, now
            )
        total = sum(entry.max_fraction for entry in entries.values())
        if self.ready or self.closed or total > messages.FULL_SHARE_PPM:
            return False
        self._entries_by_holder = entries
        self.ready = True
        self._resize_pool(now)
        self._pool.add(handover.tokens)
        return True

    def _drop_unconfirmed(self) -> None:
        """Remove shares from older epochs, which have expired by now."""
        self._entries_by_holder = {
            holder: entry
            for holder, entry in self._entries_by_holder.items()
            if entry.version >= self.epoch
        }

    def _resolve_sent_statement(
        self, entry: _share_entry.Entry, report: messages.ShareReport
    ) -> None:
        """Find out from a report whether the last statement was adopted."""
        max_fraction = entry.max_fraction
        adopted = report.adopted == entry.sent_request
        returned_tokens = 0.0 if adopted else entry.sent_tokens
        entry.fraction = min(report.fraction, max_fraction)
        entry.standing = min(report.standing, entry.fraction)
        entry.deputy = report.deputy
        entry.sent_deputy = ''
        entry.sent_fraction = 0
        entry.sent_standing = 0
        entry.sent_tokens = 0.0
        returned_tokens += max(0.0, report.handed_back - entry.handed_back)
        entry.handed_back = report.handed_back
        self._resize_pool(self._node.now())
        self._pool.add(returned_tokens)

    def _record_report(
        self,
        entry: _share_entry.Entry,
        report: messages.ShareReport,
        now: float,
    ) -> None:
        entry.request = report.request
        entry.extensions_end_at = None
        entry.reported_at = now
        entry.load = _share_allocation.HolderLoad(
            report.demand,
            report.recent,
            report.fullness,
            report.waiting,
            report.largest,
            report.waited,
        )

    def _build_statement(
        self,
        holder: HolderKey,
        entry: _share_entry.Entry,
        report: messages.ShareReport,
        restart: bool,
    ) -> messages.ShareStatement:
        fraction = self._choose_fraction(holder, entry)
        growth = max(0, fraction - entry.fraction)
        tokens = self._withdraw_for_growth(growth, entry)
        entry.sent_request = report.request
        entry.sent_fraction = fraction
        entry.sent_standing = int(fraction * context.STANDING_RATIO)
        entry.sent_tokens = tokens
        entry.sent_deputy = self._deputy_for(holder)
        entry.version = self._node.owners().version
        self._resize_pool(entry.reported_at)
        return messages.ShareStatement(
            request=report.request,
            epoch=self.epoch,
            version=entry.version,
            fraction=fraction,
            standing=entry.sent_standing,
            lease=context.LEASE_SECONDS,
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

    def _choose_fraction(
        self, holder: HolderKey, entry: _share_entry.Entry
    ) -> int:
        now = entry.reported_at
        loads = {
            f'{vm_id}/{incarnation}': other.load
            for (vm_id, incarnation), other in self._entries_by_holder.items()
            if now - other.reported_at < STALE_LOAD_SECONDS
        }
        limit = self._node.limit_of(self._account)
        allocated_by_holder = _share_allocation.allocate(loads, limit)
        allocated = allocated_by_holder[f'{holder[0]}/{holder[1]}']
        if allocated >= entry.fraction:
            return min(allocated, entry.fraction + self.free_fraction)
        waiting = any(load.waiting_tokens > 0 for load in loads.values())
        threshold = allocated * SHRINK_THRESHOLD_RATIO + SHRINK_THRESHOLD_PPM
        if entry.fraction < threshold and not waiting:
            return entry.fraction
        return allocated

    def _withdraw_for_growth(
        self, growth: int, entry: _share_entry.Entry
    ) -> float:
        """Take the tokens that accompany a growth out of the pool."""
        free = self.free_fraction
        if growth <= 0 or free <= 0:
            return 0.0
        limit = self._node.limit_of(self._account)
        max_tokens = limit.burst * growth / messages.FULL_SHARE_PPM
        proportional = self._pool.level * growth / free
        needed = max(proportional, entry.load.waiting_tokens)
        return self._pool.remove(min(max_tokens, needed))

    def _resize_pool(self, now: float) -> None:
        limit = self._node.limit_of(self._account)
        part = self.free_fraction / messages.FULL_SHARE_PPM
        self._pool.resize(now, limit.rate * part, limit.burst * part)
