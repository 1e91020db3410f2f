"""Entries of the store that another writer has left."""

import pytest

from tests.adapter.test_store_codec import MALFORMED_REGISTRATIONS, REGISTRATION


@pytest.mark.parametrize("is_first", [False, True], ids=["at runtime", "at the start"])
async def test_list_of_upstreams_is_not_followed_after_odd_entries(relay, is_first):
    """Odd entries name no upstream; the others are used and followed."""

    def write_odd_entries():
        for number, value in enumerate(MALFORMED_REGISTRATIONS.values()):
            relay.store.put(f"servers/a-{number}", value)
            relay.store.put(f"entries/a-{number}", value)
            relay.store.put(f"op/rollout/a-{number}", value)
            relay.store.put(f"crash-reports/a-{number}", value)

    if is_first:
        write_odd_entries()
        await relay.async_restart_entry()
    upstream = await relay.async_add_upstream("up", service="bookings")
    if not is_first:
        write_odd_entries()
    await relay.async_add_upstream("up-2", service="bookings")
    for _ in range(5):
        assert (await relay.async_call("/book/x")).status == 200
    assert {state.upstream_id for state in relay.entry.node.fleet} == {"up", "up-2"}
    relay.register(upstream, service="bookings", state="draining")
    await relay.async_wait_for(
        lambda: relay.entry.node.fleet.get("up").upstream.is_draining
    )
    relay.store.put("servers/up-2", {**REGISTRATION, "slots": -1})
    await relay.async_wait_for(lambda: relay.entry.node.fleet.get("up-2") is None)
