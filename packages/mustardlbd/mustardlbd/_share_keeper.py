"""Keeps the shares of the accounts whose slice this VM owns."""

import structlog

from mustardlb import errors
from mustardlb import steps
from mustardlbd import _owners
from mustardlbd import _share_book
from mustardlbd import _share_messages as messages
from mustardlbd import _share_ports as ports

log = structlog.get_logger()

# How long the keeper before may take to hand over its book, seconds.
HANDOVER_TIMEOUT = 0.3

# Least time between two tries to get the book handed over, seconds.
HANDOVER_GAP = 0.5


class ShareKeeper:
    """Answers the reports of holders, each with an absolute statement."""

    def __init__(self, node: ports.Ports) -> None:
        self._node = node
        self._books_by_account: dict[str, _share_book.Book] = {}
        self._tried_at_by_account: dict[str, float] = {}
        self._first_seen: _owners.Owners | None = None

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
        if book.ready:
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
        if book is None or book.epoch != request.epoch - 1:
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
