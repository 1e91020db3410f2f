"""Access to routes by address and inner key, and secrecy of keys."""

import attrs
import pytest

from cardamomnotch_protocol.const import (
    PATH_ATTEMPTS,
    PATH_CONFIGURATION,
    PATH_HEARTBEAT,
    PATH_PEERS,
)
from cardamomnotch_runtime.const import HEADER_INNER_KEY

_INNER_KEY = "test-inner-key"
_INNER_PATHS = (PATH_ATTEMPTS, PATH_CONFIGURATION, PATH_HEARTBEAT, PATH_PEERS)


async def _async_status(http_session, url, headers=None):
    async with http_session.post(url, data=b"{}", headers=headers) as response:
        return response.status


@pytest.mark.parametrize("path", [*_INNER_PATHS, "/state", "/metrics"])
async def test_caller_reaches_no_inner_or_admin_route(system, http_session, path):
    """The address for callers has no inner or admin route, even with a key."""
    url = f"{system.entries['entry-0'].url}{path}"
    headers = {HEADER_INNER_KEY: _INNER_KEY}
    assert await _async_status(http_session, url, headers) == 404


@pytest.mark.parametrize("key", [None, "", "wrong-key", _INNER_KEY + "x"])
@pytest.mark.parametrize("vm_id", ["entry-0", "engine-0"])
async def test_inner_call_without_a_valid_key_is_refused(
    system, http_session, vm_id, key
):
    """Entries and sidecars refuse inner calls without a valid key."""
    process = system.entries.get(vm_id) or system.upstream_vms[vm_id]
    url = f"http://{process.settings.node.inner_address}{PATH_CONFIGURATION}"
    headers = {} if key is None else {HEADER_INNER_KEY: key}
    async with http_session.get(url, headers=headers) as response:
        assert response.status == 401


@pytest.mark.parametrize("vm_id", ["entry-0", "engine-0"])
async def test_dump_and_settings_show_no_secret(system, http_session, vm_id):
    """Neither the state dump nor the text of the settings contains a key."""
    process = system.entries.get(vm_id) or system.upstream_vms[vm_id]
    url = f"http://{process.settings.node.admin_address}/state"
    async with http_session.get(url) as response:
        dump = await response.text()
    assert _INNER_KEY not in dump
    assert _INNER_KEY not in repr(process.settings)
    assert attrs.asdict(process.settings.node)["inner_keys"] == (_INNER_KEY,)
