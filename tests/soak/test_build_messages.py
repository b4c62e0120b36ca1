"""Messages that nodes of an older build and of the present one exchange.

Each message is encoded by the present code, decoded and encoded again by the
older one, and decoded by the present one.
"""

import dataclasses
import os
import subprocess
import sys

import builders
import pytest
import soak_builds
import soak_nodes

from mustardlb_gateway import _centres
from mustardlb_gateway import _crashes
from mustardlb_gateway import _message_codec
from mustardlb_gateway import _messages
from mustardlb_gateway import _peer_channel
from mustardlb_gateway import _target_limits
from mustardlb_gateway import ports

PASS_ON = """
import sys
from mustardlb_gateway import _message_codec
for line in sys.stdin:
    message = _message_codec.decode(bytes.fromhex(line))
    print(_message_codec.encode(message).hex())
"""

ADAPTER = builders.adapter('a1')
EVIDENCE = _crashes.Evidence(
    {('t1', 99): _crashes.CrashReport('t1', 99, 1.5, {'p1': 1.25})},
    {'p2': 2.5},
)
LIMITS = {('t1', 99): _target_limits.LimitNotice('t1', 99, 1.7, 4.5)}
HOLDING = _centres.Holding('t1', 4, 99, True, {ADAPTER: 2}, -1)

DIGEST = _messages.Digest(
    '10.0.0.1',
    7600,
    'a',
    10.0,
    True,
    False,
    {'config': 7},
    {'acme': 12.5},
    (_messages.TargetUsage('t1', 2, 300, (ADAPTER,)),),
    (HOLDING,),
    crash_evidence=EVIDENCE,
    target_limits=LIMITS,
)
CHANGE = _centres.CentreDelta(
    'a',
    2,
    True,
    (_centres.Member(_centres.Vm('vm2', '10.0.0.2', 7600, 'a', 5.0), 9),),
    ('vm3',),
    {'acme': 12.5},
    {'t1': _centres.Load(2, 300), 't2': _centres.NO_LOAD},
    {'t1': frozenset({ADAPTER})},
    {('vm2', 't1'): HOLDING},
    (('vm2', 't2'),),
)
UPDATE = _messages.Update(
    True, {'config': 7}, (CHANGE,), {'acme': -1.5}, EVIDENCE, LIMITS
)
SNAPSHOT = _messages.Snapshot(
    'config', 9, (ports.StoredObject('main', 8, {'a': [1]}),), ('main',)
)

# What all builds know.
BODIES = [
    DIGEST,
    UPDATE,
    SNAPSHOT,
    _peer_channel.PROBE,
    _messages.SnapshotRequest('config', 7),
    _messages.Want('t1', ADAPTER, 3, 1.5, -0.5),
    _messages.Wanted(True),
    _messages.Reserve('t1', ADAPTER, 3, 9190, 0.5, True),
    _messages.Reserved(True, True, True, 0.5),
    _messages.Charge('acme', 2.5, 'a'),
    _messages.Charged(True, 0.5, 7.0),
    _messages.Refund(_messages.Charge('acme', 2.5, 'a')),
    _messages.Permitted(0.25),
    _messages.Trial('p1'),
    _messages.Tried(True),
    _messages.ToldOrigins(),
    _messages.TellOrigins({_messages.Origin('llm', 'v1'): (7, 2**64 - 1)}),
    _messages.FindOrigin(7, ('llm', 'old')),
    _messages.Subscription(True),
]

# As a node of the present build sends them, and what an older one reads.
EXTENDED = [
    (
        dataclasses.replace(DIGEST, epoch=5, is_cut_off=True),
        dataclasses.replace(DIGEST),
    ),
    (dataclasses.replace(UPDATE, epoch=5), UPDATE),
    (dataclasses.replace(SNAPSHOT, epoch=5), SNAPSHOT),
]


def pass_on(root, bodies):
    """Return the bodies after the older build has passed them on."""
    lines = [
        _message_codec.encode(_messages.Message('vm1', 3, 5, body)).hex()
        for body in bodies
    ]
    paths = os.pathsep.join(str(root / path) for path in soak_nodes.PATHS)
    done = subprocess.run(
        [sys.executable, '-c', PASS_ON],
        input='\n'.join(lines),
        env={'PYTHONPATH': paths},
        check=True,
        capture_output=True,
        text=True,
    )
    messages = [
        _message_codec.decode(bytes.fromhex(line))
        for line in done.stdout.splitlines()
    ]
    assert {(m.vm, m.incarnation, m.request) for m in messages} == {
        ('vm1', 3, 5)
    }
    return [message.body for message in messages]


@pytest.mark.parametrize('commit', soak_builds.OLDER_BUILDS)
def test_builds_read_each_others_messages(commit, tmp_path):
    """Guards against counters and views that another build misreads."""
    root = soak_builds.unpack_build(commit, tmp_path)
    assert pass_on(root, BODIES) == BODIES
    passed = pass_on(root, [sent for sent, _ in EXTENDED])
    for body, (_, known) in zip(passed, EXTENDED, strict=True):
        if isinstance(body, _messages.Digest):
            # One of the older builds knows this field already.
            body = dataclasses.replace(body, is_cut_off=False)
        assert body == known
