"""A small stand-in of the platform's metadata store, on one loopback address.

Objects by kind and name, one revision counter, conditional writes, lists and
watches, as PROTOCOL.md describes them. It is a coroutine of the script's own
process, which also writes what the operator and the replicas write.
"""

import asyncio
import copy
import json
import urllib.parse

import wire

PAGE = 500


class Store:
    """A linearizable store that loses nothing, except in a drill.

    :ivar objects_by_kind: objects by name, by kind
    :ivar calls: number of calls so far
    :ivar era: rises each time the store continues from a copy
    :ivar is_away: every call gets 503
    """

    def __init__(self):
        self.revision = 10
        self.objects_by_kind = {}
        self.events = []
        self.calls = 0
        self.era = 1
        self.is_away = False
        self._oldest_revision = 0
        self._changed = asyncio.Event()
        self._server = None

    async def start(self, host):
        """Listen on a free port and return it."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        return self._server.sockets[0].getsockname()[1]

    def put(self, kind, name, spec):
        """Write an object, as the operator or a replica does."""
        self.revision += 1
        objects = self.objects_by_kind.setdefault(kind, {})
        created = self.revision
        if name in objects:
            created = objects[name]['metadata']['create_revision']
        objects[name] = {
            'metadata': {
                'name': name,
                'revision': self.revision,
                'create_revision': created,
                'finalizers': [],
                'deleting': False,
            },
            'spec': spec,
            'status': None,
        }
        self._record(kind, objects[name], False)
        return objects[name]

    def remove(self, kind, name):
        """Remove an object."""
        fields = self.objects_by_kind.get(kind, {}).pop(name, None)
        if fields is not None:
            self.revision += 1
            self._record(kind, fields, True)

    def copy(self):
        """Return what `restore` takes."""
        return self.revision, copy.deepcopy(self.objects_by_kind)

    def leave(self):
        """Be away; waiting watches end."""
        self.is_away = True
        self._changed.set()
        self._changed = asyncio.Event()

    def restore(self, saved):
        """Continue from a copy; revisions go back, the history is gone."""
        self.revision, self.objects_by_kind = copy.deepcopy(saved)
        self.events.clear()
        self._oldest_revision = self.revision
        self.era += 1
        self.is_away = False
        self._changed.set()
        self._changed = asyncio.Event()

    def _record(self, kind, fields, removed):
        self.events.append(
            (self.revision, kind, {'object': fields, 'removed': removed})
        )
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while True:
                request = await wire.read_request(reader)
                if request is None:
                    return
                self.calls += 1
                status, fields = await self._respond(request)
                body = json.dumps(fields, separators=(",", ":")).encode()
                writer.write(
                    b'HTTP/1.1 %d X\r\ncontent-type: application/json\r\n'
                    b'store-era: %d\r\ncontent-length: %d\r\n\r\n'
                    % (status, self.era, len(body))
                    + body
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _respond(self, request):
        if self.is_away:
            return 503, {}
        url = urllib.parse.urlsplit(request.target)
        parts = url.path.removeprefix('/-/objects/').split('/')
        kind = urllib.parse.unquote(parts[0])
        name = urllib.parse.unquote(parts[1]) if len(parts) > 1 else ''
        query = dict(urllib.parse.parse_qsl(url.query))
        objects = self.objects_by_kind.get(kind, {})
        if request.method == 'GET' and name:
            return (200, objects[name]) if name in objects else (404, {})
        if request.method == 'GET' and 'watch' in query:
            return await self._watch(kind, query)
        if request.method == 'GET':
            return 200, self._page(objects, query)
        fields = json.loads(request.body) if request.body else {}
        return self._write(request.method, kind, name, fields, query)

    def _page(self, objects, query):
        names = sorted(each for each in objects if each > query.get('after', ''))
        return {
            'items': [objects[each] for each in names[:PAGE]],
            'has_more': len(names) > PAGE,
            'current_rev': self.revision,
        }

    async def _watch(self, kind, query):
        since, wait = int(query['watch']), int(query.get('wait_ms', 0)) / 1000
        loop = asyncio.get_running_loop()
        until = loop.time() + wait
        while (
            self._has(since)
            and not self.is_away
            and not self._since(kind, since)
            and loop.time() < until
        ):
            try:
                async with asyncio.timeout_at(until):
                    await self._changed.wait()
            except TimeoutError:
                break
        if self.is_away:
            return 503, {}
        if not self._has(since):
            return 410, {}
        return 200, {
            'events': self._since(kind, since),
            'current_rev': self.revision,
        }

    def _has(self, revision):
        return self._oldest_revision <= revision <= self.revision

    def _since(self, kind, since):
        return [
            event
            for revision, each, event in self.events
            if each == kind and revision > since
        ]

    def _write(self, method, kind, name, fields, query):
        metadata = fields.get('metadata') or {}
        name = name or metadata.get('name')
        current = self.objects_by_kind.get(kind, {}).get(name)
        if method == 'POST' and current is not None:
            return 409, current
        if method in ('PUT', 'DELETE') and current is None:
            return 404, {}
        expected = metadata.get('revision', query.get('revision'))
        if (
            method != 'POST'
            and expected is not None
            and int(expected) != current['metadata']['revision']
        ):
            return 409, current
        if method == 'DELETE':
            self.remove(kind, name)
            return 200, current
        if method == 'PUT' and current['spec'] == fields.get('spec'):
            return 200, current
        return 200, self.put(kind, name, fields.get('spec'))
