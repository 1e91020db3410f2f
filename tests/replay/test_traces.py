"""Recorded traces of both deployments against the stated outcomes."""

import pytest

from tests.fixtures.replay import ENGINES, Replay, always_best, router_choice

pytestmark = pytest.mark.parametrize("deployment", sorted(ENGINES))

# Exploration may give this share of answers to unsure versions.
_EXPLORE_SHARE = 0.02


@pytest.mark.parametrize("scenario", ["ordinary", "rush"])
def test_cost_at_the_target(deployment, scenario):
    """Cost is 40 % below always-best, and no more answers miss the target."""
    best = Replay(deployment, scenario, always_best).run()
    routed = Replay(deployment, scenario, router_choice).run()
    assert routed.cost <= 0.6 * best.cost
    assert routed.under_target_share <= _EXPLORE_SHARE
    assert routed.refused <= best.refused


@pytest.mark.parametrize(
    ("scenario", "is_out"), [("bad-30", True), ("bad-100", True), ("ordinary", False)]
)
def test_bad_version_goes_out_and_a_good_one_stays(deployment, scenario, is_out):
    """A turned version is marked out through the lists; a good one never."""
    outcome = Replay(deployment, scenario).run()
    assert ("drafter/v1" in outcome.withdrawn) is is_out
    late = [version for at_s, version in outcome.versions if at_s > 30]
    assert ("drafter/v1" not in late) is is_out
    if scenario == "bad-30":
        assert outcome.answers_while_bad <= 60
    assert outcome.refused == 0


def test_interrupted_rollout_leaves_nobody_without_capacity(deployment):
    """A new version unloaded halfway costs no request."""
    outcome = Replay(deployment, "rollout-interrupted").run()
    assert any(version == "drafter/v4" for _, version in outcome.versions)
    assert outcome.refused == 0
    assert outcome.under_target_share <= _EXPLORE_SHARE


def test_zone_out_and_back(deployment):
    """A zone taken out gets nothing, all is served, and it is used again."""
    outcome = Replay(deployment, "zone-out-and-back").run()
    out = [zone for at_s, zone in outcome.served_by_zone if 15 < at_s < 40]
    back = [zone for at_s, zone in outcome.served_by_zone if at_s > 45]
    assert "a" not in out
    assert "a" in back
    assert outcome.refused == 0


def test_pools_run_out_and_recover(deployment):
    """Short pools refuse at once and only while they are short."""
    outcome = Replay(deployment, "pools-run-out").run()
    assert outcome.refused > 0
    assert all(10 <= at_s <= 42 for at_s in outcome.refused_at_s)


def test_rating_service_down_changes_no_service(deployment):
    """Without ratings the lists' figures hold."""
    outcome = Replay(deployment, "rating-down").run()
    assert (outcome.refused, outcome.withdrawn) == (0, set())
    assert outcome.under_target_share <= _EXPLORE_SHARE


def test_wrong_cold_estimate_is_unlearned(deployment):
    """A version that the lists overrate is left for quick answers."""
    outcome = Replay(deployment, "cold-estimates").run()
    late = [version for at_s, version in outcome.versions if at_s > 45]
    assert late.count("drafter/v1") <= 2 * _EXPLORE_SHARE * len(late)
