"""What the relay keeps in a store, over each store that the product can use."""

import attrs
import orjson
import pytest

from cardamomnotch_adapter.documents import PlatformDocuments
from cardamomnotch_core.relay import changes
from cardamomnotch_core.relay.models import RolloutOrder
from cardamomnotch_core.relay.rollout import Rollout, RolloutState
from cardamomnotch_entry.relay.feed import StoreFeed
from cardamomnotch_platform.exceptions import (
    HistoryLostError,
    StoreConflictError,
    StoreError,
)

RECORD = changes.EntryRecord(entry="entry-a", incarnation="1")
ORDER = RolloutOrder(service="drafts", target="v2", duration_s=20.0)
STATUS = "status/rollout/drafts"


@pytest.fixture
def feed(kit):
    """Return the relay's view of the store."""
    return StoreFeed(kit.store, PlatformDocuments())


async def _async_order(kit):
    """Write an order; return the roll-out that it asks for."""
    await kit.store.async_put("op/rollout/drafts", orjson.dumps(attrs.asdict(ORDER)))
    written = await kit.store.async_get("op/rollout/drafts")
    return Rollout(ORDER, written.mod_revision, 0.0)


async def _async_status(kit):
    return orjson.loads((await kit.store.async_get(STATUS)).value)


async def test_changes_go_on_from_the_reading(feed, kit):
    """A reading gives what is known, and the changes after it follow."""
    await kit.store.async_put("op/evacuate/zone-a", b"{}")
    found, cursor = await feed.async_read_all()
    assert found == [changes.ZoneDisabled(zone="zone-a")]
    await kit.store.async_delete("op/evacuate/zone-a")
    found, cursor = await feed.async_wait(cursor, 2.0)
    assert found == [changes.ZoneEnabled(zone="zone-a")]
    assert await feed.async_wait(cursor, 0.01) == ([], cursor)


async def test_lost_history(feed, kit):
    """Changes that are no longer known are told from a failure."""
    kit.drop_history()
    with pytest.raises(HistoryLostError):
        await feed.async_wait(5, 1.0)


async def test_record_and_its_lease(feed, kit):
    """A record lapses with its lease, and is written again under a new one."""
    assert not await feed.async_keep_record()
    await feed.async_write_record(RECORD, 6.0)
    assert await feed.async_keep_record()
    assert (await kit.store.async_get("entries/entry-a")).value
    kit.end_leases()
    assert not await feed.async_keep_record()
    await feed.async_write_record(RECORD, 6.0)
    assert (await kit.store.async_get("entries/entry-a")).value
    await feed.async_drop_record()
    assert not (await kit.store.async_get("entries/entry-a")).mod_revision


async def test_write_under_a_lapsed_lease(feed, kit):
    """The lease may lapse unseen; the write after the next one stands."""
    await feed.async_write_record(RECORD, 6.0)
    kit.end_leases()
    with pytest.raises(StoreError):
        await feed.async_write_record(RECORD, 6.0)
    await feed.async_write_record(RECORD, 6.0)
    assert (await kit.store.async_get("entries/entry-a")).value


async def test_report_is_written_once(feed, kit):
    """Two entries that report the same leave one report."""
    rollout = await _async_order(kit)
    await feed.async_report_rollout(rollout, RolloutState.COMPLETED)
    revision = (await kit.store.async_get(STATUS)).mod_revision
    await feed.async_report_rollout(rollout, RolloutState.COMPLETED)
    assert (await kit.store.async_get(STATUS)).mod_revision == revision
    assert await _async_status(kit) == {"state": "completed", "target": "v2"}


async def test_report_whose_answer_was_lost(feed, kit):
    """A report that was written without an answer is found to stand."""
    rollout = await _async_order(kit)
    kit.lose_answer()
    with pytest.raises(StoreError):
        await feed.async_report_rollout(rollout, RolloutState.REVERTED)
    revision = (await kit.store.async_get(STATUS)).mod_revision
    await feed.async_report_rollout(rollout, RolloutState.REVERTED)
    assert (await kit.store.async_get(STATUS)).mod_revision == revision


async def test_final_report_stays(feed, kit):
    """What was reported as reverted is never reported as completed."""
    rollout = await _async_order(kit)
    await feed.async_report_rollout(rollout, RolloutState.REVERTED)
    with pytest.raises(StoreConflictError):
        await feed.async_report_rollout(rollout, RolloutState.COMPLETED)
    assert (await _async_status(kit))["state"] == "reverted"


async def test_unreadable_report_is_replaced(feed, kit):
    """A report that cannot be read holds nobody back."""
    rollout = await _async_order(kit)
    await kit.store.async_put(STATUS, b"{")
    await feed.async_report_rollout(rollout, RolloutState.IN_PROGRESS)
    assert (await _async_status(kit))["state"] == "in_progress"


async def test_report_of_an_earlier_order_is_replaced(feed, kit):
    """A new order of the same service starts anew."""
    await feed.async_report_rollout(await _async_order(kit), RolloutState.REVERTED)
    again = await _async_order(kit)
    await feed.async_report_rollout(again, RolloutState.IN_PROGRESS)
    assert (await _async_status(kit))["state"] == "in_progress"
