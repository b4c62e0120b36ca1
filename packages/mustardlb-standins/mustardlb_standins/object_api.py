"""A simulated object API, in memory and over HTTP."""

import collections
from collections import abc
import dataclasses
from typing import TypeVar

import quart
import quart_trio
import trio

from mustardlb import object_api
from mustardlb_standins import faults
from mustardlb_standins import web

T = TypeVar('T')

# Number of versions that are kept of each object, for stale reads.
HISTORY_SIZE = 8


@dataclasses.dataclass(slots=True)
class MemoryObjectApi:
    """An ObjectApi in memory.

    The fault steps are 'get:<name>', 'list:<prefix>', 'put:<name>',
    'delete:<name>' and 'watch:<name>'.

    :ivar calls: number of calls by operation
    """

    plan: faults.FaultPlan = dataclasses.field(
        default_factory=faults.FaultPlan
    )
    calls: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    _histories: dict[str, list[object_api.Object]] = dataclasses.field(
        default_factory=dict
    )
    _last_version: int = 0
    _changed: trio.lowlevel.ParkingLot = dataclasses.field(
        default_factory=trio.lowlevel.ParkingLot
    )

    def peek(self, name: str, back: int = 0) -> object_api.Object:
        """Return an object, or its state `back` writes ago.

        This is not counted as a call and not subject to faults.
        """
        absent = object_api.Object(name, object_api.ABSENT, b'')
        history = self._histories.get(name, [])
        return history[-1 - back] if len(history) > back else absent

    async def get(self, name: str) -> object_api.Object:
        """See ObjectApi."""

        async def effect() -> object_api.Object:
            return self.peek(name)

        fault = self._next_fault('get', name)
        if fault is not None and fault.kind is faults.Kind.STALE:
            return self.peek(name, back=1)
        return await _inject(fault, effect)

    async def list_versions(self, prefix: str) -> dict[str, int]:
        """See ObjectApi."""

        async def effect() -> dict[str, int]:
            return self._versions(prefix, 0)

        fault = self._next_fault('list', prefix)
        if fault is not None and fault.kind is faults.Kind.STALE:
            return self._versions(prefix, 1)
        return await _inject(fault, effect)

    async def put(self, name: str, value: bytes, expected: int) -> int:
        """See ObjectApi."""

        async def effect() -> int:
            return self._write(name, value, expected)

        return await _inject(self._next_fault('put', name), effect)

    async def delete(self, name: str, expected: int) -> None:
        """See ObjectApi."""

        async def effect() -> None:
            self._write(name, None, expected)

        await _inject(self._next_fault('delete', name), effect)

    async def watch(
        self, name: str, after: int, wait: float
    ) -> object_api.Object | None:
        """See ObjectApi."""

        async def effect() -> object_api.Object | None:
            return await self._wait(name, after, wait)

        fault = self._next_fault('watch', name)
        if fault is None:
            return await effect()
        if fault.kind is faults.Kind.SILENT:
            await trio.sleep(wait)
            return None
        if fault.kind is faults.Kind.SKIP:
            skipped = await self._wait(name, after, wait)
            after = skipped.version if skipped else after
        return await _inject(fault, effect)

    def _next_fault(self, operation: str, name: str) -> faults.Fault | None:
        self.calls[operation] += 1
        return self.plan.next_fault(f'{operation}:{name}')

    def _versions(self, prefix: str, back: int) -> dict[str, int]:
        objects = [
            self.peek(name, back)
            for name in self._histories
            if name.startswith(prefix)
        ]
        return {
            found.name: found.version
            for found in objects
            if found.version != object_api.ABSENT
        }

    def _write(self, name: str, value: bytes | None, expected: int) -> int:
        current = self.peek(name).version
        if current != expected:
            raise object_api.VersionConflict(name, current)
        if value is not None and len(value) > object_api.MAX_VALUE_BYTES:
            raise object_api.ApiRejected(f'{name}: value is too large')
        self._last_version += 1
        version = object_api.ABSENT if value is None else self._last_version
        history = self._histories.setdefault(name, [])
        history.append(object_api.Object(name, version, value or b''))
        del history[:-HISTORY_SIZE]
        self._changed.unpark_all()
        return version

    async def _wait(
        self, name: str, after: int, wait: float
    ) -> object_api.Object | None:
        with trio.move_on_after(wait):
            while self.peek(name).version <= after:
                await self._changed.park()
            return self.peek(name)
        return None


async def _inject(
    fault: faults.Fault | None, effect: abc.Callable[[], abc.Awaitable[T]]
) -> T:
    await trio.lowlevel.checkpoint()
    if fault is None:
        return await effect()
    try:
        return await faults.inject(fault, effect)
    except faults.NoResponse as error:
        raise object_api.ApiUnavailable('no response') from error


def build(api: MemoryObjectApi) -> quart_trio.QuartTrio:
    """Return the application; see docs/interfaces/object-api.md."""
    app = web.build_app(api.plan)

    @app.get('/objects')
    async def list_versions() -> web.Response:
        prefix = quart.request.args.get('prefix', '')
        return {'versions': await api.list_versions(prefix)}

    @app.get('/objects/<path:name>')
    async def get(name: str) -> web.Response:
        if 'after' not in quart.request.args:
            return _object_response(await api.get(name))
        after = int(quart.request.args['after'])
        wait = float(quart.request.args.get('wait', '0'))
        found = await api.watch(name, after, wait)
        return ('', 204) if found is None else _object_response(found)

    @app.put('/objects/<path:name>')
    async def put(name: str) -> web.Response:
        value = await web.read_body()
        version = await api.put(name, value, _expected_version())
        return '', 200, {'ETag': f'"{version}"'}

    @app.delete('/objects/<path:name>')
    async def delete(name: str) -> web.Response:
        await api.delete(name, _expected_version())
        return '', 204

    @app.errorhandler(object_api.VersionConflict)
    async def conflict(error: object_api.VersionConflict) -> web.Response:
        return '', 412, {'ETag': f'"{error.current}"'}

    @app.errorhandler(object_api.ApiRejected)
    async def rejected(error: object_api.ApiRejected) -> web.Response:
        return str(error), 413

    @app.errorhandler(object_api.ApiUnavailable)
    async def unavailable(error: object_api.ApiUnavailable) -> web.Response:
        return '', 503

    return app


def _object_response(found: object_api.Object) -> web.Response:
    status = 404 if found.version == object_api.ABSENT else 200
    return found.value, status, {'ETag': f'"{found.version}"'}


def _expected_version() -> int:
    headers = quart.request.headers
    if headers.get('If-None-Match') == '*':
        return object_api.ABSENT
    return int(headers['If-Match'].strip('"'))
