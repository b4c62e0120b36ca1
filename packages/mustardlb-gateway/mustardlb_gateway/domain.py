"""Domain types: routes, accounts, targets, calls and engine commands."""

import dataclasses
import enum
import functools


class RouteKind(enum.StrEnum):
    """Kind of a route, which determines whether requests are retried."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAM = 'stream'


class TargetState(enum.StrEnum):
    """State of a target as stated in its registration."""

    READY = 'ready'
    DRAINING = 'draining'


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """A service and its weight among the services of a route."""

    service: str
    weight: int


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Routing rule for the requests of a host and path prefix.

    :ivar timeout: seconds until a request fails with an error
    :ivar latency_objective: seconds within which a response is on time
    :ivar priority: rank, 0 first
    :ivar max_attempts: maximum number of targets tried for one request
    :ivar is_public: no API key is required
    :ivar is_resumable: a stream may be resumed at another target
    :ivar gap_objective: longest pause between the events of a stream that is
        on time, seconds, None if the route does not say
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    services: tuple[WeightedService, ...]
    timeout: float
    latency_objective: float
    priority: int = 5
    max_attempts: int = 1
    is_public: bool = False
    is_resumable: bool = False
    gap_objective: float | None = None

    @property
    def service_names(self) -> tuple[str, ...]:
        """Return the names of the services."""
        return tuple(each.service for each in self.services)

    @property
    def may_repeat(self) -> bool:
        """Return whether a request may be executed more than once."""
        if self.kind == RouteKind.STREAM:
            return self.is_resumable
        return self.kind == RouteKind.IDEMPOTENT


@dataclasses.dataclass(frozen=True, slots=True)
class ModelSpec:
    """A base model; sizes are in MB, the load time in seconds."""

    name: str
    size_mb: float
    load_time: float
    adapter_mb: float


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSpec:
    """Capacity of each engine of a service.

    :ivar slots: maximum number of requests in one batch
    :ivar kv_capacity: tokens in the KV cache, for running requests and
        cached prefixes
    :ivar memory_mb: memory for model weights and adapters together
    :ivar loads_per_second: model loads per second that the weight store
        permits
    """

    slots: int
    kv_capacity: int
    memory_mb: float
    adapter_slots: int
    loads_per_second: float
    models_by_name: dict[str, ModelSpec]


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A set of interchangeable targets.

    :ivar engine: None for plain targets
    :ivar cold_start: seconds for which a target is cold after its start
    :ivar cold_per_second: requests a second that a cold target tolerates from
        all nodes together, 0 for no such limit
    """

    name: str
    max_connections: int
    engine: EngineSpec | None = None
    cold_start: float = 0.0
    cold_per_second: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """A client account and its rate limit over all VMs.

    :ivar priority: rank that overrides the route's, or None
    :ivar counts_tokens: rate and burst are in tokens, else in requests
    :ivar default_cost: tokens charged for a request of unknown size
    :ivar rate: tokens or requests per second, 0 for no limit
    """

    name: str
    keys: frozenset[str]
    priority: int | None = None
    counts_tokens: bool = False
    default_cost: float = 1.0
    rate: float = 0.0
    burst: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class RequestLimits:
    """Limits on client requests, in bytes and seconds."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


@dataclasses.dataclass(frozen=True)
class Configuration:
    """Routes, services and accounts of one configuration version.

    :ivar accounts_by_name: None if no request needs an API key
    """

    version: int
    routes: tuple[Route, ...]
    services_by_name: dict[str, Service]
    accounts_by_name: dict[str, Account] | None
    limits: RequestLimits

    @functools.cached_property
    def account_by_key(self) -> dict[str, Account]:
        """Return the accounts by API key; an account may have several."""
        accounts = (self.accounts_by_name or {}).values()
        return {key: each for each in accounts for key in each.keys}

    @functools.cached_property
    def _routes_by_host(self) -> dict[str, list[Route]]:
        by_host: dict[str, list[Route]] = {}
        longest_first = sorted(
            self.routes, key=lambda route: -len(route.path_prefix)
        )
        for route in longest_first:
            by_host.setdefault(route.host.lower(), []).append(route)
        return by_host

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path, or None."""
        for route in self._routes_by_host.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None


@dataclasses.dataclass(frozen=True, slots=True)
class AdapterName:
    """A model and one of its adapters, which is '' for the base model."""

    model: str
    adapter: str = ''

    def __str__(self) -> str:
        """Return model and adapter joined by a slash."""
        return f'{self.model}/{self.adapter}' if self.adapter else self.model

    @classmethod
    def parse(cls, text: str) -> 'AdapterName':
        """Parse the result of `str`.

        >>> AdapterName.parse('base/a1')
        AdapterName(model='base', adapter='a1')
        """
        model, _, adapter = text.partition('/')
        return cls(model, adapter)


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A target as registered in the store.

    :ivar incarnation: differs after each start, also with the same ID
    :ivar resident: version of each resident model and adapter
    :ivar expires_in: seconds until the platform removes the target, or None
    :ivar software: version of its software; the streams of two versions do
        not fit together
    :ivar cold_remaining: seconds for which the target is still cold, as of
        its registration
    """

    target_id: str
    service: str
    host: str
    port: int
    data_centre: str
    state: TargetState
    slots: int
    incarnation: int
    resident: dict[AdapterName, int]
    expires_in: float | None = None
    software: str = ''
    cold_remaining: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class AdapterVersion:
    """The newest version of an adapter."""

    adapter: AdapterName
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that may be shared with other requests."""

    part_id: str
    tokens: int


Headers = list[tuple[bytes, bytes]]


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One request of a client.

    :ivar request_id: set by the client, different for each of its retries
    :ivar path: path and query string as received
    :ivar headers: headers forwarded to the target unchanged
    :ivar key: API key, or None
    :ivar client_timeout: seconds until the client times out, or None
    :ivar tokens: prompt tokens and maximum output tokens, or None
    :ivar prompt_parts: in order; the last is unique to this request
    :ivar last_event_id: last event received before a stream is resumed
    :ivar resumed_id: id of the request that brought the first event of the
        stream that is resumed, or None
    """

    request_id: str
    method: bytes
    path: bytes
    host: str
    headers: Headers
    body: bytes
    key: str | None
    client_timeout: float | None
    adapter: AdapterName | None = None
    tokens: tuple[int, int] | None = None
    prompt_parts: tuple[PromptPart, ...] = ()
    last_event_id: str | None = None
    resumed_id: str | None = None

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Return the ids of the prompt's parts that others may share."""
        return tuple(part.part_id for part in self.prompt_parts[:-1])

    @property
    def prompt_tokens(self) -> int:
        """Return the number of tokens in the prompt, 0 if unknown."""
        return self.tokens[0] if self.tokens else 0


@dataclasses.dataclass(frozen=True, slots=True)
class TargetLoad:
    """Load that a target reports in a response.

    :ivar running: requests in progress
    :ivar waiting: requests in its queue
    :ivar slowdown: time that work takes on its machine at this moment, as a
        ratio of the usual time, None if the target does not report it
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseInfo:
    """Headers of a target's response, decoded.

    :ivar request_id: request that the response belongs to, or None
    :ivar is_signed: the response has the target's signature
    :ivar not_executed: the target did not execute the request
    :ivar load: load of the target, None without a valid report
    :ivar request_limit: requests a second that the target accepts from all
        nodes together, None for no limit
    :ivar rest: seconds for which a target that rejects the request wants no
        further one from this node, or None
    :ivar is_leaving: the target will end soon
    :ivar max_rejections: requests a second that a brittle target can reject
        without failing, None if it is not brittle
    :ivar cold_remaining: seconds for which the target is still cold, None if
        it does not say so
    """

    request_id: str | None
    is_signed: bool
    not_executed: bool
    load: TargetLoad | None = None
    request_limit: float | None = None
    rest: float | None = None
    is_leaving: bool = False
    max_rejections: float | None = None
    cold_remaining: float | None = None


class CommandKind(enum.StrEnum):
    """Operation requested by a command."""

    LOAD = 'load'
    UNLOAD = 'unload'


@dataclasses.dataclass(frozen=True, slots=True)
class Command:
    """A command to load or unload an adapter or model on an engine.

    :ivar holder: node that holds the lease on the engine
    :ivar fence: fencing token, which grows with each holder; engines refuse
        lower ones
    :ivar expected: expected count of commands accepted so far, else the engine
        refuses the command; None for no check
    :ivar version: version of the adapter, None for the newest
    """

    kind: CommandKind
    adapter: AdapterName
    holder: str
    fence: int
    expected: int | None
    version: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class EngineReport:
    """State reported by an engine, some hundred milliseconds old.

    :ivar loading: adapters and models being loaded
    :ivar accepted_commands: count of commands accepted so far
    :ivar waiting: queued requests
    :ivar running: running requests
    """

    resident: dict[AdapterName, int]
    loading: frozenset[AdapterName]
    is_busy: bool
    accepted_commands: int
    incarnation: int
    waiting: int
    running: int
