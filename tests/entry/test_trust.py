"""Who may reach what."""

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
_PATHS = (PATH_ATTEMPTS, PATH_CONFIGURATION, PATH_HEARTBEAT, PATH_PEERS)


async def _async_status(http_session, url, headers=None):
    async with http_session.post(url, data=b"{}", headers=headers) as response:
        return response.status


@pytest.mark.parametrize("path", [*_PATHS, "/state", "/metrics"])
async def test_caller_reaches_no_inner_or_admin_route(system, http_session, path):
    """The address for callers has none of them, whatever header is sent."""
    url = f"{system.entries['entry-0'].url}{path}"
    headers = {HEADER_INNER_KEY: _INNER_KEY}
    assert await _async_status(http_session, url, headers) == 404


@pytest.mark.parametrize("key", [None, "", "wrong-key", _INNER_KEY + "x"])
@pytest.mark.parametrize("part", ["entry-0", "engine-0"])
async def test_inner_call_without_a_valid_key_is_refused(
    system, http_session, part, key
):
    """Entries and sidecars answer nobody who does not have the key."""
    found = system.entries.get(part) or system.upstream_vms[part]
    url = f"http://{found.settings.node.inner_address}{PATH_CONFIGURATION}"
    headers = {} if key is None else {HEADER_INNER_KEY: key}
    async with http_session.get(url, headers=headers) as response:
        assert response.status == 401


@pytest.mark.parametrize("part", ["entry-0", "engine-0"])
async def test_dump_and_settings_show_no_secret(system, http_session, part):
    """Neither the state dump nor the settings' text holds a key."""
    found = system.entries.get(part) or system.upstream_vms[part]
    url = f"http://{found.settings.node.admin_address}/state"
    async with http_session.get(url) as response:
        dump = await response.text()
    assert _INNER_KEY not in dump
    assert _INNER_KEY not in repr(found.settings)
    assert attrs.asdict(found.settings.node)["inner_keys"] == (_INNER_KEY,)
