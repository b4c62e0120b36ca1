"""A stand-in of a replica of a plain service or of an engine.

    replica.py ID HOST LOG KIND MODE

KIND is `plain` or `engine`. It prints the port on which it listens. Each
request that it runs is a line in LOG. It reads a line on standard input with
the mode in which it goes on: a name of MODES, and after a space the number N
if only the first and each Nth request after it is answered so. In the modes
`sound`, `long` and `steady` it does just what PROTOCOL.md says of a sound
replica.
"""

import asyncio
import collections
import hashlib
import json
import sys
import time

import wire

WORK_SECONDS = 0.03
EVENTS = 12
EVENT_SECONDS = 0.03
EVENT_TEXT = 'y' * 50
# The longest draft of the sheet, at the pace of four tokens an event.
LONG_EVENTS = 52
LONG_EVENT_SECONDS = 0.021
LONG_EVENT_TEXT = 'y' * 240
# An answer of the sheet's mean number of events, well within the pauses allowed.
STEADY_EVENTS = 73
STEADY_EVENT_SECONDS = 0.1
SLOTS = 6
ADAPTER_SLOTS = 9
LOAD_SECONDS = 0.25
MODEL = 'base'

# As many chunks of five bytes, about a token, as fill a read of 64 KiB.
SMALL_CHUNKS = b'5\r\nxxxxx\r\n' * 6_553
LARGE_CHUNK = b'8000\r\n' + b'x' * 0x8000 + b'\r\n'
# Pace of an endless body that comes slowly: a part, and the pause after it.
SLOW_PART = b'10000\r\n' + b'x' * 0x10000 + b'\r\n'
SLOW_PAUSE_SECONDS = 0.03


def stamp(replica_id, request_id):
    text = f'{replica_id}|{request_id}'.encode()
    return f'{replica_id}.{hashlib.blake2b(text, digest_size=8).hexdigest()}'


class Replica:
    def __init__(self, replica_id, log, kind, mode):
        self.replica_id = replica_id
        self.kind = kind
        self.mode = mode
        self._log = open(log, 'a', buffering=1)
        self._adapters = set()
        self._loading = {}
        self._unloading = set()
        self._uses = collections.Counter()
        self._accepted = 0
        self._fence = 0
        self._running = 0
        self._count = 0

    async def serve(self, reader, writer):
        try:
            while True:
                request = await wire.read_request(reader)
                if request is None:
                    return
                await self._answer(request, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, request, writer):
        wanted = request.headers.get('x-mustardlb-target-instance')
        if wanted not in (None, self.replica_id):
            writer.write(self._whole(421, b'', request))
        elif request.target == '/-/report':
            writer.write(self._plain(200, self._report()))
        elif request.target == '/-/order':
            writer.write(self._plain(self._order(json.loads(request.body)), b''))
        else:
            await self._draw_mode()(self, request, writer)

    def _draw_mode(self):
        name, _, interval = self.mode.partition(' ')
        count, self._count = self._count, self._count + 1
        if interval and count % int(interval):
            return Replica.sound
        return MODES[name]

    def _finish_loads(self):
        for name, due in list(self._loading.items()):
            if time.monotonic() >= due:
                del self._loading[name]
                self._adapters.add(name)
        for name in [each for each in self._unloading if not self._uses[each]]:
            self._unloading.discard(name)
            self._adapters.discard(name)

    def _report(self):
        self._finish_loads()
        adapters = [f'{each}@1' for each in sorted(self._adapters)]
        return json.dumps(
            {
                'stage': 'colocated',
                'models': [
                    {'name': MODEL, 'version': 1, 'adapters': adapters}
                ],
                'coming': [f'{MODEL}/{each}@1' for each in self._loading],
                'busy': False,
                'sequence': self._accepted,
                'queued': 0,
                'active': self._running,
                'kv_used': 0,
                'kv_total': 200_000,
                'handles': 0,
            }
        ).encode()

    def _order(self, order):
        status = self._carry_out(order)
        self._log.write(
            f'{time.monotonic():.3f} order {order["operation"]} '
            f'{order.get("adapter", "")} by {order["holder"]} fence '
            f'{order["fencing_token"]} status {status}\n'
        )
        return status

    def _carry_out(self, order):
        self._finish_loads()
        if order['fencing_token'] < self._fence:
            return 412
        self._fence = order['fencing_token']
        name = order.get('adapter')
        is_load = order['operation'] == 'load'
        if is_load and (name is None or name in self._adapters):
            return 200
        if not is_load and name not in self._adapters:
            return 200
        if name in self._loading or name in self._unloading:
            return 202
        if order.get('expected') not in (None, self._accepted):
            return 409
        self._accepted += 1
        if is_load:
            self._loading[name] = time.monotonic() + LOAD_SECONDS
            if len(self._adapters) + len(self._loading) > ADAPTER_SLOTS:
                sys.exit('more adapters than slots')
            return 202
        self._unloading.add(name)
        self._finish_loads()
        return 202 if name in self._unloading else 200

    def _plain(self, status, body):
        kind = b'content-type: application/json\r\n' if body else b''
        return (
            b'HTTP/1.1 %d X\r\n%bcontent-length: %d\r\n\r\n'
            % (status, kind, len(body))
            + body
        )

    def _head(self, status, request, extra=b''):
        request_id = request.headers.get('x-mustardlb-request-id', '')
        return (
            b'HTTP/1.1 %d X\r\n' % status
            + f'x-mustardlb-request-id: {request_id}\r\n'.encode()
            + f'x-mustardlb-server-stamp: {stamp(self.replica_id, request_id)}'
            '\r\n'.encode()
            + extra
        )

    def _whole(self, status, body, request, extra=b''):
        head = self._head(status, request, extra)
        return head + b'content-length: %d\r\n\r\n' % len(body) + body

    def _note(self, what, request):
        request_id = request.headers.get('x-mustardlb-request-id', '')
        self._log.write(
            f'{time.monotonic():.3f} {what} {request_id} {self.replica_id}\n'
        )

    async def sound(self, request, writer):
        if self.kind == 'plain':
            self._note('runs', request)
            await asyncio.sleep(WORK_SECONDS)
            body = f'{self.replica_id} ran it'.encode()
            writer.write(self._whole(200, body, request))
            return
        adapter = request.headers.get('x-mustardlb-model', '').partition('/')[2]
        self._finish_loads()
        if adapter and adapter not in self._adapters - self._unloading:
            writer.write(self._whole(421, b'', request))
            return
        self._note('runs', request)
        self._uses[adapter] += 1
        try:
            await self._stream(request, writer)
        finally:
            self._uses[adapter] -= 1

    async def _stream(self, request, writer):
        events, seconds, text = EVENTS, EVENT_SECONDS, EVENT_TEXT
        if self.mode == 'long':
            events, seconds = LONG_EVENTS, LONG_EVENT_SECONDS
            text = LONG_EVENT_TEXT
        if self.mode == 'steady':
            events, seconds = STEADY_EVENTS, STEADY_EVENT_SECONDS
        first = int(request.headers.get('last-event-id', 0)) + 1
        writer.write(
            self._head(200, request, b'content-type: text/event-stream\r\n')
            + b'transfer-encoding: chunked\r\n\r\n'
        )
        for number in range(first, events + 1):
            await asyncio.sleep(seconds)
            event = f'id: {number}\ndata: {text}\n\n'.encode()
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            await writer.drain()
        writer.write(b'0\r\n\r\n')
        await writer.drain()
        self._note('sent-all-of', request)

    async def _endless(self, request, writer, status, part, extra=b'', pause=0):
        self._note(f'endless-{status}', request)
        writer.write(
            self._head(status, request, extra)
            + b'transfer-encoding: chunked\r\n\r\n'
        )
        while True:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(pause)

    async def endless_small(self, request, writer):
        """The body is five bytes a chunk and goes on until the caller closes."""
        kind = b'content-type: text/event-stream\r\n'
        kind = kind if self.kind == 'engine' else b''
        await self._endless(request, writer, 200, SMALL_CHUNKS, kind)

    async def endless_large(self, request, writer):
        kind = b'content-type: text/event-stream\r\n'
        kind = kind if self.kind == 'engine' else b''
        await self._endless(request, writer, 200, LARGE_CHUNK, kind)

    async def endless_rejection(self, request, writer):
        """A rejection whose body goes on until the caller closes."""
        await self._endless(
            request,
            writer,
            503,
            SLOW_PART,
            b'x-mustardlb-not-executed: 1\r\n',
            SLOW_PAUSE_SECONDS,
        )

    async def endless_slow(self, request, writer):
        await self._endless(
            request, writer, 200, SLOW_PART, b'', SLOW_PAUSE_SECONDS
        )


MODES = {
    'sound': Replica.sound,
    'long': Replica.sound,
    'steady': Replica.sound,
    'endless_small': Replica.endless_small,
    'endless_large': Replica.endless_large,
    'endless_rejection': Replica.endless_rejection,
    'endless_slow': Replica.endless_slow,
}


async def _read_modes(replica):
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    while line := await reader.readline():
        replica.mode, replica._count = line.decode().strip(), 0
        replica._log.write(f'{time.monotonic():.3f} mode {replica.mode}\n')


async def main(replica_id, host, log, kind, mode):
    replica = Replica(replica_id, log, kind, mode)
    server = await asyncio.start_server(replica.serve, host, 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await _read_modes(replica)


if __name__ == '__main__':
    asyncio.run(main(*sys.argv[1:]))
