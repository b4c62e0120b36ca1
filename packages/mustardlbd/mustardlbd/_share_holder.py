"""Reservation of tokens from the shares that this node holds."""

import structlog
import trio

from mustardlb import errors
from mustardlb import steps
from mustardlbd import _share
from mustardlbd import _share_context as context
from mustardlbd import _share_coordinator
from mustardlbd import _share_messages as messages
from mustardlbd import _token_bucket

log = structlog.get_logger()

MAX_WAITERS_PER_ACCOUNT = 1_000

# Accounts without calls for this time are reported only at the idle interval,
# and not at all once their share is zero.
IDLE_AFTER_SECONDS = 5.0

# The retry-after time of a rejected call whose contract grants no rate.
DEFAULT_RETRY_AFTER_SECONDS = 1.0


class Reservation:
    """Tokens reserved for one call, charged in full until it is settled.

    :ivar charged: tokens charged to the account for this call
    """

    def __init__(
        self, share: _share.Share, hold: _token_bucket.Hold, tokens: int
    ) -> None:
        self.charged = float(tokens)
        self._share = share
        self._hold = hold

    def settle(self, tokens: int) -> None:
        """Charge the tokens that were used and refund the rest."""
        share = self._share
        now = share.refresh()
        credit = share.bucket.settle(now, self._hold, tokens)
        self.charged -= credit
        share.demand.add(now, -credit)
        share.notify_waiters()


class ShareHolder:
    """The shares of this node and the tasks that report them."""

    def __init__(
        self,
        node: context.NodeContext,
        coordinator: _share_coordinator.ShareCoordinator,
    ) -> None:
        self._node = node
        self._coordinator = coordinator
        self._shares_by_account: dict[str, _share.Share] = {}
        self._share_added = trio.Event()
        self._new_shares: list[_share.Share] = []

    async def reserve(
        self, account: str, tokens: int, wait: float
    ) -> Reservation:
        """Reserve tokens, waiting at most `wait` seconds for them.

        Raises COST_ABOVE_BURST, RATE_LIMITED or NODE_NOT_CURRENT; no
        tokens are taken then.
        """
        self._node.check_fresh(steps.Step.LIMIT)
        share = self._get_or_create_share(account)
        now = share.refresh()
        if tokens > share.limit.burst:
            raise _cost_above_burst(tokens, share.limit.burst)
        share.requested_at = now
        share.demand.add(now, tokens)
        share.recent_demand.add(now, tokens)
        hold = None if share.waiters else share.try_acquire(tokens)
        if hold is None:
            hold = await self._wait_for_tokens(share, tokens, wait)
        return Reservation(share, hold, tokens)

    async def run(self) -> None:
        """Report the shares until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._record_owners)
            nursery.start_soon(self._coordinator.run)
            while True:
                for share in self._new_shares:
                    nursery.start_soon(self._report_until_cancelled, share)
                self._new_shares.clear()
                self._share_added = trio.Event()
                await self._share_added.wait()

    async def _record_owners(self) -> None:
        while True:
            self._coordinator.record_owners()
            await trio.sleep(context.REPORT_INTERVAL_SECONDS)

    def _get_or_create_share(self, account: str) -> _share.Share:
        share = self._shares_by_account.get(account)
        if share is None:
            share = _share.Share(account, self._node)
            self._shares_by_account[account] = share
            self._new_shares.append(share)
            self._share_added.set()
        return share

    async def _wait_for_tokens(
        self, share: _share.Share, tokens: int, wait: float
    ) -> _token_bucket.Hold:
        now = self._node.now()
        if len(share.waiters) >= MAX_WAITERS_PER_ACCOUNT or wait <= 0:
            share.shortage.set()
            raise _rate_limited(share, tokens)
        waiter = _share.Waiter(tokens, now)
        share.waiters.append(waiter)
        share.shortage.set()
        try:
            return await self._wait_in_turn(share, waiter, now + wait)
        finally:
            share.waiters.remove(waiter)
            share.notify_waiters()

    async def _wait_in_turn(
        self, share: _share.Share, waiter: _share.Waiter, deadline: float
    ) -> _token_bucket.Hold:
        while True:
            tokens_changed = share.tokens_changed
            delay = deadline - self._node.now()
            if share.waiters[0] is waiter:
                self._node.check_fresh(steps.Step.LIMIT)
                hold = share.try_acquire(waiter.tokens)
                if hold is not None:
                    return hold
                delay = min(
                    delay, share.bucket.time_until_available(waiter.tokens)
                )
            if deadline <= self._node.now():
                raise _rate_limited(share, waiter.tokens)
            with trio.move_on_after(max(delay, 0.001)):
                await tokens_changed.wait()

    async def _report_until_cancelled(self, share: _share.Share) -> None:
        while True:
            await self._wait_until_due(share)
            await self._send_report(share)
            interval = _report_interval(share)
            with trio.move_on_after(interval):
                await trio.sleep(context.MIN_REPORT_INTERVAL_SECONDS)
                await share.shortage.wait()

    async def _wait_until_due(self, share: _share.Share) -> None:
        while True:
            now = share.refresh()
            key = context.slice_key(share.account)
            epoch = self._node.owners().owner_of(key).epoch
            if (
                now - share.requested_at < IDLE_AFTER_SECONDS
                or share.epoch < epoch
            ):
                return
            if share.shrunk or share.shortage.is_set():
                return
            idle = (
                now - share.reported_at >= context.IDLE_REPORT_INTERVAL_SECONDS
            )
            if idle and share.fraction:
                return
            with trio.move_on_after(context.REPORT_INTERVAL_SECONDS):
                await share.shortage.wait()

    async def _send_report(self, share: _share.Share) -> None:
        """Send one report and apply the statement in the reply."""
        share.shortage = trio.Event()
        owner = self._node.owners().owner_of(context.slice_key(share.account))
        if not owner.vm_id:
            return
        report = share.make_report()
        try:
            statement = await self._exchange_report(owner.vm_id, report)
        except errors.Error as error:
            log.debug('MLB-3002', account=share.account, problem=str(error))
            await self._extend_lease(share)
            return
        if (
            not share.apply_statement(statement, owner.vm_id)
            or not statement.renewed
        ):
            await self._extend_lease(share)

    async def _extend_lease(self, share: _share.Share) -> None:
        """Ask the deputy to extend the lease instead of the coordinator."""
        request = share.make_extension_request()
        if request is None:
            return
        sent_at = self._node.now()
        deputy = messages.vm_of(request.deputy)
        try:
            payload = await self._node.call(
                deputy,
                messages.DEPUTY_SERVICE,
                messages.encode(request),
                context.DEPUTY_TIMEOUT_SECONDS,
            )
        except errors.Error as error:
            log.debug('MLB-3008', account=share.account, problem=str(error))
            return
        if messages.decode(messages.DeputyReply, payload).granted:
            share.extend_lease(request, sent_at)

    async def _exchange_report(
        self, coordinator: str, report: messages.ShareReport
    ) -> messages.ShareStatement:
        if coordinator == self._node.vm_id:
            return await self._coordinator.process_report(
                coordinator, self._node.incarnation, report
            )
        payload = await self._node.call(
            coordinator,
            messages.REPORT_SERVICE,
            messages.encode(report),
            context.REPORT_TIMEOUT_SECONDS,
        )
        return messages.decode(messages.ShareStatement, payload)


def _report_interval(share: _share.Share) -> float:
    if share.shrunk:
        return context.MIN_REPORT_INTERVAL_SECONDS
    if share.waiters:
        return context.WAITING_REPORT_INTERVAL_SECONDS
    return context.REPORT_INTERVAL_SECONDS


def _cost_above_burst(tokens: int, burst: float) -> errors.Error:
    return errors.Error(
        errors.Code.COST_ABOVE_BURST,
        f'the call costs {tokens} tokens, the burst is {burst:.0f}',
        steps.Step.LIMIT,
        not_run=True,
    )


def _rate_limited(share: _share.Share, tokens: float) -> errors.Error:
    lacking = tokens - share.bucket.level
    rate = share.limit.rate
    wait = lacking / rate if rate > 0 else DEFAULT_RETRY_AFTER_SECONDS
    return errors.Error(
        errors.Code.RATE_LIMITED,
        'the client account has exceeded its token rate',
        steps.Step.LIMIT,
        not_run=True,
        retry_after=max(0.1, wait),
    )
