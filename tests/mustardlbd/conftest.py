"""The client API of one node over real sockets, with simulated targets."""

import contextlib
import dataclasses
import datetime

import httpx
import pytest
import trio

from mustardlb import contracts
from mustardlb import decoded_configuration
from mustardlb import errors
from mustardlb import keys
from mustardlb import routes
from mustardlb import steps
from mustardlb_standins import engine
from mustardlb_standins import engine_app
from mustardlb_standins import plain_service
from mustardlb_standins import web
from mustardlbd import _caller_settings
from mustardlbd import _callers
from mustardlbd import _dependencies
from mustardlbd import _http_connection
from mustardlbd import _metrics

NOW = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
MODEL = 'oak@1'


class Reservation:
    """A reservation of fake rate limits, which is settled exactly once."""

    def __init__(self, cost):
        self.cost = cost
        self.used = None

    def settle(self, tokens):
        assert self.used is None
        self.used = tokens


class Hold:
    """Blocks calls of a dependency until `proceed` is set."""

    def __init__(self):
        self.waiting = trio.Event()
        self.proceed = trio.Event()

    async def wait(self):
        self.waiting.set()
        await self.proceed.wait()


class FrontEnd:
    """The fake dependencies of a node's client API, controlled by tests."""

    def __init__(self, engines_by_url, desk_url, desk_service):
        self.engines_by_url = engines_by_url
        self.desk = desk_service
        self.desk_url = desk_url
        self.keys_by_account = {}
        self.contracts = {}
        self.routes = {}
        self.targets = {}
        self.records = {}
        self.fresh = True
        self.reservations = []
        self.attempts_by_key = {}
        self.gate = None
        self.holds_by_name = {}
        self.rejection = None
        self.stop = trio.Event()
        self.changed = trio.Event()
        self.configuration = decoded_configuration.Configuration()
        self.add_route('ledger', '/')
        self.add_route('open', '/echo/open', open=True)
        self.add_target('desk-1', desk_url)
        self.add_account('canopy')

    @property
    def engines(self):
        return list(self.engines_by_url.values())

    def hold(self, name):
        """Block the calls of `reserve` or `begin`; return the Hold."""
        return self.holds_by_name.setdefault(name, Hold())

    async def wait_if_held(self, name):
        if name in self.holds_by_name:
            await self.holds_by_name[name].wait()

    def add_account(self, name, **fields):
        fields = {'rate': 10**6, 'burst': 10**7, 'grants': ('oak@*',)} | fields
        self.contracts[name] = contracts.Contract(account=name, **fields)
        key = keys.issue(name, NOW)
        self.keys_by_account[name] = key.text
        self.records[name] = key.record
        self.publish()

    def add_route(self, name, prefix, **fields):
        self.routes[name] = routes.Route(
            name=name, prefix=prefix, group='desk', **fields
        )

    def add_target(self, name, url):
        self.targets[name] = routes.Target(
            name=name,
            kind=routes.TargetKind.SERVICE,
            url=url,
            group='desk',
            data_centre='dc',
        )
        self.publish()

    def outcomes(self):
        return {
            key
            for key, attempt in self.attempts_by_key.items()
            if isinstance(attempt, _dependencies.RecordedOutcome)
        }

    def withdraw(self, name):
        self.records[name] = withdrawn(self.records[name])
        self.publish()

    def publish(self):
        self.configuration = decoded_configuration.Configuration(
            revision=self.configuration.revision + 1,
            contracts_by_account=dict(self.contracts),
            keys_by_id={one.key_id: one for one in self.records.values()},
            targets_by_name=dict(sorted(self.targets.items())),
            routes=tuple(
                sorted(self.routes.values(), key=lambda r: -len(r.prefix))
            ),
        )
        self.changed.set()
        self.changed = trio.Event()

    def check_fresh(self, step):
        if not self.fresh:
            raise errors.Error(
                errors.Code.NODE_NOT_CURRENT,
                'not current',
                step,
                not_run=True,
                retry_after=1.0,
            )

    async def reserve(self, account, tokens, wait):
        await self.wait_if_held('reserve')
        if self.rejection is not None:
            raise self.rejection
        reservation = Reservation(tokens)
        self.reservations.append(reservation)
        return reservation

    @contextlib.asynccontextmanager
    async def place(self, model, account, wait, avoid):
        if self.gate is not None:
            await self.gate.wait()
        for index, url in enumerate(self.engines_by_url):
            if f'engine-{index}' not in avoid:
                yield _dependencies.Placement(f'engine-{index}', url, model)
                return
        raise errors.Error(
            errors.Code.NO_TARGET,
            'no engine is left',
            steps.Step.PLACEMENT,
            not_run=True,
        )

    async def begin(self, account, key, fingerprint):
        await self.wait_if_held('begin')
        known = self.attempts_by_key.get((account, key))
        if isinstance(known, _dependencies.RecordedOutcome):
            return known
        return Attempt(self.attempts_by_key, (account, key))

    async def wait_revision(self, revision, wait):
        with trio.move_on_after(wait):
            while self.configuration.revision < revision:
                await self.changed.wait()

    def status(self):
        return {'vm_id': 'vm-1', 'revision': self.configuration.revision}

    def dependencies(self):
        return _dependencies.Dependencies(
            directory=lambda: self.configuration,
            check_fresh=self.check_fresh,
            check_ready=lambda: self.check_fresh(steps.Step.START),
            status=self.status,
            wait_revision=self.wait_revision,
            reserve=self.reserve,
            place=self.place,
            begin=self.begin,
        )

    def headers(self, account='canopy'):
        return {'Authorization': f'Bearer {self.keys_by_account[account]}'}

    def received(self):
        """Return everything that any simulated target was sent, as text."""
        return repr([one.received for one in [*self.engines, self.desk]])


def withdrawn(record):
    return keys.KeyRecord(
        record.key_id, record.account, record.digest, record.issued_at, NOW
    )


class Attempt:
    def __init__(self, attempts_by_key, key):
        self.attempts_by_key = attempts_by_key
        self.key = key
        attempts_by_key[key] = self

    async def finish(self, status, headers, body):
        self.attempts_by_key[self.key] = _dependencies.RecordedOutcome(
            status, headers, body
        )

    async def not_run(self):
        del self.attempts_by_key[self.key]


@dataclasses.dataclass
class Site:
    front: FrontEnd
    url: str
    client: httpx.AsyncClient
    nursery: trio.Nursery
    metrics: _metrics.Metrics
    served: trio.Event


@contextlib.asynccontextmanager
async def open_site(engines=1, settings=None, **engine_settings):
    engine_fields = {'step_time': 0.001, 'prefill_time': 0.0} | engine_settings
    settings = settings or _caller_settings.CallerSettings(
        server=_http_connection.ServerSettings(stop_timeout=10.0),
        notice_time=0.05,
    )
    async with contextlib.AsyncExitStack() as stack:
        engines_by_url = {}
        for _ in range(engines):
            one = engine.Engine(engine.Settings(**engine_fields))
            one.resident.add(MODEL)
            app = engine_app.build(one)
            url = await stack.enter_async_context(
                web.serving(app, background=one.run)
            )
            engines_by_url[url] = one
        desk_service = plain_service.PlainService(0.0)
        desk_url = await stack.enter_async_context(
            web.serving(plain_service.build(desk_service))
        )
        front = FrontEnd(engines_by_url, desk_url, desk_service)
        nursery = await stack.enter_async_context(trio.open_nursery())
        metrics = _metrics.Metrics()
        served = trio.Event()

        async def serve(task_status):
            await _callers.serve(
                front.dependencies(),
                settings,
                metrics,
                stop=front.stop,
                task_status=task_status,
            )
            served.set()

        port = await nursery.start(serve)
        url = f'http://127.0.0.1:{port}'
        client = await stack.enter_async_context(
            httpx.AsyncClient(base_url=url, timeout=20.0, trust_env=False)
        )
        yield Site(front, url, client, nursery, metrics, served)
        nursery.cancel_scope.cancel()


@pytest.fixture
def site():
    """Open a site: `async with site(engines=2) as one:`."""
    return open_site


@pytest.fixture
def caller_settings():
    """Make settings; fields of ServerSettings go to its `server`."""

    def make(**fields):
        names = {
            field.name
            for field in dataclasses.fields(_http_connection.ServerSettings)
        }
        server = {name: fields.pop(name) for name in names & fields.keys()}
        return _caller_settings.CallerSettings(
            server=_http_connection.ServerSettings(**server), **fields
        )

    return make
