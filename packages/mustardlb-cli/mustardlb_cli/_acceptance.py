"""Wait until a revision is accepted and active on all live VMs.

A stored revision is accepted once a majority of the listed VMs holds it at
the same time. It is active once it is accepted and all live VMs hold it; the
output counts these VMs under the key `in_force`.
"""

from collections import abc
import dataclasses
import itertools

import trio

from mustardlb import freshness
from mustardlb import vm_list
from mustardlb_cli import _exit
from mustardlb_cli import _nodes
from mustardlb_cli import _site

# The first rounds query the VMs without waiting, because most changes are
# active on all VMs by then.
QUICK_ROUNDS = 3

# Response timeout of a quick round. It is short because a round ends only
# when all VMs have responded, and one unresponsive VM delays the others.
QUICK_TIMEOUT_SECONDS = 0.5

# Longest time that a request of a later round waits at a node.
MAX_LONG_POLL_SECONDS = 1.0

# Delay after a round without any change.
ROUND_DELAY_SECONDS = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """The replication state of a revision.

    :ivar listed: number of VMs on the VM list
    :ivar holders: number of listed VMs that hold the revision, by the last
        round
    :ivar accepted: whether a majority of the listed VMs held the revision
        at the same time
    :ivar replies: last replies of the live VMs, without those that leave
    """

    revision: int
    listed: int
    holders: int
    accepted: bool
    replies: tuple[_nodes.Reply, ...]

    @property
    def lagging(self) -> list[_nodes.Reply]:
        """Return the replies of live VMs without the revision."""
        return [
            reply
            for reply in self.replies
            if not _holds_revision(reply, self.revision)
        ]

    @property
    def is_active(self) -> bool:
        """Whether the revision is accepted and held by all live VMs."""
        return self.accepted and bool(self.replies) and not self.lagging


async def wait_until_active(
    site: _site.Site, revision: int, timeout: float
) -> Progress:
    """Wait until a stored revision is active, at most `timeout` seconds.

    A VM loses its revision when it restarts, so one round does not prove
    that VMs hold a revision at the same time. VMs whose process holds the
    revision, with the same incarnation, in two consecutive rounds all held
    it between these rounds.
    """
    progress = Progress(revision, 0, 0, False, ())
    previous_holders: frozenset[tuple[str, int]] = frozenset()
    with trio.move_on_after(timeout) as scope:
        for round_number in itertools.count():
            if progress.is_active:
                break
            max_wait = (
                MAX_LONG_POLL_SECONDS if round_number >= QUICK_ROUNDS else 0.0
            )
            replies = await _query_vms(site, revision, scope, max_wait)
            if replies is None:
                await trio.sleep(ROUND_DELAY_SECONDS)
                continue
            holders = frozenset(
                (reply.vm.vm_id, reply.status.incarnation)
                for reply in replies
                if reply.status and _holds_revision(reply, revision)
            )
            common_holders = holders & previous_holders
            progress = _update_progress(
                revision, replies, common_holders, progress
            )
            if holders == previous_holders:
                await trio.sleep(ROUND_DELAY_SECONDS)
            previous_holders = holders
    return progress


async def _query_vms(
    site: _site.Site,
    revision: int,
    scope: trio.CancelScope,
    max_wait: float,
) -> list[_nodes.Reply] | None:
    """Return the replies of all listed VMs, None without a VM list."""
    remaining = max(0.0, scope.deadline - trio.current_time())
    try:
        vms = await _nodes.list_vms(site)
    except _exit.CommandError:
        return None
    wait_time = min(max_wait, remaining / 2)
    response_timeout = (
        _site.ADMIN_TIMEOUT_SECONDS if max_wait else QUICK_TIMEOUT_SECONDS
    )
    return await _nodes.fetch_status(
        site, vms, revision, wait_time, response_timeout
    )


def _update_progress(
    revision: int,
    replies: list[_nodes.Reply],
    common_holders: abc.Set[tuple[str, int]],
    previous: Progress,
) -> Progress:
    reported_accepted = any(
        reply.status and reply.status.accepted_revision >= revision
        for reply in replies
    )
    majority = len(replies) // 2 + 1
    return Progress(
        revision,
        len(replies),
        sum(_holds_revision(reply, revision) for reply in replies),
        previous.accepted
        or reported_accepted
        or len(common_holders) >= majority,
        tuple(
            reply
            for reply in replies
            if reply.vm.state is vm_list.VmState.LIVE
        ),
    )


def _holds_revision(reply: _nodes.Reply, revision: int) -> bool:
    return reply.status is not None and reply.status.revision >= revision


def describe(progress: Progress) -> dict[str, object]:
    """Return the progress as keys and values of a command's output."""
    live = len(progress.replies)
    lagging = progress.lagging
    shown: dict[str, object] = {
        'accepted': progress.accepted,
        'held_by': f'{progress.holders} of {progress.listed}',
        'in_force': f'{live - len(lagging)} of {live}',
    }
    if lagging:
        shown['lagging'] = [_describe_lagging(reply) for reply in lagging]
    shown['meaning'] = _meaning(progress)
    return shown


def _describe_lagging(reply: _nodes.Reply) -> dict[str, object]:
    status = reply.status
    return {
        'vm_id': reply.vm.vm_id,
        'address': f'{reply.vm.address}:{reply.vm.admin_port}',
        'data_centre': reply.vm.data_centre,
        'revision': status.revision if status else None,
        'reason': 'has an older revision' if status else reply.problem,
    }


def _meaning(progress: Progress) -> str:
    if not progress.listed:
        return (
            'stored, not accepted: no VM list was read, or it is empty, so '
            'it is not known whether any VM has the change'
        )
    if not progress.accepted:
        return (
            'stored, not accepted: no majority of the listed VMs was seen to '
            'hold it at the same time; a VM that lags or does not respond '
            'may serve by the older revision until it has the change'
        )
    if progress.lagging:
        return (
            'accepted: stored, and held by a majority of the listed VMs; a '
            'VM that lags or does not respond applies the change, or stops '
            f'serving, within {freshness.PROPAGATION_SECONDS:.0f} s of '
            'acceptance'
        )
    return 'accepted, and active on all live VMs'
