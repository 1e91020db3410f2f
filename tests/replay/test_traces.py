"""Results of replaying the recorded traces of both deployments."""

import pytest

from tests.fixtures.replay import ENGINES, Replay, always_best, router_choice

pytestmark = pytest.mark.parametrize("deployment", sorted(ENGINES))

# Largest share of answers that exploration may give to versions whose
# estimated quality is uncertain.
_MAX_EXPLORE_SHARE = 0.02


@pytest.mark.parametrize("scenario", ["ordinary", "rush"])
def test_cost_at_the_target(deployment, scenario):
    """Routing costs at least 40 % less than always using the best version.

    Answers below their quality target stay within the exploration share, and
    no more requests are refused.
    """
    best = Replay(deployment, scenario, always_best).run()
    routed = Replay(deployment, scenario, router_choice).run()
    assert routed.cost <= 0.6 * best.cost
    assert routed.under_target_share <= _MAX_EXPLORE_SHARE
    assert routed.refused <= best.refused


@pytest.mark.parametrize(
    ("scenario", "is_withdrawn"),
    [("bad-30", True), ("bad-100", True), ("ordinary", False)],
)
def test_only_a_bad_version_is_withdrawn(deployment, scenario, is_withdrawn):
    """A version that turns bad is put out of service; a good one never is."""
    result = Replay(deployment, scenario).run()
    assert ("drafter/v1" in result.withdrawn) is is_withdrawn
    late = [version for at_s, version in result.versions if at_s > 30]
    assert ("drafter/v1" not in late) is is_withdrawn
    if scenario == "bad-30":
        assert result.answers_while_bad <= 60
    assert result.refused == 0


def test_interrupted_rollout_refuses_no_request(deployment):
    """No request is refused when a new version is unloaded during rollout."""
    result = Replay(deployment, "rollout-interrupted").run()
    assert any(version == "drafter/v4" for _, version in result.versions)
    assert result.refused == 0
    assert result.under_target_share <= _MAX_EXPLORE_SHARE


def test_zone_out_and_back(deployment):
    """A zone out of service gets no request, and is used again afterwards.

    No request is refused meanwhile.
    """
    result = Replay(deployment, "zone-out-and-back").run()
    out = [zone for at_s, zone in result.served_by_zone if 15 < at_s < 40]
    back = [zone for at_s, zone in result.served_by_zone if at_s > 45]
    assert "a" not in out
    assert "a" in back
    assert result.refused == 0


def test_requests_are_refused_only_while_capacity_is_short(deployment):
    """Requests are refused only while the engines' limits are reduced."""
    result = Replay(deployment, "pools-run-out").run()
    assert result.refused > 0
    assert all(10 <= at_s <= 42 for at_s in result.refused_at_s)


def test_rating_service_outage_does_not_affect_requests(deployment):
    """Without ratings the configured quality is used and none is refused."""
    result = Replay(deployment, "rating-down").run()
    assert (result.refused, result.withdrawn) == (0, set())
    assert result.under_target_share <= _MAX_EXPLORE_SHARE


def test_overrated_version_loses_its_requests(deployment):
    """Ratings correct a quality that the configuration states too high."""
    result = Replay(deployment, "cold-estimates").run()
    late = [version for at_s, version in result.versions if at_s > 45]
    assert late.count("drafter/v1") <= 2 * _MAX_EXPLORE_SHARE * len(late)
