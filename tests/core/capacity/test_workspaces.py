"""Plan limits of workspaces, and the retry budget."""

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

_ENTRY_COUNT = 2


def _count_admitted(usage, plan, times_s, tokens=10):
    count = 0
    for now_s in times_s:
        try:
            usage.check("crates", plan, tokens, _ENTRY_COUNT, now_s)
        except CapacityError as error:
            assert error.retry_after_s > 0
            continue
        usage.start("crates", tokens)
        count += 1
    return count


@pytest.mark.parametrize(
    ("limits", "max_admitted"),
    [
        pytest.param({"requests_per_s": 20.0}, 110, id="requests a second"),
        pytest.param({"tokens_per_s": 200.0}, 110, id="tokens a second"),
        pytest.param({"concurrent_requests": 8}, 4, id="concurrent requests"),
        pytest.param({}, 1_000, id="no limit"),
    ],
)
def test_entry_enforces_its_share_of_the_plan(limits, max_admitted):
    """Of two entries, each admits half of the plan's limit.

    The workspace sends 100 requests a second for ten seconds.
    """
    times_s = [index / 100 for index in range(1_000)]
    plan = Plan(name="p", **limits)
    assert (
        max_admitted * 0.9
        <= _count_admitted(WorkspaceUsage(), plan, times_s)
        <= max_admitted
    )


def test_refused_caller_that_waits_is_admitted():
    """A request is admitted after the retry time of its refusal."""
    usage, plan = WorkspaceUsage(), Plan(name="p", requests_per_s=2.0)
    assert _count_admitted(usage, plan, [0.0]) == 1
    with pytest.raises(CapacityError) as raised:
        usage.check("crates", plan, 1, _ENTRY_COUNT, 0.0)
    usage.check("crates", plan, 1, _ENTRY_COUNT, raised.value.retry_after_s)


def test_unused_tokens_are_given_back():
    """A request is charged its used tokens, not its expected tokens."""
    usage, plan = WorkspaceUsage(), Plan(name="p", tokens_per_s=200.0)
    assert _count_admitted(usage, plan, [0.0], tokens=100) == 1
    usage.end("crates", unused_tokens=95)
    assert _count_admitted(usage, plan, [0.0], tokens=90) == 1


@given(bursts=st.lists(st.tuples(st.integers(0, 200), st.integers(0, 200)), max_size=8))
def test_retries_stay_within_their_share(bursts):
    """Retries stay within the initial budget plus a share of first attempts."""
    budget = RetryBudget()
    first_attempts, retried = 0, 0
    for new_requests, retries in bursts:
        for _ in range(new_requests):
            budget.record_first_attempt()
        first_attempts += new_requests
        retried += sum(budget.try_spend() for _ in range(retries))
    assert retried <= MAX_AVAILABLE_RETRIES + RETRIES_PER_FIRST_ATTEMPT * first_attempts
