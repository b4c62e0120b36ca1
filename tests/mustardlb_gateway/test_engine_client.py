import builders
import gateway_harness
import pytest
import scripted

from mustardlb_gateway import _engine_client
from mustardlb_gateway import domain
from mustardlb_gateway import http_client

ORDER = domain.Order(
    domain.OrderKind.LOAD, domain.AdapterName('m', 'a1'), 'vm1', 1, 0
)


class TranslationStub(gateway_harness.TranslationStub):
    def write_order(self, order, target):
        return b'POST', b'/order', [(b'host', b'h')], b'{}'


async def order(script):
    async with scripted.ScriptedServer(script).running() as server:
        client = _engine_client.EngineClient(
            http_client.Pool(0.5), TranslationStub()
        )
        target = builders.make_target(port=server.port)
        return await client.order(target, ORDER)


def reply(status):
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
async def test_what_an_engine_says(status, outcome):
    async def script(connection, head, body):
        await connection.send(reply(status))

    assert await order(script) == outcome


async def test_late_answer_to_a_request_is_not_one_to_an_order():
    async def script(connection, head, body):
        await connection.send(scripted.answer(b'r1', b'', 503) + reply(202))

    assert await order(script) == 'accepted'


async def test_order_without_an_answer_may_have_been_accepted():
    async def script(connection, head, body):
        await connection.reset()

    assert await order(script) == 'unknown'


async def test_order_that_was_never_sent_is_refused():
    client = _engine_client.EngineClient(
        http_client.Pool(0.5), TranslationStub()
    )
    target = builders.make_target(port=1)
    assert await client.order(target, ORDER) == 'refused'
