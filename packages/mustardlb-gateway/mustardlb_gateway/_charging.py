"""Charges requests at the owner of their account.

The owner of an account decides on each request of the account before the
request is admitted, because counters that are exchanged afterwards show a
flood only after a part of the nodes have exceeded the limit. If no node that
may be asked responds, the node's own bucket decides.
"""

from collections import abc
import dataclasses

import structlog

from mustardlb_gateway import _messages
from mustardlb_gateway import _owners
from mustardlb_gateway import _quota
from mustardlb_gateway import domain

log = structlog.get_logger()


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """The decision on a charge.

    :ivar owner: node whose bucket decided
    :ivar wait: 0 if the request is admitted, otherwise seconds to wait
    :ivar level: level of the bucket
    """

    owner: str
    cost: float
    wait: float
    level: float


class Charging:
    """Charges the requests of this node, and of others as an owner.

    `request` sends a message to a node and returns its response, or None
    without one in time; `notify` sends a message without a response. `live`
    returns the names of the other live nodes.
    """

    def __init__(
        self,
        vm: str,
        data_centre: str,
        quota: _quota.Quota,
        request: abc.Callable[
            [str, _messages.Body, float],
            abc.Awaitable[_messages.Body | None],
        ],
        notify: abc.Callable[[str, _messages.Body], None],
        live: abc.Callable[[], frozenset[str]],
        account: abc.Callable[[str], domain.Account | None],
        clock: abc.Callable[[], float],
    ) -> None:
        self._vm = vm
        self._data_centre = data_centre
        self._quota = quota
        self._request = request
        self._notify = notify
        self._owners = _owners.Owners(vm, live, clock)
        self._account = account
        self._clock = clock

    async def charge(
        self, account: domain.Account, call: domain.Call
    ) -> Decision:
        """Charge a request of this node to its account."""
        cost = self._quota.cost(account, call)
        if account.rate <= 0:
            return Decision(self._vm, cost, 0.0, 0.0)
        for owner in self._owners.to_ask(account.name):
            if owner == self._vm:
                break
            decision = await self._ask(owner, account, cost, call.request_id)
            if decision is not None:
                return decision
        now = self._clock()
        wait = self._quota.charge(account, cost, now)
        level = self._quota.level(account, now)
        return Decision(self._vm, cost, wait, level)

    async def _ask(
        self,
        owner: str,
        account: domain.Account,
        cost: float,
        request_id: str,
    ) -> Decision | None:
        """Return the decision of an owner, None if it makes none in time."""
        response = await self._request(
            owner,
            _messages.Charge(account.name, cost, self._data_centre),
            _owners.RESPONSE_TIMEOUT_SECONDS,
        )
        now = self._clock()
        if isinstance(response, _messages.Charged) and response.is_decided:
            if not response.wait:
                self._quota.record_granted(account, cost, now)
            return Decision(owner, cost, response.wait, response.level)
        is_silent = not isinstance(response, _messages.Charged)
        if is_silent:
            self._owners.mark_unresponsive(owner)
        log.info(
            'MLB-6606',
            request=request_id,
            account=account.name,
            peer=owner,
            is_silent=is_silent,
        )
        return None

    def refund(self, account: domain.Account, decision: Decision) -> None:
        """Refund a request that no target processed."""
        self._quota.refund(account, decision.cost)
        if account.rate > 0 and decision.owner != self._vm:
            charge = _messages.Charge(
                account.name, decision.cost, self._data_centre
            )
            self._notify(decision.owner, _messages.Refund(charge))

    def is_near_limit(self, account: domain.Account) -> bool:
        """Return whether charges should be sent to other nodes at once."""
        return self._quota.is_near_limit(account)

    def handle_charge(self, charge: _messages.Charge) -> _messages.Charged:
        """Decide on the charge of another node."""
        account = self._account(charge.account)
        if account is None or account.rate <= 0:
            return _messages.Charged(False)
        now = self._clock()
        wait = self._quota.grant(account, charge.cost, charge.data_centre, now)
        level = self._quota.level(account, now)
        return _messages.Charged(True, wait, level)

    def handle_refund(self, refund: _messages.Refund) -> None:
        """Refund a charge that this node has granted."""
        charge = refund.charge
        account = self._account(charge.account)
        if account is not None and account.rate > 0:
            self._quota.refund_grant(
                account, charge.cost, charge.data_centre, self._clock()
            )
