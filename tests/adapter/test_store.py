"""Tests of the platform's store client against a stand-in with faults."""

import asyncio
import inspect
import re
import time

import pytest

from cardamomnotch_adapter import store as store_module
from cardamomnotch_adapter.const import CALL_RATES
from cardamomnotch_adapter.store import PlatformStoreClient
from cardamomnotch_platform.exceptions import CompactedError, StoreError
from cardamomnotch_platform.store import budget as budget_module
from cardamomnotch_platform.store.budget import CallRate, StoreBudget, StoreBudgetError

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


async def test_read_returns_all_pages(store, stand_in):
    """A read continues until the last page."""
    for number in range(10):
        stand_in.put(f"op/evacuate/zone-{number}", {})
    view = await store.async_read("")
    assert len(view.entries) == 10
    assert view.position == at(stand_in.revision("op/evacuate/zone-9"), stand_in.era)


async def test_values_are_base64(store, stand_in):
    """A value is transferred as base64 and returned as bytes."""
    stand_in.put("key", b"value")
    assert (await store.async_get("key")).value == b"value"


async def test_calls_over_the_budget_are_not_sent(
    stand_in, serve_app, http_session, monkeypatch
):
    """Calls that the process's rate limit delays too long raise and are not sent."""
    monkeypatch.setattr(budget_module, "MAX_CALL_WAIT_S", 0.0)
    url = await serve_app(stand_in.create_app())
    now_s = [0.0]
    budget = StoreBudget(lambda: now_s[0], CALL_RATES)
    address = url.removeprefix("http://")
    store = PlatformStoreClient(http_session, address, budget=budget)
    burst_calls = int(CALL_RATES["kv-key"].burst)
    for _ in range(burst_calls):
        await store.async_get("key")
    with pytest.raises(StoreBudgetError):
        await store.async_get("key")
    assert stand_in.calls == ["GET /kv-key"] * burst_calls
    await store.async_read("")
    now_s[0] += 1.0
    await store.async_get("key")


async def test_step_of_more_calls_than_are_left_fails_for_good(
    stand_in, serve_app, http_session
):
    """Calls of one step succeed although the limit allows few of them at once."""
    url = await serve_app(stand_in.create_app())
    budget = StoreBudget(time.monotonic, {"kv-watch": CallRate(20.0, 2.0)})
    store = PlatformStoreClient(
        http_session, url.removeprefix("http://"), budget=budget
    )
    position = at(stand_in.put("key", b"value"), stand_in.era)
    for _ in range(2):
        calls = (store.async_wait_for_changes("", position, 0.0) for _ in range(6))
        assert len(await asyncio.gather(*calls)) == 6


def test_every_call_has_a_rate_limit():
    """Every call of the store protocol has a rate in CALL_RATES."""
    call_kinds = re.findall(r'"/(kv-[a-z-]+)', inspect.getsource(store_module))
    assert set(call_kinds) == set(CALL_RATES)


@pytest.mark.parametrize("fault", ["busy", "limited", "reset", "silent", "garbled"])
async def test_store_faults_raise_store_error(store, stand_in, fault):
    """Every fault of the store raises StoreError, not CompactedError."""
    stand_in.faults.active[fault] = True
    with pytest.raises(StoreError) as error:
        await store.async_wait_for_changes("", at(5), 0.01)
    assert not isinstance(error.value, CompactedError)
