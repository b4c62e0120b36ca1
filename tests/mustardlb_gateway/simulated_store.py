"""An in-memory store with revisions, conditional writes and watches."""

import trio

from mustardlb_gateway import ports


class SimulatedStore:
    """Implements ports.Store with faults that a test can set.

    :ivar oldest_revision: earlier changes are compacted
    :ivar is_down: whether calls are rejected
    :ivar is_unresponsive: whether calls time out
    :ivar lose_responses: whether writes are applied without a response
    :ivar delay_writes: whether writes are put in `delayed_writes` instead
    :ivar delayed_writes: arguments of `apply_write` for each delayed write
    :ivar calls: number of calls so far
    """

    def __init__(self):
        self.revision = 1
        self.objects_by_kind = {}
        self.changes_by_kind = {}
        self.oldest_revision = 0
        self.is_down = False
        self.is_unresponsive = False
        self.lose_responses = False
        self.delay_writes = False
        self.delayed_writes = []
        self.calls = 0
        self._changed = trio.Event()

    def put(self, kind, name, spec):
        self.revision += 1
        stored = ports.StoredObject(name, self.revision, spec)
        self.objects_by_kind.setdefault(kind, {})[name] = stored
        self._record_change(kind, ports.Change(name, self.revision, spec))
        return stored

    def remove(self, kind, name):
        self.revision += 1
        self.objects_by_kind.get(kind, {}).pop(name, None)
        self._record_change(kind, ports.Change(name, self.revision, None))

    def _record_change(self, kind, change):
        self.changes_by_kind.setdefault(kind, []).append(change)
        self._changed.set()
        self._changed = trio.Event()

    def compact(self):
        self.oldest_revision = self.revision
        self.changes_by_kind.clear()

    async def _begin_call(self):
        self.calls += 1
        await trio.lowlevel.checkpoint()
        if self.is_unresponsive:
            await trio.sleep(1.5)
            raise ports.StoreUnavailable('no response in time', True)
        if self.is_down:
            raise ports.StoreUnavailable('status 503')

    async def list_objects(self, kind):
        await self._begin_call()
        objects = self.objects_by_kind.get(kind, {}).values()
        return ports.Listing(tuple(objects), self.revision)

    async def watch(self, kind, revision, wait):
        await self._begin_call()
        deadline = trio.current_time() + wait
        while True:
            if revision < self.oldest_revision:
                raise ports.RevisionCompacted
            found = tuple(
                change
                for change in self.changes_by_kind.get(kind, ())
                if change.revision > revision
            )
            if found or trio.current_time() >= deadline:
                return ports.Changes(found, self.revision)
            with trio.move_on_at(deadline):
                await self._changed.wait()
            if self.is_down:
                raise ports.StoreUnavailable('connection closed', True)

    async def get(self, kind, name):
        await self._begin_call()
        return self.objects_by_kind.get(kind, {}).get(name)

    async def create(self, kind, name, spec):
        await self._begin_call()
        return await self._write(kind, name, spec, None)

    async def replace(self, kind, name, spec, revision):
        await self._begin_call()
        return await self._write(kind, name, spec, revision)

    async def _write(self, kind, name, spec, revision):
        if self.delay_writes:
            self.delayed_writes.append((kind, name, spec, revision))
            raise ports.StoreUnavailable('no response', True)
        written = self.apply_write(kind, name, spec, revision)
        if self.lose_responses:
            raise ports.StoreUnavailable('the response was lost', True)
        return written

    def apply_write(self, kind, name, spec, revision):
        current = self.objects_by_kind.get(kind, {}).get(name)
        if (current.revision if current else None) != revision:
            raise ports.Conflict(current)
        return self.put(kind, name, spec)
