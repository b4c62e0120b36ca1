"""Trials of requests in quarantine, one at a time over all nodes.

A suspect may be quarantined for crashes that had another cause. After some
time, its owner permits a single request, whose output ends the quarantine.
"""

from collections import abc

import structlog

from mustardlb_gateway import _messages
from mustardlb_gateway import _owners
from mustardlb_gateway import _quarantine
from mustardlb_gateway import domain

log = structlog.get_logger()

# A trial ends with output or a crash by then, or the request has failed for
# another reason.
TRIAL_SECONDS = 10.0

# A trial is sent within this time after it was permitted, so that it ends
# before the owner permits the next one.
START_SECONDS = 5.0

# A permission that took longer to arrive has waited while this process was
# paused.
MAX_ANSWER_SECONDS = 1.0


class Trials:
    """Decides whether a call in quarantine is sent as a trial.

    `request` sends a message to a node and returns its response, or None
    without one in time. `live` returns the names of the other live nodes.
    `is_settled` returns whether this process was not paused just now.
    """

    def __init__(
        self,
        vm: str,
        quarantine: _quarantine.Quarantine,
        request: abc.Callable[
            [str, _messages.Body, float],
            abc.Awaitable[_messages.Body | None],
        ],
        live: abc.Callable[[], frozenset[str]],
        clock: abc.Callable[[], float],
        is_settled: abc.Callable[[], bool] = lambda: True,
    ) -> None:
        self._is_settled = is_settled
        self._vm = vm
        self._quarantine = quarantine
        self._request = request
        self._clock = clock
        self._owners = _owners.Owners(vm, live, clock)
        self._last_by_suspect: dict[str, float] = {}

    async def permit(self, call: domain.Call) -> bool:
        """Return whether a call may be sent, as a trial if in quarantine."""
        suspects = self._quarantine.periods(call)
        if not suspects:
            return True
        if not all(map(self._quarantine.is_trial_due, suspects)):
            return False
        for suspect in suspects:
            if not await self._ask(suspect):
                return False
        log.warning(
            'MLB-6211', request=call.request_id, suspects=sorted(suspects)
        )
        return True

    async def _ask(self, suspect: str) -> bool:
        owner = self._owners.ranking(suspect)[0]
        if owner == self._vm:
            return self.grant(suspect)
        asked_at = self._clock()
        response = await self._request(
            owner,
            _messages.Trial(suspect),
            _owners.RESPONSE_TIMEOUT_SECONDS,
        )
        return (
            isinstance(response, _messages.Tried)
            and response.is_granted
            and self._clock() - asked_at <= MAX_ANSWER_SECONDS
        )

    def grant(self, suspect: str) -> bool:
        """Return whether this node, as the owner, permits a trial now.

        Nodes that differ on who lives may ask different nodes. Only one that
        takes itself for the owner decides.
        """
        if not self._is_settled():
            return False
        if self._owners.ranking(suspect)[0] != self._vm:
            return False
        now = self._clock()
        self._last_by_suspect = {
            suspect: at
            for suspect, at in self._last_by_suspect.items()
            if at > now - TRIAL_SECONDS
        }
        if suspect in self._last_by_suspect:
            return False
        if not self._quarantine.is_trial_due(suspect):
            return False
        self._last_by_suspect[suspect] = now
        return True
