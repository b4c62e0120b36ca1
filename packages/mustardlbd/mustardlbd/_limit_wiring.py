"""Builds the fleet-wide token limits of a node from the shared state."""

from collections import abc
import dataclasses

import trio

from mustardlb import decoded_configuration
from mustardlbd import _bucket
from mustardlbd import _peer_server
from mustardlbd import _share_deputy
from mustardlbd import _share_holder
from mustardlbd import _share_keeper
from mustardlbd import _share_messages
from mustardlbd import _share_ports
from mustardlbd import _shared_state

# What an account without a contract may use.
NOTHING = _bucket.Limit(rate=0.0, burst=0.0)

# How often the accounts of this VM's slices are looked for, seconds.
LOOK_INTERVAL = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """The limits of one node."""

    holder: _share_holder.ShareHolder
    keeper: _share_keeper.ShareKeeper
    directory: abc.Callable[[], decoded_configuration.Configuration]
    state: _shared_state.SharedState
    vm_id: str

    async def run(self) -> None:
        """Hold and keep shares for ever."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.holder.run)
            await self._open_books()

    async def _open_books(self) -> None:
        """Keep a book for each account of this VM's slices."""
        seen: tuple[object, object] = (None, None)
        accounts: list[str] = []
        while True:
            owners = self.state.owners()
            contracts = self.directory().contracts_by_account
            # Hashing every account at each look would be work for nothing.
            if owners is not seen[0] or contracts is not seen[1]:
                seen = (owners, contracts)
                accounts = [
                    account
                    for account in contracts
                    if owners.owner_of(_share_ports.slice_key(account)).vm_id
                    == self.vm_id
                ]
            for account in accounts:
                self.keeper.open_book(account)
            await trio.sleep(LOOK_INTERVAL)


def build(
    vm_id: str,
    incarnation: int,
    state: _shared_state.SharedState,
    directory: abc.Callable[[], decoded_configuration.Configuration],
    server: _peer_server.PeerServer,
) -> Limits:
    """Build the holder of shares, its keeper and deputy; register them."""

    def contract(account: str) -> _bucket.Limit:
        found = directory().contracts_by_account.get(account)
        if found is None:
            return NOTHING
        return _bucket.Limit(found.rate, found.burst)

    node = _share_ports.Ports(
        vm_id=vm_id,
        incarnation=incarnation,
        now=state.now,
        age=state.staleness,
        check_fresh=state.check_fresh,
        vms=lambda: state.members().reachable,
        owners=state.owners,
        settled=state.has_propagated,
        call=state.call,
        contract=contract,
        # A process can not know whether another ran here before it. What
        # it inherits gets a new epoch within seconds (see _owner_table).
        first_process=lambda: False,
    )
    keeper = _share_keeper.ShareKeeper(node)
    deputy = _share_deputy.ShareDeputy(node)
    server.register(_share_messages.REPORT_SERVICE, keeper.handle_report)
    server.register(_share_messages.HANDOVER_SERVICE, keeper.handle_handover)
    server.register(_share_messages.DEPUTY_SERVICE, deputy.handle)
    holder = _share_holder.ShareHolder(node, keeper)
    return Limits(holder, keeper, directory, state, vm_id)
