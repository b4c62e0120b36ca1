"""Nodes before targets that crash on some requests.

The platform permits three more such requests later than STABLE_SECONDS after
the fifth crash on one part of prompts, and after the third on one request
that is repeated, over all nodes.
"""

import contextlib

import builders
import gateway_harness
import scripted
import test_app
import trio

from mustardlb_gateway import domain

STABLE_SECONDS = 3.0
RESTART_SECONDS = 0.7
HARMFUL = b'bad'
HARMFUL_PATH = '/x/bad'


class TranslationStub(test_app.TranslationStub):
    """Requests also have `x-parts`: the ids of their prompt's parts."""

    def read_call(self, method, path, headers, body):
        call = super().read_call(method, path, headers, body)
        parts = dict(headers).get(b'x-parts', b'').decode()
        return builders.make_call(
            None,
            request_id=call.request_id,
            method=method,
            path=path,
            key=call.key,
            client_timeout=call.client_timeout,
            tokens=None,
            parts=[(part, 10) for part in parts.split(',') if part],
        )

    def forward_headers(self, call, *arguments):
        headers = super().forward_headers(call, *arguments)
        parts = ','.join(part.part_id for part in call.prompt_parts)
        return [*headers, (b'x-parts', parts.encode())]


class CrashingTargets:
    """Targets that end at each harmful request and start again.

    :ivar crashes: trio time of each crash
    :ivar harmful: trio time of each harmful request that reached a target
    """

    def __init__(self, cluster, count):
        self.cluster = cluster
        self.count = count
        self.started = 0
        self.crashes = []
        self.harmful = []

    async def run(self, nursery):
        for _ in range(self.count):
            nursery.start_soon(self._run_target)

    async def _run_target(self):
        """Run a target and register it under a new id at each start."""
        while True:
            self.started += 1
            name = f't{self.started}'
            with trio.CancelScope() as process:

                async def serve(connection, head, body, process=process):
                    await self._serve(connection, head, process)

                async with scripted.ScriptedServer(serve).running() as server:
                    spec = {'port': server.port, 'state': 'ready'}
                    self.cluster.store.put('servers', name, spec)
                    await trio.sleep_forever()
            # The registration of a crashed target expires later.
            await trio.sleep(RESTART_SECONDS)

    async def _serve(self, connection, head, process):
        if (
            HARMFUL not in dict(head.headers)[b'x-parts'].split(b',')
            and head.target != HARMFUL_PATH.encode()
        ):
            await trio.sleep(0.02)
            await connection.send(
                scripted.stream_head(scripted.request_id(head))
            )
            await connection.send(scripted.event(1) + scripted.LAST_CHUNK)
            return
        self.harmful.append(trio.current_time())
        await connection.send(scripted.stream_head(scripted.request_id(head)))
        await trio.sleep(0.05)
        self.crashes.append(trio.current_time())
        process.cancel()
        await trio.sleep_forever()


async def send(port, number, parts='', path='/x/'):
    """Send a request and return the response."""
    response = gateway_harness.Response(0, {}, b'', False)
    with contextlib.suppress(OSError):
        stream = await trio.open_tcp_stream('127.0.0.1', port)
        await stream.send_all(
            f'POST {path} HTTP/1.1\r\nhost: h\r\nx-id: r{number}\r\n'
            f'x-parts: {parts}\r\nconnection: close\r\n\r\n'.encode()
        )
        data = b''
        with trio.move_on_after(3), contextlib.suppress(OSError):
            while more := await stream.receive_some():
                data += more
        response = gateway_harness.Response.parse(data)
        await trio.aclose_forcefully(stream)
    return response


# Five engines ended under requests with one part, which reached ten more
# engines, since each node only remembered which engines had failed.
async def test_requests_that_crash_targets_reach_few_of_them():
    cluster = test_app.Cluster(test_app.respond_ok)
    cluster.translation = TranslationStub()
    cluster.put_configuration(
        kind=domain.RouteKind.STREAM, timeout=2.0, max_attempts=1
    )
    targets = CrashingTargets(cluster, 8)
    sound = []
    async with cluster.running(nodes=3), trio.open_nursery() as nursery:
        await targets.run(nursery)
        for node in cluster.nodes:
            await test_app.wait_until(
                lambda node=node: test_app.is_ready(node)
            )
        await test_app.wait_until(lambda: test_app.are_all_connected(cluster))

        async def send_sound(port, number):
            response = await send(port, number, f'first,own,{number}')
            sound.append(response.status)

        async def send_harmful(port, number):
            await send(port, number, f'first,bad,{number}')

        for number in range(32):
            for node in cluster.nodes:
                nursery.start_soon(
                    send_sound, node.settings.front_port, number
                )
            front = cluster.nodes[number % 3].settings.front_port
            nursery.start_soon(send_harmful, front, f'h{number}')
            await trio.sleep(0.25)
        nursery.cancel_scope.cancel()
    if len(targets.crashes) >= 5:
        since = targets.crashes[4] + STABLE_SECONDS
        assert sum(at > since for at in targets.harmful) <= 3
    assert sum(status == 200 for status in sound) > 0.8 * len(sound)


# One call crashed three targets within 0.2 s, which counted as one crash, and
# the request came again at other nodes.
async def test_repeated_request_that_crashes_targets_reaches_few_of_them():
    cluster = test_app.Cluster(test_app.respond_ok)
    cluster.translation = TranslationStub()
    cluster.put_configuration(
        kind=domain.RouteKind.STREAM,
        is_resumable=True,
        timeout=2.0,
        max_attempts=3,
    )
    targets = CrashingTargets(cluster, 4)
    sound = []
    async with cluster.running(nodes=3), trio.open_nursery() as nursery:
        await targets.run(nursery)
        for node in cluster.nodes:
            await test_app.wait_until(
                lambda node=node: test_app.is_ready(node)
            )
        await test_app.wait_until(lambda: test_app.are_all_connected(cluster))
        fronts = [node.settings.front_port for node in cluster.nodes]

        async def send_sound(number):
            response = await send(fronts[number % 3], f's{number}')
            sound.append(response.status)

        async def send_harmful(number):
            for retry in range(2):
                front = fronts[(number + retry) % 3]
                await send(front, f'h{number}-{retry}', path=HARMFUL_PATH)

        for number in range(45):
            nursery.start_soon(send_sound, number)
            if number % 9 == 0:
                nursery.start_soon(send_harmful, number // 9)
            await trio.sleep(0.25)
        nursery.cancel_scope.cancel()
    assert len(targets.crashes) >= 3
    since = targets.crashes[2] + STABLE_SECONDS
    assert sum(at > since for at in targets.harmful) <= 3
    assert sum(status == 200 for status in sound) > 0.8 * len(sound)
