"""Bounds on requests that crash upstreams and come again and again."""

import attrs
import pytest

from tests.fixtures.crash_simulation import (
    CrashSimulation,
    Outcome,
    OutsideEnds,
    Scenario,
)

# The rule's bound: times that one request is sent later than this after the
# third upstream has ended while it ran, in seconds.
STABLE_WINDOW_S = 3.0
MAX_SENT_AFTER_THIRD_CRASH = 3

SMALL_SERVICE = Scenario(
    entries=4,
    upstreams=3,
    requests_per_s=5.0,
    bad_share=0.0,
    length_s=40.0,
    has_parts=False,
)

SCENARIOS = {
    "one": {"crashing_requests": 1},
    "four": {"crashing_requests": 4},
    "four, often": {"crashing_requests": 4, "repeat_interval_s": 0.3},
    "six, often": {"crashing_requests": 6, "repeat_interval_s": 0.3},
    "six, often, two upstreams": {
        "crashing_requests": 6,
        "repeat_interval_s": 0.3,
        "upstreams": 2,
    },
    "six, often, nine upstreams": {
        "crashing_requests": 6,
        "repeat_interval_s": 0.3,
        "upstreams": 9,
    },
    "twelve, often": {"crashing_requests": 12, "repeat_interval_s": 0.3},
    "six, often, late reports": {
        "crashing_requests": 6,
        "repeat_interval_s": 0.3,
        "max_report_delay_s": 2.0,
    },
    "four, many sound": {"crashing_requests": 4, "requests_per_s": 30.0},
    "four, store away": {"crashing_requests": 4, "outage_s": (4.0, 20.0)},
    "four, five copies at once": {
        "crashing_requests": 4,
        "repeat_interval_s": 2.0,
        "copies": 5,
    },
    "four, entries restart": {
        "crashing_requests": 4,
        "restarts_s": (2.0, 5.0, 8.0, 11.0),
    },
    "four, not repeatable": {"crashing_requests": 4, "is_repeatable": False},
    "four, sound ones repeated": {"crashing_requests": 4, "repeated_share": 0.5},
    "four, others end one by one": {
        "crashing_requests": 4,
        "upstreams": 9,
        "outside_ends": (OutsideEnds(at_s=2.0, share=1.0, gap_s=2.0),),
    },
    "four, others end together": {
        "crashing_requests": 4,
        "upstreams": 9,
        "outside_ends": (
            OutsideEnds(at_s=2.0, share=0.3),
            OutsideEnds(at_s=8.0, share=0.3),
        ),
    },
}


def excused_until_s(scenario: Scenario) -> float:
    """Return until when entries are excused for an outage of the store."""
    _, last_s = scenario.outage_s
    return last_s + STABLE_WINDOW_S if last_s else 0.0


def most_sent_after_third_crash(outcome: Outcome, scenario: Scenario) -> int:
    """Return how often a request was sent after its third crash, at most."""
    counts = [0]
    for name, ended_s in outcome.ended_s.items():
        if len(ended_s) >= 3:
            limit_s = max(ended_s[2] + STABLE_WINDOW_S, excused_until_s(scenario))
            counts.append(sum(sent_s > limit_s for sent_s in outcome.sent_s[name]))
    return max(counts)


def check(fields, seeds):
    """Run a scenario, and check what crashing and sound requests get."""
    scenario = attrs.evolve(SMALL_SERVICE, **fields)
    outcomes = {seed: CrashSimulation(scenario, seed).run() for seed in seeds}
    most_sent = {
        seed: most_sent_after_third_crash(outcome, scenario)
        for seed, outcome in outcomes.items()
    }
    over = {
        seed: sent
        for seed, sent in most_sent.items()
        if sent > MAX_SENT_AFTER_THIRD_CRASH
    }
    assert not over
    unserved = [
        seed
        for seed, outcome in outcomes.items()
        if outcome.sound_answered < outcome.sound / 2
    ]
    assert not unserved


@pytest.mark.parametrize("fields", SCENARIOS.values(), ids=SCENARIOS)
def test_crashing_requests_do_not_hide_each_other(fields):
    """A request stops reaching upstreams although others crash the same ones."""
    check(fields, range(12))


@pytest.mark.explore
@pytest.mark.parametrize("fields", SCENARIOS.values(), ids=SCENARIOS)
def test_crashing_requests_do_not_hide_each_other_with_more_seeds(fields):
    """The bounds hold with many more seeds."""
    check(fields, range(100, 300))
