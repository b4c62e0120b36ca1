"""Limits of concurrent and waiting requests, per account and node."""

from collections import abc
import contextlib
import dataclasses

import trio

from mustardlb import errors
from mustardlb import steps


@dataclasses.dataclass(slots=True)
class _Account:
    """The requests of one account.

    :ivar limit: requests that its contract lets run concurrently
    :ivar running: number of running requests
    :ivar waiting: waiting requests, in order of arrival
    """

    limit: int = 0
    running: int = 0
    waiting: trio.lowlevel.ParkingLot = dataclasses.field(
        default_factory=trio.lowlevel.ParkingLot
    )

    def admit_waiting(self) -> None:
        """Start waiting requests up to the limit."""
        while self.waiting and self.running < self.limit:
            self.running += 1
            self.waiting.unpark()


class Concurrency:
    """Requests in flight at this node, in total and by account."""

    def __init__(self, max_requests: int, queue_length: int) -> None:
        self._max_requests = max_requests
        self._queue_length = queue_length
        self._admitted = 0
        self._accounts_by_name: dict[str, _Account] = {}

    @contextlib.asynccontextmanager
    async def slot(
        self, name: str, limit: int, wait: float
    ) -> abc.AsyncIterator[None]:
        """Hold one of an account's request slots.

        Raises OVERLOADED if the node has too many requests. Raises
        CONCURRENCY_LIMITED immediately if too many requests of the account
        are waiting, and after `wait` seconds without a free slot.
        """
        if self._admitted >= self._max_requests:
            raise _rejection(
                errors.Code.OVERLOADED,
                'the node has reached its limit of requests',
            )
        account = self._accounts_by_name.setdefault(name, _Account())
        account.limit = limit
        self._admitted += 1
        try:
            await self._acquire_slot(account, wait)
            try:
                yield
            finally:
                account.running -= 1
                account.admit_waiting()
        finally:
            self._admitted -= 1
            if not account.running and not account.waiting:
                self._accounts_by_name.pop(name, None)

    async def _acquire_slot(self, account: _Account, wait: float) -> None:
        account.admit_waiting()
        if account.running < account.limit:
            account.running += 1
            return
        if len(account.waiting) >= self._queue_length:
            raise _rejection(
                errors.Code.CONCURRENCY_LIMITED,
                f'{account.limit} requests of the account are running and '
                f'{len(account.waiting)} are waiting',
            )
        with trio.move_on_after(wait) as scope:
            await account.waiting.park()
        if scope.cancelled_caught:
            raise _rejection(
                errors.Code.CONCURRENCY_LIMITED,
                f'{account.limit} requests of the account are already running',
            )


def _rejection(code: errors.Code, message: str) -> errors.Error:
    return errors.Error(
        code,
        message,
        steps.Step.ADMISSION,
        not_run=True,
        retry_after=1.0,
    )
