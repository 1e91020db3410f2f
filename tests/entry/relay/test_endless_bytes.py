"""Upstreams that send bytes without end, in a head or a body."""

import asyncio

import orjson
import pytest

from cardamomnotch_entry.relay.const import MAX_BYTES_WITHOUT_DATA

from tests.fixtures.endless_responses import (
    FAULTS,
    FILL,
    MAX_MEMORY_BYTES,
    MAX_TIME_S,
)
from tests.stand_ins.platform_upstream import (
    Send,
    SendWithoutEnd,
    chunk,
    event,
    head,
    plain,
    stream,
)


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
async def test_endless_response_is_given_up(relay, memory_peak, fault):
    """A response without an end ends in a numbered error, and its connection."""
    upstream = await relay.async_add_upstream("up", fault, service="bookings")
    async with asyncio.timeout(MAX_TIME_S):
        answer = await relay.async_call("/book/x")
    assert answer.status == 502
    assert orjson.loads(answer.body)["error"]["code"] == FAULTS[fault]
    assert "Retry-After" not in answer.headers
    await relay.async_wait_for(lambda: not upstream.endless_connections)
    assert memory_peak() < MAX_MEMORY_BYTES


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
async def test_endless_response_is_retried_elsewhere(relay, fault):
    """A repeatable request is sent to another upstream instead."""
    bad = await relay.async_add_upstream("up-bad", fault, service="bookings")
    await relay.async_add_upstream("up-good", plain(b"good"), service="bookings")
    async with asyncio.timeout(2 * MAX_TIME_S):
        answers = [await relay.async_call("/read/x", method="GET") for _ in range(6)]
    assert {answer.body for answer in answers} == {b"good"}
    assert bad.seen
    await relay.async_wait_for(lambda: not bad.endless_connections)


async def test_event_without_end_truncates_the_stream(relay, memory_peak):
    """An event that never ends breaks the stream after the events before it."""
    upstream = await relay.async_add_upstream(
        "up", stream(1, 2, then=[SendWithoutEnd(chunk(FILL))])
    )
    async with asyncio.timeout(MAX_TIME_S):
        answer = await relay.async_call("/answer/x", X_Model="small")
    assert answer.broken
    assert answer.body == event(1) + event(2)
    await relay.async_wait_for(lambda: not upstream.endless_connections)
    assert memory_peak() < MAX_MEMORY_BYTES


async def test_event_without_end_is_resumed_elsewhere(relay):
    """A resumable stream continues at another upstream."""

    def respond(request):
        if "last-event-id" in request.headers:
            return stream(3, 4)(request)
        return stream(1, 2, then=[SendWithoutEnd(chunk(FILL))])(request)

    for number in range(2):
        await relay.async_add_upstream(f"up-{number}", respond)
    async with asyncio.timeout(MAX_TIME_S):
        answer = await relay.async_call("/draft/x", X_Model="small")
    assert not answer.broken
    assert answer.body == b"".join(event(number) for number in range(1, 5))


async def test_many_small_chunks_are_no_fault(relay):
    """A whole answer in chunks of one byte is accepted."""
    body = b"".join(chunk(b"x") for _ in range(20_000)) + b"0\r\n\r\n"
    await relay.async_add_upstream(
        "up",
        lambda request: [Send(head(request, Transfer_Encoding="chunked") + body)],
        service="bookings",
    )
    answer = await relay.async_call("/book/x")
    assert (answer.status, len(answer.body)) == (200, 20_000)


# Largest part of a response that is read at once, in bytes.
_MAX_PART_BYTES = 262_144
# Bytes of a stream that are no answer, which some upstreams send without end.
NO_ANSWERS = {
    "LF": b"\n" * 16_384,
    "CR": b"\r" * 16_384,
    "CR LF": b"\r\n" * 8_192,
    "comments": b":\n\n" * 5_000,
    "long comments": b":" + b"x" * 4_000 + b"\n\n",
    "ids": b"id: 7\n\n" * 2_000,
    "empty ids": b"id:\n\n" * 3_000,
    "empty data": b"data: \n\n" * 2_000,
    "other fields": b"retry: 1\n\n" * 1_500,
}


@pytest.mark.parametrize("is_framed", [True, False], ids=["chunks", "no framing"])
@pytest.mark.parametrize("fill", NO_ANSWERS.values(), ids=NO_ANSWERS)
async def test_stream_without_data_is_given_up(relay, fill, is_framed):
    """Bytes that are no answer do not go on until the deadline of their stream."""

    def respond(request):
        if not is_framed:
            return [Send(head(request)), Send(event(1)), SendWithoutEnd(fill)]
        return stream(1, 1, then=[SendWithoutEnd(chunk(fill))])(request)

    upstream = await relay.async_add_upstream("up", respond)
    async with asyncio.timeout(MAX_TIME_S):
        answer = await relay.async_call("/answer/x", X_Model="small")
    assert answer.broken
    assert answer.body.startswith(event(1))
    assert len(answer.body) < MAX_BYTES_WITHOUT_DATA + 2 * _MAX_PART_BYTES
    await relay.async_wait_for(lambda: not upstream.endless_connections)


@pytest.mark.parametrize("fill", NO_ANSWERS.values(), ids=NO_ANSWERS)
async def test_stream_without_data_is_resumed_elsewhere(relay, fill):
    """A resumable stream goes on at another upstream instead."""

    def respond(request):
        if "last-event-id" in request.headers:
            return stream(2, 3)(request)
        return stream(1, 1, then=[SendWithoutEnd(chunk(fill))])(request)

    for number in range(2):
        await relay.async_add_upstream(f"up-{number}", respond)
    async with asyncio.timeout(MAX_TIME_S):
        answer = await relay.async_call("/draft/x", X_Model="small")
    assert not answer.broken
    assert answer.body.startswith(event(1))
    assert answer.body.endswith(event(2) + event(3))


async def test_comments_between_events_are_no_fault(relay):
    """A slow stream is kept alive by comments, however many come in all."""
    comments = b":\n\n" * (MAX_BYTES_WITHOUT_DATA // 8)
    numbers = range(1, 9)
    body = b"".join(comments + event(number) for number in numbers)

    def respond(request):
        response_head = head(request, Transfer_Encoding="chunked")
        return [Send(response_head), Send(chunk(body) + b"0\r\n\r\n")]

    await relay.async_add_upstream("up", respond)
    answer = await relay.async_call("/answer/x", X_Model="small")
    assert (answer.broken, answer.body) == (False, body)
