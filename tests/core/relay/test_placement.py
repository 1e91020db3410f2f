"""Placing by expected time to the first token."""

import attrs
import pytest

from cardamomnotch_core.relay.first_token import FirstTokenModel, QueueEstimate
from cardamomnotch_core.relay.fleet import Fleet
from cardamomnotch_core.relay.models import PromptPart
from cardamomnotch_core.relay.placement import (
    Placer,
    PromptCacheEstimate,
    list_prefixes,
)


@pytest.fixture
def states(make_upstream):
    """Return the states of six upstreams in two availability zones."""
    fleet = Fleet()
    for number in range(6):
        zone = "zone-a" if number % 2 else "zone-b"
        fleet.put(make_upstream(f"up-{number}", zone=zone), 0.0)
    return list(fleet)


@pytest.fixture
def draft(make_facts):
    """Return a request whose prompt begins with a shared part."""

    def make(shared, own="own"):
        return make_facts(
            prompt=(
                PromptPart(part_id=shared, tokens=10_000),
                PromptPart(part_id=own, tokens=1_000),
            ),
            prompt_tokens=11_000,
        )

    return make


def test_same_beginning_goes_to_the_same_upstream(states, draft):
    """Two entries that know nothing of each other choose the same upstream."""
    chosen = {
        Placer(zone).choose(states, draft("a", own), "m", 0, 0.0).state.upstream_id
        for zone in ("zone-a", "zone-b")
        for own in ("x", "y", "z")
    }
    assert len(chosen) == 1


def test_beginnings_spread(states, draft):
    """Many beginnings use every upstream."""
    placer = Placer("zone-a")
    chosen = {
        placer.choose(states, draft(f"part-{n}"), "m", 0, 0.0).state.upstream_id
        for n in range(60)
    }
    assert len(chosen) == 6


def test_busy_upstream_is_left(states, draft):
    """A delay longer than the reading of the prompt moves a request."""
    placer = Placer("zone-a")
    first = placer.choose(states, draft("a"), "m", 0, 0.0)
    first.state.queue.start("key", 0.0, 0.0)
    second = placer.choose(states, draft("a"), "m", 0, 1.0)
    assert second.state is not first.state


def test_remembered_beginning_attracts(states, draft):
    """An upstream that has read a beginning goes before the others."""
    placer = Placer("zone-a")
    home = placer.choose(states, draft("a"), "m", 0, 0.0).state
    other = next(state for state in states if state is not home)
    placer.record_sent(other, draft("a").prompt, "m")
    placement = placer.choose(states, draft("a", "new"), "m", 0, 0.0)
    assert placement.state is other
    assert placement.cached_tokens == 10_000
    assert placer.choose(states, draft("a"), "n", 0, 0.0).cached_tokens == 0


def test_penalized_upstream_comes_last(states, draft):
    """An upstream that failed gets work only if no other is there."""
    placer = Placer("zone-a")
    home = placer.choose(states, draft("a"), "m", 0, 0.0).state
    home.record_failure(0.0)
    assert placer.choose(states, draft("a"), "m", 0, 0.5).state is not home
    assert placer.choose([home], draft("a"), "m", 0, 0.5).state is home


def test_large_body_stays_in_its_zone(states, draft):
    """Bytes between availability zones count against an upstream."""
    placer = Placer("zone-a")
    chosen = {
        placer.choose(
            states, draft(f"part-{n}"), "m", 1_000_000, 0.0
        ).state.upstream.zone
        for n in range(20)
    }
    assert chosen == {"zone-a"}


def test_memory_is_bounded(draft):
    """The least recently used beginnings are forgotten first."""
    prompt_cache = PromptCacheEstimate(max_tokens=25_000)
    for name in ("a", "b", "a", "c"):
        prompt_cache.record_read("m", draft(name).prompt)
    assert (
        prompt_cache.cached_tokens("m", list_prefixes(draft("c", "new").prompt))
        == 10_000
    )
    assert prompt_cache.cached_tokens("m", list_prefixes(draft("b", "new").prompt)) == 0


def test_speed_is_learned_by_model():
    """A slow model's first token is expected later than a fast one's."""
    model = FirstTokenModel()
    for tokens in range(100, 20_000, 150):
        model.update("fast", tokens, 57 + 0.0095 * tokens)
        model.update("slow", tokens, 57 + 0.07 * tokens)
    assert model.expected_ms("fast", 9_000) == pytest.approx(142, rel=0.2)
    assert model.expected_ms("slow", 9_000) == pytest.approx(687, rel=0.2)
    assert model.expected_ms("slow", 0) == pytest.approx(57, rel=0.2)


def test_queue_grows_while_a_first_token_is_overdue():
    """A silent upstream looks worse each moment."""
    queue = QueueEstimate()
    queue.start("key", 100.0, 0.0)
    assert queue.waiting_ms(0.05) == pytest.approx(50)
    assert queue.waiting_ms(1.1) == pytest.approx(1_000)
    queue.finish("key", 1.1, answered=False)
    assert queue.waiting_ms(1.1) == 0.0


def test_prompts_are_read_one_after_the_other():
    """The next request waits for all that stands before it."""
    queue = QueueEstimate()
    queue.start("one", 400.0, 0.0)
    queue.start("two", 200.0, 0.0)
    assert queue.waiting_ms(0.1) == pytest.approx(500)
    queue.finish("one", 0.4, answered=True)
    assert queue.waiting_ms(0.5) == pytest.approx(100)


def test_slowdown_is_seen_and_forgotten():
    """An upstream that takes long is expected to, for a while."""
    queue = QueueEstimate()
    for number in range(6):
        queue.start(number, 100.0, float(number))
        queue.finish(number, number + 0.5, answered=True)
    queue.start("next", 100.0, 6.0)
    soon_ms = queue.waiting_ms(6.0)
    assert soon_ms > 150
    queue.finish("next", 6.0, answered=False)
    queue.start("later", 100.0, 60.0)
    assert queue.waiting_ms(60.0) == pytest.approx(100, rel=0.01)


def test_parallel_slots_leave_no_wait():
    """A plain service begins as many requests at once as it has slots."""
    queue = QueueEstimate()
    for number in range(3):
        queue.start(number, 40.0, 0.0, 6)
    assert queue.waiting_ms(0.0, 6) == 0.0


def test_many_upstreams_are_not_all_compared(make_upstream, draft):
    """Among many, holders of a beginning are found, and load still moves away."""
    fleet = Fleet()
    for number in range(300):
        fleet.put(make_upstream(f"up-{number}"), 0.0)
    many = list(fleet)
    placer = Placer("zone-a")
    first = placer.choose(many, draft("a", "x"), "m", 0, 0.0)
    placer.record_sent(first.state, draft("a", "x").prompt, "m")
    second = placer.choose(many, draft("a", "y"), "m", 0, 0.0)
    assert second.state is first.state
    assert second.unread_tokens == 1_000
    first.state.queue.start("key", 5_000.0, 0.0)
    assert placer.choose(many, draft("a", "z"), "m", 0, 0.0).state is not first.state
    requests = [
        attrs.evolve(draft(f"part-{n}"), request_id=f"request-{n}") for n in range(200)
    ]
    chosen = {
        placer.choose(many, request, "m", 0, 0.0).state.upstream_id
        for request in requests
    }
    assert len(chosen) > 100
