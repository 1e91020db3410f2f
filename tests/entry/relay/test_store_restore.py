"""A store that comes back from a copy, while entries serve."""

import asyncio

import pytest

from tests.fixtures.relay_system import API_KEY, WORKSPACE, document
from tests.stand_ins.platform_upstream import plain

TAKEN_KEY = "key-two"
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
