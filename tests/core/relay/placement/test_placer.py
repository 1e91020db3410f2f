"""Tests of the placement by the expected time to the first token."""

import attrs
import pytest

from cardamomnotch_core.relay.fleet import Fleet
from cardamomnotch_core.relay.models import PromptPart
from cardamomnotch_core.relay.placement.first_token import (
    FirstTokenModel,
    QueueEstimate,
)
from cardamomnotch_core.relay.placement.placer import Placer


@pytest.fixture
def states(make_upstream):
    """Return the states of six upstreams in two availability zones."""
    fleet = Fleet()
    for number in range(6):
        zone = "zone-a" if number % 2 else "zone-b"
        fleet.put(make_upstream(f"up-{number}", zone=zone), 0.0)
    return list(fleet)


@pytest.fixture
def make_prompt_request(make_facts):
    """Return a function that builds a request with a shared prompt prefix."""

    def make(shared, own="own"):
        return make_facts(
            prompt=(
                PromptPart(part_id=shared, tokens=10_000),
                PromptPart(part_id=own, tokens=1_000),
            ),
            prompt_tokens=11_000,
        )

    return make


def read(placer, state, facts, now_s=0.0):
    """Record that the upstream of ``state`` has read a prompt."""
    placer.record_sent(state, facts, facts, "m", now_s)
    placer.prompt_caches.record_read(state.upstream_id, facts, now_s)


def test_same_prompt_prefix_goes_to_the_same_upstream(states, make_prompt_request):
    """Entries choose the same upstream without communication."""
    chosen = {
        Placer(zone)
        .choose(states, make_prompt_request("a", own), "m", 0, 0.0)
        .state.upstream_id
        for zone in ("zone-a", "zone-b")
        for own in ("x", "y", "z")
    }
    assert len(chosen) == 1


def test_prompt_prefixes_spread_over_all_upstreams(states, make_prompt_request):
    """Requests with many different prompt prefixes use every upstream."""
    placer = Placer("zone-a")
    chosen = {
        placer.choose(
            states, make_prompt_request(f"part-{n}"), "m", 0, 0.0
        ).state.upstream_id
        for n in range(60)
    }
    assert len(chosen) == 6


def test_busy_upstream_is_avoided(states, make_prompt_request):
    """A request moves if the wait is longer than the prefill elsewhere."""
    placer = Placer("zone-a")
    first = placer.choose(states, make_prompt_request("a"), "m", 0, 0.0)
    first.state.queue.start("key", 0.0, 0.0)
    second = placer.choose(states, make_prompt_request("a"), "m", 0, 1.0)
    assert second.state is not first.state


def test_upstream_with_a_cached_prefix_is_preferred(states, make_prompt_request):
    """An upstream that has read the prefix with the same model is chosen."""
    placer = Placer("zone-a")
    chosen = placer.choose(states, make_prompt_request("a"), "m", 0, 0.0).state
    other = next(state for state in states if state is not chosen)
    read(placer, other, make_prompt_request("a"))
    placement = placer.choose(states, make_prompt_request("a", "new"), "m", 0, 0.0)
    assert placement.state is other
    assert placement.cached_tokens == 10_000
    assert (
        placer.choose(states, make_prompt_request("a"), "n", 0, 0.0).cached_tokens == 0
    )


def test_penalized_upstream_comes_last(states, make_prompt_request):
    """An upstream that failed is used only if there is no other."""
    placer = Placer("zone-a")
    chosen = placer.choose(states, make_prompt_request("a"), "m", 0, 0.0).state
    chosen.record_failure(0.0)
    assert (
        placer.choose(states, make_prompt_request("a"), "m", 0, 0.5).state is not chosen
    )
    assert (
        placer.choose([chosen], make_prompt_request("a"), "m", 0, 0.5).state is chosen
    )


def test_large_body_stays_in_its_zone(states, make_prompt_request):
    """A large body goes to an upstream in the entry's availability zone."""
    placer = Placer("zone-a")
    chosen = {
        placer.choose(
            states, make_prompt_request(f"part-{n}"), "m", 1_000_000, 0.0
        ).state.upstream.zone
        for n in range(20)
    }
    assert chosen == {"zone-a"}


def test_first_token_time_is_learned_by_model():
    """The base time and each model's prefill time are learned from samples."""
    model = FirstTokenModel()
    for tokens in range(100, 20_000, 150):
        model.update("fast", tokens, 57 + 0.0095 * tokens)
        model.update("slow", tokens, 57 + 0.07 * tokens)
    assert model.expected_ms("fast", 9_000) == pytest.approx(142, rel=0.2)
    assert model.expected_ms("slow", 9_000) == pytest.approx(687, rel=0.2)
    assert model.expected_ms("slow", 0) == pytest.approx(57, rel=0.2)


def test_wait_grows_while_a_first_token_is_overdue():
    """The expected wait grows until the request is removed."""
    queue = QueueEstimate()
    queue.start("key", 100.0, 0.0)
    assert queue.waiting_ms(0.05) == pytest.approx(50)
    assert queue.waiting_ms(1.1) == pytest.approx(1_000)
    queue.finish("key", 1.1, answered=False)
    assert queue.waiting_ms(1.1) == 0.0


def test_prompts_are_read_one_after_the_other():
    """The next request waits for all earlier prompts to be read."""
    queue = QueueEstimate()
    queue.start("one", 400.0, 0.0)
    queue.start("two", 200.0, 0.0)
    assert queue.waiting_ms(0.1) == pytest.approx(500)
    queue.finish("one", 0.4, answered=True)
    assert queue.waiting_ms(0.5) == pytest.approx(100)


def test_slowdown_is_measured_and_decays():
    """Late first tokens lengthen the expected wait for a while."""
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
    """Requests without a prompt do not wait while there are free slots."""
    queue = QueueEstimate()
    for number in range(3):
        queue.start(number, 40.0, 0.0, 6)
    assert queue.waiting_ms(0.0, 6) == 0.0


def test_many_upstreams_are_not_all_compared(make_upstream, make_prompt_request):
    """Among many upstreams, those with the prompt prefix are compared.

    Busy ones are still avoided, and different requests use many upstreams.
    """
    fleet = Fleet()
    for number in range(300):
        fleet.put(make_upstream(f"up-{number}"), 0.0)
    upstreams = list(fleet)
    placer = Placer("zone-a")
    first = placer.choose(upstreams, make_prompt_request("a", "x"), "m", 0, 0.0)
    read(placer, first.state, make_prompt_request("a", "x"))
    second = placer.choose(upstreams, make_prompt_request("a", "y"), "m", 0, 0.0)
    assert second.state is first.state
    assert second.unread_tokens == 1_000
    first.state.queue.start("key", 5_000.0, 0.0)
    assert (
        placer.choose(upstreams, make_prompt_request("a", "z"), "m", 0, 0.0).state
        is not first.state
    )
    requests = [
        attrs.evolve(make_prompt_request(f"part-{n}"), request_id=f"request-{n}")
        for n in range(200)
    ]
    chosen = {
        placer.choose(upstreams, request, "m", 0, 0.0).state.upstream_id
        for request in requests
    }
    assert len(chosen) > 100
