"""A simulated store with the HTTP protocol that the platform publishes."""

import copy
import json
import urllib.parse

import scripted
import trio

# What strings of odd entries stand for in responses.
RAW_BY_MARK = {
    b'"@deep@"': b'[' * 100_000 + b']' * 100_000,
    b'"@digits@"': b'9' * 5_000,
    b'"@bytes@"': b'"\xff\xfe"',
    b'"@slots@"': b'1' + b'0' * 400,
}

# Only what the nodes mirror is read stale; the rest is linearizable.
STALE_KINDS = ('config', 'servers')


class HttpStore:
    """Objects by kind, with revisions, conditional writes and watches.

    :ivar is_down: every call gets status 503
    :ivar loses_responses: writes are committed, then the connection is reset
        without a response
    :ivar stale_copy: objects by kind that lists contain instead, or None
    :ivar watch_seconds: longest time of a watch, or None; every other one that
        it ends is reset
    :ivar era: rises each time the store continues from a copy
    :ivar calls: number of calls so far
    """

    def __init__(self):
        self.revision = 1
        self.era = 1
        self.calls = 0
        self._oldest_revision = 0
        self.objects_by_kind = {}
        self.events = []
        self._raw_by_placeholder = {}
        self.is_down = False
        self.loses_responses = False
        self.stale_copy = None
        self.watch_seconds = None
        self._ended_watch_count = 0
        self._changed = trio.Event()
        self.server = scripted.ScriptedServer(self._serve)

    def put(self, kind, name, spec):
        """Write an object as an operator or a target does."""
        self.revision += 1
        fields = {
            'metadata': {'name': name, 'revision': self.revision},
            'spec': spec,
            'status': None,
        }
        self.objects_by_kind.setdefault(kind, {})[name] = fields
        self._record_event(kind, fields, False)
        return fields

    def put_raw(self, kind, name, spec, raw_name=None):
        """Write an object whose specification is sent as these bytes.

        So is its name, if `raw_name` is given.
        """
        placeholder = f'raw {len(self._raw_by_placeholder)}'
        self._raw_by_placeholder[placeholder] = spec
        fields = self.put(kind, name, placeholder)
        if raw_name is not None:
            placeholder = f'raw {len(self._raw_by_placeholder)}'
            self._raw_by_placeholder[placeholder] = raw_name
            fields['metadata']['name'] = placeholder
        return fields

    def remove(self, kind, name):
        """Remove an object."""
        fields = self.objects_by_kind.get(kind, {}).pop(name, None)
        if fields is not None:
            self.revision += 1
            self._record_event(kind, fields, True)

    def _record_event(self, kind, fields, removed):
        event = {'object': fields, 'removed': removed}
        self.events.append((self.revision, kind, event))
        self._changed.set()
        self._changed = trio.Event()

    def copy(self):
        """Return what `restore` takes."""
        return self.revision, copy.deepcopy(self.objects_by_kind)

    def restore(self, saved):
        """Continue from a copy, as a store does after a disaster."""
        self.revision, self.objects_by_kind = copy.deepcopy(saved)
        self.era += 1
        self.drop_history()

    def drop_history(self):
        """Answer watches from earlier revisions with status 410."""
        self.events.clear()
        self._oldest_revision = self.revision
        self._changed.set()
        self._changed = trio.Event()

    async def _serve(self, connection, head, body):
        self.calls += 1
        status, fields = await self._respond(head, body)
        if status is None:
            await connection.reset()
            return
        payload = json.dumps(fields).encode()
        for placeholder, raw in self._raw_by_placeholder.items():
            payload = payload.replace(json.dumps(placeholder).encode(), raw)
        for mark, replacement in RAW_BY_MARK.items():
            payload = payload.replace(mark, replacement)
        await connection.send(
            b'HTTP/1.1 %d X\r\nstore-era: %d\r\ncontent-length: %d\r\n\r\n'
            % (status, self.era, len(payload))
            + payload
        )

    async def _respond(self, head, body):
        if self.is_down:
            return 503, {}
        url = urllib.parse.urlsplit(head.target.decode())
        kind, _, name = url.path.removeprefix('/-/objects/').partition('/')
        query = dict(urllib.parse.parse_qsl(url.query))
        if head.method == b'GET':
            return await self._read(kind, name, query)
        result = self._write(head.method, kind, name, json.loads(body))
        return (None, None) if self.loses_responses else result

    async def _read(self, kind, name, query):
        objects = self.objects_by_kind.get(kind, {})
        if name:
            found = objects.get(name)
            return (200, found) if found else (404, {})
        if 'watch' in query:
            return await self._watch(kind, query)
        if self.stale_copy is not None and kind in STALE_KINDS:
            objects = self.stale_copy.get(kind, {})
        return 200, {
            'items': list(objects.values()),
            'has_more': False,
            'current_rev': self.revision,
        }

    async def _watch(self, kind, query):
        since = int(query['watch'])
        wait = int(query['wait_ms']) / 1000
        is_ended = self.watch_seconds is not None and self.watch_seconds < wait
        if is_ended:
            wait = self.watch_seconds
        with trio.move_on_after(wait) as scope:
            while self._has(since) and not self._events_since(kind, since):
                await self._changed.wait()
        if is_ended and scope.cancelled_caught:
            self._ended_watch_count += 1
            if self._ended_watch_count % 2:
                return None, None
        if not self._has(since):
            return 410, {}
        return 200, {
            'events': self._events_since(kind, since),
            'current_rev': self.revision,
        }

    def _has(self, revision):
        return self._oldest_revision <= revision <= self.revision

    def _events_since(self, kind, since):
        return [
            event
            for revision, event_kind, event in self.events
            if event_kind == kind and revision > since
        ]

    def _write(self, method, kind, name, fields):
        name = name or fields['metadata']['name']
        current = self.objects_by_kind.get(kind, {}).get(name)
        if method == b'POST' and current is not None:
            return 409, current
        if method == b'PUT':
            if current is None:
                return 404, {}
            expected = fields['metadata'].get('revision')
            if expected not in (None, current['metadata']['revision']):
                return 409, current
        return 200, self.put(kind, name, fields['spec'])
