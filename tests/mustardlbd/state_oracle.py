"""Invariants of the shared state, checked against the actual state.

The oracle reads the state of all running nodes and of the object API directly,
whereas each node has to rely on the messages that it receives.
"""

import itertools

import trio

from mustardlb import configuration
from mustardlbd import _freshness

CHECK_INTERVAL_SECONDS = 0.1

CHECKED_SLICES = range(0, 256, 32)

# Largest delay between a change and the check that observes it.
TOLERANCE_SECONDS = 2 * CHECK_INTERVAL_SECONDS


class Oracle:
    """Checks the invariants of a fleet."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._values_by_revision = {0: {}}
        self._stored = 0
        self._accepted = []
        self._newest_by_process = {}

    async def run(self):
        while True:
            self.check()
            await trio.sleep(CHECK_INTERVAL_SECONDS)

    def check(self):
        """Check every invariant now."""
        self._record_stored()
        self._record_accepted()
        for node in list(self._fleet.nodes_by_id.values()):
            self._check_monotonic(node)
            self._check_values(node)
            if not self._fleet.network.is_paused(node.vm_id):
                self._check_admission(node)
            self._check_accepted_claims(node)
        self._check_owners()

    def accepted_version(self, before=None):
        """Return the newest head version accepted before a moment."""
        before = trio.current_time() if before is None else before
        versions = [
            version for version, moment in self._accepted if moment <= before
        ]
        return max(versions, default=0)

    def _record_accepted(self):
        stored = self._fleet.api.peek(configuration.HEAD_NAME).version
        listed = self._fleet.vms.vms_by_id
        held = [
            min(held_version(self._fleet.nodes_by_id[vm_id]), stored)
            if vm_id in self._fleet.nodes_by_id
            else 0
            for vm_id in listed
        ]
        # The highest version that more than half of the VMs hold.
        version = sorted(held)[(len(held) - 1) // 2]
        if version > self.accepted_version():
            self._accepted.append((version, trio.current_time()))

    def _check_monotonic(self, node):
        process = (node.vm_id, node.state.status().incarnation)
        seen = (held_version(node), node.state.snapshot().revision)
        before = self._newest_by_process.get(process, (0, 0))
        assert seen[0] >= before[0], f'{process} went back to {seen}'
        assert seen[1] >= before[1], f'{process} went back to {seen}'
        self._newest_by_process[process] = seen

    def _check_values(self, node):
        """Check the active values against the stored head."""
        snapshot = node.state.snapshot()
        expected = self._values_by_revision.get(snapshot.revision, {})
        invalid = {one.name for one in snapshot.invalid}
        assert invalid == {
            name
            for name, value in expected.items()
            if value.startswith(b'invalid')
        }, (node.vm_id, snapshot, expected)
        for name, value in expected.items():
            if name not in invalid:
                assert snapshot.values.get(name) == value, (node, snapshot)
        assert snapshot.values.keys() <= expected.keys(), (node, snapshot)

    def _record_stored(self):
        """Record the values of every head stored since the last check."""
        newest = self._stored
        for back in itertools.count():
            found = self._fleet.api.peek(configuration.HEAD_NAME, back)
            if found.version <= self._stored:
                break
            newest = max(newest, found.version)
            head = configuration.decode_head(found.value)
            self._values_by_revision[head.revision] = {
                name: self._value(entry)
                for name, entry in head.entries.items()
            }
        self._stored = newest

    def _value(self, entry):
        return b''.join(
            self._fleet.api.peek(configuration.PART_PREFIX + digest).value
            for digest in entry.parts
        )

    def _check_admission(self, node):
        """Check that no node admits requests with outdated state."""
        needed = self.accepted_version(
            trio.current_time()
            - _freshness.MAX_AGE_SECONDS
            - TOLERANCE_SECONDS
        )
        assert not node.admits() or held_version(node) >= needed, (
            f'{node.vm_id} admits with {held_version(node)} although '
            f'{needed} was accepted: {node.state.status()}'
        )

    def _check_owners(self):
        """Check that no two nodes act for a slice."""
        for number in CHECKED_SLICES:
            acting = [
                node.vm_id
                for node in self._fleet.nodes_by_id.values()
                if not self._fleet.network.is_paused(node.vm_id)
                and node.state.may_act('accounts', number)
            ]
            assert len(acting) < 2, (number, acting)

    def _check_accepted_claims(self, node):
        """Check that no node reports a version as accepted that is not."""
        reported = node.state.status().accepted_versions[
            configuration.HEAD_NAME
        ]
        actual = self.accepted_version()
        assert reported <= actual, (node.vm_id, reported, self._accepted)


def held_version(node):
    return node.state.status().versions[configuration.HEAD_NAME]
