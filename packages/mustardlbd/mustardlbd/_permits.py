"""Permits to load from the weight store, at most 8 in the whole fleet.

The owner of one fixed slice keeps them. A permit is for one loader of an
engine, which loads one adapter at a time.
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

# How long the keeper holds an ask that it can't grant yet, seconds.
HOLD = 0.5

# From the ask to the start of the load, seconds. A keeper stops giving out
# permits by MAX_AGE and the next begins after SETTLE_TIME, so that every
# permit of the one is in use, or void, before the next begins.
START_TIME = 1.0

# A permit that its holder does not renew for so long is free, seconds.
PERMIT_TIME = 10.0

# How often a holder renews, seconds.
RENEW_INTERVAL = 2.0

# Between two looks at what is in transit while taking over, seconds.
LOOK_INTERVAL = 0.05

# Between two tries to reach the keeper, seconds.
RETRY_INTERVAL = 0.1

CALL_TIMEOUT = 1.0  # seconds


@dataclasses.dataclass(slots=True)
class _Held:
    holder: _peer_server.Sender
    expires: float


class Keeper:
    """Gives out permits while this node owns their slice."""

    def __init__(
        self,
        fleet: _target_context.TargetContext,
        limit: int = weight_store.MAX_FULL_SPEED_LOADS,
    ) -> None:
        self._fleet = fleet
        self._limit = limit
        self._epoch = 0
        self._open = False
        self._held_by_target: dict[str, _Held] = {}
        self._asks: collections.deque[tuple[str, str]] = collections.deque()
        self._granted_by_account: collections.Counter[str] = (
            collections.Counter()
        )
        self._changed = trio.lowlevel.ParkingLot()

    async def run(self) -> None:
        """Take over whenever the slice comes to this node, for ever."""
        while True:
            owner = self._fleet.owners().owner_of(_target_context.PERMITS_KEY)
            mine = owner.vm_id == self._fleet.vm_id
            if not mine or owner.epoch != self._epoch:
                self._open = False
                self._held_by_target.clear()
                self._epoch = 0
            if mine and not self._epoch:
                await self._take_over(owner.epoch)
            await trio.sleep(RETRY_INTERVAL)

    async def ask(self, sender: _peer_server.Sender, payload: bytes) -> bytes:
        """Answer a PermitAsk."""
        ask = messages.decode(messages.PermitAsk, payload)
        granted = await self._ask(ask, sender)
        return messages.encode(messages.PermitAnswer(granted))

    async def release(
        self, sender: _peer_server.Sender, payload: bytes
    ) -> bytes:
        """Answer a PermitRelease."""
        release = messages.decode(messages.PermitRelease, payload)
        held = self._held_by_target.get(release.target)
        if held is not None and held.holder == sender:
            del self._held_by_target[release.target]
            self._changed.unpark_all()
        return b''

    async def _take_over(self, epoch: int) -> None:
        """Begin when all that the last keeper permitted is over."""
        await _target_context.poll_until(
            lambda: self._fleet.may_act(_target_context.PERMITS_KEY),
            LOOK_INTERVAL,
        )
        # A process that kept this slice before may have granted until now.
        await trio.sleep(START_TIME)
        with trio.move_on_after(PERMIT_TIME):
            await self._drain()
        if not _target_context.owns(
            self._fleet, _target_context.PERMITS_KEY, epoch
        ):
            return
        self._epoch = epoch
        self._open = True
        log.info('MLB-5001', epoch=epoch)

    async def _drain(self) -> None:
        """Wait until nothing is in transit."""
        while True:
            try:
                report = await self._fleet.transit_report()
            except weight_store.WeightStoreUnavailable:
                report = None
            if report is not None and report.in_transit == 0:
                return
            await trio.sleep(LOOK_INTERVAL)

    async def _ask(
        self, ask: messages.PermitAsk, sender: _peer_server.Sender
    ) -> bool:
        if ask.renew:
            return self._renew(ask.target, sender)
        entry = (ask.account, ask.target)
        self._asks.append(entry)
        try:
            with trio.move_on_after(HOLD):
                while not self._may_grant(entry, sender):
                    with trio.move_on_after(LOOK_INTERVAL):
                        await self._changed.park()
                self._grant(entry, sender)
                return True
            return False
        finally:
            self._asks.remove(entry)
            self._changed.unpark_all()

    def _renew(self, target: str, sender: _peer_server.Sender) -> bool:
        held = self._held_by_target.get(target)
        if held is None or held.holder != sender:
            # A load that the keeper before permitted.
            if held is None and self._open:
                self._hold(target, sender)
            return held is None
        held.expires = self._fleet.now() + PERMIT_TIME
        return True

    def _may_grant(
        self, entry: tuple[str, str], sender: _peer_server.Sender
    ) -> bool:
        self._expire()
        if not self._open:
            return False
        key = _target_context.PERMITS_KEY
        if not _target_context.owns(self._fleet, key, self._epoch):
            return False
        self._fleet.check_fresh(steps.Step.LOAD)
        _, target = entry
        held = self._held_by_target.get(target)
        if held is not None:
            # The answer to the same holder was lost.
            return held.holder == sender
        if len(self._held_by_target) >= self._limit:
            return False
        return self._first_in_turn() == entry

    def _first_in_turn(self) -> tuple[str, str]:
        """Pick the ask of the account that has had the fewest permits."""
        waiting = [
            ask for ask in self._asks if ask[1] not in self._held_by_target
        ]
        return min(waiting, key=lambda ask: self._granted_by_account[ask[0]])

    def _grant(
        self, entry: tuple[str, str], sender: _peer_server.Sender
    ) -> None:
        account, target = entry
        self._hold(target, sender)
        waiting = {ask[0] for ask in self._asks}
        least = min(self._granted_by_account[name] for name in waiting)
        self._granted_by_account[account] = (
            max(self._granted_by_account[account], least) + 1
        )
        if sum(self._granted_by_account.values()) > 1000:
            self._granted_by_account.clear()

    def _hold(self, target: str, holder: _peer_server.Sender) -> None:
        expires = self._fleet.now() + PERMIT_TIME
        self._held_by_target[target] = _Held(holder, expires)

    def _expire(self) -> None:
        now = self._fleet.now()
        for target, held in list(self._held_by_target.items()):
            if held.expires <= now:
                log.warning('MLB-5002', target=target, vm=held.holder.vm_id)
                del self._held_by_target[target]


class Permit:
    """A permit held by this node for one target."""

    def __init__(
        self,
        fleet: _target_context.TargetContext,
        target: str,
        asked_at: float,
    ) -> None:
        self._fleet = fleet
        self._target = target
        self._asked_at = asked_at

    def check_start(self) -> None:
        """Raise PEER_UNAVAILABLE where it is too late to start the load."""
        if self._fleet.now() - self._asked_at <= START_TIME:
            return
        raise errors.Error(
            errors.Code.PEER_UNAVAILABLE,
            'the permit came too late to be used',
            steps.Step.LOAD,
            not_run=True,
        )

    async def renew_for_ever(self) -> None:
        """Keep the permit while the load may be in transit."""
        while True:
            await trio.sleep(RENEW_INTERVAL)
            await self._tell(
                messages.PERMIT, messages.PermitAsk(self._target, '', True)
            )

    async def release(self) -> None:
        """Give the permit back; a lost release expires."""
        with trio.CancelScope(shield=True):
            await self._tell(
                messages.PERMIT_RELEASE, messages.PermitRelease(self._target)
            )

    async def _tell(
        self,
        service: str,
        message: messages.PermitAsk | messages.PermitRelease,
    ) -> None:
        keeper = (
            self._fleet.owners().owner_of(_target_context.PERMITS_KEY).vm_id
        )
        payload = messages.encode(message)
        try:
            await self._fleet.call(keeper, service, payload, CALL_TIMEOUT)
        except errors.Error as error:
            log.info('MLB-5003', target=self._target, problem=str(error))


async def acquire(
    fleet: _target_context.TargetContext,
    target: str,
    account: str,
    patience: float,
) -> Permit:
    """Wait for a permit. Raises PEER_UNAVAILABLE after so many seconds."""
    payload = messages.encode(messages.PermitAsk(target, account, False))
    with trio.move_on_after(patience):
        while True:
            asked_at = fleet.now()
            if await _ask(fleet, payload):
                return Permit(fleet, target, asked_at)
            await trio.sleep(0.0)
    raise errors.Error(
        errors.Code.PEER_UNAVAILABLE,
        f'no permit to load in {patience} s',
        steps.Step.LOAD,
        peer=fleet.owners().owner_of(_target_context.PERMITS_KEY).vm_id,
        not_run=True,
    )


async def _ask(fleet: _target_context.TargetContext, payload: bytes) -> bool:
    keeper = fleet.owners().owner_of(_target_context.PERMITS_KEY).vm_id
    try:
        reply = await fleet.call(
            keeper, messages.PERMIT, payload, HOLD + CALL_TIMEOUT
        )
    except errors.Error:
        await trio.sleep(RETRY_INTERVAL)
        return False
    return messages.decode(messages.PermitAnswer, reply).granted
