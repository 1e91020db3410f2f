"""The platform's store client behind a slow link."""

import asyncio

import pytest

from cardamomnotch_adapter.store import PlatformStoreClient
from cardamomnotch_platform.exceptions import StoreError

from tests.fixtures.positions import at
from tests.fixtures.tcp_proxy import async_start_tcp_proxy
from tests.stand_ins.platform_store import PlatformStoreStandIn

# The greatest value that the store holds.
LARGE_VALUE = b"x" * 1_048_576
# Time within which a silent store is noticed, in seconds.
SILENCE_S = 1.0


@pytest.fixture
def stand_in():
    """Return a store with a large value."""
    stand_in = PlatformStoreStandIn()
    stand_in.put("op/config", LARGE_VALUE)
    return stand_in


@pytest.fixture
async def proxy(stand_in, serve_app):
    """Yield a link to the store."""
    url = await serve_app(stand_in.create_app())
    proxy = await async_start_tcp_proxy(url.removeprefix("http://"))
    yield proxy
    await proxy.async_stop()


@pytest.fixture
def replies():
    """Return the recorded replies: kind, bytes and seconds of each."""
    return []


@pytest.fixture
def store(proxy, http_session, replies):
    """Return a client of the store behind the link."""
    return PlatformStoreClient(
        http_session,
        proxy.address,
        record_reply=lambda kind, size, seconds: replies.append((kind, size, seconds)),
    )


@pytest.mark.parametrize("bytes_per_s", [1_000_000.0, 300_000.0])
async def test_large_reply_that_keeps_arriving_is_read(
    store, stand_in, proxy, replies, bytes_per_s
):
    """A reply may take longer than a silent store is waited for."""
    proxy.bytes_per_s = bytes_per_s
    view = await store.async_wait_for_changes("", at(0, stand_in.era), 0.5)
    assert view.entries[-1].value == LARGE_VALUE
    ((kind, size, seconds),) = replies
    assert kind == "kv-watch"
    assert size > len(LARGE_VALUE)
    assert seconds >= 0.8 * size / bytes_per_s


async def test_other_calls_go_on_beside_a_large_reply(store, proxy):
    """Small calls are answered while a large reply is on its way."""
    proxy.bytes_per_s = 500_000.0
    reading = asyncio.create_task(store.async_read(""))
    for _ in range(3):
        await asyncio.wait_for(store.async_put("key", b"value"), SILENCE_S)
    assert not reading.done()
    assert (await reading).entries


async def test_reply_that_stalls_halfway_fails_soon(store, proxy):
    """A reply without further bytes is given up like a silent store."""
    proxy.stalls_after_bytes = 200_000
    with pytest.raises(StoreError):
        await asyncio.wait_for(store.async_read(""), 2 * SILENCE_S)


async def test_reply_that_drips_fails(store, proxy):
    """A reply that arrives below the least rate is given up."""
    proxy.bytes_per_s = 3_000.0
    with pytest.raises(StoreError):
        await asyncio.wait_for(store.async_read(""), 2 * SILENCE_S)
