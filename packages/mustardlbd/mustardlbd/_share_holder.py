"""Grants tokens from the shares that this node holds."""

import structlog
import trio

from mustardlb import errors
from mustardlb import steps
from mustardlbd import _bucket
from mustardlbd import _share
from mustardlbd import _share_keeper
from mustardlbd import _share_messages as messages
from mustardlbd import _share_ports as ports

log = structlog.get_logger()

# Calls of one account that may wait at this node.
MOST_WAITERS = 1_000

# An account without calls for this long is not reported any more, seconds.
IDLE_AFTER = 5.0

# What a refused caller is told where nothing better is known, seconds.
RETRY_AFTER = 1.0


class Reservation:
    """Tokens granted to one call; unsettled they are charged in full.

    :ivar charged: tokens that the call has cost its account
    """

    def __init__(
        self, share: _share.Share, hold: _bucket.Hold, tokens: int
    ) -> None:
        self.charged = float(tokens)
        self._share = share
        self._hold = hold

    def settle(self, tokens: int) -> None:
        """Charge what was used; the rest is free again."""
        share = self._share
        now = share.refresh()
        credit = share.bucket.settle(now, self._hold, tokens)
        self.charged -= credit
        share.demand.add(now, -credit)
        share.notify()


class ShareHolder:
    """The shares of this node, and the tasks that report them."""

    def __init__(
        self, node: ports.Ports, keeper: _share_keeper.ShareKeeper
    ) -> None:
        self._node = node
        self._keeper = keeper
        self._knowledge = _share.Knowledge(node)
        self._shares_by_account: dict[str, _share.Share] = {}
        self._wake = trio.Event()
        self._new: list[_share.Share] = []

    async def reserve(
        self, account: str, tokens: int, wait: float
    ) -> Reservation:
        """Take tokens, waiting at most `wait` seconds for them.

        Raises COST_ABOVE_BURST, RATE_LIMITED or NODE_NOT_CURRENT, each
        with nothing taken.
        """
        self._node.check_fresh(steps.Step.LIMIT)
        share = self._find(account)
        now = share.refresh()
        if tokens > share.limit.burst:
            raise _cost_above_burst(tokens, share.limit.burst)
        share.asked_at = now
        share.demand.add(now, tokens)
        share.recent.add(now, tokens)
        hold = None if share.waiters else share.take(tokens)
        if hold is None:
            hold = await self._wait(share, tokens, wait)
        return Reservation(share, hold, tokens)

    async def run(self) -> None:
        """Report the shares for ever."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._observe)
            nursery.start_soon(self._keeper.run)
            while True:
                for share in self._new:
                    nursery.start_soon(self._report_for_ever, share)
                self._new.clear()
                self._wake = trio.Event()
                await self._wake.wait()

    async def _observe(self) -> None:
        while True:
            self._knowledge.observe()
            self._keeper.observe()
            await trio.sleep(ports.REPORT_INTERVAL)

    def _find(self, account: str) -> _share.Share:
        share = self._shares_by_account.get(account)
        if share is None:
            share = _share.Share(account, self._node, self._knowledge)
            self._shares_by_account[account] = share
            self._new.append(share)
            self._wake.set()
        return share

    async def _wait(
        self, share: _share.Share, tokens: int, wait: float
    ) -> _bucket.Hold:
        now = self._node.now()
        if len(share.waiters) >= MOST_WAITERS or wait <= 0:
            share.short.set()
            raise _rate_limited(share, tokens)
        waiter = _share.Waiter(tokens, now)
        share.waiters.append(waiter)
        share.short.set()
        try:
            return await self._wait_in_turn(share, waiter, now + wait)
        finally:
            share.waiters.remove(waiter)
            share.notify()

    async def _wait_in_turn(
        self, share: _share.Share, waiter: _share.Waiter, deadline: float
    ) -> _bucket.Hold:
        while True:
            changed = share.changed
            delay = deadline - self._node.now()
            if share.waiters[0] is waiter:
                self._node.check_fresh(steps.Step.LIMIT)
                hold = share.take(waiter.tokens)
                if hold is not None:
                    return hold
                delay = min(delay, share.bucket.lack_time(waiter.tokens))
            if deadline <= self._node.now():
                raise _rate_limited(share, waiter.tokens)
            with trio.move_on_after(max(delay, 0.001)):
                await changed.wait()

    async def _report_for_ever(self, share: _share.Share) -> None:
        while True:
            await self._wait_until_active(share)
            await self._report(share)
            interval = _interval(share)
            with trio.move_on_after(interval):
                await trio.sleep(ports.REPORT_GAP)
                await share.short.wait()

    async def _wait_until_active(self, share: _share.Share) -> None:
        while True:
            now = share.refresh()
            version = self._node.owners().version
            if now - share.asked_at < IDLE_AFTER or share.stated < version:
                return
            if share.shrunk:
                return
            idle = now - share.reported_at >= ports.IDLE_INTERVAL
            if idle and share.fraction:
                return
            with trio.move_on_after(ports.REPORT_INTERVAL):
                await share.short.wait()

    async def _report(self, share: _share.Share) -> None:
        """Send one report and adopt the statement that answers it."""
        share.short = trio.Event()
        owner = self._node.owners().owner_of(ports.slice_key(share.account))
        if not owner.vm_id:
            return
        report = share.compose()
        try:
            statement = await self._ask(owner.vm_id, report)
        except errors.Error as error:
            log.debug('MLB-3002', account=share.account, problem=str(error))
            await self._extend(share)
            return
        if not share.adopt(statement, owner.vm_id) or not statement.renewed:
            await self._extend(share)

    async def _extend(self, share: _share.Share) -> None:
        """Ask the deputy to vouch for the share in the keeper's place."""
        request = share.ask_deputy()
        if request is None:
            return
        sent_at = self._node.now()
        deputy = messages.vm_of(request.deputy)
        try:
            payload = await self._node.call(
                deputy,
                messages.DEPUTY_SERVICE,
                messages.encode(request),
                ports.DEPUTY_TIMEOUT,
            )
        except errors.Error as error:
            log.debug('MLB-3008', account=share.account, problem=str(error))
            return
        if messages.decode(messages.DeputyReply, payload).granted:
            share.extend(request, sent_at)

    async def _ask(
        self, keeper: str, report: messages.ShareReport
    ) -> messages.ShareStatement:
        if keeper == self._node.vm_id:
            return await self._keeper.answer(
                keeper, self._node.incarnation, report
            )
        payload = await self._node.call(
            keeper,
            messages.REPORT_SERVICE,
            messages.encode(report),
            ports.REPORT_TIMEOUT,
        )
        return messages.decode(messages.ShareStatement, payload)


def _interval(share: _share.Share) -> float:
    if share.shrunk:
        return ports.REPORT_GAP
    if share.waiters:
        return ports.SHORT_INTERVAL
    return ports.REPORT_INTERVAL


def _cost_above_burst(tokens: int, burst: float) -> errors.Error:
    return errors.Error(
        errors.Code.COST_ABOVE_BURST,
        f'{tokens} tokens are more than the burst of {burst:.0f}',
        steps.Step.LIMIT,
        not_run=True,
    )


def _rate_limited(share: _share.Share, tokens: float) -> errors.Error:
    lack = tokens - share.bucket.level
    rate = share.limit.rate
    wait = lack / rate if rate > 0 else RETRY_AFTER
    return errors.Error(
        errors.Code.RATE_LIMITED,
        'the rate of the client account is used up',
        steps.Step.LIMIT,
        not_run=True,
        retry_after=max(0.1, wait),
    )
