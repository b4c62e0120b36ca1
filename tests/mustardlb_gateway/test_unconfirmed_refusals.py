"""Refusals by a configuration that the store has not confirmed lately."""

import builders
import gateway_harness
import pytest
import scripted
import simulated_store
import trio

from mustardlb_gateway import _mirror
from mustardlb_gateway import _store_watch

ACME = builders.make_account()
OTHER = builders.make_account('no')


async def respond_ok(connection, head, body):
    await connection.send(scripted.response(scripted.request_id(head)))


def make_harness(path_prefix='/'):
    return gateway_harness.Harness(
        builders.make_route(path_prefix=path_prefix), accounts=[ACME]
    )


REFUSED = [
    ('/y/', b'x-key: key-acme\r\n', 404),
    ('/', b'x-key: key-no\r\n', 401),
]


@pytest.mark.parametrize(('path_prefix', 'headers', 'status'), REFUSED)
async def test_route_and_key_that_may_have_been_added_are_not_refused(
    path_prefix, headers, status
):
    """Guards against 404 and 401 by a node that missed a configuration."""
    harness = make_harness(path_prefix)
    async with harness.running(respond_ok) as harness:
        assert (await harness.send_request(headers)).status == status
        harness.is_configuration_fresh = False
        response = await harness.send_request(headers)
        assert response.status == 503
        assert float(response.headers[b'retry-after']) > 0
        assert not harness.request_count


async def test_refusal_follows_what_the_store_says_then():
    """Guards against a refusal by what was in force before the store spoke."""
    harness = make_harness()
    newer = gateway_harness.Harness(
        builders.make_route(path_prefix='/'), accounts=[ACME, OTHER]
    ).configuration
    async with harness.running(respond_ok) as harness:

        def confirm():
            harness.configuration = newer

        harness.on_confirm = confirm
        response = await harness.send_request(b'x-key: key-no\r\n')
        assert response.status == 200


async def test_store_is_asked_only_if_it_has_not_confirmed_lately(
    autojump_clock,
):
    """Guards against a call to the store for each refusal."""
    store = simulated_store.SimulatedStore()
    mirror = _mirror.Mirror('config')
    confirmer = _store_watch.Confirmer(mirror, store, trio.current_time, 0.2)
    mirror.replace_all([], 1)
    mirror.is_connected = True
    mirror.confirmed_at = trio.current_time()
    assert await confirmer.is_fresh()
    assert not store.calls
    await trio.sleep(2 * mirror.freshness())
    assert await confirmer.is_fresh()
    assert await confirmer.is_fresh()
    assert store.calls == 1
    await trio.sleep(2 * mirror.freshness())
    store.is_down = True
    assert not await confirmer.is_fresh()
