"""Tests of the limits on store calls and of the back-off delays."""

import random

import pytest

from cardamomnotch_platform.store.budget import (
    BackOff,
    CallRate,
    StoreBudget,
    StoreBudgetError,
)
from cardamomnotch_platform.store.client import StoreClient

from tests.stand_ins.store import StoreStandIn


def test_bucket_refills_over_time():
    """After a burst calls are limited to the rate, each kind on its own."""
    now_s = [0.0]
    rates = {kind: CallRate(2.0, 3.0) for kind in ("kv/range", "watch")}
    budget = StoreBudget(lambda: now_s[0], rates)
    for _ in range(3):
        budget.spend("kv/range")
    with pytest.raises(StoreBudgetError):
        budget.spend("kv/range")
    budget.spend("watch")
    now_s[0] = 0.5
    budget.spend("kv/range")
    assert budget.refused == {"kv/range": 1}


async def test_call_over_the_budget_is_not_sent(serve_app, http_session):
    """A call that the budget rejects is counted and not sent."""
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
