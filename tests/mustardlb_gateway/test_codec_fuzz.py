"""Messages of other nodes that are damaged, odd or of an unknown kind."""

import dataclasses
import random

import builders
import hypothesis
from hypothesis import strategies
import pytest
import trio

from mustardlb import frames
from mustardlb import schema
from mustardlb_gateway import _centres
from mustardlb_gateway import _crashes
from mustardlb_gateway import _message_codec
from mustardlb_gateway import _messages
from mustardlb_gateway import _peer_channel
from mustardlb_gateway import _reachability
from mustardlb_gateway import _sockets
from mustardlb_gateway import _target_limits
from mustardlb_gateway import ports

NAN = float('nan')

EVIDENCE = _crashes.Evidence(
    {('t1', 99): _crashes.CrashReport('t1', 99, 1.5, {'p1': 1.25, 'p2': 1.0})},
    {'p2': 2.5, _crashes.ANY_REQUEST: 3.5},
)

LIMITS = {
    ('t1', 99): _target_limits.LimitNotice('t1', 99, 1.7, 4.5),
    ('t2', 98): _target_limits.LimitNotice('t2', 98, None, 5.5),
}

ORIGIN = _messages.Origin('llm', 'v1')

DIGEST = _messages.Digest(
    host='10.0.0.1',
    port=7600,
    data_centre='a',
    capacity=10.0,
    is_watching=True,
    is_leaving=False,
    revisions={'config': 7},
    admitted={'acme': 12.5},
    usages=(
        _messages.TargetUsage(
            't1',
            2,
            300,
            (builders.adapter('a1'),),
            418,
            _centres.Window(4, 2**63),
        ),
    ),
    holdings=(
        _centres.Holding('t1', 4, 99, True, {builders.adapter('a1'): 2}, -1),
    ),
    crash_evidence=EVIDENCE,
    target_limits=LIMITS,
    is_cut_off=True,
)

CHANGE = _centres.CentreDelta(
    data_centre='a',
    lost_count=2,
    is_watching=True,
    members=(
        _centres.Member(_centres.Vm('vm2', '10.0.0.2', 7600, 'a', 5.0), 9),
        _centres.Member(
            _centres.Vm('vm4', '10.0.0.4', 7600, 'a', 5.0), 8, True, True
        ),
    ),
    removed_members=('vm3',),
    admitted={'acme': 12.5},
    loads={
        't1': _centres.Load(2, 300, 418, _centres.Window(65_535, 9)),
        't2': _centres.NO_LOAD,
        't3': _centres.Load(0, 0, 100),
    },
    adapters_in_use={
        't1': frozenset({builders.adapter('a1')}),
        't2': frozenset(),
    },
    holdings={('vm2', 't1'): DIGEST.holdings[0]},
    removed_holdings=(('vm2', 't2'),),
)

BODIES = (
    DIGEST,
    _messages.Snapshot(
        'config', 9, (ports.StoredObject('m', 8, {'a': [1]}),), ('m',)
    ),
    _messages.Update(
        True,
        {'config': 7},
        (CHANGE,),
        {'acme': -1.5},
        EVIDENCE,
        LIMITS,
    ),
    _messages.Reserve('t1', builders.adapter('a1'), 3, 9190, 0.5, True),
    _messages.TellOrigins({ORIGIN: (7, 2**64 - 1)}),
    _messages.RelayResult(_reachability.RelayOutcome.UNKNOWN),
)


def raw(body):
    """Return the bytes of a message before they are packed."""
    data = _message_codec.encode(_messages.Message('vm1', 2, 5, body))
    message = schema.load('gateway').PeerMessage.from_bytes_packed(data)
    return message.as_builder().to_bytes()


def packed(data):
    """Return the packed form of a message, in which each word has a tag."""
    words = [data[i : i + 8].ljust(8, b'\0') for i in range(0, len(data), 8)]
    return b''.join(
        bytes([sum(bool(byte) << i for i, byte in enumerate(word))])
        + bytes(byte for byte in word if byte)
        # After a tag of all or none, a count of words of that sort.
        + (b'\0' if all(word) or not any(word) else b'')
        for word in words
    )


def decode(data):
    """Decode and encode a message; only ValueError may be raised."""
    try:
        message = _message_codec.decode(data)
    except ValueError:
        return None
    _message_codec.encode(message)
    return message


@hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
@hypothesis.given(strategies.binary(max_size=200))
def test_arbitrary_bytes_raise_only_valueerror(data):
    """Guards against bytes of another program that end the process."""
    decode(data)
    decode(packed(data))


@pytest.mark.parametrize('body', BODIES, ids=lambda each: type(each).__name__)
def test_damaged_message_raises_only_valueerror(body):
    """Guards against a message of another build that ends the process."""
    original = raw(body)
    assert decode(packed(original)) is not None
    rng = random.Random(5)
    for _ in range(1500):
        data = bytearray(original)
        for _ in range(rng.choice((1, 1, 2, 5))):
            data[rng.randrange(len(data))] = rng.choice(
                (0, 1, 127, 128, 255, rng.randrange(256))
            )
        decode(packed(bytes(data)))


def test_message_of_an_unknown_kind_raises_an_error_of_its_own():
    """Guards against a later build whose new message ends the process."""
    data = bytearray(raw(_messages.Subscription(False)))
    other = raw(_messages.Wanted(False))
    (kind_at,) = (i for i, byte in enumerate(data) if byte != other[i])
    data[kind_at] = 99
    with pytest.raises(_message_codec.UnknownMessage):
        _message_codec.decode(packed(bytes(data)))


def test_deeply_nested_object_raises_only_valueerror():
    """Guards against a copy of an object that ends the process."""
    objects = b'[["a",1,' + b'[' * 100_000 + b']' * 100_000 + b']]'
    message = schema.load('gateway').PeerMessage.new_message(
        snapshot={'kind': 'servers', 'revision': 1, 'objects': objects}
    )
    with pytest.raises(ValueError, match='invalid message'):
        _message_codec.decode(message.to_bytes_packed())


@pytest.mark.parametrize(
    'body',
    [
        dataclasses.replace(DIGEST, capacity=NAN),
        dataclasses.replace(DIGEST, admitted={'acme': NAN}),
        _messages.Update(True, {}, (), {'acme': NAN}),
        _messages.Update(
            True,
            {},
            (dataclasses.replace(CHANGE, admitted={'acme': NAN}),),
            {},
        ),
        _messages.Charged(True, NAN, 1.0),
        _messages.Charged(True, 1.0, NAN),
        _messages.Permitted(NAN),
        _messages.ColdPermit('t1', 1, NAN),
        _messages.ColdNotice('t1', 1, NAN),
        _messages.Rest('t1', 1, NAN),
        _messages.Want('t1', builders.adapter('a1'), 3, NAN, 1.0),
        _messages.Want('t1', builders.adapter('a1'), 3, 1.0, NAN),
        _messages.Reserve('t1', builders.adapter('a1'), 3, 9, NAN, True),
        _messages.Reserved(True, True, True, NAN),
        _messages.Permit(_target_limits.LimitNotice('t1', 1, NAN, 4.5), 2),
        _messages.Update(True, {}, (), {}, _crashes.Evidence({}, {'p1': NAN})),
    ],
)
def test_amount_that_is_no_number_raises_valueerror(body):
    """Guards against a figure of another node that spoils sums for good."""
    data = _message_codec.encode(_messages.Message('vm1', 1, 1, body))
    with pytest.raises(ValueError, match='invalid message'):
        _message_codec.decode(data)


@pytest.mark.parametrize('port', [-1, 65_536, 99_999, 2**63])
def test_member_with_an_impossible_port_raises_valueerror(port):
    """Guards against a port that ends the process when it is connected to."""
    member = _centres.Member(_centres.Vm('vm2', 'h', port, 'a', 5.0), 9)
    update = _messages.Update(
        True, {}, (dataclasses.replace(CHANGE, members=(member,)),), {}
    )
    data = _message_codec.encode(_messages.Message('vm1', 1, 1, update))
    with pytest.raises(ValueError, match='invalid message'):
        _message_codec.decode(data)


@pytest.mark.parametrize(
    ('host', 'port'),
    [
        ('127.0.0.1', 99_999),
        ('127.0.0.1', -1),
        ('127.0.0.1', 10**400),
        ('a\0b', 80),
        ('a..b', 80),
        ('a' * 64, 80),
        ('\ud800', 80),
    ],
)
async def test_connection_to_an_impossible_address_raises_oserror(host, port):
    """Guards against an address of another writer that ends the process."""
    with pytest.raises(OSError):
        await _sockets.connect(host, port, 1.0)


@pytest.mark.parametrize(
    'data', [b'\xff' * 40, raw(DIGEST)[:-8], packed(raw(DIGEST))[:-3]]
)
async def test_connection_with_a_damaged_message_is_closed(data):
    """Guards against a message that ends more than its connection."""
    near, far = trio.socket.socketpair()
    channel = _peer_channel.Channel(
        trio.SocketStream(near), lambda body, request: b''
    )
    await frames.send(trio.SocketStream(far), data)
    with pytest.raises(BaseException) as raised:
        await channel.run(lambda *_: None, None)
    assert raised.group_contains(_peer_channel.CONNECTION_ERRORS)
    assert not channel.is_open
    far.close()


@pytest.mark.parametrize('count', [2**16, 2**32, 2**70])
def test_sums_beyond_the_range_of_a_message_are_sent(count):
    """Guards against load that ends the process that tells others of it."""
    window = _centres.Window(count, 9)
    usage = _messages.TargetUsage('t1', count, count, (), count, window)
    holding = _centres.Holding('t1', 4, 99, True, {}, count)
    digest = dataclasses.replace(DIGEST, usages=(usage,), holdings=(holding,))
    adapter = builders.adapter('a1')
    for body in (
        digest,
        _messages.Want('t1', adapter, 3, 1.0, 1.0, count, 'acme', count),
        _messages.Reserve('t1', adapter, 3, count, 0.5, True, -count),
        _messages.Observed('t1', 9, count, count, count, True),
        _messages.Permit(LIMITS['t1', 99], count),
    ):
        data = _message_codec.encode(_messages.Message('vm1', 1, 1, body))
        assert type(_message_codec.decode(data).body) is type(body)
    data = _message_codec.encode(_messages.Message('vm1', 1, 1, digest))
    decoded = _message_codec.decode(data).body
    assert decoded.usages[0].running == min(count, 2**32 - 1)
    assert decoded.usages[0].unread_tokens == min(count, 2**32 - 1)
    assert decoded.usages[0].window.size == 2**16 - 1
    assert decoded.holdings[0].room == 2**15 - 1


@pytest.mark.parametrize('epoch', [10**9, 2**64 - 1])
def test_epoch_out_of_range_is_an_invalid_message(epoch):
    """Guards against fencing tokens that have no form in 64 bits."""
    body = _messages.Snapshot('servers', 1, (), (), epoch)
    data = _message_codec.encode(_messages.Message('vm1', 1, 1, body))
    with pytest.raises(ValueError, match='epoch'):
        _message_codec.decode(data)
