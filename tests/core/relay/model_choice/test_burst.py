"""A burst of cheap requests beside costly ones on a fixed set of upstreams."""

import attrs
import pytest

from cardamomnotch_core.load_model.models import LoadCase, ModelSpec, RequestClass
from cardamomnotch_core.load_model.simulation import LoadSimulation

# Requests of each class a second before the burst, and how many times more cheap ones
# there are in it.
COSTLY_RATE = 2.0
BURST = 2.4
MODELS = (
    ModelSpec(name="small", prefill_ms_per_token=0.014, quality=0.54),
    ModelSpec(name="large", prefill_ms_per_token=0.077),
)
COSTLY = RequestClass(
    name="costly",
    weight=COSTLY_RATE,
    target_s=2.5,
    own_tokens=17_000,
    spread=0.3,
    models=("small", "large"),
    priority=0,
)


def load_case(cheap_rate, seed):
    """Return a load with this many cheap requests a second."""
    cheap = attrs.evolve(
        COSTLY,
        name="cheap",
        weight=cheap_rate,
        target_s=10.0,
        own_tokens=1_460,
        priority=9,
    )
    return LoadCase(
        entries=3,
        upstreams=6,
        requests_per_s=cheap_rate + COSTLY_RATE,
        classes=(cheap, COSTLY),
        models=MODELS,
        seed=seed,
    )


def good_share(outcomes, name):
    """Return the share of a class's requests with a good answer in time."""
    served = [
        outcome.is_in_time and outcome.is_good
        for outcome in outcomes
        if outcome.request_class == name
    ]
    return sum(served) / len(served)


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("cheap_rate", [40.0, 50.0])
def test_costly_requests_keep_their_share_of_good_answers(cheap_rate, seed):
    """Cheap requests alone lose larger models while there is too little time."""
    simulation = LoadSimulation(load_case(cheap_rate, seed))
    simulation.run(20.0)
    before = simulation.run(60.0)
    simulation.case = load_case(BURST * cheap_rate, seed)
    simulation.run(10.0)
    during = simulation.run(60.0)
    simulation.case = load_case(cheap_rate, seed)
    simulation.run(10.0)
    after = simulation.run(60.0)
    simulation.finish()
    assert good_share(during, "costly") >= 0.75 * good_share(before, "costly")
    # They still get answers, of which the small model's are good in 54 of 100 cases.
    assert good_share(during, "cheap") >= 0.5
    assert good_share(after, "cheap") >= 0.9 * good_share(before, "cheap")
