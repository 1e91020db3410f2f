"""Tests of the choice between a cached prompt and a shorter wait."""

import attrs
import pytest

from cardamomnotch_core.relay.fleet import Fleet
from cardamomnotch_core.relay.models import PromptPart
from cardamomnotch_core.relay.placement.placer import Placer
from cardamomnotch_core.relay.prompt_cache.const import (
    BEING_READ_CHANCE,
    MAX_PREFIX_UPSTREAMS,
)
from cardamomnotch_core.relay.upstream_estimates.coordinator import (
    UpstreamEstimates,
)
from cardamomnotch_core.relay.upstream_estimates.models import FirstTokenEstimate

PREFILL_MS_PER_TOKEN = 0.1
SAVED_MS = 13_000 * PREFILL_MS_PER_TOKEN


@pytest.fixture
def states(make_upstream):
    """Return the states of twelve upstreams of one availability zone."""
    fleet = Fleet()
    for number in range(12):
        fleet.put(make_upstream(f"up-{number}"), 0.0)
    return list(fleet)


class FixedEstimates(UpstreamEstimates):
    """Estimates of an engine that reads prompts one after the other."""

    def first_token(self, state, facts, model, unread_tokens, now_s):
        """Return the prefill time, and the wait for the prompts before."""
        if not facts.prompt_tokens:
            return super().first_token(state, facts, model, unread_tokens, now_s)
        return FirstTokenEstimate(
            self.prefill_ms(state.upstream.service, model, unread_tokens),
            state.queue.waiting_ms(now_s),
        )

    def prefill_ms(self, service, model, unread_tokens):
        """Return the time of a prompt on an idle upstream."""
        return 50.0 + unread_tokens * PREFILL_MS_PER_TOKEN


@pytest.fixture
def placer():
    """Return a placer that knows how long a prompt takes to read."""
    return Placer("zone-a", estimates=FixedEstimates())


@pytest.fixture
def make_prompt_request(make_facts):
    """Return a function that builds a request; without a shared part if it is ""."""

    def make(shared="a", number=0, own_tokens=1_000):
        parts = [PromptPart(part_id=shared, tokens=13_000)] if shared else []
        parts.append(PromptPart(part_id=f"own-{number}", tokens=own_tokens))
        return make_facts(
            f"request-{number}",
            prompt=tuple(parts),
            prompt_tokens=sum(part.tokens for part in parts),
        )

    return make


def read(placer, state, facts, now_s=0.0):
    """Let an upstream read a prompt."""
    placer.record_sent(state, facts, facts, "m", now_s)
    placer.prompt_caches.record_read(state.upstream_id, facts, now_s)
    placer.prompt_caches.record_ended(state.upstream_id, facts)


@pytest.mark.parametrize(
    ("wait_ms", "stays"),
    [(0.3 * SAVED_MS, True), (2 * SAVED_MS, False)],
    ids=["wait shorter than the time saved", "wait longer than the time saved"],
)
def test_cached_prefix_is_weighed_against_the_wait(
    placer, states, make_prompt_request, wait_ms, stays
):
    """A request leaves an upstream that has its prefix if the wait costs more."""
    read(placer, states[3], make_prompt_request())
    states[3].queue.start("key", wait_ms, 1.0)
    placement = placer.choose(states, make_prompt_request("a", 1), "m", 0, 1.0)
    assert (placement.state is states[3]) == stays
    if stays:
        assert placement.saved_ms == pytest.approx(SAVED_MS, rel=0.05)


def test_popular_prefix_stays_on_its_upstreams(placer, states, make_prompt_request):
    """Each further upstream of a prefix needs a longer wait at the others.

    Otherwise all upstreams read a popular prefix, and evict others for it.
    """
    wait_ms = 1.4 * SAVED_MS
    for state in states[:MAX_PREFIX_UPSTREAMS]:
        read(placer, state, make_prompt_request())
    for state in states[:MAX_PREFIX_UPSTREAMS]:
        state.queue.start("key", wait_ms, 1.0)
    placement = placer.choose(states, make_prompt_request("a", 1), "m", 0, 1.0)
    assert placement.state in states[:MAX_PREFIX_UPSTREAMS]
    for state in states[1:MAX_PREFIX_UPSTREAMS]:
        placer.prompt_caches.forget(state.upstream_id)
    placement = placer.choose(states, make_prompt_request("a", 1), "m", 0, 1.0)
    assert placement.state not in states[:MAX_PREFIX_UPSTREAMS]


def test_long_prompt_avoids_an_upstream_where_many_run(
    placer, states, make_prompt_request
):
    """What a prefill delays counts, so that a long prompt is read beside few."""
    facts = make_prompt_request("", 1, own_tokens=20_000)
    first, second = states[:2]
    first.in_flight, second.in_flight = 50, 10
    # The shorter queue makes up for the running requests' part of the wait.
    second.queue.start("key", 8.0 * 40 + 300, 0.0)
    placement = placer.choose([first, second], facts, "m", 0, 0.0)
    assert placement.state is second
    assert placement.delay_ms > 0
    short = make_prompt_request("", 1, own_tokens=20)
    assert placer.choose([first, second], short, "m", 0, 0.0).state is first


def test_prefix_in_use_is_not_evicted_for_a_prompt(make_upstream, make_prompt_request):
    """A prompt is read where it evicts nothing that is used."""
    fleet = Fleet()
    for number in range(2):
        fleet.put(make_upstream(f"up-{number}"), 0.0)
    states = list(fleet)
    placer = Placer("zone-a")
    for full, free in (states, states[::-1]):
        placer.forget(full.upstream_id)
        placer.forget(free.upstream_id)
        for number in range(23):
            read(placer, full, make_prompt_request(f"part-{number}", -1, own_tokens=1))
        facts = make_prompt_request("new", 1)
        placement = placer.choose(states, facts, "m", 0, 0.0)
        assert placement.state is free


def test_second_request_waits_for_a_prompt_that_is_being_read(
    placer, states, make_prompt_request
):
    """A prefix that is being read is not read at another upstream at the same time."""
    first = placer.choose(states, make_prompt_request(), "m", 0, 0.0)
    placer.record_sent(first.state, "key", make_prompt_request(), "m", 0.0)
    first.state.queue.start("key", first.prefill_ms, 0.0)
    second = placer.choose(states, make_prompt_request("a", 1), "m", 0, 0.9)
    assert second.state is first.state
    assert second.cached_tokens == BEING_READ_CHANCE * 13_000


def test_prompts_without_a_shared_part_spread(placer, states, make_prompt_request):
    """Entries that decide on the same notices do not all take one upstream."""
    chosen = {
        placer.choose(states, make_prompt_request("", n), "m", 0, 0.0).state.upstream_id
        for n in range(100)
    }
    assert len(chosen) == len(states)


def test_near_ties_keep_equal_prompts_together(placer, states, make_prompt_request):
    """Entries with slightly different notices send a new prefix to one upstream."""
    facts = make_prompt_request()
    home = placer.choose(states, facts, "m", 0, 0.0).state
    home.queue.start("key", 10.0, 0.0)
    assert placer.choose(states, facts, "m", 0, 0.0).state is home


def test_near_ties_do_not_leave_the_zone(make_upstream, make_prompt_request):
    """A cost that is nearly the same is no reason to cross zones."""
    fleet = Fleet()
    for number in range(6):
        zone = "zone-a" if number % 2 else "zone-b"
        fleet.put(make_upstream(f"up-{number}", zone=zone), 0.0)
    placer = Placer("zone-a")
    for number in range(20):
        facts = make_prompt_request(f"part-{number}", number)
        chosen = placer.choose(list(fleet), facts, "m", 1_000, 0.0).state
        assert chosen.upstream.zone == "zone-a"


def test_plain_requests_take_the_lowest_cost(placer, states, make_facts):
    """Requests without a prompt are placed by wait alone, as ever."""
    for number, state in enumerate(states):
        state.in_flight = 5 + number % 4
    states[7].in_flight = 4
    placement = placer.choose(states, make_facts(), "", 0, 0.0)
    assert placement.state is states[7]
    assert placement.cost_ms == placement.expected_ms
    assert placement.saved_ms == 0.0


@pytest.mark.parametrize("reason", ["penalized", "avoided", "limited"])
def test_exclusions_come_before_a_cached_prefix(
    states, make_prompt_request, make_upstream, reason
):
    """An upstream that may not be used is not chosen for what it has cached."""
    avoided = states[3].upstream if reason == "avoided" else None
    placer = Placer("zone-a", lambda upstream, now_s: upstream is avoided)
    read(placer, states[3], make_prompt_request())
    if reason == "penalized":
        states[3].record_failure(0.0)
    may_send = None
    if reason == "limited":

        def may_send(state):
            return state is not states[3]

    facts = attrs.evolve(make_prompt_request("a", 1))
    assert placer.choose(states, facts, "m", 0, 0.1, may_send).state is not states[3]
