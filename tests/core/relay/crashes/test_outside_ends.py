"""Sound requests while upstream processes end for reasons of their own."""

import attrs
import pytest

from tests.fixtures.crash_simulation import CrashSimulation, OutsideEnds, Scenario

# The bound: of this many sound requests one may be refused.
REQUESTS_PER_REFUSAL = 500

SOUND = Scenario(bad_share=0.0, length_s=30.0, requests_per_s=25.0, dropped_share=0.3)

ENDS = {
    "one by one": [OutsideEnds(at_s=6.0, share=0.5, gap_s=1.0)],
    "all one by one": [OutsideEnds(at_s=6.0, share=1.0, gap_s=2.0)],
    "together": [OutsideEnds(at_s=8.0, share=0.3)],
    "together, again and again": [
        OutsideEnds(at_s=at_s, share=0.3) for at_s in (5.0, 9.0, 13.0, 17.0)
    ],
    "half, not replaced": [OutsideEnds(at_s=8.0, share=0.5, is_replaced=False)],
    "all but one": [OutsideEnds(at_s=8.0, share=0.85)],
    "a third, silently": [OutsideEnds(at_s=8.0, share=0.33, is_silent=True)],
    "single ones": [OutsideEnds(at_s=at_s, share=0.01) for at_s in range(3, 28, 3)],
}
# Most upstreams are lost within three seconds.
MANY_ENDS = [
    OutsideEnds(at_s=8.0, share=0.5, is_replaced=False),
    OutsideEnds(at_s=9.0, share=0.5, gap_s=1.0),
]
SMALL = {"entries": 1, "upstreams": 6}
MIDDLE = {"entries": 5, "upstreams": 9}
LARGE = {"entries": 68, "upstreams": 39, "requests_per_s": 100.0, "length_s": 20.0}


def check(size, seeds, kinds):
    """Play each kind of ends, and check how many sound requests are refused."""
    refusals = sound = 0
    for ends in kinds:
        scenario = attrs.evolve(SOUND, outside_ends=tuple(ends), **size)
        for seed in seeds:
            outcome = CrashSimulation(scenario, seed).run()
            assert outcome.sound_answered >= 0.98 * outcome.sound
            refusals += outcome.refusals
            sound += outcome.sound
    assert refusals * REQUESTS_PER_REFUSAL <= sound


@pytest.mark.parametrize(
    ("size", "seeds"),
    [(SMALL, range(6)), (MIDDLE, range(6)), (LARGE, range(1))],
    ids=["one entry", "five entries", "sixty-eight entries"],
)
def test_sound_requests_are_not_refused_for_ends_of_other_causes(size, seeds):
    """At most one sound request in 500 is refused if none crashes anything."""
    check(size, seeds, ENDS.values())


@pytest.mark.parametrize("size", [SMALL, MIDDLE], ids=["one entry", "five entries"])
def test_sound_requests_are_not_refused_while_most_upstreams_end(size):
    """The bound holds while different causes end most upstreams in turn."""
    check(size, range(6), [MANY_ENDS])


@pytest.mark.explore
@pytest.mark.parametrize("first_seed", range(100, 150, 5))
@pytest.mark.parametrize("size", [SMALL, MIDDLE, LARGE], ids=["1", "5", "68"])
def test_sound_requests_are_not_refused_with_more_seeds(size, first_seed):
    """The bound holds with more seeds."""
    check(size, range(first_seed, first_seed + 5), ENDS.values())
