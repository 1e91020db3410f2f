"""Without shortage the decisions are those of the earlier rule."""

import random

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from cardamomnotch_core.relay.fleet import UpstreamState
from cardamomnotch_core.relay.model_choice.choice import ModelChoice
from cardamomnotch_core.relay.model_choice.models import (
    Answer,
    ChoiceRequest,
    PromptTimes,
)
from cardamomnotch_core.relay.models import RepeatRule, Service
from cardamomnotch_core.relay.placement.placer import Placement
from cardamomnotch_core.relay.rates.retries import BudgetUse

from .earlier_rule import EarlierRule

seconds = st.floats(0.001, 8.0)
waits_ms = st.sampled_from([0.0, 59.0, 60.0, 61.0, 150.0])
placements = st.none() | st.tuples(seconds, waits_ms)


@st.composite
def requests(draw):
    """Return the models, times and confidence of a request."""
    return {
        "models": ("small", "middle", "large")[-draw(st.integers(1, 3)) :],
        "target_s": draw(st.floats(0.2, 5.0)),
        "repeat": draw(st.sampled_from(RepeatRule)),
        "idle": PromptTimes(smallest_s=draw(seconds), largest_s=draw(seconds)),
        "tokens": draw(st.integers(0, 40_000)),
        "placements": [draw(placements) for _ in range(3)],
        "confidence": draw(st.none() | st.integers(0, 100)),
        "elapsed_s": draw(st.floats(0.0, 3.0)),
    }


@settings(suppress_health_check=[HealthCheck.function_scoped_fixture], deadline=None)
@given(drawn=st.lists(requests(), min_size=1, max_size=40))
def test_decisions_without_shortage_are_those_of_the_earlier_rule(
    make_route, make_facts, make_upstream, drawn
):
    """A system with time for all requests serves them as it did before."""
    choice = ModelChoice(
        lambda service, now_s: BudgetUse(used=6, allowed=10.0),
        random_source=random.Random(1).random,
    )
    earlier = EarlierRule()
    state = UpstreamState(make_upstream())
    for number, item in enumerate(drawn):
        route = make_route(
            name=f"route-{number % 3}",
            models=item["models"],
            target_latency_s=item["target_s"],
            repeat=item["repeat"],
        )
        request = ChoiceRequest(
            route=route,
            service=Service(name="drafts"),
            facts=make_facts(prompt_tokens=item["tokens"]),
        )
        by_model = {
            model: found and Placement(state, found[0] * 1000, found[1], 0.0, 0, 0)
            for model, found in zip(
                ("small", "middle", "large"), item["placements"], strict=True
            )
        }
        first = choice.first_model(request, item["idle"], by_model.get, number)
        assert first.model == earlier.first_model(route, item["idle"], by_model.get)
        answer = Answer(
            model=first.model,
            confidence=item["confidence"],
            elapsed_s=item["elapsed_s"],
        )
        choice.record_answer(request, answer)
        earlier.record_answer(route, first.model, item["confidence"])
        second = None
        if choice.lacks_confidence(request, answer):
            second = choice.next_model(request, answer, by_model.get, number).model
        assert second == earlier.next_model(
            route, first.model, item["confidence"], item["elapsed_s"], by_model.get
        )
