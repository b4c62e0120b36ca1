"""TLS from the command line to admin ports and to the platform."""

import contextlib
import ssl

from hypercorn import config as hypercorn_config
from hypercorn import trio as hypercorn_trio
import pytest
import quart_trio
import trio
import trustme

from mustardlb import http_object_api
from mustardlb import object_api
from mustardlb import vm_list
from mustardlb_cli import _nodes
from mustardlb_cli import _site
from mustardlb_standins import object_api as api_standin


def write_certificate(directory, name, authority, address='127.0.0.1'):
    """Write a certificate, its key and the certificate of its authority."""
    issued = authority.issue_cert(address)
    issued.cert_chain_pems[0].write_to_path(str(directory / f'{name}.pem'))
    issued.private_key_pem.write_to_path(str(directory / f'{name}.key'))
    authority.cert_pem.write_to_path(str(directory / f'{name}-ca.pem'))


@contextlib.asynccontextmanager
async def serving(app, directory, name, client_authority=''):
    """Serve over TLS and yield the port."""
    config = hypercorn_config.Config()
    config.bind = ['127.0.0.1:0']
    config.certfile = str(directory / f'{name}.pem')
    config.keyfile = str(directory / f'{name}.key')
    config.errorlog = None
    config.graceful_timeout = 0.1
    if client_authority:
        config.ca_certs = str(directory / f'{client_authority}-ca.pem')
        config.verify_mode = ssl.CERT_REQUIRED
    async with trio.open_nursery() as nursery:
        binds = await nursery.start(hypercorn_trio.serve, app, config)
        yield int(binds[0].rpartition(':')[2])
        nursery.cancel_scope.cancel()


@pytest.fixture
def certificates(tmp_path):
    authority, other_authority = trustme.CA(), trustme.CA()
    write_certificate(tmp_path, 'vm', authority)
    write_certificate(tmp_path, 'operator', authority)
    write_certificate(
        tmp_path, 'wrong-address', authority, address='127.0.0.2'
    )
    write_certificate(tmp_path, 'untrusted', other_authority)
    return tmp_path


@pytest.mark.parametrize(
    ('node', 'operator', 'accepted'),
    [
        ('vm', 'operator', True),
        ('vm', 'untrusted', False),
        ('untrusted', 'operator', False),
        ('wrong-address', 'operator', False),
    ],
)
async def test_admin_port_and_operator_verify_each_other(
    certificates, node, operator, accepted
):
    app = quart_trio.QuartTrio('node')

    @app.get('/v1/status')
    async def status():
        return {'vm_id': 'vm-1', 'revision': 3}

    (certificates / 'cli.toml').write_text(f"""
[object_api]
url = 'http://127.0.0.1:1'
[vm_list]
url = 'http://127.0.0.1:1'
[admin_tls]
certificate = '{operator}.pem'
key = '{operator}.key'
authority = 'vm-ca.pem'
""")
    async with (
        serving(app, certificates, node, client_authority='vm') as port,
        _site.opener(str(certificates / 'cli.toml'))() as site,
    ):
        vm = vm_list.Vm('vm-1', '127.0.0.1', 1, port, 'north')
        (reply,) = await _nodes.fetch_status(site, [vm])
    assert (reply.status is not None) == accepted
    assert bool(reply.problem) != accepted


@pytest.mark.parametrize('authority', ['vm', 'untrusted'])
async def test_certificate_of_the_object_api_is_verified(
    certificates, authority
):
    app = api_standin.build(api_standin.MemoryObjectApi())
    async with serving(app, certificates, 'vm') as port:
        api = http_object_api.HttpObjectApi(
            f'https://127.0.0.1:{port}',
            authority=str(certificates / f'{authority}-ca.pem'),
        )
        if authority == 'vm':
            assert await api.put('a/b', b'x', object_api.ABSENT) == 1
        else:
            with pytest.raises(object_api.ApiUnavailable):
                await api.get('a/b')
        await api.close()
