"""Tests of the VM list client against the VM list's stand-in."""

import pytest
from aiohttp import web

from cardamomnotch_platform.exceptions import VmListError
from cardamomnotch_platform.vm_list.client import ListedVm, VmListClient

from tests.stand_ins.vm_list import VmListStandIn

_VM = {
    "vm_id": "engine-0",
    "address": "127.0.0.1:7001",
    "zone": "domzale",
    "role": "upstream",
}


@pytest.fixture
async def stand_in():
    """Return a stand-in for the VM list."""
    return VmListStandIn([_VM])


@pytest.fixture
async def vm_list(stand_in, serve_app, http_session):
    """Return a client of the stand-in."""
    return VmListClient(http_session, f"{await serve_app(stand_in.create_app())}/vms")


async def test_unchanged_list_is_not_returned_again(vm_list, stand_in):
    """A read returns None until the list changes."""
    assert await vm_list.async_read() == (ListedVm(**_VM),)
    assert await vm_list.async_read() is None
    stand_in.replace([_VM, {**_VM, "vm_id": "engine-1", "state": "leaving"}])
    listed = await vm_list.async_read()
    assert [vm.state for vm in listed] == ["live", "leaving"]


async def test_outage_raises_and_the_next_read_succeeds(vm_list, stand_in):
    """A failed read raises VmListError; the next returns the full list."""
    stand_in.faults.active["down"] = 1
    with pytest.raises(VmListError):
        await vm_list.async_read()
    assert await vm_list.async_read() == (ListedVm(**_VM),)


async def test_lagging_list_returns_the_earlier_state(vm_list, stand_in):
    """During its lag the list is unchanged; then the change is returned."""
    assert len(await vm_list.async_read()) == 1
    stand_in.faults.active["lag_s"] = 60.0
    stand_in.replace([])
    assert await vm_list.async_read() is None
    stand_in.faults.active["lag_s"] = 0.0
    assert await vm_list.async_read() == ()


async def test_unknown_field_is_ignored(vm_list, stand_in):
    """A field that a newer platform adds to a VM is ignored."""
    stand_in.replace([{**_VM, "rack": "r7"}])
    assert await vm_list.async_read() == (ListedVm(**_VM),)


@pytest.mark.parametrize(
    "body",
    [
        pytest.param(b"", id="empty"),
        pytest.param(b"<html>", id="not JSON"),
        pytest.param(b"[]", id="not an object"),
        pytest.param(b'{"vms": {}}', id="vms is an object"),
        pytest.param(b'{"vms": ""}', id="vms is a string"),
        pytest.param(b'{"vms": [{"vm_id": "a"}]}', id="missing field"),
        pytest.param(
            b'{"vms": [{"vm_id": 3, "address": "", "zone": "", "role": ""}]}',
            id="wrong type",
        ),
    ],
)
async def test_malformed_list_raises_vm_list_error(serve_app, http_session, body):
    """A malformed list raises VmListError instead of an empty list."""

    async def reply(_: web.Request) -> web.Response:
        return web.Response(body=body)

    app = web.Application()
    app.router.add_get("/vms", reply)
    client = VmListClient(http_session, f"{await serve_app(app)}/vms")
    with pytest.raises(VmListError):
        await client.async_read()


@pytest.mark.parametrize("odd", [{"vm_id": "a"}, {**_VM, "zone": 7}, [], None, 2**53])
async def test_list_is_not_followed_after_an_odd_vm(vm_list, stand_in, odd):
    """A malformed VM is left out; the others are listed."""
    stand_in.replace([odd, _VM])
    assert await vm_list.async_read() == (ListedVm(**_VM),)
