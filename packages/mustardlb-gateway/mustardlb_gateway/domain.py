"""What the gateway knows of routes, accounts, targets and calls."""

import dataclasses
import enum
import functools


class RouteKind(enum.StrEnum):
    """What a route says about repeating its requests."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAM = 'stream'


class TargetState(enum.StrEnum):
    """What a target says about itself."""

    READY = 'ready'
    DRAINING = 'draining'


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """A service that gets a share of a route's requests."""

    service: str
    weight: int


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Where the requests of a host and path prefix go, and how.

    :ivar timeout: seconds after which a request gets its final answer
    :ivar latency_objective: seconds within which an answer is on time
    :ivar priority: rank, 0 first
    :ivar max_attempts: targets that one request may be sent to
    :ivar is_public: no key is needed
    :ivar is_resumable: a stream may go on at another target
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

    @property
    def may_repeat(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind == RouteKind.STREAM:
            return self.is_resumable
        return self.kind == RouteKind.IDEMPOTENT


@dataclasses.dataclass(frozen=True, slots=True)
class ModelSpec:
    """A base model: sizes in MB, load time in seconds."""

    name: str
    size_mb: float
    load_time: float
    adapter_mb: float


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSpec:
    """What each engine of a service can hold.

    :ivar slots: requests in one batch
    :ivar kv_capacity: tokens of running requests and cached prefixes
    :ivar memory_mb: for weights and adapters together
    :ivar loads_per_second: model loads that the weight store allows
    """

    slots: int
    kv_capacity: int
    memory_mb: float
    adapter_slots: int
    loads_per_second: float
    models_by_name: dict[str, ModelSpec]


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A set of interchangeable targets; `engine` only where they are such."""

    name: str
    max_connections: int
    engine: EngineSpec | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """A client account and its limit over all VMs.

    :ivar priority: rank that goes before the route's, or None
    :ivar counts_tokens: rate and burst are tokens, else requests
    :ivar default_cost: tokens of a request that does not say its size
    :ivar rate: a second; 0 for no limit
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
    """What a client may send; bytes and seconds."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


@dataclasses.dataclass(frozen=True)
class Configuration:
    """Routes, services and accounts that came into force together."""

    version: int
    routes: tuple[Route, ...]
    services_by_name: dict[str, Service]
    accounts_by_name: dict[str, Account] | None
    limits: RequestLimits

    @functools.cached_property
    def account_by_key(self) -> dict[str, Account]:
        """Accounts by each of their keys."""
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
        """Return the route with the longest prefix of a path."""
        for route in self._routes_by_host.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None


@dataclasses.dataclass(frozen=True, slots=True)
class AdapterName:
    """An adapter of a model; '' is the model without one."""

    model: str
    adapter: str = ''

    def __str__(self) -> str:
        """Model and adapter with a slash."""
        return f'{self.model}/{self.adapter}' if self.adapter else self.model

    @classmethod
    def parse(cls, text: str) -> 'AdapterName':
        """Read what `str` wrote.

        >>> AdapterName.parse('base/a1')
        AdapterName(model='base', adapter='a1')
        """
        model, _, adapter = text.partition('/')
        return cls(model, adapter)


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A target as it registered itself.

    :ivar incarnation: differs after each start, also under the same id
    :ivar resident: version of each model and adapter that it holds
    :ivar expires_in: seconds until it is taken away, or None
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


@dataclasses.dataclass(frozen=True, slots=True)
class AdapterVersion:
    """The newest version of an adapter."""

    adapter: AdapterName
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that other requests may share."""

    part_id: str
    tokens: int


Headers = list[tuple[bytes, bytes]]


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One request of a client.

    :ivar request_id: the client's own; each of its tries has another
    :ivar path: path and query as the client wrote them
    :ivar headers: what goes on to the target unchanged
    :ivar client_timeout: seconds that the client waits, or None
    :ivar tokens: prompt tokens and most output tokens, or None
    :ivar prompt_parts: in order; the last belongs to this request alone
    :ivar last_event_id: where a resumed stream goes on
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

    @property
    def prompt_tokens(self) -> int:
        """Tokens to read before the first one is made."""
        return self.tokens[0] if self.tokens else 0


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseInfo:
    """What the head of a target's answer says about it.

    :ivar request_id: whose answer it is, or None
    :ivar is_signed: it bears the target's signature
    :ivar not_executed: the target did not run the request
    :ivar load: running and waiting requests and slots, or None
    """

    request_id: str | None
    is_signed: bool
    not_executed: bool
    load: tuple[int, int, int] | None = None


class OrderKind(enum.StrEnum):
    """What an engine is told to do."""

    LOAD = 'load'
    UNLOAD = 'unload'


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An order to an engine.

    :ivar version: of the adapter, None for the newest
    :ivar fence: fencing token; engines reject lower ones
    :ivar expected: orders that the engine has accepted before this one
    """

    kind: OrderKind
    adapter: AdapterName
    holder: str
    fence: int
    expected: int | None
    version: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class EngineReport:
    """What an engine says of itself, some hundred milliseconds late."""

    resident: dict[AdapterName, int]
    loading: frozenset[AdapterName]
    is_busy: bool
    accepted_orders: int
    incarnation: int
    waiting: int
    running: int
