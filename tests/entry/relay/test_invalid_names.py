"""Names from the store that cannot be sent in a header."""

import pytest

from cardamomnotch_protocol.result_codes import ResultCode

from tests.fixtures.relay_system import MODELS, document, route
from tests.stand_ins.platform_upstream import plain, stream

NAMES = ["firm\x01", "firm\r\nX-Tenant: other", "\x7f", "\x00"]


async def async_replace_document(relay, **changes):
    """Write a route document, and wait until it is in force."""
    relay.store.put("op/config", document(2, **changes))
    await relay.async_wait_for(lambda: relay.entry.node.routes.version == 2)


@pytest.mark.parametrize("name", NAMES)
@pytest.mark.parametrize("path", ["/book/x", "/read/x"])
async def test_workspace_name_counts_as_a_failure_of_upstreams(relay, path, name):
    """The request is refused before it is sent, and no upstream is blamed."""
    upstream = await relay.async_add_upstream("up", service="bookings")
    await async_replace_document(
        relay, tenants=[{"name": name, "api_keys": ["key-one"]}]
    )
    answer = await relay.async_call(path)
    assert (answer.status, upstream.seen) == (503, [])
    assert answer.error_code == ResultCode.INVALID_CONFIGURATION
    state = relay.entry.node.fleet.get("up")
    assert (state.failures, state.in_flight) == (0, 0)
    assert (await relay.async_call("/open/x", key=None)).status == 200


async def test_model_name_counts_as_a_failure_of_upstreams(relay):
    """The same with the name of a model that the router chooses."""
    upstream = await relay.async_add_upstream("up", stream(1, 1))
    sizes = [f"{model}\x01" for model in MODELS]
    await async_replace_document(
        relay, routes=[route("draft", "streaming", resumable=True, sizes=sizes)]
    )
    answer = await relay.async_call("/draft/x", X_Model="*")
    assert (answer.status, upstream.seen) == (503, [])
    assert relay.entry.node.fleet.get("up").failures == 0


@pytest.mark.parametrize("name", NAMES)
async def test_upstream_id_that_cannot_be_sent_is_used(relay, name):
    """Such a registration names no upstream, and others are used."""
    upstream = await relay.async_add_upstream("up", plain(b"good"), service="bookings")
    relay.store.put(f"servers/{name}", upstream.entry(service="bookings"))
    await relay.async_add_upstream("up-2", plain(b"good"), service="bookings")
    for _ in range(5):
        assert (await relay.async_call("/book/x")).status == 200
    assert {state.upstream_id for state in relay.entry.node.fleet} == {"up", "up-2"}
