"""Tests of the store client against the store's stand-in."""

import asyncio

import pytest

from cardamomnotch_platform.exceptions import StoreError
from cardamomnotch_platform.store.client import StoreClient
from cardamomnotch_platform.store.configuration import (
    RevisionConflictError,
    async_read_configuration,
    async_write_configuration,
)
from cardamomnotch_protocol.models import ConfigurationMessage

from tests.stand_ins.store import StoreStandIn


@pytest.fixture
async def stand_in():
    """Return a stand-in for the store."""
    return StoreStandIn()


@pytest.fixture
async def store(stand_in, serve_app, http_session):
    """Return a client of the stand-in."""
    return StoreClient(http_session, await serve_app(stand_in.create_app()))


def _message(change_id: str, revision: int = 1) -> ConfigurationMessage:
    return ConfigurationMessage(
        revision=revision, change_id=change_id, digest="", document={}
    )


async def test_compare_and_swap_accepts_one_of_two_writes(store):
    """Of two writes on one revision the second returns the first's entry."""
    first = await store.async_put_if("k", b"one", 0)
    second = await store.async_put_if("k", b"two", 0)
    assert first.succeeded
    assert not second.succeeded
    assert second.current.value == b"one"
    assert second.current.mod_revision == first.revision


async def test_list_is_ordered_and_limited(store):
    """Keys under a prefix are listed in order, from a start, up to a limit."""
    for name in ("p/2", "p/1", "p/3", "q/1"):
        await store.async_put_if(name, name.encode(), 0)
    listed = await store.async_list("p/", start="p/2", limit=1)
    assert [entry.key for entry in listed] == ["p/2"]
    assert len(await store.async_list("p/")) == 3
    await store.async_delete_prefix("p/", end="p/3")
    assert [entry.key for entry in await store.async_list("p/")] == ["p/3"]


async def test_expired_lease_deletes_its_keys(store, stand_in):
    """An expired lease deletes its key and cannot be renewed."""
    lease = await store.async_grant_lease(10)
    await store.async_put_if("k", b"held", 0, lease_id=lease.lease_id)
    assert await store.async_renew_lease(lease.lease_id) == 10
    stand_in.faults.active["lapse_leases"] = 1
    assert await store.async_renew_lease(lease.lease_id) == 0
    assert (await store.async_get("k")).mod_revision == 0


async def test_watch_yields_changes_from_a_revision(store):
    """A watch yields the changes from its start revision on."""
    written = await store.async_put_if("k", b"one", 0)
    watch = store.async_watch("k", written.revision)
    assert (await anext(watch)).value == b"one"
    await store.async_put_if("k", b"two", written.revision)
    async with asyncio.timeout(5):
        assert (await anext(watch)).value == b"two"
    await watch.aclose()


async def test_dropped_watch_ends(store, stand_in):
    """A watch that the store closes ends instead of blocking."""
    stand_in.faults.active["drop_watches"] = 1
    async with asyncio.timeout(5):
        assert [entry async for entry in store.async_watch("k", 1)] == []


async def test_outage_raises_store_error(store, stand_in):
    """A call to a store that is down raises StoreError."""
    stand_in.faults.active["down"] = True
    with pytest.raises(StoreError):
        await store.async_get("k")


async def test_write_with_a_lost_response_is_recognised(store, stand_in):
    """A repeated write succeeds if the first took effect without a reply."""
    stand_in.faults.active["lose_answer"] = 1
    with pytest.raises(StoreError):
        await async_write_configuration(store, _message("mine"), 0)
    await async_write_configuration(store, _message("mine"), 0)
    stored = await async_read_configuration(store)
    assert stored.message.change_id == "mine"


async def test_rejected_change_names_the_accepted_revision(store):
    """The error of a rejected change names the accepted revision."""
    await async_write_configuration(store, _message("first", 4), 0)
    with pytest.raises(RevisionConflictError, match="revision 4"):
        await async_write_configuration(store, _message("second", 4), 0)
