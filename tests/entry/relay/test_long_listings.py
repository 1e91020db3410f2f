"""Reading of a store with more items than one page."""

import random

import orjson
import pytest

from cardamomnotch_adapter.store_codec import PlatformStoreCodec
from cardamomnotch_core.relay.limits import RelayLimits
from cardamomnotch_core.relay.node import RelayIdentity, RelayNode
from cardamomnotch_entry.relay import coordinator as module
from cardamomnotch_entry.relay.const import MAX_READING_AGE_S
from cardamomnotch_entry.relay.coordinator import StoreCoordinator
from cardamomnotch_entry.relay.relay_store import RelayStore
from cardamomnotch_platform.exceptions import StoreError
from cardamomnotch_platform.store.models import StoreEntry, StorePage, StoreView

from tests.fixtures.positions import at

PAGE = 500
UPSTREAMS = 3000
REGISTRATION = {
    "service": "drafts",
    "address": "10.0.0.1:80",
    "zone": "zone-a",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "cold_left_ms": 0,
    "sequence": 1,
}
DOCUMENT = {"version": 1, "routes": [], "services": []}


class PagedStore:
    """A store that fails chosen calls, and counts the entries that it returns."""

    def __init__(self) -> None:
        value, source = orjson.dumps(REGISTRATION), random.Random(1)
        self.items = {
            f"servers/i-{source.getrandbits(40):010x}": value for _ in range(UPSTREAMS)
        }
        self.items["op/config"] = orjson.dumps(DOCUMENT)
        self.calls = 0
        self.failing: set[int] = set()
        self.waits_s: list[float] = []
        # Events that a watch returns.
        self.events: tuple[StoreEntry, ...] = ()

    async def async_read_page(self, prefix, after, extra_wait_s):
        """Return a page."""
        self.calls += 1
        self.waits_s.append(extra_wait_s)
        if self.calls in self.failing:
            raise StoreError("no reply")
        keys = sorted(
            key for key in self.items if key > after and key.startswith(prefix)
        )
        entries = tuple(
            StoreEntry(key=key, value=self.items[key], mod_revision=1)
            for key in keys[:PAGE]
        )
        return StorePage(entries=entries, position=at(5), has_more=len(keys) > PAGE)

    async def async_read(self, prefix):
        """Return the items under a prefix."""
        entries = tuple(
            StoreEntry(key=key, value=value, mod_revision=1)
            for key, value in self.items.items()
            if key.startswith(prefix)
        )
        return StoreView(entries=entries, position=at(5))

    async def async_get(self, key):
        """Return an item."""
        return StoreEntry(key=key, value=self.items[key], mod_revision=1)

    async def async_wait_for_changes(self, prefix, after, wait_s, *, max_bytes):
        """Return the prepared events."""
        events, self.events = self.events, ()
        position = at(after.revision + len(events))
        return StoreView(entries=events, position=position)


@pytest.fixture
def store():
    """Return a store with many upstreams."""
    return PagedStore()


@pytest.fixture
def now_s():
    """Return the time, the only item of a list."""
    return [100.0]


@pytest.fixture
def node():
    """Return an entry."""
    identity = RelayIdentity(name="entry-a", zone="zone-a", incarnation="1")
    return RelayNode(identity, RelayLimits())


@pytest.fixture
def coordinator(node, store, now_s, monkeypatch):
    """Return a coordinator that does not pause."""

    async def async_sleep(seconds):
        """Return at once."""

    monkeypatch.setattr(module.asyncio, "sleep", async_sleep)
    relay_store = RelayStore(store, PlatformStoreCodec(), lambda: now_s[0])
    return StoreCoordinator(node, relay_store, lambda: now_s[0])


async def read_rest(coordinator):
    """Read the rest of the listing."""
    for _ in range(2 * UPSTREAMS // PAGE):
        await coordinator.async_read_rest()


async def test_entry_serves_before_it_has_read_all_upstreams(coordinator, node, store):
    """An entry has its routes and some upstreams after a few pages."""
    await coordinator.async_apply_changes()
    assert store.calls <= 4
    assert node.routes.version == 1
    assert PAGE <= len(node.fleet) <= 3 * PAGE
    await read_rest(coordinator)
    assert len(node.fleet) == UPSTREAMS


@pytest.mark.parametrize("failing", [{1}, {2}, {3}, {2, 3, 4}, {5, 6}], ids=str)
async def test_pages_that_were_read_are_not_read_again(
    coordinator, node, store, failing
):
    """After a failure the listing goes on with the page that failed."""
    store.failing = failing
    for _ in range(2 + len(failing)):
        if node.feed.position is None:
            await coordinator.async_apply_changes()
    await read_rest(coordinator)
    assert len(node.fleet) == UPSTREAMS
    # One more page than there are for each end of a span.
    assert store.calls <= UPSTREAMS // PAGE + 4 + len(failing)
    # A page that failed is waited for longer.
    assert max(store.waits_s) >= 0.7


async def test_reading_is_as_old_as_its_first_page(coordinator, node, store, now_s):
    """A reading that a failure delays confirms nothing younger than its begin."""
    store.failing = {2}
    await coordinator.async_apply_changes()
    now_s[0] = 102.0
    await coordinator.async_apply_changes()
    assert node.feed.confirmed_at_s == node.routes.confirmed_at_s == 100.0


async def test_old_pages_are_read_again(coordinator, node, store, now_s):
    """A reading that takes too long begins anew."""
    store.failing = {2}
    await coordinator.async_apply_changes()
    now_s[0] += 2 * MAX_READING_AGE_S
    began_at_s = now_s[0]
    await coordinator.async_apply_changes()
    assert node.feed.confirmed_at_s == began_at_s


async def test_changes_win_over_the_rest_of_a_listing(coordinator, node, store):
    """An upstream that a watch has removed or added is not taken from a page."""
    await coordinator.async_apply_changes()
    unread = sorted(
        key
        for key in store.items
        if key.startswith("servers/")
        and key.removeprefix("servers/") not in node.fleet.upstream_ids
    )
    removed, changed = unread[0], unread[1]
    new = {**REGISTRATION, "version": "v2"}
    store.events = (
        StoreEntry(key=removed, mod_revision=6, is_deleted=True),
        StoreEntry(key=changed, value=orjson.dumps(new), mod_revision=7),
    )
    await coordinator.async_apply_changes()
    await read_rest(coordinator)
    assert node.fleet.get(removed.removeprefix("servers/")) is None
    assert node.fleet.get(changed.removeprefix("servers/")).upstream.version == "v2"
    assert len(node.fleet) == UPSTREAMS - 1


async def test_upstreams_that_a_second_listing_lacks_are_removed(
    coordinator, node, store
):
    """After the loss of the history the rest of a new listing removes upstreams."""
    await coordinator.async_apply_changes()
    await read_rest(coordinator)
    gone = [key for key in store.items if key.endswith("7")]
    for key in gone:
        del store.items[key]
    node.feed.forget()
    await coordinator.async_apply_changes()
    assert len(node.fleet) == UPSTREAMS
    await read_rest(coordinator)
    assert len(node.fleet) == UPSTREAMS - len(gone)
