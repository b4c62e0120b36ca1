"""Responses of platform services that break off or are not HTTP.

The HTTP library reads on after a failed write of the request, and takes the
end of a connection that the write found reset for the end of the body.
"""

import contextlib

import early_target
import pytest
import scripted
import trio

from mustardlb import engine
from mustardlb import http_object_api
from mustardlb import http_vm_list
from mustardlb import object_api
from mustardlb import vm_list
from mustardlb import weight_store

UPLOAD = b'x' * early_target.UPLOAD_BYTES
VERSION = b'etag: "7"'


@contextlib.asynccontextmanager
async def answering(respond):
    """Run a service that answers each request with the same bytes."""

    async def script(connection, head, body):
        await connection.send(respond)
        await connection.stream.aclose()

    server = scripted.ScriptedServer(script)
    async with server.running():
        yield f'http://127.0.0.1:{server.port}'


async def put_early(reply):
    """Store a large object in an API that answers early.

    Returns its version, or None if the API was unavailable.
    """
    target = early_target.EarlyTarget(reply)
    async with target.running():
        api = http_object_api.HttpObjectApi(f'http://127.0.0.1:{target.port}')
        try:
            with trio.fail_after(5):
                return await api.put('a', UPLOAD, object_api.ABSENT)
        except object_api.ApiUnavailable:
            return None
        finally:
            await api.close()


@pytest.mark.parametrize('end', ['reset', 'unread'])
@pytest.mark.parametrize('framing', ['none', 'length', 'chunked'])
async def test_part_of_an_early_response_fails_a_write(framing, end):
    """The write counted as done."""
    reply = early_target.Reply(framing, end, 0.5, 0.05, extra=(VERSION,))
    assert await put_early(reply) is None


@pytest.mark.parametrize(
    ('framing', 'end'),
    [
        ('none', 'eof'),
        ('none', 'eof then close'),
        ('length', 'reset'),
        ('chunked', 'unread'),
        ('length', 'keep'),
    ],
)
async def test_whole_early_response_of_a_write_counts(framing, end):
    reply = early_target.Reply(framing, end, 1.0, 0.05, extra=(VERSION,))
    assert await put_early(reply) == 7


@pytest.mark.parametrize('end', ['reset', 'unread'])
async def test_part_of_an_exported_prefix_is_not_used(end):
    """A part of a cached prefix was moved to another engine."""
    reply = early_target.Reply('none', end, 0.5, 0.05)
    target = early_target.EarlyTarget(reply)
    async with target.running():
        client = engine.HttpEngine(f'http://127.0.0.1:{target.port}')
        with trio.fail_after(5), pytest.raises(engine.EngineUnavailable):
            await client.export_kv(UPLOAD.decode())
        await client.close()


def respond_json(body, odd_line, status=b'200'):
    lines = [b'HTTP/1.1 %b OK' % status, VERSION, b'x-other: 1', odd_line]
    lines.append(b'content-length: %d' % len(body))
    return b'\r\n'.join([*lines, b'', body])


ODD_LINES = [b' x-odd: 1', b'\tx-odd: 1', b'\nx-odd: 1', b'\0x-odd: 1']
ODD_LINES += [b'x odd: 1', b'x-odd : 1', b'x-odd\x0b: 1']


@pytest.mark.parametrize('odd_line', ODD_LINES)
async def test_odd_heads_of_services_are_rejected(odd_line):
    """The line was joined to the field before it."""
    async with answering(respond_json(b'{"vms": []}', odd_line)) as url:
        vms = http_vm_list.HttpVmList(url)
        with pytest.raises(vm_list.VmListUnavailable):
            await vms.list_vms()
        await vms.close()
        api = http_object_api.HttpObjectApi(url)
        with pytest.raises(object_api.ApiUnavailable):
            await api.get('a')
        await api.close()
    transit = b'{"in_transit": 0, "most_in_transit": 0, "loads": 0}'
    async with answering(respond_json(transit, odd_line)) as url:
        store = weight_store.HttpWeightStore(url)
        with pytest.raises(weight_store.WeightStoreUnavailable):
            await store.transit_report()
        await store.close()


@pytest.mark.parametrize('status', [b'000', b'099', b'20', b'2000', b''])
async def test_odd_statuses_of_services_are_rejected(status):
    respond = respond_json(b'{"vms": []}', b'x-sound: 1', status)
    async with answering(respond) as url:
        vms = http_vm_list.HttpVmList(url)
        with pytest.raises(vm_list.VmListUnavailable):
            await vms.list_vms()
        await vms.close()
        api = http_object_api.HttpObjectApi(url)
        with pytest.raises(object_api.ApiUnavailable):
            await api.get('a')
        await api.close()


async def test_sound_head_is_accepted():
    respond = respond_json(b'{"vms": []}', b'x-sound: 1')
    async with answering(respond) as url:
        vms = http_vm_list.HttpVmList(url)
        assert await vms.list_vms() == ()
        await vms.close()
