"""Streamed responses: resumption, truncation and model escalation."""

import asyncio

import attrs
import pytest

from tests.fixtures.relay_system import MODELS, document, route
from tests.stand_ins.platform_upstream import (
    LAST_CHUNK,
    HoldOpen,
    Reset,
    Send,
    Wait,
    chunk,
    event,
    refusal,
    stream,
)

PARTIAL_EVENT = Send(chunk(event(3)[:9]))
STREAM_BREAKS = {
    "reset": (Reset(),),
    "closed": (),
    "reset within an event": (PARTIAL_EVENT, Wait(0.05), Reset()),
}


def events_between(first: int, last: int) -> bytes:
    """Return the bytes of the events from ``first`` to ``last``."""
    return b"".join(event(number) for number in range(first, last + 1))


def resume_stream(request):
    """Stream the events after the request's Last-Event-Id."""
    start = int(request.headers.get("last-event-id") or 0) + 1
    return stream(start, 5)(request)


@pytest.mark.parametrize("then", STREAM_BREAKS.values(), ids=STREAM_BREAKS)
async def test_resumable_stream_resumes_on_another_upstream(relay, then):
    """After a failure the caller still gets each event exactly once."""
    failing = await relay.async_add_upstream("up-cut", stream(1, 2, then=then))
    other = await relay.async_add_upstream("up-good", resume_stream)
    answers = [await relay.async_call("/draft/x") for _ in range(4)]
    assert all(answer.body == events_between(1, 5) for answer in answers)
    assert not any(answer.broken for answer in answers)
    assert failing.seen
    last_event_ids = {seen.headers.get("last-event-id") for seen in other.seen}
    assert "2" in last_event_ids


async def test_stream_resumes_on_the_same_version(relay):
    """A stream that fails is resumed on the version that it began with."""
    later = (Wait(0.5), Reset())
    await relay.async_add_upstream("up-cut", stream(1, 2, then=later), version="v1")
    call = asyncio.create_task(relay.async_call("/draft/x"))
    await relay.async_wait_for(lambda: relay.upstreams["up-cut"].seen)
    # In another zone, so that the upstreams of v2 would be preferred.
    same_version = await relay.async_add_upstream(
        "up-same", resume_stream, version="v1", zone="zone-b"
    )
    other_version = [
        await relay.async_add_upstream(
            f"up-other-{number}", resume_stream, version="v2"
        )
        for number in range(3)
    ]
    answer = await call
    assert (answer.body, answer.broken) == (events_between(1, 5), False)
    assert [seen.headers.get("last-event-id") for seen in same_version.seen] == ["2"]
    assert not any(other.seen for other in other_version)


async def test_broken_stream_counts_as_one_failure(relay):
    """A broken stream penalizes its upstream once."""
    await relay.async_add_upstream("up", stream(1, 2, then=[Reset()]))
    assert (await relay.async_call("/answer/x", X_Model="small")).broken
    assert relay.entry.node.fleet.get("up").failures == 1


@pytest.mark.parametrize("then", STREAM_BREAKS.values(), ids=STREAM_BREAKS)
async def test_non_resumable_stream_is_truncated(relay, then):
    """A failed stream that may not be resumed does not look complete."""
    upstream = await relay.async_add_upstream("up-cut", stream(1, 2, then=then))
    answer = await relay.async_call("/answer/x")
    assert answer.broken
    assert answer.body == events_between(1, 2)
    assert len(upstream.seen) == 1


async def test_deadline_truncates_a_stream(relay):
    """A stream that lasts beyond its deadline is truncated."""
    hold = HoldOpen()
    await relay.async_add_upstream("up", stream(1, 2, then=(hold,)))
    answer = await relay.async_call("/answer/x", X_Deadline_Ms="300")
    assert answer.broken
    async with asyncio.timeout(5):
        await hold.disconnected.wait()


async def test_caller_disconnect_closes_the_upstream_connection(relay):
    """The upstream connection is closed when the caller disconnects."""
    hold = HoldOpen()
    upstream = await relay.async_add_upstream("up", stream(1, 2, then=(hold,)))
    call = asyncio.create_task(relay.async_call("/answer/x"))
    await relay.async_wait_for(lambda: upstream.seen)
    call.cancel()
    async with asyncio.timeout(5):
        await hold.disconnected.wait()


async def test_low_confidence_escalates_to_the_largest_model(relay):
    """A response with low confidence is discarded before any of it is sent."""
    models = []

    def unsure(request):
        model = request.headers["x-model"]
        models.append(model)
        confidence = "10" if model == "small" else "90"
        return stream(1, 2, X_Confidence=confidence)(request)

    await relay.async_add_upstream("up", unsure)
    answer = await relay.async_call("/draft/x", X_Model="*", X_Token_Counts="100,10")
    assert models == ["small", "large"]
    assert answer.body == events_between(1, 2)
    assert answer.headers["X-Confidence"] == "90"


async def test_last_attempt_is_kept_after_a_failure(relay):
    """After a failure an unsure response is kept, not escalated."""
    answers = {
        "lost": lambda request: [Reset()],
        "unsure": stream(1, 2, X_Confidence="10"),
    }
    order = ["lost", "unsure", "lost"]

    def behave(request):
        return answers[order.pop(0) if order else "lost"](request)

    await relay.async_add_upstream("up-1", behave)
    await relay.async_add_upstream("up-2", behave)
    answer = await relay.async_call("/draft/x", X_Model="*", X_Token_Counts="100,10")
    assert (answer.status, answer.body) == (200, events_between(1, 2))


async def test_low_confidence_is_kept_without_a_retry_budget(relay):
    """An answer is not dropped for a larger model that the budget does not allow."""
    relay.entry.node.apply_limits(
        attrs.evolve(relay.entry.node.limits, retry_ratio=0.0, retry_slack=0.0)
    )
    await relay.async_add_upstream("up", stream(1, 2, X_Confidence="10"))
    answer = await relay.async_call("/draft/x", X_Model="*")
    assert (answer.status, answer.body) == (200, events_between(1, 2))


@pytest.mark.parametrize(
    ("model", "confidence", "expected"),
    [("*", "90", ["small"]), ("middle", "1", ["middle"])],
    ids=["sure", "named by the caller"],
)
async def test_response_is_not_escalated(relay, model, confidence, expected):
    """A confident response, or one of a model the caller named, is kept."""
    upstream = await relay.async_add_upstream(
        "up", stream(1, 2, X_Confidence=confidence)
    )
    await relay.async_call("/draft/x", X_Model=model)
    assert [seen.headers["x-model"] for seen in upstream.seen] == expected


async def test_delayed_last_chunk_completes_the_stream(relay):
    """A stream whose last chunk is delayed is complete."""
    await relay.async_add_upstream(
        "up", stream(1, 2, then=(Wait(0.1), Send(LAST_CHUNK)))
    )
    answer = await relay.async_call("/answer/x")
    assert (answer.broken, answer.body) == (False, events_between(1, 2))


async def test_non_repeatable_stream_runs_once(relay):
    """An unsure response is kept if the route allows no second run."""
    routes = [route("draft", "streaming", resumable=False, sizes=list(MODELS))]
    relay.store.put("op/config", document(2, routes=routes))
    await relay.async_wait_for(lambda: relay.entry.node.routes.version == 2)
    upstream = await relay.async_add_upstream("up", stream(1, 2, X_Confidence="1"))
    answer = await relay.async_call("/draft/x", X_Model="*")
    assert answer.body == events_between(1, 2)
    assert len(upstream.seen) == 1


async def test_discarded_response_counts_as_a_run(relay):
    """After a discarded response the caller gets 502, not a "not run" 503."""

    def behave(request):
        if request.headers["x-model"] == "small":
            return stream(1, 2, X_Confidence="1")(request)
        return refusal()(request)

    await relay.async_add_upstream("up", behave)
    answer = await relay.async_call("/draft/x", X_Model="*")
    assert answer.status == 502
