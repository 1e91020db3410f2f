"""Decisions under shortage, and what they are learned from."""

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from cardamomnotch_core.relay.model_choice.const import (
    DEMAND_WINDOW_S,
    MAX_WISHES,
    SIZE_CLASS_BOUNDS,
)
from cardamomnotch_core.relay.model_choice.demand import RecentDemand
from cardamomnotch_core.relay.model_choice.in_time import chance_in_time
from cardamomnotch_core.relay.model_choice.models import (
    Answer,
    ChoiceReason,
    PromptTimes,
    Rank,
)
from cardamomnotch_core.relay.models import Service, Workspace

from .conftest import MODELS, SERVICE

UNSURE = Answer(model="small", confidence=10, elapsed_s=0.1)
SHORT = PromptTimes(smallest_s=0.05, largest_s=0.3)
# Half of the demand is refused with this use of 100 retries that are allowed.
HALF_USED = 75


@pytest.fixture
def escalate(make_placement):
    """Return a function that decides on one answer that lacks confidence."""

    def decide(choice, request, answer=UNSURE, now_s=0.0, **placements):
        defaults = {"middle": make_placement(80.0), "large": make_placement(300.0)}
        placements = {**defaults, **placements}
        return choice.next_model(request, answer, placements.get, now_s)

    return decide


def test_rank_order():
    """Priority comes first, then the share of a workspace, then the loss."""
    ranks = [
        Rank(0, False, 2.0),
        Rank(0, False, 1.0),
        Rank(0, True, 9.0),
        Rank(5, False, 9.0),
        Rank(5, True, 9.0),
    ]
    assert sorted(reversed(ranks), key=lambda rank: rank.order) == ranks


@pytest.mark.parametrize(
    ("favoured", "other"),
    [
        ({"priority": 0}, {"priority": 9}),
        ({"workspace": "within"}, {"workspace": "over"}),
        ({"workspace": "over", "priority": 0}, {"workspace": "within", "priority": 1}),
        ({"prompt_tokens": 3_000}, {"prompt_tokens": 300}),
    ],
    ids=["priority", "share of the workspace", "priority before share", "size"],
)
def test_lower_ranked_half_is_refused(
    make_choice, make_request, escalate, budget, favoured, other
):
    """At a shortage of a half, the requests that lose more get the larger model."""
    choice = make_choice(
        is_over_share=lambda service, workspace, _: workspace == "over"
    )
    budget["used"] = HALF_USED
    escalated = {}
    for number in range(400):
        for name, fields in (("favoured", favoured), ("other", other)):
            request = make_request(**fields)
            choice.first_model(request, SHORT, {}.get, number / 100)
            decision = escalate(choice, request, now_s=number / 100)
            escalated.setdefault(name, []).append(decision.model)
            assert decision.model or decision.reason is ChoiceReason.KEPT_BUDGET
    counts = {name: sum(map(bool, models)) for name, models in escalated.items()}
    assert counts["favoured"] >= 380
    assert counts["other"] <= 20


def test_workspaces_priority_precedes_the_routes(make_request):
    """An urgent workspace is urgent on every route."""
    request = make_request(priority=9)
    workspace = Workspace(name="urgent", priority=0)
    assert attrs.evolve(request, workspace=workspace).priority == 0


def test_equal_requests_share_what_there_is(
    make_choice, make_request, escalate, budget
):
    """Of requests that lose the same, the shortage refuses its share, not all."""
    choice = make_choice()
    budget["used"] = HALF_USED
    decisions = [escalate(choice, make_request(), now_s=n / 100) for n in range(1_000)]
    assert 450 < sum(decision.model is not None for decision in decisions) < 550


def test_shortage_of_time_is_the_reason_that_is_given(
    make_choice, make_request, make_placement, escalate
):
    """A request that upstreams have no time for says so."""
    choice = make_choice()
    for number in range(100):
        choice.record_wait(make_placement(10.0, 9_000.0), number / 100)
    reasons = {escalate(choice, make_request(), now_s=1.0).reason for _ in range(50)}
    assert reasons == {ChoiceReason.ESCALATED, ChoiceReason.KEPT_SHORTAGE}


def test_late_urgent_demand_displaces_other_demand(
    make_choice, make_request, make_placement, escalate, budget
):
    """Urgent requests that only the load makes late still rank above others.

    Otherwise unimportant requests keep the upstreams busy, and all are late.
    """
    choice = make_choice()
    budget["used"] = HALF_USED
    late = make_placement(900.0, 1_500.0)
    for number in range(100):
        urgent = escalate(choice, make_request(priority=0), large=late, middle=None)
        assert urgent.reason is ChoiceReason.KEPT_IN_TIME
        cheap = escalate(choice, make_request(priority=9), now_s=number / 100)
        assert cheap.model is None


@pytest.mark.parametrize(
    ("answer_end_ms", "large_end_ms", "reason"),
    [
        (5_000.0, 5_000.0, ChoiceReason.ESCALATED),
        (5_000.0, 9_800.0, ChoiceReason.KEPT_END),
        (9_950.0, 9_950.0, ChoiceReason.ESCALATED),
    ],
    ids=["both in time", "only the kept one in time", "neither in time"],
)
def test_expected_end(
    make_choice,
    make_request,
    make_placement,
    escalate,
    answer_end_ms,
    large_end_ms,
    reason,
):
    """A long output is not escalated shortly before its deadline."""
    answer = attrs.evolve(UNSURE, end_ms=answer_end_ms)
    large = make_placement(300.0, end_ms=large_end_ms)
    decision = escalate(make_choice(), make_request(), answer, large=large)
    assert decision.reason is reason


def test_long_output_does_not_start_at_the_large_model(
    make_choice, make_request, make_placement
):
    """A prompt for which only the large model has time may be too long for its end."""
    placements = {"small": make_placement(500.0), "large": make_placement(1_500.0)}
    idle = PromptTimes(smallest_s=0.5, largest_s=1.5)
    choice, request = make_choice(), make_request()
    decision = choice.first_model(request, idle, placements.get, 0.0)
    assert decision.reason is ChoiceReason.LARGE_FIRST
    placements["large"] = make_placement(1_500.0, end_ms=9_000.0)
    decision = choice.first_model(request, idle, placements.get, 0.0)
    assert decision.reason is ChoiceReason.SMALL


@pytest.mark.parametrize(
    ("spread", "is_asked"),
    [(1.25, True), (1.1, True), (3.0, False)],
    ids=["not known", "narrow", "wide"],
)
def test_spread_of_the_estimate(
    make_choice, make_request, make_placement, escalate, spread, is_asked
):
    """An uncertain estimate needs more room before the target latency."""
    large = make_placement(1_000.0, spread=spread)
    decision = escalate(make_choice(), make_request(), large=large)
    assert (decision.model == "large") is is_asked


def test_chance_in_time(make_route, make_placement):
    """Four of five observed times stay under the expected one times the spread."""
    route, placement = make_route(target_latency_s=2.0), make_placement(1_000.0)
    wide = attrs.evolve(placement, spread=2.0)
    assert chance_in_time(route, 0.0, wide) == pytest.approx(0.8, abs=0.001)
    assert chance_in_time(route, 1.0, wide) == pytest.approx(0.5, abs=0.001)
    assert chance_in_time(route, 2.0, wide) == 0.0


def test_large_model_first_while_the_retry_budget_is_short(
    make_choice, make_request, make_placement, budget
):
    """Requests that rank high need no second attempt, the others keep the small one."""
    choice = make_choice()
    budget["used"] = 100
    placements = {"small": make_placement(50.0), "large": make_placement(300.0)}
    first = {}
    for number in range(200):
        for priority in (0, 9):
            request = make_request(priority=priority)
            budget["used"] = HALF_USED
            decision = choice.first_model(request, SHORT, placements.get, number / 100)
            first.setdefault(priority, []).append(decision.model)
    assert first[0].count("large") >= 190
    assert first[9].count("small") >= 190


def test_middle_model_never_pays_with_the_measured_figures(
    make_choice, make_request, make_placement, escalate, budget
):
    """With good answers 0.54, 0.64, 1.0 and times 0.3, 0.8, 3.0 it is not asked."""
    choice = make_choice()
    for used in range(60, 90, 3):
        budget["used"] = used
        for _ in range(20):
            decision = escalate(
                choice,
                make_request(),
                middle=make_placement(80.0),
                large=make_placement(300.0),
            )
            assert decision.model != "middle"


def learn(choice, request, **good_by_model):
    """Teach the share of good answers of each model."""
    for model, good in good_by_model.items():
        for number in range(400):
            confidence = 90 if number * 37 % 100 < good * 100 else 10
            answer = attrs.evolve(UNSURE, model=model, confidence=confidence)
            choice.record_answer(request, answer)


def test_middle_model_that_suffices_is_asked_under_shortage(
    make_choice, make_request, escalate, budget
):
    """A middle model that answers nearly as well takes less upstream time."""
    choice, request = make_choice(), make_request()
    learn(choice, request, middle=0.9, large=1.0)
    assert escalate(choice, request).model == "large"
    budget["used"] = HALF_USED
    models = {escalate(choice, request).model for _ in range(50)}
    assert models == {"middle", None}


def test_model_costs_break_ties(make_choice, make_request, make_placement, escalate):
    """Of two models that gain the same in the same time, the cheaper one is asked."""
    for costs, expected in (
        ({"middle": 2.0, "large": 1.0}, "large"),
        ({"middle": 1.0, "large": 2.0}, "middle"),
    ):
        service = Service(name="drafts", model_costs=costs)
        choice, request = make_choice(), make_request(service=service)
        for model in ("middle", "large"):
            learn(choice, request, **{model: 1.0})
        for number in range(200):
            choice.record_wait(make_placement(1.0, 300.0), number / 100)
        same = make_placement(300.0)
        models = {
            escalate(choice, request, now_s=2.0, middle=same, large=same).model
            for _ in range(50)
        }
        assert models - {None} == {expected}


def test_unknown_middle_model_is_asked_for_a_small_share(
    make_choice, make_request, escalate
):
    """With exploration, a model without answers gets some until it is learned."""
    choice, request = make_choice(explored_share=0.1), make_request()
    models = [escalate(choice, request).model for _ in range(1_000)]
    assert 70 < models.count("middle") < 130
    learn(choice, request, middle=0.6)
    assert {escalate(choice, request).model for _ in range(200)} == {"large"}


@pytest.mark.parametrize(
    ("guess", "limit", "expected"),
    [(40, 80, 40), (400, 80, 80), (0, 800, 200), (0, 80, 80), (0, 0, 200)],
    ids=["guess", "guess over limit", "learned", "learned over limit", "no limit"],
)
def test_expected_output_tokens(make_choice, make_request, guess, limit, expected):
    """The caller's guess counts, else the mean of the route's answers."""
    choice = make_choice()
    request = make_request(expected_output_tokens=guess, max_output_tokens=limit)
    choice.record_output(request.route, 200)
    facts = choice.with_expected_output(request.route, request.facts)
    assert facts.expected_output_tokens == expected


def test_memory_is_bounded(make_choice, make_request, escalate):
    """Any number of requests, sizes and wishes leaves a bounded state."""
    choice = make_choice()
    for number in range(2 * MAX_WISHES):
        request = make_request(prompt_tokens=1 + number * 97 % 50_000)
        choice.first_model(request, SHORT, {}.get, 0.0)
        for model in (*MODELS, f"unknown-{number}"):
            answer = attrs.evolve(UNSURE, model=model)
            choice.record_answer(request, answer)
        escalate(choice, request)
    learned = choice.learned()["draft"]["good"]
    assert len(learned) <= len(MODELS) * (len(SIZE_CLASS_BOUNDS) + 1)
    demand = RecentDemand(lambda: 0.5)
    for number in range(3 * MAX_WISHES):
        demand.add(Rank(number % 3, False, number % 7), number % 5 + 1, number / 1_000)
        assert len(demand) <= MAX_WISHES
    demand.add(Rank(1, False, 1.0), 1.0, 100.0)
    assert len(demand) == 1


@given(
    wishes=st.lists(
        st.tuples(st.integers(0, 2), st.integers(0, 2), st.floats(1, 9)), min_size=1
    ),
    random_number=st.floats(0, 0.99),
)
def test_position_among_the_wishes_of_the_window(wishes, random_number):
    """The position is the time of the wishes above, with a part of the equal ones."""
    demand = RecentDemand(lambda: random_number)
    # Two a second, so that some of them are older than the window.
    for number, (priority, loss, time_ms) in enumerate(wishes):
        demand.add(Rank(priority, False, loss), time_ms, number / 2)
    recent = wishes[-1 - round(2 * DEMAND_WINDOW_S) :]
    rank = Rank(wishes[-1][0], False, wishes[-1][1])
    order = [(Rank(priority, False, loss).order, ms) for priority, loss, ms in recent]
    above = sum(ms for key, ms in order if key < rank.order)
    equal = sum(ms for key, ms in order if key == rank.order)
    expected = (above + random_number * equal) / sum(ms for _, ms in order)
    assert demand.position(rank) == pytest.approx(expected)


def test_route_that_disappears_is_forgotten(make_choice, make_request, make_route):
    """A route that returns under an old name starts with the defaults."""
    choice, request = make_choice(), make_request()
    learn(choice, request, small=0.1, middle=0.1)
    choice.set_routes([make_route(models=("small", "large"))])
    assert set(choice.learned()["draft"]["good"]) == {"small/1"}
    choice.set_routes([make_route("other", models=MODELS)])
    assert not choice.learned()
    assert not choice.shortage(SERVICE.name, 0.0).value


def test_no_upstream_for_the_larger_model(make_choice, make_request, escalate):
    """An answer is kept if no upstream can take the request."""
    decision = escalate(make_choice(), make_request(), large=None)
    assert (decision.model, decision.reason) == (None, ChoiceReason.KEPT_NO_UPSTREAM)
