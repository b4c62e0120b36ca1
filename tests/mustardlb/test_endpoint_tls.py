"""Platform clients trust only the CA certificates in their settings."""

import ssl

import pytest
import trio
import trustme

from mustardlb import http_object_api
from mustardlb import http_vm_list
from mustardlb import object_api
from mustardlb import vm_list
from mustardlb import weight_store

CLIENTS = [
    (
        http_object_api.HttpObjectApi,
        lambda client: client.list_versions(''),
        b'{"versions": {}}',
        object_api.ApiUnavailable,
    ),
    (
        http_vm_list.HttpVmList,
        lambda client: client.list_vms(),
        b'{"vms": []}',
        vm_list.VmListUnavailable,
    ),
    (
        weight_store.HttpWeightStore,
        lambda client: client.transit_report(),
        b'{"in_transit": 0, "most_in_transit": 0, "loads": 0}',
        weight_store.WeightStoreUnavailable,
    ),
]


def write_authority(authority, directory, name):
    path = directory / name
    authority.cert_pem.write_to_path(str(path))
    return str(path)


@pytest.mark.parametrize(('make_client', 'call', 'body', 'error'), CLIENTS)
async def test_server_certificate_is_verified_by_the_authority(
    make_client, call, body, error, tmp_path
):
    authority, other_authority = trustme.CA(), trustme.CA()
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    authority.issue_cert('127.0.0.1').configure_cert(context)

    async def respond(stream):
        try:
            await stream.receive_some(65_536)
            head = b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n' % len(body)
            await stream.send_all(head + body)
        except trio.BrokenResourceError:
            return

    async with trio.open_nursery() as nursery:
        [listener] = await trio.open_ssl_over_tcp_listeners(
            0, context, host='127.0.0.1', https_compatible=True
        )
        nursery.start_soon(trio.serve_listeners, respond, [listener])
        port = listener.transport_listener.socket.getsockname()[1]
        url = f'https://127.0.0.1:{port}'
        trusted = make_client(
            url, 5.0, write_authority(authority, tmp_path, 'a')
        )
        await call(trusted)
        other = make_client(
            url, 5.0, write_authority(other_authority, tmp_path, 'b')
        )
        with pytest.raises(error):
            await call(other)
        await trusted.close()
        await other.close()
        nursery.cancel_scope.cancel()
