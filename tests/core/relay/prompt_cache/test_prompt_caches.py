"""Tests of the prompt caches of all upstreams, as an entry knows them."""

import itertools
import sys

import pytest

from cardamomnotch_core.relay.limits import RelayLimits
from cardamomnotch_core.relay.models import PromptPart, Service
from cardamomnotch_core.relay.node import RelayIdentity, RelayNode
from cardamomnotch_core.relay.prompt_cache.const import (
    CACHED_PROMPT_TOKENS,
    MAX_CACHED_PARTS,
)
from cardamomnotch_core.relay.prompt_cache.models import list_prefixes
from cardamomnotch_core.relay.prompt_cache.prompt_caches import PromptCaches
from cardamomnotch_core.relay.store_changes import changes

# Memory for the prompt caches of an entry with 1,000 upstreams, in bytes: half of
# what its control may use.
MAX_BYTES = 16_000_000


@pytest.fixture
def make_prompt_request(make_facts):
    """Return a function that builds a request with a shared prompt prefix."""

    def make(shared="a", own="own", **fields):
        return make_facts(
            prompt=(
                PromptPart(part_id=shared, tokens=10_000),
                PromptPart(part_id=own, tokens=1_000),
            ),
            prompt_tokens=11_000,
            **fields,
        )

    return make


@pytest.fixture
def make_node(make_document, make_upstream):
    """Return a function that builds an entry whose service states its memory."""

    def make(name="entry-a", upstream_ids=("up-0", "up-1"), token_capacity=50_000):
        node = RelayNode(
            RelayIdentity(name=name, zone="zone-a", incarnation="1"), RelayLimits()
        )
        document = make_document()
        document.services["drafts"] = Service(
            name="drafts", token_capacity=token_capacity
        )
        node.apply(changes.DocumentWritten(document=document), 0.0)
        for upstream_id in upstream_ids:
            upstream = make_upstream(upstream_id)
            node.apply(changes.UpstreamListed(upstream=upstream), 0.0)
        return node

    return make


def run_request(node, facts, now_s):
    """Place a request and record its first token; return its placement."""
    service = node.routes.document.services["drafts"]
    placement = node.place(service, facts, "m", 0, now_s)
    node.attempts.record_sent(placement, facts, "m", facts, now_s)
    node.attempts.record_first_byte(placement, "m", facts, 0.2, now_s + 0.2)
    return placement


@pytest.mark.parametrize(
    ("token_capacity", "expected"),
    [(0, CACHED_PROMPT_TOKENS), (50_000, 50_000 - 11_080)],
    ids=["memory not stated", "memory less what runs"],
)
def test_capacity_follows_the_service(
    make_node, make_prompt_request, token_capacity, expected
):
    """The cache has what the service states, less running requests' tokens."""
    node = make_node(token_capacity=token_capacity)
    facts = make_prompt_request(expected_output_tokens=80)
    placement = run_request(node, facts, 0.0)
    cache = node.prompt_caches.caches[placement.state.upstream_id]
    assert cache.capacity == expected


def test_restart_of_an_upstream_empties_its_cache(
    make_node, make_upstream, make_prompt_request
):
    """A new process under the same id has nothing cached."""
    node = make_node()
    facts = make_prompt_request()
    upstream_id = run_request(node, facts, 0.0).state.upstream_id
    prefixes = tuple(list_prefixes(facts.prompt))
    known = node.prompt_caches.expected_cached(upstream_id, "m", prefixes, 1.0)
    assert known.expected_tokens == 11_000
    node.apply(
        changes.UpstreamListed(upstream=make_upstream(upstream_id, started_ms=2)), 1.0
    )
    known = node.prompt_caches.expected_cached(upstream_id, "m", prefixes, 1.0)
    assert known.tokens == 0


def test_entries_that_start_at_once_find_the_same_upstreams(
    make_node, make_prompt_request
):
    """Without knowledge, a prefix is placed where it was, whatever the order.

    Otherwise a start of all entries makes all prefixes be read again.
    """
    ids = [f"up-{number}" for number in range(300)]
    before, after = make_node("entry-a", ids), make_node("entry-b", ids[::-1])
    for number in range(50):
        facts = [
            make_prompt_request(f"part-{number}", request_id=f"{name}-{number}")
            for name in ("before", "after")
        ]
        placements = [
            node.place(
                node.routes.document.services["drafts"], item, "m", 0, float(number)
            )
            for node, item in zip((before, after), facts, strict=True)
        ]
        assert len({item.state.upstream_id for item in placements}) == 1


def test_expired_entry_holds_no_memory(make_node, make_prompt_request):
    """The requests of an entry that is gone do not take from the cache."""
    node = make_node()
    prefixes = tuple(list_prefixes(make_prompt_request().prompt[:-1]))
    caches = node.prompt_caches
    caches.record_sent_by_other("up-0", "drafts", ("entry-b", 1), prefixes, "m", 0.0)
    assert caches.caches["up-0"].capacity == 40_000
    node.apply(changes.EntryExpired(entry="entry-b"), 0.1)
    assert caches.caches["up-0"].capacity == 50_000


def test_plain_requests_are_not_recorded(make_facts):
    """Requests without a prompt take no place in the estimate."""
    caches = PromptCaches()
    caches.record_sent("up-0", "drafts", "key", make_facts(), "", 0.0)
    caches.record_sent_by_other("up-0", "drafts", ("entry-b", 1), (), "", 0.0)
    assert not caches.caches


def test_memory_is_bounded_at_a_thousand_upstreams(make_prompt_request):
    """The parts stored do not grow with upstreams times prompts."""
    caches = PromptCaches(lambda service: 100_000_000)
    for number in range(60_000):
        facts = make_prompt_request(f"part-{number}", f"own-{number}")
        upstream_id = f"up-{number % 1_000}"
        caches.record_sent(upstream_id, "drafts", number, facts, "m", 0.0)
        caches.record_read(upstream_id, number, 0.0)
        caches.record_ended(upstream_id, number)
    assert sum(map(len, caches.caches.values())) <= MAX_CACHED_PARTS
    assert sum(map(size_of_parts, caches.caches.values())) < MAX_BYTES


def size_of_parts(cache):
    """Return the bytes of a cache's parts, keys and table."""
    items = itertools.chain.from_iterable(
        (key, *key, part, part.used_at_s, part.uses)
        for key, part in cache._parts.items()
    )
    return sys.getsizeof(cache._parts) + sum(map(sys.getsizeof, items))
