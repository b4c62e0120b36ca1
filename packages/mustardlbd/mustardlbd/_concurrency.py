"""How many requests of an account run at once, and how many may wait."""

from collections import abc
import contextlib
import dataclasses

import trio

from mustardlb import errors
from mustardlb import steps


@dataclasses.dataclass(slots=True)
class _Account:
    """The requests of one account.

    :ivar limit: requests that may run at once, by its contract
    :ivar running: requests that run
    :ivar waiting: those that wait, first come first
    """

    limit: int = 0
    running: int = 0
    waiting: trio.lowlevel.ParkingLot = dataclasses.field(
        default_factory=trio.lowlevel.ParkingLot
    )

    def hand_over(self) -> None:
        """Let waiting requests run while there is room."""
        while self.waiting and self.running < self.limit:
            self.running += 1
            self.waiting.unpark()


class Concurrency:
    """Requests in flight at this node, in all and by account."""

    def __init__(self, max_requests: int, queue_length: int) -> None:
        self._max_requests = max_requests
        self._queue_length = queue_length
        self._admitted = 0
        self._accounts_by_name: dict[str, _Account] = {}

    @contextlib.asynccontextmanager
    async def slot(
        self, name: str, limit: int, wait: float
    ) -> abc.AsyncIterator[None]:
        """Run as one of an account's requests.

        Raises OVERLOADED, or CONCURRENCY_LIMITED at once where too many
        wait already and after `wait` seconds where none has ended.
        """
        if self._admitted >= self._max_requests:
            raise _refusal(
                errors.Code.OVERLOADED, 'the node has too many requests'
            )
        account = self._accounts_by_name.setdefault(name, _Account())
        account.limit = limit
        self._admitted += 1
        try:
            await self._enter(account, wait)
            try:
                yield
            finally:
                account.running -= 1
                account.hand_over()
        finally:
            self._admitted -= 1
            if not account.running and not account.waiting:
                self._accounts_by_name.pop(name, None)

    async def _enter(self, account: _Account, wait: float) -> None:
        account.hand_over()
        if account.running < account.limit:
            account.running += 1
            return
        if len(account.waiting) >= self._queue_length:
            raise _refusal(
                errors.Code.CONCURRENCY_LIMITED,
                f'{account.limit} requests run and {len(account.waiting)} '
                'wait',
            )
        with trio.move_on_after(wait) as scope:
            await account.waiting.park()
        if scope.cancelled_caught:
            raise _refusal(
                errors.Code.CONCURRENCY_LIMITED,
                f'{account.limit} requests of the account run already',
            )


def _refusal(code: errors.Code, message: str) -> errors.Error:
    return errors.Error(
        code,
        message,
        steps.Step.ADMISSION,
        not_run=True,
        retry_after=1.0,
    )
