"""What this node knows of its own links to targets, and who helps.

A target that this node cannot connect to may be down, or only its link to
this node. Another node that reaches the target tells the two apart, and
relays connections to it.
"""

from collections import abc
import dataclasses
import enum
import random

import structlog

from mustardlb_gateway import domain

log = structlog.get_logger()

# The node counts as cut off from all targets when it has found this many out
# of reach since it last heard from any.
MIN_LOST_TARGETS = 2

# A target that another node does not reach either is not asked about again
# for this time.
DOWN_TTL_SECONDS = 0.5

# A node that did not respond is not asked for this time, which doubles with
# each failure in succession, and one that is cut off for the longest.
FIRST_BACKOFF_SECONDS = 0.25
MAX_BACKOFF_SECONDS = 2.0

# Interval between connection attempts to a target out of reach. It doubles.
FIRST_CHECK_SECONDS = 0.5
MAX_CHECK_SECONDS = 1.0

# Targets out of reach that are checked at once. The number doubles with each
# round in which all are reached, so that a healed link is not flooded.
FIRST_CHECKED_TARGETS = 2
MAX_CHECKED_TARGETS = 64

# A contact with a target proves for this time that the node's links work.
CONTACT_TTL_SECONDS = 1.0


class RelayOutcome(enum.IntEnum):
    """What a node that is asked to relay a connection responds.

    UNREACHABLE: it reaches other targets, but not this one
    CUT_OFF: it cannot tell, since it reaches no target
    UNKNOWN: it does not know the target
    RESTING: the target wants no requests from it for the time being
    BUSY: it relays as many connections as it may
    NO_RESPONSE: it did not respond
    """

    CONNECTED = 0
    UNREACHABLE = 1
    CUT_OFF = 2
    UNKNOWN = 3
    RESTING = 4
    BUSY = 5
    NO_RESPONSE = 6


_UNABLE = frozenset(
    {RelayOutcome.CUT_OFF, RelayOutcome.BUSY, RelayOutcome.NO_RESPONSE}
)


@dataclasses.dataclass(frozen=True, slots=True)
class _Backoff:
    """When a node may be asked again, clock seconds, and for how long not."""

    until: float
    seconds: float


@dataclasses.dataclass(slots=True)
class _LostTarget:
    """A target out of reach; times are clock seconds.

    :ivar is_reached_elsewhere: whether another node reaches it
    :ivar interval: seconds until the check after the next one
    """

    since: float
    check_at: float
    is_reached_elsewhere: bool
    interval: float = FIRST_CHECK_SECONDS


class Reachability:
    """The targets that this node reaches, and the nodes that help."""

    def __init__(
        self, clock: abc.Callable[[], float], rng: random.Random | None = None
    ) -> None:
        self._clock = clock
        self._rng = rng or random.Random()
        self._lost_by_id: dict[str, _LostTarget] = {}
        self._down_until: dict[str, float] = {}
        self._last_contact_at = float('-inf')
        self._last_contact_id = ''
        self._other_contact_at = float('-inf')
        # Nodes that have failed to help, and have not helped since.
        self._backoff_by_helper: dict[str, _Backoff] = {}
        # Nodes that have helped and have not failed to since, in that order.
        self._proven: dict[str, None] = {}
        self._batch = FIRST_CHECKED_TARGETS

    @property
    def lost_count(self) -> int:
        """Return the number of targets out of reach."""
        return len(self._lost_by_id)

    @property
    def is_cut_off(self) -> bool:
        """Whether this node seems to have lost its links to all targets."""
        since = [lost.since for lost in self._lost_by_id.values()]
        lost = sum(at > self._last_contact_at for at in since)
        return lost >= MIN_LOST_TARGETS

    def is_lost(self, target_id: str) -> bool:
        """Return whether a target is out of reach of this node alone."""
        lost = self._lost_by_id.get(target_id)
        if lost is not None and lost.is_reached_elsewhere:
            return True
        return self.is_cut_off

    def has_contact(self, besides: str) -> bool:
        """Return whether another target was in contact just now."""
        at = self._last_contact_at
        if self._last_contact_id == besides:
            at = self._other_contact_at
        return at > self._clock() - CONTACT_TTL_SECONDS

    def record_contact(self, target_id: str) -> None:
        """Record data from a target on a connection of this node's own."""
        if target_id != self._last_contact_id:
            self._other_contact_at = self._last_contact_at
            self._last_contact_id = target_id
        self._last_contact_at = self._clock()

    def record_reached(self, target_id: str) -> None:
        """Record a new connection of this node's own to a target."""
        self.record_contact(target_id)
        self._down_until.pop(target_id, None)
        lost = self._lost_by_id.pop(target_id, None)
        if lost is not None:
            log.info(
                'MLB-6215',
                target=target_id,
                seconds=round(self._clock() - lost.since, 3),
            )

    def record_lost(self, target_id: str, problem: str, helper: str) -> None:
        """Record a target that only another node reaches."""
        self._down_until.pop(target_id, None)
        self._add_lost(target_id, problem, helper)

    def record_unreached(self, target_id: str, problem: str) -> None:
        """Record a target that this node does not reach, like all others.

        No other node could tell whether it is down.
        """
        self._add_lost(target_id, problem, '')

    def _add_lost(self, target_id: str, problem: str, helper: str) -> None:
        known = self._lost_by_id.get(target_id)
        if known is not None:
            known.is_reached_elsewhere |= bool(helper)
            return
        now = self._clock()
        self._lost_by_id[target_id] = _LostTarget(
            now, now + FIRST_CHECK_SECONDS, bool(helper)
        )
        log.warning(
            'MLB-6214',
            target=target_id,
            problem=problem,
            peer=helper,
            lost=len(self._lost_by_id),
            is_cut_off=self.is_cut_off,
        )

    def record_down(self, target_id: str) -> None:
        """Record a target that a node with sound links does not reach."""
        self._down_until[target_id] = self._clock() + DOWN_TTL_SECONDS

    def is_down(self, target_id: str) -> bool:
        """Return whether a node with sound links did not reach a target."""
        return self._down_until.get(target_id, 0.0) > self._clock()

    def forget(self, target_id: str) -> None:
        """Forget a target that is gone or has restarted."""
        self._lost_by_id.pop(target_id, None)
        self._down_until.pop(target_id, None)

    def due_checks(self) -> list[str]:
        """Return the targets out of reach to connect to now."""
        now = self._clock()
        due = [
            target_id
            for target_id, lost in self._lost_by_id.items()
            if lost.check_at <= now
        ]
        checked = self._rng.sample(due, min(self._batch, len(due)))
        for target_id in checked:
            lost = self._lost_by_id[target_id]
            lost.check_at = now + lost.interval * self._rng.uniform(0.75, 1.25)
            lost.interval = min(2 * lost.interval, MAX_CHECK_SECONDS)
        return checked

    def record_checks(self, reached: int, checked: int) -> None:
        """Adapt the number of checks at once to the results of a round."""
        self._batch = FIRST_CHECKED_TARGETS
        if reached == checked:
            self._batch = min(2 * checked, MAX_CHECKED_TARGETS)
            self._batch = max(self._batch, FIRST_CHECKED_TARGETS)
            for lost in self._lost_by_id.values():
                lost.check_at = min(lost.check_at, self._clock())

    def has_helper(
        self,
        vms: abc.Iterable[str],
        cut_off: frozenset[str] = frozenset(),
    ) -> bool:
        """Return whether any of the nodes may help."""
        return any(
            vm not in cut_off and not self._is_backed_off(vm) for vm in vms
        )

    def helpers(
        self,
        centre_by_vm: abc.Mapping[str, str],
        data_centre: str,
        cut_off: frozenset[str] = frozenset(),
    ) -> list[str]:
        """Return the nodes that may help, in the order to ask.

        Nodes of the same data centre come first, unless most of them cannot
        help, since the few that can would then serve all the others. If most
        nodes cannot help, those come first that have.
        """
        able = [
            vm
            for vm in centre_by_vm
            if vm not in cut_off and not self._is_backed_off(vm)
        ]
        self._rng.shuffle(able)
        unable = sum(
            vm in cut_off or vm in self._backoff_by_helper
            for vm in centre_by_vm
        )
        if 2 * unable > len(centre_by_vm):
            return sorted(able, key=lambda vm: vm not in self._proven)
        local = [vm for vm in able if centre_by_vm[vm] == data_centre]
        all_local = list(centre_by_vm.values()).count(data_centre)
        if 2 * len(local) < all_local:
            return able
        return sorted(able, key=lambda vm: centre_by_vm[vm] != data_centre)

    def sample(
        self, targets: list[domain.Target], count: int
    ) -> list[domain.Target]:
        """Return some of the targets at random."""
        return self._rng.sample(targets, min(count, len(targets)))

    def _is_backed_off(self, vm: str) -> bool:
        backoff = self._backoff_by_helper.get(vm)
        return backoff is not None and backoff.until > self._clock()

    def record_helper(self, vm: str, outcome: RelayOutcome) -> None:
        """Record what a node responded that was asked to help."""
        if outcome == RelayOutcome.CONNECTED:
            self._backoff_by_helper.pop(vm, None)
            self._proven.pop(vm, None)
            self._proven[vm] = None
            return
        self._proven.pop(vm, None)
        if outcome not in _UNABLE:
            return
        now = self._clock()
        known = self._backoff_by_helper.get(vm)
        seconds = FIRST_BACKOFF_SECONDS
        if known is not None:
            seconds = min(2 * known.seconds, MAX_BACKOFF_SECONDS)
        if outcome == RelayOutcome.CUT_OFF:
            seconds = MAX_BACKOFF_SECONDS
        self._backoff_by_helper[vm] = _Backoff(now + seconds, seconds)
