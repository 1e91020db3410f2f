"""Fixtures of the choice of a model."""

import random

import pytest

from cardamomnotch_core.relay.fleet import UpstreamState
from cardamomnotch_core.relay.model_choice.choice import ModelChoice
from cardamomnotch_core.relay.model_choice.models import ChoiceRequest
from cardamomnotch_core.relay.models import Service, Workspace
from cardamomnotch_core.relay.placement.placer import Placement
from cardamomnotch_core.relay.rates.retries import BudgetUse

MODELS = ("small", "middle", "large")
SERVICE = Service(name="drafts")


@pytest.fixture
def make_placement(make_upstream):
    """Return a function that builds a placement from times in milliseconds."""
    state = UpstreamState(make_upstream())

    def make(prefill_ms, waiting_ms=0.0, **fields):
        return Placement(state, prefill_ms, waiting_ms, 0.0, 0, 0, **fields)

    return make


@pytest.fixture
def budget():
    """Return the use of the retry budget, which a test may change."""
    return {"used": 0, "allowed": 100.0}


@pytest.fixture
def make_choice(budget, make_route):
    """Return a function that builds a choice with one route with three models."""

    def make(routes=None, **options):
        choice = ModelChoice(
            lambda service, now_s: BudgetUse(**budget),
            random_source=random.Random(1).random,
            **options,
        )
        choice.set_routes(routes or [make_route(models=MODELS)])
        return choice

    return make


@pytest.fixture
def make_request(make_route, make_facts):
    """Return a function that builds a request for which the relay chooses."""

    def make(*, priority=5, prompt_tokens=1_000, workspace="", service=SERVICE, **more):
        facts = {
            name: more.pop(name)
            for name in ("expected_output_tokens", "max_output_tokens")
            if name in more
        }
        allowed_s = more.pop("allowed_s", 10.0)
        return ChoiceRequest(
            route=make_route(**{"models": MODELS, "priority": priority, **more}),
            service=service,
            facts=make_facts(prompt_tokens=prompt_tokens, **facts),
            workspace=Workspace(name=workspace) if workspace else None,
            allowed_s=allowed_s,
        )

    return make
