"""Bounds that hold as sums over all entries, without a message."""

import math
import random

from hypothesis import given
from hypothesis import strategies as st

from cardamomnotch_core.relay.cold import ColdLimiter
from cardamomnotch_core.relay.exceptions import RefusalError
from cardamomnotch_core.relay.models import (
    RepeatRule,
    RolloutOrder,
    Route,
    RouteDocument,
    Service,
    Share,
    Workspace,
)
from cardamomnotch_core.relay.retries import RetryBudget
from cardamomnotch_core.relay.rollout import Rollout
from cardamomnotch_core.relay.routes import RouteTable

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
            limiter.record_sent("up", now_s)
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
    request_times_s, retry_times_s = [], []
    now_s = 0.0
    for number, is_first, pause_s in steps:
        now_s += pause_s
        budget = budgets[number % entries]
        if is_first:
            budget.record_request("drafts", now_s)
            request_times_s.append(now_s)
        elif budget.try_spend("drafts", now_s):
            retry_times_s.append(now_s)
        recent = now_s - window_s
        requests = sum(at_s >= recent for at_s in request_times_s)
        assert sum(at_s >= recent for at_s in retry_times_s) <= ratio * requests + slack


def test_retry_budget_by_service():
    """A service without requests does not use another one's budget."""
    budget = RetryBudget(0.5, 0.0, 10.0)
    for number in range(10):
        budget.record_request("drafts", number / 10)
    assert not budget.try_spend("bookings", 1.0)
    allowed = sum(budget.try_spend("drafts", 1.0) for _ in range(10))
    assert allowed == math.floor(0.5 * 0.8 * 10)


@given(
    exposure_share=st.floats(0.02, 0.6),
    lags_s=st.lists(st.floats(0.0, 1.0), min_size=1, max_size=12),
    seed=st.integers(0, 10_000),
)
def test_exposure_over_all_entries(exposure_share, lags_s, seed):
    """Until all load is moved, a version gets no more than the bound allows.

    Entries learn of the order at different times, and share nothing else.
    """
    source = random.Random(seed)
    order = RolloutOrder(service="drafts", target="v2", duration_s=24.0)
    rollouts = [
        Rollout(order, 1, lag_s, exposure_share=exposure_share) for lag_s in lags_s
    ]
    total = 2_000
    times = [source.uniform(1.0, 0.75 * order.duration_s) for _ in range(total)]
    exposed = sum(
        source.random() < source.choice(rollouts).share(now_s) for now_s in times
    )
    # The requests of the whole roll-out count, of which these are three quarters.
    assert exposed <= exposure_share * total / 0.75 + 30


_TIMES_S = st.floats(0.0, 2.5) | st.just(0.0)


@given(
    max_age_s=st.floats(0.5, 6.0),
    questions=st.lists(st.tuples(_TIMES_S, _TIMES_S, _TIMES_S), min_size=1, max_size=9),
    revocations=st.lists(
        st.tuples(st.integers(0, 8), st.floats(0.001, 0.5)), min_size=1, max_size=4
    ),
    late_s=st.lists(st.floats(-1.0, 1.0), min_size=8, max_size=20),
)
def test_age_of_keys(max_age_s, questions, revocations, late_s):
    """No key runs longer than the bound after it was taken away.

    A question waits, is read at some moment of its way, and its answer waits.
    Keys go soon after a reading, and are used around the time at which they
    must no longer run.
    """
    answers = []
    now_s = 0.0
    for pause_s, way_s, back_s in questions:
        asked_at_s = now_s + pause_s
        read_at_s = asked_at_s + way_s
        now_s = read_at_s + back_s
        answers.append((now_s, asked_at_s, read_at_s))
    gone_at_s = sorted(
        answers[number % len(answers)][2] + after_s for number, after_s in revocations
    )
    table = RouteTable(max_age_s)
    for used_at_s in sorted(
        one + max_age_s + late for one in gone_at_s for late in late_s
    ):
        while answers and answers[0][0] <= used_at_s:
            _, asked_at_s, read_at_s = answers.pop(0)
            left = [
                f"key-{number}"
                for number, one in enumerate(gone_at_s)
                if one > read_at_s
            ]
            table.apply(_document(1 + len(gone_at_s) - len(left), left))
            table.confirm(asked_at_s)
        for number, one in enumerate(gone_at_s):
            if _runs(table, f"key-{number}", used_at_s):
                assert used_at_s <= one + max_age_s


def _runs(table, key, now_s):
    try:
        route = table.find("calls.example", "/draft/x", now_s)
        table.authorize(route, key, now_s)
    except RefusalError:
        return False
    return True


def _document(version, keys):
    route = Route(
        name="draft",
        host="calls.example",
        path_prefix="/draft/",
        repeat=RepeatRule.IDEMPOTENT,
        shares=(Share(service="drafts", weight=1.0),),
        timeout_s=5.0,
        target_latency_s=1.0,
        max_attempts=2,
    )
    return RouteDocument(
        version=version,
        routes=(route,),
        services={"drafts": Service(name="drafts")},
        workspaces={key: Workspace(name="firm") for key in keys},
    )
