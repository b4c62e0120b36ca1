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


class TranslationStub(gateway_harness.TranslationStub):
    def write_command(self, command, target):
        return b'POST', b'/order', [(b'host', b'h')], b'{}'


def make_states():
    return _target_states.TargetStates(
        trio.current_time,
        _target_limits.TargetLimits(lambda target_id: None),
        'vm1',
        _owners.Owners('vm1', frozenset, trio.current_time),
        lambda target_id: 0,
        lambda target: None,
    )


async def send_command(script):
    async with scripted.ScriptedServer(script).running() as server:
        client = _engine_client.EngineClient(
            http_client.Pool(0.5),
            TranslationStub(),
            lambda *_: None,
            make_states(),
        )
        target = builders.make_target(port=server.port)
        return await client.send_command(target, COMMAND)


def response(status):
    return b'HTTP/1.1 %d X\r\ncontent-length: 0\r\n\r\n' % status


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
