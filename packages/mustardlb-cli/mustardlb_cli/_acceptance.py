"""Waiting until a revision is accepted and in force on all live VMs."""

from collections import abc
import dataclasses
import itertools

import trio

from mustardlb import freshness
from mustardlb import vm_list
from mustardlb_cli import _exit
from mustardlb_cli import _nodes
from mustardlb_cli import _site

# Rounds that ask for what is; most changes are everywhere by then.
QUICK_ROUNDS = 3

# How long a VM may take to answer in a quick round, seconds: one that does
# not answer must not keep back what the others say.
QUICK_PATIENCE = 0.5

# Longest time that a node is asked to wait in a later round, seconds.
ROUND_WAIT = 1.0

# Pause after a round that brought nothing new, seconds.
ROUND_PAUSE = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """How far a revision has come.

    :ivar holders: how many of the listed VMs last said that they hold it
    :ivar accepted: stored, and held by a majority of the listed VMs
    :ivar replies: the last answers of the VMs that are not leaving
    """

    revision: int
    listed: int
    holders: int
    accepted: bool
    replies: tuple[_nodes.Reply, ...]

    @property
    def lagging(self) -> list[_nodes.Reply]:
        """The live VMs that did not say that they have the revision."""
        return [one for one in self.replies if not _has(one, self.revision)]

    @property
    def in_force(self) -> bool:
        """Whether all live VMs have the revision, and it is accepted."""
        return self.accepted and bool(self.replies) and not self.lagging


async def wait(site: _site.Site, revision: int, limit: float) -> Progress:
    """Wait for a stored revision to be in force, at most `limit` seconds.

    A VM that restarts loses what it held, so VMs are asked twice: those
    whose same process has the revision in two rounds on end held it
    together at the moment between the rounds.
    """
    progress = Progress(revision, 0, 0, False, ())
    holders_before: frozenset[tuple[str, int]] = frozenset()
    with trio.move_on_after(limit) as scope:
        for number in itertools.count():
            if progress.in_force:
                break
            longest = ROUND_WAIT if number >= QUICK_ROUNDS else 0.0
            replies = await _round(site, revision, scope, longest)
            if replies is None:
                await trio.sleep(ROUND_PAUSE)
                continue
            holders = frozenset(
                (one.vm.vm_id, one.status.incarnation)
                for one in replies
                if one.status and _has(one, revision)
            )
            together = holders & holders_before
            progress = _progress(revision, replies, together, progress)
            if holders == holders_before:
                await trio.sleep(ROUND_PAUSE)
            holders_before = holders
    return progress


async def _round(
    site: _site.Site,
    revision: int,
    scope: trio.CancelScope,
    longest: float,
) -> list[_nodes.Reply] | None:
    """Ask all listed VMs; None where the VM list does not answer."""
    left = max(0.0, scope.deadline - trio.current_time())
    try:
        vms = await _nodes.list_vms(site)
    except _exit.CommandError:
        return None
    wait_time = min(longest, left / 2)
    patience = _site.ADMIN_TIMEOUT if longest else QUICK_PATIENCE
    return await _nodes.ask_status(site, vms, revision, wait_time, patience)


def _progress(
    revision: int,
    replies: list[_nodes.Reply],
    together: abc.Set[tuple[str, int]],
    before: Progress,
) -> Progress:
    known = any(
        one.status and one.status.accepted_revision >= revision
        for one in replies
    )
    majority = len(replies) // 2 + 1
    return Progress(
        revision,
        len(replies),
        sum(_has(one, revision) for one in replies),
        before.accepted or known or len(together) >= majority,
        tuple(one for one in replies if one.vm.state is vm_list.VmState.LIVE),
    )


def _has(reply: _nodes.Reply, revision: int) -> bool:
    return reply.status is not None and reply.status.revision >= revision


def describe(progress: Progress) -> dict[str, object]:
    """Return what a command shows of the progress."""
    live = len(progress.replies)
    lagging = progress.lagging
    shown: dict[str, object] = {
        'accepted': progress.accepted,
        'held_by': f'{progress.holders} of {progress.listed}',
        'in_force': f'{live - len(lagging)} of {live}',
    }
    if lagging:
        shown['lagging'] = [_describe_lagging(one) for one in lagging]
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
            'stored, not accepted: the VM list gave no VMs, so whether any '
            'has the change is not known'
        )
    if not progress.accepted:
        return (
            'stored, not accepted: no majority of the listed VMs was seen to '
            'hold it at one moment; a VM that lags or does not answer may '
            'serve by the older revision until it does'
        )
    if progress.lagging:
        return (
            'accepted: stored, and held by a majority of the listed VMs; a '
            'VM that lags or does not answer takes the change, or stops '
            f'serving, within {freshness.PROPAGATION_SECONDS:.0f} s of '
            'acceptance'
        )
    return 'accepted, and in force on all live VMs'
