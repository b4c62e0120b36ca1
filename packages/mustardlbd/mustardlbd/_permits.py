"""Permits to load from the weight store, at most 8 in the whole fleet.

The owner of one fixed slice is the coordinator that grants them. A permit is
for one loader of an engine, which loads one adapter at a time.
"""

import collections
import dataclasses

import structlog
import trio

from mustardlb import errors
from mustardlb import steps
from mustardlb import weight_store
from mustardlbd import _peer_server
from mustardlbd import _target_context
from mustardlbd import _target_messages as messages

log = structlog.get_logger()

# The coordinator holds a request that it cannot grant yet for this long.
MAX_HOLD_SECONDS = 0.5

# Time from the request for a permit to the start of the load. A coordinator
# stops granting within _freshness.MAX_AGE_SECONDS, and the next one starts
# after PROPAGATION_SECONDS. Every permit of the former is then in use or
# expired before the next coordinator grants any.
START_TIMEOUT_SECONDS = 1.0

PERMIT_TTL_SECONDS = 10.0

RENEW_INTERVAL_SECONDS = 2.0

# Interval of checks while a coordinator takes over or a request waits.
POLL_INTERVAL_SECONDS = 0.05

RETRY_INTERVAL_SECONDS = 0.1

CALL_TIMEOUT_SECONDS = 1.0


@dataclasses.dataclass(slots=True)
class _Lease:
    holder: _peer_server.Sender
    expires: float


class PermitCoordinator:
    """Grants permits while this node owns their slice."""

    def __init__(
        self,
        context: _target_context.TargetContext,
        limit: int = weight_store.MAX_FULL_SPEED_LOADS,
    ) -> None:
        self._context = context
        self._limit = limit
        self._epoch = 0
        self._is_active = False
        # Keyed by 'target/loader', which messages call the target.
        self._lease_by_loader: dict[str, _Lease] = {}
        self._waiting: collections.deque[tuple[str, str]] = collections.deque()
        self._granted_by_account: collections.Counter[str] = (
            collections.Counter()
        )
        self._changed = trio.lowlevel.ParkingLot()

    async def run(self) -> None:
        """Take over whenever this node gets the slice, until cancelled."""
        while True:
            owner = self._context.owners().owner_of(
                _target_context.PERMITS_KEY
            )
            is_owner = owner.vm_id == self._context.vm_id
            if not is_owner or owner.epoch != self._epoch:
                self._is_active = False
                self._lease_by_loader.clear()
                self._epoch = 0
            if is_owner and not self._epoch:
                await self._take_over(owner.epoch)
            await trio.sleep(RETRY_INTERVAL_SECONDS)

    async def handle_request(
        self, sender: _peer_server.Sender, payload: bytes
    ) -> bytes:
        """Process a PermitAsk and return the encoded PermitAnswer."""
        ask = messages.decode(messages.PermitAsk, payload)
        granted = await self._process_request(ask, sender)
        return messages.encode(messages.PermitAnswer(granted))

    async def handle_release(
        self, sender: _peer_server.Sender, payload: bytes
    ) -> bytes:
        """Process a PermitRelease."""
        release = messages.decode(messages.PermitRelease, payload)
        lease = self._lease_by_loader.get(release.target)
        if lease is not None and lease.holder == sender:
            del self._lease_by_loader[release.target]
            self._changed.unpark_all()
        return b''

    async def _take_over(self, epoch: int) -> None:
        """Start granting once the last coordinator's loads have ended."""
        await _target_context.poll_until(
            lambda: self._context.may_act(_target_context.PERMITS_KEY),
            POLL_INTERVAL_SECONDS,
        )
        # An earlier coordinator may have granted a permit until now.
        await trio.sleep(START_TIMEOUT_SECONDS)
        with trio.move_on_after(PERMIT_TTL_SECONDS):
            await self._drain()
        if not _target_context.owns(
            self._context, _target_context.PERMITS_KEY, epoch
        ):
            return
        self._epoch = epoch
        self._is_active = True
        log.info('MLB-5001', epoch=epoch)

    async def _drain(self) -> None:
        """Wait until the weight store sends nothing."""
        while True:
            try:
                report = await self._context.transit_report()
            except weight_store.WeightStoreUnavailable:
                report = None
            if report is not None and report.in_transit == 0:
                return
            await trio.sleep(POLL_INTERVAL_SECONDS)

    async def _process_request(
        self, ask: messages.PermitAsk, sender: _peer_server.Sender
    ) -> bool:
        if ask.renew:
            return self._renew(ask.target, sender)
        entry = (ask.account, ask.target)
        self._waiting.append(entry)
        try:
            with trio.move_on_after(MAX_HOLD_SECONDS):
                while not self._may_grant(entry, sender):
                    with trio.move_on_after(POLL_INTERVAL_SECONDS):
                        await self._changed.park()
                self._grant(entry, sender)
                return True
            return False
        finally:
            self._waiting.remove(entry)
            self._changed.unpark_all()

    def _renew(self, target: str, sender: _peer_server.Sender) -> bool:
        lease = self._lease_by_loader.get(target)
        if lease is None or lease.holder != sender:
            # An earlier coordinator granted the permit of this load.
            if lease is None and self._is_active:
                self._set_lease(target, sender)
            return lease is None
        lease.expires = self._context.now() + PERMIT_TTL_SECONDS
        return True

    def _may_grant(
        self, entry: tuple[str, str], sender: _peer_server.Sender
    ) -> bool:
        self._expire()
        if not self._is_active:
            return False
        key = _target_context.PERMITS_KEY
        if not _target_context.owns(self._context, key, self._epoch):
            return False
        self._context.check_fresh(steps.Step.LOAD)
        _, target = entry
        lease = self._lease_by_loader.get(target)
        if lease is not None:
            # The reply to the same holder may have been lost.
            return lease.holder == sender
        if len(self._lease_by_loader) >= self._limit:
            return False
        return self._next_in_turn() == entry

    def _next_in_turn(self) -> tuple[str, str]:
        """Return the request of the account with the fewest permits."""
        waiting = [
            ask for ask in self._waiting if ask[1] not in self._lease_by_loader
        ]
        return min(waiting, key=lambda ask: self._granted_by_account[ask[0]])

    def _grant(
        self, entry: tuple[str, str], sender: _peer_server.Sender
    ) -> None:
        account, target = entry
        self._set_lease(target, sender)
        waiting = {ask[0] for ask in self._waiting}
        lowest = min(self._granted_by_account[name] for name in waiting)
        self._granted_by_account[account] = (
            max(self._granted_by_account[account], lowest) + 1
        )
        if sum(self._granted_by_account.values()) > 1000:
            self._granted_by_account.clear()

    def _set_lease(self, target: str, holder: _peer_server.Sender) -> None:
        expires = self._context.now() + PERMIT_TTL_SECONDS
        self._lease_by_loader[target] = _Lease(holder, expires)

    def _expire(self) -> None:
        now = self._context.now()
        for target, lease in list(self._lease_by_loader.items()):
            if lease.expires <= now:
                log.warning('MLB-5002', target=target, vm=lease.holder.vm_id)
                del self._lease_by_loader[target]


class Permit:
    """A permit that this node holds for one loader of a target."""

    def __init__(
        self,
        context: _target_context.TargetContext,
        target: str,
        requested_at: float,
    ) -> None:
        self._context = context
        self._target = target
        self._requested_at = requested_at

    def check_start(self) -> None:
        """Raise PEER_UNAVAILABLE if the start timeout has passed."""
        if self._context.now() - self._requested_at <= START_TIMEOUT_SECONDS:
            return
        raise errors.Error(
            errors.Code.PEER_UNAVAILABLE,
            'the permit expired before the load started',
            steps.Step.LOAD,
            not_run=True,
        )

    async def renew_until_cancelled(self) -> None:
        """Renew the permit while the load may be in transit."""
        while True:
            await trio.sleep(RENEW_INTERVAL_SECONDS)
            await self._send(
                messages.PERMIT, messages.PermitAsk(self._target, '', True)
            )

    async def release(self) -> None:
        """Return the permit; if that message is lost, the permit expires."""
        with trio.CancelScope(shield=True):
            await self._send(
                messages.PERMIT_RELEASE, messages.PermitRelease(self._target)
            )

    async def _send(
        self,
        service: str,
        message: messages.PermitAsk | messages.PermitRelease,
    ) -> None:
        coordinator = (
            self._context.owners().owner_of(_target_context.PERMITS_KEY).vm_id
        )
        payload = messages.encode(message)
        try:
            await self._context.call(
                coordinator, service, payload, CALL_TIMEOUT_SECONDS
            )
        except errors.Error as error:
            log.info('MLB-5003', target=self._target, problem=str(error))


async def acquire(
    context: _target_context.TargetContext,
    target: str,
    account: str,
    timeout: float,
) -> Permit:
    """Wait for a permit. Raises PEER_UNAVAILABLE after `timeout` seconds.

    `target` is 'target/loader': a target and the number of a loader.
    """
    payload = messages.encode(messages.PermitAsk(target, account, False))
    with trio.move_on_after(timeout):
        while True:
            requested_at = context.now()
            if await _request_permit(context, payload):
                return Permit(context, target, requested_at)
            await trio.sleep(0.0)
    raise errors.Error(
        errors.Code.PEER_UNAVAILABLE,
        f'no permit to load in {timeout} s',
        steps.Step.LOAD,
        peer=context.owners().owner_of(_target_context.PERMITS_KEY).vm_id,
        not_run=True,
    )


async def _request_permit(
    context: _target_context.TargetContext, payload: bytes
) -> bool:
    coordinator = context.owners().owner_of(_target_context.PERMITS_KEY).vm_id
    try:
        reply = await context.call(
            coordinator,
            messages.PERMIT,
            payload,
            MAX_HOLD_SECONDS + CALL_TIMEOUT_SECONDS,
        )
    except errors.Error:
        await trio.sleep(RETRY_INTERVAL_SECONDS)
        return False
    return messages.decode(messages.PermitAnswer, reply).granted
