"""Tests of the KeyValueStore interface, run with each of its clients."""

import asyncio

import pytest

from cardamomnotch_platform.exceptions import (
    CompactedError,
    LeaseExpiredError,
    StoreError,
)


async def test_absent_key_has_revision_0(kit):
    """An absent key is returned with revision 0."""
    assert (await kit.store.async_get("a/none")).mod_revision == 0


async def test_put_replaces_the_value(kit):
    """An unconditional write replaces the earlier value."""
    await kit.store.async_put("a/k", b"one")
    await kit.store.async_put("a/k", b"two")
    assert (await kit.store.async_get("a/k")).value == b"two"


async def test_second_write_on_a_revision_is_rejected(kit):
    """Of two writes on one revision the second returns the first's entry."""
    first = await kit.store.async_put_if("a/k", b"one", 0)
    second = await kit.store.async_put_if("a/k", b"two", 0)
    assert (first.succeeded, second.succeeded) == (True, False)
    assert second.current.value == b"one"
    assert second.current.mod_revision == first.revision
    assert (await kit.store.async_put_if("a/k", b"two", first.revision)).succeeded


@pytest.mark.parametrize("prefix", ["", "a/"])
async def test_no_change_is_missed_between_read_and_wait(kit, prefix):
    """Every change missing from a read is among those after its revision."""
    await kit.store.async_put("a/1", b"one")
    view = await kit.store.async_read(prefix)
    assert [entry.key for entry in view.entries] == ["a/1"]
    await kit.store.async_put("a/2", b"two")
    changes = await kit.store.async_wait_for_changes(prefix, view.revision, 2.0)
    assert [(entry.key, entry.value) for entry in changes.entries] == [("a/2", b"two")]
    await kit.store.async_delete("a/1")
    changes = await kit.store.async_wait_for_changes(prefix, changes.revision, 2.0)
    assert [(entry.key, entry.is_deleted) for entry in changes.entries] == [
        ("a/1", True)
    ]
    unchanged = await kit.store.async_wait_for_changes(prefix, changes.revision, 0.05)
    assert (unchanged.entries, unchanged.revision) == ((), changes.revision)


async def test_wait_ends_with_a_change(kit):
    """A wait returns as soon as a change is written."""
    view = await kit.store.async_read("")
    wait_task = asyncio.create_task(
        kit.store.async_wait_for_changes("", view.revision, 10.0)
    )
    await asyncio.sleep(0.05)
    await kit.store.async_put("a/k", b"late")
    async with asyncio.timeout(5):
        assert [entry.value for entry in (await wait_task).entries] == [b"late"]


async def test_compacted_history_raises(kit):
    """Waiting for compacted changes raises CompactedError."""
    kit.drop_history()
    with pytest.raises(CompactedError):
        await kit.store.async_wait_for_changes("", 5, 1.0)


async def test_expired_lease_deletes_its_key_and_rejects_writes(kit):
    """An expired lease deletes its key, and no new key can use it."""
    lease = await kit.store.async_grant_lease(6)
    await kit.store.async_put("a/k", b"held", lease_id=lease.lease_id)
    assert await kit.store.async_renew_lease(lease.lease_id) == 6.0
    kit.end_leases()
    assert await kit.store.async_renew_lease(lease.lease_id) == 0.0
    assert (await kit.store.async_get("a/k")).mod_revision == 0
    with pytest.raises(LeaseExpiredError):
        await kit.store.async_put("a/k", b"held", lease_id=lease.lease_id)
    with pytest.raises(LeaseExpiredError):
        await kit.store.async_put_if("a/k", b"held", 0, lease_id=lease.lease_id)


async def test_revoked_lease_deletes_its_keys(kit):
    """Revoking a lease deletes its keys; revoking it again has no effect."""
    lease = await kit.store.async_grant_lease(6)
    await kit.store.async_put("a/k", b"held", lease_id=lease.lease_id)
    for _ in range(2):
        await kit.store.async_revoke_lease(lease.lease_id)
    assert (await kit.store.async_get("a/k")).mod_revision == 0


async def test_write_with_a_lost_response_takes_effect(kit):
    """A write whose reply is lost raises StoreError but takes effect."""
    kit.lose_answer()
    with pytest.raises(StoreError):
        await kit.store.async_put_if("a/k", b"one", 0)
    assert (await kit.store.async_get("a/k")).value == b"one"


async def test_outage_raises_store_error(kit):
    """Calls to a store that fails every call raise StoreError."""
    kit.take_down()
    with pytest.raises(StoreError):
        await kit.store.async_read("")
    with pytest.raises(StoreError):
        await kit.store.async_wait_for_changes("", 5, 1.0)
