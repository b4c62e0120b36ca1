"""Each promise has a script that breaks the naive way of keeping it."""

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

# A node reaches the API alone, where its reads lag.
LAGGING = [
    APPLY,
    ('wait', 2),
    ('part', {'vm-0'}, False),
    ('lag', 'vm-0'),
    APPLY,
    ('wait', 8),
]
# Two nodes that are cut off together reach each other.
PAIR = [('part', {'vm-0', 'vm-1'}, True), APPLY, ('wait', 8)]
# Processes that held an accepted version forget it and meet the others.
FORGOTTEN = [
    APPLY,
    ('wait', 2),
    ('part', {'vm-3', 'vm-4'}, True),
    ('wait', 1),
    APPLY,
    ('wait', 6),
    API_DOWN,
    ('mend',),
    ('part', {'vm-2'}, True),
    ('part', {'vm-3', 'vm-4'}, True),
    ('restart', 'vm-0'),
    ('restart', 'vm-1'),
    ('mend',),
    ('part', {'vm-2'}, True),
    ('wait', 10),
]
# A paused node wakes after a change.
PAUSED = [
    ('pause', 'vm-0'),
    APPLY,
    ('wait', 8),
    ('resume', 'vm-0'),
    ('wait', 1),
]
# Reads at a node begin to lag.
BEHIND = [
    APPLY,
    ('wait', 2),
    ('withdraw', 'keys/midland'),
    ('wait', 2),
    APPLY,
    ('wait', 2),
    ('lag', 'vm-0'),
    ('wait', 4),
]
# An owner is cut off as its slices are given away.
MOVED = [
    ('leave', 'vm-0'),
    ('wait', 2.5),
    ('part', {'vm-0'}, True),
    ('wait', 10),
]

SCRIPTS = [LAGGING, PAIR, FORGOTTEN, PAUSED, BEHIND, MOVED]


def evidence_by_read(patch):
    async def probe(self, index):
        asked = self._now()
        found = await self._api.get(_documents.TRACKED[index])
        await self._adopt(index, found)
        self._freshness.confirm(index, asked, _freshness.Evidence.API)

    patch.setattr(_api_source.ApiSource, 'probe', probe)


def evidence_dated_by_answer(patch):
    confirm = _freshness.Freshness.confirm

    def confirm_now(self, index, as_of, evidence):
        if as_of > -math.inf:
            as_of = self._now()
        confirm(self, index, as_of, evidence)

    patch.setattr(_freshness.Freshness, 'confirm', confirm_now)


def any_peer_is_evidence(patch):
    poll = _replication.Replicator._poll

    async def trust(self, parent, hold):
        asked = self._components.now()
        answered = await poll(self, parent, hold)
        if answered:
            self._components.freshness.confirm_all(
                asked, _freshness.Evidence.PEER
            )
        return answered

    patch.setattr(_replication.Replicator, '_poll', trust)


def attest_before_current(patch):
    patch.setattr(_freshness.Freshness, 'is_current', lambda self: True)


def evidence_from_before_the_start(patch):
    patch.setattr(
        _freshness.Freshness,
        'is_current',
        lambda self: min(self._confirmed_at) > -math.inf,
    )


def adopt_whatever_is_read(patch):
    adopt = _documents.Documents.adopt

    async def adopt_any(self, index, found, fetch_part):
        if 0 < found.version < self._tracked[index].version:
            self._tracked[index] = _documents.TrackedObject()
            self._head = configuration.Head()
        await adopt(self, index, found, fetch_part)

    evidence_by_read(patch)
    patch.setattr(_documents.Documents, 'adopt', adopt_any)


def act_without_settling(patch):
    patch.setattr(
        _acceptance.Acceptance,
        'has_propagated',
        lambda self, index, version: True,
    )


def pause_counts_as_no_time(patch):
    make = _shared_state.SharedState.__init__

    def make_blind(self, identity, platform, *rest):
        network = platform.api._network

        def now():
            return platform.now() - network.slept(identity.vm_id)

        make(self, identity, dataclasses.replace(platform, now=now), *rest)

    patch.setattr(_shared_state.SharedState, '__init__', make_blind)


def play(script):
    async def scenario(fleet):
        await state_script.play_all(fleet, script)

    fleets.run(scenario, state_script.SIZE)


@pytest.mark.parametrize('script', SCRIPTS)
def test_scripts_hold(script):
    play(script)


@pytest.mark.parametrize(
    ('naive', 'script'),
    [
        (evidence_by_read, LAGGING),
        (evidence_dated_by_answer, PAIR),
        (any_peer_is_evidence, PAIR),
        (attest_before_current, FORGOTTEN),
        (evidence_from_before_the_start, FORGOTTEN),
        (adopt_whatever_is_read, BEHIND),
        (act_without_settling, MOVED),
        (pause_counts_as_no_time, PAUSED),
    ],
)
def test_naive_way_is_caught(naive, script, monkeypatch):
    naive(monkeypatch)
    with pytest.RaisesGroup(
        AssertionError, flatten_subgroups=True, allow_unwrapped=True
    ):
        play(script)
