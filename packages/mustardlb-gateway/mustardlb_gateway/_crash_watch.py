"""Detects targets that have ended; saves the evidence in the store."""

from collections import abc
import time

import structlog
import trio

from mustardlb_gateway import _crash_records
from mustardlb_gateway import _quarantine
from mustardlb_gateway import _sockets
from mustardlb_gateway import domain
from mustardlb_gateway import ports

log = structlog.get_logger()

# A process that ends closes its connections before its listening socket is
# gone. One that has ended refuses connections until it is started again.
CHECK_DELAYS_SECONDS = (0.05, 0.25)

CONNECT_TIMEOUT_SECONDS = 0.4

SAVE_INTERVAL_SECONDS = 0.25


async def _refuses_connections(target: domain.Target) -> bool:
    """Return whether a target does not accept a connection of this node."""
    try:
        stream = await _sockets.connect(
            target.host, target.port, CONNECT_TIMEOUT_SECONDS
        )
    except OSError as error:
        log.info('MLB-6217', target=target.target_id, problem=str(error))
        return True
    await trio.aclose_forcefully(stream)
    return False


class CrashWatch:
    """Checks targets whose connections broke while they began to answer.

    `is_down` returns whether a target has ended, which a broken link of this
    node does not show.
    """

    def __init__(
        self,
        quarantine: _quarantine.Quarantine,
        store: ports.Store,
        has_lapsed: abc.Callable[[domain.Target], bool],
        wall_clock: abc.Callable[[], float] = time.time,
        is_down: abc.Callable[
            [domain.Target], abc.Awaitable[bool]
        ] = _refuses_connections,
    ) -> None:
        self._quarantine = quarantine
        self._store = store
        self._has_lapsed = has_lapsed
        self._wall_clock = wall_clock
        self._is_down = is_down
        self._checked: set[tuple[str, int]] = set()
        self._nursery: trio.Nursery | None = None

    async def run(self) -> None:
        """Load the saved evidence, then save what is found."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            saved = await _crash_records.load(self._store)
            self._quarantine.add(saved, is_settled=True)
            while True:
                await trio.sleep(SAVE_INTERVAL_SECONDS)
                evidence = self._quarantine.take_unsaved()
                if evidence is not None:
                    await _crash_records.save(
                        self._store, evidence, self._wall_clock()
                    )

    def record_failure(
        self,
        target: domain.Target,
        call: domain.Call,
        is_broken: bool,
        sent_seconds_ago: float,
    ) -> None:
        """Record a call that failed without lasting output.

        :param is_broken: the target closed or reset the connection
        """
        self._quarantine.record_failure(target, call, sent_seconds_ago)
        key = target.target_id, target.incarnation
        if (
            is_broken
            and target.state == domain.TargetState.READY
            and self._nursery
            and key not in self._checked
        ):
            self._checked.add(key)
            self._nursery.start_soon(self._check, target)

    def handle_removal(self, target: domain.Target) -> None:
        """Handle a target that was removed from the store or restarted."""
        if not self._has_lapsed(target):
            self._quarantine.confirm_crash(target, 'removed')

    async def _check(self, target: domain.Target) -> None:
        """Report a crash if a target has ended."""
        for delay in CHECK_DELAYS_SECONDS:
            await trio.sleep(delay)
            if await self._is_down(target):
                self._quarantine.confirm_crash(target, 'refuses connections')
                break
        self._checked.discard((target.target_id, target.incarnation))
