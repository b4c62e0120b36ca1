"""Functions of the node that token shares depend on, and constants."""

from collections import abc
import dataclasses
from typing import Protocol

from mustardlb import clock
from mustardlb import freshness
from mustardlb import steps
from mustardlbd import _owners
from mustardlbd import _token_bucket

# Tokens are granted only while the shared state is confirmed this recently.
MAX_AGE_SECONDS = freshness.MAX_AGE_SECONDS

# Time between the reports of an account with recent calls.
REPORT_INTERVAL_SECONDS = 0.25

# Time between reports while calls wait for tokens.
WAITING_REPORT_INTERVAL_SECONDS = 0.1

# Limits the reports of an account when many calls find too few tokens.
MIN_REPORT_INTERVAL_SECONDS = 0.05

# Time between the reports of an account without calls that has a share.
IDLE_REPORT_INTERVAL_SECONDS = 0.5

REPORT_TIMEOUT_SECONDS = 0.3
DEPUTY_TIMEOUT_SECONDS = 0.2

# The lease covers the part of a share above the standing one. The holder
# counts it from the time at which it sent its report.
LEASE_SECONDS = 1.0

# A coordinator blocks extensions for holders that have not reported for this
# time.
BLOCK_EXTENSIONS_AFTER_SECONDS = 0.7

# Highest rate of the coordinator's clock relative to the holder's.
CLOCK_DRIFT_RATIO = 1.02

# The part of a share that stays in force after the lease has ended.
STANDING_RATIO = 0.0

# Sends a request to a peer: VM, service, payload, timeout in seconds.
Call = abc.Callable[[str, str, bytes, float], abc.Awaitable[bytes]]


class Sender(Protocol):
    """The node that sent a request."""

    @property
    def vm_id(self) -> str:
        """The VM of the node."""

    @property
    def incarnation(self) -> int:
        """The number of its process."""


@dataclasses.dataclass(frozen=True, slots=True)
class NodeContext:
    """Functions of the node that holders and coordinators of shares use.

    :ivar vm_id: this VM
    :ivar incarnation: number of this process
    :ivar now: returns the seconds since boot
    :ivar staleness: returns the seconds since the state was confirmed
    :ivar check_fresh: raises NODE_NOT_CURRENT if that time is too long
    :ivar available_vms: returns the VMs that respond and are not leaving
    :ivar owners: returns the owner table in force
    :ivar has_propagated: returns whether every VM follows a version of
        that table or has stopped
    :ivar call: sends a request to a peer and returns its response
    :ivar limit_of: returns the rate and burst of an account's contract
    :ivar is_first_process: returns whether no earlier process ran under
        this vm_id; otherwise this process does not coordinate slices whose
        owner it already was when it started
    """

    vm_id: str
    incarnation: int
    now: clock.Clock
    staleness: abc.Callable[[], float]
    check_fresh: abc.Callable[[steps.Step], None]
    available_vms: abc.Callable[[], abc.Collection[str]]
    owners: abc.Callable[[], _owners.Owners]
    has_propagated: abc.Callable[[int], bool]
    call: Call
    limit_of: abc.Callable[[str], _token_bucket.Limit]
    is_first_process: abc.Callable[[], bool]


def slice_key(account: str) -> str:
    """Return the key of an account in the owner table."""
    return f'account/{account}'
