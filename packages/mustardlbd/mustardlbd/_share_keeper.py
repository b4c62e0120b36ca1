"""Keeps the shares of the accounts whose slice this VM owns."""

import structlog
import trio

from mustardlb import errors
from mustardlb import steps
from mustardlbd import _owners
from mustardlbd import _share_book
from mustardlbd import _share_entry
from mustardlbd import _share_messages as messages
from mustardlbd import _share_ports as ports

log = structlog.get_logger()

# How long the keeper before may take to hand over its book, seconds.
HANDOVER_TIMEOUT = 0.3

# Deputies of a book, so that each holder has one beside itself.
DEPUTIES = 2

# Least time between two tries to get the book handed over, seconds.
HANDOVER_GAP = 0.5


class ShareKeeper:
    """Answers the reports of holders, each with an absolute statement."""

    def __init__(self, node: ports.Ports) -> None:
        self._node = node
        self._books_by_account: dict[str, _share_book.Book] = {}
        self._tried_at_by_account: dict[str, float] = {}
        self._first_seen: _owners.Owners | None = None

    async def run(self) -> None:
        """Find deputies and bar the leases of silent holders, for ever."""
        while True:
            for account, book in list(self._books_by_account.items()):
                if self._keeps(account, book):
                    await self._find_deputies(account, book)
                    await self._bar_silent(account, book)
            await trio.sleep(ports.REPORT_INTERVAL)

    def open_book(self, account: str) -> None:
        """Begin to keep an account if this VM is the owner of its slice.

        The free part gathers tokens only in an open book, and an account
        whose first call comes late would find none.
        """
        owner = self._node.owners().owner_of(ports.slice_key(account))
        if owner.vm_id != self._node.vm_id:
            return
        try:
            self._open_book(account, owner.epoch).refresh()
        except errors.Error as error:
            log.debug('MLB-3002', account=account, problem=str(error))

    def _keeps(self, account: str, book: _share_book.Book) -> bool:
        owner = self._node.owners().owner_of(ports.slice_key(account))
        mine = (owner.vm_id, owner.epoch) == (self._node.vm_id, book.epoch)
        return mine and not book.closed and self._node.age() <= ports.MAX_AGE

    async def _find_deputies(
        self, account: str, book: _share_book.Book
    ) -> None:
        """Have two deputies, so that each holder has one beside itself."""
        vms = set(self._node.vms()) - {self._node.vm_id}
        book.deputies = [
            deputy for deputy in book.deputies if messages.vm_of(deputy) in vms
        ]
        known = {messages.vm_of(deputy) for deputy in book.deputies}
        missing = DEPUTIES - len(known)
        for vm_id in sorted(vms - known)[:missing]:
            reply = await self._ask_deputy(vm_id, messages.DeputyRequest())
            if reply is not None:
                book.deputies.append(reply.deputy)

    async def _bar_silent(self, account: str, book: _share_book.Book) -> None:
        for holder, entry in book.silent():
            request = entry.request
            remaining = await self._bar(account, book, holder, entry)
            if remaining is not None and entry.request == request:
                entry.barred_until = (
                    self._node.now() + remaining * ports.CLOCK_DRIFT
                )

    async def _bar(
        self,
        account: str,
        book: _share_book.Book,
        holder: _share_book.HolderKey,
        entry: _share_entry.Entry,
    ) -> float | None:
        """Return how long any extension still runs; None if not known."""
        longest = 0.0
        for deputy in entry.deputies:
            request = messages.DeputyRequest(
                account=account,
                deputy=deputy,
                holder=messages.process_name(*holder),
                request=entry.request,
                want='bar',
                epoch=book.epoch,
            )
            reply = await self._ask_deputy(messages.vm_of(deputy), request)
            if reply is None or not reply.granted:
                return None
            longest = max(longest, reply.remaining)
        return longest

    async def _seal(
        self,
        holder: _share_book.HolderKey,
        report: messages.ShareReport,
    ) -> bool:
        """Keep the keeper before from ending a holder's lease."""
        if not report.fraction:
            return True
        request = messages.DeputyRequest(
            account=report.account,
            deputy=report.deputy,
            holder=messages.process_name(*holder),
            request=report.adopted,
            want='seal',
            epoch=report.epoch,
        )
        deputy = messages.vm_of(report.deputy)
        reply = await self._ask_deputy(deputy, request)
        return reply is not None and reply.granted

    async def _ask_deputy(
        self, vm_id: str, request: messages.DeputyRequest
    ) -> messages.DeputyReply | None:
        try:
            payload = await self._node.call(
                vm_id,
                messages.DEPUTY_SERVICE,
                messages.encode(request),
                ports.DEPUTY_TIMEOUT,
            )
        except errors.Error as error:
            log.debug('MLB-3008', peer=vm_id, problem=str(error))
            return None
        return messages.decode(messages.DeputyReply, payload)

    def observe(self) -> None:
        """Note the first table of owners that was known to be recent."""
        if self._first_seen is None and self._node.age() <= ports.MAX_AGE:
            self._first_seen = self._node.owners()

    async def handle_report(
        self, sender: ports.Sender, payload: bytes
    ) -> bytes:
        """Answer a holder's report."""
        report = messages.decode(messages.ShareReport, payload)
        statement = await self.answer(sender.vm_id, sender.incarnation, report)
        return messages.encode(statement)

    async def answer(
        self, vm_id: str, incarnation: int, report: messages.ShareReport
    ) -> messages.ShareStatement:
        """State the share of one holder. Raises PEER_REFUSED."""
        book = self._open_book(report.account, report.epoch)
        if not book.ready:
            await self._ask_handover(report, book)
            book = self._open_book(report.account, report.epoch)
        holder = (vm_id, incarnation)
        book.refresh()
        if book.may_own(holder, report) and await self._seal(holder, report):
            book = self._open_book(report.account, report.epoch)
            book.own(holder, report)
        if book.ready or book.owns(holder):
            statement = book.answer(holder, report)
        else:
            statement = book.confirm(holder, report)
        if statement is None:
            raise _refused('the report is late or cannot be confirmed')
        return statement

    async def handle_handover(
        self, sender: ports.Sender, payload: bytes
    ) -> bytes:
        """Stop keeping an account for good and give its book away."""
        request = messages.decode(messages.HandoverRequest, payload)
        owners = self._node.owners()
        owner = owners.owner_of(ports.slice_key(request.account))
        if owners.version < request.version or owner.epoch != request.epoch:
            raise _refused('the owner is another one or not known yet')
        if owner.vm_id != sender.vm_id:
            raise _refused('the slice has another owner')
        book = self._books_by_account.get(request.account)
        if book is None or not book.follows(request.epoch):
            raise _refused('no book of the epoch before')
        if not (book.ready or book.closed):
            raise _refused('the book is not complete')
        log.info('MLB-3005', account=request.account, peer=sender.vm_id)
        return messages.encode_handover(book.close())

    def _open_book(self, account: str, epoch: int) -> _share_book.Book:
        """Return the book of an account that this VM keeps now."""
        self.observe()
        self._node.check_fresh(steps.Step.LIMIT)
        owners = self._node.owners()
        key = ports.slice_key(account)
        owner = owners.owner_of(key)
        if owner.vm_id != self._node.vm_id or owner.epoch != epoch:
            raise _refused('another owner or epoch')
        first = self._first_seen
        inherited = first is None or first.owner_of(key).epoch >= epoch
        if inherited and not self._node.first_process():
            raise _refused('the owner was an earlier process of this VM')
        book = self._books_by_account.get(account)
        if book is not None and book.epoch == epoch:
            return book
        log.info('MLB-3004', account=account, epoch=epoch)
        book = _share_book.Book(account, epoch, self._node)
        self._books_by_account[account] = book
        self._tried_at_by_account.pop(account, None)
        return book

    async def _ask_handover(
        self, report: messages.ShareReport, book: _share_book.Book
    ) -> None:
        book.refresh()
        now = self._node.now()
        tried_at = self._tried_at_by_account.get(report.account)
        if book.ready or report.keeper in ('', self._node.vm_id):
            return
        if tried_at is not None and now - tried_at < HANDOVER_GAP:
            return
        self._tried_at_by_account[report.account] = now
        request = messages.HandoverRequest(
            report.account, book.epoch, self._node.owners().version
        )
        try:
            payload = await self._node.call(
                report.keeper,
                messages.HANDOVER_SERVICE,
                messages.encode(request),
                HANDOVER_TIMEOUT,
            )
        except errors.Error as error:
            log.info('MLB-3006', account=report.account, problem=str(error))
            return
        if book.take_over(messages.decode_handover(payload)):
            log.info('MLB-3007', account=report.account, peer=report.keeper)


def _refused(message: str) -> errors.Error:
    return errors.Error(
        errors.Code.PEER_REFUSED, message, steps.Step.LIMIT, not_run=True
    )
