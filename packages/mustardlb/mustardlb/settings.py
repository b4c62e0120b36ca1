"""Settings of the node and of the command line, read from TOML files."""

from collections import abc
import ipaddress
import pathlib
import typing

import msgspec

from mustardlb import documents
from mustardlb import routes

Port = typing.Annotated[int, msgspec.Meta(ge=0, le=65535)]
Seconds = typing.Annotated[float, msgspec.Meta(gt=0, le=86_400)]
Bytes = typing.Annotated[int, msgspec.Meta(ge=1, le=2**40)]
Count = typing.Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]


class _Section(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """A table of a settings file; unknown keys are faults."""


class Tls(_Section, frozen=True, kw_only=True):
    """Files of a TLS endpoint; relative paths start at the settings file.

    :ivar certificate: own certificate chain, PEM
    :ivar key: private key of the certificate, PEM
    :ivar authority: certificates that the other side's must be signed by,
        PEM; for callers '' asks for no certificate
    """

    certificate: str
    key: str
    authority: str = ''


class Listener(_Section, frozen=True, kw_only=True):
    """An address to listen on.

    :ivar address: IP number
    :ivar port: TCP port, 0 lets the system choose
    :ivar tls: None for plain text, which needs `insecure = true`
    """

    address: str
    port: Port
    tls: Tls | None = None


class Endpoint(_Section, frozen=True, kw_only=True):
    """An HTTP service of the platform.

    :ivar url: base URL
    :ivar authority: certificates that its own must be signed by, PEM; ''
        for the system's
    :ivar timeout: time for one call, seconds
    """

    url: str
    authority: str = ''
    timeout: Seconds = 2.0


class Statsd(_Section, frozen=True, kw_only=True):
    """Where metrics are sent to, over UDP."""

    address: str
    port: Port = 8125
    prefix: str = 'mustardlb'


class Limits(_Section, frozen=True, kw_only=True):
    """Bounds of what callers can make the node hold.

    :ivar header_bytes: request line and headers of one request
    :ivar body_bytes: body of a request to an engine
    :ivar header_time: until the headers are there, seconds
    :ivar body_time: between two pieces of a request body, seconds
    :ivar response_time: until a target's answer begins, seconds
    :ivar idle_time: between two pieces of a target's answer, seconds
    :ivar queue_time: wait for a place on a target, seconds
    :ivar token_time: wait for tokens before a call is refused, seconds
    :ivar connections: open connections of callers
    :ivar streams: requests in flight
    """

    header_bytes: Bytes = 32_768
    body_bytes: Bytes = 8_388_608
    header_time: Seconds = 10.0
    body_time: Seconds = 30.0
    response_time: Seconds = 120.0
    idle_time: Seconds = 60.0
    queue_time: Seconds = 10.0
    token_time: Seconds = 1.0
    connections: Count = 10_000
    streams: Count = 2_000


class NodeSettings(_Section, frozen=True, kw_only=True):
    """Settings of `mustardlbd`.

    :ivar vm_id: the VM's id on the VM list; or
    :ivar vm_id_file: a file that holds it
    :ivar data_centre: name of the data centre the VM is in
    :ivar drain_time: longest graceful shutdown, seconds
    :ivar insecure: True allows plain text where `tls` is left out
    :ivar weight_store: None where engines load without its help
    :ivar statsd: None sends no metrics
    """

    data_centre: documents.Name
    callers: Listener
    peers: Listener
    admin: Listener
    object_api: Endpoint
    vm_list: Endpoint
    vm_id: str = ''
    vm_id_file: str = ''
    weight_store: Endpoint | None = None
    statsd: Statsd | None = None
    limits: Limits = Limits()
    drain_time: Seconds = 60.0
    insecure: bool = False


class CommandSettings(_Section, frozen=True, kw_only=True):
    """Settings of the command line `mustardlb`.

    :ivar admin_tls: identity shown to the nodes' admin ports; None for
        plain text, which needs `insecure = true`
    :ivar wait: how long a change is waited for, seconds
    """

    object_api: Endpoint
    vm_list: Endpoint
    admin_tls: Tls | None = None
    wait: Seconds = 15.0
    insecure: bool = False


S = typing.TypeVar('S', NodeSettings, CommandSettings)


def load_node(path: pathlib.Path) -> NodeSettings:
    """Read a node's settings; `vm_id` is filled in from `vm_id_file`.

    File names come back absolute. Raises InvalidDocument with every fault.
    """
    return _load(path, NodeSettings, _check_node, _finish_node)


def load_command(path: pathlib.Path) -> CommandSettings:
    """Read the command line's settings.

    File names come back absolute. Raises InvalidDocument with every fault.
    """
    return _load(path, CommandSettings, _check_command, lambda found: found)


def _load(
    path: pathlib.Path,
    kind: type[S],
    check: abc.Callable[[S], abc.Iterable[documents.Finding]],
    finish: abc.Callable[[S], S],
) -> S:
    text = documents.read_file(path)
    base = path.resolve().parent

    def check_with_files(found: S) -> abc.Iterator[documents.Finding]:
        yield from check(found)
        yield from _check_files(found, base)

    settings = documents.parse_toml(text, kind, str(path), check_with_files)
    return finish(_with_absolute_files(settings, base))


def _check_node(settings: NodeSettings) -> abc.Iterator[documents.Finding]:
    if bool(settings.vm_id) == bool(settings.vm_id_file):
        yield 'vm_id', settings.vm_id, 'give either vm_id or vm_id_file'
    listeners = {
        'callers': settings.callers,
        'peers': settings.peers,
        'admin': settings.admin,
    }
    for key, listener in listeners.items():
        yield from _check_address(f'{key}.address', listener.address)
        if listener.tls is None and not settings.insecure:
            yield key, listener.port, 'has no tls, and insecure is not true'
        if key != 'callers' and listener.tls and not listener.tls.authority:
            yield f'{key}.tls.authority', '', 'is needed for mutual TLS'
    if settings.statsd:
        yield from _check_address('statsd.address', settings.statsd.address)
    endpoints = {
        'object_api': settings.object_api,
        'vm_list': settings.vm_list,
        'weight_store': settings.weight_store,
    }
    yield from _check_endpoints(endpoints)


def _check_command(
    settings: CommandSettings,
) -> abc.Iterator[documents.Finding]:
    if settings.admin_tls is None and not settings.insecure:
        yield 'admin_tls', '', 'is left out, and insecure is not true'
    if settings.admin_tls and not settings.admin_tls.authority:
        yield 'admin_tls.authority', '', 'is needed for mutual TLS'
    endpoints = {
        'object_api': settings.object_api,
        'vm_list': settings.vm_list,
    }
    yield from _check_endpoints(endpoints)


def _check_address(key: str, value: str) -> abc.Iterator[documents.Finding]:
    try:
        ipaddress.ip_address(value)
    except ValueError:
        yield key, value, 'must be an IP number'


def _check_endpoints(
    endpoints: abc.Mapping[str, Endpoint | None],
) -> abc.Iterator[documents.Finding]:
    for key, endpoint in endpoints.items():
        problem = routes.url_problem(endpoint.url) if endpoint else ''
        if endpoint and problem:
            yield f'{key}.url', endpoint.url, problem


# Keys that hold the name of a file.
_FILE_KEYS = ('certificate', 'key', 'authority', 'vm_id_file')


def _check_files(
    section: msgspec.Struct, base: pathlib.Path, prefix: str = ''
) -> abc.Iterator[documents.Finding]:
    """Yield a finding for each named file that cannot be read."""
    for name in section.__struct_fields__:
        value = getattr(section, name)
        if isinstance(value, msgspec.Struct):
            yield from _check_files(value, base, f'{prefix}{name}.')
        elif name in _FILE_KEYS and value:
            problem = _file_problem(base / value)
            if problem:
                yield f'{prefix}{name}', value, problem


def _file_problem(path: pathlib.Path) -> str:
    try:
        text = path.read_text(encoding='utf-8')
    except OSError as error:
        return f'cannot be read: {error.strerror}'
    except UnicodeDecodeError:
        return 'is not text'
    return '' if text.strip() else 'is empty'


def _with_absolute_files(section: S, base: pathlib.Path) -> S:
    changes: dict[str, typing.Any] = {}
    for name in section.__struct_fields__:
        value = getattr(section, name)
        if isinstance(value, msgspec.Struct):
            changes[name] = _with_absolute_files(
                typing.cast(typing.Any, value), base
            )
        elif name in _FILE_KEYS and value:
            changes[name] = str(base / value)
    return msgspec.structs.replace(section, **changes)


def _finish_node(settings: NodeSettings) -> NodeSettings:
    if not settings.vm_id_file:
        return settings
    text = pathlib.Path(settings.vm_id_file).read_text(encoding='utf-8')
    return msgspec.structs.replace(settings, vm_id=text.strip())
