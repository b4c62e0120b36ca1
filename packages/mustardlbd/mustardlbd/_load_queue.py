"""Queue of an engine's loads, one per model, round robin over accounts."""

import collections
import dataclasses

import trio

from mustardlbd import _target_messages as messages

MAX_QUEUED_LOADS = 64

# The account of loads that the node starts itself.
BACKGROUND_ACCOUNT = ''


@dataclasses.dataclass(slots=True, eq=False)
class Load:
    """A load that is queued or running.

    :ivar waiters: number of requests waiting for it
    :ivar is_background: run even without waiters
    """

    model: str
    account: str
    waiters: int = 0
    is_background: bool = False
    outcome: messages.Outcome = messages.Outcome.BUSY
    done: trio.Event = dataclasses.field(default_factory=trio.Event)

    def finish(self, outcome: messages.Outcome) -> None:
        """Set the outcome and wake every waiter."""
        self.outcome = outcome
        self.done.set()


class LoadQueue:
    """Yields one load of each account in turn."""

    def __init__(self) -> None:
        self._loads_by_account: collections.OrderedDict[
            str, collections.deque[Load]
        ] = collections.OrderedDict()
        self._load_by_model: dict[str, Load] = {}
        self._added = trio.lowlevel.ParkingLot()

    def __len__(self) -> int:
        """Return the number of queued and running loads."""
        return len(self._load_by_model)

    def join(
        self, model: str, account: str, is_background: bool = False
    ) -> Load | None:
        """Return the load of a model, queued if new; None if full."""
        load = self._load_by_model.get(model)
        if load is not None:
            return load
        if len(self._load_by_model) >= MAX_QUEUED_LOADS:
            return None
        load = Load(model, account, is_background=is_background)
        self._load_by_model[model] = load
        queue = self._loads_by_account.setdefault(account, collections.deque())
        queue.append(load)
        self._added.unpark_all()
        return load

    async def wait(self, load: Load, seconds: float) -> messages.Outcome:
        """Return a load's outcome, or BUSY after the given time."""
        load.waiters += 1
        try:
            with trio.move_on_after(seconds):
                await load.done.wait()
                return load.outcome
        finally:
            load.waiters -= 1
        return messages.Outcome.BUSY

    async def pop(self) -> Load:
        """Return the next load to run; background loads come last.

        Other loads that no request waits for any more finish with BUSY.
        """
        while True:
            load = self._pop_next()
            if load is None:
                await self._added.park()
            elif load.waiters or load.is_background:
                return load
            else:
                self.finish(load, messages.Outcome.BUSY)

    def finish(self, load: Load, outcome: messages.Outcome) -> None:
        """Remove a load and set its outcome."""
        self._load_by_model.pop(load.model, None)
        load.finish(outcome)

    def finish_all(self, outcome: messages.Outcome) -> None:
        """Finish every load with the same outcome."""
        for load in list(self._load_by_model.values()):
            self.finish(load, outcome)
        self._loads_by_account.clear()

    def _pop_next(self) -> Load | None:
        accounts = [name for name in self._loads_by_account if name]
        if not accounts:
            accounts = list(self._loads_by_account)
        if not accounts:
            return None
        account = accounts[0]
        queue = self._loads_by_account[account]
        load = queue.popleft()
        if queue:
            self._loads_by_account.move_to_end(account)
        else:
            del self._loads_by_account[account]
        return load
