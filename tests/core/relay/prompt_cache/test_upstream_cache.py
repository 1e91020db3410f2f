"""Tests of the estimate of one upstream's prompt cache."""

from collections import OrderedDict

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cardamomnotch_core.relay.const import MAX_ATTEMPT_S
from cardamomnotch_core.relay.prompt_cache.const import (
    BEING_READ_CHANCE,
    READ_AFTER_S,
)
from cardamomnotch_core.relay.prompt_cache.models import PromptRun
from cardamomnotch_core.relay.prompt_cache.upstream_cache import UpstreamCache

MEMORY_TOKENS = 10_000


def run_of(*parts, own_tokens=0, held_tokens=0, model="m", sent_at_s=0.0):
    """Return a request with the prompt ``parts``, as pairs of name and tokens."""
    key, prefixes = "", []
    for name, tokens in parts:
        key = f"{key},{name}"
        prefixes.append((key, tokens))
    return PromptRun(model, tuple(prefixes), own_tokens, held_tokens, sent_at_s)


def read(cache, run, key="key", now_s=0.0):
    """Let the upstream read a prompt, and end the request."""
    cache.record_sent(key, run)
    cache.record_read(key, now_s)
    cache.record_ended(key)


def cached(cache, run, now_s=0.0):
    """Return what is cached of a request's prompt."""
    return cache.expected_cached(run.model, run.prefixes, now_s)


@pytest.fixture
def cache():
    """Return the cache of an upstream that states its memory."""
    return UpstreamCache(MEMORY_TOKENS, 0)


# The tokens of a part follow from its name, as a name stands for a text.
PARTS = st.sampled_from([(name, 400 * number) for number, name in enumerate("abcdefg")])
RUNS = st.builds(
    lambda parts, own, held, model: run_of(
        *parts, own_tokens=own, held_tokens=held, model=model
    ),
    st.lists(PARTS, min_size=1, max_size=4),
    st.integers(0, 4_000),
    st.integers(0, 6_000),
    st.sampled_from(["m", "n"]),
)
STEPS = st.lists(
    st.tuples(st.sampled_from(["sent", "read", "ended"]), st.integers(0, 5), RUNS),
    max_size=60,
)


def apply_steps(cache, steps):
    """Apply steps to a cache, and yield after each."""
    for kind, key, run in steps:
        if kind == "sent":
            cache.record_sent(key, run)
        elif kind == "read":
            cache.record_read(key, 0.0)
        else:
            cache.record_ended(key)
        yield run


@given(steps=STEPS, memory_tokens=st.integers(0, 12_000))
def test_no_more_tokens_than_memory(steps, memory_tokens):
    """Parts that do not fit beside the running requests never count as cached."""
    cache = UpstreamCache(memory_tokens, 5_000, max_parts=12)
    for _ in apply_steps(cache, steps):
        limit = memory_tokens - cache.running_tokens if memory_tokens else 5_000
        assert 0 <= cache.tokens <= max(0, limit)
        assert len(cache) <= 12


@given(steps=STEPS)
def test_prefix_without_its_beginning_is_not_cached(steps):
    """A later part that outlasts an earlier one saves nothing."""
    cache = UpstreamCache(MEMORY_TOKENS, 0)
    for run in apply_steps(cache, steps):
        expected = 0
        for depth in range(1, len(run.prefixes) + 1):
            known = cache.expected_cached(run.model, run.prefixes[:depth], 0.0)
            assert 0 <= known.chance <= 1
            assert known.expected_tokens >= expected
            expected = known.expected_tokens
        first = cache.expected_cached(run.model, run.prefixes[:1], 0.0)
        if run.prefixes[0][1] and not first.tokens:
            assert cached(cache, run).tokens == 0


@given(names=st.lists(st.sampled_from("abcdefghij"), max_size=60))
def test_least_recently_used_parts_are_evicted_first(names):
    """The parts that stay are those of an LRU cache of the same size."""
    cache, reference = UpstreamCache(MEMORY_TOKENS, 0), OrderedDict()
    for name in names:
        tokens = 700 + 300 * (ord(name) - ord("a"))
        read(cache, run_of((name, tokens)))
        reference[name] = tokens
        reference.move_to_end(name)
        while sum(reference.values()) > MEMORY_TOKENS:
            reference.popitem(last=False)
    assert cache.tokens == sum(reference.values())
    held = {name for name in "abcdefghij" if cached(cache, run_of((name, 1))).tokens}
    assert held == set(reference)


@given(sizes=st.lists(st.integers(0, 3_000), max_size=20))
def test_chance_falls_with_what_is_read(sizes):
    """Prompts that are read at the upstream make a cached part less sure."""
    cache = UpstreamCache(MEMORY_TOKENS, 0)
    run = run_of(("a", 1_000))
    read(cache, run)
    chance = cached(cache, run).chance
    assert chance == 1.0
    for size in sizes:
        read(cache, run_of((f"part-{size}", 10), own_tokens=size))
        assert cached(cache, run).chance <= chance
        chance = cached(cache, run).chance
    if sum(sizes) > 2 * MEMORY_TOKENS:
        assert chance == 0.0


def test_prompt_counts_once_its_prefill_has_ended(cache):
    """A prompt that was sent is not sure to be cached before it has been read."""
    run = run_of(("a", 1_000))
    cache.record_sent("key", run)
    assert cached(cache, run).chance == BEING_READ_CHANCE
    assert cache.tokens == 0
    cache.record_read("key", 0.3)
    assert cached(cache, run, 0.3).expected_tokens == 1_000


def test_prompt_without_a_first_token_is_not_cached(cache):
    """A request that ends before its first token leaves nothing."""
    run = run_of(("a", 1_000))
    cache.record_sent("key", run)
    cache.record_ended("key")
    assert cached(cache, run).tokens == 0


def test_lost_notice_of_the_first_token(cache):
    """A prompt sent long ago counts as read although no first token was reported."""
    run = run_of(("a", 1_000))
    cache.record_sent("key", run)
    assert cached(cache, run, READ_AFTER_S).expected_tokens == 1_000


def test_lost_notice_of_the_end(cache):
    """The memory of a request without an end notice is released in time."""
    cache.record_sent("key", run_of(("a", 1_000), held_tokens=9_500))
    assert cache.capacity == 500
    assert cached(cache, run_of(("a", 1)), MAX_ATTEMPT_S).tokens == 0
    assert cache.capacity == MEMORY_TOKENS


def test_running_requests_evict_cached_parts(cache):
    """Memory that running requests take is not available for cached parts."""
    first, second = run_of(("a", 4_000)), run_of(("b", 4_000))
    read(cache, first)
    read(cache, second)
    cache.record_sent("key", run_of(("c", 10), held_tokens=5_000))
    assert cached(cache, first).tokens == 0
    assert cached(cache, second).tokens == 4_000


def test_parts_are_cached_by_model(cache):
    """A part that one model has read is not cached for another."""
    read(cache, run_of(("a", 1_000)))
    assert cached(cache, run_of(("a", 1_000), model="n")).tokens == 0


def test_requests_of_a_lost_entry_are_removed(cache):
    """Requests of an entry that is gone hold no memory and are not read."""
    run = run_of(("a", 1_000), held_tokens=1_000)
    cache.record_sent(("entry-b", 1), run)
    cache.remove_matching(lambda key: key[0] == "entry-b")
    assert cache.running_tokens == 0
    assert cached(cache, run).tokens == 0


def test_eviction_is_valued_by_use(cache):
    """Parts that are in use cost more to evict than parts that are not."""
    run = run_of(("a", 9_000))
    read(cache, run)
    assert not list(cache.would_evict(500, 0.0))
    (soon,) = cache.would_evict(2_000, 1.0)
    (later,) = cache.would_evict(2_000, 100.0)
    assert 0 < later.uses < soon.uses <= 1.0
