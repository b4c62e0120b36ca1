import pathlib
import re

import msgspec
import pytest

from mustardlb import contracts
from mustardlb import documents
from mustardlb import routes
from mustardlb import settings

EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples'
EXAMPLE_FILES = ('vm.pem', 'vm.key', 'vm-id', 'peers-ca.pem', 'operator.pem')
MORE_EXAMPLE_FILES = ('operator.key', 'operators-ca.pem')

NODE = """
vm_id = 'vm-1'
data_centre = 'north'
insecure = true
callers = {address = '127.0.0.1', port = 0}
peers = {address = '127.0.0.1', port = 0}
admin = {address = '127.0.0.1', port = 0}
object_api = {url = 'http://127.0.0.1:1'}
vm_list = {url = 'http://127.0.0.1:2'}
"""


@pytest.fixture
def directory(tmp_path):
    for name in (*EXAMPLE_FILES, *MORE_EXAMPLE_FILES):
        (tmp_path / name).write_text(f'{name}\n')
    return tmp_path


def write(directory, text):
    path = directory / 'node.toml'
    path.write_text(text)
    return path


def violations_of(path, load=settings.load_node):
    with pytest.raises(documents.InvalidDocument) as caught:
        load(path)
    assert {v.file for v in caught.value.violations} == {str(path)}
    return {(v.key, v.value) for v in caught.value.violations}


def keys_of(raw, prefix=''):
    for name, value in raw.items():
        if isinstance(value, dict):
            yield from keys_of(value, f'{prefix}{name}.')
        yield f'{prefix}{name}'


def all_fields(kind, prefix=''):
    for field in msgspec.structs.fields(kind):
        yield f'{prefix}{field.name}'
        for struct in (settings.Limits, settings.Statsd):
            if field.type in (struct, struct | None):
                yield from all_fields(struct, f'{prefix}{field.name}.')


@pytest.mark.parametrize(
    ('name', 'load', 'kind', 'omitted'),
    [
        ('node', settings.load_node, settings.NodeSettings, {'vm_id'}),
        ('mustardlb', settings.load_command, settings.CommandSettings, set()),
    ],
)
def test_example_settings_load_and_contain_every_key(
    directory, name, load, kind, omitted
):
    text = (EXAMPLES / f'{name}.toml').read_text()
    loaded = load(write(directory, text))
    raw = msgspec.toml.decode(text)
    assert set(all_fields(kind)) - set(keys_of(raw)) == omitted
    if name == 'node':
        assert loaded.vm_id == 'vm-id'
        assert loaded.peers.tls.key == str(directory / 'vm.key')


def test_example_contracts_routes_and_targets_load():
    parsers = {
        'contracts': contracts.parse_toml,
        'routes': routes.parse_route_toml,
        'targets': routes.parse_target_toml,
    }
    for kind, parse in parsers.items():
        files = sorted((EXAMPLES / kind).glob('*.toml'))
        assert files
        for file in files:
            item = parse(file.read_text(), str(file))
            identity = item.account if kind == 'contracts' else item.name
            assert identity == file.stem


def test_examples_of_the_contracts_page_load_and_contain_every_key():
    page = EXAMPLES.parent / 'docs' / 'operators' / 'contracts.md'
    blocks = re.findall(r'```toml\n(.*?)```', page.read_text(), re.DOTALL)
    parsers = [
        (contracts.parse_toml, contracts.Contract),
        (routes.parse_route_toml, routes.Route),
        (routes.parse_target_toml, routes.Target),
    ]
    for block, (parse, kind) in zip(blocks, parsers, strict=True):
        parse(block, page.name)
        assert set(msgspec.toml.decode(block)) == set(all_fields(kind))


def test_all_violations_are_listed_at_once(directory):
    text = """
vm_id = 'vm-1'
data_center = 'north'
drain_time = -1
callers = {address = '127.0.0.1', port = 70000}
peers = {address = '127.0.0.1', port = 0, tls = {certificate = 'c'}}
admin = {address = '127.0.0.1', port = 'x'}
object_api = {url = 'http://127.0.0.1:1'}
limits = {streams = 0}
"""
    assert violations_of(write(directory, text)) == {
        ('data_center', "'north'"),
        ('data_centre', ''),
        ('drain_time', '-1'),
        ('callers.port', '70000'),
        ('peers.tls.key', ''),
        ('admin.port', "'x'"),
        ('limits.streams', '0'),
        ('vm_list', ''),
    }


def test_plain_text_requires_insecure(directory):
    settings.load_node(write(directory, NODE))
    secure = NODE.replace('insecure = true', '')
    violations = violations_of(write(directory, secure))
    assert {key for key, _ in violations} == {'callers', 'peers', 'admin'}


def test_ports_for_nodes_and_operators_require_an_authority(directory):
    tls = "tls = {certificate = 'vm.pem', key = 'vm.key'}"
    text = NODE.replace('port = 0}', f'port = 0, {tls}}}')
    violations = violations_of(write(directory, text))
    assert {key for key, _ in violations} == {
        'peers.tls.authority',
        'admin.tls.authority',
    }


@pytest.mark.parametrize(
    ('before', 'after', 'key'),
    [
        ("'vm-1'", "''", 'vm_id'),
        ("vm_id = 'vm-1'", "vm_id_file = 'none'", 'vm_id_file'),
        ("address = '127.0.0.1'", "address = 'a'", 'callers.address'),
        ('http://127.0.0.1:1', 'ftp://127.0.0.1', 'object_api.url'),
        ('http://127.0.0.1:1', 'http://u@h', 'object_api.url'),
        ('http://127.0.0.1:2', 'http://127.0.0.1:99999', 'vm_list.url'),
    ],
)
def test_invalid_value_is_a_violation(directory, before, after, key):
    text = NODE.replace(before, after, 1)
    assert text != NODE
    assert {found for found, _ in violations_of(write(directory, text))} == {
        key
    }


@pytest.mark.parametrize('value', [b'\xff', b'a = ', b'a = 1\na = 2'])
def test_malformed_or_missing_file_is_one_violation(directory, value):
    path = directory / 'node.toml'
    path.write_bytes(value)
    assert violations_of(path) == {('', '')}
    missing = directory / 'missing.toml'
    assert violations_of(missing, settings.load_command) == {('', '')}
