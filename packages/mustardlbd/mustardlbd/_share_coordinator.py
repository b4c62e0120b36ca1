"""Coordination of the shares of accounts whose slice this VM owns."""

import structlog
import trio

from mustardlb import errors
from mustardlb import steps
from mustardlbd import _owners
from mustardlbd import _share_context as context
from mustardlbd import _share_entry
from mustardlbd import _share_ledger
from mustardlbd import _share_messages as messages

log = structlog.get_logger()

HANDOVER_TIMEOUT_SECONDS = 0.3

# Two deputies, so that each holder has one on another node.
DEPUTY_COUNT = 2

MIN_HANDOVER_INTERVAL_SECONDS = 0.5


class ShareCoordinator:
    """Replies to each report of a holder with its complete share.

    A statement states the whole share, not a change of it, so that a lost
    or duplicated message leaves no error behind.
    """

    def __init__(self, node: context.NodeContext) -> None:
        self._node = node
        self._ledgers_by_account: dict[str, _share_ledger.Ledger] = {}
        self._handover_tried_at_by_account: dict[str, float] = {}
        self._first_owners: _owners.Owners | None = None

    async def run(self) -> None:
        """Find deputies and block overdue leases until cancelled."""
        while True:
            for account, ledger in list(self._ledgers_by_account.items()):
                if self._may_use(account, ledger):
                    await self._find_deputies(account, ledger)
                    await self._block_overdue_extensions(account, ledger)
            await trio.sleep(context.REPORT_INTERVAL_SECONDS)

    def open_ledger(self, account: str) -> None:
        """Open the ledger of an account if this VM owns its slice.

        The pool of the free fraction fills only while the ledger is open.
        If it was opened by the account's first call, that call would find
        no tokens.
        """
        owner = self._node.owners().owner_of(context.slice_key(account))
        if owner.vm_id != self._node.vm_id:
            return
        try:
            self._get_or_open_ledger(account, owner.epoch).refresh()
        except errors.Error as error:
            log.debug('MLB-3002', account=account, problem=str(error))

    def _may_use(self, account: str, ledger: _share_ledger.Ledger) -> bool:
        """Return whether this VM may act on a ledger as the owner."""
        owner = self._node.owners().owner_of(context.slice_key(account))
        is_owner = (owner.vm_id, owner.epoch) == (
            self._node.vm_id,
            ledger.epoch,
        )
        return (
            is_owner
            and not ledger.closed
            and self._node.staleness() <= context.MAX_AGE_SECONDS
        )

    async def _find_deputies(
        self, account: str, ledger: _share_ledger.Ledger
    ) -> None:
        """Replace missing deputies and those whose VM is not available."""
        available_vms = set(self._node.available_vms()) - {self._node.vm_id}
        ledger.deputies = [
            deputy
            for deputy in ledger.deputies
            if messages.vm_of(deputy) in available_vms
        ]
        known_vms = {messages.vm_of(deputy) for deputy in ledger.deputies}
        missing = DEPUTY_COUNT - len(known_vms)
        for vm_id in sorted(available_vms - known_vms)[:missing]:
            reply = await self._call_deputy(vm_id, messages.DeputyRequest())
            if reply is not None:
                ledger.deputies.append(reply.deputy)

    async def _block_overdue_extensions(
        self, account: str, ledger: _share_ledger.Ledger
    ) -> None:
        for holder, entry in ledger.overdue_holders():
            request = entry.request
            remaining = await self._block_extensions(
                account, ledger, holder, entry
            )
            if remaining is not None and entry.request == request:
                entry.extensions_end_at = (
                    self._node.now() + remaining * context.CLOCK_DRIFT_RATIO
                )

    async def _block_extensions(
        self,
        account: str,
        ledger: _share_ledger.Ledger,
        holder: _share_ledger.HolderKey,
        entry: _share_entry.Entry,
    ) -> float | None:
        """Return the seconds that the last extension still runs.

        Returns None unless all deputies have blocked further extensions.
        """
        longest = 0.0
        for deputy in entry.deputies:
            request = messages.DeputyRequest(
                account=account,
                deputy=deputy,
                holder=messages.process_name(*holder),
                request=entry.request,
                want='bar',
                epoch=ledger.epoch,
            )
            reply = await self._call_deputy(messages.vm_of(deputy), request)
            if reply is None or not reply.granted:
                return None
            longest = max(longest, reply.remaining)
        return longest

    async def _fence_previous_coordinator(
        self,
        holder: _share_ledger.HolderKey,
        report: messages.ShareReport,
    ) -> bool:
        """Stop the previous coordinator from ending a holder's lease."""
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
        reply = await self._call_deputy(deputy, request)
        return reply is not None and reply.granted

    async def _call_deputy(
        self, vm_id: str, request: messages.DeputyRequest
    ) -> messages.DeputyReply | None:
        try:
            payload = await self._node.call(
                vm_id,
                messages.DEPUTY_SERVICE,
                messages.encode(request),
                context.DEPUTY_TIMEOUT_SECONDS,
            )
        except errors.Error as error:
            log.debug('MLB-3008', peer=vm_id, problem=str(error))
            return None
        return messages.decode(messages.DeputyReply, payload)

    def record_owners(self) -> None:
        """Record the first owner table held while this process was current."""
        if (
            self._first_owners is None
            and self._node.staleness() <= context.MAX_AGE_SECONDS
        ):
            self._first_owners = self._node.owners()

    async def handle_report(
        self, sender: context.Sender, payload: bytes
    ) -> bytes:
        """Handle the encoded report of a holder."""
        report = messages.decode(messages.ShareReport, payload)
        statement = await self.process_report(
            sender.vm_id, sender.incarnation, report
        )
        return messages.encode(statement)

    async def process_report(
        self, vm_id: str, incarnation: int, report: messages.ShareReport
    ) -> messages.ShareStatement:
        """Return the new share of one holder. Raises PEER_REFUSED."""
        ledger = self._get_or_open_ledger(report.account, report.epoch)
        if not ledger.ready:
            await self._request_handover(report, ledger)
            ledger = self._get_or_open_ledger(report.account, report.epoch)
        holder = (vm_id, incarnation)
        ledger.refresh()
        if ledger.may_claim(
            holder, report
        ) and await self._fence_previous_coordinator(holder, report):
            ledger = self._get_or_open_ledger(report.account, report.epoch)
            ledger.claim(holder, report)
        if ledger.ready or ledger.has_claimed(holder):
            statement = ledger.make_statement(holder, report)
        else:
            statement = ledger.confirm(holder, report)
        if statement is None:
            raise _rejection('the report is outdated or cannot be confirmed')
        return statement

    async def handle_handover(
        self, sender: context.Sender, payload: bytes
    ) -> bytes:
        """Close the ledger of an account and send it to the new owner."""
        request = messages.decode(messages.HandoverRequest, payload)
        owners = self._node.owners()
        owner = owners.owner_of(context.slice_key(request.account))
        if owners.version < request.version or owner.epoch != request.epoch:
            raise _rejection(
                'the owner table here is older or shows another epoch'
            )
        if owner.vm_id != sender.vm_id:
            raise _rejection('the slice has another owner')
        ledger = self._ledgers_by_account.get(request.account)
        if ledger is None or not ledger.directly_precedes(request.epoch):
            raise _rejection('no ledger of the preceding epoch')
        if not (ledger.ready or ledger.closed):
            raise _rejection('the ledger is not complete')
        log.info('MLB-3005', account=request.account, peer=sender.vm_id)
        return messages.encode_handover(ledger.close())

    def _get_or_open_ledger(
        self, account: str, epoch: int
    ) -> _share_ledger.Ledger:
        """Return the ledger of an account whose slice this VM owns."""
        self.record_owners()
        self._node.check_fresh(steps.Step.LIMIT)
        owners = self._node.owners()
        key = context.slice_key(account)
        owner = owners.owner_of(key)
        if owner.vm_id != self._node.vm_id or owner.epoch != epoch:
            raise _rejection('the slice has another owner or epoch')
        first = self._first_owners
        inherited = first is None or first.owner_of(key).epoch >= epoch
        if inherited and not self._node.is_first_process():
            raise _rejection('the owner was an earlier process of this VM')
        ledger = self._ledgers_by_account.get(account)
        if ledger is not None and ledger.epoch == epoch:
            return ledger
        log.info('MLB-3004', account=account, epoch=epoch)
        ledger = _share_ledger.Ledger(account, epoch, self._node)
        self._ledgers_by_account[account] = ledger
        self._handover_tried_at_by_account.pop(account, None)
        return ledger

    async def _request_handover(
        self, report: messages.ShareReport, ledger: _share_ledger.Ledger
    ) -> None:
        ledger.refresh()
        now = self._node.now()
        tried_at = self._handover_tried_at_by_account.get(report.account)
        if ledger.ready or report.keeper in ('', self._node.vm_id):
            return
        if (
            tried_at is not None
            and now - tried_at < MIN_HANDOVER_INTERVAL_SECONDS
        ):
            return
        self._handover_tried_at_by_account[report.account] = now
        request = messages.HandoverRequest(
            report.account, ledger.epoch, self._node.owners().version
        )
        try:
            payload = await self._node.call(
                report.keeper,
                messages.HANDOVER_SERVICE,
                messages.encode(request),
                HANDOVER_TIMEOUT_SECONDS,
            )
        except errors.Error as error:
            log.info('MLB-3006', account=report.account, problem=str(error))
            return
        if ledger.take_over(messages.decode_handover(payload)):
            log.info('MLB-3007', account=report.account, peer=report.keeper)


def _rejection(message: str) -> errors.Error:
    return errors.Error(
        errors.Code.PEER_REFUSED, message, steps.Step.LIMIT, not_run=True
    )
