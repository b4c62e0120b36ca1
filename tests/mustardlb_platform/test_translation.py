import json

from hypothesis import given
from hypothesis import strategies
import pytest
import structlog

from mustardlb_gateway import domain
from mustardlb_platform import _calls
from mustardlb_platform import _headers
from mustardlb_platform import _translation

translation = _translation.Translation()

REGISTRATION = {
    'service': 'llm',
    'address': '10.0.0.9:8080',
    'zone': 'a',
    'version': 'v1',
    'slots': 64,
    'state': 'ready',
    'cold_remaining_ms': 0,
    'born': 1700000000000,
    'models': [{'name': 'm', 'version': 3, 'adapters': ['a1@2', 'a9@1']}],
    'sequence': 4,
}

CONFIGURATION = {
    'version': 7,
    'routes': [
        {
            'name': 'r1',
            'host': 'h.example',
            'path_prefix': '/p/',
            'route_type': 'streaming',
            'timeout_ms': 5000,
            'target_latency_ms': 1000,
            'priority': 1,
            'weighted_backends': [
                {'service': 'llm', 'weight': 90},
                {'service': 'old', 'weight': 10},
            ],
            'max_attempts': 2,
            'public': False,
            'resumable': True,
        }
    ],
    'services': [
        {
            'name': 'llm',
            'max_connections': 360,
            'engine': {
                'slots': 64,
                'kv_capacity_tokens': 1000,
                'models': [
                    {
                        'name': 'm',
                        'weights_mb': 500.0,
                        'load_time_s': 1.3,
                        'adapters': 30,
                        'adapter_mb': 6.0,
                    }
                ],
                'weights_mb': 600.0,
                'adapter_slots': 9,
                'loads_per_s': 4.2,
            },
        },
        {'name': 'old', 'max_connections': 10},
    ],
    'limits': {'max_header_bytes': 1000, 'idle_timeout_ms': 15000},
    'tenants': [
        {
            'name': 'acme',
            'api_keys': ['k1', 'k2'],
            'priority': 0,
            'unit': 'token_count',
            'plain_tokens': 200,
            'rate_per_s': 99,
            'burst': 100,
        }
    ],
}


def test_target_registration():
    target = translation.read_target('i-1', REGISTRATION)
    assert (target.host, target.port) == ('10.0.0.9', 8080)
    assert target.incarnation == 1700000000000
    assert target.resident == {
        domain.AdapterName('m'): 3,
        domain.AdapterName('m', 'a1'): 2,
        domain.AdapterName('m', 'a9'): 1,
    }


def test_registration_of_draining_target():
    draining = REGISTRATION | {'state': 'draining', 'remaining_ms': 1500}
    target = translation.read_target('i-1', draining)
    assert target.state == domain.TargetState.DRAINING
    assert target.expires_in == 1.5


@pytest.mark.parametrize(
    'changes',
    [
        {'address': None},
        {'address': 'nowhere'},
        {'state': 'paused'},
        {'state': 7},
        {'service': 3},
        {'service': None},
        {'models': 'm'},
        {'slots': 'many'},
    ],
)
def test_malformed_registration_is_ignored(changes):
    assert translation.read_target('i-1', REGISTRATION | changes) is None


json_values = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.text(max_size=5)
    | strategies.integers()
    | strategies.floats(),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.sampled_from([*REGISTRATION, *CONFIGURATION, 'x']),
            inner,
            max_size=4,
        )
    ),
    max_leaves=8,
)


@given(json_values)
def test_arbitrary_stored_value_does_not_raise(spec):
    translation.read_target('i-1', spec)
    translation.read_configuration(spec)
    translation.read_version(spec)
    translation.read_report(json.dumps(spec).encode())


@given(
    strategies.dictionaries(
        strategies.sampled_from(list(REGISTRATION)), json_values, max_size=3
    )
)
def test_arbitrary_registration_field_does_not_raise(changes):
    translation.read_target('i-1', REGISTRATION | changes)


def test_configuration():
    found = translation.read_configuration(CONFIGURATION)
    route = found.find_route('h.example', '/p/x')
    assert route.kind == domain.RouteKind.STREAM
    assert route.timeout == 5.0
    assert route.latency_objective == 1.0
    assert route.is_resumable
    assert [(s.service, s.weight) for s in route.services] == [
        ('llm', 90),
        ('old', 10),
    ]
    engine = found.services_by_name['llm'].engine
    assert engine.adapter_slots == 9
    assert engine.models_by_name['m'].adapter_mb == 6.0
    assert found.services_by_name['old'].engine is None
    assert found.limits.max_header_bytes == 1000
    assert found.limits.max_body_bytes == 4_194_304
    account = found.account_by_key['k2']
    assert account.counts_tokens
    assert (account.rate, account.burst, account.priority) == (99, 100, 0)


def test_configuration_without_accounts_needs_no_keys():
    without_accounts = {
        k: v for k, v in CONFIGURATION.items() if k != 'tenants'
    }
    assert (
        translation.read_configuration(without_accounts).accounts_by_name
        is None
    )


HEADERS = [
    (b'host', b'h.example:80'),
    (b'x-mustardlb-request-id', b'9c41'),
    (b'x-mustardlb-deadline-ms', b'5000'),
    (b'x-mustardlb-key', b'secret'),
    (b'x-mustardlb-tenant', b'somebody-else'),
    (b'x-mustardlb-model', b'm/a1'),
    (b'x-mustardlb-token-usage', b'1460,80'),
    (b'x-mustardlb-prompt-prefix', b'5c:800,91:410'),
    (b'x-mustardlb-hold', b'h1'),
    (b'x-mustardlb-pin-ms', b'100'),
    (b'x-mustardlb-kv-backup', b'1.1.1.1:1'),
    (b'kv-from', b'1.1.1.1:1/x'),
    (b'x-mustardlb-target-instance', b'i-9'),
    (b'x-mustardlb-expected-version', b'1'),
    (b'connection', b'x-own, x-mustardlb-model'),
    (b'x-own', b'1'),
    (b'transfer-encoding', b'chunked'),
    (b'accept', b'*/*'),
]


def test_request():
    call = translation.read_call(b'POST', b'/p/x?q=1', HEADERS, b'body')
    assert call.host == 'h.example'
    assert call.client_timeout == 5.0
    assert call.adapter == domain.AdapterName('m', 'a1')
    assert call.tokens == (1460, 80)
    assert [part.tokens for part in call.prompt_parts] == [800, 410]


def test_headers_forwarded_to_target():
    call = translation.read_call(b'POST', b'/p/x', HEADERS, b'')
    target = translation.read_target('i-1', REGISTRATION)
    account = domain.Account('acme', frozenset())
    sent = translation.forward_headers(call, target, 3.2, account, 12, 4, '7')
    values = dict(sent)
    assert len(values) == len(sent)
    assert values == {
        b'host': b'h.example:80',
        b'x-mustardlb-request-id': b'9c41',
        b'x-mustardlb-deadline-ms': b'3200',
        b'x-mustardlb-tenant': b'acme',
        b'x-mustardlb-model': b'm/a1',
        b'x-mustardlb-token-usage': b'1460,80',
        b'x-mustardlb-prompt-prefix': b'5c:800,91:410',
        b'x-mustardlb-target-instance': b'i-1',
        b'x-mustardlb-request-priority': b'9',
        b'x-mustardlb-expected-version': b'4',
        b'last-event-id': b'7',
        b'accept': b'*/*',
    }


@pytest.mark.parametrize('name', _headers.SINGLE_VALUED)
def test_repeated_single_valued_header_is_rejected(name):
    with pytest.raises(ValueError, match='twice'):
        translation.read_call(
            b'GET', b'/', [*HEADERS, (name, b'other'), (name, b'more')], b''
        )


def test_resumed_stream_names_the_request_that_began_it():
    headers = [*HEADERS, (b'resumes', b'7a10')]
    assert translation.read_call(b'GET', b'/', headers, b'').resumed_id == (
        '7a10'
    )
    assert translation.read_call(b'GET', b'/', HEADERS, b'').resumed_id is None


@pytest.mark.parametrize(
    ('version', 'software'), [('v1.1', 'v1.1'), (3, ''), (None, '')]
)
def test_software_of_a_target(version, software):
    spec = REGISTRATION | {'version': version}
    assert translation.read_target('i-1', spec).software == software


def test_request_without_an_id_is_rejected():
    with pytest.raises(ValueError, match='no id'):
        translation.read_call(b'GET', b'/', [(b'host', b'h')], b'')


def test_unparsable_headers_count_as_absent():
    headers = [
        *HEADERS[:2],
        (b'x-mustardlb-token-usage', b'many'),
        (b'x-mustardlb-deadline-ms', b'soon'),
        (b'x-mustardlb-prompt-prefix', b'a,b:c,d:5'),
    ]
    call = translation.read_call(b'GET', b'/', headers, b'')
    assert call.tokens is None
    assert call.client_timeout is None
    assert call.prompt_parts == (domain.PromptPart('d', 5),)


def test_response_headers_are_decoded():
    info = translation.read_response(
        [
            (b'x-mustardlb-request-id', b'9c41'),
            (b'x-mustardlb-server-stamp', b's'),
            (b'x-mustardlb-server-load', b'3,0,8'),
        ]
    )
    load = domain.TargetLoad(3, 0, 8)
    assert info == domain.ResponseInfo('9c41', True, False, load)
    not_executed = translation.read_response(
        [(b'x-mustardlb-not-executed', b'1')]
    )
    assert not_executed == domain.ResponseInfo(None, False, True, None)


@pytest.mark.parametrize(
    ('value', 'limit'),
    [
        (b'1.7', 1.7),
        (b'0', 0.0),
        (b'', None),
        (b'many', None),
        (b'-1', None),
        (b'nan', None),
        (b'inf', None),
    ],
)
def test_limit_of_a_target_is_decoded(value, limit):
    info = translation.read_response([(b'server-limit', value)])
    assert info.request_limit == limit
    assert translation.read_response([]).request_limit is None
    info = translation.read_response(
        [(b'retry-after', value), (b'server-brittle', value)]
    )
    assert (info.rest, info.max_rejections) == (limit, limit)


@pytest.mark.parametrize(
    ('value', 'load'),
    [
        (b'3,0,8', domain.TargetLoad(3, 0, 8)),
        (b'3,0,8,100', domain.TargetLoad(3, 0, 8, 1.0)),
        (b'3, 7, 8, 412.5', domain.TargetLoad(3, 7, 8, 4.125)),
        (b'', None),
        (b'3,0', None),
        (b'3,0,8,0', None),
        (b'3,0,8,nan', None),
        (b'3,0,8,inf', None),
        (b'3,0,8,100,1', None),
        (b'-3,0,8', None),
        (b'many,0,8', None),
    ],
)
def test_load_of_a_target_is_decoded(value, load):
    """Guards against a report with four figures that is taken for none."""
    info = translation.read_response([(b'x-mustardlb-server-load', value)])
    assert info.load == load


def test_malformed_load_of_a_target_is_logged():
    """Guards against reports that are dropped without a trace."""
    with structlog.testing.capture_logs() as logs:
        translation.read_response([(b'x-mustardlb-server-load', b'1,2')])
    assert [(each['event'], each['value']) for each in logs] == [
        ('MLB-7005', '1,2')
    ]


def test_cold_target_is_recognized():
    """Guards against cold targets that look like any other."""
    registration = REGISTRATION | {'cold_remaining_ms': 2500}
    target = translation.read_target('t1', registration)
    assert target.cold_remaining == 2.5
    assert translation.read_target('t1', REGISTRATION).cold_remaining == 0
    info = translation.read_response([(b'x-mustardlb-cold-ms', b'1500')])
    assert info.cold_remaining == 1.5
    assert translation.read_response([]).cold_remaining is None


def test_limit_of_cold_targets_is_decoded():
    """Guards against a configured limit that no part ever sees."""
    service = CONFIGURATION['services'][0] | {
        'cold_start_s': 3.0,
        'cold_per_s': 7.2,
    }
    plain = translation.read_configuration(CONFIGURATION)
    cold = translation.read_configuration(
        CONFIGURATION | {'services': [service]}
    )
    (decoded,) = cold.services_by_name.values()
    assert (decoded.cold_start, decoded.cold_per_second) == (3.0, 7.2)
    for each in plain.services_by_name.values():
        assert (each.cold_start, each.cold_per_second) == (0.0, 0.0)


@pytest.mark.parametrize(
    ('value', 'is_leaving'),
    [(b'1', True), (b' 1 ', True), (b'0', False), (b'yes', False)],
)
def test_target_that_leaves_is_recognized(value, is_leaving):
    info = translation.read_response([(b'server-leaving', value)])
    assert info.is_leaving == is_leaving
    assert not translation.read_response([]).is_leaving


def test_only_hop_by_hop_response_headers_are_dropped():
    headers = [
        (b'connection', b'x-hop'),
        (b'x-hop', b'1'),
        (b'keep-alive', b'timeout=5'),
        (b'content-length', b'3'),
        (b'x-mustardlb-server-stamp', b's'),
        (b'content-type', b'text/event-stream'),
    ]
    assert translation.response_headers(headers) == headers[4:]


@pytest.mark.parametrize('delay', [0.0, 0.33333, 1 / 3, 1.2999])
def test_retry_after_is_never_rounded_up(delay):
    headers = dict(_calls.rejection_headers('r', delay))
    assert delay - 0.001 <= float(headers[b'retry-after']) <= delay


def test_command_to_engine():
    target = translation.read_target('i-1', REGISTRATION)
    order = domain.Command(
        domain.CommandKind.LOAD, domain.AdapterName('m', 'a1'), 'vm1', 41, 2, 5
    )
    method, path, headers, body = translation.write_command(order, target)
    assert (method, path) == (b'POST', b'/-/order')
    assert (b'x-mustardlb-target-instance', b'i-1') in headers
    assert json.loads(body) == {
        'operation': 'load',
        'model': 'm',
        'adapter': 'a1',
        'version': 5,
        'holder': 'vm1',
        'fencing_token': 41,
        'expected': 2,
    }


def test_engine_report():
    report = translation.read_report(
        json.dumps(
            {
                'models': REGISTRATION['models'],
                'coming': ['m/a4@1'],
                'busy': True,
                'sequence': 6,
                'queued': 1,
                'active': 2,
            }
        ).encode()
    )
    assert report.accepted_commands == 6
    assert report.loading == {domain.AdapterName('m', 'a4')}
    assert report.is_busy
    assert translation.read_report(b'\xff') is None


def test_version_record():
    found = translation.read_version(
        {'model': 'm', 'adapter': 'a1', 'version': 9}
    )
    assert found == domain.AdapterVersion(domain.AdapterName('m', 'a1'), 9)


@pytest.mark.parametrize(
    'body',
    [
        b'{"coming": 7}',
        b'{"coming": "m/a1@1"}',
        b'{"coming": [["m/a1@1"]]}',
        b'[' * 100_000,
    ],
)
def test_malformed_report_is_ignored(body):
    assert translation.read_report(body) is None


@pytest.mark.parametrize('keys', ['k1', 7, [7], {'k1': 1}, True])
def test_configuration_with_malformed_keys_is_ignored(keys):
    account = CONFIGURATION['tenants'][0] | {'api_keys': keys}
    spec = CONFIGURATION | {'tenants': [account]}
    assert translation.read_configuration(spec) is None


@pytest.mark.parametrize('port', ['65536', '0', '123456789'])
def test_registration_with_impossible_port_is_ignored(port):
    changes = {'address': f'10.1.0.1:{port}'}
    assert translation.read_target('i-1', REGISTRATION | changes) is None
