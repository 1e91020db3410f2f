"""Tests of the KeyValueStore interface, run with each of its clients."""

import asyncio

import pytest

from cardamomnotch_platform.exceptions import (
    CompactedError,
    LeaseExpiredError,
    StoreError,
)

from tests.fixtures.positions import at


async def test_absent_key_has_revision_0(store_harness):
    """An absent key is returned with revision 0."""
    assert (await store_harness.store.async_get("a/none")).mod_revision == 0


async def test_put_replaces_the_value(store_harness):
    """An unconditional write replaces the earlier value."""
    await store_harness.store.async_put("a/k", b"one")
    await store_harness.store.async_put("a/k", b"two")
    assert (await store_harness.store.async_get("a/k")).value == b"two"


async def test_second_write_on_a_revision_is_rejected(store_harness):
    """Of two writes on one revision the second returns the first's entry."""
    first = await store_harness.store.async_put_if("a/k", b"one", 0)
    second = await store_harness.store.async_put_if("a/k", b"two", 0)
    assert (first.succeeded, second.succeeded) == (True, False)
    assert second.current.value == b"one"
    assert second.current.mod_revision == first.revision
    assert (
        await store_harness.store.async_put_if("a/k", b"two", first.revision)
    ).succeeded


@pytest.mark.parametrize("prefix", ["", "a/"])
async def test_no_change_is_missed_between_read_and_wait(store_harness, prefix):
    """Every change missing from a read is among those after its revision."""
    await store_harness.store.async_put("a/1", b"one")
    view = await store_harness.store.async_read(prefix)
    assert [entry.key for entry in view.entries] == ["a/1"]
    await store_harness.store.async_put("a/2", b"two")
    changes = await store_harness.store.async_wait_for_changes(
        prefix, view.position, 2.0
    )
    assert [(entry.key, entry.value) for entry in changes.entries] == [("a/2", b"two")]
    await store_harness.store.async_delete("a/1")
    changes = await store_harness.store.async_wait_for_changes(
        prefix, changes.position, 2.0
    )
    assert [(entry.key, entry.is_deleted) for entry in changes.entries] == [
        ("a/1", True)
    ]
    unchanged = await store_harness.store.async_wait_for_changes(
        prefix, changes.position, 0.05
    )
    assert (unchanged.entries, unchanged.position) == ((), changes.position)


async def test_wait_ends_with_a_change(store_harness):
    """A wait returns as soon as a change is written."""
    view = await store_harness.store.async_read("")
    wait_task = asyncio.create_task(
        store_harness.store.async_wait_for_changes("", view.position, 10.0)
    )
    await asyncio.sleep(0.05)
    await store_harness.store.async_put("a/k", b"late")
    async with asyncio.timeout(5):
        assert [entry.value for entry in (await wait_task).entries] == [b"late"]


async def test_compacted_history_raises(store_harness):
    """Waiting for compacted changes raises CompactedError."""
    store_harness.drop_history()
    with pytest.raises(CompactedError):
        await store_harness.store.async_wait_for_changes(
            "", at(5, store_harness.era), 1.0
        )


async def test_expired_lease_deletes_its_key_and_rejects_writes(store_harness):
    """An expired lease deletes its key, and no new key can use it."""
    lease = await store_harness.store.async_grant_lease(6)
    await store_harness.store.async_put("a/k", b"held", lease_id=lease.lease_id)
    assert await store_harness.store.async_renew_lease(lease.lease_id) == 6.0
    store_harness.expire_leases()
    assert await store_harness.store.async_renew_lease(lease.lease_id) == 0.0
    assert (await store_harness.store.async_get("a/k")).mod_revision == 0
    with pytest.raises(LeaseExpiredError):
        await store_harness.store.async_put("a/k", b"held", lease_id=lease.lease_id)
    with pytest.raises(LeaseExpiredError):
        await store_harness.store.async_put_if(
            "a/k", b"held", 0, lease_id=lease.lease_id
        )


async def test_revoked_lease_deletes_its_keys(store_harness):
    """Revoking a lease deletes its keys; revoking it again has no effect."""
    lease = await store_harness.store.async_grant_lease(6)
    await store_harness.store.async_put("a/k", b"held", lease_id=lease.lease_id)
    for _ in range(2):
        await store_harness.store.async_revoke_lease(lease.lease_id)
    assert (await store_harness.store.async_get("a/k")).mod_revision == 0


async def test_write_with_a_lost_response_takes_effect(store_harness):
    """A write whose reply is lost raises StoreError but takes effect."""
    store_harness.lose_response()
    with pytest.raises(StoreError):
        await store_harness.store.async_put_if("a/k", b"one", 0)
    assert (await store_harness.store.async_get("a/k")).value == b"one"


async def test_outage_raises_store_error(store_harness):
    """Calls to a store that fails every call raise StoreError."""
    store_harness.make_unavailable()
    with pytest.raises(StoreError):
        await store_harness.store.async_read("")
    with pytest.raises(StoreError):
        await store_harness.store.async_wait_for_changes(
            "", at(5, store_harness.era), 1.0
        )


@pytest.mark.parametrize("is_changed", [False, True])
async def test_write_requires_other_keys_to_be_unchanged(store_harness, is_changed):
    """A write is refused if a key of its conditions has changed."""
    store = store_harness.store
    condition = await store.async_put_if("a/order", b"one", 0)
    own = await store.async_put_if("a/state", b"one", 0)
    if is_changed:
        await store.async_put("a/order", b"two")
    result = await store.async_put_if(
        "a/state", b"two", own.revision, unchanged={"a/order": condition.revision}
    )
    assert result.succeeded is not is_changed
    if is_changed:
        assert (result.current.key, result.current.value) == ("a/state", b"one")
    value = (await store.async_get("a/state")).value
    assert value == (b"one" if is_changed else b"two")
