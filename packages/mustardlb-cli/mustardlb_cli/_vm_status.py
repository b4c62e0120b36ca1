"""The commands `status` and `top`, which show the state of the VMs."""

import trio

from mustardlb import stored_configuration
from mustardlb_cli import _nodes
from mustardlb_cli import _output
from mustardlb_cli import _site


async def show_status(open_site: _site.Open) -> _output.Result:
    """Return the status of each VM and the stored revision."""
    async with open_site() as site:
        vms = await _nodes.list_vms(site)
        replies = await _nodes.fetch_status(site, vms)
        with trio.move_on_after(site.wait) as scope:
            base = await stored_configuration.read_head(site.api)
    stored = None if scope.cancelled_caught else base.head.revision
    return {
        'stored_revision': stored,
        'answering': (
            f'{sum(reply.status is not None for reply in replies)} '
            f'of {len(replies)}'
        ),
        'vms': [_row(reply) for reply in replies],
    }


async def show_histograms(
    open_site: _site.Open, account: str
) -> _output.Result:
    """Return the histograms of all VMs, by account, class and VM.

    An empty account selects all accounts.
    """
    async with open_site() as site:
        vms = await _nodes.list_vms(site)
        replies = await _nodes.fetch_histograms(site, vms)
    rows = [
        {**histogram, 'vm_id': vm.vm_id}
        for vm, histograms, _ in replies
        for histogram in histograms
        if account in ('', histogram.get('account'))
    ]
    rows.sort(
        key=lambda row: [
            str(row.get(key))
            for key in ('account', 'traffic_class', 'measure', 'vm_id')
        ]
    )
    unresponsive = [
        {'vm_id': vm.vm_id, 'problem': problem}
        for vm, _, problem in replies
        if problem
    ]
    return {'histograms': rows, 'not_answering': unresponsive}


def _row(reply: _nodes.Reply) -> dict[str, object]:
    status = reply.status
    return {
        'vm_id': reply.vm.vm_id,
        'data_centre': reply.vm.data_centre,
        'address': f'{reply.vm.address}:{reply.vm.admin_port}',
        'state': str(reply.vm.state),
        'ready': status.ready if status else None,
        'revision': status.revision if status else None,
        'accepted': status.accepted_revision if status else None,
        'age': status.age if status else None,
        'version': (status.version or None) if status else None,
        'problem': reply.problem or None,
    }
