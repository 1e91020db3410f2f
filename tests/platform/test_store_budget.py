"""Limits on the calls of one process."""

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


def test_bucket_refills_with_time():
    """A burst is allowed, then the long-run rate; other kinds are untouched."""
    now = [0.0]
    rates = {kind: CallRate(2.0, 3.0) for kind in ("kv/range", "watch")}
    budget = StoreBudget(lambda: now[0], rates)
    for _ in range(3):
        budget.spend("kv/range")
    with pytest.raises(StoreBudgetError):
        budget.spend("kv/range")
    budget.spend("watch")
    now[0] = 0.5
    budget.spend("kv/range")
    assert budget.refused == {"kv/range": 1}


async def test_call_over_the_budget_does_not_reach_the_store(serve_app, http_session):
    """A call that the budget keeps back is not made, and is counted."""
    stand_in = StoreStandIn()
    budget = StoreBudget(lambda: 0.0, {"kv/range": CallRate(1.0, 1.0)})
    url = await serve_app(stand_in.create_app())
    store = StoreClient(http_session, url, budget=budget)
    await store.async_get("k")
    with pytest.raises(StoreBudgetError):
        await store.async_get("k")
    assert stand_in.faults.counts["kv/range"] == 1
    assert store.refused == {"kv/range": 1}


def test_many_processes_come_back_spread_out():
    """Delays grow to the limit, differ between processes, and start over."""
    waits = [BackOff(0.5, 20.0, random.Random(seed)) for seed in range(100)]
    first = [item.next_delay_s() for item in waits]
    assert max(first) <= 0.5
    later = [[item.next_delay_s() for _ in range(8)][-1] for item in waits]
    assert max(later) <= 20.0
    # No second of the longest delay holds more than three times its share.
    assert max(sum(int(wait) == n for wait in later) for n in range(20)) <= 15
    waits[0].reset()
    assert waits[0].next_delay_s() <= 0.5
