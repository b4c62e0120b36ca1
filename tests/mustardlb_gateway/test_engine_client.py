import dataclasses

import builders
import gateway_harness
import pytest
import scripted
import trio

from mustardlb_gateway import _engine_client
from mustardlb_gateway import _owners
from mustardlb_gateway import _target_limits
from mustardlb_gateway import _target_states
from mustardlb_gateway import domain
from mustardlb_gateway import http_client

COMMAND = domain.Command(
    domain.CommandKind.LOAD, domain.AdapterName('m', 'a1'), 'vm1', 1, 0
)
UNLOAD = dataclasses.replace(COMMAND, kind=domain.CommandKind.UNLOAD)


class TranslationStub(gateway_harness.TranslationStub):
    def write_command(self, command, target):
        return b'POST', b'/order', [(b'host', b'h')], b'{}'

    def write_report_request(self, target):
        return b'GET', b'/report', [(b'host', b'h')], b''

    def read_report(self, body):
        return None


def make_states():
    return _target_states.TargetStates(
        trio.current_time,
        _target_limits.TargetLimits(lambda target_id: None),
        'vm1',
        _owners.Owners('vm1', frozenset, trio.current_time),
        lambda target_id: 0,
        lambda target: None,
    )


def make_client():
    return _engine_client.EngineClient(
        http_client.Pool(0.5),
        TranslationStub(),
        lambda *_: None,
        make_states(),
    )


async def send_command(script):
    async with scripted.ScriptedServer(script).running() as server:
        target = builders.make_target(port=server.port)
        return await make_client().send_command(target, COMMAND)


def response(status):
    return b'HTTP/1.1 %d X\r\ncontent-length: 0\r\n\r\n' % status


REPORT = (
    b'HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n'
    b'content-length: 2\r\n\r\n{}'
)


@pytest.mark.parametrize(
    ('status', 'outcome'),
    [
        (200, 'holds'),
        (202, 'accepted'),
        (409, 'busy'),
        (412, 'fenced'),
        (400, 'refused'),
        (421, 'refused'),
        (503, 'refused'),
    ],
)
async def test_outcome_by_response_status(status, outcome):
    async def script(connection, head, body):
        await connection.send(response(status))

    assert await send_command(script) == outcome


async def test_late_response_to_a_call_is_skipped():
    async def script(connection, head, body):
        await connection.send(
            scripted.response(b'r1', b'', 503) + response(202)
        )

    assert await send_command(script) == 'accepted'


# Responses to commands and reports have no id. A late copy of a report with
# status 200, in transit when the connection was taken from the pool, said that
# the engine had obeyed a command.
async def test_late_report_is_no_response_to_a_command():
    async def script(connection, head, body):
        if head.target == b'/report':
            await connection.send(REPORT)
            connection.had_report = True
            return
        if getattr(connection, 'had_report', False):
            await connection.send(REPORT)
        await connection.send(response(409))

    async with scripted.ScriptedServer(script).running() as server:
        client = make_client()
        target = builders.make_target(port=server.port)
        for _ in range(2):
            await client.report(target)
            assert await client.send_command(target, COMMAND) == 'busy'
        assert server.opened <= 3


async def test_late_response_does_not_confirm_an_unload():
    """Guards against a load on an engine whose slots are still full.

    A late copy of the response to an earlier command says that it holds.
    """

    async def script(connection, head, body):
        if getattr(connection, 'had_command', False):
            await connection.send(response(200))
        connection.had_command = True
        await connection.send(response(202))

    async with scripted.ScriptedServer(script).running() as server:
        client = make_client()
        target = builders.make_target(port=server.port)
        for _ in range(3):
            await client.send_command(target, COMMAND)
            assert await client.send_command(target, UNLOAD) == 'accepted'


async def test_polls_of_a_load_share_a_connection():
    """Guards against a new connection for each command."""

    async def script(connection, head, body):
        await connection.send(response(202))

    async with scripted.ScriptedServer(script).running() as server:
        client = make_client()
        target = builders.make_target(port=server.port)
        for _ in range(5):
            await client.send_command(target, COMMAND)
        assert server.opened == 1


async def test_outcome_of_a_command_without_response_is_unknown():
    async def script(connection, head, body):
        await connection.reset()

    assert await send_command(script) == 'unknown'


async def test_command_that_was_never_sent_is_refused():
    client = _engine_client.EngineClient(
        http_client.Pool(0.5),
        TranslationStub(),
        lambda *_: None,
        make_states(),
    )
    target = builders.make_target(port=1)
    assert await client.send_command(target, COMMAND) == 'refused'


# A process that was paused while it connected sent the command although
# another node had taken over the engine.
async def test_command_is_not_sent_without_permission_any_more():
    received = []

    async def script(connection, head, body):
        received.append(head)
        await connection.send(response(202))

    async with scripted.ScriptedServer(script).running() as server:
        client = _engine_client.EngineClient(
            http_client.Pool(0.5),
            TranslationStub(),
            lambda *_: None,
            make_states(),
        )
        target = builders.make_target(port=server.port)
        outcome = await client.send_command(target, COMMAND, lambda: False)
        assert outcome == 'refused'
        assert not received
        # The connection can be used for the next one.
        outcome = await client.send_command(target, COMMAND, lambda: True)
        assert outcome == 'accepted'
