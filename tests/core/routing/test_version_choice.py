"""Tests of version selection by cost, quality, session and rollout."""

from collections import Counter

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from cardamomnotch_core.configuration.models import (
    Model,
    Plan,
    PlanModel,
    RequestClass,
    Version,
)
from cardamomnotch_core.plans.allowance import PlanError
from cardamomnotch_core.routing.ranking import RankingError
from cardamomnotch_core.routing.router import RoutingError
from cardamomnotch_protocol.result_codes import ResultCode

from tests.fixtures.routing_harness import RoutingHarness, small_configuration


@pytest.fixture
def harness():
    """Return a router with one upstream that serves both versions."""
    harness = RoutingHarness()
    harness.add("engine-0", limit=10_000)
    return harness


def _change_class(harness, **changes):
    classes = tuple(
        attrs.evolve(item, **changes) for item in harness.record.configuration.classes
    )
    harness.set_configuration(classes=classes)


def _start_rollout(harness, share):
    """Add drafter/v3 in rollout, with the cost of v1 and a high quality."""
    model = harness.record.configuration.models[0]
    version = Version(
        name="v3",
        cost_per_1k_tokens=0.4,
        quality={"quick": 0.95, "tender": 0.95},
        rollout_share=share,
    )
    harness.set_configuration(
        models=(attrs.evolve(model, versions=(*model.versions, version)),)
    )
    harness.add("engine-0", versions=("drafter/v1", "drafter/v2", "drafter/v3"))


@pytest.mark.parametrize(
    ("request_class", "version"), [("quick", "v1"), ("tender", "v2"), ("", "v1")]
)
def test_cheapest_version_meeting_target_is_selected(harness, request_class, version):
    """The cheapest version whose lower bound meets the target is selected."""
    assert harness.choose(request_class=request_class).version == version


def test_poor_ratings_exclude_version_from_class(harness):
    """A version rated below the target is replaced by the next cheapest."""
    harness.rate("drafter/v1", "quick", 0.6, 200)
    assert harness.choose(request_class="quick").version == "v2"


def test_request_is_refused_if_no_version_meets_target(harness):
    """The refusal has a result code and a time after which to retry."""
    harness.rate("drafter/v2", "tender", 0.5, 400)
    with pytest.raises(RankingError) as raised:
        harness.choose(request_class="tender")
    assert raised.value.code is ResultCode.QUALITY_NOT_AVAILABLE
    assert raised.value.retry_after_s


def test_route_below_target_is_flagged_if_class_allows_it(harness):
    """The best version is selected and the route is flagged."""
    _change_class(harness, serve_below_target=True)
    harness.rate("drafter/v2", "tender", 0.7, 400)
    route = harness.choose(request_class="tender")
    assert (route.version, route.below_target) == ("v2", True)


@pytest.mark.parametrize(
    ("explore", "max_explored"),
    [pytest.param(True, 60, id="explored"), (False, 0)],
)
def test_exploration_stays_within_its_share(harness, explore, max_explored):
    """A cheaper, uncertain version gets a small share, or none if disabled."""
    _change_class(harness, explore=explore, explore_share=0.02)
    harness.rate("drafter/v1", "quick", 0.69, 200)
    explored = Counter(harness.versions(2000, request_class="quick"))["drafter/v1"]
    assert explored <= max_explored
    assert bool(explored) is explore


def test_session_keeps_its_version(harness):
    """A session keeps its version even if another is now better rated."""
    harness.rate("drafter/v2", "quick", 0.1, 500)
    route = harness.choose(request_class="quick", session_version="drafter/v2")
    assert (route.version, route.replaced_version) == ("v2", "")


def test_session_is_refused_rather_than_moved(harness):
    """A session is not moved if no upstream serves its version."""
    harness.add("engine-0", versions=("drafter/v1",))
    with pytest.raises(RoutingError) as raised:
        harness.choose(session_version="drafter/v2")
    assert raised.value.retry_after_s


@pytest.mark.parametrize("withdrawn_by", ["mark", "entry"])
def test_session_leaves_withdrawn_version(harness, withdrawn_by):
    """A session moves off a withdrawn version; the route names the old one."""
    if withdrawn_by == "mark":
        harness.mark_out_of_service(versions_out=("drafter/v1",))
    else:
        harness.router.rankings.set_withdrawn(frozenset({"drafter/v1"}))
    route = harness.choose(request_class="quick", session_version="drafter/v1")
    assert (route.version, route.replaced_version) == ("v2", "drafter/v1")


def test_suspect_version_receives_reduced_share(harness):
    """A suspect gets a quarter of requests, or all if no other can serve."""
    harness.router.rankings.set_suspect_versions(frozenset({"drafter/v1"}))
    versions = harness.versions(1000, request_class="quick")
    assert 200 <= versions.count("drafter/v1") <= 300
    harness.mark_out_of_service(versions_out=("drafter/v2",))
    assert set(harness.versions(50, request_class="quick")) == {"drafter/v1"}


def test_larger_rollout_share_keeps_its_keys(harness):
    """An increased share only adds keys: no key leaves the rollout."""
    _start_rollout(harness, 0.1)
    first = harness.versions(1000, request_class="quick")
    _start_rollout(harness, 0.3)
    second = harness.versions(1000, request_class="quick")
    assert 60 <= first.count("drafter/v3") <= 140
    assert 250 <= second.count("drafter/v3") <= 350
    stayed = zip(first, second, strict=True)
    assert all(new == "drafter/v3" for old, new in stayed if old == "drafter/v3")


def test_rollout_without_upstream_falls_back(harness):
    """No request fails if the version in rollout is loaded on no upstream."""
    _start_rollout(harness, 0.5)
    harness.add("engine-0", versions=("drafter/v1", "drafter/v2"))
    assert set(harness.versions(50, request_class="quick")) == {"drafter/v1"}


def test_state_dump_explains_decision(harness):
    """The state dump contains the inputs of a decision by request ID."""
    harness.choose(request_class="tender", request_id="r-1")
    decision = harness.router.diagnostics()["recent_decisions"]["r-1"]
    assert (decision["reason"], decision["version"]) == ("cheapest", "v2")
    meets = {item["version"]: item["meets_target"] for item in decision["considered"]}
    assert meets == {"drafter/v1": False, "drafter/v2": True}


_NAMES = ("a/1", "a/2", "b/1", "b/2")


@given(
    in_plan=st.sets(st.sampled_from(("a", "b")), min_size=1),
    out_of_service=st.sets(st.sampled_from(_NAMES)),
    withdrawn=st.sets(st.sampled_from(_NAMES)),
    session=st.sampled_from(("", *_NAMES)),
    model=st.sampled_from(("auto", "a", "b", *_NAMES)),
    scores=st.lists(st.floats(0, 1), min_size=4, max_size=4),
    explore=st.floats(0, 1),
)
def test_selected_version_is_allowed_and_in_service(
    in_plan, out_of_service, withdrawn, session, model, scores, explore
):
    """This holds for any configuration, ratings and sessions."""
    models = tuple(
        Model(
            name=name,
            versions=tuple(
                Version(
                    name=number,
                    cost_per_1k_tokens=float(number),
                    quality={"quick": 0.8},
                    rollout_share=0.5,
                )
                for number in ("1", "2")
            ),
        )
        for name in ("a", "b")
    )
    harness = RoutingHarness(
        small_configuration(
            models=models,
            classes=(
                RequestClass(name="quick", quality_target=0.7, explore_share=explore),
            ),
            plans=(
                Plan(
                    name="member",
                    models=tuple(PlanModel(model=item) for item in sorted(in_plan)),
                ),
            ),
        )
    )
    harness.mark_out_of_service(versions_out=tuple(sorted(out_of_service)))
    harness.router.rankings.set_withdrawn(frozenset(withdrawn))
    harness.add("engine-0", versions=_NAMES)
    for name, score in zip(_NAMES, scores, strict=True):
        harness.rate(name, "quick", score, 300)
    try:
        route = harness.choose(
            model=model, request_class="quick", session_version=session
        )
    except (PlanError, RankingError, RoutingError):
        return
    chosen = f"{route.model}/{route.version}"
    assert route.model in in_plan
    assert chosen not in out_of_service | withdrawn
    if (
        session
        in {f"{name}/{v}" for name in in_plan for v in "12"}
        - out_of_service
        - withdrawn
    ):
        is_requested = model in ("auto", session, session.split("/")[0])
        assert chosen == session or not is_requested
