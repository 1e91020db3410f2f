"""Replies of the platform's services that end early."""

from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import aiohttp
import orjson
import pytest

from cardamomnotch_adapter.store import PlatformStoreClient
from cardamomnotch_platform.exceptions import PlatformError
from cardamomnotch_platform.rating.client import RatingClient
from cardamomnotch_platform.rating.models import RatingRequest
from cardamomnotch_platform.store.client import StoreClient
from cardamomnotch_platform.vm_list.client import VmListClient

from tests.fixtures.positions import at
from tests.fixtures.truncated_responses import without_framing
from tests.stand_ins.platform_upstream import PlatformUpstreamStandIn, Send

Call = Callable[[Any], Awaitable[Any]]
STORE_CALLS: dict[str, Call] = {
    "get": lambda store: store.async_get("k"),
    "read": lambda store: store.async_read("k"),
    "wait": lambda store: store.async_wait_for_changes("k", at(1), 0.5),
    "put": lambda store: store.async_put_if("k", b"v", 1),
    "grant": lambda store: store.async_grant_lease(1.0),
    "renew": lambda store: store.async_renew_lease(7),
}
OWN_STORE_REPLIES: dict[str, Any] = {
    "get": {"header": {"revision": "3"}, "kvs": []},
    "read": {"header": {"revision": "3"}, "kvs": []},
    "wait": {
        "result": {
            "events": [{"kv": {"key": "aw==", "value": "dg==", "mod_revision": "4"}}]
        }
    },
    "put": {"header": {"revision": "4"}, "succeeded": True},
    "grant": {"ID": "7", "TTL": "1"},
    "renew": {"result": {"TTL": "1"}},
}
PLATFORM_STORE_REPLIES: dict[str, Any] = {
    "get": {"key": "k", "value": "dg==", "revision": 2, "created": 1, "lease": 0},
    "read": {"items": [], "has_more": False, "current_rev": 3},
    "wait": {"events": [], "current_rev": 3},
    "put": {"revision": 4},
    "grant": {"lease": 7, "ttl_ms": 1_000},
    "renew": {"ttl_ms": 1_000},
}


@pytest.fixture
async def http_session() -> AsyncIterator[aiohttp.ClientSession]:
    """Yield a session as the processes use it for the platform's services."""
    async with aiohttp.ClientSession() as session:
        yield session


async def async_check(create_client, call: Call, reply: Any) -> None:
    """Check that ``call`` succeeds on ``reply``, and fails if it is cut."""
    body = orjson.dumps(reply)
    sent = body

    def respond(request):
        return [Send(without_framing(request, body, sent))]

    service = PlatformUpstreamStandIn("service", respond)
    await service.async_start()
    client = create_client(service.address)
    await call(client)
    for length in range(len(body)):
        sent = body[:length]
        with pytest.raises(PlatformError):
            await call(client)
    service.stop()


@pytest.mark.parametrize("call", STORE_CALLS)
async def test_truncated_reply_of_the_own_store_raises(http_session, call):
    """A reply that is cut at any byte raises StoreError."""
    await async_check(
        lambda address: StoreClient(http_session, f"http://{address}"),
        STORE_CALLS[call],
        OWN_STORE_REPLIES[call],
    )


@pytest.mark.parametrize("call", STORE_CALLS)
async def test_truncated_reply_of_the_platform_store_raises(http_session, call):
    """A reply that is cut at any byte raises StoreError."""
    await async_check(
        lambda address: PlatformStoreClient(http_session, address),
        STORE_CALLS[call],
        PLATFORM_STORE_REPLIES[call],
    )


async def test_truncated_vm_list_raises(http_session):
    """A list that is cut is not taken for one without VMs."""
    await async_check(
        lambda address: VmListClient(http_session, f"http://{address}"),
        lambda vm_list: vm_list.async_read(),
        {"vms": []},
    )


async def test_truncated_rating_raises(http_session):
    """A rating that is cut is not taken for a score."""
    request = RatingRequest(
        request_id="r", version="m/v", request_class="c", request={}, answer="a"
    )
    await async_check(
        lambda address: RatingClient(http_session, f"http://{address}"),
        lambda ratings: ratings.async_rate(request),
        {"score": 0.75},
    )
