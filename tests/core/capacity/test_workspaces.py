"""Limits of plans, and the retry budget."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cardamomnotch_core.capacity.const import (
    MAX_AVAILABLE_RETRIES,
    RETRIES_PER_FIRST_ATTEMPT,
)
from cardamomnotch_core.capacity.retries import RetryBudget
from cardamomnotch_core.capacity.workspaces import CapacityError, WorkspaceUsage
from cardamomnotch_core.configuration.models import Plan

_ENTRIES = 2


def _admitted(usage, plan, times_s, tokens=10):
    count = 0
    for now_s in times_s:
        try:
            usage.check("crates", plan, tokens, _ENTRIES, now_s)
        except CapacityError as error:
            assert error.retry_after_s > 0
            continue
        usage.start("crates", tokens)
        count += 1
    return count


@pytest.mark.parametrize(
    ("limits", "most"),
    [
        pytest.param({"requests_per_s": 20.0}, 110, id="requests a second"),
        pytest.param({"tokens_per_s": 200.0}, 110, id="tokens a second"),
        pytest.param({"concurrent_requests": 8}, 4, id="concurrent requests"),
        pytest.param({}, 1_000, id="no limit"),
    ],
)
def test_entry_enforces_its_part_of_the_plan(limits, most):
    """Ten seconds at 100 requests a second get this entry's half, no more."""
    times_s = [index / 100 for index in range(1_000)]
    plan = Plan(name="p", **limits)
    assert most * 0.9 <= _admitted(WorkspaceUsage(), plan, times_s) <= most


def test_refused_caller_that_waits_is_admitted():
    """The time to come back is when there is room again."""
    usage, plan = WorkspaceUsage(), Plan(name="p", requests_per_s=2.0)
    assert _admitted(usage, plan, [0.0]) == 1
    with pytest.raises(CapacityError) as raised:
        usage.check("crates", plan, 1, _ENTRIES, 0.0)
    usage.check("crates", plan, 1, _ENTRIES, raised.value.retry_after_s)


def test_unused_tokens_are_given_back():
    """A short answer is charged as what it was, not as what was expected."""
    usage, plan = WorkspaceUsage(), Plan(name="p", tokens_per_s=200.0)
    assert _admitted(usage, plan, [0.0], tokens=100) == 1
    usage.end("crates", unused_tokens=95)
    assert _admitted(usage, plan, [0.0], tokens=90) == 1


@given(bursts=st.lists(st.tuples(st.integers(0, 200), st.integers(0, 200)), max_size=8))
def test_retries_stay_within_their_share(bursts):
    """Over any traffic, retries stay under their share and what was saved."""
    budget = RetryBudget()
    first, repeated = 0, 0
    for fresh, retries in bursts:
        for _ in range(fresh):
            budget.record_first_attempt()
        first += fresh
        repeated += sum(budget.try_spend() for _ in range(retries))
    assert repeated <= MAX_AVAILABLE_RETRIES + RETRIES_PER_FIRST_ATTEMPT * first
