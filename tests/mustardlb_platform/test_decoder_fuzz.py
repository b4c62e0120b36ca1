"""Each decoder of the platform raises only the error that it declares."""

import json

import hypothesis
from hypothesis import strategies

from mustardlb_gateway import _message_codec
from mustardlb_gateway import _messages
from mustardlb_gateway import domain
from mustardlb_platform import _calls
from mustardlb_platform import _configuration
from mustardlb_platform import _fields
from mustardlb_platform import _headers
from mustardlb_platform import _pages
from mustardlb_platform import _settings
from mustardlb_platform import _targets

FIELD_NAMES = (
    *('service', 'address', 'zone', 'version', 'slots', 'state', 'born'),
    *('models', 'name', 'adapters', 'sequence', 'remaining_ms', 'coming'),
    *('cold_remaining_ms', 'queued', 'active', 'busy', 'routes', 'limits'),
    *('services', 'tenants', 'engine', 'weights_mb', 'priority', 'host'),
    *('api_keys', 'rate_per_s', 'weighted_backends', 'weight', 'model'),
    *('adapter', 'path_prefix', 'route_type', 'timeout_ms', 'max_attempts'),
    *('node', 'listen', 'front', 'ready', 'platform', 'port_range', 'bounds'),
    *('grace_s', 'max_fds', 'evacuation_ms', 'items', 'events', 'object'),
    *('metadata', 'revision', 'spec', 'removed', 'current_rev'),
)

scalars = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.integers(),
    strategies.integers(min_value=-1, max_value=70_000),
    strategies.floats(),
    strategies.text(
        alphabet=strategies.characters(exclude_categories=()), max_size=5
    ),
    strategies.sampled_from(
        (
            10**400,
            -(10**400),
            1e300,
            2**63,
            'ready',
            'streaming',
            'a@' + '7' * 4_400,
            'h:99999',
            'h:80',
            ':80',
            'h:' + '7' * 4_400,
            'a\ud800',
        )
    ),
)
json_values = strategies.recursive(
    scalars,
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.sampled_from(FIELD_NAMES), inner, max_size=6
        )
    ),
    max_leaves=12,
)

REGISTRATION = {
    'service': 'llm',
    'address': '10.0.0.9:8080',
    'state': 'ready',
    'models': [{'name': 'm', 'adapters': ['a1@2']}],
}
SETTINGS = {
    'node': 'vm1',
    'listen': {'front': '10.1.0.1:80', 'ready': '10.1.0.1:81'},
    'platform': {'address': '10.1.0.2:90'},
    'port_range': [9000, 9010],
}
ROUTE = {
    'name': 'r',
    'host': 'h',
    'path_prefix': '/',
    'route_type': 'streaming',
    'service': 's',
}

short = hypothesis.settings(derandomize=True, deadline=None, max_examples=150)


def call(decoder, *values):
    """Call a decoder, which may raise Malformed only."""
    try:
        return decoder(*values)
    except _fields.Malformed:
        return None


def encodes(body):
    """Check that a message can be sent to other nodes."""
    _message_codec.encode(_messages.Message('vm1', 1, 1, body))


def changed(fields):
    """Return values of some fields."""
    return strategies.dictionaries(
        strategies.sampled_from(fields), json_values, max_size=4
    )


@short
@hypothesis.given(
    strategies.text(max_size=5) | strategies.just('i'), changed(FIELD_NAMES)
)
def test_registration_raises_only_malformed(name, changes):
    """Guards against an entry of another writer that ends all processes."""
    for spec in (changes, REGISTRATION | changes):
        target = call(_targets.read_registration, name, spec)
        if target is not None:
            _targets.write_report_request(target)
            encodes(_messages.Relay(target.target_id, target.incarnation))


@short
@hypothesis.given(json_values)
def test_stored_values_raise_only_malformed(spec):
    """Guards against a stored object that ends all processes."""
    call(_targets.read_registration, 'i', spec)
    call(_configuration.read, spec)
    call(_configuration.read_version, spec)
    call(_targets.read_report, json.dumps(spec).encode())


@short
@hypothesis.given(changed(FIELD_NAMES), changed(FIELD_NAMES))
def test_configuration_raises_only_malformed(route, changes):
    """Guards against a configuration that ends all processes."""
    spec = {'version': 7, 'routes': [ROUTE | route]}
    call(_configuration.read, spec)
    call(_configuration.read, spec | changes)
    spec = {'version': 7, 'tenants': [{'name': 't'} | changes]}
    call(_configuration.read, spec)
    services = [{'name': 's', 'engine': route} | changes]
    call(_configuration.read, {'version': 7, 'services': services})


@short
@hypothesis.given(strategies.binary(max_size=40))
def test_report_raises_only_malformed(body):
    """Guards against a report of an engine that ends the process."""
    call(_targets.read_report, body)


def test_settings_raise_only_valueerror(tmp_path):
    """Guards against changed settings that end the process."""
    path = tmp_path / 'settings.json'

    @short
    @hypothesis.given(changed(FIELD_NAMES) | strategies.binary(max_size=40))
    def check(changes):
        data = changes
        if isinstance(changes, dict):
            data = json.dumps(SETTINGS | changes).encode()
        path.write_bytes(data)
        try:
            _settings.read(path)
        except ValueError:
            return

    check()


@short
@hypothesis.given(
    json_values, strategies.binary(max_size=6), strategies.data()
)
def test_pages_raise_nothing(value, damage, data):
    """Guards against a response of the store that ends the process."""
    body = json.dumps({'items': [value], 'events': value}).encode()
    at = data.draw(strategies.integers(0, len(body)))
    for each in (body, body[:at] + damage + body[at + 1 :], damage):
        _pages.decode(each)


numbers = strategies.one_of(
    strategies.binary(max_size=12),
    strategies.sampled_from(
        (
            b'7' * 5_000,
            b'7' * 400,
            b'-7',
            b'1_0',
            b'1e400',
            b'1e300',
            b'nan',
            b'\xb2',
            b'4294967296,1',
            b'7,' + b'7' * 400,
            b'-5,-5',
            b'3,0,' + b'7' * 400,
            b'3,0,8,1e300',
            b'a:' + b'7' * 5_000,
            b'a:4294967296,b:4294967296',
        )
    ),
)
NUMBER_HEADERS = (
    _headers.DEADLINE_MS,
    _headers.TOKEN_COUNTS,
    _headers.PROMPT_PARTS,
    _headers.PRIORITY,
    _headers.LOAD,
    _headers.RETRY_AFTER,
    _headers.REQUEST_LIMIT,
    _headers.BRITTLE,
    _headers.COLD_MS,
    _headers.LEAVING,
    _headers.MODEL,
    _headers.REQUEST_ID,
    b'host',
    b'connection',
)


@short
@hypothesis.given(
    strategies.dictionaries(strategies.sampled_from(NUMBER_HEADERS), numbers)
)
def test_headers_raise_only_valueerror(values):
    """Guards against a header that ends the process, or its figures do."""
    headers = list(
        {_headers.REQUEST_ID: b'r1', b'host': b'h', **values}.items()
    )
    info = _calls.read_response(headers)
    if info.load is not None:
        float(info.load.running + info.load.waiting + info.load.slots)
    _calls.response_headers(headers)
    try:
        found = _calls.read_call(b'GET', b'/', headers, b'')
    except ValueError:
        assert not values.get(_headers.REQUEST_ID, b'r1')
        return
    assert found.tokens is None or min(found.tokens) >= 0
    assert float(sum(found.tokens or ())) < 1e12
    assert found.client_timeout is None or found.client_timeout >= 0
    prompt = found.tokens[0] if found.tokens else 0
    reserve = _messages.Reserve(
        't1', domain.AdapterName('m'), 1, prompt, 0.5, True
    )
    encodes(reserve)
