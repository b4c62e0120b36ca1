"""Peer transport: mutual TLS on sockets, network faults in virtual time."""

import random
import ssl

import fleet as fleets
import hypothesis
from hypothesis import strategies as st
import pytest
import trio
import trio.testing
import trustme

from mustardlb import errors
from mustardlb import frames
from mustardlb import vm_list
from mustardlbd import _peer_server
from mustardlbd import _peers

TIMEOUT_SECONDS = 5.0


def make_tls(authority, purpose, certified=True):
    context = ssl.create_default_context(purpose)
    authority.configure_trust(context)
    if certified:
        authority.issue_cert('127.0.0.1').configure_cert(context)
    if purpose is ssl.Purpose.CLIENT_AUTH:
        context.verify_mode = ssl.CERT_REQUIRED
    return context


async def echo(sender, payload):
    return b'%s %s' % (sender.vm_id.encode(), payload)


async def serve(nursery, authority, port=0):
    """Start a server on loopback; return its VM and cancel scope."""
    server = _peer_server.PeerServer(
        'vm-b', make_tls(authority, ssl.Purpose.CLIENT_AUTH)
    )
    server.register('echo', echo)
    (listener,) = await trio.open_tcp_listeners(port, host='127.0.0.1')
    scope = trio.CancelScope()

    async def run():
        with scope:
            await server.serve(listener)

    nursery.start_soon(run)
    port = listener.socket.getsockname()[1]
    return vm_list.Vm('vm-b', '127.0.0.1', port, 1, 'dc-1'), scope


def make_peers(vm, tls, vm_id='vm-b'):
    return _peers.Peers(
        _peers.Identity('vm-a', 1),
        _peers.open_tcp(tls),
        {vm_id: vm}.get,
        lambda vm_id, is_reachable: None,
    )


async def test_call_over_mutual_tls_survives_a_restart(nursery):
    authority = trustme.CA()
    tls = make_tls(authority, ssl.Purpose.SERVER_AUTH)
    vm, scope = await serve(nursery, authority)
    peers = make_peers(vm, tls)
    assert await peers.call('vm-b', 'echo', b'1', TIMEOUT_SECONDS) == b'vm-a 1'
    scope.cancel()
    await trio.testing.wait_all_tasks_blocked(0.05)
    _, scope = await serve(nursery, authority, vm.peer_port)
    assert await peers.call('vm-b', 'echo', b'2', TIMEOUT_SECONDS) == b'vm-a 2'
    await peers.close_all()
    scope.cancel()


@pytest.mark.parametrize('client', ['no certificate', 'other authority'])
async def test_untrusted_client_is_rejected(nursery, client):
    authority = trustme.CA()
    vm, scope = await serve(nursery, authority)
    tls = make_tls(authority, ssl.Purpose.SERVER_AUTH, certified=False)
    if client == 'other authority':
        trustme.CA().issue_cert('127.0.0.1').configure_cert(tls)
    with pytest.raises(errors.Error) as caught:
        await make_peers(vm, tls).call('vm-b', 'echo', b'', TIMEOUT_SECONDS)
    assert caught.value.code is errors.Code.PEER_UNAVAILABLE
    assert caught.value.peer == 'vm-b'
    scope.cancel()


async def test_vm_with_a_reused_address_rejects_requests(nursery):
    authority = trustme.CA()
    vm, scope = await serve(nursery, authority)
    tls = make_tls(authority, ssl.Purpose.SERVER_AUTH)
    peers = make_peers(vm, tls, 'vm-old')
    with pytest.raises(errors.Error) as caught:
        await peers.call('vm-old', 'echo', b'', TIMEOUT_SECONDS)
    assert caught.value.code is errors.Code.PEER_REFUSED
    await peers.close_all()
    scope.cancel()


async def test_malformed_bytes_only_close_the_connection():
    server = _peer_server.PeerServer('vm-b')
    malformed = [
        b'\xff\xff\xff\xff',
        b'\x00\x00\x00\x04junk',
        b'\x00\x00\x00\x08ab',
        random.Random(1).randbytes(64),
    ]
    for data in malformed:
        near, far = trio.testing.memory_stream_pair()
        await near.send_all(data)
        await near.send_eof()
        with trio.fail_after(TIMEOUT_SECONDS):
            await server.serve_connection(far)
            assert await near.receive_some() == b''
    with pytest.raises(frames.BadFrame):
        await frames.send(near, bytes(frames.MAX_MESSAGE_BYTES + 1))


calls = st.lists(
    st.tuples(st.floats(0, 3), st.floats(0.1, 2), st.floats(0, 2)),
    min_size=2,
    max_size=12,
)


@hypothesis.settings(
    max_examples=40, derandomize=True, database=None, deadline=None
)
@hypothesis.given(calls, st.floats(0, 2), st.floats(0.1, 3))
def test_no_call_gets_the_answer_to_another(calls, cut_at, cut_for):
    """Late answers, cut links and reused connections mix nothing up."""
    outcomes = []

    async def slow_echo(sender, payload):
        await trio.sleep(float(payload.split()[1]))
        return payload

    async def main():
        network = fleets.Network()
        server = _peer_server.PeerServer('vm-b')
        server.register('echo', slow_echo)

        async def open_stream(vm):
            near, far = network.pair('vm-a', 'vm-b')
            nursery.start_soon(server.serve_connection, far)
            return near

        vm = vm_list.Vm('vm-b', '127.0.0.1', 1, 2, 'dc-1')
        peers = _peers.Peers(
            _peers.Identity('vm-a', 1),
            open_stream,
            {'vm-b': vm}.get,
            lambda vm_id, answered: None,
        )

        async def call(number, start, timeout, work):
            await trio.sleep(start)
            payload = b'%d %f' % (number, work)
            try:
                got = await peers.call('vm-b', 'echo', payload, timeout)
            except errors.Error as error:
                assert error.code is errors.Code.PEER_UNAVAILABLE
                outcomes.append(None)
            else:
                outcomes.append(got == payload)

        async with trio.open_nursery() as nursery:
            async with trio.open_nursery() as callers:
                for number, one in enumerate(calls):
                    callers.start_soon(call, number, *one)
                await trio.sleep(cut_at)
                network.cut('vm-b', 'vm-a')
                await trio.sleep(cut_for)
                network.mend()
            await peers.close_all()
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    assert len(outcomes) == len(calls)
    assert False not in outcomes
