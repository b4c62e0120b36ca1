"""Leases on engines, one object per engine in the store.

Only the holder of its lease sends commands to an engine. The lease is changed
by conditional writes only. Its fencing token grows with each holder, and
engines refuse commands with a lower one. While it has a quorum, a holder
sends commands without reading the store, because another node takes over an
engine only if it considers the engine abandoned. Without a quorum, or if the
engines do not compare fencing tokens, the holder verifies its lease in the
store.
"""

from collections import abc
import dataclasses
import hashlib
import time
from typing import Any

import structlog

from mustardlb_gateway import _amounts
from mustardlb_gateway import _fences
from mustardlb_gateway import ports

log = structlog.get_logger()

LEASE_KIND = 'engine-leases'

# Added to the handover time for clock differences between nodes and for the
# transmission of a command.
HANDOVER_MARGIN_SECONDS = 0.3

VERIFICATION_TTL_SECONDS = 1.0

# A command is not sent if the lease was looked at longer ago. It is part of
# the handover margin, which also has to cover the transmission.
MAX_COMMAND_DELAY_SECONDS = 0.2

# A lease that the store has not confirmed for this time is given up if the
# store answers other nodes.
UNCONFIRMED_SECONDS = 2.0

# Tokens of a later epoch of the store are above all of an earlier one, of
# which the store may have lost some and all nodes that knew them have ended.
FENCES_PER_EPOCH = 1_000_000

# Targets and other programs may read fencing tokens as signed integers.
MAX_FENCE = 2**63 - 1


class _UnreadableLease(Exception):
    """A stored lease does not tell which fencing tokens were given out."""


@dataclasses.dataclass(slots=True)
class Lease:
    """A lease that this node holds.

    :ivar fence: fencing token, higher than that of any earlier holder
    :ivar revision: store revision of the lease
    :ivar effective_from: when commands may be sent, clock seconds
    :ivar verified_at: when the store last confirmed it, clock seconds
    :ivar unconfirmed_since: when the store first gave no answer on it since
        then, None if it did
    """

    target_id: str
    fence: int
    revision: int
    effective_from: float
    verified_at: float
    unconfirmed_since: float | None = None


def _readable_spec(stored: ports.StoredObject) -> dict[str, Any]:
    """Return a lease that has a fencing token; raises _UnreadableLease.

    Without it, the next token may be lower than one that engines have seen.
    """
    spec = stored.spec
    fence = spec.get('fence') if isinstance(spec, dict) else None
    if (
        isinstance(fence, bool)
        or not isinstance(fence, int)
        or not 0 <= fence < MAX_FENCE
    ):
        raise _UnreadableLease(
            f'revision {stored.revision} has no fencing token'
        )
    return spec


class Leases:
    """The leases held by this node.

    `told_fence` returns the highest fencing token for a target that another
    node had, and `epoch` that of the store. A store that continues from a copy
    may have lost a lease.
    """

    def __init__(
        self,
        vm: str,
        incarnation: int,
        store: ports.Store,
        clock: abc.Callable[[], float],
        handover_time: abc.Callable[[], float],
        fences_checked: abc.Callable[[], bool],
        wall_clock: abc.Callable[[], float] = time.time,
        told_fence: abc.Callable[[str], int] = lambda target_id: 0,
        epoch: abc.Callable[[], int] = lambda: 0,
    ) -> None:
        self._epoch = epoch
        self._told_fence = told_fence
        self._vm = vm
        self._incarnation = incarnation
        self._store = store
        self._clock = clock
        self._handover_time = handover_time
        self._fences_checked = fences_checked
        self._wall_clock = wall_clock
        # Targets for which a write over another node's lease had no response.
        self._unacknowledged: set[str] = set()
        self.by_target: dict[str, Lease] = {}
        self._own_fences = _fences.HighestFences()

    async def claim(self, target_id: str) -> Lease | None:
        """Claim the lease on an engine; return None if that failed."""
        try:
            stored = await self._store.get(LEASE_KIND, target_id)
            lease = await self._write(target_id, stored)
        except ports.Conflict as conflict:
            log.info('MLB-6502', target=target_id, now=str(conflict.current))
            return None
        except ports.StoreUnavailable as error:
            # The next attempt reads the outcome of the write.
            log.info('MLB-6503', target=target_id, problem=str(error))
            return None
        except _UnreadableLease as error:
            log.error('MLB-6113', target=target_id, problem=str(error))
            return None
        self.by_target[target_id] = lease
        log.info(
            'MLB-6501',
            target=target_id,
            fence=lease.fence,
            revision=lease.revision,
            acts_in=round(lease.effective_from - self._clock(), 3),
        )
        return lease

    async def _write(
        self, target_id: str, stored: ports.StoredObject | None
    ) -> Lease:
        spec = {} if stored is None else _readable_spec(stored)
        fence = 1 + max(
            spec['fence'] if stored else 0,
            self._own_fences.get(target_id),
            self._told_fence(target_id),
            self._epoch() * FENCES_PER_EPOCH,
        )
        is_taken_over = stored is not None and spec.get('holder') != self._vm
        taken_at = self._taken_at(spec)
        if is_taken_over:
            taken_at = self._wall_clock()
            self._unacknowledged.add(target_id)
        new_spec = {
            'holder': self._vm,
            'incarnation': self._incarnation,
            'fence': fence,
            'takenAt': taken_at,
        }
        if stored is None:
            written = await self._store.create(LEASE_KIND, target_id, new_spec)
        else:
            written = await self._store.replace(
                LEASE_KIND, target_id, new_spec, stored.revision
            )
        self._own_fences.record(target_id, fence)
        now = self._clock()
        handover_wait = self._handover_time() + HANDOVER_MARGIN_SECONDS
        if not is_taken_over and target_id not in self._unacknowledged:
            # The process that took the lease over may have ended since, and
            # the holder before may not know yet.
            handover_wait += taken_at - self._wall_clock()
        self._unacknowledged.discard(target_id)
        handover_wait = min(
            max(0.0, handover_wait),
            self._handover_time() + HANDOVER_MARGIN_SECONDS,
        )
        return Lease(
            target_id,
            fence,
            written.revision,
            now + handover_wait,
            now,
        )

    def _taken_at(self, spec: dict[str, Any]) -> float:
        """Return when a lease was taken over, Unix seconds."""
        if not spec:
            return 0.0
        try:
            return _amounts.finite(spec.get('takenAt'))
        except ValueError:
            # An earlier release does not write it. The handover may have begun
            # only just now.
            return self._wall_clock()

    async def verify(self, lease: Lease) -> bool:
        """Return whether the store confirms that a lease is still held."""
        requested_at = self._clock()
        if requested_at - lease.verified_at < VERIFICATION_TTL_SECONDS:
            return True
        try:
            stored = await self._store.get(LEASE_KIND, lease.target_id)
        except ports.StoreUnavailable as error:
            log.info('MLB-6503', target=lease.target_id, problem=str(error))
            if lease.unconfirmed_since is None:
                lease.unconfirmed_since = self._clock()
            return False
        if self._clock() - requested_at > VERIFICATION_TTL_SECONDS:
            # The response has waited, while this process was paused or the
            # store was slow, and another node may hold the lease by now.
            log.info('MLB-6252', target=lease.target_id)
            if lease.unconfirmed_since is None:
                lease.unconfirmed_since = requested_at
            return False
        if stored is None or not self._is_own(stored, lease):
            self.drop(lease.target_id, 'the store has a newer lease')
            return False
        lease.verified_at = requested_at
        lease.unconfirmed_since = None
        return True

    def _is_own(self, stored: ports.StoredObject, lease: Lease) -> bool:
        """Return whether a stored lease is the one that this node holds.

        A store that continues from a copy gives out revisions again, so that
        a lease of another node may have the same one.
        """
        spec = stored.spec if isinstance(stored.spec, dict) else {}
        return (
            stored.revision == lease.revision
            and spec.get('holder') == self._vm
            and spec.get('fence') == lease.fence
        )

    async def may_send_commands(self, lease: Lease, has_quorum: bool) -> bool:
        """Return whether a lease permits commands at this moment."""
        if self.by_target.get(lease.target_id) is not lease:
            return False
        if self._clock() < lease.effective_from:
            return False
        if has_quorum and self._fences_checked():
            return True
        return await self.verify(lease)

    def is_unconfirmed(self, lease: Lease, has_quorum: bool) -> bool:
        """Return whether the store has not answered on a lease for long.

        A lease that needs no confirmation is never unconfirmed.
        """
        if has_quorum and self._fences_checked():
            return False
        since = lease.unconfirmed_since
        return since is not None and (
            self._clock() - since > UNCONFIRMED_SECONDS
        )

    def drop(self, target_id: str, reason: str) -> None:
        """Drop a lease and log the reason; the store is not changed."""
        lease = self.by_target.pop(target_id, None)
        if lease is not None:
            log.info(
                'MLB-6504',
                target=target_id,
                fence=lease.fence,
                reason=reason,
            )


def rendezvous_weight(name: str, target_id: str) -> bytes:
    """Return the rendezvous hash weight of a node or adapter for a target."""
    return hashlib.blake2b(f'{name}|{target_id}'.encode()).digest()


def preferred_vm(vms: abc.Iterable[str], target_id: str) -> str:
    """Return the node of highest weight, which should control a target.

    >>> preferred_vm(['a', 'b', 'c'], 't1') in 'abc'
    True
    """
    return max(vms, key=lambda vm: rendezvous_weight(vm, target_id))
