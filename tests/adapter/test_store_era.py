"""The era of the store, which rises when it comes back from a copy."""

import pytest

from cardamomnotch_adapter.store import PlatformStoreClient
from cardamomnotch_adapter.store_era import StoreEra
from cardamomnotch_platform.exceptions import (
    StoreEraError,
    StoreError,
    StoreRestoredError,
)
from cardamomnotch_protocol.result_codes import ResultCode

from tests.fixtures.positions import at
from tests.stand_ins.platform_store import PlatformStoreStandIn


@pytest.fixture
def stand_in():
    """Return a stand-in for the platform's store."""
    return PlatformStoreStandIn()


@pytest.fixture
async def store(stand_in, serve_app, http_session):
    """Return a client of the stand-in."""
    url = await serve_app(stand_in.create_app())
    return PlatformStoreClient(http_session, url.removeprefix("http://"))


INVALID_ERAS = {
    "missing": None,
    "empty": "",
    "text": "x",
    "negative": "-1",
    "fraction": "1.5",
    "superscript": "²",
    "space": " 2",
    "too large": "9" * 17,
    "endless": "9" * 5_000,
    "earlier": "2",
}


@pytest.mark.parametrize("text", INVALID_ERAS.values(), ids=INVALID_ERAS)
def test_reply_of_an_invalid_era_is_not_used(text):
    """A reply without a valid era, or of an earlier one, raises a numbered error."""
    era = StoreEra()
    assert era.record_reply("3") == 3
    with pytest.raises(StoreEraError) as error:
        era.record_reply(text)
    assert error.value.code is ResultCode.STORE_ERA_INVALID
    assert era.current == 3
    assert era.record_reply("3") == 3


def test_store_without_eras_is_in_era_0():
    """A store that has never stated an era needs not state one."""
    era = StoreEra()
    assert era.record_reply(None) == 0
    assert era.record_reply("1") == 1


async def test_watch_of_an_earlier_era_is_refused(store, stand_in):
    """A watch after a position of an earlier era returns no changes.

    The restored store has the revision, of other content.
    """
    copy = stand_in.copy()
    stand_in.put("key", b"lost")
    position = (await store.async_read("")).position
    stand_in.restore(copy)
    for value in (b"one", b"two"):
        stand_in.put("key", value)
    for _ in range(2):
        with pytest.raises(StoreRestoredError):
            await store.async_wait_for_changes("", position, 0.01)
    # The second one was not sent.
    assert stand_in.calls.count("GET /kv-watch") == 1
    restored = (await store.async_read("")).position
    assert restored > position
    assert (await store.async_wait_for_changes("", restored, 0.01)).entries == ()


async def test_write_decided_in_an_earlier_era_is_not_made(store, stand_in):
    """A compare-and-swap on a revision of an earlier era writes nothing."""
    copy = stand_in.copy()
    stand_in.put("key", b"lost")
    known = await store.async_get("key")
    stand_in.restore(copy)
    stand_in.put("key", b"other")
    assert (await store.async_get("key")).mod_revision == known.mod_revision
    with pytest.raises(StoreRestoredError):
        await store.async_put_if("key", b"mine", known.mod_revision, era=known.era)
    assert (await store.async_get("key")).value == b"other"


async def test_late_reply_of_an_earlier_era_is_dropped(store, stand_in):
    """A reply of an earlier era that arrives after one of a later is not used."""
    stand_in.put("key", b"value")
    stand_in.era = 2
    await store.async_get("key")
    stand_in.era = 1
    with pytest.raises(StoreError):
        await store.async_get("key")
    stand_in.era = 2
    assert (await store.async_get("key")).position == at(
        stand_in.revision("key"), stand_in.era
    )
