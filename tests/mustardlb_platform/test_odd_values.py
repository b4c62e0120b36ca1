"""Values of other programs that are of the right type but out of range."""

import json

import pytest

from mustardlb_platform import _fields
from mustardlb_platform import _settings
from mustardlb_platform import _translation

translation = _translation.Translation()

HUGE = 10**400
MANY_DIGITS = '7' * 4_400
LONE_SURROGATE = 'a\ud800'

REGISTRATION = {
    'service': 'llm',
    'address': '10.0.0.9:8080',
    'zone': 'a',
    'version': 'v1',
    'slots': 64,
    'state': 'ready',
    'cold_remaining_ms': 0,
    'born': 1700000000000,
    'models': [{'name': 'm', 'version': 3, 'adapters': ['a1@2']}],
    'sequence': 4,
}

SETTINGS = {
    'node': 'vm1',
    'zone': 'a',
    'listen': {'front': '10.1.0.1:80', 'ready': '10.1.0.1:81'},
    'platform': {'address': '10.1.0.2:90'},
    'port_range': [9000, 9010],
}


def model(**changes):
    return {'models': [{'name': 'm', 'version': 3, 'adapters': []} | changes]}


@pytest.mark.parametrize(
    'changes',
    [
        {'slots': HUGE},
        {'slots': -HUGE},
        {'slots': 1e300},
        {'slots': -1},
        {'born': HUGE},
        {'born': -1},
        {'cold_remaining_ms': HUGE},
        {'state': 'draining', 'remaining_ms': HUGE},
        {'sequence': HUGE},
        {'sequence': 'x'},
        model(version=HUGE),
        model(version=-1),
        model(adapters=[f'a1@{MANY_DIGITS}']),
        model(adapters='a1@2'),
        model(adapters=[['a1@2']]),
        model(adapters=[LONE_SURROGATE]),
        model(name=LONE_SURROGATE),
        {'models': ''},
        {'zone': ['a']},
        {'zone': LONE_SURROGATE},
        {'service': LONE_SURROGATE},
        {'version': LONE_SURROGATE},
    ],
)
def test_registration_with_a_value_out_of_range_is_ignored(changes):
    """Guards against processes that all end by an entry of another writer."""
    assert translation.read_target('i-1', REGISTRATION) is not None
    assert translation.read_target('i-1', REGISTRATION | changes) is None


@pytest.mark.parametrize(
    'address',
    [
        f'10.0.0.9:{MANY_DIGITS}',
        '10.0.0.9:99999',
        '10.0.0.9:0',
        '10.0.0.9:\u0665',
        ':8080',
        '10.0.0.\u0665:8080',
        LONE_SURROGATE + ':8080',
        'a b:8080',
        'a\r\nx: y:8080',
        'a..b:8080',
        'a' * 64 + ':8080',
        'a\0:8080',
    ],
)
def test_registration_with_an_impossible_address_is_ignored(address):
    """Guards against a host or a port that no connection can be opened to."""
    changes = {'address': address}
    assert translation.read_target('i-1', REGISTRATION | changes) is None
    with pytest.raises(_fields.Malformed):
        _fields.split_address(address)


@pytest.mark.parametrize(
    'address', ['10.0.0.9:8080', 'vm-1.example:8080', 'a_b:1', '::1:8080']
)
def test_usual_addresses_are_split(address):
    """Guards against a check of hosts that is too strict."""
    host, port = _fields.split_address(address)
    assert f'{host}:{port}' == address


@pytest.mark.parametrize('name', ['', LONE_SURROGATE, 'i\r\nx: y', 'i\u0665'])
def test_name_that_no_header_can_contain_names_no_target(name):
    """Guards against a name that raises, or adds a header, when it is sent."""
    assert translation.read_target(name, REGISTRATION) is None


@pytest.mark.parametrize(
    'spec',
    [
        {'model': 'm', 'adapter': 'a1', 'version': HUGE},
        {'model': 'm', 'adapter': 'a1', 'version': -1},
        {'model': 'm', 'adapter': LONE_SURROGATE, 'version': 1},
        {'model': 'm', 'adapter': ['a1'], 'version': 1},
    ],
)
def test_version_out_of_range_is_ignored(spec):
    """Guards against a version that cannot be sent to other nodes."""
    assert translation.read_version(spec) is None


@pytest.mark.parametrize(
    'changes',
    [
        {'version': HUGE},
        {'limits': {'max_body_bytes': HUGE}},
        {'limits': {'idle_timeout_ms': HUGE}},
        {'services': [{'name': 's', 'max_connections': HUGE}]},
        {'services': [{'name': 's', 'engine': {'weights_mb': HUGE}}]},
        {'tenants': [{'name': 't', 'rate_per_s': HUGE}]},
        {'tenants': [{'name': LONE_SURROGATE}]},
        {'tenants': [{'name': 't', 'priority': HUGE}]},
    ],
)
def test_configuration_with_a_value_out_of_range_is_ignored(changes):
    """Guards against processes that all end by a stored configuration."""
    assert translation.read_configuration({'version': 7}) is not None
    assert translation.read_configuration({'version': 7} | changes) is None


@pytest.mark.parametrize(
    'changes',
    [
        {'sequence': HUGE},
        {'sequence': -1},
        {'queued': HUGE},
        {'active': -1},
        {'born': HUGE},
        {'coming': [LONE_SURROGATE]},
        model(version=HUGE),
    ],
)
def test_report_with_a_value_out_of_range_is_ignored(changes):
    """Guards against an engine whose report ends the process."""
    assert translation.read_report(b'{}') is not None
    assert translation.read_report(json.dumps(changes).encode()) is None


@pytest.mark.parametrize(
    'changes',
    [
        {'port_range': [HUGE]},
        {'port_range': [99_999]},
        {'zone': LONE_SURROGATE},
        {'node': LONE_SURROGATE},
        {'bounds': {'grace_s': HUGE}},
        {'limits': {'max_fds': HUGE}},
        {'listen': {'front': f'h:{MANY_DIGITS}', 'ready': 'h:1'}},
        {'platform': {'address': ':90'}},
    ],
)
def test_settings_with_a_value_out_of_range_raise_valueerror(
    changes, tmp_path
):
    """Guards against a change of the settings that ends the process."""
    path = tmp_path / 'settings.json'
    path.write_text(json.dumps(SETTINGS))
    assert _settings.read(path)
    path.write_text(json.dumps(SETTINGS | changes))
    with pytest.raises(ValueError, match='settings.json'):
        _settings.read(path)


REQUEST = [(b'x-mustardlb-request-id', b'r1'), (b'host', b'h')]


@pytest.mark.parametrize(
    ('value', 'tokens'),
    [
        (b'1460,80', (1460, 80)),
        (b'1460', (1460, 0)),
        (b' 1460 , 80 ', (1460, 80)),
        (b'-1460,80', None),
        (b'1460,-80', None),
        (b'1_0,8', None),
        (b'+1,8', None),
        (b'\xb2,8', None),
        (b'1e3,8', None),
        (b'nan,8', None),
        (b'7' * 400 + b',80', (999_999_999, 80)),
        (b'80,' + b'7' * 5_000, (80, 999_999_999)),
        (b'4294967296,0', (999_999_999, 0)),
    ],
)
def test_token_counts_of_a_request_are_within_their_range(value, tokens):
    """Guards against requests that earn tokens, or that end the process."""
    headers = [*REQUEST, (b'x-mustardlb-token-usage', value)]
    assert translation.read_call(b'GET', b'/', headers, b'').tokens == tokens


@pytest.mark.parametrize('digits', [400, 5_000])
def test_long_numbers_of_a_request_are_no_error(digits):
    """Guards against a client whose header ends the process."""
    headers = [
        *REQUEST,
        (b'x-mustardlb-deadline-ms', b'7' * digits),
        (b'x-mustardlb-prompt-prefix', b'a:1,b:' + b'7' * digits),
    ]
    call = translation.read_call(b'GET', b'/', headers, b'')
    assert call.client_timeout > 1e5
    assert [part.tokens for part in call.prompt_parts] == [1, 999_999_999]


@pytest.mark.parametrize(
    'value',
    [
        b'7' * 400 + b',0,8',
        b'3,' + b'7' * 5_000 + b',8',
        b'3,0,8,1e300',
        b'1_0,0,8',
        b'3,0,4294967296',
    ],
)
def test_load_out_of_range_counts_as_none(value):
    """Guards against a target whose figures end the process."""
    info = translation.read_response([(b'x-mustardlb-server-load', value)])
    assert info.load is None


@pytest.mark.parametrize('value', [b'1e300', b'7' * 400, b'1_0', b'\xff'])
def test_amounts_out_of_range_count_as_absent(value):
    """Guards against a target that asks for a pause without an end."""
    info = translation.read_response(
        [
            (b'retry-after', value),
            (b'server-limit', value),
            (b'server-brittle', value),
            (b'x-mustardlb-cold-ms', value),
        ]
    )
    assert (info.rest, info.request_limit) == (None, None)
    assert (info.max_rejections, info.cold_remaining) == (None, None)
