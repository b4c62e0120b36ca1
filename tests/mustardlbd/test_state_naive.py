"""Scripts under which faulty implementations violate the invariants.

They show that the oracle and the scripts detect the faults they are meant for.
"""

import dataclasses
import math

import fleet as fleets
import pytest
import state_script

from mustardlb import configuration
from mustardlbd import _acceptance
from mustardlbd import _api_source
from mustardlbd import _documents
from mustardlbd import _freshness
from mustardlbd import _replication
from mustardlbd import _shared_state

APPLY = ('apply', 'keys/midland', b'a')
API_DOWN = ('api_down',)

# A node reaches only the object API, and its reads lag.
LAGGING_READS = [
    APPLY,
    ('wait', 2),
    ('partition', {'vm-0'}, False),
    ('lag', 'vm-0'),
    APPLY,
    ('wait', 8),
]
# Two nodes are isolated together and reach only each other.
ISOLATED_PAIR = [('partition', {'vm-0', 'vm-1'}, True), APPLY, ('wait', 8)]
# Processes that held an accepted version lose it in a restart, then connect to
# nodes that never had it.
LOST_BY_RESTART = [
    APPLY,
    ('wait', 2),
    ('partition', {'vm-3', 'vm-4'}, True),
    ('wait', 1),
    APPLY,
    ('wait', 6),
    API_DOWN,
    ('mend',),
    ('partition', {'vm-2'}, True),
    ('partition', {'vm-3', 'vm-4'}, True),
    ('restart', 'vm-0'),
    ('restart', 'vm-1'),
    ('mend',),
    ('partition', {'vm-2'}, True),
    ('wait', 10),
]
# A paused node resumes after a change.
PAUSED_NODE = [
    ('pause', 'vm-0'),
    APPLY,
    ('wait', 8),
    ('resume', 'vm-0'),
    ('wait', 1),
]
# The reads of an up-to-date node start to lag.
OLDER_READS = [
    APPLY,
    ('wait', 2),
    ('withdraw', 'keys/midland'),
    ('wait', 2),
    APPLY,
    ('wait', 2),
    ('lag', 'vm-0'),
    ('wait', 4),
]
# An owner is isolated while its slices are reassigned.
REASSIGNED_SLICES = [
    ('leave', 'vm-0'),
    ('wait', 2.5),
    ('partition', {'vm-0'}, True),
    ('wait', 10),
]

SCRIPTS = [
    LAGGING_READS,
    ISOLATED_PAIR,
    LOST_BY_RESTART,
    PAUSED_NODE,
    OLDER_READS,
    REASSIGNED_SLICES,
]


def confirm_by_read(patch):
    async def probe(self, index):
        sent_at = self._now()
        found = await self._api.get(_documents.TRACKED[index])
        await self._adopt(index, found)
        self._freshness.confirm(index, sent_at, _freshness.Evidence.API)

    patch.setattr(_api_source.ApiSource, 'probe', probe)


def confirm_at_response_time(patch):
    confirm = _freshness.Freshness.confirm

    def confirm_now(self, index, confirmed_at, evidence):
        if confirmed_at > -math.inf:
            confirmed_at = self._now()
        confirm(self, index, confirmed_at, evidence)

    patch.setattr(_freshness.Freshness, 'confirm', confirm_now)


def confirm_by_any_peer(patch):
    poll = _replication.Replicator._poll

    async def poll_and_confirm(self, parent, options):
        sent_at = self._components.now()
        succeeded = await poll(self, parent, options)
        if succeeded:
            self._components.freshness.confirm_all(
                sent_at, _freshness.Evidence.PEER
            )
        return succeeded

    patch.setattr(_replication.Replicator, '_poll', poll_and_confirm)


def attest_before_current(patch):
    patch.setattr(_freshness.Freshness, 'was_confirmed', lambda self: True)


def attest_with_earlier_evidence(patch):
    patch.setattr(
        _freshness.Freshness,
        'was_confirmed',
        lambda self: min(self._confirmed_at) > -math.inf,
    )


def adopt_older_versions(patch):
    adopt = _documents.Documents.adopt

    async def adopt_any(self, index, found, fetch_part):
        if 0 < found.version < self._tracked[index].version:
            self._tracked[index] = _documents.TrackedObject()
            self._head = configuration.Head()
        await adopt(self, index, found, fetch_part)

    confirm_by_read(patch)
    patch.setattr(_documents.Documents, 'adopt', adopt_any)


def act_without_propagation(patch):
    patch.setattr(
        _acceptance.Acceptance,
        'has_propagated',
        lambda self, index, version: True,
    )


def stop_clock_while_paused(patch):
    init = _shared_state.SharedState.__init__

    def init_with_stopping_clock(self, identity, platform, *rest):
        network = platform.api._network

        def now():
            return platform.now() - network.paused_seconds(identity.vm_id)

        init(self, identity, dataclasses.replace(platform, now=now), *rest)

    patch.setattr(
        _shared_state.SharedState, '__init__', init_with_stopping_clock
    )


def play(script):
    async def scenario(fleet):
        await state_script.play_all(fleet, script)

    fleets.run(scenario, state_script.SIZE)


@pytest.mark.parametrize('script', SCRIPTS)
def test_scripts_keep_invariants(script):
    play(script)


@pytest.mark.parametrize(
    ('naive', 'script'),
    [
        (confirm_by_read, LAGGING_READS),
        (confirm_at_response_time, ISOLATED_PAIR),
        (confirm_by_any_peer, ISOLATED_PAIR),
        (attest_before_current, LOST_BY_RESTART),
        (attest_with_earlier_evidence, LOST_BY_RESTART),
        (adopt_older_versions, OLDER_READS),
        (act_without_propagation, REASSIGNED_SLICES),
        (stop_clock_while_paused, PAUSED_NODE),
    ],
)
def test_faulty_implementation_is_detected(naive, script, monkeypatch):
    naive(monkeypatch)
    with pytest.RaisesGroup(
        AssertionError, flatten_subgroups=True, allow_unwrapped=True
    ):
        play(script)
