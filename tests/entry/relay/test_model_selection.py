"""The model of a request, and the log fields that say why it got it."""

import attrs
import pytest

from tests.fixtures.relay_system import MODELS, document, route, service
from tests.stand_ins.platform_upstream import stream

# Models that are asked, where it is not the smallest alone.
RUNS = {"escalated": ["small", "large"], "large_first": ["large"]}
UNSURE = stream(1, 2, X_Confidence="10")


@pytest.fixture
def log_fields(caplog):
    """Return a function that returns the last request's log fields."""
    caplog.set_level("INFO")

    def find():
        ended = [item for item in caplog.records if item.message == "request ended"]
        return ended[-1].fields

    return find


def without_retries(relay):
    """Allow no retries."""
    limits = attrs.evolve(relay.entry.node.limits, retry_ratio=0.0, retry_slack=0.0)
    relay.entry.node.apply_limits(limits)


def with_escalations_used_up(relay):
    """Leave only the part of the retry budget that is for failures."""
    limits = attrs.evolve(relay.entry.node.limits, retry_ratio=0.0, retry_slack=100.0)
    node = relay.entry.node
    node.apply_limits(limits)
    now_s = node.feed.confirmed_at_s
    while node.allow_retry("drafts", now_s, is_escalation=True):
        pass
    assert node.allow_retry("drafts", now_s)


@pytest.mark.parametrize(
    ("prepare", "fields", "upstream", "expected"),
    [
        (None, {}, stream(1, 2, X_Confidence="90"), "small"),
        (None, {}, stream(1, 2), "small"),
        (None, {}, UNSURE, "escalated"),
        (without_retries, {}, UNSURE, "kept_budget"),
        (with_escalations_used_up, {}, UNSURE, "large_first"),
        (None, {"attempts": 1}, UNSURE, "kept_attempts"),
        (None, {"resumable": False}, UNSURE, "kept_repeat"),
        (None, {"target_latency_ms": 1}, UNSURE, "kept_in_time"),
    ],
    ids=[
        "sure",
        "no confidence",
        "escalated",
        "no retries allowed",
        "no retry for a larger model",
        "one attempt",
        "not repeatable",
        "no time",
    ],
)
async def test_reason_is_logged(relay, log_fields, prepare, fields, upstream, expected):
    """An answer of low confidence that is kept says why in the log."""
    draft = route("draft", "streaming", **{"resumable": True, **fields})
    draft["sizes"] = list(MODELS)
    relay.store.put("op/config", document(2, routes=[draft]))
    await relay.async_wait_for(lambda: relay.entry.node.routes.version == 2)
    stand_in = await relay.async_add_upstream("up", upstream)
    if prepare is not None:
        prepare(relay)
    answer = await relay.async_call("/draft/x", X_Model="*", X_Token_Counts="100,10")
    assert answer.status == 200
    runs = RUNS.get(expected, ["small"])
    assert [seen.headers["x-model"] for seen in stand_in.seen] == runs
    logged = log_fields()
    assert logged["model_choice"] == expected
    assert 0.0 <= logged["shortage"] <= 1.0
    url = f"http://{relay.admin_address}/metrics"
    async with relay.session.get(url) as response:
        metrics = await response.text()
    assert (
        f'cardamomnotch_relay_model_choices_total{{reason="{expected}"}} 1.0' in metrics
    )
    assert 'cardamomnotch_relay_shortage{service="drafts"}' in metrics


async def test_escalation_leaves_the_rest_of_the_budget_to_failures(relay, log_fields):
    """Escalations that use up their part do not end a request with an error."""

    def use_up(request):
        with_escalations_used_up(relay)
        return UNSURE(request)

    upstream = await relay.async_add_upstream("up", use_up)
    answer = await relay.async_call("/draft/x", X_Model="*", X_Token_Counts="100,10")
    assert (answer.status, len(upstream.seen)) == (200, 1)
    assert log_fields()["model_choice"] == "kept_budget"


async def test_caller_who_names_the_model_gets_no_choice(relay, log_fields):
    """Nothing is logged of a choice that the caller made."""
    await relay.async_add_upstream("up", UNSURE)
    await relay.async_call("/draft/x", X_Model="middle")
    assert "model_choice" not in log_fields()


async def test_state_dump_shows_shortage_and_what_was_learned(relay):
    """The lengths of complete streams are learned from their events."""
    services = [service("drafts", engine={"stride": 5}), service("bookings")]
    relay.store.put("op/config", document(2, services=services))
    await relay.async_wait_for(lambda: relay.entry.node.routes.version == 2)
    await relay.async_add_upstream("up", stream(1, 3, X_Confidence="90"))
    await relay.async_call("/draft/x", X_Model="*", X_Token_Counts="100,80")
    url = f"http://{relay.admin_address}/state"
    async with relay.session.get(url) as response:
        state = await response.json()
    assert state["shortage"]["drafts"]["wait_part"] == 0.0
    learned = state["model_choice"]["draft"]
    assert learned["output_tokens"] == 15
    assert learned["prompt_tokens"] == 100
    assert learned["good"]["small/1"] > 0.5
