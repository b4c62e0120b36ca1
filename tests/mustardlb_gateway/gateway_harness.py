"""A gateway that serves HTTP and forwards to scripted targets."""

import contextlib
import dataclasses
import re

import builders
import scripted
import trio

from mustardlb_gateway import _buffers
from mustardlb_gateway import _charging
from mustardlb_gateway import _cold_permits
from mustardlb_gateway import _cold_targets
from mustardlb_gateway import _dispatch
from mustardlb_gateway import _evacuations
from mustardlb_gateway import _exchange
from mustardlb_gateway import _gateway
from mustardlb_gateway import _jobs
from mustardlb_gateway import _metrics
from mustardlb_gateway import _mirror
from mustardlb_gateway import _owners
from mustardlb_gateway import _placement
from mustardlb_gateway import _prefix_index
from mustardlb_gateway import _quarantine
from mustardlb_gateway import _quota
from mustardlb_gateway import _reachability
from mustardlb_gateway import _reported_loads
from mustardlb_gateway import _software_history
from mustardlb_gateway import _stream_origins
from mustardlb_gateway import _target_limits
from mustardlb_gateway import _target_links
from mustardlb_gateway import _target_network
from mustardlb_gateway import _target_permits
from mustardlb_gateway import _target_states
from mustardlb_gateway import _targets
from mustardlb_gateway import domain
from mustardlb_gateway import http_client
from mustardlb_gateway import http_server
from mustardlb_gateway import ports

_EVENT_PATTERN = re.compile(rb'(id: (\d+)\ndata: e\2\n\n)')


def _text(value):
    return value and value.decode()


def _number(value):
    return None if value is None else float(value)


def _load(value):
    if value is None:
        return None
    running, slowdown = value.split(b',')
    return domain.TargetLoad(int(running), 0, 8, float(slowdown))


class TranslationStub:
    """Reads and writes the headers that the tests use.

    Requests have `x-id`, `x-key`, `x-wait` (client timeout in seconds),
    `x-adapter`, `last-event-id` and `x-resumed` (the request that is
    resumed); responses have `x-id`, `x-signed`, `x-not-run`, `x-limit`,
    `x-rest`, `x-leaving`, `x-brittle`, `x-cold` and `x-load` (running requests
    and slowdown).
    """

    def read_target(self, name, spec):
        return spec

    def read_call(self, method, path, headers, body):
        values = dict(headers)
        if b'x-id' not in values:
            raise ValueError('no id')
        adapter = values.get(b'x-adapter')
        return builders.make_call(
            None,
            request_id=values[b'x-id'].decode(),
            method=method,
            path=path,
            body=body,
            key=values.get(b'x-key', b'').decode(),
            client_timeout=float(values.get(b'x-wait', b'2')),
            adapter=adapter and builders.adapter(adapter.decode()),
            tokens=None,
            last_event_id=_text(values.get(b'last-event-id')),
            resumed_id=_text(values.get(b'x-resumed')),
        )

    def forward_headers(
        self, call, target, left, account, priority, version, last_event_id
    ):
        headers = [
            (b'host', b'h'),
            (b'x-id', call.request_id.encode()),
            (b'x-left', b'%.3f' % left),
            (b'x-target', target.target_id.encode()),
        ]
        if last_event_id is not None:
            headers.append((b'last-event-id', last_event_id.encode()))
        return headers

    def read_response(self, headers):
        values = dict(headers)
        request_id = values.get(b'x-id')
        return domain.ResponseInfo(
            request_id and request_id.decode(),
            b'x-signed' in values,
            b'x-not-run' in values,
            _load(values.get(b'x-load')),
            request_limit=float(values[b'x-limit'])
            if b'x-limit' in values
            else None,
            rest=_number(values.get(b'x-rest')),
            is_leaving=b'x-leaving' in values,
            max_rejections=_number(values.get(b'x-brittle')),
            cold_remaining=_number(values.get(b'x-cold')),
        )

    def response_headers(self, headers):
        return [each for each in headers if each[0].startswith(b'x-')]

    def rejection_headers(self, request_id, retry_after):
        if retry_after is None:
            return []
        return [(b'retry-after', b'%.6f' % retry_after)]


class Harness:
    """A gateway with one route and one service.

    :ivar retries_left: retries that the retry budget still permits
    :ivar load_requests: target and adapter of each requested load
    :ivar load_result: whether loads succeed
    :ivar load_age: age of the loads that nodes tell, seconds
    :ivar failures: target, and whether its connection broke, of each failure
        without lasting output
    :ivar permits_trials: whether calls in quarantine are tried
    :ivar buffers: all buffered data, bounded if `memory_mb` is not 0
    :ivar reservations: responses to reservations, None if nobody decides
    """

    def __init__(
        self,
        route,
        accounts=None,
        retries_left=100,
        engine=False,
        memory_mb=0.0,
    ):
        self.buffers = _buffers.Buffers(lambda: memory_mb)
        self.service = builders.make_service(engine=engine)
        self.configuration = builders.make_configuration(
            routes=[route], accounts=accounts, services=[self.service]
        )
        self.retries_left = retries_left
        self.load_requests = []
        self.load_result = True
        self.load_age = 0.0
        self.reservations = []
        self.reserve_requests = []
        self.versions = _jobs.AdapterVersions(0, 0)
        translation = TranslationStub()
        mirror = _mirror.Mirror('servers')
        mirror.is_connected = True
        self.mirror = mirror
        clock = trio.current_time
        self.evacuations = _mirror.Mirror('evacuations')
        evacuations = _evacuations.Evacuations(
            self.evacuations, clock, lambda: 0.0
        )
        self.targets = _targets.TargetTable(
            mirror,
            translation,
            clock,
            evacuations.is_evacuated,
        )
        self.cold = _cold_targets.ColdTargets(
            mirror,
            self.targets,
            lambda name: self.service,
            evacuations,
            lambda target, remaining: None,
            clock,
        )
        self.cold_permits = _cold_permits.ColdPermits(
            'vm1',
            self.cold,
            self.targets.is_evacuated,
            None,
            lambda vm, body: None,
            frozenset,
            frozenset,
            lambda per_second: per_second * 1.5 + 5,
            clock,
        )
        prefix_index = _prefix_index.PrefixIndex(clock)
        self.quota = _quota.Quota(lambda: _quota.Tolerance(0.0, 10.0))
        self.quarantine = _quarantine.Quarantine(clock, lambda: 0.0, clock)
        self.software_history = _software_history.SoftwareHistory(clock)
        mirror.on_change(
            lambda: self.software_history.observe(self.targets.by_id.values())
        )
        self.stream_origins = _stream_origins.StreamOrigins(
            'vm1',
            self.software_history,
            None,
            frozenset,
            lambda vm: 'a',
            dict,
            lambda: True,
            self._confirm,
            clock,
        )
        self.target_limits = _target_limits.TargetLimits(
            self.targets.incarnation, clock
        )
        self.permits = _target_permits.TargetPermits(
            'vm1', self.target_limits, None, frozenset, clock
        )
        self.failures = []
        self.on_send = lambda: None
        self.is_configuration_fresh = True
        self.on_confirm = lambda: None
        self.permits_trials = False
        self.reported_loads = _reported_loads.ReportedLoads(
            clock, self.targets.own_in_flight, self.targets.told_slowdowns
        )
        self.states = _target_states.TargetStates(
            clock,
            self.target_limits,
            'vm1',
            _owners.Owners('vm1', frozenset, clock),
            self.targets.own_in_flight,
            self.targets.record_leaving,
            record_load=self.reported_loads.record,
            record_cold=self.cold.record_response,
        )
        pool = http_client.Pool(0.5)
        self.reachability = _reachability.Reachability(clock)
        links = _target_links.TargetLinks(
            self.reachability,
            pool,
            _target_network.TargetNetwork(None),
            lambda: self.targets.by_id,
            frozenset,
            lambda vm: 'a',
            'a',
        )
        self.dispatcher = _dispatch.Dispatcher(
            _exchange.Exchange(
                translation,
                pool,
                links,
                self.targets,
                prefix_index,
                lambda adapter: self.versions,
                self.quarantine.record_output,
                self.target_limits.record_response,
                self.states,
                None,
                self.stream_origins.record,
                self._ensure_current,
                self.reported_loads.record_response_time,
                buffers=self.buffers,
                may_send=self.cold_permits.may_send,
            ),
            self.targets,
            _placement.Placement(
                self.targets,
                prefix_index,
                lambda target: target.resident,
                lambda target_id: True,
                lambda target_id, adapter: False,
                lambda target_id: 3,
                lambda: self.load_age,
                is_adopted=self.software_history.is_adopted,
                reported_loads=self.reported_loads,
                is_cold=self.cold_permits.is_cold,
            ),
            lambda adapter: self.versions,
            self._load,
            self._reserve,
            self._acquire_retry,
            self.quarantine,
            self._record_failure,
            self.permits,
            self.states,
            self.cold_permits,
            self.cold.record_broken,
        )
        charging = _charging.Charging(
            'vm1', 'a', self.quota, None, None, frozenset, None, clock
        )
        self.gateway = _gateway.Gateway(
            translation,
            self.dispatcher,
            charging,
            _metrics.Metrics(),
            lambda: self.configuration,
            lambda: 0.0,
            lambda service: None,
            lambda: None,
            self.quarantine,
            self._permit_trial,
            self.stream_origins.find,
            clock,
            lambda: self.buffers.is_full,
            self._is_configuration_fresh,
        )
        self.server = http_server.Server(
            self.gateway.handle, domain.RequestLimits, 50, self.buffers
        )

    async def _is_configuration_fresh(self):
        await trio.lowlevel.checkpoint()
        self.on_confirm()
        return self.is_configuration_fresh

    async def _load(self, request):
        await trio.lowlevel.checkpoint()
        self.load_requests.append((request.target_id, request.adapter))
        return self.load_result

    async def _reserve(self, request):
        await trio.lowlevel.checkpoint()
        self.reserve_requests.append(request)
        return self.reservations.pop(0) if self.reservations else None

    def _record_failure(self, target, call, is_broken, sent_seconds_ago):
        self.failures.append((target.target_id, is_broken))

    async def _ensure_current(self):
        await trio.lowlevel.checkpoint()
        self.on_send()

    async def _confirm(self):
        await trio.lowlevel.checkpoint()
        return False

    async def _permit_trial(self, call):
        await trio.lowlevel.checkpoint()
        return self.permits_trials

    def _acquire_retry(self, service):
        self.retries_left -= 1
        return self.retries_left >= 0

    @contextlib.asynccontextmanager
    async def running(self, *scripts, **changes):
        """Run the gateway and one scripted target for each script."""
        async with contextlib.AsyncExitStack() as stack:
            nursery = await stack.enter_async_context(trio.open_nursery())
            self.scripted = [
                await stack.enter_async_context(
                    scripted.ScriptedServer(script).running()
                )
                for script in scripts
            ]
            self.set_targets(**changes)
            self.port = await nursery.start(self.server.serve, '127.0.0.1', 0)
            yield self
            nursery.cancel_scope.cancel()

    def set_targets(self, excluded='', softwares=(), **changes):
        """Register the scripted targets, with their software in order."""
        softwares = softwares or [''] * len(self.scripted)
        listed = [
            builders.make_target(
                f't{number}', port=server.port, software=software, **changes
            )
            for number, (server, software) in enumerate(
                zip(self.scripted, softwares, strict=True)
            )
            if f't{number}' != excluded
        ]
        self.mirror.replace_all(
            [ports.StoredObject(each.target_id, 1, each) for each in listed],
            self.mirror.revision + 1,
        )

    def set_evacuated(self, *data_centres):
        revision = self.evacuations.revision + 1
        self.evacuations.replace_all(
            [ports.StoredObject(name, 1, {}) for name in data_centres],
            revision,
        )

    @property
    def request_count(self):
        """Return the number of requests that the targets received."""
        return sum(len(each.requests) for each in self.scripted)

    @property
    def targets_got(self):
        """Return (head, body) of each request that the targets received."""
        return [each for server in self.scripted for each in server.requests]

    async def send_request(
        self, headers=b'', request_id=b'r1', method=b'POST'
    ):
        """Send one request and return the response."""
        stream = await trio.open_tcp_stream('127.0.0.1', self.port)
        await stream.send_all(
            method + b' /x/ HTTP/1.1\r\nhost: h\r\nconnection: close\r\n'
            b'x-id: ' + request_id + b'\r\n' + headers + b'\r\n'
        )
        data = b''
        with trio.move_on_after(10):
            with contextlib.suppress(trio.BrokenResourceError):
                while more := await stream.receive_some():
                    data += more
        await stream.aclose()
        return Response.parse(data)


@dataclasses.dataclass
class Response:
    status: int
    headers: dict
    body: bytes
    is_complete: bool

    @classmethod
    def parse(cls, data):
        head, _, body = data.partition(b'\r\n\r\n')
        lines = head.split(b'\r\n')
        if not data:
            return cls(0, {}, b'', False)
        headers = {
            name.strip().lower(): value.strip()
            for name, _, value in (line.partition(b':') for line in lines[1:])
        }
        is_complete = body.endswith(b'0\r\n\r\n')
        if b'content-length' in headers:
            is_complete = len(body) == int(headers[b'content-length'])
        return cls(int(lines[0].split()[1]), headers, body, is_complete)

    @property
    def events(self):
        """Return the numbers of the events.

        Asserts that the body consists of well-formed events only.
        """
        found = _EVENT_PATTERN.findall(self.body)
        assert b''.join(event for event, _ in found) == self.content
        return [int(number) for _, number in found]

    @property
    def content(self):
        """Return the body with its chunked encoding removed."""
        rest, content = self.body, b''
        while rest:
            size, _, rest = rest.partition(b'\r\n')
            length = int(size, 16)
            content, rest = content + rest[:length], rest[length + 2 :]
        return content
