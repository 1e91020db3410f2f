"""Decisions on callers that do not stay inside the limits."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cardamomnotch_runtime.caller_limits.budget import (
    BudgetLimits,
    CallerBudget,
    CallerState,
    ShedReason,
)
from cardamomnotch_runtime.caller_limits.const import (
    FREE_BYTES,
    MAX_WAIT_S,
    MIN_BODY_BYTES_PER_S,
    STALL_S,
    UNREAD_TIMEOUT_S,
)

LARGE = 1_000_000


@pytest.fixture
def budget():
    """Return a budget for two large bodies and four connections."""
    return CallerBudget(
        BudgetLimits(body_bytes=2 * LARGE, held_bytes=3 * LARGE, slots=4)
    )


def connect(budget, name, now_s=0.0):
    """Return the state of a new connection."""
    state = CallerState(owner=name, progress_at_s=now_s)
    budget.open(state)
    return state


def receive(budget, state, size, wanted=LARGE, now_s=0.0):
    """Record bytes of a body, and return whether it may be read on."""
    budget.record_received(state, size, now_s)
    return budget.admit(state, wanted, now_s)


def test_small_requests_do_not_wait_for_large_ones(budget):
    """A request under the free size is read while large ones fill the budget."""
    large = [connect(budget, number) for number in range(3)]
    answers = [receive(budget, state, FREE_BYTES + 1) for state in large]
    assert answers == [True, True, False]
    assert receive(budget, connect(budget, "small"), FREE_BYTES, FREE_BYTES)


def test_smallest_waiting_body_is_admitted_first(budget):
    """A body that has ended makes room for the smallest one that waits."""
    first, second, larger, smaller = (connect(budget, n) for n in range(4))
    assert receive(budget, first, FREE_BYTES + 1)
    assert receive(budget, second, FREE_BYTES + 1)
    assert not receive(budget, larger, FREE_BYTES + 1)
    assert not receive(budget, smaller, FREE_BYTES + 1, LARGE // 2)
    budget.end_request(first, 0)
    assert budget.take_admitted(0.0) == [smaller]
    assert budget.waiting == 1


def test_stalled_body_is_refused_only_while_others_wait(budget):
    """A slow body costs nobody anything while there is room."""
    stalled, other = connect(budget, 1), connect(budget, 2)
    receive(budget, stalled, FREE_BYTES + 1)
    receive(budget, other, FREE_BYTES + 1, now_s=STALL_S)
    late_s = 1.5 * STALL_S
    assert not budget.find_overdue(late_s)
    waiting = connect(budget, 3, late_s)
    assert not receive(budget, waiting, FREE_BYTES + 1, now_s=late_s)
    assert budget.find_overdue(late_s) == [(stalled, ShedReason.STALLED)]


def test_body_that_trickles_is_refused_while_others_wait(budget):
    """Single bytes do not keep an admission."""
    states = [connect(budget, number) for number in range(3)]
    for state in states:
        receive(budget, state, FREE_BYTES + 1)
    now_s = STALL_S + 2 * FREE_BYTES / MIN_BODY_BYTES_PER_S
    receive(budget, states[0], 1, now_s=now_s)
    reasons = dict(budget.find_overdue(now_s))
    assert reasons[states[0]] is ShedReason.STALLED


def test_wait_for_admission_ends(budget):
    """A body that finds no room is refused, not held for good."""
    states = [connect(budget, number) for number in range(3)]
    for state in states:
        receive(budget, state, FREE_BYTES + 1)
        budget.start_serving(states[0])
        budget.start_serving(states[1])
    late_s = MAX_WAIT_S + 0.1
    assert budget.find_overdue(late_s) == [(states[2], ShedReason.WAITED)]


def test_request_being_processed_is_closed_last(budget):
    """A refusal must be true, so requests that have not run are refused first."""
    served, receiving = connect(budget, 1), connect(budget, 2)
    receive(budget, served, 2 * LARGE)
    budget.start_serving(served)
    receive(budget, receiving, LARGE + 1, now_s=1.0)
    assert budget.find_excess() == (receiving, ShedReason.MEMORY)


def test_unread_answers_are_closed_and_ordinary_callers_are_not(budget):
    """Large answers that are not read give way before a small new request."""
    unread = connect(budget, 1)
    budget.start_serving(unread)
    small = connect(budget, 2, now_s=1.0)
    budget.record_received(small, 100, 1.0)
    budget.record_unsent(unread, 4 * LARGE, 1.0)
    assert budget.find_excess() == (unread, ShedReason.MEMORY)
    late_s = 1.0 + UNREAD_TIMEOUT_S + 0.1
    assert budget.find_overdue(late_s) == [(unread, ShedReason.UNREAD)]


def test_longest_idle_connection_gives_way_to_a_new_one(budget):
    """Open connections and the requests on them stay under one limit."""
    idle, served, newer = (connect(budget, n, float(n)) for n in range(3))
    budget.start_serving(served)
    assert budget.find_excess() is None
    connect(budget, "new", 9.0)
    assert budget.find_excess() == (idle, ShedReason.CONNECTIONS)
    budget.close(idle)
    assert budget.find_excess() is None
    assert newer.owner == 2


_STEPS = st.lists(
    st.tuples(
        st.sampled_from(["receive", "serve", "end", "unsent", "close"]),
        st.integers(0, 5),
        st.integers(1, LARGE),
    ),
    max_size=60,
)


@given(_STEPS)
def test_sums_agree_with_the_connections(steps):
    """Whatever happens in whichever order, nothing is counted twice or for good."""
    limits = BudgetLimits(body_bytes=2 * LARGE, held_bytes=3 * LARGE, slots=8)
    budget = CallerBudget(limits)
    states = {}
    for action, number, size in steps:
        if number not in states:
            states[number] = connect(budget, number)
        state = states[number]
        match action:
            case "receive":
                receive(budget, state, size)
            case "serve":
                budget.start_serving(state)
            case "end":
                budget.end_request(state, 0)
            case "unsent":
                budget.record_unsent(state, size, 0.0)
            case "close":
                budget.close(states.pop(number))
        while (excess := budget.find_excess()) is not None:
            budget.close(excess[0])
            states = {n: s for n, s in states.items() if s is not excess[0]}
        budget.take_admitted(0.0)
        open_states = states.values()
        assert budget.held_bytes == sum(state.total_bytes for state in open_states)
        assert budget.held_bytes <= limits.held_bytes
    for state in states.values():
        budget.close(state)
    assert (budget.held_bytes, budget.admitted_bytes, budget.waiting) == (0, 0, 0)
    assert budget.connections == 0
