"""Messages of a newer release, which this one does not know."""

import builders
import peer_nodes
import pytest
import trio

from mustardlb import frames
from mustardlb import schema
from mustardlb_gateway import _message_codec
from mustardlb_gateway import _messages

# Far beyond the members of the present union.
UNKNOWN_MEMBER = 200


def encode_unknown():
    """Return a message whose member of the union is unknown here."""
    message = schema.load('gateway').PeerMessage
    one = message.new_message(vm='vm2', toldOrigins=None).to_bytes()
    two = message.new_message(vm='vm2', subscription=False).to_bytes()
    (position,) = (n for n, byte in enumerate(one) if byte != two[n])
    data = bytearray(one)
    data[position] = UNKNOWN_MEMBER
    with message.from_bytes(bytes(data)) as unknown:
        return unknown.as_builder().to_bytes_packed()


def test_unknown_message_is_not_taken_for_another():
    """Guards against an unknown message that is read as a response."""
    with pytest.raises(_message_codec.UnknownMessage):
        _message_codec.decode(encode_unknown())


async def test_unknown_message_leaves_the_connection_open(capsys):
    """Guards against connections that each message of a newer node ends."""
    node = peer_nodes.Node('vm1')
    want = _messages.Want('t1', builders.adapter('a1'), 0, 1.0, 0.5)
    async with peer_nodes.running(node):
        stream = await trio.open_tcp_stream('127.0.0.1', node.vm.port)
        await frames.send(stream, encode_unknown())
        await frames.send(stream, encode_unknown())
        request = _messages.Message('vm2', 1, 6, want)
        await frames.send(stream, _message_codec.encode(request))
        with trio.fail_after(2):
            data = await frames.receive(stream)
        assert data
        assert _message_codec.decode(data).body == _messages.Wanted(True)
    assert capsys.readouterr().out.count('MLB-6311') == 1
