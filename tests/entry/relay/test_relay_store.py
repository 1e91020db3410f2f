"""RelayStore over each supported key-value store."""

import attrs
import orjson
import pytest

from cardamomnotch_adapter.store import PlatformStoreClient
from cardamomnotch_adapter.store_codec import PlatformStoreCodec
from cardamomnotch_core.relay.crashes.detection import Crash
from cardamomnotch_core.relay.models import RolloutOrder
from cardamomnotch_core.relay.rollouts.rollout import Rollout, RolloutState
from cardamomnotch_core.relay.store_changes import changes
from cardamomnotch_entry.relay.const import CRASH_LEASE_REUSE_S
from cardamomnotch_entry.relay.relay_store import RelayStore
from cardamomnotch_platform.exceptions import (
    CompactedError,
    StoreConflictError,
    StoreError,
    StoreRestoredError,
)

from tests.fixtures.positions import at
from tests.stand_ins.platform_store import PlatformStoreStandIn

RECORD = changes.EntryRecord(entry="entry-a", incarnation="1")
ORDER = RolloutOrder(service="drafts", target="v2", duration_s=20.0)
STATUS = "status/rollout/drafts"


CRASHES = (Crash(suspect="print", process="up@1"),)


@pytest.fixture
def now_s():
    """Return the time of the tested RelayStore, the only item of a list."""
    return [0.0]


@pytest.fixture
def relay_store(store_harness, now_s):
    """Return a RelayStore over the tested key-value store."""
    return RelayStore(store_harness.store, PlatformStoreCodec(), lambda: now_s[0])


async def _async_write_order(store_harness):
    """Write a roll-out order and return its roll-out."""
    await store_harness.store.async_put(
        "op/rollout/drafts", orjson.dumps(attrs.asdict(ORDER))
    )
    written = await store_harness.store.async_get("op/rollout/drafts")
    return Rollout(ORDER, written.position, 0.0)


async def _async_read_status(store_harness):
    return orjson.loads((await store_harness.store.async_get(STATUS)).value)


async def test_changes_follow_a_full_read(relay_store, store_harness):
    """A wait returns the changes after the full read."""
    await store_harness.store.async_put("op/evacuate/zone-a", b"{}")
    reading = await relay_store.async_read_all()
    assert reading.changes == [changes.ZoneDisabled(zone="zone-a")]
    cursor = reading.position
    await store_harness.store.async_delete("op/evacuate/zone-a")
    found, cursor = await relay_store.async_wait_for_changes(cursor, 2.0)
    assert relay_store.decode(found) == [changes.ZoneEnabled(zone="zone-a")]
    assert [change.position for change in found] == [cursor]
    assert await relay_store.async_wait_for_changes(cursor, 0.01) == ([], cursor)


async def test_lost_history(relay_store, store_harness):
    """Lost change history raises CompactedError."""
    store_harness.drop_history()
    with pytest.raises(CompactedError):
        await relay_store.async_wait_for_changes(at(5, store_harness.era), 1.0)


async def test_record_expires_with_its_lease(relay_store, store_harness):
    """A record expires with its lease, and is rewritten under a new one."""
    assert not await relay_store.async_renew_record()
    await relay_store.async_write_record(RECORD, 6.0)
    assert await relay_store.async_renew_record()
    assert (await store_harness.store.async_get("entries/entry-a")).value
    store_harness.expire_leases()
    assert not await relay_store.async_renew_record()
    await relay_store.async_write_record(RECORD, 6.0)
    assert (await store_harness.store.async_get("entries/entry-a")).value
    await relay_store.async_delete_record()
    assert not (await store_harness.store.async_get("entries/entry-a")).mod_revision


async def test_write_with_an_expired_lease(relay_store, store_harness):
    """A write under an expired lease fails; the next one takes a new lease."""
    await relay_store.async_write_record(RECORD, 6.0)
    store_harness.expire_leases()
    with pytest.raises(StoreError):
        await relay_store.async_write_record(RECORD, 6.0)
    await relay_store.async_write_record(RECORD, 6.0)
    assert (await store_harness.store.async_get("entries/entry-a")).value


async def test_crash_report_outlives_the_entry_record(relay_store, store_harness):
    """A report of crashes has a lease of its own."""
    await relay_store.async_write_record(RECORD, 6.0)
    await relay_store.async_write_crashes("entry-a-1-0", CRASHES, (), 60.0)
    await relay_store.async_delete_record()
    found = (await relay_store.async_read_all()).changes
    assert found == [changes.CrashesReported(crashes=CRASHES)]


async def test_crash_reports_share_a_lease_for_a_while(
    relay_store, store_harness, now_s
):
    """Reports in quick succession need one lease, later ones another."""
    leases = []
    for now_s[0] in (0.0, CRASH_LEASE_REUSE_S - 1, CRASH_LEASE_REUSE_S + 1):
        name = f"entry-a-1-{len(leases)}"
        await relay_store.async_write_crashes(name, CRASHES, (), 600.0)
        key = PlatformStoreCodec().crashes_key(name)
        leases.append((await store_harness.store.async_get(key)).lease_id)
    assert leases[0] == leases[1] != leases[2]


async def test_expired_lease_of_crash_reports_is_replaced(relay_store, store_harness):
    """A report whose lease has expired fails, and the next one is stored."""
    await relay_store.async_write_crashes("entry-a-1-0", CRASHES, (), 60.0)
    store_harness.expire_leases()
    with pytest.raises(StoreError):
        await relay_store.async_write_crashes("entry-a-1-1", CRASHES, (), 60.0)
    await relay_store.async_write_crashes("entry-a-1-2", CRASHES, (), 60.0)
    found = (await relay_store.async_read_all()).changes
    assert found == [changes.CrashesReported(crashes=CRASHES)]


async def test_report_is_written_once(relay_store, store_harness):
    """Reporting the same state twice writes it once."""
    rollout = await _async_write_order(store_harness)
    await relay_store.async_report_rollout(rollout, RolloutState.COMPLETED)
    revision = (await store_harness.store.async_get(STATUS)).mod_revision
    await relay_store.async_report_rollout(rollout, RolloutState.COMPLETED)
    assert (await store_harness.store.async_get(STATUS)).mod_revision == revision
    assert await _async_read_status(store_harness) == {
        "state": "completed",
        "target": "v2",
    }


async def test_report_whose_response_was_lost(relay_store, store_harness):
    """A report whose response was lost is not written again."""
    rollout = await _async_write_order(store_harness)
    store_harness.lose_response()
    with pytest.raises(StoreError):
        await relay_store.async_report_rollout(rollout, RolloutState.REVERTED)
    revision = (await store_harness.store.async_get(STATUS)).mod_revision
    await relay_store.async_report_rollout(rollout, RolloutState.REVERTED)
    assert (await store_harness.store.async_get(STATUS)).mod_revision == revision


async def test_final_report_is_not_replaced(relay_store, store_harness):
    """A roll-out reported as reverted is never reported as completed."""
    rollout = await _async_write_order(store_harness)
    await relay_store.async_report_rollout(rollout, RolloutState.REVERTED)
    with pytest.raises(StoreConflictError):
        await relay_store.async_report_rollout(rollout, RolloutState.COMPLETED)
    assert (await _async_read_status(store_harness))["state"] == "reverted"


async def test_unreadable_report_is_replaced(relay_store, store_harness):
    """A report that cannot be decoded is overwritten."""
    rollout = await _async_write_order(store_harness)
    await store_harness.store.async_put(STATUS, b"{")
    await relay_store.async_report_rollout(rollout, RolloutState.IN_PROGRESS)
    assert (await _async_read_status(store_harness))["state"] == "in_progress"


async def test_report_of_an_earlier_order_is_replaced(relay_store, store_harness):
    """The report of an earlier order does not block a new order's report."""
    await relay_store.async_report_rollout(
        await _async_write_order(store_harness), RolloutState.REVERTED
    )
    again = await _async_write_order(store_harness)
    await relay_store.async_report_rollout(again, RolloutState.IN_PROGRESS)
    assert (await _async_read_status(store_harness))["state"] == "in_progress"


async def _async_replace_order(store_harness, change):
    """Let the operators replace, or delete, the order of a roll-out."""
    if change is None:
        await store_harness.store.async_delete("op/rollout/drafts")
        return
    order = attrs.evolve(ORDER, **change)
    value = orjson.dumps(attrs.asdict(order))
    await store_harness.store.async_put("op/rollout/drafts", value)


REPLACED = pytest.mark.parametrize(
    "change",
    [{}, {"target": "v3"}, None],
    ids=["same target", "other target", "deleted"],
)


@REPLACED
@pytest.mark.parametrize("state", RolloutState)
async def test_late_report_ends_the_rollout_of_a_later_order(
    relay_store, store_harness, change, state
):
    """An entry that does not know of a later order writes nothing."""
    earlier = await _async_write_order(store_harness)
    await _async_replace_order(store_harness, change)
    with pytest.raises(StoreConflictError):
        await relay_store.async_report_rollout(earlier, state)
    assert not (await store_harness.store.async_get(STATUS)).mod_revision


@REPLACED
async def test_report_replaces_the_state_of_a_later_order(
    relay_store, store_harness, change
):
    """The state of the later order's roll-out stays as it is."""
    earlier = await _async_write_order(store_harness)
    await relay_store.async_report_rollout(earlier, RolloutState.IN_PROGRESS)
    await _async_replace_order(store_harness, change)
    later = b'{"state":"in_progress","target":"v2"}'
    await store_harness.store.async_put(STATUS, later)
    with pytest.raises(StoreConflictError):
        await relay_store.async_report_rollout(earlier, RolloutState.COMPLETED)
    assert (await store_harness.store.async_get(STATUS)).value == later


@REPLACED
async def test_order_that_changes_during_a_report_is_overlooked(
    relay_store, store_harness, change, monkeypatch
):
    """An order that is replaced between the read and the write refuses the write."""
    rollout = await _async_write_order(store_harness)
    read = store_harness.store.async_get

    async def async_get_slowly(key):
        entry = await read(key)
        await _async_replace_order(store_harness, change)
        return entry

    monkeypatch.setattr(store_harness.store, "async_get", async_get_slowly)
    with pytest.raises(StoreConflictError):
        await relay_store.async_report_rollout(rollout, RolloutState.COMPLETED)
    monkeypatch.undo()
    assert not (await store_harness.store.async_get(STATUS)).mod_revision


async def test_report_on_an_order_of_an_earlier_era_is_written(serve_app, http_session):
    """A store that came back from a copy has given the order's revision out again."""
    stand_in = PlatformStoreStandIn()
    url = await serve_app(stand_in.create_app())
    store = PlatformStoreClient(http_session, url.removeprefix("http://"))
    relay_store = RelayStore(store, PlatformStoreCodec(), lambda: 0.0)
    copy = stand_in.copy()
    stand_in.put("op/rollout/drafts", attrs.asdict(ORDER))
    order_id = (await store.async_get("op/rollout/drafts")).position
    stand_in.restore(copy)
    stand_in.put("op/rollout/drafts", attrs.asdict(ORDER))
    assert stand_in.revision("op/rollout/drafts") == order_id.revision
    with pytest.raises(StoreRestoredError):
        await relay_store.async_report_rollout(
            Rollout(ORDER, order_id, 0.0), RolloutState.COMPLETED
        )
    assert not (await store.async_get(STATUS)).mod_revision


async def test_final_state_of_another_target_stops_the_reports(
    relay_store, store_harness
):
    """A state of another target is of another order, though it was written later."""
    rollout = await _async_write_order(store_harness)
    await store_harness.store.async_put(STATUS, b'{"state":"completed","target":"v1"}')
    await relay_store.async_report_rollout(rollout, RolloutState.REVERTED)
    expected = {"state": "reverted", "target": "v2"}
    assert await _async_read_status(store_harness) == expected


@pytest.mark.parametrize(
    ("document_bytes", "is_omitted"),
    [(None, None), (1_000, False), (200_000, True)],
    ids=["unchanged", "small", "large"],
)
async def test_document_is_read_again_after_many_small_changes(
    serve_app, http_session, document_bytes, is_omitted
):
    """Of changes that are large together, only a large document is left out."""
    stand_in = PlatformStoreStandIn()
    url = await serve_app(stand_in.create_app())
    store = PlatformStoreClient(http_session, url.removeprefix("http://"))
    relay_store = RelayStore(store, PlatformStoreCodec(), lambda: 0.0)
    cursor = at(stand_in.put("op/config", {}), stand_in.era)
    zones = [f"op/evacuate/zone-{number}" for number in range(50)]
    for zone in zones:
        stand_in.put(zone, b"{}" + b" " * 1_500)
    if document_bytes is not None:
        stand_in.put("op/config", b" " * document_bytes)
    last = stand_in.put("op/evacuate/last", {})
    found, cursor = await relay_store.async_wait_for_changes(cursor, 1.0)
    assert cursor == at(last, stand_in.era)
    keys = [change.key for change in found if change.key != "op/config"]
    assert keys == [*zones, "op/evacuate/last"]
    documents = [change for change in found if change.key == "op/config"]
    assert [change.is_omitted for change in documents] == (
        [] if is_omitted is None else [is_omitted]
    )
