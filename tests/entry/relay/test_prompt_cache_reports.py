"""What an entry reports of cached prompts: log, metrics and state dump."""

from types import SimpleNamespace

import pytest

from cardamomnotch_core.relay.limits import RelayLimits
from cardamomnotch_core.relay.models import PromptPart, RequestFacts, Service, Upstream
from cardamomnotch_core.relay.node import RelayIdentity, RelayNode
from cardamomnotch_core.relay.store_changes import changes
from cardamomnotch_entry.relay.attempts import Attempt
from cardamomnotch_entry.relay.diagnostics import diagnostics
from cardamomnotch_entry.relay.metrics import RelayMetrics
from cardamomnotch_runtime.caller_limits.guard import CallerGuard
from cardamomnotch_runtime.caller_limits.settings import ProcessSettings

FACTS = RequestFacts(
    request_id="request-1",
    fingerprint="print",
    prompt=(
        PromptPart(part_id="shared", tokens=10_000),
        PromptPart(part_id="own", tokens=1_000),
    ),
    prompt_tokens=11_000,
)


@pytest.fixture
def node():
    """Return an entry with one upstream, which has read a prompt."""
    identity = RelayIdentity(name="entry-a", zone="zone-a", incarnation="1")
    node = RelayNode(identity, RelayLimits())
    upstream = Upstream(
        upstream_id="up-0",
        service="drafts",
        address="10.0.0.1:80",
        zone="zone-b",
        version="v1",
        slots=64,
    )
    node.apply(changes.UpstreamListed(upstream=upstream), 0.0)
    placement = place(node, 0.0)
    node.attempts.record_sent(placement, FACTS, "m", "key", 0.0)
    node.attempts.record_first_byte(placement, "m", "key", 0.2, 0.2)
    return node


def place(node, now_s):
    """Return the placement of a request at the only upstream."""
    return node.place(Service(name="drafts"), FACTS, "m", 4_000, now_s)


def test_log_shows_what_was_weighed(node):
    """The log line of an attempt has the saving and the cost's other parts."""
    attempt = Attempt(node, None, None, lambda: 1.0, place(node, 1.0), "m")
    fields = attempt.log.as_dict()
    assert fields["cached_tokens"] == 11_000
    assert fields["saved_ms"] > 0
    assert fields["placement"] == {"transfer_ms": 10}


def test_metrics_count_tokens_by_expectation(node):
    """Tokens expected to be cached, and those to be read, are counted by model."""
    metrics = RelayMetrics(node, lambda: 1.0)
    log = Attempt(node, None, None, lambda: 1.0, place(node, 1.0), "m").log
    log.cached_tokens, log.unread_tokens = 10_000, 1_000
    metrics.count_attempt("draft", log)

    def value(expected):
        return metrics.registry.get_sample_value(
            "cardamomnotch_relay_prompt_tokens_total",
            {"model": "m", "expected": expected},
        )

    assert (value("cached"), value("read")) == (10_000, 1_000)


def test_state_dump_shows_the_cache_of_each_upstream(node):
    """The state dump has the tokens held and the room for them, by upstream."""
    guard = CallerGuard("127.0.0.1:80", ProcessSettings().caller_limits)
    dump = diagnostics(node, SimpleNamespace(in_flight=0), guard, 1.0)
    assert dump["prompt_caches"] == {
        "up-0": {
            "tokens": 11_000,
            "capacity": 300_000,
            "running_tokens": 11_000,
            "parts": 2,
        }
    }
