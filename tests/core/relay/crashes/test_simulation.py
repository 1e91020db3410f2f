"""Bounds on a crashing prompt part, over entries that learn by reports."""

import attrs
import pytest

from tests.fixtures.crash_simulation import (
    BAD_PART,
    CrashSimulation,
    OutsideEnds,
    Scenario,
)

# The rule's bound: requests with the part that are sent later than this after
# its fifth crash, in seconds.
STABLE_WINDOW_S = 3.0
MAX_SENT_AFTER_FIFTH_CRASH = 3

SCENARIOS = {
    "one subject": Scenario(),
    "many subjects": Scenario(has_one_subject=False),
    "many requests": Scenario(bad_share=0.4),
    "few requests": Scenario(bad_share=0.02),
    "few subjects": Scenario(subjects=4),
    "many entries": Scenario(entries=25, upstreams=25, requests_per_s=60.0),
    "one entry": Scenario(entries=1),
    "slow reports": Scenario(max_report_delay_s=2.0),
    "others end one by one": Scenario(
        outside_ends=(OutsideEnds(at_s=2.0, share=1.0, gap_s=2.0),)
    ),
    "others end together": Scenario(
        outside_ends=(
            OutsideEnds(at_s=3.0, share=0.3),
            OutsideEnds(at_s=9.0, share=0.3),
        )
    ),
}


def sent_after_fifth_crash(outcome):
    """Return how often the part was sent after the fifth crash and its window."""
    if len(outcome.crash_times_s) < 5:
        return 0
    limit_s = outcome.crash_times_s[4] + STABLE_WINDOW_S
    return sum(sent_s > limit_s for sent_s in outcome.bad_sent_s)


def check(scenario, seed):
    """Run a scenario, and check what requests with and without the part get."""
    simulation = CrashSimulation(scenario, seed)
    outcome = simulation.run()
    assert sent_after_fifth_crash(outcome) <= MAX_SENT_AFTER_FIFTH_CRASH
    assert outcome.sound_answered >= outcome.sound / 2
    assert not simulation.is_blocked("request-new", "part:all", "part:1")
    if len(outcome.crash_times_s) >= 5:
        subject = f"part:{scenario.subjects // 2}"
        assert simulation.is_contained("request-new", "part:all", subject, BAD_PART)


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("scenario", SCENARIOS.values(), ids=SCENARIOS)
def test_crashing_part_is_contained(scenario, seed):
    """The part stops reaching upstreams, and sound requests are answered."""
    check(scenario, seed)


@pytest.mark.parametrize("seed", range(6))
def test_crashing_part_is_contained_after_a_store_outage(seed):
    """Entries that could not report share what they know after the outage."""
    check(attrs.evolve(Scenario(), outage_s=(0.0, 8.0)), seed)


@pytest.mark.explore
@pytest.mark.parametrize("seed", range(100, 300))
@pytest.mark.parametrize("scenario", SCENARIOS.values(), ids=SCENARIOS)
def test_crashing_part_is_contained_with_more_seeds(scenario, seed):
    """The bounds hold with many more seeds."""
    check(scenario, seed)
