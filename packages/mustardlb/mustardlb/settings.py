"""Settings of the node and the command line, loaded from TOML files."""

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
    """A table of a settings file, in which unknown keys are errors."""


class Tls(_Section, frozen=True, kw_only=True):
    """Files of a TLS endpoint; paths are relative to the settings file.

    :ivar certificate: own certificate chain, PEM
    :ivar key: private key of the certificate, PEM
    :ivar authority: CA certificates that verify the other side, PEM; on the
        port for callers, '' requests no client certificate
    """

    certificate: str
    key: str
    authority: str = ''


class Listener(_Section, frozen=True, kw_only=True):
    """An address to listen on.

    :ivar address: IP address
    :ivar port: TCP port, 0 for one chosen by the system
    :ivar tls: None for plain text, which requires `insecure = true`
    """

    address: str
    port: Port
    tls: Tls | None = None


class Endpoint(_Section, frozen=True, kw_only=True):
    """An HTTP service of the platform.

    :ivar url: base URL
    :ivar authority: CA certificates that verify the service, PEM; '' for
        those of the system
    :ivar timeout: timeout of one call, seconds
    """

    url: str
    authority: str = ''
    timeout: Seconds = 2.0


class Statsd(_Section, frozen=True, kw_only=True):
    """The statsd server that metrics are sent to, over UDP."""

    address: str
    port: Port = 8125
    prefix: str = 'mustardlb'


class Limits(_Section, frozen=True, kw_only=True):
    """Limits on the resources that callers can occupy on a node.

    :ivar header_bytes: maximum size of request line and headers
    :ivar body_bytes: maximum size of the body of a request to an engine
    :ivar header_time: timeout for receiving the headers, seconds
    :ivar body_time: timeout between two chunks of a request body, seconds
    :ivar response_time: timeout until a target's response begins, seconds
    :ivar idle_time: timeout between two chunks of a target's response,
        seconds
    :ivar queue_time: timeout in the queue for a target, seconds
    :ivar token_time: timeout for tokens before a call is rejected, seconds
    :ivar connections: maximum number of open connections of callers
    :ivar streams: maximum number of requests in flight
    :ivar queued: maximum number of requests of one account that are queued
        because of its concurrency limit
    :ivar write_time: timeout until a caller has read one block, seconds
    :ivar notice_time: time for which a stopping node continues to accept
        requests, seconds
    :ivar default_tokens: limit of generated tokens if a request sets none
    :ivar max_tokens: maximum token limit of a request, for each choice
    :ivar max_choices: maximum number of choices of a request
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
    queued: Count = 256
    write_time: Seconds = 30.0
    notice_time: Seconds = 3.0
    default_tokens: Count = 1_024
    max_tokens: Count = 16_384
    max_choices: Count = 8


class NodeSettings(_Section, frozen=True, kw_only=True):
    """Settings of `mustardlbd`.

    :ivar data_centre: name of the data centre of the VM
    :ivar callers: listener for callers
    :ivar peers: listener for other nodes
    :ivar admin: listener for operators
    :ivar vm_id: id of the VM in the VM list; excludes `vm_id_file`
    :ivar vm_id_file: file that contains the id
    :ivar weight_store: None if engines load weights without it
    :ivar statsd: None to send no metrics
    :ivar drain_time: maximum duration of a graceful shutdown, seconds
    :ivar insecure: True allows plain text for listeners without `tls`
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

    :ivar admin_tls: client certificate for the admin ports of the nodes;
        None for plain text, which requires `insecure = true`
    :ivar wait: timeout until a change is in force, seconds
    """

    object_api: Endpoint
    vm_list: Endpoint
    admin_tls: Tls | None = None
    wait: Seconds = 15.0
    insecure: bool = False


S = typing.TypeVar('S', NodeSettings, CommandSettings)


def load_node(path: pathlib.Path) -> NodeSettings:
    """Load the settings of a node, with `vm_id` read from `vm_id_file`.

    Makes file names absolute. Raises InvalidDocument with all violations.
    """
    return _load(path, NodeSettings, _check_node, _resolve_vm_id)


def load_command(path: pathlib.Path) -> CommandSettings:
    """Load the settings of the command line.

    Makes file names absolute. Raises InvalidDocument with all violations.
    """
    return _load(path, CommandSettings, _check_command, lambda loaded: loaded)


def _load(
    path: pathlib.Path,
    kind: type[S],
    check: abc.Callable[[S], abc.Iterable[documents.Finding]],
    complete: abc.Callable[[S], S],
) -> S:
    text = documents.read_file(path)
    directory = path.resolve().parent

    def check_with_files(loaded: S) -> abc.Iterator[documents.Finding]:
        yield from check(loaded)
        yield from _check_files(loaded, directory)

    settings = documents.parse_toml(text, kind, str(path), check_with_files)
    return complete(_with_absolute_files(settings, directory))


def _check_node(settings: NodeSettings) -> abc.Iterator[documents.Finding]:
    if bool(settings.vm_id) == bool(settings.vm_id_file):
        yield 'vm_id', settings.vm_id, 'set either vm_id or vm_id_file'
    listeners = {
        'callers': settings.callers,
        'peers': settings.peers,
        'admin': settings.admin,
    }
    for key, listener in listeners.items():
        yield from _check_address(f'{key}.address', listener.address)
        if listener.tls is None and not settings.insecure:
            yield key, listener.port, 'tls is required unless insecure is true'
        if key != 'callers' and listener.tls and not listener.tls.authority:
            yield f'{key}.tls.authority', '', 'is required for mutual TLS'
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
        yield 'admin_tls', '', 'is required unless insecure is true'
    if settings.admin_tls and not settings.admin_tls.authority:
        yield 'admin_tls.authority', '', 'is required for mutual TLS'
    endpoints = {
        'object_api': settings.object_api,
        'vm_list': settings.vm_list,
    }
    yield from _check_endpoints(endpoints)


def _check_address(key: str, value: str) -> abc.Iterator[documents.Finding]:
    try:
        ipaddress.ip_address(value)
    except ValueError:
        yield key, value, 'must be an IP address'


def _check_endpoints(
    endpoints: abc.Mapping[str, Endpoint | None],
) -> abc.Iterator[documents.Finding]:
    for key, endpoint in endpoints.items():
        problem = routes.url_problem(endpoint.url) if endpoint else ''
        if endpoint and problem:
            yield f'{key}.url', endpoint.url, problem


_FILE_KEYS = ('certificate', 'key', 'authority', 'vm_id_file')


def _check_files(
    section: msgspec.Struct, directory: pathlib.Path, prefix: str = ''
) -> abc.Iterator[documents.Finding]:
    """Yield a finding for each unreadable file of a section."""
    for name in section.__struct_fields__:
        value = getattr(section, name)
        if isinstance(value, msgspec.Struct):
            yield from _check_files(value, directory, f'{prefix}{name}.')
        elif name in _FILE_KEYS and value:
            problem = _file_problem(directory / value)
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


def _with_absolute_files(section: S, directory: pathlib.Path) -> S:
    absolute: dict[str, typing.Any] = {}
    for name in section.__struct_fields__:
        value = getattr(section, name)
        if isinstance(value, msgspec.Struct):
            absolute[name] = _with_absolute_files(
                typing.cast(typing.Any, value), directory
            )
        elif name in _FILE_KEYS and value:
            absolute[name] = str(directory / value)
    return msgspec.structs.replace(section, **absolute)


def _resolve_vm_id(settings: NodeSettings) -> NodeSettings:
    if not settings.vm_id_file:
        return settings
    text = pathlib.Path(settings.vm_id_file).read_text(encoding='utf-8')
    return msgspec.structs.replace(settings, vm_id=text.strip())
