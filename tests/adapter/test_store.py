"""The store's client, against a stand-in with faults."""

import pytest

from cardamomnotch_adapter.store import PlatformStore
from cardamomnotch_platform.exceptions import HistoryLostError, StoreError

from tests.stand_ins.platform_store import PlatformStoreStandIn


@pytest.fixture
def stand_in():
    """Return a store."""
    return PlatformStoreStandIn()


@pytest.fixture
async def store(stand_in, serve_app, http_session):
    """Return a client of the store."""
    url = await serve_app(stand_in.create_app())
    return PlatformStore(http_session, url.removeprefix("http://"))


async def test_all_pages_are_read(store, stand_in):
    """A listing goes on until the last page."""
    for number in range(10):
        stand_in.put(f"op/evacuate/zone-{number}", {})
    view = await store.async_read("")
    assert len(view.entries) == 10
    assert view.revision == stand_in.revision("op/evacuate/zone-9")


async def test_values_are_base64(store, stand_in):
    """A value is carried as base64 text and given back as bytes."""
    stand_in.put("key", b"value")
    assert (await store.async_get("key")).value == b"value"


@pytest.mark.parametrize("fault", ["busy", "limited", "reset", "silent", "garbled"])
async def test_faults_are_errors(store, stand_in, fault):
    """No fault of the store looks like an answer."""
    stand_in.faults.active[fault] = True
    with pytest.raises(StoreError) as error:
        await store.async_wait("", 5, 0.01)
    assert not isinstance(error.value, HistoryLostError)
