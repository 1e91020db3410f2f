"""Contract of the VM list, which the stand-in passes too."""

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
    """Return the VM list's stand-in."""
    return VmListStandIn([_VM])


@pytest.fixture
async def vm_list(stand_in, serve_app, http_session):
    """Return a client of the stand-in."""
    return VmListClient(http_session, f"{await serve_app(stand_in.create_app())}/vms")


async def test_list_is_read_once_and_then_only_changes(vm_list, stand_in):
    """The same list is not sent twice; a change is."""
    assert await vm_list.async_read() == (ListedVm(**_VM),)
    assert await vm_list.async_read() is None
    stand_in.replace([_VM, {**_VM, "vm_id": "engine-1", "state": "leaving"}])
    listed = await vm_list.async_read()
    assert [vm.state for vm in listed] == ["live", "leaving"]


async def test_outage_raises_and_the_list_is_read_afterwards(vm_list, stand_in):
    """A list that is down raises a numbered error, and is whole once back."""
    stand_in.faults.active["down"] = 1
    with pytest.raises(VmListError):
        await vm_list.async_read()
    assert await vm_list.async_read() == (ListedVm(**_VM),)


async def test_lagging_list_shows_the_former_state(vm_list, stand_in):
    """Within its lag the list tells what was, never a mixture."""
    assert len(await vm_list.async_read()) == 1
    stand_in.faults.active["lag_s"] = 60.0
    stand_in.replace([])
    assert await vm_list.async_read() is None
    stand_in.faults.active["lag_s"] = 0.0
    assert await vm_list.async_read() == ()


async def test_field_of_a_newer_platform_is_ignored(vm_list, stand_in):
    """A field that this release does not know changes nothing."""
    stand_in.replace([{**_VM, "rack": "r7"}])
    assert await vm_list.async_read() == (ListedVm(**_VM),)


@pytest.mark.parametrize(
    "body",
    [
        pytest.param(b"", id="empty"),
        pytest.param(b"<html>", id="not JSON"),
        pytest.param(b"[]", id="no object"),
        pytest.param(b'{"vms": {}}', id="no list"),
        pytest.param(b'{"vms": ""}', id="text"),
        pytest.param(b'{"vms": [{"vm_id": "a"}]}', id="field missing"),
        pytest.param(
            b'{"vms": [{"vm_id": 3, "address": "", "zone": "", "role": ""}]}',
            id="wrong type",
        ),
    ],
)
async def test_unusable_list_is_an_error(serve_app, http_session, body):
    """A list that cannot be read is an error, not an empty list."""

    async def answer(_: web.Request) -> web.Response:
        return web.Response(body=body)

    app = web.Application()
    app.router.add_get("/vms", answer)
    client = VmListClient(http_session, f"{await serve_app(app)}/vms")
    with pytest.raises(VmListError):
        await client.async_read()
