"""Bounds that hold as sums over all entries, without a message."""

import math

from hypothesis import given
from hypothesis import strategies as st

from cardamomnotch_core.relay.cold import ColdLimiter
from cardamomnotch_core.relay.retries import RetryBudget

OVERSHOOT, SLACK = 1.5, 5.0


@given(
    entries=st.integers(1, 60),
    rate=st.floats(0.5, 40.0),
    times=st.lists(st.floats(0.0, 3.0), max_size=200),
    choices=st.lists(st.integers(0, 59), min_size=200, max_size=200),
)
def test_cold_rate_over_all_entries(entries, rate, times, choices):
    """No second brings a cold upstream more than its bound, whoever sends."""
    names = [f"entry-{number}" for number in range(entries)]
    limiters = [ColdLimiter(OVERSHOOT, SLACK) for _ in names]
    sent = []
    for now_s, choice in zip(sorted(times), choices, strict=False):
        number = choice % entries
        limiter = limiters[number]
        if limiter.allows("up", rate, names[number], names, now_s):
            limiter.note_sent("up", now_s)
            sent.append(now_s)
    bound = rate * OVERSHOOT + SLACK
    for start_s in sent:
        assert sum(start_s <= at_s < start_s + 1.0 for at_s in sent) <= bound


@given(entries=st.integers(1, 100), rate=st.floats(0.5, 40.0))
def test_a_cold_upstream_is_not_left_idle(entries, rate):
    """Some entry may send to a cold upstream."""
    names = [f"entry-{number}" for number in range(entries)]
    limiter = ColdLimiter(OVERSHOOT, SLACK)
    shares = [limiter.share("up", rate, name, names) for name in names]
    assert 1 <= sum(shares) <= rate * OVERSHOOT + SLACK


@given(
    entries=st.integers(1, 40),
    steps=st.lists(
        st.tuples(st.integers(0, 39), st.booleans(), st.floats(0.0, 0.3)), max_size=300
    ),
)
def test_retries_over_all_entries(entries, steps):
    """Extra attempts of all entries stay within the shared budget."""
    ratio, slack, window_s = 0.9, 58.0, 10.0
    budgets = [RetryBudget(ratio, slack, window_s) for _ in range(entries)]
    for budget in budgets:
        budget.set_entries(entries)
    firsts, extras = [], []
    now_s = 0.0
    for number, is_first, pause_s in steps:
        now_s += pause_s
        budget = budgets[number % entries]
        if is_first:
            budget.note_request("drafts", now_s)
            firsts.append(now_s)
        elif budget.take("drafts", now_s):
            extras.append(now_s)
        recent = now_s - window_s
        requests = sum(at_s >= recent for at_s in firsts)
        assert sum(at_s >= recent for at_s in extras) <= ratio * requests + slack


def test_retry_budget_by_service():
    """A service without requests does not use another one's budget."""
    budget = RetryBudget(0.5, 0.0, 10.0)
    for number in range(10):
        budget.note_request("drafts", number / 10)
    assert not budget.take("bookings", 1.0)
    allowed = sum(budget.take("drafts", 1.0) for _ in range(10))
    assert allowed == math.floor(0.5 * 0.8 * 10)
