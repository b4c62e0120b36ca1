"""Extension of holders' leases while their coordinator does not respond.

The failure of a coordinator must not end the shares of its holders, and a
holder that failed must lose its share. A holder's lease is therefore renewed
by the coordinator or, if that does not respond, extended by a deputy, which
is another node. The coordinator considers the lease of a holder that stopped
reporting as ended only after the deputy has blocked further extensions. The
deputy keeps this in memory: it is named with the incarnation of its process,
and no later process extends leases under that name.

The next coordinator fences the leases of the holders that report to it. The
deputy then rejects requests to block extensions from the previous
coordinator, which may not have read the new owner table yet, so the next one
may change these shares immediately.
"""

import structlog

from mustardlbd import _share_context as context
from mustardlbd import _share_messages as messages

log = structlog.get_logger()

# Bounds the entries for blocked leases, which are never removed. Above it the
# deputy grants no extension, since it could not block another lease.
MAX_BLOCKED_LEASES = 100_000


class ShareDeputy:
    """Lease extensions granted and blocked by this process."""

    def __init__(self, node: context.NodeContext) -> None:
        self._node = node
        self._name = messages.process_name(node.vm_id, node.incarnation)
        self._blocked_report_by_lease: dict[tuple[str, str], int] = {}
        self._min_epoch_by_lease: dict[tuple[str, str], int] = {}
        self._extended_until_by_lease: dict[tuple[str, str], float] = {}

    async def handle_request(
        self, sender: context.Sender, payload: bytes
    ) -> bytes:
        """Extend or fence a lease, or block its extensions.

        The wire values are 'extend', 'seal' and 'bar'; 'name' only asks
        for the name of this process.
        """
        request = messages.decode(messages.DeputyRequest, payload)
        if request.want == 'name' or request.deputy != self._name:
            return self._reply()
        if request.want == 'bar':
            return self._block_extensions(request)
        key = (request.account, request.holder)
        blocked = self._blocked_report_by_lease.get(key, 0) >= request.request
        if blocked or len(self._blocked_report_by_lease) > MAX_BLOCKED_LEASES:
            return self._reply()
        if request.want == 'seal':
            epoch = max(self._min_epoch_by_lease.get(key, 0), request.epoch)
            self._min_epoch_by_lease[key] = epoch
            return self._reply(granted=epoch == request.epoch)
        self._extended_until_by_lease[key] = (
            self._node.now() + context.LEASE_SECONDS
        )
        return self._reply(granted=True)

    def _block_extensions(self, request: messages.DeputyRequest) -> bytes:
        key = (request.account, request.holder)
        if request.epoch < self._min_epoch_by_lease.get(key, 0):
            return self._reply()
        blocked = max(
            self._blocked_report_by_lease.get(key, 0), request.request
        )
        self._blocked_report_by_lease[key] = blocked
        until = self._extended_until_by_lease.get(key, 0.0)
        remaining = max(0.0, until - self._node.now())
        return self._reply(granted=True, remaining=remaining)

    def _reply(self, granted: bool = False, remaining: float = 0.0) -> bytes:
        reply = messages.DeputyReply(self._name, granted, remaining)
        return messages.encode(reply)
