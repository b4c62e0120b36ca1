"""A store in memory: revisions, conditional writes, watches, and faults."""

import trio

from mustardlb_gateway import ports


class SimulatedStore:
    """Implements ports.Store; faults are set by the test.

    :ivar is_down: every call is refused
    :ivar lose_answers: writes are done and their answers lost
    :ivar delayed: lost writes to be carried out by `carry_out`
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
        self._note(kind, ports.Change(name, self.revision, spec))
        return stored

    def remove(self, kind, name):
        self.revision += 1
        self.objects_by_kind.get(kind, {}).pop(name, None)
        self._note(kind, ports.Change(name, self.revision, None))

    def _note(self, kind, change):
        self.changes_by_kind.setdefault(kind, []).append(change)
        self._changed.set()
        self._changed = trio.Event()

    def compact(self):
        self.oldest_revision = self.revision
        self.changes_by_kind.clear()

    async def _enter(self):
        self.calls += 1
        await trio.lowlevel.checkpoint()
        if self.is_unresponsive:
            await trio.sleep(1.5)
            raise ports.StoreUnavailable('no answer in time', True)
        if self.is_down:
            raise ports.StoreUnavailable('status 503')

    async def list_objects(self, kind):
        await self._enter()
        return list(self.objects_by_kind.get(kind, {}).values()), self.revision

    async def watch(self, kind, revision, wait):
        await self._enter()
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
                raise ports.StoreUnavailable('cut off', True)

    async def get(self, kind, name):
        await self._enter()
        return self.objects_by_kind.get(kind, {}).get(name)

    async def create(self, kind, name, spec):
        await self._enter()
        return await self._write(kind, name, spec, None)

    async def replace(self, kind, name, spec, revision):
        await self._enter()
        return await self._write(kind, name, spec, revision)

    async def _write(self, kind, name, spec, revision):
        if self.delay_writes:
            self.delayed_writes.append((kind, name, spec, revision))
            raise ports.StoreUnavailable('no answer', True)
        written = self.apply_write(kind, name, spec, revision)
        if self.lose_responses:
            raise ports.StoreUnavailable('the answer was lost', True)
        return written

    def apply_write(self, kind, name, spec, revision):
        current = self.objects_by_kind.get(kind, {}).get(name)
        if (current.revision if current else None) != revision:
            raise ports.Conflict(current)
        return self.put(kind, name, spec)
