"""Tests of limits that hold across entries without communication."""

import math
import random

from hypothesis import given
from hypothesis import strategies as st

from cardamomnotch_core.relay.exceptions import RefusalError
from cardamomnotch_core.relay.live_entries import LiveEntries
from cardamomnotch_core.relay.models import (
    RepeatRule,
    RolloutOrder,
    Route,
    RouteDocument,
    Service,
    Share,
    Workspace,
)
from cardamomnotch_core.relay.rates.rate_limits import (
    UpstreamRateLimiter,
    cold_rate_limit,
)
from cardamomnotch_core.relay.rates.retries import RetryBudget
from cardamomnotch_core.relay.rollouts.rollout import Rollout
from cardamomnotch_core.relay.store_changes.routes import RouteTable

OVERSHOOT, SLACK = 1.5, 5.0


@given(
    entries=st.integers(1, 60),
    rate=st.floats(0.5, 40.0),
    times=st.lists(st.floats(0.0, 3.0), max_size=200),
    choices=st.lists(st.integers(0, 59), min_size=200, max_size=200),
)
def test_cold_rate_over_all_entries(entries, rate, times, choices):
    """No second exceeds a cold upstream's limit, whichever entries send."""
    names = [f"entry-{number}" for number in range(entries)]
    limiters = [UpstreamRateLimiter(LiveEntries(name, names)) for name in names]
    limit = cold_rate_limit(rate, OVERSHOOT, SLACK)
    sent = []
    for now_s, choice in zip(sorted(times), choices, strict=False):
        number = choice % entries
        limiter = limiters[number]
        if not limiter.wait_s("up", limit, now_s):
            limiter.record_sent("up", now_s)
            sent.append(now_s)
    bound = rate * OVERSHOOT + SLACK
    for start_s in sent:
        assert sum(start_s <= at_s < start_s + 1.0 for at_s in sent) <= bound


@given(entries=st.integers(1, 100), rate=st.floats(0.5, 40.0))
def test_a_cold_upstream_is_not_left_idle(entries, rate):
    """The entries' parts of a cold upstream's limit are the whole of it."""
    names = [f"entry-{number}" for number in range(entries)]
    limit = cold_rate_limit(rate, OVERSHOOT, SLACK)
    parts = [
        LiveEntries(name, names).part(limit.max_requests, "up", 0.0) for name in names
    ]
    assert 1 <= sum(parts) == limit.max_requests <= rate * OVERSHOOT + SLACK
    assert max(parts) - min(parts) <= 1


def test_entry_that_the_others_may_have_removed_has_no_part():
    """An entry whose record may have expired leaves its parts to the others."""
    entries = LiveEntries("entry-0", ["entry-1"])
    budget = RetryBudget(0.9, 58.0, 10.0)
    entries.set_recorded_until(10.0)
    assert entries.part(14, "up", 8.0) == 7
    assert entries.part(14, "up", 9.5) == 0
    assert budget.try_spend("drafts", 8.0)
    assert not budget.try_spend("drafts", 9.5, may_use_slack=False)


@given(
    entries=st.sets(st.integers(0, 700), min_size=20),
    changed=st.integers(0, 700),
    limit=st.integers(1, 20),
)
def test_parts_change_little_with_an_entry(entries, changed, limit):
    """An entry that comes or goes moves few parts of the others."""
    names = [f"entry-{number}" for number in entries - {changed}]
    both = (names, [*names, f"entry-{changed}"])
    before, after = (
        {name: LiveEntries(name, known).part(limit, "up", 0.0) for name in known}
        for known in both
    )
    assert sum(before[name] != after[name] for name in names) <= 1


@given(
    entries=st.integers(1, 40),
    steps=st.lists(
        st.tuples(st.integers(0, 39), st.booleans(), st.floats(0.0, 0.3)), max_size=300
    ),
)
def test_retries_over_all_entries(entries, steps):
    """Retries of all entries stay within the shared budget."""
    ratio, slack, window_s = 0.9, 58.0, 10.0
    budgets = [RetryBudget(ratio, slack, window_s) for _ in range(entries)]
    for budget in budgets:
        budget.set_entries(entries)
    request_times_s, retry_times_s = [], []
    now_s = 0.0
    for number, is_request, delay_s in steps:
        now_s += delay_s
        budget = budgets[number % entries]
        if is_request:
            budget.record_request("drafts", now_s)
            request_times_s.append(now_s)
        elif budget.try_spend("drafts", now_s):
            retry_times_s.append(now_s)
        window_start_s = now_s - window_s
        requests = sum(at_s >= window_start_s for at_s in request_times_s)
        assert (
            sum(at_s >= window_start_s for at_s in retry_times_s)
            <= ratio * requests + slack
        )


def test_retry_budget_by_service():
    """A service without requests cannot use another service's budget."""
    budget = RetryBudget(0.5, 0.0, 10.0)
    for number in range(10):
        budget.record_request("drafts", number / 10)
    assert not budget.try_spend("bookings", 1.0)
    allowed = sum(budget.try_spend("drafts", 1.0) for _ in range(10))
    assert allowed == math.floor(0.5 * 0.8 * 10)


@given(
    exposure_share=st.floats(0.02, 0.6),
    delays_s=st.lists(st.floats(0.0, 1.0), min_size=1, max_size=12),
    seed=st.integers(0, 10_000),
)
def test_exposure_over_all_entries(exposure_share, delays_s, seed):
    """Before the last stage a new version stays within its exposure limit.

    Entries read the order at different times and do not communicate.
    """
    source = random.Random(seed)
    order = RolloutOrder(service="drafts", target="v2", duration_s=24.0)
    rollouts = [
        Rollout(order, 1, delay_s, exposure_share=exposure_share)
        for delay_s in delays_s
    ]
    request_count = 2_000
    times = [source.uniform(1.0, 0.75 * order.duration_s) for _ in range(request_count)]
    exposed = sum(
        source.random() < source.choice(rollouts).share(now_s) for now_s in times
    )
    # The limit applies to the requests of the whole rollout, of which these
    # are three quarters.
    assert exposed <= exposure_share * request_count / 0.75 + 30


_TIMES_S = st.floats(0.0, 2.5) | st.just(0.0)


@given(
    max_age_s=st.floats(0.5, 6.0),
    queries=st.lists(st.tuples(_TIMES_S, _TIMES_S, _TIMES_S), min_size=1, max_size=9),
    revocations=st.lists(
        st.tuples(st.integers(0, 8), st.floats(0.001, 0.5)), min_size=1, max_size=4
    ),
    offsets_s=st.lists(st.floats(-1.0, 1.0), min_size=8, max_size=20),
)
def test_revoked_keys_are_refused_in_time(max_age_s, queries, revocations, offsets_s):
    """No revoked key is accepted for longer than the document's maximum age.

    Each query is delayed before it is sent, before the store reads the
    document and before the answer arrives. Keys are revoked soon after a read
    and used around the time from which they must be refused.
    """
    answers = []
    now_s = 0.0
    for delay_s, to_store_s, from_store_s in queries:
        asked_at_s = now_s + delay_s
        read_at_s = asked_at_s + to_store_s
        now_s = read_at_s + from_store_s
        answers.append((now_s, asked_at_s, read_at_s))
    revoked_at_s = sorted(
        answers[number % len(answers)][2] + revocation_delay_s
        for number, revocation_delay_s in revocations
    )
    table = RouteTable(max_age_s)
    for used_at_s in sorted(
        key_revoked_at_s + max_age_s + offset_s
        for key_revoked_at_s in revoked_at_s
        for offset_s in offsets_s
    ):
        while answers and answers[0][0] <= used_at_s:
            _, asked_at_s, read_at_s = answers.pop(0)
            valid_keys = [
                f"key-{number}"
                for number, key_revoked_at_s in enumerate(revoked_at_s)
                if key_revoked_at_s > read_at_s
            ]
            table.apply(_document(1 + len(revoked_at_s) - len(valid_keys), valid_keys))
            table.confirm(asked_at_s)
        for number, key_revoked_at_s in enumerate(revoked_at_s):
            if _is_accepted(table, f"key-{number}", used_at_s):
                assert used_at_s <= key_revoked_at_s + max_age_s


def _is_accepted(table, key, now_s):
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
