"""What every client of a store does the same, whatever its protocol."""

import asyncio

import pytest

from cardamomnotch_platform.exceptions import (
    HistoryLostError,
    LeaseLostError,
    StoreError,
)


async def test_absent_key(store_harness):
    """A key that is not there has revision 0."""
    assert (await store_harness.store.async_get("a/none")).mod_revision == 0


async def test_written_value_is_read(store_harness):
    """A write without condition stands, and a second one replaces it."""
    await store_harness.store.async_put("a/k", b"one")
    await store_harness.store.async_put("a/k", b"two")
    assert (await store_harness.store.async_get("a/k")).value == b"two"


async def test_one_of_two_writers_wins(store_harness):
    """Of two writes on one revision the second is told who was first."""
    first = await store_harness.store.async_put_if("a/k", b"one", 0)
    second = await store_harness.store.async_put_if("a/k", b"two", 0)
    assert (first.succeeded, second.succeeded) == (True, False)
    assert second.current.value == b"one"
    assert second.current.mod_revision == first.revision
    assert (
        await store_harness.store.async_put_if("a/k", b"two", first.revision)
    ).succeeded


@pytest.mark.parametrize("prefix", ["", "a/"])
async def test_read_and_wait_leave_no_gap(store_harness, prefix):
    """What a reading does not show, the changes after its revision do."""
    await store_harness.store.async_put("a/1", b"one")
    view = await store_harness.store.async_read(prefix)
    assert [entry.key for entry in view.entries] == ["a/1"]
    await store_harness.store.async_put("a/2", b"two")
    changes = await store_harness.store.async_wait(prefix, view.revision, 2.0)
    assert [(entry.key, entry.value) for entry in changes.entries] == [("a/2", b"two")]
    await store_harness.store.async_delete("a/1")
    changes = await store_harness.store.async_wait(prefix, changes.revision, 2.0)
    assert [(entry.key, entry.is_deleted) for entry in changes.entries] == [
        ("a/1", True)
    ]
    quiet = await store_harness.store.async_wait(prefix, changes.revision, 0.05)
    assert (quiet.entries, quiet.revision) == ((), changes.revision)


async def test_waiting_ends_with_a_change(store_harness):
    """A change that comes later ends the wait."""
    view = await store_harness.store.async_read("")
    waiting = asyncio.create_task(
        store_harness.store.async_wait("", view.revision, 10.0)
    )
    await asyncio.sleep(0.05)
    await store_harness.store.async_put("a/k", b"late")
    async with asyncio.timeout(5):
        assert [entry.value for entry in (await waiting).entries] == [b"late"]


async def test_lost_history_is_told(store_harness):
    """Changes that are no longer known are told from a failure."""
    store_harness.drop_history()
    with pytest.raises(HistoryLostError):
        await store_harness.store.async_wait("", 5, 1.0)


async def test_lapsed_lease(store_harness):
    """A lapsed lease takes its key away, and takes no other."""
    lease = await store_harness.store.async_grant_lease(6)
    await store_harness.store.async_put("a/k", b"held", lease_id=lease.lease_id)
    assert await store_harness.store.async_renew_lease(lease.lease_id) == 6.0
    store_harness.expire_leases()
    assert await store_harness.store.async_renew_lease(lease.lease_id) == 0.0
    assert (await store_harness.store.async_get("a/k")).mod_revision == 0
    with pytest.raises(LeaseLostError):
        await store_harness.store.async_put("a/k", b"held", lease_id=lease.lease_id)
    with pytest.raises(LeaseLostError):
        await store_harness.store.async_put_if(
            "a/k", b"held", 0, lease_id=lease.lease_id
        )


async def test_revoked_lease(store_harness):
    """A lease that is given back takes its keys away, and may be gone already."""
    lease = await store_harness.store.async_grant_lease(6)
    await store_harness.store.async_put("a/k", b"held", lease_id=lease.lease_id)
    for _ in range(2):
        await store_harness.store.async_revoke_lease(lease.lease_id)
    assert (await store_harness.store.async_get("a/k")).mod_revision == 0


async def test_answer_lost_after_the_effect(store_harness):
    """A write whose answer is lost raises, and stands."""
    store_harness.lose_response()
    with pytest.raises(StoreError):
        await store_harness.store.async_put_if("a/k", b"one", 0)
    assert (await store_harness.store.async_get("a/k")).value == b"one"


async def test_outage(store_harness):
    """A store that refuses raises a numbered error."""
    store_harness.make_unavailable()
    with pytest.raises(StoreError):
        await store_harness.store.async_read("")
    with pytest.raises(StoreError):
        await store_harness.store.async_wait("", 5, 1.0)
