"""Vouches for holders while their keeper is silent.

A keeper that dies must not end the shares of its holders, and a holder
that dies must not keep its share. So a holder's lease is renewed by the
keeper or, when that is silent, by the deputy; and the keeper takes a silent
holder's lease for ended only after the deputy has promised not to renew
it any more. The promise is kept in memory: the deputy is named with the
incarnation of its process, and no other process vouches in its name.

The next keeper seals the leases of the holders that report to it: from then
on the keeper before, which may not know yet that it is replaced, cannot end
them any more, and the next one may move their shares at once.
"""

import structlog

from mustardlbd import _share_messages as messages
from mustardlbd import _share_ports as ports

log = structlog.get_logger()

# Promises remembered; past it the deputy vouches for nobody.
MOST_PROMISES = 100_000


class ShareDeputy:
    """Extensions granted and refused by this process."""

    def __init__(self, node: ports.Ports) -> None:
        self._node = node
        self._name = messages.process_name(node.vm_id, node.incarnation)
        self._barred: dict[tuple[str, str], int] = {}
        self._sealed: dict[tuple[str, str], int] = {}
        self._extended_until: dict[tuple[str, str], float] = {}

    async def handle(self, sender: ports.Sender, payload: bytes) -> bytes:
        """Extend, bar or seal the lease of a holder."""
        request = messages.decode(messages.DeputyRequest, payload)
        if request.want == 'name' or request.deputy != self._name:
            return self._reply()
        if request.want == 'bar':
            return self._bar(request)
        key = (request.account, request.holder)
        barred = self._barred.get(key, 0) >= request.request
        if barred or len(self._barred) > MOST_PROMISES:
            return self._reply()
        if request.want == 'seal':
            epoch = max(self._sealed.get(key, 0), request.epoch)
            self._sealed[key] = epoch
            return self._reply(granted=epoch == request.epoch)
        self._extended_until[key] = self._node.now() + ports.LEASE
        return self._reply(granted=True)

    def _bar(self, request: messages.DeputyRequest) -> bytes:
        key = (request.account, request.holder)
        if request.epoch < self._sealed.get(key, 0):
            return self._reply()
        barred = max(self._barred.get(key, 0), request.request)
        self._barred[key] = barred
        until = self._extended_until.get(key, 0.0)
        remaining = max(0.0, until - self._node.now())
        return self._reply(granted=True, remaining=remaining)

    def _reply(self, granted: bool = False, remaining: float = 0.0) -> bytes:
        reply = messages.DeputyReply(self._name, granted, remaining)
        return messages.encode(reply)
