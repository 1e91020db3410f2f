"""Choice of the model that is asked first, without shortage."""

import attrs
import pytest

from cardamomnotch_core.load_model.models import LoadCase, ModelSpec, RequestClass
from cardamomnotch_core.load_model.simulation import LoadSimulation
from cardamomnotch_core.relay.model_choice.models import Answer, PromptTimes
from cardamomnotch_core.relay.models import RepeatRule

TARGET_S = 3.0
LONG = PromptTimes(smallest_s=0.5, largest_s=2.2)


@pytest.fixture
def choose_first(make_choice, make_request, make_placement):
    """Return a function that chooses the first model of a request."""

    def placement(seconds, waiting_ms=0.0):
        if seconds is None:
            return None
        return make_placement(seconds * 1000 - waiting_ms, waiting_ms)

    def choose(idle, small_s, large_s, *, low_share=0.5, waiting_ms=0.0, **fields):
        fields = {"models": ("small", "large"), **fields}
        request = make_request(target_latency_s=TARGET_S, **fields)
        choice = make_choice([request.route])
        for number in range(200):
            is_low = number % 20 < round(low_share * 20)
            answer = Answer(
                model="small", confidence=10 if is_low else 90, elapsed_s=0.1
            )
            choice.record_answer(request, answer)
        placements = {
            "small": placement(small_s),
            "large": placement(large_s, waiting_ms),
        }
        return choice.first_model(request, idle, placements.get, 0.0).model

    return choose


@pytest.mark.parametrize(
    ("idle", "small_s", "large_s", "options", "expected"),
    [
        (PromptTimes(smallest_s=0.1, largest_s=0.9), 9.0, 9.0, {}, "small"),
        (LONG, 0.5, 1.5, {}, "small"),
        (LONG, 0.5, 2.2, {}, "large"),
        (LONG, 0.5, 2.5, {}, "small"),
        (LONG, 0.5, None, {}, "small"),
        (LONG, None, 2.2, {}, "small"),
        (LONG, 0.5, 2.2, {"waiting_ms": 200.0}, "small"),
        (LONG, 0.5, 2.2, {"low_share": 0.1}, "small"),
        (LONG, 0.5, 2.2, {"repeat": RepeatRule.STREAM}, "small"),
        (LONG, 0.5, 2.2, {"models": ("small",)}, "small"),
    ],
    ids=[
        "short prompt",
        "time for both",
        "time for the large one only",
        "no time for the large one",
        "no upstream for the large one",
        "no upstream",
        "busy upstream",
        "small model suffices",
        "not repeatable",
        "one model",
    ],
)
def test_first_model(choose_first, idle, small_s, large_s, options, expected):
    """The large model comes first only where it would come too late second."""
    assert choose_first(idle, small_s, large_s, **options) == expected


def long_prompts(requests_per_s):
    """Return a load whose long prompts are late if two models are asked."""
    models = (
        ModelSpec(name="small", prefill_ms_per_token=0.006, quality=0.54),
        ModelSpec(name="large", prefill_ms_per_token=0.06),
    )
    names = tuple(model.name for model in models)
    short = RequestClass(
        name="short", weight=0.8, target_s=TARGET_S, own_tokens=8_000, models=names
    )
    long = attrs.evolve(short, name="long", weight=0.2, own_tokens=35_500, spread=0.07)
    return LoadCase(
        entries=1,
        upstreams=12,
        requests_per_s=requests_per_s,
        classes=(short, long),
        models=models,
    )


@pytest.mark.parametrize("requests_per_s", [1.0, 6.0])
def test_long_prompts_are_answered_by_a_model_that_can(requests_per_s):
    """Most long prompts get a good answer in time, though two models take too long."""
    simulation = LoadSimulation(long_prompts(requests_per_s))
    simulation.run(150 / requests_per_s)
    outcomes = simulation.run(650 / requests_per_s)
    simulation.finish()
    served = [
        outcome.is_in_time and outcome.is_good
        for outcome in outcomes
        if outcome.request_class == "long"
    ]
    assert sum(served) >= 0.8 * len(served)
