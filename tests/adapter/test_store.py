"""The store's client, against a stand-in with faults."""

import attrs
import pytest

from cardamomnotch_adapter.store import PlatformStore
from cardamomnotch_core.relay import changes
from cardamomnotch_core.relay.models import RolloutOrder
from cardamomnotch_core.relay.rollout import Rollout, RolloutState
from cardamomnotch_entry.relay.exceptions import (
    ConflictError,
    FeedError,
    HistoryLostError,
)

from tests.fixtures.relay_system import document
from tests.stand_ins.platform_store import PlatformStoreStandIn

RECORD = changes.EntryRecord(entry="entry-a", incarnation="1")
STATUS = "status/rollout/drafts"


@pytest.fixture
def stand_in():
    """Return a store."""
    return PlatformStoreStandIn()


@pytest.fixture
async def store(stand_in, serve_app, http_session):
    """Return a client of the store."""
    url = await serve_app(stand_in.create_app())
    return PlatformStore(http_session, url.removeprefix("http://"))


@pytest.fixture
def rollout(stand_in):
    """Return a roll-out whose order lies in the store."""
    order = RolloutOrder(service="drafts", target="v2", duration_s=20.0)
    value = attrs.asdict(order)
    order_id = stand_in.put("op/rollout/drafts", value)
    return Rollout(order, order_id, 0.0)


async def test_all_pages_are_read(store, stand_in):
    """A listing goes on until the last page."""
    stand_in.put("op/config", document())
    for number in range(10):
        stand_in.put(f"op/evacuate/zone-{number}", {})
    found, cursor = await store.async_read_all()
    zones = [change for change in found if isinstance(change, changes.ZoneTakenOut)]
    assert len(zones) == 10
    assert cursor == stand_in.revision("op/evacuate/zone-9")


async def test_watch_goes_on_from_its_cursor(store, stand_in):
    """A watch returns what was written since, and the next cursor."""
    stand_in.put("op/config", document())
    _, cursor = await store.async_read_all()
    stand_in.put("op/evacuate/zone-a", {})
    found, cursor = await store.async_watch(cursor, 0.01)
    assert found == [changes.ZoneTakenOut(zone="zone-a")]
    stand_in.delete("op/evacuate/zone-a")
    found, cursor = await store.async_watch(cursor, 0.01)
    assert found == [changes.ZoneTakenBack(zone="zone-a")]
    assert await store.async_watch(cursor, 0.01) == ([], cursor)


async def test_lost_history(store, stand_in):
    """A watch whose history is gone is told from a failure."""
    stand_in.faults.active["gone"] = 1
    with pytest.raises(HistoryLostError):
        await store.async_watch(5, 0.01)


@pytest.mark.parametrize("fault", ["busy", "limited", "reset", "silent", "garbled"])
async def test_faults_are_errors(store, stand_in, fault):
    """No fault of the store looks like an answer."""
    stand_in.faults.active[fault] = True
    with pytest.raises(FeedError) as error:
        await store.async_watch(5, 0.01)
    assert not isinstance(error.value, HistoryLostError)


async def test_record_and_its_lease(store, stand_in):
    """A record lapses with its lease, and is written again under a new one."""
    assert not await store.async_keep_record()
    await store.async_write_record(RECORD, 6.0)
    assert await store.async_keep_record()
    assert stand_in.value("entries/entry-a")["incarnation"] == "1"
    stand_in.end_lease(7000)
    assert not await store.async_keep_record()
    await store.async_write_record(RECORD, 6.0)
    assert stand_in.value("entries/entry-a")


async def test_write_under_a_lapsed_lease(store, stand_in):
    """The lease may lapse unseen; the write after the next one stands."""
    await store.async_write_record(RECORD, 6.0)
    stand_in.end_lease(7000)
    with pytest.raises(FeedError):
        await store.async_write_record(RECORD, 6.0)
    await store.async_write_record(RECORD, 6.0)
    assert stand_in.value("entries/entry-a")


async def test_report_is_written_once(store, stand_in, rollout):
    """Two entries that report the same leave one report."""
    await store.async_report_rollout(rollout, RolloutState.COMPLETED)
    revision = stand_in.revision(STATUS)
    await store.async_report_rollout(rollout, RolloutState.COMPLETED)
    assert stand_in.revision(STATUS) == revision
    assert stand_in.value(STATUS) == {"state": "completed", "target": "v2"}


async def test_report_whose_answer_was_lost(store, stand_in, rollout):
    """A report that was written without an answer is found to stand."""
    stand_in.faults.active["lost"] = 1
    with pytest.raises(FeedError):
        await store.async_report_rollout(rollout, RolloutState.REVERTED)
    revision = stand_in.revision(STATUS)
    await store.async_report_rollout(rollout, RolloutState.REVERTED)
    assert stand_in.revision(STATUS) == revision


async def test_final_report_stays(store, stand_in, rollout):
    """What was reported as reverted is never reported as completed."""
    await store.async_report_rollout(rollout, RolloutState.REVERTED)
    with pytest.raises(ConflictError):
        await store.async_report_rollout(rollout, RolloutState.COMPLETED)
    assert stand_in.value(STATUS)["state"] == "reverted"


async def test_report_of_an_earlier_order_is_replaced(store, stand_in, rollout):
    """A new order of the same service starts anew."""
    await store.async_report_rollout(rollout, RolloutState.REVERTED)
    order_id = stand_in.put("op/rollout/drafts", attrs.asdict(rollout.order))
    again = Rollout(rollout.order, order_id, 0.0)
    await store.async_report_rollout(again, RolloutState.IN_PROGRESS)
    assert stand_in.value(STATUS)["state"] == "in_progress"
