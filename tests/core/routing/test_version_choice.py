"""Which version a request gets."""

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

from tests.fixtures.decisions import RoutingWorld, small_lists


@pytest.fixture
def world():
    """Return a router with one upstream that has both versions."""
    built = RoutingWorld()
    built.add("engine-0", limit=10_000)
    return built


def _with_class(world, **changes):
    classes = tuple(
        attrs.evolve(item, **changes) for item in world.record.configuration.classes
    )
    world.put_lists(classes=classes)


def _with_rollout(world, share):
    """Put drafter/v3, as dear as v1 and good at everything, in roll-out."""
    model = world.record.configuration.models[0]
    version = Version(
        name="v3",
        cost_per_1k_tokens=0.4,
        quality={"quick": 0.95, "tender": 0.95},
        rollout_share=share,
    )
    world.put_lists(models=(attrs.evolve(model, versions=(*model.versions, version)),))
    world.add("engine-0", versions=("drafter/v1", "drafter/v2", "drafter/v3"))


@pytest.mark.parametrize(
    ("request_class", "version"), [("quick", "v1"), ("tender", "v2"), ("", "v1")]
)
def test_cheapest_version_at_the_target(world, request_class, version):
    """The cheapest whose lower bound meets the class's target is chosen."""
    assert world.choose(request_class=request_class).version == version


def test_poor_ratings_move_a_class_up(world):
    """A version that is rated under the target is left for the next."""
    world.rate("drafter/v1", "quick", 0.6, 200)
    assert world.choose(request_class="quick").version == "v2"


def test_target_is_never_relaxed_silently(world):
    """With nothing at the target the request is refused, and told when to come."""
    world.rate("drafter/v2", "tender", 0.5, 400)
    with pytest.raises(RankingError) as raised:
        world.choose(request_class="tender")
    assert raised.value.code is ResultCode.QUALITY_NOT_AVAILABLE
    assert raised.value.retry_after_s


def test_class_may_be_served_below_target_and_says_so(world):
    """Where the class allows it, the best version serves, marked as such."""
    _with_class(world, serve_below_target=True)
    world.rate("drafter/v2", "tender", 0.7, 400)
    route = world.choose(request_class="tender")
    assert (route.version, route.below_target) == ("v2", True)


@pytest.mark.parametrize(
    ("explore", "most"), [pytest.param(True, 60, id="explored"), (False, 0)]
)
def test_exploration_keeps_its_share(world, explore, most):
    """A cheaper, unsure version gets a small share, or none if so marked."""
    _with_class(world, explore=explore, explore_share=0.02)
    world.rate("drafter/v1", "quick", 0.69, 200)
    explored = Counter(world.versions(2000, request_class="quick"))["drafter/v1"]
    assert explored <= most
    assert bool(explored) is explore


def test_session_keeps_its_version(world):
    """A session stays, whatever is cheaper or better rated by now."""
    world.rate("drafter/v2", "quick", 0.1, 500)
    route = world.choose(request_class="quick", session_version="drafter/v2")
    assert (route.version, route.replaced_version) == ("v2", "")


def test_session_waits_rather_than_change(world):
    """A session whose version has no room is refused, not moved."""
    world.add("engine-0", versions=("drafter/v1",))
    with pytest.raises(RoutingError) as raised:
        world.choose(session_version="drafter/v2")
    assert raised.value.retry_after_s


@pytest.mark.parametrize("by", ["mark", "entry"])
def test_withdrawn_version_is_replaced_once_and_said(world, by):
    """A session on a withdrawn version moves, and the route says from where."""
    if by == "mark":
        world.mark(versions_out=("drafter/v1",))
    else:
        world.router.rankings.set_withdrawn(frozenset({"drafter/v1"}))
    route = world.choose(request_class="quick", session_version="drafter/v1")
    assert (route.version, route.replaced_version) == ("v2", "drafter/v1")


def test_suspect_version_is_held_back_but_not_missed(world):
    """A suspect takes a quarter while another serves, and all if none does."""
    world.router.rankings.set_suspect_versions(frozenset({"drafter/v1"}))
    versions = world.versions(1000, request_class="quick")
    assert 200 <= versions.count("drafter/v1") <= 300
    world.mark(versions_out=("drafter/v2",))
    assert set(world.versions(50, request_class="quick")) == {"drafter/v1"}


def test_rollout_takes_its_share_and_keeps_its_keys(world):
    """A growing share only adds keys; one in the share stays in it."""
    _with_rollout(world, 0.1)
    first = world.versions(1000, request_class="quick")
    _with_rollout(world, 0.3)
    second = world.versions(1000, request_class="quick")
    assert 60 <= first.count("drafter/v3") <= 140
    assert 250 <= second.count("drafter/v3") <= 350
    stayed = zip(first, second, strict=True)
    assert all(new == "drafter/v3" for old, new in stayed if old == "drafter/v3")


def test_rollout_without_upstream_leaves_no_request_behind(world):
    """A roll-out cut short, its version loaded nowhere, costs no request."""
    _with_rollout(world, 0.5)
    world.add("engine-0", versions=("drafter/v1", "drafter/v2"))
    assert set(world.versions(50, request_class="quick")) == {"drafter/v1"}


def test_decision_is_explained_by_request_id(world):
    """The state dump tells what a decision went by."""
    world.choose(request_class="tender", request_id="r-1")
    told = world.router.diagnostics()["recent_decisions"]["r-1"]
    assert (told["reason"], told["version"]) == ("cheapest", "v2")
    meets = {item["version"]: item["meets_target"] for item in told["considered"]}
    assert meets == {"drafter/v1": False, "drafter/v2": True}


_NAMES = ("a/1", "a/2", "b/1", "b/2")


@given(
    in_plan=st.sets(st.sampled_from(("a", "b")), min_size=1),
    out=st.sets(st.sampled_from(_NAMES)),
    tripped=st.sets(st.sampled_from(_NAMES)),
    session=st.sampled_from(("", *_NAMES)),
    model=st.sampled_from(("auto", "a", "b", *_NAMES)),
    scores=st.lists(st.floats(0, 1), min_size=4, max_size=4),
    explore=st.floats(0, 1),
)
def test_choice_is_allowed_and_not_withdrawn(
    in_plan, out, tripped, session, model, scores, explore
):
    """Whatever lists, ratings and sessions are, the version may be used."""
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
    world = RoutingWorld(
        small_lists(
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
    world.mark(versions_out=tuple(sorted(out)))
    world.router.rankings.set_withdrawn(frozenset(tripped))
    world.add("engine-0", versions=_NAMES)
    for name, score in zip(_NAMES, scores, strict=True):
        world.rate(name, "quick", score, 300)
    try:
        route = world.choose(
            model=model, request_class="quick", session_version=session
        )
    except (PlanError, RankingError, RoutingError):
        return
    chosen = f"{route.model}/{route.version}"
    assert route.model in in_plan
    assert chosen not in out | tripped
    if session in {f"{name}/{v}" for name in in_plan for v in "12"} - out - tripped:
        named = model in ("auto", session, session.split("/")[0])
        assert chosen == session or not named
