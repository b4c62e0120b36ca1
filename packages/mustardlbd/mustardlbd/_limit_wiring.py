"""Construction of a node's fleet-wide token limits."""

from collections import abc
import dataclasses

import trio

from mustardlb import decoded_configuration
from mustardlbd import _peer_server
from mustardlbd import _share_context
from mustardlbd import _share_coordinator
from mustardlbd import _share_deputy
from mustardlbd import _share_holder
from mustardlbd import _share_messages
from mustardlbd import _shared_state
from mustardlbd import _token_bucket

# The limit of an account without a contract.
ZERO_LIMIT = _token_bucket.Limit(rate=0.0, burst=0.0)

# The interval at which the accounts of this VM's slices are determined.
ACCOUNT_SCAN_INTERVAL_SECONDS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """The token limits of one node."""

    holder: _share_holder.ShareHolder
    coordinator: _share_coordinator.ShareCoordinator
    configuration: abc.Callable[[], decoded_configuration.Configuration]
    state: _shared_state.SharedState
    vm_id: str

    async def run(self) -> None:
        """Hold and coordinate shares until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.holder.run)
            await self._open_ledgers()

    async def _open_ledgers(self) -> None:
        """Keep a ledger open for each account of this VM's slices."""
        scanned: tuple[object, object] = (None, None)
        accounts: list[str] = []
        while True:
            owners = self.state.owners()
            contracts = self.configuration().contracts_by_account
            # Every account is hashed only if the owners or contracts changed.
            if owners is not scanned[0] or contracts is not scanned[1]:
                scanned = (owners, contracts)
                accounts = [
                    account
                    for account in contracts
                    if owners.owner_of(_share_context.slice_key(account)).vm_id
                    == self.vm_id
                ]
            for account in accounts:
                self.coordinator.open_ledger(account)
            await trio.sleep(ACCOUNT_SCAN_INTERVAL_SECONDS)


def build(
    vm_id: str,
    incarnation: int,
    state: _shared_state.SharedState,
    configuration: abc.Callable[[], decoded_configuration.Configuration],
    server: _peer_server.PeerServer,
) -> Limits:
    """Build the holder, coordinator and deputy and register them."""

    def limit_of(account: str) -> _token_bucket.Limit:
        found = configuration().contracts_by_account.get(account)
        if found is None:
            return ZERO_LIMIT
        return _token_bucket.Limit(found.rate, found.burst)

    node = _share_context.NodeContext(
        vm_id=vm_id,
        incarnation=incarnation,
        now=state.now,
        staleness=state.staleness,
        check_fresh=state.check_fresh,
        available_vms=lambda: state.members().reachable,
        owners=state.owners,
        has_propagated=state.has_propagated,
        call=state.call,
        limit_of=limit_of,
        # A process cannot determine whether another one ran here before it.
        # The slices that it inherits get a new epoch within seconds (see
        # _owner_table).
        is_first_process=lambda: False,
    )
    coordinator = _share_coordinator.ShareCoordinator(node)
    deputy = _share_deputy.ShareDeputy(node)
    server.register(_share_messages.REPORT_SERVICE, coordinator.handle_report)
    server.register(
        _share_messages.HANDOVER_SERVICE, coordinator.handle_handover
    )
    server.register(_share_messages.DEPUTY_SERVICE, deputy.handle_request)
    holder = _share_holder.ShareHolder(node, coordinator)
    return Limits(holder, coordinator, configuration, state, vm_id)
