"""A store that comes back from a copy, while entries serve."""

import asyncio

import pytest

from cardamomnotch_core.relay.const import (
    REMOVED_UPSTREAM_RETENTION_S,
    REREGISTRATION_GRACE_S,
)

from tests.fixtures.relay_system import API_KEY, WORKSPACE, document
from tests.stand_ins.platform_upstream import PlatformUpstreamStandIn, plain

TAKEN_KEY = "key-two"
STATUS = "status/rollout/drafts"
# Time in which an entry reads and writes several times, in seconds.
PUBLISH_INTERVALS_S = 1.0


def tenants(*keys):
    """Return the route document's field with the keys of one workspace."""
    return [{"name": WORKSPACE, "api_keys": list(keys), "priority": 1}]


@pytest.fixture
async def entries(relay):
    """Return four entries of one availability zone that serve bookings."""
    others = [await relay.async_add_entry(f"entry-a-{n}") for n in (2, 3, 4)]
    relay.store.put("op/config", document(2, tenants=tenants(API_KEY, TAKEN_KEY)))
    await relay.async_add_upstream("up", plain(b"done"), service="bookings")
    entries = [relay, *others]
    for entry in entries:
        await entry.async_wait_for(
            lambda e=entry: (
                e.entry.node.routes.version == 2 and len(e.entry.node.entries) == 4
            )
        )
    yield entries
    for other in others:
        await other.async_leave()


async def statuses(entries, key):
    """Return the status of a booking with ``key`` at each entry."""
    return [(await entry.async_call("/book/x", key=key)).status for entry in entries]


async def test_key_taken_away_after_a_restore_is_refused(relay, entries):
    """A key that is taken away after the store's restore is refused at all entries.

    The revisions that the restored store gives out are ones that entries know.
    """
    assert await statuses(entries, TAKEN_KEY) == [200] * 4
    copy = relay.store.copy()
    for number in range(20):
        relay.store.put("op/other", {"number": number})
    for entry in entries:
        await entry.async_wait_for(
            lambda e=entry: (
                e.entry.node.feed.position.revision >= relay.store.revision("op/other")
            )
        )
    relay.store.restore(copy)
    relay.store.put("op/config", document(3, tenants=tenants(API_KEY)))
    for entry in entries:
        await entry.async_wait_for(lambda e=entry: e.entry.node.routes.version == 3)
    assert await statuses(entries, TAKEN_KEY) == [401] * 4
    assert await statuses(entries, API_KEY) == [200] * 4


async def restore_before(relay, change, is_known):
    """Apply ``change``, then let the store come back from a copy without it."""
    copy = relay.store.copy()
    change()
    await relay.async_wait_for(is_known)
    relay.store.restore(copy)
    await relay.async_wait_for(
        lambda: (
            relay.entry.node.feed.position is not None
            and relay.entry.node.feed.position.era == relay.store.era
        )
    )


async def test_evacuation_that_a_restore_lost_stays_in_force(relay):
    """A zone stays out of service until the operators' next word of it."""
    fleet = relay.entry.node.fleet
    await restore_before(
        relay,
        lambda: relay.store.put("op/evacuate/zone-b", {}),
        lambda: fleet.zones_out == {"zone-b"},
    )
    await asyncio.sleep(PUBLISH_INTERVALS_S)
    assert fleet.zones_out == {"zone-b"}
    relay.store.put("op/evacuate/zone-b", {})
    relay.store.delete("op/evacuate/zone-b")
    await relay.async_wait_for(lambda: not fleet.zones_out)


async def test_draining_that_a_restore_lost_stays_in_force(relay):
    """An upstream that is draining gets no requests, whatever the copy says."""
    up = await relay.async_add_upstream("up", plain(b"done"), service="bookings")
    fleet = relay.entry.node.fleet
    await restore_before(
        relay,
        lambda: relay.register(up, service="bookings", state="draining"),
        lambda: fleet.get("up").is_draining,
    )
    assert fleet.get("up").is_draining
    assert (await relay.async_call("/book/x")).status == 503


async def test_upstream_that_a_restore_lost_is_used_on(relay):
    """An upstream whose registration was lost has time to register again."""
    up = PlatformUpstreamStandIn("up", plain(b"done"))
    await up.async_start()
    relay.upstreams["up"] = up
    fleet = relay.entry.node.fleet
    await restore_before(
        relay,
        lambda: relay.register(up, service="bookings"),
        lambda: fleet.get("up") is not None,
    )
    assert (await relay.async_call("/book/x")).status == 200
    relay.register(up, service="bookings")
    await asyncio.sleep(REREGISTRATION_GRACE_S + 0.5)
    assert (await relay.async_call("/book/x")).status == 200


async def test_registration_of_an_earlier_process_is_not_used(relay):
    """An upstream that restarted after the copy is not replaced by its former run."""
    up = await relay.async_add_upstream(
        "up", plain(b"done"), service="bookings", born=1_000
    )
    fleet = relay.entry.node.fleet
    await restore_before(
        relay,
        lambda: relay.register(up, service="bookings", born=2_000),
        lambda: fleet.get("up").upstream.started_ms == 2_000,
    )
    assert fleet.get("up").upstream.started_ms == 2_000


@pytest.mark.parametrize("is_order_lost", [True, False])
async def test_final_state_that_a_restore_lost_is_reported_again(relay, is_order_lost):
    """A reverted rollout stays reverted, and the store learns it again."""
    order = {"service": "drafts", "target": "v2", "duration_s": 60.0}
    rollouts = relay.entry.node.versions
    copy = relay.store.copy()
    relay.store.put("op/rollout/drafts", order)
    if not is_order_lost:
        copy = relay.store.copy()
    await relay.async_wait_for(lambda: relay.store.value(STATUS) is not None)
    rollouts.get("drafts").is_bad = True
    await relay.async_wait_for(lambda: rollouts.get("drafts").state == "reverted")
    relay.store.restore(copy)
    if is_order_lost:
        await asyncio.sleep(PUBLISH_INTERVALS_S)
        relay.store.put("op/rollout/drafts", order)
    await relay.async_wait_for(
        lambda: relay.store.value(STATUS) == {"state": "reverted", "target": "v2"}
    )
    assert rollouts.get("drafts").state == "reverted"


async def test_order_of_a_later_era_is_followed(relay):
    """An order of the restored store is not older for its lower revision."""
    rollouts = relay.entry.node.versions
    copy = relay.store.copy()
    for _ in range(20):
        relay.store.put("op/other", {})
    order = {"service": "drafts", "target": "v2", "duration_s": 60.0}
    relay.store.put("op/rollout/drafts", order)
    await relay.async_wait_for(lambda: rollouts.get("drafts") is not None)
    relay.store.restore(copy)
    relay.store.put("op/rollout/drafts", {**order, "target": "v3"})
    await relay.async_wait_for(lambda: rollouts.get("drafts").order.target == "v3")


async def test_record_is_written_again_under_a_lease_of_its_own(relay):
    """A lease of an earlier era is not used: its id may be another's by now."""
    copy = relay.store.copy()
    copy.items.pop("entries/entry-a-1", None)
    last_lease = copy.last_lease
    copy.last_lease = last_lease - 1
    relay.store.restore(copy)
    # The id of the entry's lease is given out again.
    await relay.async_wait_for(
        lambda: relay.store.value("entries/entry-a-1") is not None
    )
    await asyncio.sleep(PUBLISH_INTERVALS_S)
    assert relay.store.value("entries/entry-a-1") is not None


async def test_entry_that_starts_after_a_restore_accepts_no_key_taken_away(relay):
    """An entry that starts before the document is written again serves no keys.

    The copy has the key, and the records of the other entries say that they use a
    newer document.
    """
    await relay.async_add_upstream("up", plain(b"done"), service="bookings")
    relay.store.put("op/config", document(2, tenants=tenants(API_KEY, TAKEN_KEY)))
    await relay.async_wait_for(lambda: relay.entry.node.routes.version == 2)
    copy = relay.store.copy()
    await restore_before(
        relay,
        lambda: relay.store.put("op/config", document(3, tenants=tenants(API_KEY))),
        lambda: relay.entry.node.routes.version == 3,
    )
    await relay.async_wait_for(
        lambda: (
            relay.store.revision("entries/entry-a-1")
            > copy.items["entries/entry-a-1"].revision
        )
    )
    other = await relay.async_add_entry("entry-a-2", waits_until_ready=False)
    await other.async_wait_for(lambda: other.entry.node.routes.version == 2)
    for _ in range(3):
        assert (await other.async_call("/book/x", key=TAKEN_KEY)).status == 503
        assert (await relay.async_call("/book/x", key=TAKEN_KEY)).status == 401
        assert not other.entry.is_ready
        await asyncio.sleep(PUBLISH_INTERVALS_S / 3)
    relay.store.put("op/config", document(3, tenants=tenants(API_KEY)))
    await other.async_wait_for(lambda: other.entry.is_ready)
    assert (await other.async_call("/book/x", key=TAKEN_KEY)).status == 401
    await other.async_leave()


async def test_upstream_that_a_restore_lists_again_is_not_used(relay):
    """An upstream that was removed after the copy gets no more requests.

    Its registration is deleted once its lease ends; one that stays is used again.
    """
    await relay.async_add_upstream("up", plain(b"done"), service="bookings")
    fleet = relay.entry.node.fleet
    await restore_before(
        relay,
        lambda: relay.store.delete("servers/up"),
        lambda: fleet.get("up") is None,
    )
    assert relay.store.value("servers/up") is not None
    assert (await relay.async_call("/book/x")).status == 503
    await asyncio.sleep(REMOVED_UPSTREAM_RETENTION_S + PUBLISH_INTERVALS_S)
    assert (await relay.async_call("/book/x")).status == 200
