"""Responses without a length or chunks whose upstream is killed."""

import pytest

from cardamomnotch_protocol.result_codes import ResultCode

from tests.stand_ins.platform_upstream import Kill, Send, Wait, event, head, plain

EVENTS = [event(number) for number in range(1, 6)]
PAUSE = Wait(0.05)


def send_unframed(*steps):
    """Return a behavior that sends a response without a length, and ends it."""
    return lambda request: [Send(head(request)), *steps]


def stream_from_last_event(request):
    """Send the events after the last one that the caller has, without a length."""
    first = int(request.headers.get("last-event-id", "0"))
    return [Send(head(request)), *map(Send, EVENTS[first:])]


def stream_and_kill(request):
    """End the process between two events."""
    return [Send(head(request)), *map(Send, EVENTS[:2]), PAUSE, Kill()]


async def test_resumable_stream_of_a_killed_upstream_counts_as_complete(relay):
    """The stream goes on at another upstream."""

    def respond(request):
        is_resumed = "last-event-id" in request.headers
        return (stream_from_last_event if is_resumed else stream_and_kill)(request)

    upstreams = [
        await relay.async_add_upstream(f"up-{number}", respond) for number in range(2)
    ]
    answer = await relay.async_call("/draft/x", X_Model="small")
    assert not answer.broken
    assert answer.body == b"".join(EVENTS)
    assert [len(upstream.seen) for upstream in upstreams] == [1, 1]


async def test_stream_of_a_killed_upstream_counts_as_complete(relay):
    """A stream that may not be resumed is broken off."""
    await relay.async_add_upstream("up", stream_and_kill)
    answer = await relay.async_call("/answer/x", X_Model="small")
    assert answer.broken
    assert answer.body == b"".join(EVENTS[:2])


async def test_stream_of_a_sound_upstream_is_broken_off(relay):
    """A stream that ends with its connection is complete if the upstream lives."""
    await relay.async_add_upstream("up", stream_from_last_event)
    answer = await relay.async_call("/answer/x", X_Model="small")
    assert not answer.broken
    assert answer.body == b"".join(EVENTS)


async def test_last_stream_of_a_leaving_upstream_is_broken_off(relay):
    """An upstream that is draining ends when it has sent its responses."""

    def stream_and_leave(request):
        leaving = head(request, Server_Leaving="1")
        return [Send(leaving), *map(Send, EVENTS), PAUSE, Kill()]

    await relay.async_add_upstream("up", stream_and_leave)
    answer = await relay.async_call("/answer/x", X_Model="small")
    assert not answer.broken
    assert answer.body == b"".join(EVENTS)


async def test_body_of_a_killed_upstream_counts_as_complete(relay):
    """A part of a body is no answer: it is repeated elsewhere if it may be."""
    cut = send_unframed(Send(b"par"), PAUSE, Kill())
    bad = await relay.async_add_upstream("up-bad", cut, service="bookings")
    await relay.async_add_upstream("up-good", plain(b"good"), service="bookings")
    answers = [await relay.async_call(f"/read/{number}") for number in range(8)]
    assert bad.seen
    assert {(answer.status, answer.body) for answer in answers} == {(200, b"good")}


async def test_booking_of_a_killed_upstream_counts_as_complete(relay):
    """A request that may not be repeated ends with an error that claims no outcome."""
    cut = send_unframed(Send(b"par"), PAUSE, Kill())
    await relay.async_add_upstream("up", cut, service="bookings")
    answer = await relay.async_call("/book/x")
    assert answer.status == 502
    assert answer.error_code == ResultCode.UPSTREAM_FAILED


@pytest.mark.parametrize("status", [204, 304])
async def test_response_without_a_body_takes_a_connection(relay, status):
    """Only a response that its connection ends is checked."""

    def respond(request):
        return [Send(head(request, status))]

    upstream = await relay.async_add_upstream("up", respond, service="bookings")
    answer = await relay.async_call("/read/x")
    assert answer.status == status
    assert upstream.connections == 1
