"""What the shares need of the rest of the node, and their constants."""

from collections import abc
import dataclasses
from typing import Protocol

from mustardlb import clock
from mustardlb import freshness
from mustardlb import steps
from mustardlbd import _bucket
from mustardlbd import _owners

# Oldest knowledge with which a share is spent, seconds.
MAX_AGE = freshness.MAX_AGE_SECONDS

# How often an active holder reports, seconds.
REPORT_INTERVAL = 0.25

# How often a holder reports while calls wait, seconds.
SHORT_INTERVAL = 0.1

# Least time between two reports of one account, seconds.
REPORT_GAP = 0.05

# How often a holder without calls reports what it still holds, seconds.
IDLE_INTERVAL = 0.5

# How long a report to the keeper, or a call to a deputy, may take, seconds.
REPORT_TIMEOUT = 0.3
DEPUTY_TIMEOUT = 0.2

# How long the part of a share beyond the standing one is in force, counted
# by the holder from the sending of its report, seconds.
LEASE = 1.0

# A holder that was silent this long is barred from extensions, seconds.
BAR_AFTER = 0.7

# The keeper's clock may run faster than the holder's by this factor.
CLOCK_DRIFT = 1.02

# The part of a share that is in force without contact to anyone.
STANDING_PART = 0.0

# Sends one request to a peer: VM, service, payload, timeout in seconds.
Call = abc.Callable[[str, str, bytes, float], abc.Awaitable[bytes]]


class Sender(Protocol):
    """The node that sent a request."""

    @property
    def vm_id(self) -> str:
        """Its VM."""

    @property
    def incarnation(self) -> int:
        """Number of its process."""


@dataclasses.dataclass(frozen=True, slots=True)
class Ports:
    """The functions of the node by which shares are held and kept.

    :ivar vm_id: this VM
    :ivar incarnation: number of this process
    :ivar now: boot-time seconds
    :ivar age: seconds since the moment that knowledge is as of
    :ivar check_fresh: raises where knowledge is too old
    :ivar vms: the VMs that stay and that answer
    :ivar owners: the table of owners in force
    :ivar settled: whether a version of that table binds every VM
    :ivar call: one request to a peer
    :ivar contract: what the contract of an account grants
    :ivar first_process: whether no earlier process ran under this vm_id;
        any other keeps no slice that it found itself the owner of
    """

    vm_id: str
    incarnation: int
    now: clock.Clock
    age: abc.Callable[[], float]
    check_fresh: abc.Callable[[steps.Step], None]
    vms: abc.Callable[[], abc.Collection[str]]
    owners: abc.Callable[[], _owners.Owners]
    settled: abc.Callable[[int], bool]
    call: Call
    contract: abc.Callable[[str], _bucket.Limit]
    first_process: abc.Callable[[], bool]


def slice_key(account: str) -> str:
    """Return the key of an account in the table of owners."""
    return f'account/{account}'
