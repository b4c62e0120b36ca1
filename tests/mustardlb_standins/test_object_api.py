"""The simulated object API and VM list, in memory and over HTTP."""

import pytest
import trio

from mustardlb import http_object_api
from mustardlb import http_vm_list
from mustardlb import object_api
from mustardlb import vm_list
from mustardlb_standins import faults
from mustardlb_standins import object_api as object_api_standin
from mustardlb_standins import vm_list as vm_list_standin
from mustardlb_standins import web

NAME = 'kind/ a%2F?b'


async def check_object_api(api, memory):
    assert (await api.get(NAME)).version == object_api.ABSENT
    first = await api.put(NAME, b'one', object_api.ABSENT)
    with pytest.raises(object_api.VersionConflict) as conflict:
        await api.put(NAME, b'two', object_api.ABSENT)
    assert conflict.value.current == first
    second = await api.put(NAME, b'two', first)
    assert second > first
    assert await api.get(NAME) == object_api.Object(NAME, second, b'two')
    assert await api.list_versions('kind/') == {NAME: second}
    memory.plan.add('get:*', faults.Kind.STALE)
    assert (await api.get(NAME)).version == first
    assert await api.watch(NAME, second, 0.01) is None
    memory.plan.add('put:*', faults.Kind.RESPONSE_LOST)
    with pytest.raises(object_api.ApiUnavailable):
        await api.put(NAME, b'three', second)
    found = await api.watch(NAME, second, 1.0)
    assert found.value == b'three'
    with pytest.raises(object_api.ApiRejected):
        await api.put(NAME, b'x' * 1_000_001, found.version)
    await api.delete(NAME, found.version)
    again = await api.put(NAME, b'four', object_api.ABSENT)
    assert again > found.version


async def test_object_api_in_memory(autojump_clock):
    memory = object_api_standin.MemoryObjectApi()
    await check_object_api(memory, memory)


async def test_object_api_over_http():
    memory = object_api_standin.MemoryObjectApi()
    async with web.serving(object_api_standin.build(memory)) as address:
        api = http_object_api.HttpObjectApi(address)
        await check_object_api(api, memory)
        await api.close()


async def test_watch_returns_a_late_write(autojump_clock):
    memory = object_api_standin.MemoryObjectApi()
    memory.plan.add('put:*', faults.Kind.LATE, seconds=9.0)
    with pytest.raises(object_api.ApiUnavailable):
        await memory.put(NAME, b'late', object_api.ABSENT)
    assert (await memory.get(NAME)).version == object_api.ABSENT
    started = trio.current_time()
    found = await memory.watch(NAME, object_api.ABSENT, 60.0)
    assert found.value == b'late'
    assert trio.current_time() - started == pytest.approx(9.0)


async def test_vm_list_over_http():
    vm = vm_list.Vm('vm-1', '127.0.0.1', 1, 2, 'north')
    memory = vm_list_standin.MemoryVmList((vm,))
    async with web.serving(vm_list_standin.build(memory)) as address:
        listing = http_vm_list.HttpVmList(address)
        assert await listing.list_vms() == (vm,)
        memory.plan.add('list_vms', faults.Kind.UNAVAILABLE)
        with pytest.raises(vm_list.VmListUnavailable):
            await listing.list_vms()
        await listing.close()
