"""Tests of the limits on store calls and of the back-off delays."""

import asyncio
import random

import pytest

from cardamomnotch_platform.store import budget as budget_module
from cardamomnotch_platform.store.budget import (
    BackOff,
    CallRate,
    StoreBudget,
    StoreBudgetError,
)
from cardamomnotch_platform.store.client import StoreClient

from tests.stand_ins.store import StoreStandIn


@pytest.fixture
def clock(monkeypatch):
    """Return the time in a list, which passes only while a call waits."""
    now_s = [0.0]

    async def async_sleep(seconds):
        now_s[0] += seconds

    monkeypatch.setattr(budget_module.asyncio, "sleep", async_sleep)
    return now_s


async def test_bucket_refills_over_time(clock):
    """After a burst calls are limited to the rate, each kind on its own."""
    rates = {kind: CallRate(2.0, 3.0) for kind in ("kv/range", "watch")}
    budget = StoreBudget(lambda: clock[0], rates)
    sent_at_s = []
    for _ in range(5):
        await budget.async_spend("kv/range")
        sent_at_s.append(clock[0])
    assert sent_at_s == [0.0, 0.0, 0.0, 0.5, 1.0]
    assert await budget.async_spend("watch") == 0.0
    clock[0] = 1.5
    assert await budget.async_spend("kv/range") == 0.0
    assert budget.refused == {}


@pytest.mark.parametrize("calls", [9, 30], ids=["over what is left", "over the burst"])
async def test_step_of_more_calls_than_are_left_uses_them_up(calls):
    """Steps of several calls complete at the rate, however few calls are left."""
    loop = asyncio.get_running_loop()
    budget = StoreBudget(loop.time, {"watch": CallRate(50.0, 4.0)})
    began_at_s = loop.time()
    for _ in range(2):
        await asyncio.gather(*(budget.async_spend("watch") for _ in range(calls)))
    least_s = (2 * calls - 4) / 50.0
    assert least_s - 0.02 <= loop.time() - began_at_s
    assert budget.refused == {}


async def test_cancelled_call_uses_up_the_limit():
    """A call that is cancelled while it waits leaves its turn to others."""
    budget = StoreBudget(lambda: 0.0, {"watch": CallRate(1.0, 1.0)})
    await budget.async_spend("watch")
    waiting = [asyncio.create_task(budget.async_spend("watch")) for _ in range(4)]
    await asyncio.sleep(0)
    assert budget.calls_left == {"watch": -4.0}
    for call in waiting:
        call.cancel()
    await asyncio.gather(*waiting, return_exceptions=True)
    assert budget.calls_left == {"watch": 0.0}


async def test_call_over_the_budget_is_not_sent(serve_app, http_session, monkeypatch):
    """A call that would wait too long is counted and not sent."""
    monkeypatch.setattr(budget_module, "MAX_CALL_WAIT_S", 0.5)
    stand_in = StoreStandIn()
    budget = StoreBudget(lambda: 0.0, {"kv/range": CallRate(1.0, 1.0)})
    url = await serve_app(stand_in.create_app())
    store = StoreClient(http_session, url, budget=budget)
    await store.async_get("k")
    with pytest.raises(StoreBudgetError):
        await store.async_get("k")
    assert stand_in.faults.counts["kv/range"] == 1
    assert store.refused == {"kv/range": 1}


def test_retries_of_many_processes_are_spread_out():
    """Delays grow to the maximum, are spread evenly, and can be reset."""
    backoffs = [BackOff(0.5, 20.0, random.Random(seed)) for seed in range(100)]
    first_delays_s = [backoff.next_delay_s() for backoff in backoffs]
    assert max(first_delays_s) <= 0.5
    later_delays_s = [
        [backoff.next_delay_s() for _ in range(8)][-1] for backoff in backoffs
    ]
    assert max(later_delays_s) <= 20.0
    # With 100 delays over 20 s, at most 15 may fall into the same second:
    # three times the average.
    assert (
        max(
            sum(int(delay_s) == second for delay_s in later_delays_s)
            for second in range(20)
        )
        <= 15
    )
    backoffs[0].reset()
    assert backoffs[0].next_delay_s() <= 0.5
