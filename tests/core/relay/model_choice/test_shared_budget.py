"""A retry budget that is too small for all escalations."""

import random

import pytest

from cardamomnotch_core.relay.model_choice.choice import ModelChoice
from cardamomnotch_core.relay.model_choice.models import Answer, PromptTimes
from cardamomnotch_core.relay.rates.const import RESERVED_RETRY_SHARE
from cardamomnotch_core.relay.rates.retries import RetryBudget

from .conftest import MODELS

REQUESTS_PER_S = 100
SECONDS = 30
URGENT_SHARE = 0.1
LOW_SHARE = 0.47
FAILED_SHARE = 0.01
SHORT = PromptTimes(smallest_s=0.05, largest_s=0.3)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_urgent_requests_get_the_retry_budget(
    make_route, make_request, make_placement, seed
):
    """Escalations of many unimportant requests use up no retry that others need.

    Upstreams have time, but not so much that the largest model is asked at once.
    """
    source = random.Random(seed)
    budget = RetryBudget(ratio=0.25, slack=0.0, window_s=10.0)
    choice = ModelChoice(budget.use, random_source=source.random)
    choice.set_routes([make_route(models=MODELS)])
    placements = {model: make_placement(80.0, 70.0) for model in MODELS}
    escalated = {0: [], 9: []}
    refused_retries = 0
    for number in range(REQUESTS_PER_S * SECONDS):
        now_s = number / REQUESTS_PER_S
        budget.record_request("drafts", now_s)
        priority = 0 if source.random() < URGENT_SHARE else 9
        request = make_request(priority=priority)
        choice.first_model(request, SHORT, placements.get, now_s)
        if source.random() < FAILED_SHARE:
            refused_retries += not budget.try_spend("drafts", now_s)
        if source.random() >= LOW_SHARE:
            continue
        answer = Answer(model="small", confidence=10, elapsed_s=0.1)
        decision = choice.next_model(request, answer, placements.get, now_s)
        is_granted = decision.model is not None and budget.try_spend(
            "drafts", now_s, reserved_share=RESERVED_RETRY_SHARE
        )
        # The first requests find an empty window, which allows no retries.
        if now_s >= 5.0:
            escalated[priority].append(is_granted)
    shares = {key: sum(values) / len(values) for key, values in escalated.items()}
    assert shares[0] >= 0.95
    assert shares[9] <= 0.6
    assert refused_retries <= 2
